//! Team limits under faults: several entries, a store with lost and late answers, and workers that go on running
//! tasks of entries that died.
//!
//! Whenever a task begins on a worker, the team's running tasks must not exceed the largest limit that some entry
//! may still rightly hold as current.

use std::collections::BTreeMap;

use carawaybarrow_core::commit::{Commit, Document, Step, StoreResponse};
use carawaybarrow_core::confirmation::RECLAIM_DELAY;
use carawaybarrow_core::freshness::{FRESHNESS_BOUND, SLOT_LEASE_TTL};
use carawaybarrow_core::ids::{ChangeId, EntryId, Incarnation, Revision, StoreVersion, TeamId};
use carawaybarrow_core::permits::{Permit, Permits};
use carawaybarrow_core::quota::{Quota, QuotaCommand, QuotaOutcome, TeamLimit};
use carawaybarrow_core::units::MonoTime;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// Length of a simulation step, in ms.
const TICK: u64 = 100;

/// Time after which a silent entry is removed; shorter than in service, which makes races likelier.
const SILENCE: u64 = 2_000;

/// Time after which a change of the configuration reaches an entry, per entry number.
const LEARN_DELAY: u64 = 300;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// The call doesn't reach the store.
    Before,
    /// The call takes effect, but its answer is lost.
    After,
    /// The call takes effect much later.
    Late,
}

struct Task {
    number: u64,
    owner: (usize, u64),
    ends: u64,
    lease_until: u64,
    durable: bool,
}

struct Token {
    task: u64,
    permit: Permit,
    /// Until then the start may still arrive.
    lease_until: u64,
}

type Running = (Commit<Quota>, Step<QuotaOutcome>);

struct Entry {
    number: usize,
    incarnation: u64,
    permits: Permits,
    known: usize,
    alive: bool,
    paused_until: u64,
    silent_since: Option<u64>,
    removed_at: Option<u64>,
    commit: Option<Running>,
    reclaim: Option<Running>,
    last_batch: Vec<QuotaCommand>,
    tokens: Vec<Token>,
    demand: usize,
}

impl Entry {
    fn id(&self) -> EntryId {
        EntryId::new(format!("e{}", self.number)).unwrap()
    }
}

struct World {
    now: u64,
    version: u64,
    bytes: Vec<u8>,
    older: Vec<(u64, Quota)>,
    late: Vec<(u64, u64, Vec<u8>)>,
    store_up: bool,
    loss: Option<Loss>,
    lose_start: bool,
    repeat: bool,
    /// Limits with the time of their acceptance.
    limits: Vec<(u32, u64)>,
    entries: Vec<Entry>,
    departed: BTreeMap<(usize, u64), u64>,
    tasks: Vec<Task>,
    in_flight: Vec<(u64, Task)>,
    next_number: u64,
    most_running: usize,
    fault: Option<(Fault, At)>,
}

fn team() -> TeamId {
    TeamId::new("clinic").unwrap()
}

impl World {
    fn new(count: usize, limit: u32) -> Self {
        let mut world = Self {
            now: 0,
            version: 0,
            bytes: Vec::new(),
            older: Vec::new(),
            late: Vec::new(),
            store_up: true,
            loss: None,
            lose_start: false,
            repeat: false,
            limits: vec![(limit, 0)],
            entries: Vec::new(),
            departed: BTreeMap::new(),
            tasks: Vec::new(),
            in_flight: Vec::new(),
            next_number: 0,
            most_running: 0,
            fault: None,
        };
        world.entries = (0..count).map(|number| world.make_entry(number, 1)).collect();
        world
    }

    fn make_entry(&self, number: usize, incarnation: u64) -> Entry {
        let id = EntryId::new(format!("e{number}")).unwrap();
        let mut permits = Permits::new(id, Incarnation(incarnation));
        permits.set_limit(&team(), self.limit(self.limits.len() - 1));
        Entry {
            number,
            incarnation,
            permits,
            known: self.limits.len() - 1,
            alive: true,
            paused_until: 0,
            silent_since: None,
            removed_at: None,
            commit: None,
            reclaim: None,
            last_batch: Vec::new(),
            tokens: Vec::new(),
            demand: 0,
        }
    }

