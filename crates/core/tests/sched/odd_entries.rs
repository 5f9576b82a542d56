//! Reports of workers that are wrong or outdated must not delay the use of the others.

use std::sync::Arc;

use carawaybarrow_core::sched::graph::{VmKey, WorkerKey};
use carawaybarrow_core::sched::order::{FencingToken, WorkerReport};
use carawaybarrow_core::sched::policy::Bounds;
use carawaybarrow_core::sched::scheduler::Scheduler;
use carawaybarrow_core::units::MonoTime;

use super::model::{Model, job, report, step};

/// Reports of all workers of a model, and one of a worker that does not exist.
fn reports_with(model: &Model, odd: WorkerReport) -> Vec<WorkerReport> {
    model.workers.values().map(|w| w.report.clone()).chain([odd]).collect()
}

/// Guards against a new scheduler that waits until the lease of a worker has lapsed that has never answered, as nobody
/// is at the address of its report. All jobs of the pool waited for 7.6 s.
#[test]
fn worker_that_never_answered_is_not_in_the_recovery_set() {
    let mut model = Model::new(2);
    let odd = WorkerReport { key: WorkerKey::new("odd"), vm: None, ..report(9) };
    let listed = reports_with(&model, odd);
    model.scheduler = Scheduler::new(FencingToken(2), 1, Bounds::default(), Arc::clone(&model.policy));
    model.scheduler.apply_recovery_set(MonoTime(model.now), Vec::new());
    model.scheduler.set_workers(MonoTime(model.now), listed);
    model.poll_all();
    let recovery_set = model.scheduler.prepare_recovery_set();
    assert_eq!(recovery_set.len(), 2, "{recovery_set:?}");
    model.scheduler.record_recovery_set(&recovery_set);
    assert!(!model.scheduler.is_recovery_set_outdated());
}

/// Guards against a worker that gets its first task late, because the recovery set is stored only once it has answered;
/// against one that gets tasks before the stored recovery set names it; and against one that stays in it although it
/// never answers.
#[test]
fn worker_that_arrives_is_in_the_recovery_set_for_a_while() {
    let mut model = Model::new(1);
    let (first, second) = (report(0), report(1));
    model.scheduler.set_workers(MonoTime(model.now), vec![first, second]);
    model.poll_all();
    assert!(model.scheduler.is_recovery_set_outdated());
    let with_arrival = model.scheduler.prepare_recovery_set();
    assert_eq!(with_arrival.len(), 2);
    model.scheduler.record_recovery_set(&with_arrival);
    model.run_for(2_000);
    assert!(model.scheduler.is_recovery_set_outdated(), "the second worker does not answer");
    assert_eq!(model.scheduler.prepare_recovery_set().len(), 1);
}

/// Guards against a worker that gets tasks before the stored recovery set names it, and against one that never gets any
/// because the recovery set is not stored again after its first answer.
#[test]
fn late_worker_joins_the_recovery_set_with_its_first_answer() {
    let mut model = Model::new(2);
    let (first, second) = (report(0), report(1));
    model.scheduler.set_workers(MonoTime(model.now), vec![first.clone()]);
    model.scheduler.tick(model.time());
    model.scheduler.set_workers(MonoTime(model.now), vec![first.clone(), second.clone()]);
    model.worker_mut(1).is_partitioned = true;
    model.run_for(2_000);
    let recovery_set = model.scheduler.prepare_recovery_set();
    model.scheduler.record_recovery_set(&recovery_set);
    assert!(!model.scheduler.is_recovery_set_outdated(), "the second worker has not answered");
    model.worker_mut(1).is_partitioned = false;
    model.poll(&second.key);
    assert!(model.scheduler.is_recovery_set_outdated());
    model.work_ms = 20_000;
    model.accept("j", job(vec![step(8, 1_000)]));
    model.run_scheduler();
    assert!(model.worker_mut(1).runs.is_empty(), "the stored recovery set does not name it");
    let recovery_set = model.scheduler.prepare_recovery_set();
    model.scheduler.record_recovery_set(&recovery_set);
    model.run_for(100);
    assert_eq!(model.worker_mut(1).runs.len(), 4);
}

/// Guards against tasks that run twice because a wrong report names the address or the VM of a worker whose own report
/// is missing for a while.
#[test]
fn wrong_report_replaces_no_worker() {
    let same_address = WorkerReport { key: WorkerKey::new("odd"), vm: None, ..report(0) };
    let same_vm = WorkerReport { key: WorkerKey::new("odd"), vm: Some(VmKey::new("m0")), ..report(9) };
    for odd in [same_address, same_vm] {
        let mut model = Model::new(2);
        model.work_ms = 20_000;
        model.accept("j", job(vec![step(2, 1_000)]));
        model.run_for(500);
        assert_eq!(model.worker_mut(0).runs.len(), 2);
        let listed = vec![report(1), odd];
        model.scheduler.set_workers(MonoTime(model.now), listed);
        model.run_for(500);
        assert_eq!(model.count_running(), 2);
    }
}
