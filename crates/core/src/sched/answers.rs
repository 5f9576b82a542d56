//! Applies the answers of workers: their lists, and answers to orders.

use crate::map::Set;
use crate::sched::event::Event;
use crate::sched::graph::{TaskName, WorkerKey};
use crate::sched::job::Phase;
use crate::sched::order::{MAX_ENDS_PER_ANSWER, RunLists, StartAnswer};
use crate::sched::progress::JobState;
use crate::sched::scheduler::{Now, Scheduler};
use crate::units::MonoTime;

impl Scheduler {
    /// Applies the lists of a worker. `sent` is the time at which the poll was sent.
    pub fn apply_lists(&mut self, now: Now, key: &WorkerKey, sent: MonoTime, lists: RunLists) {
        self.last_mono = now.mono;
        self.last_wall = now.wall;
        let lease = self.lease_length();
        let Some(worker) = self.workers.get_mut(key) else { return };
        let has_restarted = worker.update_clock(now.mono, lists.clock, lists.incarnation);
        if has_restarted {
            self.events.push(Event::WorkerRestarted { worker: key.clone() });
            // A start without an answer may still be executed by the new incarnation, which has the same id. One that was
            // answered after the poll was sent may be on it already.
            self.drop_runs(now.mono, key, |(_, run)| run.confirmed_at < sent);
            self.advice.forget_worker(key);
        }
        let has_all_ends = lists.ended.len() < MAX_ENDS_PER_ANSWER;
        for end in lists.ended {
            self.apply_end(now.mono, key, end);
        }
        let mut listed = Set::default();
        self.drop_orphaned_runs(key);
        let mut has_orphans = false;
        for row in lists.running {
            listed.insert((row.task.clone(), row.run));
            has_orphans |= !self.apply_run_row(now.mono, key, row);
        }
        // A full list may leave out ends, so a run that is missing from the worker's lists may have ended with one of
        // them.
        if has_all_ends {
            self.drop_runs(now.mono, key, |(name, run)| {
                (run.confirmed_at < sent || run.is_past_starts(lists.clock))
                    && !listed.contains(&(name.clone(), run.number))
            });
        }
        let mut is_first_answer = false;
        if let Some(worker) = self.workers.get_mut(key) {
            is_first_answer = !worker.refuses_earlier_terms;
            worker.is_gone = false;
            worker.may_return = false;
            if !worker.refuses_earlier_terms || has_restarted {
                // Until this answer of its incarnation, the previous scheduler may have extended the worker's lease.
                worker.assume_lease(now.mono, lease);
            }
            worker.last_answer = Some(now.mono);
            worker.last_heard = now.mono;
            worker.refuses_connections = false;
            worker.refuses_earlier_terms = true;
            worker.has_orphans = has_orphans;
        }
        // The ends that a full list leaves out may be of tasks that would start again.
        if has_all_ends && self.shows_earlier_runs(sent) {
            self.unreconciled.remove(key);
        }
        self.check_reconciled(now.mono);
        if is_first_answer {
            let answered = self.workers.get(key).filter(|w| w.is_listed()).map(|w| w.report.clone());
            self.drop_replaced(now.mono, answered.as_slice());
        }
    }

    /// Drops all runs of a worker whose id nobody has any more: it was replaced, or its VM is gone. Another worker
    /// answers at its address, or the lists of workers or VMs show it. `requested` is the time at which this was asked;
    /// it has no effect if the worker has answered since.
    pub fn drop_ended_worker(&mut self, now: MonoTime, key: &WorkerKey, requested: MonoTime) {
        if self.workers.get(key).is_some_and(|w| w.is_outdated(requested)) {
            return;
        }
        self.drop_runs(now, key, |_| true);
        self.end_worker(now, key);
    }

    /// Drops the runs of a worker that is down. It may start again under its id, and then execute a start that has no
    /// answer yet, so such a run is kept until the lease has lapsed.
    pub(super) fn drop_crashed_worker(&mut self, now: MonoTime, key: &WorkerKey) {
        self.drop_runs(now, key, |(_, run)| run.is_confirmed());
        self.end_worker(now, key);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.may_return = true;
        }
    }

    fn end_worker(&mut self, now: MonoTime, key: &WorkerKey) {
        self.events.push(Event::WorkerRestarted { worker: key.clone() });
        self.drop_orphaned_runs(key);
        self.advice.forget_worker(key);
        self.unreconciled.remove(key);
        self.check_reconciled(now);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.last_answer = None;
            worker.is_gone = true;
        }
    }

    /// Applies the answer to a start. Returns whether a scheduler with a newer term exists.
    pub fn apply_start_answer(
        &mut self,
        now: MonoTime,
        worker: &WorkerKey,
        name: &TaskName,
        run: u32,
        answer: StartAnswer,
    ) -> bool {
        match answer {
            StartAnswer::NoRoom | StartAnswer::Late | StartAnswer::Unhealthy => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.record_refusal(now);
                }
            }
            // Without a ticket, the step does not start there again until the service has answered.
            StartAnswer::BadTicket => self.drop_rejected_ticket(worker, name, run),
            _ => {}
        }
        let is_queued_job = self.jobs.get(&name.job).is_some_and(|j| j.state == JobState::Queued);
        let Some(found) = self.run_mut(name, run) else {
            return answer == StartAnswer::Fenced;
        };
        found.in_flight = false;
        found.last_answer = Some(answer);
        let ordered = found.last_ordered;
        let is_first_order = found.last_ordered == found.first_ordered;
        match answer {
            StartAnswer::Started => {
                if found.phase == Phase::Starting {
                    found.phase = Phase::Running;
                    found.last_progress = now;
                }
                found.confirmed_at = found.confirmed_at.min(now);
                if is_queued_job && let Some(job) = self.jobs.get_mut(&name.job) {
                    job.state = JobState::Running;
                }
            }
            StartAnswer::OldRun => {
                if found.phase == Phase::Starting {
                    found.phase = Phase::Uncertain;
                }
                found.confirmed_at = found.confirmed_at.min(now);
            }
            StartAnswer::Unknown => {}
            // The worker did nothing, so the run is removed unless an earlier start without an answer may still be
            // executed.
            StartAnswer::NoRoom
            | StartAnswer::Late
            | StartAnswer::BadTicket
            | StartAnswer::Unhealthy
            | StartAnswer::Malformed
            | StartAnswer::NotSent => match found.phase {
                Phase::Starting if is_first_order => {
                    self.remove_run(name, run);
                }
                Phase::Starting if answer.is_lasting_refusal() => {
                    self.order_stop(now, name, run, "a repeated start was refused");
                }
                _ => {}
            },
            StartAnswer::OtherInstance => self.drop_ended_worker(now, worker, ordered),
            StartAnswer::Fenced => return true,
        }
        if matches!(answer, StartAnswer::Started | StartAnswer::OldRun)
            && let Some(worker) = self.workers.get_mut(worker)
        {
            worker.last_heard = now;
        }
        false
    }

    /// Applies the answer to a stop: `true` if the worker has accepted it.
    pub fn apply_stop_answer(&mut self, now: MonoTime, name: &TaskName, run: u32, is_accepted: bool) {
        if let Some(found) = self.run_mut(name, run) {
            found.in_flight = false;
            if is_accepted {
                found.confirmed_at = found.confirmed_at.min(now);
                let worker = found.worker.clone();
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.last_heard = now;
                }
            }
        }
    }
}
