//! Command that compares scheduling and planning rules.

use std::process::ExitCode;

use carawaybarrow_testbed::policy;
use clap::{ArgMatches, Command};
use snafu::Whatever;

use super::{option, values};

pub fn build_command() -> Command {
    Command::new("policy")
        .about("Compares the chosen rules with simpler ones in virtual time and prints a table")
        .arg(option::<u64>("seeds", "N", "Seeds of the simulated demand").num_args(1..).default_values(["1", "2", "3"]))
}

/// Prints the seeds and the table of the comparison.
pub fn run_policy(args: &ArgMatches) -> Result<ExitCode, Whatever> {
    let seeds: Vec<u64> = values(args, "seeds");
    println!("seeds {seeds:?}\n{}", policy::compare(&seeds));
    Ok(ExitCode::SUCCESS)
}
