//! Rules of the fleet document for single commands.

mod fleet_support;

use carawaybarrow_core::commit::Document;
use carawaybarrow_core::fleet::{Fleet, FleetCommand, FleetOutcome, Rejection, VmState};
use carawaybarrow_core::ids::PoolId;
use carawaybarrow_core::units::WallTime;
use carawaybarrow_core::wave::{Phase, WaveId};

use fleet_support::{FleetFixture, operator, place, pool, pool_id, set_pool, vm_id};

/// Guards against more VMs out of service than a pool's budget allows, because the required number is rounded down, or
/// failures or drains of another cause don't count.
#[test]
fn budget_counts_drains_moves_and_failures_alike() {
    // (VMs, min_available, drains that must be granted)
    for (size, min, granted) in [(10, 80, 2), (10, 75, 2), (3, 50, 1), (4, 100, 0), (1, 0, 1), (9, 90, 0)] {
        let mut fixture = FleetFixture::new(min, &[size]);
        let mut accepted = 0;
        for i in 0..size {
            let vm = format!("u{i}");
            let command = match i % 2 {
                0 => fixture.grant_operator(&vm),
                _ => fixture.grant_move(&vm, "patient", 10_000),
            };
            accepted += u32::from(fixture.fleet.apply(&command) == FleetOutcome::Applied);
        }
        assert_eq!(accepted, granted, "{size} VMs at {min} %");
    }
    let mut fixture = FleetFixture::new(80, &[10]);
    fixture.accept(fixture.failed("u0"));
    fixture.accept(fixture.failed("u1"));
    let reason = fixture.reject(&fixture.grant_operator("u2"));
    assert_eq!(reason, Rejection::Budget { pool: pool_id("urgent"), available: 8, required: 8 });
    assert_eq!(reason.to_string(), "pool urgent has 8 VMs available and needs 8");
}

/// Guards against drains that only a superseded budget allows, when a planner with an old configuration writes late.
#[test]
fn older_configuration_is_rejected() {
    let mut fixture = FleetFixture::new(50, &[10]);
    let old = fixture.grant_operator("u1");
    set_pool(&mut fixture.config, "urgent", pool(90, false, &[]));
    fixture.accept(fixture.grant_operator("u0"));
    assert!(matches!(fixture.reject(&old), Rejection::OldConfig { .. }));
    assert!(matches!(fixture.reject(&fixture.grant_operator("u1")), Rejection::Budget { .. }));
}

/// Guards against a grant that is not checked against the budget of the VM's pool, because the planner knew the VM in
/// another pool and sent only the budget of that one.
#[test]
fn grant_without_the_budget_of_the_pool_is_rejected() {
    let mut fixture = FleetFixture::new(50, &[2]);
    let mut command = fixture.grant_operator("u0");
    let FleetCommand::GrantDrain { basis, .. } = &mut command else { unreachable!() };
    basis.pools.remove(&pool_id("urgent"));
    assert_eq!(fixture.reject(&command), Rejection::PoolNotInBasis { pool: pool_id("urgent") });
}

/// Guards against a VM that moves while it runs jobs, without a drain permit, to another pool than permitted, or twice.
#[test]
fn only_a_drained_vm_with_a_drain_permit_for_the_pool_moves() {
    let mut fixture = FleetFixture::new(50, &[4]);
    assert!(matches!(fixture.reject(&fixture.move_to("s0", "urgent", 10_000)), Rejection::WrongState { .. }));
    fixture.accept(fixture.grant_move("s0", "urgent", 10_000));
    assert!(matches!(fixture.reject(&fixture.move_to("s0", "urgent", 10_000)), Rejection::WrongState { .. }));
    fixture.accept(fixture.drained("s0"));
    assert!(matches!(fixture.reject(&fixture.move_to("s0", "patient", 10_000)), Rejection::NoMovePermit { .. }));
    assert!(matches!(fixture.reject(&fixture.rebooting("s0")), Rejection::NoRebootPermit { .. }));
    let first = fixture.move_to("s0", "urgent", 10_000);
    fixture.accept(first.clone());
    assert!(matches!(fixture.reject(&first), Rejection::Changed { .. }));
    assert!(matches!(fixture.reject(&fixture.move_to("s0", "urgent", 10_000)), Rejection::SamePool { .. }));
    assert_eq!(fixture.vm("s0").lent_from, Some(pool_id("spare")));
    fixture.accept(fixture.returned("s0", 11_000));
    assert_eq!((&fixture.vm("s0").pool, fixture.vm("s0").state), (&pool_id("urgent"), VmState::Serving));

    fixture.accept(fixture.grant_operator("u0"));
    fixture.accept(fixture.drained("u0"));
    assert!(matches!(fixture.reject(&fixture.move_to("u0", "patient", 10_000)), Rejection::NoMovePermit { .. }));
}

