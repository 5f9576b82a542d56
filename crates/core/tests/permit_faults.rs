//! Team limits under faults: several entries, a store with lost responses and delayed writes, and workers that continue
//! the tasks of entries that were killed.
//!
//! Whenever a task begins on a worker, the team's running tasks must not exceed the largest limit that some entry may
//! still hold as current under the freshness rule.

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

/// Length of a simulation tick, in ms.
const TICK_MS: u64 = 100;

/// Time after which a silent entry is removed; shorter than in production, which makes races more likely.
const SILENCE_BEFORE_REMOVAL_MS: u64 = 2_000;

/// Delay with which a configuration change reaches an entry, multiplied by the number of the entry.
const CONFIG_DELAY_MS: u64 = 300;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// The call doesn't reach the store.
    Before,
    /// The call takes effect, but its response is lost.
    After,
    /// The call takes effect later, and its response is lost.
    Late,
}

struct Task {
    number: u64,
    /// The entry that started the task, with its incarnation.
    entry: (usize, u64),
    ends: u64,
    lease_until: u64,
    /// Whether the slot lease is renewed without the entry, so that the task continues after the entry was killed.
    outlives_entry: bool,
}

struct HeldPermit {
    task: u64,
    permit: Permit,
    /// Time until which the start may still reach the worker.
    lease_until: u64,
}

type RunningCommit = (Commit<Quota>, Step<QuotaOutcome>);

