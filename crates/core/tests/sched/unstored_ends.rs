//! Ends of runs that are not stored yet must stay with their workers, as a new scheduler learns of them only there.

use carawaybarrow_core::sched::order::{EndKind, EndRow};
use carawaybarrow_core::sched::progress::JobState;
use carawaybarrow_core::units::MonoTime;

use super::model::{Model, STEP_MS, job, report, step};

/// Guards against a task that runs again although its end was acknowledged. The store was down, so the end was not
/// stored. The worker's report was missing for a while, and after it had come back the worker listed the end again. It
/// changed nothing any more, and was acknowledged as if it were stored.
#[test]
fn end_that_is_listed_again_is_not_acknowledged_before_it_is_stored() {
    let mut model = Model::new(2);
    model.accept("j", job(vec![step(1, 1_000)]));
    model.store.is_down = true;
    model.run_for(1_000);
    assert_eq!(model.done.len(), 1);
    let holder = usize::from(model.worker_mut(0).ends.is_empty());
    model.scheduler.set_workers(MonoTime(model.now), vec![report(1 - holder)]);
    model.run_for(STEP_MS);
    model.register_workers();
    model.run_for(1_000);
    assert_eq!(model.worker_mut(holder).ends.len(), 1, "the end is not stored");
    model.replace_scheduler();
    model.store.is_down = false;
    model.run_for(2_000);
    assert_eq!(model.state("j"), Some(JobState::Completed));
    assert!(model.done.values().all(|n| *n == 1), "{:?}", model.done);
}

/// Guards against the same for the end of a second run, whose worker may be the only one left that knows of an end.
#[test]
fn second_end_of_a_task_is_not_acknowledged_before_the_first_is_stored() {
    let mut model = Model::new(2);
    model.accept("j", job(vec![step(1, 1_000)]));
    model.store.is_down = true;
    model.run_for(1_000);
    let holder = usize::from(model.worker_mut(0).ends.is_empty());
    let other = 1 - holder;
    let task = model.worker_mut(holder).ends[0].task.clone();
    let end = EndRow { number: 1, task, run: 2, kind: EndKind::Done, checkpoint: "".into() };
    model.worker_mut(other).ends.push(end);
    model.worker_mut(other).last_end = 1;
    model.run_for(1_000);
    assert_eq!(model.worker_mut(other).ends.len(), 1, "the end is not stored");
    model.store.is_down = false;
    model.run_for(1_000);
    assert!(model.worker_mut(other).ends.is_empty());
}
