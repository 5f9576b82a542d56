//! Urgent jobs: they wait, run and are answered within one entry, without a call to the store.

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

use crate::dispatch::{self, SlotKey, Start};
use crate::entry::Entry;
use crate::ledger_urgent;
use crate::worker::{self, StartAnswer};

/// Shortest and longest time to wait for the answer of a worker.
const ANSWER_LIMIT: (Millis, Millis) = (Millis::from_secs(10), Millis::from_secs(600));

/// The answer limit in high estimates of the run time; declared and learned times are wrong by up to 10 times.
const ANSWER_LIMIT_RUNS: u64 = 10;

/// Pause after which a start is tried again that met a full pool.
const FULL_PAUSE: Duration = Duration::from_millis(10);

/// Time after which a caller may try again whose job could not be started on several workers.
const GIVE_UP_RETRY_AFTER: Millis = Millis(100);

/// Margin after the lapse of a slot lease before its task counts as ended.
const LAPSE_MARGIN: Millis = Millis(500);

/// What becomes of a job.
#[derive(Clone, Debug)]
pub enum Answer {
    /// It ran.
    Done {
        /// Answer of the worker.
        body: Arc<[u8]>,
    },
    /// It ran and failed.
    Failed {
        /// Reason of the worker.
        reason: String,
    },
    /// It may have run.
    Unknown {
        /// What is known.
        reason: String,
    },
    /// It did not run.
    Refused(Refusal),
}

/// An urgent job that waits or runs here.
#[derive(Debug)]
pub struct Urgent {
    /// The job.
    pub spec: JobSpec,
    /// Input.
    pub payload: String,
    /// Who waits for the answer.
    pub callers: Vec<oneshot::Sender<Answer>>,
    /// Endpoints that were tried.
    pub tried: Vec<VmId>,
    /// When it was accepted.
    pub accepted_at: MonoTime,
    /// What is known of the attempts so far.
    pub ran: Ran,
    /// Why the last attempt ended.
    pub reason: String,
}

impl Urgent {
    /// The answer if no further attempt is made. "Not run" is said only if no attempt may have run.
    #[must_use]
    pub fn give_up(&self, refusal: &Refusal) -> Answer {
        match self.ran {
            Ran::No => Answer::Refused(refusal.clone()),
            Ran::Yes => Answer::Failed { reason: self.reason.clone() },
            Ran::Unknown => Answer::Unknown { reason: self.reason.clone() },
        }
    }

    fn note_attempt(&mut self, vm: &VmId, ran: Ran, reason: &str) {
        self.tried.push(vm.clone());
        self.ran = combine(self.ran, ran);
        reason.clone_into(&mut self.reason);
    }
}

