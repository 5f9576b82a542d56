//! Commands that run a stand-in until the process is killed.

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

/// Number of VMs in a rack.
const VMS_PER_RACK: usize = 4;

pub fn build_commands() -> [Command; 4] {
    let listen = || option::<SocketAddr>("listen", "ADDR", "Address to listen on").default_value("127.0.0.1:0");
    [
        Command::new("store")
            .about("Runs the stand-in for the store")
            .arg(listen())
            .arg(
                option::<f64>("writes", "N", "Writes per second beyond which calls get status 429")
                    .default_value("400"),
            )
            .arg(
                option::<f64>("reads", "N", "Reads per second beyond which calls get status 429").default_value("2000"),
            ),
        Command::new("vms")
            .about("Runs the stand-in for the VM list")
            .arg(listen())
            .arg(option::<PathBuf>("file", "FILE", "JSON list of the initial VMs"))
            .arg(option::<u64>("lag-ms", "MS", "Time until a change becomes visible").default_value("0")),
        add_worker_options(Command::new("worker").about("Runs a stand-in for a worker"))
            .arg(listen())
            .arg(option::<SmolStr>("vm", "NAME", "Name of the VM").default_value("vm-1"))
            .arg(option::<SmolStr>("data-centre", "NAME", "Data centre").default_value("dc1"))
            .arg(option::<SmolStr>("rack", "NAME", "Rack").default_value("dc1-r1")),
        add_worker_options(
            Command::new("workers").about("Runs stand-ins for many workers in one process, each on its own port"),
        )
        .arg(
            option::<SocketAddr>(
                "listen-base",
                "ADDR",
                "Address of the first worker, the others get the next ports; port 0 for any free ports",
            )
            .default_value("127.0.0.1:0"),
        )
        .arg(option::<usize>("count", "N", "Number of workers").required(true))
        .arg(option::<SmolStr>("vm-prefix", "TEXT", "Prefix of the VM names").default_value("vm-"))
        .arg(option::<usize>("first", "N", "Number in the name of the first VM").default_value("1"))
        .arg(option::<usize>("data-centres", "N", "Number of data centres").default_value("3")),
    ]
}

fn add_worker_options(command: Command) -> Command {
    command
        .arg(option::<usize>("slots", "N", "Number of slots of a worker").default_value("8"))
        .arg(option::<u64>("usage-lag-ms", "MS", "Time by which the reported usage lags behind").default_value("2000"))
        .arg(option::<u64>("reboot-ms", "MS", "Time for which a worker is down during a reboot").default_value("2000"))
        .arg(option::<SocketAddr>("register", "VMS_ADDR", "VM list with which to register"))
}

async fn run_forever() -> Result<ExitCode, Whatever> {
    std::future::pending().await
}

pub async fn run_store(args: &ArgMatches) -> Result<ExitCode, Whatever> {
    let limits = Limits { writes: value(args, "writes"), reads: value(args, "reads") };
    let addr = store::start(value(args, "listen"), limits).await.whatever_context("can't listen on the address")?;
    print_line(&json!({ "listening": addr, "role": "store" }))?;
    run_forever().await
}

pub async fn run_vms(args: &ArgMatches) -> Result<ExitCode, Whatever> {
    let initial_vms = match args.get_one::<PathBuf>("file") {
        Some(file) => {
            let text = std::fs::read(file).with_whatever_context(|_| format!("can't read {}", file.display()))?;
            serde_json::from_slice(&text)
                .with_whatever_context(|_| format!("{} isn't a valid list of VMs", file.display()))?
        }
        None => Vec::new(),
    };
    let lag = Duration::from_millis(value(args, "lag-ms"));
    let addr =
        vms::start(value(args, "listen"), initial_vms, lag).await.whatever_context("can't listen on the address")?;
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
        reboot_duration: Duration::from_millis(value(args, "reboot-ms")),
    }
}

async fn start_worker(addr: SocketAddr, options: Options, tally: &Tally) -> Result<Vm, Whatever> {
    let (vm, data_centre, rack) = (options.vm.clone(), options.data_centre.clone(), options.rack.clone());
    let address = worker::start(addr, options, tally.clone()).await.whatever_context("can't listen on the address")?;
    Ok(Vm { vm, address, data_centre, rack, state: VmState::Live })
}

/// Registers the workers with the VM list if one is given, then prints their addresses.
async fn register_and_print(args: &ArgMatches, vms: &[Vm]) -> Result<(), Whatever> {
    if let Some(&vm_list) = args.get_one::<SocketAddr>("register") {
        let body = serde_json::to_string(vms).whatever_context("can't serialize the VMs")?;
        let reply = Client::new()
            .post(vm_list, "/control/vms", &body)
            .await
            .whatever_context("can't register with the VM list")?;
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
    register_and_print(args, &[vm]).await?;
    run_forever().await
}

pub async fn run_workers(args: &ArgMatches) -> Result<ExitCode, Whatever> {
    let base_addr: SocketAddr = value(args, "listen-base");
    let (count, first_vm): (usize, usize) = (value(args, "count"), value(args, "first"));
    let (prefix, data_centres): (SmolStr, usize) = (value(args, "vm-prefix"), value(args, "data-centres"));
    let tally = Tally::default();
    let mut vms = Vec::with_capacity(count);
    for i in 0..count {
        let mut addr = base_addr;
        if base_addr.port() != 0 {
            let port = u16::try_from(usize::from(base_addr.port()) + i)
                .whatever_context("too many workers: the port numbers exceed 65535")?;
            addr.set_port(port);
        }
        // Consecutive racks are assigned to the data centres in turn.
        let rack = (first_vm + i - 1) / VMS_PER_RACK;
        let data_centre = format_smolstr!("dc{}", rack % data_centres.max(1) + 1);
        let rack = format_smolstr!("{data_centre}-r{}", rack / data_centres.max(1) + 1);
        let options = read_options(args, format_smolstr!("{prefix}{}", first_vm + i), data_centre, rack);
        vms.push(start_worker(addr, options, &tally).await?);
    }
    register_and_print(args, &vms).await?;
    print_line(&json!({ "ready": vms.len() }))?;
    run_forever().await
}
