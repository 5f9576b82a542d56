//! Dispatch state of an entry: its waiting jobs, and the endpoints, permits and leases that are needed to start them.

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

use crate::durable::DurableJob;
use crate::entry::Entry;
use crate::urgent::{Answer, UrgentJob};

/// Minimum run time of a patient task before urgent work may preempt it.
const MIN_RUN_BEFORE_PREEMPTION: Millis = Millis(2_000);

/// Minimum interval between two preemptions in a pool by this entry.
const PREEMPTION_INTERVAL: Millis = Millis(250);

/// Key of a slot lease. Each worker assigns its own lease ids, so two workers may assign the same one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotKey {
    /// VM of the worker.
    pub vm: VmId,
    /// Lease id assigned by that worker.
    pub lease: LeaseId,
}

impl SlotKey {
    /// Creates the key of a lease of the worker on `vm`.
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
    /// When the request for the lease was sent.
    pub granted_at: MonoTime,
    /// When the last successful renewal was sent; before the first one, when the request for the lease was sent.
    pub renewed_at: MonoTime,
    /// Lifetime of the lease after it is granted or renewed.
    pub ttl: Millis,
}

/// A job that was removed from its queue to start, with its endpoint and permit. It still needs a slot lease, unless
/// the endpoint was chosen with an idle one.
#[derive(Debug)]
pub struct JobStart {
    /// The job, as it was removed from the queue.
    pub waiting: WaitingJob,
    /// Pool that runs the job.
    pub pool: PoolId,
    /// Endpoint that the job is sent to.
    pub endpoint: ChosenEndpoint,
    /// Permit of the job's team; absent for queues that are open to all.
    pub permit: Option<Permit>,
}

/// Dispatch state of an entry.
#[derive(Debug)]
pub struct Dispatch {
    /// Endpoints, with their free slots and idle leases.
    pub endpoints: Endpoints,
    /// Waiting jobs by pool.
    pub queues: Map<PoolId, ReadyQueue>,
    /// Run time estimates.
    pub run_times: RunTimes,
    /// Retry budgets by class.
    pub retries: RetryBudgets,
    /// Counts of met and missed targets, for burn rates.
    pub burn: BurnTable,
    /// Permits of this entry by team.
    pub permits: Permits,
    /// Health of the workers by pool.
    pub health: Map<PoolId, PoolHealth>,
    /// Urgent jobs that are queued or running.
    pub urgent: Map<JobId, UrgentJob>,
    /// Durable jobs that are queued or being started at this entry.
    pub durable: Map<JobId, DurableJob>,
    /// Durable tasks that this entry watches.
    pub watched: Map<TaskId, WatchedTask>,
    /// Slot leases that this entry holds.
    pub leases: Map<SlotKey, HeldLease>,
    /// Whether a start lacked a permit since permits were last requested.
    pub lacks_permits: bool,
    /// When a worker of the pool last refused a lease because it was full.
    pub full_at: Map<PoolId, MonoTime>,
    shares: Shares,
    /// Teams of the last applied configuration.
    teams: Vec<TeamId>,
    preempted_at: Map<PoolId, MonoTime>,
}

/// A durable task that this entry watches: one that it claimed or adopted.
#[derive(Clone, Debug)]
pub struct WatchedTask {
    /// Pool of the worker.
    pub pool: PoolId,
    /// Address of the worker.
    pub address: SocketAddr,
    /// When the task was claimed or adopted by this entry.
    pub started_at: MonoTime,
    /// Whether urgent work may preempt the task.
    pub preemptible: bool,
    /// Whether this entry has preempted the task.
    pub preempted: bool,
}

