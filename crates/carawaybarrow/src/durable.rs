//! Durable jobs: accepted into the journal, claimed there before a start, and watched until their end.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task;
use carawaybarrow_core::health::JobResult;
use carawaybarrow_core::ids::{JobId, PoolId, ShardId, StoreVersion, TaskId, VmId};
use carawaybarrow_core::job::{Content, JobSpec, MAX_STORED_BYTES};
use carawaybarrow_core::journal::{Claim, JobCommand, JobOutcome, RequeueReason, fits_inline};
use carawaybarrow_core::permits::Permit;
use carawaybarrow_core::queue::{Kind, Pushed};
use carawaybarrow_core::routing::State;
use carawaybarrow_core::units::{Millis, MonoTime};
use smol_str::SmolStr;

use crate::dispatch::{self, RunningTask, Start};
use crate::entry::Entry;
use crate::shards::SubmitError;
use crate::store::{self, Put};
use crate::worker::{self, StartAnswer, TaskRequest, TaskState};

/// Lifetime of the slot lease of a durable task; it outlasts a change of the shard's owner.
const TASK_LEASE_TTL: Millis = Millis(15_000);

/// Margin after the lapse of a lease before its task counts as ended.
const LAPSE_MARGIN: Millis = Millis(2_000);

/// Time without news of a non-idempotent task after which its outcome counts as unknown.
const UNKNOWN_AFTER: Millis = Millis(60_000);

/// Shortest and longest pause between two looks at a task.
const WATCH_PAUSE: (Millis, Millis) = (Millis(20), Millis(1_000));

/// Silence of a claimant after which the shard's owner watches its tasks too.
const CLAIMANT_SILENCE: Millis = Millis(3_000);

/// Time for the answer to a start that doesn't wait for the end of its task.
const START_LIMIT: Millis = Millis(5_000);

/// A durable job that waits or is being started here.
#[derive(Clone, Debug)]
pub struct Durable {
    /// The job.
    pub spec: JobSpec,
    /// Its shard.
    pub shard: ShardId,
}

/// A durable task that this entry watches.
struct Watched {
    job: Durable,
    claim: Claim,
    address: SocketAddr,
    permit: Option<Permit>,
    /// When the last sign that the lease holds was asked for.
    lease_seen: MonoTime,
    started_at: MonoTime,
    is_own: bool,
}

/// What a look at a task says.
enum Look {
    Running,
    Ended(JobCommand),
    /// The worker doesn't know the task.
    NotKnown,
    Unreachable,
}

/// Store key of the payload of a job.
#[must_use]
pub fn payload_key(job: &JobId) -> String {
    format!("payloads/{job}")
}

/// Store key of the answer of a job.
#[must_use]
pub fn result_key(job: &JobId) -> String {
    format!("results/{job}")
}

impl Entry {
    /// Makes a job durable.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached, or did not tell whether the job was written.
    pub async fn accept_durable(self: &Arc<Self>, spec: JobSpec, payload: String) -> Result<JobOutcome, SubmitError> {
        if matches!(spec.payload, Content::Stored { .. }) {
            self.put_content(&payload_key(&spec.id), payload).await?;
        }
        let shard = self.shards.of_job(&spec.id);
        let outcomes = self.submit(shard, vec![JobCommand::Accept { spec: Box::new(spec) }]).await?;
        outcomes.into_iter().next().ok_or(SubmitError::Unknown)
    }

    /// Writes content under its own key. An earlier write of the same content counts as this one.
    async fn put_content(&self, key: &str, text: String) -> Result<(), SubmitError> {
        let put = Put { key: key.to_owned(), expect: StoreVersion(0), bytes: text.into_bytes(), lease: None };
        match self.store.put(put).await {
            Ok(_) => Ok(()),
            Err(store::StoreError::Lost) => Err(SubmitError::Unknown),
            Err(_) => {
                let reason = carawaybarrow_core::commit::NotWritten::StoreUnavailable;
                Err(SubmitError::NotWritten { reason })
            }
        }
    }

