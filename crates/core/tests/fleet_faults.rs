//! Fault matrix of the fleet document and its planners: every fault at every stage of a VM's maintenance or move.
//!
//! Each case simulates two pools and a spare pool for 2,500 s in ticks of 5 s, with a maintenance wave, a loan of spare
//! VMs and their return. It injects one fault when a planner first is about to write a command of the stage. The store
//! checks the invariants at every write.

mod fleet_support;

use std::collections::BTreeMap;

use carawaybarrow_core::config::Config;
use carawaybarrow_core::fleet::{DrainCause, Fleet, FleetCommand, VmState};
use carawaybarrow_core::ids::{DataCentreId, Incarnation, RackId, VmId};
use carawaybarrow_core::moves::{DemandMeter, DemandSample};
use carawaybarrow_core::planner::{self, ListedState, ListedVm, Observations, VmReport};
use carawaybarrow_core::units::{Millis, WallTime};
use carawaybarrow_core::wave::Phase;

use fleet_support::{CheckedStore, WriteFault, operator, place, pool, pool_id, set_pool, vm_id};

const TICK_MS: u64 = 5_000;
const START_MS: u64 = 1_000_000;
const TICKS: u64 = 500;
/// Ticks for which a planner is paused, a list lags or a failure lasts.
const FAULT_TICKS: u64 = 60;
/// Tick at which a second wave starts if the first did not maintain all VMs; every fault has ended by then.
const SECOND_WAVE_TICK: u64 = 400;
const REBOOT_TICKS: u64 = 4;
const SLOTS: u32 = 8;
/// Deadline window of the pool "urgent", in which no VM moves into or out of it. Lent VMs become due for return in it.
const WINDOW_TICKS: (u64, u64) = (150, 190);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    TwoPlanners,
    PausedPlanner,
    LostResponseAfterEffect,
    LostResponseBeforeEffect,
    RepeatedCommand,
    LaggingList,
    CorrelatedFailures,
    RackLost,
    DataCentreLost,
    BudgetChanged,
    VmReplaced,
    OperatorStops,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Register,
    Grant,
    Drained,
    Reboot,
    Return,
    Move,
}

const STAGES: [Stage; 6] = [Stage::Register, Stage::Grant, Stage::Drained, Stage::Reboot, Stage::Return, Stage::Move];

fn stage_of(command: &FleetCommand) -> Option<(Stage, &VmId)> {
    match command {
        FleetCommand::Register { vm, .. } => Some((Stage::Register, vm)),
        FleetCommand::GrantDrain { vm, .. } => Some((Stage::Grant, vm)),
        FleetCommand::MarkDrained { vm, .. } => Some((Stage::Drained, vm)),
        FleetCommand::MarkRebooting { vm, .. } => Some((Stage::Reboot, vm)),
        FleetCommand::Return { vm, .. } => Some((Stage::Return, vm)),
        FleetCommand::Move { vm, .. } => Some((Stage::Move, vm)),
        _ => None,
    }
}

/// Actual state of a VM, which the document may not know.
#[derive(Clone, Debug)]
struct ActualVm {
    data_centre: String,
    rack: String,
    incarnation: u64,
    since: u64,
    down_until: Option<u64>,
    draining: bool,
    tasks: u32,
}

struct Simulation {
    tick: u64,
    store: CheckedStore,
    config: Config,
    actual_vms: BTreeMap<VmId, ActualVm>,
    meter: DemandMeter,
    /// Lists of VMs of all ticks so far, newest last.
    lists: Vec<Vec<ListedVm>>,
    list_lag_until: u64,
    held_write: Option<(u64, (u64, Fleet), Vec<FleetCommand>)>,
    resume_at: Option<u64>,
    moves_written: u32,
}

impl Simulation {
    fn new() -> Self {
        let mut config = Config::default();
        let windows = [(START_MS + WINDOW_TICKS.0 * TICK_MS, START_MS + WINDOW_TICKS.1 * TICK_MS)];
        set_pool(&mut config, "urgent", pool(75, false, &windows));
        set_pool(&mut config, "patient", pool(60, false, &[]));
        set_pool(&mut config, "spare", pool(0, true, &[]));
        let mut simulation = Self {
            tick: 0,
            store: CheckedStore::new(&config),
            config,
            actual_vms: BTreeMap::new(),
            meter: DemandMeter::default(),
            lists: Vec::new(),
            list_lag_until: 0,
            held_write: None,
            resume_at: None,
            moves_written: 0,
        };
        for i in 0..16 {
            simulation.add_vm(i);
            let pool = if i % 2 == 0 { "urgent" } else { "patient" };
            simulation.register(i, pool);
        }
        for i in 16..20 {
            simulation.add_vm(i);
        }
        let start = FleetCommand::StartWave {
            replaces: None,
            cutoff: WallTime(START_MS),
            most: u32::MAX,
            by: operator(),
            at: WallTime(START_MS),
        };
        simulation.store.commit(simulation.store.read(), vec![start], WriteFault::NoFault);
        simulation
    }

