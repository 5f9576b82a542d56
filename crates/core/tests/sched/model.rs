//! A simulation of workers and of the store, advanced in steps of constant length.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use carawaybarrow_core::sched::advice::AdviceOutcome;
use carawaybarrow_core::sched::graph::{
    JobKey, JobSpec, PoolName, QueueName, Resources, Step, TaskName, TeamName, VmKey, WorkerKey,
};
use carawaybarrow_core::sched::maintenance::{Vm, VmState};
use carawaybarrow_core::sched::order::{EndKind, FencingToken, Order, StartAnswer, WorkerReport};
use carawaybarrow_core::sched::policy::{AdviceTimes, Bounds, Policy, QueuePolicy, TeamPolicy};
use carawaybarrow_core::sched::progress::{JobRecord, JobState, Progress};
use carawaybarrow_core::sched::recovery::{PREVIOUS_TERM_OVERRUN, QueuePools};
use carawaybarrow_core::sched::scheduler::{Now, Scheduler};
use carawaybarrow_core::sched::succession::Succession;
use carawaybarrow_core::sched::takeover::LastStop;
use carawaybarrow_core::sched::worker::Worker;
use carawaybarrow_core::sched::writes::JobWrite;
use carawaybarrow_core::units::{Millis, MonoTime, WallTime};

use super::model_worker::ModelWorker;

/// Start of all clocks. It is far from zero, so that a duration used as a time makes a test fail.
pub const START_MS: u64 = 1_000_000;

/// Length of a step of the simulated time.
pub const STEP_MS: u64 = 50;

/// Contents of the store.
#[derive(Clone, Debug, Default)]
pub struct ModelStore {
    pub jobs: BTreeMap<JobKey, (JobRecord, u64)>,
    pub cancelled: Vec<JobKey>,
    pub progress: BTreeMap<JobKey, Progress>,
    pub queue_pools: QueuePools,
    pub revision: u64,
    pub is_down: bool,
}

/// Workers, store and the scheduler of the current term.
pub struct Model {
    pub workers: BTreeMap<WorkerKey, ModelWorker>,
    pub store: ModelStore,
    pub scheduler: Scheduler,
    pub now: u64,
    pub term: u32,
    pub policy: Arc<Policy>,
    pub bounds: Bounds,
    pub done: BTreeMap<TaskName, u32>,
    pub failed: BTreeMap<TaskName, u32>,
    /// Number of runs that were stopped.
    pub stopped: u32,
    /// Run time of each task that starts from now on.
    pub work_ms: u64,
    /// Answer to each request for advice.
    pub advice: AdviceOutcome,
    /// Scheduler of the previous term that has not noticed its end yet.
    pub previous: Option<Scheduler>,
    /// Whether a worker has refused the token of the scheduler that acts.
    is_fenced: bool,
    /// Whether the scheduler that acts is that of the previous term, whose term nothing confirms.
    is_previous_acting: bool,
    /// Time from which earlier schedulers start nothing.
    previous_stopped_by: u64,
}

pub fn rules() -> QueuePolicy {
    QueuePolicy {
        pool: PoolName::new("p"),
        priority: 0,
        max_attempts: 2,
        stretch: 2.0,
        allowance: Millis(500),
        needs_advice: false,
        advice_times: AdviceTimes::default(),
    }
}

pub fn policy() -> Policy {
    let mut policy = Policy { version: 1, ..Policy::default() };
    policy.queues.insert(QueueName::new("q"), rules());
    let ceiling = Resources { cpu: 8_000, ..Resources::default() };
    policy.teams.insert(TeamName::new("t"), TeamPolicy { jobs_per_1000_secs: 1_000, ceiling });
    policy
}

