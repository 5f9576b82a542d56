//! Keys and documents of entries in the store.

use std::net::SocketAddr;

use carawaybarrow_core::sched::candidacy::Strength;
use carawaybarrow_core::sched::graph::{JobKey, PoolName, Resources, VmKey, WorkerKey};
use carawaybarrow_core::sched::order::WorkerReport;
use carawaybarrow_core::units::Millis;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Key of the [`Owner`] document, which the store deletes when the scheduler's lease ends.
pub const SCHEDULER_KEY: &str = "scheduler/owner";

/// Key of the [`Owner`] document of the last term that has begun. It outlives the term, as its scheduler may go on
/// without the store, and must be told by its successor that its term is over.
pub const LAST_SCHEDULER_KEY: &str = "scheduler/last";

/// Key of the [`Succession`](carawaybarrow_core::sched::succession::Succession) of the last term that has begun.
pub const SUCCESSION_KEY: &str = "scheduler/succession";

/// Key of the number of terms that have begun.
pub const TERM_COUNT_KEY: &str = "scheduler/terms";

/// Key of the number of the last term that was released: its scheduler stopped and gives no more VM orders.
pub const RELEASED_TERM_KEY: &str = "scheduler/released";

/// Key of the number of the last term whose lease another entry ended, as its scheduler had lost the store.
pub const RELIEVED_TERM_KEY: &str = "scheduler/relieved";

/// Key of the [`StoredMoves`](carawaybarrow_core::sched::vm_turns::StoredMoves) of the last term that has begun.
pub const VM_MOVES_KEY: &str = "scheduler/vm-moves";

/// Key of the recovery set: the workers that may hold runs of earlier terms.
pub const RECOVERY_SET_KEY: &str = "scheduler/roster";

/// Key of the pools of each queue in which earlier terms may have started its tasks.
pub const QUEUE_POOLS_KEY: &str = "scheduler/queue-pools";

/// Key with the name of the entry that fences the last term, which the store deletes when that entry's lease ends.
pub const FENCER_KEY: &str = "scheduler/fencer";

/// Prefix of the keys of the [`Member`] records of entries.
pub const ENTRY_PREFIX: &str = "entries/";

/// Prefix of the keys of job records, and of the marks that cancel jobs.
pub const JOB_PREFIX: &str = "jobs/";

/// Prefix of the keys of the progress of jobs that have not ended.
pub const PROGRESS_PREFIX: &str = "progress/";

/// Prefix of the keys of [`Tombstones`](carawaybarrow_core::sched::tombstones::Tombstones). It is below [`JOB_PREFIX`], so
/// that one watch returns jobs and tombstones in the order of their writes. No job has an id like this.
const TOMBSTONES_PREFIX: &str = "jobs/tombstones/";

/// Suffix of the key of a mark that cancels a job.
const CANCEL_SUFFIX: &str = "/cancel";

/// Key of the [`Member`] record of an entry.
#[must_use]
pub fn entry_key(entry: &str) -> String {
    format!("{ENTRY_PREFIX}{entry}")
}

/// Key of the record of a job.
#[must_use]
pub fn job_key(job: &JobKey) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// Key of the mark that cancels a job.
#[must_use]
pub fn cancel_key(job: &JobKey) -> String {
    format!("{JOB_PREFIX}{job}{CANCEL_SUFFIX}")
}

/// Key of the tombstones that an incarnation of an entry has written, by their number.
#[must_use]
pub fn tombstones_key(entry: &str, incarnation: u64, number: u64) -> String {
    format!("{TOMBSTONES_PREFIX}{entry}/{incarnation}/{number}")
}

/// Key of the progress of a job.
#[must_use]
pub fn progress_key(job: &JobKey) -> String {
    format!("{PROGRESS_PREFIX}{job}")
}

/// Key of the progress of a maintenance wave.
#[must_use]
pub fn wave_progress_key(number: u64) -> String {
    format!("scheduler/wave/{number}")
}

