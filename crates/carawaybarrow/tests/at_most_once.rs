//! A job that is not idempotent runs at most once (invariant I7), and no accepted job is lost.

mod cluster;

use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_core::job::derive_job_id;
use carawaybarrow_testbed::submit::{Caller, Job, Outcome};
use cluster::{CLINIC_SECRET, Cluster, Load, control, job_with_request_id};
use http_types::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

/// Number of callers that submit jobs.
const CALLERS: usize = 12;

/// Lifetime of the lease of an owner of job shards, as in `ownership.rs` (design, section 3).
const OWNER_LEASE_TTL: Duration = Duration::from_secs(5);

/// Maximum time from the last fault until all accepted jobs have ended: 5 s until the owner's lease lapses
/// ([`OWNER_LEASE_TTL`]), then 15 s, counted from the change of the owner, until the lease of a claim without a start
/// lapses (`DURABLE_LEASE_TTL` in `durable.rs`; design, section 6), and 15 s of margin.
const END_BOUND: Duration = Duration::from_secs(35);

async fn start(name: &str) -> Cluster {
    let cluster = Cluster::start(name, 3, 4).await;
    cluster.configure(50).await;
    cluster
}

/// Submits jobs that are not idempotent, with run times from 20 to 300 ms. The callers wait for no end of a job:
/// `check_outcomes` does so after the faults.
fn start_load(cluster: &Cluster) -> Load {
    let caller = Caller::new(&cluster.caller_addresses()).with_key(Some(CLINIC_SECRET.to_owned()));
    cluster.start_load_with(&caller, CALLERS, |i| {
        job_with_request_id("masters", &format!("m{i}"), 20 + (i as u64 * 37) % 280)
    })
}

fn job_id(job: &Job) -> String {
    let (team, queue) = ("clinic".parse().unwrap(), job.queue.parse().unwrap());
    derive_job_id(Some(&team), &queue, job.request_id.as_deref().unwrap()).to_string()
}

/// Status and body of the first entry's response about a job.
async fn find_state(cluster: &Cluster, id: &str) -> (u16, Value) {
    let reply = cluster.call(0, Method::Get, &format!("/v1/jobs/{id}"), CLINIC_SECRET, "").await;
    (reply.status, reply.json().unwrap_or_default())
}

/// Waits for the end of all accepted jobs and compares the outcomes with the starts at the workers.
async fn check_outcomes(cluster: &Cluster, outcomes: &[(Job, Outcome)]) {
    let deadline = Instant::now() + END_BOUND;
    let mut ended = Vec::new();
    for (job, outcome) in outcomes {
        let (mark, id) = (job.request_id.as_deref().unwrap(), job_id(job));
        let state = loop {
            let (status, shown) = find_state(cluster, &id).await;
            let state = shown["state"].as_str().unwrap_or("none").to_owned();
            let is_over = match status {
                200 => ["done", "failed", "unknown"].contains(&state.as_str()),
                // A job whose acceptance was not confirmed need not exist.
                404 => matches!(outcome, Outcome::NotRun { .. } | Outcome::Unknown { .. }),
                _ => false,
            };
            if is_over {
                break state;
            }
            if Instant::now() >= deadline {
                let entries = [cluster.status(0).await, cluster.status(1).await, cluster.status(2).await];
                panic!("{mark} has not ended after {END_BOUND:?}: {status} {shown}, {outcome:?}, {entries:?}");
            }
            task::sleep(Duration::from_millis(50)).await;
        };
        ended.push((mark.to_owned(), state, outcome));
    }
    let starts = cluster.count_starts_by_mark().await;
    let mut counts = std::collections::BTreeMap::<_, usize>::new();
    for (mark, state, outcome) in ended {
        let started = starts.get(&mark).copied().unwrap_or(0);
        assert!(started <= 1, "{mark} was started {started} times: {state}, {outcome:?}");
        assert!(state != "done" || started == 1, "{mark} is done without a start");
        assert!(state != "none" || started == 0, "{mark} was started and is not in the journal: {outcome:?}");
        let is_refused = matches!(outcome, Outcome::NotRun { .. });
        assert!(!is_refused || started == 0, "{mark} was reported as not run and started: {outcome:?}");
        assert_ne!(*outcome, Outcome::WrongAnswer, "{mark}");
        *counts.entry(state).or_default() += 1;
    }
    println!("{counts:?}");
    assert!(counts.get("done").is_some_and(|n| *n >= CALLERS), "{counts:?}");
}

