//! Job counts and latencies of a load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::submit::{Outcome, Summary};

/// Largest recorded latency in µs (10 minutes); longer ones are recorded as this.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// Precision of the histograms in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// An ended job in the file of `load --jobs`, which `bench-check` compares with the workers' start logs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Request id, which is also the mark of the payload.
    pub mark: SmolStr,
    /// Name of the queue.
    pub queue: SmolStr,
    /// Name of the team; empty if none.
    pub team: SmolStr,
    /// Time of the scheduled arrival in ms since the Unix epoch.
    pub arrived_ms: u64,
    /// How the job ended.
    pub result: Outcome,
}

/// An ended job with its times.
#[derive(Clone, Debug)]
pub struct EndedJob {
    /// Index of the queue in the plan.
    pub queue: usize,
    /// Request id, which is also the mark of the payload.
    pub mark: SmolStr,
    /// Time from the start of the load to the scheduled arrival.
    pub arrived: Duration,
    /// How the job ended.
    pub outcome: Outcome,
    /// Time from the scheduled arrival to the outcome.
    pub latency: Duration,
    /// Time from the sending of the request to the outcome.
    pub service: Duration,
}

/// Outcome counts and latency histograms of a group of jobs.
#[derive(Clone, Debug)]
pub struct JobStats {
    summary: Summary,
    latency: Histogram<u64>,
    service: Histogram<u64>,
}

impl Default for JobStats {
    fn default() -> Self {
        let new_histogram =
            || Histogram::new_with_max(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS).expect("the bounds are valid");
        Self { summary: Summary::default(), latency: new_histogram(), service: new_histogram() }
    }
}

impl JobStats {
    fn add(&mut self, ended: &EndedJob) {
        self.summary.add(&ended.outcome);
        // Only served jobs count, because fast refusals would hide slow answers.
        if ended.outcome == Outcome::Served {
            self.latency.saturating_record(to_micros(ended.latency));
            self.service.saturating_record(to_micros(ended.service));
        }
    }

    fn to_json(&self, duration: Duration) -> Value {
        let mut object = serde_json::to_value(self.summary).unwrap_or_default();
        object["goodput_per_second"] = json!(self.summary.served as f64 / duration.as_secs_f64());
        object["latency_ms"] = histogram_to_json(&self.latency);
        object["service_ms"] = histogram_to_json(&self.service);
        object
    }

    /// Numbers of jobs by outcome.
    #[must_use]
    pub const fn summary(&self) -> Summary {
        self.summary
    }
}

/// Result of a load.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Statistics of all jobs.
    pub all: JobStats,
    /// Statistics by queue.
    pub queues: BTreeMap<SmolStr, JobStats>,
    /// Statistics by team; queues without a team are left out.
    pub teams: BTreeMap<SmolStr, JobStats>,
    /// Arrivals that were not sent because too many jobs were in flight.
    pub not_sent: u64,
    /// All ended jobs, in the order of their ends.
    pub jobs: Vec<JobRecord>,
    /// Jobs that weren't served, by reason.
    pub reasons: BTreeMap<String, u64>,
    send_lag: Option<Histogram<u64>>,
}

impl Report {
    pub(super) fn add(&mut self, queue: &SmolStr, team: Option<&SmolStr>, ended: &EndedJob) {
        self.all.add(ended);
        self.queues.entry(queue.clone()).or_default().add(ended);
        if let Some(team) = team {
            self.teams.entry(team.clone()).or_default().add(ended);
        }
    }

    /// Records how long after its scheduled arrival a job was sent.
    pub(super) fn add_send_lag(&mut self, lag: Duration) {
        let lags = self.send_lag.get_or_insert_with(|| JobStats::default().latency);
        lags.saturating_record(to_micros(lag));
    }

    /// The report as JSON; `duration` is the time over which jobs arrived.
    #[must_use]
    pub fn to_json(&self, duration: Duration) -> Value {
        let groups_to_json = |groups: &BTreeMap<SmolStr, JobStats>| -> Value {
            groups.iter().map(|(n, c)| (n.to_string(), c.to_json(duration))).collect::<serde_json::Map<_, _>>().into()
        };
        json!({
            "all": self.all.to_json(duration),
            "queues": groups_to_json(&self.queues),
            "teams": groups_to_json(&self.teams),
            "not_sent": self.not_sent,
            "reasons": self.reasons,
            "send_lag_ms": self.send_lag.as_ref().map(histogram_to_json),
        })
    }
}

fn to_micros(time: Duration) -> u64 {
    // A value that doesn't fit is far above the largest recorded latency.
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn histogram_to_json(h: &Histogram<u64>) -> Value {
    let ms = |us: u64| us as f64 / 1000.0;
    json!({
        "p50": ms(h.value_at_quantile(0.5)),
        "p90": ms(h.value_at_quantile(0.9)),
        "p99": ms(h.value_at_quantile(0.99)),
        "p999": ms(h.value_at_quantile(0.999)),
        "max": ms(h.max()),
        "mean": h.mean() / 1000.0,
        "count": h.len(),
    })
}
