//! Record of a VM: its pool, state, place and drain permit.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{DataCentreId, Incarnation, OperatorId, PoolId, RackId};
use crate::units::{Percent, WallTime};
use crate::wave::{BatchId, Domain, WaveId};

/// Version of a VM record, unique within its document and across removals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VmVersion(pub u64);

/// What a VM does. Only a serving VM is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It takes work.
    Serving,
    /// It finishes its work and takes none.
    Draining,
    /// It has no work left.
    Drained,
    /// It restarts.
    Rebooting,
    /// It can't be reached or doesn't work.
    Failed,
}

/// Why a VM was allowed to drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "cause", rename_all = "snake_case")]
pub enum Cause {
    /// A maintenance wave.
    Wave {
        /// Wave.
        wave: WaveId,
    },
    /// A move to another pool.
    Move {
        /// Destination.
        to: PoolId,
    },
    /// An operator's request.
    Operator {
        /// Who asked.
        by: OperatorId,
    },
}

/// Permission to drain. It ends when the VM returns or fails.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Why it was granted.
    #[serde(flatten)]
    pub cause: Cause,
    /// When it was granted.
    pub at: WallTime,
    /// Run of the worker that was told to reboot.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rebooted_from: Option<Incarnation>,
}

/// A batch of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveBatch {
    /// Wave.
    pub wave: WaveId,
    /// Batch.
    pub batch: BatchId,
}

/// Where a VM is and which run of it answers there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Address, unique among the VMs.
    pub address: SmolStr,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Rack.
    pub rack: RackId,
    /// Run of the VM's worker.
    pub incarnation: Incarnation,
}

/// Record of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Version of this record.
    pub version: VmVersion,
    /// The one pool that the VM belongs to.
    pub pool: PoolId,
    /// What it does.
    pub state: VmState,
    /// Its permit while it drains, is drained or reboots.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub permit: Option<Permit>,
    /// Where it is.
    #[serde(flatten)]
    pub place: Place,
    /// End of its last maintenance, or its registration.
    pub maintained_at: WallTime,
    /// Spare pool that lent it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lent_from: Option<PoolId>,
    /// Last wave and batch that drained it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last_batch: Option<WaveBatch>,
}

impl Vm {
    /// Rack within its data centre.
    #[must_use]
    pub fn domain(&self) -> Domain {
        Domain { data_centre: self.place.data_centre.clone(), rack: self.place.rack.clone() }
    }

    /// Whether the VM was moved to its pool and hasn't served there.
    #[must_use]
    pub fn is_arriving(&self) -> bool {
        matches!(&self.permit, Some(Permit { cause: Cause::Move { to }, .. }) if *to == self.pool)
    }

    /// Whether another run of the worker answers since the VM was told to reboot.
    #[must_use]
    pub fn has_rebooted(&self) -> bool {
        let former = self.permit.as_ref().and_then(|p| p.rebooted_from);
        self.state == VmState::Rebooting && former.is_some_and(|former| former != self.place.incarnation)
    }

    /// Whether the worker must be told to drain; otherwise it must be told to take work.
    #[must_use]
    pub fn must_drain(&self) -> bool {
        match self.state {
            VmState::Draining => true,
            VmState::Drained => !self.is_arriving(),
            VmState::Rebooting => !self.has_rebooted(),
            VmState::Serving | VmState::Failed => false,
        }
    }

    /// The wave whose permit the VM holds.
    #[must_use]
    pub const fn wave(&self) -> Option<WaveId> {
        match &self.permit {
            Some(Permit { cause: Cause::Wave { wave }, .. }) => Some(*wave),
            _ => None,
        }
    }
}

/// Numbers of a pool's VMs.
///
/// A VM that was moved to the pool and hasn't served there is in neither number: its drain was counted in the
/// pool that it left, and its arrival takes nothing from the pool that it joins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    /// VMs of the pool.
    pub size: u32,
    /// Serving VMs.
    pub available: u32,
}

impl Availability {
    /// VMs that must be available under a budget, rounded up.
    #[must_use]
    pub const fn required(self, min_available: Percent) -> u32 {
        // The quotient is at most `size`.
        (self.size as u64 * min_available.get() as u64).div_ceil(100) as u32
    }

    /// VMs that may become unavailable under a budget.
    #[must_use]
    pub const fn slack(self, min_available: Percent) -> u32 {
        self.available.saturating_sub(self.required(min_available))
    }
}
