//! Large tasks and gangs among many small tasks that fill each gap: room is kept for the large ones, at a bounded cost for the
//! others.

use std::sync::Arc;

use carawaybarrow_core::sched::event::Event;
use carawaybarrow_core::sched::graph::{JobKey, JobSpec, QueueName, Step, TeamName};
use carawaybarrow_core::sched::policy::{Bounds, Policy, QueuePolicy};
use carawaybarrow_core::sched::progress::JobState;
use carawaybarrow_core::units::{Millis, WallTime};

use super::model::{Model, STEP_MS, job, rules, step};

/// Workers of four cores each.
const WORKERS: usize = 6;

/// Jobs with one task of a core and 400 ms that arrive in each step of 50 ms: they use all 24 cores.
const SMALL_PER_STEP: usize = 3;

struct Load {
    model: Model,
    small: usize,
}

impl Load {
    /// `allowance` is the time by which the objective of a small job exceeds twice its run time.
    fn new(reservations: usize, allowance: Millis) -> Self {
        let mut model = Model::with_bounds(WORKERS, Bounds { reservations, ..Bounds::default() });
        let mut policy = Policy { version: 2, ..(*model.policy).clone() };
        for queue in ["q", "large"] {
            let allowance = if queue == "q" { allowance } else { Millis(3_000) };
            policy.queues.insert(QueueName::new(queue), QueuePolicy { allowance, ..rules() });
        }
        model.policy = Arc::new(policy);
        model.scheduler.set_policy(Arc::clone(&model.policy));
        model.register_workers();
        Self { model, small: 0 }
    }

    fn accept_small(&mut self) {
        let spec = JobSpec { accepted: WallTime(self.model.now), ..job(vec![step(1, 1_000)]) };
        self.model.accept(&format!("s{}", self.small), spec);
        self.small += 1;
    }

    /// Accepts a gang of six tasks that need three quarters of a worker each.
    fn accept_gang(&mut self, key: &str) {
        let mut gang = step(6, 3_000);
        gang.gang = true;
        self.accept_large(key, gang);
    }

    fn accept_large(&mut self, key: &str, step: Step) {
        let spec = JobSpec { accepted: WallTime(self.model.now), queue: QueueName::new("large"), ..job(vec![step]) };
        self.model.accept(key, spec);
    }

    /// Runs for a time in which small jobs arrive.
    fn run_for(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / STEP_MS {
            (0..SMALL_PER_STEP).for_each(|_| self.accept_small());
            self.model.run_for(STEP_MS);
        }
    }

    /// Time until a job runs or has ended; `None` if it still waits after a time.
    fn time_to_start(&mut self, key: &str, limit_ms: u64) -> Option<u64> {
        let began = self.model.now;
        while self.model.now - began < limit_ms {
            self.run_for(STEP_MS);
            if self.model.state(key) != Some(JobState::Queued) {
                return Some(self.model.now - began);
            }
        }
        None
    }

    /// Number of small tasks that are done.
    fn small_done(&self) -> usize {
        self.model.done.iter().filter(|(task, count)| task.job.as_str().starts_with('s') && **count > 0).count()
    }

    fn events(&mut self) -> Vec<Event> {
        self.model.scheduler.take_events()
    }
}

const PATIENT: Millis = Millis(20_000);

/// Guards against a wide gang that starves because small tasks take each gap, and against a reservation without the setting.
#[test]
fn gang_starts_among_small_jobs() {
    let mut without = Load::new(0, PATIENT);
    without.run_for(1_000);
    without.accept_gang("g");
    assert_eq!(without.time_to_start("g", 3_000), None);
    assert!(!without.events().iter().any(|e| matches!(e, Event::RoomReserved { .. })));

    let mut with = Load::new(8, PATIENT);
    with.run_for(1_000);
    with.accept_gang("g");
    let waited = with.time_to_start("g", 3_000).expect("room is kept for the gang");
    assert!(waited <= 1_000, "{waited} ms");
    assert!(with.events().iter().any(|e| matches!(e, Event::RoomReserved { .. })));
}

/// Guards against large tasks that wait because smaller ones behind them take the room again and again.
#[test]
fn large_tasks_start_among_small_jobs() {
    let waits = [0, 8].map(|reservations| {
        let mut load = Load::new(reservations, PATIENT);
        load.run_for(1_000);
        load.accept_large("l", step(4, 4_000));
        load.time_to_start("l", 3_000)
    });
    assert_eq!(waits[0], None);
    assert!(waits[1].is_some_and(|waited| waited <= 1_000), "{waits:?}");
}

/// Guards against a reservation that moves on with each wrong estimate while others wait for it: tasks run twice as long as
/// their estimates say.
#[test]
fn gang_starts_although_estimates_are_twice_too_short() {
    let mut load = Load::new(8, PATIENT);
    load.model.work_ms = 800;
    load.run_for(2_000);
    load.accept_gang("g");
    let waited = load.time_to_start("g", 3_500).expect("room is kept for the gang");
    assert!(waited <= 2_500, "{waited} ms");
}

/// Guards against a gang that waits for room on a worker that is gone, and against room that is kept on the others meanwhile.
#[test]
fn reservation_moves_when_its_worker_is_lost() {
    let mut load = Load::new(8, PATIENT);
    load.run_for(1_000);
    let mut gang = step(4, 3_000);
    gang.gang = true;
    load.accept_large("g", gang);
    load.run_for(100);
    for number in 0..2 {
        load.model.worker_mut(number).is_partitioned = true;
    }
    let waited = load.time_to_start("g", 4_500).expect("room is kept on other workers");
    assert!(waited <= 3_500, "{waited} ms");
}

