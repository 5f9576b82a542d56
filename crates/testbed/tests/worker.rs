//! The worker stand-in keeps assumptions A1, A3 and A4 of the design, and injects the faults that the design expects.

mod common;

use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use carawaybarrow_testbed::answer;
use carawaybarrow_testbed::client::{Client, ClientError};
use carawaybarrow_testbed::worker::{Options, Tally};
use common::{Worker, control, poll_until};
use futures::AsyncWriteExt;
use futures::future::join_all;
use http_types::Method;
use serde_json::{Value, json};

fn reason_of(reply: &carawaybarrow_testbed::client::Reply) -> Value {
    reply.json::<Value>().expect("JSON")["reason"].clone()
}

/// Guards against answers that a caller can't distinguish from truncated ones or from those to another payload.
#[async_std::test]
async fn answers_are_complete_and_match_their_payload() {
    let worker = Worker::start().await;
    let lease = worker.lease(60_000).await;
    let payload = |mark| json!({ "work": "render", "run_ms": 5, "answer_bytes": 2000, "mark": mark });
    let reply = worker.run(&lease, "t1", true, &payload("a")).await;
    assert_eq!((reply.status, reply.header("x-task")), (200, Some("t1")));
    let text = reply.text();
    assert_eq!(text.len(), 2000);
    assert!(answer::is_answer_to(&payload("a").to_string(), &text));
    assert!(!answer::is_answer_to(&payload("b").to_string(), &text), "the answer to another payload");
    assert!(!answer::is_answer_to(&payload("a").to_string(), &text[..1999]), "a part of the answer");

    assert_eq!(worker.run(&lease, "t2", false, &payload("b")).await.status, 202);
    let shown = worker.wait_for_state("t2", "done").await;
    assert!(answer::is_answer_to(&payload("b").to_string(), shown["answer"].as_str().expect("an answer")));
}

/// Guards against a task that keeps running after its lease has lapsed, and a start under a lapsed lease (A1).
#[async_std::test]
async fn a_lapsed_lease_stops_its_task_and_refuses_starts() {
    let worker = Worker::start().await;
    let asked = Instant::now();
    let lease = worker.lease(1000).await;
    let reply = worker.run(&lease, "t1", true, &json!({ "never": true })).await;
    assert_eq!(reply.status, 500);
    assert_eq!(reply.json::<Value>().expect("JSON"), json!({ "reason": "lease_lapsed", "started": true }));
    assert!(asked.elapsed() >= Duration::from_millis(1000), "stopped after {:?}", asked.elapsed());
    worker.wait_for_state("t1", "stopped").await;

    let refused = worker.run(&lease, "t2", true, &json!({})).await;
    assert_eq!(refused.status, 409);
    assert_eq!(refused.json::<Value>().expect("JSON"), json!({ "reason": "lease_lapsed", "started": false }));
    assert_eq!(worker.starts().await.len(), 1, "a refused start is no start");
    let renewal = json!({ "leases": [lease] }).to_string();
    let renewed = worker.client.post(worker.addr, "/leases/renew", &renewal).await.expect("an answer");
    assert_eq!(renewed.json::<Value>().expect("JSON"), json!({ "lapsed": [lease] }));
}

/// Guards against a renewal that doesn't extend the lease, so that its task is stopped.
#[async_std::test]
async fn a_renewed_lease_keeps_its_task() {
    let worker = Worker::start().await;
    let lease = worker.lease(1000).await;
    let renewal = json!({ "leases": [lease] }).to_string();
    let payload = json!({ "run_ms": 2000 });
    let run = worker.run(&lease, "t1", true, &payload);
    let renew = async {
        // Far more often than needed, so that a busy machine doesn't let the lease lapse.
        for _ in 0..40 {
            worker.client.post(worker.addr, "/leases/renew", &renewal).await.expect("an answer");
            async_std::task::sleep(Duration::from_millis(50)).await;
        }
    };
    let (reply, ()) = futures::join!(run, renew);
    assert_eq!(reply.status, 200, "{}", reply.text());
}

/// Guards against a worker that grants more leases than it has slots, runs two tasks under one lease, or starts a task
/// twice.
#[async_std::test]
async fn leases_and_starts_are_limited_by_slots() {
    let worker = Worker::start().await;
    let mut leases = Vec::new();
    for _ in 0..8 {
        leases.push(worker.lease(60_000).await);
    }
    let full = worker.request_lease(60_000).await;
    assert_eq!((full.status, reason_of(&full)), (409, json!("full")));
    worker.run(&leases[0], "t1", false, &json!({ "never": true })).await;
    let busy = worker.run(&leases[0], "t2", false, &json!({})).await;
    assert_eq!((busy.status, reason_of(&busy)), (409, json!("lease_busy")));
    let again = worker.run(&leases[0], "t1", false, &json!({})).await;
    assert_eq!(again.json::<Value>().expect("JSON"), json!({ "reason": "already_started", "started": true }));

    let path = format!("/leases/{}", leases[0]);
    worker.client.call(worker.addr, Method::Delete, &path, &[], "").await.expect("an answer");
    worker.wait_for_state("t1", "stopped").await;
    assert_eq!(worker.request_lease(60_000).await.status, 200);
}

