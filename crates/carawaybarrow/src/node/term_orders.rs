//! Plans of a term, the orders that they give to workers, and the log of what they decide.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_core::sched::advice::{AdviceOutcome, StepName};
use carawaybarrow_core::sched::event::Event;
use carawaybarrow_core::sched::graph::{JobKey, TaskName, WorkerKey};
use carawaybarrow_core::sched::order::{Order, Start, StartAnswer};
use carawaybarrow_core::sched::progress::JobRecord;
use carawaybarrow_core::units::{Millis, MonoTime};
use carawaybarrow_platform::advice::AdviceClient;
use carawaybarrow_platform::store::{Item, StoreError};
use carawaybarrow_platform::workers::{OrderOutcome, RunLocation};

use crate::node::records;
use crate::node::term::Term;
use crate::node::view;

/// Time for the answer to an order. Workers answer in milliseconds, and a start without an answer is sent again.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for the store's answer about the job of a listed run.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after which an order that was not sent is dropped. A process that was paused may no longer schedule, and a plan
/// that old no longer fits.
const MAX_ORDER_AGE: Millis = Millis(400);

/// Minimum pause between plans, in which changes accumulate: a hundredth of the time that a task takes.
const PLAN_PAUSE: Duration = Duration::from_millis(8);

/// Pause after a plan as a multiple of the time that it took, so that plans leave three quarters of the CPU to orders
/// and answers.
const PLAN_PAUSE_FACTOR: u32 = 3;

impl Term {
    /// Runs the requested plans until the term ends.
    pub async fn run_planner(self: Arc<Self>) {
        loop {
            self.wait_for_plan().await;
            if self.is_ended() {
                return;
            }
            let began = Instant::now();
            self.plan();
            task::sleep(PLAN_PAUSE.max(began.elapsed() * PLAN_PAUSE_FACTOR)).await;
        }
    }

    /// Makes a plan, logs its events, sends its orders and wakes a writer if there are changes to store.
    fn plan(self: &Arc<Self>) {
        let (orders, events, has_writes, lacks_queue_pools) = self.with(|s| {
            s.plan(view::now());
            (s.take_orders(), s.take_events(), s.has_writes(), s.lacks_queue_pools())
        });
        for event in events {
            match &event {
                Event::RunEnded { kind, .. } => self.view.metrics.count_run(kind.label()),
                Event::EvacuationBegun { .. } => self.view.metrics.count_evacuation("begun"),
                Event::EvacuationEnded { .. } => self.view.metrics.count_evacuation("ended"),
                _ => {}
            }
            log_event(&event, self);
        }
        let planned = view::now().mono;
        for order in orders {
            let term = Arc::clone(self);
            task::spawn(async move { term.send(order, planned).await });
        }
        if has_writes {
            self.wake_writer();
        }
        if lacks_queue_pools {
            self.request_recovery_set();
        }
    }

