//! Command that generates load.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use carawaybarrow_testbed::load::{self, DirectCaller, Plan, Target};
use carawaybarrow_testbed::submit::Caller;
use clap::{ArgGroup, ArgMatches, Command};
use serde_json::json;
use smol_str::SmolStr;
use snafu::{ResultExt, Whatever};

use super::{option, print_line, value, values};

pub fn build_command() -> Command {
    Command::new("load")
        .about("Sends jobs at the times of a plan and prints counts and latencies")
        .arg(option::<PathBuf>("plan", "FILE", "JSON plan of queues, teams and rates").required(true))
        .arg(option::<SocketAddr>("entry", "ADDR", "Entries").num_args(1..))
        .arg(option::<SocketAddr>("direct", "WORKER", "Workers to call without an entry").num_args(1..))
        .group(ArgGroup::new("target").args(["entry", "direct"]).required(true))
        .arg(option::<u64>("seed", "N", "Seed that replaces the plan's"))
        .arg(option::<u64>("duration-ms", "MS", "Duration that replaces the plan's"))
        .arg(option::<f64>("scale", "X", "Factor for all rates").default_value("1"))
        .arg(option::<SmolStr>("request-id-prefix", "P", "Prefix of the request ids and marks").default_value("load"))
        .arg(option::<PathBuf>("jobs", "FILE", "File to which one JSON line is written for each ended job"))
        .arg(option::<usize>("max-in-flight", "N", "Maximum number of jobs in flight").default_value("4096"))
        .arg(option::<u64>("timeout-ms", "MS", "Timeout of one request to an entry").default_value("30000"))
        .arg(option::<u64>("wait-durable", "SECS", "Time for which durable jobs are polled").default_value("60"))
}

/// Reads the plan and applies the options that override it.
fn read_plan(args: &ArgMatches) -> Result<Plan, Whatever> {
    let file: PathBuf = value(args, "plan");
    let text = std::fs::read(&file).with_whatever_context(|_| format!("can't read {}", file.display()))?;
    let mut plan: Plan = serde_json::from_slice(&text)
        .with_whatever_context(|_| format!("{} isn't a valid load plan", file.display()))?;
    plan.seed = args.get_one("seed").copied().unwrap_or(plan.seed);
    plan.duration_ms = args.get_one("duration-ms").copied().unwrap_or(plan.duration_ms);
    for queue in &mut plan.queues {
        queue.mean_per_second *= value::<f64>(args, "scale");
    }
    Ok(plan)
}

fn build_target(args: &ArgMatches, plan: &Plan) -> Target {
    let entries: Vec<SocketAddr> = values(args, "entry");
    if entries.is_empty() {
        return Target::Direct(DirectCaller::new(&values(args, "direct"), load::lease_ttl(plan)));
    }
    let caller = Caller::new(&entries)
        .with_timeout(Duration::from_millis(value(args, "timeout-ms")))
        .with_wait_durable(Duration::from_secs(value(args, "wait-durable")));
    Target::Entries(caller)
}

/// Generates the load and prints its report. The exit code is 1 if an answer was truncated or belonged to another job.
pub async fn run_load(args: &ArgMatches) -> Result<ExitCode, Whatever> {
    let plan = read_plan(args)?;
    let target = build_target(args, &plan);
    let prefix: SmolStr = value(args, "request-id-prefix");
    let report = load::run(&plan, &target, &prefix, value(args, "max-in-flight")).await;
    if let Some(file) = args.get_one::<PathBuf>("jobs") {
        let lines: Result<Vec<String>, _> = report.jobs.iter().map(serde_json::to_string).collect();
        let text = lines.whatever_context("a job can't be encoded")?.join("\n");
        std::fs::write(file, text).with_whatever_context(|_| format!("can't write {}", file.display()))?;
    }
    let mut line = report.to_json(Duration::from_millis(plan.duration_ms));
    match &target {
        Target::Entries(caller) => line["retries"] = json!(caller.retries()),
        Target::Direct(direct) => direct.end_leases().await,
    }
    line["seed"] = json!(plan.seed);
    line["duration_ms"] = json!(plan.duration_ms);
    print_line(&line)?;
    let is_right = report.all.summary().wrong_answers == 0;
    Ok(if is_right { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
