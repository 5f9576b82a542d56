//! An outage of the store for all entries: which work continues, which is refused, and how many writes follow it.

mod cluster;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_testbed::client::Client;
use carawaybarrow_testbed::submit::{Caller, Outcome};
use cluster::{CLINIC_SECRET, Cluster, control, end_control, job, poll_until, urgent_job};
use http_types::Method;
use serde_json::{Value, json};

/// Duration of the outage: several times the freshness bound (5 s) and the lease of a shard's owner (5 s).
const OUTAGE_DURATION: Duration = Duration::from_secs(20);

/// Maximum time for which an entry may refuse urgent work while its proof of freshness changes from the store to the
/// other entries.
const EVIDENCE_CHANGE_BOUND: Duration = Duration::from_secs(1);

/// Maximum rate of store writes of all entries together, per second (design, section 3).
const WRITE_BUDGET: f64 = 300.0;

/// Time after the outage during which the writes are counted; it covers retries with backoff.
const COUNT_DURATION: Duration = Duration::from_secs(8);

/// Delay between two requests to an entry.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// A request and its response.
struct SentRequest<T> {
    entry: usize,
    mark: String,
    sent_at: Instant,
    answered_at: Instant,
    response: T,
}

/// Sends urgent jobs to one entry until stopped.
async fn send_urgent(cluster: &Cluster, entry: usize, stop: &AtomicBool) -> Vec<SentRequest<Outcome>> {
    let caller = Caller::new(&[cluster.entries[entry].caller_address]).with_key(Some(CLINIC_SECRET.to_owned()));
    let mut sent = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let mark = format!("u{entry}-{}", sent.len());
        let sent_at = Instant::now();
        let response = caller.submit(&urgent_job(&mark, 10)).await;
        sent.push(SentRequest { entry, mark, sent_at, answered_at: Instant::now(), response });
        task::sleep(REQUEST_INTERVAL).await;
    }
    sent
}

/// Sends durable jobs to one entry until stopped.
async fn send_durable(cluster: &Cluster, entry: usize, stop: &AtomicBool) -> Vec<SentRequest<(u16, Value)>> {
    let mut sent = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let mark = format!("d{entry}-{}", sent.len());
        let queue = if sent.len() % 2 == 0 { "masters" } else { "archive" };
        // The jobs run for up to 2 s, so that some are running when the outage begins.
        let payload = job(queue, &mark, 20 + (sent.len() as u64 * 370) % 2_000).payload;
        let body = json!({ "queue": queue, "request_id": mark, "payload": payload }).to_string();
        let sent_at = Instant::now();
        let reply = cluster.call(entry, Method::Post, "/v1/jobs", CLINIC_SECRET, &body).await;
        let response = (reply.status, reply.json().unwrap_or_default());
        sent.push(SentRequest { entry, mark, sent_at, answered_at: Instant::now(), response });
        task::sleep(REQUEST_INTERVAL).await;
    }
    sent
}

/// Uptime of the store in ms, and the number of writes since its start.
async fn count_writes(cluster: &Cluster) -> (u64, u64) {
    let stats: Value = Client::new().get(cluster.store, "/control/stats").await.expect("an answer").json().unwrap();
    let count = |name: &str| stats["by_operation"][name]["total"].as_u64().unwrap_or(0);
    let writes = ["put", "delete", "grant", "renew", "revoke"].map(count).iter().sum();
    (stats["uptime_ms"].as_u64().expect("a number"), writes)
}

/// Maximum number of writes in one second, from samples at intervals of 50 ms.
async fn find_peak_write_rate(cluster: &Cluster) -> f64 {
    let (deadline, mut samples) = (Instant::now() + COUNT_DURATION, Vec::new());
    while Instant::now() < deadline {
        samples.push(count_writes(cluster).await);
        task::sleep(Duration::from_millis(50)).await;
    }
    let rate_from = |(i, (at, writes)): (usize, &(u64, u64))| {
        let (end, later) = samples[i..].iter().find(|(end, _)| *end >= at + 1000)?;
        Some((later - writes) as f64 * 1000.0 / (end - at) as f64)
    };
    samples.iter().enumerate().filter_map(rate_from).fold(0.0, f64::max)
}

