//! Arrivals of the load generator, which follow the demand of design section 1.2, and its counts and latencies.

mod common;

use std::time::Duration;

use carawaybarrow_testbed::load::{self, DirectCaller, Plan, Target};
use carawaybarrow_testbed::submit::Caller;
use common::Worker;
use serde_json::{Value, json};

fn build_plan(fields: &Value) -> Plan {
    let mut plan = json!({ "seed": 3, "duration_ms": 1000, "queues": [] });
    for (name, value) in fields.as_object().expect("fields") {
        plan[name] = value.clone();
    }
    serde_json::from_value(plan).expect("a plan")
}

/// Guards against runs that can't be compared, because the same seed gives different arrivals.
#[test]
fn a_seed_always_gives_the_same_arrivals() {
    let queues = json!([{ "queue": "a", "mean_per_second": 50 }, { "queue": "b", "mean_per_second": 50 }]);
    let plan = build_plan(&json!({ "queues": queues, "duration_ms": 20_000 }));
    let schedule = plan.schedule();
    assert_eq!(schedule, plan.schedule());
    assert!(schedule.is_sorted_by_key(|a| a.at));
    let other = Plan { seed: 4, ..plan };
    assert_ne!(schedule, other.schedule());
}

/// Guards against a load without spikes and quiet times, or with another mean rate than that of the plan.
#[test]
fn each_queue_spikes_in_turn_around_its_mean() {
    const MEAN: f64 = 200.0;
    let queues: Vec<Value> = (0..5).map(|i| json!({ "queue": format!("q{i}"), "mean_per_second": MEAN })).collect();
    let mut plan = build_plan(&json!({ "queues": queues }));
    let cycle = plan.cycle_ms();
    plan.duration_ms = (cycle * 10.0) as u64;
    let schedule = plan.schedule();
    for queue in 0..5 {
        let times: Vec<f64> =
            schedule.iter().filter(|a| a.queue == queue).map(|a| a.at.as_secs_f64() * 1000.0).collect();
        let mean = times.len() as f64 / plan.duration_ms as f64 * 1000.0;
        assert!((mean / MEAN - 1.0).abs() < 0.05, "queue {queue}: {mean} a second");
        let offset = cycle * queue as f64 / 5.0;
        let spike = plan.spike_ms as f64;
        let in_spike = times.iter().filter(|t| (**t - offset).rem_euclid(cycle) < spike).count() as f64;
        let spike_rate = in_spike / (spike * 10.0) * 1000.0;
        let quiet_rate = (times.len() as f64 - in_spike) / ((cycle - spike) * 10.0) * 1000.0;
        assert!((spike_rate / MEAN - 5.0).abs() < 0.25, "queue {queue}: {spike_rate} a second in spikes");
        assert!((quiet_rate / MEAN - 0.05).abs() < 0.01, "queue {queue}: {quiet_rate} a second between spikes");
    }
}

/// Guards against an example plan that can't be parsed any more, or that no longer overloads a pool in its spikes.
#[test]
fn the_example_plan_overloads_a_pool_in_spikes() {
    const POOL_SLOTS: f64 = 10.0 * 8.0;
    let plan: Plan = serde_json::from_str(include_str!("../plans/demand.json")).expect("a plan");
    assert_eq!(plan.queues.len(), 5);
    for queue in &plan.queues {
        let run_ms = queue.payload["run_ms"].as_f64().expect("a run time");
        let capacity = POOL_SLOTS * 1000.0 / run_ms;
        assert!(queue.mean_per_second < capacity && queue.mean_per_second * plan.spike_factor > capacity);
    }
}

/// Guards against endless loops when a rate or a phase is zero or very short.
#[test]
fn extreme_plans_have_a_schedule() {
    let cases = [
        (json!({ "spike_factor": 1, "quiet_factor": 1 }), 50.0),
        (json!({ "quiet_factor": 0 }), 50.0),
        (json!({ "spike_ms": 1 }), 50.0),
        (json!({}), 0.0),
    ];
    for (mut fields, mean) in cases {
        fields["queues"] = json!([{ "queue": "a", "mean_per_second": mean }]);
        let arrivals = build_plan(&fields).schedule();
        assert_eq!(arrivals.is_empty(), mean == 0.0, "{fields}");
    }
}

