//! Orphaned runs and ends: those of jobs that the scheduler does not know.
//!
//! After a takeover the previous scheduler may still start tasks of a job that its successor learns of only later. Such
//! runs and ends are kept until the store has told whether the job exists. If it does, they become runs and ends of the
//! job; only otherwise are the runs stopped and the ends discarded.

use crate::map::Map;
use crate::sched::graph::{JobKey, WorkerKey};
use crate::sched::order::{EndRow, Order, RunRow};
use crate::sched::scheduler::Scheduler;
use crate::sched::worker::NEVER_STORED;
use crate::units::{Millis, MonoTime};

/// Pause before the store is asked again for a job, once it has not answered.
const LOOKUP_RETRY: Millis = Millis(500);

/// Runs and ends of one unknown job.
#[derive(Debug, Default)]
struct Orphan {
    runs: Vec<(WorkerKey, RunRow)>,
    /// Ends, each with the time since which the worker's incarnation is known, as each numbers its ends anew.
    ends: Vec<(WorkerKey, MonoTime, EndRow)>,
}

/// Request to look up an unknown job.
#[derive(Clone, Copy, Debug)]
enum LookUp {
    InFlight,
    /// It got no answer by this time.
    Failed(MonoTime),
}

/// Runs and ends of unknown jobs.
#[derive(Debug, Default)]
pub(super) struct Orphans {
    by_job: Map<JobKey, Orphan>,
    /// Requests to look up jobs. They outlive a worker's list, as the next one replaces its orphaned runs.
    look_ups: Map<JobKey, LookUp>,
}

impl Orphans {
    /// Whether all listed runs and ends are of known jobs.
    pub(super) fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }

    /// Removes the orphaned runs of a worker, which has ended or has sent a new list. Its ends remain facts.
    pub(super) fn drop_runs_of(&mut self, worker: &WorkerKey) {
        self.by_job.retain(|_, orphan| {
            orphan.runs.retain(|(at, _)| at != worker);
            !orphan.runs.is_empty() || !orphan.ends.is_empty()
        });
    }
}

impl Scheduler {
    /// Keeps a run of an unknown job. A run of a job that is known to have ended is stopped.
    pub(super) fn keep_orphaned_run(&mut self, now: MonoTime, worker: &WorkerKey, row: RunRow) {
        if self.ended.contains_key(&row.task.job) {
            self.stop_orphaned_run(worker.clone(), row, "job ended");
            return;
        }
        let job = row.task.job.clone();
        self.orphans.by_job.entry(job.clone()).or_default().runs.push((worker.clone(), row));
        self.look_up_job(now, &job);
    }

    /// Keeps an end of an unknown job, which the worker may not discard. Ends of jobs that have ended are of no use.
    pub(super) fn keep_orphaned_end(&mut self, now: MonoTime, worker: &WorkerKey, end: EndRow) {
        let is_needed = !self.ended.contains_key(&end.task.job);
        let job = end.task.job.clone();
        let Some(known) = self.workers.get_mut(worker) else { return };
        known.record_end(end.number, is_needed.then(|| (job.clone(), NEVER_STORED)));
        if is_needed {
            let since = known.known_since;
            self.orphans.by_job.entry(job.clone()).or_default().ends.push((worker.clone(), since, end));
            self.look_up_job(now, &job);
        }
    }

    /// Drops the orphaned runs of a worker that has ended, whose leases have lapsed, or that has sent a new list.
    pub(super) fn drop_orphaned_runs(&mut self, worker: &WorkerKey) {
        let Some(known) = self.workers.get_mut(worker).filter(|w| w.has_orphans) else { return };
        known.has_orphans = false;
        self.orphans.drop_runs_of(worker);
    }

    /// Repeats requests to look up jobs that the store has not answered.
    pub(super) fn repeat_lookups(&mut self, now: MonoTime) {
        let Orphans { by_job, look_ups } = &mut self.orphans;
        look_ups.retain(|job, look_up| by_job.contains_key(job) || matches!(look_up, LookUp::InFlight));
        let jobs: Vec<JobKey> = by_job.keys().cloned().collect();
        for job in jobs {
            self.look_up_job(now, &job);
        }
    }

    fn look_up_job(&mut self, now: MonoTime, job: &JobKey) {
        let must_wait = |look_up: &LookUp| match look_up {
            LookUp::InFlight => true,
            LookUp::Failed(at) => now.since(*at) < LOOKUP_RETRY,
        };
        if !self.orphans.look_ups.get(job).is_some_and(must_wait) {
            self.orphans.look_ups.insert(job.clone(), LookUp::InFlight);
            self.orders.push(Order::LookUpJob { job: job.clone() });
        }
    }

    /// Records that the store gave no usable answer to the request to look up a job.
    pub fn record_failed_look_up(&mut self, now: MonoTime, job: &JobKey) {
        self.orphans.look_ups.insert(job.clone(), LookUp::Failed(now));
    }

    /// Applies the ends and runs that workers listed before the scheduler knew the job.
    pub(super) fn adopt_orphans(&mut self, now: MonoTime, job: &JobKey) {
        self.orphans.look_ups.remove(job);
        let Some(orphan) = self.orphans.by_job.remove(job) else { return };
        for (worker, since, end) in orphan.ends {
            let needs = self.end_run(now, &worker, &end.task, end.run, end.kind, &end.checkpoint);
            if needs.is_some() {
                self.record_holder(job, &worker);
            }
            if let Some(known) = self.workers.get_mut(&worker).filter(|w| w.known_since == since) {
                known.settle_end(job, end.number, needs);
            }
        }
        for (worker, row) in orphan.runs {
            self.apply_run_row(now, &worker, row);
        }
    }

    /// Stops the runs of a job that the store does not hold or shows as ended, and lets workers discard its ends.
    pub fn reject_orphans(&mut self, job: &JobKey) {
        self.orphans.look_ups.remove(job);
        let Some(orphan) = self.orphans.by_job.remove(job) else { return };
        for (worker, since, end) in orphan.ends {
            if let Some(known) = self.workers.get_mut(&worker).filter(|w| w.known_since == since) {
                known.settle_end(job, end.number, None);
            }
        }
        for (worker, row) in orphan.runs {
            self.stop_orphaned_run(worker, row, "no such job");
        }
    }

    fn stop_orphaned_run(&mut self, worker: WorkerKey, row: RunRow, reason: &'static str) {
        self.orders.push(Order::Stop { worker, task: row.task, run: row.run, reason });
    }
}