    /// Sends an order that was planned at a time, and applies its answer.
    async fn send(self: &Arc<Self>, order: Order, planned: MonoTime) {
        if self.is_ended() {
            return;
        }
        if let Order::Start(start) = &order
            && !self.may_send_start(start, planned)
        {
            log::warn!(task:% = start.task, run = start.run, worker:% = start.worker; "start dropped, as it was not sent in time");
            let answer = StartAnswer::NotSent;
            self.with(|s| s.apply_start_answer(view::now().mono, &start.worker, &start.task, start.run, answer));
            return self.request_plan();
        }
        let token = self.with(|s| s.token());
        let worker = match &order {
            Order::Start(start) => &start.worker,
            Order::Stop { worker, .. } | Order::Pace { worker, .. } => worker,
            Order::RequestAdvice { step, workers, time_limit } => {
                return self.request_advice(step, workers, *time_limit).await;
            }
            Order::LookUpJob { job } => return self.look_up_job(job).await,
        };
        let Some(address) = self.with(|s| s.worker(worker).map(|w| w.report.address)) else { return };
        let began = Instant::now();
        match order {
            Order::RequestAdvice { .. } | Order::LookUpJob { .. } => {}
            Order::Start(start) => {
                let (answer, error) = self.workers.start(address, &start, token, ORDER_TIMEOUT).await;
                self.view.metrics.record_order("start", answer.label(), began.elapsed());
                let error = error.map(|e| e.to_string()).unwrap_or_default();
                log::info!(task:% = start.task, run = start.run, worker:% = start.worker, lease_until = start.lease_until, confirmed_ms_ago = self.confirmation_age().0, answer:? = answer, error:% = error; "start");
                let is_fenced = self
                    .with(|s| s.apply_start_answer(view::now().mono, &start.worker, &start.task, start.run, answer));
                if is_fenced {
                    self.end("a worker has seen a higher token");
                } else if answer != StartAnswer::Started {
                    self.request_plan();
                }
            }
            Order::Stop { worker, task, run, reason } => {
                let at = RunLocation { address, worker: &worker, task: &task, run };
                let outcome = self.workers.stop(&at, token, ORDER_TIMEOUT).await;
                self.view.metrics.record_order("stop", outcome_label(&outcome), began.elapsed());
                self.log_order("stop", &task, run, &worker, reason, &outcome);
                self.with(|s| {
                    s.apply_stop_answer(view::now().mono, &task, run, matches!(outcome, Ok(OrderOutcome::Yes)))
                });
                self.check_fence(&outcome);
            }
            Order::Pace { worker, task, run, percent } => {
                let at = RunLocation { address, worker: &worker, task: &task, run };
                let outcome = self.workers.pace(&at, percent, token, ORDER_TIMEOUT).await;
                self.view.metrics.record_order("pace", outcome_label(&outcome), began.elapsed());
                self.log_order("pace", &task, run, &worker, &percent.to_string(), &outcome);
                self.with(|s| s.apply_pace_answer(&task, run, matches!(outcome, Ok(OrderOutcome::Yes))));
                self.check_fence(&outcome);
            }
        }
    }

    /// Whether a start that was planned at a time may still be sent.
    fn may_send_start(&self, start: &Start, planned: MonoTime) -> bool {
        let now = view::now().mono;
        !self.is_ended() && now.since(planned) <= MAX_ORDER_AGE && self.with(|s| s.may_send_start(now, &start.worker))
    }

    /// Requests advice on which workers may run a step.
    async fn request_advice(self: &Arc<Self>, step: &StepName, workers: &[WorkerKey], time_limit: Millis) {
        let began = Instant::now();
        let outcome = match &self.advice {
            Some(advice) => ask_advice(advice, step, workers, time_limit).await,
            None => {
                log::error!(step:% = step; "the queue requires advice, but the settings name no advice service");
                AdviceOutcome::Refused
            }
        };
        self.view.metrics.record_order("advice", advice_label(&outcome), began.elapsed());
        self.with(|s| s.apply_advice(view::now().mono, step, outcome));
        self.request_plan();
    }

    /// Reads the record of a job that this scheduler does not know although workers list runs or ends of it.
    async fn look_up_job(self: &Arc<Self>, job: &JobKey) {
        match self.view.store.get(&records::job_key(job), LOOKUP_TIMEOUT).await {
            Ok(Some(Item { value: Some(value), created, .. })) => match records::decode::<JobRecord>(&value) {
                Ok(record) => {
                    log::info!(job:% = job, created = created.0; "job of a listed run found in the store");
                    self.add_job(job, record, created.0);
                }
                Err(e) => {
                    log::error!(job:% = job, error:% = e; "the record of a job can't be read");
                    self.with(|s| s.record_failed_look_up(view::now().mono, job));
                }
            },
            Ok(_) => {
                log::warn!(job:% = job; "the store has no job for a listed run; the run is stopped");
                self.with(|s| s.reject_orphans(job));
                self.request_plan();
            }
            Err(e) => {
                log::info!(job:% = job, error:% = e; "the job of a listed run can't be read yet");
                self.with(|s| s.record_failed_look_up(view::now().mono, job));
            }
        }
    }

    fn log_order(
        &self,
        order: &str,
        task: &TaskName,
        run: u32,
        worker: &WorkerKey,
        reason: &str,
        outcome: &Result<OrderOutcome, StoreError>,
    ) {
        log::info!(task:% = task, run = run, worker:% = worker, reason = reason, answer:? = outcome; "{order}");
    }

