//! Workers that crash and start again under the ids that they had.

use carawaybarrow_core::sched::maintenance::{Vm, VmState};
use carawaybarrow_core::units::MonoTime;

use super::model::{Model, job, report, step};

/// Time after which the list of VMs counts as up to date about a worker.
const SETTLING_MS: u64 = 3_000;

/// List of VMs that shows the VM of one worker as down and the others as up.
fn list_with_down_vm(model: &Model, down: usize) -> Vec<Vm> {
    let mut listed = model.list_vms();
    listed[down].state = VmState::Down;
    listed
}

/// Plans once before the workers answer again, and then for a while. Checks that the one task has no second run.
fn check_that_nothing_starts(model: &mut Model) {
    model.run_scheduler();
    model.check_invariants();
    model.run_for(1_000);
    assert_eq!(model.count_running(), 1);
}

/// Guards against a task that runs twice because a list of VMs from before a worker's restart ends the runs from after
/// it. Seen in review/3, where a list took 0.5 s.
#[test]
fn list_from_before_a_restart_ends_no_runs() {
    let mut model = Model::new(2);
    model.work_ms = 20_000;
    model.run_for(SETTLING_MS);
    model.accept("j", job(vec![step(1, 1_000)]));
    model.run_for(300);
    let holder = usize::from(model.worker_mut(0).runs.is_empty());
    let requested = MonoTime(model.now);
    let listed = list_with_down_vm(&model, holder);
    model.advance_time();
    model.worker_mut(holder).restart();
    model.run_for(300);
    assert_eq!(model.count_running(), 1, "the task was started again");
    model.scheduler.apply_vm_list(requested, MonoTime(model.now), &listed);
    check_that_nothing_starts(&mut model);
}

/// Guards against the same, for a list that was requested after the restart and still shows the time before.
#[test]
fn list_that_lags_behind_a_restart_ends_no_runs() {
    let mut model = Model::new(2);
    model.work_ms = 20_000;
    model.run_for(SETTLING_MS);
    model.worker_mut(0).restart();
    model.accept("j", job(vec![step(1, 1_000)]));
    model.run_for(300);
    let holder = usize::from(model.worker_mut(0).runs.is_empty());
    assert_eq!(holder, 0, "the restarted worker has the task");
    // The worker has not answered since the request.
    let requested = MonoTime(model.now);
    model.scheduler.apply_vm_list(requested, requested, &list_with_down_vm(&model, holder));
    check_that_nothing_starts(&mut model);
}

/// Guards against the same, for a worker that accepts a start before it answers its first poll after the restart.
#[test]
fn list_from_before_an_accepted_start_ends_no_runs() {
    let mut model = Model::new(2);
    model.work_ms = 20_000;
    model.run_for(SETTLING_MS);
    let requested = MonoTime(model.now);
    let listed = list_with_down_vm(&model, 0);
    model.advance_time();
    model.worker_mut(0).restart();
    model.accept("j", job(vec![step(1, 1_000)]));
    model.run_scheduler();
    assert_eq!(model.worker_mut(0).runs.len(), 1, "the restarted worker has the task");
    model.scheduler.apply_vm_list(requested, MonoTime(model.now), &listed);
    check_that_nothing_starts(&mut model);
}

/// Guards against a task that runs twice because it is started elsewhere while a start without an answer is on its way
/// to a worker that is down, and that executes it once it has started again.
#[test]
fn start_in_flight_to_a_worker_that_is_down_is_kept() {
    let mut model = Model::new(2);
    model.work_ms = 20_000;
    model.run_for(SETTLING_MS);
    model.accept("j", job(vec![step(1, 1_000)]));
    model.scheduler.plan(model.time());
    let in_flight = model.scheduler.take_orders();
    assert_eq!(in_flight.len(), 1);
    model.advance_time();
    let now = MonoTime(model.now);
    model.scheduler.apply_vm_list(now, now, &list_with_down_vm(&model, 0));
    model.worker_mut(0).restart();
    model.run_scheduler();
    for order in in_flight {
        model.execute_order(order);
    }
    model.run_for(1_000);
    assert_eq!(model.count_running(), 1);
}

