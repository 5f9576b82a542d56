//! Random faults with fixed seeds over several terms: no end is acknowledged before it is stored, and no task starts after
//! an acknowledged end.

use carawaybarrow_core::sched::graph::{Schedule, WorkerKey};
use carawaybarrow_core::sched::progress::JobState;
use carawaybarrow_core::units::{Millis, WallTime};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::ends_model::{EndsModel, Faults};
use super::model::{job, step};

/// Steps with faults. A time without faults follows, in which all jobs have to end.
const STEPS: u64 = 300;

/// Number of workers.
const WORKERS: usize = 4;

fn pick_worker(model: &mut EndsModel) -> WorkerKey {
    WorkerKey::new(format!("w{}", model.rng.random_range(0..WORKERS)))
}

/// What a simulation includes beside the changes of scheduler and the faults of the store.
#[derive(Clone, Copy)]
struct Scope {
    /// Whether workers are drained, and dropped from the list and listed again.
    has_list_changes: bool,
    /// Whether each recovery set names all workers.
    names_all_workers: bool,
    /// Whether a worker that has restarted executes late polls that were sent to its earlier incarnation.
    late_polls_outlive_restarts: bool,
    /// Number of tasks of each step.
    tasks: u32,
    /// CPU of each task.
    cpu: u64,
}

/// Only schedulers, calls and single workers fail.
const FIXED_LIST: Scope = Scope {
    has_list_changes: false,
    names_all_workers: true,
    late_polls_outlive_restarts: false,
    tasks: 4,
    cpu: 1_000,
};

/// The list of workers and the recovery sets change too.
const CHANGING_LIST: Scope = Scope { has_list_changes: true, names_all_workers: false, ..FIXED_LIST };

/// Late polls that were sent to an earlier incarnation are executed too.
const LATE_POLLS: Scope = Scope { late_polls_outlive_restarts: true, ..CHANGING_LIST };

fn accept_job(model: &mut EndsModel, number: u32, scope: Scope) {
    let mut first = step(model.rng.random_range(1..=scope.tasks), scope.cpu);
    first.gang = scope.tasks < 10 && model.rng.random_bool(0.2);
    first.speculative = !first.gang && model.rng.random_bool(0.1);
    let mut second = step(model.rng.random_range(1..=scope.tasks), scope.cpu);
    (first.size.memory_mb, second.size.memory_mb) = (scope.cpu / 10, scope.cpu / 10);
    second.after = vec![0];
    let mut spec = job(vec![first, second]);
    spec.rules.max_attempts = 50;
    if model.rng.random_bool(0.2) {
        let first = WallTime(model.now + model.rng.random_range(0..2_000));
        spec.schedule = Some(Schedule { first, interval: Millis(700), times: 3 });
    }
    model.accept(&format!("j{number}"), spec);
}

