//! The waiting jobs of an entry and what it needs to start them.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task;
use carawaybarrow_core::Map;
use carawaybarrow_core::burn::BurnTable;
use carawaybarrow_core::config::{Config, Target};
use carawaybarrow_core::deadline::Deadline;
use carawaybarrow_core::estimate::RunTimes;
use carawaybarrow_core::health::{Eligibility, HealthEvent, PoolHealth, RunResult};
use carawaybarrow_core::ids::{
    ClassId, DataCentreId, EntryId, Incarnation, JobId, LeaseId, PoolId, TaskId, TeamId, VmId,
};
use carawaybarrow_core::job::{JobSpec, Refusal};
use carawaybarrow_core::permits::{Permit, Permits};
use carawaybarrow_core::queue::{PushOutcome, ReadyQueue, Slots, Urgency, WaitingJob};
use carawaybarrow_core::quota::TeamLimit;
use carawaybarrow_core::retry::RetryBudgets;
use carawaybarrow_core::routing::{ChosenEndpoint, Endpoints};
use carawaybarrow_core::shares::Shares;
use carawaybarrow_core::units::{Millis, MonoTime, WallTime};
use futures::channel::oneshot;

use crate::durable::Durable;
use crate::entry::Entry;
use crate::urgent::{Answer, Urgent};

/// Time that a patient task runs at least before urgent work may take its slot.
const RUN_BEFORE_PREEMPTION: Millis = Millis(2_000);

/// Interval between two preemptions of a pool by this entry.
const PREEMPTION_INTERVAL: Millis = Millis(250);

/// Name of a slot lease. Workers choose lease ids on their own, so two of them may choose the same one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotKey {
    /// VM of the worker.
    pub vm: VmId,
    /// Lease id at that worker.
    pub lease: LeaseId,
}

impl SlotKey {
    /// Names a lease of a worker.
    #[must_use]
    pub fn new(vm: &VmId, lease: &LeaseId) -> Self {
        Self { vm: vm.clone(), lease: lease.clone() }
    }
}

/// A slot lease that this entry holds.
#[derive(Clone, Debug)]
pub struct HeldLease {
    /// Address of the worker.
    pub address: SocketAddr,
    /// When it was granted.
    pub granted_at: MonoTime,
    /// When the last successful renewal, or the request for the lease, was sent.
    pub renewed_at: MonoTime,
    /// Lifetime after a renewal.
    pub ttl: Millis,
}

/// A job that may start now, with all that it needs but a slot lease.
#[derive(Debug)]
pub struct Start {
    /// The job.
    pub waiting: WaitingJob,
    /// Its pool.
    pub pool: PoolId,
    /// Endpoint.
    pub choice: ChosenEndpoint,
    /// Permit of its team; absent on queues open to all.
    pub permit: Option<Permit>,
}

/// State of the dispatch of an entry.
#[derive(Debug)]
pub struct Dispatch {
    /// Endpoints.
    pub endpoints: Endpoints,
    /// Waiting jobs by pool.
    pub queues: Map<PoolId, ReadyQueue>,
    /// Learned run times.
    pub runs: RunTimes,
    /// Retry budgets.
    pub retries: RetryBudgets,
    /// Service-level burn.
    pub burn: BurnTable,
    /// Permits.
    pub permits: Permits,
    /// Health of the workers by pool.
    pub health: Map<PoolId, PoolHealth>,
    /// Urgent jobs that wait or run.
    pub urgent: Map<JobId, Urgent>,
    /// Durable jobs that wait or are being started here.
    pub durable: Map<JobId, Durable>,
    /// Durable tasks that this entry watches.
    pub watched: Map<TaskId, RunningTask>,
    /// Slot leases that this entry holds.
    pub leases: Map<SlotKey, HeldLease>,
    /// Whether a start lacked a permit since the last look at the permits.
    pub lacks_permits: bool,
    /// When a worker of the pool last had no free slot.
    pub full_at: Map<PoolId, MonoTime>,
    shares: Shares,
    /// Teams of the last configuration.
    teams: Vec<TeamId>,
    preempted_at: Map<PoolId, MonoTime>,
}

/// A durable task that this entry watches.
#[derive(Clone, Debug)]
pub struct RunningTask {
    /// Pool of its worker.
    pub pool: PoolId,
    /// Address of its worker.
    pub address: SocketAddr,
    /// When it was started or adopted.
    pub started_at: MonoTime,
    /// Whether urgent work may take its slot.
    pub preemptible: bool,
    /// Whether this entry asked to stop it in favour of urgent work.
    pub preempted: bool,
}

impl Dispatch {
    /// Creates the state of an entry without work.
    #[must_use]
    pub fn new(entry: EntryId, incarnation: Incarnation, data_centre: DataCentreId) -> Self {
        Self {
            endpoints: Endpoints::new(data_centre),
            queues: Map::default(),
            runs: RunTimes::new(),
            retries: RetryBudgets::new(),
            burn: BurnTable::new(),
            permits: Permits::new(entry, incarnation),
            health: Map::default(),
            urgent: Map::default(),
            durable: Map::default(),
            watched: Map::default(),
            leases: Map::default(),
            lacks_permits: false,
            full_at: Map::default(),
            shares: Shares::new([]),
            teams: Vec::new(),
            preempted_at: Map::default(),
        }
    }

