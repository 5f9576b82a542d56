//! Planning of maintenance waves and moves, and measurement of demand.

mod fleet_support;

use std::collections::BTreeMap;

use carawaybarrow_core::commit::Document;
use carawaybarrow_core::config;
use carawaybarrow_core::fleet::{DrainCause, Fleet, FleetCommand, FleetOutcome, VmState};
use carawaybarrow_core::ids::{DataCentreId, RackId, VmId};
use carawaybarrow_core::moves::{DemandMeter, DemandSample, PoolDemand};
use carawaybarrow_core::planner::{self, ListedState, ListedVm, Observations, Policy, VmReport};
use carawaybarrow_core::units::{Millis, WallTime};
use carawaybarrow_core::wave_plan;

use fleet_support::{FleetFixture, operator, pool, pool_id, set_pool, vm_id};

const HOUR: u64 = 3_600_000;
const NOW: WallTime = WallTime(1_000_000);

/// Observations of a fleet in which every worker responds as its record says.
fn observe(fleet: &Fleet) -> Observations {
    let mut observations = Observations::default();
    for (id, vm) in fleet.vms() {
        let report =
            VmReport::Up { since: WallTime(0), incarnation: vm.place.incarnation, draining: vm.must_drain(), tasks: 0 };
        observations.reports.insert(id.clone(), report);
        observations.list.push(ListedVm {
            vm: id.clone(),
            address: vm.place.address.clone(),
            data_centre: vm.place.data_centre.clone(),
            rack: vm.place.rack.clone(),
            state: ListedState::Live,
        });
    }
    observations
}

fn short() -> PoolDemand {
    PoolDemand {
        busy_slots: 32.0,
        slots: 32,
        expected_wait_ms: 2_000.0,
        shortage_since: Some(WallTime(0)),
        idle_since: None,
    }
}

fn idle() -> PoolDemand {
    PoolDemand {
        busy_slots: 2.0,
        slots: 32,
        expected_wait_ms: 0.0,
        shortage_since: None,
        idle_since: Some(WallTime(0)),
    }
}

fn granted(commands: &[FleetCommand]) -> Vec<(&VmId, &DrainCause)> {
    let grants = commands.iter().filter_map(|c| match c {
        FleetCommand::GrantDrain { vm, cause, .. } => Some((vm, cause)),
        _ => None,
    });
    grants.collect()
}

/// Checks that the document accepts all commands of a plan in their order.
fn assert_accepted(fleet: &Fleet, commands: &[FleetCommand]) {
    let mut copy = fleet.clone();
    for command in commands {
        assert_eq!(copy.apply(command), FleetOutcome::Applied, "{command:?}");
    }
}

/// Guards against waves that exceed the maintenance period, or that maintain many VMs at once because all were
/// registered in the same moment.
#[test]
fn pace_at_target_size_is_about_32_an_hour() {
    let policy = Policy::default();
    let total = 32_000u64;
    let mut now = policy.maintenance_period.0 * 2;
    // All VMs are registered in the same moment, then maintained when they are due.
    let mut maintained: Vec<_> = (0..total).map(|_| WallTime(now)).collect();
    let mut counts = Vec::new();
    let mut oldest = 0;
    for _ in 0..24 * 43 {
        now += HOUR;
        oldest = oldest.max(now - maintained[0].0);
        let due = wave_plan::count_due(&maintained, maintained.len(), &policy, WallTime(now));
        maintained.drain(..due);
        maintained.extend((0..due).map(|_| WallTime(now)));
        counts.push(due);
    }
    assert!(counts.iter().all(|c| (32..=33).contains(c)), "{:?}", counts.iter().max());
    assert!(oldest <= policy.maintenance_period.0, "a VM waited {} h for its maintenance", oldest / HOUR);
}

/// Guards against VMs that are due again just after their maintenance, and against overdue VMs that are not due.
#[test]
fn vms_are_due_by_the_age_of_their_maintenance() {
    let policy = Policy::default();
    let now = WallTime(policy.maintenance_period.0 * 3);
    let ago = |ms: u64| WallTime(now.0 - ms);
    assert_eq!(wave_plan::count_due(&[now; 20], 20, &policy, now), 0);
    assert_eq!(wave_plan::count_due(&[ago(policy.maintenance_period.0); 20], 20, &policy, now), 20);
    assert_eq!(wave_plan::count_due(&[], 0, &policy, now), 0);
    let even: Vec<_> = (0..42).map(|day| ago((42 - day) * 24 * HOUR)).collect();
    assert_eq!(wave_plan::count_due(&even, 42, &policy, now), 2);
}

