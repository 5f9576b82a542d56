//! Jobs whose queue is sent to another pool while their tasks run. After a takeover they wait for the silent workers of each
//! pool in which the earlier scheduler may have started them.

use std::sync::Arc;

use carawaybarrow_core::sched::graph::{PoolName, QueueName};
use carawaybarrow_core::sched::policy::{Policy, QueuePolicy};
use carawaybarrow_core::sched::progress::JobState;
use carawaybarrow_core::sched::recovery::PREVIOUS_TERM_OVERRUN;

use super::model::{Model, job, policy, rules, step};

/// Configuration that sends the queue to a pool, or lacks the queue.
fn policy_with(version: u64, pool: Option<&str>) -> Arc<Policy> {
    let mut policy = Policy { version, ..policy() };
    policy.queues.clear();
    if let Some(pool) = pool {
        policy.queues.insert(QueueName::new("q"), QueuePolicy { pool: PoolName::new(pool), ..rules() });
    }
    Arc::new(policy)
}

/// Workers w0, w1 and w2, one in each of the pools `p`, `r` and `s`. The queue is sent to a pool.
fn model_with_pools(pool: &str) -> Model {
    let mut model = Model::new(3);
    for (number, pool) in ["p", "r", "s"].into_iter().enumerate() {
        model.worker_mut(number).report.pool = PoolName::new(pool);
    }
    model.register_workers();
    model.scheduler.set_policy(policy_with(2, Some(pool)));
    model.work_ms = 20_000;
    model
}

/// Lets the scheduler start the only job on a worker, and a later one take over with another configuration that does not
/// reach this worker. Checks that the task has no second run before the lease has lapsed, and is done once.
fn check_takeover(model: &mut Model, holder: usize, next: Arc<Policy>) {
    model.run_for(500);
    assert_eq!(model.worker_mut(holder).runs.len(), 1, "the task runs on w{holder}");
    model.policy = next;
    model.worker_mut(holder).is_partitioned = true;
    model.replace_scheduler();
    model.run_for(9_000);
    assert_eq!(model.count_running(), 1, "the task starts again once the lease has lapsed");
    model.worker_mut(holder).is_partitioned = false;
    model.run_for(30_000);
    assert_eq!(model.state("j"), Some(JobState::Completed));
    assert_eq!(model.done.values().copied().collect::<Vec<_>>(), [1]);
}

/// Guards against a task that runs twice because its queue was moved twice: the new scheduler waits for the workers of
/// the pool at acceptance and of the present one, and the task runs on a silent worker of the pool in between.
#[test]
fn job_waits_for_silent_workers_of_the_pool_between_two_moves() {
    let mut model = model_with_pools("r");
    let mut spec = job(vec![step(1, 1_000)]);
    spec.pool = PoolName::new("p");
    model.accept("j", spec);
    check_takeover(&mut model, 1, policy_with(3, Some("s")));
}

/// Guards against the same after one move: the scheduler, whose configuration was still the earlier one, started a task of
/// a job that an entry had accepted under the later one.
#[test]
fn job_waits_for_silent_workers_of_the_pool_before_a_move_that_the_scheduler_missed() {
    let mut model = model_with_pools("r");
    let mut spec = job(vec![step(1, 1_000)]);
    spec.pool = PoolName::new("s");
    model.accept("j", spec);
    check_takeover(&mut model, 1, policy_with(3, Some("s")));
}

/// Guards against the same for a queue that was moved and then removed: the new scheduler knows only the pool at
/// acceptance.
#[test]
fn job_of_a_removed_queue_waits_for_silent_workers_of_its_last_pool() {
    let mut model = model_with_pools("r");
    let mut spec = job(vec![step(1, 1_000)]);
    spec.pool = PoolName::new("p");
    model.accept("j", spec);
    check_takeover(&mut model, 1, policy_with(3, None));
}

/// Guards against jobs that wait for the silent workers of all pools: a queue that was never moved has runs in its own
/// pool only.
#[test]
fn job_waits_for_no_silent_worker_of_other_pools() {
    let mut model = model_with_pools("p");
    model.run_for(500);
    model.worker_mut(1).is_partitioned = true;
    model.policy = policy_with(3, Some("p"));
    model.accept("j", job(vec![step(1, 1_000)]));
    model.replace_scheduler();
    model.run_for(PREVIOUS_TERM_OVERRUN.0 + 100);
    assert_eq!(model.worker_mut(0).runs.len(), 1, "the lease of the silent worker lasts longer");
}

/// Guards against a task that starts in a pool before the store shows that its queue may have runs there, as the next
/// scheduler would not wait for the workers of that pool; and against a queue whose tasks never start after a move.
#[test]
fn task_starts_in_another_pool_only_once_that_is_stored() {
    let mut model = model_with_pools("p");
    model.run_for(500);
    model.scheduler.set_policy(policy_with(3, Some("s")));
    model.store.is_down = true;
    model.accept("j", job(vec![step(1, 1_000)]));
    model.run_for(500);
    assert_eq!(model.count_running(), 0);
    model.store.is_down = false;
    model.run_for(200);
    assert_eq!(model.worker_mut(2).runs.len(), 1);
}

/// Guards against stored pools that grow with each move, so that jobs wait for ever more workers after a takeover.
#[test]
fn pool_that_a_queue_has_left_is_forgotten_once_its_jobs_have_ended() {
    let mut model = model_with_pools("p");
    model.work_ms = 400;
    model.accept("j", job(vec![step(1, 1_000)]));
    model.run_for(200);
    model.scheduler.set_policy(policy_with(3, Some("s")));
    let queue = QueueName::new("q");
    model.run_for(100);
    assert_eq!(model.store.queue_pools[&queue], [PoolName::new("s"), PoolName::new("p")]);
    model.run_for(2_000);
    assert_eq!(model.state("j"), Some(JobState::Completed));
    model.register_workers();
    assert_eq!(model.store.queue_pools[&queue], [PoolName::new("s")]);
}