/// What is known of a job after two attempts.
const fn combine(a: Ran, b: Ran) -> Ran {
    match (a, b) {
        (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
        (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
        (Ran::No, Ran::No) => Ran::No,
    }
}

/// One attempt, after its slot lease was granted.
struct Attempt {
    start: Start,
    address: SocketAddr,
    lease: LeaseId,
    started_at: MonoTime,
}

impl Entry {
    /// Runs an urgent job and waits for its end.
    pub async fn run_urgent(self: &Arc<Self>, spec: JobSpec, payload: String) -> Answer {
        let (tx, rx) = oneshot::channel();
        let (pool, class) = (spec.pool.clone(), spec.class.clone());
        let target = self.find_target(&class);
        let pushed = {
            let now = self.clock.now();
            let mut dispatch = self.dispatch();
            if let Some(same) = dispatch.urgent.get_mut(&spec.id) {
                // The same request came again while the first one is in progress.
                same.callers.push(tx);
                None
            } else {
                let pushed = dispatch.push(&spec, target, self.clock.wall(), now);
                dispatch.retries.record_first_attempt(&class, now);
                let job = Urgent {
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
            self.refuse_waiting(vec![*waiting], &refusal);
        }
        self.dispatch_pool(&pool);
        rx.await.unwrap_or_else(|_canceled| Answer::Unknown { reason: "the entry gave the job up".to_owned() })
    }

    /// Makes one attempt to run an urgent job.
    pub async fn attempt_urgent(self: &Arc<Self>, start: Start) {
        let Some((address, lease)) = self.obtain_lease(&start, SLOT_LEASE_TTL).await else {
            self.retreat(start).await;
            return;
        };
        // The check comes last before the send: a pause after it makes the lease lapse, and the worker refuses.
        if start.waiting.team.is_some() && !self.is_fresh() {
            self.refuse_stale(start, &lease);
            return;
        }
        let started_at = self.clock.now();
        let attempt = Attempt { start, address, lease, started_at };
        let Some((request, limit)) = self.build_start(&attempt) else {
            // The job was cancelled while it waited for the lease.
            self.end_attempt(attempt, true);
            return;
        };
        let task = request.task.clone();
        let answer = self.workers.start(address, worker::Start { limit, ..request }).await;
        self.take_answer(attempt, &task, answer).await;
    }

    fn build_start(&self, attempt: &Attempt) -> Option<(worker::Start, Duration)> {
        let dispatch = self.dispatch();
        let job = dispatch.urgent.get(&attempt.start.waiting.job)?;
        let spec = &job.spec;
        let high = dispatch.runs.estimate(&spec.queue, spec.team.as_ref(), &spec.class, spec.expected_run).p90;
        let limit =
            Millis(high.0.saturating_mul(ANSWER_LIMIT_RUNS)).clamp(ANSWER_LIMIT.0, ANSWER_LIMIT.1).to_duration();
        let request = worker::Start {
            task: self.new_task_id(),
            lease: attempt.lease.clone(),
            queue: spec.queue.clone(),
            team: spec.team.clone(),
            payload: job.payload.clone(),
            wait: true,
            limit,
        };
        Some((request, limit))
    }

    async fn take_answer(self: &Arc<Self>, attempt: Attempt, task: &TaskId, answer: StartAnswer) {
        let vm = attempt.start.choice.vm.clone();
        match answer {
            StartAnswer::Answer(body) => {
                self.record_success(&attempt);
                let job = attempt.start.waiting.job.clone();
                self.end_attempt(attempt, true);
                let callers = self.dispatch().take_callers(&job);
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
                self.dispatch().endpoints.release_failed(&vm, self.clock.now(), &mut rand::rng());
                self.end_attempt(attempt, false);
                self.retry(&job, &vm, Ran::No, &reason);
            }
            StartAnswer::Started => {
                self.end_unknown(attempt, &vm, task, "the worker did not wait for the end of the task").await;
            }
            StartAnswer::Unknown(reason) => self.end_unknown(attempt, &vm, task, &reason).await,
        }
    }

    /// Ends an attempt whose task may still run. Its permit stays in use until the slot lease has lapsed.
    async fn end_unknown(self: &Arc<Self>, attempt: Attempt, vm: &VmId, task: &TaskId, reason: &str) {
        let job = attempt.start.waiting.job.clone();
        let (team, pool, address) = (attempt.start.waiting.team.clone(), attempt.start.pool.clone(), attempt.address);
        {
            let mut dispatch = self.dispatch();
            dispatch.endpoints.release_failed(vm, self.clock.now(), &mut rand::rng());
            dispatch.queue(&pool).finish(team.as_ref());
            // Without renewals the worker stops the task. One that is on its way may still reach the worker.
            dispatch.leases.remove(&SlotKey::new(vm, &attempt.lease));
        }
        let lapse = SLOT_LEASE_TTL + LAPSE_MARGIN;
        let (entry, permit, task) = (Arc::clone(self), attempt.start.permit, task.clone());
        task::spawn(async move {
            entry.workers.request_task(address, &task, worker::TaskRequest::Stop).await;
            task::sleep(lapse.to_duration()).await;
            let now = entry.clock.now();
            entry.dispatch().finish_permit(permit, now);
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
        dispatch.runs.observe(&queue, team.as_ref(), &class, now.since(attempt.started_at));
        dispatch.record_result(&start.pool, &start.choice.vm, &start.waiting.job, RunResult::Done, now);
        let met = match self.find_target(&class) {
            Target::Within { ms } => wait <= ms,
            Target::By { .. } | Target::Eventually => true,
        };
        dispatch.record_target(&class, team.as_ref(), &start.pool, met, wall);
        drop(dispatch);
        self.metrics.record_wait(&class, wait);
        self.count_urgent(team.as_ref(), &class, ledger::JobResult::Done, wait, now.since(attempt.started_at));
    }

    /// Ends an attempt whose task has certainly ended.
    fn end_attempt(self: &Arc<Self>, attempt: Attempt, lease_is_valid: bool) {
        let now = self.clock.now();
        let Attempt { start, lease, .. } = attempt;
        let mut dispatch = self.dispatch();
        dispatch.queue(&start.pool).finish(start.waiting.team.as_ref());
        dispatch.finish_permit(start.permit, now);
        if lease_is_valid {
            dispatch.endpoints.release(&start.choice.vm);
            drop(dispatch);
            self.keep_or_release(&start.pool, &start.choice.vm, lease);
        } else {
            dispatch.leases.remove(&SlotKey::new(&start.choice.vm, &lease));
        }
    }

    /// Tries a job again if its retry budget and its deadline allow it, and answers its callers otherwise.
    fn retry(self: &Arc<Self>, job: &JobId, vm: &VmId, ran: Ran, reason: &str) {
        let now = self.clock.now();
        let mut dispatch = self.dispatch();
        let Some(urgent) = dispatch.urgent.get_mut(job) else { return };
        urgent.note_attempt(vm, ran, reason);
        let (spec, tried) = (urgent.spec.clone(), urgent.tried.clone());
        let target = self.find_target(&spec.class);
        let deadline =
            spec.deadline.map(|at| carawaybarrow_core::deadline::Deadline::of_job(target, at, self.clock.wall(), now));
        let run = dispatch.estimate_run(&spec);
        let attempts = FailedJob { class: &spec.class, idempotent: spec.idempotent, ran, tried: &tried, deadline, run };
        match dispatch.retries.decide(&attempts, now, &mut rand::rng()) {
            Decision::Retry { after } => {
                drop(dispatch);
                self.metrics.count_retry(&spec.class);
                task::spawn(Arc::clone(self).push_again(spec, after));
            }
            Decision::GiveUp(_) => {
                drop(dispatch);
                self.give_up_urgent(job, &Refusal::Overloaded { retry_after: GIVE_UP_RETRY_AFTER });
            }
        }
    }

    async fn push_again(self: Arc<Self>, spec: JobSpec, after: Millis) {
        task::sleep(after.to_duration()).await;
        let target = self.find_target(&spec.class);
        let pushed = self.dispatch().push(&spec, target, self.clock.wall(), self.clock.now());
        if let PushOutcome::Displaced { waiting, refusal } = pushed {
            self.refuse_waiting(vec![*waiting], &refusal);
        }
        self.dispatch_pool(&spec.pool);
    }

    /// Puts back a job that got no slot.
    pub async fn retreat(self: &Arc<Self>, start: Start) {
        let now = self.clock.now();
        self.dispatch().put_back(start, now);
        task::sleep(FULL_PAUSE).await;
    }

    fn refuse_stale(self: &Arc<Self>, start: Start, lease: &LeaseId) {
        let now = self.clock.now();
        let job = start.waiting.job.clone();
        let mut dispatch = self.dispatch();
        dispatch.endpoints.release(&start.choice.vm);
        dispatch.queue(&start.pool).finish(start.waiting.team.as_ref());
        dispatch.finish_permit(start.permit, now);
        drop(dispatch);
        self.release_lease(&start.choice.vm, lease);
        self.give_up_urgent(&job, &Refusal::Stale);
    }

    /// Answers the callers of a job that gets no further attempt. The job has missed its target.
    pub fn give_up_urgent(&self, job: &JobId, refusal: &Refusal) {
        let Some(urgent) = self.dispatch().urgent.remove(job) else { return };
        let answer = urgent.give_up(refusal);
        let (class, team, wall) = (&urgent.spec.class, urgent.spec.team.as_ref(), self.clock.wall());
        self.dispatch().record_target(class, team, &urgent.spec.pool, false, wall);
        self.count_urgent(team, class, ledger_urgent::result_of(&answer), Millis(0), Millis(0));
        dispatch::answer_callers(urgent.callers, &answer);
    }
}
