//! Quarantine of workers that fail more than their pool.
//!
//! The state is local to an entry and is lost with it. Times are passed in.

use std::collections::VecDeque;

use crate::ids::{JobId, VmId};
use crate::map::{Map, Set};
use crate::units::{Millis, MonoTime, Percent};

/// Span over which results are compared.
pub const WINDOW: Millis = Millis::from_secs(300);

/// Results kept a worker, which bounds the memory of a busy pool.
pub const MAX_RESULTS: usize = 64;

/// Distinct failed jobs below which a worker isn't judged.
pub const MIN_FAILED_JOBS: usize = 4;

/// Results of other workers below which there is no comparison.
pub const MIN_OTHER_RESULTS: usize = 4;

/// Part of a pool's workers that may be quarantined, in percent; at least one worker always may.
pub const MAX_QUARANTINED_PERCENT: u8 = 20;

/// Time in quarantine before a trial job.
pub const PROBATION_AFTER: Millis = Millis::from_secs(60);

/// Time after which a trial without a result is forgotten and another may start.
pub const TRIAL_LIMIT: Millis = Millis::from_secs(600);

/// Result of a job that a worker started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobResult {
    /// It ended well.
    Done,
    /// It failed.
    Failed,
}

/// Whether a worker may be given a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It takes jobs.
    Open,
    /// It may take one trial job, which [`PoolHealth::start_trial`] announces.
    Trial,
    /// It takes none.
    Closed,
}

/// A change that is worth a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthEvent {
    /// The worker was quarantined.
    Quarantined,
    /// Its trial job failed, and it stays in quarantine.
    TrialFailed,
    /// Its trial job ended well, and it takes jobs again.
    Released,
}

#[derive(Clone, Debug)]
struct Sample {
    job: JobId,
    result: JobResult,
    at: MonoTime,
}

#[derive(Clone, Debug)]
struct Trial {
    job: JobId,
    at: MonoTime,
}

#[derive(Clone, Debug)]
struct Quarantine {
    since: MonoTime,
    trial: Option<Trial>,
}

#[derive(Clone, Debug, Default)]
struct Worker {
    samples: VecDeque<Sample>,
    quarantine: Option<Quarantine>,
}

/// Jobs of one or more workers, by result.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    failed: usize,
    done: usize,
}

impl Tally {
    const fn total(self) -> usize {
        self.failed + self.done
    }

    /// Whether this fails most jobs, and at least twice as large a part of them as the others.
    const fn is_outlier(self, others: Self) -> bool {
        let twice = self.failed * others.total() >= 2 * others.failed * self.total();
        self.fails_most() && others.total() >= MIN_OTHER_RESULTS && twice
    }

    const fn fails_most(self) -> bool {
        self.failed >= MIN_FAILED_JOBS && self.failed * 2 > self.total()
    }
}

/// Health of the workers of one pool as seen by one entry.
#[derive(Clone, Debug, Default)]
pub struct PoolHealth {
    workers: Map<VmId, Worker>,
}