/// Guards against an arriving VM that counts as capacity before it serves, or reduces the budget of its new pool.
#[test]
fn arriving_vm_counts_when_it_serves() {
    let mut fixture = FleetFixture::new(80, &[5]);
    let size_and_available = |fleet: &Fleet, pool: &PoolId| {
        let availability = fleet.availability(pool);
        (availability.size, availability.available)
    };
    fixture.accept(fixture.grant_move("s0", "urgent", 10_000));
    assert_eq!(size_and_available(&fixture.fleet, &pool_id("spare")), (2, 1));
    fixture.accept(fixture.drained("s0"));
    fixture.accept(fixture.move_to("s0", "urgent", 10_000));
    assert_eq!(size_and_available(&fixture.fleet, &pool_id("spare")), (1, 1));
    assert_eq!(size_and_available(&fixture.fleet, &pool_id("urgent")), (5, 5));
    fixture.accept(fixture.returned("s0", 11_000));
    assert_eq!(size_and_available(&fixture.fleet, &pool_id("urgent")), (6, 6));
}

/// Guards against moves in a deadline window of either pool or just before it, and against a delayed move whose time is
/// from before the window.
#[test]
fn no_move_in_a_deadline_window() {
    let window = [(200_000, 300_000)];
    // (pool with the window, time of the move, accepted)
    let cases = [
        ("urgent", 100_000, true),
        ("urgent", 139_999, true),
        ("urgent", 140_000, false),
        ("urgent", 200_000, false),
        ("urgent", 299_999, false),
        ("urgent", 300_000, true),
        ("spare", 250_000, false),
        ("patient", 250_000, true),
    ];
    for (name, at, accepted) in cases {
        let mut fixture = FleetFixture::new(50, &[4]);
        fixture.accept(fixture.grant_move("s0", "urgent", 10_000));
        fixture.accept(fixture.drained("s0"));
        set_pool(&mut fixture.config, name, pool(0, name == "spare", &window));
        let outcome = fixture.fleet.apply(&fixture.move_to("s0", "urgent", at));
        assert_eq!(outcome == FleetOutcome::Applied, accepted, "{name} {at}: {outcome:?}");
        if !accepted {
            assert!(matches!(
                fixture.reject(&fixture.grant_move("s1", "urgent", at)),
                Rejection::DeadlineWindow { .. }
            ));
            fixture.accept(fixture.returned("s0", at));
        }
    }
    let mut fixture = FleetFixture::new(50, &[4]);
    set_pool(&mut fixture.config, "urgent", pool(50, false, &window));
    fixture.accept(fixture.grant_move("s0", "urgent", 10_000));
    fixture.accept(fixture.drained("s0"));
    let late_move = fixture.move_to("s0", "urgent", 20_000);
    fixture.accept(FleetCommand::MarkFailed { vm: vm_id("u0"), expect: fixture.version("u0"), at: WallTime(250_000) });
    assert!(matches!(fixture.reject(&late_move), Rejection::DeadlineWindow { .. }));
}

/// Guards against a repeated or delayed command that takes effect in a later drain of the same VM.
#[test]
fn repeated_commands_are_rejected_in_a_later_drain() {
    let mut fixture = FleetFixture::new(50, &[4]);
    let grant = fixture.grant_operator("u0");
    fixture.accept(grant.clone());
    let drained = fixture.drained("u0");
    fixture.accept(drained.clone());
    let returned = fixture.returned("u0", 11_000);
    fixture.accept(returned.clone());
    assert!(matches!(fixture.reject(&grant), Rejection::Changed { .. }));
    fixture.accept(fixture.grant_operator("u0"));
    assert!(matches!(fixture.reject(&drained), Rejection::Changed { .. }));
    fixture.accept(fixture.drained("u0"));
    assert!(matches!(fixture.reject(&returned), Rejection::Changed { .. }));
}

