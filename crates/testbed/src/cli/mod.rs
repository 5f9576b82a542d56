//! Command line.

mod servers;

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use snafu::Whatever;

/// Runs the command that the arguments name.
pub async fn run() -> ExitCode {
    let matches = build_command().get_matches();
    let result = match matches.subcommand() {
        Some(("store", args)) => servers::run_store(args).await,
        Some(("vms", args)) => servers::run_vms(args).await,
        Some(("worker", args)) => servers::run_worker(args).await,
        Some(("workers", args)) => servers::run_workers(args).await,
        _ => Ok(ExitCode::FAILURE),
    };
    result.unwrap_or_else(|e: Whatever| {
        eprintln!("error: {e}");
        ExitCode::FAILURE
    })
}

fn build_command() -> Command {
    Command::new("carawaybarrow-testbed")
        .about("Stand-ins for the platform, a caller and a load generator")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(servers::build_commands())
}

/// An option with a value of the type `T`.
fn option<T>(name: &'static str, value: &'static str, help: &'static str) -> Arg
where
    T: std::str::FromStr + Clone + Send + Sync + 'static,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    Arg::new(name).long(name).value_name(value).help(help).value_parser(|text: &str| text.parse::<T>())
}

/// Value of an option that is required or has a default.
fn value<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> T {
    args.get_one::<T>(name).expect("the option is required or has a default").clone()
}
