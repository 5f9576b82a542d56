//! No team has more running tasks than its limit (invariant I4), also when entries, workers and the store fail.

mod cluster;

use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_testbed::submit::{Job, Outcome};
use cluster::{CLINIC_SECRET, Cluster, Load, control, end_control, job_with_request_id, poll_until, urgent_job};
use serde_json::json;

/// Maximum number of running tasks of the team.
const LIMIT: u64 = 6;

/// Run time of a job in ms.
const RUN_MS: u64 = 30;

/// Number of callers; several times the limit.
const CALLERS: usize = 40;

/// Lifetime of a slot lease of an urgent task, as in `freshness.rs` (design, section 7).
const SLOT_LEASE_TTL: Duration = Duration::from_secs(3);

/// Time from the departure of an entry until its permits may be reclaimed, as in `confirmation.rs` (design, section 7).
const RECLAIM_DELAY: Duration = Duration::from_secs(10);

/// Maximum time until an accepted change is in force at all entries (design, section 1.7).
const CHANGE_BOUND: Duration = Duration::from_secs(10);

async fn start(name: &str) -> Cluster {
    // Four workers have 32 slots, so the limit restricts the team and not the capacity of the pool.
    let cluster = Cluster::start(name, 3, 4).await;
    cluster.configure(LIMIT as u32).await;
    cluster
}

fn start_load(cluster: &Cluster, name: &'static str) -> Load {
    cluster.start_load(CALLERS, move |i| job_with_request_id("clips", &format!("{name}-{i}"), RUN_MS))
}

/// Waits until the team has as many running tasks as its limit allows, so that the limit doesn't hold merely because
/// few tasks run.
async fn wait_until_limit_reached(cluster: &Cluster, limit: u64) {
    poll_until(&format!("{limit} tasks run"), || async { (cluster.running_tasks("clinic") == limit).then_some(()) })
        .await;
}

/// Checks that the team's tasks reached the limit and never exceeded it.
async fn check_peak(cluster: &Cluster, outcomes: &[(Job, Outcome)]) {
    let served = outcomes.iter().filter(|(_, outcome)| *outcome == Outcome::Served).count();
    assert!(served > 0, "nothing was served");
    assert_eq!(
        cluster.peak_running_tasks("clinic").await,
        LIMIT,
        "maximum number of running tasks, {served} jobs served"
    );
}

/// Guards against entries that each stay within the limit while their running tasks together exceed it.
#[async_std::test]
async fn limit_holds_over_all_entries() {
    let cluster = start("limit").await;
    // A new entry estimates long run times and refuses jobs; a refused job is submitted again until it is served.
    let submit = |i: usize| {
        let (caller, job) = (cluster.caller(CLINIC_SECRET), urgent_job(&format!("job-{i}"), RUN_MS));
        async move {
            let outcome = poll_until("a job is served", || async {
                let outcome = caller.submit(&job).await;
                (outcome == Outcome::Served).then_some(outcome)
            });
            (job.clone(), outcome.await)
        }
    };
    // The jobs may end before all entries have permits, so a load beside them goes on until the limit is reached.
    let load = start_load(&cluster, "load");
    let jobs = futures::future::join_all((0..200).map(submit));
    let (outcomes, ()) = futures::join!(jobs, wait_until_limit_reached(&cluster, LIMIT));
    load.stop().await;
    check_peak(&cluster, &outcomes).await;
}

/// Guards against permits of a killed entry that other entries use while its tasks still run, and against permits that
/// are never reclaimed because another process with the same name has joined.
#[async_std::test]
async fn limit_holds_when_an_entry_is_killed_and_replaced() {
    let mut cluster = start("limit-kill").await;
    let load = start_load(&cluster, "job");
    wait_until_limit_reached(&cluster, LIMIT).await;
    cluster.entries[2].kill();
    task::sleep(SLOT_LEASE_TTL).await;
    cluster.restart_entry(2);
    let replaced = Instant::now();
    // The load doesn't use the new process, so the other entries need the permits of the killed one.
    wait_until_limit_reached(&cluster, LIMIT).await;
    let needed = replaced.elapsed();
    check_peak(&cluster, &load.stop().await).await;
    // If the coordinator (owner of shard 0) was killed, its lease of 5 s must lapse and another entry must acquire the
    // unowned shard first.
    let bound = RECLAIM_DELAY + Duration::from_secs(15);
    assert!(needed <= bound, "the limit was reached {needed:?} after the replacement");
}

