//! Commands `report` and `explain`.

use carawaybarrow_core::burn::ClassBurn;
use clap::{ArgMatches, Command};
use serde::Deserialize;
use serde_json::Value;

use crate::cli::{self, CommandFn, Output};
use crate::cli_reports;
use crate::failure::Failure;
use crate::operator_client::{self, OperatorClient};
use crate::table::render_table;

/// Burn rates of the classes, from the counts of the entries that answered.
#[derive(Deserialize)]
struct BurnReport {
    missing: Vec<String>,
    classes: Vec<ClassBurn>,
}

/// Builds the commands of this module.
#[must_use]
pub fn build() -> Vec<(Command, CommandFn)> {
    let burn = Command::new("burn").about("Show how fast each class spends its error budget");
    let commands = cli_reports::commands().into_iter().map(|command| match command.get_name() {
        "report" => (command.subcommand(burn.clone()), run_report as CommandFn),
        _ => (command, run_explain as CommandFn),
    });
    commands.collect()
}

fn run_report(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    match cli::subcommand(args) {
        ("burn", args) => report_burn(args, output),
        (_, sub) => fetch(sub, "report", cli_reports::find_path("report", args), output),
    }
}

fn run_explain(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    let (_, sub) = cli::subcommand(args);
    fetch(sub, "explain", cli_reports::find_path("explain", args), output)
}

fn fetch(args: &ArgMatches, name: &str, path: Option<String>, output: &Output) -> Result<(), Failure> {
    let path = path.ok_or_else(|| Failure::invalid(name, "there is no such report"))?;
    let bytes = OperatorClient::from_args(args)?.read_bytes(&path)?;
    let text = cli_reports::render(name, &bytes).map_err(|e| Failure::Failed(e.to_string()))?;
    let value = serde_json::from_slice(&bytes).unwrap_or_else(|_text| Value::String(text.clone()));
    output.print(&value, || text)
}

fn report_burn(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    let answer = OperatorClient::from_args(args)?.read("/v1/reports/burn")?;
    let BurnReport { missing, classes } = operator_client::read_as(answer.clone())?;
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
        let mut text = render_table(&["CLASS", "WINDOW", "JOBS", "MISSED", "MET", "BURN RATE"], &rows);
        if !missing.is_empty() {
            text.push_str(&format!("without the counts of {}\n", missing.join(", ")));
        }
        text
    })
}
