//! A maintenance wave over all VMs under load: the pool's availability budget holds (I1) and no durable job is lost.

mod cluster;

use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_testbed::submit::Outcome;
use cluster::{CLINIC_SECRET, Cluster, clip, named};
use http_types::Method;
use serde_json::{Value, json};

/// VMs of the pool.
const VMS: usize = 3;

/// Availability budget of the pool in percent.
const MIN_AVAILABLE: u32 = 50;

/// VMs that must be available: 50 % of 3, rounded up.
const REQUIRED: usize = 2;

/// Time within which the wave has to end: 15 s for each VM in turn. A VM returns 10 s after its restart (`settle` of the
/// planner's policy), and the steps before wait for the planner (1 s) and for the status of the worker (1.5 s).
const WAVE_BOUND: Duration = Duration::from_secs(45);

/// VMs of the pool that serve, at one entry.
fn count_serving(fleet: &Value) -> usize {
    let vms = fleet["vms"].as_object().expect("VM records");
    vms.values().filter(|vm| vm["pool"] == "render" && vm["state"] == "serving").count()
}

/// Guards against a wave that drains more VMs than the budget allows, and against a durable job that ends with its VM.
#[async_std::test]
async fn wave_over_all_vms_keeps_the_budget_and_loses_no_job() {
    let cluster = Cluster::start("wave", 3, VMS).await;
    cluster.configure(60).await;
    let pool = json!({ "min_available": MIN_AVAILABLE, "baseline": VMS });
    cluster.change(json!({ "change": "set_pool", "id": "render", "value": pool })).await;
    let urgent = cluster.flood(4, |i| clip(&format!("u{i}"), 20));
    let caller = cluster.caller(CLINIC_SECRET);
    let durable = cluster.flood_with(&caller, 4, |i| {
        let queue = if i % 2 == 0 { "masters" } else { "archive" };
        named(queue, &format!("d{i}"), 20 + (i as u64 * 37) % 280)
    });
    let reply = cluster.operate(0, Method::Post, "/v1/fleet/commands", &json!({ "command": "start" })).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    let (ends, mut lowest, mut polls) = (Instant::now() + WAVE_BOUND, VMS, 0);
    loop {
        let reply = cluster.operate(polls % 3, Method::Get, "/v1/fleet", &json!({})).await;
        let fleet: Value = reply.json().expect("JSON");
        let serving = count_serving(&fleet);
        assert!(serving >= REQUIRED, "{serving} of {VMS} VMs serve, {REQUIRED} must: {fleet}");
        (lowest, polls) = (lowest.min(serving), polls + 1);
        if fleet["wave"]["phase"]["phase"] == "finished" && serving == VMS {
            break;
        }
        assert!(Instant::now() < ends, "the wave has not ended within {WAVE_BOUND:?}: {fleet}");
        task::sleep(Duration::from_millis(20)).await;
    }
    assert!(lowest < VMS, "the wave drained no VM");
    let (urgent, durable) = (urgent.end().await, durable.end().await);
    println!("{polls} polls, at least {lowest} VMs served; {} urgent and {} durable jobs", urgent.len(), durable.len());
    for (job, outcome) in &urgent {
        let is_truthful = matches!(outcome, Outcome::Served | Outcome::NotRun { .. });
        assert!(is_truthful, "{}: {outcome:?}", job.payload);
    }
    let starts = cluster.starts().await;
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
