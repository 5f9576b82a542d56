//! Case: workers crash one after the other, and each starts again under the id that it had.

use std::time::Duration;

use async_std::task;
use carawaybarrow_standin::caller::{Answer, Caller, Job};
use carawaybarrow_standin::settings::write_configuration;
use carawaybarrow_standin::store::Store;
use carawaybarrow_standin::workers::Fleet;

use crate::installation::Installation;
use crate::record::Record;
use crate::vm_api::{self, POOL, VmApi};
use crate::{Failure, Outcome};

const KEY: &str = "review-key";

/// One of them is down at a time: a share of 0.125.
const WORKERS: usize = 8;

/// Time for an answer of the VM API.
const ANSWER: Duration = Duration::from_millis(4);

/// Time for which a crashed worker is down. It is short enough for its report to stay in the store.
const DOWN: Duration = Duration::from_millis(1_400);

/// Time between crashes.
const CRASH_INTERVAL: Duration = Duration::from_millis(3_500);

/// Time from the last crash to the last jobs, in which nothing is disturbed.
const CALM: Duration = Duration::from_secs(8);

/// Time for the last jobs, whose single tasks take 0.3 s, until they are asked for.
const FINISH: Duration = Duration::from_secs(20);

/// Plays the case.
pub async fn play(record: &mut Record, has_trouble: bool) -> Result<Outcome, Failure> {
    let store = Store::default();
    let (store_address, _store_server) = store.serve().await?;
    let (fleet, _worker_servers) = Fleet::start(&store, POOL, WORKERS).await?;
    let proxies = vm_api::start_proxies(&fleet, WORKERS).await?;
    write_configuration(&store, 1, POOL, &[KEY]);
    let api = VmApi::new(WORKERS, ANSWER);
    let (api_address, _api_server) = api.serve().await?;
    let installation = Installation::start(store_address, Some(api_address))?;
    let caller = Caller::new(KEY);
    installation.await_start(&caller).await?;
    record.line(format!("{WORKERS} workers of 4 cores"));
    task::sleep(Duration::from_secs(4)).await;
    for (index, proxy) in proxies.iter().enumerate() {
        if has_trouble {
            record.line(format!("w{index} crashes; it starts again under its id {} ms later", DOWN.as_millis()));
            api.crash(&fleet, proxy, index, DOWN);
        }
        task::sleep(CRASH_INTERVAL).await;
    }
    task::sleep(CALM).await;
    record.line("all workers have been up for some seconds");
    let mut jobs = Vec::new();
    for (number, entry) in installation.entries.iter().enumerate() {
        let job = Job { id: format!("{:016x}", 0xcc00 + number), steps: vec![1], run_time_ms: Some(300) };
        let answer = caller.submit(*entry, &job).await;
        record.line(format!("POST of job {}, one task of 0.3 s: {answer:?}", job.id));
        if matches!(answer, Answer::Yes(_)) {
            jobs.push((*entry, job));
        }
    }
    if jobs.is_empty() {
        return Err("no job was accepted".into());
    }
    task::sleep(FINISH).await;
    let mut lost = 0;
    for (entry, job) in &jobs {
        let answer = caller.state(*entry, job).await;
        record.line(format!("GET of job {}: {answer:?}", job.id));
        lost += usize::from(!matches!(&answer, Answer::Yes(state) if state == "completed"));
    }
    drop(installation);
    let runs = fleet.runs();
    for (_, job) in &jobs {
        for run in runs.iter().filter(|run| run.task.starts_with(&job.id)) {
            let how = run.ended.map(|(_, reason)| reason);
            record.line_at(run.began, format!("{} run {} starts on {}: {how:?}", run.task, run.run, run.worker));
        }
    }
    let running = runs.iter().filter(|run| run.ended.is_none()).count();
    record.line(format!("{} runs in all, {running} of them not ended; {lost} of {} jobs lost", runs.len(), jobs.len()));
    Ok(if lost == 0 { Outcome::Held } else { Outcome::Broken })
}
