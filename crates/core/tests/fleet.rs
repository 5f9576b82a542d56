//! Rules of the fleet document, one command at a time.

mod fleet_support;

use carawaybarrow_core::commit::Document;
use carawaybarrow_core::fleet::{Fleet, FleetCommand, FleetOutcome, Rejection, VmState};
use carawaybarrow_core::ids::PoolId;
use carawaybarrow_core::units::WallTime;
use carawaybarrow_core::wave::{Phase, WaveId};

use fleet_support::{Bench, operator, place, pool, pool_id, set_pool, vm_id};

/// Guards against a budget that is rounded down, or that forgets failures or drains of another cause.
#[test]
fn budget_counts_drains_moves_and_failures_alike() {
    // (VMs, min_available, drains that must be granted)
    for (size, min, granted) in [(10, 80, 2), (10, 75, 2), (3, 50, 1), (4, 100, 0), (1, 0, 1), (9, 90, 0)] {
        let mut bench = Bench::new(min, &[size]);
        let mut accepted = 0;
        for i in 0..size {
            let vm = format!("u{i}");
            let command = match i % 2 {
                0 => bench.grant_operator(&vm),
                _ => bench.grant_move(&vm, "patient", 10_000),
            };
            accepted += u32::from(bench.fleet.apply(&command) == FleetOutcome::Applied);
        }
        assert_eq!(accepted, granted, "{size} VMs at {min} %");
    }
    let mut bench = Bench::new(80, &[10]);
    bench.accept(bench.failed("u0"));
    bench.accept(bench.failed("u1"));
    let reason = bench.reject(&bench.grant_operator("u2"));
    assert_eq!(reason, Rejection::Budget { pool: pool_id("urgent"), available: 8, required: 8 });
    assert_eq!(reason.to_string(), "pool urgent has 8 VMs available and needs 8");
}

/// Guards against drains that a superseded budget allowed.
#[test]
fn older_configuration_is_rejected() {
    let mut bench = Bench::new(50, &[10]);
    let old = bench.grant_operator("u1");
    set_pool(&mut bench.config, "urgent", pool(90, false, &[]));
    bench.accept(bench.grant_operator("u0"));
    assert!(matches!(bench.reject(&old), Rejection::OldConfig { .. }));
    assert!(matches!(bench.reject(&bench.grant_operator("u1")), Rejection::Budget { .. }));
}

/// Guards against a grant checked against the budget of a pool that the VM has left.
#[test]
fn grant_without_the_budget_of_the_pool_is_rejected() {
    let mut bench = Bench::new(50, &[2]);
    let mut command = bench.grant_operator("u0");
    let FleetCommand::GrantDrain { basis, .. } = &mut command else { unreachable!() };
    basis.pools.remove(&pool_id("urgent"));
    assert_eq!(bench.reject(&command), Rejection::PoolNotInBasis { pool: pool_id("urgent") });
}

/// Guards against a move without a drain, without a permit, to another pool than permitted, or twice.
#[test]
fn only_a_drained_vm_with_a_permit_for_the_pool_moves() {
    let mut bench = Bench::new(50, &[4]);
    assert!(matches!(bench.reject(&bench.move_to("s0", "urgent", 10_000)), Rejection::WrongState { .. }));
    bench.accept(bench.grant_move("s0", "urgent", 10_000));
    assert!(matches!(bench.reject(&bench.move_to("s0", "urgent", 10_000)), Rejection::WrongState { .. }));
    bench.accept(bench.drained("s0"));
    assert!(matches!(bench.reject(&bench.move_to("s0", "patient", 10_000)), Rejection::NoMovePermit { .. }));
    assert!(matches!(bench.reject(&bench.rebooting("s0")), Rejection::NoRebootPermit { .. }));
    let first = bench.move_to("s0", "urgent", 10_000);
    bench.accept(first.clone());
    assert!(matches!(bench.reject(&first), Rejection::Changed { .. }));
    assert!(matches!(bench.reject(&bench.move_to("s0", "urgent", 10_000)), Rejection::SamePool { .. }));
    assert_eq!(bench.vm("s0").lent_from, Some(pool_id("spare")));
    bench.accept(bench.back("s0", 11_000));
    assert_eq!((&bench.vm("s0").pool, bench.vm("s0").state), (&pool_id("urgent"), VmState::Serving));

    bench.accept(bench.grant_operator("u0"));
    bench.accept(bench.drained("u0"));
    assert!(matches!(bench.reject(&bench.move_to("u0", "patient", 10_000)), Rejection::NoMovePermit { .. }));
}

