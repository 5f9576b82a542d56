//! Fault matrix of the fleet document and its planners: every fault at every step.
//!
//! Each case runs two pools and a spare pool for 2,500 s in steps of 5 s, through a maintenance wave, a loan of spare
//! VMs and their return, and injects one fault when a planner is about to write a command of one kind. The cell
//! checks the invariants after every write.

mod fleet_support;

use std::collections::BTreeMap;

use carawaybarrow_core::config::Config;
use carawaybarrow_core::fleet::{DrainCause, Fleet, FleetCommand, VmState};
use carawaybarrow_core::ids::{DataCentreId, Incarnation, RackId, VmId};
use carawaybarrow_core::moves::{DemandMeter, DemandSample};
use carawaybarrow_core::planner::{self, ListedState, ListedVm, Observations, VmReport};
use carawaybarrow_core::units::{Millis, WallTime};
use carawaybarrow_core::wave::Phase;

use fleet_support::{Answer, Cell, operator, place, pool, pool_id, set_pool, vm_id};

const TICK_MS: u64 = 5_000;
const START_MS: u64 = 1_000_000;
const TICKS: u64 = 500;
/// Ticks for which a planner is paused, a list lags and a failure lasts.
const SPAN: u64 = 60;
/// Well after every fault of the matrix has ended.
const SECOND_WAVE_TICK: u64 = 400;
const REBOOT_TICKS: u64 = 4;
const SLOTS: u32 = 8;
/// No move into or out of the pool "urgent" here; a loan is due to go back in this span.
const WINDOW_TICKS: (u64, u64) = (150, 190);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    TwoPlanners,
    PausedPlanner,
    LostAnswerAfterEffect,
    LostAnswerBeforeEffect,
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

/// A VM as it is, whatever the document says.
#[derive(Clone, Debug)]
struct Machine {
    data_centre: String,
    rack: String,
    incarnation: u64,
    since: u64,
    down_until: Option<u64>,
    draining: bool,
    tasks: u32,
}

struct World {
    tick: u64,
    cell: Cell,
    config: Config,
    machines: BTreeMap<VmId, Machine>,
    meter: DemandMeter,
    /// Lists of the last ticks, newest last.
    lists: Vec<Vec<ListedVm>>,
    list_lag_until: u64,
    held: Option<(u64, (u64, Fleet), Vec<FleetCommand>)>,
    resume_at: Option<u64>,
    moved: u32,
}

impl World {
    fn new() -> Self {
        let mut config = Config::default();
        let windows = [(START_MS + WINDOW_TICKS.0 * TICK_MS, START_MS + WINDOW_TICKS.1 * TICK_MS)];
        set_pool(&mut config, "urgent", pool(75, false, &windows));
        set_pool(&mut config, "patient", pool(60, false, &[]));
        set_pool(&mut config, "spare", pool(0, true, &[]));
        let mut world = Self {
            tick: 0,
            cell: Cell::new(&config),
            config,
            machines: BTreeMap::new(),
            meter: DemandMeter::default(),
            lists: Vec::new(),
            list_lag_until: 0,
            held: None,
            resume_at: None,
            moved: 0,
        };
        for i in 0..16 {
            world.add_machine(i);
            let pool = if i % 2 == 0 { "urgent" } else { "patient" };
            world.register(i, pool);
        }
        for i in 16..20 {
            world.add_machine(i);
        }
        let start = FleetCommand::StartWave {
            replaces: None,
            cutoff: WallTime(START_MS),
            most: u32::MAX,
            by: operator(),
            at: WallTime(START_MS),
        };
        world.cell.commit(world.cell.read(), vec![start], Answer::Given);
        world
    }

    fn name(i: u32) -> VmId {
        vm_id(&format!("vm{i:02}"))
    }

    /// Four VMs to a rack, two racks to a data centre; the pools share the racks.
    fn add_machine(&mut self, i: u32) {
        let machine = Machine {
            data_centre: format!("dc{}", i / 8),
            rack: format!("r{}", i / 4),
            incarnation: 1,
            since: 0,
            down_until: None,
            draining: false,
            tasks: 0,
        };
        self.machines.insert(Self::name(i), machine);
    }

