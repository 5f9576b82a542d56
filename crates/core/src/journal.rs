//! Durable jobs and claims.
//!
//! A [`JobShard`] is the document `jobs/{shard}`. Its rules guarantee that an accepted job is never lost, that a
//! non-idempotent job has at most one claim whose start could have been sent, and that the end of a job is final,
//! except that an operator may resolve an unknown outcome. Callers pass in wall times for records; no rule depends on
//! a clock, except the retention of tombstones.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::commit::{self, DecodeError, Document, RecentChanges};
use crate::ids::{EntryId, Incarnation, JobId};
use crate::job::JobSpec;
use crate::journal_record::{Tombstone, count_inline_bytes};
use crate::units::{Millis, WallTime};

pub use crate::journal_command::{Bound, JobCommand, JobOutcome, JobView, Rejection, RequeueReason, Resolution};
pub use crate::journal_record::{MAX_FAILED_VMS, MAX_FAILURES, MAX_LOST_WORKERS, Owner, Record};
pub use crate::journal_state::{
    Claim, End, MAX_REASON_BYTES, Resolved, State, StateName, count_json_bytes, fits_inline, truncate_reason,
};

/// Time for which the tombstone of an archived job answers repeated requests.
pub const TOMBSTONE_RETENTION: Millis = Millis::from_secs(24 * 3600);

/// Maximum number of jobs in a shard, without archived ones.
///
/// With the bytes that are reserved for each job, [`MAX_SHARD_BYTES`] admits only slightly more of the smallest jobs.
pub const MAX_JOBS: usize = 500;

/// Maximum size of the records and tombstones of a shard, in bytes.
///
/// The ring of change ids takes up to 17 KB more, so the stored value stays below the store's limit of 1 MB.
pub const MAX_SHARD_BYTES: usize = 960_000;

/// Bytes by which a record may grow after acceptance, apart from an inline answer: a claim with names of maximum
/// length (440), two reasons (600), failed VMs (210), an operator (110) and field names.
///
/// They are reserved at acceptance, because an accepted job must always be able to end.
pub const RECORD_GROWTH_BYTES: usize = 1_600;

/// Size of a tombstone without the job's id and its owner, in bytes.
pub const TOMBSTONE_BYTES: usize = 80;

/// Number of jobs by state.
pub type StateCounts = BTreeMap<StateName, usize>;

/// The durable jobs of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobShard {
    jobs: BTreeMap<JobId, Record>,
    tombstones: BTreeMap<JobId, Tombstone>,
    recent: RecentChanges,
}

impl JobShard {
    /// The state of a job as shown to callers; `None` if the job is unknown or its tombstone has expired.
    #[must_use]
    pub fn get(&self, job: &JobId) -> Option<JobView> {
        self.jobs.get(job).map(Record::view).or_else(|| self.tombstones.get(job).map(Tombstone::view))
    }

    /// The owner of a job, archived or not; `None` if the shard doesn't know the job.
    #[must_use]
    pub fn owner(&self, job: &JobId) -> Option<Owner> {
        self.jobs.get(job).map(Record::owner).or_else(|| self.tombstones.get(job).map(|t| t.owner.clone()))
    }

    /// Record of a job that isn't archived.
    #[must_use]
    pub fn record(&self, job: &JobId) -> Option<&Record> {
        self.jobs.get(job)
    }

    /// Waiting jobs, ordered by deadline, then by time of acceptance; jobs without a deadline come last.
    #[must_use]
    pub fn waiting(&self) -> Vec<&Record> {
        let mut waiting: Vec<_> = self.jobs.values().filter(|r| r.state == State::Waiting).collect();
        waiting.sort_by_key(|r| (r.spec.deadline.unwrap_or(WallTime(u64::MAX)), r.spec.accepted_at));
        waiting
    }

    /// Claims in force.
    pub fn claims(&self) -> impl Iterator<Item = (&Record, &Claim)> {
        self.jobs.values().filter_map(|r| match &r.state {
            State::Claimed { claim, .. } => Some((r, claim)),
            State::Waiting | State::Ended { .. } => None,
        })
    }

    /// Claims held by one entry process.
    pub fn claims_of(&self, entry: &EntryId, incarnation: Incarnation) -> impl Iterator<Item = (&Record, &Claim)> {
        self.claims().filter(move |(_, c)| c.entry == *entry && c.incarnation == incarnation)
    }

    /// Claims held by other entry processes, including earlier incarnations of the same entry.
    pub fn claims_of_others(
        &self,
        entry: &EntryId,
        incarnation: Incarnation,
    ) -> impl Iterator<Item = (&Record, &Claim)> {
        self.claims().filter(move |(_, c)| c.entry != *entry || c.incarnation != incarnation)
    }

    /// Ended jobs that aren't archived yet; their lines belong in the ledger.
    pub fn ended(&self) -> impl Iterator<Item = &Record> {
        self.jobs.values().filter(|r| matches!(r.state, State::Ended { .. }))
    }

