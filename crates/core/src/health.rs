//! Quarantine of workers that fail far more jobs than the rest of their pool.
//!
//! The state is local to an entry process and isn't stored.

use std::collections::VecDeque;

use crate::ids::{JobId, VmId};
use crate::map::{Map, Set};
use crate::units::{Millis, MonoTime, Percent};

/// Time window over which the results of workers are compared.
pub const WINDOW: Millis = Millis::from_secs(300);

/// Results kept per worker, which bounds the memory that a busy pool uses.
pub const MAX_RESULTS: usize = 64;

/// Distinct failed jobs below which a worker isn't quarantined.
pub const MIN_FAILED_JOBS: usize = 4;

/// Distinct jobs per worker, summed over the other workers, below which a worker isn't compared with them.
pub const MIN_OTHER_RESULTS: usize = 4;

/// Part of a pool's workers that may be in quarantine, in percent; at least one worker always may.
pub const MAX_QUARANTINED_PERCENT: u8 = 20;

/// Time in quarantine, or since a failed trial, before a trial job.
pub const TRIAL_DELAY: Millis = Millis::from_secs(60);

/// Time after which a trial without a result is abandoned and another may start.
pub const TRIAL_TIMEOUT: Millis = Millis::from_secs(600);

/// Result of a job that a worker started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The job succeeded.
    Done,
    /// The job failed.
    Failed,
}

/// Whether a worker may be given a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// It may be given jobs.
    Eligible,
    /// It is in quarantine and may be given one trial job, after [`PoolHealth::start_trial`].
    TrialOnly,
    /// It may not be given a job.
    Blocked,
}

/// A change of a worker's quarantine, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthEvent {
    /// The worker was quarantined.
    Quarantined,
    /// The worker's trial job failed, and it stays in quarantine.
    TrialFailed,
    /// The worker's trial job succeeded, which ended the quarantine.
    Released,
}

#[derive(Clone, Debug)]
struct Sample {
    job: JobId,
    result: RunResult,
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

/// Number of jobs of one or more workers, by result.
#[derive(Clone, Copy, Debug, Default)]
struct ResultCounts {
    failed: usize,
    done: usize,
}

impl ResultCounts {
    const fn total(self) -> usize {
        self.failed + self.done
    }

    /// Whether most jobs failed, and at least twice as large a part as at the other workers.
    const fn is_outlier(self, others: Self) -> bool {
        let twice = self.failed * others.total() >= 2 * others.failed * self.total();
        self.fails_most() && others.total() >= MIN_OTHER_RESULTS && twice
    }

    const fn fails_most(self) -> bool {
        self.failed >= MIN_FAILED_JOBS && self.failed * 2 > self.total()
    }
}

/// Health of the workers of one pool, from the results that one entry observed.
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

    /// Sets the pool's workers and drops the state of those that left.
    pub fn set_members<'a>(&mut self, members: impl IntoIterator<Item = &'a VmId>) {
        let members: Set<&VmId> = members.into_iter().collect();
        self.workers.retain(|id, _| members.contains(id));
        for id in members {
            self.workers.entry(id.clone()).or_default();
        }
    }

    /// Whether a worker may be given a job. A worker that doesn't belong to the pool may not.
    #[must_use]
    pub fn check_eligibility(&self, vm: &VmId, now: MonoTime) -> Eligibility {
        let Some(worker) = self.workers.get(vm) else { return Eligibility::Blocked };
        match &worker.quarantine {
            None => Eligibility::Eligible,
            Some(Quarantine { trial: Some(trial), .. }) if now.since(trial.at) < TRIAL_TIMEOUT => Eligibility::Blocked,
            Some(quarantine) if now.since(quarantine.since) >= TRIAL_DELAY => Eligibility::TrialOnly,
            Some(_) => Eligibility::Blocked,
        }
    }

    /// Records the start of a trial job on a worker. Returns whether the worker may be given it.
    pub fn start_trial(&mut self, vm: &VmId, job: &JobId, now: MonoTime) -> bool {
        if self.check_eligibility(vm, now) != Eligibility::TrialOnly {
            return false;
        }
        let quarantine = self.workers.get_mut(vm).and_then(|w| w.quarantine.as_mut());
        quarantine.map(|q| q.trial = Some(Trial { job: job.clone(), at: now })).is_some()
    }

    /// Records the result of a job that a worker started. Returns the change of its quarantine, if there is one.
    pub fn record_result(&mut self, vm: &VmId, job: &JobId, result: RunResult, now: MonoTime) -> Option<HealthEvent> {
        let worker = self.workers.get_mut(vm)?;
        if let Some(quarantine) = &mut worker.quarantine {
            // Only the trial job counts; jobs that started before the quarantine give no new information.
            quarantine.trial.take_if(|trial| trial.job == *job)?;
            if result == RunResult::Done {
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
        if result == RunResult::Done || !self.may_quarantine_another() || !self.is_outlier(vm, now) {
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
    pub fn count_quarantined(&self) -> usize {
        self.workers.values().filter(|w| w.quarantine.is_some()).count()
    }

    fn may_quarantine_another(&self) -> bool {
        let percent = Percent::new(MAX_QUARANTINED_PERCENT).unwrap_or_default();
        let size = u32::try_from(self.workers.len()).unwrap_or(u32::MAX);
        self.count_quarantined() < percent.of(size).max(1) as usize
    }

    fn is_outlier(&self, vm: &VmId, now: MonoTime) -> bool {
        // Leaving out faulty jobs only lowers the failed part, so most workers don't need the comparison with the
        // others.
        let worker = self.workers.get(vm);
        if !worker.is_some_and(|w| count_results(w, &Set::default(), now).fails_most()) {
            return false;
        }
        let faulty_jobs = self.find_faulty_jobs(now);
        let mut own = ResultCounts::default();
        let mut others = ResultCounts::default();
        for (id, worker) in self.workers.iter().filter(|(id, w)| *id == vm || w.quarantine.is_none()) {
            let counts = count_results(worker, &faulty_jobs, now);
            let sum = if id == vm { &mut own } else { &mut others };
            sum.failed += counts.failed;
            sum.done += counts.done;
        }
        own.is_outlier(others)
    }

    /// Jobs that failed on two or more workers and succeeded on none, so that the job is at fault and not the worker.
    fn find_faulty_jobs(&self, now: MonoTime) -> Set<&JobId> {
        let mut failed_on: Map<&JobId, Set<&VmId>> = Map::default();
        let mut done = Set::default();
        for (id, worker) in &self.workers {
            for sample in recent(worker, now) {
                match sample.result {
                    RunResult::Failed => drop(failed_on.entry(&sample.job).or_default().insert(id)),
                    RunResult::Done => drop(done.insert(&sample.job)),
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

/// Counts the distinct jobs of a worker without the faulty ones. A job that was repeated on the worker counts once, by
/// its last result.
fn count_results(worker: &Worker, faulty_jobs: &Set<&JobId>, now: MonoTime) -> ResultCounts {
    let last: Map<&JobId, RunResult> =
        recent(worker, now).filter(|s| !faulty_jobs.contains(&s.job)).map(|s| (&s.job, s.result)).collect();
    let failed = last.values().filter(|r| **r == RunResult::Failed).count();
    ResultCounts { failed, done: last.len() - failed }
}
