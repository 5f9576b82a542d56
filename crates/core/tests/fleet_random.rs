//! Random commands from several planners with stale copies of the document, with a fixed seed.

mod fleet_support;

use carawaybarrow_core::commit::Document;
use carawaybarrow_core::config::Config;
use carawaybarrow_core::fleet::{ConfigBasis, DrainCause, Fleet, FleetCommand};
use carawaybarrow_core::ids::VmId;
use carawaybarrow_core::units::WallTime;
use carawaybarrow_core::wave::WaveId;
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

use fleet_support::{CheckedStore, WriteFault, operator, place, pool, pool_id, set_pool, vm_id};

const PLANNERS: usize = 3;
const VMS: usize = 9;
const POOLS: [&str; 3] = ["urgent", "patient", "spare"];
const WINDOW: [(u64, u64); 1] = [(200_000, 300_000)];

#[derive(Clone, Debug)]
enum Op {
    /// A planner reads the document, the configuration and the time.
    Read { planner: usize },
    /// A planner writes commands that are based on its last read.
    Write { planner: usize, choices: Vec<CommandChoice>, answer: u8 },
    /// An operator changes a pool's budget.
    SetBudget { pool: usize, min_available: u8 },
    /// Time passes.
    Wait { ms: u64 },
}

/// Random part of a command; the rest comes from the planner's copy.
#[derive(Clone, Debug)]
struct CommandChoice {
    kind: u8,
    vm: usize,
    pool: usize,
}

fn choices() -> impl Strategy<Value = Vec<CommandChoice>> {
    let choice = (0u8..16, 0..VMS, 0..POOLS.len()).prop_map(|(kind, vm, pool)| CommandChoice { kind, vm, pool });
    prop::collection::vec(choice, 1..4)
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        4 => (0..PLANNERS).prop_map(|planner| Op::Read { planner }),
        8 => (0..PLANNERS, choices(), 0u8..6)
            .prop_map(|(planner, choices, answer)| Op::Write { planner, choices, answer }),
        1 => (0..POOLS.len(), 0u8..=100).prop_map(|(pool, min_available)| Op::SetBudget { pool, min_available }),
        2 => (0u64..40_000).prop_map(|ms| Op::Wait { ms }),
    ];
    prop::collection::vec(op, 20..120)
}

#[derive(Clone)]
struct PlannerCopy {
    base: (u64, Fleet),
    config: Config,
    now: u64,
}

fn build_command(choice: &CommandChoice, copy: &PlannerCopy) -> FleetCommand {
    let id = vm_id(&format!("vm{}", choice.vm));
    let record = copy.base.1.vm(&id);
    let expect = record.map_or_else(Default::default, |vm| vm.version);
    let at = WallTime(copy.now);
    let basis = ConfigBasis::from_config(&copy.config, copy.config.pools.keys());
    let wave = copy.base.1.wave().map_or(WaveId(1), |w| w.id);
    let to = pool_id(POOLS[choice.pool]);
    let grant = |vm: VmId, cause| FleetCommand::GrantDrain { vm, expect, cause, basis: basis.clone(), at };
    match choice.kind {
        0 => {
            let incarnation = record.map_or(1, |vm| vm.place.incarnation.0 + 1);
            let place = place(
                &format!("a{}", choice.vm),
                &format!("dc{}", choice.vm / 6),
                &format!("r{}", choice.vm / 3),
                incarnation,
            );
            FleetCommand::Register { vm: id, expect: record.map(|vm| vm.version), place, pool: to, at }
        }
        1 if choice.pool == 0 => FleetCommand::Remove { vm: id, expect },
        1 | 2 => grant(id, DrainCause::Operator { by: operator() }),
        3 | 4 => grant(id, DrainCause::Wave { wave }),
        5 | 6 => grant(id, DrainCause::Move { to }),
        7 | 8 => FleetCommand::MarkDrained { vm: id, expect },
        9 => FleetCommand::MarkRebooting { vm: id, expect },
        10 => FleetCommand::Return { vm: id, expect, at },
        11 | 12 => FleetCommand::Move { vm: id, expect, to, basis, at },
        13 if choice.pool == 0 => FleetCommand::MarkFailed { vm: id, expect, at },
        13 => FleetCommand::MarkRecovered { vm: id, expect },
        14 => FleetCommand::StartWave { replaces: Some(wave), cutoff: at, most: u32::MAX, by: operator(), at },
        _ if choice.pool == 0 => FleetCommand::StopWave { wave, reason: "test".into(), by: operator() },
        _ => {
            FleetCommand::ResumeWave { wave, expect: copy.base.1.wave().map_or(0, |w| w.phase_changes), by: operator() }
        }
    }
}

fn set_up_fleet() -> (CheckedStore, Config) {
    let mut config = Config::default();
    set_pool(&mut config, "urgent", pool(60, false, &WINDOW));
    set_pool(&mut config, "patient", pool(50, false, &[]));
    set_pool(&mut config, "spare", pool(0, true, &[]));
    let mut store = CheckedStore::new(&config);
    for i in 0..VMS {
        let place = place(&format!("a{i}"), &format!("dc{}", i / 6), &format!("r{}", i / 3), 1);
        let (vm, pool) = (vm_id(&format!("vm{i}")), pool_id(POOLS[i % POOLS.len()]));
        let command = FleetCommand::Register { vm, expect: None, place, pool, at: WallTime(0) };
        store.commit(store.read(), vec![command], WriteFault::NoFault);
    }
    let start =
        FleetCommand::StartWave { replaces: None, cutoff: WallTime(1), most: 99, by: operator(), at: WallTime(1) };
    store.commit(store.read(), vec![start], WriteFault::NoFault);
    (store, config)
}

fn run(ops: Vec<Op>) -> CheckedStore {
    let (mut store, mut config) = set_up_fleet();
    let mut now = 1_000;
    let mut copies = vec![PlannerCopy { base: store.read(), config: config.clone(), now }; PLANNERS];
    for op in ops {
        match op {
            Op::Read { planner } => copies[planner] = PlannerCopy { base: store.read(), config: config.clone(), now },
            Op::Write { planner, choices, answer } => {
                let copy = &copies[planner];
                let commands = choices.iter().map(|choice| build_command(choice, copy)).collect();
                let answer = match answer {
                    0 => WriteFault::LostAfterEffect,
                    1 => WriteFault::LostBeforeEffect,
                    _ => WriteFault::NoFault,
                };
                store.commit(copy.base.clone(), commands, answer);
            }
            Op::SetBudget { pool: i, min_available } => {
                let windows: &[(u64, u64)] = if i == 0 { &WINDOW } else { &[] };
                set_pool(&mut config, POOLS[i], pool(min_available, i == 2, windows));
                store.configs.insert(config.revision, config.clone());
            }
            Op::Wait { ms } => now += ms,
        }
    }
    store
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(0x00f1_ee70),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against planners with stale copies that violate an invariant at a write, also when answers of the store
    /// are lost or a budget changes.
    #[test]
    fn stale_planners_break_no_rule(ops in ops()) {
        let store = run(ops);
        prop_assert_eq!(Fleet::decode(&store.fleet.encode()).unwrap(), store.fleet);
    }
}
