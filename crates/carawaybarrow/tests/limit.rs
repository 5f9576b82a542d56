//! No team has more work running than its limit (I4), whatever happens to entries, workers and the store.

mod cluster;

use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_testbed::submit::{Job, Outcome};
use cluster::{CLINIC_SECRET, Cluster, Flood, clip, control, end_control, named, poll_until};
use serde_json::json;

/// Limit of the team.
const LIMIT: u64 = 6;

/// Run time of a job of a flood.
const RUN_MS: u64 = 30;

/// Callers of a flood; several times the limit.
const CALLERS: usize = 40;

/// Lifetime of a slot lease of an urgent task (design, section 7).
const SLOT_LEASE_TTL: Duration = Duration::from_secs(3);

/// Time from the departure of an entry until its permits may be reclaimed (design, section 7).
const RECLAIM_DELAY: Duration = Duration::from_secs(10);

/// Time within which an accepted change is in force everywhere (design, section 1.7).
const CHANGE_BOUND: Duration = Duration::from_secs(10);

async fn start(name: &str) -> Cluster {
    // Four workers have 32 slots, so that the limit and not the pool holds the team back.
    let cluster = Cluster::start(name, 3, 4).await;
    cluster.configure(LIMIT as u32).await;
    cluster
}

fn flood(cluster: &Cluster, name: &'static str) -> Flood {
    cluster.flood(CALLERS, move |i| named("clips", &format!("{name}-{i}"), RUN_MS))
}

/// Waits until the team runs as much as it may. It guards against a limit that holds because nothing runs.
async fn reach_limit(cluster: &Cluster, limit: u64) {
    poll_until(&format!("{limit} tasks run"), || async { (cluster.running("clinic") == limit).then_some(()) }).await;
}

async fn check_peak(cluster: &Cluster, outcomes: &[(Job, Outcome)]) {
    let served = outcomes.iter().filter(|(_, outcome)| *outcome == Outcome::Served).count();
    assert!(served > 0, "nothing was served");
    assert_eq!(cluster.peak("clinic").await, LIMIT, "greatest number of running tasks, {served} jobs served");
}

/// Guards against entries that each stay within the limit while their sum doesn't.
#[async_std::test]
async fn limit_holds_over_all_entries() {
    let cluster = start("limit").await;
    // A new entry expects long runs and refuses early; a refused caller comes again until its job is served.
    let submit = |i: usize| {
        let (caller, job) = (cluster.caller(CLINIC_SECRET), clip(&format!("job-{i}"), RUN_MS));
        async move {
            let outcome = poll_until("a job is served", || async {
                let outcome = caller.submit(&job).await;
                (outcome == Outcome::Served).then_some(outcome)
            });
            (job.clone(), outcome.await)
        }
    };
    let outcomes = futures::future::join_all((0..200).map(submit)).await;
    check_peak(&cluster, &outcomes).await;
}

/// Guards against permits of a killed entry that are used while its tasks run, and against permits that are lost.
#[async_std::test]
async fn limit_holds_when_an_entry_is_killed_and_replaced() {
    let mut cluster = start("limit-kill").await;
    let flood = flood(&cluster, "job");
    reach_limit(&cluster, LIMIT).await;
    cluster.entries[2].kill();
    task::sleep(SLOT_LEASE_TTL).await;
    cluster.restart_entry(2);
    let replaced = Instant::now();
    // The new process takes no part in the flood, so that the others need the permits of the killed one.
    reach_limit(&cluster, LIMIT).await;
    let needed = replaced.elapsed();
    check_peak(&cluster, &flood.end().await).await;
    // The duty to reclaim may change hands first, which takes a lease of 5 s and the wait for an orphaned shard.
    let bound = RECLAIM_DELAY + Duration::from_secs(15);
    assert!(needed <= bound, "the limit was reached {needed:?} after the replacement");
}

