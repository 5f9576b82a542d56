//! What a new scheduler may start.

use carawaybarrow_core::sched::graph::{Step, WorkerKey};
use carawaybarrow_core::sched::maintenance::{Vm, VmState};
use carawaybarrow_core::sched::order::Order;
use carawaybarrow_core::sched::progress::JobState;
use carawaybarrow_core::units::{Millis, MonoTime};

use super::model::{Model, ModelRun, job, step};

/// Guards against tasks that start anew although they run on a worker of the last term.
#[test]
fn runs_of_the_last_term_are_adopted() {
    let mut model = Model::new(2);
    model.work = 3_000;
    model.accept("j", job(vec![step(4, 1_000)]));
    model.run_for(500);
    model.change_scheduler();
    model.run_for(4_000);
    assert_eq!(model.state("j"), Some(JobState::Completed));
    assert!(model.done.values().all(|n| *n == 1));
}

/// Guards against a second run beside one of the last term whose worker answers once and is not looked at again in
/// time: its lease is from the last scheduler, and must end first (TWICE on trouble-3 of the grown Stillwater site).
#[test]
fn run_of_the_last_term_is_not_repeated_before_its_lease_ends() {
    let mut model = Model::new(2);
    model.work = 20_000;
    model.accept("j", job(vec![step(1, 1_000)]));
    model.run_for(500);
    model.change_scheduler();
    model.look_at_all();
    for worker in model.workers.values_mut().filter(|w| !w.runs.is_empty()) {
        worker.is_cut = true;
    }
    // The scheduler is held up for longer than a worker may be silent, so it extends no lease.
    for _ in 0..30 {
        model.pass();
    }
    model.run_for(8_000);
    assert_eq!(model.running(), 1, "the task goes on at the other worker");
}

/// Guards against a pool that waits after a takeover for workers that the list of VMs shows to have ended: their VMs
/// were ordered to move or down by the last scheduler, or are gone, while the store still lists the workers.
#[test]
fn pool_does_not_wait_for_workers_whose_vms_are_away() {
    for state in [Some(VmState::Moving), Some(VmState::Maintenance), Some(VmState::Down), None] {
        let mut model = Model::new(2);
        model.run_for(500);
        model.worker(1).is_cut = true;
        model.change_scheduler();
        model.run_for(2_500);
        assert!(!model.scheduler.is_reconciled());
        let vms: Vec<Vm> = [(0, Some(VmState::Up)), (1, state)]
            .into_iter()
            .filter_map(|(number, state)| Some((super::model::report(number), state?)))
            .map(|(report, state)| Vm {
                key: report.vm.expect("each worker of the model has a VM"),
                pool: report.pool,
                state,
                data_centre: report.data_centre,
                capacity: report.capacity,
                worker: (state == VmState::Up).then_some(report.key),
            })
            .collect();
        let now = MonoTime(model.now);
        model.scheduler.apply_vm_list(now, now, &vms);
        assert!(model.scheduler.is_reconciled(), "{state:?}");
    }
}

/// Guards against a job, accepted just after the takeover, that the last scheduler has started as well: it was told of
/// the job too, and a worker that was not looked at yet obeys it (TWICE on trouble-3 of Le Guennec).
#[test]
fn new_job_waits_until_the_pool_has_answered() {
    let mut model = Model::new(2);
    model.run_for(500);
    model.change_scheduler();
    model.accept("j", job(vec![step(1, 1_000)]));
    model.look(&WorkerKey::new("w0"));
    model.scheduler.plan(model.time());
    assert_eq!(model.scheduler.take_orders(), [], "w1 may run it by an order of the last scheduler");
    model.look(&WorkerKey::new("w1"));
    model.scheduler.plan(model.time());
    assert_eq!(model.scheduler.take_orders().len(), 1);
}

/// Guards against a silent worker of the last term that keeps new jobs waiting for its whole lease.
#[test]
fn new_job_waits_for_a_silent_worker_only_until_the_last_scheduler_is_deposed() {
    let mut model = Model::new(2);
    model.run_for(500);
    model.worker(1).is_cut = true;
    model.change_scheduler();
    model.accept("j", job(vec![step(1, 1_000)]));
    model.run_for(1_500);
    assert_eq!(model.running(), 0);
    model.run_for(1_000);
    assert_eq!(model.running() + model.done.len(), 1);
}

/// Guards against starts beside runs of jobs that have ended: their room is unknown until they are gone (LIMIT on
/// scale-1 of Stillwater).
#[test]
fn nothing_starts_beside_a_stray_run() {
    let mut model = Model::new(1);
    model.run_for(500);
    let stray = "gone.0.0.0".parse().expect("a task name");
    let size = model.worker(0).report.capacity;
    model.worker(0).runs.insert(stray, ModelRun { run: 1, left: 60_000, work: 60_000, size, stopping: false });
    model.worker(0).lease_until = u64::MAX;
    model.accept("j", job(vec![step(1, 1_000)]));
    model.look_at_all();
    model.scheduler.plan(model.time());
    let orders = model.scheduler.take_orders();
    assert!(matches!(orders.as_slice(), [Order::Stop { .. }]), "{orders:?}");
    for order in orders {
        model.give(order);
    }
    model.run_for(1_500);
    assert_eq!(model.state("j"), Some(JobState::Completed));
}

/// Guards against attempts that are counted anew by each scheduler.
#[test]
fn failures_count_across_terms() {
    let mut model = Model::new(2);
    model.worker(0).fails = true;
    model.worker(1).fails = true;
    model.accept("j", job(vec![step(1, 1_000)]));
    for _ in 0..6 {
        model.run_for(700);
        model.change_scheduler();
    }
    model.run_for(3_000);
    assert_eq!(model.state("j"), Some(JobState::Failed));
    assert!(model.failed.values().all(|n| *n <= 2), "{:?}", model.failed);
}

