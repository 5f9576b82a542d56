//! A durable job driven from acceptance to its tombstone by two entries, against a store cell and workers that
//! follow the assumptions A1 to A3 of the design page.

use std::collections::{BTreeMap, BTreeSet};

use carawaybarrow_core::commit::Step as CommitStep;
use carawaybarrow_core::ids::{Incarnation, JobId, LeaseId, OperatorId, StoreVersion, TaskId, VmId};
use carawaybarrow_core::job::Ran;
use carawaybarrow_core::journal::{
    Claim, JobCommand, JobOutcome, JobShard, JobView, Record, RequeueReason, Resolution, State, StateName,
};
use carawaybarrow_core::units::WallTime;

use crate::cell::{Cell, StoreFault, claim, commit_of, entry, inline, job, spec};

/// Rounds after which a life that didn't reach its tombstone counts as stuck.
const MAX_ROUNDS: u32 = 80;

/// Rounds for which a paused entry does nothing.
const PAUSE_ROUNDS: u32 = 4;

/// Rounds that a task runs.
const RUN_ROUNDS: u32 = 2;

/// A step of a durable job's life.
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
    /// The store fault `LateWrite`, with the write arriving only after the job has moved on.
    VeryLateWrite,
    EntryKilled,
    WorkerKilled,
    /// The entry and all workers fail together.
    CorrelatedFailure,
    /// The acting entry is paused; its lease lapses meanwhile or goes on.
    Paused {
        lapse: bool,
    },
    /// Two entries act as owner on the same copy of the shard.
    ProcessRace,
    /// The start does not reach the worker, and the sender can't tell.
    StartLost,
    /// The VM at hand fails all that it starts from now on.
    FailingWorker,
    /// The job fails wherever it runs.
    NeverRuns,
    /// The job runs far longer than declared.
    RunsLong,
    Cancelled,
    /// Two operators cancel and resolve at the same time.
    OperatorsRace,
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

/// What an entry process remembers; a restart forgets it.
#[derive(Clone, Debug, Default)]
struct Entry {
    name: &'static str,
    incarnation: u64,
    /// Its own claim, committed and not yet sent.
    armed: Option<Claim>,
    /// Tasks whose start it sent.
    sent: BTreeSet<TaskId>,
}

#[derive(Clone, Debug)]
struct Pause {
    entry: usize,
    rounds: u32,
    copy: (StoreVersion, JobShard),
}

/// The job, the store, the workers and two entries.
#[derive(Debug)]
pub struct Life {
    job: JobId,
    idempotent: bool,
    cell: Cell,
    entries: [Entry; 2],
    acting: usize,
    paused: Option<Pause>,
    pending: Vec<(Fault, Step)>,
    pub fired: usize,
    store_fault: Option<StoreFault>,
    deliver_in: Option<u32>,
    late_by: u32,
    next_id: u64,
    tasks: BTreeMap<TaskId, Task>,
    starts: Vec<TaskId>,
    finished: BTreeSet<TaskId>,
    lapsed: BTreeSet<LeaseId>,
    failing: BTreeSet<VmId>,
    never_runs: bool,
    start_lost: bool,
    run_rounds: u32,
    durable: bool,
    ended: Option<JobView>,
}

impl Life {
    pub fn new(idempotent: bool, faults: &[(Fault, Step)]) -> Self {
        let process = |name| Entry { name, incarnation: 1, ..Entry::default() };
        Self {
            job: job("j"),
            idempotent,
            cell: Cell::default(),
            entries: [process("a"), process("b")],
            acting: 0,
            paused: None,
            pending: faults.to_vec(),
            fired: 0,
            store_fault: None,
            deliver_in: None,
            late_by: 1,
            next_id: 0,
            tasks: BTreeMap::new(),
            starts: Vec::new(),
            finished: BTreeSet::new(),
            lapsed: BTreeSet::new(),
            failing: BTreeSet::new(),
            never_runs: false,
            start_lost: false,
            run_rounds: RUN_ROUNDS,
            durable: false,
            ended: None,
        }
    }

    /// Lives the job to its tombstone, checking the invariants after each round.
    pub fn run(&mut self) -> Result<JobView, String> {
        for _ in 0..MAX_ROUNDS {
            self.play_round();
            self.check()?;
            let view = self.cell.shard().get(&self.job);
            if let Some(view) = view.filter(|v| v.archived && self.paused.is_none() && self.deliver_in.is_none()) {
                return Ok(view);
            }
        }
        Err(format!("the job is stuck: {:?}", self.cell.shard().get(&self.job)))
    }

