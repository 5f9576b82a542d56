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

/// Writes per second that all owners together make to job shards; part of the store's budget.
const JOURNAL_WRITES_PER_SECOND: u64 = 140;

/// Time without a heartbeat after which an owner is asked no more and its shards may be taken.
pub(crate) const OWNER_SILENCE: Millis = Millis(3_000);

/// Why journal commands have no outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SubmitError {
    /// This entry doesn't own the shard.
    #[snafu(display("this entry doesn't own the shard"))]
    NotOwner,
    /// Nothing was written.
    #[snafu(display("the journal was not written: {reason}"))]
    NotWritten {
        /// Why.
        reason: NotWritten,
    },
    /// The commands may have taken effect.
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

type Answer = Result<Vec<JobOutcome>, SubmitError>;

#[derive(Debug)]
pub(crate) struct Pending {
    commands: Vec<JobCommand>,
    tx: oneshot::Sender<Answer>,
}

#[derive(Debug, Default)]
pub(crate) struct Owned {
    pub version: StoreVersion,
    pub document: JobShard,
    /// Version of the owner key, which an orderly release names.
    pub owner_version: StoreVersion,
    pub pending: Vec<Pending>,
    pub writing: bool,
    pub refreshed_at: MonoTime,
}

#[derive(Debug, Default)]
pub(crate) struct Ownership {
    pub lease: Option<LeaseId>,
    pub renewed_at: MonoTime,
    pub owned: BTreeMap<ShardId, Owned>,
    /// Since when a shard has been without an owner, as far as this entry knows.
    pub orphaned: BTreeMap<ShardId, MonoTime>,
    /// Values of writes of owner keys whose answer was lost. Such a write may have taken effect, and renewals of the
    /// lease would then keep a key that no entry acts on.
    pub taking: BTreeMap<ShardId, String>,
    /// Versions of owner keys that are to be deleted, until the store has answered.
    pub releasing: BTreeMap<ShardId, StoreVersion>,
}

/// The shards that this entry owns.
#[derive(Debug)]
pub struct Shards {
    pub(crate) count: u16,
    state: Mutex<Ownership>,
}

impl Shards {
    /// Creates the state of an entry that owns nothing.
    #[must_use]
    pub fn new(count: u16) -> Self {
        Self { count, state: Mutex::default() }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Ownership> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The shards that this entry owns.
    #[must_use]
    pub fn owned(&self) -> Vec<ShardId> {
        self.lock().owned.keys().copied().collect()
    }

    /// Shard of a job.
    #[must_use]
    pub fn of_job(&self, job: &JobId) -> ShardId {
        job::find_shard(job, self.count)
    }

    /// Reads an owned shard.
    pub fn read<T>(&self, shard: ShardId, f: impl FnOnce(&JobShard) -> T) -> Option<T> {
        self.lock().owned.get(&shard).map(|owned| f(&owned.document))
    }

    fn interval(&self) -> Duration {
        Duration::from_millis(u64::from(self.count) * 1_000 / JOURNAL_WRITES_PER_SECOND)
    }

    pub(crate) fn take_version(&self, shard: ShardId, version: StoreVersion, document: JobShard, now: MonoTime) {
        if let Some(owned) = self.lock().owned.get_mut(&shard) {
            owned.refreshed_at = now;
            if version > owned.version {
                owned.version = version;
                owned.document = document;
            }
        }
    }

    /// Queues commands; tells whether a writer has to be started.
    fn queue(&self, shard: ShardId, pending: Pending) -> Result<bool, Pending> {
        let mut state = self.lock();
        let Some(owned) = state.owned.get_mut(&shard) else { return Err(pending) };
        owned.pending.push(pending);
        Ok(!std::mem::replace(&mut owned.writing, true))
    }

    /// Takes the commands that wait for a write. The writer ends if there are none.
    fn take_pending(&self, shard: ShardId) -> Option<(Vec<Pending>, StoreVersion, JobShard)> {
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
        // The keys end with the lease.
        state.lease = None;
        state.taking.clear();
        state.releasing.clear();
        let dropped = std::mem::take(&mut state.owned);
        drop(state);
        for pending in dropped.into_values().flat_map(|owned| owned.pending) {
            // A receiver that is gone has given up.
            drop(pending.tx.send(NotOwnerSnafu.fail()));
        }
    }
}

/// A job in the journal and whom it belongs to.
///
/// The answer of a peer without `is_owner_known` can't be decoded, so the caller reads the store instead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Team; absent on queues open to all, and if the owner isn't known.
    pub team: Option<TeamId>,
    /// Whether the owner is known. Otherwise only operators may see the job.
    pub is_owner_known: bool,
    /// What its caller is told.
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
    /// Fails if this entry doesn't own the shard or the store can't be reached.
    pub async fn submit_as_owner(self: &Arc<Self>, shard: ShardId, commands: Vec<JobCommand>) -> Answer {
        let (tx, rx) = oneshot::channel();
        match self.shards.queue(shard, Pending { commands, tx }) {
            Ok(true) => drop(task::spawn(Arc::clone(self).write_shard(shard))),
            Ok(false) => {}
            Err(_) => return NotOwnerSnafu.fail(),
        }
        rx.await.unwrap_or(Err(SubmitError::Unknown))
    }

