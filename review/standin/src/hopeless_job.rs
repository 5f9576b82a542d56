//! Case: one job of many can never be done, as its lasting tasks fit on no worker.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_net::client::{Call, Client};
use carawaybarrow_standin::caller::{Answer, Caller, Job};
use carawaybarrow_standin::settings::{HOST, OPEN_QUEUE_PREFIX, write_configuration};
use carawaybarrow_standin::store::Store;
use carawaybarrow_standin::workers::Fleet;
use http_types::Method;
use serde_json::json;

use crate::installation::Installation;
use crate::record::Record;
use crate::{Failure, Outcome};

const POOL: &str = "pool";
const KEY: &str = "review-key";

/// Workers, of 4 cores each.
const WORKERS: usize = 8;

/// Jobs that can be done, beside the one that can't: a share of 0.05.
const JOBS: usize = 19;

/// Time between jobs. All are sent within 3 s.
const JOB_INTERVAL: Duration = Duration::from_millis(150);

const HOPELESS_ID: &str = "00000000000000dd";

/// Number of the hopeless job's tasks, and the cores of each, in thousandths.
const HOPELESS_TASKS: usize = 8;
const HOPELESS_CPU: u64 = 5_000;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time from the last job until all jobs are asked for.
const FINISH: Duration = Duration::from_secs(20);

async fn send_hopeless(entry: SocketAddr) -> Result<u16, Failure> {
    let step = json!({ "count": HOPELESS_TASKS, "cpu": HOPELESS_CPU, "mem-mb": 100, "long-running": true });
    let body = json!({ "spec": "lasting", "steps": [step] });
    let call = Call::new(Method::Post, format!("{OPEN_QUEUE_PREFIX}{HOPELESS_ID}"))
        .with_header("host", HOST)
        .with_header("x-key", KEY)
        .with_body(body.to_string());
    Ok(Client::new("caller").call(entry, &call, ANSWER_TIMEOUT).await?.status)
}

/// Plays the case.
pub async fn play(record: &mut Record, has_trouble: bool) -> Result<Outcome, Failure> {
    let store = Store::default();
    let (store_address, _store_server) = store.serve().await?;
    let (fleet, _worker_servers) = Fleet::start(&store, POOL, WORKERS).await?;
    write_configuration(&store, 1, POOL, &[KEY]);
    let installation = Installation::start(store_address, None)?;
    let caller = Caller::new(KEY);
    installation.await_start(&caller).await?;
    task::sleep(Duration::from_secs(3)).await;
    record.line(format!("{WORKERS} workers of 4 cores, all idle"));
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let entry = installation.entries[number % installation.entries.len()];
        if number == JOBS / 2 && has_trouble {
            let status = send_hopeless(entry).await?;
            record.line(format!("POST of job {HOPELESS_ID}, {HOPELESS_TASKS} lasting tasks of 5 cores: {status}"));
        }
        let job = Job { id: format!("{:016x}", 0xee00 + number), steps: vec![1], run_time_ms: Some(300) };
        let answer = caller.submit(entry, &job).await;
        record.line(format!("POST of job {}, one task of 1 core for 0.3 s: {answer:?}", job.id));
        if matches!(answer, Answer::Yes(_)) {
            jobs.push((entry, job));
        }
        task::sleep(JOB_INTERVAL).await;
    }
    let asked_at = Instant::now() + FINISH;
    task::sleep(asked_at.saturating_duration_since(Instant::now())).await;
    let mut lost = 0;
    for (entry, job) in &jobs {
        let answer = caller.state(*entry, job).await;
        record.line(format!("GET of job {}: {answer:?}", job.id));
        lost += usize::from(!matches!(&answer, Answer::Yes(state) if state == "completed"));
    }
    drop(installation);
    let runs = fleet.runs();
    for run in &runs {
        let how = run.ended.map(|(_, reason)| reason);
        record.line_at(run.began, format!("{} run {} starts on {}: {how:?}", run.task, run.run, run.worker));
    }
    record.line(format!("{lost} of {} accepted jobs that can be done have not been done", jobs.len()));
    Ok(if lost == 0 { Outcome::Held } else { Outcome::Broken })
}
