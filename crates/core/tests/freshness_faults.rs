//! Key withdrawals under faults: several entries, a store with stale replicas, pauses, partitions and changes of
//! the members.
//!
//! Revision R of the configuration withdraws key R. An entry that is fresh with an older configuration would use
//! that key, which it must not do after any entry has reported revision R as in force.

use std::collections::BTreeMap;

use carawaybarrow_core::commit::Document;
use carawaybarrow_core::freshness::SLOT_LEASE_TTL;
use carawaybarrow_core::ids::{DataCentreId, EntryId, Incarnation, Revision};
use carawaybarrow_core::membership::{
    Freshness, FreshnessBasis, Heartbeat, Members, MembersCommand, ProbeResult, Process, StaleReason,
};
use carawaybarrow_core::units::{Millis, MonoTime, WallTime};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// Length of a simulation tick, in ms.
const TICK_MS: u64 = 100;

/// Short, so that the tests run beyond it.
const OUTAGE_LIMIT: Millis = Millis(60_000);

enum Message {
    Probe { sent: MonoTime, reported: Option<(Revision, u64)> },
    HeartbeatResponse { sent: MonoTime, heartbeat: Heartbeat, config: Revision, members: Members },
}

struct Entry {
    number: usize,
    incarnation: u64,
    freshness: Freshness,
    config: Revision,
    inbox: Vec<(u64, Message)>,
    running: bool,
    paused: bool,
    /// Configuration and time of a successful freshness check just before a pause; the start follows after the pause.
    pending_start: Option<(Revision, u64)>,
    /// Simulated time at which the entry's clock starts, and the rate of the clock in thousandths.
    started_at: u64,
    clock_rate: u64,
}

impl Entry {
    fn id(&self) -> EntryId {
        entry_id(self.number)
    }

    fn clock(&self, now: u64) -> MonoTime {
        MonoTime((now - self.started_at) * self.clock_rate / 1_000)
    }

    fn check_freshness(&self, now: u64) -> Result<FreshnessBasis, StaleReason> {
        self.freshness.check_freshness(self.clock(now))
    }

    fn apply_config(&mut self, config: Revision, now: u64) {
        if config > self.config {
            self.config = config;
            self.freshness.apply_config_revision(config, self.clock(now));
        }
    }
}

struct World {
    now: u64,
    store_up: bool,
    config: Revision,
    members: Members,
    /// State that reads from stale replicas return.
    replica_state: (Revision, Members),
    stale_reads: bool,
    /// Whether peers send member lists without the configuration, which is the more dangerous order.
    members_only: bool,
    delay: u64,
    entries: Vec<Entry>,
    cut_from_store: Vec<bool>,
    cut: BTreeMap<(usize, usize), bool>,
    in_force: BTreeMap<Revision, u64>,
    last_fresh: BTreeMap<(EntryId, u64), u64>,
    reclaimed: BTreeMap<(EntryId, u64), u64>,
}

fn entry_id(number: usize) -> EntryId {
    EntryId::new(format!("e{number}")).unwrap()
}

fn new_freshness(number: usize, incarnation: u64) -> Freshness {
    Freshness::new(entry_id(number), Incarnation(incarnation)).with_outage_limit(OUTAGE_LIMIT)
}

impl World {
    fn new(count: usize) -> Self {
        let mut world = Self {
            now: 0,
            store_up: true,
            config: Revision(1),
            members: Members::default(),
            replica_state: (Revision(1), Members::default()),
            stale_reads: false,
            members_only: false,
            delay: 0,
            entries: Vec::new(),
            cut_from_store: vec![false; count],
            cut: BTreeMap::new(),
            in_force: BTreeMap::new(),
            last_fresh: BTreeMap::new(),
            reclaimed: BTreeMap::new(),
        };
        for number in 0..count {
            world.entries.push(Entry {
                number,
                incarnation: 0,
                freshness: new_freshness(number, 0),
                config: Revision(0),
                inbox: Vec::new(),
                running: false,
                paused: false,
                pending_start: None,
                started_at: 0,
                clock_rate: 1_000,
            });
            world.restart(number);
        }
        world.advance(8_000);
        world
    }

