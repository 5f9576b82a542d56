//! The claim protocol under random interleavings of a claimant that may be paused at any point, lapsing leases,
//! restarts and successors, compared with a reference model of the protocol.

use std::collections::{BTreeMap, BTreeSet};

use carawaybarrow_core::commit::Step;
use carawaybarrow_core::ids::{Incarnation, StoreVersion};
use carawaybarrow_core::job::Ran;
use carawaybarrow_core::journal::{Claim, JobCommand, JobOutcome, JobShard, RequeueReason, StateName};
use carawaybarrow_core::units::WallTime;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::store::{FakeStore, claim, commit_of, entry, inline, job, spec};

const ENTRIES: [&str; 3] = ["a", "b", "c"];

const SEED: u64 = 20_260_401;

const AT: WallTime = WallTime(3_000);

/// One action of an entry or of the worker, or the lapse of the lease. An entry without actions for a while is paused.
#[derive(Clone, Debug)]
enum Action {
    Claim(usize),
    /// Sends the start of the entry's committed claim; releases the claim if the worker refuses.
    Send(usize),
    /// Releases the entry's claim, whose start it has not sent.
    Release(usize),
    /// Tries to release a claim of another entry or incarnation.
    ReleaseForeign(usize),
    /// Tries to requeue the claimed job if the lease has lapsed.
    Requeue(usize),
    /// Records the end of the task of the claim as the worker reports it.
    Follow(usize),
    Restart(usize),
    /// The worker completes the task of the claim.
    FinishTask,
    Lapse,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Task {
    Running,
    Done,
    Stopped,
}

/// Claim of the job: index of the entry, incarnation and number of the task.
type Holder = (usize, u64, u32);

#[derive(Clone, Debug)]
struct Model {
    idempotent: bool,
    state: StateName,
    holder: Option<Holder>,
    incarnations: [u64; 3],
    unsent_claim: [Option<u32>; 3],
    tasks: BTreeMap<u32, Task>,
    lapsed: BTreeSet<u32>,
    next: u32,
}

impl Model {
    fn end_claim(&mut self, state: StateName) {
        self.state = state;
        self.holder = None;
    }

    fn held_task(&self) -> Option<u32> {
        self.holder.map(|(_, _, t)| t)
    }

    fn release(&mut self, t: u32) {
        if self.held_task() == Some(t) {
            self.end_claim(StateName::Waiting);
        }
    }

    fn requeue(&mut self) {
        if self.idempotent && self.held_task().is_some_and(|t| self.lapsed.contains(&t)) {
            self.end_claim(StateName::Waiting);
        }
    }

    fn follow(&mut self) {
        let Some(t) = self.held_task() else { return };
        match self.tasks.get(&t) {
            Some(Task::Running) => {}
            Some(Task::Done) => self.end_claim(StateName::Done),
            Some(Task::Stopped) if self.idempotent => self.end_claim(StateName::Waiting),
            Some(Task::Stopped) => self.end_claim(StateName::Failed),
            None if !self.lapsed.contains(&t) => {}
            None if self.idempotent => self.end_claim(StateName::Waiting),
            None => self.end_claim(StateName::Unknown),
        }
    }
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Action;

