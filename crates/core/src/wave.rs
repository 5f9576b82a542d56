//! Maintenance waves: their phase, the batches of each pool, and the correlated failures that stop them.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, OperatorId, PoolId, RackId, VmId};
use crate::units::WallTime;

/// Size in VMs of the first batch in each pool.
pub const INITIAL_BATCH_SIZE: u32 = 1;

/// Number of failures in one batch, rack or data centre that stops a wave.
pub const CORRELATED_FAILURE_THRESHOLD: usize = 2;

/// Number of a wave within its fleet group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WaveId(pub u64);

impl fmt::Display for WaveId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Number of a batch within its wave; each pool has batches of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BatchId(pub u32);

/// Whether a wave grants drains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum Phase {
    /// It grants drains.
    Running,
    /// It was paused by an operator.
    Paused {
        /// Operator who paused it.
        by: OperatorId,
    },
    /// It was stopped, and an operator has to resume it.
    Stopped {
        /// Why it was stopped.
        reason: String,
        /// Operator or planner that stopped it.
        by: OperatorId,
    },
    /// It has ended and grants no more drains.
    Finished {
        /// When it ended.
        at: WallTime,
    },
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Running => f.write_str("running"),
            Self::Paused { by } => write!(f, "paused by {by}"),
            Self::Stopped { reason, by } => write!(f, "stopped by {by}: {reason}"),
            Self::Finished { .. } => f.write_str("finished"),
        }
    }
}

/// Failure domain: a rack of a data centre. Rack names are unique only within a data centre.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FailureDomain {
    /// Data centre of the rack.
    pub data_centre: DataCentreId,
    /// Name of the rack.
    pub rack: RackId,
}

impl fmt::Display for FailureDomain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rack {} of data centre {}", self.rack, self.data_centre)
    }
}

/// The current batch of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Number of the batch within the wave.
    pub id: BatchId,
    /// Maximum number of VMs that it may drain.
    pub limit: u32,
    /// Number of VMs that were granted a drain.
    pub granted: u32,
    /// Number of VMs that returned to service after a reboot.
    pub returned: u32,
    /// Number of VMs that still hold a permit of the batch.
    pub open: u32,
}

/// Failure of a VM that held a permit of the wave or was maintained in it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveFailure {
    /// VM that failed.
    pub vm: VmId,
    /// Batch in which it was drained.
    pub batch: BatchId,
    /// Rack of the VM.
    pub domain: FailureDomain,
    /// When it was marked failed.
    pub at: WallTime,
}

/// A maintenance wave over the VMs last maintained at or before its cutoff.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Number of the wave within its fleet group.
    pub id: WaveId,
    /// Whether it grants drains.
    pub phase: Phase,
    /// Operator or planner that started it.
    pub started_by: OperatorId,
    /// When it was started.
    pub started_at: WallTime,
    /// VMs that were last maintained at or before this time are part of the wave.
    pub cutoff: WallTime,
    /// Maximum number of drains that it may grant.
    pub most: u32,
    /// Number of drains that it has granted.
    pub taken: u32,
    /// Number of changes of its phase.
    pub phase_changes: u32,
    /// Current batch of each pool.
    pub batches: BTreeMap<PoolId, Batch>,
    /// Failures since the wave was started or last resumed.
    pub failures: Vec<WaveFailure>,
    next_batch: u32,
}

impl Wave {
    /// Creates a running wave.
    #[must_use]
    pub const fn new(id: WaveId, cutoff: WallTime, most: u32, started_by: OperatorId, started_at: WallTime) -> Self {
        Self {
            id,
            phase: Phase::Running,
            started_by,
            started_at,
            cutoff,
            most,
            taken: 0,
            phase_changes: 0,
            batches: BTreeMap::new(),
            failures: Vec::new(),
            next_batch: 0,
        }
    }

    /// Number of drains that the pool's batch still allows: the rest of the open batch, or the size of the next one.
    #[must_use]
    pub fn batch_room(&self, pool: &PoolId) -> u32 {
        match self.batches.get(pool) {
            None => INITIAL_BATCH_SIZE,
            Some(batch) if batch.open > 0 => batch.limit.saturating_sub(batch.granted),
            Some(batch) => next_batch_size(batch),
        }
    }

    /// Why the wave must stop, if [`CORRELATED_FAILURE_THRESHOLD`] VMs failed in one batch, rack or data centre.
    #[must_use]
    pub fn find_stop_reason(&self) -> Option<String> {
        let latest_first = || self.failures.iter().rev();
        latest_first().find_map(|failure| {
            let batch = latest_first().filter(|f| f.batch == failure.batch).count();
            let rack = latest_first().filter(|f| f.domain == failure.domain).count();
            let centre = latest_first().filter(|f| f.domain.data_centre == failure.domain.data_centre).count();
            if batch >= CORRELATED_FAILURE_THRESHOLD {
                Some(format!("{batch} VMs of batch {} failed", failure.batch.0))
            } else if rack >= CORRELATED_FAILURE_THRESHOLD {
                Some(format!("{rack} VMs failed in {}", failure.domain))
            } else if centre >= CORRELATED_FAILURE_THRESHOLD {
                Some(format!("{centre} VMs failed in data centre {}", failure.domain.data_centre))
            } else {
                None
            }
        })
    }

    /// Number of VMs that hold a permit of the wave.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.batches.values().map(|b| b.open).sum()
    }

    /// Adds a VM to the current batch of its pool, or to a new batch if no permit of the current one is open.
    pub(crate) fn assign_vm(&mut self, pool: &PoolId) -> BatchId {
        let room = self.batch_room(pool);
        let ended = self.batches.get(pool).is_none_or(|b| b.open == 0);
        if ended {
            let id = BatchId(self.next_batch);
            self.next_batch += 1;
            self.batches.insert(pool.clone(), Batch { id, limit: room, granted: 0, returned: 0, open: 0 });
        }
        let batch = self.batches.get_mut(pool).expect("the batch was open or has just been opened");
        self.taken += 1;
        batch.granted += 1;
        batch.open += 1;
        batch.id
    }

    /// Ends a VM's permit in its batch. `maintained` says whether it returned to service after a reboot.
    pub(crate) fn release_vm(&mut self, pool: &PoolId, id: BatchId, maintained: bool) {
        // A batch that was replaced by a later one has no open permits, so its VMs can't get here.
        if let Some(batch) = self.batches.get_mut(pool).filter(|b| b.id == id) {
            batch.open = batch.open.saturating_sub(1);
            batch.returned += u32::from(maintained);
        }
    }
}

/// Size of the batch that follows one that has ended.
///
/// The next size is twice the number of VMs that returned, not twice the limit: a batch that the budget or the rack
/// kept small shows that its own size is safe, and no more. After a batch from which a VM did not return, the size
/// starts again from [`INITIAL_BATCH_SIZE`].
fn next_batch_size(batch: &Batch) -> u32 {
    if batch.granted > 0 && batch.returned == batch.granted {
        batch.granted.saturating_mul(2)
    } else {
        INITIAL_BATCH_SIZE
    }
}