    fn reaches_store(&self, number: usize) -> bool {
        self.store_up && !self.cut_from_store[number]
    }

    fn is_linked(&self, a: usize, b: usize) -> bool {
        !self.cut.get(&(a.min(b), a.max(b))).copied().unwrap_or(false)
    }

    fn set_cut(&mut self, a: usize, b: usize, cut: bool) {
        self.cut.insert((a.min(b), a.max(b)), cut);
    }

    fn cut_from_peers(&mut self, number: usize, cut: bool) {
        for other in 0..self.entries.len() {
            self.set_cut(number, other, cut);
        }
    }

    fn read_store(&self) -> (Revision, Members) {
        if self.stale_reads { self.replica_state.clone() } else { (self.config, self.members.clone()) }
    }

    fn change_members(&mut self, command: &MembersCommand) {
        self.members.apply(command);
    }

    /// Starts a new process under an id. Without the store it can't join, and the entry stays stopped.
    fn restart(&mut self, number: usize) {
        self.entries[number].running = false;
        if !self.reaches_store(number) {
            return;
        }
        let now = self.now;
        let process = Process {
            incarnation: Incarnation(self.entries[number].incarnation + 1),
            peer_address: "10.0.0.1:7001".parse().unwrap(),
            client_address: "10.0.0.1:8001".parse().unwrap(),
            data_centre: DataCentreId::new("dc1").unwrap(),
            joined_at: WallTime(now),
        };
        self.change_members(&MembersCommand::Join { entry: entry_id(number), process });
        let (config, _) = self.read_store();
        let members = self.members.clone();
        let entry = &mut self.entries[number];
        entry.incarnation += 1;
        entry.freshness = new_freshness(number, entry.incarnation);
        entry.config = Revision(0);
        entry.inbox.clear();
        entry.running = true;
        entry.paused = false;
        entry.pending_start = None;
        entry.started_at = now;
        entry.clock_rate = [1_000, 1_005, 995][number % 3];
        entry.freshness.apply_members(&members, MonoTime(0));
        entry.apply_config(config, now);
    }

    fn kill(&mut self, number: usize) {
        self.entries[number].running = false;
    }

    fn pause(&mut self, number: usize) {
        let now = self.now;
        let entry = &mut self.entries[number];
        if entry.running && !entry.paused {
            entry.paused = true;
            entry.pending_start = entry.check_freshness(now).ok().map(|_| (entry.config, now));
        }
    }

    fn resume(&mut self, number: usize) {
        let (now, entry) = (self.now, &mut self.entries[number]);
        entry.paused = false;
        let Some((config, checked_at)) = entry.pending_start.take() else { return };
        // The worker refuses a start whose slot lease, granted before the check, has expired.
        if now - checked_at > SLOT_LEASE_TTL.0 {
            return;
        }
        for (revision, at) in &self.in_force {
            assert!(
                config >= *revision || now <= at + SLOT_LEASE_TTL.0,
                "job started with a withdrawn key after a pause"
            );
        }
    }

    /// Withdraws a key at the entry, if it runs and reaches the store.
    fn withdraw(&mut self, number: usize) {
        let entry = &self.entries[number];
        if entry.running && !entry.paused && self.reaches_store(number) {
            self.config = self.config.next();
            let (config, now) = (self.config, self.now);
            self.entries[number].apply_config(config, now);
        }
    }

    fn remove(&mut self, by: usize, number: usize) {
        let entry = &self.entries[by];
        if by != number && entry.running && !entry.paused && self.reaches_store(by) {
            let incarnation = Incarnation(self.entries[number].incarnation);
            self.change_members(&MembersCommand::Remove { entry: entry_id(number), incarnation });
        }
    }

