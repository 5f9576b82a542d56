//! Fencing of a term whose scheduler may still act without the store.

use carawaybarrow_core::sched::fence::{self, FENCING_DELAY, Fence};
use carawaybarrow_core::sched::graph::WorkerKey;
use carawaybarrow_core::sched::maintenance::VmState;
use carawaybarrow_core::sched::order::FencingToken;
use carawaybarrow_core::sched::recovery::VM_LIST_LAG;
use carawaybarrow_core::units::{Millis, MonoTime};

use super::model::{Model, STEP_MS, job, report, step};

/// Time by which the term had ended.
const ENDED: MonoTime = MonoTime(10_000);

/// Time of a list of VMs that shows the end of the term.
const LISTED: MonoTime = MonoTime(ENDED.0 + VM_LIST_LAG.0 + 1);

fn fence() -> Fence {
    Fence::new(ENDED, vec![report(0), report(1)]).expect("the workers report their incarnations")
}

/// Guards against a term that begins while the last scheduler can act on a worker that has not refused its orders yet.
#[test]
fn term_is_fenced_once_each_worker_has_answered() {
    let mut fence = fence();
    fence.record_answer(&WorkerKey::new("w0"));
    assert!(!fence.is_complete());
    assert_eq!(fence.outstanding(), vec![report(1)]);
    fence.record_answer(&WorkerKey::new("w1"));
    assert!(fence.is_complete());
}

/// Guards against new entries that wait for a minute because a worker was lost together with the earlier ones.
#[test]
fn workers_that_have_ended_need_not_answer() {
    let model = Model::new(2);
    let mut listed = model.list_vms();
    listed[0].state = VmState::Down;
    listed[1].worker = Some(WorkerKey::new("other"));
    let mut fence = fence();
    fence.apply_vm_list(LISTED, &listed);
    assert!(fence.is_complete());
    let mut unlisted = Fence::new(ENDED, vec![report(0), report(1)]).expect("the workers report their incarnations");
    unlisted.apply_vm_list(LISTED, &listed[..1]);
    assert!(unlisted.is_complete());
}

/// Guards against a list that shows a VM before its worker started, and against an empty one.
#[test]
fn list_from_before_the_end_of_the_term_shows_no_end() {
    let model = Model::new(2);
    let mut listed = model.list_vms();
    listed.iter_mut().for_each(|vm| vm.state = VmState::Down);
    let mut fence = fence();
    fence.apply_vm_list(ENDED + VM_LIST_LAG, &listed);
    fence.apply_vm_list(LISTED, &[]);
    assert_eq!(fence.outstanding().len(), 2);
    fence.apply_vm_list(LISTED, &model.list_vms());
    assert_eq!(fence.outstanding().len(), 2, "workers on VMs that are up may act");
}

/// Guards against a fence that a worker leaves unnoticed as it restarts.
#[test]
fn worker_without_an_incarnation_prevents_a_fence() {
    let mut unknown = report(1);
    unknown.incarnation = None;
    assert!(Fence::new(ENDED, vec![report(0), unknown]).is_none());
}

/// Guards against entries that use up the calls that the store accepts while they wait for a scheduler.
#[test]
fn waiting_entries_share_a_rate_of_attempts() {
    for others in [0, 2, 8, 33, 146, 300, 5_000] {
        let attempts_per_s = (others as u64 + 1) * 1_000 / fence::attempt_interval(others).0;
        assert!(attempts_per_s <= 50, "{attempts_per_s} with {others} others");
    }
    assert!(fence::attempt_interval(8) <= Millis(1_000), "a few entries try often");
}

/// Guards against a task that a scheduler without the store starts although its term was fenced: a worker that has
/// restarted since has seen no token.
#[test]
fn fenced_scheduler_starts_nothing_on_a_worker_that_has_restarted() {
    let mut model = Model::new(2);
    model.work_ms = 20_000;
    model.run_for(3_000);
    // Other entries confirm the term without the store.
    model.store.is_down = true;
    model.run_for(FENCING_DELAY.0);
    let now = model.now;
    for worker in model.workers.values_mut() {
        worker.poll(now, None, 0, FencingToken(100)).expect("the token is higher");
    }
    model.worker_mut(0).restart();
    model.accept("j", job(vec![step(1, 1_000)]));
    // Only the restarted worker is reached.
    for _ in 0..Millis(10_000).0 / STEP_MS {
        model.poll(&WorkerKey::new("w0"));
        model.run_scheduler();
        model.advance_time();
    }
    assert_eq!(model.count_running(), 0);
}

/// Guards against workers that restart and stay idle.
#[test]
fn worker_that_has_restarted_gets_tasks_once_the_stored_set_names_it() {
    let mut model = Model::new(1);
    model.work_ms = 20_000;
    model.run_for(3_000);
    model.store.is_down = true;
    model.run_for(FENCING_DELAY.0);
    model.worker_mut(0).restart();
    model.accept("j", job(vec![step(1, 1_000)]));
    model.run_for(1_000);
    assert_eq!(model.count_running(), 0);
    model.store.is_down = false;
    model.run_for(500);
    assert_eq!(model.count_running(), 1);
}
