//! Command line interface of the testbed.

mod bench;
mod caller;
mod capacity;
mod load;
mod policy;
mod servers;

use std::io::Write;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use serde_json::Value;
use snafu::{ResultExt, Whatever};

/// Runs the subcommand given by the arguments.
pub async fn run() -> ExitCode {
    let matches = build_command().get_matches();
    let result = match matches.subcommand() {
        Some(("store", args)) => servers::run_store(args).await,
        Some(("vms", args)) => servers::run_vms(args).await,
        Some(("worker", args)) => servers::run_worker(args).await,
        Some(("workers", args)) => servers::run_workers(args).await,
        Some(("call", args)) => caller::run_call(args).await,
        Some(("check-starts", args)) => caller::run_check_starts(args).await,
        Some(("load", args)) => load::run_load(args).await,
        Some(("capacity", args)) => capacity::run_capacity(args).await,
        Some(("policy", args)) => policy::run_policy(args),
        Some(("bench-check", args)) => bench::run_check(args).await,
        Some(("bench-sample", args)) => bench::run_sample(args).await,
        Some(("bench-table", args)) => bench::run_table(args),
        Some(("store-control", args)) => bench::run_store_control(args).await,
        _ => Ok(ExitCode::FAILURE),
    };
    result.unwrap_or_else(|e: Whatever| {
        eprintln!("error: {e}");
        ExitCode::FAILURE
    })
}

fn build_command() -> Command {
    Command::new("carawaybarrow-testbed")
        .about("Stand-ins for the platform, a caller, a load generator and measurements")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(servers::build_commands())
        .subcommands(caller::build_commands())
        .subcommand(load::build_command())
        .subcommand(capacity::build_command())
        .subcommand(policy::build_command())
        .subcommands(bench::build_commands())
}

/// Builds an option with a value of the type `T`.
fn option<T>(name: &'static str, value: &'static str, help: &'static str) -> Arg
where
    T: std::str::FromStr + Clone + Send + Sync + 'static,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    Arg::new(name).long(name).value_name(value).help(help).value_parser(|text: &str| text.parse::<T>())
}

/// Returns the value of an option that is required or has a default.
fn value<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> T {
    args.get_one::<T>(name).expect("the option is required or has a default").clone()
}

/// Returns the values of an option; empty if it is absent.
fn values<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> Vec<T> {
    args.get_many::<T>(name).into_iter().flatten().cloned().collect()
}

/// Prints one JSON line and flushes it, for scripts that wait for it.
fn print_line(line: &Value) -> Result<(), Whatever> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}").and_then(|()| out.flush()).whatever_context("can't write to stdout")
}