/// Guards against a drain that admits new work or interrupts running work (A4).
#[async_std::test]
async fn a_drain_finishes_running_tasks_and_starts_none() {
    let worker = Worker::start().await;
    let (busy, idle) = (worker.lease(60_000).await, worker.lease(60_000).await);
    worker.run(&busy, "t1", false, &json!({ "run_ms": 300 })).await;
    assert_eq!(worker.post("/drain").await.status, 200);
    let start = worker.run(&idle, "t2", true, &json!({})).await;
    assert_eq!(start.status, 409);
    assert_eq!(start.json::<Value>().expect("JSON"), json!({ "reason": "draining", "started": false }));
    let lease = worker.request_lease(1000).await;
    assert_eq!((lease.status, reason_of(&lease)), (409, json!("draining")));
    let status = poll_until("no task runs", || async {
        let status = worker.get("/status").await;
        (status["tasks"] == json!([])).then_some(status)
    })
    .await;
    assert_eq!(status["draining"], true);
    assert_eq!(worker.get("/tasks/t1").await["state"], "done", "the running task was not interrupted");
    worker.post("/undrain").await;
    assert_eq!(worker.run(&idle, "t3", true, &json!({})).await.status, 200);
}

/// Guards against a truncated answer that looks complete.
#[async_std::test]
async fn a_truncated_answer_is_a_broken_response() {
    let worker = Worker::start().await;
    let lease = worker.lease(60_000).await;
    control(worker.addr, "faults", &json!({ "cut": 1 })).await;
    let path = format!("/tasks?lease={lease}&task=t1&wait=true");
    let payload = json!({ "answer_bytes": 2000 }).to_string();
    let cut = worker.client.post(worker.addr, &path, &payload).await;
    assert!(matches!(cut, Err(ClientError::BrokenResponse { .. })), "{cut:?}");
    let whole = worker.client.post(worker.addr, &path, &payload).await.expect("an answer");
    assert_eq!(whole.body.len(), 2000);
    assert_eq!(worker.starts().await.len(), 2, "the stand-in doesn't remove duplicates");
}

/// Guards against a fault that loses the request instead of the answer: the task has to run, since callers must not
/// assume that a start without an answer had no effect.
#[async_std::test]
async fn a_start_with_a_lost_answer_takes_effect() {
    let worker = Worker::start().await;
    let lease = worker.lease(60_000).await;
    control(worker.addr, "faults", &json!({ "lost": 1 })).await;
    let path = format!("/tasks?lease={lease}&task=t1&wait=false");
    let lost = Client::new().post(worker.addr, &path, "{}").await;
    assert!(matches!(lost, Err(ClientError::NoResponse { .. })), "{lost:?}");
    worker.wait_for_state("t1", "done").await;
}