    fn register(&mut self, i: u32, pool: &str) {
        let vm = Self::name(i);
        let machine = &self.machines[&vm];
        let place = place(&format!("addr-{vm}"), &machine.data_centre, &machine.rack, 1);
        let at = WallTime(START_MS - 1);
        let command = FleetCommand::Register { vm, expect: None, place, pool: pool_id(pool), at };
        self.cell.commit(self.cell.read(), vec![command], Answer::Given);
    }

    const fn now(&self) -> WallTime {
        WallTime(START_MS + self.tick * TICK_MS)
    }

    fn observe(&mut self) -> Observations {
        let list = self.machines.iter().filter(|(_, m)| m.down_until.is_none()).map(|(vm, m)| ListedVm {
            vm: vm.clone(),
            address: format!("addr-{vm}").into(),
            data_centre: DataCentreId::new(&m.data_centre).unwrap(),
            rack: RackId::new(&m.rack).unwrap(),
            state: ListedState::Live,
        });
        self.lists.push(list.collect());
        let lag = if self.tick < self.list_lag_until { SPAN as usize } else { 2 };
        let list = self.lists[self.lists.len().saturating_sub(lag + 1)].clone();
        let report = |m: &Machine| match m.down_until {
            Some(_) => VmReport::Down { since: WallTime(START_MS + m.since * TICK_MS) },
            None => VmReport::Up {
                since: WallTime(START_MS + m.since * TICK_MS),
                incarnation: Incarnation(m.incarnation),
                draining: m.draining,
                tasks: m.tasks,
            },
        };
        let reports = self.machines.iter().map(|(vm, m)| (vm.clone(), report(m))).collect();
        let serving = self.cell.fleet.availability(&pool_id("urgent")).available;
        // The pool is short of VMs in the first part and idle in the second.
        let busy = if self.tick < 100 { serving * SLOTS } else { serving };
        let sample = DemandSample { busy_slots: busy, slots: serving * SLOTS, queue_wait: Millis(0) };
        self.meter.observe(sample, self.now());
        Observations { list, reports, demand: BTreeMap::from([(pool_id("urgent"), self.meter.demand())]) }
    }

    /// Machines do what the document says, as an entry would tell them.
    fn run_machines(&mut self) {
        for (vm, machine) in &mut self.machines {
            if machine.down_until.is_some_and(|until| until <= self.tick) {
                machine.down_until = None;
                machine.incarnation += 1;
                machine.since = self.tick;
                machine.draining = false;
            }
            if machine.down_until.is_some() {
                continue;
            }
            let Some(record) = self.cell.fleet.vm(vm) else { continue };
            let is_told_to_reboot = record.state == VmState::Rebooting && !record.has_rebooted();
            if is_told_to_reboot && record.place.incarnation.0 == machine.incarnation {
                machine.down_until = Some(self.tick + REBOOT_TICKS);
                machine.since = self.tick;
                continue;
            }
            machine.draining = record.must_drain();
            machine.tasks = if machine.draining { machine.tasks.saturating_sub(1) } else { 2 };
        }
    }

    fn take_down(&mut self, is_hit: impl Fn(&VmId, &Machine) -> bool) {
        for (vm, machine) in &mut self.machines {
            if is_hit(vm, machine) {
                machine.down_until = Some(self.tick + SPAN);
                machine.since = self.tick;
            }
        }
    }

    fn commit(&mut self, base: (u64, Fleet), commands: Vec<FleetCommand>, answer: Answer) {
        if commands.is_empty() {
            return;
        }
        let moves = commands.iter().filter(|c| matches!(c, FleetCommand::Move { .. })).count();
        self.cell.commit(base, commands, answer);
        self.moved += u32::try_from(moves).unwrap();
    }

