//! Outcomes that the caller reports, its retries, and the counting of starts.

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carawaybarrow_testbed::submit::{Caller, Job, Outcome};
use carawaybarrow_testbed::{answer, http, starts};
use common::{LOOPBACK, Worker};
use serde_json::{Value, json};

/// An entry that sends prepared replies in their order and records the requests.
#[derive(Clone, Default)]
struct Script {
    replies: Arc<Mutex<Vec<Reply>>>,
    requests: Arc<Mutex<Vec<Value>>>,
}

enum Reply {
    Json(u16, Value),
    Close,
}

async fn answer_next(mut req: tide::Request<Script>) -> tide::Result {
    let mut body: Value = http::read_json(&mut req).await?;
    body["path"] = json!(req.url().path());
    body["key"] = json!(req.header("authorization").map(|v| v[0].as_str()));
    req.state().requests.lock().expect("no panic").push(body);
    let reply = req.state().replies.lock().expect("no panic").remove(0);
    match reply {
        Reply::Json(status, body) => http::reply_json(status, &body),
        Reply::Close => Ok(http::close_connection()),
    }
}

async fn start_entry(replies: Vec<Reply>) -> (SocketAddr, Script) {
    let script = Script { replies: Arc::new(Mutex::new(replies)), ..Script::default() };
    let mut app = tide::with_state(script.clone());
    app.at("/v1/jobs").post(answer_next);
    app.at("/v1/jobs/:id").get(answer_next);
    (http::start(LOOPBACK.into(), app, None).await.expect("a free port"), script)
}

fn build_job() -> Job {
    let payload = json!({ "answer_bytes": 300, "mark": "r-0" }).to_string();
    Job { queue: "clips".into(), request_id: Some("r-0".into()), payload, ..Job::default() }
}

fn own_answer() -> String {
    answer::derive_answer(&build_job().payload, 300)
}

async fn submit(job: &Job, replies: Vec<Reply>) -> (Outcome, Vec<Value>) {
    let (addr, script) = start_entry(replies).await;
    let caller = Caller::new(&[addr]).with_key(Some("k".into())).with_wait_durable(Duration::from_secs(20));
    let outcome = caller.submit(job).await;
    let requests = script.requests.lock().expect("no panic").clone();
    (outcome, requests)
}

/// Guards against outcomes that are more certain than the entry's reply, and against accepted wrong answers.
#[async_std::test]
async fn replies_become_outcomes() {
    let refused = json!({ "ran": "no", "errors": [] });
    let cases = [
        (200, json!({ "job": "j", "outcome": "done", "answer": own_answer() }), "served"),
        (200, json!({ "job": "j", "outcome": "done", "answer": &own_answer()[..299] }), "wrong_answer"),
        (200, json!({ "job": "j", "outcome": "done", "answer": answer::derive_answer("{}", 300) }), "wrong_answer"),
        (200, json!({ "job": "j", "outcome": "done" }), "wrong_answer"),
        (403, refused.clone(), "not_run"),
        (503, refused, "not_run"),
        (503, json!({}), "unknown"),
        (502, json!({ "ran": "yes" }), "failed"),
        (504, json!({ "ran": "unknown", "job": "j" }), "unknown"),
    ];
    for (status, body, expected) in cases {
        let (outcome, _) = submit(&build_job(), vec![Reply::Json(status, body.clone())]).await;
        assert_eq!(serde_json::to_value(&outcome).expect("JSON")["outcome"], expected, "{status} {body}");
    }
}

/// Guards against a caller that reports a durable job as done when it is accepted, or stops polling it after a failed
/// poll.
#[async_std::test]
async fn durable_jobs_are_polled_until_they_end() {
    let accepted = || Reply::Json(202, json!({ "job": "j1", "state": "waiting" }));
    let state = |state: &str| Reply::Json(200, json!({ "state": state }));
    let done = Reply::Json(200, json!({ "state": "done", "answer": own_answer() }));
    let not_found = Reply::Json(404, json!({}));
    let replies = vec![accepted(), not_found, state("waiting"), Reply::Close, state("running"), done];
    let (outcome, requests) = submit(&build_job(), replies).await;
    assert_eq!(outcome, Outcome::Served);
    assert_eq!(requests[0]["key"], "Bearer k");
    assert!(requests[1..].iter().all(|r| r["path"] == "/v1/jobs/j1"));
    for (end, expected) in [("failed", "failed"), ("unknown", "unknown"), ("cancelled", "cancelled")] {
        let (outcome, _) = submit(&build_job(), vec![accepted(), state(end)]).await;
        assert_eq!(serde_json::to_value(&outcome).expect("JSON")["outcome"], expected);
    }
}

/// Guards against a retry that creates a second job, because the request has no id, and against a "not run" for a job
/// whose first request got no answer and may have run.
#[async_std::test]
async fn only_requests_with_an_id_are_retried() {
    let served = || Reply::Json(200, json!({ "answer": own_answer() }));
    let (outcome, requests) = submit(&build_job(), vec![Reply::Close, served()]).await;
    assert_eq!(outcome, Outcome::Served);
    assert_eq!(requests.len(), 2);
    assert_eq!(requests[0]["request_id"], requests[1]["request_id"]);

    let without_id = Job { request_id: None, ..build_job() };
    let (outcome, requests) = submit(&without_id, vec![Reply::Close, served()]).await;
    assert!(matches!(outcome, Outcome::Unknown { .. }), "{outcome:?}");
    assert_eq!(requests.len(), 1);

    let refused = Reply::Json(503, json!({ "ran": "no", "errors": [] }));
    let (outcome, _) = submit(&build_job(), vec![Reply::Close, refused]).await;
    assert!(matches!(outcome, Outcome::Unknown { .. }), "the first request may have run: {outcome:?}");
}

/// Guards against double starts that aren't found because they were on two workers.
#[async_std::test]
async fn starts_are_counted_over_all_workers() {
    let workers = [Worker::start().await, Worker::start().await];
    for (worker, mark) in [(0, "a"), (1, "a"), (1, "b")] {
        let lease = workers[worker].lease(60_000).await;
        workers[worker].run(&lease, &format!("t-{mark}"), true, &json!({ "mark": mark })).await;
    }
    let addrs = workers.each_ref().map(|w| w.addr);
    let marks = starts::count_starts(&addrs).await.expect("start logs");
    assert_eq!(marks.into_iter().collect::<Vec<_>>(), [("a".into(), 2), ("b".into(), 1)]);
}
