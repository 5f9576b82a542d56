//! Jobs from submission to answer through separate processes: urgent and durable, repeated, invalid and foreign ones.

mod cluster;

use carawaybarrow_testbed::submit::Outcome;
use cluster::{CLINIC_SECRET, Cluster, job, job_with_request_id, poll_until, urgent_job};
use http_types::Method;
use serde_json::{Value, json};

/// Guards against an urgent job that is lost, or whose caller gets a truncated answer or that of another job. Any of
/// the entries may receive a job and start it on any worker.
#[async_std::test]
async fn urgent_jobs_are_answered_completely_at_every_entry() {
    let cluster = Cluster::start("urgent", 3, 3).await;
    cluster.configure(50).await;
    let caller = cluster.caller(CLINIC_SECRET);
    for i in 0..30 {
        let outcome = caller.submit(&urgent_job(&format!("clip-{i}"), 5)).await;
        assert!(matches!(outcome, Outcome::Served), "clip-{i}: {outcome:?}");
    }
}

/// Guards against a durable job that is lost when the entry that accepted it is killed, and against a second run by the
/// next owner of its shard.
#[async_std::test]
async fn durable_jobs_survive_the_entry_that_accepted_them() {
    let mut cluster = Cluster::start("survive", 3, 3).await;
    cluster.configure(50).await;
    let mut jobs = Vec::new();
    for i in 0..6 {
        let body = json!({ "queue": "masters", "request_id": format!("m{i}"),
            "payload": json!({ "run_ms": 1500, "mark": format!("m{i}") }).to_string() });
        let reply = cluster.call(0, Method::Post, "/v1/jobs", CLINIC_SECRET, &body.to_string()).await;
        assert_eq!(reply.status, 202, "{}", reply.text());
        jobs.push(reply.json::<Value>().unwrap()["job"].as_str().unwrap().to_owned());
    }
    cluster.entries[0].kill();
    for (i, job) in jobs.iter().enumerate() {
        let path = format!("/v1/jobs/{job}");
        let ended = poll_until(&format!("{job} ends"), || async {
            let shown: Value = cluster.call(1, Method::Get, &path, CLINIC_SECRET, "").await.json().ok()?;
            ["done", "unknown"].iter().any(|s| shown["state"] == *s).then_some(shown)
        })
        .await;
        let starts = cluster.count_starts(&format!("m{i}")).await;
        assert!(starts <= 1, "m{i} was started {starts} times");
        // The job may end as unknown only if it was started by the killed entry and its lease lapsed.
        assert!(ended["state"] == "done" || starts == 1, "m{i}: {ended}");
    }
}

/// Guards against a job that runs twice because its request was repeated at another entry, before or after the job
/// ended.
#[async_std::test]
async fn repeated_request_runs_once() {
    let cluster = Cluster::start("repeat", 3, 3).await;
    cluster.configure(50).await;
    let payload = job("masters", "relay-7", 50).payload;
    let body = json!({ "queue": "masters", "request_id": "relay-7", "payload": payload }).to_string();
    let mut ids = Vec::new();
    for i in 0..3 {
        let reply = cluster.call(i, Method::Post, "/v1/jobs", CLINIC_SECRET, &body).await;
        assert!([200, 202].contains(&reply.status), "{}", reply.text());
        ids.push(reply.json::<Value>().unwrap()["job"].clone());
    }
    assert!(ids.iter().all(|id| *id == ids[0]), "{ids:?}");
    let outcome = cluster.caller(CLINIC_SECRET).submit(&job_with_request_id("masters", "relay-7", 50)).await;
    assert!(matches!(outcome, Outcome::Served), "{outcome:?}");
    assert_eq!(cluster.count_starts("relay-7").await, 1);
}