    /// Takes shares and limits of a new configuration. A team that was removed has the limit 0.
    pub fn take_config(&mut self, config: &Config) {
        let removed = self.teams.iter().filter(|team| !config.teams.contains_key(*team));
        for team in removed {
            self.permits.set_limit(team, TeamLimit { limit: 0, config_revision: config.revision });
        }
        self.teams = config.teams.keys().cloned().collect();
        self.shares = Shares::new(config.teams.iter().map(|(id, team)| (id.clone(), team.value.share)));
        for queue in self.queues.values_mut() {
            queue.set_shares(self.shares.clone());
        }
        for (id, team) in &config.teams {
            let limit = TeamLimit { limit: team.value.limit, config_revision: team.modified };
            self.permits.set_limit(id, limit);
        }
        self.retries.retain(|class| config.classes.contains_key(class));
        self.runs.retain(|queue| config.queues.contains_key(queue), |class| config.classes.contains_key(class));
    }

    /// Slots of a pool as this entry knows them.
    #[must_use]
    pub fn slots(&self, pool: &PoolId, now: MonoTime) -> Slots {
        let (total, free) = self.endpoints.count_slots(pool, now);
        Slots { total, free }
    }

    /// The queue of a pool.
    pub fn queue(&mut self, pool: &PoolId) -> &mut ReadyQueue {
        let shares = &self.shares;
        self.queues.entry(pool.clone()).or_insert_with(|| ReadyQueue::new(shares.clone()))
    }

    /// Learned run time of a job.
    #[must_use]
    pub fn estimate_run(&self, spec: &JobSpec) -> Millis {
        self.runs.estimate(&spec.queue, spec.team.as_ref(), &spec.class, spec.expected_run).median
    }

    /// Puts a job into its queue.
    pub fn push(&mut self, spec: &JobSpec, target: Target, wall: WallTime, now: MonoTime) -> PushOutcome {
        let durable = self.durable.contains_key(&spec.id);
        let waiting = WaitingJob {
            job: spec.id.clone(),
            team: spec.team.clone(),
            queue: spec.queue.clone(),
            urgency: find_kind(target),
            durable,
            deadline: spec.deadline.map(|at| Deadline::of_job(target, at, wall, now)),
            run: self.estimate_run(spec),
            since: now - wall.since(spec.accepted_at),
        };
        let slots = self.slots(&spec.pool, now);
        self.queue(&spec.pool).push(waiting, slots, now)
    }

    /// Takes the next job of a pool that can start.
    pub fn next_start(&mut self, pool: &PoolId, now: MonoTime) -> Option<Start> {
        // Most looks find nothing to start, and counting the slots visits each endpoint of the pool.
        if self.queues.get(pool).is_none_or(ReadyQueue::is_empty) {
            return None;
        }
        let slots = self.slots(pool, now);
        let permits = &self.permits;
        let queue = self.queues.get_mut(pool)?;
        let may_start = |team: Option<&TeamId>| team.is_none_or(|team| permits.may_start(team));
        let Some(waiting) = queue.start_next(slots, now, may_start) else {
            self.note_missing_permits(pool, now);
            return None;
        };
        let permit = match &waiting.team {
            Some(team) => match self.permits.try_acquire(team, now) {
                Some(permit) => Some(permit),
                None => {
                    self.queue(pool).put_back(waiting);
                    return None;
                }
            },
            None => None,
        };
        let tried = self.urgent.get(&waiting.job).map_or(&[][..], |job| &job.tried);
        let Some(choice) = self.endpoints.choose(pool, tried, now, &mut rand::rng()) else {
            self.queue(pool).put_back(waiting);
            self.finish_permit(permit, now);
            return None;
        };
        self.start_trial(pool, &choice.vm, &waiting.job, now);
        Some(Start { waiting, pool: pool.clone(), choice, permit })
    }

    /// Records demand of the teams that have work but no permit, so that permits are asked for.
    fn note_missing_permits(&mut self, pool: &PoolId, now: MonoTime) {
        let Some(queue) = self.queues.get(pool) else { return };
        if queue.is_empty() {
            return;
        }
        for (team, _, _) in queue.list_teams() {
            if let Some(team) = team
                && !self.permits.may_start(&team)
            {
                let none = self.permits.try_acquire(&team, now);
                debug_assert!(none.is_none(), "a team without permits got one");
                self.lacks_permits = true;
            }
        }
    }

    /// Gives a permit back after its task has certainly ended.
    pub fn finish_permit(&mut self, permit: Option<Permit>, now: MonoTime) {
        if let Some(permit) = permit {
            self.permits.release(permit, now);
        }
    }

    /// Undoes a start that reached no worker.
    pub fn put_back(&mut self, start: Start, now: MonoTime) {
        self.queue(&start.pool).put_back(start.waiting);
        self.finish_permit(start.permit, now);
    }