    fn limit(&self, index: usize) -> TeamLimit {
        TeamLimit { limit: self.limits[index].0, config_revision: Revision(index as u64 + 1) }
    }

    /// The largest limit that an entry may hold as current, or that a start in flight was checked against.
    fn allowed(&self) -> usize {
        let last = self.limits.len() - 1;
        let least_known = self.entries.iter().map(|e| e.known).min().unwrap_or(last);
        let bound = FRESHNESS_BOUND.0 + SLOT_LEASE_TTL.0;
        let may_count = |i: usize| i == last || (i >= least_known && self.now <= self.limits[i + 1].1 + bound);
        let counting = (0..=last).filter(|i| may_count(*i) || self.is_recent(*i));
        counting.map(|i| self.limits[i].0 as usize).max().unwrap_or(0)
    }

    /// Starts under the limit before may be in flight while the slot lease lasts.
    fn is_recent(&self, index: usize) -> bool {
        let learnt = self.limits[index + 1].1 + self.entries.len() as u64 * LEARN_DELAY;
        self.now <= learnt + SLOT_LEASE_TTL.0
    }

    fn is_active(&self, number: usize) -> bool {
        self.entries[number].alive && self.entries[number].paused_until <= self.now
    }

    /// Stands in for the freshness rule.
    fn is_fresh(&self, number: usize) -> bool {
        let entry = &self.entries[number];
        let is_member = entry.removed_at.is_none_or(|at| self.now < at + FRESHNESS_BOUND.0);
        let is_current = self.limits.get(entry.known + 1).is_none_or(|next| self.now < next.1 + FRESHNESS_BOUND.0);
        is_member && is_current
    }

    fn set_limit(&mut self, limit: u32) {
        if self.store_up {
            self.limits.push((limit, self.now));
        }
    }

    fn kill(&mut self, number: usize) {
        self.entries[number].alive = false;
    }

    fn pause(&mut self, number: usize, ms: u64) {
        self.entries[number].paused_until = self.now + ms;
    }

