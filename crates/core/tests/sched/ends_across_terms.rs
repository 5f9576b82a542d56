//! Ends of runs across two terms: none may be acknowledged before it is stored, and a new scheduler must not start a task
//! again whose end a worker still lists.

use std::sync::Arc;

use carawaybarrow_core::sched::graph::{JobKey, TaskName, WorkerKey};
use carawaybarrow_core::sched::order::{EndKind, EndRow, FencingToken, MAX_ENDS_PER_ANSWER};
use carawaybarrow_core::sched::policy::Bounds;
use carawaybarrow_core::sched::progress::{JobRecord, JobState, Progress};
use carawaybarrow_core::sched::recovery::PREVIOUS_TERM_OVERRUN;
use carawaybarrow_core::sched::scheduler::Scheduler;
use carawaybarrow_core::units::MonoTime;

use super::model::{Model, STEP_MS, job, step};
use super::model_worker::ModelRun;

fn done(number: u64, task: &str) -> EndRow {
    let task: TaskName = task.parse().expect("a task name");
    EndRow { number, task, run: 1, kind: EndKind::Done, checkpoint: "".into() }
}

fn key_of(worker: usize) -> WorkerKey {
    WorkerKey::new(format!("w{worker}"))
}

/// Polls all workers, each of which lists at most as many ends as the protocol allows.
fn poll_pages(model: &mut Model) {
    let now = model.time();
    let token = model.scheduler.token();
    for (key, worker) in &mut model.workers {
        let poll = model.scheduler.start_poll(now.mono, key).expect("the worker is known");
        let mut lists =
            worker.poll(now.mono.0, poll.lease_until, poll.durable_end, token).expect("the token is current");
        lists.ended.truncate(MAX_ENDS_PER_ANSWER);
        model.scheduler.apply_lists(now, key, now.mono, lists);
    }
}

/// Guards against a second run of a task whose end is not in the first list of its worker. A list has at most 500 ends,
/// and more may have accumulated while the store was away. A new scheduler took the worker's runs for known after such a
/// list.
#[test]
fn takeover_waits_for_the_ends_beyond_a_full_list() {
    let mut model = Model::new(2);
    let limit = MAX_ENDS_PER_ANSWER as u64;
    model.accept("a", job(vec![step(MAX_ENDS_PER_ANSWER as u32, 1_000)]));
    model.accept("b", job(vec![step(2, 1_000)]));
    let worker = model.worker_mut(0);
    worker.ends = (1..=limit).map(|n| done(n, &format!("a.0.0.{}", n - 1))).collect();
    worker.ends.extend([done(limit + 1, "b.0.0.0"), done(limit + 2, "b.0.0.1")]);
    worker.last_end = limit + 2;
    worker.lease_until = u64::MAX;
    model.replace_scheduler();
    // The ends are kept until the previous scheduler has stopped.
    for _ in 0..PREVIOUS_TERM_OVERRUN.0 / STEP_MS + 20 {
        poll_pages(&mut model);
        model.run_scheduler();
        assert_eq!(model.count_running(), 0, "the ends of all tasks are listed");
        model.store_writes();
        model.advance_time();
    }
    assert_eq!(model.state("a"), Some(JobState::Completed));
    assert_eq!(model.state("b"), Some(JobState::Completed));
}

/// Guards against a second run of a task whose end is listed, but not stored. Its worker has no runs and is shutting
/// down, cordoned or not listed, so the stored recovery set left it out, and the next scheduler did not wait for it.
#[test]
fn worker_with_ends_that_are_not_stored_belongs_to_the_recovery_set() {
    let mut model = Model::new(2);
    model.accept("j", job(vec![step(1, 1_000)]));
    model.store.is_down = true;
    model.run_for(1_000);
    assert_eq!(model.done.len(), 1);
    let holder = usize::from(model.worker_mut(0).ends.is_empty());
    let key = key_of(holder);
    model.scheduler.set_cordoned(&key, true);
    let recovery_set = model.scheduler.prepare_recovery_set();
    // The set is stored, and the scheduler is lost before the progress is.
    let left_out = if recovery_set.iter().any(|r| r.key == key) { None } else { model.workers.remove(&key) };
    model.replace_scheduler();
    model.workers.extend(left_out.map(|worker| (key.clone(), worker)));
    model.register_workers();
    model.store.is_down = false;
    model.worker_mut(holder).is_partitioned = true;
    model.run_for(300);
    assert_eq!(model.count_running(), 0, "the task has ended on {key}");
    model.worker_mut(holder).is_partitioned = false;
    model.run_for(2_000);
    assert_eq!(model.state("j"), Some(JobState::Completed));
    assert!(model.done.values().all(|n| *n == 1), "{:?}", model.done);
}

