//! Watches durable tasks until their end is in the journal, including tasks whose claimant is gone.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task;
use carawaybarrow_core::Map;
use carawaybarrow_core::health::RunResult;
use carawaybarrow_core::ids::{EntryId, JobId, ShardId, TaskId, VmId};
use carawaybarrow_core::job::{Content, JobSpec, MAX_STORED_BYTES};
use carawaybarrow_core::journal::{Claim, JobCommand, JobOutcome, RequeueReason, fits_inline};
use carawaybarrow_core::permits::Permit;
use carawaybarrow_core::units::{Millis, MonoTime};
use smol_str::SmolStr;

use crate::dispatch::SlotKey;
use crate::durable::{self, DURABLE_LEASE_TTL, DurableJob};
use crate::entry::Entry;
use crate::worker::{TaskRequest, TaskState};

/// Time after the lapse of a lease until its task counts as ended.
const LAPSE_MARGIN: Millis = Millis(2_000);

/// Time without contact to the worker of a non-idempotent task after which the outcome counts as unknown.
const UNKNOWN_AFTER: Millis = Millis(60_000);

/// Minimum and maximum interval between two polls of a task.
const POLL_INTERVAL_BOUNDS: (Millis, Millis) = (Millis(20), Millis(1_000));

/// Age of a claim after which its commit counts as ended at the claimant. It covers the at most 16 store calls of a
/// commit, of at most 1 s each; the wait for the preceding write and the delays after failed calls come on top.
const CLAIM_COMMIT_LIMIT: Millis = Millis(20_000);

/// Time without a heartbeat of a claimant after which the shard's owner also watches its tasks.
const CLAIMANT_TIMEOUT: Millis = Millis(3_000);

/// State of the watch of a durable task.
pub(crate) struct TaskWatch {
    pub job: DurableJob,
    pub claim: Claim,
    pub address: SocketAddr,
    pub permit: Option<Permit>,
    /// When the last request was sent whose answer showed that the lease is valid; at first the time of the start or of
    /// the adoption.
    pub lease_confirmed_at: MonoTime,
    pub started_at: MonoTime,
    pub is_started_here: bool,
}

/// Outcome of a poll of a task.
enum PollOutcome {
    Running,
    Ended(JobCommand),
    /// The worker doesn't know the task.
    UnknownTask,
    Unreachable,
}

impl Entry {
    /// Watches a task until its end is in the journal.
    pub(crate) async fn watch_task(self: Arc<Self>, mut watch: TaskWatch) {
        let mut interval = POLL_INTERVAL_BOUNDS.0;
        loop {
            task::sleep(interval.to_duration()).await;
            interval = Millis(interval.0 * 2).min(POLL_INTERVAL_BOUNDS.1);
            let asked = self.clock.now();
            let end = match self.poll_task(&watch).await {
                PollOutcome::Running => {
                    watch.lease_confirmed_at = asked;
                    self.renew_adopted(&watch).await;
                    None
                }
                PollOutcome::Ended(command) => Some(command),
                PollOutcome::UnknownTask => self.end_if_silent(&watch, DURABLE_LEASE_TTL + LAPSE_MARGIN),
                PollOutcome::Unreachable if watch.job.spec.idempotent => {
                    self.end_if_silent(&watch, DURABLE_LEASE_TTL + LAPSE_MARGIN)
                }
                PollOutcome::Unreachable => self.end_if_silent(&watch, UNKNOWN_AFTER),
            };
            if let Some(command) = end {
                self.end_watch(watch, command).await;
                return;
            }
        }
    }

    /// Renews the lease of a task that another process started; this entry's own leases are renewed together.
    async fn renew_adopted(&self, watch: &TaskWatch) {
        if !watch.is_started_here {
            // A lost call is repeated after the next poll.
            drop(self.workers.renew(watch.address, vec![watch.claim.lease.clone()]).await);
        }
    }

