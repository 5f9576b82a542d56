//! Durable jobs: accepted into the journal, claimed there before a start, and watched until their end.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task;
use carawaybarrow_core::ids::{JobId, PoolId, ShardId, StoreVersion};
use carawaybarrow_core::job::{Content, JobSpec};
use carawaybarrow_core::journal::{Claim, JobCommand, JobOutcome};
use carawaybarrow_core::queue::{PushOutcome, Urgency};
use carawaybarrow_core::routing::EndpointState;
use carawaybarrow_core::units::{Millis, MonoTime};

use crate::dispatch::{self, RunningTask, SlotKey, Start};
use crate::entry::Entry;
use crate::shards::SubmitError;
use crate::store::{self, Put};
use crate::task_watch::Watched;
use crate::worker::{self, StartAnswer, TaskRequest};

/// Lifetime of the slot lease of a durable task; it outlasts a change of the shard's owner.
pub(crate) const TASK_LEASE_TTL: Millis = Millis(15_000);

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
    pub async fn attempt_durable(self: &Arc<Self>, mut start: Start) {
        let job = self.dispatch().durable.get(&start.waiting.job).cloned();
        let Some(job) = job else {
            self.drop_start(start);
            return;
        };
        // The slot under an idle lease goes back, because a durable task needs a lease of longer life.
        if let Some(lease) = start.choice.lease.take() {
            let held = self.dispatch().leases.remove(&SlotKey::new(&start.choice.vm, &lease));
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

    pub(crate) fn note_watched(&self, spec: &JobSpec, claim: &Claim, address: SocketAddr) {
        let is_patient = dispatch::find_kind(self.find_target(&spec.class)) == Urgency::Patient;
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
        let lease_holds = self.dispatch().leases.contains_key(&SlotKey::new(&claim.vm, &claim.lease));
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
                    self.mark_endpoint(&vm, EndpointState::Draining);
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
    pub(crate) fn drop_start(self: &Arc<Self>, start: Start) {
        let now = self.clock.now();
        let mut dispatch = self.dispatch();
        dispatch.durable.remove(&start.waiting.job);
        dispatch.queue(&start.pool).finish(start.waiting.team.as_ref());
        dispatch.finish_permit(start.permit, now);
    }

    pub(crate) async fn give_claim_back(self: &Arc<Self>, job: &Durable, claim: &Claim) {
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