/// Guards against an arriving VM that counts as capacity before it serves, or takes budget from its new pool.
#[test]
fn arriving_vm_counts_when_it_serves() {
    let mut bench = Bench::new(80, &[5]);
    let numbers = |fleet: &Fleet, pool: &PoolId| {
        let numbers = fleet.availability(pool);
        (numbers.size, numbers.available)
    };
    bench.accept(bench.grant_move("s0", "urgent", 10_000));
    assert_eq!(numbers(&bench.fleet, &pool_id("spare")), (2, 1));
    bench.accept(bench.drained("s0"));
    bench.accept(bench.move_to("s0", "urgent", 10_000));
    assert_eq!(numbers(&bench.fleet, &pool_id("spare")), (1, 1));
    assert_eq!(numbers(&bench.fleet, &pool_id("urgent")), (5, 5));
    bench.accept(bench.back("s0", 11_000));
    assert_eq!(numbers(&bench.fleet, &pool_id("urgent")), (6, 6));
}

/// Guards against moves under a deadline window of either pool, just before it, or with an old time.
#[test]
fn no_move_under_a_deadline_window() {
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
        let mut bench = Bench::new(50, &[4]);
        bench.accept(bench.grant_move("s0", "urgent", 10_000));
        bench.accept(bench.drained("s0"));
        set_pool(&mut bench.config, name, pool(0, name == "spare", &window));
        let outcome = bench.fleet.apply(&bench.move_to("s0", "urgent", at));
        assert_eq!(outcome == FleetOutcome::Applied, accepted, "{name} {at}: {outcome:?}");
        if !accepted {
            assert!(matches!(bench.reject(&bench.grant_move("s1", "urgent", at)), Rejection::DeadlineWindow { .. }));
            bench.accept(bench.back("s0", at));
        }
    }
    let mut bench = Bench::new(50, &[4]);
    set_pool(&mut bench.config, "urgent", pool(50, false, &window));
    bench.accept(bench.grant_move("s0", "urgent", 10_000));
    bench.accept(bench.drained("s0"));
    let paused = bench.move_to("s0", "urgent", 20_000);
    bench.accept(FleetCommand::MarkFailed { vm: vm_id("u0"), expect: bench.version("u0"), at: WallTime(250_000) });
    assert!(matches!(bench.reject(&paused), Rejection::DeadlineWindow { .. }));
}

/// Guards against a repeated or delayed command taking effect in a later drain of the same VM.
#[test]
fn repeated_commands_are_rejected_in_a_later_drain() {
    let mut bench = Bench::new(50, &[4]);
    let grant = bench.grant_operator("u0");
    bench.accept(grant.clone());
    let drained = bench.drained("u0");
    bench.accept(drained.clone());
    let back = bench.back("u0", 11_000);
    bench.accept(back.clone());
    assert!(matches!(bench.reject(&grant), Rejection::Changed { .. }));
    bench.accept(bench.grant_operator("u0"));
    assert!(matches!(bench.reject(&drained), Rejection::Changed { .. }));
    bench.accept(bench.drained("u0"));
    assert!(matches!(bench.reject(&back), Rejection::Changed { .. }));
}