    async fn poll_task(self: &Arc<Self>, watch: &TaskWatch) -> PollOutcome {
        let (job, task) = (watch.job.spec.id.clone(), watch.claim.task.clone());
        let state = match self.workers.task(watch.address, &task).await {
            Ok(Some(state)) => state,
            Ok(None) => {
                // Renewals end here, so that the lease has lapsed for a start in flight before the job is started
                // again.
                self.dispatch().leases.remove(&SlotKey::new(&watch.claim.vm, &watch.claim.lease));
                return PollOutcome::UnknownTask;
            }
            Err(_) => return PollOutcome::Unreachable,
        };
        let at = self.clock.wall();
        match state {
            TaskState::Running => PollOutcome::Running,
            TaskState::Done { answer } if answer.len() > MAX_STORED_BYTES => {
                let reason = SmolStr::new(format!("the answer has {} bytes, above {MAX_STORED_BYTES}", answer.len()));
                PollOutcome::Ended(JobCommand::Fail { job, task, reason, at })
            }
            TaskState::Done { answer } => match self.store_answer(&job, answer).await {
                Some(answer) => PollOutcome::Ended(JobCommand::Finish { job, task, answer, at }),
                // The worker keeps the answer; the next poll tries to store it again.
                None => PollOutcome::Running,
            },
            TaskState::Failed { reason } => {
                PollOutcome::Ended(JobCommand::Fail { job, task, reason: SmolStr::new(reason), at })
            }
            TaskState::Stopped => PollOutcome::Ended(self.describe_stop(watch)),
        }
    }

    async fn store_answer(&self, job: &JobId, answer: String) -> Option<Content> {
        if fits_inline(&answer) {
            return Some(Content::Inline { text: answer });
        }
        let bytes = answer.len() as u64;
        self.put_content(&durable::result_key(job), answer).await.ok()?;
        Some(Content::Stored { bytes })
    }

    fn describe_stop(&self, watch: &TaskWatch) -> JobCommand {
        let (job, task, at) = (watch.job.spec.id.clone(), watch.claim.task.clone(), self.clock.wall());
        let cancelled = self
            .shards
            .read(watch.job.shard, |document| document.get(&job).is_some_and(|view| view.cancel_requested))
            .unwrap_or(false);
        if cancelled {
            return JobCommand::Fail { job, task, reason: SmolStr::new_static("cancelled"), at };
        }
        if watch.job.spec.idempotent {
            let preempted = self.dispatch().watched.get(&task).is_some_and(|t| t.preempted);
            let why = if preempted { RequeueReason::Preempted } else { RequeueReason::LeaseLapsed };
            return JobCommand::Requeue { job, task, why, at };
        }
        let reason = SmolStr::new_static("the worker stopped the task before its end");
        JobCommand::MarkUnknown { job, task, reason, at }
    }

    /// Returns the command that ends a task whose lease was last confirmed at least `limit` ago.
    fn end_if_silent(&self, watch: &TaskWatch, limit: Millis) -> Option<JobCommand> {
        if self.clock.now().since(watch.lease_confirmed_at) < limit {
            return None;
        }
        let (job, task, at) = (watch.job.spec.id.clone(), watch.claim.task.clone(), self.clock.wall());
        Some(if watch.job.spec.idempotent {
            JobCommand::Requeue { job, task, why: RequeueReason::WorkerLost, at }
        } else {
            let reason = SmolStr::new(format!("worker {} does not report the task", watch.claim.vm));
            JobCommand::MarkUnknown { job, task, reason, at }
        })
    }

