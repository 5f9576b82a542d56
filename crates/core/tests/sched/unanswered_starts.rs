//! Starts without an answer that may be executed late, and that their workers refuse when they are repeated.

use std::collections::BTreeMap;
use std::sync::Arc;

use carawaybarrow_core::sched::advice::AdviceOutcome;
use carawaybarrow_core::sched::event::Event;
use carawaybarrow_core::sched::graph::WorkerKey;
use carawaybarrow_core::sched::order::{Order, Start, StartAnswer};
use carawaybarrow_core::sched::policy::AdviceTimes;
use carawaybarrow_core::sched::unsettled::{REPORT_AFTER, START_LIMIT};
use carawaybarrow_core::units::{Millis, MonoTime};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smol_str::{SmolStr, format_smolstr};

use super::model::{Model, STEP_MS, job, policy, step};

const WORKERS: usize = 4;

/// Validity of tickets.
const VALID_MS: u64 = 3_000;

/// Longest time after which a call without an answer is executed.
const MAX_LATE_MS: u64 = 6_000;

/// Time in which an undisturbed model runs a job: the lease of a worker that is lost, and some polls.
const RECOVERY_MS: u64 = 8_000;

/// Guards against a start that is repeated for ever because its worker refuses each repetition, whatever the reason, although
/// the first order got no answer.
#[test]
fn start_that_is_refused_when_repeated_is_given_up() {
    for refusal in [StartAnswer::NoRoom, StartAnswer::Late, StartAnswer::BadTicket, StartAnswer::Malformed] {
        let mut model = Model::new(2);
        model.run_for(1_000);
        model.accept("j", job(vec![step(1, 1_000)]));
        let mut worker = FaultyWorker::new(refusal);
        worker.run(&mut model, 2_500);
        assert_eq!(model.done.len(), 1, "{refusal:?}");
        assert!(worker.repeated <= 2, "{refusal:?}: {} repetitions were refused", worker.repeated);
        // The first order arrives after all, and must not start the task again.
        let first = worker.first.expect("a start was ordered");
        assert_eq!(execute_late(&mut model, &first), StartAnswer::OldRun, "{refusal:?}");
    }
}

/// Guards against a start that is repeated for ever because its worker answers polls but neither starts nor stops, and against
/// operators who aren't told.
#[test]
fn start_that_is_never_answered_is_given_up_and_reported() {
    let mut model = Model::new(2);
    model.run_for(1_000);
    model.accept("j", job(vec![step(1, 1_000)]));
    let mut worker = FaultyWorker::new(StartAnswer::Unknown);
    worker.run(&mut model, REPORT_AFTER.0 + 500);
    let now = MonoTime(model.now);
    let listed = model.scheduler.unsettled_runs(now);
    assert_eq!((listed.len(), listed[0].order, listed[0].last_answer), (1, "start", Some("unknown")));
    let is_report = |event: &&Event| matches!(event, Event::RunUnsettled(_));
    assert_eq!(model.scheduler.take_events().iter().filter(is_report).count(), 1);
    worker.run(&mut model, START_LIMIT.0 + RECOVERY_MS);
    assert_eq!(model.done.len(), 1);
    assert_eq!(model.scheduler.unsettled_runs(MonoTime(model.now)), []);
    let first = worker.first.expect("a start was ordered");
    assert_eq!(execute_late(&mut model, &first), StartAnswer::Late);
}

/// Guards against a start that is repeated on a worker which has come back as one that may not run the task.
#[test]
fn start_is_not_repeated_on_a_worker_of_another_kind() {
    for is_smaller in [false, true] {
        let mut model = Model::new(2);
        model.run_for(1_000);
        let mut labelled = step(1, 3_000);
        labelled.required_label = Some("a".into());
        model.accept("j", job(vec![labelled]));
        model.scheduler.plan(model.time());
        let [Order::Start(start)] = &model.scheduler.take_orders()[..] else { panic!("one start") };
        model.scheduler.apply_start_answer(MonoTime(model.now), &start.worker, &start.task, 1, StartAnswer::Unknown);
        let worker = model.workers.get_mut(&start.worker).expect("the worker exists");
        worker.restart();
        if is_smaller {
            worker.report.capacity.cpu = 2_000;
        } else {
            worker.report.labels[0] = "b".into();
        }
        model.register_workers();
        model.run_for(RECOVERY_MS);
        assert!(!model.workers[&start.worker].highest_run.contains_key(&start.task) || model.stopped == 0);
        assert_eq!(model.done.len(), 1);
    }
}

