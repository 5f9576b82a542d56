//! Commands `show` and `status`.

use carawaybarrow_core::config::{Config, Target};
use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgMatches, Command};
use serde_json::{Value, json};

use crate::cli::{self, CommandFn, Output};
use crate::failure::Failure;
use crate::operator_client::OperatorClient;
use crate::table::render_table;

/// Parts of the configuration that `show` can print: its sections, and the records of its changes.
const PARTS: [&str; 6] = ["classes", "queues", "teams", "pools", "keys", "changes"];

/// Minutes per hour.
const HOUR_MINUTES: u16 = 60;

/// Builds the commands of this module.
#[must_use]
pub fn build() -> Vec<(Command, CommandFn)> {
    let part = Arg::new("part").value_name("PART").value_parser(PossibleValuesParser::new(PARTS));
    let show = Command::new("show")
        .about("Show the configuration in force")
        .arg(part.help("Part to show; without it, all but the changes"))
        .after_help("Example:\n  carawaybarrow show teams");
    let status = Command::new("status").about("Show the state of each entry that --entry names");
    vec![(show, run_show), (status, run_status)]
}

fn run_show(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    let config = OperatorClient::from_args(args)?.read_config()?;
    match args.get_one::<String>("part") {
        Some(part) => print_part(&config, part, output),
        None => {
            let parts = PARTS.iter().filter(|part| **part != "changes");
            let value = parts.clone().map(|part| ((*part).to_owned(), part_to_json(&config, part)));
            let mut value: serde_json::Map<String, Value> = value.collect();
            value.insert("revision".to_owned(), json!(config.revision));
            output.print(&Value::Object(value), || {
                let tables = parts.map(|part| format!("{part}\n{}", part_to_table(&config, part)));
                format!("revision {}\n\n{}", config.revision, tables.collect::<Vec<_>>().join("\n"))
            })
        }
    }
}

/// Prints a part of a configuration, such as `teams`.
///
/// # Errors
///
/// Fails if the standard output can't be written.
pub fn print_part(config: &Config, part: &str, output: &Output) -> Result<(), Failure> {
    output.print(&part_to_json(config, part), || part_to_table(config, part))
}

fn part_to_json(config: &Config, part: &str) -> Value {
    match part {
        "classes" => json!(config.classes),
        "queues" => json!(config.queues),
        "teams" => json!(config.teams),
        "pools" => json!(config.pools),
        "keys" => json!(config.keys),
        _ => json!(config.records().collect::<Vec<_>>()),
    }
}

fn part_to_table(config: &Config, part: &str) -> String {
    let yes_or_no = |set: bool| (if set { "yes" } else { "no" }).to_owned();
    match part {
        "classes" => {
            let rows = config.classes.iter().map(|(id, class)| {
                vec![id.to_string(), describe_target(class.value.target), class.modified.to_string()]
            });
            render_table(&["CLASS", "TARGET", "REVISION"], &rows.collect::<Vec<_>>())
        }
        "queues" => {
            let rows = config.queues.iter().map(|(id, queue)| {
                let value = &queue.value;
                let (open, idempotent) = (yes_or_no(value.open_to_all), yes_or_no(value.idempotent));
                let (class, pool) = (value.class.to_string(), value.pool.to_string());
                vec![id.to_string(), class, pool, open, idempotent, queue.modified.to_string()]
            });
            let header = ["QUEUE", "CLASS", "POOL", "OPEN TO ALL", "IDEMPOTENT", "REVISION"];
            render_table(&header, &rows.collect::<Vec<_>>())
        }
        "teams" => {
            let rows = config.teams.iter().map(|(id, team)| {
                let (share, limit) = (team.value.share.to_string(), team.value.limit.to_string());
                vec![id.to_string(), share, limit, team.modified.to_string()]
            });
            render_table(&["TEAM", "SHARE", "LIMIT", "REVISION"], &rows.collect::<Vec<_>>())
        }
        "pools" => {
            let rows = config.pools.iter().map(|(id, pool)| {
                let value = &pool.value;
                let windows = value.deadline_windows.len().to_string();
                let (available, baseline) = (value.min_available.to_string(), value.baseline.to_string());
                vec![id.to_string(), available, baseline, yes_or_no(value.spare), windows, pool.modified.to_string()]
            });
            let header = ["POOL", "MIN AVAILABLE", "BASELINE", "SPARE", "WINDOWS", "REVISION"];
            render_table(&header, &rows.collect::<Vec<_>>())
        }
        "keys" => {
            let rows = config.keys.iter().map(|(id, key)| {
                vec![id.to_string(), key.value.team.to_string(), key.value.hash.to_string(), key.modified.to_string()]
            });
            render_table(&["KEY", "TEAM", "SHA-256", "REVISION"], &rows.collect::<Vec<_>>())
        }
        _ => {
            let rows = config.records().map(|record| {
                let change = serde_json::to_string(&record.change).unwrap_or_default();
                vec![record.revision.to_string(), record.by.to_string(), record.at.0.to_string(), change]
            });
            render_table(&["REVISION", "BY", "AT (MS)", "CHANGE"], &rows.collect::<Vec<_>>())
        }
    }
}

