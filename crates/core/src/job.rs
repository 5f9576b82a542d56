//! Accepted jobs, and the reasons for refusing one.

use std::fmt;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use crate::finding::Findings;
use crate::ids::{ClassId, JobId, PoolId, QueueId, ShardId, TeamId};
use crate::units::{Millis, WallTime};

/// Maximum size of a payload or answer that is stored inline in a job record, in bytes.
///
/// Admission compares the length of the raw payload with it, the journal the length of the escaped JSON text.
pub const MAX_INLINE_BYTES: usize = 4 * 1024;

/// Maximum accepted size of any payload, and of the answer of a durable job, in bytes.
pub const MAX_STORED_BYTES: usize = 900_000;

/// Resources that a job declares; only an initial estimate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Size {
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// A payload or an answer, stored inline in the job record or under a store key of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kept", rename_all = "snake_case")]
pub enum Content {
    /// Stored in the job record.
    Inline {
        /// The payload or answer.
        text: String,
    },
    /// Stored under its own key.
    Stored {
        /// Length in bytes.
        bytes: u64,
    },
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id of the job.
    pub id: JobId,
    /// Team of the key that submitted the job; absent on queues open to all.
    pub team: Option<TeamId>,
    /// Queue that accepted the job.
    pub queue: QueueId,
    /// Class of the queue when the job was accepted.
    pub class: ClassId,
    /// Pool of the queue when the job was accepted.
    pub pool: PoolId,
    /// Whether the job may be started again after an attempt that may have run.
    pub idempotent: bool,
    /// Declared resources.
    pub size: Size,
    /// Run time declared by the submitter; absent if none was given.
    pub expected_run: Option<Millis>,
    /// Time by which the job should start or end, from its class or its caller.
    pub deadline: Option<WallTime>,
    /// Time of acceptance.
    pub accepted_at: WallTime,
    /// Input for the job.
    pub payload: Content,
}

/// Whether a job ran, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No worker can have received any byte of a start request, or the worker refused it.
    No,
    /// The job ran, according to a worker or an operator.
    Yes,
    /// The job may have run.
    Unknown,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        })
    }
}

/// Why a job was refused. No part of it ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Refusal {
    /// The request is invalid; an unchanged retry is refused again.
    Invalid {
        /// All validation errors.
        errors: Findings,
    },
    /// The key is unknown or withdrawn, or belongs to another team.
    NotAllowed {
        /// All validation errors.
        errors: Findings,
    },
    /// The job would start too late for its class target or the caller's deadline, the pool already has the maximum
    /// number of waiting jobs of this urgency at this entry, the journal shard is full, or the job was abandoned
    /// after its last attempt without having run.
    Overloaded {
        /// Delay after which the caller should retry.
        retry_after: Millis,
    },
    /// The team already has the maximum number of waiting jobs of this urgency in the pool at this entry.
    TeamLimit {
        /// Delay after which the caller should retry.
        retry_after: Millis,
    },
    /// The entry can't confirm that its keys and limits are current.
    Stale,
    /// The store can't be reached, so the job can't be made durable.
    StoreUnavailable,
    /// The entry is shutting down.
    Stopping,
}

/// Derives a job id from the team, the queue and the request id, so that a repeated request gets the same job.
#[must_use]
pub fn derive_job_id(team: Option<&TeamId>, queue: &QueueId, request_id: &str) -> JobId {
    let mut hash = Sha256::new();
    hash.update(team.map_or("", TeamId::as_str));
    hash.update([0]);
    hash.update(queue.as_str());
    hash.update([0]);
    hash.update(request_id);
    let digest = hash.finalize();
    let hex: SmolStr = digest[..16].iter().map(|b| format!("{b:02x}")).collect();
    JobId::new(hex).expect("hexadecimal digits form a name")
}

/// Returns the shard that holds a job.
///
/// The hash doesn't depend on the process or the platform, because all entries must map a job to the same shard.
#[must_use]
pub fn find_shard(job: &JobId, shards: u16) -> ShardId {
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(job.as_str().as_bytes());
    // The remainder of a division by a u16 fits in a u16.
    ShardId((hasher.finish() % u64::from(shards.max(1))) as u16)
}
