//! Simulation of a durable job from its acceptance to its tombstone, with two entries, a store in memory and workers
//! that follow the assumptions A1 to A3 of the design page.

use std::collections::{BTreeMap, BTreeSet};

use carawaybarrow_core::commit::Step as CommitStep;
use carawaybarrow_core::ids::{Incarnation, JobId, LeaseId, OperatorId, StoreVersion, TaskId, VmId};
use carawaybarrow_core::job::Ran;
use carawaybarrow_core::journal::{
    Claim, JobCommand, JobOutcome, JobShard, JobView, Record, RequeueReason, Resolution, State, StateName,
};
use carawaybarrow_core::units::WallTime;

use crate::store::{FakeStore, StoreFault, claim, commit_of, entry, inline, job, spec};

/// Rounds after which a job that was not archived counts as stuck.
const MAX_ROUNDS: u32 = 80;

/// Rounds for which an entry is paused.
const PAUSE_ROUNDS: u32 = 4;

/// Rounds that a task runs.
const RUN_ROUNDS: u32 = 2;

/// A step of the lifecycle of a durable job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Accept,
    Claim,
    Send,
    Run,
    Finish,
    Archive,
}

/// A fault that happens at the start of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The next commit meets this fault of the store.
    Store(StoreFault),
    /// The store fault `LateWrite` with a delay of three more rounds, in which the job may change.
    VeryLateWrite,
    EntryKilled,
    WorkerKilled,
    /// The entry and all workers fail together.
    CorrelatedFailure,
    /// The active entry is paused. The lease of its claim lapses meanwhile, or not.
    Paused {
        lapse: bool,
    },
    /// Both entries execute the next step from the same copy of the shard.
    EntryRace,
    /// The start does not reach the worker, and the sender doesn't know whether it did.
    StartLost,
    /// All tasks fail on the VM of the current claim from now on.
    FailingWorker,
    /// The job fails on every VM.
    AlwaysFails,
    /// The job runs much longer than declared.
    RunsLong,
    Cancelled,
    /// A cancellation and the resolutions of two operators are written from the same copy of the shard.
    OperatorRace,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TaskState {
    Running(u32),
    Done,
    Failed,
    Stopped,
}

#[derive(Clone, Debug)]
struct Task {
    claim: Claim,
    state: TaskState,
}

/// State of an entry process, which a restart loses.
#[derive(Clone, Debug, Default)]
struct Entry {
    name: &'static str,
    incarnation: u64,
    /// Its committed claim whose start it has not sent yet.
    unsent_claim: Option<Claim>,
    /// Tasks whose start it has sent.
    sent_tasks: BTreeSet<TaskId>,
}

#[derive(Clone, Debug)]
struct Pause {
    entry: usize,
    rounds: u32,
    copy: (StoreVersion, JobShard),
}

/// A job with the store, the workers and two entries.
#[derive(Debug)]
pub struct JobSimulation {
    job: JobId,
    idempotent: bool,
    store: FakeStore,
    entries: [Entry; 2],
    active_entry: usize,
    paused: Option<Pause>,
    pending_faults: Vec<(Fault, Step)>,
    pub injected_faults: usize,
    store_fault: Option<StoreFault>,
    rounds_to_delivery: Option<u32>,
    delivery_delay: u32,
    next_id: u64,
    tasks: BTreeMap<TaskId, Task>,
    starts: Vec<TaskId>,
    finished: BTreeSet<TaskId>,
    lapsed_leases: BTreeSet<LeaseId>,
    failing_vms: BTreeSet<VmId>,
    always_fails: bool,
    start_lost: bool,
    run_rounds: u32,
    is_acknowledged: bool,
    ended_view: Option<JobView>,
}

impl JobSimulation {
    pub fn new(idempotent: bool, faults: &[(Fault, Step)]) -> Self {
        let process = |name| Entry { name, incarnation: 1, ..Entry::default() };
        Self {
            job: job("j"),
            idempotent,
            store: FakeStore::default(),
            entries: [process("a"), process("b")],
            active_entry: 0,
            paused: None,
            pending_faults: faults.to_vec(),
            injected_faults: 0,
            store_fault: None,
            rounds_to_delivery: None,
            delivery_delay: 1,
            next_id: 0,
            tasks: BTreeMap::new(),
            starts: Vec::new(),
            finished: BTreeSet::new(),
            lapsed_leases: BTreeSet::new(),
            failing_vms: BTreeSet::new(),
            always_fails: false,
            start_lost: false,
            run_rounds: RUN_ROUNDS,
            is_acknowledged: false,
            ended_view: None,
        }
    }

