//! An accepted configuration is in force everywhere within seconds and never reverts (I10).

mod cluster;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use cluster::{Cluster, control, end_control, poll_until};
use futures::future;
use http_types::Method;
use serde_json::{Value, json};

/// Time within which an accepted change is in force everywhere (design, section 1.7).
const CHANGE_BOUND: Duration = Duration::from_secs(10);

async fn start(name: &str) -> Cluster {
    let cluster = Cluster::start(name, 3, 1).await;
    cluster.configure(50).await;
    cluster
}

/// A change of a team that no job uses. Its limit counts the changes.
fn set_limit(limit: u64) -> Value {
    json!({ "change": "set_team", "id": "club", "value": { "share": 10, "limit": limit } })
}

async fn send(cluster: &Cluster, number: usize, body: &Value) -> (u16, Value) {
    let reply = cluster.operate(number, Method::Post, "/v1/config/changes", body).await;
    (reply.status, reply.json().expect("JSON"))
}

/// The limit of the team as an entry knows it; 0 before the first change.
async fn find_limit(cluster: &Cluster, number: usize) -> u64 {
    let reply = cluster.operate(number, Method::Get, "/v1/config", &json!({})).await;
    let config: Value = reply.json().expect("JSON");
    config["teams"]["club"]["value"]["limit"].as_u64().unwrap_or(0)
}

/// Waits until the entries know a limit that was asked for at `asked`.
async fn wait_for(cluster: &Cluster, entries: &[usize], limit: u64, asked: Instant) {
    for number in entries {
        poll_until("the change arrives", || async { (find_limit(cluster, *number).await >= limit).then_some(()) })
            .await;
        let passed = asked.elapsed();
        assert!(passed <= CHANGE_BOUND, "limit {limit} came to entry {number} after {passed:?}");
    }
}

/// Guards against a change that overwrites another operator's without telling.
#[async_std::test]
async fn one_of_two_racing_operators_gets_a_conflict() {
    let cluster = start("race").await;
    control(cluster.store, "lost", &json!({ "probability": 0.2, "seed": 3, "prefixes": ["config"] })).await;
    let first = cluster.change(set_limit(1)).await;
    let mut expected = first["revision"].clone();
    for round in 1..=8_u64 {
        let limits = [round * 10, round * 10 + 1];
        let body = |i: usize| json!({ "expected": expected, "change": set_limit(limits[i]) });
        let (left, right) = (body(0), body(1));
        let answers = future::join(send(&cluster, 0, &left), send(&cluster, 1, &right)).await;
        let ((winner, accepted), (loser, conflict)) = match answers {
            (a, b) if a.0 == 200 => ((limits[0], a), (limits[1], b)),
            (a, b) => ((limits[1], b), (limits[0], a)),
        };
        assert_eq!(accepted.0, 200, "round {round}: {accepted:?}, {conflict:?}");
        assert_eq!(conflict.0, 409, "round {round}: {accepted:?}, {conflict:?}");
        assert_eq!(conflict.1["current"]["value"]["limit"], winner, "round {round}: {conflict:?}");
        assert_eq!(conflict.1["proposed"]["value"]["limit"], loser, "round {round}: {conflict:?}");
        for number in 0..3 {
            poll_until("the winner is known", || async {
                (find_limit(&cluster, number).await == winner).then_some(())
            })
            .await;
        }
        expected = accepted.1["revision"].clone();
    }
}

/// Guards against a part of a change that is taken although another part is refused.
#[async_std::test]
async fn invalid_change_is_refused_whole() {
    let cluster = start("invalid").await;
    let before = cluster.status(0).await["revision"].clone();
    let queue = json!({ "class": "nowhere", "pool": "nothing", "idempotent": true });
    let body = json!({ "change": { "change": "set_queue", "id": "clips", "value": queue } });
    let (status, answer) = send(&cluster, 1, &body).await;
    assert_eq!(status, 422, "{answer}");
    for place in ["queues.clips.class", "queues.clips.pool"] {
        let errors = answer["errors"].as_array().expect("a list");
        assert!(errors.iter().any(|e| e["place"] == place), "{place} is missing in {answer}");
    }
    for number in 0..3 {
        assert_eq!(cluster.status(number).await["revision"], before, "entry {number}");
    }
}