    /// Queues the waiting jobs of a shard that this entry owns.
    pub fn offer_waiting(self: &Arc<Self>, shard: ShardId) {
        let waiting = self.shards.read(shard, |document| {
            document.waiting().into_iter().map(|record| record.spec.clone()).collect::<Vec<_>>()
        });
        let (wall, now) = (self.clock.wall(), self.clock.now());
        let mut pools: Vec<PoolId> = Vec::new();
        for spec in waiting.into_iter().flatten() {
            let target = self.find_target(&spec.class);
            let mut dispatch = self.dispatch();
            if dispatch.durable.contains_key(&spec.id) {
                continue;
            }
            dispatch.durable.insert(spec.id.clone(), Durable { spec: spec.clone(), shard });
            match dispatch.push(&spec, target, wall, now) {
                // A durable job that finds no room is offered again at the next look at the shard.
                Pushed::Displaced { waiting, .. } => drop(dispatch.durable.remove(&waiting.job)),
                Pushed::Queued | Pushed::Duplicate => pools.push(spec.pool.clone()),
            }
        }
        pools.sort();
        pools.dedup();
        for pool in pools {
            self.dispatch_pool(&pool);
        }
    }

    /// Claims a durable job and starts its task.
    pub async fn attempt_durable(self: &Arc<Self>, mut start: Start) {
        let job = self.dispatch().durable.get(&start.waiting.job).cloned();
        let Some(job) = job else {
            self.drop_start(start);
            return;
        };
        // The slot under an idle lease goes back, because a durable task needs a lease of longer life.
        if let Some(lease) = start.choice.lease.take() {
            let held = self.dispatch().leases.remove(&(start.choice.vm.clone(), lease.clone()));
            if let Some(held) = held {
                self.workers.release(held.address, lease).await;
            }
        }
        let Some((address, lease)) = self.obtain_lease(&start, TASK_LEASE_TTL).await else {
            self.retreat(start).await;
            return;
        };
        let payload = match self.load_payload(&job.spec).await {
            Some(payload) => payload,
            None => {
                self.release_lease(&start.choice.vm, &lease);
                self.dispatch().endpoints.release(&start.choice.vm);
                self.retreat(start).await;
                return;
            }
        };
        let claim = Claim {
            entry: self.settings.entry.clone(),
            incarnation: self.incarnation,
            vm: start.choice.vm.clone(),
            lease: lease.clone(),
            task: self.new_task_id(),
            at: self.clock.wall(),
        };
        // The claim counts as watched from here on, so that the owner's upkeep leaves it alone.
        self.note_watched(&job.spec, &claim, address);
        let command = JobCommand::Claim { job: job.spec.id.clone(), claim: claim.clone() };
        let claimed = self.submit_as_owner(job.shard, vec![command]).await;
        match claimed.as_deref() {
            Ok([JobOutcome::Claimed]) => self.send_durable(start, job, claim, address, payload).await,
            _ => {
                // Without a confirmed claim nothing is sent. If it took effect after all, the upkeep releases it.
                self.dispatch().watched.remove(&claim.task);
                self.release_lease(&start.choice.vm, &lease);
                self.dispatch().endpoints.release(&start.choice.vm);
                self.drop_start(start);
            }
        }
    }

    fn note_watched(&self, spec: &JobSpec, claim: &Claim, address: SocketAddr) {
        let is_patient = dispatch::find_kind(self.find_target(&spec.class)) == Kind::Patient;
        let running = RunningTask {
            pool: spec.pool.clone(),
            address,
            started_at: self.clock.now(),
            preemptible: spec.idempotent && is_patient,
            preempted: false,
        };
        self.dispatch().watched.insert(claim.task.clone(), running);
    }

    async fn load_payload(&self, spec: &JobSpec) -> Option<String> {
        match &spec.payload {
            Content::Inline { text } => Some(text.clone()),
            Content::Stored { .. } => {
                let stored = self.store.get(&payload_key(&spec.id)).await.ok()??;
                String::from_utf8(stored.bytes).ok()
            }
        }
    }

