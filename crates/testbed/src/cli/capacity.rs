//! Command that measures how cost grows with size.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use carawaybarrow_testbed::capacity::{self, Plan};
use clap::{Arg, ArgAction, ArgMatches, Command};
use snafu::{ResultExt, Whatever};

use super::{option, value};

pub fn build_command() -> Command {
    Command::new("capacity")
        .about("Measures how cost grows with size and prints tables with fitted lines")
        .arg(
            Arg::new("part")
                .long("part")
                .help("Part to measure")
                .value_parser(["documents", "spread", "processes", "all"])
                .default_value("all"),
        )
        .arg(option::<PathBuf>(
            "entry-binary",
            "FILE",
            "The product's binary [default: carawaybarrow in the directory of this program]",
        ))
        .arg(
            option::<u64>("window-ms", "MS", "Time over which the cost of idle processes is measured")
                .default_value("6000"),
        )
        .arg(option::<u64>("seed", "N", "Seed of the random overlays").default_value("1"))
        .arg(
            Arg::new("small")
                .long("small")
                .help("Measure only the first size of each process table")
                .action(ArgAction::SetTrue),
        )
}

fn build_plan(args: &ArgMatches) -> Result<Plan, Whatever> {
    let default_binary = std::env::current_exe()
        .whatever_context("can't determine the path of this program")?
        .with_file_name("carawaybarrow");
    Ok(Plan {
        entry_binary: args.get_one::<PathBuf>("entry-binary").cloned().unwrap_or(default_binary),
        dir: std::env::temp_dir().join(format!("carawaybarrow-capacity-{}", std::process::id())),
        window: Duration::from_millis(value(args, "window-ms")),
    })
}

/// Measures the selected parts and prints their tables.
pub async fn run_capacity(args: &ArgMatches) -> Result<ExitCode, Whatever> {
    let part: String = value(args, "part");
    let is_selected = |name: &str| part == name || part == "all";
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let profile = if cfg!(debug_assertions) { "dev" } else { "release" };
    println!("{cores} cores, profile {profile}, part {part}");
    if is_selected("documents") {
        for table in capacity::measure_documents().into_iter().chain(capacity::measure_soft_state()) {
            println!("{table}");
        }
    }
    if is_selected("spread") {
        println!("{}", capacity::compare_spread(value(args, "seed")));
    }
    if is_selected("processes") {
        capacity::measure_processes(&build_plan(args)?, args.get_flag("small")).await?;
    }
    Ok(ExitCode::SUCCESS)
}