/// Guards against starts of an entry that was suspended for longer than its leases and resumes with outdated permits.
#[async_std::test]
async fn limit_holds_when_entries_are_suspended() {
    let cluster = start("limit-freeze").await;
    let load = start_load(&cluster, "job");
    wait_until_limit_reached(&cluster, LIMIT).await;
    for index in [0, 1] {
        cluster.entries[index].signal("STOP");
        task::sleep(SLOT_LEASE_TTL + Duration::from_secs(3)).await;
        cluster.entries[index].signal("CONT");
        wait_until_limit_reached(&cluster, LIMIT).await;
    }
    check_peak(&cluster, &load.stop().await).await;
}

/// Guards against a permit that is used again while its task still runs, after the worker's response to the start was
/// lost.
#[async_std::test]
async fn limit_holds_when_start_responses_are_lost() {
    let cluster = start("limit-lost").await;
    // Every eighth task runs longer than the lease, so after a lost response it runs until it is stopped or the lease
    // lapses.
    let load =
        cluster.start_load(CALLERS, |i| urgent_job(&format!("job-{i}"), if i % 8 == 0 { 5_000 } else { RUN_MS }));
    wait_until_limit_reached(&cluster, LIMIT).await;
    for _ in 0..8 {
        for worker in &cluster.workers {
            control(*worker, "faults", &json!({ "lost": 2 })).await;
        }
        task::sleep(Duration::from_millis(700)).await;
    }
    wait_until_limit_reached(&cluster, LIMIT).await;
    check_peak(&cluster, &load.stop().await).await;
}

/// Guards against entries that keep permits which a lowered limit no longer covers after the change was reported as in
/// force.
#[async_std::test]
async fn lowered_limit_holds_once_it_is_in_force() {
    let cluster = start("limit-lower").await;
    let load = start_load(&cluster, "job");
    wait_until_limit_reached(&cluster, LIMIT).await;
    let requested_at = Instant::now();
    let lowered = json!({ "change": "set_team", "id": "clinic", "value": { "share": 50, "limit": 3 } });
    let answer = cluster.change_config(lowered).await;
    assert_eq!(answer["in_force"], true, "{answer}");
    assert!(requested_at.elapsed() < CHANGE_BOUND, "in force after {:?}", requested_at.elapsed());
    // Tasks that were running at the change end within a slot lease, and entries read the permits again by then.
    task::sleep(SLOT_LEASE_TTL).await;
    let deadline = Instant::now() + Duration::from_secs(4);
    let mut peak = 0;
    while Instant::now() < deadline {
        peak = peak.max(cluster.running_tasks("clinic"));
        task::sleep(Duration::from_millis(1)).await;
    }
    load.stop().await;
    assert_eq!(peak, 3, "running tasks after the lowered limit was in force");
}

/// Guards against starts without permits while entries can't read from the store who holds them, or their writes fail.
#[async_std::test]
async fn limit_holds_during_a_store_outage() {
    let cluster = start("limit-outage").await;
    let load = start_load(&cluster, "job");
    wait_until_limit_reached(&cluster, LIMIT).await;
    for mode in ["refuse", "hang", "close"] {
        control(cluster.store, "outage", &json!({ "mode": mode })).await;
        task::sleep(Duration::from_secs(3)).await;
        end_control(cluster.store, "outage").await;
    }
    wait_until_limit_reached(&cluster, LIMIT).await;
    check_peak(&cluster, &load.stop().await).await;
}

/// Guards against permits that two entries hold: a write whose response was lost is applied at once or later, and stale
/// reads show permits as free.
#[async_std::test]
async fn limit_holds_when_store_responses_are_lost_and_reads_are_stale() {
    let cluster = start("limit-store").await;
    control(cluster.store, "stale", &json!({ "ms": 500 })).await;
    let lost = json!({ "probability": 0.3, "seed": 7, "prefixes": ["quota"], "effect": "applied" });
    control(cluster.store, "lost", &lost).await;
    let load = start_load(&cluster, "job");
    wait_until_limit_reached(&cluster, LIMIT).await;
    let late = json!({ "probability": 0.3, "seed": 8, "prefixes": ["quota"], "effect": "late", "late_ms": 300 });
    control(cluster.store, "lost", &late).await;
    cluster.entries[1].signal("STOP");
    task::sleep(SLOT_LEASE_TTL * 2).await;
    cluster.entries[1].signal("CONT");
    wait_until_limit_reached(&cluster, LIMIT).await;
    check_peak(&cluster, &load.stop().await).await;
}