/// Guards against a baseline (a direct load, without entries) that loses jobs, accepts wrong answers or leaves slots of
/// workers occupied.
#[async_std::test]
async fn a_direct_load_is_served_and_counted() {
    let workers = [Worker::start().await, Worker::start().await];
    let queues = json!([
        { "queue": "a", "team": "t1", "mean_per_second": 100, "payload": { "run_ms": 1, "answer_bytes": 500 } },
        { "queue": "b", "team": "t1", "mean_per_second": 50, "payload": { "answer_bytes": 500 } },
        { "queue": "c", "team": "t2", "mean_per_second": 20, "payload": { "fail": true } },
    ]);
    let plan = build_plan(&json!({ "queues": queues, "spike_factor": 1, "quiet_factor": 1 }));
    let scheduled = |queue: usize| plan.schedule().iter().filter(|a| a.queue == queue).count() as u64;
    let direct = DirectCaller::new(&workers.each_ref().map(|w| w.addr), load::lease_ttl(&plan));
    let report = load::run(&plan, &Target::Direct(direct.clone()), "d", 4096).await;
    direct.end_leases().await;

    let all = report.all.summary();
    let asked: u64 = (0..3).map(scheduled).sum();
    assert_eq!(all.asked + report.not_sent, asked);
    assert_eq!(all.served + all.failed + all.refused_not_run, asked, "{:?}", report.reasons);
    assert_eq!((all.unknown, all.wrong_answers), (0, 0));
    assert_eq!(report.queues["c"].summary().served, 0);
    assert_eq!(report.teams["t1"].summary().asked, scheduled(0) + scheduled(1));
    let shown = report.to_json(Duration::from_secs(1));
    assert_eq!(shown["queues"]["a"]["latency_ms"]["count"], report.queues["a"].summary().served);
    let mut started = 0;
    for worker in &workers {
        assert_eq!(worker.get("/status").await["free"], 8);
        started += worker.starts().await.len() as u64;
    }
    assert_eq!(started, all.served + all.failed, "a refused job has no start");
}

/// Guards against latencies that leave out the wait for a frozen worker, because they count from the sending of the
/// request (coordinated omission).
#[async_std::test]
async fn latency_counts_from_the_scheduled_arrival() {
    let worker = Worker::start().await;
    let queues = json!([{ "queue": "a", "mean_per_second": 50 }]);
    let plan = build_plan(&json!({ "queues": queues, "spike_factor": 1, "quiet_factor": 1, "duration_ms": 500 }));
    common::control(worker.addr, "faults", &json!({ "frozen": true })).await;
    let direct = Target::Direct(DirectCaller::new(&[worker.addr], load::lease_ttl(&plan)));
    let unfreeze = async {
        async_std::task::sleep(Duration::from_millis(1000)).await;
        common::control(worker.addr, "faults", &json!({ "frozen": false })).await;
    };
    let (report, ()) = futures::join!(load::run(&plan, &direct, "d", 4096), unfreeze);
    let shown = report.to_json(Duration::from_millis(500));
    assert!(report.all.summary().served > 0, "{:?}", report.reasons);
    // All jobs arrive in the first 500 ms and none ends before 1000 ms.
    assert!(shown["all"]["latency_ms"]["p50"].as_f64() >= Some(500.0), "{shown}");
}

/// Guards against jobs that are counted as unknown although the entry can't be reached, so that none can have run.
#[async_std::test]
async fn jobs_for_an_unreachable_entry_are_not_run() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
    let plan = build_plan(&json!({ "queues": [{ "queue": "a", "mean_per_second": 20 }], "spike_factor": 1 }));
    let report = load::run(&plan, &Target::Entries(Caller::new(&[closed])), "e", 4096).await;
    let all = report.all.summary();
    assert!(all.asked > 0);
    assert_eq!(all.refused_not_run, all.asked);
}
