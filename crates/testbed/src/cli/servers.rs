//! Commands that run a stand-in until the process is ended.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use carawaybarrow_testbed::client::Client;
use carawaybarrow_testbed::store::{self, Limits};
use carawaybarrow_testbed::vms::{self, Vm, VmState};
use carawaybarrow_testbed::worker::{self, Options, Tally};
use clap::{ArgMatches, Command};
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use snafu::{ResultExt, Whatever, whatever};

use super::{option, print_line, value};

/// VMs in a rack.
const RACK_VMS: usize = 4;

pub fn build_commands() -> [Command; 4] {
    let listen = || option::<SocketAddr>("listen", "ADDR", "Address to listen on").default_value("127.0.0.1:0");
    [
        Command::new("store")
            .about("Runs the store")
            .arg(listen())
            .arg(option::<f64>("writes", "N", "Writes a second before 429").default_value("400"))
            .arg(option::<f64>("reads", "N", "Reads a second before 429").default_value("2000")),
        Command::new("vms")
            .about("Runs the VM list")
            .arg(listen())
            .arg(option::<PathBuf>("file", "FILE", "JSON list of the first VMs"))
            .arg(option::<u64>("lag-ms", "MS", "Time until a change becomes visible").default_value("0")),
        add_worker_options(Command::new("worker").about("Runs a worker"))
            .arg(listen())
            .arg(option::<SmolStr>("vm", "NAME", "Name of the VM").default_value("vm-1"))
            .arg(option::<SmolStr>("data-centre", "NAME", "Data centre").default_value("dc1"))
            .arg(option::<SmolStr>("rack", "NAME", "Rack").default_value("dc1-r1")),
        add_worker_options(Command::new("workers").about("Runs many workers in one process, each on its own port"))
            .arg(
                option::<SocketAddr>("listen-base", "ADDR", "Address of the first worker; port 0 for any ports")
                    .default_value("127.0.0.1:0"),
            )
            .arg(option::<usize>("count", "N", "Number of workers").required(true))
            .arg(option::<SmolStr>("vm-prefix", "TEXT", "Start of the VM names").default_value("vm-"))
            .arg(option::<usize>("first", "N", "Number of the first VM").default_value("1"))
            .arg(option::<usize>("data-centres", "N", "Number of data centres").default_value("3")),
    ]
}

fn add_worker_options(command: Command) -> Command {
    command
        .arg(option::<usize>("slots", "N", "Slots of a worker").default_value("8"))
        .arg(option::<u64>("usage-lag-ms", "MS", "Lag of the reported usage").default_value("2000"))
        .arg(option::<u64>("reboot-ms", "MS", "Time for which a reboot takes").default_value("2000"))
        .arg(option::<SocketAddr>("register", "VMS_ADDR", "VM list at which to register"))
}

async fn run_forever() -> Result<ExitCode, Whatever> {
    std::future::pending().await
}

pub async fn run_store(args: &ArgMatches) -> Result<ExitCode, Whatever> {
    let limits = Limits { writes: value(args, "writes"), reads: value(args, "reads") };
    let addr = store::start(value(args, "listen"), limits).await.whatever_context("can't listen")?;
    print_line(&json!({ "listening": addr, "role": "store" }))?;
    run_forever().await
}

pub async fn run_vms(args: &ArgMatches) -> Result<ExitCode, Whatever> {
    let first = match args.get_one::<PathBuf>("file") {
        Some(file) => {
            let text = std::fs::read(file).with_whatever_context(|_| format!("can't read {}", file.display()))?;
            serde_json::from_slice(&text).with_whatever_context(|_| format!("{} isn't a VM list", file.display()))?
        }
        None => Vec::new(),
    };
    let lag = Duration::from_millis(value(args, "lag-ms"));
    let addr = vms::start(value(args, "listen"), first, lag).await.whatever_context("can't listen")?;
    print_line(&json!({ "listening": addr, "role": "vms" }))?;
    run_forever().await
}

fn read_options(args: &ArgMatches, vm: SmolStr, data_centre: SmolStr, rack: SmolStr) -> Options {
    Options {
        vm,
        data_centre,
        rack,
        slots: value(args, "slots"),
        size: Options::default().size,
        usage_lag: Duration::from_millis(value(args, "usage-lag-ms")),
        reboot: Duration::from_millis(value(args, "reboot-ms")),
    }
}

async fn start_worker(addr: SocketAddr, options: Options, tally: &Tally) -> Result<Vm, Whatever> {
    let (vm, data_centre, rack) = (options.vm.clone(), options.data_centre.clone(), options.rack.clone());
    let address = worker::start(addr, options, tally.clone()).await.whatever_context("can't listen")?;
    Ok(Vm { vm, address, data_centre, rack, state: VmState::Live })
}

async fn announce(args: &ArgMatches, vms: &[Vm]) -> Result<(), Whatever> {
    if let Some(&list) = args.get_one::<SocketAddr>("register") {
        let body = serde_json::to_string(vms).whatever_context("VMs can't be encoded")?;
        let reply = Client::new().post(list, "/control/vms", &body).await.whatever_context("can't register")?;
        if reply.status != 200 {
            whatever!("the VM list answered {}: {}", reply.status, reply.text());
        }
    }
    for vm in vms {
        let Vm { vm, address, data_centre, rack, .. } = vm;
        print_line(&json!({
            "listening": address, "role": "worker", "vm": vm, "data_centre": data_centre, "rack": rack,
        }))?;
    }
    Ok(())
}

pub async fn run_worker(args: &ArgMatches) -> Result<ExitCode, Whatever> {
    let options = read_options(args, value(args, "vm"), value(args, "data-centre"), value(args, "rack"));
    let vm = start_worker(value(args, "listen"), options, &Tally::default()).await?;
    announce(args, &[vm]).await?;
    run_forever().await
}

pub async fn run_workers(args: &ArgMatches) -> Result<ExitCode, Whatever> {
    let base: SocketAddr = value(args, "listen-base");
    let (count, first): (usize, usize) = (value(args, "count"), value(args, "first"));
    let (prefix, centres): (SmolStr, usize) = (value(args, "vm-prefix"), value(args, "data-centres"));
    let tally = Tally::default();
    let mut vms = Vec::with_capacity(count);
    for i in 0..count {
        let mut addr = base;
        if base.port() != 0 {
            let port = u16::try_from(usize::from(base.port()) + i).whatever_context("too many workers for the port")?;
            addr.set_port(port);
        }
        // Racks are spread over the data centres one after the other.
        let rack = (first + i - 1) / RACK_VMS;
        let data_centre = format_smolstr!("dc{}", rack % centres.max(1) + 1);
        let rack = format_smolstr!("{data_centre}-r{}", rack / centres.max(1) + 1);
        let options = read_options(args, format_smolstr!("{prefix}{}", first + i), data_centre, rack);
        vms.push(start_worker(addr, options, &tally).await?);
    }
    announce(args, &vms).await?;
    print_line(&json!({ "ready": vms.len() }))?;
    run_forever().await
}