    /// Number of jobs by state, without archived ones.
    #[must_use]
    pub fn counts(&self) -> StateCounts {
        let mut counts = StateCounts::new();
        for record in self.jobs.values() {
            *counts.entry(record.state.name()).or_default() += 1;
        }
        counts
    }

    /// Number of archived jobs that still answer repeated requests.
    #[must_use]
    pub fn count_tombstones(&self) -> usize {
        self.tombstones.len()
    }

    /// Size of the stored form, in bytes.
    #[must_use]
    pub fn encoded_size(&self) -> usize {
        self.encode().len()
    }

    /// Bytes reserved for records and tombstones, at most [`MAX_SHARD_BYTES`].
    #[must_use]
    pub fn reserved_bytes(&self) -> usize {
        let records: usize = self.jobs.values().map(|r| r.reserved).sum();
        let count_bytes = |(id, t): (&JobId, &Tombstone)| TOMBSTONE_BYTES + id.as_str().len() + t.owner.count_bytes();
        let tombstones: usize = self.tombstones.iter().map(count_bytes).sum();
        records + tombstones
    }

    fn accept(&mut self, spec: &JobSpec) -> Result<JobOutcome, Rejection> {
        if let Some(view) = self.get(&spec.id) {
            return Ok(JobOutcome::AlreadyThere { view: Box::new(view) });
        }
        count_inline_bytes(&spec.payload)?;
        if self.jobs.len() >= MAX_JOBS {
            return Err(Rejection::Full { bound: Bound::Jobs });
        }
        let reserved = commit::encode_json(spec).len() + RECORD_GROWTH_BYTES;
        if self.reserved_bytes() + reserved > MAX_SHARD_BYTES {
            return Err(Rejection::Full { bound: Bound::Bytes });
        }
        self.jobs.insert(spec.id.clone(), Record::new(spec.clone(), reserved));
        Ok(JobOutcome::Accepted)
    }

    fn archive(&mut self, jobs: &[JobId], at: WallTime) -> JobOutcome {
        let before = self.tombstones.len();
        self.tombstones.retain(|_, t| at.since(t.archived_at) < TOMBSTONE_RETENTION);
        let dropped = before - self.tombstones.len();
        let mut archived = Vec::new();
        for id in jobs {
            let Some(tombstone) = self.jobs.get(id).and_then(|r| r.to_tombstone(at)) else { continue };
            self.jobs.remove(id);
            self.tombstones.insert(id.clone(), tombstone);
            archived.push(id.clone());
        }
        if archived.is_empty() && dropped == 0 {
            return JobOutcome::NothingToArchive;
        }
        JobOutcome::Archived { jobs: archived, dropped }
    }

    fn try_apply(&mut self, command: &JobCommand) -> Result<JobOutcome, Rejection> {
        let free_bytes = match command {
            JobCommand::Finish { .. } => MAX_SHARD_BYTES.saturating_sub(self.reserved_bytes()),
            _ => 0,
        };
        let job = match command {
            JobCommand::Accept { spec } => return self.accept(spec),
            JobCommand::Archive { jobs, at } => return Ok(self.archive(jobs, *at)),
            other => other.job(),
        };
        let Some(record) = job.and_then(|id| self.jobs.get_mut(id)) else {
            let view = job.and_then(|id| self.get(id)).ok_or(Rejection::NoSuchJob)?;
            return Err(Rejection::Ended { view: Box::new(view) });
        };
        match command {
            JobCommand::Claim { claim, .. } => record.claim(claim),
            JobCommand::Finish { task, answer, at, .. } => record.finish(task, answer, *at, free_bytes),
            JobCommand::Fail { task, reason, at, .. } => record.fail(task, reason, *at),
            JobCommand::Release { task, entry, incarnation, at, .. } => record.release(task, entry, *incarnation, *at),
            JobCommand::Requeue { task, why, at, .. } => record.requeue(task, *why, *at),
            JobCommand::MarkUnknown { task, reason, at, .. } => record.mark_unknown(task, reason, *at),
            JobCommand::Resolve { by, found, at, .. } => record.resolve(&Resolved { by: by.clone(), at: *at }, found),
            JobCommand::Cancel { at, .. } => record.cancel(*at),
            JobCommand::Accept { .. } | JobCommand::Archive { .. } => Err(Rejection::NoSuchJob),
        }
    }
}

impl Document for JobShard {
    type Command = JobCommand;
    type Outcome = JobOutcome;

    fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        commit::decode_json("job shard", bytes)
    }

    fn encode(&self) -> Vec<u8> {
        commit::encode_json(self)
    }

    fn apply(&mut self, command: &JobCommand) -> JobOutcome {
        self.try_apply(command).unwrap_or_else(|why| JobOutcome::Rejected { why })
    }

    fn is_change(outcome: &JobOutcome) -> bool {
        !matches!(outcome, JobOutcome::AlreadyThere { .. } | JobOutcome::NothingToArchive | JobOutcome::Rejected { .. })
    }

    fn recent(&self) -> &RecentChanges {
        &self.recent
    }

    fn recent_mut(&mut self) -> &mut RecentChanges {
        &mut self.recent
    }
}