    fn leave(&mut self, number: usize) {
        let entry = &self.entries[number];
        if entry.running && !entry.paused && self.reaches_store(number) {
            let incarnation = Incarnation(entry.incarnation);
            self.change_members(&MembersCommand::Leave { entry: entry_id(number), incarnation });
            self.kill(number);
        }
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.now += TICK_MS;
            for number in 0..self.entries.len() {
                if self.entries[number].running && !self.entries[number].paused {
                    self.tick_entry(number);
                }
            }
            self.check_invariants();
        }
    }

    fn tick_entry(&mut self, number: usize) {
        self.handle_messages(number);
        let staggered_tick = self.now / TICK_MS + number as u64;
        if staggered_tick.is_multiple_of(10) {
            self.probe(number);
        }
        if staggered_tick.is_multiple_of(5) {
            self.send_heartbeats(number);
        }
        if self.reaches_store(number) && staggered_tick.is_multiple_of(5) {
            self.maintain_members(number);
        }
    }

    fn handle_messages(&mut self, number: usize) {
        let now = self.now;
        let (arrived, later) = self.entries[number].inbox.drain(..).partition(|(at, _)| *at <= now);
        self.entries[number].inbox = later;
        for (_, message) in arrived {
            match message {
                Message::Probe { sent, reported } => self.handle_probe_result(number, sent, reported),
                Message::HeartbeatResponse { sent, heartbeat, config, members } => {
                    let entry = &mut self.entries[number];
                    if entry.freshness.handle_answer(heartbeat, sent, entry.clock(now)) {
                        entry.freshness.apply_members(&members, entry.clock(now));
                        if !self.members_only {
                            entry.apply_config(config, now);
                        }
                    }
                }
            }
        }
    }

    fn handle_probe_result(&mut self, number: usize, sent: MonoTime, reported: Option<(Revision, u64)>) {
        let (now, reachable, read) = (self.now, self.reaches_store(number), self.read_store());
        let entry = &mut self.entries[number];
        let clock = entry.clock(now);
        let Some((config, members)) = reported else {
            return entry.freshness.handle_probe(sent, ProbeResult::NotReachable, clock);
        };
        let config_current = config == entry.config;
        let members_current = members == entry.freshness.members().revision.0;
        entry.freshness.handle_probe(sent, ProbeResult::Answered { config_current, members_current }, clock);
        if reachable && !(config_current && members_current) {
            entry.freshness.apply_members(&read.1, clock);
            entry.apply_config(read.0, now);
        }
        let entry = &self.entries[number];
        let members = entry.freshness.members();
        let is_member = members.contains(&entry.id(), Incarnation(entry.incarnation));
        if !is_member && reachable {
            // The process joins again under a new incarnation.
            self.restart(number);
        }
    }

    fn probe(&mut self, number: usize) {
        let reported = self.reaches_store(number).then_some((self.config, self.members.revision.0));
        let at = self.now + self.delay;
        let entry = &mut self.entries[number];
        let sent = entry.clock(self.now);
        entry.inbox.push((at, Message::Probe { sent, reported }));
    }

    fn send_heartbeats(&mut self, number: usize) {
        let members = self.entries[number].freshness.members().clone();
        for other in 0..self.entries.len() {
            let listed = members.current.contains_key(&entry_id(other))
                || members.departed.iter().any(|d| d.entry == entry_id(other));
            if other != number && listed && self.is_linked(number, other) {
                self.send_heartbeat(number, other);
            }
        }
    }

    fn send_heartbeat(&mut self, from: usize, to: usize) {
        let now = self.now;
        let (sender, receiver) = (&self.entries[from], &self.entries[to]);
        let sent = sender.clock(now);
        let (id, incarnation) = (receiver.id(), Incarnation(receiver.incarnation));
        if !receiver.running {
            return self.entries[from].freshness.confirmations_mut().record_connection_refused(&id, incarnation, sent);
        }
        if receiver.paused {
            return;
        }
        let request = sender.freshness.heartbeat(&id, incarnation, sent);
        let receiver = &mut self.entries[to];
        let clock = receiver.clock(now);
        receiver.freshness.handle_heartbeat(&request, clock);
        let heartbeat = receiver.freshness.heartbeat(&request.entry, request.incarnation, clock);
        let (config, members) = (receiver.config, receiver.freshness.members().clone());
        let at = now + self.delay;
        self.entries[from].inbox.push((at, Message::HeartbeatResponse { sent, heartbeat, config, members }));
    }

    /// Commits the changes of the members that an entry finds due: removals, superseded lists and reclaimed processes.
    fn maintain_members(&mut self, number: usize) {
        let entry = &self.entries[number];
        let clock = entry.clock(self.now);
        let mut commands = Vec::new();
        for (silent_entry, incarnation) in entry.freshness.find_silent(clock) {
            commands.push(MembersCommand::Remove { entry: silent_entry, incarnation });
        }
        if let Some(revision) = entry.freshness.confirmations().find_oldest_list_in_use(clock) {
            commands.push(MembersCommand::Settle { revision });
        }
        for departed in &entry.freshness.members().departed {
            let (id, incarnation) = (departed.entry.clone(), departed.incarnation);
            if entry.freshness.confirmations().may_reclaim(&id, incarnation, clock).is_ok() {
                self.reclaimed.entry((id.clone(), incarnation.0)).or_insert(self.now);
                commands.push(MembersCommand::Forget { entry: id, incarnation });
            }
        }
        for command in commands {
            self.change_members(&command);
        }
    }

    fn check_invariants(&mut self) {
        for entry in self.entries.iter().filter(|e| e.running && !e.paused) {
            for revision in (1..=self.config.0).map(Revision) {
                if self.in_force.contains_key(&revision) {
                    continue;
                }
                let in_force = entry.freshness.confirmations().check_in_force(revision, entry.clock(self.now));
                if in_force.basis.is_some() {
                    self.in_force.entry(revision).or_insert(self.now);
                }
            }
        }
        for entry in self.entries.iter().filter(|e| e.running && !e.paused) {
            let Ok(basis) = entry.check_freshness(self.now) else { continue };
            let key = (entry.id(), entry.incarnation);
            for (revision, at) in &self.in_force {
                assert!(
                    entry.config >= *revision,
                    "{key:?} is fresh by {basis:?} with revision {} at {} ms, but revision {revision} is in force since {at} ms",
                    entry.config,
                    self.now
                );
            }
            assert!(
                !self.reclaimed.contains_key(&key),
                "{key:?} is fresh by {basis:?}, but its permits were reclaimed"
            );
            self.last_fresh.insert(key, self.now);
        }
        for (key, at) in &self.reclaimed {
            let last = self.last_fresh.get(key).copied().unwrap_or(0);
            assert!(
                *at >= last + SLOT_LEASE_TTL.0,
                "{key:?} was fresh {} ms before its permits were reclaimed",
                at - last
            );
        }
    }

    fn count_fresh(&self) -> usize {
        self.entries.iter().filter(|e| e.running && !e.paused && e.check_freshness(self.now).is_ok()).count()
    }
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    CutOff,
    CutFromStore,
    Paused,
    StaleReplica,
    Restarted,
    Replaced,
    Removed,
    Left,
    Outage,
    Partition,
    SlowResponses,
}