struct Entry {
    number: usize,
    incarnation: u64,
    permits: Permits,
    known_limit: usize,
    alive: bool,
    paused_until: u64,
    silent_since: Option<u64>,
    removed_at: Option<u64>,
    commit: Option<RunningCommit>,
    /// Commit whose result isn't applied to `permits`: a reclaim or a repeated batch.
    side_commit: Option<RunningCommit>,
    last_batch: Vec<QuotaCommand>,
    held_permits: Vec<HeldPermit>,
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
    history: Vec<(u64, Quota)>,
    late_writes: Vec<(u64, u64, Vec<u8>)>,
    store_up: bool,
    loss: Option<Loss>,
    lose_start: bool,
    repeat: bool,
    /// Limits, each with the time of its acceptance.
    limits: Vec<(u32, u64)>,
    entries: Vec<Entry>,
    departed: BTreeMap<(usize, u64), u64>,
    tasks: Vec<Task>,
    in_flight: Vec<(u64, Task)>,
    next_number: u64,
    most_running: usize,
    /// Fault that starts when an entry reaches the step.
    armed_fault: Option<(Fault, ProtocolStep)>,
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
            history: Vec::new(),
            late_writes: Vec::new(),
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
            armed_fault: None,
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
            known_limit: self.limits.len() - 1,
            alive: true,
            paused_until: 0,
            silent_since: None,
            removed_at: None,
            commit: None,
            side_commit: None,
            last_batch: Vec::new(),
            held_permits: Vec::new(),
            demand: 0,
        }
    }

    fn limit(&self, index: usize) -> TeamLimit {
        TeamLimit { limit: self.limits[index].0, config_revision: Revision(index as u64 + 1) }
    }

    /// The largest limit that an entry may hold as current, or against which a start in flight was checked.
    fn allowed(&self) -> usize {
        let last = self.limits.len() - 1;
        let oldest_known_limit = self.entries.iter().map(|e| e.known_limit).min().unwrap_or(last);
        let bound = FRESHNESS_BOUND.0 + SLOT_LEASE_TTL.0;
        let may_count = |i: usize| i == last || (i >= oldest_known_limit && self.now <= self.limits[i + 1].1 + bound);
        let counting = (0..=last).filter(|i| may_count(*i) || self.may_be_in_flight(*i));
        counting.map(|i| self.limits[i].0 as usize).max().unwrap_or(0)
    }

    /// Whether starts under this limit may be in flight although all entries know the next one: for as long as a slot
    /// lease lasts.
    fn may_be_in_flight(&self, index: usize) -> bool {
        let known_to_all_at = self.limits[index + 1].1 + self.entries.len() as u64 * CONFIG_DELAY_MS;
        self.now <= known_to_all_at + SLOT_LEASE_TTL.0
    }

    fn is_active(&self, number: usize) -> bool {
        self.entries[number].alive && self.entries[number].paused_until <= self.now
    }

    /// Simplified form of the freshness rule.
    fn is_fresh(&self, number: usize) -> bool {
        let entry = &self.entries[number];
        let is_member = entry.removed_at.is_none_or(|at| self.now < at + FRESHNESS_BOUND.0);
        let is_current =
            self.limits.get(entry.known_limit + 1).is_none_or(|next| self.now < next.1 + FRESHNESS_BOUND.0);
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

    /// Starts a new process under the id; the previous one departs.
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
        for _ in 0..ms / TICK_MS {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        self.run_workers();
        self.deliver_late();
        for number in 0..self.entries.len() {
            self.track_silence(number);
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
                self.begin_task(task);
            }
        }
        for task in &mut self.tasks {
            let entry = &self.entries[task.entry.0];
            let renews = entry.alive && entry.paused_until <= now && entry.incarnation == task.entry.1;
            if renews || task.outlives_entry {
                task.lease_until = now + SLOT_LEASE_TTL.0;
            }
        }
        self.tasks.retain(|task| task.ends > now && task.lease_until >= now);
        self.most_running = self.most_running.max(self.tasks.len());
    }

    fn begin_task(&mut self, task: Task) {
        self.tasks.push(task);
        let (running, allowed) = (self.tasks.len(), self.allowed());
        assert!(running <= allowed, "{running} tasks run at {} ms, but the limit is {allowed}", self.now);
    }

    fn deliver_late(&mut self) {
        let now = self.now;
        let (due, later) = self.late_writes.drain(..).partition(|(at, _, _)| *at <= now);
        self.late_writes = later;
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
        self.history.push((self.version, quota));
        self.bytes = bytes;
        StoreResponse::Written(StoreVersion(self.version))
    }

    /// Checks that the sum of permits did not grow beyond the limit; it may stay above a lowered one.
    fn check_document(&self, quota: &Quota) {
        let sum = |quota: &Quota| quota.team(&team()).map_or(0, |t| t.sum());
        let before = self.history.last().map_or(0, |(_, q)| sum(q));
        let limit = quota.team(&team()).map_or(0, |t| t.limit.limit);
        assert!(sum(quota) <= limit.max(before), "the permits grew to {}, beyond the limit {limit}", sum(quota));
    }

    fn track_silence(&mut self, number: usize) {
        let (now, active) = (self.now, self.is_active(number));
        let entry = &mut self.entries[number];
        if active {
            entry.silent_since = None;
            return;
        }
        let since = *entry.silent_since.get_or_insert(now);
        if now - since >= SILENCE_BEFORE_REMOVAL_MS && self.store_up && entry.removed_at.is_none() {
            entry.removed_at = Some(now);
            self.departed.insert((number, entry.incarnation), now);
        }
    }

    fn run_entry(&mut self, number: usize) {
        self.apply_limit_change(number);
        self.finish_tasks(number);
        self.advance_commits(number);
        self.start_tasks(number);
        self.begin_commit(number);
        self.reclaim(number);
        if self.entries[number].removed_at.is_some_and(|at| self.now > at + RECLAIM_DELAY.0 + 1_000) {
            // The process has read the member list without itself, and joins again as a new incarnation.
            self.restart(number);
        }
    }

    fn apply_limit_change(&mut self, number: usize) {
        let known_limit = self.entries[number].known_limit;
        let Some(next) = self.limits.get(known_limit + 1) else { return };
        if self.now >= next.1 + number as u64 * CONFIG_DELAY_MS {
            let limit = self.limit(known_limit + 1);
            self.entries[number].known_limit += 1;
            self.entries[number].permits.set_limit(&team(), limit);
        }
    }

    fn finish_tasks(&mut self, number: usize) {
        let now = self.now;
        let is_over = |held_permit: &HeldPermit, tasks: &[Task]| {
            now > held_permit.lease_until && tasks.iter().all(|task| task.number != held_permit.task)
        };
        let (over, left): (Vec<_>, Vec<_>) =
            self.entries[number].held_permits.drain(..).partition(|held_permit| is_over(held_permit, &self.tasks));
        self.entries[number].held_permits = left;
        for held_permit in over {
            self.trigger_fault(ProtocolStep::Finish, number);
            self.entries[number].permits.release(held_permit.permit, MonoTime(now));
        }
    }

    fn start_tasks(&mut self, number: usize) {
        while self.is_active(number) && self.is_fresh(number) {
            let now = self.now;
            let entry = &mut self.entries[number];
            if entry.held_permits.len() >= entry.demand {
                return;
            }
            let Some(permit) = entry.permits.try_acquire(&team(), MonoTime(now)) else { return };
            self.trigger_fault(ProtocolStep::Start, number);
            self.send_start(number, permit);
        }
    }

    fn send_start(&mut self, number: usize, permit: Permit) {
        self.next_number += 1;
        let n = self.next_number;
        let lease_until = self.now + SLOT_LEASE_TTL.0;
        let entry = (number, self.entries[number].incarnation);
        // Some tasks outlive the reclaim of the permits of their entry.
        let outlives_entry = n.is_multiple_of(3);
        let length = if n.is_multiple_of(9) { 15_000 } else { 300 + n % 7 * 400 };
        let task = Task { number: n, entry, ends: self.now + length, lease_until, outlives_entry };
        let lost = std::mem::take(&mut self.lose_start) || !self.is_active(number);
        // Without a response the entry can't tell whether the start is still in flight.
        let unknown_until = if lost { lease_until } else { self.now };
        self.entries[number].held_permits.push(HeldPermit { task: n, permit, lease_until: unknown_until });
        if lost {
            self.in_flight.push((self.now + n % 30 * TICK_MS, task));
        } else {
            self.begin_task(task);
        }
    }

    fn begin_commit(&mut self, number: usize) {
        if self.entries[number].commit.is_some() || !self.is_active(number) {
            return;
        }
        let commands = self.entries[number].permits.next_commands(MonoTime(self.now));
        if commands.is_empty() {
            return;
        }
        for command in &commands {
            match command {
                QuotaCommand::Take { .. } => self.trigger_fault(ProtocolStep::Take, number),
                QuotaCommand::Give { .. } => self.trigger_fault(ProtocolStep::Give, number),
                _ => {}
            }
        }
        self.entries[number].last_batch = commands.clone();
        let commit = self.make_commit(commands);
        self.entries[number].commit = Some(commit);
    }

    fn make_commit(&mut self, commands: Vec<QuotaCommand>) -> RunningCommit {
        self.next_number += 1;
        let id = ChangeId::new(format!("c{}", self.next_number)).unwrap();
        let mut commit = Commit::new(id, commands).with_attempts(3);
        let step = commit.start();
        (commit, step)
    }

    fn advance_commits(&mut self, number: usize) {
        if let Some(mut running) = self.entries[number].commit.take() {
            self.call_store(&mut running);
            self.end_commit(number, running);
        }
        if let Some(mut running) = self.entries[number].side_commit.take() {
            self.call_store(&mut running);
            if matches!(running.1, Step::Read | Step::Write { .. }) {
                self.entries[number].side_commit = Some(running);
            }
        }
    }

    fn end_commit(&mut self, number: usize, (commit, step): RunningCommit) {
        let permits = &mut self.entries[number].permits;
        match step {
            Step::Read | Step::Write { .. } => self.entries[number].commit = Some((commit, step)),
            Step::Done { version, .. } => {
                let document = commit.into_document().unwrap();
                permits.apply_commit(version, &document);
                if std::mem::take(&mut self.repeat) {
                    let commands = self.entries[number].last_batch.clone();
                    self.entries[number].side_commit = Some(self.make_commit(commands));
                }
            }
            Step::NotWritten(_) | Step::Unknown => permits.mark_commit_uncertain(),
        }
    }

    fn call_store(&mut self, running: &mut RunningCommit) {
        let response = self.respond(&running.1);
        running.1 = running.0.handle_response(response);
    }

    fn respond(&mut self, step: &Step<QuotaOutcome>) -> StoreResponse {
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
                    self.late_writes.push((self.now + 1_500, expect.0, bytes.clone()));
                    StoreResponse::Lost
                }
            },
            _ => panic!("the commit has ended"),
        }
    }

    fn read(&mut self, number: usize, back: usize) {
        if self.store_up
            && let Some(i) = self.history.len().checked_sub(1 + back)
        {
            let (version, quota) = &self.history[i];
            self.entries[number].permits.apply_document(StoreVersion(*version), quota);
        }
    }

    /// Reclaims the permits of departed processes, after the delay, except those of tasks that workers report.
    fn reclaim(&mut self, number: usize) {
        if self.entries[number].side_commit.is_some() || !self.store_up || self.history.is_empty() {
            return;
        }
        let quota = self.history[self.history.len() - 1].1.clone();
        let due = self.departed.iter().find(|((entry, incarnation), at)| {
            let id = self.entries[*entry].id();
            let is_left = !quota.is_fenced(&id, Incarnation(*incarnation))
                || !quota.held_by(&id, Incarnation(*incarnation)).is_empty();
            *entry != number && self.now >= **at + RECLAIM_DELAY.0 && is_left
        });
        let Some((&(entry, incarnation), _)) = due else { return };
        self.trigger_fault(ProtocolStep::Reclaim, number);
        let used = self.tasks.iter().filter(|task| task.entry == (entry, incarnation)).count();
        let keep = BTreeMap::from([(team(), used as u32)]);
        let command =
            QuotaCommand::Reclaim { entry: self.entries[entry].id(), incarnation: Incarnation(incarnation), keep };
        let commit = self.make_commit(vec![command]);
        if std::mem::take(&mut self.repeat) {
            let other = (number + 1) % self.entries.len();
            let command = reclaim_commands(entry, incarnation, used);
            self.entries[other].side_commit = Some(self.make_commit(command));
        }
        self.entries[number].side_commit = Some(commit);
    }

    /// Starts the armed fault if an entry reaches its step.
    fn trigger_fault(&mut self, at: ProtocolStep, number: usize) {
        if self.armed_fault.is_some_and(|(_, step)| step == at) {
            let (fault, _) = self.armed_fault.take().unwrap();
            self.start_fault(fault, number);
        }
    }

    fn start_fault(&mut self, fault: Fault, number: usize) {
        match fault {
            Fault::TwoEntries => {
                // The others make the same decision at the same time.
                let demand = self.entries[number].demand;
                self.entries.iter_mut().for_each(|e| e.demand = demand);
                for other in 0..self.entries.len() {
                    if other != number && self.is_active(other) {
                        self.begin_commit(other);
                    }
                }
            }
            Fault::Paused => self.pause(number, 14_000),
            Fault::Dead => self.kill(number),
            Fault::LostResponse => self.loss = Some(Loss::After),
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

fn reclaim_commands(entry: usize, incarnation: u64, used: usize) -> Vec<QuotaCommand> {
    let keep = BTreeMap::from([(team(), used as u32)]);
    let entry = EntryId::new(format!("e{entry}")).unwrap();
    vec![QuotaCommand::Reclaim { entry, incarnation: Incarnation(incarnation), keep }]
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    TwoEntries,
    Paused,
    Dead,
    LostResponse,
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
    Fault::LostResponse,
    Fault::LateWrite,
    Fault::LostStart,
    Fault::LimitLowered,
    Fault::Outage,
    Fault::Repeated,
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum ProtocolStep {
    Take,
    Start,
    Finish,
    Give,
    Reclaim,
}

const STEPS: [ProtocolStep; 5] =
    [ProtocolStep::Take, ProtocolStep::Start, ProtocolStep::Finish, ProtocolStep::Give, ProtocolStep::Reclaim];

/// Runs through every step with the fault armed for one of them, then checks that the whole limit can be used.
fn run_scenario(fault: Fault, second: Option<Fault>, at: ProtocolStep) {
    let mut world = World::new(3, 12);
    let set_demand = |world: &mut World, demand: [usize; 3]| {
        for (entry, demand) in world.entries.iter_mut().zip(demand) {
            entry.demand = demand;
        }
    };
    world.armed_fault = (at != ProtocolStep::Reclaim).then_some((fault, at));
    set_demand(&mut world, [12, 0, 6]);
    world.advance(4_000);
    set_demand(&mut world, [2, 10, 6]);
    world.advance(6_000);
    world.kill(2);
    if at == ProtocolStep::Reclaim {
        world.armed_fault = Some((fault, at));
    }
    world.advance(6_000);
    set_demand(&mut world, [0, 4, 6]);
    world.advance(24_000);
    assert_eq!(world.armed_fault, None, "{fault:?} at {at:?}: the step was not reached");
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
    assert_eq!(world.most_running, limit as usize, "{fault:?}, {second:?} at {at:?}: the limit can't be used up");
}

/// Guards against more running tasks than the limit, and against permits that are lost for good, when a fault begins
/// just as an entry takes, uses, returns or reclaims permits.
#[test]
fn limits_hold_under_every_fault_at_every_step() {
    for fault in FAULTS {
        for at in STEPS {
            run_scenario(fault, None, at);
        }
    }
}

/// Guards against faults that are harmless alone but not together: after every fault at every step, a second one starts
/// while all entries have demand.
#[test]
fn limits_hold_under_pairs_of_faults() {
    std::thread::scope(|scope| {
        for at in STEPS {
            scope.spawn(move || {
                for first in FAULTS {
                    for second in FAULTS {
                        run_scenario(first, Some(second), at);
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
            8 => (1_u64..=40).prop_map(|t| Transition::Advance(t * TICK_MS)),
            8 => (n(), 0_usize..25).prop_map(|(a, demand)| Transition::Demand(a, demand)),
            2 => (n(), 1_u64..=200).prop_map(|(a, t)| Transition::Pause(a, t * TICK_MS)),
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

    /// Guards against more running tasks than the limit, whatever the order of faults, restarts, demand and changes of
    /// the limit.
    #[test]
    fn limits_hold_in_random_orders(sequential 10..120 => Limits);
}