    fn init_state() -> BoxedStrategy<Self> {
        any::<bool>()
            .prop_map(|idempotent| Self {
                idempotent,
                state: StateName::Waiting,
                holder: None,
                incarnations: [1; 3],
                unsent_claim: [None; 3],
                tasks: BTreeMap::new(),
                lapsed: BTreeSet::new(),
                next: 0,
            })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Action> {
        let by = 0..ENTRIES.len();
        prop_oneof![
            4 => by.clone().prop_map(Action::Claim),
            4 => by.clone().prop_map(Action::Send),
            1 => by.clone().prop_map(Action::Release),
            1 => by.clone().prop_map(Action::ReleaseForeign),
            1 => by.clone().prop_map(Action::Requeue),
            2 => by.clone().prop_map(Action::Follow),
            1 => by.prop_map(Action::Restart),
            1 => Just(Action::FinishTask),
            2 => Just(Action::Lapse),
        ]
        .boxed()
    }

    fn apply(mut m: Self, action: &Action) -> Self {
        match *action {
            Action::Claim(a) if m.state == StateName::Waiting => {
                m.state = StateName::Claimed;
                m.holder = Some((a, m.incarnations[a], m.next));
                m.unsent_claim[a] = Some(m.next);
            }
            Action::Send(a) => match m.unsent_claim[a].take() {
                Some(t) if m.lapsed.contains(&t) => m.release(t),
                Some(t) => drop(m.tasks.insert(t, Task::Running)),
                None => {}
            },
            Action::Release(a) => {
                if let Some(t) = m.unsent_claim[a].take() {
                    m.release(t);
                }
            }
            Action::Claim(_) | Action::ReleaseForeign(_) => {}
            Action::Requeue(_) => m.requeue(),
            Action::Follow(_) => m.follow(),
            Action::Restart(a) => {
                m.incarnations[a] += 1;
                m.unsent_claim[a] = None;
            }
            Action::FinishTask => {
                let running = m.held_task().and_then(|t| m.tasks.get_mut(&t)).filter(|t| **t == Task::Running);
                running.into_iter().for_each(|t| *t = Task::Done);
            }
            Action::Lapse => {
                if let Some(t) = m.held_task() {
                    m.lapsed.insert(t);
                    m.tasks.entry(t).and_modify(|s| *s = if *s == Task::Running { Task::Stopped } else { *s });
                }
            }
        }
        m.next += 1;
        m
    }
}

/// State of an entry process: its copy of the shard, which may be stale, and its committed claim.
#[derive(Debug, Default)]
struct Process {
    incarnation: u64,
    copy: (StoreVersion, JobShard),
    unsent_claim: Option<Claim>,
}

#[derive(Debug)]
struct System {
    idempotent: bool,
    store: FakeStore,
    processes: [Process; 3],
    tasks: BTreeMap<String, Task>,
    lapsed: BTreeSet<String>,
    starts: u32,
    finished: bool,
    next: u32,
}

impl System {
    /// Commits from the entry's own copy of the shard.
    fn commit(&mut self, a: usize, command: JobCommand) -> JobOutcome {
        self.next += 1;
        let process = &mut self.processes[a];
        let commit = commit_of(u64::from(self.next), vec![command]).with_base(process.copy.0, process.copy.1.clone());
        let Step::Done { outcomes, .. } = self.store.commit(commit, None) else { panic!("the store is up") };
        process.copy = (self.store.version(), self.store.shard().clone());
        outcomes[0].clone()
    }

    fn held(&self) -> Option<Claim> {
        self.store.shard().claims().next().map(|(_, c)| c.clone())
    }

    fn release(&mut self, a: usize, claim: &Claim) {
        let incarnation = Incarnation(self.processes[a].incarnation);
        let task = claim.task.clone();
        self.commit(a, JobCommand::Release { job: job("j"), task, entry: entry(ENTRIES[a]), incarnation, at: AT });
    }

    fn send(&mut self, a: usize) {
        let Some(claim) = self.processes[a].unsent_claim.take() else { return };
        if self.lapsed.contains(claim.task.as_str()) {
            return self.release(a, &claim);
        }
        self.starts += 1;
        self.tasks.insert(claim.task.to_string(), Task::Running);
    }

    fn requeue(&mut self, a: usize, claim: &Claim) -> JobOutcome {
        let why = RequeueReason::LeaseLapsed;
        self.commit(a, JobCommand::Requeue { job: job("j"), task: claim.task.clone(), why, at: AT })
    }

