//! A maintenance wave over all VMs under load keeps the pool's availability budget (invariant I1) and loses no durable
//! job.

mod cluster;

use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_testbed::submit::Outcome;
use cluster::{CLINIC_SECRET, Cluster, job_with_request_id, urgent_job};
use http_types::Method;
use serde_json::{Value, json};

/// Number of VMs of the pool.
const VMS: usize = 3;

/// Availability budget of the pool in percent.
const MIN_AVAILABLE: u32 = 50;

/// Minimum number of available VMs: 50 % of 3, rounded up.
const REQUIRED: usize = 2;

/// Maximum duration of the wave: 15 s for each VM, one after the other. A VM returns to service 10 s after its restart
/// (`min_uptime` of the planner's policy). The steps before wait for the next plan, 1 s, and the next poll, 1.5 s.
const WAVE_BOUND: Duration = Duration::from_secs(45);

/// Number of the pool's VMs that serve, in an entry's answer.
fn count_serving(fleet: &Value) -> usize {
    let vms = fleet["vms"].as_object().expect("VM records");
    vms.values().filter(|vm| vm["pool"] == "render" && vm["state"] == "serving").count()
}

/// Guards against a wave that drains more VMs at a time than the budget allows, against durable jobs that are lost when
/// the VM on which they run restarts, and against urgent jobs with an unknown outcome.
#[async_std::test]
async fn wave_keeps_the_availability_budget_and_loses_no_job() {
    let cluster = Cluster::start("wave", 3, VMS).await;
    cluster.configure(60).await;
    let pool = json!({ "min_available": MIN_AVAILABLE, "baseline": VMS });
    cluster.change_config(json!({ "change": "set_pool", "id": "render", "value": pool })).await;
    let urgent = cluster.start_load(4, |i| urgent_job(&format!("u{i}"), 20));
    let caller = cluster.caller(CLINIC_SECRET);
    let durable = cluster.start_load_with(&caller, 4, |i| {
        let queue = if i % 2 == 0 { "masters" } else { "archive" };
        job_with_request_id(queue, &format!("d{i}"), 20 + (i as u64 * 37) % 280)
    });
    let reply = cluster.call_as_operator(0, Method::Post, "/v1/fleet/commands", &json!({ "command": "start" })).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    let (deadline, mut lowest, mut polls) = (Instant::now() + WAVE_BOUND, VMS, 0);
    loop {
        let reply = cluster.call_as_operator(polls % 3, Method::Get, "/v1/fleet", &json!({})).await;
        let fleet: Value = reply.json().expect("JSON");
        let serving = count_serving(&fleet);
        assert!(serving >= REQUIRED, "{serving} of {VMS} VMs serve, {REQUIRED} must: {fleet}");
        (lowest, polls) = (lowest.min(serving), polls + 1);
        if fleet["wave"]["phase"]["phase"] == "finished" && serving == VMS {
            break;
        }
        assert!(Instant::now() < deadline, "the wave has not ended within {WAVE_BOUND:?}: {fleet}");
        task::sleep(Duration::from_millis(20)).await;
    }
    assert!(lowest < VMS, "the wave drained no VM");
    let (urgent, durable) = (urgent.stop().await, durable.stop().await);
    println!("{polls} polls, at least {lowest} VMs served; {} urgent and {} durable jobs", urgent.len(), durable.len());
    for (job, outcome) in &urgent {
        let is_truthful = matches!(outcome, Outcome::Served | Outcome::NotRun { .. });
        assert!(is_truthful, "{}: {outcome:?}", job.payload);
    }
    let starts = cluster.count_starts_by_mark().await;
    for (job, outcome) in &durable {
        let mark = job.request_id.as_deref().expect("an id");
        let started = starts.get(mark).copied().unwrap_or(0);
        match outcome {
            Outcome::Served => assert!(started > 0, "{mark} is done without a start"),
            Outcome::NotRun { .. } => assert_eq!(started, 0, "{mark}: {outcome:?}"),
            _ => panic!("{mark}: {outcome:?}"),
        }
        assert!(job.queue != "masters" || started <= 1, "{mark} was started {started} times");
    }
    assert!(durable.iter().any(|(_, outcome)| *outcome == Outcome::Served));
}