/// Guards against a replaced VM that loses its pool, gets two records, or is taken as drained on the word of its
/// former run.
#[test]
fn replaced_vm_keeps_its_record_and_pool() {
    let mut bench = Bench::new(50, &[4]);
    bench.accept(bench.grant_operator("u0"));
    bench.accept(bench.drained("u0"));
    bench.restart("u0");
    assert_eq!((&bench.vm("u0").pool, bench.vm("u0").state), (&pool_id("urgent"), VmState::Draining));

    let count = bench.fleet.vms().count();
    let register = |bench: &Bench, vm: &str, expect: &str, address: &str| FleetCommand::Register {
        vm: vm_id(vm),
        expect: bench.fleet.vm(&vm_id(expect)).map(|vm| vm.version),
        place: place(address, "dc0", "r0", 7),
        pool: pool_id("spare"),
        at: WallTime(20_000),
    };
    let stale = register(&bench, "new", "none", "addr-u1");
    assert!(matches!(bench.reject(&stale), Rejection::Changed { .. }));
    bench.accept(register(&bench, "new", "u1", "addr-u1"));
    assert_eq!(bench.vm("new").pool, pool_id("urgent"));
    assert!(bench.fleet.vm(&vm_id("u1")).is_none());
    assert_eq!(bench.fleet.vms().count(), count);
    let repeated = register(&bench, "new", "new", "addr-u1");
    assert_eq!(bench.fleet.apply(&repeated), FleetOutcome::Unchanged);

    let taken = register(&bench, "u2", "u2", "addr-u3");
    assert_eq!(bench.reject(&taken), Rejection::AddressTaken { by: vm_id("u3") });
}

/// Guards against the removal of a VM that may run jobs, and against an old command that meets a new record.
#[test]
fn only_drained_and_failed_vms_are_removed() {
    let mut bench = Bench::new(50, &[4]);
    let remove = |bench: &Bench, vm: &str| FleetCommand::Remove { vm: vm_id(vm), expect: bench.version(vm) };
    assert!(matches!(bench.reject(&remove(&bench, "u0")), Rejection::WrongState { .. }));
    bench.accept(bench.failed("u0"));
    let command = remove(&bench, "u0");
    bench.accept(command.clone());
    assert!(matches!(bench.reject(&command), Rejection::UnknownVm { .. }));
    bench.add("u0", "urgent", "dc0", "r0");
    bench.accept(bench.failed("u0"));
    assert!(matches!(bench.reject(&command), Rejection::Changed { .. }));
}

/// Guards against a wave that is down in two racks of a pool, grows without proof, or maintains a VM twice.
#[test]
fn wave_keeps_to_one_rack_and_doubles_after_healthy_batches() {
    let mut bench = Bench::new(0, &[8, 4]);
    bench.start_wave();
    let mut sizes = Vec::new();
    for _ in 0..4 {
        let mut taken = Vec::new();
        for i in 0..8 {
            let vm = format!("u{i}");
            if bench.fleet.apply(&bench.grant_wave(&vm)) == FleetOutcome::Applied {
                taken.push(vm);
            }
        }
        sizes.push(taken.len());
        if !taken.is_empty() {
            let reason = bench.reject(&bench.grant_wave("u8"));
            assert!(matches!(reason, Rejection::OtherDomain { .. }), "{reason:?}");
        }
        for vm in taken {
            bench.maintain(&vm);
        }
    }
    assert_eq!(sizes, [1, 2, 4, 1]);
    assert!(matches!(bench.reject(&bench.grant_wave("u0")), Rejection::NotInWave { .. }));
}

/// Guards against growth after a batch that did not come back whole.
#[test]
fn batch_with_a_failure_starts_again_from_one() {
    let mut bench = Bench::new(0, &[12]);
    bench.start_wave();
    bench.accept(bench.grant_wave("u0"));
    bench.maintain("u0");
    bench.accept(bench.grant_wave("u1"));
    bench.accept(bench.grant_wave("u2"));
    bench.accept(bench.failed("u1"));
    bench.maintain("u2");
    bench.accept(bench.grant_wave("u3"));
    assert!(matches!(bench.reject(&bench.grant_wave("u4")), Rejection::BatchFull { .. }));
}

