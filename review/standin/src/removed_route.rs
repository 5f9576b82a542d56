//! Case: the route of an accepted job is removed and added again while some workers fail what they start.

use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_standin::caller::{Answer, Caller, Job};
use carawaybarrow_standin::settings::{HOST, KEYED_QUEUE_PREFIX, OPEN_QUEUE_PREFIX};
use carawaybarrow_standin::store::Store;
use carawaybarrow_standin::workers::{EndReason, Fault, Fleet};
use serde_json::{Value, json};

use crate::installation::Installation;
use crate::record::Record;
use crate::{Failure, Outcome};

const POOL: &str = "pool";
const KEY: &str = "review-key";
const WORKERS: usize = 36;

/// Workers that fail what they start, as long as they are faulty: a share of 0.083 of all.
const FAULTY: [usize; 3] = [0, 1, 10];

/// Time for which they are faulty.
const FAULTY_FOR: Duration = Duration::from_millis(6_000);

/// Failed runs of a task after which its job fails, in each configuration that has the route.
const MAX_ATTEMPTS: u64 = 4;

/// Time from the acceptance of the job to the version without its route.
const REMOVED_AFTER: Duration = Duration::from_millis(200);

/// Time from that to the version with its route.
const ABSENT_FOR: Duration = Duration::from_millis(6_000);

/// Time in which the job has to end then.
const END_LIMIT: Duration = Duration::from_secs(15);

fn write_configuration(store: &Store, version: u64, has_keyed_route: bool) {
    let route = |name: &str, prefix: &str, is_open: bool| -> Value {
        json!({
            "name": name, "host": HOST, "prefix": prefix, "kind": "non_idempotent", "service": POOL, "priority": 0,
            "max-attempts": MAX_ATTEMPTS, "stretch-factor": 2.0, "target-duration-ms": 1_000, "public": is_open,
        })
    };
    let mut routes = vec![route("lasting", OPEN_QUEUE_PREFIX, true)];
    if has_keyed_route {
        routes.push(route("short", KEYED_QUEUE_PREFIX, false));
    }
    let configuration = json!({
        "version": version, "routes": routes, "services": [{ "name": POOL }],
        "tenants": [{ "name": "team", "api-keys": [KEY], "weight": 100, "ceiling": { "cpu": 0, "mem-mb": 0 } }],
        "limits": {},
    });
    store.write("op/config", &configuration);
}

/// Plays the case.
pub async fn play(record: &mut Record, has_trouble: bool) -> Result<Outcome, Failure> {
    let store = Store::default();
    let (store_address, _store_server) = store.serve().await?;
    let (fleet, _worker_servers) = Fleet::start(&store, POOL, WORKERS).await?;
    write_configuration(&store, 1, true);
    record.line(format!("configuration 1: the route has max-attempts {MAX_ATTEMPTS}"));
    let installation = Installation::start(store_address, None)?;
    let caller = Caller::new(KEY);
    installation.await_start(&caller).await?;
    task::sleep(Duration::from_secs(3)).await;
    FAULTY.iter().for_each(|&index| fleet.set_fault(index, Fault::Fails));
    let faulty_until = Instant::now() + FAULTY_FOR;
    record.line(format!("workers {FAULTY:?} fail what they start"));
    let entry = installation.entries[1];
    let job = Job { id: "00000000000000bb".to_owned(), steps: vec![1], run_time_ms: Some(500) };
    let answer = caller.submit(entry, &job).await;
    record.line(format!("POST {}{}: {answer:?}", KEYED_QUEUE_PREFIX, job.id));
    if !matches!(answer, Answer::Yes(_)) {
        return Err("the job was not accepted".into());
    }
    task::sleep(REMOVED_AFTER).await;
    if has_trouble {
        write_configuration(&store, 2, false);
        record.line("configuration 2: without the route");
    }
    task::sleep(faulty_until.saturating_duration_since(Instant::now())).await;
    FAULTY.iter().for_each(|&index| fleet.set_fault(index, Fault::None));
    record.line(format!("workers {FAULTY:?} are sound again"));
    task::sleep(ABSENT_FOR.saturating_sub(FAULTY_FOR)).await;
    if has_trouble {
        write_configuration(&store, 3, true);
        record.line(format!("configuration 3: the route is back, with max-attempts {MAX_ATTEMPTS}"));
    }
    let deadline = Instant::now() + END_LIMIT;
    let mut last = String::new();
    while Instant::now() < deadline {
        let answer = caller.state(entry, &job).await;
        let state = match &answer {
            Answer::Yes(state) => state.clone(),
            other => format!("{other:?}"),
        };
        if state != last {
            record.line(format!("GET {}{}: {state}", KEYED_QUEUE_PREFIX, job.id));
            last.clone_from(&state);
        }
        if matches!(state.as_str(), "completed" | "failed" | "cancelled") {
            break;
        }
        task::sleep(Duration::from_millis(100)).await;
    }
    drop(installation);
    let runs = fleet.runs();
    let mut failed_runs = 0;
    for run in runs.iter().filter(|run| run.task.starts_with(&job.id)) {
        record.line_at(run.began, format!("{} run {} starts on {}", run.task, run.run, run.worker));
        if let Some((at, reason)) = run.ended {
            record.line_at(at, format!("{} run {} ends: {reason:?}", run.task, run.run));
            failed_runs += u64::from(reason == EndReason::Failed);
        }
    }
    record.line(format!("{failed_runs} runs failed, {MAX_ATTEMPTS} may; the job is shown as {last}"));
    match last.as_str() {
        "completed" => Ok(Outcome::Held),
        "failed" if failed_runs < MAX_ATTEMPTS => Ok(Outcome::Broken),
        _ => Err(format!("the job is shown as {last} at the end").into()),
    }
}