pub fn report(number: usize) -> WorkerReport {
    WorkerReport {
        key: WorkerKey::new(format!("w{number}")),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        pool: PoolName::new("p"),
        data_centre: "z".into(),
        vm: Some(VmKey::new(format!("m{number}"))),
        capacity: Resources { cpu: 4_000, memory_mb: 8_000, accelerators: 0 },
        labels: vec!["a".into(), "r1".into()],
        draining: false,
        incarnation: Some(1),
    }
}

pub fn step(count: u32, cpu: u64) -> Step {
    Step { count, size: Resources { cpu, memory_mb: 100, accelerators: 0 }, estimate: Millis(400), ..Step::default() }
}

/// VMs on standby.
pub fn standby_vms(count: usize) -> Vec<Vm> {
    let vm = |n| Vm {
        key: VmKey::new(format!("s{n}")),
        pool: PoolName::new("spare"),
        state: VmState::Up,
        data_centre: "z".into(),
        capacity: Resources { cpu: 4_000, memory_mb: 8_000, accelerators: 0 },
        worker: None,
    };
    (0..count).map(vm).collect()
}

pub fn job(steps: Vec<Step>) -> JobSpec {
    JobSpec {
        queue: QueueName::new("q"),
        pool: PoolName::new("p"),
        team: None,
        payload: "x".into(),
        steps,
        schedule: None,
        accepted: WallTime(START_MS),
        rules: rules(),
        known_term: None,
    }
}

impl Model {
    pub fn new(workers: usize) -> Self {
        Self::with_bounds(workers, Bounds::default())
    }

    pub fn with_bounds(workers: usize, bounds: Bounds) -> Self {
        let policy = Arc::new(policy());
        let new_worker = |number| {
            let report = report(number);
            let worker = ModelWorker {
                report: report.clone(),
                token: 0,
                lease_until: 0,
                runs: BTreeMap::new(),
                highest_run: BTreeMap::new(),
                ends: Vec::new(),
                last_end: 0,
                is_partitioned: false,
                loses_answers: false,
                incarnation: 1,
                fails_tasks: false,
                stop_ms: 0,
                voided_end: 0,
            };
            (report.key, worker)
        };
        let scheduler = Scheduler::new(FencingToken(1), 0, bounds, Arc::clone(&policy));
        let mut model = Self {
            workers: (0..workers).map(new_worker).collect(),
            store: ModelStore { revision: 1, ..ModelStore::default() },
            scheduler,
            now: START_MS,
            term: 0,
            policy,
            bounds,
            done: BTreeMap::new(),
            failed: BTreeMap::new(),
            stopped: 0,
            work_ms: 400,
            advice: AdviceOutcome::Refused,
            previous: None,
            is_fenced: false,
            is_previous_acting: false,
            previous_stopped_by: START_MS,
        };
        model.scheduler.confirm(MonoTime(START_MS));
        model.scheduler.apply_recovery_set(MonoTime(START_MS), Vec::new());
        model.register_workers();
        model
    }

    pub fn time(&self) -> Now {
        Now { mono: MonoTime(self.now), wall: WallTime(self.now) }
    }

    pub fn register_workers(&mut self) {
        let reports: Vec<_> = self.workers.values().map(|w| w.report.clone()).collect();
        self.scheduler.set_workers(MonoTime(self.now), reports.clone());
        self.scheduler.record_recovery_set(&reports);
        self.store_queue_pools();
    }

    /// Stores the pools of queues.
    fn store_queue_pools(&mut self) {
        self.store.queue_pools = self.scheduler.prepare_queue_pools();
        self.scheduler.record_queue_pools(&self.store.queue_pools);
    }

    /// Stores the recovery set again if a worker that it names has restarted.
    fn store_incarnations(&mut self) {
        let named: Vec<&Worker> = self.scheduler.workers().filter(|w| w.is_in_recovery_set).collect();
        if named.iter().any(|w| !w.is_named()) {
            let recovery_set: Vec<WorkerReport> = named.into_iter().map(Worker::present_report).collect();
            self.scheduler.record_recovery_set(&recovery_set);
        }
    }

