//! Workers that crash and start again under the ids that they had.

use carawaybarrow_core::sched::maintenance::{Vm, VmState};
use carawaybarrow_core::sched::order::{Order, StartAnswer};
use carawaybarrow_core::sched::progress::JobState;
use carawaybarrow_core::sched::recovery::PREVIOUS_TERM_OVERRUN;
use carawaybarrow_core::sched::scheduler::CONFIRMATION_LIMIT;
use carawaybarrow_core::sched::worker::LATE_CALL_LIMIT;
use carawaybarrow_core::units::{Millis, MonoTime};

use super::model::{Model, STEP_MS, job, report, step};

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

/// Runs a task on the one worker until its end is stored. The next poll lets the worker discard it.
fn run_until_an_end_is_stored(model: &mut Model) {
    model.accept("j", job(vec![step(1, 1_000)]));
    while model.state("j") != Some(JobState::Completed) {
        model.run_for(STEP_MS);
    }
}

/// Lets the next poll get no answer, because the worker restarts.
fn restart_during_a_poll(model: &mut Model) {
    model.worker_mut(0).is_partitioned = true;
    model.poll_all();
    model.worker_mut(0).restart();
    model.worker_mut(0).is_partitioned = false;
}

/// Guards against an end that is discarded unread by a late poll that was meant for an earlier incarnation of its worker.
/// The task then runs twice. In the simulation of ends with seed 1431.
#[test]
fn restarted_worker_gets_no_tasks_while_a_late_poll_may_discard_their_ends() {
    let mut model = Model::new(1);
    run_until_an_end_is_stored(&mut model);
    restart_during_a_poll(&mut model);
    model.accept("k", job(vec![step(1, 1_000)]));
    model.run_for(LATE_CALL_LIMIT.0 - 100);
    assert_eq!(model.state("k"), Some(JobState::Queued));
    model.run_for(1_000);
    assert_eq!(model.state("k"), Some(JobState::Completed));
}

/// Guards against the same for a start between the loss of the poll and the next answer, which shows the restart.
#[test]
fn worker_that_may_have_restarted_gets_no_tasks_while_a_late_poll_may_discard_their_ends() {
    let mut model = Model::new(1);
    run_until_an_end_is_stored(&mut model);
    restart_during_a_poll(&mut model);
    model.accept("k", job(vec![step(1, 1_000)]));
    model.run_scheduler();
    assert_eq!(model.count_running(), 0, "a late poll may discard the end");
}

/// Guards against a repeated start that a restarted worker executes, although a late poll may discard its end. The first
/// start did not arrive.
#[test]
fn start_is_not_repeated_at_a_restarted_worker_while_a_late_poll_may_discard_its_end() {
    let mut model = Model::new(1);
    run_until_an_end_is_stored(&mut model);
    model.accept("k", job(vec![step(1, 1_000)]));
    model.scheduler.plan(model.time());
    let orders = model.scheduler.take_orders();
    let [Order::Start(start)] = orders.as_slice() else { panic!("{orders:?}") };
    let now = MonoTime(model.now);
    model.scheduler.apply_start_answer(now, &start.worker, &start.task, start.run, StartAnswer::Unknown);
    restart_during_a_poll(&mut model);
    for _ in 0..20 {
        model.run_for(STEP_MS);
        assert!(model.worker_mut(0).runs.is_empty(), "a late poll may discard the end");
    }
    model.run_for(LATE_CALL_LIMIT.0);
    assert_eq!(model.state("k"), Some(JobState::Completed));
}

/// Guards against a restarted worker that waits although no poll without an answer can discard ends: its ends had been
/// discarded before, or nothing listened at its address.
#[test]
fn restarted_worker_gets_tasks_at_once_if_no_late_poll_discards_ends() {
    let mut model = Model::new(1);
    run_until_an_end_is_stored(&mut model);
    model.run_for(2 * STEP_MS);
    restart_during_a_poll(&mut model);
    model.accept("k", job(vec![step(1, 1_000)]));
    model.run_for(1_000);
    assert_eq!(model.state("k"), Some(JobState::Completed), "the ends were discarded before");

    let mut model = Model::new(1);
    run_until_an_end_is_stored(&mut model);
    let key = report(0).key;
    let poll = model.scheduler.start_poll(MonoTime(model.now), &key).expect("the worker is known");
    assert_eq!(poll.durable_end, 1);
    model.worker_mut(0).restart();
    model.scheduler.record_lost_poll(&key, true);
    model.accept("k", job(vec![step(1, 1_000)]));
    model.run_for(1_000);
    assert_eq!(model.state("k"), Some(JobState::Completed), "the poll was not sent");
}

/// Guards against a worker that gets no tasks for seconds after each lost answer, although it answers and has not restarted.
#[test]
fn lost_answer_of_a_worker_that_goes_on_stops_no_starts() {
    let mut model = Model::new(1);
    run_until_an_end_is_stored(&mut model);
    model.worker_mut(0).loses_answers = true;
    model.poll_all();
    model.worker_mut(0).loses_answers = false;
    model.accept("k", job(vec![step(1, 1_000)]));
    model.run_for(1_000);
    assert_eq!(model.state("k"), Some(JobState::Completed));
}