    /// Injects the fault and writes the plan.
    fn inject(&mut self, fault: Fault, stage: Stage, commands: Vec<FleetCommand>, seen: &Observations) {
        let hit = commands.iter().filter_map(stage_of).find(|(s, _)| *s == stage).map(|(_, vm)| vm.clone()).unwrap();
        let base = self.cell.read();
        let (data_centre, rack) = (self.machines[&hit].data_centre.clone(), self.machines[&hit].rack.clone());
        match fault {
            Fault::None => self.commit(base, commands, Answer::Given),
            Fault::TwoPlanners => {
                // The second planner reads the same version, a little later and with a demand of its own.
                let later = self.now() + Millis(1_000);
                let mut other = planner::plan(&base.1, seen, &self.config, later);
                other.reverse();
                self.commit(base.clone(), commands, Answer::Given);
                self.commit(base, other, Answer::Given);
            }
            Fault::PausedPlanner => self.held = Some((self.tick + SPAN, base, commands)),
            Fault::LostAnswerAfterEffect => self.commit(base, commands, Answer::LostAfterEffect),
            Fault::LostAnswerBeforeEffect => self.commit(base, commands, Answer::LostBeforeEffect),
            Fault::RepeatedCommand => {
                self.commit(base.clone(), commands.clone(), Answer::Given);
                self.commit(base.clone(), commands.clone(), Answer::Given);
                self.held = Some((self.tick + SPAN, base, commands));
            }
            Fault::LaggingList => {
                self.list_lag_until = self.tick + SPAN;
                self.commit(base, commands, Answer::Given);
                self.take_down(|vm, _| *vm == hit);
            }
            Fault::CorrelatedFailures => {
                self.commit(base, commands, Answer::Given);
                let fleet = self.cell.fleet.clone();
                let in_wave = |vm: &VmId| fleet.vm(vm).is_some_and(|vm| vm.wave().is_some());
                self.take_down(|vm, _| *vm == hit || in_wave(vm));
            }
            Fault::RackLost => {
                self.commit(base, commands, Answer::Given);
                self.take_down(|_, m| m.rack == rack);
            }
            Fault::DataCentreLost => {
                self.commit(base, commands, Answer::Given);
                self.take_down(|_, m| m.data_centre == data_centre);
            }
            Fault::BudgetChanged => {
                // The plan was made with the old budget; another entry writes with the new one in the meantime.
                let windows =
                    self.config.pools[&pool_id("urgent")].value.deadline_windows.iter().map(|w| (w.from.0, w.to.0));
                let windows: Vec<_> = windows.collect();
                set_pool(&mut self.config, "urgent", pool(88, false, &windows));
                set_pool(&mut self.config, "patient", pool(80, false, &[]));
                self.cell.configs.insert(self.config.revision, self.config.clone());
                let other = planner::plan(&base.1, seen, &self.config, self.now());
                self.commit(base.clone(), other, Answer::Given);
                self.commit(base, commands, Answer::Given);
            }
            Fault::VmReplaced => {
                let tick = self.tick;
                let machine = self.machines.get_mut(&hit).unwrap();
                machine.incarnation += 1;
                machine.since = tick;
                machine.draining = false;
                machine.tasks = 3;
                self.commit(base, commands, Answer::Given);
            }
            Fault::OperatorStops => {
                let wave = self.cell.fleet.wave().unwrap().id;
                let stop = FleetCommand::StopWave { wave, reason: "race morning".into(), by: operator() };
                self.commit(base.clone(), vec![stop], Answer::Given);
                self.commit(base, commands, Answer::Given);
                self.resume_at = Some(self.tick + SPAN);
            }
        }
    }

    /// Writes what a paused planner held, and resumes stopped waves as an operator.
    fn run_late_writers(&mut self) {
        if let Some((at, base, commands)) = self.held.take() {
            if at <= self.tick {
                self.commit(base, commands, Answer::Given);
            } else {
                self.held = Some((at, base, commands));
            }
        }
        let Some(wave) = self.cell.fleet.wave() else { return };
        // A wave ends without the VMs that are down; an operator takes them into another one.
        if matches!(wave.phase, Phase::Finished { .. }) && self.tick == SECOND_WAVE_TICK && self.count_maintained() < 16
        {
            let (cutoff, at) = (WallTime(START_MS), self.now());
            let start = FleetCommand::StartWave { replaces: None, cutoff, most: u32::MAX, by: operator(), at };
            self.commit(self.cell.read(), vec![start], Answer::Given);
            return;
        }
        if matches!(wave.phase, Phase::Stopped { .. }) {
            let due = *self.resume_at.get_or_insert(self.tick + SPAN);
            if due <= self.tick {
                self.resume_at = None;
                let command = FleetCommand::ResumeWave { wave: wave.id, expect: wave.phase_changes, by: operator() };
                self.commit(self.cell.read(), vec![command], Answer::Given);
            }
        }
    }

