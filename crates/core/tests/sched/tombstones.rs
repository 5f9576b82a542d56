//! Jobs that are cancelled before the scheduler knows them.

use carawaybarrow_core::sched::graph::{JobKey, QueueName, TeamName};
use carawaybarrow_core::sched::progress::JobState;
use carawaybarrow_core::sched::tombstones::{JobOwner, RETENTION, Tombstones};
use carawaybarrow_core::units::MonoTime;

use super::model::{Model, job, step};

fn owner(queue: &str, team: Option<&str>) -> JobOwner {
    JobOwner { queue: QueueName::new(queue), team: team.map(TeamName::new) }
}

fn add(model: &mut Model, document: &str, owner: JobOwner, job: &str) {
    let tombstones = Tombstones::new(owner, JobKey::new(job));
    model.scheduler.add_tombstones(MonoTime(model.now), document, &tombstones);
}

fn new_model() -> Model {
    let mut model = Model::new(2);
    model.run_for(1_000);
    model
}

/// Guards against a job that starts although its caller was told that there is no such job. Seen in review/15.
#[test]
fn job_that_appears_after_its_tombstone_is_cancelled() {
    for is_created_first in [false, true] {
        let mut model = new_model();
        if is_created_first {
            // Created between the caller's look-up and the write of the tombstone.
            model.accept("j", job(vec![step(1, 1_000)]));
            model.run_for(100);
        }
        add(&mut model, "d", owner("q", None), "j");
        model.accept("j", job(vec![step(1, 1_000)]));
        model.run_for(2_000);
        assert_eq!((model.state("j"), model.done.len()), (Some(JobState::Cancelled), 0));
        assert_eq!(model.stopped, u32::from(is_created_first));
    }
}

/// Guards against a tombstone that cancels the job of another team or queue, which may use the same id.
#[test]
fn tombstone_cancels_no_job_of_others() {
    for (queue, team) in [("other", None), ("q", Some("t"))] {
        let mut model = new_model();
        model.accept("known", job(vec![step(1, 1_000)]));
        add(&mut model, "d", owner(queue, team), "known");
        add(&mut model, "e", owner(queue, team), "later");
        model.accept("later", job(vec![step(1, 1_000)]));
        model.run_for(2_000);
        assert_eq!(model.done.len(), 2);
    }
}

/// Guards against tombstones that are kept for ever, and against one that ends with another document that names the same job, or
/// before the scheduler has heard of the last job that it may name.
#[test]
fn tombstones_are_kept_for_a_time() {
    let mut model = new_model();
    add(&mut model, "d", owner("q", None), "j");
    // The scheduler receives it from the entry and from its watch of the store.
    add(&mut model, "d", owner("q", None), "j");
    model.run_for(RETENTION.0 / 2);
    add(&mut model, "e", owner("q", None), "j");
    model.scheduler.record_jobs_read(MonoTime(model.now));
    model.run_for(RETENTION.0 / 2);
    assert!(model.scheduler.find_expired_tombstones(10).is_empty());
    model.scheduler.record_jobs_read(MonoTime(model.now));
    assert_eq!(model.scheduler.find_expired_tombstones(10), ["d"]);
    model.scheduler.forget_tombstones("d");
    model.accept("j", job(vec![step(1, 1_000)]));
    model.run_for(1_000);
    assert_eq!(model.state("j"), Some(JobState::Cancelled));
    model.run_for(RETENTION.0 / 2);
    model.scheduler.record_jobs_read(MonoTime(model.now));
    assert_eq!(model.scheduler.find_expired_tombstones(10), ["e"]);
    model.scheduler.forget_tombstones("e");
    model.accept("k", job(vec![step(1, 1_000)]));
    model.run_for(1_000);
    assert_eq!(model.state("k"), Some(JobState::Completed));
}

/// Guards against a job that starts because the scheduler is notified of its cancellation before it is notified of the job.
#[test]
fn cancellation_that_overtakes_its_job_is_kept() {
    let mut model = new_model();
    model.scheduler.cancel_job(&JobKey::new("j"));
    model.accept("j", job(vec![step(1, 1_000)]));
    model.run_for(2_000);
    assert_eq!((model.state("j"), model.done.len()), (Some(JobState::Cancelled), 0));
}