    fn name(i: u32) -> VmId {
        vm_id(&format!("vm{i:02}"))
    }

    /// Adds a VM. A rack has four VMs and a data centre two racks; the pools share the racks.
    fn add_vm(&mut self, i: u32) {
        let actual = ActualVm {
            data_centre: format!("dc{}", i / 8),
            rack: format!("r{}", i / 4),
            incarnation: 1,
            since: 0,
            down_until: None,
            draining: false,
            tasks: 0,
        };
        self.actual_vms.insert(Self::name(i), actual);
    }

    fn register(&mut self, i: u32, pool: &str) {
        let vm = Self::name(i);
        let actual = &self.actual_vms[&vm];
        let place = place(&format!("addr-{vm}"), &actual.data_centre, &actual.rack, 1);
        let at = WallTime(START_MS - 1);
        let command = FleetCommand::Register { vm, expect: None, place, pool: pool_id(pool), at };
        self.store.commit(self.store.read(), vec![command], WriteFault::NoFault);
    }

    const fn now(&self) -> WallTime {
        WallTime(START_MS + self.tick * TICK_MS)
    }

    fn observe(&mut self) -> Observations {
        let list = self.actual_vms.iter().filter(|(_, m)| m.down_until.is_none()).map(|(vm, m)| ListedVm {
            vm: vm.clone(),
            address: format!("addr-{vm}").into(),
            data_centre: DataCentreId::new(&m.data_centre).unwrap(),
            rack: RackId::new(&m.rack).unwrap(),
            state: ListedState::Live,
        });
        self.lists.push(list.collect());
        let lag = if self.tick < self.list_lag_until { FAULT_TICKS as usize } else { 2 };
        let list = self.lists[self.lists.len().saturating_sub(lag + 1)].clone();
        let report = |m: &ActualVm| match m.down_until {
            Some(_) => VmReport::Down { since: WallTime(START_MS + m.since * TICK_MS) },
            None => VmReport::Up {
                since: WallTime(START_MS + m.since * TICK_MS),
                incarnation: Incarnation(m.incarnation),
                draining: m.draining,
                tasks: m.tasks,
            },
        };
        let reports = self.actual_vms.iter().map(|(vm, m)| (vm.clone(), report(m))).collect();
        let serving = self.store.fleet.availability(&pool_id("urgent")).available;
        // The pool is short of VMs for the first 100 ticks and idle after that.
        let busy = if self.tick < 100 { serving * SLOTS } else { serving };
        let sample = DemandSample { busy_slots: busy, slots: serving * SLOTS, expected_wait: Millis(0) };
        self.meter.observe(sample, self.now());
        Observations { list, reports, demand: BTreeMap::from([(pool_id("urgent"), self.meter.demand())]) }
    }

    /// Applies the document to the VMs, as an entry does: they drain, reboot and return to service.
    fn run_vms(&mut self) {
        for (vm, actual) in &mut self.actual_vms {
            if actual.down_until.is_some_and(|until| until <= self.tick) {
                actual.down_until = None;
                actual.incarnation += 1;
                actual.since = self.tick;
                actual.draining = false;
            }
            if actual.down_until.is_some() {
                continue;
            }
            let Some(record) = self.store.fleet.vm(vm) else { continue };
            let must_reboot = record.state == VmState::Rebooting && !record.has_rebooted();
            if must_reboot && record.place.incarnation.0 == actual.incarnation {
                actual.down_until = Some(self.tick + REBOOT_TICKS);
                actual.since = self.tick;
                continue;
            }
            actual.draining = record.must_drain();
            actual.tasks = if actual.draining { actual.tasks.saturating_sub(1) } else { 2 };
        }
    }

    fn fail_vms(&mut self, is_hit: impl Fn(&VmId, &ActualVm) -> bool) {
        for (vm, actual) in &mut self.actual_vms {
            if is_hit(vm, actual) {
                actual.down_until = Some(self.tick + FAULT_TICKS);
                actual.since = self.tick;
            }
        }
    }

    fn commit(&mut self, base: (u64, Fleet), commands: Vec<FleetCommand>, answer: WriteFault) {
        if commands.is_empty() {
            return;
        }
        let moves = commands.iter().filter(|c| matches!(c, FleetCommand::Move { .. })).count();
        self.store.commit(base, commands, answer);
        self.moves_written += u32::try_from(moves).unwrap();
    }