    /// Runs one case. Returns whether the fault was injected.
    fn run(&mut self, fault: Fault, stage: Stage) -> bool {
        let mut injected = false;
        for tick in 0..TICKS {
            self.tick = tick;
            self.run_machines();
            let seen = self.observe();
            self.run_late_writers();
            let base = self.cell.read();
            let commands = planner::plan(&base.1, &seen, &self.config, self.now());
            let reaches = commands.iter().filter_map(stage_of).any(|(s, _)| s == stage);
            if reaches && !injected {
                injected = true;
                self.inject(fault, stage, commands, &seen);
            } else {
                self.commit(base, commands, Answer::Given);
            }
        }
        injected
    }

    fn count_maintained(&self) -> usize {
        self.cell.fleet.vms().filter(|(_, vm)| vm.pool != pool_id("spare") && vm.maintained_at.0 > START_MS).count()
    }
}

/// Runs a fault at every step and checks that the fleet gets back to work.
fn run_row(fault: Fault) {
    for stage in STAGES {
        let mut world = World::new();
        let case = format!("{fault:?} at {stage:?}");
        assert!(world.run(fault, stage), "{case}: the step was never reached");
        assert_eq!(world.cell.fleet.vms().count(), 20, "{case}: a VM was lost or added");
        for (vm, record) in world.cell.fleet.vms() {
            assert_eq!(record.state, VmState::Serving, "{case}: VM {vm} did not get back to work: {record:?}");
        }
        assert!(world.moved > 0, "{case}: no VM moved");
        let maintained = world.count_maintained();
        assert!(maintained >= 16, "{case}: {maintained} of 16 VMs were maintained: {:?}", world.cell.fleet.wave());
        let lent = world.cell.fleet.vms().filter(|(_, vm)| vm.lent_from.is_some()).count();
        assert_eq!(lent, 0, "{case}: spare VMs were not given back");
    }
}

/// One test a row of the matrix. Each guards the budget, the one-pool rule, deadline windows, one rack at a time and
/// halted waves at every write, and guards against a fleet that doesn't get back to work.
macro_rules! matrix {
    ($($name:ident: $fault:ident,)*) => {
        $(
            #[test]
            fn $name() {
                run_row(Fault::$fault);
            }
        )*
    };
}

matrix! {
    no_fault: None,
    two_planners: TwoPlanners,
    paused_planner: PausedPlanner,
    lost_answer_after_effect: LostAnswerAfterEffect,
    lost_answer_before_effect: LostAnswerBeforeEffect,
    repeated_command: RepeatedCommand,
    lagging_list: LaggingList,
    correlated_failures: CorrelatedFailures,
    rack_lost: RackLost,
    data_centre_lost: DataCentreLost,
    budget_changed: BudgetChanged,
    vm_replaced: VmReplaced,
    operator_stops: OperatorStops,
}

/// Guards against a wave that goes on while its VMs fail: correlated failures stop it within a few steps.
#[test]
fn correlated_failures_stop_the_wave_with_a_reason() {
    let mut world = World::new();
    let mut killed = 0;
    for tick in 0..120 {
        world.tick = tick;
        world.run_machines();
        let seen = world.observe();
        let base = world.cell.read();
        let commands = planner::plan(&base.1, &seen, &world.config, world.now());
        world.commit(base, commands, Answer::Given);
        let fleet = world.cell.fleet.clone();
        let rebooting = |vm: &VmId| {
            fleet.vm(vm).is_some_and(|vm| {
                vm.state == VmState::Draining && matches!(vm.permit.as_ref().unwrap().cause, DrainCause::Wave { .. })
            })
        };
        if killed < 2 {
            killed = world.machines.keys().filter(|vm| rebooting(vm)).count();
            world.take_down(|vm, _| rebooting(vm));
        }
    }
    let wave = world.cell.fleet.wave().unwrap();
    let Phase::Stopped { reason, by } = &wave.phase else { panic!("{wave:?}") };
    assert_eq!(by.as_str(), planner::PLANNER);
    assert!(reason.contains("2 VMs failed in"), "{reason}");
}
