//! Jobs whose queue is removed from the configuration keep its rules.

use std::sync::Arc;

use carawaybarrow_core::sched::graph::QueueName;
use carawaybarrow_core::sched::policy::Policy;
use carawaybarrow_core::sched::progress::JobState;

use super::model::{Model, job, policy, rules, step};

/// Configuration in which the queue allows `max_attempts`, or does not exist.
fn policy_with(version: u64, max_attempts: Option<u32>) -> Arc<Policy> {
    let mut policy = Policy { version, ..policy() };
    policy.queues.clear();
    if let Some(max_attempts) = max_attempts {
        let rules = carawaybarrow_core::sched::policy::QueuePolicy { max_attempts, ..rules() };
        policy.queues.insert(QueueName::new("q"), rules);
    }
    Arc::new(policy)
}

/// Number of failed runs after which a job fails whose queue allowed `accepted` attempts at acceptance and `last`
/// attempts before it was removed. `has_takeover` tells whether only a later scheduler sees the runs fail.
fn count_attempts(accepted: u32, last: u32, has_takeover: bool) -> u32 {
    let mut model = Model::new(4);
    (0..4).for_each(|number| model.worker_mut(number).fails_tasks = true);
    let mut spec = job(vec![step(1, 1_000)]);
    spec.rules.max_attempts = accepted;
    model.scheduler.set_policy(policy_with(2, Some(last)));
    model.accept("j", spec);
    model.run_for(100);
    model.policy = policy_with(3, None);
    model.scheduler.set_policy(Arc::clone(&model.policy));
    if has_takeover {
        model.store_writes();
        model.replace_scheduler();
    }
    model.run_for(60_000);
    assert_eq!(model.state("j"), Some(JobState::Failed));
    model.failed.values().sum()
}

/// Guards against a job that fails before its attempts are used up, or is started more often than its queue allowed,
/// because default rules replace those of a queue that was removed. Seen in review/5.
#[test]
fn job_keeps_the_attempts_of_its_removed_queue() {
    for attempts in [2, 3, 4, 5] {
        assert_eq!(count_attempts(attempts, attempts, false), attempts);
        assert_eq!(count_attempts(attempts, attempts, true), attempts, "after a takeover");
    }
}

/// Guards against the rules at acceptance, which are older than those in force when the queue was removed.
#[test]
fn last_rules_of_a_removed_queue_replace_those_at_acceptance() {
    assert_eq!(count_attempts(2, 4, false), 4);
    assert_eq!(count_attempts(5, 2, false), 2);
}

/// Guards against a job that fails early, or gets an attempt too many, because the scheduler is replaced while its queue is
/// removed: the next one knew only the rules at acceptance.
#[test]
fn last_rules_of_a_removed_queue_survive_a_takeover() {
    assert_eq!(count_attempts(2, 4, true), 4);
    assert_eq!(count_attempts(4, 2, true), 2);
}

/// Starts a job whose runs fail, removes its queue, replaces the scheduler, and brings the queue back with another limit.
fn count_attempts_of_returned_queue(before: u32, after: u32) -> u32 {
    let mut model = Model::new(6);
    (0..6).for_each(|number| model.worker_mut(number).fails_tasks = true);
    let mut spec = job(vec![step(1, 1_000)]);
    spec.rules.max_attempts = before;
    model.policy = policy_with(2, Some(before));
    model.scheduler.set_policy(Arc::clone(&model.policy));
    model.accept("j", spec);
    model.run_for(100);
    model.policy = policy_with(3, None);
    model.scheduler.set_policy(Arc::clone(&model.policy));
    model.run_for(100);
    model.replace_scheduler();
    model.policy = policy_with(4, Some(after));
    model.scheduler.set_policy(Arc::clone(&model.policy));
    model.run_for(60_000);
    assert_eq!(model.state("j"), Some(JobState::Failed));
    model.failed.values().sum()
}

/// Guards against a job that is not failed, or fails too early, when its queue returns with another limit.
#[test]
fn queue_that_returns_decides_the_attempts_of_its_jobs() {
    assert_eq!(count_attempts_of_returned_queue(2, 4), 4);
    assert_eq!(count_attempts_of_returned_queue(4, 4), 4);
}

/// Guards against a start after a limit that was lowered to the number of failed runs: the limit was checked only at the
/// next failure, which is a run too late.
#[test]
fn lowered_limit_fails_a_job_that_has_reached_it() {
    let mut model = Model::new(6);
    (0..6).for_each(|number| model.worker_mut(number).fails_tasks = true);
    model.policy = policy_with(2, Some(6));
    model.scheduler.set_policy(Arc::clone(&model.policy));
    model.accept("j", job(vec![step(1, 1_000)]));
    while model.failed.values().sum::<u32>() < 3 {
        model.run_scheduler();
        model.advance_time();
        model.poll_all();
        model.store_writes();
    }
    model.policy = policy_with(3, Some(2));
    model.scheduler.set_policy(Arc::clone(&model.policy));
    model.run_for(20_000);
    assert_eq!(model.state("j"), Some(JobState::Failed));
    assert_eq!(model.failed.values().sum::<u32>(), 3);
}

/// Guards against failed runs that are forgotten because the stored ones arrive later and replace them.
#[test]
fn stored_failed_runs_are_added_to_known_ones() {
    use carawaybarrow_core::sched::graph::{JobKey, TaskName};
    use carawaybarrow_core::sched::job::Job;
    use carawaybarrow_core::sched::progress::{FailedRuns, Progress};

    let name = TaskName { job: JobKey::new("j"), occurrence: 0, step: 0, index: 0 };
    let mut found = Job::new(JobKey::new("j"), job(vec![step(1, 1_000)]), Progress::default());
    found.add_found_due(0, carawaybarrow_core::units::MonoTime(0));
    found.task_mut(&name).expect("the task exists").failed_runs = vec![1_001];
    let stored = FailedRuns { occurrence: 0, step: 0, task: 0, runs: vec![1, 2] };
    assert!(found.merge_progress(Progress { failed: vec![stored], ..Progress::default() }));
    let mut runs = found.task(&name).expect("the task exists").failed_runs.clone();
    runs.sort_unstable();
    assert_eq!(runs, [1, 2, 1_001]);
}
