//! An outage of the store for all entries: what goes on, what is refused, and the load on the store afterwards.

mod cluster;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_testbed::client::Client;
use carawaybarrow_testbed::submit::{Caller, Outcome};
use cluster::{CLINIC_SECRET, Cluster, clip, control, end_control, job, poll_until};
use http_types::Method;
use serde_json::{Value, json};

/// Length of the outage. It is several times the freshness bound (5 s) and the lease of an owner (5 s).
const OUTAGE: Duration = Duration::from_secs(20);

/// Longest span in which an entry may refuse urgent work while its freshness changes to another basis.
const CHANGE_BOUND: Duration = Duration::from_secs(1);

/// Store writes of all entries in one second (design, section 3).
const WRITE_BUDGET: f64 = 300.0;

/// Time after the outage in which the writes are counted; retries with backoff come within it.
const COUNTED: Duration = Duration::from_secs(8);

/// Interval between two requests of a light load.
const PACE: Duration = Duration::from_millis(100);

/// One request: when it was sent and answered, and what came.
struct Sent<T> {
    entry: usize,
    mark: String,
    from: Instant,
    until: Instant,
    came: T,
}

/// Sends urgent jobs to one entry until told to end.
async fn send_urgent(cluster: &Cluster, entry: usize, stop: &AtomicBool) -> Vec<Sent<Outcome>> {
    let caller = Caller::new(&[cluster.entries[entry].callers]).with_key(Some(CLINIC_SECRET.to_owned()));
    let mut sent = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let mark = format!("u{entry}-{}", sent.len());
        let from = Instant::now();
        let came = caller.submit(&clip(&mark, 10)).await;
        sent.push(Sent { entry, mark, from, until: Instant::now(), came });
        task::sleep(PACE).await;
    }
    sent
}

/// Sends durable jobs to one entry until told to end.
async fn send_durable(cluster: &Cluster, entry: usize, stop: &AtomicBool) -> Vec<Sent<(u16, Value)>> {
    let mut sent = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let mark = format!("d{entry}-{}", sent.len());
        let queue = if sent.len() % 2 == 0 { "masters" } else { "archive" };
        // The jobs run for up to 2 s, so that some are running when the outage begins.
        let payload = job(queue, &mark, 20 + (sent.len() as u64 * 370) % 2_000).payload;
        let body = json!({ "queue": queue, "request_id": mark, "payload": payload }).to_string();
        let from = Instant::now();
        let reply = cluster.call(entry, Method::Post, "/v1/jobs", CLINIC_SECRET, &body).await;
        let came = (reply.status, reply.json().unwrap_or_default());
        sent.push(Sent { entry, mark, from, until: Instant::now(), came });
        task::sleep(PACE).await;
    }
    sent
}

/// Time of the store in ms, and its writes so far.
async fn count_writes(cluster: &Cluster) -> (u64, u64) {
    let stats: Value = Client::new().get(cluster.store, "/control/stats").await.expect("an answer").json().unwrap();
    let count = |name: &str| stats["by_operation"][name]["total"].as_u64().unwrap_or(0);
    let writes = ["put", "delete", "grant", "renew", "revoke"].map(count).iter().sum();
    (stats["uptime_ms"].as_u64().expect("a number"), writes)
}

/// The highest rate of writes over a second, read each 50 ms.
async fn find_highest_rate(cluster: &Cluster) -> f64 {
    let (ends, mut samples) = (Instant::now() + COUNTED, Vec::new());
    while Instant::now() < ends {
        samples.push(count_writes(cluster).await);
        task::sleep(Duration::from_millis(50)).await;
    }
    let rate_from = |(i, (at, writes)): (usize, &(u64, u64))| {
        let (end, later) = samples[i..].iter().find(|(end, _)| *end >= at + 1000)?;
        Some((later - writes) as f64 * 1000.0 / (end - at) as f64)
    };
    samples.iter().enumerate().filter_map(rate_from).fold(0.0, f64::max)
}

fn check_urgent(sent: &[Sent<Outcome>], begun: Instant, ended: Instant) {
    for entry in 0..3 {
        let own: Vec<_> = sent.iter().filter(|s| s.entry == entry && s.from >= begun && s.until <= ended).collect();
        let refused: Vec<_> = own.iter().filter(|s| s.came != Outcome::Served).collect();
        println!("entry {entry}: {} urgent jobs in the outage, {} not served", own.len(), refused.len());
        for s in &refused {
            assert!(matches!(s.came, Outcome::NotRun { .. }), "{}: {:?}", s.mark, s.came);
        }
        if let (Some(first), Some(last)) = (refused.first(), refused.last()) {
            let span = last.until - first.from;
            assert!(span <= CHANGE_BOUND, "entry {entry} refused urgent work for {span:?}: {:?}", last.came);
        }
        assert!(own.len() > refused.len(), "entry {entry} served no urgent job in the outage");
    }
}