/// Guards against a wave that goes on after two failures of one batch, rack or data centre.
#[test]
fn correlated_failures_block_the_wave_until_an_operator_resumes_it() {
    // (VMs that fail one batch after another, part of the reason)
    let cases = [(["u0", "u1"], "rack r0"), (["u0", "u4"], "data centre dc0"), (["u0", "u8"], "")];
    for (vms, expected) in cases {
        let mut bench = Bench::new(0, &[4, 4, 4]);
        bench.start_wave();
        for vm in vms {
            bench.accept(bench.grant_wave(vm));
            bench.accept(bench.failed(vm));
        }
        let found = bench.fleet.wave().unwrap().find_stop_reason();
        assert_eq!(found.is_some(), !expected.is_empty(), "{vms:?}");
        let Some(reason) = found else { continue };
        assert!(reason.contains(expected), "{reason}");
        assert!(matches!(bench.reject(&bench.grant_wave("u2")), Rejection::CorrelatedFailures { .. }));
        let wave = WaveId(1);
        bench.accept(FleetCommand::StopWave { wave, reason, by: operator() });
        let resume = FleetCommand::ResumeWave { wave, expect: 1, by: operator() };
        bench.accept(resume.clone());
        bench.accept(FleetCommand::StopWave { wave, reason: "again".into(), by: operator() });
        assert!(matches!(bench.reject(&resume), Rejection::WrongPhase { .. }), "a repeated resumption");
    }
    let mut bench = Bench::new(0, &[12]);
    bench.start_wave();
    bench.accept(bench.grant_wave("u0"));
    bench.maintain("u0");
    bench.accept(bench.grant_wave("u1"));
    bench.accept(bench.grant_wave("u2"));
    bench.accept(bench.failed("u1"));
    bench.maintain("u2");
    bench.accept(bench.failed("u2"));
    let reason = bench.fleet.wave().unwrap().find_stop_reason().unwrap();
    assert!(reason.contains("batch 1"), "a failure after the return counts: {reason}");
}

/// Guards against grants by a wave that an operator paused or stopped, and against a wave that replaces it unasked.
#[test]
fn halted_wave_grants_nothing() {
    let wave = WaveId(1);
    let halts = [
        FleetCommand::PauseWave { wave, by: operator() },
        FleetCommand::StopWave { wave, reason: "race morning".into(), by: operator() },
    ];
    for halt in halts {
        let mut bench = Bench::new(0, &[4]);
        bench.start_wave();
        bench.accept(bench.grant_wave("u0"));
        bench.accept(halt.clone());
        assert!(matches!(bench.reject(&bench.grant_wave("u1")), Rejection::WrongPhase { .. }));
        bench.maintain("u0");
        let finish = FleetCommand::FinishWave { wave, at: WallTime(20_000) };
        assert!(matches!(bench.reject(&finish), Rejection::WrongPhase { .. }));
        let start = |replaces| FleetCommand::StartWave {
            replaces,
            cutoff: WallTime(5_000),
            most: 10,
            by: operator(),
            at: WallTime(20_000),
        };
        assert!(matches!(bench.reject(&start(None)), Rejection::WrongPhase { .. }));
        bench.accept(start(Some(wave)));
        assert_eq!(bench.fleet.wave().unwrap().id, WaveId(2));
        assert_eq!(bench.fleet.wave().unwrap().phase, Phase::Running);
    }
}

/// Guards against a VM counted as maintained that never restarted.
#[test]
fn return_without_a_new_incarnation_is_no_maintenance() {
    let mut bench = Bench::new(0, &[4]);
    bench.start_wave();
    let before = bench.vm("u0").maintained_at;
    bench.accept(bench.grant_wave("u0"));
    bench.accept(bench.drained("u0"));
    bench.accept(bench.rebooting("u0"));
    bench.accept(bench.back("u0", 13_000));
    assert_eq!(bench.vm("u0").maintained_at, before);
    bench.accept(bench.grant_wave("u1"));
    bench.maintain("u1");
    assert_eq!(bench.vm("u1").maintained_at, WallTime(13_000));
}

/// Guards against a stored form that doesn't come back as it was.
#[test]
fn stored_form_round_trips() {
    let mut bench = Bench::new(0, &[4, 4]);
    bench.start_wave();
    bench.accept(bench.grant_wave("u0"));
    bench.accept(bench.grant_move("s0", "urgent", 10_000));
    bench.accept(bench.failed("u1"));
    assert_eq!(Fleet::decode(&bench.fleet.encode()).unwrap(), bench.fleet);
}
