//! Jobs as they are submitted, and what callers are told about them.

use std::fmt;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use crate::finding::Findings;
use crate::ids::{ClassId, JobId, PoolId, QueueId, ShardId, TeamId};
use crate::units::{Millis, WallTime};

/// Largest payload or answer that is kept inside a job record, in bytes.
pub const MAX_INLINE_BYTES: usize = 4 * 1024;

/// Largest accepted payload and answer of a durable job, in bytes.
pub const MAX_STORED_BYTES: usize = 900_000;

/// Resources that a job declares; a first guess only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Size {
    /// Processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u32,
}

/// A payload or an answer: inside the record, or under a store key of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kept", rename_all = "snake_case")]
pub enum Content {
    /// Inside the record.
    Inline {
        /// The text.
        text: String,
    },
    /// Under its own key in the store.
    Stored {
        /// Length in bytes.
        bytes: u64,
    },
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Job.
    pub id: JobId,
    /// Team of the key; absent on queues open to all.
    pub team: Option<TeamId>,
    /// Queue.
    pub queue: QueueId,
    /// Class of the queue at the time of acceptance.
    pub class: ClassId,
    /// Pool of the queue at the time of acceptance.
    pub pool: PoolId,
    /// Whether another attempt may follow one that may have started.
    pub idempotent: bool,
    /// Declared resources.
    pub size: Size,
    /// Declared run time.
    pub expected_run: Option<Millis>,
    /// Time by which the job should start or end, from its class or its caller.
    pub deadline: Option<WallTime>,
    /// When it was accepted.
    pub accepted_at: WallTime,
    /// Input of the job.
    pub payload: Content,
}

/// Whether a job ran, as far as the system knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No byte of a start can have reached a worker, or the worker refused the start.
    No,
    /// A worker reported that it ran.
    Yes,
    /// It may have run.
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

/// Why a job was not accepted. Nothing of it ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Refusal {
    /// The request breaks rules; sent again unchanged, it will be refused again.
    Invalid {
        /// Every broken rule.
        errors: Findings,
    },
    /// The key is unknown or withdrawn, or belongs to another team.
    NotAllowed {
        /// Every broken rule.
        errors: Findings,
    },
    /// The job would start too late for its target.
    Overloaded {
        /// Time after which a new attempt makes sense.
        retry_after: Millis,
    },
    /// The team has as many jobs running and waiting as its limit allows.
    TeamLimit {
        /// Time after which a new attempt makes sense.
        retry_after: Millis,
    },
    /// The entry can't confirm that keys and limits are current.
    Stale,
    /// The store can't be reached, so the job can't be made durable.
    StoreUnavailable,
    /// The entry is stopping.
    Stopping,
}

/// Id of the job that a team submits under a request id. The same request always gets the same id.
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

/// Shard that holds a job.
///
/// The hash doesn't depend on the process or the platform, because all entries must agree on it.
#[must_use]
pub fn find_shard(job: &JobId, shards: u16) -> ShardId {
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(job.as_str().as_bytes());
    // The quotient by a u16 fits a u16.
    ShardId((hasher.finish() % u64::from(shards.max(1))) as u16)
}