/// Guards against throughput that is lost although nothing large waits.
#[test]
fn small_jobs_alone_lose_no_throughput() {
    let [without, with] = [0, 8].map(|reservations| {
        let mut load = Load::new(reservations, PATIENT);
        // Tasks wait, as more arrive than the workers can run.
        for _ in 0..200 {
            load.accept_small();
        }
        load.run_for(5_000);
        load.small_done()
    });
    assert_eq!(without, with);
}

/// Guards against room that is kept for longer than a large job's own work takes, which bounds what the others lose.
#[test]
fn kept_room_costs_less_than_the_work_that_it_is_for() {
    let [without, with] = [0, 8].map(|reservations| {
        let mut load = Load::new(reservations, PATIENT);
        load.run_for(1_000);
        load.accept_gang("g");
        load.run_for(5_000);
        load.small_done()
    });
    // The gang uses 18 of 24 cores for 400 ms, and at most as much is kept idle before it.
    let own_work = 18;
    assert!(without <= with + 2 * own_work, "{without} small tasks without reservations, {with} with them");
}

/// One worker with a task on three of its four cores, and a task that needs `large` thousandths of a core and waits. A small task
/// would fit now, and end after the room for the large one becomes free.
fn small_task_before_a_large_one(large: u64, allowance: Millis, work_ms: u64) -> Load {
    let mut load = Load::new(8, allowance);
    (1..WORKERS).for_each(|number| load.model.worker_mut(number).report.draining = true);
    load.model.register_workers();
    load.model.work_ms = work_ms;
    load.accept_large("first", step(1, 3_000));
    load.model.run_for(STEP_MS);
    load.accept_large("large", step(1, large));
    load.model.run_for(STEP_MS);
    load.accept_small();
    load.model.run_for(STEP_MS);
    load
}

/// Guards against a job within the share of its team that misses its objective because it waits beside room that is kept, and
/// against one that takes the room although it could wait.
#[test]
fn kept_room_makes_no_job_miss_its_objective() {
    // The objective is twice the run time of 400 ms and the allowance, and the large task is expected to end after 800 ms.
    let urgent = small_task_before_a_large_one(4_000, Millis(100), 400);
    assert_eq!(urgent.model.state("s0"), Some(JobState::Running));
    let patient = small_task_before_a_large_one(4_000, Millis(1_000), 400);
    assert_eq!(patient.model.state("s0"), Some(JobState::Queued));
}

/// Guards against more room that is kept than the large task needs.
#[test]
fn small_task_starts_beside_the_room_for_a_large_one() {
    let load = small_task_before_a_large_one(3_000, Millis(1_000), 400);
    assert_eq!(load.model.state("s0"), Some(JobState::Running));
}

/// Guards against room that is kept for ever for a job that others overtake again and again, as they would be late.
#[test]
fn reservation_lapses_once_its_job_has_waited_for_its_objective() {
    let mut load = small_task_before_a_large_one(4_000, Millis(100), 400);
    // The objective of the large job is 3.8 s.
    load.run_for(3_000);
    let is_lapse = |e: &Event| matches!(e, Event::ReservationLapsed { step } if step.job.as_str() == "large");
    assert!(!load.events().iter().any(is_lapse));
    load.run_for(1_500);
    assert_eq!(load.model.state("large"), Some(JobState::Queued));
    assert_eq!(load.events().into_iter().filter(is_lapse).count(), 1);
}

/// Guards against idle room before a start that is far ahead: the running task takes many times its estimate, which its
/// progress shows, so a small one ends before.
#[test]
fn small_task_starts_if_it_ends_before_the_large_one_can_start() {
    let mut load = small_task_before_a_large_one(4_000, PATIENT, 60_000);
    load.model.run_for(1_200);
    assert_eq!(load.model.state("s0"), Some(JobState::Running));
}

/// Guards against room that stays idle after the job that it was kept for was cancelled.
#[test]
fn reservation_ends_with_its_job() {
    let mut load = small_task_before_a_large_one(4_000, PATIENT, 400);
    load.model.scheduler.cancel_job(&JobKey::new("large"));
    load.model.run_scheduler();
    assert_eq!(load.model.state("s0"), Some(JobState::Running));
}

/// Guards against reservations that are lost with a scheduler: the next one makes them again from what runs.
#[test]
fn next_scheduler_keeps_room_again() {
    let mut load = Load::new(8, PATIENT);
    load.run_for(1_000);
    load.accept_gang("g");
    load.run_for(100);
    load.model.replace_scheduler();
    load.model.scheduler.set_policy(Arc::clone(&load.model.policy));
    let waited = load.time_to_start("g", 6_000).expect("room is kept for the gang");
    assert!(waited <= 4_500, "{waited} ms");
}

/// Guards against room that stays idle for tasks that wait for the ceiling of their team, not for room.
#[test]
fn no_room_is_kept_for_tasks_that_the_ceiling_of_a_team_holds_back() {
    let mut load = Load::new(8, PATIENT);
    let team = Some(TeamName::new("t"));
    // The ceiling is eight cores.
    load.model.accept("t", JobSpec { team, ..job(vec![step(10, 1_000)]) });
    load.model.run_for(200);
    assert_eq!(load.model.count_running(), 8);
    assert!(!load.events().iter().any(|e| matches!(e, Event::RoomReserved { .. })));
}