    /// Sends the one start that a claim allows.
    async fn send_durable(
        self: &Arc<Self>,
        start: Start,
        job: Durable,
        claim: Claim,
        address: SocketAddr,
        payload: String,
    ) {
        let lease_holds = self.dispatch().leases.contains_key(&(claim.vm.clone(), claim.lease.clone()));
        // The check comes last before the send; see `attempt_urgent`.
        let may_start = lease_holds && (job.spec.team.is_none() || self.is_fresh());
        let sent = self.clock.now();
        let answer = if may_start {
            let request = worker::Start {
                task: claim.task.clone(),
                lease: claim.lease.clone(),
                queue: job.spec.queue.clone(),
                team: job.spec.team.clone(),
                payload,
                wait: false,
                limit: START_LIMIT.to_duration(),
            };
            self.workers.start(address, request).await
        } else {
            StartAnswer::NotSent("this entry may not start work".to_owned())
        };
        let vm = claim.vm.clone();
        match answer {
            StartAnswer::NotSent(_) | StartAnswer::LeaseLapsed | StartAnswer::Draining => {
                if matches!(answer, StartAnswer::Draining) {
                    self.mark_endpoint(&vm, State::Draining);
                }
                self.give_claim_back(&job, &claim).await;
                self.release_lease(&claim.vm, &claim.lease);
                self.dispatch().endpoints.release(&vm);
                self.drop_start(start);
            }
            _ => {
                self.dispatch().endpoints.release(&vm);
                let Start { pool, permit, .. } = start;
                let watched = Watched { job, claim, address, permit, lease_seen: sent, started_at: sent, is_own: true };
                task::spawn(Arc::clone(self).watch_task(watched));
                self.dispatch_pool(&pool);
            }
        }
    }

    /// Ends a start that no longer belongs here; the job is in the journal.
    fn drop_start(self: &Arc<Self>, start: Start) {
        let now = self.clock.now();
        let mut dispatch = self.dispatch();
        dispatch.durable.remove(&start.waiting.job);
        dispatch.queue(&start.pool).finish(start.waiting.team.as_ref());
        dispatch.finish_permit(start.permit, now);
    }

    async fn give_claim_back(self: &Arc<Self>, job: &Durable, claim: &Claim) {
        let command = JobCommand::Release {
            job: job.spec.id.clone(),
            task: claim.task.clone(),
            entry: claim.entry.clone(),
            incarnation: claim.incarnation,
            at: self.clock.wall(),
        };
        self.submit_until_written(job.shard, command).await;
        self.dispatch().watched.remove(&claim.task);
    }

    /// Submits a command until its outcome is known. The store may be down for long; the command is kept here.
    async fn submit_until_written(self: &Arc<Self>, shard: ShardId, command: JobCommand) -> Option<JobOutcome> {
        let mut failures = 0;
        loop {
            match self.submit(shard, vec![command.clone()]).await {
                Ok(outcomes) => return outcomes.into_iter().next(),
                Err(_) => task::sleep(store::backoff(failures)).await,
            }
            failures += 1;
        }
    }

    /// Watches a task until its end is in the journal.
    async fn watch_task(self: Arc<Self>, mut watched: Watched) {
        let mut pause = WATCH_PAUSE.0;
        loop {
            task::sleep(pause.to_duration()).await;
            pause = Millis(pause.0 * 2).min(WATCH_PAUSE.1);
            let asked = self.clock.now();
            let end = match self.look_at_task(&watched).await {
                Look::Running => {
                    watched.lease_seen = asked;
                    self.renew_adopted(&watched).await;
                    None
                }
                Look::Ended(command) => Some(command),
                Look::NotKnown => self.end_lapsed(&watched, TASK_LEASE_TTL + LAPSE_MARGIN),
                Look::Unreachable if watched.job.spec.idempotent => {
                    self.end_lapsed(&watched, TASK_LEASE_TTL + LAPSE_MARGIN)
                }
                Look::Unreachable => self.end_lapsed(&watched, UNKNOWN_AFTER),
            };
            if let Some(command) = end {
                self.end_watch(watched, command).await;
                return;
            }
        }
    }

