//! A caller receives the complete answer to its own request (invariant I5), and a job that is reported as not run was
//! never started (invariant I6).

mod cluster;

use std::time::Duration;

use async_std::task;
use carawaybarrow_testbed::client::Client;
use carawaybarrow_testbed::submit::{Caller, Job, Outcome, Summary};
use cluster::{CLINIC_SECRET, Cluster, Load, control, poll_until, urgent_job};
use serde_json::json;

/// Number of callers whose jobs the pool can run.
const CALLERS: usize = 12;

/// Number of callers of an overload: several times the 16 slots of two workers.
const OVERLOAD_CALLERS: usize = 96;

/// Minimum time for which an entry waits for the answer of a worker (`ANSWER_TIMEOUT_BOUNDS` in `urgent.rs`).
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of a caller: the answer timeout of an entry for each of two attempts, and a margin.
const CALLER_TIMEOUT: Duration = Duration::from_secs(25);

async fn start(name: &str, workers: usize) -> Cluster {
    let cluster = Cluster::start(name, 3, workers).await;
    cluster.configure(200).await;
    cluster
}

/// Submits urgent jobs without a request id, so that each request is one job. The answers differ by their marks.
fn start_load(cluster: &Cluster, callers: usize, run_ms: u64) -> Load {
    let caller =
        Caller::new(&cluster.caller_addresses()).with_key(Some(CLINIC_SECRET.to_owned())).with_timeout(CALLER_TIMEOUT);
    cluster.start_load_with(&caller, callers, move |i| urgent_job(&format!("a{i}"), run_ms + i as u64 % 20))
}

/// Compares the outcomes with the starts at the workers. Returns the counts of the outcomes and the number of starts.
async fn check_outcomes(cluster: &Cluster, outcomes: &[(Job, Outcome)]) -> (Summary, usize) {
    let starts = cluster.count_starts_by_mark().await;
    let (mut summary, mut sum) = (Summary::default(), 0);
    for (job, outcome) in outcomes {
        let payload: serde_json::Value = serde_json::from_str(&job.payload).expect("JSON");
        let mark = payload["mark"].as_str().expect("a mark");
        let started = starts.get(mark).copied().unwrap_or(0);
        summary.add(outcome);
        sum += started;
        match outcome {
            Outcome::Served => assert!(started > 0, "{mark} was answered without a start"),
            Outcome::NotRun { .. } => {
                assert_eq!(started, 0, "{mark} was reported as not run and started: {outcome:?}");
            }
            Outcome::Unknown { .. } => {}
            // No worker fails a task, and no urgent job is cancelled or becomes durable.
            _ => panic!("{mark}: {outcome:?}"),
        }
    }
    println!("{summary:?}, {sum} starts");
    assert!(summary.served > 0, "{summary:?}");
    (summary, sum)
}

/// Guards against a truncated body that is passed on to a caller as a complete answer: workers close the connection in
/// the middle of the body.
#[async_std::test]
async fn truncated_answers_are_not_passed_on() {
    let cluster = start("cut", 4).await;
    let load = start_load(&cluster, CALLERS, 10);
    for _ in 0..10 {
        for worker in &cluster.workers {
            control(*worker, "faults", &json!({ "cut": 2 })).await;
        }
        task::sleep(Duration::from_millis(300)).await;
    }
    let (summary, starts) = check_outcomes(&cluster, &load.stop().await).await;
    let answered = summary.served + summary.unknown;
    assert!(starts as u64 > answered || summary.unknown > 0, "no answer was truncated: {summary:?}, {starts} starts");
}

/// Guards against "not run" for a job that ran: the worker executes the start, and its response is lost.
#[async_std::test]
async fn jobs_with_lost_start_responses_are_not_reported_as_not_run() {
    let cluster = start("lost", 4).await;
    let load = start_load(&cluster, CALLERS, 10);
    for _ in 0..10 {
        for worker in &cluster.workers {
            control(*worker, "faults", &json!({ "lost": 3 })).await;
        }
        task::sleep(Duration::from_millis(300)).await;
    }
    let (summary, starts) = check_outcomes(&cluster, &load.stop().await).await;
    assert!(starts as u64 > summary.served, "no answer was lost: {summary:?}, {starts} starts");
}

/// Guards against a late answer that reaches the caller of another job, and against "not run" after the answer timeout.
/// A frozen worker answers after the entries have ended the attempts.
#[async_std::test]
async fn late_answers_reach_no_other_caller() {
    let cluster = start("late", 3).await;
    let load = start_load(&cluster, CALLERS, 400);
    let client = Client::new();
    poll_until("the first worker runs tasks", || async {
        let status: serde_json::Value = client.get(cluster.workers[0], "/status").await.ok()?.json().ok()?;
        (status["tasks"].as_array()?.len() >= 2).then_some(())
    })
    .await;
    control(cluster.workers[0], "faults", &json!({ "frozen": true })).await;
    // Delayed answers of the second worker arrive out of order with those of the third one.
    control(cluster.workers[1], "faults", &json!({ "delay_ms": 30 })).await;
    // After the answer timeout the entries have ended the attempts; then the first worker answers.
    task::sleep(ANSWER_TIMEOUT + Duration::from_secs(1)).await;
    control(cluster.workers[0], "faults", &json!({ "frozen": false })).await;
    task::sleep(Duration::from_secs(2)).await;
    let (summary, starts) = check_outcomes(&cluster, &load.stop().await).await;
    let is_late = starts as u64 > summary.served || summary.unknown > 0;
    assert!(is_late, "no answer was late: {summary:?}, {starts} starts");
}

/// Guards against "not run" for a job that ran: an overloaded pool refuses jobs, some of them after a first attempt
/// whose answer was lost or truncated.
#[async_std::test]
async fn jobs_refused_by_an_overloaded_pool_have_not_run() {
    let cluster = start("overload", 2).await;
    let load = start_load(&cluster, OVERLOAD_CALLERS, 300);
    for _ in 0..6 {
        control(cluster.workers[0], "faults", &json!({ "lost": 2 })).await;
        control(cluster.workers[1], "faults", &json!({ "cut": 2 })).await;
        task::sleep(Duration::from_secs(1)).await;
    }
    let (summary, _) = check_outcomes(&cluster, &load.stop().await).await;
    assert!(summary.refused_not_run > 0, "the pool was not overloaded: {summary:?}");
}