    /// Runs the job until it is archived, and checks the invariants after each round.
    pub fn run(&mut self) -> Result<JobView, String> {
        for _ in 0..MAX_ROUNDS {
            self.run_round();
            self.check_invariants()?;
            let view = self.store.shard().get(&self.job);
            if let Some(view) =
                view.filter(|v| v.archived && self.paused.is_none() && self.rounds_to_delivery.is_none())
            {
                return Ok(view);
            }
        }
        Err(format!("the job is stuck: {:?}", self.store.shard().get(&self.job)))
    }

    fn check_invariants(&mut self) -> Result<(), String> {
        if !self.idempotent && self.starts.len() > 1 {
            return Err(format!("a non-idempotent job was started {} times", self.starts.len()));
        }
        let Some(view) = self.store.shard().get(&self.job) else {
            return if self.is_acknowledged { Err("an accepted job is lost".into()) } else { Ok(()) };
        };
        if view.ran == Ran::No && !self.starts.is_empty() {
            return Err(format!("{:?} says \"not run\" after a start", view.state));
        }
        if view.state == StateName::Done && self.finished.is_empty() {
            return Err("the job is done, but no task finished".into());
        }
        if let Some(ended) = &self.ended_view {
            let is_same = (ended.state, ended.ran) == (view.state, view.ran);
            if !is_same && ended.state != StateName::Unknown {
                return Err(format!("the end changed from {ended:?} to {view:?}"));
            }
        }
        if !matches!(view.state, StateName::Waiting | StateName::Claimed) {
            self.ended_view = Some(view);
        }
        Ok(())
    }

    /// Advances the tasks of the workers by one round.
    fn run_tasks(&mut self) {
        for (id, task) in &mut self.tasks {
            let fails = self.always_fails || self.failing_vms.contains(&task.claim.vm);
            task.state = match task.state {
                TaskState::Running(_) if fails => TaskState::Failed,
                TaskState::Running(0) => TaskState::Done,
                TaskState::Running(n) => TaskState::Running(n - 1),
                state => state,
            };
            if task.state == TaskState::Done {
                self.finished.insert(id.clone());
            }
        }
    }

    fn run_round(&mut self) {
        self.run_tasks();
        if let Some(pause) = self.paused.take() {
            if pause.rounds == 0 {
                self.execute_step(pause.entry, &pause.copy);
            } else {
                self.paused = Some(Pause { rounds: pause.rounds - 1, ..pause });
            }
        }
        match self.rounds_to_delivery.take() {
            Some(0) => self.store.deliver_delayed_write(),
            Some(n) => self.rounds_to_delivery = Some(n - 1),
            None => {}
        }
        let copy = self.copy();
        let step = self.find_step(self.active_entry, &copy.1);
        match self.pending_faults.iter().position(|(_, at)| *at == step) {
            Some(i) => {
                let (fault, _) = self.pending_faults.remove(i);
                self.injected_faults += 1;
                self.inject(fault, copy);
            }
            None => self.execute_step(self.active_entry, &copy),
        }
    }

    fn is_known(&self) -> bool {
        self.store.shard().get(&self.job).is_some()
    }

    fn copy(&self) -> (StoreVersion, JobShard) {
        (self.store.version(), self.store.shard().clone())
    }

    fn find_step(&self, by: usize, shard: &JobShard) -> Step {
        let Some(record) = shard.record(&self.job) else {
            return if shard.get(&self.job).is_some() { Step::Archive } else { Step::Accept };
        };
        match &record.state {
            State::Waiting => Step::Claim,
            State::Claimed { claim, .. } if self.entries[by].unsent_claim.as_ref() == Some(claim) => Step::Send,
            State::Claimed { claim, .. } => match self.tasks.get(&claim.task).map(|t| t.state) {
                Some(TaskState::Running(_)) => Step::Run,
                _ => Step::Finish,
            },
            State::Ended { .. } => Step::Archive,
        }
    }

    fn inject(&mut self, fault: Fault, copy: (StoreVersion, JobShard)) {
        match fault {
            Fault::Store(fault) => {
                self.store_fault = Some(fault);
                self.delivery_delay = 0;
            }
            Fault::VeryLateWrite => {
                self.store_fault = Some(StoreFault::LateWrite);
                self.delivery_delay = 3;
            }
            Fault::EntryKilled => self.kill_entry(),
            Fault::WorkerKilled => self.kill_workers(),
            Fault::CorrelatedFailure => {
                self.kill_entry();
                self.kill_workers();
            }
            Fault::Paused { lapse } => {
                if lapse {
                    self.lapse_claim(&copy.1);
                }
                // One entry at a time is paused; a second pause replaces the first.
                self.paused = Some(Pause { entry: self.active_entry, rounds: PAUSE_ROUNDS, copy });
                self.active_entry = 1 - self.active_entry;
            }
            Fault::EntryRace => {
                self.execute_step(1 - self.active_entry, &copy);
                self.execute_step(self.active_entry, &copy);
            }
            Fault::StartLost => self.start_lost = true,
            Fault::FailingWorker => drop(self.failing_vms.insert(self.current_vm(&copy.1))),
            Fault::AlwaysFails => self.always_fails = true,
            Fault::RunsLong => self.run_rounds = 5 * RUN_ROUNDS,
            Fault::Cancelled => drop(self.commit_at(&copy, self.cancel_command(), None)),
            Fault::OperatorRace => {
                let found = self.find_actual_outcome();
                for command in [
                    self.cancel_command(),
                    self.resolve_command("ana", found.clone()),
                    self.resolve_command("ben", found),
                ] {
                    self.commit_at(&copy, command, None);
                }
            }
        }
    }

