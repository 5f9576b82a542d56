//! State of a scheduler during its term: its jobs, its workers, and the orders and polls that it sends them.

use std::sync::Arc;

use smol_str::SmolStr;

use crate::map::{Map, Set};
use crate::sched::advice::Advice;
use crate::sched::arrivals::Arrivals;
use crate::sched::event::Event;
use crate::sched::fence::UNFENCED_TIME;
use crate::sched::graph::{JobKey, JobSpec, PoolName, Resources, TaskName, TeamName, WorkerKey};
use crate::sched::job::{Job, Run, Task};
use crate::sched::order::{FencingToken, Order};
use crate::sched::orphans::Orphans;
use crate::sched::policy::{Bounds, Policy};
use crate::sched::progress::JobState;
use crate::sched::recovery::QueuePools;
use crate::sched::reservation::{PoolReservations, RunTimes};
use crate::sched::share::TokenBucket;
use crate::sched::tombstones::KeptTombstones;
use crate::sched::worker::{MAX_IDLE_WAIT, MAX_WAIT, MAX_WAIT_DURING_TAKEOVER, Worker};
use crate::sched::writes::WriteQueue;
use crate::units::{Millis, MonoTime, WallTime};

/// Maximum length of a worker's lease. It covers the loss of a scheduler, its store lease of 2 s and the first
/// poll of the next scheduler, so that tasks survive a change of scheduler.
pub const WORKER_LEASE: Millis = Millis(4_500);

/// Time since the last order after which a start is ordered again, once its call has ended without an answer.
pub const START_RETRY: Millis = Millis(150);

/// Time for which a term may start tasks and extend leases after it was last confirmed, that is, known to be the latest
/// one. A later scheduler waits for [`PREVIOUS_TERM_OVERRUN`] on the ground that this one has stopped by then. The
/// difference of 100 ms covers clocks of entries that run at different rates, and the time from a check to its order.
///
/// [`PREVIOUS_TERM_OVERRUN`]: crate::sched::recovery::PREVIOUS_TERM_OVERRUN
pub const CONFIRMATION_LIMIT: Millis = Millis(1_900);

/// Run numbers expected in one term; the next term starts above them.
pub const RUNS_PER_TERM: u32 = 1_000;

/// Readings of both clocks at the same moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Monotonic clock, which also advances while the process is suspended.
    pub mono: MonoTime,
    /// Wall clock.
    pub wall: WallTime,
}

/// A poll of a worker, which reads its lists and extends its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// New end of the lease, in ms on the worker's clock; `None` does not extend it.
    pub lease_until: Option<u64>,
    /// The worker may discard ends up to this number; 0 if there is nothing to discard.
    pub durable_end: u64,
    /// Time for which the worker may delay its answer until a run ends.
    pub wait: Millis,
}

/// A job that has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedJob {
    pub(super) state: JobState,
    pub(super) at: WallTime,
}

