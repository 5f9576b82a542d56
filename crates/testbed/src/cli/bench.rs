//! Commands that check and summarize the runs of `scripts/bench`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::ids::TeamId;
use carawaybarrow_core::shares::Shares;
use carawaybarrow_core::units::Percent;
use carawaybarrow_testbed::bench::{self, CheckRules, Phase, Sampler, Sources, Task};
use carawaybarrow_testbed::client::Client;
use carawaybarrow_testbed::load::JobRecord;
use carawaybarrow_testbed::starts;
use carawaybarrow_testbed::submit::Outcome;
use carawaybarrow_testbed::worker::Start;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use http_types::Method;
use serde_json::json;
use smol_str::SmolStr;
use snafu::{OptionExt, ResultExt, Whatever};

use super::{option, print_line, value, values};

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

pub fn build_commands() -> [Command; 4] {
    [
        Command::new("bench-check")
            .about("Checks the jobs of `load` against the starts on the workers and prints counts by phase")
            .arg(option::<PathBuf>("jobs", "FILE", "Files of `load --jobs`").num_args(1..).required(true))
            .arg(option::<SocketAddr>("workers", "ADDR", "Workers").num_args(1..).required(true))
            .arg(option::<SmolStr>("urgent", "QUEUE", "Queues whose jobs must start within 1.1 s").num_args(1..))
            .arg(option::<SmolStr>("once", "QUEUE", "Queues whose jobs must run at most once").num_args(1..))
            .arg(option::<SmolStr>("durable", "QUEUE", "Queues whose accepted jobs must end").num_args(1..))
            .arg(
                option::<Phase>("phase", "NAME=MS", "Phases with their start in ms since the Unix epoch").num_args(1..),
            )
            .arg(
                option::<SmolStr>(
                    "share",
                    "TEAM=PERCENT",
                    "Shares, to measure the gap between them and the actual use",
                )
                .num_args(1..),
            )
            .arg(option::<u64>("slots", "N", "Number of busy slots at which a pool counts as full").default_value("64"))
            .arg(option::<u64>("run-ms", "MS", "Run time of the jobs").default_value("250"))
            .arg(option::<u64>(
                "window-from",
                "MS",
                "Start of the window in which goodput is measured, since the Unix epoch",
            ))
            .arg(option::<u64>("window-ms", "MS", "Length of that window").default_value("1000"))
            .arg(option::<f64>("capacity", "N", "Jobs per second that the slots can run").default_value("1")),
        Command::new("bench-sample")
            .about("Samples CPU use, memory use and store calls until a file exists")
            .arg(option::<SocketAddr>("store", "ADDR", "Store").required(true))
            .arg(option::<SocketAddr>("entry", "ADDR", "Entries").num_args(1..).required(true))
            .arg(option::<u32>("pid", "PID", "Process ids of the entries, in the same order").num_args(1..))
            .arg(option::<PathBuf>("until", "FILE", "File whose existence ends the sampling").required(true)),
        Command::new("bench-table")
            .about("Prints the report of scripts/bench as tables")
            .arg(Arg::new("report").value_name("FILE").required(true).value_parser(value_parser!(PathBuf))),
        Command::new("store-control")
            .about("Starts an outage of the store, or ends it")
            .arg(option::<SocketAddr>("store", "ADDR", "Store").required(true))
            .arg(Arg::new("outage").long("outage").action(ArgAction::SetTrue).help("Start an outage")),
    ]
}

fn read_jobs(files: &[PathBuf]) -> Result<Vec<JobRecord>, Whatever> {
    let read = |file: &Path| -> Result<Vec<JobRecord>, Whatever> {
        let text = std::fs::read_to_string(file).with_whatever_context(|_| format!("can't read {}", file.display()))?;
        text.lines()
            .map(|line| serde_json::from_str(line).with_whatever_context(|_| format!("{line} isn't a job record")))
            .collect()
    };
    files.iter().map(|file| read(file)).collect::<Result<Vec<_>, _>>().map(|lists| lists.concat())
}

fn read_shares(args: &ArgMatches) -> Result<Option<Shares>, Whatever> {
    let mut shares = Vec::new();
    for text in values::<SmolStr>(args, "share") {
        let (team, share) = text.split_once('=').whatever_context("expected TEAM=PERCENT")?;
        let team = TeamId::new(team).whatever_context("invalid team in TEAM=PERCENT")?;
        shares.push((team, share.parse::<Percent>().whatever_context("invalid percentage in TEAM=PERCENT")?));
    }
    Ok((!shares.is_empty()).then(|| Shares::new(shares)))
}

