//! Known workers, and the recovery set: the workers that may hold runs, stored for the next scheduler.
//!
//! A run starts only on a worker that the stored set names. A new scheduler reconciles its state with the workers of
//! the stored set: it waits for their lists, or until the leases of earlier terms have lapsed.
//!
//! The pools in which tasks of a queue may run are stored too, as the configuration can send a queue to another pool while
//! its tasks run.

use crate::map::{Map, Set};
use crate::sched::event::Event;
use crate::sched::graph::{PoolName, QueueName, Resources, VmKey, WorkerKey};
use crate::sched::job::Job;
use crate::sched::maintenance::{VM_CALL_LIMIT, Vm, VmState};
use crate::sched::order::WorkerReport;
use crate::sched::policy::QueuePolicy;
use crate::sched::scheduler::{Scheduler, WORKER_LEASE};
use crate::sched::worker::Worker;
use crate::units::{Millis, MonoTime, WallTime};

/// Time from the beginning of a term after which earlier schedulers start no tasks and extend no leases. What confirms a
/// term excludes that a later one had begun, so their terms were last confirmed before it.
pub const PREVIOUS_TERM_OVERRUN: Millis = Millis(2_000);

/// Time after a worker became known in which a list of VMs may not show it yet, as the list lags.
pub const VM_LIST_LAG: Millis = Millis(2_000);

/// Error of a worker's start time, as the wall clock of an entry may jump by seconds. The platform allows 5 s for such
/// jumps where it checks the times of jobs.
const WALL_CLOCK_ERROR: Millis = Millis(5_000);

/// Time for which a worker that arrives belongs to the recovery set before it has answered, so that the set is stored by
/// the time it does.
const ARRIVAL_GRACE: Millis = Millis(1_500);

/// Pools of each queue in which its tasks may have runs.
pub type QueuePools = Map<QueueName, Vec<PoolName>>;

impl Scheduler {
    /// Applies the list of workers that have a report in the store.
    pub fn set_workers(&mut self, now: MonoTime, listed: Vec<WorkerReport>) {
        let mut seen = Set::default();
        let is_first_list = !std::mem::replace(&mut self.has_worker_list, true);
        for report in listed {
            seen.insert(report.key.clone());
            match self.workers.get_mut(&report.key) {
                Some(worker) => worker.report = report,
                None => {
                    let mut worker = Worker::new(report, true, now);
                    worker.is_arrival = !is_first_list;
                    self.workers.insert(worker.report.key.clone(), worker);
                }
            }
        }
        for (key, worker) in &mut self.workers {
            worker.is_reported = seen.contains(key);
            worker.is_evacuated = self.evacuated.contains(&worker.report.data_centre);
        }
        let has_answered = |w: &&Worker| w.is_listed() && w.refuses_earlier_terms;
        let answered: Vec<WorkerReport> =
            self.workers.values().filter(has_answered).map(|w| w.report.clone()).collect();
        self.drop_replaced(now, &answered);
    }

    /// Drops unlisted workers whose VM or address one of the workers `new` has now, as they no longer run. Those must have
    /// answered, as a report may be wrong.
    pub(super) fn drop_replaced(&mut self, now: MonoTime, new: &[WorkerReport]) {
        let is_replaced = |old: &WorkerReport| new.iter().any(|new| new.replaces(old));
        let unlisted = self.workers.values().filter(|w| !w.is_listed() && !w.is_gone && is_replaced(&w.report));
        let replaced: Vec<WorkerKey> = unlisted.map(|w| w.report.key.clone()).collect();
        for key in replaced {
            self.drop_ended_worker(now, &key, now);
        }
    }

