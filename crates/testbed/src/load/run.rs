//! Sends the jobs of a plan at their scheduled times.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_std::task;
use futures::StreamExt;
use futures::channel::mpsc;
use smol_str::format_smolstr;

use super::direct::DirectCaller;
use super::plan::{Arrival, Plan, QueuePlan};
use super::report::{EndedJob, JobRecord, Report};
use crate::submit::{self, Caller, Job, Outcome};

/// Largest number of different reasons in a report; jobs with further ones aren't counted by reason.
const MAX_REASONS: usize = 20;

/// Receiver of the load.
#[derive(Clone, Debug)]
pub enum Target {
    /// Entries, which are called with each queue's key.
    Entries(Caller),
    /// Workers, which are called without an entry.
    Direct(DirectCaller),
}

impl Target {
    async fn submit(&self, plan: &QueuePlan, job: &Job) -> Outcome {
        match self {
            Self::Entries(caller) => caller.clone().with_key(plan.key.clone()).submit(job).await,
            Self::Direct(caller) => caller.submit(job).await,
        }
    }
}

fn build_job(plan: &QueuePlan, prefix: &str, number: usize) -> Job {
    let mark = format_smolstr!("{prefix}-{number}");
    Job {
        queue: plan.queue.clone(),
        team: plan.team.clone(),
        payload: submit::mark_payload(&plan.payload, &mark),
        request_id: Some(mark),
        expected_run_ms: plan.expected_run_ms,
        deadline_ms: plan.deadline_ms,
    }
}

/// Sends the jobs of the plan and waits for all of them to end.
///
/// Latencies count from the scheduled arrival and not from the sending, so that a slow system or a late generator
/// doesn't hide the waiting time of later jobs (coordinated omission).
pub async fn run(plan: &Plan, target: &Target, prefix: &str, max_in_flight: usize) -> Report {
    let schedule = plan.schedule();
    let (tx, mut ended) = mpsc::unbounded();
    let mut report = Report::default();
    let mut in_flight = 0;
    let start = Instant::now();
    // The fallback is never used, since the clock is after 1970.
    let start_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
    for (number, arrival) in schedule.into_iter().enumerate() {
        if let Some(wait) = arrival.at.checked_sub(start.elapsed()) {
            task::sleep(wait).await;
        }
        while let Ok(done) = ended.try_recv() {
            in_flight -= 1;
            record_ended(&mut report, plan, start_ms, done);
        }
        if in_flight >= max_in_flight {
            report.not_sent += 1;
            continue;
        }
        in_flight += 1;
        report.add_send_lag(start.elapsed().saturating_sub(arrival.at));
        let queue = plan.queues[arrival.queue].clone();
        let job = build_job(&queue, prefix, number);
        task::spawn(send(target.clone(), queue, job, arrival, start, tx.clone()));
    }
    drop(tx);
    while let Some(done) = ended.next().await {
        record_ended(&mut report, plan, start_ms, done);
    }
    report
}

async fn send(
    target: Target,
    queue: QueuePlan,
    job: Job,
    arrival: Arrival,
    start: Instant,
    tx: mpsc::UnboundedSender<EndedJob>,
) {
    let sent = start.elapsed();
    let outcome = target.submit(&queue, &job).await;
    let now = start.elapsed();
    let mark = job.request_id.unwrap_or_default();
    let (latency, service) = (now.saturating_sub(arrival.at), now.saturating_sub(sent));
    // The receiver lives until the last sender is dropped.
    let _ = tx.unbounded_send(EndedJob { queue: arrival.queue, mark, arrived: arrival.at, outcome, latency, service });
}

fn record_ended(report: &mut Report, plan: &Plan, start_ms: u64, ended: EndedJob) {
    let queue = &plan.queues[ended.queue];
    report.add(&queue.queue, queue.team.as_ref(), &ended);
    let reason = ended.outcome.reason();
    report.jobs.push(JobRecord {
        mark: ended.mark,
        queue: queue.queue.clone(),
        team: queue.team.clone().unwrap_or_default(),
        arrived_ms: start_ms + ended.arrived.as_millis() as u64,
        result: ended.outcome,
    });
    let Some(reason) = reason else { return };
    if report.reasons.len() < MAX_REASONS || report.reasons.contains_key(&reason) {
        *report.reasons.entry(reason).or_default() += 1;
    }
}

/// TTL of the leases of direct calls: the duration of the load, and 60 s for jobs that end after it.
#[must_use]
pub fn lease_ttl(plan: &Plan) -> Duration {
    Duration::from_millis(plan.duration_ms) + Duration::from_secs(60)
}