/// Guards against a second run of a task of a job that the scheduler doesn't know yet. The worker of its run is cordoned,
/// so the stored recovery set left it out, and the next scheduler did not wait for it.
#[test]
fn worker_with_orphaned_runs_belongs_to_the_recovery_set() {
    let mut model = Model::new(2);
    model.run_for(500);
    let size = model.worker_mut(1).report.capacity;
    let task = "j.0.0.0".parse().expect("a task name");
    model
        .worker_mut(1)
        .runs
        .insert(task, ModelRun { run: 1, remaining_ms: 60_000, work_ms: 60_000, size, stopping_ms: None });
    model.store.is_down = true;
    model.run_for(STEP_MS);
    model.scheduler.set_cordoned(&key_of(1), true);
    let recovery_set = model.scheduler.prepare_recovery_set();
    assert!(recovery_set.iter().any(|r| r.key == key_of(1)), "it has a run");
}

/// Guards against an end that is acknowledged before it is stored, because an end of the worker's earlier incarnation has
/// the same number. Both are ends of a job that the scheduler does not know yet.
#[test]
fn end_of_an_unknown_job_is_kept_beside_one_of_an_earlier_incarnation() {
    let mut model = Model::new(1);
    model.store.is_down = true;
    model.accept_unannounced("j", job(vec![step(2, 1_000)]));
    let stopped = EndRow { kind: EndKind::Stopped, ..done(1, "j.0.0.0") };
    model.worker_mut(0).ends = vec![stopped];
    model.run_for(STEP_MS);
    model.worker_mut(0).restart();
    model.worker_mut(0).ends = vec![done(1, "j.0.0.1")];
    model.worker_mut(0).last_end = 1;
    for _ in 0..20 {
        model.poll_all();
        // The store answers the request for the job, but no write.
        model.store.is_down = false;
        model.run_scheduler();
        model.store.is_down = true;
        model.advance_time();
    }
    assert!(model.state("j").is_some(), "the job is known now");
    model.poll_all();
    assert!(model.worker_mut(0).ends.contains(&done(1, "j.0.0.1")), "the end is not stored");
}

/// Guards against stored ends that a new scheduler forgets, because its own entry announces the job before the stored
/// progress is read. The job is added without progress then.
#[test]
fn job_that_is_announced_before_its_progress_is_read_keeps_it() {
    let mut model = Model::new(2);
    let mut second = step(1, 1_000);
    second.after = vec![0];
    model.accept("j", job(vec![step(1, 1_000), second]));
    model.run_for(700);
    let key = JobKey::new("j");
    let stored = model.store.progress.get(&key).cloned().expect("the end of the first step is stored");
    let Some((JobRecord::Accepted(spec), _)) = model.store.jobs.get(&key).cloned() else { panic!("it has not ended") };
    model.term += 1;
    model.store.revision += 1;
    let token = FencingToken(model.store.revision);
    model.scheduler = Scheduler::new(token, model.term, Bounds::default(), Arc::clone(&model.policy));
    let now = model.time();
    model.scheduler.add_job(now, key.clone(), spec.clone(), Progress::default(), 0);
    model.scheduler.add_job(now, key, spec, stored, 0);
    let reports = model.workers.values().map(|w| w.report.clone()).collect();
    model.scheduler.apply_recovery_set(MonoTime(model.now), reports);
    model.register_workers();
    model.run_for(3_000);
    assert_eq!(model.state("j"), Some(JobState::Completed));
    assert!(model.done.values().all(|n| *n == 1), "{:?}", model.done);
}
