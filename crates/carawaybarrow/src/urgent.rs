//! Urgent jobs: queued, started and answered by one entry, without a call to the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::config::Target;
use carawaybarrow_core::freshness::SLOT_LEASE_TTL;
use carawaybarrow_core::health::RunResult;
use carawaybarrow_core::ids::{JobId, LeaseId, TaskId, VmId};
use carawaybarrow_core::job::{JobSpec, Ran, Refusal};
use carawaybarrow_core::ledger;
use carawaybarrow_core::queue::PushOutcome;
use carawaybarrow_core::retry::{Decision, FailedJob};
use carawaybarrow_core::routing::EndpointState;
use carawaybarrow_core::units::{Millis, MonoTime};
use futures::channel::oneshot;

use crate::dispatch::{self, JobStart, SlotKey};
use crate::entry::Entry;
use crate::ledger_urgent;
use crate::worker::{self, StartAnswer};

/// Minimum and maximum timeout of a start that waits for the end of its task.
const ANSWER_TIMEOUT_BOUNDS: (Millis, Millis) = (Millis::from_secs(10), Millis::from_secs(600));

/// The answer timeout as a multiple of the p90 run time; declared and estimated run times are assumed to be wrong by
/// up to 10 times.
const ANSWER_TIMEOUT_RUNS: u64 = 10;

/// Delay after a requeued start before its pool is dispatched again.
const NO_LEASE_DELAY: Duration = Duration::from_millis(10);

/// `retry_after` of jobs that are abandoned after their last attempt without having run.
const ABANDONED_RETRY_AFTER: Millis = Millis(100);

/// Time after the lapse of a slot lease until its task counts as ended.
const LAPSE_MARGIN: Millis = Millis(500);

/// Final outcome of an urgent job.
#[derive(Clone, Debug)]
pub enum Answer {
    /// The task ended successfully.
    Done {
        /// Body of the worker's answer.
        body: Arc<[u8]>,
    },
    /// The task ran and failed.
    Failed {
        /// Why the last attempt ended, as sent to the caller.
        reason: String,
    },
    /// The task may have run.
    Unknown {
        /// Why the outcome is unknown, as sent to the caller.
        reason: String,
    },
    /// The job did not run.
    Refused(Refusal),
}

/// An urgent job that waits or runs at this entry.
#[derive(Debug)]
pub struct UrgentJob {
    /// Specification of the job.
    pub spec: JobSpec,
    /// Input of the task.
    pub payload: String,
    /// Channels to the callers that wait for the answer; a repeated request adds one.
    pub callers: Vec<oneshot::Sender<Answer>>,
    /// VMs on which an attempt was made.
    pub tried: Vec<VmId>,
    /// When this entry accepted the job.
    pub accepted_at: MonoTime,
    /// Whether any attempt so far ran or may have run.
    pub ran: Ran,
    /// Why the last attempt ended; empty before the first.
    pub reason: String,
}

impl UrgentJob {
    /// The answer if no further attempt is made. It is a refusal, which means "not run", only if no attempt may have
    /// run.
    #[must_use]
    pub fn final_answer(&self, refusal: &Refusal) -> Answer {
        match self.ran {
            Ran::No => Answer::Refused(refusal.clone()),
            Ran::Yes => Answer::Failed { reason: self.reason.clone() },
            Ran::Unknown => Answer::Unknown { reason: self.reason.clone() },
        }
    }

    fn record_attempt(&mut self, vm: &VmId, ran: Ran, reason: &str) {
        self.tried.push(vm.clone());
        self.ran = combine(self.ran, ran);
        reason.clone_into(&mut self.reason);
    }
}

