//! Evacuation of a data centre.

use carawaybarrow_core::Set;
use carawaybarrow_core::sched::balance::BalanceState;
use carawaybarrow_core::sched::graph::{PoolName, Step};
use carawaybarrow_core::sched::maintenance::{Vm, VmState};
use carawaybarrow_core::sched::order::{Order, StartAnswer};
use carawaybarrow_core::sched::policy::Policy;
use carawaybarrow_core::units::MonoTime;

use super::model::{Model, job, report, step};

/// Model with workers w0 to w3, of which w0 and w1 are in the data centre `z` and the others in `y`.
fn two_data_centres() -> Model {
    let mut model = Model::new(4);
    for number in 2..4 {
        model.worker_mut(number).report.data_centre = "y".into();
    }
    model.register_workers();
    model.run_for(500);
    model
}

fn evacuate(model: &mut Model, names: &[&str]) {
    let data_centres: Set<_> = names.iter().map(smol_str::SmolStr::new).collect();
    model.scheduler.set_evacuated(data_centres);
}

fn running(model: &mut Model, numbers: std::ops::Range<usize>) -> usize {
    numbers.map(|n| model.worker_mut(n).runs.len()).sum()
}

fn lasting(count: u32) -> Step {
    Step { lasting: true, may_miss: Some(1), max_per_worker: Some(1), ..step(count, 1_000) }
}

/// Guards against starts in an evacuated data centre, and against workers that stay empty once it is taken back.
#[test]
fn evacuated_data_centre_gets_no_tasks_until_it_is_taken_back() {
    let mut model = two_data_centres();
    model.work_ms = 20_000;
    evacuate(&mut model, &["z"]);
    model.accept("j", job(vec![step(16, 1_000)]));
    model.run_for(500);
    assert_eq!(running(&mut model, 0..2), 0);
    assert_eq!(running(&mut model, 2..4), 8);
    evacuate(&mut model, &[]);
    model.run_for(500);
    assert_eq!(running(&mut model, 0..2), 8);
}

/// Guards against an evacuation that the successor forgets: it knows the evacuations before it starts anything, and
/// workers that it learns of later are evacuated too.
#[test]
fn successor_keeps_an_evacuation() {
    let mut model = two_data_centres();
    model.work_ms = 20_000;
    model.replace_scheduler();
    evacuate(&mut model, &["z"]);
    model.register_workers();
    model.accept("j", job(vec![step(16, 1_000)]));
    model.run_for(3_000);
    assert_eq!(running(&mut model, 0..2), 0);
}

/// Guards against a start without an answer that is sent again after the evacuation has begun.
#[test]
fn unanswered_start_is_stopped_instead_of_repeated() {
    let mut model = two_data_centres();
    model.accept("j", job(vec![step(1, 1_000)]));
    model.scheduler.plan(model.time());
    let orders = model.scheduler.take_orders();
    let [Order::Start(start)] = orders.as_slice() else { panic!("{orders:?}") };
    let evacuated = model.workers[&start.worker].report.data_centre.clone();
    model.scheduler.apply_start_answer(
        MonoTime(model.now),
        &start.worker,
        &start.task,
        start.run,
        StartAnswer::Unknown,
    );
    evacuate(&mut model, &[&evacuated]);
    for _ in 0..10 {
        model.advance_time();
    }
    model.poll_all();
    model.scheduler.tick(model.time());
    let repeated = model.scheduler.take_orders();
    assert!(matches!(repeated.as_slice(), [Order::Stop { .. }]), "{repeated:?}");
}

/// Guards against lasting tasks that stay in an evacuated data centre, and against more of them away at a time than
/// their step allows.
#[test]
fn lasting_tasks_move_as_their_step_allows() {
    let mut model = two_data_centres();
    model.work_ms = u64::MAX;
    // Only one worker of the other data centre is free at first.
    model.accept("j", job(vec![lasting(3)]));
    model.run_for(1_000);
    assert!(running(&mut model, 0..2) >= 1);
    evacuate(&mut model, &["z"]);
    for _ in 0..100 {
        model.run_for(50);
        assert!(model.count_running() >= 2, "more than one task is away");
    }
    assert_eq!(running(&mut model, 2..4), 2);
    assert_eq!(running(&mut model, 0..2), 1, "the task without room elsewhere stays");
}

/// Guards against pools that are refilled from the evacuated data centre, whose VMs bring no capacity.
#[test]
fn pool_is_refilled_from_other_data_centres() {
    let mut model = Model::new(2);
    let mut policy = Policy { version: 2, ..(*model.policy).clone() };
    policy.standby = Some(PoolName::new("standby"));
    model.scheduler.set_policy(std::sync::Arc::new(policy));
    model.run_for(500);
    model.accept("j", job(vec![step(12, 1_000)]));
    evacuate(&mut model, &["z"]);
    let vm = |name: &str, pool: &str, data_centre: &str| Vm {
        key: carawaybarrow_core::sched::graph::VmKey::new(name),
        pool: PoolName::new(pool),
        state: VmState::Up,
        data_centre: data_centre.into(),
        capacity: report(0).capacity,
        worker: None,
    };
    let mut listed = vec![vm("s0", "standby", "z"), vm("s1", "standby", "y")];
    for number in 0..2 {
        let report = report(number);
        let key = report.vm.clone().expect("workers of the model have a VM");
        listed.push(Vm { worker: Some(report.key), ..vm(key.as_str(), "p", "z") });
    }
    let moves = model.scheduler.plan_moves(MonoTime(model.now), &mut BalanceState::default(), &listed);
    let moved: Vec<_> = moves.iter().map(|m| (m.vm.to_string(), m.pool.to_string())).collect();
    assert_eq!(moved, [("s1".to_owned(), "p".to_owned())]);
}