/// Guards against a replaced VM that loses its pool, gets two records, or counts as drained because its previous
/// incarnation was.
#[test]
fn replaced_vm_keeps_its_record_and_pool() {
    let mut fixture = FleetFixture::new(50, &[4]);
    fixture.accept(fixture.grant_operator("u0"));
    fixture.accept(fixture.drained("u0"));
    fixture.restart("u0");
    assert_eq!((&fixture.vm("u0").pool, fixture.vm("u0").state), (&pool_id("urgent"), VmState::Draining));

    let count = fixture.fleet.vms().count();
    let register = |fixture: &FleetFixture, vm: &str, expect: &str, address: &str| FleetCommand::Register {
        vm: vm_id(vm),
        expect: fixture.fleet.vm(&vm_id(expect)).map(|vm| vm.version),
        place: place(address, "dc0", "r0", 7),
        pool: pool_id("spare"),
        at: WallTime(20_000),
    };
    let stale = register(&fixture, "new", "none", "addr-u1");
    assert!(matches!(fixture.reject(&stale), Rejection::Changed { .. }));
    fixture.accept(register(&fixture, "new", "u1", "addr-u1"));
    assert_eq!(fixture.vm("new").pool, pool_id("urgent"));
    assert!(fixture.fleet.vm(&vm_id("u1")).is_none());
    assert_eq!(fixture.fleet.vms().count(), count);
    let repeated = register(&fixture, "new", "new", "addr-u1");
    assert_eq!(fixture.fleet.apply(&repeated), FleetOutcome::Unchanged);

    let duplicate = register(&fixture, "u2", "u2", "addr-u3");
    assert_eq!(fixture.reject(&duplicate), Rejection::AddressTaken { by: vm_id("u3") });
}

/// Guards against the removal of a VM that may run jobs, and against a delayed removal that applies to a new record of
/// the same VM.
#[test]
fn only_drained_and_failed_vms_are_removed() {
    let mut fixture = FleetFixture::new(50, &[4]);
    let remove = |fixture: &FleetFixture, vm: &str| FleetCommand::Remove { vm: vm_id(vm), expect: fixture.version(vm) };
    assert!(matches!(fixture.reject(&remove(&fixture, "u0")), Rejection::WrongState { .. }));
    fixture.accept(fixture.failed("u0"));
    let command = remove(&fixture, "u0");
    fixture.accept(command.clone());
    assert!(matches!(fixture.reject(&command), Rejection::UnknownVm { .. }));
    fixture.add("u0", "urgent", "dc0", "r0");
    fixture.accept(fixture.failed("u0"));
    assert!(matches!(fixture.reject(&command), Rejection::Changed { .. }));
}

/// Guards against a wave that drains VMs in two racks of a pool at once, grows before its last batch has returned, or
/// maintains a VM twice.
#[test]
fn wave_keeps_to_one_rack_and_doubles_after_healthy_batches() {
    let mut fixture = FleetFixture::new(0, &[8, 4]);
    fixture.start_wave();
    let mut sizes = Vec::new();
    for _ in 0..4 {
        let mut granted = Vec::new();
        for i in 0..8 {
            let vm = format!("u{i}");
            if fixture.fleet.apply(&fixture.grant_wave(&vm)) == FleetOutcome::Applied {
                granted.push(vm);
            }
        }
        sizes.push(granted.len());
        if !granted.is_empty() {
            let reason = fixture.reject(&fixture.grant_wave("u8"));
            assert!(matches!(reason, Rejection::OtherDomain { .. }), "{reason:?}");
        }
        for vm in granted {
            fixture.maintain(&vm);
        }
    }
    assert_eq!(sizes, [1, 2, 4, 1]);
    assert!(matches!(fixture.reject(&fixture.grant_wave("u0")), Rejection::NotInWave { .. }));
}

/// Guards against a larger batch after one in which a VM failed.
#[test]
fn batch_with_a_failure_starts_again_from_one() {
    let mut fixture = FleetFixture::new(0, &[12]);
    fixture.start_wave();
    fixture.accept(fixture.grant_wave("u0"));
    fixture.maintain("u0");
    fixture.accept(fixture.grant_wave("u1"));
    fixture.accept(fixture.grant_wave("u2"));
    fixture.accept(fixture.failed("u1"));
    fixture.maintain("u2");
    fixture.accept(fixture.grant_wave("u3"));
    assert!(matches!(fixture.reject(&fixture.grant_wave("u4")), Rejection::BatchFull { .. }));
}