/// Checks that each entry serves urgent jobs during the outage, and that refusals are "not run" and end within
/// [`EVIDENCE_CHANGE_BOUND`].
fn check_urgent(sent: &[SentRequest<Outcome>], outage_begin: Instant, outage_end: Instant) {
    for entry in 0..3 {
        let own: Vec<_> = sent
            .iter()
            .filter(|s| s.entry == entry && s.sent_at >= outage_begin && s.answered_at <= outage_end)
            .collect();
        let refused: Vec<_> = own.iter().filter(|s| s.response != Outcome::Served).collect();
        println!("entry {entry}: {} urgent jobs in the outage, {} not served", own.len(), refused.len());
        for s in &refused {
            assert!(matches!(s.response, Outcome::NotRun { .. }), "{}: {:?}", s.mark, s.response);
        }
        if let (Some(first), Some(last)) = (refused.first(), refused.last()) {
            let span = last.answered_at - first.sent_at;
            assert!(
                span <= EVIDENCE_CHANGE_BOUND,
                "entry {entry} refused urgent work for {span:?}: {:?}",
                last.response
            );
        }
        assert!(own.len() > refused.len(), "entry {entry} served no urgent job in the outage");
    }
}

/// Checks that no durable job is accepted while nothing can be stored, that each accepted one is completed, and that
/// none that was reported as not run was started.
async fn check_durable(
    cluster: &Cluster,
    sent: &[SentRequest<(u16, Value)>],
    outage_begin: Instant,
    outage_end: Instant,
) {
    let (mut accepted, mut refused) = (0, 0);
    for SentRequest { mark, sent_at, answered_at, response: (status, answer), .. } in sent {
        let is_in_outage = *sent_at >= outage_begin && *answered_at <= outage_end;
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
    let starts = cluster.count_starts_by_mark().await;
    for SentRequest { mark, response: (status, answer), .. } in sent {
        let started = starts.get(mark).copied().unwrap_or(0);
        let is_not_run = answer["ran"] == "no";
        assert!(!is_not_run || started == 0, "{mark} was reported as not run and started: {status} {answer}");
    }
}

/// Guards against urgent work that stops because entries can't prove their freshness without the store, durable jobs
/// that are accepted without being stored or are lost, and a burst of writes when all entries retry after the outage.
#[async_std::test]
async fn store_outage_loses_no_job_and_is_followed_by_no_burst_of_writes() {
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
    let outage_begin = Instant::now();
    task::sleep(OUTAGE_DURATION).await;
    let body = json!({ "queue": "clips", "payload": "{}" }).to_string();
    let denied = cluster.call(0, Method::Post, "/v1/jobs", "no-such-secret-0123", &body).await;
    assert_eq!(denied.status, 403, "{}", denied.text());
    let outage_end = Instant::now();
    end_control(cluster.store, "outage").await;
    let rate = find_peak_write_rate(&cluster).await;
    println!("at most {rate:.0} writes/s after the outage");

    stop.store(true, Ordering::Relaxed);
    let (mut urgent_sent, mut durable_sent) = (Vec::new(), Vec::new());
    for handle in urgent {
        urgent_sent.extend(handle.await);
    }
    for handle in durable {
        durable_sent.extend(handle.await);
    }
    check_urgent(&urgent_sent, outage_begin, outage_end);
    check_durable(&cluster, &durable_sent, outage_begin, outage_end).await;
    assert!(rate <= WRITE_BUDGET, "{rate:.0} writes/s after the outage");

    cluster.change_config(json!({ "change": "set_team", "id": "club", "value": { "share": 10, "limit": 10 } })).await;
    cluster.give_key("club-1", "club", "club-secret-0123456").await;
    for entry in &cluster.entries {
        let caller = Caller::new(&[entry.caller_address]).with_key(Some("club-secret-0123456".to_owned()));
        poll_until(&format!("{} accepts the new key", entry.name), || async {
            (caller.submit(&urgent_job("club", 1)).await == Outcome::Served).then_some(())
        })
        .await;
    }
}
