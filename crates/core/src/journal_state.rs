//! States of a durable job, and the texts that are kept with it.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{EntryId, Incarnation, LeaseId, OperatorId, TaskId, VmId};
use crate::job::{Content, MAX_INLINE_BYTES, Ran};
use crate::units::WallTime;

/// Longest reason that is kept, in bytes of its JSON form; longer ones are cut.
pub const MAX_REASON_BYTES: usize = 256;

/// The right of one entry process to send one start of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Entry that may send the start.
    pub entry: EntryId,
    /// Run of the entry process; a restarted process doesn't own the claims of the earlier one.
    pub incarnation: Incarnation,
    /// VM that the start goes to.
    pub vm: VmId,
    /// Slot lease on the VM's worker.
    pub lease: LeaseId,
    /// Task id, unique among all attempts of all jobs.
    pub task: TaskId,
    /// When the claim was made.
    pub at: WallTime,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "end", rename_all = "snake_case")]
pub enum End {
    /// It ran and gave an answer, or an operator found that it ran.
    Done {
        /// The answer; absent if an operator resolved the job.
        answer: Option<Content>,
    },
    /// It can't run, or it ran and failed.
    Failed {
        /// Whether it ran.
        ran: Ran,
        /// Why.
        reason: SmolStr,
    },
    /// The caller cancelled it.
    Cancelled {
        /// Whether some of it ran.
        ran: Ran,
    },
    /// It may have run, and may not be started again.
    Unknown {
        /// What is known.
        reason: SmolStr,
    },
}

/// Who settled an unknown outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resolved {
    /// Operator.
    pub by: OperatorId,
    /// When.
    pub at: WallTime,
}

/// State of a job that the shard holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// May be claimed.
    Waiting,
    /// One entry may start it or has started it.
    Claimed {
        /// The claim.
        claim: Claim,
        /// When a caller asked to cancel it.
        cancel_requested: Option<WallTime>,
    },
    /// Ended.
    Ended {
        /// How.
        end: End,
        /// When.
        at: WallTime,
        /// The last claim, if there was one.
        claim: Option<Claim>,
        /// Operator who resolved an unknown outcome.
        resolved: Option<Resolved>,
    },
}

/// Name of a state, without its details.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StateName {
    /// May be claimed.
    Waiting,
    /// Claimed by an entry.
    Claimed,
    /// Ran and gave an answer.
    Done,
    /// Can't run, or ran and failed.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
    /// May have run.
    Unknown,
}

impl State {
    /// Name of the state.
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
    /// Name of the state.
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

    /// Why the job failed or is unknown.
    #[must_use]
    pub const fn reason(&self) -> Option<&SmolStr> {
        match self {
            Self::Failed { reason, .. } | Self::Unknown { reason } => Some(reason),
            Self::Done { .. } | Self::Cancelled { .. } => None,
        }
    }
}

/// Bytes of a text in a JSON document, without the quotes.
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

/// Whether a payload or an answer may be kept inside its record.
///
/// The JSON form counts, because a control character takes 6 bytes there.
#[must_use]
pub fn fits_inline(text: &str) -> bool {
    count_json_bytes(text) <= MAX_INLINE_BYTES
}

/// Cuts a reason to [`MAX_REASON_BYTES`].
#[must_use]
pub fn cut_reason(reason: &str) -> SmolStr {
    let mut bytes = 0;
    let fits = |c: &char| {
        bytes += count_char_bytes(*c);
        bytes <= MAX_REASON_BYTES
    };
    reason.chars().take_while(fits).collect()
}