/// The worker that gets the first start. It gives no answer to that, and one of its own to each repetition. If that is none, it
/// answers no order.
struct FaultyWorker {
    answer: StartAnswer,
    first: Option<Start>,
    /// Number of repetitions.
    repeated: usize,
}

impl FaultyWorker {
    const fn new(answer: StartAnswer) -> Self {
        Self { answer, first: None, repeated: 0 }
    }

    /// Runs a model with this worker for a time.
    fn run(&mut self, model: &mut Model, duration_ms: u64) {
        for _ in 0..duration_ms / STEP_MS {
            model.poll_all();
            model.scheduler.tick(model.time());
            model.scheduler.plan(model.time());
            for order in model.scheduler.take_orders() {
                self.receive(model, order);
            }
            model.store_writes();
            model.advance_time();
        }
    }

    fn receive(&mut self, model: &mut Model, order: Order) {
        let now = MonoTime(model.now);
        let is_silent = self.answer == StartAnswer::Unknown;
        match order {
            Order::Start(start) if self.first.is_none() => {
                model.scheduler.apply_start_answer(now, &start.worker, &start.task, start.run, StartAnswer::Unknown);
                self.first = Some(start);
            }
            Order::Start(start)
                if self
                    .first
                    .as_ref()
                    .is_some_and(|f| f.worker == start.worker && (is_silent || f.run == start.run)) =>
            {
                model.scheduler.apply_start_answer(now, &start.worker, &start.task, start.run, self.answer);
                self.repeated += 1;
            }
            Order::Stop { worker, task, run, .. }
                if is_silent && self.first.as_ref().is_some_and(|f| f.worker == worker) =>
            {
                model.scheduler.apply_stop_answer(now, &task, run, false);
            }
            order => model.execute_order(order),
        }
    }
}

/// Executes a start at its worker, without an answer to the scheduler.
fn execute_late(model: &mut Model, start: &Start) -> StartAnswer {
    let (now, token, size, work_ms) = (model.now, model.scheduler.token(), model.size_of(&start.task), model.work_ms);
    let worker = model.workers.get_mut(&start.worker).expect("the worker exists");
    worker.start(now, start, token, size, work_ms)
}

/// Ticket of a worker's incarnation that is valid until a time.
fn new_ticket(model: &Model, worker: &WorkerKey) -> SmolStr {
    format_smolstr!("{} {}", model.workers[worker].incarnation, model.now + VALID_MS)
}

fn is_valid(model: &Model, start: &Start) -> bool {
    let Some((incarnation, until)) = start.ticket.as_ref().and_then(|t| t.split_once(' ')) else { return false };
    let present = model.workers[&start.worker].incarnation.to_string();
    incarnation == present && until.parse().is_ok_and(|until: u64| model.now <= until)
}

/// A call without an answer that is executed later.
enum LateCall {
    Start(Start),
    Stop(Order),
}

