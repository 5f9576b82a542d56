//! Durable jobs: written to the journal when accepted, claimed there before a start, and watched until their end.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task;
use carawaybarrow_core::ids::{JobId, PoolId, ShardId, StoreVersion};
use carawaybarrow_core::job::{Content, JobSpec};
use carawaybarrow_core::journal::{Claim, JobCommand, JobOutcome};
use carawaybarrow_core::queue::{PushOutcome, Urgency};
use carawaybarrow_core::routing::EndpointState;
use carawaybarrow_core::units::{Millis, MonoTime};

use crate::dispatch::{self, JobStart, SlotKey, WatchedTask};
use crate::entry::Entry;
use crate::shards::SubmitError;
use crate::store::{self, Put};
use crate::task_watch::TaskWatch;
use crate::worker::{self, StartAnswer, TaskRequest};

/// Lifetime of the slot lease of a durable task. It is longer than a change of the shard's owner takes.
pub(crate) const DURABLE_LEASE_TTL: Millis = Millis(15_000);

/// Timeout of a start request to a worker that is answered when the task has started.
const START_TIMEOUT: Millis = Millis(5_000);

/// A durable job that is queued or being started at this entry.
#[derive(Clone, Debug)]
pub struct DurableJob {
    /// Specification of the job.
    pub spec: JobSpec,
    /// Shard of the journal that holds the job.
    pub shard: ShardId,
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
    /// Writes an accepted job to the journal.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached, or if it is unknown whether the job was written.
    pub async fn accept_durable(self: &Arc<Self>, spec: JobSpec, payload: String) -> Result<JobOutcome, SubmitError> {
        if matches!(spec.payload, Content::Stored { .. }) {
            self.put_content(&payload_key(&spec.id), payload).await?;
        }
        let shard = self.shards.of_job(&spec.id);
        let outcomes = self.submit(shard, vec![JobCommand::Accept { spec: Box::new(spec) }]).await?;
        outcomes.into_iter().next().ok_or(SubmitError::Unknown)
    }

