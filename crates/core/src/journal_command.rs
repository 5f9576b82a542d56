//! Commands to a job shard and their outcomes.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::Snafu;

use crate::ids::{EntryId, Incarnation, JobId, OperatorId, TaskId};
use crate::job::{Content, JobSpec, MAX_INLINE_BYTES, Ran};
use crate::journal_state::{Claim, StateName};
use crate::units::WallTime;

/// What a caller is told about a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// State.
    pub state: StateName,
    /// Whether it ran so far. A claimed job is unknown.
    pub ran: Ran,
    /// The answer of a job that is done; an inline answer isn't kept after the job was archived.
    pub answer: Option<Content>,
    /// Why it failed or is unknown; not kept after the job was archived.
    pub reason: Option<SmolStr>,
    /// Whether a cancellation waits for the end of the task.
    pub cancel_requested: bool,
    /// Whether the job was archived.
    pub archived: bool,
}

/// Why an idempotent job goes back to waiting without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequeueReason {
    /// The lease lapsed, so the worker has stopped the task or refuses its start.
    LeaseLapsed,
    /// The worker restarted or its VM is gone.
    WorkerLost,
    /// The dispatcher stopped the task in favour of urgent work.
    Preempted,
}

/// What an operator found out about a job of unknown outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "found", rename_all = "snake_case")]
pub enum Resolution {
    /// It ran to its end.
    Done,
    /// It ran and failed.
    Failed {
        /// Why.
        reason: SmolStr,
    },
    /// It never started.
    NotRun,
}

/// A change to a job shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum JobCommand {
    /// Makes a job durable.
    Accept {
        /// The job.
        spec: Box<JobSpec>,
    },
    /// Takes the right to start a waiting job.
    Claim {
        /// Job.
        job: JobId,
        /// The claim.
        claim: Claim,
    },
    /// Records the answer of a task.
    Finish {
        /// Job.
        job: JobId,
        /// Task of the claim.
        task: TaskId,
        /// The answer.
        answer: Content,
        /// When the task ended.
        at: WallTime,
    },
    /// Records that a task ran and failed, or was stopped after a cancellation.
    Fail {
        /// Job.
        job: JobId,
        /// Task of the claim.
        task: TaskId,
        /// What the worker said.
        reason: SmolStr,
        /// When the task ended.
        at: WallTime,
    },
    /// Gives back a claim whose start certainly did not reach the worker, or was refused by it.
    Release {
        /// Job.
        job: JobId,
        /// Task of the claim.
        task: TaskId,
        /// Entry that made the claim.
        entry: EntryId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// When.
        at: WallTime,
    },
    /// Puts an idempotent job back whose task can't go on.
    Requeue {
        /// Job.
        job: JobId,
        /// Task of the claim.
        task: TaskId,
        /// Why.
        why: RequeueReason,
        /// When.
        at: WallTime,
    },
    /// Ends a claimed non-idempotent job whose result can't be learned.
    MarkUnknown {
        /// Job.
        job: JobId,
        /// Task of the claim.
        task: TaskId,
        /// What is known.
        reason: SmolStr,
        /// When.
        at: WallTime,
    },
    /// Settles an unknown outcome.
    Resolve {
        /// Job.
        job: JobId,
        /// Operator.
        by: OperatorId,
        /// What the operator found out.
        found: Resolution,
        /// When.
        at: WallTime,
    },
    /// Ends a waiting job, or asks for the end of a claimed one.
    Cancel {
        /// Job.
        job: JobId,
        /// When.
        at: WallTime,
    },
    /// Replaces ended jobs whose lines are in the ledger by tombstones, and drops expired tombstones.
    Archive {
        /// Jobs whose lines are in the ledger; others are passed over.
        jobs: Vec<JobId>,
        /// When.
        at: WallTime,
    },
}

/// A bound of the shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// Number of jobs that aren't archived.
    Jobs,
    /// Bytes of the stored value.
    Bytes,
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Rejection {
    /// The shard has no room. For `Finish`, the answer must go under its own key.
    #[snafu(display("the shard is full ({bound:?})"))]
    Full {
        /// Bound that was reached.
        bound: Bound,
    },
    /// An inline payload or answer must go under its own key.
    #[snafu(display("the inline content is over {MAX_INLINE_BYTES} bytes"))]
    TooLargeInline,
    /// The shard doesn't know the job.
    #[snafu(display("there is no such job"))]
    NoSuchJob,
    /// The job is not claimed.
    #[snafu(display("the job waits and has no claim"))]
    NotClaimed,
    /// Another claim holds the job.
    #[snafu(display("task {} holds the job", claim.task))]
    AlreadyClaimed {
        /// The claim in force.
        claim: Box<Claim>,
    },
    /// Only the entry process that made a claim knows that it sent nothing.
    #[snafu(display("entry {entry} (incarnation {incarnation}) made the claim and alone may release it"))]
    NotClaimant {
        /// Entry that made the claim.
        entry: EntryId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// The job may have been started and must not be started again.
    #[snafu(display("the job is not idempotent and may have been started"))]
    NotIdempotent,
    /// An idempotent job is requeued and never ends as unknown.
    #[snafu(display("the job is idempotent: requeue it"))]
    Idempotent,
    /// The job has ended.
    #[snafu(display("the job has ended ({:?})", view.state))]
    Ended {
        /// State.
        view: Box<JobView>,
    },
    /// Only unknown outcomes can be resolved.
    #[snafu(display("the outcome of the job is not unknown"))]
    NotUnknown,
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum JobOutcome {
    /// The job is new and durable.
    Accepted,
    /// The job or the effect of the command was already there.
    AlreadyThere {
        /// State of the job.
        view: Box<JobView>,
    },
    /// The claim is in force. Only the process whose commit got this outcome may send the start.
    Claimed,
    /// The job waits again.
    WaitsAgain,
    /// The task must be stopped; its end confirms the cancellation.
    CancelRequested {
        /// Claim of the task.
        claim: Box<Claim>,
    },
    /// The job has ended.
    Ended {
        /// State.
        view: Box<JobView>,
    },
    /// Ended jobs were replaced by tombstones or tombstones were dropped.
    Archived {
        /// Jobs that are tombstones now.
        jobs: Vec<JobId>,
        /// Tombstones that were dropped.
        dropped: usize,
    },
    /// Nothing to archive.
    NothingToArchive,
    /// The command changed nothing.
    Rejected {
        /// Why.
        why: Rejection,
    },
}

impl JobCommand {
    /// The job that the command is about; `None` for `Archive`.
    #[must_use]
    pub fn job(&self) -> Option<&JobId> {
        match self {
            Self::Accept { spec } => Some(&spec.id),
            Self::Claim { job, .. }
            | Self::Finish { job, .. }
            | Self::Fail { job, .. }
            | Self::Release { job, .. }
            | Self::Requeue { job, .. }
            | Self::MarkUnknown { job, .. }
            | Self::Resolve { job, .. }
            | Self::Cancel { job, .. } => Some(job),
            Self::Archive { .. } => None,
        }
    }
}