const FAULTS: [Fault; 11] = [
    Fault::CutOff,
    Fault::CutFromStore,
    Fault::Paused,
    Fault::StaleReplica,
    Fault::Restarted,
    Fault::Replaced,
    Fault::Removed,
    Fault::Left,
    Fault::Outage,
    Fault::Partition,
    Fault::SlowResponses,
];

/// Points in a withdrawal at which faults begin.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WithdrawalPoint {
    BeforeWithdrawal,
    AfterAcceptance,
    WhileConfirming,
    AfterInForce,
}

const WITHDRAWAL_POINTS: [WithdrawalPoint; 4] = [
    WithdrawalPoint::BeforeWithdrawal,
    WithdrawalPoint::AfterAcceptance,
    WithdrawalPoint::WhileConfirming,
    WithdrawalPoint::AfterInForce,
];

impl World {
    fn start_fault(&mut self, fault: Fault, number: usize) {
        match fault {
            Fault::CutOff => {
                self.cut_from_store[number] = true;
                self.cut_from_peers(number, true);
            }
            Fault::CutFromStore => self.cut_from_store[number] = true,
            Fault::Paused => self.pause(number),
            Fault::StaleReplica => {
                self.replica_state = (self.config, self.members.clone());
                self.stale_reads = true;
            }
            Fault::Restarted => self.restart(number),
            Fault::Replaced => {
                self.kill(number);
                self.advance(1_000);
                self.restart(number);
            }
            Fault::Removed => self.remove(0, number),
            Fault::Left => self.leave(number),
            Fault::Outage => self.store_up = false,
            Fault::Partition => {
                let count = self.entries.len();
                for a in 0..count {
                    for b in 0..count {
                        self.set_cut(a, b, (a < count / 2) != (b < count / 2));
                    }
                    self.cut_from_store[a] = a >= count / 2;
                }
            }
            Fault::SlowResponses => self.delay = 2_000,
        }
    }

