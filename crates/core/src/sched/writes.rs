//! Which changes of jobs wait to be stored, and the writes that store them.

use std::collections::VecDeque;

use crate::map::Set;
use crate::sched::graph::JobKey;
use crate::sched::job::Job;
use crate::sched::progress::{JobRecord, Progress};
use crate::sched::scheduler::{EndedJob, Now, Scheduler};

/// A write to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum JobWrite {
    /// Ends of a job that goes on.
    Progress(Progress),
    /// The job has ended.
    Ended(JobRecord),
}

/// Jobs with changes that are not stored. A job is written once at a time, as the conditions of two writes would exclude
/// each other.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    /// Jobs that can be written, in the order of their changes.
    waiting: VecDeque<JobKey>,
    /// Keys of `waiting`, and of jobs that changed while they are written.
    changed: Set<JobKey>,
    /// Jobs whose write is on its way.
    writing: Set<JobKey>,
}

impl WriteQueue {
    /// Notes a change of a job.
    pub(super) fn mark(&mut self, key: &JobKey) {
        if self.changed.insert(key.clone()) && !self.writing.contains(key) {
            self.waiting.push_back(key.clone());
        }
    }

    /// Notes that a write is on its way.
    fn begin(&mut self, key: &JobKey) {
        self.changed.remove(key);
        self.writing.insert(key.clone());
    }

    /// Notes that a write has an outcome.
    fn finish(&mut self, key: &JobKey) {
        self.writing.remove(key);
        if self.changed.contains(key) {
            self.waiting.push_back(key.clone());
        }
    }
}

impl Scheduler {
    /// Jobs whose changes wait to be stored, with the version that each write holds. The writes together cost at most
    /// `budget`. A job is not given again before [`Self::note_stored`] or [`Self::retry_write`].
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

    /// Notes that a write was refused and has to be made again.
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

    /// Notes that the store holds a version of a job.
    pub fn note_stored(&mut self, key: &JobKey, version: u64) {
        self.writes.finish(key);
        if let Some(job) = self.jobs.get_mut(key) {
            job.stored = job.stored.max(version);
        }
        for worker in self.workers.values_mut() {
            worker.note_stored(key, version);
        }
        self.retire_job(key);
    }

    /// Keeps only the state of a job that has ended, is stored and runs nowhere.
    pub(super) fn retire_job(&mut self, key: &JobKey) {
        let is_over = |j: &Job| {
            let has_runs =
                j.occurrences.iter().flat_map(|o| &o.steps).flat_map(|s| &s.tasks).any(|t| !t.runs.is_empty());
            j.state.is_final() && j.stored >= j.version && !has_runs
        };
        if self.jobs.get(key).is_some_and(is_over)
            && let Some(job) = self.jobs.remove(key)
        {
            self.advice.retain(|step, _| step.job != *key);
            self.ended.insert(key.clone(), EndedJob { state: job.state, at: self.wall });
        }
    }
}
