//! Counts and latencies of a load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::submit::{Outcome, Summary};

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Significant digits of a latency.
const DIGITS: u8 = 3;

/// An ended job as a check of the starts needs it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Request id, which is also the mark of the payload.
    pub mark: SmolStr,
    /// Queue.
    pub queue: SmolStr,
    /// Team; empty if none.
    pub team: SmolStr,
    /// Time of the scheduled arrival in ms since the Unix epoch.
    pub arrived_ms: u64,
    /// Outcome.
    pub result: Outcome,
}

/// One ended job.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Index of the queue in the plan.
    pub queue: usize,
    /// Request id, which is also the mark of the payload.
    pub mark: SmolStr,
    /// Time from the start of the load to the scheduled arrival.
    pub arrived: Duration,
    /// Outcome.
    pub outcome: Outcome,
    /// Time from the scheduled arrival to the outcome.
    pub latency: Duration,
    /// Time from the send to the outcome.
    pub service: Duration,
}

/// Counts and latencies of a group of jobs.
#[derive(Clone, Debug)]
pub struct Counts {
    summary: Summary,
    latency: Histogram<u64>,
    service: Histogram<u64>,
}

impl Default for Counts {
    fn default() -> Self {
        let build = || Histogram::new_with_max(MAX_LATENCY_US, DIGITS).expect("the bounds are valid");
        Self { summary: Summary::default(), latency: build(), service: build() }
    }
}

impl Counts {
    fn add(&mut self, ended: &Ended) {
        self.summary.add(&ended.outcome);
        // Refusals are fast and would hide slow answers.
        if ended.outcome == Outcome::Served {
            self.latency.saturating_record(to_us(ended.latency));
            self.service.saturating_record(to_us(ended.service));
        }
    }

    fn show(&self, duration: Duration) -> Value {
        let mut shown = serde_json::to_value(self.summary).unwrap_or_default();
        shown["goodput_per_second"] = json!(self.summary.served as f64 / duration.as_secs_f64());
        shown["latency_ms"] = show_histogram(&self.latency);
        shown["service_ms"] = show_histogram(&self.service);
        shown
    }

    /// Number of jobs by outcome.
    #[must_use]
    pub const fn summary(&self) -> Summary {
        self.summary
    }
}

/// All counts of a load.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// All jobs.
    pub all: Counts,
    /// By queue.
    pub queues: BTreeMap<SmolStr, Counts>,
    /// By team; queues without a team are left out.
    pub teams: BTreeMap<SmolStr, Counts>,
    /// Arrivals that were not sent because too many jobs were under way.
    pub not_sent: u64,
    /// All ended jobs.
    pub jobs: Vec<JobRecord>,
    /// Why jobs weren't served.
    pub reasons: BTreeMap<String, u64>,
    send_lag: Option<Histogram<u64>>,
}

impl Report {
    pub(super) fn add(&mut self, queue: &SmolStr, team: Option<&SmolStr>, ended: &Ended) {
        self.all.add(ended);
        self.queues.entry(queue.clone()).or_default().add(ended);
        if let Some(team) = team {
            self.teams.entry(team.clone()).or_default().add(ended);
        }
    }

    /// Counts how late the generator itself was.
    pub(super) fn add_send_lag(&mut self, lag: Duration) {
        let lags = self.send_lag.get_or_insert_with(|| Counts::default().latency);
        lags.saturating_record(to_us(lag));
    }

    /// The report as JSON; `duration` is the time over which jobs arrived.
    #[must_use]
    pub fn show(&self, duration: Duration) -> Value {
        let show = |groups: &BTreeMap<SmolStr, Counts>| -> Value {
            groups.iter().map(|(n, c)| (n.to_string(), c.show(duration))).collect::<serde_json::Map<_, _>>().into()
        };
        json!({
            "all": self.all.show(duration),
            "queues": show(&self.queues),
            "teams": show(&self.teams),
            "not_sent": self.not_sent,
            "reasons": self.reasons,
            "send_lag_ms": self.send_lag.as_ref().map(show_histogram),
        })
    }
}

fn to_us(time: Duration) -> u64 {
    // Saturates far beyond the histogram's limit.
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn show_histogram(h: &Histogram<u64>) -> Value {
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