    fn end_faults(&mut self) {
        self.store_up = true;
        self.stale_reads = false;
        self.delay = 0;
        self.cut.clear();
        self.cut_from_store.fill(false);
        for number in 0..self.entries.len() {
            self.resume(number);
            if !self.entries[number].running {
                self.restart(number);
            }
        }
    }
}

fn run_withdrawal(count: usize, faults: &[Fault], point: WithdrawalPoint) {
    let mut world = World::new(count);
    let inject = |world: &mut World, at: WithdrawalPoint| {
        if at == point {
            for (i, fault) in faults.iter().enumerate() {
                world.start_fault(*fault, count - 1 - i);
            }
        }
    };
    inject(&mut world, WithdrawalPoint::BeforeWithdrawal);
    // During an outage or partition the withdrawal may be refused. It is tried again after the fault.
    world.withdraw(0);
    inject(&mut world, WithdrawalPoint::AfterAcceptance);
    world.advance(500);
    inject(&mut world, WithdrawalPoint::WhileConfirming);
    world.advance(8_000);
    inject(&mut world, WithdrawalPoint::AfterInForce);
    world.advance(50_000);
    world.end_faults();
    world.advance(12_000);
    world.withdraw(0);
    world.advance(12_000);
    let (fresh, last) = (world.count_fresh(), world.config);
    assert_eq!(fresh, count, "{faults:?} at {point:?}: not all entries are fresh after the faults");
    assert!(world.in_force.contains_key(&last), "{faults:?} at {point:?}: revision {last} is not in force");
}

/// Runs every fault and every pair of faults at every point of a withdrawal. Returns the number of runs.
fn run_matrix(count: usize) -> usize {
    let run_point = |point: WithdrawalPoint| {
        for first in FAULTS {
            run_withdrawal(count, &[first], point);
            for second in FAULTS {
                run_withdrawal(count, &[first, second], point);
            }
        }
        FAULTS.len() * (FAULTS.len() + 1)
    };
    std::thread::scope(|scope| {
        let threads = WITHDRAWAL_POINTS.map(|point| scope.spawn(move || run_point(point)));
        threads.into_iter().map(|thread| thread.join().expect("a simulation run failed")).sum()
    })
}

