//! Job shards: ownership, group commit and access through the owner.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::commit::{Commit, Document, NotWritten};
use carawaybarrow_core::ids::{JobId, LeaseId, ShardId, StoreVersion, TeamId};
use carawaybarrow_core::job;
use carawaybarrow_core::journal::{JobCommand, JobOutcome, JobShard, JobView, Owner};
use carawaybarrow_core::units::{Millis, MonoTime};
use futures::channel::oneshot;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::entry::Entry;
use crate::peer::PeerError;
use crate::store::{self, CommitError, Committed, StoreError};

/// Writes per second to job shards by all owners together; a part of the writes per second that the platform's store
/// allows.
const JOURNAL_WRITES_PER_SECOND: u64 = 140;

/// Time without a heartbeat after which an owner gets no more calls and other entries may acquire its shards.
pub(crate) const OWNER_TIMEOUT: Millis = Millis(3_000);

/// Reasons why submitted journal commands have no outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SubmitError {
    /// This entry doesn't own the shard.
    #[snafu(display("this entry doesn't own the shard"))]
    NotOwner,
    /// Nothing was written.
    #[snafu(display("the journal was not written: {reason}"))]
    NotWritten {
        /// Why the commit wrote nothing.
        reason: NotWritten,
    },
    /// The answer of the store was lost; the commands may have taken effect.
    #[snafu(display("the store did not tell whether the journal was written"))]
    Unknown,
}

impl From<CommitError> for SubmitError {
    fn from(error: CommitError) -> Self {
        match error {
            CommitError::NotWritten { reason } => Self::NotWritten { reason },
            CommitError::Unknown => Self::Unknown,
        }
    }
}

type SubmitResult = Result<Vec<JobOutcome>, SubmitError>;

#[derive(Debug)]
pub(crate) struct PendingCommands {
    commands: Vec<JobCommand>,
    tx: oneshot::Sender<SubmitResult>,
}

#[derive(Debug, Default)]
pub(crate) struct OwnedShard {
    pub version: StoreVersion,
    pub document: JobShard,
    /// Version of the owner key, required to delete it when the shard is released.
    pub owner_version: StoreVersion,
    pub pending: Vec<PendingCommands>,
    pub writing: bool,
    pub refreshed_at: MonoTime,
}

#[derive(Debug, Default)]
pub(crate) struct OwnershipState {
    pub lease: Option<LeaseId>,
    pub renewed_at: MonoTime,
    pub owned: BTreeMap<ShardId, OwnedShard>,
    /// When this entry first observed that a shard has no live owner.
    pub unowned_since: BTreeMap<ShardId, MonoTime>,
    /// Values of owner key writes whose answer was lost. Such a write may have taken effect, and renewals of the lease
    /// would then keep a key whose shard no entry serves.
    pub uncertain_writes: BTreeMap<ShardId, String>,
    /// Versions of owner keys to delete, until the store confirms the deletion.
    pub releasing: BTreeMap<ShardId, StoreVersion>,
}

/// The shards that this entry owns, and their documents.
#[derive(Debug)]
pub struct Shards {
    pub(crate) count: u16,
    state: Mutex<OwnershipState>,
}