/// Guards against a task that runs twice because the first answer of a restarted worker, which was given before the
/// task started there, ends the run.
#[test]
fn answer_from_before_an_accepted_start_does_not_end_its_run() {
    let mut model = Model::new(2);
    model.work_ms = 20_000;
    model.run_for(SETTLING_MS);
    let key = report(0).key;
    let sent = MonoTime(model.now);
    let poll = model.scheduler.start_poll(sent, &key).expect("the worker is known");
    model.worker_mut(0).restart();
    let (now, token) = (model.now, model.scheduler.token());
    let lists = model.worker_mut(0).poll(now, poll.lease_until, poll.durable_end, token).expect("the token is valid");
    model.advance_time();
    model.accept("j", job(vec![step(1, 1_000)]));
    model.run_scheduler();
    assert_eq!(model.worker_mut(0).runs.len(), 1, "the restarted worker has the task");
    model.scheduler.apply_lists(model.time(), &key, sent, lists);
    // A second run would start on the other worker.
    model.scheduler.set_cordoned(&key, true);
    check_that_nothing_starts(&mut model);
}

/// Guards against a worker that is not polled although the scheduler knows it, or that is polled twice at the same time:
/// it was dropped and listed again between two polls.
#[test]
fn worker_that_is_dropped_and_listed_again_is_polled_once() {
    let mut model = Model::new(1);
    let key = report(0).key;
    assert_eq!(model.scheduler.take_unpolled(), std::slice::from_ref(&key));
    assert_eq!(model.scheduler.take_unpolled(), []);
    let drop_worker = |model: &mut Model| {
        model.scheduler.set_workers(MonoTime(model.now), Vec::new());
        model.scheduler.tick(model.time());
    };
    drop_worker(&mut model);
    model.register_workers();
    assert_eq!(model.scheduler.take_unpolled(), [], "its polls go on");
    drop_worker(&mut model);
    assert_eq!(model.scheduler.start_poll(MonoTime(model.now), &key), None);
    model.register_workers();
    assert_eq!(model.scheduler.take_unpolled(), [key], "its polls have ended");
}

/// Guards against a worker that is dropped and added again, and polled from the start each time, as long as the report of
/// a VM that is down stays in the store. It took a tenth of the processor time on the large deployment.
#[test]
fn worker_that_is_gone_is_known_while_it_has_a_report() {
    let mut model = Model::new(2);
    model.run_for(SETTLING_MS);
    let key = report(0).key;
    model.scheduler.take_unpolled();
    model.worker_mut(0).is_partitioned = true;
    let requested = MonoTime(model.now);
    model.scheduler.apply_vm_list(requested, requested, &list_with_down_vm(&model, 0));
    for _ in 0..20 {
        model.scheduler.tick(model.time());
        model.register_workers();
        assert!(model.scheduler.worker(&key).is_some_and(|w| w.is_gone && !w.is_listed()));
        model.run_for(200);
    }
    assert_eq!(model.scheduler.take_unpolled(), [], "its polls go on");
    model.scheduler.set_workers(MonoTime(model.now), vec![report(1)]);
    model.scheduler.tick(model.time());
    assert!(model.scheduler.worker(&key).is_none(), "it has no report any more");
}

/// Guards against the same for a worker whose address another one has: each poll shows that it has ended, and it would be
/// added again each second.
#[test]
fn worker_whose_address_another_one_has_is_known_while_it_has_a_report() {
    let mut model = Model::new(2);
    let key = report(0).key;
    model.worker_mut(0).is_partitioned = true;
    for _ in 0..20 {
        let now = MonoTime(model.now);
        model.scheduler.drop_ended_worker(now, &key, now);
        model.scheduler.tick(model.time());
        model.register_workers();
        assert!(model.scheduler.worker(&key).is_some_and(|w| w.is_gone && !w.is_listed()));
        model.run_for(200);
    }
    model.worker_mut(0).is_partitioned = false;
    model.poll(&key);
    assert!(model.scheduler.worker(&key).is_some_and(|w| w.is_listed()), "it has started again under its id");
}

/// Guards against a task that runs twice because a worker that has refused the token of the previous scheduler crashes and
/// starts again under its id. It has seen no token then, and accepts an order that the previous scheduler sends before it
/// stops, or sent earlier, as a call without an answer may be executed seconds later.
#[test]
fn restarted_worker_takes_no_order_of_an_earlier_term() {
    let mut model = Model::new(2);
    model.work_ms = 20_000;
    model.run_for(SETTLING_MS);
    model.replace_scheduler_unnoticed();
    model.poll_all();
    model.accept_unannounced("j", job(vec![step(1, 1_000)]));
    model.advance_time();
    let (now, key) = (MonoTime(model.now), report(0).key);
    model.scheduler.record_lost_poll(&key, true);
    model.scheduler.apply_vm_list(now, now, &list_with_down_vm(&model, 0));
    model.announce("j");
    model.run_scheduler();
    assert_eq!(model.worker_mut(1).runs.len(), 1, "the present scheduler has started the task");
    model.worker_mut(0).restart();
    model.run_previous(&key);
    model.check_invariants();
}