/// Runs a simulation. Returns the faults that it found, with their trace, and the number of acknowledged ends.
fn simulate(seed: u64, scope: Scope) -> (Vec<String>, u32) {
    let mut rng = StdRng::seed_from_u64(seed);
    let percent = |rng: &mut StdRng| [0, 3, 15][rng.random_range(0..3)];
    let faults =
        Faults { store_percent: percent(&mut rng), poll_percent: percent(&mut rng), order_percent: percent(&mut rng) };
    let mut model = EndsModel::new(rng, WORKERS, faults);
    model.names_all_workers = scope.names_all_workers;
    model.late_polls_outlive_restarts = scope.late_polls_outlive_restarts;
    let mut jobs = 0;
    for _ in 0..STEPS {
        match model.rng.random_range(0..100) {
            0..=9 if !model.store.is_down => {
                accept_job(&mut model, jobs, scope);
                jobs += 1;
            }
            10 | 11 if !model.store.is_down => model.begin_term(),
            12..=14 => {
                let key = pick_worker(&mut model);
                let worker = model.workers.get_mut(&key).expect("the worker exists");
                worker.is_partitioned = !worker.is_partitioned;
            }
            15..=18 => {
                let key = pick_worker(&mut model);
                let at = model.rng.random_range(0..model.terms.len());
                let cut = &mut model.terms[at].cut;
                if !cut.remove(&key) {
                    cut.insert(key);
                }
            }
            19..=21 => model.store.is_down = !model.store.is_down,
            22 if jobs > 0 && !model.store.is_down => {
                let number = model.rng.random_range(0..jobs);
                model.cancel(&format!("j{number}"));
            }
            23 => {
                let key = pick_worker(&mut model);
                model.restart(&key);
            }
            24 | 25 => {
                let key = pick_worker(&mut model);
                let worker = model.workers.get_mut(&key).expect("the worker exists");
                worker.fails_tasks = !worker.fails_tasks;
            }
            26..=29 if scope.has_list_changes => {
                let key = pick_worker(&mut model);
                if !model.unlisted.remove(&key) {
                    model.unlisted.insert(key);
                }
            }
            32..=34 => {
                let term = model.terms.last_mut().expect("a term began");
                term.is_cut_from_store = !term.is_cut_from_store;
            }
            30 | 31 if scope.has_list_changes => {
                let key = pick_worker(&mut model);
                let worker = model.workers.get_mut(&key).expect("the worker exists");
                worker.report.draining = !worker.report.draining;
            }
            _ => {}
        }
        model.step();
    }
    model.end_faults();
    let is_open = |model: &EndsModel, n: u32| !model.state(&format!("j{n}")).is_some_and(JobState::is_final);
    for _ in 0..60 {
        model.run_for(1_000);
        if !(0..jobs).any(|n| is_open(&model, n)) {
            break;
        }
    }
    let mut found: Vec<String> = Vec::new();
    for number in (0..jobs).filter(|n| is_open(&model, *n)) {
        found.push(format!("seed {seed}: j{number} is {:?}", model.state(&format!("j{number}"))));
    }
    if let Some(first) = model.faults_found.first() {
        let task = first.split(' ').next().unwrap_or_default();
        let trace: Vec<&str> = model.trace_of(task, 60).into_iter().map(String::as_str).collect();
        let faults: Vec<&str> = model.faults_found.iter().take(8).map(String::as_str).collect();
        found.push(format!("seed {seed}: {}\n{}", faults.join("\n  "), trace.join("\n  ")));
    }
    (found, model.acknowledged_ends)
}

fn check(seeds: std::ops::Range<u64>, scope: Scope) {
    let mut failed = Vec::new();
    let mut acknowledged = 0;
    for seed in seeds.clone() {
        let (found, ends) = simulate(seed, scope);
        acknowledged += ends;
        if !found.is_empty() {
            failed.push((seed, found));
        }
    }
    let numbers: Vec<u64> = failed.iter().map(|(seed, _)| *seed).collect();
    if let Some((_, found)) = failed.first() {
        panic!("{} of {} seeds fail: {numbers:?}; the first:\n{}", numbers.len(), seeds.count(), found.join("\n"));
    }
    let wanted = 10 * seeds.count();
    assert!(acknowledged as usize > wanted, "only {acknowledged} ends were acknowledged, of {wanted} or more");
}

/// Guards against an acknowledged end that neither the store nor a later scheduler knows, and against starts after one,
/// under changes of the scheduler, lost answers and late calls.
#[test]
fn acknowledged_ends_are_kept_across_terms() {
    check(0..200, FIXED_LIST);
}

/// Guards against the same while workers are drained and dropped from the list.
#[test]
fn acknowledged_ends_are_kept_while_the_list_of_workers_changes() {
    check(1_000..1_200, CHANGING_LIST);
}

/// Guards against the same with more ends than one list of a worker has.
#[test]
fn acknowledged_ends_are_kept_beyond_full_lists() {
    check(2_050..2_065, Scope { tasks: 300, cpu: 10, ..FIXED_LIST });
}

/// Guards against a second run of a job that was accepted after the term began. The earlier scheduler started it on a
/// worker that the later one does not reach.
#[test]
fn newer_job_that_the_earlier_scheduler_started_runs_once() {
    check(543..544, FIXED_LIST);
}

/// Guards against a poll that is executed late, after its worker has restarted, with the number of an end of the earlier
/// incarnation. The worker forgets ends that nobody has read.
#[test]
fn late_poll_of_a_restarted_worker_forgets_no_ends() {
    check(1_431..1_432, CHANGING_LIST);
}

/// Guards against the same for a poll that was sent before the restart. The platform doesn't say that a late call ends with
/// the incarnation that it was sent to, as the calls name the worker by its id.
#[test]
fn poll_from_before_a_restart_forgets_no_ends() {
    check(5_000..5_300, LATE_POLLS);
}