    /// Renews the lease of a task that another process started; this entry's own leases are renewed together.
    async fn renew_adopted(&self, watched: &Watched) {
        if !watched.is_own {
            // If the call is lost, the next look repeats it.
            drop(self.workers.renew(watched.address, vec![watched.claim.lease.clone()]).await);
        }
    }

    async fn look_at_task(self: &Arc<Self>, watched: &Watched) -> Look {
        let (job, task) = (watched.job.spec.id.clone(), watched.claim.task.clone());
        let state = match self.workers.task(watched.address, &task).await {
            Ok(Some(state)) => state,
            Ok(None) => {
                // A start in flight must find its lease lapsed before the job is started again.
                let key = (watched.claim.vm.clone(), watched.claim.lease.clone());
                self.dispatch().leases.remove(&key);
                return Look::NotKnown;
            }
            Err(_) => return Look::Unreachable,
        };
        let at = self.clock.wall();
        match state {
            TaskState::Running => Look::Running,
            TaskState::Done { answer } if answer.len() > MAX_STORED_BYTES => {
                let reason = SmolStr::new(format!("the answer has {} bytes, above {MAX_STORED_BYTES}", answer.len()));
                Look::Ended(JobCommand::Fail { job, task, reason, at })
            }
            TaskState::Done { answer } => match self.store_answer(&job, answer).await {
                Some(answer) => Look::Ended(JobCommand::Finish { job, task, answer, at }),
                // The worker keeps the answer; the next look tries again.
                None => Look::Running,
            },
            TaskState::Failed { reason } => {
                Look::Ended(JobCommand::Fail { job, task, reason: SmolStr::new(reason), at })
            }
            TaskState::Stopped => Look::Ended(self.describe_stop(watched)),
        }
    }

    async fn store_answer(&self, job: &JobId, answer: String) -> Option<Content> {
        if fits_inline(&answer) {
            return Some(Content::Inline { text: answer });
        }
        let bytes = answer.len() as u64;
        self.put_content(&result_key(job), answer).await.ok()?;
        Some(Content::Stored { bytes })
    }

    fn describe_stop(&self, watched: &Watched) -> JobCommand {
        let (job, task, at) = (watched.job.spec.id.clone(), watched.claim.task.clone(), self.clock.wall());
        let cancelled = self
            .shards
            .read(watched.job.shard, |document| document.get(&job).is_some_and(|view| view.cancel_requested))
            .unwrap_or(false);
        if cancelled {
            return JobCommand::Fail { job, task, reason: SmolStr::new_static("cancelled"), at };
        }
        if watched.job.spec.idempotent {
            let preempted = self.dispatch().watched.get(&task).is_some_and(|t| t.preempted);
            let why = if preempted { RequeueReason::Preempted } else { RequeueReason::LeaseLapsed };
            return JobCommand::Requeue { job, task, why, at };
        }
        let reason = SmolStr::new_static("the worker stopped the task before its end");
        JobCommand::MarkUnknown { job, task, reason, at }
    }

    /// Ends a task that has given no sign for `limit`.
    fn end_lapsed(&self, watched: &Watched, limit: Millis) -> Option<JobCommand> {
        if self.clock.now().since(watched.lease_seen) < limit {
            return None;
        }
        let (job, task, at) = (watched.job.spec.id.clone(), watched.claim.task.clone(), self.clock.wall());
        Some(if watched.job.spec.idempotent {
            JobCommand::Requeue { job, task, why: RequeueReason::WorkerLost, at }
        } else {
            let reason = SmolStr::new(format!("worker {} does not report the task", watched.claim.vm));
            JobCommand::MarkUnknown { job, task, reason, at }
        })
    }