impl PoolHealth {
    /// Creates the state of a pool without workers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the pool's workers; forgets those that left.
    pub fn set_members<'a>(&mut self, members: impl IntoIterator<Item = &'a VmId>) {
        let members: Set<&VmId> = members.into_iter().collect();
        self.workers.retain(|id, _| members.contains(id));
        for id in members {
            self.workers.entry(id.clone()).or_default();
        }
    }

    /// Whether a worker may be given a job. A worker that isn't a member may not.
    #[must_use]
    pub fn check(&self, vm: &VmId, now: MonoTime) -> Verdict {
        let Some(worker) = self.workers.get(vm) else { return Verdict::Closed };
        match &worker.quarantine {
            None => Verdict::Open,
            Some(Quarantine { trial: Some(trial), .. }) if now.since(trial.at) < TRIAL_LIMIT => Verdict::Closed,
            Some(quarantine) if now.since(quarantine.since) >= PROBATION_AFTER => Verdict::Trial,
            Some(_) => Verdict::Closed,
        }
    }

    /// Announces the trial job of a worker. Returns whether the worker may take it.
    pub fn start_trial(&mut self, vm: &VmId, job: &JobId, now: MonoTime) -> bool {
        if self.check(vm, now) != Verdict::Trial {
            return false;
        }
        let quarantine = self.workers.get_mut(vm).and_then(|w| w.quarantine.as_mut());
        quarantine.map(|q| q.trial = Some(Trial { job: job.clone(), at: now })).is_some()
    }

    /// Takes the result of a job that a worker started.
    pub fn record(&mut self, vm: &VmId, job: &JobId, result: JobResult, now: MonoTime) -> Option<HealthEvent> {
        let worker = self.workers.get_mut(vm)?;
        if let Some(quarantine) = &mut worker.quarantine {
            // Jobs that started before the quarantine say nothing new.
            quarantine.trial.take_if(|trial| trial.job == *job)?;
            if result == JobResult::Done {
                *worker = Worker::default();
                return Some(HealthEvent::Released);
            }
            quarantine.since = now;
            return Some(HealthEvent::TrialFailed);
        }
        if worker.samples.len() == MAX_RESULTS {
            worker.samples.pop_front();
        }
        worker.samples.push_back(Sample { job: job.clone(), result, at: now });
        if result == JobResult::Done || !self.has_room() || !self.is_outlier(vm, now) {
            return None;
        }
        self.workers.get_mut(vm)?.quarantine = Some(Quarantine { since: now, trial: None });
        Some(HealthEvent::Quarantined)
    }

    /// VMs of the workers in quarantine.
    pub fn list_quarantined(&self) -> impl Iterator<Item = &VmId> {
        self.workers.iter().filter(|(_, w)| w.quarantine.is_some()).map(|(id, _)| id)
    }

    /// Number of workers in quarantine.
    #[must_use]
    pub fn quarantined(&self) -> usize {
        self.workers.values().filter(|w| w.quarantine.is_some()).count()
    }

    fn has_room(&self) -> bool {
        let percent = Percent::new(MAX_QUARANTINED_PERCENT).unwrap_or_default();
        let size = u32::try_from(self.workers.len()).unwrap_or(u32::MAX);
        self.quarantined() < percent.of(size).max(1) as usize
    }

    fn is_outlier(&self, vm: &VmId, now: MonoTime) -> bool {
        // Leaving out the faults of jobs only lowers the failed part, so most workers need no look at the others.
        let worker = self.workers.get(vm);
        if !worker.is_some_and(|w| tally_jobs(w, &Set::default(), now).fails_most()) {
            return false;
        }
        let blamed = self.find_job_faults(now);
        let mut own = Tally::default();
        let mut others = Tally::default();
        for (id, worker) in self.workers.iter().filter(|(id, w)| *id == vm || w.quarantine.is_none()) {
            let tally = tally_jobs(worker, &blamed, now);
            let sum = if id == vm { &mut own } else { &mut others };
            sum.failed += tally.failed;
            sum.done += tally.done;
        }
        own.is_outlier(others)
    }

    /// Jobs that failed on two or more workers and ended well on none; the fault is the job's.
    fn find_job_faults(&self, now: MonoTime) -> Set<&JobId> {
        let mut failed_on: Map<&JobId, Set<&VmId>> = Map::default();
        let mut done = Set::default();
        for (id, worker) in &self.workers {
            for sample in recent(worker, now) {
                match sample.result {
                    JobResult::Failed => drop(failed_on.entry(&sample.job).or_default().insert(id)),
                    JobResult::Done => drop(done.insert(&sample.job)),
                }
            }
        }
        failed_on.retain(|job, workers| workers.len() >= 2 && !done.contains(job));
        failed_on.into_keys().collect()
    }
}

fn recent(worker: &Worker, now: MonoTime) -> impl Iterator<Item = &Sample> {
    worker.samples.iter().filter(move |s| now.since(s.at) < WINDOW)
}

/// Counts the distinct jobs of a worker; a job that was repeated there counts once, by its last result.
fn tally_jobs(worker: &Worker, blamed: &Set<&JobId>, now: MonoTime) -> Tally {
    let last: Map<&JobId, JobResult> =
        recent(worker, now).filter(|s| !blamed.contains(&s.job)).map(|s| (&s.job, s.result)).collect();
    let failed = last.values().filter(|r| **r == JobResult::Failed).count();
    Tally { failed, done: last.len() - failed }
}