/// Builds the tasks of the started jobs, by queue: each queue of a load has a pool of its own.
fn list_tasks(jobs: &[JobRecord], starts: &[Start], run_ms: u64) -> BTreeMap<SmolStr, Vec<Task>> {
    let mut first = BTreeMap::new();
    for start in starts {
        let at = first.entry(&start.mark).or_insert(start.at_ms);
        *at = start.at_ms.min(*at);
    }
    let mut pools = BTreeMap::<SmolStr, Vec<Task>>::new();
    for job in jobs {
        let Some(&started_ms) = first.get(&job.mark) else { continue };
        let (team, arrived_ms) = (job.team.clone(), job.arrived_ms);
        let task = Task { team, arrived_ms, started_ms, ended_ms: started_ms + run_ms };
        pools.entry(job.queue.clone()).or_default().push(task);
    }
    pools
}

/// Prints the counts. The exit code is 1 if a job was lost or ran more often than allowed, an answer was wrong or a job
/// that was reported as not run did run.
pub async fn run_check(args: &ArgMatches) -> Result<ExitCode, Whatever> {
    let rules = CheckRules {
        urgent: values(args, "urgent"),
        once: values(args, "once"),
        durable: values(args, "durable"),
        phases: values(args, "phase"),
    };
    let jobs = read_jobs(&values(args, "jobs"))?;
    let starts = starts::read_starts(&values(args, "workers")).await?;
    let counts = bench::check_jobs(&jobs, &starts, &rules);
    let is_right = counts.iter().all(|(_, c)| c.is_correct());
    let phases: Vec<_> = counts.iter().map(|(name, c)| json!({ "phase": name, "counts": c })).collect();
    let mut line = json!({ "phases": phases, "right": is_right });
    let tasks = list_tasks(&jobs, &starts, value(args, "run-ms"));
    if let Some(shares) = read_shares(args)? {
        let (gap, samples) = bench::measure_share_gap(&tasks, value(args, "slots"), &shares);
        line["share_gap_points"] = json!(gap);
        line["share_samples"] = json!(samples);
    }
    if let Some(&from) = args.get_one::<u64>("window-from") {
        let length: u64 = value(args, "window-ms");
        let served: BTreeSet<_> = jobs.iter().filter(|j| j.result == Outcome::Served).map(|j| &j.mark).collect();
        let in_window = starts.iter().filter(|s| (from..from + length).contains(&s.at_ms));
        // A job that was started again after a failure counts once.
        let marks: BTreeSet<_> = in_window.map(|s| &s.mark).filter(|mark| served.contains(mark)).collect();
        let goodput = marks.len() as f64 * 1e3 / length as f64;
        line["goodput_per_second"] = json!(goodput);
        line["goodput_percent"] = json!(goodput * 100.0 / value::<f64>(args, "capacity"));
    }
    print_line(&line)?;
    Ok(if is_right { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Samples until the file exists, then prints rates, peaks and the resource use of the entries.
pub async fn run_sample(args: &ArgMatches) -> Result<ExitCode, Whatever> {
    let sources = Sources { store: value(args, "store"), entries: values(args, "entry"), pids: values(args, "pid") };
    let until: PathBuf = value(args, "until");
    let mut sampler = Sampler::start(sources).await;
    while !until.exists() {
        task::sleep(SAMPLE_INTERVAL).await;
        sampler.sample().await;
    }
    print_line(&sampler.to_json())?;
    Ok(ExitCode::SUCCESS)
}

/// Prints a report as tables.
pub fn run_table(args: &ArgMatches) -> Result<ExitCode, Whatever> {
    let file: PathBuf = value(args, "report");
    let text = std::fs::read_to_string(&file).with_whatever_context(|_| format!("can't read {}", file.display()))?;
    let lines: Result<Vec<_>, _> = text.lines().map(serde_json::from_str).collect();
    println!("{}", bench::format_report(&lines.whatever_context("the report has a line that isn't JSON")?));
    Ok(ExitCode::SUCCESS)
}

/// Starts or ends an outage of the store.
pub async fn run_store_control(args: &ArgMatches) -> Result<ExitCode, Whatever> {
    let method = if args.get_flag("outage") { Method::Post } else { Method::Delete };
    let sent = Client::new().call(value(args, "store"), method, "/control/outage", &[], "{}").await;
    let reply = sent.whatever_context("can't call the store")?;
    Ok(if reply.status == 200 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