    /// Writes content under a key that holds nothing else. If the key exists, an earlier write of the same content
    /// counts as this one.
    pub(crate) async fn put_content(&self, key: &str, text: String) -> Result<(), SubmitError> {
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

    /// Queues the waiting jobs of a shard, if this entry owns it.
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
            dispatch.durable.insert(spec.id.clone(), DurableJob { spec: spec.clone(), shard });
            match dispatch.push(&spec, target, wall, now) {
                // A durable job that the full queue displaces stays in the journal, and the next call for its shard
                // offers it again.
                PushOutcome::Displaced { waiting, .. } => drop(dispatch.durable.remove(&waiting.job)),
                PushOutcome::Queued | PushOutcome::Duplicate => pools.push(spec.pool.clone()),
            }
        }
        pools.sort();
        pools.dedup();
        for pool in pools {
            self.dispatch_pool(&pool);
        }
    }

    /// Claims a durable job and starts its task.
    pub async fn attempt_durable(self: &Arc<Self>, mut start: JobStart) {
        let job = self.dispatch().durable.get(&start.waiting.job).cloned();
        let Some(job) = job else {
            self.cancel_start(start);
            return;
        };
        // An idle lease is released, because a durable task needs a lease with a longer lifetime.
        if let Some(lease) = start.endpoint.lease.take() {
            let held = self.dispatch().leases.remove(&SlotKey::new(&start.endpoint.vm, &lease));
            if let Some(held) = held {
                self.workers.release(held.address, lease).await;
            }
        }
        let Some((address, lease)) = self.obtain_lease(&start, DURABLE_LEASE_TTL).await else {
            self.requeue_start(start).await;
            return;
        };
        let payload = match self.load_payload(&job.spec).await {
            Some(payload) => payload,
            None => {
                self.release_lease(&start.endpoint.vm, &lease);
                self.dispatch().endpoints.end_connection(&start.endpoint.vm);
                self.requeue_start(start).await;
                return;
            }
        };
        let claim = Claim {
            entry: self.settings.entry.clone(),
            incarnation: self.incarnation,
            vm: start.endpoint.vm.clone(),
            lease: lease.clone(),
            task: self.new_task_id(),
            at: self.clock.wall(),
        };
        // The task is recorded as watched before the claim is submitted, so that the maintenance of the shard's owner
        // doesn't adopt or release the claim.
        self.record_watched_task(&job.spec, &claim, address);
        let command = JobCommand::Claim { job: job.spec.id.clone(), claim: claim.clone() };
        let claimed = self.submit_as_owner(job.shard, vec![command]).await;
        match claimed.as_deref() {
            Ok([JobOutcome::Claimed]) => self.send_task_start(start, job, claim, address, payload).await,
            _ => {
                // Nothing is sent without a confirmed claim. If the claim took effect and only its confirmation was
                // lost, the maintenance of the shard's owner releases it.
                self.dispatch().watched.remove(&claim.task);
                self.release_lease(&start.endpoint.vm, &lease);
                self.dispatch().endpoints.end_connection(&start.endpoint.vm);
                self.cancel_start(start);
            }
        }
    }

    /// Records that this entry watches the task of a claim.
    pub(crate) fn record_watched_task(&self, spec: &JobSpec, claim: &Claim, address: SocketAddr) {
        let is_patient = dispatch::urgency_of(self.find_target(&spec.class)) == Urgency::Patient;
        let watched = WatchedTask {
            pool: spec.pool.clone(),
            address,
            started_at: self.clock.now(),
            preemptible: spec.idempotent && is_patient,
            preempted: false,
        };
        self.dispatch().watched.insert(claim.task.clone(), watched);
    }

    /// The payload of a job; `None` if it can't be read from the store.
    async fn load_payload(&self, spec: &JobSpec) -> Option<String> {
        match &spec.payload {
            Content::Inline { text } => Some(text.clone()),
            Content::Stored { .. } => {
                let stored = self.store.get(&payload_key(&spec.id)).await.ok()??;
                String::from_utf8(stored.bytes).ok()
            }
        }
    }

    /// Sends the start of a claimed task to its worker. A claim allows only one start, so it isn't sent again.
    async fn send_task_start(
        self: &Arc<Self>,
        start: JobStart,
        job: DurableJob,
        claim: Claim,
        address: SocketAddr,
        payload: String,
    ) {
        let lease_holds = self.dispatch().leases.contains_key(&SlotKey::new(&claim.vm, &claim.lease));
        // This check is the last step before the request is sent; see `attempt_urgent`.
        let may_start = lease_holds && (job.spec.team.is_none() || self.is_fresh());
        let sent = self.clock.now();
        let answer = if may_start {
            let request = worker::StartRequest {
                task: claim.task.clone(),
                lease: claim.lease.clone(),
                queue: job.spec.queue.clone(),
                team: job.spec.team.clone(),
                payload,
                wait: false,
                timeout: START_TIMEOUT.to_duration(),
            };
            self.workers.start(address, request).await
        } else {
            StartAnswer::NotSent("this entry may not start work".to_owned())
        };
        let vm = claim.vm.clone();
        match answer {
            StartAnswer::NotSent(_) | StartAnswer::LeaseLapsed | StartAnswer::Draining => {
                if matches!(answer, StartAnswer::Draining) {
                    self.mark_endpoint(&vm, EndpointState::Draining);
                }
                self.release_claim(&job, &claim).await;
                self.release_lease(&claim.vm, &claim.lease);
                self.dispatch().endpoints.end_connection(&vm);
                self.cancel_start(start);
            }
            _ => {
                self.dispatch().endpoints.end_connection(&vm);
                let JobStart { pool, permit, .. } = start;
                let watch = TaskWatch {
                    job,
                    claim,
                    address,
                    permit,
                    lease_confirmed_at: sent,
                    started_at: sent,
                    is_started_here: true,
                };
                task::spawn(Arc::clone(self).watch_task(watch));
                self.dispatch_pool(&pool);
            }
        }
    }

    /// Cancels the start of a durable job at this entry and frees its permit. The job stays in the journal.
    pub(crate) fn cancel_start(self: &Arc<Self>, start: JobStart) {
        let now = self.clock.now();
        let mut dispatch = self.dispatch();
        dispatch.durable.remove(&start.waiting.job);
        dispatch.queue(&start.pool).finish(start.waiting.team.as_ref());
        dispatch.free_permit(start.permit, now);
    }

    /// Releases a claim whose start was not sent, so that the job can be claimed again.
    pub(crate) async fn release_claim(self: &Arc<Self>, job: &DurableJob, claim: &Claim) {
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

    /// Submits a command, and retries until its outcome is known. The command is kept in memory while the store is down,
    /// which may be long.
    pub(crate) async fn submit_until_written(
        self: &Arc<Self>,
        shard: ShardId,
        command: JobCommand,
    ) -> Option<JobOutcome> {
        let mut failures = 0;
        loop {
            match self.submit(shard, vec![command.clone()]).await {
                Ok(outcomes) => return outcomes.into_iter().next(),
                Err(_) => task::sleep(store::backoff(failures)).await,
            }
            failures += 1;
        }
    }

    /// Preempts an idempotent patient task in each pool where urgent work waits for a slot: the task is asked for a
    /// checkpoint and then stopped.
    pub fn preempt_patient(self: &Arc<Self>, now: MonoTime) {
        for pool in self.find_pools_short_of_slots(now) {
            let Some(victim) = self.dispatch().select_preemption_victim(&pool, now) else { continue };
            log::info!(pool:% = pool, task:% = victim.0; "preempting a patient task for urgent work");
            let entry = Arc::clone(self);
            task::spawn(async move {
                let (task, address) = victim;
                entry.workers.request_task(address, &task, TaskRequest::Checkpoint).await;
                entry.workers.request_task(address, &task, TaskRequest::Stop).await;
            });
        }
    }

    fn find_pools_short_of_slots(&self, now: MonoTime) -> Vec<PoolId> {
        let pools: Vec<_> = self.dispatch().queues.keys().cloned().collect();
        pools.into_iter().filter(|pool| self.is_short_of_slots(pool, now)).collect()
    }
}
