//! Ceilings of teams after a takeover, while workers that may hold runs of earlier terms are silent.

use carawaybarrow_core::sched::graph::{JobSpec, PoolName, TeamName};
use carawaybarrow_core::sched::progress::JobState;

use super::model::{Model, STEP_MS, job, step};

/// Number of tasks of [`team_job`] that fit within the ceiling of the model's team.
const CEILING_TASKS: usize = 8;

/// A job of the model's team, whose ceiling is 8 cores.
fn team_job(tasks: u32) -> JobSpec {
    JobSpec { team: Some(TeamName::new("t")), ..job(vec![step(tasks, 1_000)]) }
}

/// Runs for a time and checks the ceiling in each step.
fn run_within_ceiling(model: &mut Model, duration_ms: u64) {
    for _ in 0..duration_ms / STEP_MS {
        model.run_for(STEP_MS);
        assert!(model.count_running() <= CEILING_TASKS, "{} tasks run at {}", model.count_running(), model.now);
    }
}

/// Guards against a team above its ceiling: a new scheduler does not know the team's runs on silent workers, whose leases
/// go on, and starts tasks of a job that it may start at once, as it was accepted after the earlier scheduler had stopped.
#[test]
fn runs_on_silent_workers_count_towards_the_ceiling_of_a_team() {
    let mut model = Model::new(4);
    model.work_ms = 20_000;
    model.accept("a", team_job(8));
    model.run_for(500);
    assert_eq!(model.count_running(), CEILING_TASKS);
    for worker in model.workers.values_mut().filter(|w| !w.runs.is_empty()) {
        worker.is_partitioned = true;
    }
    model.replace_scheduler();
    run_within_ceiling(&mut model, 2_200);
    model.accept("b", team_job(8));
    run_within_ceiling(&mut model, 60_000);
    assert_eq!(model.state("a"), Some(JobState::Completed));
    assert_eq!(model.state("b"), Some(JobState::Completed));
}

/// Guards against the same across pools: all workers of a pool have answered, so its jobs start, and the team has runs on
/// silent workers of another pool.
#[test]
fn runs_on_silent_workers_of_another_pool_count_towards_the_ceiling_of_a_team() {
    let mut model = Model::new(4);
    for number in [2, 3] {
        model.worker_mut(number).report.pool = PoolName::new("r");
    }
    model.register_workers();
    let mut policy = super::model::policy();
    policy.version = 2;
    let rules = carawaybarrow_core::sched::policy::QueuePolicy { pool: PoolName::new("r"), ..super::model::rules() };
    policy.queues.insert(carawaybarrow_core::sched::graph::QueueName::new("qr"), rules);
    model.policy = std::sync::Arc::new(policy);
    model.scheduler.set_policy(std::sync::Arc::clone(&model.policy));
    model.work_ms = 20_000;
    model.accept("a", team_job(8));
    model.run_for(500);
    assert_eq!(model.count_running(), CEILING_TASKS);
    for number in [0, 1] {
        model.worker_mut(number).is_partitioned = true;
    }
    model.replace_scheduler();
    let mut spec = team_job(8);
    spec.queue = carawaybarrow_core::sched::graph::QueueName::new("qr");
    spec.pool = PoolName::new("r");
    model.accept("b", spec);
    run_within_ceiling(&mut model, 4_000);
}

/// Guards against a team that starts nothing while any worker is silent, although its ceiling has room for all that may run
/// there.
#[test]
fn team_with_room_for_all_runs_on_silent_workers_starts_tasks() {
    let mut model = Model::new(4);
    model.run_for(500);
    model.worker_mut(0).is_partitioned = true;
    model.replace_scheduler();
    model.run_for(2_200);
    model.work_ms = 20_000;
    model.accept("b", team_job(8));
    run_within_ceiling(&mut model, 1_000);
    assert_eq!(model.count_running(), 4, "4 of the 8 cores may be in use on the silent worker");
    run_within_ceiling(&mut model, 5_000);
    assert_eq!(model.count_running(), CEILING_TASKS, "the leases of the silent worker have lapsed");
}
