//! One term of the scheduler: its state, and the orders that follow from it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::{channel, task};
use carawaybarrow_core::Map;
use carawaybarrow_core::sched::advice::StepName;
use carawaybarrow_core::sched::event::Event;
use carawaybarrow_core::sched::graph::{JobKey, TaskName, WorkerKey};
use carawaybarrow_core::sched::order::{Order, StartAnswer};
use carawaybarrow_core::sched::progress::{JobRecord, Progress};
use carawaybarrow_core::sched::scheduler::Scheduler;
use carawaybarrow_platform::advice::AdviceClient;
use carawaybarrow_platform::store::{LeaseId, StoreError, StoreRevision};
use carawaybarrow_platform::workers::{OrderOutcome, RunLocation, WorkerClient};

use crate::node::records::Owner;
use crate::node::view::{self, View};

/// Time for the answer to an order; workers answer in milliseconds, and a start is sent again afterwards.
const ORDER_LIMIT: Duration = Duration::from_millis(200);

/// Time for an answer of the advice service, which takes its time for each worker.
const ADVICE_LIMIT: Duration = Duration::from_millis(3_000);

/// Time for a page of a list besides its transfer.
const LIST_LIMIT: Duration = Duration::from_millis(1_000);

/// Largest page of a list, as the store's protocol has it.
const PAGE_BYTES: u64 = 1 << 20;

/// Times the transfer of a page that its answer may take, as the link has other work too.
const TRANSFER_FACTOR: u64 = 2;

/// Shortest pause between plans, in which changes gather. A start takes about this time on its way to a worker.
const PLAN_PAUSE: Duration = Duration::from_millis(4);

/// Pause after a plan as a multiple of the time that it took, so that plans leave three quarters of the processor to
/// orders and answers.
const PLAN_PAUSE_FACTOR: u32 = 3;

/// A signal that is kept until somebody waits for it; several at once count as one.
#[derive(Debug)]
struct Wake {
    sender: channel::Sender<()>,
    receiver: channel::Receiver<()>,
}

impl Wake {
    fn new() -> Self {
        let (sender, receiver) = channel::bounded(1);
        Self { sender, receiver }
    }

    fn wake(&self) {
        // A full channel holds a signal already.
        let _ = self.sender.try_send(());
    }

    async fn wait(&self) {
        // This value holds the sender, so an error can't occur.
        let _ = self.receiver.recv().await;
    }
}

/// A term.
#[derive(Debug)]
pub struct Term {
    /// Who schedules.
    pub owner: Owner,
    /// Change of the store that began the term; also its fencing token.
    pub revision: StoreRevision,
    /// Lease of the scheduler's key.
    pub lease: LeaseId,
    /// What the entry knows.
    pub view: Arc<View>,
    /// Client of the workers.
    pub workers: WorkerClient,
    /// Client of the service that knows which workers a queue allows.
    advice: Option<AdviceClient>,
    /// Whether the last scheduler surely gives no more orders about VMs.
    pub may_order_at_once: bool,
    /// Revisions of the documents with the ends of jobs.
    pub progress_revisions: Mutex<Map<JobKey, StoreRevision>>,
    scheduler: Mutex<Scheduler>,
    loaded: AtomicBool,
    watch_start: AtomicU64,
    ended: AtomicBool,
    writes: Wake,
    plans: Wake,
}

impl Term {
    /// Begins a term.
    #[must_use]
    pub fn new(
        owner: Owner,
        revision: StoreRevision,
        lease: LeaseId,
        view: Arc<View>,
        scheduler: Scheduler,
        may_order_at_once: bool,
    ) -> Self {
        let workers = WorkerClient::new(&view.settings.entry);
        let advice = view.settings.advice.map(|address| AdviceClient::new(address, &view.settings.entry));
        Self {
            owner,
            revision,
            lease,
            view,
            workers,
            advice,
            may_order_at_once,
            progress_revisions: Mutex::default(),
            scheduler: Mutex::new(scheduler),
            loaded: AtomicBool::new(false),
            watch_start: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            writes: Wake::new(),
            plans: Wake::new(),
        }
    }

