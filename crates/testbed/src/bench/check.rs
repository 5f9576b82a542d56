//! Checks the outcomes of jobs against the starts that the workers recorded.

use std::collections::BTreeMap;
use std::str::FromStr;

use serde::Serialize;
use smol_str::SmolStr;
use snafu::{OptionExt, ResultExt, Whatever};

use crate::load::JobRecord;
use crate::submit::Outcome;
use crate::worker::Start;

/// Time from the arrival of an urgent job within which it has to start, in ms.
const URGENT_START_LIMIT_MS: u64 = 1_100;

/// A named part of a benchmark run. It lasts until the next phase starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Phase {
    /// Name in the printed counts.
    pub name: SmolStr,
    /// Start in ms since the Unix epoch.
    pub from_ms: u64,
}

impl FromStr for Phase {
    type Err = Whatever;

    fn from_str(text: &str) -> Result<Self, Whatever> {
        let (name, from) = text.split_once('=').whatever_context("expected NAME=MS")?;
        Ok(Self { name: name.into(), from_ms: from.parse().whatever_context("expected a time in ms")? })
    }
}

/// Guarantees of the queues, and the phases by which jobs are counted.
#[derive(Clone, Debug, Default)]
pub struct CheckRules {
    /// Queues whose jobs start within 1.1 s.
    pub urgent: Vec<SmolStr>,
    /// Queues whose jobs run at most once.
    pub once: Vec<SmolStr>,
    /// Queues whose accepted jobs must not be lost.
    pub durable: Vec<SmolStr>,
    /// Phases in the order of their starts. If empty, all jobs are counted in one phase named `all`.
    pub phases: Vec<Phase>,
}

/// Job counts of a phase. A job belongs to the phase in which it arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PhaseCounts {
    /// Jobs sent.
    pub asked: u64,
    /// Jobs with a complete and correct answer that a worker started.
    pub served: u64,
    /// Jobs that were reported as not run.
    pub refused: u64,
    /// Refused jobs that a worker started all the same.
    pub false_not_run: u64,
    /// Jobs whose outcome is unknown to the caller.
    pub unknown: u64,
    /// Jobs that failed or were cancelled.
    pub failed: u64,
    /// Accepted jobs of durable queues that didn't end while the caller polled their state.
    pub lost: u64,
    /// Jobs of at-most-once queues that were started more than once.
    pub doubled: u64,
    /// Answers that are truncated, belong to another job, or have no recorded start.
    pub wrong: u64,
    /// Jobs of urgent queues.
    pub urgent: u64,
    /// Urgent jobs whose first start was within 1.1 s of the arrival.
    pub urgent_in_time: u64,
    /// Urgent jobs that were neither refused nor started within 1.1 s.
    pub urgent_late: u64,
}

impl PhaseCounts {
    /// Whether no job was lost or started twice, no answer was wrong, and no job reported as not run was started.
    #[must_use]
    pub const fn is_correct(&self) -> bool {
        self.lost + self.doubled + self.wrong + self.false_not_run == 0
    }

    fn add(&mut self, job: &JobRecord, starts: &[u64], rules: &CheckRules) {
        let is_refused = matches!(job.result, Outcome::NotRun { .. });
        self.asked += 1;
        match &job.result {
            Outcome::Served if starts.is_empty() => self.wrong += 1,
            Outcome::Served => self.served += 1,
            Outcome::NotRun { .. } => {
                self.refused += 1;
                self.false_not_run += u64::from(!starts.is_empty());
            }
            Outcome::Failed { .. } | Outcome::Cancelled => self.failed += 1,
            Outcome::Unknown { .. } => self.unknown += 1,
            Outcome::Pending { .. } if rules.durable.contains(&job.queue) => self.lost += 1,
            Outcome::Pending { .. } => self.unknown += 1,
            Outcome::WrongAnswer => self.wrong += 1,
        }
        self.doubled += u64::from(starts.len() > 1 && rules.once.contains(&job.queue));
        if rules.urgent.contains(&job.queue) {
            let is_in_time = starts.iter().min().is_some_and(|at| *at <= job.arrived_ms + URGENT_START_LIMIT_MS);
            self.urgent += 1;
            self.urgent_in_time += u64::from(is_in_time);
            self.urgent_late += u64::from(!is_in_time && !is_refused);
        }
    }
}

/// Maps each mark to the times of its starts, in ms since the Unix epoch.
fn index_starts(starts: &[Start]) -> BTreeMap<SmolStr, Vec<u64>> {
    let mut marks = BTreeMap::<SmolStr, Vec<u64>>::new();
    for start in starts {
        marks.entry(start.mark.clone()).or_default().push(start.at_ms);
    }
    marks
}

/// Counts the jobs of each phase. Marks must be unique over all loads that are checked together.
#[must_use]
pub fn check_jobs(jobs: &[JobRecord], starts: &[Start], rules: &CheckRules) -> Vec<(SmolStr, PhaseCounts)> {
    let marks = index_starts(starts);
    let all = [Phase { name: "all".into(), from_ms: 0 }];
    let phases = if rules.phases.is_empty() { &all[..] } else { &rules.phases };
    let mut counts: Vec<_> = phases.iter().map(|p| (p.name.clone(), PhaseCounts::default())).collect();
    for job in jobs {
        // Jobs that arrived before the first phase are counted in the first phase.
        let phase = phases.iter().rposition(|p| p.from_ms <= job.arrived_ms).unwrap_or(0);
        let starts = marks.get(&job.mark).map_or(&[][..], Vec::as_slice);
        counts[phase].1.add(job, starts, rules);
    }
    counts
}
