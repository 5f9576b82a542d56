//! Keys and documents that entries keep in the store.

use std::net::SocketAddr;

use carawaybarrow_core::sched::candidacy::Strength;
use carawaybarrow_core::sched::graph::{JobKey, PoolName, Resources, VmKey, WorkerKey};
use carawaybarrow_core::sched::order::WorkerReport;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Key of the scheduler's address, which hangs on its lease.
pub const SCHEDULER_KEY: &str = "scheduler/owner";

/// Key of the number of terms so far.
pub const TERMS_KEY: &str = "scheduler/terms";

/// Key of the number of the last term that ended by itself.
pub const RELEASED_KEY: &str = "scheduler/released";

/// Key of the workers that may hold runs.
pub const ROSTER_KEY: &str = "scheduler/roster";

/// Prefix of the records of entries.
pub const ENTRY_PREFIX: &str = "entries/";

/// Prefix of accepted jobs and of marks that cancel them.
pub const JOB_PREFIX: &str = "jobs/";

/// Prefix of the ends of jobs.
pub const PROGRESS_PREFIX: &str = "progress/";

/// End of the key of a mark that cancels a job.
const CANCEL_SUFFIX: &str = "/cancel";

/// Key of the record of an entry.
#[must_use]
pub fn entry_key(entry: &str) -> String {
    format!("{ENTRY_PREFIX}{entry}")
}

/// Key of a job.
#[must_use]
pub fn job_key(job: &JobKey) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// Key of the mark that cancels a job.
#[must_use]
pub fn cancel_key(job: &JobKey) -> String {
    format!("{JOB_PREFIX}{job}{CANCEL_SUFFIX}")
}

/// Key of the ends of a job.
#[must_use]
pub fn progress_key(job: &JobKey) -> String {
    format!("{PROGRESS_PREFIX}{job}")
}

/// Key of the progress of a wave.
#[must_use]
pub fn wave_key(number: u64) -> String {
    format!("scheduler/wave/{number}")
}

/// What a key below [`JOB_PREFIX`] holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobItem {
    /// Record of the job.
    Record(JobKey),
    /// Mark that it is cancelled.
    Cancel(JobKey),
}

/// Reads a key below [`JOB_PREFIX`].
#[must_use]
pub fn read_job_key(key: &str) -> Option<JobItem> {
    let rest = key.strip_prefix(JOB_PREFIX)?;
    Some(match rest.strip_suffix(CANCEL_SUFFIX) {
        Some(job) => JobItem::Cancel(JobKey::new(job)),
        None => JobItem::Record(JobKey::new(rest)),
    })
}

/// An entry as the others see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its address for other entries.
    pub peers: SocketAddr,
    /// What it has for the work of scheduling.
    pub strength: Strength,
}

/// Who schedules.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Entry.
    pub entry: SmolStr,
    /// Its address for other entries.
    pub peers: SocketAddr,
    /// What it has for the work of scheduling.
    pub strength: Strength,
    /// Distinguishes the lives of an entry.
    pub incarnation: u64,
    /// Number of its term, from 0.
    pub term: u32,
}

/// A worker on the roster.
#[derive(Debug, Serialize, Deserialize)]
struct RosterRow {
    worker: WorkerKey,
    address: SocketAddr,
    pool: PoolName,
    vm: Option<VmKey>,
    capacity: Resources,
    labels: Vec<SmolStr>,
    born: Option<u64>,
}

/// Writes the roster.
#[must_use]
pub fn write_roster(workers: &[WorkerReport]) -> Vec<u8> {
    let rows = workers.iter().map(|w| RosterRow {
        worker: w.key.clone(),
        address: w.address,
        pool: w.pool.clone(),
        vm: w.vm.clone(),
        capacity: w.capacity,
        labels: w.labels.clone(),
        born: w.incarnation,
    });
    write(&rows.collect::<Vec<_>>())
}

/// Reads the roster.
///
/// # Errors
///
/// Fails if the document is not a roster.
pub fn read_roster(bytes: &[u8]) -> Result<Vec<WorkerReport>, serde_json::Error> {
    let rows: Vec<RosterRow> = serde_json::from_slice(bytes)?;
    let read = |row: RosterRow| WorkerReport {
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
    Ok(rows.into_iter().map(read).collect())
}

/// Writes a document.
#[must_use]
pub fn write<T: Serialize>(document: &T) -> Vec<u8> {
    serde_json::to_vec(document).expect("documents have only text keys")
}

/// Reads a document.
///
/// # Errors
///
/// Fails if the document is malformed.
pub fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, serde_json::Error> {
    serde_json::from_slice(bytes)
}