/// State of a scheduler during one term.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) token: FencingToken,
    /// Number of the term, from 0.
    pub(super) term: u32,
    /// Whether a job names a later term.
    pub(super) is_superseded: bool,
    /// Whether all schedulers of earlier terms start no job that names a later one.
    pub(super) do_earlier_heed_terms: bool,
    /// Lowest run number of this term.
    pub(super) first_run: u32,
    pub(super) bounds: Bounds,
    pub(super) policy: Arc<Policy>,
    pub(super) jobs: Map<JobKey, Job>,
    pub(super) workers: Map<WorkerKey, Worker>,
    /// Workers that the process polls.
    polled: Set<WorkerKey>,
    /// Resources of the runs of each team.
    pub(super) team_usage: Map<TeamName, Resources>,
    /// Most that runs of earlier terms may use that are not known, which may be of any team.
    pub(super) unknown_usage: Resources,
    pub(super) team_buckets: Map<TeamName, TokenBucket>,
    pub(super) orders: Vec<Order>,
    pub(super) events: Vec<Event>,
    /// Ended jobs that are stored, whose state callers may still ask for.
    pub(super) ended: Map<JobKey, EndedJob>,
    pub(super) writes: WriteQueue,
    /// Workers that may have runs of earlier terms that are not known: those of the recovery set until they answer, and
    /// again until they answer a poll that was sent after earlier schedulers had stopped.
    pub(super) unreconciled: Set<WorkerKey>,
    /// Workers on which earlier schedulers may have started runs.
    pub(super) earlier_workers: Vec<WorkerKey>,
    /// Time by which earlier schedulers have stopped by themselves.
    pub(super) previous_stops_by: MonoTime,
    /// Time since which earlier schedulers are known to have stopped.
    pub(super) previous_stopped_at: Option<MonoTime>,
    /// Time from which lists of VMs show all orders of earlier schedulers.
    pub(super) earlier_vm_orders_listed_by: MonoTime,
    /// Time at which the last list of VMs was requested.
    pub(super) vm_list_requested: MonoTime,
    /// Time by which the leases of earlier terms have lapsed.
    pub(super) reconcile_by: MonoTime,
    /// Time at which this term was last known to be the latest one.
    pub(super) confirmed_at: MonoTime,
    /// Time at which the store is last known to have held this term.
    pub(super) stored_at: MonoTime,
    /// A revision of the store that it reached after the previous scheduler had stopped; `None` until one is known.
    pub(super) previous_stopped: Option<u64>,
    pub(super) is_reconciled: bool,
    /// Whether the workers have been listed in this term.
    pub(super) has_worker_list: bool,
    /// Stored pools of each queue, in which its tasks may start.
    pub(super) queue_pools: QueuePools,
    /// Whether a task waits because the stored pools of its queue lack the present one.
    pub(super) waits_for_queue_pool: bool,
    /// Number of workers in the stored recovery set.
    pub(super) recovery_set_size: usize,
    /// Time of the last lists or plan.
    pub(super) last_mono: MonoTime,
    pub(super) last_wall: WallTime,
    pub(super) advice: Advice,
    pub(super) orphans: Orphans,
    pub(super) arrivals: Arrivals,
    pub(super) reservations: Map<PoolName, PoolReservations>,
    pub(super) run_times: RunTimes,
    /// Workers with ends that are not stored yet, by job.
    pub(super) unstored: Map<JobKey, Vec<WorkerKey>>,
    /// Data centres that operators evacuate.
    pub(super) evacuated: Set<SmolStr>,
    pub(super) tombstones: KeptTombstones,
}

impl Scheduler {
    /// Begins a term. `term` is its number, from 0.
    #[must_use]
    pub fn new(token: FencingToken, term: u32, bounds: Bounds, policy: Arc<Policy>) -> Self {
        Self {
            token,
            term,
            is_superseded: false,
            do_earlier_heed_terms: term == 0,
            first_run: term.saturating_mul(RUNS_PER_TERM).saturating_add(1),
            bounds,
            policy,
            jobs: Map::default(),
            workers: Map::default(),
            polled: Set::default(),
            team_usage: Map::default(),
            unknown_usage: Resources::default(),
            team_buckets: Map::default(),
            orders: Vec::new(),
            events: Vec::new(),
            ended: Map::default(),
            writes: WriteQueue::default(),
            unreconciled: Set::default(),
            earlier_workers: Vec::new(),
            // The recovery set says when.
            previous_stops_by: MonoTime(u64::MAX),
            previous_stopped_at: None,
            earlier_vm_orders_listed_by: MonoTime(0),
            vm_list_requested: MonoTime(0),
            reconcile_by: MonoTime(0),
            confirmed_at: MonoTime(0),
            stored_at: MonoTime(0),
            previous_stopped: None,
            is_reconciled: false,
            has_worker_list: false,
            queue_pools: QueuePools::default(),
            waits_for_queue_pool: false,
            recovery_set_size: 0,
            last_mono: MonoTime(0),
            last_wall: WallTime(0),
            advice: Advice::default(),
            orphans: Orphans::default(),
            arrivals: Arrivals::default(),
            reservations: Map::default(),
            run_times: RunTimes::default(),
            unstored: Map::default(),
            evacuated: Set::default(),
            tombstones: KeptTombstones::default(),
        }
    }

