//! Why a fleet group refused a command.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ids::{PoolId, Revision, VmId};
use crate::units::WallTime;
use crate::vm::VmState;
use crate::wave::{Domain, Phase, WaveId};

/// The rule that a command would have broken.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[serde(tag = "rule", rename_all = "snake_case")]
#[expect(missing_docs, reason = "the fields are named in the message of each variant")]
pub enum Rejection {
    /// The VM has no record.
    #[snafu(display("there is no VM {vm}"))]
    UnknownVm { vm: VmId },
    /// The record changed after the command was planned.
    #[snafu(display("VM {vm} has changed: the command expected version {expected}, the record has {current}"))]
    Changed { vm: VmId, expected: u64, current: u64 },
    /// The command doesn't fit the state of the VM.
    #[snafu(display("VM {vm} is {state:?}, which doesn't allow this"))]
    WrongState { vm: VmId, state: VmState },
    /// The address belongs to another VM that has a record of its own.
    #[snafu(display("the address belongs to VM {by}"))]
    AddressTaken { by: VmId },
    /// The command relies on a superseded configuration.
    #[snafu(display("the command is based on configuration {revision}, but {seen} is in use"))]
    OldConfig { revision: Revision, seen: Revision },
    /// The command lacks the budget of a pool.
    #[snafu(display("the command carries no budget of pool {pool}, or the pool isn't configured"))]
    PoolNotInBasis { pool: PoolId },
    /// Too few VMs of the pool would stay available.
    #[snafu(display("pool {pool} has {available} VMs available and needs {required}"))]
    Budget { pool: PoolId, available: u32, required: u32 },
    /// A window without moves is open or about to open.
    #[snafu(display("pool {pool} has a deadline window from {} to {} (ms since the Unix epoch)", from.0, to.0))]
    DeadlineWindow { pool: PoolId, from: WallTime, to: WallTime },
    /// The VM already belongs to the destination.
    #[snafu(display("VM {vm} already belongs to pool {pool}"))]
    SamePool { vm: VmId, pool: PoolId },
    /// The VM holds no permit for this move.
    #[snafu(display("VM {vm} holds no permit to move to pool {to}"))]
    NoMovePermit { vm: VmId, to: PoolId },
    /// The permit of the VM is for a move.
    #[snafu(display("VM {vm} holds a permit to move, not to reboot"))]
    NoRebootPermit { vm: VmId },
    /// The wave isn't the current one.
    #[snafu(display("wave {wave} is not the current wave"))]
    UnknownWave { wave: WaveId },
    /// The command doesn't fit the phase of the wave.
    #[snafu(display("wave {wave} is {phase}, which doesn't allow this now"))]
    WrongPhase { wave: WaveId, phase: Phase },
    /// The wave has had correlated failures.
    #[snafu(display("wave {wave} must stop: {reason}"))]
    CorrelatedFailures { wave: WaveId, reason: String },
    /// The wave has granted all its drains.
    #[snafu(display("wave {wave} has granted all its drains"))]
    WaveFull { wave: WaveId },
    /// The VM was maintained after the cutoff of the wave.
    #[snafu(display("VM {vm} is not due in wave {wave}"))]
    NotInWave { vm: VmId, wave: WaveId },
    /// The wave works on another rack of the pool.
    #[snafu(display("the wave works on {open} in pool {pool}"))]
    OtherDomain { pool: PoolId, open: Domain },
    /// The batch of the pool has all its VMs.
    #[snafu(display("the batch of pool {pool} in wave {wave} is full"))]
    BatchFull { pool: PoolId, wave: WaveId },
}
