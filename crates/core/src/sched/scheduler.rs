//! State of a scheduler during its term: its jobs, and what it asks workers.

use std::sync::Arc;

use smol_str::SmolStr;

use crate::map::{Map, Set};
use crate::sched::advice::{Advised, StepName};
use crate::sched::event::Event;
use crate::sched::graph::{JobKey, JobSpec, PoolName, QueueName, Resources, TaskName, TeamName, WorkerKey};
use crate::sched::job::{Job, Run, Task};
use crate::sched::order::{FencingToken, Order};
use crate::sched::policy::{Bounds, Policy, QueuePolicy};
use crate::sched::progress::{JobState, Progress};
use crate::sched::share::Allowance;
use crate::sched::worker::{MAX_WAIT, Worker};
use crate::sched::writes::WriteQueue;
use crate::units::{Millis, MonoTime, WallTime};

/// Length of the leases that workers are given. It outlasts the loss of a scheduler, its store lease of 2 s and the
/// first look of the next one, so that tasks survive a change of scheduler.
pub const TASK_LEASE: Millis = Millis(4_500);

/// Time after which an order without an answer is sent again.
pub const ORDER_RETRY: Millis = Millis(150);

/// Run numbers that one term may use for a task; a later term starts above them.
pub const RUNS_PER_TERM: u32 = 1_000;

/// Time of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Steady clock, which goes on while the process is suspended.
    pub mono: MonoTime,
    /// Time of day.
    pub wall: WallTime,
}

/// Content of a look at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Look {
    /// New end of the lease on the worker's clock; `None` leaves it.
    pub lease_until: Option<u64>,
    /// Ends up to this number may be forgotten.
    pub durable_end: u64,
    /// Time to wait for an end.
    pub wait: Millis,
}

/// A job that has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedJob {
    pub(super) state: JobState,
    pub(super) at: WallTime,
}

/// State of a scheduler.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) token: FencingToken,
    pub(super) first_run: u32,
    pub(super) bounds: Bounds,
    pub(super) policy: Arc<Policy>,
    pub(super) jobs: Map<JobKey, Job>,
    pub(super) workers: Map<WorkerKey, Worker>,
    pub(super) teams: Map<TeamName, Resources>,
    allowances: Map<TeamName, Allowance>,
    pub(super) orders: Vec<Order>,
    pub(super) events: Vec<Event>,
    pub(super) ended: Map<JobKey, EndedJob>,
    pub(super) writes: WriteQueue,
    pub(super) unsettled: Set<WorkerKey>,
    pub(super) settle_by: MonoTime,
    pub(super) deposed_by: MonoTime,
    pub(super) is_settled: bool,
    pub(super) roster_size: usize,
    pub(super) clock: MonoTime,
    pub(super) wall: WallTime,
    pub(super) advice: Map<StepName, Advised>,
}

impl Scheduler {
    /// Starts a term. `term` counts the terms from 0.
    #[must_use]
    pub fn new(token: FencingToken, term: u32, bounds: Bounds, policy: Arc<Policy>) -> Self {
        Self {
            token,
            first_run: term.saturating_mul(RUNS_PER_TERM).saturating_add(1),
            bounds,
            policy,
            jobs: Map::default(),
            workers: Map::default(),
            teams: Map::default(),
            allowances: Map::default(),
            orders: Vec::new(),
            events: Vec::new(),
            ended: Map::default(),
            writes: WriteQueue::default(),
            unsettled: Set::default(),
            settle_by: MonoTime(0),
            deposed_by: MonoTime(0),
            is_settled: false,
            roster_size: 0,
            clock: MonoTime(0),
            wall: WallTime(0),
            advice: Map::default(),
        }
    }

    /// Token of all orders of this term.
    #[must_use]
    pub const fn token(&self) -> FencingToken {
        self.token
    }