/// Guards against a reboot that keeps tasks, leases or the incarnation, or answers a call whose task it lost.
#[async_std::test]
async fn a_reboot_loses_tasks_and_changes_the_incarnation() {
    let worker = Worker::start().await;
    let before = worker.get("/status").await["incarnation"].clone();
    let lease = worker.lease(60_000).await;
    let path = format!("/tasks?lease={lease}&task=t1&wait=true");
    let waiting = async { Client::new().post(worker.addr, &path, r#"{"never":true}"#).await };
    let reboot = async {
        poll_until("the task runs", || async { (worker.starts().await.len() == 1).then_some(()) }).await;
        worker.post("/reboot?down_ms=200").await
    };
    let (lost, _) = futures::join!(waiting, reboot);
    assert!(matches!(lost, Err(ClientError::NoResponse { .. })), "{lost:?}");
    let status = poll_until("the worker is back", || async {
        worker.client.get(worker.addr, "/status").await.ok()?.json::<Value>().ok()
    })
    .await;
    assert_ne!(status["incarnation"], before);
    assert_eq!(status["free"], 8);
    let task = worker.client.get(worker.addr, "/tasks/t1").await.expect("an answer");
    assert_eq!(task.status, 404);
    assert_eq!(worker.run(&lease, "t2", true, &json!({})).await.status, 409);
}

/// Guards against faults without effect on the caller, and against failures that don't say whether the task started.
#[async_std::test]
async fn failures_say_whether_the_task_started() {
    let worker = Worker::start().await;
    let lease = worker.lease(60_000).await;
    let own = worker.run(&lease, "t1", true, &json!({ "fail": true })).await;
    assert_eq!(own.json::<Value>().expect("JSON"), json!({ "reason": "payload", "started": true }));
    control(worker.addr, "faults", &json!({ "fail": true })).await;
    let all = worker.run(&lease, "t2", true, &json!({})).await;
    assert_eq!(all.json::<Value>().expect("JSON"), json!({ "reason": "fault", "started": true }));
    let invalid = worker.run(&lease, "t3", true, &json!("no object")).await;
    assert_eq!((invalid.status, invalid.json::<Value>().expect("JSON")["started"].clone()), (400, json!(false)));

    control(worker.addr, "faults", &json!({ "fail": false, "frozen": true })).await;
    let short_timeout = Client::new().with_timeout(Duration::from_millis(100));
    let frozen = short_timeout.get(worker.addr, "/status").await;
    assert!(matches!(frozen, Err(ClientError::TimedOut { .. })), "{frozen:?}");
    control(worker.addr, "faults", &json!({ "frozen": false, "unreachable": true })).await;
    assert!(short_timeout.get(worker.addr, "/status").await.is_err());
    control(worker.addr, "faults", &json!({ "unreachable": false })).await;
    assert_eq!(worker.run(&lease, "t4", true, &json!({})).await.status, 200);
}

/// Guards against tasks that keep running after a stop, and against a throttle without effect.
#[async_std::test]
async fn tasks_can_be_stopped_checkpointed_and_throttled() {
    let worker = Worker::start().await;
    let lease = worker.lease(60_000).await;
    worker.run(&lease, "t1", false, &json!({ "never": true })).await;
    let saved: Value = worker.post("/tasks/t1/checkpoint").await.json().expect("JSON");
    assert_eq!(saved["state"], "running");
    worker.post("/tasks/t1/stop").await;
    assert_eq!(worker.get("/tasks/t1").await["state"], "stopped");
    assert_eq!(worker.post("/tasks/unknown/stop").await.status, 404);

    let started = Instant::now();
    worker.run(&lease, "t2", false, &json!({ "run_ms": 400 })).await;
    worker.post("/tasks/t2/throttle").await;
    let throttled_after = started.elapsed();
    worker.wait_for_state("t2", "done").await;
    // Half the speed for the rest of the run time.
    let least = Duration::from_millis(800).saturating_sub(throttled_after);
    assert!(started.elapsed() >= least, "ended after {:?}, at least {least:?}", started.elapsed());
}

/// Guards against peaks of running tasks that are too low, which would hide a team above its limit.
#[async_std::test]
async fn starts_and_peaks_are_recorded() {
    let tally = Tally::default();
    let workers = join_all((0..2).map(|_| Worker::start_with(Options::default(), tally.clone()))).await;
    for (i, worker) in workers.iter().enumerate() {
        for n in 0..2 {
            let lease = worker.lease(60_000).await;
            worker.run(&lease, &format!("t{i}-{n}"), false, &json!({ "never": true, "mark": "m" })).await;
        }
    }
    stop_task(&workers[0], "t0-0").await;
    let peaks = workers[0].get("/control/peaks").await;
    assert_eq!(peaks["worker"]["team-a"], json!({ "now": 1, "peak": 2 }));
    assert_eq!(peaks["process"]["team-a"], json!({ "now": 3, "peak": 4 }));
    let starts = workers[0].starts().await;
    assert_eq!(starts.len(), 2);
    for (field, text) in [("task", "t0-0"), ("team", "team-a"), ("queue", "clips"), ("mark", "m")] {
        assert_eq!(starts[0][field], text);
    }
}

async fn stop_task(worker: &Worker, task: &str) {
    assert_eq!(worker.post(&format!("/tasks/{task}/stop")).await.status, 200);
}

/// Guards against usage that is reported at once. On the platform it lags, and code must not rely on more.
#[async_std::test]
async fn usage_is_reported_with_a_lag() {
    let options = Options { usage_lag: Duration::from_millis(300), ..Options::default() };
    let worker = Worker::start_with(options, Tally::default()).await;
    let lease = worker.lease(60_000).await;
    let started = Instant::now();
    worker.run(&lease, "t1", false, &json!({ "never": true })).await;
    poll_until("usage is reported", || async {
        (worker.get("/status").await["usage"]["cores"] == json!(8.0)).then_some(())
    })
    .await;
    assert!(started.elapsed() >= Duration::from_millis(300), "reported after {:?}", started.elapsed());
}

/// Guards against a stand-in that accepts more connections than a worker does, or counts those of control calls.
#[async_std::test]
async fn connections_are_bounded() {
    let worker = Worker::start().await;
    let mut open = Vec::new();
    for _ in 0..64 {
        let mut stream = TcpStream::connect(worker.addr).await.expect("a connection");
        stream.write_all(b"GET /status HTTP/1.1\r\nhost: w\r\n\r\n").await.expect("sent");
        let mut buf = [0; 1];
        futures::AsyncReadExt::read_exact(&mut stream, &mut buf).await.expect("an answer");
        open.push(stream);
    }
    let refused = Client::new().get(worker.addr, "/status").await;
    assert!(matches!(refused, Err(ClientError::NoResponse { .. })), "{refused:?}");
    worker.starts().await;
    open.pop();
    poll_until("a connection is free", || async { Client::new().get(worker.addr, "/status").await.ok() }).await;
}