impl Dispatch {
    /// Creates the state of an entry without jobs.
    #[must_use]
    pub fn new(entry: EntryId, incarnation: Incarnation, data_centre: DataCentreId) -> Self {
        Self {
            endpoints: Endpoints::new(data_centre),
            queues: Map::default(),
            run_times: RunTimes::new(),
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

    /// Applies the shares and limits of a new configuration. The limit of a removed team is set to 0.
    pub fn apply_config(&mut self, config: &Config) {
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
        self.run_times.retain(|queue| config.queues.contains_key(queue), |class| config.classes.contains_key(class));
    }

    /// Slots of a pool, as known to this entry.
    #[must_use]
    pub fn slots(&self, pool: &PoolId, now: MonoTime) -> Slots {
        let (total, free) = self.endpoints.count_slots(pool, now);
        Slots { total, free }
    }

    /// Ready queue of a pool, created if it doesn't exist yet.
    pub fn queue(&mut self, pool: &PoolId) -> &mut ReadyQueue {
        let shares = &self.shares;
        self.queues.entry(pool.clone()).or_insert_with(|| ReadyQueue::new(shares.clone()))
    }

    /// Median estimate of the run time of a job.
    #[must_use]
    pub fn estimate_run_time(&self, spec: &JobSpec) -> Millis {
        self.run_times.estimate(&spec.queue, spec.team.as_ref(), &spec.class, spec.expected_run).median
    }

    /// Pushes a job into the ready queue of its pool.
    pub fn push(&mut self, spec: &JobSpec, target: Target, wall: WallTime, now: MonoTime) -> PushOutcome {
        let durable = self.durable.contains_key(&spec.id);
        let waiting = WaitingJob {
            job: spec.id.clone(),
            team: spec.team.clone(),
            queue: spec.queue.clone(),
            urgency: urgency_of(target),
            durable,
            deadline: spec.deadline.map(|at| Deadline::of_job(target, at, wall, now)),
            run: self.estimate_run_time(spec),
            since: now - wall.since(spec.accepted_at),
        };
        let slots = self.slots(&spec.pool, now);
        self.queue(&spec.pool).push(waiting, slots, now)
    }

    /// Removes the next job that can start from the queue of a pool, and acquires its permit and its endpoint.
    pub fn next_start(&mut self, pool: &PoolId, now: MonoTime) -> Option<JobStart> {
        // Most calls find an empty queue, and counting the slots visits each endpoint of the pool.
        if self.queues.get(pool).is_none_or(ReadyQueue::is_empty) {
            return None;
        }
        let slots = self.slots(pool, now);
        let permits = &self.permits;
        let queue = self.queues.get_mut(pool)?;
        let may_start = |team: Option<&TeamId>| team.is_none_or(|team| permits.may_start(team));
        let Some(waiting) = queue.start_next(slots, now, may_start) else {
            self.record_permit_demand(pool, now);
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
        let Some(endpoint) = self.endpoints.choose(pool, tried, now, &mut rand::rng()) else {
            self.queue(pool).put_back(waiting);
            self.free_permit(permit, now);
            return None;
        };
        self.start_trial(pool, &endpoint.vm, &waiting.job, now);
        Some(JobStart { waiting, pool: pool.clone(), endpoint, permit })
    }

    /// Records demand of the teams that have waiting jobs but no free permit, so that more permits are requested.
    fn record_permit_demand(&mut self, pool: &PoolId, now: MonoTime) {
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

    /// Frees the permit of a task that has certainly ended or was never started.
    pub fn free_permit(&mut self, permit: Option<Permit>, now: MonoTime) {
        if let Some(permit) = permit {
            self.permits.release(permit, now);
        }
    }

    /// Returns a job that was not sent to a worker to its queue, and frees its permit.
    pub fn put_back(&mut self, start: JobStart, now: MonoTime) {
        self.queue(&start.pool).put_back(start.waiting);
        self.free_permit(start.permit, now);
    }

    /// Reserves a quarantined worker for this trial job, if it is one, and closes the worker to other jobs.
    fn start_trial(&mut self, pool: &PoolId, vm: &VmId, job: &JobId, now: MonoTime) {
        let Some(health) = self.health.get_mut(pool) else { return };
        if health.check_eligibility(vm, now) == Eligibility::TrialOnly && health.start_trial(vm, job, now) {
            self.endpoints.set_quarantined(vm, true);
        }
    }

    /// Allows one trial job at each quarantined worker whose trial delay has passed.
    pub fn allow_trials(&mut self, now: MonoTime) {
        for health in self.health.values() {
            for vm in health.list_quarantined() {
                if health.check_eligibility(vm, now) == Eligibility::TrialOnly {
                    self.endpoints.set_quarantined(vm, false);
                }
            }
        }
    }

    /// Records the result of a job at a worker, which may start or end the quarantine of the worker.
    pub fn record_result(&mut self, pool: &PoolId, vm: &VmId, job: &JobId, result: RunResult, now: MonoTime) {
        let health = self.health.entry(pool.clone()).or_default();
        let Some(event) = health.record_result(vm, job, result, now) else { return };
        let quarantined = event != HealthEvent::Released;
        self.endpoints.set_quarantined(vm, quarantined);
        log::warn!(vm:% = vm, pool:% = pool, event:? = event; "worker health");
    }

    /// Counts whether a job met its target.
    pub fn record_target(&mut self, class: &ClassId, team: Option<&TeamId>, pool: &PoolId, met: bool, wall: WallTime) {
        self.burn.record(class, team, pool, met, wall);
    }

    /// Selects a patient task of the pool to preempt and marks it as preempted.
    ///
    /// The last preemptible task of this entry in the pool is not selected, so that patient work always makes progress.
    pub fn select_preemption_victim(&mut self, pool: &PoolId, now: MonoTime) -> Option<(TaskId, SocketAddr)> {
        if self.preempted_at.get(pool).is_some_and(|at| now.since(*at) < PREEMPTION_INTERVAL) {
            return None;
        }
        let mut candidates: Vec<_> =
            self.watched.iter_mut().filter(|(_, t)| t.pool == *pool && t.preemptible && !t.preempted).collect();
        // The task that started last has the least work to repeat.
        candidates.sort_by_key(|(_, t)| std::cmp::Reverse(t.started_at));
        let has_run_long_enough = |t: &WatchedTask| now.since(t.started_at) >= MIN_RUN_BEFORE_PREEMPTION;
        if candidates.len() < 2 {
            return None;
        }
        let (task, running) = candidates.into_iter().find(|(_, t)| has_run_long_enough(t))?;
        running.preempted = true;
        let victim = (task.clone(), running.address);
        self.preempted_at.insert(pool.clone(), now);
        Some(victim)
    }

    /// Removes an urgent job and returns the channels of the callers that wait for its answer.
    pub fn remove_urgent(&mut self, job: &JobId) -> Vec<oneshot::Sender<Answer>> {
        self.urgent.remove(job).map_or_else(Vec::new, |urgent| urgent.callers)
    }
}

/// Urgency of the jobs of a class with this target.
#[must_use]
pub const fn urgency_of(target: Target) -> Urgency {
    match target {
        Target::Within { .. } => Urgency::Urgent,
        Target::By { .. } | Target::Eventually => Urgency::Patient,
    }
}

/// Sends the same answer to each caller of a job.
pub fn answer_callers(callers: Vec<oneshot::Sender<Answer>>, answer: &Answer) {
    for tx in callers {
        // The send fails if the caller has disconnected, which needs no handling.
        drop(tx.send(answer.clone()));
    }
}

impl Entry {
    /// Applies the shares and limits of the current configuration to the dispatch state.
    pub fn refresh_dispatch_config(self: &Entry) {
        let snapshot = self.config_state.config();
        self.dispatch().apply_config(&snapshot.config);
    }

    /// Target of a class. Jobs of a class that was removed after they were accepted are treated as patient.
    #[must_use]
    pub fn find_target(&self, class: &ClassId) -> Target {
        self.config_state.config().config.classes.get(class).map_or(Target::Eventually, |c| c.value.target)
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

    async fn run_start(self: Arc<Self>, start: JobStart) {
        let pool = start.pool.clone();
        if start.waiting.durable {
            self.attempt_durable(start).await;
        } else {
            self.attempt_urgent(start).await;
        }
        self.dispatch_pool(&pool);
    }

    /// Abandons waiting urgent jobs: sends their final answer to their callers, which is the refusal only if no attempt
    /// may have run. Durable jobs are left as they are, in the journal.
    pub fn abandon_waiting(&self, jobs: Vec<WaitingJob>, refusal: &Refusal) {
        for waiting in jobs {
            self.abandon_urgent(&waiting.job, refusal);
        }
    }
}