    /// Bounds of the platform.
    #[must_use]
    pub const fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Takes a newer configuration.
    pub fn set_policy(&mut self, policy: Arc<Policy>) {
        if policy.version > self.policy.version {
            for job in self.jobs.values_mut() {
                job.objective = objective(&policy, &job.spec);
            }
            self.policy = policy;
        }
    }

    /// Adds a job that the store holds. A job is inherited if it was accepted before the term. Jobs of one team should
    /// come in the order of their acceptance, which decides which of them lie within its share.
    pub fn add_job(&mut self, now: Now, key: JobKey, spec: JobSpec, progress: Progress, is_inherited: bool) {
        if self.jobs.contains_key(&key) || self.ended.contains_key(&key) {
            return;
        }
        let mut job = Job::new(key.clone(), spec, progress);
        job.is_inherited = is_inherited;
        job.is_over_share = !self.take_share(&job);
        job.objective = objective(&self.policy, &job.spec);
        job.add_due(now.mono, now.wall);
        self.jobs.insert(key.clone(), job);
        self.finish_if_complete(&key);
    }

    /// Whether a job lies within the share of its team.
    fn take_share(&mut self, job: &Job) -> bool {
        let Some(name) = job.spec.team.as_ref().filter(|_| !job.is_lasting()) else { return true };
        let Some(team) = self.policy.teams.get(name).filter(|t| t.jobs_per_1000_secs > 0) else { return true };
        let accepted = job.spec.accepted;
        self.allowances.entry(name.clone()).or_insert_with(|| Allowance::new(team, accepted)).take(team, accepted)
    }

    /// Adds a job that has ended.
    pub fn add_ended(&mut self, key: JobKey, state: JobState, at: WallTime) {
        self.ended.insert(key, EndedJob { state, at });
    }

    /// Ended jobs whose state was kept for long enough.
    #[must_use]
    pub fn find_expired(&self, wall: WallTime, retention: Millis, most: usize) -> Vec<JobKey> {
        let expired = self.ended.iter().filter(|(_, job)| wall.since(job.at) > retention);
        expired.map(|(key, _)| key.clone()).take(most).collect()
    }

    /// Forgets a job whose record was deleted.
    pub fn forget_job(&mut self, key: &JobKey) {
        self.ended.remove(key);
    }

    /// Notes the mark of a cancelled job.
    pub fn cancel_job(&mut self, key: &JobKey) {
        let Some(job) = self.jobs.get_mut(key) else { return };
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
        self.stop_unwanted(key);
    }

    pub(super) fn finish_if_complete(&mut self, key: &JobKey) {
        if self.jobs.get(key).is_some_and(|j| !j.state.is_final() && !j.is_lasting() && j.is_complete()) {
            self.end_job(key, JobState::Completed);
        }
    }

    /// State to show for a job; `None` if it is unknown here. A final state is shown once it is stored.
    #[must_use]
    pub fn state_of(&self, key: &JobKey) -> Option<JobState> {
        if let Some(job) = self.ended.get(key) {
            return Some(job.state);
        }
        let job = self.jobs.get(key)?;
        Some(match job.state {
            JobState::Cancelled => JobState::Cancelled,
            state if state.is_final() && job.stored < job.version => JobState::Running,
            state => state,
        })
    }

    /// Whether a job that has not ended is beyond the share of its team.
    #[must_use]
    pub fn is_over_share(&self, key: &JobKey) -> Option<bool> {
        self.jobs.get(key).map(|j| j.is_over_share)
    }

    /// Number of jobs of a queue for which no task has started.
    #[must_use]
    pub fn pending(&self, queue: &QueueName) -> usize {
        self.jobs.values().filter(|j| j.spec.queue == *queue && j.state == JobState::Queued).count()
    }