    /// Drops the runs of workers that have ended according to the list of VMs. A worker has ended if its VM is down. A
    /// silent worker has also ended if its VM moves, is in another pool, is under maintenance, runs another worker or is
    /// not listed.
    ///
    /// `requested` is the time at which the list was requested. The list says nothing about workers that have answered
    /// since. As it lags, it may also show a VM as it was before its worker started.
    pub fn apply_vm_list(&mut self, requested: MonoTime, now: MonoTime, vms: &[Vm]) {
        self.vm_list_requested = self.vm_list_requested.max(requested);
        let by_key: Map<&VmKey, &Vm> = vms.iter().map(|vm| (&vm.key, vm)).collect();
        let is_gone = |worker: &&Worker| {
            let Some(key) = &worker.report.vm else { return false };
            let is_known_long = worker.known_since + VM_LIST_LAG < requested;
            let is_old = is_known_long || (worker.refuses_connections && self.has_run_long(worker, requested, now));
            let is_silent = !worker.is_listed() || !worker.is_reachable(now);
            let has_ended = match by_key.get(key) {
                Some(vm) => {
                    let has_other = vm.worker.as_ref().is_some_and(|w| *w != worker.report.key);
                    let has_moved = vm.pool != worker.report.pool;
                    let is_away = matches!(vm.state, VmState::Moving | VmState::Maintenance);
                    // A worker whose VM is down may start again under its id, unlike the others. Its report may then be
                    // that of its earlier incarnation.
                    match vm.state {
                        VmState::Down => is_known_long,
                        _ => is_old && is_silent && (has_other || has_moved || is_away),
                    }
                }
                None => is_old && is_silent && !vms.is_empty(),
            };
            has_ended && !worker.is_outdated(requested)
        };
        let gone: Vec<WorkerKey> =
            self.workers.values().filter(|w| !w.is_gone).filter(is_gone).map(|w| w.report.key.clone()).collect();
        for key in gone {
            let vm = self.workers.get(&key).and_then(|w| w.report.vm.as_ref());
            if vm.and_then(|vm| by_key.get(vm)).is_some_and(|vm| vm.state == VmState::Down) {
                self.drop_crashed_worker(now, &key);
            } else {
                self.drop_ended_worker(now, &key, requested);
            }
        }
    }

    /// Whether a worker had started so long before a list of VMs was requested that the list can't show the time before,
    /// by the start time in its report. The last reading of the wall clock serves as the present time.
    fn has_run_long(&self, worker: &Worker, requested: MonoTime, now: MonoTime) -> bool {
        let Some(started) = worker.report.incarnation else { return false };
        let age = self.last_wall.since(WallTime(started));
        age > VM_LIST_LAG + WALL_CLOCK_ERROR + now.since(requested)
    }

    /// Adds the workers on which earlier terms may have started runs, and waits for their lists.
    pub fn apply_recovery_set(&mut self, now: MonoTime, recovery_set: Vec<WorkerReport>) {
        self.recovery_set_size = recovery_set.len();
        self.earlier_workers = recovery_set.iter().map(|r| r.key.clone()).collect();
        for report in recovery_set {
            let (key, incarnation) = (report.key.clone(), report.incarnation);
            let worker = self.workers.entry(key.clone()).or_insert_with(|| Worker::new(report, false, now));
            worker.is_in_recovery_set = true;
            worker.named_incarnation = incarnation;
            self.unreconciled.insert(key);
        }
        self.previous_stops_by = now + PREVIOUS_TERM_OVERRUN;
        self.reconcile_by = self.previous_stops_by + self.longest_earlier_lease();
        self.earlier_vm_orders_listed_by = self.previous_stops_by + VM_CALL_LIMIT + VM_LIST_LAG;
        self.is_reconciled = false;
        self.check_reconciled(now);
    }

    pub(super) fn check_reconciled(&mut self, now: MonoTime) {
        // A later scheduler may have extended the leases of silent workers since this term was last confirmed.
        let have_leases_lapsed = self.confirmed_at.min(now) >= self.reconcile_by;
        let mut silent = 0;
        if have_leases_lapsed {
            // A worker that has answered has more ends than a list holds, and this term extends its lease.
            let confirmed_at = self.confirmed_at;
            let may_list_more = |w: &Worker| w.is_reachable(now) || !w.has_lapsed(confirmed_at);
            let before = self.unreconciled.len();
            self.unreconciled.retain(|key| self.workers.get(key).is_some_and(may_list_more));
            silent = before - self.unreconciled.len();
        }
        let has_stopped = self.previous_stopped_at.is_some() || have_leases_lapsed;
        let has_no_earlier_runs = has_stopped || self.earlier_workers.is_empty();
        if !self.is_reconciled && self.unreconciled.is_empty() && has_no_earlier_runs {
            self.is_reconciled = true;
            self.events.push(Event::Reconciled { silent });
        }
    }

    /// Whether all runs of earlier terms are known, because the workers that may hold them have answered since earlier
    /// schedulers stopped, or their leases have lapsed.
    #[must_use]
    pub const fn is_reconciled(&self) -> bool {
        self.is_reconciled
    }

