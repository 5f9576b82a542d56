//! Commands that submit jobs and check what ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use carawaybarrow_testbed::starts::{self, StartCounts};
use carawaybarrow_testbed::submit::{self, Caller, Job, Summary};
use clap::{Arg, ArgAction, ArgMatches, Command};
use futures::StreamExt;
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};
use snafu::{ResultExt, Whatever};

use super::{option, print_line, value, values};

/// Maximum number of different reasons that the summary shows, each with a count.
const MAX_SHOWN_REASONS: usize = 10;

pub fn build_commands() -> [Command; 2] {
    [
        Command::new("call")
            .about("Submits jobs to entries, checks the answers and prints a summary")
            .arg(option::<SocketAddr>("entry", "ADDR", "Entries").num_args(1..).required(true))
            .arg(option::<String>("key", "KEY", "Key sent with the requests"))
            .arg(option::<SmolStr>("queue", "QUEUE", "Queue to which the jobs are submitted").required(true))
            .arg(option::<SmolStr>("team", "TEAM", "Team to name in the request"))
            .arg(option::<u64>("count", "N", "Number of jobs").default_value("1"))
            .arg(option::<usize>("concurrency", "C", "Maximum number of jobs in flight").default_value("1"))
            .arg(
                option::<Value>("payload", "JSON", "Payload; each job gets a mark of its own unless it has one")
                    .default_value("{}"),
            )
            .arg(option::<SmolStr>("request-id-prefix", "P", "Prefix of the request ids, which are also the marks"))
            .arg(option::<u64>("wait-durable", "SECS", "Time for which durable jobs are polled").default_value("60"))
            .arg(option::<u64>("timeout-ms", "MS", "Timeout of one request").default_value("30000"))
            .arg(option::<u64>("expected-run-ms", "MS", "Declared run time of the jobs"))
            .arg(option::<u64>("deadline-ms", "MS", "Deadline of the jobs"))
            .arg(Arg::new("list").long("list").action(ArgAction::SetTrue).help("Also print one line for each job")),
        Command::new("check-starts")
            .about("Prints how often each marked job was started on the workers")
            .arg(option::<SocketAddr>("workers", "ADDR", "Workers").num_args(1..).required(true))
            .arg(option::<SmolStr>("once", "MARK", "Fail if a job with the mark started more than once").num_args(1..))
            .arg(
                option::<SmolStr>(
                    "once-prefix",
                    "TEXT",
                    "Fail if a job whose mark has the prefix started more than once",
                )
                .num_args(1..),
            )
            .arg(option::<SmolStr>("ran", "MARK", "Fail if no job with the mark started").num_args(1..)),
    ]
}

fn build_jobs(args: &ArgMatches) -> Vec<Job> {
    let payload: Value = value(args, "payload");
    let prefix = args.get_one::<SmolStr>("request-id-prefix");
    let build = |n| {
        let mark = format_smolstr!("{}-{n}", prefix.map_or("job", SmolStr::as_str));
        Job {
            queue: value(args, "queue"),
            team: args.get_one("team").cloned(),
            payload: submit::mark_payload(&payload, &mark),
            request_id: prefix.map(|_| mark),
            expected_run_ms: args.get_one("expected-run-ms").copied(),
            deadline_ms: args.get_one("deadline-ms").copied(),
        }
    };
    (0..value::<u64>(args, "count")).map(build).collect()
}

/// Submits the jobs and prints a summary. The exit code is 1 if an answer was truncated or belonged to another job.
pub async fn run_call(args: &ArgMatches) -> Result<ExitCode, Whatever> {
    let caller = Caller::new(&values(args, "entry"))
        .with_key(args.get_one("key").cloned())
        .with_timeout(Duration::from_millis(value(args, "timeout-ms")))
        .with_wait_durable(Duration::from_secs(value(args, "wait-durable")));
    let started = Instant::now();
    let (mut summary, mut reasons) = (Summary::default(), BTreeMap::<String, u64>::new());
    let calls = build_jobs(args).into_iter().map(|job| {
        let caller = &caller;
        async move { (caller.submit(&job).await, job) }
    });
    let mut outcomes = futures::stream::iter(calls).buffer_unordered(value::<usize>(args, "concurrency").max(1));
    while let Some((outcome, job)) = outcomes.next().await {
        summary.add(&outcome);
        if let Some(reason) = outcome.reason()
            && (reasons.len() < MAX_SHOWN_REASONS || reasons.contains_key(&reason))
        {
            *reasons.entry(reason).or_default() += 1;
        }
        if args.get_flag("list") {
            print_line(&json!({ "request_id": job.request_id, "result": outcome }))?;
        }
    }
    let mut summary_line = serde_json::to_value(summary).whatever_context("can't serialize the summary")?;
    summary_line["retries"] = json!(caller.retries());
    summary_line["elapsed_ms"] = json!(started.elapsed().as_millis() as u64);
    summary_line["reasons"] = json!(reasons);
    print_line(&summary_line)?;
    Ok(if summary.wrong_answers == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Prints the number of starts by mark. The exit code is 1 if a mark violates one of the given conditions.
pub async fn run_check_starts(args: &ArgMatches) -> Result<ExitCode, Whatever> {
    let marks: StartCounts = starts::count_starts(&values(args, "workers")).await?;
    let once: Vec<SmolStr> = values(args, "once");
    let prefixes: Vec<SmolStr> = values(args, "once-prefix");
    let is_once = |mark: &SmolStr| once.contains(mark) || prefixes.iter().any(|p| mark.starts_with(p.as_str()));
    let doubled: StartCounts =
        marks.iter().filter(|(m, n)| **n > 1 && is_once(m)).map(|(m, n)| (m.clone(), *n)).collect();
    let missing: Vec<SmolStr> = values(args, "ran").into_iter().filter(|m| !marks.contains_key(m)).collect();
    let has_passed = doubled.is_empty() && missing.is_empty();
    print_line(&json!({ "marks": marks, "doubled": doubled, "missing": missing }))?;
    Ok(if has_passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