/// Guards against the use of a withdrawn key when faults coincide with its withdrawal. Of three entries, one fault
/// leaves just a majority.
#[test]
fn withdrawn_keys_are_not_used_under_faults_with_three_entries() {
    assert_eq!(run_matrix(3), 528);
}

/// Guards against the use of a withdrawn key when faults coincide with its withdrawal. Of four entries, half are no
/// majority.
#[test]
fn withdrawn_keys_are_not_used_under_faults_with_four_entries() {
    assert_eq!(run_matrix(4), 528);
}

/// Guards against a refusal of all keyed work as soon as no entry reaches the store, and against work beyond the outage
/// limit.
#[test]
fn majority_stays_fresh_in_an_outage_until_the_limit() {
    let mut world = World::new(3);
    world.store_up = false;
    world.advance(OUTAGE_LIMIT.0 - 2_000);
    assert_eq!(world.count_fresh(), 3);
    world.advance(4_000);
    assert_eq!(world.count_fresh(), 0);
    world.store_up = true;
    world.advance(3_000);
    assert_eq!(world.count_fresh(), 3);
}

/// Guards against an entry that refuses work because it is cut off from the store, although peers that reach the store
/// attest its state.
#[test]
fn entry_cut_off_from_the_store_stays_fresh_through_peers() {
    let mut world = World::new(3);
    world.cut_from_store[2] = true;
    world.advance(20_000);
    assert!(matches!(world.entries[2].check_freshness(world.now), Ok(FreshnessBasis::Peer(_))));
    world.cut_from_peers(2, true);
    world.advance(6_000);
    assert!(world.entries[2].check_freshness(world.now).is_err());
}

/// Guards against a withdrawal that is reported as in force too early: the minority that reaches the store removes the
/// unreachable majority, which stays fresh by its older member list and has to be counted until the outage limit.
#[test]
fn unreachable_majority_keeps_a_withdrawal_outstanding() {
    let mut world = World::new(5);
    world.start_fault(Fault::Partition, 0);
    world.advance(35_000);
    assert!(world.members.departed.len() >= 3, "the minority removes the silent majority");
    world.withdraw(0);
    world.advance(10_000);
    assert!(!world.in_force.contains_key(&Revision(2)));
    world.advance(OUTAGE_LIMIT.0 + 10_000);
    assert!(world.in_force.contains_key(&Revision(2)), "in force after the outage limit");
}

/// Guards against a process that restarts with a configuration from a stale replica and forms a majority with an entry
/// that missed the withdrawal.
#[test]
fn restarted_process_with_a_stale_configuration_does_not_attest() {
    let mut world = World::new(3);
    world.replica_state = (world.config, world.members.clone());
    world.cut_from_store[2] = true;
    world.cut_from_peers(2, true);
    world.withdraw(0);
    world.advance(7_000);
    assert!(world.in_force.contains_key(&Revision(2)));
    world.stale_reads = true;
    world.restart(1);
    world.replica_state.1 = world.members.clone();
    world.kill(0);
    world.store_up = false;
    world.set_cut(1, 2, false);
    world.advance(20_000);
    assert_eq!(world.entries[1].config, Revision(1));
    assert_eq!(world.count_fresh(), 0);
}

/// Guards against a majority of a new member list whose entries received the list from a peer, but not the
/// configuration in force.
#[test]
fn new_member_list_without_the_configuration_forms_no_majority() {
    let mut world = World::new(5);
    world.members_only = true;
    for number in [3, 4] {
        world.cut_from_store[number] = true;
        world.cut_from_peers(number, true);
    }
    world.withdraw(0);
    world.advance(7_000);
    assert!(world.in_force.contains_key(&Revision(2)));
    world.remove(0, 1);
    world.kill(1);
    world.remove(0, 2);
    world.kill(2);
    world.advance(2_000);
    world.cut.clear();
    world.advance(1_000);
    world.kill(0);
    world.store_up = false;
    world.advance(20_000);
    assert_eq!(world.entries[3].freshness.members().revision, world.members.revision);
    assert_eq!(world.entries[3].config, Revision(1));
    assert_eq!(world.count_fresh(), 0);
}

