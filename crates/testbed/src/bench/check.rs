//! Judges the outcomes of jobs by the starts that the workers recorded.

use std::collections::BTreeMap;
use std::str::FromStr;

use serde::Serialize;
use smol_str::SmolStr;
use snafu::{OptionExt, ResultExt, Whatever};

use crate::load::JobRecord;
use crate::submit::Outcome;
use crate::worker::Start;

/// Time in ms within which urgent work has to start.
const URGENT_MS: u64 = 1_100;

/// A named part of a run, from a time in ms since the Unix epoch to the start of the next one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Phase {
    /// Name.
    pub name: SmolStr,
    /// Its first ms.
    pub from_ms: u64,
}

impl FromStr for Phase {
    type Err = Whatever;

    fn from_str(text: &str) -> Result<Self, Whatever> {
        let (name, from) = text.split_once('=').whatever_context("expected NAME=MS")?;
        Ok(Self { name: name.into(), from_ms: from.parse().whatever_context("expected a time in ms")? })
    }
}

/// What the queues promise, and the phases.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Queues whose jobs start within 1.1 s.
    pub urgent: Vec<SmolStr>,
    /// Queues whose jobs run at most once.
    pub once: Vec<SmolStr>,
    /// Queues whose accepted jobs must not be lost.
    pub durable: Vec<SmolStr>,
    /// Phases in the order of time; none for one that holds all jobs.
    pub phases: Vec<Phase>,
}

/// Counts of a phase. A job belongs to the phase in which it arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Jobs sent.
    pub asked: u64,
    /// Jobs with the whole answer.
    pub served: u64,
    /// Jobs refused as not run.
    pub refused: u64,
    /// Refused jobs that a worker started.
    pub false_not_run: u64,
    /// Jobs whose outcome is unknown to the caller.
    pub unknown: u64,
    /// Jobs that failed or were cancelled.
    pub failed: u64,
    /// Durable jobs that were accepted and didn't end while they were followed.
    pub lost: u64,
    /// Jobs that may run once and ran more often.
    pub doubled: u64,
    /// Answers that are cut, belong to another job, or come from no start.
    pub wrong: u64,
    /// Urgent jobs.
    pub urgent: u64,
    /// Urgent jobs of which a start came within 1.1 s of the arrival.
    pub urgent_in_time: u64,
    /// Urgent jobs that were neither refused nor started within the time.
    pub urgent_late: u64,
}

impl Counts {
    /// Whether no job was lost or doubled, no answer was wrong and each "not run" was true.
    #[must_use]
    pub const fn is_right(&self) -> bool {
        self.lost + self.doubled + self.wrong + self.false_not_run == 0
    }

    fn add(&mut self, job: &JobRecord, starts: &[u64], rules: &Rules) {
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
            let is_in_time = starts.iter().min().is_some_and(|at| *at <= job.arrived_ms + URGENT_MS);
            self.urgent += 1;
            self.urgent_in_time += u64::from(is_in_time);
            self.urgent_late += u64::from(!is_in_time && !is_refused);
        }
    }
}

/// Times of the starts by mark, in ms since the Unix epoch.
fn index_starts(starts: &[Start]) -> BTreeMap<SmolStr, Vec<u64>> {
    let mut marks = BTreeMap::<SmolStr, Vec<u64>>::new();
    for start in starts {
        marks.entry(start.mark.clone()).or_default().push(start.at_ms);
    }
    marks
}

/// Counts by phase. Marks of different loads must differ.
#[must_use]
pub fn check_jobs(jobs: &[JobRecord], starts: &[Start], rules: &Rules) -> Vec<(SmolStr, Counts)> {
    let marks = index_starts(starts);
    let all = [Phase { name: "all".into(), from_ms: 0 }];
    let phases = if rules.phases.is_empty() { &all[..] } else { &rules.phases };
    let mut counts: Vec<_> = phases.iter().map(|p| (p.name.clone(), Counts::default())).collect();
    for job in jobs {
        // Jobs from before the first phase count in it.
        let phase = phases.iter().rposition(|p| p.from_ms <= job.arrived_ms).unwrap_or(0);
        let starts = marks.get(&job.mark).map_or(&[][..], Vec::as_slice);
        counts[phase].1.add(job, starts, rules);
    }
    counts
}
