//! Command `report`.

use carawaybarrow_core::burn::ClassBurn;
use clap::{ArgMatches, Command};

use crate::cli::{self, Output, Run};
use crate::failure::Failure;
use crate::operator_client::{self, OperatorClient};
use crate::table::render_table;

/// Commands of this module.
#[must_use]
pub fn build() -> Vec<(Command, Run)> {
    let burn = Command::new("burn").about("Show how fast each class spends its error budget, as one entry sees it");
    let report = Command::new("report").about("Show reports").subcommand_required(true).subcommand(burn);
    vec![(report, run)]
}

fn run(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    match cli::subcommand(args) {
        ("burn", args) => report_burn(args, output),
        (name, _) => Err(Failure::invalid("report", format!("there is no report {name}"))),
    }
}

fn report_burn(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    let answer = OperatorClient::from_args(args)?.read("/v1/reports/burn")?;
    let classes: Vec<ClassBurn> = operator_client::read_as(answer.clone())?;
    output.print(&answer, || {
        let mut rows = Vec::new();
        for class in &classes {
            for window in &class.windows {
                let counts = &window.counts;
                let (met, rate) = (format!("{:.2}%", window.share_met * 100.0), format!("{:.2}", window.burn_rate));
                let (total, missed) = (counts.met + counts.missed, counts.missed);
                let class = class.class.to_string();
                rows.push(vec![class, window.window_ms.to_string(), total.to_string(), missed.to_string(), met, rate]);
            }
        }
        render_table(&["CLASS", "WINDOW", "JOBS", "MISSED", "MET", "BURN RATE"], &rows)
    })
}