    fn follow(&mut self, a: usize) {
        let Some(claim) = self.held() else { return };
        let (job, task) = (job("j"), claim.task.clone());
        match self.tasks.get(task.as_str()) {
            Some(Task::Running) => {}
            Some(Task::Done) => {
                self.commit(a, JobCommand::Finish { job, task, answer: inline("ok"), at: AT });
            }
            Some(Task::Stopped) if !self.idempotent => {
                self.commit(a, JobCommand::Fail { job, task, reason: "stopped".into(), at: AT });
            }
            None if !self.lapsed.contains(task.as_str()) => {}
            // The shard rejects the requeue of a non-idempotent job.
            Some(Task::Stopped) | None => {
                if let JobOutcome::Rejected { .. } = self.requeue(a, &claim) {
                    self.commit(a, JobCommand::MarkUnknown { job, task, reason: "no task".into(), at: AT });
                }
            }
        }
    }

    fn claim_job(&mut self, a: usize) {
        let new = claim(ENTRIES[a], self.processes[a].incarnation, &format!("t{}", self.next), "v1");
        let command = JobCommand::Claim { job: job("j"), claim: new.clone() };
        if self.commit(a, command) == JobOutcome::Claimed {
            self.processes[a].unsent_claim = Some(new);
        }
    }

    fn end_task(&mut self, to: Task) {
        let Some(claim) = self.held() else { return };
        if let Some(t) = self.tasks.get_mut(claim.task.as_str()).filter(|t| **t == Task::Running) {
            *t = to;
            self.finished |= to == Task::Done;
        }
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = Self;
    type Reference = Model;

    fn init_test(model: &Model) -> Self {
        let mut system = Self {
            idempotent: model.idempotent,
            store: FakeStore::default(),
            processes: std::array::from_fn(|_| Process { incarnation: 1, ..Process::default() }),
            tasks: BTreeMap::new(),
            lapsed: BTreeSet::new(),
            starts: 0,
            finished: false,
            next: 0,
        };
        let accepted = system.commit(0, JobCommand::Accept { spec: Box::new(spec("j", model.idempotent)) });
        assert_eq!(accepted, JobOutcome::Accepted);
        system
    }

    fn apply(mut system: Self, model: &Model, action: Action) -> Self {
        match action {
            Action::Claim(a) => system.claim_job(a),
            Action::Send(a) => system.send(a),
            Action::Release(a) => {
                if let Some(claim) = system.processes[a].unsent_claim.take() {
                    system.release(a, &claim);
                }
            }
            Action::ReleaseForeign(a) => {
                let now = Incarnation(system.processes[a].incarnation);
                let foreign = system.held().filter(|c| c.entry != entry(ENTRIES[a]) || c.incarnation != now);
                if let Some(claim) = foreign {
                    system.release(a, &claim);
                }
            }
            Action::Requeue(a) => {
                if let Some(claim) = system.held().filter(|c| system.lapsed.contains(c.task.as_str())) {
                    system.requeue(a, &claim);
                }
            }
            Action::Follow(a) => system.follow(a),
            Action::Restart(a) => {
                system.processes[a].incarnation += 1;
                system.processes[a].unsent_claim = None;
            }
            Action::FinishTask => system.end_task(Task::Done),
            Action::Lapse => {
                if let Some(claim) = system.held() {
                    system.end_task(Task::Stopped);
                    system.lapsed.insert(claim.task.to_string());
                }
            }
        }
        assert_eq!(system.store.shard().get(&job("j")).unwrap().state, model.state);
        system
    }

    fn check_invariants(system: &Self, _: &Model) {
        let view = system.store.shard().get(&job("j")).expect("the accepted job is lost");
        assert!(system.idempotent || system.starts <= 1, "a non-idempotent job was started {} times", system.starts);
        assert!(view.ran != Ran::No || system.starts == 0, "{:?} says \"not run\" after a start", view.state);
        assert!(view.state != StateName::Done || system.finished, "done, but no task finished");
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a non-idempotent job that is started by both a paused claimant and its successor, and against a
    /// state of the shard that differs from the reference model.
    #[test]
    fn claims_hold_under_pauses_lapses_and_successors(sequential 1..60 => System);
}