/// Guards against starts on a worker that the stored roster no longer names: a successor would not wait for it (one of
/// two holes found behind TWICE on scheduler-killed-frozen-cut, Le Guennec, seed 518473394999).
#[test]
fn worker_left_out_of_the_roster_gets_nothing() {
    let mut model = Model::new(2);
    model.run_for(500);
    let first = vec![model.worker(0).report.clone()];
    let both = vec![model.worker(0).report.clone(), model.worker(1).report.clone()];
    model.scheduler.set_workers(MonoTime(model.now), first.clone());
    model.scheduler.record_recovery_set(&first);
    model.scheduler.set_workers(MonoTime(model.now), both);
    model.work = 20_000;
    model.accept("j", job(vec![step(8, 1_000)]));
    model.run_for(500);
    assert!(model.worker(1).runs.is_empty(), "the store's roster does not name it");
    assert_eq!(model.worker(0).runs.len(), 4);
}

/// Guards against a list of VMs that is behind and makes a new scheduler forget a worker of the roster, which may run
/// tasks of the last term (the other hole).
#[test]
fn list_that_is_behind_settles_no_worker_of_the_roster() {
    let mut model = Model::new(2);
    model.work = 20_000;
    model.accept("j", job(vec![step(1, 1_000)]));
    model.run_for(500);
    let holder = usize::from(model.worker(0).runs.is_empty());
    model.change_scheduler();
    let other = model.worker(1 - holder).report.key.clone();
    let report = model.worker(holder).report.clone();
    model.scheduler.set_workers(MonoTime(model.now), Vec::new());
    let listed = [Vm {
        key: report.vm.expect("workers of the model have a VM"),
        pool: report.pool,
        state: VmState::Moving,
        data_centre: "z".into(),
        capacity: report.capacity,
        worker: None,
    }];
    let now = MonoTime(model.now);
    model.scheduler.apply_vm_list(now, now, &listed);
    model.list_workers();
    model.look(&other);
    model.scheduler.plan(model.time());
    assert_eq!(model.scheduler.take_orders(), [], "the task may run on the worker that has not answered");
}

/// Guards against an end that a worker forgets unseen: it started again under its id, ran a task before it was looked
/// at, and was told to forget ends up to a number of its life before (TWICE, seeds 1 and 2 of the soak).
#[test]
fn ends_of_a_new_life_are_not_forgotten_by_numbers_of_the_old_one() {
    let mut model = Model::new(1);
    model.accept("j", job(vec![step(1, 1_000)]));
    model.run_for(1_000);
    assert_eq!(model.state("j"), Some(JobState::Completed));
    model.worker(0).is_cut = true;
    model.look_at_all();
    model.worker(0).restart();
    model.worker(0).is_cut = false;
    model.accept("k", job(vec![step(1, 1_000)]));
    model.advance();
    for _ in 0..10 {
        model.pass();
    }
    model.run_for(1_000);
    assert_eq!(model.state("k"), Some(JobState::Completed));
    assert!(model.done.values().all(|n| *n == 1), "{:?}", model.done);
}

/// Guards against pools that wait after a takeover for workers that were on their way to another pool, and against a
/// start on a worker between its removal from the roster and the write of the next one.
#[test]
fn worker_that_moves_is_not_on_the_roster() {
    let mut model = Model::new(2);
    model.run_for(500);
    let (kept, moving) = (model.worker(0).report.key.clone(), model.worker(1).report.key.clone());
    model.scheduler.set_cordoned(&moving, true);
    assert!(model.scheduler.is_recovery_set_outdated());
    let roster = model.scheduler.prepare_recovery_set();
    assert_eq!(roster.iter().map(|r| r.key.clone()).collect::<Vec<_>>(), [kept]);
    // The move is refused while the roster is written.
    model.scheduler.set_cordoned(&moving, false);
    model.scheduler.record_recovery_set(&roster);
    model.work = 20_000;
    model.accept("j", job(vec![step(8, 1_000)]));
    model.run_for(300);
    assert!(model.worker(1).runs.is_empty(), "the store's roster does not name it");
    assert!(model.scheduler.is_recovery_set_outdated());
    let roster = model.scheduler.prepare_recovery_set();
    model.scheduler.record_recovery_set(&roster);
    model.run_for(300);
    assert_eq!(model.worker(1).runs.len(), 4);
    // A worker with runs stays on the roster although it is emptied.
    model.scheduler.set_cordoned(&moving, true);
    assert_eq!(model.scheduler.prepare_recovery_set().len(), 2);
}

/// Guards against a start that a worker carries out in a new life while the scheduler takes its run for gone: it
/// counts no room for it, and may start the task elsewhere (LIMIT, seed 222 of the soak).
#[test]
fn start_on_its_way_outlives_a_new_life_of_the_worker() {
    let mut model = Model::new(1);
    model.look_at_all();
    // Its objective ends late, so the tasks of the other job come first.
    model.accept("j", job(vec![Step { estimate: Millis(5_000), ..step(1, 1_000) }]));
    model.scheduler.plan(model.time());
    let on_its_way = model.scheduler.take_orders();
    assert_eq!(on_its_way.len(), 1);
    model.worker(0).restart();
    model.look_at_all();
    model.accept("k", job(vec![step(4, 1_000)]));
    model.advance();
    for order in on_its_way {
        model.give(order);
    }
    model.check();
    assert_eq!(model.running(), 4);
    model.run_for(1_500);
    assert!(model.done.values().all(|n| *n == 1), "{:?}", model.done);
    assert_eq!(model.state("k"), Some(JobState::Completed));
}