/// Guards against starts of an entry that was paused for longer than its leases.
#[async_std::test]
async fn limit_holds_when_an_entry_is_frozen() {
    let cluster = start("limit-freeze").await;
    let flood = flood(&cluster, "job");
    reach_limit(&cluster, LIMIT).await;
    for number in [0, 1] {
        cluster.entries[number].signal("STOP");
        task::sleep(SLOT_LEASE_TTL + Duration::from_secs(3)).await;
        cluster.entries[number].signal("CONT");
        reach_limit(&cluster, LIMIT).await;
    }
    check_peak(&cluster, &flood.end().await).await;
}

/// Guards against a permit that is used again while the task of a lost answer still runs.
#[async_std::test]
async fn limit_holds_when_start_answers_are_lost() {
    let cluster = start("limit-lost").await;
    // Longer than the lease, so that the task of a lost answer runs until it is stopped or its lease lapses.
    let flood = cluster.flood(CALLERS, |i| clip(&format!("job-{i}"), if i % 8 == 0 { 5_000 } else { RUN_MS }));
    reach_limit(&cluster, LIMIT).await;
    for _ in 0..8 {
        for worker in &cluster.workers {
            control(*worker, "faults", &json!({ "lost": 2 })).await;
        }
        task::sleep(Duration::from_millis(700)).await;
    }
    reach_limit(&cluster, LIMIT).await;
    check_peak(&cluster, &flood.end().await).await;
}

/// Guards against permits under an old limit.
#[async_std::test]
async fn lowered_limit_holds_once_it_is_in_force() {
    let cluster = start("limit-lower").await;
    let flood = flood(&cluster, "job");
    reach_limit(&cluster, LIMIT).await;
    let asked = Instant::now();
    let lowered = json!({ "change": "set_team", "id": "clinic", "value": { "share": 50, "limit": 3 } });
    let answer = cluster.change(lowered).await;
    assert_eq!(answer["in_force"], true, "{answer}");
    assert!(asked.elapsed() < CHANGE_BOUND, "in force after {:?}", asked.elapsed());
    // Tasks that ran at the change end within a slot lease, and the permits are known after a read.
    task::sleep(SLOT_LEASE_TTL).await;
    let ends = Instant::now() + Duration::from_secs(4);
    let mut most = 0;
    while Instant::now() < ends {
        most = most.max(cluster.running("clinic"));
        task::sleep(Duration::from_millis(1)).await;
    }
    flood.end().await;
    assert_eq!(most, 3, "running tasks after the lowered limit was in force");
}

/// Guards against starts without permits while the store can't say who holds them.
#[async_std::test]
async fn limit_holds_during_a_store_outage() {
    let cluster = start("limit-outage").await;
    let flood = flood(&cluster, "job");
    reach_limit(&cluster, LIMIT).await;
    for mode in ["refuse", "hang", "close"] {
        control(cluster.store, "outage", &json!({ "mode": mode })).await;
        task::sleep(Duration::from_secs(3)).await;
        end_control(cluster.store, "outage").await;
    }
    reach_limit(&cluster, LIMIT).await;
    check_peak(&cluster, &flood.end().await).await;
}

/// Guards against permits taken twice when the store's answers are lost or its reads are old.
#[async_std::test]
async fn limit_holds_when_store_answers_are_lost_and_reads_are_stale() {
    let cluster = start("limit-store").await;
    control(cluster.store, "stale", &json!({ "ms": 500 })).await;
    let lost = json!({ "probability": 0.3, "seed": 7, "prefixes": ["quota"], "effect": "applied" });
    control(cluster.store, "lost", &lost).await;
    let flood = flood(&cluster, "job");
    reach_limit(&cluster, LIMIT).await;
    let late = json!({ "probability": 0.3, "seed": 8, "prefixes": ["quota"], "effect": "late", "late_ms": 300 });
    control(cluster.store, "lost", &late).await;
    cluster.entries[1].signal("STOP");
    task::sleep(SLOT_LEASE_TTL * 2).await;
    cluster.entries[1].signal("CONT");
    reach_limit(&cluster, LIMIT).await;
    check_peak(&cluster, &flood.end().await).await;
}