    /// Starts a new process under the id; the former one departs.
    fn restart(&mut self, number: usize) {
        if !self.store_up {
            return;
        }
        let entry = &self.entries[number];
        let key = (number, entry.incarnation);
        let at = entry.removed_at.unwrap_or(self.now);
        self.departed.entry(key).or_insert(at);
        self.entries[number] = self.make_entry(number, key.1 + 1);
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / TICK {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.run_workers();
        self.deliver_late();
        for number in 0..self.entries.len() {
            self.watch_silence(number);
            if self.is_active(number) {
                self.run_entry(number);
            }
        }
    }

    fn run_workers(&mut self) {
        let now = self.now;
        let (due, later) = self.in_flight.drain(..).partition(|(at, _)| *at <= now);
        self.in_flight = later;
        for (_, task) in due {
            if task.lease_until >= now {
                self.begin(task);
            }
        }
        for task in &mut self.tasks {
            let owner = &self.entries[task.owner.0];
            let renews = owner.alive && owner.paused_until <= now && owner.incarnation == task.owner.1;
            if renews || task.durable {
                task.lease_until = now + SLOT_LEASE_TTL.0;
            }
        }
        self.tasks.retain(|task| task.ends > now && task.lease_until >= now);
        self.most_running = self.most_running.max(self.tasks.len());
    }

    fn begin(&mut self, task: Task) {
        self.tasks.push(task);
        let (running, allowed) = (self.tasks.len(), self.allowed());
        assert!(running <= allowed, "{running} tasks run at {} ms, but the limit is {allowed}", self.now);
    }

    fn deliver_late(&mut self) {
        let now = self.now;
        let (due, later) = self.late.drain(..).partition(|(at, _, _)| *at <= now);
        self.late = later;
        for (_, expect, bytes) in due {
            self.write(expect, bytes);
        }
    }

    fn write(&mut self, expect: u64, bytes: Vec<u8>) -> StoreResponse {
        if expect != self.version {
            return StoreResponse::Conflict;
        }
        self.version += 1;
        let quota = Quota::decode(&bytes).unwrap();
        self.check_document(&quota);
        self.older.push((self.version, quota));
        self.bytes = bytes;
        StoreResponse::Written(StoreVersion(self.version))
    }

    /// Permits may exceed the limit only if they did not grow.
    fn check_document(&self, quota: &Quota) {
        let sum = |quota: &Quota| quota.team(&team()).map_or(0, |t| t.sum());
        let before = self.older.last().map_or(0, |(_, q)| sum(q));
        let limit = quota.team(&team()).map_or(0, |t| t.limit.limit);
        assert!(sum(quota) <= limit.max(before), "{} permits grew beyond the limit {limit}", sum(quota));
    }

    fn watch_silence(&mut self, number: usize) {
        let (now, active) = (self.now, self.is_active(number));
        let entry = &mut self.entries[number];
        if active {
            entry.silent_since = None;
            return;
        }
        let since = *entry.silent_since.get_or_insert(now);
        if now - since >= SILENCE && self.store_up && entry.removed_at.is_none() {
            entry.removed_at = Some(now);
            self.departed.insert((number, entry.incarnation), now);
        }
    }

    fn run_entry(&mut self, number: usize) {
        self.learn(number);
        self.finish_tasks(number);
        self.drive_commit(number);
        self.start_tasks(number);
        self.poll(number);
        self.reclaim(number);
        if self.entries[number].removed_at.is_some_and(|at| self.now > at + RECLAIM_DELAY.0 + 1_000) {
            // The process has read the member list, and goes on as a new incarnation.
            self.restart(number);
        }
    }

    fn learn(&mut self, number: usize) {
        let known = self.entries[number].known;
        let Some(next) = self.limits.get(known + 1) else { return };
        if self.now >= next.1 + number as u64 * LEARN_DELAY {
            let limit = self.limit(known + 1);
            self.entries[number].known += 1;
            self.entries[number].permits.set_limit(&team(), limit);
        }
    }

    fn finish_tasks(&mut self, number: usize) {
        let now = self.now;
        let is_over = |token: &Token, tasks: &[Task]| {
            now > token.lease_until && tasks.iter().all(|task| task.number != token.task)
        };
        let (over, left): (Vec<_>, Vec<_>) =
            self.entries[number].tokens.drain(..).partition(|token| is_over(token, &self.tasks));
        self.entries[number].tokens = left;
        for token in over {
            self.meet(At::Finish, number);
            self.entries[number].permits.release(token.permit, MonoTime(now));
        }
    }

    fn start_tasks(&mut self, number: usize) {
        while self.is_active(number) && self.is_fresh(number) {
            let now = self.now;
            let entry = &mut self.entries[number];
            if entry.tokens.len() >= entry.demand {
                return;
            }
            let Some(permit) = entry.permits.try_acquire(&team(), MonoTime(now)) else { return };
            self.meet(At::Start, number);
            self.send_start(number, permit);
        }
    }

    fn send_start(&mut self, number: usize, permit: Permit) {
        self.next_number += 1;
        let n = self.next_number;
        let lease_until = self.now + SLOT_LEASE_TTL.0;
        let owner = (number, self.entries[number].incarnation);
        // Some tasks outlive the reclaim of the permits of their entry.
        let durable = n.is_multiple_of(3);
        let length = if n.is_multiple_of(9) { 15_000 } else { 300 + n % 7 * 400 };
        let task = Task { number: n, owner, ends: self.now + length, lease_until, durable };
        let lost = std::mem::take(&mut self.lose_start) || !self.is_active(number);
        // Without an answer the entry can't tell whether the start is still on its way.
        let unknown_until = if lost { lease_until } else { self.now };
        self.entries[number].tokens.push(Token { task: n, permit, lease_until: unknown_until });
        if lost {
            self.in_flight.push((self.now + n % 30 * TICK, task));
        } else {
            self.begin(task);
        }
    }

    fn poll(&mut self, number: usize) {
        if self.entries[number].commit.is_some() || !self.is_active(number) {
            return;
        }
        let commands = self.entries[number].permits.next_commands(MonoTime(self.now));
        if commands.is_empty() {
            return;
        }
        for command in &commands {
            match command {
                QuotaCommand::Take { .. } => self.meet(At::Take, number),
                QuotaCommand::Give { .. } => self.meet(At::Give, number),
                _ => {}
            }
        }
        self.entries[number].last_batch = commands.clone();
        let commit = self.make_commit(commands);
        self.entries[number].commit = Some(commit);
    }

    fn make_commit(&mut self, commands: Vec<QuotaCommand>) -> Running {
        self.next_number += 1;
        let id = ChangeId::new(format!("c{}", self.next_number)).unwrap();
        let mut commit = Commit::new(id, commands).with_attempts(3);
        let step = commit.start();
        (commit, step)
    }

    fn drive_commit(&mut self, number: usize) {
        if let Some(mut running) = self.entries[number].commit.take() {
            self.call_store(&mut running);
            self.end_commit(number, running);
        }
        if let Some(mut running) = self.entries[number].reclaim.take() {
            self.call_store(&mut running);
            if matches!(running.1, Step::Read | Step::Write { .. }) {
                self.entries[number].reclaim = Some(running);
            }
        }
    }

    fn end_commit(&mut self, number: usize, (commit, step): Running) {
        let permits = &mut self.entries[number].permits;
        match step {
            Step::Read | Step::Write { .. } => self.entries[number].commit = Some((commit, step)),
            Step::Done { version, .. } => {
                let document = commit.into_document().unwrap();
                permits.apply_commit(version, &document);
                if std::mem::take(&mut self.repeat) {
                    let commands = self.entries[number].last_batch.clone();
                    self.entries[number].reclaim = Some(self.make_commit(commands));
                }
            }
            Step::NotWritten(_) | Step::Unknown => permits.mark_commit_uncertain(),
        }
    }

    fn call_store(&mut self, running: &mut Running) {
        let event = self.answer(&running.1);
        running.1 = running.0.handle_response(event);
    }

    fn answer(&mut self, step: &Step<QuotaOutcome>) -> StoreResponse {
        if !self.store_up {
            return StoreResponse::Lost;
        }
        match step {
            Step::Read if self.version == 0 => StoreResponse::Absent,
            Step::Read => StoreResponse::Value { version: StoreVersion(self.version), bytes: self.bytes.clone() },
            Step::Write { expect, bytes } => match self.loss.take() {
                None => self.write(expect.0, bytes.clone()),
                Some(Loss::Before) => StoreResponse::Lost,
                Some(Loss::After) => {
                    self.write(expect.0, bytes.clone());
                    StoreResponse::Lost
                }
                Some(Loss::Late) => {
                    self.late.push((self.now + 1_500, expect.0, bytes.clone()));
                    StoreResponse::Lost
                }
            },
            _ => panic!("the commit has ended"),
        }
    }

    fn read(&mut self, number: usize, back: usize) {
        if self.store_up
            && let Some(i) = self.older.len().checked_sub(1 + back)
        {
            let (version, quota) = &self.older[i];
            self.entries[number].permits.apply_document(StoreVersion(*version), quota);
        }
    }

    /// Reclaims the permits of departed processes, after the delay, except those of tasks that workers report.
    fn reclaim(&mut self, number: usize) {
        if self.entries[number].reclaim.is_some() || !self.store_up || self.older.is_empty() {
            return;
        }
        let quota = self.older[self.older.len() - 1].1.clone();
        let due = self.departed.iter().find(|((entry, run), at)| {
            let id = self.entries[*entry].id();
            let is_left = !quota.is_fenced(&id, Incarnation(*run)) || !quota.held_by(&id, Incarnation(*run)).is_empty();
            *entry != number && self.now >= **at + RECLAIM_DELAY.0 && is_left
        });
        let Some((&(entry, run), _)) = due else { return };
        self.meet(At::Reclaim, number);
        let used = self.tasks.iter().filter(|task| task.owner == (entry, run)).count();
        let keep = BTreeMap::from([(team(), used as u32)]);
        let command = QuotaCommand::Reclaim { entry: self.entries[entry].id(), incarnation: Incarnation(run), keep };
        let commit = self.make_commit(vec![command]);
        if std::mem::take(&mut self.repeat) {
            let other = (number + 1) % self.entries.len();
            let command = commit_commands(entry, run, used);
            self.entries[other].reclaim = Some(self.make_commit(command));
        }
        self.entries[number].reclaim = Some(commit);
    }

    /// Begins the armed fault when an entry comes to its step.
    fn meet(&mut self, at: At, number: usize) {
        if self.fault.is_some_and(|(_, step)| step == at) {
            let (fault, _) = self.fault.take().unwrap();
            self.start_fault(fault, number);
        }
    }

    fn start_fault(&mut self, fault: Fault, number: usize) {
        match fault {
            Fault::TwoEntries => {
                // The others come to the same decision at the same time.
                let demand = self.entries[number].demand;
                self.entries.iter_mut().for_each(|e| e.demand = demand);
                for other in 0..self.entries.len() {
                    if other != number && self.is_active(other) {
                        self.poll(other);
                    }
                }
            }
            Fault::Paused => self.pause(number, 14_000),
            Fault::Dead => self.kill(number),
            Fault::LostAnswer => self.loss = Some(Loss::After),
            Fault::LateWrite => self.loss = Some(Loss::Late),
            Fault::LostStart => self.lose_start = true,
            Fault::LimitLowered => {
                let limit = self.limits[self.limits.len() - 1].0;
                self.set_limit(limit / 2);
            }
            Fault::Outage => self.store_up = false,
            Fault::Repeated => self.repeat = true,
        }
    }
}

fn commit_commands(entry: usize, run: u64, used: usize) -> Vec<QuotaCommand> {
    let keep = BTreeMap::from([(team(), used as u32)]);
    let entry = EntryId::new(format!("e{entry}")).unwrap();
    vec![QuotaCommand::Reclaim { entry, incarnation: Incarnation(run), keep }]
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    TwoEntries,
    Paused,
    Dead,
    LostAnswer,
    LateWrite,
    LostStart,
    LimitLowered,
    Outage,
    Repeated,
}

const FAULTS: [Fault; 9] = [
    Fault::TwoEntries,
    Fault::Paused,
    Fault::Dead,
    Fault::LostAnswer,
    Fault::LateWrite,
    Fault::LostStart,
    Fault::LimitLowered,
    Fault::Outage,
    Fault::Repeated,
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    Take,
    Start,
    Finish,
    Give,
    Reclaim,
}

const STEPS: [At; 5] = [At::Take, At::Start, At::Finish, At::Give, At::Reclaim];

/// Passes through every step with the fault armed for one of them, then checks that the whole limit can be used.
fn run_cell(fault: Fault, second: Option<Fault>, at: At) {
    let mut world = World::new(3, 12);
    let set_demand = |world: &mut World, demand: [usize; 3]| {
        for (entry, demand) in world.entries.iter_mut().zip(demand) {
            entry.demand = demand;
        }
    };
    world.fault = (at != At::Reclaim).then_some((fault, at));
    set_demand(&mut world, [12, 0, 6]);
    world.advance(4_000);
    set_demand(&mut world, [2, 10, 6]);
    world.advance(6_000);
    world.kill(2);
    if at == At::Reclaim {
        world.fault = Some((fault, at));
    }
    world.advance(6_000);
    set_demand(&mut world, [0, 4, 6]);
    world.advance(24_000);
    assert_eq!(world.fault, None, "{fault:?} at {at:?}: the step was not reached");
    if let Some(second) = second {
        world.start_fault(second, 0);
        set_demand(&mut world, [12, 12, 12]);
        world.advance(5_000);
    }
    world.store_up = true;
    world.advance(20_000);
    for number in 0..3 {
        if !world.entries[number].alive {
            world.restart(number);
        }
    }
    set_demand(&mut world, [12, 12, 12]);
    world.advance(30_000);
    world.most_running = 0;
    world.advance(5_000);
    let limit = world.limits[world.limits.len() - 1].0;
    assert_eq!(world.most_running, limit as usize, "{fault:?}, {second:?} at {at:?}: the limit is not used");
}

/// Guards against more running tasks than the limit, and against permits lost for ever: every fault at every step.
#[test]
fn limits_hold_under_every_fault_at_every_step() {
    for fault in FAULTS {
        for at in STEPS {
            run_cell(fault, None, at);
        }
    }
}

/// Guards against faults that are harmless alone: every pair of faults at every step.
#[test]
fn limits_hold_under_pairs_of_faults() {
    std::thread::scope(|scope| {
        for at in STEPS {
            scope.spawn(move || {
                for first in FAULTS {
                    for second in FAULTS {
                        run_cell(first, Some(second), at);
                    }
                }
            });
        }
    });
}

#[derive(Clone, Debug)]
enum Transition {
    Advance(u64),
    Demand(usize, usize),
    Pause(usize, u64),
    Kill(usize),
    Restart(usize),
    Limit(u32),
    Store(bool),
    Lose(Loss),
    LoseStart,
    Repeat,
    Read(usize, usize),
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = usize;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<usize> {
        (2_usize..=4).boxed()
    }