/// Guards against a wave that starts without due VMs, in a deadline window, or while a wave that an operator stopped
/// has not been resumed.
#[test]
fn wave_starts_when_vms_are_due() {
    let late = WallTime(Policy::default().maintenance_period.0 * 2);
    let starts = |fixture: &FleetFixture, now| {
        let commands = planner::plan(&fixture.fleet, &observe(&fixture.fleet), &fixture.config, now);
        assert_accepted(&fixture.fleet, &commands);
        commands.iter().any(|c| matches!(c, FleetCommand::StartWave { .. }))
    };
    let mut fixture = FleetFixture::new(50, &[4]);
    assert!(!starts(&fixture, NOW));
    assert!(starts(&fixture, late));
    fixture.start_wave();
    let wave = fixture.fleet.wave().unwrap().id;
    fixture.accept(FleetCommand::StopWave { wave, reason: "race morning".into(), by: operator() });
    assert!(!starts(&fixture, late));

    let mut fixture = FleetFixture::new(50, &[4]);
    for name in ["urgent", "spare"] {
        set_pool(&mut fixture.config, name, pool(0, false, &[(late.0 - 1, late.0 + 1)]));
    }
    assert!(!starts(&fixture, late));
}

/// Guards against a first batch of more than one VM of a pool, and against batches that grow although the policy
/// disables growth.
#[test]
fn batches_grow_only_with_the_policy() {
    for (grow_waves, expected) in [(true, vec![1, 2, 4, 1]), (false, vec![1; 8])] {
        let policy = Policy { grow_waves, lend_spares: false, ..Policy::default() };
        let mut fixture = FleetFixture::new(0, &[8]);
        fixture.start_wave();
        let mut sizes = Vec::new();
        loop {
            let commands = planner::plan_with(&policy, &fixture.fleet, &observe(&fixture.fleet), &fixture.config, NOW);
            assert_accepted(&fixture.fleet, &commands);
            let granted_vms: Vec<_> = granted(&commands).iter().map(|(vm, _)| (*vm).clone()).collect();
            let in_pool: Vec<_> = granted_vms.iter().filter(|vm| vm.as_str().starts_with('u')).collect();
            if in_pool.is_empty() {
                break;
            }
            sizes.push(in_pool.len());
            for command in commands {
                fixture.accept(command);
            }
            for vm in &granted_vms {
                fixture.maintain(vm.as_str());
            }
        }
        assert_eq!(sizes, expected, "grow_waves: {grow_waves}");
    }
}

