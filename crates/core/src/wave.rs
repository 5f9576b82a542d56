//! Maintenance waves: their phase, the batches of each pool and the failures that stop them.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, OperatorId, PoolId, RackId, VmId};
use crate::units::WallTime;

/// Batch size with which a wave starts in each pool, in VMs.
pub const FIRST_BATCH: u32 = 1;

/// Failures of one batch, rack or data centre that stop a wave.
pub const CORRELATED_FAILURES: usize = 2;

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
    /// An operator paused it.
    Paused {
        /// Who paused it.
        by: OperatorId,
    },
    /// It was stopped and needs an operator to go on.
    Stopped {
        /// Why.
        reason: String,
        /// Who stopped it.
        by: OperatorId,
    },
    /// No VM is left to maintain.
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

/// Rack within a data centre; rack names are unique only there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Domain {
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Rack.
    pub rack: RackId,
}

impl fmt::Display for Domain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rack {} of data centre {}", self.rack, self.data_centre)
    }
}

/// The current batch of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Number.
    pub id: BatchId,
    /// VMs that it may take.
    pub limit: u32,
    /// VMs that it took.
    pub granted: u32,
    /// VMs that came back maintained.
    pub returned: u32,
    /// VMs that still hold its permit.
    pub open: u32,
}

/// A VM that failed under a wave's permit, or after it was maintained in the wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveFailure {
    /// VM.
    pub vm: VmId,
    /// Batch in which it was drained.
    pub batch: BatchId,
    /// Its rack.
    pub domain: Domain,
    /// When it was marked failed.
    pub at: WallTime,
}

/// A maintenance wave over the VMs last maintained at or before its cutoff.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Number.
    pub id: WaveId,
    /// Whether it grants drains.
    pub phase: Phase,
    /// Who started it.
    pub started_by: OperatorId,
    /// When it was started.
    pub started_at: WallTime,
    /// Latest time of last maintenance that makes a VM part of the wave.
    pub cutoff: WallTime,
    /// Drains that it may grant.
    pub most: u32,
    /// Drains that it has granted.
    pub taken: u32,
    /// Changes of its phase.
    pub phase_changes: u32,
    /// Current batch of each pool.
    pub batches: BTreeMap<PoolId, Batch>,
    /// Failures since the start or since the last resumption.
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

    /// VMs that the pool's next drains may still take: the rest of the open batch, or the size of the next one.
    #[must_use]
    pub fn batch_room(&self, pool: &PoolId) -> u32 {
        match self.batches.get(pool) {
            None => FIRST_BATCH,
            Some(batch) if batch.open > 0 => batch.limit.saturating_sub(batch.granted),
            Some(batch) => next_limit(batch),
        }
    }

    /// Why the wave must stop: failures in one batch, rack or data centre.
    #[must_use]
    pub fn find_correlation(&self) -> Option<String> {
        let latest_first = || self.failures.iter().rev();
        latest_first().find_map(|failure| {
            let batch = latest_first().filter(|f| f.batch == failure.batch).count();
            let rack = latest_first().filter(|f| f.domain == failure.domain).count();
            let centre = latest_first().filter(|f| f.domain.data_centre == failure.domain.data_centre).count();
            if batch >= CORRELATED_FAILURES {
                Some(format!("{batch} VMs of batch {} failed", failure.batch.0))
            } else if rack >= CORRELATED_FAILURES {
                Some(format!("{rack} VMs failed in {}", failure.domain))
            } else if centre >= CORRELATED_FAILURES {
                Some(format!("{centre} VMs failed in data centre {}", failure.domain.data_centre))
            } else {
                None
            }
        })
    }

    /// VMs that hold a permit of the wave.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.batches.values().map(|b| b.open).sum()
    }

    /// Takes a VM of the pool into the pool's batch; opens the next batch if the last one has ended.
    pub(crate) fn take_vm(&mut self, pool: &PoolId) -> BatchId {
        let room = self.batch_room(pool);
        let ended = self.batches.get(pool).is_none_or(|b| b.open == 0);
        if ended {
            let id = BatchId(self.next_batch);
            self.next_batch += 1;
            self.batches.insert(pool.clone(), Batch { id, limit: room, granted: 0, returned: 0, open: 0 });
        }
        let batch = self.batches.get_mut(pool).expect("the batch was there or has just been opened");
        self.taken += 1;
        batch.granted += 1;
        batch.open += 1;
        batch.id
    }

    /// Ends a VM's permit in its batch. `maintained` says whether it came back after a reboot.
    pub(crate) fn close_vm(&mut self, pool: &PoolId, id: BatchId, maintained: bool) {
        // A batch that was replaced by a later one has no open permits, so its VMs can't get here.
        if let Some(batch) = self.batches.get_mut(pool).filter(|b| b.id == id) {
            batch.open = batch.open.saturating_sub(1);
            batch.returned += u32::from(maintained);
        }
    }
}

/// Size of the batch after one that has ended.
///
/// The size doubles the number that came back, not the limit: a batch that the budget or the rack kept small
/// proved no more than its own size. A batch with a VM that did not come back starts again from the first size.
fn next_limit(batch: &Batch) -> u32 {
    if batch.granted > 0 && batch.returned == batch.granted { batch.granted.saturating_mul(2) } else { FIRST_BATCH }
}