/// Guards against a wave that continues after two VMs failed in one batch, rack or data centre, although its
/// maintenance may be the cause.
#[test]
fn correlated_failures_block_the_wave_until_an_operator_resumes_it() {
    // (VMs that fail in successive batches, part of the reason; empty if the wave continues)
    let cases = [(["u0", "u1"], "rack r0"), (["u0", "u4"], "data centre dc0"), (["u0", "u8"], "")];
    for (vms, expected) in cases {
        let mut fixture = FleetFixture::new(0, &[4, 4, 4]);
        fixture.start_wave();
        for vm in vms {
            fixture.accept(fixture.grant_wave(vm));
            fixture.accept(fixture.failed(vm));
        }
        let stop_reason = fixture.fleet.wave().unwrap().find_stop_reason();
        assert_eq!(stop_reason.is_some(), !expected.is_empty(), "{vms:?}");
        let Some(reason) = stop_reason else { continue };
        assert!(reason.contains(expected), "{reason}");
        assert!(matches!(fixture.reject(&fixture.grant_wave("u2")), Rejection::CorrelatedFailures { .. }));
        let wave = WaveId(1);
        fixture.accept(FleetCommand::StopWave { wave, reason, by: operator() });
        let resume = FleetCommand::ResumeWave { wave, expect: 1, by: operator() };
        fixture.accept(resume.clone());
        fixture.accept(FleetCommand::StopWave { wave, reason: "again".into(), by: operator() });
        assert!(matches!(fixture.reject(&resume), Rejection::WrongPhase { .. }), "a repeated command resumed the wave");
    }
    let mut fixture = FleetFixture::new(0, &[12]);
    fixture.start_wave();
    fixture.accept(fixture.grant_wave("u0"));
    fixture.maintain("u0");
    fixture.accept(fixture.grant_wave("u1"));
    fixture.accept(fixture.grant_wave("u2"));
    fixture.accept(fixture.failed("u1"));
    fixture.maintain("u2");
    fixture.accept(fixture.failed("u2"));
    let reason = fixture.fleet.wave().unwrap().find_stop_reason().unwrap();
    assert!(reason.contains("batch 1"), "a failure after the VM returned counts: {reason}");
}

/// Guards against grants by a wave that an operator paused or stopped, and against a new wave that replaces it without
/// naming it.
#[test]
fn halted_wave_grants_nothing() {
    let wave = WaveId(1);
    let halt_commands = [
        FleetCommand::PauseWave { wave, by: operator() },
        FleetCommand::StopWave { wave, reason: "race morning".into(), by: operator() },
    ];
    for halt in halt_commands {
        let mut fixture = FleetFixture::new(0, &[4]);
        fixture.start_wave();
        fixture.accept(fixture.grant_wave("u0"));
        fixture.accept(halt.clone());
        assert!(matches!(fixture.reject(&fixture.grant_wave("u1")), Rejection::WrongPhase { .. }));
        fixture.maintain("u0");
        let finish = FleetCommand::FinishWave { wave, at: WallTime(20_000) };
        assert!(matches!(fixture.reject(&finish), Rejection::WrongPhase { .. }));
        let start = |replaces| FleetCommand::StartWave {
            replaces,
            cutoff: WallTime(5_000),
            most: 10,
            by: operator(),
            at: WallTime(20_000),
        };
        assert!(matches!(fixture.reject(&start(None)), Rejection::WrongPhase { .. }));
        fixture.accept(start(Some(wave)));
        assert_eq!(fixture.fleet.wave().unwrap().id, WaveId(2));
        assert_eq!(fixture.fleet.wave().unwrap().phase, Phase::Running);
    }
}

/// Guards against a VM that counts as maintained although it never restarted.
#[test]
fn return_without_a_new_incarnation_is_no_maintenance() {
    let mut fixture = FleetFixture::new(0, &[4]);
    fixture.start_wave();
    let before = fixture.vm("u0").maintained_at;
    fixture.accept(fixture.grant_wave("u0"));
    fixture.accept(fixture.drained("u0"));
    fixture.accept(fixture.rebooting("u0"));
    fixture.accept(fixture.returned("u0", 13_000));
    assert_eq!(fixture.vm("u0").maintained_at, before);
    fixture.accept(fixture.grant_wave("u1"));
    fixture.maintain("u1");
    assert_eq!(fixture.vm("u1").maintained_at, WallTime(13_000));
}

/// Guards against a stored form that loses a part of the document.
#[test]
fn stored_form_round_trips() {
    let mut fixture = FleetFixture::new(0, &[4, 4]);
    fixture.start_wave();
    fixture.accept(fixture.grant_wave("u0"));
    fixture.accept(fixture.grant_move("s0", "urgent", 10_000));
    fixture.accept(fixture.failed("u1"));
    assert_eq!(Fleet::decode(&fixture.fleet.encode()).unwrap(), fixture.fleet);
}