    /// Writes batches to a shard until nothing waits.
    async fn write_shard(self: Arc<Self>, shard: ShardId) {
        while let Some((batch, version, document)) = self.shards.take_pending(shard) {
            let started = self.clock.now();
            let commands = batch.iter().flat_map(|p| p.commands.iter().cloned()).collect();
            let commit = Commit::new(self.new_change_id(), commands).with_base(version, document);
            match store::run_commit::<JobShard>(&*self.store, &shard_key(shard), commit).await {
                Ok(Committed { outcomes, version, document }) => {
                    self.shards.take_version(shard, version, document, self.clock.now());
                    answer_batch(batch, outcomes);
                }
                Err(e) => fail_batch(batch, e.into()),
            }
            self.offer_waiting(shard);
            let passed = self.clock.now().since(started).to_duration();
            task::sleep(self.shards.interval().saturating_sub(passed)).await;
        }
    }

    /// Commits commands to the shard of a job: through its owner, or directly if the owner can't be reached.
    ///
    /// Commands other than `Claim` may be submitted twice, because their second application changes nothing.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached.
    pub async fn submit(self: &Arc<Self>, shard: ShardId, commands: Vec<JobCommand>) -> Answer {
        match self.submit_as_owner(shard, commands.clone()).await {
            Err(SubmitError::NotOwner) => {}
            answer => return answer,
        }
        if let Some(owner) = self.peers.find_owner(shard, self.clock.now(), OWNER_SILENCE) {
            match self.submit_to_peer(&owner, shard, &commands).await {
                Ok(outcomes) => return Ok(outcomes),
                Err(PeerError::NotTaken | PeerError::Unknown) => {}
            }
        }
        let commit = Commit::<JobShard>::new(self.new_change_id(), commands);
        let committed = store::run_commit(&*self.store, &shard_key(shard), commit).await?;
        self.announce_write(shard);
        Ok(committed.outcomes)
    }

    /// Reads a shard again if this entry owns it.
    pub async fn refresh_owned(self: &Arc<Self>, shard: ShardId) {
        if self.shards.read(shard, |_| ()).is_some() {
            self.refresh_shard(shard).await;
        }
    }

    /// A job of a shard that this entry owns; `None` if it doesn't own the shard.
    #[must_use]
    pub fn get_owned_job(&self, job: &JobId) -> Option<Option<JobStatus>> {
        self.shards.read(self.shards.of_job(job), |document| find_status(document, job))
    }

    /// A job, from its shard's owner or from the store.
    ///
    /// # Errors
    ///
    /// Fails if neither the owner nor the store can be reached.
    pub async fn get_job(self: &Arc<Self>, job: &JobId) -> Result<Option<JobStatus>, StoreError> {
        if let Some(view) = self.get_owned_job(job) {
            return Ok(view);
        }
        let shard = self.shards.of_job(job);
        if let Some(owner) = self.peers.find_owner(shard, self.clock.now(), OWNER_SILENCE)
            && let Ok(view) = self.get_job_from_peer(&owner, job).await
        {
            return Ok(view);
        }
        let Some(stored) = self.store.get(&shard_key(shard)).await? else { return Ok(None) };
        let document = JobShard::decode(&stored.bytes).map_err(|_undecodable| StoreError::Refused)?;
        Ok(find_status(&document, job))
    }
}

fn answer_batch(batch: Vec<Pending>, outcomes: Vec<JobOutcome>) {
    let mut outcomes = outcomes.into_iter();
    for pending in batch {
        let own = outcomes.by_ref().take(pending.commands.len()).collect();
        // A receiver that is gone has given up; the outcome is in the journal.
        drop(pending.tx.send(Ok(own)));
    }
}

fn fail_batch(batch: Vec<Pending>, error: SubmitError) {
    for pending in batch {
        drop(pending.tx.send(Err(error)));
    }
}