impl Shards {
    /// Creates the state of an entry that owns none of `count` shards.
    #[must_use]
    pub fn new(count: u16) -> Self {
        Self { count, state: Mutex::default() }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, OwnershipState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ids of the shards that this entry owns.
    #[must_use]
    pub fn owned(&self) -> Vec<ShardId> {
        self.lock().owned.keys().copied().collect()
    }

    /// Shard that a job belongs to.
    #[must_use]
    pub fn of_job(&self, job: &JobId) -> ShardId {
        job::find_shard(job, self.count)
    }

    /// Applies `f` to the document of an owned shard; `None` if this entry doesn't own the shard.
    pub fn read<T>(&self, shard: ShardId, f: impl FnOnce(&JobShard) -> T) -> Option<T> {
        self.lock().owned.get(&shard).map(|owned| f(&owned.document))
    }

    fn write_interval(&self) -> Duration {
        Duration::from_millis(u64::from(self.count) * 1_000 / JOURNAL_WRITES_PER_SECOND)
    }

    pub(crate) fn apply_version(&self, shard: ShardId, version: StoreVersion, document: JobShard, now: MonoTime) {
        if let Some(owned) = self.lock().owned.get_mut(&shard) {
            owned.refreshed_at = now;
            if version > owned.version {
                owned.version = version;
                owned.document = document;
            }
        }
    }

    /// Queues commands for the next write. Returns whether the caller has to start a writer, or the commands if this
    /// entry doesn't own the shard.
    fn queue(&self, shard: ShardId, pending: PendingCommands) -> Result<bool, PendingCommands> {
        let mut state = self.lock();
        let Some(owned) = state.owned.get_mut(&shard) else { return Err(pending) };
        owned.pending.push(pending);
        Ok(!std::mem::replace(&mut owned.writing, true))
    }

    /// Empties the queue of commands and returns them with the base of the write; `None`, which ends the writer, if
    /// there are none or the shard is no longer owned.
    fn take_pending(&self, shard: ShardId) -> Option<(Vec<PendingCommands>, StoreVersion, JobShard)> {
        let mut state = self.lock();
        let owned = state.owned.get_mut(&shard)?;
        if owned.pending.is_empty() {
            owned.writing = false;
            return None;
        }
        Some((std::mem::take(&mut owned.pending), owned.version, owned.document.clone()))
    }

    pub(crate) fn drop_all(&self) {
        let mut state = self.lock();
        // The store removes the owner keys with the lease.
        state.lease = None;
        state.uncertain_writes.clear();
        state.releasing.clear();
        let dropped = std::mem::take(&mut state.owned);
        drop(state);
        for pending in dropped.into_values().flat_map(|owned| owned.pending) {
            // The send fails only if the caller no longer waits.
            drop(pending.tx.send(NotOwnerSnafu.fail()));
        }
    }
}

/// A job in the journal and its submitter.
///
/// An answer without the field `is_owner_known` (from an older release) can't be decoded, so the caller reads the store
/// instead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Team that submitted the job; absent on queues open to all, and if the submitter isn't known.
    pub team: Option<TeamId>,
    /// Whether the submitter is known. Otherwise only operators may see the job.
    pub is_owner_known: bool,
    /// State of the job as reported to its caller.
    pub view: JobView,
}

fn find_status(document: &JobShard, job: &JobId) -> Option<JobStatus> {
    let (team, is_owner_known) = match document.owner(job)? {
        Owner::Unknown => (None, false),
        Owner::Open => (None, true),
        Owner::Team(team) => (Some(team), true),
    };
    document.get(job).map(|view| JobStatus { team, is_owner_known, view })
}

/// Store key of a shard.
#[must_use]
pub fn shard_key(shard: ShardId) -> String {
    format!("jobs/{shard}")
}

impl Entry {
    /// Commits commands to a shard that this entry owns, together with those of other callers.
    ///
    /// # Errors
    ///
    /// Fails if this entry doesn't own the shard, or if the store can't be reached or its answer was lost.
    pub async fn submit_as_owner(self: &Arc<Self>, shard: ShardId, commands: Vec<JobCommand>) -> SubmitResult {
        let (tx, rx) = oneshot::channel();
        match self.shards.queue(shard, PendingCommands { commands, tx }) {
            Ok(true) => drop(task::spawn(Arc::clone(self).write_shard(shard))),
            Ok(false) => {}
            Err(_) => return NotOwnerSnafu.fail(),
        }
        rx.await.unwrap_or(Err(SubmitError::Unknown))
    }

