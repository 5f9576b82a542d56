//! Reasons for which a fleet group rejects a command.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ids::{PoolId, Revision, VmId};
use crate::units::WallTime;
use crate::vm::VmState;
use crate::wave::{FailureDomain, Phase, WaveId};

/// Rule that a rejected command would have broken.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[serde(tag = "rule", rename_all = "snake_case")]
#[expect(missing_docs, reason = "the fields are named in the message of each variant")]
pub enum Rejection {
    /// The VM has no record.
    #[snafu(display("there is no VM {vm}"))]
    UnknownVm { vm: VmId },
    /// The VM's record was changed after the command was planned.
    #[snafu(display("VM {vm} has changed: the command expected version {expected}, the record has {current}"))]
    Changed { vm: VmId, expected: u64, current: u64 },
    /// The command isn't allowed in the VM's current state.
    #[snafu(display("VM {vm} is {state:?}, which doesn't allow this command"))]
    WrongState { vm: VmId, state: VmState },
    /// The address is already registered for another VM.
    #[snafu(display("the address is already registered for VM {by}"))]
    AddressTaken { by: VmId },
    /// The command was planned with an outdated configuration.
    #[snafu(display("the command is based on configuration {revision}, but {seen} is in use"))]
    OldConfig { revision: Revision, seen: Revision },
    /// The command's basis has no availability budget for a pool.
    #[snafu(display("the command has no availability budget for pool {pool}, or the pool isn't configured"))]
    PoolNotInBasis { pool: PoolId },
    /// Too few VMs of the pool would stay available.
    #[snafu(display("pool {pool} has {available} VMs available and needs {required}"))]
    Budget { pool: PoolId, available: u32, required: u32 },
    /// The pool is in a deadline window, in which moves are forbidden, or shortly before one.
    #[snafu(display("pool {pool} has a deadline window from {} to {} (ms since the Unix epoch)", from.0, to.0))]
    DeadlineWindow { pool: PoolId, from: WallTime, to: WallTime },
    /// The VM already belongs to the destination pool.
    #[snafu(display("VM {vm} already belongs to pool {pool}"))]
    SamePool { vm: VmId, pool: PoolId },
    /// The VM holds no permit for this move.
    #[snafu(display("VM {vm} holds no permit to move to pool {to}"))]
    NoMovePermit { vm: VmId, to: PoolId },
    /// The permit of the VM is for a move.
    #[snafu(display("VM {vm} holds a permit to move, not to reboot"))]
    NoRebootPermit { vm: VmId },
    /// The command names a wave that isn't the current one.
    #[snafu(display("wave {wave} is not the current wave"))]
    UnknownWave { wave: WaveId },
    /// The command isn't allowed in the wave's current phase, or the phase changed after the command was planned.
    #[snafu(display("wave {wave} is {phase}, which doesn't allow this command"))]
    WrongPhase { wave: WaveId, phase: Phase },
    /// VMs of the wave failed in the same batch, rack or data centre, so it must stop.
    #[snafu(display("wave {wave} must stop: {reason}"))]
    CorrelatedFailures { wave: WaveId, reason: String },
    /// The wave has granted the maximum number of drains.
    #[snafu(display("wave {wave} has granted all its drains"))]
    WaveFull { wave: WaveId },
    /// The VM was last maintained after the cutoff of the wave.
    #[snafu(display("VM {vm} is not due for maintenance in wave {wave}"))]
    NotInWave { vm: VmId, wave: WaveId },
    /// VMs of another rack of the pool still hold drain permits of a wave.
    #[snafu(display("VMs of {open} in pool {pool} still hold drain permits"))]
    OtherDomain { pool: PoolId, open: FailureDomain },
    /// The pool's current batch has granted its limit of drains.
    #[snafu(display("the batch of pool {pool} in wave {wave} is full"))]
    BatchFull { pool: PoolId, wave: WaveId },
}