/// Guards against a drain that exceeds the budget because a VM counts as available that is listed but not reachable, or
/// is leaving.
#[test]
fn unreachable_vms_count_as_unavailable() {
    let policy = Policy::default();
    let just_now = WallTime(NOW.0 - 1_000);
    let up = |_: &FleetFixture, _: &mut Observations| {};
    let down = |_: &FleetFixture, observations: &mut Observations| {
        observations.reports.insert(vm_id("u3"), VmReport::Down { since: just_now });
    };
    let unknown = |_: &FleetFixture, observations: &mut Observations| {
        observations.reports.remove(&vm_id("u3"));
    };
    let leaving = |_: &FleetFixture, observations: &mut Observations| {
        observations.list.iter_mut().filter(|l| l.vm == vm_id("u3")).for_each(|l| l.state = ListedState::Leaving);
    };
    type Change<'a> = &'a dyn Fn(&FleetFixture, &mut Observations);
    let cases: [(&str, Change<'_>, bool); 4] =
        [("up", &up, true), ("down", &down, false), ("unknown", &unknown, false), ("leaving", &leaving, false)];
    for (name, change, drains) in cases {
        let mut fixture = FleetFixture::new(75, &[4]);
        fixture.start_wave();
        let mut observations = observe(&fixture.fleet);
        change(&fixture, &mut observations);
        let commands = planner::plan_with(&policy, &fixture.fleet, &observations, &fixture.config, NOW);
        assert_accepted(&fixture.fleet, &commands);
        let drained = granted(&commands).iter().any(|(vm, _)| vm.as_str().starts_with('u'));
        assert_eq!(drained, drains, "{name}");
        assert!(!commands.iter().any(|c| matches!(c, FleetCommand::MarkFailed { .. })), "{name}");
    }
    let fixture = FleetFixture::new(75, &[4]);
    let mut observations = observe(&fixture.fleet);
    observations.reports.insert(vm_id("u3"), VmReport::Down { since: WallTime(NOW.0 - policy.fail_after.0) });
    let commands = planner::plan(&fixture.fleet, &observations, &fixture.config, NOW);
    assert!(matches!(&commands[..], [FleetCommand::MarkFailed { vm, .. }] if *vm == vm_id("u3")), "{commands:?}");
}

/// Guards against a record that alternates between two VMs, because a lagging list shows both at the same address.
#[test]
fn ambiguous_list_registers_nothing() {
    let fixture = FleetFixture::new(50, &[2]);
    let mut observations = observe(&fixture.fleet);
    let mut twin = observations.list.iter().find(|l| l.vm == vm_id("u0")).unwrap().clone();
    twin.vm = vm_id("u9");
    observations.list.push(twin);
    let report = VmReport::Up { since: WallTime(0), incarnation: Default::default(), draining: false, tasks: 0 };
    observations.reports.insert(vm_id("u9"), report);
    assert!(planner::plan(&fixture.fleet, &observations, &fixture.config, NOW).is_empty());
    observations.list.retain(|l| l.vm != vm_id("u0"));
    let commands = planner::plan(&fixture.fleet, &observations, &fixture.config, NOW);
    assert!(matches!(&commands[..], [FleetCommand::Register { vm, .. }] if *vm == vm_id("u9")), "{commands:?}");
    assert_accepted(&fixture.fleet, &commands);
}

/// Guards against a VM that is registered because it is listed, before its worker responds, and against one without a
/// pool.
#[test]
fn new_vm_joins_the_spare_pool_once_it_answers() {
    let fixture = FleetFixture::new(50, &[2]);
    let mut observations = observe(&fixture.fleet);
    observations.list.push(ListedVm {
        vm: vm_id("n0"),
        address: "addr-n0".into(),
        data_centre: DataCentreId::new("dc0").unwrap(),
        rack: RackId::new("r0").unwrap(),
        state: ListedState::Live,
    });
    assert!(planner::plan(&fixture.fleet, &observations, &fixture.config, NOW).is_empty());
    let report = VmReport::Up { since: NOW, incarnation: Default::default(), draining: false, tasks: 0 };
    observations.reports.insert(vm_id("n0"), report);
    let commands = planner::plan(&fixture.fleet, &observations, &fixture.config, NOW);
    assert!(
        matches!(&commands[..], [FleetCommand::Register { pool, .. }] if *pool == pool_id("spare")),
        "{commands:?}"
    );
}

/// Guards against pools without VMs in a new fleet: operators assign no VMs to pools, so new VMs must fill the pools up
/// to their baselines.
#[test]
fn new_vms_fill_pools_to_their_baseline_first() {
    let mut fixture = FleetFixture::new(50, &[2]);
    set_pool(&mut fixture.config, "fresh", config::Pool { baseline: 2, ..pool(50, false, &[]) });
    let mut observations = observe(&fixture.fleet);
    for i in 0..4 {
        observations.list.push(ListedVm {
            vm: vm_id(&format!("n{i}")),
            address: format!("addr-n{i}").into(),
            data_centre: DataCentreId::new("dc0").unwrap(),
            rack: RackId::new("r0").unwrap(),
            state: ListedState::Live,
        });
        let report = VmReport::Up { since: NOW, incarnation: Default::default(), draining: false, tasks: 0 };
        observations.reports.insert(vm_id(&format!("n{i}")), report);
    }
    let commands = planner::plan(&fixture.fleet, &observations, &fixture.config, NOW);
    let pools: Vec<_> = commands
        .iter()
        .filter_map(|c| match c {
            FleetCommand::Register { pool, .. } => Some(pool.as_str()),
            _ => None,
        })
        .collect();
    assert_eq!(pools, ["fresh", "fresh", "spare", "spare"]);
    assert_accepted(&fixture.fleet, &commands);
}

/// Guards against moves because of short spikes, from a busy pool or in a deadline window.
#[test]
fn moves_follow_lasting_demand() {
    let lasting = |demand: PoolDemand, ms: u64| PoolDemand {
        shortage_since: demand.shortage_since.map(|_| WallTime(NOW.0 - ms)),
        idle_since: demand.idle_since.map(|_| WallTime(NOW.0 - ms)),
        ..demand
    };
    let policy = Policy::default();
    let no_hysteresis = Policy { hysteresis: false, ..policy };
    let no_spares = Policy { lend_spares: false, ..policy };
    let window = [(NOW.0, NOW.0 + 1_000)];
    let none: &[(u64, u64)] = &[];
    // (case, policy, demand of urgent, demand of patient, windows of urgent, origin of the VMs that move)
    let cases = [
        ("lasting", policy, lasting(short(), 60_000), idle(), none, "ss"),
        ("spike", policy, lasting(short(), 59_000), idle(), none, ""),
        ("spike without hysteresis", no_hysteresis, lasting(short(), 0), idle(), none, "ss"),
        ("no spares, idle donor", no_spares, short(), idle(), none, "p"),
        ("no spares, busy donor", no_spares, short(), short(), none, ""),
        ("no spares, donor idle for a moment", no_spares, short(), lasting(idle(), 59_000), none, ""),
        ("window", policy, short(), idle(), &window[..], ""),
        ("no need", policy, idle(), idle(), none, ""),
    ];
    for (name, policy, urgent, patient, windows, expected) in cases {
        let mut fixture = FleetFixture::new(50, &[4]);
        for i in 0..4 {
            fixture.add(&format!("p{i}"), "patient", "dc5", "p");
        }
        set_pool(&mut fixture.config, "urgent", pool(50, false, windows));
        let mut observations = observe(&fixture.fleet);
        observations.demand = BTreeMap::from([(pool_id("urgent"), urgent), (pool_id("patient"), patient)]);
        let commands = planner::plan_with(&policy, &fixture.fleet, &observations, &fixture.config, NOW);
        assert_accepted(&fixture.fleet, &commands);
        let moved: String = granted(&commands)
            .iter()
            .filter(|(_, cause)| **cause == DrainCause::Move { to: pool_id("urgent") })
            .map(|(vm, _)| &vm.as_str()[..1])
            .collect();
        assert_eq!(moved, expected, "{name}");
    }
}

/// Guards against spare VMs that stay in an idle pool, and against two moves of a pool within its cooldown.
#[test]
fn lent_vms_return_and_pools_keep_the_cooldown_between_moves() {
    let mut fixture = FleetFixture::new(50, &[4]);
    fixture.accept(fixture.grant_move("s0", "urgent", NOW.0));
    fixture.accept(fixture.drained("s0"));
    fixture.accept(fixture.move_to("s0", "urgent", NOW.0));
    fixture.accept(fixture.returned("s0", NOW.0));
    let mut observations = observe(&fixture.fleet);
    let cooldown = Policy::default().move_cooldown.0;
    for (demand, at, expected) in [
        (idle(), NOW.0 + cooldown - 1, None),
        (idle(), NOW.0 + cooldown, Some(("s0", "spare"))),
        (short(), NOW.0 + cooldown - 1, None),
        (short(), NOW.0 + cooldown, Some(("s1", "urgent"))),
    ] {
        observations.demand = BTreeMap::from([(pool_id("urgent"), demand)]);
        let commands = planner::plan(&fixture.fleet, &observations, &fixture.config, WallTime(at));
        assert_accepted(&fixture.fleet, &commands);
        let expected = expected.map(|(vm, to)| (vm_id(vm), DrainCause::Move { to: pool_id(to) }));
        let found = granted(&commands).first().map(|(vm, cause)| ((*vm).clone(), (*cause).clone()));
        assert_eq!(found, expected, "{at}");
    }
}

/// Guards against a drained VM that stays out of service because a deadline window that opened during its drain forbids
/// its move.
#[test]
fn drained_vm_returns_when_a_window_opens() {
    let mut fixture = FleetFixture::new(50, &[4]);
    fixture.accept(fixture.grant_move("s0", "urgent", 10_000));
    fixture.accept(fixture.drained("s0"));
    let moves = planner::plan(&fixture.fleet, &observe(&fixture.fleet), &fixture.config, NOW);
    assert!(matches!(&moves[..], [FleetCommand::Move { .. }]), "{moves:?}");
    let old = fixture.config.clone();
    set_pool(&mut fixture.config, "urgent", pool(50, false, &[(NOW.0, NOW.0 + 1_000)]));
    let commands = planner::plan(&fixture.fleet, &observe(&fixture.fleet), &fixture.config, NOW);
    assert!(matches!(&commands[..], [FleetCommand::Return { .. }]), "{commands:?}");
    fixture.accept(fixture.grant_operator("u0"));
    let commands = planner::plan(&fixture.fleet, &observe(&fixture.fleet), &old, NOW);
    assert!(
        commands.iter().all(|c| matches!(c, FleetCommand::MarkDrained { .. })),
        "commands of an old configuration: {commands:?}"
    );
}

/// Guards against a VM that returns to service before it has restarted, and against a VM that never comes back from its
/// reboot and is not marked failed.
#[test]
fn reboots_end_with_a_new_incarnation_or_a_failure() {
    let mut fixture = FleetFixture::new(0, &[4]);
    fixture.start_wave();
    fixture.accept(fixture.grant_wave("u0"));
    fixture.accept(fixture.drained("u0"));
    fixture.accept(fixture.rebooting("u0"));
    let plan_for = |fixture: &FleetFixture, report: Option<VmReport>, now| {
        let mut observations = observe(&fixture.fleet);
        if let Some(report) = report {
            observations.reports.insert(vm_id("u0"), report);
        }
        let commands = planner::plan(&fixture.fleet, &observations, &fixture.config, now);
        commands.into_iter().find(|c| {
            matches!(c, FleetCommand::Return { vm, .. } | FleetCommand::MarkFailed { vm, .. } if *vm == vm_id("u0"))
        })
    };
    assert_eq!(plan_for(&fixture, None, NOW), None);
    assert_eq!(plan_for(&fixture, Some(VmReport::Down { since: WallTime(NOW.0 - 60_000) }), NOW), None);
    let failed = plan_for(&fixture, Some(VmReport::Down { since: WallTime(NOW.0 - 900_000) }), NOW);
    assert!(matches!(failed, Some(FleetCommand::MarkFailed { .. })));
    fixture.restart("u0");
    assert!(matches!(plan_for(&fixture, None, NOW), Some(FleetCommand::Return { .. })));
    assert_eq!(fixture.vm("u0").state, VmState::Rebooting);
}

/// Guards against a shortage that each spike of a few seconds causes, because the demand is not smoothed.
#[test]
fn demand_is_smoothed() {
    let mut meter = DemandMeter::default();
    let sample = |busy_slots| DemandSample { busy_slots, slots: 32, expected_wait: Millis(0) };
    let mut is_short = Vec::new();
    for second in 0..300u64 {
        // In each 30 s, all 32 slots are busy for 5 s and 2 slots for the rest.
        let busy = if second % 30 < 5 { 32 } else { 2 };
        meter.observe(sample(busy), WallTime(second * 1_000));
        if second >= 30 {
            is_short.push(meter.demand().shortage_since.is_some());
        }
    }
    assert!(is_short.iter().all(|short| !short));
    for second in 300..600u64 {
        meter.observe(sample(32), WallTime(second * 1_000));
    }
    let since = meter.demand().shortage_since.expect("lasting demand makes the pool short");
    assert!((300_000..480_000).contains(&since.0), "{since:?}");
}

/// Guards against an entry that marks the fleet as failed because it can't reach the workers itself: it plans nothing
/// if more than half of the VMs are unreachable.
#[test]
fn entry_that_reaches_less_than_half_of_the_vms_plans_nothing() {
    let fixture = FleetFixture::new(50, &[4]);
    for (down, empty) in [(3, false), (4, true), (6, true)] {
        let mut observations = observe(&fixture.fleet);
        for report in observations.reports.values_mut().take(down) {
            *report = VmReport::Down { since: WallTime(0) };
        }
        let commands = planner::plan(&fixture.fleet, &observations, &fixture.config, NOW);
        assert_eq!(commands.is_empty(), empty, "{down} of 6 VMs are down: {commands:?}");
    }
}