    /// Ends the term if a worker refused an order because of a higher fencing token.
    fn check_fence(&self, outcome: &Result<OrderOutcome, StoreError>) {
        if matches!(outcome, Ok(OrderOutcome::Fenced)) {
            self.end("a worker has seen a higher token");
        }
    }
}

async fn ask_advice(
    advice: &AdviceClient,
    step: &StepName,
    workers: &[WorkerKey],
    time_limit: Millis,
) -> AdviceOutcome {
    match advice.ask(&step.to_string(), workers, time_limit.to_duration()).await {
        Ok(allowed) => {
            log::info!(step:% = step, asked = workers.len(), allowed = allowed.workers.len(), valid_ms = allowed.valid_for.0; "advice");
            AdviceOutcome::Allowed { tickets: allowed.workers, valid_for: allowed.valid_for }
        }
        Err(e) => {
            log::info!(step:% = step, asked = workers.len(), time_limit_ms = time_limit.0, error:% = e; "request for advice failed");
            if e.may_have_taken_effect() { AdviceOutcome::Unanswered } else { AdviceOutcome::Refused }
        }
    }
}

/// Value of the label `answer` in the metrics, for a request for advice.
const fn advice_label(outcome: &AdviceOutcome) -> &'static str {
    match outcome {
        AdviceOutcome::Allowed { .. } => "answered",
        AdviceOutcome::Refused => "refused",
        AdviceOutcome::Unanswered => "unknown",
    }
}

/// Value of the label `answer` in the metrics.
const fn outcome_label(outcome: &Result<OrderOutcome, StoreError>) -> &'static str {
    match outcome {
        Ok(OrderOutcome::Yes) => "taken",
        Ok(OrderOutcome::Fenced) => "fenced",
        Ok(OrderOutcome::No) => "refused",
        Err(_) => "unknown",
    }
}

fn log_event(event: &Event, term: &Term) {
    match event {
        Event::RunEnded { task, run, worker, kind } => {
            log::info!(task:% = task, run = run, worker:% = worker, how:? = kind; "run ended");
        }
        Event::EvacuationBegun { data_centre } => {
            log::warn!(data_centre:% = data_centre; "evacuation begun; its workers get no new tasks");
        }
        Event::EvacuationEnded { data_centre } => log::warn!(data_centre:% = data_centre; "evacuation ended"),
        Event::RunUnsettled(run) => {
            term.view.metrics.count_unsettled_run(run.order);
            log::warn!(
                task:% = run.task, run = run.run, worker:% = run.worker, order = run.order, since_ms = run.since_ms,
                last_answer:? = run.last_answer;
                "the outcome of an order has been unknown for long"
            );
        }
        Event::JobEnded { job, state } => log::info!(job:% = job, state:? = state; "job ended"),
        Event::RunAdopted { task, run, worker } => {
            log::info!(task:% = task, run = run, worker:% = worker; "run of an earlier term adopted");
        }
        Event::WorkerRestarted { worker } => log::warn!(worker:% = worker; "worker restarted or gone; runs are lost"),
        Event::WorkerLapsed { worker, runs } => {
            log::warn!(
                worker:% = worker, runs = runs, term = term.owner.term, confirmed_ms_ago = term.confirmation_age().0;
                "leases of a silent worker have ended"
            );
        }
        Event::WorkerQuarantined { worker, failures } => {
            log::warn!(worker:% = worker, failures = failures; "worker fails its tasks and gets no more for a while");
        }
        Event::RoomReserved { step, starts_in } => {
            term.view.metrics.count_reservation("made");
            log::info!(step:% = step, starts_in_ms = starts_in.0; "room is kept for a step that fits nowhere");
        }
        Event::ReservationLapsed { step } => {
            term.view.metrics.count_reservation("lapsed");
            log::info!(step:% = step; "no room is kept for a step any more; it has waited for as long as its objective");
        }
        Event::Reconciled { silent } => log::info!(silent = silent; "all runs of earlier terms are known"),
    }
}
