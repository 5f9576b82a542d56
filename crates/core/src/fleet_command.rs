//! Commands to a fleet group and their outcomes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::config;
use crate::ids::{OperatorId, PoolId, Revision, VmId};
use crate::rejection::Rejection;
use crate::units::WallTime;
use crate::vm::{DrainCause, VmPlace, VmVersion};
use crate::wave::WaveId;

/// The part of the configuration that a command is based on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigBasis {
    /// Revision of the configuration.
    pub config_revision: Revision,
    /// Configuration of the pools that the command refers to.
    pub pools: BTreeMap<PoolId, config::Pool>,
}

impl ConfigBasis {
    /// Copies the named pools from a configuration; pools that aren't configured are left out.
    #[must_use]
    pub fn from_config<'a>(config: &config::Config, pools: impl IntoIterator<Item = &'a PoolId>) -> Self {
        let find = |id: &PoolId| config.pools.get(id).map(|pool| (id.clone(), pool.value.clone()));
        Self { config_revision: config.revision, pools: pools.into_iter().filter_map(find).collect() }
    }
}

/// A change to a fleet group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case", deny_unknown_fields)]
pub enum FleetCommand {
    /// Adds a VM, or updates the record under its name or its address.
    Register {
        /// VM.
        vm: VmId,
        /// Version of the record to update; `None` if there must be none.
        expect: Option<VmVersion>,
        /// Address, location and incarnation of the VM.
        place: VmPlace,
        /// Pool of a VM without a record. A VM with a record stays in its pool.
        pool: PoolId,
        /// Time of the registration.
        at: WallTime,
    },
    /// Removes the record of a drained or failed VM.
    Remove {
        /// VM.
        vm: VmId,
        /// Version of its record.
        expect: VmVersion,
    },
    /// Grants a serving VM a drain permit.
    GrantDrain {
        /// VM.
        vm: VmId,
        /// Version of its record.
        expect: VmVersion,
        /// Reason for the drain.
        cause: DrainCause,
        /// Configuration of its pool, and for a move of the destination too.
        basis: ConfigBasis,
        /// Time of the grant.
        at: WallTime,
    },
    /// Records that a draining VM has no work left.
    MarkDrained {
        /// VM.
        vm: VmId,
        /// Version of its record.
        expect: VmVersion,
    },
    /// Records that a drained VM restarts.
    MarkRebooting {
        /// VM.
        vm: VmId,
        /// Version of its record.
        expect: VmVersion,
    },
    /// Returns a VM with a permit to service and ends its permit.
    Return {
        /// VM.
        vm: VmId,
        /// Version of its record.
        expect: VmVersion,
        /// Time of the return.
        at: WallTime,
    },
    /// Moves a drained VM to the pool that its permit names.
    Move {
        /// VM.
        vm: VmId,
        /// Version of its record.
        expect: VmVersion,
        /// Destination pool.
        to: PoolId,
        /// Configuration of the present pool and the destination.
        basis: ConfigBasis,
        /// Time of the move.
        at: WallTime,
    },
    /// Records that a VM can't be reached or doesn't work.
    MarkFailed {
        /// VM.
        vm: VmId,
        /// Version of its record.
        expect: VmVersion,
        /// Time of the failure.
        at: WallTime,
    },
    /// Records that a failed VM serves again.
    MarkRecovered {
        /// VM.
        vm: VmId,
        /// Version of its record.
        expect: VmVersion,
    },
    /// Starts a wave over the VMs whose last maintenance was at or before the cutoff.
    StartWave {
        /// Paused or stopped wave that the new one replaces.
        replaces: Option<WaveId>,
        /// Latest time of the last maintenance that makes a VM part of the wave.
        cutoff: WallTime,
        /// Maximum number of drains that the wave grants.
        most: u32,
        /// Operator who starts it.
        by: OperatorId,
        /// Time of the start.
        at: WallTime,
    },
    /// Pauses a running wave.
    PauseWave {
        /// Wave.
        wave: WaveId,
        /// Operator who pauses it.
        by: OperatorId,
    },
    /// Resumes a paused or stopped wave and clears its failures.
    ResumeWave {
        /// Wave.
        wave: WaveId,
        /// Number of phase changes that the operator has seen. It keeps a repeated command from resuming a wave that
        /// has stopped again.
        expect: u32,
        /// Operator who resumes it.
        by: OperatorId,
    },
    /// Stops a running or paused wave.
    StopWave {
        /// Wave.
        wave: WaveId,
        /// Reason that operators are shown.
        reason: String,
        /// Operator who stops it.
        by: OperatorId,
    },
    /// Finishes a running wave whose drain permits have all ended.
    FinishWave {
        /// Wave.
        wave: WaveId,
        /// Time at which the wave ended.
        at: WallTime,
    },
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum FleetOutcome {
    /// The command changed the document.
    Applied,
    /// The document already had the requested state.
    Unchanged,
    /// The command would break a rule.
    Rejected {
        /// The rule that it would break.
        reason: Rejection,
    },
}