    /// Accepts a job, of which the scheduler is notified at once.
    pub fn accept(&mut self, key: &str, spec: JobSpec) {
        self.accept_unannounced(key, spec);
        self.announce(key);
    }

    /// Accepts a job, of which only a scheduler of the previous term is notified.
    pub fn accept_unannounced(&mut self, key: &str, spec: JobSpec) {
        let key = JobKey::new(key);
        self.store.revision += 1;
        self.store.jobs.insert(key.clone(), (JobRecord::Accepted(spec.clone()), self.store.revision));
        let now = self.time();
        if let Some(previous) = &mut self.previous {
            previous.add_job(now, key, spec, Progress::default(), self.store.revision);
        }
    }

    /// Notifies the scheduler of a job in the store.
    pub fn announce(&mut self, key: &str) {
        self.look_up(&JobKey::new(key));
    }

    fn look_up(&mut self, key: &JobKey) {
        let now = self.time();
        match self.store.jobs.get(key).cloned() {
            Some((JobRecord::Accepted(spec), created)) => {
                self.scheduler.add_job(now, key.clone(), spec, Progress::default(), created);
            }
            Some((JobRecord::Ended { state, at, .. }, _)) => self.scheduler.add_ended(key.clone(), state, at),
            None => self.scheduler.reject_orphans(key),
        }
    }

    /// Replaces the scheduler, while the previous one has not noticed that its term has ended.
    pub fn replace_scheduler_unnoticed(&mut self) {
        let successor = Scheduler::new(FencingToken(0), 0, Bounds::default(), Arc::clone(&self.policy));
        self.previous = Some(std::mem::replace(&mut self.scheduler, successor));
        self.replace_scheduler();
    }

    /// Replaces the scheduler once its lease has lapsed, while it has not noticed that. The next one knows when it stops, as no
    /// other entry has confirmed its term.
    pub fn replace_scheduler_after_lapse(&mut self, lease: Millis) {
        // Nothing confirms its term meanwhile.
        self.is_previous_acting = true;
        for _ in 0..lease.0 / STEP_MS {
            self.poll_all();
            self.advance_time();
        }
        self.is_previous_acting = false;
        self.replace_scheduler_unnoticed();
        let entry = SocketAddr::from(([127, 0, 0, 1], 1));
        let succession = Succession { term: self.term - 1, successors: vec![entry], listed: Vec::new() };
        let now = MonoTime(self.now);
        let mut last_stop = LastStop::new(now, lease, &succession).expect("there is a successor");
        last_stop.apply_answer(&entry, now, Some(Millis(60_000)));
        self.previous_stopped_by = last_stop.stops_by().expect("the successor has answered").0;
    }

    /// Lets the scheduler of the previous term poll one worker and execute its orders, until a worker refuses its token.
    pub fn run_previous(&mut self, polled: &WorkerKey) {
        let Some(previous) = self.previous.take() else { return };
        let present = std::mem::replace(&mut self.scheduler, previous);
        self.is_fenced = false;
        self.is_previous_acting = true;
        self.run_scheduler();
        self.poll(polled);
        self.is_previous_acting = false;
        let previous = std::mem::replace(&mut self.scheduler, present);
        if !self.is_fenced {
            self.previous = Some(previous);
        }
    }