    fn start_trial(&mut self, pool: &PoolId, vm: &VmId, job: &JobId, now: MonoTime) {
        let Some(health) = self.health.get_mut(pool) else { return };
        if health.check_eligibility(vm, now) == Eligibility::TrialOnly && health.start_trial(vm, job, now) {
            self.endpoints.set_quarantined(vm, true);
        }
    }

    /// Opens quarantined workers for a trial job once their probation begins.
    pub fn open_trials(&mut self, now: MonoTime) {
        for health in self.health.values() {
            for vm in health.list_quarantined() {
                if health.check_eligibility(vm, now) == Eligibility::TrialOnly {
                    self.endpoints.set_quarantined(vm, false);
                }
            }
        }
    }

    /// Records how a job ended on a worker.
    pub fn record_result(&mut self, pool: &PoolId, vm: &VmId, job: &JobId, result: RunResult, now: MonoTime) {
        let health = self.health.entry(pool.clone()).or_default();
        let Some(event) = health.record_result(vm, job, result, now) else { return };
        let quarantined = event != HealthEvent::Released;
        self.endpoints.set_quarantined(vm, quarantined);
        log::warn!(vm:% = vm, pool:% = pool, event:? = event; "worker health");
    }

    /// Records whether a job met its target.
    pub fn record_target(&mut self, class: &ClassId, team: Option<&TeamId>, pool: &PoolId, met: bool, wall: WallTime) {
        self.burn.record(class, team, pool, met, wall);
    }

    /// Chooses a patient task of the pool whose slot urgent work may take, and notes that it is stopped.
    ///
    /// The last patient task of this entry in the pool is left alone, so that patient work always makes progress.
    pub fn take_preemptible(&mut self, pool: &PoolId, now: MonoTime) -> Option<(TaskId, SocketAddr)> {
        if self.preempted_at.get(pool).is_some_and(|at| now.since(*at) < PREEMPTION_INTERVAL) {
            return None;
        }
        let mut candidates: Vec<_> =
            self.watched.iter_mut().filter(|(_, t)| t.pool == *pool && t.preemptible && !t.preempted).collect();
        // The latest start has the least work to repeat.
        candidates.sort_by_key(|(_, t)| std::cmp::Reverse(t.started_at));
        let has_run = |t: &RunningTask| now.since(t.started_at) >= RUN_BEFORE_PREEMPTION;
        if candidates.len() < 2 {
            return None;
        }
        let (task, running) = candidates.into_iter().find(|(_, t)| has_run(t))?;
        running.preempted = true;
        let victim = (task.clone(), running.address);
        self.preempted_at.insert(pool.clone(), now);
        Some(victim)
    }

    /// Removes an urgent job and returns who waits for it.
    pub fn take_callers(&mut self, job: &JobId) -> Vec<oneshot::Sender<Answer>> {
        self.urgent.remove(job).map_or_else(Vec::new, |urgent| urgent.callers)
    }
}

/// Kind of work of a class.
#[must_use]
pub const fn find_kind(target: Target) -> Urgency {
    match target {
        Target::Within { .. } => Urgency::Urgent,
        Target::By { .. } | Target::Eventually => Urgency::Patient,
    }
}

/// Tells each caller of a job the same answer.
pub fn answer_callers(callers: Vec<oneshot::Sender<Answer>>, answer: &Answer) {
    for tx in callers {
        // A caller that is gone needs no answer.
        drop(tx.send(answer.clone()));
    }
}

impl Entry {
    /// Takes shares and limits of a new configuration.
    pub fn refresh_dispatch(self: &Entry) {
        let held = self.holder.config();
        self.dispatch().take_config(&held.config);
    }

    /// Target of a class; a class that was removed since its jobs were accepted counts as patient.
    #[must_use]
    pub fn find_target(&self, class: &ClassId) -> Target {
        self.holder.config().config.classes.get(class).map_or(Target::Eventually, |c| c.value.target)
    }

    /// Starts all jobs of a pool that can start now.
    pub fn dispatch_pool(self: &Arc<Self>, pool: &PoolId) {
        loop {
            let start = self.dispatch().next_start(pool, self.clock.now());
            let Some(start) = start else { return };
            task::spawn(Arc::clone(self).run_start(start));
        }
    }

    /// Starts all jobs that can start now.
    pub fn dispatch_all(self: &Arc<Self>) {
        let pools: Vec<_> = self.dispatch().queues.keys().cloned().collect();
        for pool in pools {
            self.dispatch_pool(&pool);
        }
    }

    async fn run_start(self: Arc<Self>, start: Start) {
        let pool = start.pool.clone();
        if start.waiting.durable {
            self.attempt_durable(start).await;
        } else {
            self.attempt_urgent(start).await;
        }
        self.dispatch_pool(&pool);
    }

    /// Answers the callers of jobs that wait in vain.
    pub fn refuse_waiting(&self, jobs: Vec<WaitingJob>, refusal: &Refusal) {
        for waiting in jobs {
            self.give_up_urgent(&waiting.job, refusal);
        }
    }
}
