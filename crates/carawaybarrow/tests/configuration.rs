//! An accepted configuration is in force at all entries within seconds and never reverts (invariant I10).

mod cluster;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use cluster::{Cluster, control, end_control, poll_until};
use futures::future;
use http_types::Method;
use serde_json::{Value, json};

/// Maximum time until an accepted change is in force at all entries (design, section 1.7).
const CHANGE_BOUND: Duration = Duration::from_secs(10);

async fn start(name: &str) -> Cluster {
    let cluster = Cluster::start(name, 3, 1).await;
    cluster.configure(50).await;
    cluster
}

/// A change of the limit of a team that no job uses. The limit identifies the change.
fn set_limit(limit: u64) -> Value {
    json!({ "change": "set_team", "id": "club", "value": { "share": 10, "limit": limit } })
}

async fn send_change(cluster: &Cluster, index: usize, body: &Value) -> (u16, Value) {
    let reply = cluster.call_as_operator(index, Method::Post, "/v1/config/changes", body).await;
    (reply.status, reply.json().expect("JSON"))
}

/// The team's limit in the configuration of an entry; 0 before the first change.
async fn find_limit(cluster: &Cluster, index: usize) -> u64 {
    let reply = cluster.call_as_operator(index, Method::Get, "/v1/config", &json!({})).await;
    let config: Value = reply.json().expect("JSON");
    config["teams"]["club"]["value"]["limit"].as_u64().unwrap_or(0)
}

/// Waits until the entries have a limit that was requested at `requested_at`, and checks that it took at most
/// [`CHANGE_BOUND`].
async fn wait_for_limit(cluster: &Cluster, entries: &[usize], limit: u64, requested_at: Instant) {
    for index in entries {
        poll_until("the change arrives", || async { (find_limit(cluster, *index).await >= limit).then_some(()) }).await;
        let passed = requested_at.elapsed();
        assert!(passed <= CHANGE_BOUND, "limit {limit} reached entry {index} after {passed:?}");
    }
}

/// Guards against a change that silently overwrites another operator's: both are based on the same revision and are
/// sent to two entries at the same time, while responses of the store are lost.
#[async_std::test]
async fn one_of_two_concurrent_changes_gets_a_conflict() {
    let cluster = start("race").await;
    control(cluster.store, "lost", &json!({ "probability": 0.2, "seed": 3, "prefixes": ["config"] })).await;
    let first = cluster.change_config(set_limit(1)).await;
    let mut expected = first["revision"].clone();
    for round in 1..=8_u64 {
        let limits = [round * 10, round * 10 + 1];
        let body = |i: usize| json!({ "expected": expected, "change": set_limit(limits[i]) });
        let (left, right) = (body(0), body(1));
        let answers = future::join(send_change(&cluster, 0, &left), send_change(&cluster, 1, &right)).await;
        let ((winner, accepted), (loser, conflict)) = match answers {
            (a, b) if a.0 == 200 => ((limits[0], a), (limits[1], b)),
            (a, b) => ((limits[1], b), (limits[0], a)),
        };
        assert_eq!(accepted.0, 200, "round {round}: {accepted:?}, {conflict:?}");
        assert_eq!(conflict.0, 409, "round {round}: {accepted:?}, {conflict:?}");
        assert_eq!(conflict.1["current"]["value"]["limit"], winner, "round {round}: {conflict:?}");
        assert_eq!(conflict.1["proposed"]["value"]["limit"], loser, "round {round}: {conflict:?}");
        for index in 0..3 {
            poll_until("the accepted limit is known", || async {
                (find_limit(&cluster, index).await == winner).then_some(())
            })
            .await;
        }
        expected = accepted.1["revision"].clone();
    }
}

/// Guards against a change that is applied in part although it refers to objects that don't exist, and against a report
/// that stops at the first error.
#[async_std::test]
async fn invalid_change_is_refused_as_a_whole() {
    let cluster = start("invalid").await;
    let before = cluster.status(0).await["revision"].clone();
    let queue = json!({ "class": "nowhere", "pool": "nothing", "idempotent": true });
    let body = json!({ "change": { "change": "set_queue", "id": "clips", "value": queue } });
    let (status, answer) = send_change(&cluster, 1, &body).await;
    assert_eq!(status, 422, "{answer}");
    for place in ["queues.clips.class", "queues.clips.pool"] {
        let errors = answer["errors"].as_array().expect("a list");
        assert!(errors.iter().any(|e| e["place"] == place), "{place} is missing in {answer}");
    }
    for index in 0..3 {
        assert_eq!(cluster.status(index).await["revision"], before, "entry {index}");
    }
}

