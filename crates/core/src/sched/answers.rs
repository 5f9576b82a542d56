//! What workers answer: their lists, and answers to orders.

use crate::map::Set;
use crate::sched::event::Event;
use crate::sched::graph::{TaskName, WorkerKey};
use crate::sched::job::Phase;
use crate::sched::order::{MAX_ENDS_PER_ANSWER, RunLists, StartAnswer};
use crate::sched::progress::JobState;
use crate::sched::scheduler::{Now, Scheduler};
use crate::units::MonoTime;

impl Scheduler {
    /// Takes the lists of a worker. `sent` is the time at which the look was sent.
    pub fn take_lists(&mut self, now: Now, key: &WorkerKey, sent: MonoTime, lists: RunLists) {
        self.clock = now.mono;
        self.wall = now.wall;
        let lease = self.lease_length();
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.read_clock(now.mono, lists.clock, lists.born) {
            self.events.push(Event::WorkerReborn { worker: key.clone() });
            // A start without an answer may be carried out by the new life, which has the same id.
            self.drop_runs(now.mono, key, |(_, run)| run.is_confirmed());
        }
        let is_whole = lists.ended.len() < MAX_ENDS_PER_ANSWER;
        for end in lists.ended {
            self.apply_end(now.mono, key, end);
        }
        let mut listed = Set::default();
        let mut has_strays = false;
        for row in lists.running {
            listed.insert((row.task.clone(), row.run));
            has_strays |= !self.apply_row(now.mono, key, row);
        }
        if is_whole {
            self.drop_runs(now.mono, key, |(name, run)| {
                run.known_at < sent && !listed.contains(&(name.clone(), run.number))
            });
        }
        if let Some(worker) = self.workers.get_mut(key) {
            if std::mem::take(&mut worker.is_gone) {
                worker.is_listed = true;
            }
            if !worker.is_fenced {
                // What it runs may hold a lease that the last scheduler gave until this answer.
                worker.assume_lease(now.mono, lease);
            }
            worker.answered = Some(now.mono);
            worker.is_fenced = true;
            worker.has_strays = has_strays;
        }
        self.unsettled.remove(key);
        self.check_settled(now.mono);
    }

    /// Notes that another life of the worker, or another worker, answers at its address.
    pub fn note_other_instance(&mut self, now: MonoTime, key: &WorkerKey) {
        self.events.push(Event::WorkerReborn { worker: key.clone() });
        self.drop_runs(now, key, |_| true);
        self.unsettled.remove(key);
        self.check_settled(now);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.answered = None;
            worker.is_listed = false;
        }
    }

    /// Takes the answer to a start. Returns whether a newer scheduler is at work.
    pub fn take_start_answer(
        &mut self,
        now: MonoTime,
        worker: &WorkerKey,
        name: &TaskName,
        run: u32,
        answer: StartAnswer,
    ) -> bool {
        if let Some(worker) = self.workers.get_mut(worker) {
            match answer {
                StartAnswer::NoRoom | StartAnswer::Late | StartAnswer::Unhealthy | StartAnswer::BadTicket => {
                    worker.note_refusal(now);
                }
                _ => {}
            }
        }
        let is_queued_job = self.jobs.get(&name.job).is_some_and(|j| j.state == JobState::Queued);
        let Some(found) = self.find_run(name, run) else {
            return answer == StartAnswer::Fenced;
        };
        found.in_flight = false;
        match answer {
            StartAnswer::Started => {
                if found.phase == Phase::Starting {
                    found.phase = Phase::Running;
                    found.advanced = now;
                }
                found.known_at = found.known_at.min(now);
                if is_queued_job && let Some(job) = self.jobs.get_mut(&name.job) {
                    job.state = JobState::Running;
                }
            }
            StartAnswer::OldRun => {
                if found.phase == Phase::Starting {
                    found.phase = Phase::Unclear;
                }
                found.known_at = found.known_at.min(now);
            }
            StartAnswer::Unknown => {}
            // These answers say that the worker did nothing; only an earlier order without an answer may still act.
            StartAnswer::NoRoom
            | StartAnswer::Late
            | StartAnswer::BadTicket
            | StartAnswer::Unhealthy
            | StartAnswer::Malformed => {
                if found.phase == Phase::Starting && found.ordered == found.since {
                    self.remove_run(name, run);
                }
            }
            StartAnswer::OtherInstance => self.note_other_instance(now, worker),
            StartAnswer::Fenced => return true,
        }
        false
    }

    /// Takes the answer to a stop: `true` if the worker has taken it.
    pub fn take_stop_answer(&mut self, now: MonoTime, name: &TaskName, run: u32, is_taken: bool) {
        if let Some(found) = self.find_run(name, run) {
            found.in_flight = false;
            if is_taken {
                found.known_at = found.known_at.min(now);
            }
        }
    }
}