/// Guards against a durable job that is accepted while nothing can be stored, or lost with the outage.
async fn check_durable(cluster: &Cluster, sent: &[Sent<(u16, Value)>], begun: Instant, ended: Instant) {
    let (mut accepted, mut refused) = (0, 0);
    for Sent { mark, from, until, came: (status, answer), .. } in sent {
        let is_in_outage = *from >= begun && *until <= ended;
        match (*status, answer["ran"].as_str()) {
            (200 | 202, _) => {
                assert!(!is_in_outage, "{mark} was accepted in the outage: {answer}");
                accepted += 1;
                let path = format!("/v1/jobs/{}", answer["job"].as_str().expect("an id"));
                let state = poll_until(&format!("{mark} ends"), || async {
                    let shown: Value = cluster.call(1, Method::Get, &path, CLINIC_SECRET, "").await.json().ok()?;
                    let state = shown["state"].as_str()?;
                    ["done", "failed", "unknown"].contains(&state).then(|| shown.to_string())
                })
                .await;
                assert!(state.contains("\"done\""), "{mark}: {state}");
            }
            (_, Some("no" | "unknown")) => refused += 1,
            _ => panic!("{mark}: {status} {answer}"),
        }
    }
    println!("{accepted} durable jobs accepted, {refused} refused or unknown");
    assert!(accepted > 0 && refused > 0, "{accepted} accepted, {refused} refused");
    let starts = cluster.starts().await;
    for Sent { mark, came: (status, answer), .. } in sent {
        let started = starts.get(mark).copied().unwrap_or(0);
        let is_not_run = answer["ran"] == "no";
        assert!(!is_not_run || started == 0, "{mark} was reported as not run and started: {status} {answer}");
    }
}

/// Guards against urgent work that stops with the store, durable jobs that are falsely accepted or lost, and a burst of
/// writes when the store is back.
#[async_std::test]
async fn outage_of_the_store_loses_nothing_and_ends_without_a_burst() {
    let cluster = Arc::new(Cluster::start("outage", 3, 4).await);
    cluster.configure(60).await;
    let stop = Arc::new(AtomicBool::new(false));
    let (mut urgent, mut durable) = (Vec::new(), Vec::new());
    for entry in 0..3 {
        let (own, end) = (Arc::clone(&cluster), Arc::clone(&stop));
        urgent.push(task::spawn(async move { send_urgent(&own, entry, &end).await }));
        let (own, end) = (Arc::clone(&cluster), Arc::clone(&stop));
        durable.push(task::spawn(async move { send_durable(&own, entry, &end).await }));
    }
    task::sleep(Duration::from_secs(2)).await;

    control(cluster.store, "outage", &json!({ "mode": "refuse" })).await;
    let begun = Instant::now();
    task::sleep(OUTAGE).await;
    let body = json!({ "queue": "clips", "payload": "{}" }).to_string();
    let denied = cluster.call(0, Method::Post, "/v1/jobs", "no-such-secret-0123", &body).await;
    assert_eq!(denied.status, 403, "{}", denied.text());
    let ended = Instant::now();
    end_control(cluster.store, "outage").await;
    let rate = find_highest_rate(&cluster).await;
    println!("at most {rate:.0} writes/s after the outage");

    stop.store(true, Ordering::Relaxed);
    let (mut urgent_sent, mut durable_sent) = (Vec::new(), Vec::new());
    for handle in urgent {
        urgent_sent.extend(handle.await);
    }
    for handle in durable {
        durable_sent.extend(handle.await);
    }
    check_urgent(&urgent_sent, begun, ended);
    check_durable(&cluster, &durable_sent, begun, ended).await;
    assert!(rate <= WRITE_BUDGET, "{rate:.0} writes/s after the outage");

    cluster.change(json!({ "change": "set_team", "id": "club", "value": { "share": 10, "limit": 10 } })).await;
    cluster.give_key("club-1", "club", "club-secret-0123456").await;
    for entry in &cluster.entries {
        let caller = Caller::new(&[entry.callers]).with_key(Some("club-secret-0123456".to_owned()));
        poll_until(&format!("{} takes the new key", entry.name), || async {
            (caller.submit(&clip("club", 1)).await == Outcome::Served).then_some(())
        })
        .await;
    }
}
