//! Commands `serve`, `check` and `node`. Two different processes serve an entry: [`crate::serve`] runs the one of
//! `serve`, [`crate::node`] the one of `node`.

use std::path::PathBuf;

use async_std::task;
use carawaybarrow_core::config::Config;
use carawaybarrow_core::finding::Findings;
use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::json;

use crate::change_file::ChangeFile;
use crate::change_plan;
use crate::cli::{self, CommandFn, Output};
use crate::failure::Failure;
use crate::logging;
use crate::node;
use crate::serve;
use crate::settings::Settings;

/// Builds the commands of this module.
#[must_use]
pub fn build() -> Vec<(Command, CommandFn)> {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings in JSON with comments");
    let configuration = Arg::new("configuration")
        .long("configuration")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Configuration in JSON with comments");
    let serve = Command::new("serve").about("Run an entry").arg(settings.clone());
    let check = Command::new("check").about("Check settings and a configuration without starting");
    let check = check.args([settings, configuration]);
    let node = Command::new("node").about("Run an entry on the platform, which provides the location of its settings");
    vec![(serve, run_serve), (check, run_check), (node, run_node)]
}

/// Loads the settings. The place of each finding starts with the name of the file.
fn load_settings(args: &ArgMatches) -> Result<Settings, Findings> {
    let path: PathBuf = cli::value(args, "settings");
    Settings::load(&path).map_err(|findings| {
        let mut located = Findings::new();
        for finding in findings.iter() {
            located.add(format!("{}:{}", path.display(), finding.place), finding.message.clone());
        }
        located
    })
}

fn run_serve(args: &ArgMatches, _: &Output) -> Result<(), Failure> {
    let settings = load_settings(args).map_err(Failure::Invalid)?;
    logging::start_logging();
    task::block_on(serve::serve(settings)).map_err(|e| Failure::Failed(e.to_string()))
}

fn run_node(_: &ArgMatches, _: &Output) -> Result<(), Failure> {
    let settings = carawaybarrow_platform::settings::Settings::load().map_err(Failure::Invalid)?;
    logging::start_stdout_logging();
    task::block_on(node::run::run(settings)).map_err(|e| Failure::Failed(e.to_string()))
}

fn run_check(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    let mut findings = Findings::new();
    let settings = load_settings(args).map_err(|found| findings.extend(found)).ok();
    if let Some(path) = args.get_one::<PathBuf>("configuration") {
        match ChangeFile::load(path) {
            Ok(file) => {
                // A configuration file has to be valid on its own, without the configuration in force.
                if let Err(Failure::Invalid(found)) = change_plan::plan_changes(&Config::default(), &file, false) {
                    findings.extend(found);
                }
            }
            Err(found) => findings.extend(found),
        }
    }
    findings.into_result(()).map_err(Failure::Invalid)?;
    let entry = settings.map(|s| s.entry.to_string()).unwrap_or_default();
    let what = if args.contains_id("configuration") { " and the configuration are" } else { " are" };
    output.print(&json!({ "entry": entry, "valid": true }), || format!("the settings of {entry}{what} valid\n"))
}