/// Kind of a key below [`JOB_PREFIX`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobItem {
    /// Record of the job.
    Record(JobKey),
    /// Mark that cancels the job.
    Cancel(JobKey),
    /// Tombstones of jobs that were not known.
    Tombstones,
}

/// Parses a key below [`JOB_PREFIX`]; `None` for any other key.
#[must_use]
pub fn parse_job_key(key: &str) -> Option<JobItem> {
    if key.starts_with(TOMBSTONES_PREFIX) {
        return Some(JobItem::Tombstones);
    }
    let rest = key.strip_prefix(JOB_PREFIX)?;
    Some(match rest.strip_suffix(CANCEL_SUFFIX) {
        Some(job) => JobItem::Cancel(JobKey::new(job)),
        None => JobItem::Record(JobKey::new(rest)),
    })
}

/// Record by which other entries know an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address of this entry for other entries.
    pub peers: SocketAddr,
    /// CPU and bandwidth of its VM.
    pub strength: Strength,
    /// Data centre of the entry; `None` if its version does not know successions.
    #[serde(default)]
    pub data_centre: Option<SmolStr>,
}

/// The entry that schedules, and its term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the entry.
    pub entry: SmolStr,
    /// Address of this entry for other entries.
    pub peers: SocketAddr,
    /// CPU and bandwidth of its VM.
    pub strength: Strength,
    /// Start of the process in Unix ms, which distinguishes the incarnations of an entry.
    pub incarnation: u64,
    /// Number of its term, from 0.
    pub term: u32,
}

/// The scheduler of the last term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastScheduler {
    /// The entry and its term.
    #[serde(flatten)]
    pub owner: Owner,
    /// Whether all schedulers before it are known to have stopped. They have if only its own process may still act.
    #[serde(default)]
    pub have_earlier_stopped: bool,
    /// Whether it and all schedulers before it start no job that names a later term. Earlier versions did not.
    #[serde(default)]
    pub heeds_job_terms: bool,
    /// Length of its lease, if nothing confirms its term but renewals of that lease and entries that its stored succession
    /// names. `None` for earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<Millis>,
    /// Whether it starts tasks only on workers that the stored recovery set names in their present incarnation, so that it can
    /// be fenced. Earlier versions did not.
    #[serde(default)]
    pub names_incarnations: bool,
}

/// A worker of the stored recovery set.
#[derive(Debug, Serialize, Deserialize)]
struct RecoverySetRow {
    worker: WorkerKey,
    address: SocketAddr,
    pool: PoolName,
    vm: Option<VmKey>,
    capacity: Resources,
    labels: Vec<SmolStr>,
    born: Option<u64>,
}

/// Encodes the recovery set.
#[must_use]
pub fn encode_recovery_set(workers: &[WorkerReport]) -> Vec<u8> {
    let rows = workers.iter().map(|w| RecoverySetRow {
        worker: w.key.clone(),
        address: w.address,
        pool: w.pool.clone(),
        vm: w.vm.clone(),
        capacity: w.capacity,
        labels: w.labels.clone(),
        born: w.incarnation,
    });
    encode(&rows.collect::<Vec<_>>())
}

/// Decodes the recovery set.
///
/// # Errors
///
/// Fails if the document is not a recovery set.
pub fn decode_recovery_set(bytes: &[u8]) -> Result<Vec<WorkerReport>, serde_json::Error> {
    let rows: Vec<RecoverySetRow> = serde_json::from_slice(bytes)?;
    let to_report = |row: RecoverySetRow| WorkerReport {
        key: row.worker,
        address: row.address,
        pool: row.pool,
        data_centre: SmolStr::default(),
        vm: row.vm,
        capacity: row.capacity,
        labels: row.labels,
        draining: false,
        incarnation: row.born,
    };
    Ok(rows.into_iter().map(to_report).collect())
}

/// Encodes a document as JSON.
#[must_use]
pub fn encode<T: Serialize>(document: &T) -> Vec<u8> {
    serde_json::to_vec(document).expect("documents have only text keys")
}

/// Decodes a JSON document.
///
/// # Errors
///
/// Fails if the document is malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, serde_json::Error> {
    serde_json::from_slice(bytes)
}
