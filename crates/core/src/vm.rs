//! VM records: pool, state, place and drain permit of each VM.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{DataCentreId, Incarnation, OperatorId, PoolId, RackId};
use crate::units::{Percent, WallTime};
use crate::wave::{BatchId, FailureDomain, WaveId};

/// Version of a VM record, unique within its document and across removals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VmVersion(pub u64);

/// State of a VM. Only a serving VM counts as available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It accepts jobs.
    Serving,
    /// It finishes its running jobs and accepts no new ones.
    Draining,
    /// It has no running jobs left and accepts none.
    Drained,
    /// It was told to reboot.
    Rebooting,
    /// It is unreachable or doesn't work.
    Failed,
}

/// Why a VM was allowed to drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "cause", rename_all = "snake_case")]
pub enum DrainCause {
    /// A maintenance wave drained it.
    Wave {
        /// Wave that granted the drain.
        wave: WaveId,
    },
    /// It moves to another pool.
    Move {
        /// Destination pool.
        to: PoolId,
    },
    /// An operator requested the drain.
    Operator {
        /// Operator who requested it.
        by: OperatorId,
    },
}

/// Permission to drain, which ends when the VM serves again or fails.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainPermit {
    /// Why the permit was granted.
    #[serde(flatten)]
    pub cause: DrainCause,
    /// When the permit was granted.
    pub at: WallTime,
    /// Incarnation of the worker that was told to reboot; absent before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rebooted_from: Option<Incarnation>,
}

/// Identifies a batch of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveBatch {
    /// Wave of the batch.
    pub wave: WaveId,
    /// Number of the batch within the wave.
    pub batch: BatchId,
}

/// Where a VM is, and which incarnation of its worker responds there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmPlace {
    /// Network address of the worker, unique among the VMs.
    pub address: SmolStr,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Rack within the data centre.
    pub rack: RackId,
    /// Incarnation of the VM's worker.
    pub incarnation: Incarnation,
}

/// Stored record of one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Version of this record.
    pub version: VmVersion,
    /// Pool to which the VM belongs.
    pub pool: PoolId,
    /// State of the VM.
    pub state: VmState,
    /// Permit under which it drains, is drained or reboots; absent in other states.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub permit: Option<DrainPermit>,
    /// Where the VM is.
    #[serde(flatten)]
    pub place: VmPlace,
    /// Time of its last maintenance, or of its registration if it was never maintained.
    pub maintained_at: WallTime,
    /// Spare pool that lent the VM; absent if it isn't lent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lent_from: Option<PoolId>,
    /// Last wave and batch in which it was drained.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last_batch: Option<WaveBatch>,
}

impl Vm {
    /// Failure domain of the VM: its rack.
    #[must_use]
    pub fn domain(&self) -> FailureDomain {
        FailureDomain { data_centre: self.place.data_centre.clone(), rack: self.place.rack.clone() }
    }

    /// Whether the VM was moved to its pool and hasn't served there yet.
    #[must_use]
    pub fn is_arriving(&self) -> bool {
        matches!(&self.permit, Some(DrainPermit { cause: DrainCause::Move { to }, .. }) if *to == self.pool)
    }

    /// Whether a new incarnation of the worker responds since the VM was told to reboot.
    #[must_use]
    pub fn has_rebooted(&self) -> bool {
        let previous = self.permit.as_ref().and_then(|p| p.rebooted_from);
        self.state == VmState::Rebooting && previous.is_some_and(|previous| previous != self.place.incarnation)
    }

    /// Whether the worker must be told to drain; otherwise it must be told to accept jobs.
    #[must_use]
    pub fn must_drain(&self) -> bool {
        match self.state {
            VmState::Draining => true,
            VmState::Drained => !self.is_arriving(),
            VmState::Rebooting => !self.has_rebooted(),
            VmState::Serving | VmState::Failed => false,
        }
    }

    /// The wave that granted the VM's permit; `None` without such a permit.
    #[must_use]
    pub const fn wave(&self) -> Option<WaveId> {
        match &self.permit {
            Some(DrainPermit { cause: DrainCause::Wave { wave }, .. }) => Some(*wave),
            _ => None,
        }
    }
}

/// Size of a pool and number of its available VMs.
///
/// A VM that was moved to the pool and hasn't served there yet is in neither number: its drain was counted in the pool
/// that it left, and its arrival doesn't reduce the availability of the pool that it joins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    /// Number of VMs in the pool.
    pub size: u32,
    /// Number of serving VMs.
    pub available: u32,
}

impl Availability {
    /// Number of VMs that must be available for `min_available` of the pool, rounded up.
    #[must_use]
    pub const fn required(self, min_available: Percent) -> u32 {
        // The quotient is at most `size`.
        (self.size as u64 * min_available.get() as u64).div_ceil(100) as u32
    }

    /// Number of VMs that may become unavailable while `min_available` of the pool stays available.
    #[must_use]
    pub const fn slack(self, min_available: Percent) -> u32 {
        self.available.saturating_sub(self.required(min_available))
    }
}