/// Lets the previous scheduler start a task on a worker that has refused its token and restarted since. The present one
/// would start it on the other worker.
fn start_by_previous_on_restarted_worker() -> Model {
    let mut model = Model::new(2);
    model.work_ms = 20_000;
    model.run_for(SETTLING_MS);
    model.replace_scheduler_unnoticed();
    model.poll_all();
    model.accept_unannounced("j", job(vec![step(1, 1_000)]));
    model.advance_time();
    model.scheduler.set_cordoned(&report(0).key, true);
    model.announce("j");
    model.run_scheduler();
    start_by_previous_after_restart(&mut model);
    model
}

fn start_by_previous_after_restart(model: &mut Model) {
    model.worker_mut(0).restart();
    model.run_previous(&report(0).key);
    assert_eq!(model.worker_mut(0).runs.len(), 1, "the previous scheduler has started the task");
}

/// Guards against a task that runs twice because a worker that has refused the token of the previous scheduler crashes and
/// starts again under its id. It has seen no token then, and accepts an order that the previous scheduler sends before it
/// stops, or sent earlier, as a call without an answer may be executed seconds later.
#[test]
fn restarted_worker_takes_no_order_of_an_earlier_term() {
    let mut model = start_by_previous_on_restarted_worker();
    model.check_invariants();
    for _ in 0..PREVIOUS_TERM_OVERRUN.0 / STEP_MS + 10 {
        model.run_for(STEP_MS);
        model.check_invariants();
    }
    assert_eq!(model.count_running(), 1);
}

/// Guards against a task that runs twice because a scheduler whose lease lapsed is taken for stopped while it acts: it does so
/// for as long as its last renewal allows. The worker has restarted, as above.
#[test]
fn scheduler_whose_lease_lapsed_may_act_a_little_longer() {
    const LEASE: Millis = Millis(1_500);
    let mut model = Model::new(2);
    model.work_ms = 20_000;
    model.run_for(SETTLING_MS);
    model.replace_scheduler_after_lapse(LEASE);
    model.accept_unannounced("j", job(vec![step(1, 1_000)]));
    model.scheduler.set_cordoned(&report(0).key, true);
    model.announce("j");
    // The last confirmation is one step older than the lease.
    model.run_for(CONFIRMATION_LIMIT.0 - LEASE.0 - STEP_MS);
    start_by_previous_after_restart(&mut model);
    for _ in 0..PREVIOUS_TERM_OVERRUN.0 / STEP_MS {
        model.check_invariants();
        model.run_for(STEP_MS);
    }
    assert_eq!(model.count_running(), 1);
}

/// Guards against jobs of earlier terms that wait longer than until their scheduler has stopped and all workers have
/// answered once more.
#[test]
fn jobs_of_earlier_terms_start_once_their_scheduler_has_stopped() {
    let mut model = Model::new(2);
    model.work_ms = 20_000;
    model.run_for(SETTLING_MS);
    model.replace_scheduler_unnoticed();
    model.accept("j", job(vec![step(1, 1_000)]));
    model.run_for(PREVIOUS_TERM_OVERRUN.0);
    assert_eq!(model.count_running(), 0, "the previous scheduler may start it on a worker that restarts");
    model.run_for(2 * STEP_MS);
    assert_eq!(model.count_running(), 1);
}

/// Lets the present scheduler take over a task that has ended, and the previous one poll the worker after a restart.
/// Checks that no end is lost or counted twice.
#[test]
fn end_is_kept_by_its_worker_until_earlier_schedulers_have_stopped() {
    let mut model = Model::new(1);
    model.run_for(SETTLING_MS);
    model.accept("j", job(vec![step(1, 1_000)]));
    model.run_for(300);
    model.replace_scheduler_unnoticed();
    model.run_for(1_000);
    assert_eq!(model.worker_mut(0).ends.len(), 1, "a scheduler that has not stopped may start the task again");
    let key = report(0).key;
    model.worker_mut(0).restart();
    model.run_previous(&key);
    model.check_invariants();
    model.run_for(PREVIOUS_TERM_OVERRUN.0 + 2_000);
    assert_eq!(model.state("j"), Some(JobState::Completed));
    assert_eq!(model.worker_mut(0).ends, [], "the ends of the new incarnation are discarded");
}

/// Guards against a task that runs twice because its lease counts as lapsed: an earlier scheduler has started it on a
/// worker that had restarted, and the present one has not extended the lease there.
#[test]
fn restarted_worker_has_the_lease_that_an_earlier_scheduler_may_have_granted() {
    let mut model = start_by_previous_on_restarted_worker();
    // A silent worker gets no extension with the poll that shows its restart.
    model.now += 1_500;
    model.poll(&report(0).key);
    model.worker_mut(0).is_partitioned = true;
    for _ in 0..80 {
        model.run_for(STEP_MS);
        model.check_invariants();
    }
}
