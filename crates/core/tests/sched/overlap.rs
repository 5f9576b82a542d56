//! Two schedulers that act at the same time around a takeover: the previous one has not noticed that its term has ended,
//! and is notified of jobs that its successor learns of later.

use carawaybarrow_core::sched::graph::{JobKey, WorkerKey};
use carawaybarrow_core::sched::order::Order;
use carawaybarrow_core::sched::progress::{JobRecord, JobState};
use carawaybarrow_core::sched::recovery::PREVIOUS_TERM_OVERRUN;
use carawaybarrow_core::units::{MonoTime, WallTime};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::model::{Model, job, step};

/// Two workers; the job `j` was accepted after the takeover, and only the previous scheduler knows it and has started
/// its task.
fn started_by_previous(work_ms: u64) -> Model {
    let mut model = Model::new(2);
    model.work_ms = work_ms;
    model.run_for(500);
    model.replace_scheduler_unnoticed();
    model.accept_unannounced("j", job(vec![step(1, 1_000)]));
    model.run_previous(&WorkerKey::new("w0"));
    assert_eq!(model.count_running(), 1, "the previous scheduler has started the task");
    model
}

/// Guards against a second run of a task whose first one was stopped because its job was not known yet. Seen in the
/// recorded run trouble-1 of the large deployment: the successor listed the run, ordered a stop, learnt of the job and
/// started the task elsewhere while the run was still stopping.
#[test]
fn run_of_a_job_that_becomes_known_later_is_adopted() {
    let mut model = started_by_previous(2_000);
    model.store.is_down = true;
    model.run_for(1_000);
    assert_eq!(model.count_running(), 1, "the run goes on while the store can't tell whether the job exists");
    model.announce("j");
    model.run_for(200);
    assert_eq!(model.count_running(), 1);
    model.store.is_down = false;
    model.run_for(3_000);
    assert_eq!(model.state("j"), Some(JobState::Completed));
    assert_eq!(model.done.values().copied().collect::<Vec<_>>(), [1]);
}

/// Guards against the loss of an end that a worker lists before the scheduler knows the job. The worker would discard
/// it, and the task would run again.
#[test]
fn end_of_a_job_that_becomes_known_later_is_kept() {
    let mut model = started_by_previous(200);
    model.store.is_down = true;
    model.run_for(1_000);
    assert_eq!(model.count_running(), 0);
    let listed: usize = model.workers.values().map(|w| w.ends.len()).sum();
    assert_eq!(listed, 1, "the worker keeps the end");
    model.store.is_down = false;
    model.run_for(2_000);
    assert_eq!(model.state("j"), Some(JobState::Completed));
    assert_eq!(model.done.values().copied().collect::<Vec<_>>(), [1]);
    assert!(model.workers.values().all(|w| w.ends.is_empty()), "the stored end is discarded");
}

/// Guards against runs of a job that has ended, which would occupy their worker for as long as they last.
#[test]
fn run_of_a_job_that_has_ended_is_stopped_without_a_lookup() {
    let mut model = started_by_previous(60_000);
    model.scheduler.add_ended(JobKey::new("j"), JobState::Cancelled, WallTime(model.now));
    model.poll_all();
    model.scheduler.plan(model.time());
    let orders = model.scheduler.take_orders();
    assert!(matches!(orders.as_slice(), [Order::Stop { .. }]), "{orders:?}");
}

/// Guards against ends that workers list for ever because the store has no job for them.
#[test]
fn end_of_a_deleted_job_is_discarded() {
    let mut model = started_by_previous(200);
    model.store.jobs.clear();
    model.run_for(PREVIOUS_TERM_OVERRUN.0 + 1_000);
    assert!(model.workers.values().all(|w| w.ends.is_empty()));
}

