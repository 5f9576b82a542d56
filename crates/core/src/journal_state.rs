//! States of a durable job, and size limits of the texts stored with it.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{EntryId, Incarnation, LeaseId, OperatorId, TaskId, VmId};
use crate::job::{Content, MAX_INLINE_BYTES, Ran};
use crate::units::WallTime;

/// Maximum length of a stored reason, in bytes of its JSON form; longer ones are truncated.
pub const MAX_REASON_BYTES: usize = 256;

/// The right of one entry process to send one start of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Entry that may send the start.
    pub entry: EntryId,
    /// Incarnation of the entry process; a restarted process doesn't own the claims of its predecessor.
    pub incarnation: Incarnation,
    /// VM to which the start is sent.
    pub vm: VmId,
    /// Slot lease on the VM's worker.
    pub lease: LeaseId,
    /// Task that the start creates; unique among all attempts of all jobs.
    pub task: TaskId,
    /// Time of the claim.
    pub at: WallTime,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "end", rename_all = "snake_case")]
pub enum End {
    /// The job ran and gave an answer, or an operator found that it completed.
    Done {
        /// The answer; absent if an operator resolved the job.
        answer: Option<Content>,
    },
    /// The job ran and failed, too many workers were lost while they ran it, or an operator found that it failed or
    /// never started.
    Failed {
        /// Whether the job ran.
        ran: Ran,
        /// Reason for the failure.
        reason: SmolStr,
    },
    /// The job was cancelled by its caller.
    Cancelled {
        /// Whether an attempt ran before the cancellation took effect.
        ran: Ran,
    },
    /// The job may have run, and must not be started again.
    Unknown {
        /// Why the outcome is unknown.
        reason: SmolStr,
    },
}

/// Who resolved an unknown outcome, and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resolved {
    /// Operator who resolved it.
    pub by: OperatorId,
    /// Time of the resolution.
    pub at: WallTime,
}

/// State of a job that isn't archived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// The job may be claimed.
    Waiting,
    /// One entry may start the job or has started it.
    Claimed {
        /// Claim in force.
        claim: Claim,
        /// Time at which a caller requested cancellation; absent if none did.
        cancel_requested: Option<WallTime>,
    },
    /// The job has ended.
    Ended {
        /// How the job ended.
        end: End,
        /// Time of the end.
        at: WallTime,
        /// Claim in force when the job ended; absent if it was waiting.
        claim: Option<Claim>,
        /// Who resolved the unknown outcome; absent if the outcome was never unknown or isn't resolved yet.
        resolved: Option<Resolved>,
    },
}

/// State of a job without its details.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StateName {
    /// The job may be claimed.
    Waiting,
    /// An entry holds a claim on the job.
    Claimed,
    /// The job ran to completion.
    Done,
    /// The job ran and failed, too many workers were lost while they ran it, or an operator found that it failed or
    /// never started.
    Failed,
    /// The job was cancelled by its caller.
    Cancelled,
    /// The job may have run.
    Unknown,
}

impl State {
    /// The state without its details.
    #[must_use]
    pub const fn name(&self) -> StateName {
        match self {
            Self::Waiting => StateName::Waiting,
            Self::Claimed { .. } => StateName::Claimed,
            Self::Ended { end, .. } => end.name(),
        }
    }
}

impl End {
    /// The state without its details.
    #[must_use]
    pub const fn name(&self) -> StateName {
        match self {
            Self::Done { .. } => StateName::Done,
            Self::Failed { .. } => StateName::Failed,
            Self::Cancelled { .. } => StateName::Cancelled,
            Self::Unknown { .. } => StateName::Unknown,
        }
    }

    /// Whether the job ran.
    #[must_use]
    pub const fn ran(&self) -> Ran {
        match self {
            Self::Done { .. } => Ran::Yes,
            Self::Failed { ran, .. } | Self::Cancelled { ran } => *ran,
            Self::Unknown { .. } => Ran::Unknown,
        }
    }

    /// Why the job failed or its outcome is unknown; `None` for other ends.
    #[must_use]
    pub const fn reason(&self) -> Option<&SmolStr> {
        match self {
            Self::Failed { reason, .. } | Self::Unknown { reason } => Some(reason),
            Self::Done { .. } | Self::Cancelled { .. } => None,
        }
    }
}

/// Size of a text in a JSON document, escaped and without the quotes, in bytes.
#[must_use]
pub fn count_json_bytes(text: &str) -> usize {
    text.chars().map(count_char_bytes).sum()
}

const fn count_char_bytes(c: char) -> usize {
    match c {
        '"' | '\\' | '\n' | '\r' | '\t' | '\u{8}' | '\u{c}' => 2,
        c if (c as u32) < 0x20 => 6,
        c => c.len_utf8(),
    }
}

/// Whether a payload or an answer may be stored inline in its record.
///
/// The JSON form counts, because an escaped control character takes up to 6 bytes there.
#[must_use]
pub fn fits_inline(text: &str) -> bool {
    count_json_bytes(text) <= MAX_INLINE_BYTES
}

/// Truncates a reason to [`MAX_REASON_BYTES`] at a character boundary.
#[must_use]
pub fn truncate_reason(reason: &str) -> SmolStr {
    let mut bytes = 0;
    let fits = |c: &char| {
        bytes += count_char_bytes(*c);
        bytes <= MAX_REASON_BYTES
    };
    reason.chars().take_while(fits).collect()
}