/// Guards against a refusal that names only the first error, an error without its place, and invalid requests that are
/// accepted or not reported as not run.
#[async_std::test]
async fn invalid_requests_are_refused_with_every_error() {
    let cluster = Cluster::start("bad-input", 1, 1).await;
    cluster.configure(50).await;
    let cases: [(&str, Value, u16, &[&str]); 5] = [
        ("unknown-key-0123456789", json!({ "queue": "clips", "payload": "{}" }), 403, &["authorization"]),
        (CLINIC_SECRET, json!({ "queue": "clips", "team": "other", "payload": "{}" }), 403, &["team"]),
        (CLINIC_SECRET, json!({ "queue": "nowhere", "payload": "{}" }), 400, &["queue"]),
        (CLINIC_SECRET, json!({ "queue": "clips", "payload": "{}", "colour": 1 }), 400, &["body 1:"]),
        (
            CLINIC_SECRET,
            json!({ "queue": "clips", "team": "other", "payload": "{}",
                "size": { "cores": 4000, "memory_mb": 1, "accelerators": 900 } }),
            403,
            &["team", "size.cores", "size.accelerators"],
        ),
    ];
    for (secret, body, status, places) in cases {
        let reply = cluster.call(0, Method::Post, "/v1/jobs", secret, &body.to_string()).await;
        let answer: Value = reply.json().expect("JSON");
        assert_eq!(reply.status, status, "{body}: {answer}");
        assert_eq!(answer["ran"], "no", "{answer}");
        for place in places {
            let errors = answer["errors"].as_array().expect("a list");
            let found = errors.iter().any(|e| e["place"].as_str().is_some_and(|p| p.starts_with(place)));
            assert!(found, "{place} is missing in {answer}");
        }
    }
    let long = format!("{{\"queue\":\"clips\",\"payload\":\"{}\"}}", "x".repeat(1_100_000));
    let reply = cluster.call(0, Method::Post, "/v1/jobs", CLINIC_SECRET, &long).await;
    assert_eq!(reply.status, 413, "{}", reply.text());
}

/// Guards against a job that another team can read with its own key and the job's id.
#[async_std::test]
async fn jobs_of_another_team_are_not_shown() {
    let cluster = Cluster::start("other-team", 1, 1).await;
    cluster.configure(50).await;
    cluster.change_config(json!({ "change": "set_team", "id": "club", "value": { "share": 10, "limit": 5 } })).await;
    cluster.give_key("club-1", "club", "club-secret-0123456").await;
    let body = json!({ "queue": "masters", "request_id": "x", "payload": job("masters", "x", 5).payload }).to_string();
    let reply = cluster.call(0, Method::Post, "/v1/jobs", CLINIC_SECRET, &body).await;
    let path = format!("/v1/jobs/{}", reply.json::<Value>().unwrap()["job"].as_str().unwrap());
    assert_eq!(cluster.call(0, Method::Get, &path, CLINIC_SECRET, "").await.status, 200);
    assert_eq!(cluster.call(0, Method::Get, &path, "club-secret-0123456", "").await.status, 404);
}

/// Guards against "not run" for a repeated request whose job was accepted before an outage of the store: the entries
/// can't read whether the job exists.
#[async_std::test]
async fn repeated_request_during_an_outage_is_not_reported_as_not_run() {
    let cluster = Cluster::start("repeat-outage", 2, 1).await;
    cluster.configure(50).await;
    let payload = job("masters", "before", 60_000).payload;
    let body = json!({ "queue": "masters", "request_id": "before", "payload": payload }).to_string();
    let accepted = cluster.call(0, Method::Post, "/v1/jobs", CLINIC_SECRET, &body).await;
    assert_eq!(accepted.status, 202, "{}", accepted.text());
    cluster::control(cluster.store, "outage", &json!({ "mode": "refuse" })).await;
    for i in 0..2 {
        poll_until("the entry notices the outage", || async {
            (cluster.status(i).await["store_reachable"] == false).then_some(())
        })
        .await;
        let repeated = cluster.call(i, Method::Post, "/v1/jobs", CLINIC_SECRET, &body).await;
        let answer: Value = repeated.json().expect("JSON");
        assert!(answer["state"].is_string() || answer["ran"] == "unknown", "{answer}");
        // Callers treat 200 as the answer of the job, which has not ended.
        assert_ne!(repeated.status, 200, "{answer}");
    }
}