    /// Uses the scheduler's state.
    pub fn with<T>(&self, f: impl FnOnce(&mut Scheduler) -> T) -> T {
        f(&mut self.scheduler.lock().expect("no holder panics"))
    }

    /// Time for one page of a list of the store.
    #[must_use]
    pub fn list_limit(&self) -> Duration {
        LIST_LIMIT + self.view.settings.strength.transfer_time(PAGE_BYTES * TRANSFER_FACTOR).to_duration()
    }

    /// Whether the store's jobs are known.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::SeqCst) && !self.is_ended()
    }

    /// Notes that the store's jobs are known as of a revision.
    pub fn set_loaded(&self, as_of: StoreRevision) {
        self.watch_start.store(as_of.0, Ordering::SeqCst);
        self.loaded.store(true, Ordering::SeqCst);
    }

    /// Revision from which on the jobs have to be watched.
    #[must_use]
    pub fn watch_start(&self) -> StoreRevision {
        StoreRevision(self.watch_start.load(Ordering::SeqCst))
    }

    /// Whether another entry schedules, or nobody.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Ends the term.
    pub fn end(&self, reason: &str) {
        if !self.ended.swap(true, Ordering::SeqCst) {
            log::warn!(term = self.owner.term, token = self.revision.0, reason = reason; "term ended");
            self.view.set_term(None);
        }
        self.writes.wake();
        self.plans.wake();
    }

    /// Waits until something is to be written.
    pub async fn wait_for_writes(&self) {
        self.writes.wait().await;
    }

    /// Lets another writer look for something to write.
    pub fn wake_writer(&self) {
        self.writes.wake();
    }

    /// Adds a job that the store holds.
    pub fn add_job(self: &Arc<Self>, job: &JobKey, record: JobRecord, created: u64) {
        self.with(|s| match record {
            JobRecord::Accepted(spec) => {
                s.add_job(view::now(), job.clone(), spec, Progress::default(), created < self.revision.0);
            }
            JobRecord::Ended { state, at, .. } => s.add_ended(job.clone(), state, at),
        });
        self.advance();
    }

    /// Cancels a job whose mark is stored.
    pub fn cancel_job(self: &Arc<Self>, job: &JobKey) {
        self.with(|s| s.cancel_job(job));
        self.advance();
    }

    /// Lets the planner look at what has changed.
    pub fn advance(&self) {
        self.plans.wake();
    }

    /// Plans after changes until the term ends.
    pub async fn run_planner(self: Arc<Self>) {
        loop {
            self.plans.wait().await;
            if self.is_ended() {
                return;
            }
            let began = Instant::now();
            self.plan();
            task::sleep(PLAN_PAUSE.max(began.elapsed() * PLAN_PAUSE_FACTOR)).await;
        }
    }

    /// Plans, and sends the orders that follow.
    fn plan(self: &Arc<Self>) {
        let (orders, events, has_writes) = self.with(|s| {
            s.plan(view::now());
            (s.take_orders(), s.take_events(), s.has_writes())
        });
        for event in events {
            if let Event::RunEnded { kind, .. } = &event {
                self.view.metrics.count_run(kind.label());
            }
            log_event(&event);
        }
        for order in orders {
            let term = Arc::clone(self);
            task::spawn(async move { term.send(order).await });
        }
        if has_writes {
            self.writes.wake();
        }
    }

    async fn send(self: &Arc<Self>, order: Order) {
        if self.is_ended() {
            return;
        }
        let token = self.with(|s| s.token());
        let worker = match &order {
            Order::Start(start) => &start.worker,
            Order::Stop { worker, .. } | Order::Pace { worker, .. } => worker,
            Order::RequestAdvice { step, workers } => return self.ask(step, workers).await,
        };
        let Some(address) = self.with(|s| s.worker(worker).map(|w| w.report.address)) else { return };
        let began = Instant::now();
        match order {
            Order::RequestAdvice { .. } => {}
            Order::Start(start) => {
                let (answer, error) = self.workers.start(address, &start, token, ORDER_LIMIT).await;
                self.view.metrics.record_order("start", answer.label(), began.elapsed());
                let error = error.map(|e| e.to_string()).unwrap_or_default();
                log::info!(task:% = start.task, run = start.run, worker:% = start.worker, lease_until = start.lease_until, answer:? = answer, error:% = error; "start");
                let is_fenced = self
                    .with(|s| s.apply_start_answer(view::now().mono, &start.worker, &start.task, start.run, answer));
                if is_fenced {
                    self.end("a worker has seen a higher token");
                } else if answer != StartAnswer::Started {
                    self.advance();
                }
            }
            Order::Stop { worker, task, run, reason } => {
                let at = RunLocation { address, worker: &worker, task: &task, run };
                let taken = self.workers.stop(&at, token, ORDER_LIMIT).await;
                self.view.metrics.record_order("stop", label_of(&taken), began.elapsed());
                self.log_order("stop", &task, run, &worker, reason, &taken);
                self.with(|s| {
                    s.apply_stop_answer(view::now().mono, &task, run, matches!(taken, Ok(OrderOutcome::Yes)))
                });
                self.check_fence(&taken);
            }
            Order::Pace { worker, task, run, percent } => {
                let at = RunLocation { address, worker: &worker, task: &task, run };
                let taken = self.workers.pace(&at, percent, token, ORDER_LIMIT).await;
                self.view.metrics.record_order("pace", label_of(&taken), began.elapsed());
                self.log_order("pace", &task, run, &worker, &percent.to_string(), &taken);
                self.with(|s| s.apply_pace_answer(&task, run, matches!(taken, Ok(OrderOutcome::Yes))));
                self.check_fence(&taken);
            }
        }
    }

    /// Asks which workers may run a step.
    async fn ask(self: &Arc<Self>, step: &StepName, workers: &[WorkerKey]) {
        let Some(advice) = &self.advice else {
            return log::error!(step:% = step; "the queue needs advice, and the settings name no service");
        };
        let answer = match advice.ask(&step.to_string(), workers, ADVICE_LIMIT).await {
            Ok(allowed) => {
                log::info!(step:% = step, asked = workers.len(), allowed = allowed.workers.len(), valid_ms = allowed.valid_for.0; "advice");
                Some((allowed.workers, allowed.valid_for))
            }
            Err(e) => {
                log::info!(step:% = step, asked = workers.len(), error:% = e; "no advice");
                None
            }
        };
        self.with(|s| s.apply_advice(view::now().mono, step, answer));
        self.advance();
    }

    fn log_order(
        &self,
        order: &str,
        task: &TaskName,
        run: u32,
        worker: &WorkerKey,
        reason: &str,
        taken: &Result<OrderOutcome, StoreError>,
    ) {
        log::info!(task:% = task, run = run, worker:% = worker, reason = reason, answer:? = taken; "{order}");
    }

    fn check_fence(&self, taken: &Result<OrderOutcome, StoreError>) {
        if matches!(taken, Ok(OrderOutcome::Fenced)) {
            self.end("a worker has seen a higher token");
        }
    }
}