/// Watches whether a fresh entry ever shows an older revision than one that was in force before the question.
struct Monitor {
    in_force: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl Monitor {
    async fn watch(&self, cluster: &Cluster, numbers: &[usize]) {
        while !self.stop.load(Ordering::SeqCst) {
            for number in numbers {
                let least = self.in_force.load(Ordering::SeqCst);
                let status = cluster.status(*number).await;
                let revision = status["revision"].as_u64().expect("a revision");
                let is_old = status["fresh"] == true && revision < least;
                // The revision is read before the freshness, and both may change between; a second look tells.
                let again = if is_old { cluster.status(*number).await } else { Value::Null };
                let is_older = again["fresh"] == true && again["revision"].as_u64().is_some_and(|r| r < least);
                assert!(!is_older, "entry {number} is fresh at revision {revision} although {least} is in force");
            }
            task::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Makes changes one after the other at two entries and checks each in the given entries.
async fn make_changes(cluster: &Cluster, monitor: &Monitor, limits: std::ops::Range<u64>, entries: &[usize]) {
    for limit in limits {
        let body = json!({ "change": set_limit(limit) });
        // Old reads and lost answers can use up the attempts of an entry. An operator who is told that the change was
        // not written, or may have been, asks again; the bound counts from the last question.
        let (asked, answer) = poll_until("the change is accepted", || async {
            let asked = Instant::now();
            let (status, answer) = send(cluster, entries[limit as usize % entries.len()], &body).await;
            let is_told = [(503, "no"), (504, "unknown")].iter().any(|t| status == t.0 && answer["written"] == t.1);
            assert!(status == 200 || is_told, "{status}: {answer}");
            (status == 200).then_some((asked, answer))
        })
        .await;
        if answer["in_force"] == true {
            monitor.in_force.fetch_max(answer["revision"].as_u64().expect("a revision"), Ordering::SeqCst);
        }
        wait_for(cluster, entries, limit, asked).await;
    }
    monitor.stop.store(true, Ordering::SeqCst);
}

fn new_monitor() -> Monitor {
    Monitor { in_force: Arc::default(), stop: Arc::default() }
}

/// Guards against old reads and lost answers that bring an old configuration back.
#[async_std::test]
async fn changes_do_not_revert_when_reads_are_stale_and_answers_are_lost() {
    let cluster = start("revert").await;
    control(cluster.store, "stale", &json!({ "ms": 2_000 })).await;
    let lost = json!({ "probability": 0.3, "seed": 9, "prefixes": ["config", "members"] });
    control(cluster.store, "lost", &lost).await;
    let monitor = new_monitor();
    let changes = Box::pin(make_changes(&cluster, &monitor, 1..12, &[0, 1, 2]));
    future::join(changes, Box::pin(monitor.watch(&cluster, &[0, 1, 2]))).await;
}

/// Guards against an entry that starts with an old configuration and acts on it.
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
            wait_for(&cluster, &[2], limits.end - 1, restarted).await;
            task::sleep(Duration::from_secs(2)).await;
            monitor.stop.store(true, Ordering::SeqCst);
        };
        future::join(Box::pin(wait), Box::pin(monitor.watch(&cluster, &[2]))).await;
    }
}

/// Guards against an entry that misses changes because it can't read the store, or was paused.
#[async_std::test]
async fn changes_reach_an_entry_that_was_cut_off() {
    let cluster = start("cut-off").await;
    control(cluster.store, "outage", &json!({ "mode": "hang", "clients": ["e3"] })).await;
    let monitor = new_monitor();
    // The entry can't write, so the operators use the others; the peers bring the changes to it.
    let changes = async {
        for limit in 1..6 {
            let asked = Instant::now();
            let (status, answer) = send(&cluster, limit as usize % 2, &json!({ "change": set_limit(limit) })).await;
            assert_eq!((status, &answer["in_force"]), (200, &json!(true)), "{answer}");
            monitor.in_force.fetch_max(answer["revision"].as_u64().expect("a revision"), Ordering::SeqCst);
            wait_for(&cluster, &[0, 1, 2], limit, asked).await;
        }
        monitor.stop.store(true, Ordering::SeqCst);
    };
    future::join(Box::pin(changes), Box::pin(monitor.watch(&cluster, &[0, 1, 2]))).await;
    cluster.entries[2].signal("STOP");
    let (status, answer) = send(&cluster, 0, &json!({ "change": set_limit(6) })).await;
    assert_eq!((status, &answer["in_force"]), (200, &json!(true)), "{answer}");
    let monitor = Monitor { in_force: Arc::new(answer["revision"].as_u64().unwrap().into()), stop: Arc::default() };
    cluster.entries[2].signal("CONT");
    let continued = Instant::now();
    let wait = async {
        wait_for(&cluster, &[2], 6, continued).await;
        monitor.stop.store(true, Ordering::SeqCst);
    };
    future::join(Box::pin(wait), Box::pin(monitor.watch(&cluster, &[2]))).await;
    end_control(cluster.store, "outage").await;
}