    fn kill_entry(&mut self) {
        let entry = &mut self.entries[self.active_entry];
        *entry = Entry { name: entry.name, incarnation: entry.incarnation + 1, ..Entry::default() };
        self.active_entry = 1 - self.active_entry;
    }

    /// Restarts all workers. Their tasks and leases are lost.
    fn kill_workers(&mut self) {
        if let Some(claim) = self.current_claim(self.store.shard()) {
            self.lapsed_leases.insert(claim.lease);
        }
        for (_, task) in std::mem::take(&mut self.tasks) {
            self.lapsed_leases.insert(task.claim.lease);
        }
    }

    fn current_claim(&self, shard: &JobShard) -> Option<Claim> {
        shard.claims().next().map(|(_, claim)| claim.clone())
    }

    fn current_vm(&self, shard: &JobShard) -> VmId {
        self.current_claim(shard).map_or_else(|| VmId::new("v1").unwrap(), |c| c.vm)
    }

    fn lapse_claim(&mut self, shard: &JobShard) {
        if let Some(claim) = self.current_claim(shard) {
            self.lapse(&claim);
        }
    }

    /// Lapses a lease: the worker stops the task and refuses starts under the lease.
    fn lapse(&mut self, claim: &Claim) {
        self.lapsed_leases.insert(claim.lease.clone());
        if let Some(task) = self.tasks.get_mut(&claim.task)
            && matches!(task.state, TaskState::Running(_))
        {
            task.state = TaskState::Stopped;
        }
    }

    fn cancel_command(&self) -> JobCommand {
        JobCommand::Cancel { job: self.job.clone(), at: WallTime(4_000) }
    }

    fn resolve_command(&self, by: &str, found: Resolution) -> JobCommand {
        let by = OperatorId::new(by).unwrap();
        JobCommand::Resolve { job: self.job.clone(), by, found, at: WallTime(5_000) }
    }

    /// Actual outcome of the job, which an operator finds out on the VM.
    fn find_actual_outcome(&self) -> Resolution {
        if !self.finished.is_empty() {
            Resolution::Done
        } else if self.starts.is_empty() {
            Resolution::NotRun
        } else {
            Resolution::Failed { reason: "the VM was lost".into() }
        }
    }

    fn commit_at(
        &mut self,
        copy: &(StoreVersion, JobShard),
        command: JobCommand,
        fault: Option<StoreFault>,
    ) -> CommitStep<JobOutcome> {
        self.next_id += 1;
        let commit = commit_of(self.next_id, vec![command]).with_base(copy.0, copy.1.clone());
        if fault == Some(StoreFault::LateWrite) {
            self.rounds_to_delivery = Some(self.delivery_delay);
        }
        self.store.commit(commit, fault)
    }

    fn commit(&mut self, copy: &(StoreVersion, JobShard), command: JobCommand) -> Option<JobOutcome> {
        let fault = self.store_fault.take();
        let is_accept = matches!(command, JobCommand::Accept { .. });
        // An earlier attempt of the request may have been accepted, which the copy of this attempt doesn't show.
        let was_known = self.is_known() || self.rounds_to_delivery.is_some();
        match self.commit_at(copy, command, fault) {
            CommitStep::Done { outcomes, .. } => outcomes.into_iter().next(),
            CommitStep::NotWritten(_) => {
                // The caller gets the answer "not run" here, so this attempt must not have stored the job.
                let is_stored = self.is_known() || self.rounds_to_delivery.is_some();
                assert!(!is_accept || was_known || !is_stored, "the job was refused, but it is stored");
                None
            }
            _ => None,
        }
    }

    /// Executes the next step of the job according to the entry's copy of the shard.
    fn execute_step(&mut self, by: usize, copy: &(StoreVersion, JobShard)) {
        let Some(record) = copy.1.record(&self.job).cloned() else {
            if copy.1.get(&self.job).is_none() {
                let spec = Box::new(spec("j", self.idempotent));
                self.is_acknowledged |= self.commit(copy, JobCommand::Accept { spec }).is_some();
            }
            return;
        };
        match &record.state {
            State::Waiting => self.claim_job(by, copy),
            State::Claimed { claim, cancel_requested } => {
                let is_cancelled = cancel_requested.is_some();
                self.handle_claim(by, copy, claim, is_cancelled);
            }
            State::Ended { .. } => self.archive_or_resolve(copy, &record),
        }
    }