    /// The longest lease that an earlier term may grant, with a margin of 1 s, on a worker's clock that runs 2 % slow.
    fn longest_earlier_lease(&self) -> Millis {
        Millis(self.bounds.max_lease.0.min(WORKER_LEASE.0 + 1_000) * 102 / 100)
    }

    /// Records that earlier schedulers have stopped, and a revision that the store reached after that. Jobs that are
    /// accepted later can only have been started in this term.
    pub fn record_previous_stopped(&mut self, now: MonoTime, revision: u64) {
        self.record_no_earlier_starts(now);
        self.previous_stopped.get_or_insert(revision);
    }

    /// Records that earlier schedulers have stopped, although no revision of the store since then is known.
    ///
    /// A worker that answered before may have restarted since. It had then seen no fencing token, and may have executed a
    /// start of an earlier scheduler. So each one has to answer again.
    pub fn record_no_earlier_starts(&mut self, now: MonoTime) {
        if self.previous_stopped_at.is_some() {
            return;
        }
        self.previous_stopped_at = Some(now);
        let listed_by = now + VM_CALL_LIMIT + VM_LIST_LAG;
        self.earlier_vm_orders_listed_by = self.earlier_vm_orders_listed_by.min(listed_by);
        // An earlier scheduler may have extended the lease of a worker that had restarted, just before it stopped.
        let lease = self.lease_length();
        self.workers.values_mut().for_each(|worker| worker.assume_lease(now, lease));
        self.reconcile_by = self.reconcile_by.min(now + self.longest_earlier_lease());
        if self.is_reconciled {
            return;
        }
        for key in std::mem::take(&mut self.earlier_workers) {
            if self.workers.get(&key).is_some_and(|w| !w.is_gone || w.may_return) {
                self.unreconciled.insert(key);
            }
        }
        self.check_reconciled(now);
    }

    /// Whether workers may discard ends that are stored. While an earlier scheduler may act, it may start a task again on a
    /// worker that restarts. That is a second run only if the end of the first one was taken note of.
    #[must_use]
    pub const fn may_discard_ends(&self) -> bool {
        self.previous_stopped_at.is_some() || self.is_reconciled
    }

    /// Whether the answer to a poll that was sent at a time shows all runs that earlier schedulers have started there.
    pub(super) fn shows_earlier_runs(&self, sent: MonoTime) -> bool {
        self.previous_stopped_at.is_none_or(|at| sent >= at)
    }

    /// Whether earlier schedulers are known to have stopped.
    #[must_use]
    pub const fn has_previous_stopped(&self) -> bool {
        self.previous_stopped.is_some()
    }

    /// Whether every run of the job that earlier terms may have started is known. Until earlier schedulers have stopped,
    /// they may start any job that was accepted before on a worker that restarts.
    pub(super) fn is_job_reconciled(&self, job: &Job) -> bool {
        // The previous scheduler may have been notified of any job that was accepted before it stopped.
        let is_new = self.previous_stopped.is_some_and(|revision| job.created > revision);
        if is_new || self.is_reconciled || self.is_of_this_term(&job.spec) {
            return true;
        }
        if self.previous_stopped_at.is_none() {
            return false;
        }
        let present = self.pool_of(&job.spec);
        // The stored pools miss the other two only if earlier terms did not store any.
        let may_have_runs = |pool: &PoolName| {
            *pool == job.spec.pool || pool == present || self.is_queue_pool_stored(&job.spec.queue, pool)
        };
        let is_unknown = |key| self.workers.get(key).is_some_and(|w| may_have_runs(&w.report.pool));
        !self.unreconciled.iter().any(is_unknown)
    }

    /// Most that runs of earlier terms may use that are not known: the free resources of workers that have not answered or
    /// list runs of unknown jobs.
    pub(super) fn unknown_usage(&self) -> Resources {
        let mut usage = Resources::default();
        let may_have_more = |w: &&Worker| w.has_orphans || self.unreconciled.contains(&w.report.key);
        self.workers.values().filter(may_have_more).for_each(|w| usage += w.free());
        usage
    }

    /// Applies the stored pools of queues in which earlier terms may have started tasks.
    pub fn apply_queue_pools(&mut self, stored: QueuePools) {
        self.queue_pools = stored;
    }

    /// Whether the stored pools of a queue include a pool. Only then may its tasks start there, so that the next scheduler
    /// waits for the workers of that pool.
    pub(super) fn is_queue_pool_stored(&self, queue: &QueueName, pool: &PoolName) -> bool {
        self.queue_pools.get(queue).is_some_and(|pools| pools.contains(pool))
    }

