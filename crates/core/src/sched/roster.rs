//! Which workers there are, and which of them may hold runs of earlier terms.

use crate::map::{Map, Set};
use crate::sched::event::Event;
use crate::sched::graph::{PoolName, VmKey, WorkerKey};
use crate::sched::job::Job;
use crate::sched::order::WorkerReport;
use crate::sched::scheduler::{Scheduler, TASK_LEASE};
use crate::sched::upkeep::{Vm, VmState};
use crate::sched::worker::Worker;
use crate::units::{Millis, MonoTime};

/// Longest time for which a scheduler that lost its term may go on extending leases: one look and its answer.
const DEPOSED_LIMIT: Millis = Millis(2_000);

/// Time by which the list of VMs may be behind.
const VM_LIST_LAG: Millis = Millis(2_000);

impl Scheduler {
    /// Takes the workers that the store lists.
    pub fn set_workers(&mut self, now: MonoTime, listed: Vec<WorkerReport>) {
        let mut seen = Set::default();
        for report in listed {
            seen.insert(report.key.clone());
            match self.workers.get_mut(&report.key) {
                Some(worker) => {
                    // The entry of a worker whose VM is down stays until its heartbeats are missed.
                    worker.is_listed = !worker.is_gone;
                    worker.report = report;
                }
                None => {
                    self.workers.insert(report.key.clone(), Worker::new(report, true, now));
                }
            }
        }
        for (key, worker) in &mut self.workers {
            worker.is_listed &= seen.contains(key);
        }
        self.drop_replaced(now);
    }

    /// Gives up workers whose VM or address another worker has now: their lives have ended.
    fn drop_replaced(&mut self, now: MonoTime) {
        let listed: Vec<&WorkerReport> = self.workers.values().filter(|w| w.is_listed).map(|w| &w.report).collect();
        let is_replaced = |old: &WorkerReport| {
            listed.iter().any(|new| {
                let same_vm = new.vm.is_some() && new.vm == old.vm;
                new.key != old.key && (same_vm || new.address == old.address)
            })
        };
        let unlisted = self.workers.values().filter(|w| !w.is_listed && is_replaced(&w.report));
        let replaced: Vec<WorkerKey> = unlisted.map(|w| w.report.key.clone()).collect();
        for key in replaced {
            self.note_other_instance(now, &key);
            self.workers.remove(&key);
        }
    }

    /// Gives up workers that the list of VMs shows to be gone: their VM is down, or runs another worker, or none.
    /// `asked` is the time at which the list was asked for.
    pub fn note_vms(&mut self, asked: MonoTime, now: MonoTime, vms: &[Vm]) {
        let by_key: Map<&VmKey, &Vm> = vms.iter().map(|vm| (&vm.key, vm)).collect();
        let is_gone = |worker: &&Worker| {
            let Some(key) = &worker.report.vm else { return false };
            // The list may not show a worker yet that has just come up.
            let is_old = worker.known_since + VM_LIST_LAG < asked;
            let is_silent = !worker.is_listed || !worker.is_reachable(now);
            let has_ended = match by_key.get(key) {
                Some(vm) => {
                    let has_other = vm.worker.as_ref().is_some_and(|w| *w != worker.report.key);
                    let is_away = matches!(vm.state, VmState::Moving | VmState::Upkeep);
                    vm.state == VmState::Down || (is_silent && (has_other || is_away))
                }
                None => is_silent && !vms.is_empty(),
            };
            is_old && has_ended
        };
        let gone: Vec<WorkerKey> = self.workers.values().filter(is_gone).map(|w| w.report.key.clone()).collect();
        for key in gone {
            if self.workers.get(&key).is_some_and(|w| !w.is_gone) {
                self.note_other_instance(now, &key);
            }
            if let Some(worker) = self.workers.get_mut(&key) {
                worker.is_gone = true;
            }
        }
    }

    /// Adds the workers on which earlier terms may have started runs, and waits for them.
    pub fn take_roster(&mut self, now: MonoTime, roster: Vec<WorkerReport>) {
        self.roster_size = roster.len();
        for report in roster {
            let key = report.key.clone();
            let worker = self.workers.entry(key.clone()).or_insert_with(|| Worker::new(report, false, now));
            worker.is_on_roster = true;
            self.unsettled.insert(key);
        }
        let slowest = self.bounds.max_lease.0.min(TASK_LEASE.0 + 1_000) * 102 / 100;
        self.deposed_by = now + DEPOSED_LIMIT;
        self.settle_by = now + DEPOSED_LIMIT + Millis(slowest);
        self.is_settled = false;
        self.check_settled(now);
    }

    pub(super) fn check_settled(&mut self, now: MonoTime) {
        if !self.is_settled && (self.unsettled.is_empty() || now >= self.settle_by) {
            self.is_settled = true;
            let silent = std::mem::take(&mut self.unsettled).len();
            self.events.push(Event::Settled { silent });
        }
    }

    /// Whether all workers that may hold runs of earlier terms have answered.
    #[must_use]
    pub const fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Whether a job's tasks can't be running by orders of an earlier term.
    pub(super) fn is_job_settled(&self, now: MonoTime, job: &Job) -> bool {
        // The last scheduler may have heard of a newer job too, until a worker has told it that its term is over.
        let is_new = !job.is_inherited && now >= self.deposed_by;
        is_new || (self.is_pool_settled(&job.spec.pool) && self.is_pool_settled(self.pool_of(&job.spec)))
    }

    /// Whether all workers of a pool that may hold runs of earlier terms have answered.
    fn is_pool_settled(&self, pool: &PoolName) -> bool {
        self.is_settled
            || !self.unsettled.iter().any(|key| self.workers.get(key).is_some_and(|w| w.report.pool == *pool))
    }

    /// Whether the store's roster differs from the workers that may hold runs.
    #[must_use]
    pub fn is_roster_outdated(&self) -> bool {
        let is_missing = self.workers.values().any(|w| w.may_get_tasks() && !w.is_on_roster);
        let needed = self.workers.values().filter(|w| self.is_roster_member(w)).count();
        is_missing || (self.is_settled && self.roster_size > needed)
    }

    /// Whether a successor has to know of a worker. It would wait for one that is kept free, moves or shuts down, and
    /// holds no runs.
    fn is_roster_member(&self, worker: &Worker) -> bool {
        worker.may_get_tasks() || !worker.runs.is_empty() || self.unsettled.contains(&worker.report.key)
    }

    /// Workers to be put on the roster. The others get nothing from now on, as the store may name them no more.
    pub fn draft_roster(&mut self) -> Vec<WorkerReport> {
        let members = self.workers.values().filter(|w| self.is_roster_member(w));
        let roster: Vec<WorkerReport> = members.map(|w| w.report.clone()).collect();
        let named: Set<&WorkerKey> = roster.iter().map(|r| &r.key).collect();
        for (key, worker) in &mut self.workers {
            worker.is_on_roster &= named.contains(key);
        }
        roster
    }

    /// Notes that the store's roster names these workers.
    pub fn note_roster(&mut self, roster: &[WorkerReport]) {
        self.roster_size = roster.len();
        let named: Set<&WorkerKey> = roster.iter().map(|r| &r.key).collect();
        for (key, worker) in &mut self.workers {
            // A worker that was left out gets nothing until the store names it again.
            worker.is_on_roster = named.contains(key);
        }
    }
}