    /// Replaces the scheduler by one of the next term, which reads the store.
    pub fn replace_scheduler(&mut self) {
        self.term += 1;
        self.store.revision += 1;
        let token = FencingToken(self.store.revision);
        self.scheduler = Scheduler::new(token, self.term, self.bounds, Arc::clone(&self.policy));
        for (key, (record, created)) in self.store.jobs.clone() {
            match record {
                JobRecord::Accepted(spec) => {
                    let progress = self.store.progress.get(&key).cloned().unwrap_or_default();
                    self.scheduler.add_job(self.time(), key, spec, progress, created);
                }
                JobRecord::Ended { state, at, .. } => self.scheduler.add_ended(key, state, at),
            }
        }
        for key in self.store.cancelled.clone() {
            self.scheduler.cancel_job(&key);
        }
        let reports: Vec<_> = self.workers.values().map(|w| w.report.clone()).collect();
        self.scheduler.apply_queue_pools(self.store.queue_pools.clone());
        self.previous_stopped_by = self.now + PREVIOUS_TERM_OVERRUN.0;
        self.scheduler.confirm(MonoTime(self.now));
        self.scheduler.apply_recovery_set(MonoTime(self.now), reports);
        self.register_workers();
    }

    /// Confirms the term of the scheduler that acts, unless it is the previous one.
    fn confirm(&mut self) {
        if self.is_previous_acting {
            return;
        }
        self.scheduler.confirm(MonoTime(self.now));
        if !self.store.is_down {
            self.scheduler.record_stored(MonoTime(self.now));
        }
        if self.now >= self.previous_stopped_by {
            self.scheduler.record_previous_stopped(MonoTime(self.now), self.store.revision);
        }
    }

    /// Polls one worker.
    pub fn poll(&mut self, key: &WorkerKey) {
        let now = self.time();
        self.confirm();
        let Some(poll) = self.scheduler.start_poll(now.mono, key) else { return };
        let token = self.scheduler.token();
        let worker = self.workers.get_mut(key).expect("the worker exists");
        if worker.is_partitioned {
            self.scheduler.record_lost_poll(key, false);
            return;
        }
        match worker.poll(self.now, poll.lease_until, poll.durable_end, token) {
            _ if worker.loses_answers => self.scheduler.record_lost_poll(key, false),
            Some(lists) => self.scheduler.apply_lists(now, key, MonoTime(self.now), lists),
            None => self.is_fenced = true,
        }
    }

    pub fn poll_all(&mut self) {
        let keys: Vec<WorkerKey> = self.workers.keys().cloned().collect();
        for key in keys {
            self.poll(&key);
        }
    }

    /// Plans and executes all orders.
    pub fn run_scheduler(&mut self) {
        self.confirm();
        self.scheduler.tick(self.time());
        self.scheduler.plan(self.time());
        for order in self.scheduler.take_orders() {
            self.execute_order(order);
        }
    }

    pub fn size_of(&self, task: &TaskName) -> Resources {
        match self.store.jobs.get(&task.job) {
            Some((JobRecord::Accepted(spec), _)) => spec.steps[task.step as usize].reserved(),
            _ => Resources::default(),
        }
    }

    pub fn execute_order(&mut self, order: Order) {
        let token = self.scheduler.token();
        let now = MonoTime(self.now);
        match order {
            Order::Start(start) => {
                let size = self.size_of(&start.task);
                let worker = self.workers.get_mut(&start.worker).expect("the worker exists");
                let answer = if worker.is_partitioned {
                    StartAnswer::Unknown
                } else {
                    worker.start(self.now, &start, token, size, self.work_ms)
                };
                let is_fenced = self.scheduler.apply_start_answer(now, &start.worker, &start.task, start.run, answer);
                self.is_fenced |= is_fenced;
            }
            Order::Stop { worker, task, run, .. } => {
                let worker = self.workers.get_mut(&worker).expect("the worker exists");
                let is_accepted = !worker.is_partitioned && worker.stop(&task, run, token);
                self.scheduler.apply_stop_answer(now, &task, run, is_accepted);
            }
            Order::LookUpJob { job } if !self.store.is_down => self.look_up(&job),
            Order::LookUpJob { job } => self.scheduler.record_failed_look_up(now, &job),
            Order::RequestAdvice { step, .. } => self.scheduler.apply_advice(now, &step, self.advice.clone()),
            Order::Pace { task, run, .. } => self.scheduler.apply_pace_answer(&task, run, true),
        }
    }

