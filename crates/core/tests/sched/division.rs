//! Two schedulers in a division: the previous one has lost the store and does not know of its successor, and each reaches
//! workers that the other does not.

use carawaybarrow_core::sched::graph::WorkerKey;
use carawaybarrow_core::sched::progress::JobState;

use super::model::{Model, STEP_MS, job, step};

/// Lets both schedulers act for a time. The previous one reaches only the workers of its side, the present one only the
/// others.
fn run_divided(model: &mut Model, side_of_previous: &[usize], duration_ms: u64) {
    let side: Vec<WorkerKey> = side_of_previous.iter().map(|n| WorkerKey::new(format!("w{n}"))).collect();
    for _ in 0..duration_ms / STEP_MS {
        model.workers.iter_mut().for_each(|(key, worker)| worker.is_partitioned = !side.contains(key));
        side.iter().for_each(|key| model.run_previous(key));
        model.workers.iter_mut().for_each(|(key, worker)| worker.is_partitioned = side.contains(key));
        model.poll_all();
        model.run_scheduler();
        model.store_writes();
        model.advance_time();
    }
}

/// Number of the worker that runs the only task.
fn worker_of_only_run(model: &Model) -> usize {
    let running: Vec<usize> =
        model.workers.values().enumerate().filter(|(_, w)| !w.runs.is_empty()).map(|(n, _)| n).collect();
    assert_eq!(running.len(), 1, "one worker runs the task");
    running[0]
}

/// Ends the division, and checks that the only job is done exactly once.
fn assert_done_once(model: &mut Model) {
    model.previous = None;
    model.workers.values_mut().for_each(|w| w.is_partitioned = false);
    model.run_for(60_000);
    assert_eq!(model.state("j"), Some(JobState::Completed));
    assert_eq!(model.done.values().copied().collect::<Vec<_>>(), [1]);
}

/// Guards against a scheduler that extends the leases of its side's workers although nothing tells it that no later term
/// has begun. Its successor starts their tasks elsewhere once the leases should have lapsed.
#[test]
fn unconfirmed_scheduler_extends_no_leases() {
    let mut model = Model::new(2);
    model.work_ms = 20_000;
    model.accept("j", job(vec![step(1, 1_000)]));
    model.run_for(500);
    let side = worker_of_only_run(&model);
    model.replace_scheduler_unnoticed();
    run_divided(&mut model, &[side], 12_000);
    assert_done_once(&mut model);
}

/// Guards against a scheduler that gives up a silent worker because its own last lease has lapsed there, although a later
/// scheduler has extended it since. The task would run twice, or again after its end was acknowledged.
#[test]
fn scheduler_gives_up_no_worker_whose_lease_a_later_term_may_have_extended() {
    let mut model = Model::new(2);
    model.work_ms = 20_000;
    model.accept("j", job(vec![step(1, 1_000)]));
    model.run_for(500);
    let silent = worker_of_only_run(&model);
    // The worker still receives polls, which extend its lease until the scheduler counts it as silent.
    model.worker_mut(silent).loses_answers = true;
    model.run_for(4_800);
    model.worker_mut(silent).loses_answers = false;
    model.replace_scheduler_unnoticed();
    run_divided(&mut model, &[1 - silent], 1_900);
    assert_done_once(&mut model);
}

/// Guards against a job that two schedulers start: it was accepted after the later term had begun, and the previous
/// scheduler was notified of it and started it, before it stopped, on a worker that the later one does not reach.
#[test]
fn job_that_the_previous_scheduler_may_know_waits_for_silent_workers() {
    let mut model = Model::new(2);
    model.work_ms = 20_000;
    model.run_for(500);
    model.replace_scheduler_unnoticed();
    model.accept_unannounced("j", job(vec![step(1, 1_000)]));
    model.run_previous(&WorkerKey::new("w0"));
    let side = worker_of_only_run(&model);
    run_divided(&mut model, &[side], 2_500);
    model.announce("j");
    run_divided(&mut model, &[side], 8_000);
    assert_done_once(&mut model);
}