    /// Injects the fault and writes the planned commands.
    fn inject(&mut self, fault: Fault, stage: Stage, commands: Vec<FleetCommand>, observations: &Observations) {
        let hit = commands.iter().filter_map(stage_of).find(|(s, _)| *s == stage).map(|(_, vm)| vm.clone()).unwrap();
        let base = self.store.read();
        let (data_centre, rack) = (self.actual_vms[&hit].data_centre.clone(), self.actual_vms[&hit].rack.clone());
        match fault {
            Fault::None => self.commit(base, commands, WriteFault::NoFault),
            Fault::TwoPlanners => {
                // The second planner reads the same version 1 s later and writes its commands in reverse order.
                let later = self.now() + Millis(1_000);
                let mut other = planner::plan(&base.1, observations, &self.config, later);
                other.reverse();
                self.commit(base.clone(), commands, WriteFault::NoFault);
                self.commit(base, other, WriteFault::NoFault);
            }
            Fault::PausedPlanner => self.held_write = Some((self.tick + FAULT_TICKS, base, commands)),
            Fault::LostResponseAfterEffect => self.commit(base, commands, WriteFault::LostAfterEffect),
            Fault::LostResponseBeforeEffect => self.commit(base, commands, WriteFault::LostBeforeEffect),
            Fault::RepeatedCommand => {
                self.commit(base.clone(), commands.clone(), WriteFault::NoFault);
                self.commit(base.clone(), commands.clone(), WriteFault::NoFault);
                self.held_write = Some((self.tick + FAULT_TICKS, base, commands));
            }
            Fault::LaggingList => {
                self.list_lag_until = self.tick + FAULT_TICKS;
                self.commit(base, commands, WriteFault::NoFault);
                self.fail_vms(|vm, _| *vm == hit);
            }
            Fault::CorrelatedFailures => {
                self.commit(base, commands, WriteFault::NoFault);
                let fleet = self.store.fleet.clone();
                let in_wave = |vm: &VmId| fleet.vm(vm).is_some_and(|vm| vm.wave().is_some());
                self.fail_vms(|vm, _| *vm == hit || in_wave(vm));
            }
            Fault::RackLost => {
                self.commit(base, commands, WriteFault::NoFault);
                self.fail_vms(|_, m| m.rack == rack);
            }
            Fault::DataCentreLost => {
                self.commit(base, commands, WriteFault::NoFault);
                self.fail_vms(|_, m| m.data_centre == data_centre);
            }
            Fault::BudgetChanged => {
                // The plan was made with the old budget. Another entry writes a plan with the new budget before it.
                let windows =
                    self.config.pools[&pool_id("urgent")].value.deadline_windows.iter().map(|w| (w.from.0, w.to.0));
                let windows: Vec<_> = windows.collect();
                set_pool(&mut self.config, "urgent", pool(88, false, &windows));
                set_pool(&mut self.config, "patient", pool(80, false, &[]));
                self.store.configs.insert(self.config.revision, self.config.clone());
                let other = planner::plan(&base.1, observations, &self.config, self.now());
                self.commit(base.clone(), other, WriteFault::NoFault);
                self.commit(base, commands, WriteFault::NoFault);
            }
            Fault::VmReplaced => {
                let tick = self.tick;
                let actual = self.actual_vms.get_mut(&hit).unwrap();
                actual.incarnation += 1;
                actual.since = tick;
                actual.draining = false;
                actual.tasks = 3;
                self.commit(base, commands, WriteFault::NoFault);
            }
            Fault::OperatorStops => {
                let wave = self.store.fleet.wave().unwrap().id;
                let stop = FleetCommand::StopWave { wave, reason: "race morning".into(), by: operator() };
                self.commit(base.clone(), vec![stop], WriteFault::NoFault);
                self.commit(base, commands, WriteFault::NoFault);
                self.resume_at = Some(self.tick + FAULT_TICKS);
            }
        }
    }

    /// Writes the commands of a paused planner when they are due. Acts as an operator who resumes stopped waves and
    /// starts a second wave.
    fn run_delayed_writers(&mut self) {
        if let Some((at, base, commands)) = self.held_write.take() {
            if at <= self.tick {
                self.commit(base, commands, WriteFault::NoFault);
            } else {
                self.held_write = Some((at, base, commands));
            }
        }
        let Some(wave) = self.store.fleet.wave() else { return };
        // A wave may end without the VMs that are down, so an operator starts another one for them.
        if matches!(wave.phase, Phase::Finished { .. }) && self.tick == SECOND_WAVE_TICK && self.count_maintained() < 16
        {
            let (cutoff, at) = (WallTime(START_MS), self.now());
            let start = FleetCommand::StartWave { replaces: None, cutoff, most: u32::MAX, by: operator(), at };
            self.commit(self.store.read(), vec![start], WriteFault::NoFault);
            return;
        }
        if matches!(wave.phase, Phase::Stopped { .. }) {
            let due = *self.resume_at.get_or_insert(self.tick + FAULT_TICKS);
            if due <= self.tick {
                self.resume_at = None;
                let command = FleetCommand::ResumeWave { wave: wave.id, expect: wave.phase_changes, by: operator() };
                self.commit(self.store.read(), vec![command], WriteFault::NoFault);
            }
        }
    }

