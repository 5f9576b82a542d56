//! Explanations of the states of jobs and VMs for operators.

mod cluster;

use cluster::{CLINIC_SECRET, Cluster, job, poll_until};
use http_types::Method;
use serde_json::{Value, json};

async fn explain(cluster: &Cluster, index: usize, path: &str) -> Value {
    let path = format!("/v1/explain/{path}");
    cluster.call_as_operator(index, Method::Get, &path, &json!({})).await.json().expect("JSON")
}

/// Guards against an explanation that depends on the entry that receives the request, or that lacks the reason why a
/// job waits. Only the owner of a job's shard holds its state, so the other entries have to ask the members. 40 long
/// jobs for 16 slots make some of them wait.
#[async_std::test]
async fn jobs_are_explained_at_every_entry() {
    let cluster = Cluster::start("explain-jobs", 3, 2).await;
    cluster.configure(50).await;
    let mut jobs = Vec::new();
    for i in 0..40 {
        let mark = format!("late-{i}");
        let payload = job("masters", &mark, 20_000).payload;
        let body = json!({ "queue": "masters", "request_id": mark, "payload": payload });
        let reply = cluster.call(0, Method::Post, "/v1/jobs", CLINIC_SECRET, &body.to_string()).await;
        jobs.push(reply.json::<Value>().expect("JSON")["job"].as_str().expect("an accepted job").to_owned());
    }
    for index in 0..3 {
        poll_until("a claimed job and a waiting one with its reason are found", || async {
            let mut found = Vec::new();
            for job in &jobs {
                found.push(explain(&cluster, index, &format!("jobs/{job}")).await);
            }
            let is_claimed = |e: &Value| e["state"] == "claimed" && e["claim"]["vm"].is_string();
            let reason = "pool render is full: all 16 slots are in use";
            let waits = |e: &Value| {
                let reasons = e["reasons"].as_array().is_some_and(|r| r.contains(&json!(reason)));
                e["state"] == "waiting" && e["ahead_in_team"].is_u64() && reasons
            };
            (found.iter().any(is_claimed) && found.iter().any(waits)).then_some(())
        })
        .await;
    }
    poll_until("each job is explained by the same entry, whichever receives the request", || async {
        for job in &jobs {
            let path = format!("jobs/{job}");
            let first = explain(&cluster, 0, &path).await["entry"].clone();
            for index in 1..3 {
                if explain(&cluster, index, &path).await["entry"] != first {
                    return None;
                }
            }
        }
        Some(())
    })
    .await;
    let unknown = cluster.call_as_operator(0, Method::Get, "/v1/explain/jobs/none", &json!({})).await;
    assert_eq!(unknown.status, 404, "{}", unknown.text());
    let denied = cluster.call(0, Method::Get, "/v1/explain/jobs/none", CLINIC_SECRET, "").await;
    assert_eq!(denied.status, 401, "{}", denied.text());
}

/// Guards against an explanation that lacks the reason why a wave leaves a VM alone: the availability budget of its
/// pool, or a stop of all waves.
#[async_std::test]
async fn vms_are_explained_with_budget_and_wave() {
    let cluster = Cluster::start("explain-vms", 1, 2).await;
    cluster.configure(50).await;
    for body in [json!({ "command": "start" }), json!({ "command": "stop", "reason": "race morning" })] {
        let reply = cluster.call_as_operator(0, Method::Post, "/v1/fleet/commands", &body).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    let found = explain(&cluster, 0, "vms/vm-1").await;
    let reasons = found["reasons"].to_string();
    assert!(reasons.contains("outside its budget for a drain: 2 of 2 VMs are available, 70% must be"), "{found}");
    assert!(reasons.contains("grants no drains") && reasons.contains("race morning"), "{found}");
    let unknown = cluster.call_as_operator(0, Method::Get, "/v1/explain/vms/none", &json!({})).await;
    assert_eq!(unknown.status, 404, "{}", unknown.text());
}
