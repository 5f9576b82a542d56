//! Commands to a fleet group and their outcomes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::config;
use crate::ids::{OperatorId, PoolId, Revision, VmId};
use crate::rejection::Rejection;
use crate::units::WallTime;
use crate::vm::{DrainCause, VmPlace, VmVersion};
use crate::wave::WaveId;

/// The part of the configuration that a command relies on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Basis {
    /// Revision of the configuration.
    pub config_revision: Revision,
    /// Budgets and deadline windows of the pools that the command is about.
    pub pools: BTreeMap<PoolId, config::Pool>,
}

impl Basis {
    /// Takes the pools that are configured from a configuration.
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
        /// Where it is.
        place: VmPlace,
        /// Pool of a new VM. A VM with a record stays in its pool.
        pool: PoolId,
        /// Time of the registration.
        at: WallTime,
    },
    /// Forgets a drained or failed VM.
    Remove {
        /// VM.
        vm: VmId,
        /// Version of its record.
        expect: VmVersion,
    },
    /// Lets a serving VM drain.
    GrantDrain {
        /// VM.
        vm: VmId,
        /// Version of its record.
        expect: VmVersion,
        /// Why it drains.
        cause: DrainCause,
        /// Budget of its pool, and for a move the destination.
        basis: Basis,
        /// Time of the grant.
        at: WallTime,
    },
    /// A draining VM has no work left.
    MarkDrained {
        /// VM.
        vm: VmId,
        /// Version of its record.
        expect: VmVersion,
    },
    /// A drained VM restarts.
    MarkRebooting {
        /// VM.
        vm: VmId,
        /// Version of its record.
        expect: VmVersion,
    },
    /// A VM with a permit serves again.
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
        /// Destination.
        to: PoolId,
        /// Both pools.
        basis: Basis,
        /// Time of the move.
        at: WallTime,
    },
    /// A VM can't be reached or doesn't work.
    MarkFailed {
        /// VM.
        vm: VmId,
        /// Version of its record.
        expect: VmVersion,
        /// Time of the failure.
        at: WallTime,
    },
    /// A failed VM serves again.
    MarkRecovered {
        /// VM.
        vm: VmId,
        /// Version of its record.
        expect: VmVersion,
    },
    /// Starts a wave over the VMs last maintained at or before the cutoff.
    StartWave {
        /// Paused or stopped wave that is given up.
        replaces: Option<WaveId>,
        /// Latest time of last maintenance.
        cutoff: WallTime,
        /// Drains that it may grant.
        most: u32,
        /// Who starts it.
        by: OperatorId,
        /// Time of the start.
        at: WallTime,
    },
    /// Pauses a running wave.
    PauseWave {
        /// Wave.
        wave: WaveId,
        /// Who pauses it.
        by: OperatorId,
    },
    /// Lets a paused or stopped wave go on, and forgets its failures.
    ResumeWave {
        /// Wave.
        wave: WaveId,
        /// Number of phase changes that the operator has seen, so that a repeated command doesn't resume a wave
        /// that has stopped again.
        expect: u32,
        /// Who resumes it.
        by: OperatorId,
    },
    /// Stops a running or paused wave.
    StopWave {
        /// Wave.
        wave: WaveId,
        /// Why.
        reason: String,
        /// Who stops it.
        by: OperatorId,
    },
    /// Ends a running wave without VMs in maintenance.
    FinishWave {
        /// Wave.
        wave: WaveId,
        /// Time of the end.
        at: WallTime,
    },
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum FleetOutcome {
    /// It changed the document.
    Applied,
    /// The document already says so.
    Unchanged,
    /// A rule forbids it.
    Rejected {
        /// The rule.
        reason: Rejection,
    },
}