    /// Fencing token of this term.
    #[must_use]
    pub const fn token(&self) -> FencingToken {
        self.token
    }

    /// Limits of the platform.
    #[must_use]
    pub const fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Records that no later term had begun at a time.
    pub fn confirm(&mut self, at: MonoTime) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Records that the store held this term at a time.
    pub fn record_stored(&mut self, at: MonoTime) {
        self.stored_at = self.stored_at.max(at);
        self.confirm(at);
    }

    /// Withdraws confirmations as of times after a given one.
    pub fn withdraw_confirmations_after(&mut self, at: MonoTime) {
        self.confirmed_at = self.confirmed_at.min(at);
    }

    /// Time at which this term was last known to be the latest one.
    #[must_use]
    pub const fn confirmed_at(&self) -> MonoTime {
        self.confirmed_at
    }

    /// Whether the term was confirmed lately, so that tasks may start and leases be extended.
    #[must_use]
    pub fn is_confirmed(&self, now: MonoTime) -> bool {
        !self.is_superseded && now.since(self.confirmed_at) <= CONFIRMATION_LIMIT
    }

    /// Whether an order to start a task may still be sent to a worker for which it was planned.
    #[must_use]
    pub fn may_send_start(&self, now: MonoTime, worker: &WorkerKey) -> bool {
        let is_fit = |w: &Worker| w.is_reachable(now) && self.may_order_starts(now, w);
        self.is_confirmed(now) && self.workers.get(worker).is_some_and(is_fit)
    }

    /// Whether tasks may start on a worker as far as this term may have been fenced. A worker that has restarted since then would
    /// obey, so it gets no tasks unless the stored recovery set names its present incarnation.
    pub(super) fn may_order_starts(&self, now: MonoTime, worker: &Worker) -> bool {
        now.since(self.stored_at) <= UNFENCED_TIME || worker.is_named()
    }

    /// Whether a job shows that a later term has begun. The scheduler then starts nothing, and its term must end.
    #[must_use]
    pub const fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Records that all schedulers of earlier terms start no job that names a later term.
    pub fn record_earlier_heed_terms(&mut self) {
        self.do_earlier_heed_terms = true;
    }