/// Whether a job ran, given two attempts.
const fn combine(a: Ran, b: Ran) -> Ran {
    match (a, b) {
        (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
        (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
        (Ran::No, Ran::No) => Ran::No,
    }
}

/// An attempt to run a job under a granted slot lease.
struct Attempt {
    start: JobStart,
    address: SocketAddr,
    lease: LeaseId,
    started_at: MonoTime,
}

impl Entry {
    /// Queues an urgent job and waits for its answer. A request for a job already in progress shares that answer.
    pub async fn run_urgent(self: &Arc<Self>, spec: JobSpec, payload: String) -> Answer {
        let (tx, rx) = oneshot::channel();
        let (pool, class) = (spec.pool.clone(), spec.class.clone());
        let target = self.find_target(&class);
        let pushed = {
            let now = self.clock.now();
            let mut dispatch = self.dispatch();
            if let Some(same) = dispatch.urgent.get_mut(&spec.id) {
                // The caller repeated a request that is still in progress.
                same.callers.push(tx);
                None
            } else {
                let pushed = dispatch.push(&spec, target, self.clock.wall(), now);
                dispatch.retries.record_first_attempt(&class, now);
                let job = UrgentJob {
                    spec: spec.clone(),
                    payload,
                    callers: vec![tx],
                    tried: Vec::new(),
                    accepted_at: now,
                    ran: Ran::No,
                    reason: String::new(),
                };
                dispatch.urgent.insert(spec.id.clone(), job);
                Some(pushed)
            }
        };
        if let Some(PushOutcome::Displaced { waiting, refusal }) = pushed {
            self.abandon_waiting(vec![*waiting], &refusal);
        }
        self.dispatch_pool(&pool);
        rx.await.unwrap_or_else(|_canceled| Answer::Unknown { reason: "the entry gave the job up".to_owned() })
    }

    /// Makes one attempt to run an urgent job.
    pub async fn attempt_urgent(self: &Arc<Self>, start: JobStart) {
        let Some((address, lease)) = self.obtain_lease(&start, SLOT_LEASE_TTL).await else {
            self.requeue_start(start).await;
            return;
        };
        // Freshness is checked right before the send: if the process stalls after the check, the lease lapses and the
        // worker refuses the start.
        if start.waiting.team.is_some() && !self.is_fresh() {
            self.refuse_stale(start, &lease);
            return;
        }
        let started_at = self.clock.now();
        let attempt = Attempt { start, address, lease, started_at };
        let Some((request, timeout)) = self.build_start_request(&attempt) else {
            // The job was cancelled while it waited for the lease.
            self.end_attempt(attempt, true);
            return;
        };
        let task = request.task.clone();
        let answer = self.workers.start(address, worker::StartRequest { timeout, ..request }).await;
        self.handle_answer(attempt, &task, answer).await;
    }

    fn build_start_request(&self, attempt: &Attempt) -> Option<(worker::StartRequest, Duration)> {
        let dispatch = self.dispatch();
        let job = dispatch.urgent.get(&attempt.start.waiting.job)?;
        let spec = &job.spec;
        let p90 = dispatch.run_times.estimate(&spec.queue, spec.team.as_ref(), &spec.class, spec.expected_run).p90;
        let timeout = Millis(p90.0.saturating_mul(ANSWER_TIMEOUT_RUNS))
            .clamp(ANSWER_TIMEOUT_BOUNDS.0, ANSWER_TIMEOUT_BOUNDS.1)
            .to_duration();
        let request = worker::StartRequest {
            task: self.new_task_id(),
            lease: attempt.lease.clone(),
            queue: spec.queue.clone(),
            team: spec.team.clone(),
            payload: job.payload.clone(),
            wait: true,
            timeout,
        };
        Some((request, timeout))
    }

    async fn handle_answer(self: &Arc<Self>, attempt: Attempt, task: &TaskId, answer: StartAnswer) {
        let vm = attempt.start.endpoint.vm.clone();
        match answer {
            StartAnswer::Answer(body) => {
                self.record_success(&attempt);
                let job = attempt.start.waiting.job.clone();
                self.end_attempt(attempt, true);
                let callers = self.dispatch().remove_urgent(&job);
                dispatch::answer_callers(callers, &Answer::Done { body: body.into() });
            }
            StartAnswer::Failed(reason) => {
                let (pool, job) = (attempt.start.pool.clone(), attempt.start.waiting.job.clone());
                self.dispatch().record_result(&pool, &vm, &job, RunResult::Failed, self.clock.now());
                self.end_attempt(attempt, true);
                self.retry(&job, &vm, Ran::Yes, &reason);
            }
            StartAnswer::LeaseLapsed => {
                let job = attempt.start.waiting.job.clone();
                self.end_attempt(attempt, false);
                self.retry(&job, &vm, Ran::No, "the slot lease lapsed before the start");
            }
            StartAnswer::Draining => {
                let job = attempt.start.waiting.job.clone();
                self.mark_endpoint(&vm, EndpointState::Draining);
                self.end_attempt(attempt, false);
                self.retry(&job, &vm, Ran::No, "the worker is draining");
            }
            StartAnswer::NotSent(reason) => {
                let job = attempt.start.waiting.job.clone();
                self.dispatch().endpoints.end_failed_connection(&vm, self.clock.now(), &mut rand::rng());
                self.end_attempt(attempt, false);
                self.retry(&job, &vm, Ran::No, &reason);
            }
            StartAnswer::Started => {
                self.end_uncertain_attempt(attempt, &vm, task, "the worker did not wait for the end of the task").await;
            }
            StartAnswer::Unknown(reason) => self.end_uncertain_attempt(attempt, &vm, task, &reason).await,
        }
    }

    /// Ends an attempt whose task may still run. Its permit stays in use until the slot lease has lapsed.
    async fn end_uncertain_attempt(self: &Arc<Self>, attempt: Attempt, vm: &VmId, task: &TaskId, reason: &str) {
        let job = attempt.start.waiting.job.clone();
        let (team, pool, address) = (attempt.start.waiting.team.clone(), attempt.start.pool.clone(), attempt.address);
        {
            let mut dispatch = self.dispatch();
            dispatch.endpoints.end_failed_connection(vm, self.clock.now(), &mut rand::rng());
            dispatch.queue(&pool).finish(team.as_ref());
            // Without renewals the worker stops the task at the lapse of the lease. A renewal in flight may still reach
            // the worker.
            dispatch.leases.remove(&SlotKey::new(vm, &attempt.lease));
        }
        let lapse = SLOT_LEASE_TTL + LAPSE_MARGIN;
        let (entry, permit, task) = (Arc::clone(self), attempt.start.permit, task.clone());
        task::spawn(async move {
            entry.workers.request_task(address, &task, worker::TaskRequest::Stop).await;
            task::sleep(lapse.to_duration()).await;
            let now = entry.clock.now();
            entry.dispatch().free_permit(permit, now);
            entry.dispatch_all();
        });
        self.retry(&job, vm, Ran::Unknown, reason);
    }

    fn record_success(&self, attempt: &Attempt) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let start = &attempt.start;
        let mut dispatch = self.dispatch();
        let Some(job) = dispatch.urgent.get(&start.waiting.job) else { return };
        let (class, team, queue) = (job.spec.class.clone(), job.spec.team.clone(), job.spec.queue.clone());
        let wait = attempt.started_at.since(job.accepted_at);
        dispatch.run_times.observe(&queue, team.as_ref(), &class, now.since(attempt.started_at));
        dispatch.record_result(&start.pool, &start.endpoint.vm, &start.waiting.job, RunResult::Done, now);
        let met = match self.find_target(&class) {
            Target::Within { ms } => wait <= ms,
            Target::By { .. } | Target::Eventually => true,
        };
        dispatch.record_target(&class, team.as_ref(), &start.pool, met, wall);
        drop(dispatch);
        self.metrics.record_wait(&class, wait);
        self.count_urgent(team.as_ref(), &class, ledger::JobResult::Done, wait, now.since(attempt.started_at));
    }

    /// Ends an attempt whose task has ended or was never started, and frees its permit.
    fn end_attempt(self: &Arc<Self>, attempt: Attempt, lease_is_valid: bool) {
        let now = self.clock.now();
        let Attempt { start, lease, .. } = attempt;
        let mut dispatch = self.dispatch();
        dispatch.queue(&start.pool).finish(start.waiting.team.as_ref());
        dispatch.free_permit(start.permit, now);
        if lease_is_valid {
            dispatch.endpoints.end_connection(&start.endpoint.vm);
            drop(dispatch);
            self.keep_or_release(&start.pool, &start.endpoint.vm, lease);
        } else {
            dispatch.leases.remove(&SlotKey::new(&start.endpoint.vm, &lease));
        }
    }

    /// Requeues a job if its retry budget and its deadline allow another attempt, and answers its callers otherwise.
    fn retry(self: &Arc<Self>, job: &JobId, vm: &VmId, ran: Ran, reason: &str) {
        let now = self.clock.now();
        let mut dispatch = self.dispatch();
        let Some(urgent) = dispatch.urgent.get_mut(job) else { return };
        urgent.record_attempt(vm, ran, reason);
        let (spec, tried) = (urgent.spec.clone(), urgent.tried.clone());
        let target = self.find_target(&spec.class);
        let deadline =
            spec.deadline.map(|at| carawaybarrow_core::deadline::Deadline::of_job(target, at, self.clock.wall(), now));
        let run = dispatch.estimate_run_time(&spec);
        let failed_job =
            FailedJob { class: &spec.class, idempotent: spec.idempotent, ran, tried: &tried, deadline, run };
        match dispatch.retries.decide(&failed_job, now, &mut rand::rng()) {
            Decision::Retry { after } => {
                drop(dispatch);
                self.metrics.count_retry(&spec.class);
                task::spawn(Arc::clone(self).requeue_after(spec, after));
            }
            Decision::GiveUp(_) => {
                drop(dispatch);
                self.abandon_urgent(job, &Refusal::Overloaded { retry_after: ABANDONED_RETRY_AFTER });
            }
        }
    }

    async fn requeue_after(self: Arc<Self>, spec: JobSpec, after: Millis) {
        task::sleep(after.to_duration()).await;
        let target = self.find_target(&spec.class);
        let pushed = self.dispatch().push(&spec, target, self.clock.wall(), self.clock.now());
        if let PushOutcome::Displaced { waiting, refusal } = pushed {
            self.abandon_waiting(vec![*waiting], &refusal);
        }
        self.dispatch_pool(&spec.pool);
    }

    /// Requeues a job whose start got no slot lease, or whose payload could not be read. Delays the caller, which
    /// dispatches the pool afterwards.
    pub async fn requeue_start(self: &Arc<Self>, start: JobStart) {
        let now = self.clock.now();
        self.dispatch().put_back(start, now);
        task::sleep(NO_LEASE_DELAY).await;
    }

    fn refuse_stale(self: &Arc<Self>, start: JobStart, lease: &LeaseId) {
        let now = self.clock.now();
        let job = start.waiting.job.clone();
        let mut dispatch = self.dispatch();
        dispatch.endpoints.end_connection(&start.endpoint.vm);
        dispatch.queue(&start.pool).finish(start.waiting.team.as_ref());
        dispatch.free_permit(start.permit, now);
        drop(dispatch);
        self.release_lease(&start.endpoint.vm, lease);
        self.abandon_urgent(&job, &Refusal::Stale);
    }

    /// Answers the callers of a job that gets no further attempt, and counts a missed target.
    pub fn abandon_urgent(&self, job: &JobId, refusal: &Refusal) {
        let Some(urgent) = self.dispatch().urgent.remove(job) else { return };
        let answer = urgent.final_answer(refusal);
        let (class, team, wall) = (&urgent.spec.class, urgent.spec.team.as_ref(), self.clock.wall());
        self.dispatch().record_target(class, team, &urgent.spec.pool, false, wall);
        self.count_urgent(team, class, ledger_urgent::job_result(&answer), Millis(0), Millis(0));
        dispatch::answer_callers(urgent.callers, &answer);
    }
}