    /// Whether the pools of queues must be stored again, because they lack one in which tasks have to start.
    #[must_use]
    pub fn lacks_queue_pools(&self) -> bool {
        let is_missing = |(queue, rules): (&QueueName, &QueuePolicy)| !self.is_queue_pool_stored(queue, &rules.pool);
        self.waits_for_queue_pool || self.policy.queues.iter().any(is_missing)
    }

    /// Pools of queues to store. No tasks start from now on in the pools that are left out, as the stored ones may no longer
    /// include them.
    pub fn prepare_queue_pools(&mut self) -> QueuePools {
        let mut needed = QueuePools::default();
        let mut add = |queue: &QueueName, pool: &PoolName| {
            let pools = needed.entry(queue.clone()).or_default();
            if !pools.contains(pool) {
                pools.push(pool.clone());
            }
        };
        self.policy.queues.iter().for_each(|(queue, rules)| add(queue, &rules.pool));
        self.jobs.values().for_each(|job| add(&job.spec.queue, self.pool_of(&job.spec)));
        let with_jobs: Set<&QueueName> = self.jobs.values().map(|job| &job.spec.queue).collect();
        let has_unknown_jobs = !self.is_reconciled || !self.orphans.is_empty();
        for (queue, pools) in &self.queue_pools {
            // Jobs that have not ended may have runs in each pool that their queue had.
            if has_unknown_jobs || with_jobs.contains(queue) {
                pools.iter().for_each(|pool| add(queue, pool));
            }
        }
        self.queue_pools.retain(|queue, pools| {
            pools.retain(|pool| needed.get(queue).is_some_and(|kept| kept.contains(pool)));
            !pools.is_empty()
        });
        needed
    }

    /// Records that the store holds these pools of queues.
    pub fn record_queue_pools(&mut self, stored: &QueuePools) {
        self.queue_pools.clone_from(stored);
        self.waits_for_queue_pool = false;
    }

    /// Whether the stored recovery set must be written again: it lacks a worker that can get tasks, or its present
    /// incarnation, or names some needlessly.
    #[must_use]
    pub fn is_recovery_set_outdated(&self) -> bool {
        let is_missing = self.workers.values().any(|w| self.may_get_tasks_soon(w) && !w.is_named());
        let needed = self.workers.values().filter(|w| self.belongs_to_recovery_set(w)).count();
        is_missing || (self.is_reconciled && self.recovery_set_size > needed)
    }

    /// Whether a worker is available, or has arrived so lately that it may become so at once.
    fn may_get_tasks_soon(&self, worker: &Worker) -> bool {
        let is_new = worker.is_arrival && self.last_mono.since(worker.known_since) < ARRIVAL_GRACE;
        worker.is_available() || (worker.is_schedulable() && is_new)
    }

    /// Whether the next scheduler has to know of a worker. Workers that are cordoned or shutting down, or that do not answer,
    /// are left out if they have neither runs nor ends that are not stored, because it would wait for them.
    fn belongs_to_recovery_set(&self, worker: &Worker) -> bool {
        self.may_get_tasks_soon(worker)
            || !worker.runs.is_empty()
            || worker.has_orphans
            || worker.has_unstored_ends()
            || self.unreconciled.contains(&worker.report.key)
    }

    /// Recovery set to store. The other workers get no runs from now on, as the stored set may no longer name them.
    pub fn prepare_recovery_set(&mut self) -> Vec<WorkerReport> {
        let members = self.workers.values().filter(|w| self.belongs_to_recovery_set(w));
        let recovery_set: Vec<WorkerReport> = members.map(Worker::present_report).collect();
        let named: Set<&WorkerKey> = recovery_set.iter().map(|r| &r.key).collect();
        for (key, worker) in &mut self.workers {
            worker.is_in_recovery_set &= named.contains(key);
        }
        recovery_set
    }

    /// Records that the stored recovery set names these workers.
    pub fn record_recovery_set(&mut self, recovery_set: &[WorkerReport]) {
        self.recovery_set_size = recovery_set.len();
        let named: Map<&WorkerKey, Option<u64>> = recovery_set.iter().map(|r| (&r.key, r.incarnation)).collect();
        for (key, worker) in &mut self.workers {
            // A worker that was left out gets no runs until the stored set names it again.
            let incarnation = named.get(key);
            worker.is_in_recovery_set = incarnation.is_some();
            worker.named_incarnation = incarnation.copied().flatten();
        }
    }
}