    /// Runs one case of the matrix. Returns whether the fault was injected.
    fn run_case(&mut self, fault: Fault, stage: Stage) -> bool {
        let mut injected = false;
        for tick in 0..TICKS {
            self.tick = tick;
            self.run_vms();
            let observations = self.observe();
            self.run_delayed_writers();
            let base = self.store.read();
            let commands = planner::plan(&base.1, &observations, &self.config, self.now());
            let reaches_stage = commands.iter().filter_map(stage_of).any(|(s, _)| s == stage);
            if reaches_stage && !injected {
                injected = true;
                self.inject(fault, stage, commands, &observations);
            } else {
                self.commit(base, commands, WriteFault::NoFault);
            }
        }
        injected
    }

    fn count_maintained(&self) -> usize {
        self.store.fleet.vms().filter(|(_, vm)| vm.pool != pool_id("spare") && vm.maintained_at.0 > START_MS).count()
    }
}

/// Injects a fault at every stage and checks that all VMs are back in service at the end.
fn check_fault(fault: Fault) {
    for stage in STAGES {
        let mut simulation = Simulation::new();
        let case = format!("{fault:?} at {stage:?}");
        assert!(simulation.run_case(fault, stage), "{case}: the stage was never reached");
        assert_eq!(simulation.store.fleet.vms().count(), 20, "{case}: a VM was lost or added");
        for (vm, record) in simulation.store.fleet.vms() {
            assert_eq!(record.state, VmState::Serving, "{case}: VM {vm} did not return to service: {record:?}");
        }
        assert!(simulation.moves_written > 0, "{case}: no move was written");
        let maintained = simulation.count_maintained();
        assert!(
            maintained >= 16,
            "{case}: {maintained} of 16 VMs were maintained: {:?}",
            simulation.store.fleet.wave()
        );
        let lent = simulation.store.fleet.vms().filter(|(_, vm)| vm.lent_from.is_some()).count();
        assert_eq!(lent, 0, "{case}: spare VMs were not returned");
    }
}

/// One test for each fault. Each guards against a fault that makes a write violate the budget, the one-pool rule, a
/// deadline window, the limit of one rack at a time or the halt of a wave, and against VMs that don't return to service
/// after it.
macro_rules! matrix {
    ($($name:ident: $fault:ident,)*) => {
        $(
            #[test]
            fn $name() {
                check_fault(Fault::$fault);
            }
        )*
    };
}

matrix! {
    no_fault: None,
    two_planners: TwoPlanners,
    paused_planner: PausedPlanner,
    lost_response_after_effect: LostResponseAfterEffect,
    lost_response_before_effect: LostResponseBeforeEffect,
    repeated_command: RepeatedCommand,
    lagging_list: LaggingList,
    correlated_failures: CorrelatedFailures,
    rack_lost: RackLost,
    data_centre_lost: DataCentreLost,
    budget_changed: BudgetChanged,
    vm_replaced: VmReplaced,
    operator_stops: OperatorStops,
}

/// Guards against a wave that continues while its VMs fail: two failures in one batch, rack or data centre stop it with
/// a reason.
#[test]
fn correlated_failures_stop_the_wave_with_a_reason() {
    let mut simulation = Simulation::new();
    let mut failed = 0;
    for tick in 0..120 {
        simulation.tick = tick;
        simulation.run_vms();
        let observations = simulation.observe();
        let base = simulation.store.read();
        let commands = planner::plan(&base.1, &observations, &simulation.config, simulation.now());
        simulation.commit(base, commands, WriteFault::NoFault);
        let fleet = simulation.store.fleet.clone();
        let is_draining = |vm: &VmId| {
            fleet.vm(vm).is_some_and(|vm| {
                vm.state == VmState::Draining && matches!(vm.permit.as_ref().unwrap().cause, DrainCause::Wave { .. })
            })
        };
        if failed < 2 {
            failed = simulation.actual_vms.keys().filter(|vm| is_draining(vm)).count();
            simulation.fail_vms(|vm, _| is_draining(vm));
        }
    }
    let wave = simulation.store.fleet.wave().unwrap();
    let Phase::Stopped { reason, by } = &wave.phase else { panic!("{wave:?}") };
    assert_eq!(by.as_str(), planner::PLANNER);
    assert!(reason.contains("2 VMs failed in"), "{reason}");
}
