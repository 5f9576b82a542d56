//! Durable tasks that this entry watches: until their end is in the journal, and after their claimant has gone.

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
use crate::durable::{self, Durable, TASK_LEASE_TTL};
use crate::entry::Entry;
use crate::worker::{TaskRequest, TaskState};

/// Margin after the lapse of a lease before its task counts as ended.
const LAPSE_MARGIN: Millis = Millis(2_000);

/// Time without news of a non-idempotent task after which its outcome counts as unknown.
const UNKNOWN_AFTER: Millis = Millis(60_000);

/// Shortest and longest pause between two looks at a task.
const WATCH_PAUSE: (Millis, Millis) = (Millis(20), Millis(1_000));

/// Age at which a claim is no longer about to be confirmed to its claimant: a commit takes at most 16 store calls of
/// 1 s each.
const CLAIM_SETTLED_AFTER: Millis = Millis(20_000);

/// Silence of a claimant after which the shard's owner watches its tasks too.
const CLAIMANT_SILENCE: Millis = Millis(3_000);

/// A durable task that this entry watches.
pub(crate) struct Watched {
    pub job: Durable,
    pub claim: Claim,
    pub address: SocketAddr,
    pub permit: Option<Permit>,
    /// When the last sign that the lease holds was asked for.
    pub lease_seen: MonoTime,
    pub started_at: MonoTime,
    pub is_own: bool,
}

/// What a look at a task says.
enum Look {
    Running,
    Ended(JobCommand),
    /// The worker doesn't know the task.
    NotKnown,
    Unreachable,
}

impl Entry {
    /// Watches a task until its end is in the journal.
    pub(crate) async fn watch_task(self: Arc<Self>, mut watched: Watched) {
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
                self.dispatch().leases.remove(&SlotKey::new(&watched.claim.vm, &watched.claim.lease));
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
        self.put_content(&durable::result_key(job), answer).await.ok()?;
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

    /// Asks claimants that are alive whether they still watch their tasks, and takes care of those that they don't.
    ///
    /// A claim whose answer was lost at an entry that then lost the shard is watched by nobody: the claimant takes it
    /// for not made, and its new owner sees a claimant that is alive.
    pub async fn ask_claimants(self: &Arc<Self>, shard: ShardId) {
        let wall = self.clock.wall();
        let claims = self.shards.read(shard, |document| {
            let is_old = |claim: &Claim| wall.since(claim.at) >= CLAIM_SETTLED_AFTER;
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
            // A claimant that doesn't answer is either silent, and then its claims are adopted, or asked again.
            let Ok(unwatched) = self.ask_unwatched(&claimant, &tasks).await else { continue };
            for (spec, claim) in claims {
                if unwatched.contains(&claim.task) && !self.dispatch().watched.contains_key(&claim.task) {
                    self.adopt_claim(Durable { spec, shard }, claim);
                }
            }
        }
    }

    /// Which of these tasks this entry doesn't watch.
    #[must_use]
    pub fn find_unwatched(&self, tasks: Vec<TaskId>) -> Vec<TaskId> {
        let dispatch = self.dispatch();
        tasks.into_iter().filter(|task| !dispatch.watched.contains_key(task)).collect()
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
}