    /// All known workers.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Returns a worker by id.
    #[must_use]
    pub fn worker(&self, key: &WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// Cordons a worker, so that it gets no new runs, or returns it to service.
    pub fn set_cordoned(&mut self, key: &WorkerKey, is_cordoned: bool) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.is_cordoned = is_cordoned;
        }
    }

    /// Workers that nothing polls. From now on they count as polled, until [`Self::start_poll`] returns `None`.
    pub fn take_unpolled(&mut self) -> Vec<WorkerKey> {
        let unpolled: Vec<WorkerKey> = self.workers.keys().filter(|key| !self.polled.contains(*key)).cloned().collect();
        self.polled.extend(unpolled.iter().cloned());
        unpolled
    }

    /// Next poll of a worker. Returns `None` if the worker is no longer known; its polls must end then. Should it become
    /// known again, [`Self::take_unpolled`] returns it.
    pub fn start_poll(&mut self, now: MonoTime, key: &WorkerKey) -> Option<Poll> {
        if now >= self.previous_stops_by {
            self.record_no_earlier_starts(now);
        }
        let lease = self.lease_length();
        let is_confirmed = self.is_confirmed(now);
        let may_discard_ends = self.may_discard_ends();
        let Some(worker) = self.workers.get_mut(key) else {
            self.polled.remove(key);
            return None;
        };
        worker.poll_sent = now;
        let is_answering = worker.last_answer.is_some_and(|at| now.since(at).0 < crate::sched::worker::SILENCE_LIMIT.0);
        // The lease of a silent worker must lapse, so that its tasks can start elsewhere.
        let lease_until = if is_answering && is_confirmed { worker.extend_lease(now, lease) } else { None };
        let is_awaited = self.previous_stopped_at.is_some() && self.unreconciled.contains(key);
        let must_answer_at_once = worker.has_unstored_ends() || !is_answering || lease_until.is_none() || is_awaited;
        let mut wait = match must_answer_at_once {
            true => Millis(0),
            false if worker.runs.is_empty() => MAX_IDLE_WAIT,
            false => MAX_WAIT,
        };
        if !self.is_reconciled && self.previous_stopped_at.is_none() {
            // Only the answer to a poll that is sent once earlier schedulers have stopped shows what they started.
            wait = wait.min(self.previous_stops_by.since(now)).min(MAX_WAIT_DURING_TAKEOVER);
        }
        let durable_end = if may_discard_ends { worker.begin_discard() } else { 0 };
        Some(Poll { lease_until, durable_end, wait })
    }

    /// Records that a poll got no answer, and whether the connection was refused. The worker may have restarted under
    /// the same id, which restarts the numbers of its ends.
    pub fn record_lost_poll(&mut self, key: &WorkerKey, is_refused: bool) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.record_lost_poll(is_refused);
        }
    }

    /// Length of the leases that this scheduler grants.
    #[must_use]
    pub fn lease_length(&self) -> Millis {
        Millis(self.bounds.max_lease.0.min(WORKER_LEASE.0))
    }

    /// Orders to send, which are removed here.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Pool that runs a job's tasks at present: that of its queue, or the last known one if the queue is gone.
    #[must_use]
    pub fn pool_of<'a>(&'a self, spec: &'a JobSpec) -> &'a PoolName {
        self.policy.queues.get(&spec.queue).map_or(&spec.pool, |q| &q.pool)
    }

    /// Returns a run that is or may be on a worker.
    pub(super) fn run(&self, name: &TaskName, number: u32) -> Option<&Run> {
        self.jobs.get(&name.job)?.task(name)?.runs.iter().find(|r| r.number == number)
    }

    pub(super) fn run_mut(&mut self, name: &TaskName, number: u32) -> Option<&mut Run> {
        self.jobs.get_mut(&name.job)?.task_mut(name)?.runs.iter_mut().find(|r| r.number == number)
    }

    /// Adds a run and reserves its resources.
    pub(super) fn add_run(&mut self, name: &TaskName, run: Run) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let size = job.reserved(name.step);
        let team = job.spec.team.clone();
        if job.task(name).is_none() {
            return;
        }
        if let Some(worker) = self.workers.get_mut(&run.worker)
            && let Some(step) = job.spec.steps.get(name.step as usize)
        {
            worker.reserve(step);
            worker.runs.insert(name.clone(), run.number);
        }
        let Some(task) = job.task_mut(name) else { return };
        task.last_run = task.last_run.max(run.number);
        task.runs.push(run);
        if let Some(team) = team {
            *self.team_usage.entry(team).or_default() += size;
        }
    }

    /// Removes a run and releases its resources.
    pub(super) fn remove_run(&mut self, name: &TaskName, number: u32) -> Option<Run> {
        let job = self.jobs.get_mut(&name.job)?;
        let size = job.reserved(name.step);
        let team = job.spec.team.clone();
        let task: &mut Task = job.task_mut(name)?;
        let at = task.runs.iter().position(|r| r.number == number)?;
        let run = task.runs.remove(at);
        if let Some(worker) = self.workers.get_mut(&run.worker)
            && let Some(step) = job.spec.steps.get(name.step as usize)
        {
            worker.release(step);
            if worker.runs.get(name) == Some(&number) {
                worker.runs.remove(name);
            }
        }
        if let Some(team) = team
            && let Some(used) = self.team_usage.get_mut(&team)
        {
            *used -= size;
        }
        Some(run)
    }

    /// Payload of a task's job.
    pub(super) fn payload_of(&self, name: &TaskName) -> SmolStr {
        self.jobs.get(&name.job).map(|j| j.spec.payload.clone()).unwrap_or_default()
    }
}