    /// All workers.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// A worker.
    #[must_use]
    pub fn worker(&self, key: &WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// A worker that is kept free, or given back.
    pub fn withhold(&mut self, key: &WorkerKey, is_withheld: bool) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.is_withheld = is_withheld;
        }
    }

    /// What to ask a worker next; `None` if the worker is no longer of interest.
    pub fn start_look(&mut self, now: MonoTime, key: &WorkerKey) -> Option<Look> {
        let lease = self.lease_length();
        let worker = self.workers.get_mut(key)?;
        worker.look_sent = now;
        let is_answering = worker.answered.is_some_and(|at| now.since(at).0 < crate::sched::worker::SILENCE_LIMIT.0);
        // A silent worker's leases must end, so that its tasks can be started elsewhere.
        let lease_until = if is_answering { worker.extend_lease(now, lease) } else { None };
        let must_hurry = worker.has_undurable() || !is_answering || lease_until.is_none();
        let wait = if must_hurry { Millis(0) } else { MAX_WAIT };
        Some(Look { lease_until, durable_end: worker.durable_end(), wait })
    }

    /// Notes that a look got no answer. The worker may have started again under its id, and its ends are numbered anew.
    pub fn note_lost_look(&mut self, key: &WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.doubt_life();
        }
    }

    /// Length of leases.
    #[must_use]
    pub fn lease_length(&self) -> Millis {
        Millis(self.bounds.max_lease.0.min(TASK_LEASE.0))
    }

    /// Orders that have to be given.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// What changed since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Pool that runs a job's tasks now.
    #[must_use]
    pub fn pool_of<'a>(&'a self, spec: &'a JobSpec) -> &'a PoolName {
        self.policy.queues.get(&spec.queue).map_or(&spec.pool, |q| &q.pool)
    }

    pub(super) fn queue_policy(&self, queue: &QueueName) -> QueuePolicy {
        self.policy.queues.get(queue).cloned().unwrap_or_default()
    }

    /// A run that is or may be on a worker.
    pub(super) fn run(&self, name: &TaskName, number: u32) -> Option<&Run> {
        self.jobs.get(&name.job)?.task(name)?.runs.iter().find(|r| r.number == number)
    }

    pub(super) fn find_run(&mut self, name: &TaskName, number: u32) -> Option<&mut Run> {
        self.jobs.get_mut(&name.job)?.task_mut(name)?.runs.iter_mut().find(|r| r.number == number)
    }

    /// Adds a run and takes its room.
    pub(super) fn add_run(&mut self, name: &TaskName, run: Run) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let size = job.reserved(name.step);
        let team = job.spec.team.clone();
        let Some(task) = job.task_mut(name) else { return };
        task.last_run = task.last_run.max(run.number);
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.used += size;
            worker.runs.insert(name.clone(), run.number);
        }
        task.runs.push(run);
        if let Some(team) = team {
            *self.teams.entry(team).or_default() += size;
        }
    }

    /// Removes a run and gives its room back.
    pub(super) fn remove_run(&mut self, name: &TaskName, number: u32) -> Option<Run> {
        let job = self.jobs.get_mut(&name.job)?;
        let size = job.reserved(name.step);
        let team = job.spec.team.clone();
        let task: &mut Task = job.task_mut(name)?;
        let at = task.runs.iter().position(|r| r.number == number)?;
        let run = task.runs.remove(at);
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.used -= size;
            if worker.runs.get(name) == Some(&number) {
                worker.runs.remove(name);
            }
        }
        if let Some(team) = team
            && let Some(used) = self.teams.get_mut(&team)
        {
            *used -= size;
        }
        Some(run)
    }

    /// Payload of a start.
    pub(super) fn payload_of(&self, name: &TaskName) -> SmolStr {
        self.jobs.get(&name.job).map(|j| j.spec.payload.clone()).unwrap_or_default()
    }
}

fn objective(policy: &Policy, spec: &JobSpec) -> Millis {
    let default = QueuePolicy::default();
    let queue = policy.queues.get(&spec.queue).unwrap_or(&default);
    // Chains last seconds to hours, far below the 2^53 ms that an f64 represents exactly.
    Millis((spec.longest_chain().0 as f64 * queue.stretch) as u64) + queue.allowance
}
