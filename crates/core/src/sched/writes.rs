//! Queue of jobs with changes to store, and the writes that store them.

use std::collections::VecDeque;

use crate::map::Set;
use crate::sched::graph::{JobKey, WorkerKey};
use crate::sched::job::Job;
use crate::sched::progress::{JobRecord, Progress};
use crate::sched::scheduler::{EndedJob, Now, Scheduler};

/// A write of a job to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum JobWrite {
    /// Progress of a job that has not ended.
    Progress(Progress),
    /// Record of a job that has ended.
    Ended(JobRecord),
}

/// Queue of jobs with changes that are not stored. Only one write of a job is in flight at a time, as the conditions of
/// two would exclude each other.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    /// Jobs that can be written, oldest change first.
    waiting: VecDeque<JobKey>,
    /// Jobs in `waiting`, and jobs that changed while a write of them is in flight.
    changed: Set<JobKey>,
    /// Jobs with a write in flight.
    writing: Set<JobKey>,
}

impl WriteQueue {
    /// Records a change of a job.
    pub(super) fn mark(&mut self, key: &JobKey) {
        if self.changed.insert(key.clone()) && !self.writing.contains(key) {
            self.waiting.push_back(key.clone());
        }
    }

    /// Records that the write of a job is in flight.
    fn begin(&mut self, key: &JobKey) {
        self.changed.remove(key);
        self.writing.insert(key.clone());
    }

    /// Records that the write of a job has an outcome.
    fn finish(&mut self, key: &JobKey) {
        self.writing.remove(key);
        if self.changed.contains(key) {
            self.waiting.push_back(key.clone());
        }
    }
}

impl Scheduler {
    /// Removes jobs from the queue, each with the version that its write stores. The writes together cost at most
    /// `budget`. A job is not returned again before [`Self::confirm_write`] or [`Self::retry_write`].
    pub fn take_writes(
        &mut self,
        now: Now,
        budget: usize,
        cost: impl Fn(&JobWrite) -> usize,
    ) -> Vec<(JobKey, u64, JobWrite)> {
        let mut writes = Vec::new();
        let mut left = budget;
        while let Some(key) = self.writes.waiting.pop_front() {
            let Some(job) = self.jobs.get(&key) else {
                self.writes.changed.remove(&key);
                continue;
            };
            let write = if job.state.is_final() {
                JobWrite::Ended(JobRecord::Ended {
                    queue: job.spec.queue.clone(),
                    team: job.spec.team.clone(),
                    state: job.state,
                    at: now.wall,
                })
            } else {
                JobWrite::Progress(job.progress())
            };
            let Some(rest) = left.checked_sub(cost(&write)) else {
                self.writes.waiting.push_front(key);
                break;
            };
            left = rest;
            self.writes.begin(&key);
            writes.push((key, job.version, write));
        }
        writes
    }

    /// Records that a write failed and has to be repeated.
    pub fn retry_write(&mut self, key: &JobKey) {
        self.writes.finish(key);
        if self.jobs.contains_key(key) {
            self.writes.mark(key);
        }
    }

    /// Whether changes wait to be stored.
    #[must_use]
    pub fn has_writes(&self) -> bool {
        !self.writes.waiting.is_empty()
    }

    /// Applies a confirmed write: the store holds this version of the job, so workers may discard the ends in it.
    pub fn confirm_write(&mut self, key: &JobKey, version: u64) {
        self.writes.finish(key);
        if let Some(job) = self.jobs.get_mut(key) {
            job.stored_version = job.stored_version.max(version);
        }
        let holders = self.unstored.remove(key).unwrap_or_default();
        let has_later_ends = |worker: &WorkerKey| {
            self.workers.get_mut(worker).is_some_and(|worker| !worker.drop_stored_ends(key, version))
        };
        let left: Vec<WorkerKey> = holders.into_iter().filter(has_later_ends).collect();
        if !left.is_empty() {
            self.unstored.insert(key.clone(), left);
        }
        self.retire_job(key);
    }

    /// Replaces a job that has ended, is stored and has no runs by its final state.
    pub(super) fn retire_job(&mut self, key: &JobKey) {
        let is_over = |j: &Job| {
            let has_runs =
                j.occurrences.iter().flat_map(|o| &o.steps).flat_map(|s| &s.tasks).any(|t| !t.runs.is_empty());
            j.state.is_final() && j.stored_version >= j.version && !has_runs
        };
        if self.jobs.get(key).is_some_and(is_over)
            && let Some(job) = self.jobs.remove(key)
        {
            self.advice.forget(key);
            self.ended.insert(key.clone(), EndedJob { state: job.state, at: self.last_wall });
        }
    }
}