    async fn end_watch(self: &Arc<Self>, watched: Watched, command: JobCommand) {
        let Watched { job, claim, permit, started_at, is_own, .. } = watched;
        let (now, wall) = (self.clock.now(), self.clock.wall());
        {
            // The task has ended, so its slot and its permit are free before the journal says so.
            let mut dispatch = self.dispatch();
            if is_own {
                dispatch.queue(&job.spec.pool).finish(job.spec.team.as_ref());
            }
            dispatch.finish_permit(permit, now);
            match &command {
                JobCommand::Finish { .. } => {
                    let spec = &job.spec;
                    dispatch.runs.observe(&spec.queue, spec.team.as_ref(), &spec.class, now.since(started_at));
                    dispatch.record_result(&spec.pool, &claim.vm, &spec.id, JobResult::Done, now);
                    let met = spec.deadline.is_none_or(|at| wall <= at);
                    dispatch.record_target(&spec.class, spec.team.as_ref(), &spec.pool, met, wall);
                }
                JobCommand::Fail { .. } => {
                    dispatch.record_result(&job.spec.pool, &claim.vm, &job.spec.id, JobResult::Failed, now);
                }
                _ => {}
            }
        }
        self.release_lease(&claim.vm, &claim.lease);
        let outcome = self.submit_until_written(job.shard, command).await;
        if let Some(JobOutcome::Rejected { why }) = outcome {
            log::info!(job:% = job.spec.id, why:% = why; "the end of a task was not recorded");
        }
        let mut dispatch = self.dispatch();
        dispatch.watched.remove(&claim.task);
        dispatch.durable.remove(&job.spec.id);
        drop(dispatch);
        self.offer_waiting(job.shard);
        self.dispatch_pool(&job.spec.pool);
    }

    /// Takes care of the claims in an owned shard that nobody else watches.
    pub fn adopt_claims(self: &Arc<Self>, shard: ShardId) {
        let claims = self.shards.read(shard, |document| {
            document.claims().map(|(record, claim)| (record.spec.clone(), claim.clone())).collect::<Vec<_>>()
        });
        for (spec, claim) in claims.into_iter().flatten() {
            if self.dispatch().watched.contains_key(&claim.task) {
                continue;
            }
            let job = Durable { spec, shard };
            if claim.entry == self.settings.entry && claim.incarnation == self.incarnation {
                // The claim took effect after its answer was lost, so its start was never sent.
                let Some(address) = self.fleet.find_address(&claim.vm) else { continue };
                self.note_watched(&job.spec, &claim, address);
                let entry = Arc::clone(self);
                task::spawn(async move { entry.give_claim_back(&job, &claim).await });
                continue;
            }
            let silence = self.peers.silence(&claim.entry, claim.incarnation, self.clock.now());
            if silence.is_none_or(|s| s > CLAIMANT_SILENCE) {
                self.adopt_claim(job, claim);
            }
        }
    }

    fn adopt_claim(self: &Arc<Self>, job: Durable, claim: Claim) {
        let Some(address) = self.fleet.find_address(&claim.vm) else { return };
        log::info!(job:% = job.spec.id, claimant:% = claim.entry; "watching a task of another entry");
        self.note_watched(&job.spec, &claim, address);
        let now = self.clock.now();
        let watched = Watched { job, claim, address, permit: None, lease_seen: now, started_at: now, is_own: false };
        task::spawn(Arc::clone(self).watch_task(watched));
    }

    /// Asks the worker of a claimed job to stop it.
    pub async fn stop_task(&self, vm: &VmId, task: &TaskId) {
        if let Some(address) = self.fleet.find_address(vm) {
            // If the call is lost, the caller may cancel again.
            self.workers.request_task(address, task, TaskRequest::Stop).await;
        }
    }

    /// Frees a slot for urgent work by stopping an idempotent patient task after a checkpoint.
    pub fn preempt_patient(self: &Arc<Self>, now: MonoTime) {
        for pool in self.find_short_pools(now) {
            let Some(victim) = self.dispatch().take_preemptible(&pool, now) else { continue };
            log::info!(pool:% = pool, task:% = victim.0; "patient task stopped for urgent work");
            let entry = Arc::clone(self);
            task::spawn(async move {
                let (task, address) = victim;
                entry.workers.request_task(address, &task, TaskRequest::Checkpoint).await;
                entry.workers.request_task(address, &task, TaskRequest::Stop).await;
            });
        }
    }

    fn find_short_pools(&self, now: MonoTime) -> Vec<PoolId> {
        let pools: Vec<_> = self.dispatch().queues.keys().cloned().collect();
        pools.into_iter().filter(|pool| self.is_short_of_slots(pool, now)).collect()
    }
}