    /// Executes the scheduler's writes to the store.
    pub fn store_writes(&mut self) {
        if !self.store.is_down && self.scheduler.lacks_queue_pools() {
            self.store_queue_pools();
        }
        if !self.store.is_down {
            self.store_incarnations();
        }
        let writes = self.scheduler.take_writes(self.time(), 8, |_| 1);
        for (key, version, write) in writes {
            if self.store.is_down {
                self.scheduler.retry_write(&key);
                continue;
            }
            match write {
                JobWrite::Progress(progress) => {
                    self.store.progress.insert(key.clone(), progress);
                }
                JobWrite::Ended(record) => {
                    let created = self.store.jobs.get(&key).map_or(0, |(_, created)| *created);
                    self.store.jobs.insert(key.clone(), (record, created));
                    self.store.progress.remove(&key);
                }
            }
            self.scheduler.confirm_write(&key, version);
        }
    }

    /// Advances the time by one step and checks the invariants.
    pub fn advance_time(&mut self) {
        self.now += STEP_MS;
        for worker in self.workers.values_mut() {
            let before = worker.last_end;
            worker.advance_to(self.now, STEP_MS);
            if self.now > worker.lease_until {
                for end in worker.ends.iter().filter(|e| e.number > worker.voided_end && e.number <= before) {
                    if end.kind == EndKind::Done {
                        *self.done.entry(end.task.clone()).or_default() -= 1;
                    }
                }
                worker.voided_end = before;
            }
            for end in worker.ends.iter().filter(|e| e.number > before) {
                match end.kind {
                    EndKind::Done => *self.done.entry(end.task.clone()).or_default() += 1,
                    EndKind::Stopped => self.stopped += 1,
                    EndKind::Failed => *self.failed.entry(end.task.clone()).or_default() += 1,
                    _ => {}
                }
            }
        }
        self.check_invariants();
    }

    /// Checks that no worker is over its capacity and no task runs twice.
    pub fn check_invariants(&self) {
        let mut seen = BTreeMap::new();
        for worker in self.workers.values() {
            assert!(
                worker.used().fits(&worker.report.capacity),
                "{} is over its capacity at {}",
                worker.report.key,
                self.now
            );
            for (task, run) in &worker.runs {
                if let Some(other) = seen.insert(task.clone(), run.run) {
                    panic!("{task} runs twice at {}: runs {other} and {}", self.now, run.run);
                }
            }
        }
    }

    /// Runs polls, scheduler, writes and workers for a time.
    pub fn run_for(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / STEP_MS {
            self.poll_all();
            self.run_scheduler();
            self.store_writes();
            self.advance_time();
        }
    }

    /// List of the VMs of all workers, which are up.
    pub fn list_vms(&self) -> Vec<Vm> {
        let vm = |report: &WorkerReport| Vm {
            key: report.vm.clone().expect("workers of the model have a VM"),
            pool: report.pool.clone(),
            state: VmState::Up,
            data_centre: "z".into(),
            capacity: report.capacity,
            worker: Some(report.key.clone()),
        };
        self.workers.values().map(|w| vm(&w.report)).collect()
    }

    /// Lets VMs of a pool named `spare` be on standby.
    pub fn set_standby_pool(&mut self) {
        let mut policy = policy();
        policy.version = 2;
        policy.standby = Some(PoolName::new("spare"));
        self.scheduler.set_policy(Arc::new(policy));
    }

    pub fn state(&self, key: &str) -> Option<JobState> {
        self.scheduler.state_of(&JobKey::new(key))
    }

    pub fn count_running(&self) -> usize {
        self.workers.values().map(|w| w.runs.len()).sum()
    }

    pub fn worker_mut(&mut self, number: usize) -> &mut ModelWorker {
        self.workers.get_mut(&WorkerKey::new(format!("w{number}"))).expect("the worker exists")
    }
}
