//! Random faults with fixed seeds: no task runs twice, no worker is over its capacity, no job is lost.

use carawaybarrow_core::sched::graph::JobKey;
use carawaybarrow_core::sched::progress::JobState;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::model::{Model, STEP_MS, job, step};

/// Steps with faults. 60 s without faults follow, in which all jobs have to end.
const STEPS: u64 = 400;

fn simulate(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut model = Model::new(4);
    let mut jobs = 0;
    for _ in 0..STEPS {
        match rng.random_range(0..60) {
            0..=5 => {
                let mut second = step(rng.random_range(1..4), rng.random_range(500..3_000));
                second.after = vec![0];
                let first = step(rng.random_range(1..5), rng.random_range(500..4_000));
                model.accept(&format!("j{jobs}"), job(vec![first, second]));
                jobs += 1;
            }
            6 => model.replace_scheduler(),
            7 | 8 => {
                let number = rng.random_range(0..4);
                let worker = model.worker_mut(number);
                worker.is_partitioned = !worker.is_partitioned;
            }
            9 => model.store.is_down = !model.store.is_down,
            10 if jobs > 0 => {
                let key = JobKey::new(format!("j{}", rng.random_range(0..jobs)));
                model.store.cancelled.push(key.clone());
                model.scheduler.cancel_job(&key);
            }
            _ => {}
        }
        model.run_for(STEP_MS);
    }
    model.store.is_down = false;
    for number in 0..4 {
        model.worker_mut(number).is_partitioned = false;
    }
    model.run_for(60_000);
    for number in 0..jobs {
        let state = model.state(&format!("j{number}"));
        assert!(state.is_some_and(JobState::is_final), "seed {seed}: j{number} is {state:?}");
    }
    let twice: Vec<_> = model.done.iter().filter(|(_, n)| **n > 1).collect();
    assert!(twice.is_empty(), "seed {seed}: done more than once: {twice:?}");
}

/// Guards against tasks that run twice, jobs that are lost and workers over their capacity, under changes of the
/// scheduler, network partitions, outages of the store and cancellations.
#[test]
fn guarantees_hold_in_the_simulation_under_random_faults() {
    for seed in 0..60 {
        simulate(seed);
    }
}
