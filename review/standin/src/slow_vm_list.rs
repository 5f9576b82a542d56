//! Case: workers start again under their ids at once, while the VM API answers slowly.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_standin::caller::{Caller, Job};
use carawaybarrow_standin::settings::write_configuration;
use carawaybarrow_standin::store::Store;
use carawaybarrow_standin::workers::{EndReason, Fleet, ObservedRun};

use crate::installation::Installation;
use crate::record::Record;
use crate::vm_api::{self, POOL, VmApi};
use crate::{Failure, Outcome};

const KEY: &str = "review-key";

/// One of them is down at a time: a share of 0.125.
const WORKERS: usize = 8;

/// Time for an answer of the VM API while it is slow.
const SLOW_ANSWER: Duration = Duration::from_millis(500);

/// Time for an answer of the VM API otherwise.
const ANSWER: Duration = Duration::from_millis(4);

/// Time for which a crashed worker is down.
const DOWN: Duration = Duration::from_millis(300);

/// Time between crashes.
const CRASH_INTERVAL: Duration = Duration::from_millis(4_000);

/// Time between jobs. The workers are used by half.
const JOB_INTERVAL: Duration = Duration::from_millis(450);

const TASKS: u32 = 6;
const RUN_TIME_MS: u64 = 1_200;

/// Plays the case.
pub async fn play(record: &mut Record, has_trouble: bool) -> Result<Outcome, Failure> {
    let store = Store::default();
    let (store_address, _store_server) = store.serve().await?;
    let (fleet, _worker_servers) = Fleet::start(&store, POOL, WORKERS).await?;
    let proxies = vm_api::start_proxies(&fleet, WORKERS).await?;
    write_configuration(&store, 1, POOL, &[KEY]);
    let delay = if has_trouble { SLOW_ANSWER } else { ANSWER };
    let api = VmApi::new(WORKERS, delay);
    let (api_address, _api_server) = api.serve().await?;
    record.line(format!("{WORKERS} workers of 4 cores; the VM API answers after {} ms", delay.as_millis()));
    let installation = Installation::start(store_address, Some(api_address))?;
    let caller = Arc::new(Caller::new(KEY));
    installation.await_start(&caller).await?;
    task::sleep(Duration::from_secs(4)).await;
    let started = Instant::now();
    let mut crashes = 0;
    let mut sent = Vec::new();
    while crashes < WORKERS {
        let number = sent.len() + 1;
        let job = Job { id: format!("{number:016x}"), steps: vec![TASKS], run_time_ms: Some(RUN_TIME_MS) };
        let entry = installation.entries[number % installation.entries.len()];
        let caller = Arc::clone(&caller);
        sent.push((Instant::now(), job.id.clone(), task::spawn(async move { caller.submit(entry, &job).await })));
        if started.elapsed() >= CRASH_INTERVAL * u32::try_from(crashes)? {
            if has_trouble {
                record.line(format!("w{crashes} crashes; it starts again under its id {} ms later", DOWN.as_millis()));
                api.crash(&fleet, &proxies[crashes], crashes, DOWN);
            }
            crashes += 1;
        }
        task::sleep(JOB_INTERVAL).await;
    }
    task::sleep(Duration::from_secs(5)).await;
    for (at, id, answer) in sent {
        record.line_at(at, format!("POST of job {id}, {TASKS} tasks of {RUN_TIME_MS} ms: {:?}", answer.await));
    }
    drop(installation);
    let runs = fleet.runs();
    let done = runs.iter().filter(|run| matches!(run.ended, Some((_, EndReason::Done)))).count();
    record.line(format!("{} runs, {done} of them done", runs.len()));
    if done == 0 {
        return Err("no task was done".into());
    }
    Ok(if report_doubled(record, &runs) == 0 { Outcome::Held } else { Outcome::Broken })
}

/// Records the runs of one task that overlap, and returns the number of pairs. The runs of a worker end when it crashes.
fn report_doubled(record: &mut Record, runs: &[ObservedRun]) -> usize {
    let mut by_task: BTreeMap<&str, Vec<&ObservedRun>> = BTreeMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    let mut doubled = 0;
    for (task, runs) in by_task {
        for (number, run) in runs.iter().enumerate() {
            for other in &runs[number + 1..] {
                if run.ended.is_none_or(|(at, _)| other.began < at) {
                    doubled += 1;
                    for run in [run, other] {
                        record.line_at(run.began, format!("{task} run {} starts on {}", run.run, run.worker));
                        if let Some((at, reason)) = run.ended {
                            record.line_at(at, format!("{task} run {} ends on {}: {reason:?}", run.run, run.worker));
                        }
                    }
                }
            }
        }
    }
    record.line(format!("{doubled} pairs of runs of one task overlap"));
    doubled
}