/// Plays random faults on a queue with advice: calls without an answer that are executed up to [`MAX_LATE_MS`] later or never,
/// workers that crash and come back under their ids, and changes of scheduler. All jobs must end once the faults have.
fn simulate(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut model = Model::new(WORKERS);
    let mut advised = policy();
    advised.version = 2;
    advised.queues.values_mut().for_each(|queue| {
        queue.needs_advice = true;
        queue.advice_times = AdviceTimes { decision: Millis(STEP_MS), per_worker: Millis(0) };
    });
    model.policy = Arc::new(advised);
    model.scheduler.set_policy(Arc::clone(&model.policy));
    let mut late: BTreeMap<(u64, usize), LateCall> = BTreeMap::new();
    let mut jobs = 0;
    let fault_steps = 300;
    for at in 0..fault_steps + 30_000 / STEP_MS {
        let is_faulty = at < fault_steps;
        if is_faulty {
            match rng.random_range(0..40) {
                0..=3 => {
                    let mut spec = step(rng.random_range(1..4), rng.random_range(500..2_000));
                    spec.gang = rng.random_bool(0.2);
                    model.accept(&format!("{seed}-{jobs}"), job(vec![spec]));
                    jobs += 1;
                }
                4 => model.worker_mut(rng.random_range(0..WORKERS)).restart(),
                5 | 6 => {
                    let worker = model.worker_mut(rng.random_range(0..WORKERS));
                    worker.is_partitioned = !worker.is_partitioned;
                }
                7 if rng.random_bool(0.3) => model.replace_scheduler(),
                _ => {}
            }
        } else if at == fault_steps {
            (0..WORKERS).for_each(|n| model.worker_mut(n).is_partitioned = false);
        }
        while late.first_key_value().is_some_and(|((due, _), _)| *due <= model.now) {
            match late.pop_first().expect("there is one").1 {
                LateCall::Start(start) if is_valid(&model, &start) => drop(execute_late(&mut model, &start)),
                LateCall::Start(_) => {}
                LateCall::Stop(Order::Stop { worker, task, run, .. }) => {
                    let token = model.scheduler.token();
                    model.workers.get_mut(&worker).expect("the worker exists").stop(&task, run, token);
                }
                LateCall::Stop(_) => {}
            }
        }
        model.poll_all();
        model.scheduler.tick(model.time());
        model.scheduler.plan(model.time());
        for order in model.scheduler.take_orders() {
            let (now, due) = (MonoTime(model.now), (model.now + rng.random_range(STEP_MS..MAX_LATE_MS), late.len()));
            let is_lost = is_faulty && rng.random_bool(0.3);
            match order {
                Order::RequestAdvice { step, workers, .. } => {
                    // Each step may run on half of the workers, which stay the same.
                    let digits = |w: &WorkerKey| last_digit(w) + step.job.as_str().len();
                    let is_allowed = |w: &&WorkerKey| digits(w).is_multiple_of(2);
                    let tickets =
                        workers.iter().filter(is_allowed).map(|w| (w.clone(), new_ticket(&model, w))).collect();
                    let outcome = AdviceOutcome::Allowed { tickets, valid_for: Millis(VALID_MS) };
                    model.scheduler.apply_advice(now, &step, if is_lost { AdviceOutcome::Unanswered } else { outcome });
                }
                Order::Start(start) if is_lost => {
                    model.scheduler.apply_start_answer(
                        now,
                        &start.worker,
                        &start.task,
                        start.run,
                        StartAnswer::Unknown,
                    );
                    late.insert(due, LateCall::Start(start));
                }
                Order::Start(start) if !is_valid(&model, &start) && !model.workers[&start.worker].is_partitioned => {
                    let answer = StartAnswer::BadTicket;
                    model.scheduler.apply_start_answer(now, &start.worker, &start.task, start.run, answer);
                }
                Order::Stop { ref task, run, .. } if is_lost => {
                    model.scheduler.apply_stop_answer(now, task, run, false);
                    late.insert(due, LateCall::Stop(order));
                }
                order => model.execute_order(order),
            }
        }
        model.store_writes();
        model.advance_time();
    }
    for number in 0..jobs {
        let state = model.state(&format!("{seed}-{number}"));
        assert!(state.is_some_and(|s| s.is_final()), "seed {seed}: job {number} is {state:?}");
    }
}

fn last_digit(worker: &WorkerKey) -> usize {
    worker.as_str().bytes().last().map_or(0, usize::from)
}

/// Guards against a run that nothing ends, and against a task that runs twice because such a run was given up without proof.
#[test]
fn every_start_without_an_answer_is_settled_under_random_faults() {
    (0..60).for_each(simulate);
}
