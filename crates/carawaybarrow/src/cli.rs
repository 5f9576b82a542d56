//! Command line.

use std::path::PathBuf;
use std::process::ExitCode;

use async_std::task;
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::logging;
use crate::serve;
use crate::settings::Settings;

/// Exit code for faulty settings or arguments.
const EXIT_INVALID: u8 = 2;

/// Exit code for a process that could not run.
const EXIT_FAILED: u8 = 1;

fn build_command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings in JSON with comments");
    clap::command!()
        .about("Fleet capacity and maintenance manager")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("serve").about("Run an entry").arg(settings.clone()))
        .subcommand(Command::new("check").about("Check settings without starting").arg(settings))
}

/// Runs the command line of the process.
#[must_use]
pub fn run() -> ExitCode {
    let matches = build_command().get_matches();
    match matches.subcommand() {
        Some(("serve", args)) => run_serve(args),
        Some(("check", args)) => run_check(args),
        _ => ExitCode::from(EXIT_INVALID),
    }
}

fn load_settings(args: &ArgMatches) -> Option<Settings> {
    let path = args.get_one::<PathBuf>("settings")?;
    match Settings::load(path) {
        Ok(settings) => Some(settings),
        Err(findings) => {
            for finding in findings.iter() {
                eprintln!("{}:{finding}", path.display());
            }
            None
        }
    }
}

fn run_serve(args: &ArgMatches) -> ExitCode {
    let Some(settings) = load_settings(args) else { return ExitCode::from(EXIT_INVALID) };
    logging::start_logging();
    match task::block_on(serve::serve(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("carawaybarrow: {e}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run_check(args: &ArgMatches) -> ExitCode {
    match load_settings(args) {
        Some(settings) => {
            println!("the settings of {} are valid", settings.entry);
            ExitCode::SUCCESS
        }
        None => ExitCode::from(EXIT_INVALID),
    }
}