#[derive(Clone, Debug)]
enum Transition {
    Advance(u64),
    Withdraw(usize),
    Pause(usize),
    Resume(usize),
    Restart(usize),
    Kill(usize),
    Remove(usize, usize),
    Leave(usize),
    CutFromStore(usize, bool),
    CutFromPeers(usize, bool),
    Cut(usize, usize, bool),
    Store(bool),
    StaleReads(bool),
    MembersOnly(bool),
    Delay(u64),
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = usize;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<usize> {
        (3_usize..=5).boxed()
    }

    fn transitions(count: &usize) -> BoxedStrategy<Transition> {
        let n = || 0..*count;
        prop_oneof![
            8 => (1_u64..=40).prop_map(|s| Transition::Advance(s * 250)),
            4 => n().prop_map(Transition::Withdraw),
            2 => n().prop_map(Transition::Pause),
            2 => n().prop_map(Transition::Resume),
            2 => n().prop_map(Transition::Restart),
            1 => n().prop_map(Transition::Kill),
            2 => (n(), n()).prop_map(|(a, b)| Transition::Remove(a, b)),
            1 => n().prop_map(Transition::Leave),
            3 => (n(), any::<bool>()).prop_map(|(a, cut)| Transition::CutFromStore(a, cut)),
            3 => (n(), any::<bool>()).prop_map(|(a, cut)| Transition::CutFromPeers(a, cut)),
            3 => (n(), n(), any::<bool>()).prop_map(|(a, b, cut)| Transition::Cut(a, b, cut)),
            3 => any::<bool>().prop_map(Transition::Store),
            2 => any::<bool>().prop_map(Transition::StaleReads),
            1 => any::<bool>().prop_map(Transition::MembersOnly),
            1 => prop_oneof![Just(0_u64), Just(300), Just(3_000)].prop_map(Transition::Delay),
        ]
        .boxed()
    }

    fn apply(state: usize, _: &Transition) -> usize {
        state
    }
}

struct Withdrawals;

impl StateMachineTest for Withdrawals {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test(count: &usize) -> World {
        World::new(*count)
    }

    fn apply(mut world: World, _: &usize, transition: Transition) -> World {
        match transition {
            Transition::Advance(ms) => world.advance(ms),
            Transition::Withdraw(a) => world.withdraw(a),
            Transition::Pause(a) => world.pause(a),
            Transition::Resume(a) => world.resume(a),
            Transition::Restart(a) => world.restart(a),
            Transition::Kill(a) => world.kill(a),
            Transition::Remove(a, b) => world.remove(a, b),
            Transition::Leave(a) => world.leave(a),
            Transition::CutFromStore(a, cut) => world.cut_from_store[a] = cut,
            Transition::CutFromPeers(a, cut) => world.cut_from_peers(a, cut),
            Transition::Cut(a, b, cut) => world.set_cut(a, b, cut),
            Transition::Store(up) => world.store_up = up,
            Transition::StaleReads(stale) => {
                if !world.stale_reads {
                    world.replica_state = (world.config, world.members.clone());
                }
                world.stale_reads = stale;
            }
            Transition::MembersOnly(only) => world.members_only = only,
            Transition::Delay(ms) => world.delay = ms,
        }
        world.check_invariants();
        world
    }
}

fn fixed_seed() -> Config {
    Config { cases: 256, rng_seed: RngSeed::Fixed(20_260_704), failure_persistence: None, ..Config::default() }
}

prop_state_machine! {
    #![proptest_config(fixed_seed())]

    /// Guards against the use of a withdrawn key, whatever the order of faults, restarts and changes of the members.
    #[test]
    fn withdrawn_keys_are_not_used_in_random_orders(sequential 10..80 => Withdrawals);
}
