//! Jobs of the scheduler: which it knows, under which rules and shares, and how they end.

use std::sync::Arc;

use crate::sched::event::Event;
use crate::sched::graph::{JobKey, JobSpec, QueueName};
use crate::sched::job::Job;
use crate::sched::policy::{Policy, QueuePolicy};
use crate::sched::progress::{JobState, Progress};
use crate::sched::scheduler::{EndedJob, Now, Scheduler};
use crate::sched::share::TokenBucket;
use crate::units::{Millis, WallTime};

impl Scheduler {
    /// Applies a configuration if it is newer than the present one.
    pub fn set_policy(&mut self, policy: Arc<Policy>) {
        if policy.version > self.policy.version {
            let old = std::mem::replace(&mut self.policy, policy);
            for (key, job) in &mut self.jobs {
                if !self.policy.queues.contains_key(&job.spec.queue)
                    && let Some(last) = old.queues.get(&job.spec.queue)
                    && job.keep_last_rules(last)
                {
                    // A later scheduler knows neither the queue nor its last rules.
                    self.writes.mark(key);
                }
                job.objective = objective(self.policy.rules_of(&job.spec), &job.spec);
            }
            let keys: Vec<JobKey> = self.jobs.keys().cloned().collect();
            keys.iter().for_each(|key| self.fail_if_attempts_used_up(key));
        }
    }

    /// Ends a job as failed if a task may not run again. The limit may have been lowered since its last failure.
    pub(super) fn fail_if_attempts_used_up(&mut self, key: &JobKey) {
        let is_used_up = |job: &Job| job.has_used_up_attempts(self.policy.rules_of(&job.spec).max_attempts);
        if self.jobs.get(key).is_some_and(is_used_up) {
            self.end_job(key, JobState::Failed);
        }
    }

    /// Whether no scheduler of an earlier term starts a job, because the entry that accepted it knew of this term.
    pub(super) fn is_of_this_term(&self, spec: &JobSpec) -> bool {
        self.do_earlier_heed_terms && spec.known_term >= Some(self.term)
    }

    /// Adds an accepted job. `created` is the revision of the store at which it was accepted. Jobs of one team should be
    /// added in the order of their acceptance, which decides which of them are within its share.
    pub fn add_job(&mut self, now: Now, key: JobKey, spec: JobSpec, progress: Progress, created: u64) {
        if let Some(job) = self.jobs.get_mut(&key) {
            // Another entry may announce a job before its progress is read.
            if job.merge_progress(progress) {
                self.finish_if_complete(&key);
            }
            return;
        }
        if self.ended.contains_key(&key) {
            return;
        }
        if spec.known_term > Some(self.term) {
            self.is_superseded = true;
            return;
        }
        let mut job = Job::new(key.clone(), spec, progress);
        job.created = created;
        // The token is the revision at which the term began.
        let is_inherited = created < self.token.0;
        job.is_over_share = !self.consume_share(&job);
        job.objective = objective(self.policy.rules_of(&job.spec), &job.spec);
        job.add_due(now.mono, now.wall);
        if !is_inherited && !job.is_over_share && !job.is_lasting() && job.spec.schedule.is_none() {
            let pool = self.pool_of(&job.spec).clone();
            self.arrivals.record(now.mono, &pool, &job.spec);
        }
        let was_cancelled = self.tombstones.cancel(&key, &job.spec);
        self.jobs.insert(key.clone(), job);
        self.adopt_orphans(now.mono, &key);
        self.fail_if_attempts_used_up(&key);
        self.finish_if_complete(&key);
        if was_cancelled {
            self.cancel_job(&key);
        }
    }

    /// Counts a job towards the share of its team, which is a rate of accepted jobs. Returns whether it is within the
    /// share.
    fn consume_share(&mut self, job: &Job) -> bool {
        let Some(name) = job.spec.team.as_ref().filter(|_| !job.is_lasting()) else { return true };
        let Some(team) = self.policy.teams.get(name).filter(|t| t.jobs_per_1000_secs > 0) else { return true };
        let accepted = job.spec.accepted;
        self.team_buckets
            .entry(name.clone())
            .or_insert_with(|| TokenBucket::new(team, accepted))
            .try_take(team, accepted)
    }

    /// Adds a job that has ended, whose state is kept for callers.
    pub fn add_ended(&mut self, key: JobKey, state: JobState, at: WallTime) {
        self.reject_orphans(&key);
        self.ended.insert(key, EndedJob { state, at });
    }

    /// Ended jobs whose state was kept for longer than `retention`, at most `limit` of them.
    #[must_use]
    pub fn find_expired(&self, wall: WallTime, retention: Millis, limit: usize) -> Vec<JobKey> {
        let expired = self.ended.iter().filter(|(_, job)| wall.since(job.at) > retention);
        expired.map(|(key, _)| key.clone()).take(limit).collect()
    }

    /// Removes an ended job whose record was deleted.
    pub fn forget_job(&mut self, key: &JobKey) {
        self.ended.remove(key);
    }

    /// Cancels a job whose mark of cancellation is stored. The scheduler may be notified of the mark before the job.
    pub fn cancel_job(&mut self, key: &JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            if !self.ended.contains_key(key) {
                self.tombstones.add_marked(self.last_mono, key);
            }
            return;
        };
        if job.is_cancelled || job.state.is_final() {
            return;
        }
        job.is_cancelled = true;
        self.end_job(key, JobState::Cancelled);
    }

    pub(super) fn end_job(&mut self, key: &JobKey, state: JobState) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.state.is_final() {
            return;
        }
        job.state = state;
        job.version += 1;
        self.events.push(Event::JobEnded { job: key.clone(), state });
        self.writes.mark(key);
        self.stop_unneeded(key);
    }

    pub(super) fn finish_if_complete(&mut self, key: &JobKey) {
        if self.jobs.get(key).is_some_and(|j| !j.state.is_final() && !j.is_lasting() && j.is_complete()) {
            self.end_job(key, JobState::Completed);
        }
    }

    /// State of a job as callers see it; `None` if the job is unknown here. A completed or failed job counts as running
    /// until its final state is stored.
    #[must_use]
    pub fn state_of(&self, key: &JobKey) -> Option<JobState> {
        if let Some(job) = self.ended.get(key) {
            return Some(job.state);
        }
        let job = self.jobs.get(key)?;
        Some(match job.state {
            JobState::Cancelled => JobState::Cancelled,
            state if state.is_final() && job.stored_version < job.version => JobState::Running,
            state => state,
        })
    }

    /// Whether a job exceeds the share of its team; `None` if it is unknown or has ended and is stored.
    #[must_use]
    pub fn is_over_share(&self, key: &JobKey) -> Option<bool> {
        self.jobs.get(key).map(|j| j.is_over_share)
    }

    /// Number of jobs of a queue for which no task has started.
    #[must_use]
    pub fn pending(&self, queue: &QueueName) -> usize {
        self.jobs.values().filter(|j| j.spec.queue == *queue && j.state == JobState::Queued).count()
    }
}

fn objective(rules: &QueuePolicy, spec: &JobSpec) -> Millis {
    // Chains last seconds to hours, far below the 2^53 ms that an f64 represents exactly.
    Millis((spec.longest_chain().0 as f64 * rules.stretch) as u64) + rules.allowance
}