    fn claim_job(&mut self, by: usize, copy: &(StoreVersion, JobShard)) {
        self.next_id += 1;
        let Entry { name, incarnation, .. } = self.entries[by];
        let new = claim(name, incarnation, &format!("t{}", self.next_id), &format!("v{}", self.starts.len() % 4));
        let command = JobCommand::Claim { job: self.job.clone(), claim: new.clone() };
        if self.commit(copy, command) == Some(JobOutcome::Claimed) {
            self.entries[by].unsent_claim = Some(new);
        }
    }

    fn handle_claim(&mut self, by: usize, copy: &(StoreVersion, JobShard), claim: &Claim, is_cancelled: bool) {
        let own = &mut self.entries[by];
        let is_own = claim.entry == entry(own.name) && claim.incarnation == Incarnation(own.incarnation);
        if own.unsent_claim.as_ref() == Some(claim) {
            own.unsent_claim = None;
            // A cancelled claim whose start was not sent is released instead.
            if !is_cancelled && self.send(by, claim) {
                return;
            }
            self.release(copy, claim);
        } else if is_own && !self.entries[by].sent_tasks.contains(&claim.task) {
            // The commit of the claim ended without an answer, so nothing was sent.
            self.release(copy, claim);
        } else {
            self.follow_task(copy, claim, is_cancelled);
        }
    }

    /// Sends the start. Returns `false` if the worker refused it.
    fn send(&mut self, by: usize, claim: &Claim) -> bool {
        if std::mem::take(&mut self.start_lost) {
            self.entries[by].sent_tasks.insert(claim.task.clone());
            return true;
        }
        if self.lapsed_leases.contains(&claim.lease) {
            return false;
        }
        self.entries[by].sent_tasks.insert(claim.task.clone());
        self.starts.push(claim.task.clone());
        let state = TaskState::Running(self.run_rounds);
        self.tasks.insert(claim.task.clone(), Task { claim: claim.clone(), state });
        true
    }

    fn release(&mut self, copy: &(StoreVersion, JobShard), claim: &Claim) {
        let (entry, incarnation) = (claim.entry.clone(), claim.incarnation);
        let (job, task) = (self.job.clone(), claim.task.clone());
        self.commit(copy, JobCommand::Release { job, task, entry, incarnation, at: WallTime(3_000) });
    }

    /// Reads the state of the task and records its end, as the claimant or its successor does.
    fn follow_task(&mut self, copy: &(StoreVersion, JobShard), claim: &Claim, is_cancelled: bool) {
        if !self.tasks.contains_key(&claim.task) {
            // A start may be in flight until the lease has lapsed, so the task is looked up after that.
            self.lapse(claim);
        }
        let state = self.tasks.get(&claim.task).map(|t| t.state);
        if is_cancelled && matches!(state, Some(TaskState::Running(_))) {
            self.lapse(claim);
            return;
        }
        let (job, task, at) = (self.job.clone(), claim.task.clone(), WallTime(6_000));
        let command = match state {
            Some(TaskState::Running(_)) => return,
            Some(TaskState::Done) => JobCommand::Finish { job, task, answer: inline("ok"), at },
            Some(TaskState::Failed) => JobCommand::Fail { job, task, reason: "exit 1".into(), at },
            Some(TaskState::Stopped) if is_cancelled || !self.idempotent => {
                JobCommand::Fail { job, task, reason: "stopped".into(), at }
            }
            Some(TaskState::Stopped) => JobCommand::Requeue { job, task, why: RequeueReason::LeaseLapsed, at },
            // The successor tries a requeue first; the shard rejects it unless the job is idempotent.
            None => {
                let why = RequeueReason::WorkerLost;
                let requeue = JobCommand::Requeue { job: job.clone(), task: task.clone(), why, at };
                match self.commit(copy, requeue) {
                    Some(JobOutcome::Rejected { .. }) => {
                        JobCommand::MarkUnknown { job, task, reason: "the worker doesn't know the task".into(), at }
                    }
                    _ => return,
                }
            }
        };
        self.commit(copy, command);
    }

    fn archive_or_resolve(&mut self, copy: &(StoreVersion, JobShard), record: &Record) {
        let command = if record.state.name() == StateName::Unknown {
            self.resolve_command("ana", self.find_actual_outcome())
        } else {
            JobCommand::Archive { jobs: vec![self.job.clone()], at: WallTime(7_000) }
        };
        self.commit(copy, command);
    }
}