    /// Writes queued commands to a shard in batches, at most one per write interval, until the queue is empty.
    async fn write_shard(self: Arc<Self>, shard: ShardId) {
        while let Some((batch, version, document)) = self.shards.take_pending(shard) {
            let started = self.clock.now();
            let commands = batch.iter().flat_map(|p| p.commands.iter().cloned()).collect();
            let commit = Commit::new(self.new_change_id(), commands).with_base(version, document);
            match store::run_commit::<JobShard>(&*self.store, &shard_key(shard), commit).await {
                Ok(Committed { outcomes, version, document }) => {
                    self.shards.apply_version(shard, version, document, self.clock.now());
                    answer_batch(batch, outcomes);
                }
                Err(e) => fail_batch(batch, e.into()),
            }
            self.offer_waiting(shard);
            let passed = self.clock.now().since(started).to_duration();
            task::sleep(self.shards.write_interval().saturating_sub(passed)).await;
        }
    }

    /// Commits commands to the shard of a job: through its owner, or directly if the owner can't be reached.
    ///
    /// Commands other than `Claim` may be submitted twice, because their second application changes nothing.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached or its answer was lost.
    pub async fn submit(self: &Arc<Self>, shard: ShardId, commands: Vec<JobCommand>) -> SubmitResult {
        match self.submit_as_owner(shard, commands.clone()).await {
            Err(SubmitError::NotOwner) => {}
            answer => return answer,
        }
        if let Some(owner) = self.peers.find_owner(shard, self.clock.now(), OWNER_TIMEOUT) {
            match self.submit_to_peer(&owner, shard, &commands).await {
                Ok(outcomes) => return Ok(outcomes),
                Err(PeerError::NotApplied | PeerError::Unknown) => {}
            }
        }
        let commit = Commit::<JobShard>::new(self.new_change_id(), commands);
        let committed = store::run_commit(&*self.store, &shard_key(shard), commit).await?;
        self.announce_write(shard);
        Ok(committed.outcomes)
    }

    /// Reloads a shard from the store if this entry owns it.
    pub async fn refresh_owned(self: &Arc<Self>, shard: ShardId) {
        if self.shards.read(shard, |_| ()).is_some() {
            self.refresh_shard(shard).await;
        }
    }

    /// Returns a job of a shard that this entry owns: `None` if it doesn't own the shard, `Some(None)` if the shard has
    /// no such job.
    #[must_use]
    pub fn get_owned_job(&self, job: &JobId) -> Option<Option<JobStatus>> {
        self.shards.read(self.shards.of_job(job), |document| find_status(document, job))
    }

    /// Reads a job from this entry, from its shard's owner or from the store, in this order.
    ///
    /// # Errors
    ///
    /// Fails if neither the owner nor the store can be reached, or if the stored shard can't be decoded.
    pub async fn get_job(self: &Arc<Self>, job: &JobId) -> Result<Option<JobStatus>, StoreError> {
        if let Some(view) = self.get_owned_job(job) {
            return Ok(view);
        }
        let shard = self.shards.of_job(job);
        if let Some(owner) = self.peers.find_owner(shard, self.clock.now(), OWNER_TIMEOUT)
            && let Ok(view) = self.get_job_from_peer(&owner, job).await
        {
            return Ok(view);
        }
        let Some(stored) = self.store.get(&shard_key(shard)).await? else { return Ok(None) };
        let document = JobShard::decode(&stored.bytes).map_err(|_undecodable| StoreError::Refused)?;
        Ok(find_status(&document, job))
    }
}

fn answer_batch(batch: Vec<PendingCommands>, outcomes: Vec<JobOutcome>) {
    let mut outcomes = outcomes.into_iter();
    for pending in batch {
        let own = outcomes.by_ref().take(pending.commands.len()).collect();
        // The send fails only if the caller no longer waits; the outcome is in the journal.
        drop(pending.tx.send(Ok(own)));
    }
}

fn fail_batch(batch: Vec<PendingCommands>, error: SubmitError) {
    for pending in batch {
        drop(pending.tx.send(Err(error)));
    }
}