const fn label_of(taken: &Result<OrderOutcome, StoreError>) -> &'static str {
    match taken {
        Ok(OrderOutcome::Yes) => "taken",
        Ok(OrderOutcome::Fenced) => "fenced",
        Ok(OrderOutcome::No) => "refused",
        Err(_) => "unknown",
    }
}

fn log_event(event: &Event) {
    match event {
        Event::RunEnded { task, run, worker, kind } => {
            log::info!(task:% = task, run = run, worker:% = worker, how:? = kind; "run ended");
        }
        Event::JobEnded { job, state } => log::info!(job:% = job, state:? = state; "job ended"),
        Event::RunAdopted { task, run, worker } => {
            log::info!(task:% = task, run = run, worker:% = worker; "run of an earlier term adopted");
        }
        Event::WorkerRestarted { worker } => log::warn!(worker:% = worker; "worker lives anew, its runs are gone"),
        Event::WorkerLapsed { worker, runs } => {
            log::warn!(worker:% = worker, runs = runs; "leases of a silent worker have ended")
        }
        Event::WorkerQuarantined { worker, failures } => {
            log::warn!(worker:% = worker, failures = failures; "worker fails its tasks and gets no more for a while");
        }
        Event::Reconciled { silent } => log::info!(silent = silent; "all runs of earlier terms are known"),
    }
}