    fn transitions(count: &usize) -> BoxedStrategy<Transition> {
        let n = || 0..*count;
        prop_oneof![
            8 => (1_u64..=40).prop_map(|t| Transition::Advance(t * TICK)),
            8 => (n(), 0_usize..25).prop_map(|(a, demand)| Transition::Demand(a, demand)),
            2 => (n(), 1_u64..=200).prop_map(|(a, t)| Transition::Pause(a, t * TICK)),
            1 => n().prop_map(Transition::Kill),
            2 => n().prop_map(Transition::Restart),
            2 => (1_u32..=20).prop_map(Transition::Limit),
            2 => any::<bool>().prop_map(Transition::Store),
            3 => prop_oneof![Just(Loss::Before), Just(Loss::After), Just(Loss::Late)].prop_map(Transition::Lose),
            2 => Just(Transition::LoseStart),
            2 => Just(Transition::Repeat),
            3 => (n(), 0_usize..4).prop_map(|(a, back)| Transition::Read(a, back)),
        ]
        .boxed()
    }

    fn apply(state: usize, _: &Transition) -> usize {
        state
    }
}

struct Limits;

impl StateMachineTest for Limits {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test(count: &usize) -> World {
        World::new(*count, 10)
    }

    fn apply(mut world: World, _: &usize, transition: Transition) -> World {
        match transition {
            Transition::Advance(ms) => world.advance(ms),
            Transition::Demand(a, demand) => world.entries[a].demand = demand,
            Transition::Pause(a, ms) => world.pause(a, ms),
            Transition::Kill(a) => world.kill(a),
            Transition::Restart(a) => world.restart(a),
            Transition::Limit(limit) => world.set_limit(limit),
            Transition::Store(up) => world.store_up = up,
            Transition::Lose(loss) => world.loss = Some(loss),
            Transition::LoseStart => world.lose_start = true,
            Transition::Repeat => world.repeat = true,
            Transition::Read(a, back) => world.read(a, back),
        }
        world
    }
}

fn fixed_seed() -> Config {
    Config { cases: 400, rng_seed: RngSeed::Fixed(20_260_705), failure_persistence: None, ..Config::default() }
}

prop_state_machine! {
    #![proptest_config(fixed_seed())]

    /// Guards against more running tasks than the limit in any order of faults.
    #[test]
    fn limits_hold_in_random_orders(sequential 10..120 => Limits);
}