/// Guards against a second start of a job, and against lost jobs, when the owner of their shard is killed: the next
/// owner reads claims whose starts may have been sent.
#[async_std::test]
async fn jobs_run_at_most_once_when_owners_are_killed() {
    let mut cluster = start("once-kill").await;
    let load = start_load(&cluster);
    let mut rng = StdRng::seed_from_u64(11);
    for index in [0, 1, 2, 0] {
        task::sleep(Duration::from_millis(rng.random_range(300..1_500))).await;
        cluster.entries[index].kill();
        cluster.restart_entry(index);
    }
    let outcomes = load.stop().await;
    check_outcomes(&cluster, &outcomes).await;
}

/// Guards against a start by a former owner: a process that was suspended for longer than its lease resumes after
/// another entry took over its shards and claimed the job.
#[async_std::test]
async fn jobs_run_at_most_once_when_owners_are_suspended() {
    let cluster = start("once-freeze").await;
    let load = start_load(&cluster);
    for index in [0, 1] {
        task::sleep(Duration::from_millis(700)).await;
        cluster.entries[index].signal("STOP");
        task::sleep(OWNER_LEASE_TTL + Duration::from_secs(2)).await;
        cluster.entries[index].signal("CONT");
    }
    let outcomes = load.stop().await;
    check_outcomes(&cluster, &outcomes).await;
}

/// Guards against a claim or an acceptance that is written twice, or assumed not to be written, after the store's
/// response was lost: the write may have been applied, not applied, or be applied later.
#[async_std::test]
async fn jobs_run_at_most_once_when_store_responses_are_lost() {
    let cluster = start("once-lost").await;
    let load = start_load(&cluster);
    for (seed, effect) in [(1, "applied"), (2, "none"), (3, "late"), (4, "applied")] {
        let lost = json!({ "probability": 0.3, "seed": seed, "prefixes": ["jobs"], "effect": effect, "late_ms": 100 });
        control(cluster.store, "lost", &lost).await;
        task::sleep(Duration::from_millis(1_500)).await;
    }
    control(cluster.store, "lost", &json!({})).await;
    let outcomes = load.stop().await;
    check_outcomes(&cluster, &outcomes).await;
}

/// Guards against a start that is sent again because the worker's response to the first one was lost, truncated or
/// late.
#[async_std::test]
async fn jobs_run_at_most_once_when_start_responses_are_lost() {
    let cluster = start("once-start").await;
    let load = start_load(&cluster);
    for round in 0..10 {
        for worker in &cluster.workers {
            let faults = if round % 2 == 0 { json!({ "lost": 3 }) } else { json!({ "cut": 2, "delay_ms": 20 }) };
            control(*worker, "faults", &faults).await;
        }
        task::sleep(Duration::from_millis(400)).await;
    }
    for worker in &cluster.workers {
        control(*worker, "faults", &json!({ "lost": 0, "cut": 0, "delay_ms": 0 })).await;
    }
    let outcomes = load.stop().await;
    check_outcomes(&cluster, &outcomes).await;
}

/// Guards against a second start when several faults coincide: lost responses of the store and the workers, stale
/// reads, a killed owner and a suspended one.
#[async_std::test]
async fn jobs_run_at_most_once_when_faults_coincide() {
    let mut cluster = start("once-all").await;
    let load = start_load(&cluster);
    let lost = json!({ "probability": 0.2, "seed": 5, "prefixes": ["jobs", "owner"], "effect": "applied" });
    control(cluster.store, "lost", &lost).await;
    control(cluster.store, "stale", &json!({ "ms": 300 })).await;
    let mut rng = StdRng::seed_from_u64(12);
    for (killed, suspended) in [(0, 1), (2, 0)] {
        cluster.entries[suspended].signal("STOP");
        task::sleep(Duration::from_millis(rng.random_range(100..900))).await;
        for worker in &cluster.workers {
            control(*worker, "faults", &json!({ "lost": 2 })).await;
        }
        cluster.entries[killed].kill();
        cluster.restart_entry(killed);
        task::sleep(OWNER_LEASE_TTL + Duration::from_secs(1)).await;
        cluster.entries[suspended].signal("CONT");
    }
    control(cluster.store, "lost", &json!({})).await;
    control(cluster.store, "stale", &json!({ "ms": 0 })).await;
    for worker in &cluster.workers {
        control(*worker, "faults", &json!({ "lost": 0 })).await;
    }
    let outcomes = load.stop().await;
    check_outcomes(&cluster, &outcomes).await;
}