    fn check(&mut self) -> Result<(), String> {
        if !self.idempotent && self.starts.len() > 1 {
            return Err(format!("a non-idempotent job was started {} times", self.starts.len()));
        }
        let Some(view) = self.cell.shard().get(&self.job) else {
            return if self.durable { Err("an accepted job is lost".into()) } else { Ok(()) };
        };
        if view.ran == Ran::No && !self.starts.is_empty() {
            return Err(format!("{:?} says \"not run\" after a start", view.state));
        }
        if view.state == StateName::Done && self.finished.is_empty() {
            return Err("the job is done, but no task finished".into());
        }
        if let Some(ended) = &self.ended {
            let is_same = (ended.state, ended.ran) == (view.state, view.ran);
            if !is_same && ended.state != StateName::Unknown {
                return Err(format!("the end changed from {ended:?} to {view:?}"));
            }
        }
        if !matches!(view.state, StateName::Waiting | StateName::Claimed) {
            self.ended = Some(view);
        }
        Ok(())
    }

    /// Lets the workers' tasks go on.
    fn run_tasks(&mut self) {
        for (id, task) in &mut self.tasks {
            let fails = self.never_runs || self.failing.contains(&task.claim.vm);
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

    fn play_round(&mut self) {
        self.run_tasks();
        if let Some(pause) = self.paused.take() {
            if pause.rounds == 0 {
                self.act(pause.entry, &pause.copy);
            } else {
                self.paused = Some(Pause { rounds: pause.rounds - 1, ..pause });
            }
        }
        match self.deliver_in.take() {
            Some(0) => self.cell.deliver_late(),
            Some(n) => self.deliver_in = Some(n - 1),
            None => {}
        }
        let copy = self.copy();
        let step = self.find_step(self.acting, &copy.1);
        match self.pending.iter().position(|(_, at)| *at == step) {
            Some(i) => {
                let (fault, _) = self.pending.remove(i);
                self.fired += 1;
                self.inject(fault, copy);
            }
            None => self.act(self.acting, &copy),
        }
    }

    fn is_known(&self) -> bool {
        self.cell.shard().get(&self.job).is_some()
    }

    fn copy(&self) -> (StoreVersion, JobShard) {
        (self.cell.version(), self.cell.shard().clone())
    }

    fn find_step(&self, acting: usize, shard: &JobShard) -> Step {
        let Some(record) = shard.record(&self.job) else {
            return if shard.get(&self.job).is_some() { Step::Archive } else { Step::Accept };
        };
        match &record.state {
            State::Waiting => Step::Claim,
            State::Claimed { claim, .. } if self.entries[acting].armed.as_ref() == Some(claim) => Step::Send,
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
                self.late_by = 0;
            }
            Fault::VeryLateWrite => {
                self.store_fault = Some(StoreFault::LateWrite);
                self.late_by = 3;
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
                // One entry at a time is paused; a second pause ends the first.
                self.paused = Some(Pause { entry: self.acting, rounds: PAUSE_ROUNDS, copy });
                self.acting = 1 - self.acting;
            }
            Fault::ProcessRace => {
                self.act(1 - self.acting, &copy);
                self.act(self.acting, &copy);
            }
            Fault::StartLost => self.start_lost = true,
            Fault::FailingWorker => drop(self.failing.insert(self.vm_at_hand(&copy.1))),
            Fault::NeverRuns => self.never_runs = true,
            Fault::RunsLong => self.run_rounds = 5 * RUN_ROUNDS,
            Fault::Cancelled => drop(self.commit_at(&copy, self.cancel_command(), None)),
            Fault::OperatorsRace => {
                let found = self.truth();
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
        let entry = &mut self.entries[self.acting];
        *entry = Entry { name: entry.name, incarnation: entry.incarnation + 1, ..Entry::default() };
        self.acting = 1 - self.acting;
    }

    /// All workers restart: their tasks and leases are gone.
    fn kill_workers(&mut self) {
        if let Some(claim) = self.current_claim(self.cell.shard()) {
            self.lapsed.insert(claim.lease);
        }
        for (_, task) in std::mem::take(&mut self.tasks) {
            self.lapsed.insert(task.claim.lease);
        }
    }

    fn current_claim(&self, shard: &JobShard) -> Option<Claim> {
        shard.claims().next().map(|(_, claim)| claim.clone())
    }

    fn vm_at_hand(&self, shard: &JobShard) -> VmId {
        self.current_claim(shard).map_or_else(|| VmId::new("v1").unwrap(), |c| c.vm)
    }

    fn lapse_claim(&mut self, shard: &JobShard) {
        if let Some(claim) = self.current_claim(shard) {
            self.lapse(&claim);
        }
    }

    /// The worker's clock passes the end of the lease: it stops the task and refuses starts under the lease.
    fn lapse(&mut self, claim: &Claim) {
        self.lapsed.insert(claim.lease.clone());
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

    /// What an operator learns on the VM itself.
    fn truth(&self) -> Resolution {
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
            self.deliver_in = Some(self.late_by);
        }
        self.cell.commit(commit, fault)
    }

    fn commit(&mut self, copy: &(StoreVersion, JobShard), command: JobCommand) -> Option<JobOutcome> {
        let fault = self.store_fault.take();
        let is_accept = matches!(command, JobCommand::Accept { .. });
        // An earlier attempt of the same request may have been accepted, which this attempt's copy didn't show.
        let was_known = self.is_known() || self.deliver_in.is_some();
        match self.commit_at(copy, command, fault) {
            CommitStep::Done { outcomes, .. } => outcomes.into_iter().next(),
            CommitStep::NotWritten(_) => {
                // The caller of an acceptance is told "not run" here, so this attempt has left nothing behind.
                let is_left = self.is_known() || self.deliver_in.is_some();
                assert!(!is_accept || was_known || !is_left, "refused, but durable");
                None
            }
            _ => None,
        }
    }

    /// The entry takes the next step that it sees in its copy of the shard.
    fn act(&mut self, by: usize, copy: &(StoreVersion, JobShard)) {
        let Some(record) = copy.1.record(&self.job).cloned() else {
            if copy.1.get(&self.job).is_none() {
                let spec = Box::new(spec("j", self.idempotent));
                self.durable |= self.commit(copy, JobCommand::Accept { spec }).is_some();
            }
            return;
        };
        match &record.state {
            State::Waiting => self.act_claim(by, copy),
            State::Claimed { claim, cancel_requested } => {
                let is_cancelled = cancel_requested.is_some();
                self.act_on_claim(by, copy, claim, is_cancelled);
            }
            State::Ended { .. } => self.act_archive(copy, &record),
        }
    }

    fn act_claim(&mut self, by: usize, copy: &(StoreVersion, JobShard)) {
        self.next_id += 1;
        let Entry { name, incarnation, .. } = self.entries[by];
        let new = claim(name, incarnation, &format!("t{}", self.next_id), &format!("v{}", self.starts.len() % 4));
        let command = JobCommand::Claim { job: self.job.clone(), claim: new.clone() };
        if self.commit(copy, command) == Some(JobOutcome::Claimed) {
            self.entries[by].armed = Some(new);
        }
    }

    fn act_on_claim(&mut self, by: usize, copy: &(StoreVersion, JobShard), claim: &Claim, is_cancelled: bool) {
        let own = &mut self.entries[by];
        let is_own = claim.entry == entry(own.name) && claim.incarnation == Incarnation(own.incarnation);
        if own.armed.as_ref() == Some(claim) {
            own.armed = None;
            // A cancelled claim that was not sent is given back instead.
            if !is_cancelled && self.send(by, claim) {
                return;
            }
            self.release(copy, claim);
        } else if is_own && !self.entries[by].sent.contains(&claim.task) {
            // The commit of the claim ended without an answer, so nothing was sent.
            self.release(copy, claim);
        } else {
            self.follow_task(copy, claim, is_cancelled);
        }
    }

    /// Sends the start; `false` if the worker refused it.
    fn send(&mut self, by: usize, claim: &Claim) -> bool {
        if std::mem::take(&mut self.start_lost) {
            self.entries[by].sent.insert(claim.task.clone());
            return true;
        }
        if self.lapsed.contains(&claim.lease) {
            return false;
        }
        self.entries[by].sent.insert(claim.task.clone());
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

    /// The claimant or a successor reads the state of the task and records its end.
    fn follow_task(&mut self, copy: &(StoreVersion, JobShard), claim: &Claim, is_cancelled: bool) {
        if !self.tasks.contains_key(&claim.task) {
            // A start may be under way until the lease has lapsed, so the task is looked up again after that.
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
            // The successor tries a requeue first and lets the document decide whether the job allows it.
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

    fn act_archive(&mut self, copy: &(StoreVersion, JobShard), record: &Record) {
        let command = if record.state.name() == StateName::Unknown {
            self.resolve_command("ana", self.truth())
        } else {
            JobCommand::Archive { jobs: vec![self.job.clone()], at: WallTime(7_000) }
        };
        self.commit(copy, command);
    }
}