/// Checks that no fresh entry reports a revision older than one that was in force before the request.
struct Monitor {
    in_force: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl Monitor {
    async fn check_revisions(&self, cluster: &Cluster, entries: &[usize]) {
        while !self.stop.load(Ordering::SeqCst) {
            for index in entries {
                let min_revision = self.in_force.load(Ordering::SeqCst);
                let status = cluster.status(*index).await;
                let revision = status["revision"].as_u64().expect("a revision");
                let is_old = status["fresh"] == true && revision < min_revision;
                // The entry reads the revision before the freshness, and both may change in between, so only a second
                // response counts.
                let second_status = if is_old { cluster.status(*index).await } else { Value::Null };
                let is_older = second_status["fresh"] == true
                    && second_status["revision"].as_u64().is_some_and(|r| r < min_revision);
                assert!(!is_older, "entry {index} is fresh at revision {revision} although {min_revision} is in force");
            }
            task::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Makes changes one after the other, each at the next of the given entries, and waits for each at all of them.
async fn make_changes(cluster: &Cluster, monitor: &Monitor, limits: std::ops::Range<u64>, entries: &[usize]) {
    for limit in limits {
        let body = json!({ "change": set_limit(limit) });
        // Stale reads and lost responses can use up the attempts of an entry, which then reports that the change was
        // not written, or may have been. The change is sent again; the bound counts from the last request.
        let (requested_at, answer) = poll_until("the change is accepted", || async {
            let requested_at = Instant::now();
            let (status, answer) = send_change(cluster, entries[limit as usize % entries.len()], &body).await;
            let is_reported = [(503, "no"), (504, "unknown")].iter().any(|t| status == t.0 && answer["written"] == t.1);
            assert!(status == 200 || is_reported, "{status}: {answer}");
            (status == 200).then_some((requested_at, answer))
        })
        .await;
        if answer["in_force"] == true {
            monitor.in_force.fetch_max(answer["revision"].as_u64().expect("a revision"), Ordering::SeqCst);
        }
        wait_for_limit(cluster, entries, limit, requested_at).await;
    }
    monitor.stop.store(true, Ordering::SeqCst);
}

fn new_monitor() -> Monitor {
    Monitor { in_force: Arc::default(), stop: Arc::default() }
}

/// Guards against an entry that returns to an old configuration because of a stale read, or of a write that is repeated
/// after its response was lost.
#[async_std::test]
async fn changes_do_not_revert_when_reads_are_stale_and_responses_are_lost() {
    let cluster = start("revert").await;
    control(cluster.store, "stale", &json!({ "ms": 2_000 })).await;
    let lost = json!({ "probability": 0.3, "seed": 9, "prefixes": ["config", "members"] });
    control(cluster.store, "lost", &lost).await;
    let monitor = new_monitor();
    let changes = Box::pin(make_changes(&cluster, &monitor, 1..12, &[0, 1, 2]));
    future::join(changes, Box::pin(monitor.check_revisions(&cluster, &[0, 1, 2]))).await;
}

/// Guards against a restarted entry that reads an old configuration from the store, as reads are stale, and acts on it.
#[async_std::test]
async fn changes_reach_a_restarted_entry() {
    let mut cluster = start("restart").await;
    control(cluster.store, "stale", &json!({ "ms": 1_500 })).await;
    for round in 0..3_u64 {
        let limits = round * 10 + 1..round * 10 + 4;
        let monitor = new_monitor();
        make_changes(&cluster, &monitor, limits.clone(), &[0, 1]).await;
        let monitor = Monitor { in_force: monitor.in_force, stop: Arc::default() };
        cluster.entries[2].kill();
        cluster.restart_entry(2);
        let restarted = Instant::now();
        let wait = async {
            wait_for_limit(&cluster, &[2], limits.end - 1, restarted).await;
            task::sleep(Duration::from_secs(2)).await;
            monitor.stop.store(true, Ordering::SeqCst);
        };
        future::join(Box::pin(wait), Box::pin(monitor.check_revisions(&cluster, &[2]))).await;
    }
}

/// Guards against an entry that misses changes because it can't read the store, or because it was suspended.
#[async_std::test]
async fn changes_reach_an_entry_without_the_store_that_was_suspended() {
    let cluster = start("cut-off").await;
    control(cluster.store, "outage", &json!({ "mode": "hang", "clients": ["e3"] })).await;
    let monitor = new_monitor();
    // The entry can't write, so the changes are sent to the others, from which it receives them.
    let changes = async {
        for limit in 1..6 {
            let requested_at = Instant::now();
            let (status, answer) =
                send_change(&cluster, limit as usize % 2, &json!({ "change": set_limit(limit) })).await;
            assert_eq!((status, &answer["in_force"]), (200, &json!(true)), "{answer}");
            monitor.in_force.fetch_max(answer["revision"].as_u64().expect("a revision"), Ordering::SeqCst);
            wait_for_limit(&cluster, &[0, 1, 2], limit, requested_at).await;
        }
        monitor.stop.store(true, Ordering::SeqCst);
    };
    future::join(Box::pin(changes), Box::pin(monitor.check_revisions(&cluster, &[0, 1, 2]))).await;
    cluster.entries[2].signal("STOP");
    let (status, answer) = send_change(&cluster, 0, &json!({ "change": set_limit(6) })).await;
    assert_eq!((status, &answer["in_force"]), (200, &json!(true)), "{answer}");
    let monitor = Monitor { in_force: Arc::new(answer["revision"].as_u64().unwrap().into()), stop: Arc::default() };
    cluster.entries[2].signal("CONT");
    let continued = Instant::now();
    let wait = async {
        wait_for_limit(&cluster, &[2], 6, continued).await;
        monitor.stop.store(true, Ordering::SeqCst);
    };
    future::join(Box::pin(wait), Box::pin(monitor.check_revisions(&cluster, &[2]))).await;
    end_control(cluster.store, "outage").await;
}