/// Guards against a run of a silent worker that is forgotten: its lease must lapse before the task starts elsewhere.
#[test]
fn orphaned_run_of_a_silent_worker_counts_until_its_lease_lapses() {
    let mut model = started_by_previous(60_000);
    model.store.is_down = true;
    model.run_for(200);
    for worker in model.workers.values_mut().filter(|w| !w.runs.is_empty()) {
        worker.is_partitioned = true;
    }
    // The report of the silent worker lapses in the store.
    let listed = model.workers.values().filter(|w| !w.is_partitioned).map(|w| w.report.clone()).collect();
    model.scheduler.set_workers(MonoTime(model.now), listed);
    model.run_for(2_500);
    model.announce("j");
    for _ in 0..20 {
        model.run_for(500);
    }
    assert_eq!(model.count_running(), 1);
}

/// Guards against a second start of an occurrence that the previous scheduler, whose clock was ahead, found due earlier.
#[test]
fn run_of_an_occurrence_that_is_not_due_by_this_clock_is_adopted() {
    let mut model = Model::new(2);
    model.work_ms = 3_000;
    let mut spec = job(vec![step(1, 1_000)]);
    let first = WallTime(model.now);
    let interval = carawaybarrow_core::units::Millis(1_000);
    spec.schedule = Some(carawaybarrow_core::sched::graph::Schedule { first, interval, times: 2 });
    model.accept("j", spec);
    model.run_for(1_200);
    assert_eq!(model.count_running(), 2, "both occurrences run");
    model.now -= 600;
    model.replace_scheduler();
    model.run_for(200);
    assert_eq!(model.count_running(), 2, "no run is stopped");
    model.run_for(6_000);
    assert!(model.done.values().all(|n| *n == 1), "{:?}", model.done);
}

/// Random overlaps of two schedulers: polls, orders and notifications of both in any order.
fn simulate(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut model = Model::new(4);
    let workers: Vec<WorkerKey> = model.workers.keys().cloned().collect();
    model.workers.values_mut().for_each(|w| w.stop_ms = 300);
    let mut jobs = 0;
    for _ in 0..12 {
        model.run_for(1_000);
        model.replace_scheduler_unnoticed();
        let mut unannounced = Vec::new();
        for _ in 0..30 {
            if rng.random_range(0..4) == 0 {
                let key = format!("j{jobs}");
                jobs += 1;
                model.work_ms = rng.random_range(100..1_500);
                model.accept_unannounced(&key, job(vec![step(rng.random_range(1..5), rng.random_range(500..4_000))]));
                unannounced.push(key);
            }
            if rng.random_range(0..3) == 0 {
                model.run_previous(workers.choose(&mut rng).expect("there are workers"));
            }
            for worker in &workers {
                if rng.random_range(0..3) == 0 {
                    model.poll(worker);
                }
            }
            if !unannounced.is_empty() && rng.random_range(0..4) == 0 {
                let key = unannounced.swap_remove(rng.random_range(0..unannounced.len()));
                model.announce(&key);
            }
            if rng.random_range(0..20) == 0 {
                model.store.is_down = !model.store.is_down;
            }
            model.run_scheduler();
            model.store_writes();
            model.advance_time();
        }
        model.store.is_down = false;
        model.previous = None;
        unannounced.iter().for_each(|key| model.announce(key));
    }
    model.run_for(60_000);
    for number in 0..jobs {
        let state = model.state(&format!("j{number}"));
        assert_eq!(state, Some(JobState::Completed), "seed {seed}: j{number}");
    }
    let twice: Vec<_> = model.done.iter().filter(|(_, n)| **n != 1).collect();
    assert!(twice.is_empty(), "seed {seed}: not done exactly once: {twice:?}");
    assert_eq!(model.stopped, 0, "seed {seed}: work was thrown away");
    assert!(model.store.jobs.values().all(|(record, _)| matches!(record, JobRecord::Ended { .. })), "seed {seed}");
}

/// Guards against tasks that run twice, or are lost, while two schedulers overlap.
#[test]
fn tasks_run_once_while_two_schedulers_overlap() {
    for seed in 0..80 {
        simulate(seed);
    }
}