fn describe_target(target: Target) -> String {
    match target {
        Target::Within { ms } => format!("within {ms}"),
        Target::By { minute_of_day } => {
            format!("by {:02}:{:02} UTC", minute_of_day / HOUR_MINUTES, minute_of_day % HOUR_MINUTES)
        }
        Target::Eventually => "eventually".to_owned(),
    }
}

fn run_status(args: &ArgMatches, output: &Output) -> Result<(), Failure> {
    let statuses = OperatorClient::from_args(args)?.read_each("/v1/status");
    let mut reasons = Vec::new();
    let mut rows = Vec::new();
    let mut values = Vec::new();
    for (address, status) in statuses {
        match status {
            Ok(status) => {
                rows.push(status_to_row(&status));
                values.push(status);
            }
            // A refused key is refused by all entries, so the others aren't shown.
            Err(failure @ Failure::Failed(_)) => return Err(failure),
            Err(failure) => {
                let text = failure.to_text();
                rows.push(vec![address.to_string(), text.clone()]);
                values.push(json!({ "address": address, "error": failure.to_json() }));
                reasons.push(text);
            }
        }
    }
    output.print(&json!(values), || {
        let header = ["ENTRY", "REVISION", "FRESH", "STORE", "MEMBERS", "SHARDS", "WAITING"];
        render_table(&header, &rows)
    })?;
    if reasons.len() == rows.len() { Err(Failure::NotReachable(reasons)) } else { Ok(()) }
}

fn status_to_row(status: &Value) -> Vec<String> {
    let names = |list: &Value| {
        let names = list.as_array().into_iter().flatten();
        names.map(|name| name.as_str().map_or_else(|| name.to_string(), str::to_owned)).collect::<Vec<_>>().join(",")
    };
    let jobs: u64 = status["waiting"].as_array().into_iter().flatten().filter_map(|w| w["jobs"].as_u64()).sum();
    let is = |field: &str, yes: &str, no: &str| (if status[field] == true { yes } else { no }).to_owned();
    vec![
        status["entry"].as_str().unwrap_or_default().to_owned(),
        status["revision"].to_string(),
        is("fresh", "yes", "no"),
        is("store_reachable", "reached", "not reached"),
        names(&status["members"]),
        names(&status["shards"]),
        jobs.to_string(),
    ]
}

/// Runs a `list` command: prints a section of the configuration in force.
///
/// # Errors
///
/// Fails if no entry answers.
pub fn run_list(args: &ArgMatches, section: &str, output: &Output) -> Result<(), Failure> {
    print_part(&OperatorClient::from_args(args)?.read_config()?, section, output)
}

/// Builds the `list` command of a group of commands.
#[must_use]
pub fn build_list() -> Command {
    Command::new("list").about("List all objects of this kind")
}

/// Whether a command is `list`.
#[must_use]
pub fn is_list(args: &ArgMatches) -> bool {
    cli::subcommand(args).0 == "list"
}