    async fn end_watch(self: &Arc<Self>, watch: TaskWatch, command: JobCommand) {
        let TaskWatch { job, claim, permit, started_at, is_started_here, .. } = watch;
        let (now, wall) = (self.clock.now(), self.clock.wall());
        {
            // The task has ended, so its slot and permit are freed before the journal records the end.
            let mut dispatch = self.dispatch();
            if is_started_here {
                dispatch.queue(&job.spec.pool).finish(job.spec.team.as_ref());
            }
            dispatch.free_permit(permit, now);
            match &command {
                JobCommand::Finish { .. } => {
                    let spec = &job.spec;
                    dispatch.run_times.observe(&spec.queue, spec.team.as_ref(), &spec.class, now.since(started_at));
                    dispatch.record_result(&spec.pool, &claim.vm, &spec.id, RunResult::Done, now);
                    let met = spec.deadline.is_none_or(|at| wall <= at);
                    dispatch.record_target(&spec.class, spec.team.as_ref(), &spec.pool, met, wall);
                }
                JobCommand::Fail { .. } => {
                    dispatch.record_result(&job.spec.pool, &claim.vm, &job.spec.id, RunResult::Failed, now);
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

    /// Handles the claims in an owned shard that no live entry watches: releases own claims whose start was never sent,
    /// and adopts those of claimants without a recent heartbeat.
    pub fn adopt_claims(self: &Arc<Self>, shard: ShardId) {
        let claims = self.shards.read(shard, |document| {
            document.claims().map(|(record, claim)| (record.spec.clone(), claim.clone())).collect::<Vec<_>>()
        });
        for (spec, claim) in claims.into_iter().flatten() {
            if self.dispatch().watched.contains_key(&claim.task) {
                continue;
            }
            let job = DurableJob { spec, shard };
            if claim.entry == self.settings.entry && claim.incarnation == self.incarnation {
                // The claim took effect although its answer was lost, so its start was never sent.
                let Some(address) = self.fleet.find_address(&claim.vm) else { continue };
                self.record_watched_task(&job.spec, &claim, address);
                let entry = Arc::clone(self);
                task::spawn(async move { entry.release_claim(&job, &claim).await });
                continue;
            }
            let time_since_heartbeat =
                self.peers.time_since_heartbeat(&claim.entry, claim.incarnation, self.clock.now());
            if time_since_heartbeat.is_none_or(|s| s > CLAIMANT_TIMEOUT) {
                self.adopt_claim(job, claim);
            }
        }
    }

    /// Asks the claimants of old claims whether they still watch their tasks, and adopts the tasks that they don't
    /// watch.
    ///
    /// Without this, no entry watches a claim whose answer was lost at a claimant that then lost the shard: the
    /// claimant assumes that the claim was not made, and the new owner observes a claimant that is alive.
    pub async fn ask_claimants(self: &Arc<Self>, shard: ShardId) {
        let wall = self.clock.wall();
        let claims = self.shards.read(shard, |document| {
            let is_old = |claim: &Claim| wall.since(claim.at) >= CLAIM_COMMIT_LIMIT;
            let old = document.claims().filter(|(_, claim)| is_old(claim));
            old.map(|(record, claim)| (record.spec.clone(), claim.clone())).collect::<Vec<_>>()
        });
        let mut by_claimant: Map<EntryId, Vec<(JobSpec, Claim)>> = Map::default();
        for (spec, claim) in claims.into_iter().flatten() {
            if claim.entry != self.settings.entry && !self.dispatch().watched.contains_key(&claim.task) {
                by_claimant.entry(claim.entry.clone()).or_default().push((spec, claim));
            }
        }
        for (claimant, claims) in by_claimant {
            let tasks: Vec<_> = claims.iter().map(|(_, claim)| claim.task.clone()).collect();
            // The claims of a claimant that doesn't answer are adopted once it is silent; until then it is asked again.
            let Ok(unwatched) = self.ask_unwatched(&claimant, &tasks).await else { continue };
            for (spec, claim) in claims {
                if unwatched.contains(&claim.task) && !self.dispatch().watched.contains_key(&claim.task) {
                    self.adopt_claim(DurableJob { spec, shard }, claim);
                }
            }
        }
    }

    /// Returns those of `tasks` that this entry doesn't watch.
    #[must_use]
    pub fn find_unwatched(&self, tasks: Vec<TaskId>) -> Vec<TaskId> {
        let dispatch = self.dispatch();
        tasks.into_iter().filter(|task| !dispatch.watched.contains_key(task)).collect()
    }

    fn adopt_claim(self: &Arc<Self>, job: DurableJob, claim: Claim) {
        let Some(address) = self.fleet.find_address(&claim.vm) else { return };
        log::info!(job:% = job.spec.id, claimant:% = claim.entry; "adopted a task of another process");
        self.record_watched_task(&job.spec, &claim, address);
        let now = self.clock.now();
        let watch = TaskWatch {
            job,
            claim,
            address,
            permit: None,
            lease_confirmed_at: now,
            started_at: now,
            is_started_here: false,
        };
        task::spawn(Arc::clone(self).watch_task(watch));
    }

    /// Asks the worker of a claimed job to stop it.
    pub async fn stop_task(&self, vm: &VmId, task: &TaskId) {
        if let Some(address) = self.fleet.find_address(vm) {
            // If the call is lost, the caller may repeat the cancellation.
            self.workers.request_task(address, task, TaskRequest::Stop).await;
        }
    }
}
