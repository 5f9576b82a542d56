//! Commands to a job shard and their outcomes.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::Snafu;

use crate::ids::{EntryId, Incarnation, JobId, OperatorId, TaskId};
use crate::job::{Content, JobSpec, MAX_INLINE_BYTES, Ran};
use crate::journal_state::{Claim, StateName};
use crate::units::WallTime;

/// The state of a job as shown to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Current state.
    pub state: StateName,
    /// Whether the job ran; unknown for a claimed job unless an earlier attempt is known to have run.
    pub ran: Ran,
    /// The answer of a job that is done; an inline answer is dropped when the job is archived.
    pub answer: Option<Content>,
    /// Why the job failed or its outcome is unknown; dropped when the job is archived.
    pub reason: Option<SmolStr>,
    /// Whether a cancellation was requested and the task hasn't ended yet.
    pub cancel_requested: bool,
    /// Whether the job was archived.
    pub archived: bool,
}

/// Why an idempotent job returns to waiting without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequeueReason {
    /// The slot lease lapsed, so the worker has stopped the task or refuses to start it.
    LeaseLapsed,
    /// The worker restarted or its VM was removed.
    WorkerLost,
    /// The dispatcher stopped the task in favour of urgent work.
    Preempted,
}

/// An operator's finding about a job whose outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "found", rename_all = "snake_case")]
pub enum Resolution {
    /// The job ran to completion.
    Done,
    /// The job ran and failed.
    Failed {
        /// Reason for the failure.
        reason: SmolStr,
    },
    /// The job never started.
    NotRun,
}

/// A change to a job shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum JobCommand {
    /// Stores a new job.
    Accept {
        /// Job as accepted.
        spec: Box<JobSpec>,
    },
    /// Claims the exclusive right to start a waiting job.
    Claim {
        /// Id of the job.
        job: JobId,
        /// Claim to record.
        claim: Claim,
    },
    /// Records the answer of a task.
    Finish {
        /// Id of the job.
        job: JobId,
        /// Task that the claim in force must name.
        task: TaskId,
        /// Answer of the task.
        answer: Content,
        /// Time at which the task ended.
        at: WallTime,
    },
    /// Records that a task ran and failed, or was stopped after a cancellation.
    Fail {
        /// Id of the job.
        job: JobId,
        /// Task that the claim in force must name.
        task: TaskId,
        /// Reason given by the worker.
        reason: SmolStr,
        /// Time at which the task ended.
        at: WallTime,
    },
    /// Releases a claim whose start certainly did not reach the worker, or was refused by it.
    Release {
        /// Id of the job.
        job: JobId,
        /// Task that the claim in force must name.
        task: TaskId,
        /// Entry that made the claim.
        entry: EntryId,
        /// Incarnation of that entry.
        incarnation: Incarnation,
        /// Time of the release.
        at: WallTime,
    },
    /// Returns an idempotent job to waiting after its task was lost, lapsed or preempted.
    Requeue {
        /// Id of the job.
        job: JobId,
        /// Task that the claim in force must name.
        task: TaskId,
        /// Reason for the new attempt.
        why: RequeueReason,
        /// Time of the change.
        at: WallTime,
    },
    /// Ends a claimed non-idempotent job whose result can't be determined.
    MarkUnknown {
        /// Id of the job.
        job: JobId,
        /// Task that the claim in force must name.
        task: TaskId,
        /// Why the result is unknown.
        reason: SmolStr,
        /// Time of the change.
        at: WallTime,
    },
    /// Records an operator's finding about an unknown outcome.
    Resolve {
        /// Id of the job.
        job: JobId,
        /// Operator who resolves the outcome.
        by: OperatorId,
        /// The finding.
        found: Resolution,
        /// Time of the resolution.
        at: WallTime,
    },
    /// Ends a waiting job, or requests the end of a claimed one.
    Cancel {
        /// Id of the job.
        job: JobId,
        /// Time of the request.
        at: WallTime,
    },
    /// Replaces ended jobs whose lines are in the ledger by tombstones, and drops expired tombstones.
    Archive {
        /// Jobs whose lines are in the ledger. Those that haven't ended, or whose outcome is unknown, are skipped.
        jobs: Vec<JobId>,
        /// Time of archiving, which also decides which tombstones have expired.
        at: WallTime,
    },
}

/// A capacity limit of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// [`MAX_JOBS`](crate::journal::MAX_JOBS).
    Jobs,
    /// [`MAX_SHARD_BYTES`](crate::journal::MAX_SHARD_BYTES).
    Bytes,
}

/// Why a command was rejected without any change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Rejection {
    /// The shard is at a capacity limit. For `Finish`, the answer must be stored under its own key.
    #[snafu(display("the shard is full ({bound:?})"))]
    Full {
        /// Limit that was reached.
        bound: Bound,
    },
    /// The inline payload or answer is too long and must be stored under its own key.
    #[snafu(display("the inline payload or answer exceeds {MAX_INLINE_BYTES} bytes"))]
    TooLargeInline,
    /// The shard doesn't know the job.
    #[snafu(display("there is no such job"))]
    NoSuchJob,
    /// The job is waiting and not claimed.
    #[snafu(display("the job is waiting and has no claim"))]
    NotClaimed,
    /// Another claim holds the job.
    #[snafu(display("the job is already claimed for task {}", claim.task))]
    AlreadyClaimed {
        /// The claim in force.
        claim: Box<Claim>,
    },
    /// Only the entry process that made the claim may release it, because no other knows that nothing was sent.
    #[snafu(display("only entry {entry} (incarnation {incarnation}), which made the claim, may release it"))]
    NotClaimant {
        /// Entry that made the claim.
        entry: EntryId,
        /// Incarnation of that entry.
        incarnation: Incarnation,
    },
    /// The job is not idempotent: it may have been started and must not be started again.
    #[snafu(display("the job is not idempotent and may have been started"))]
    NotIdempotent,
    /// The job is idempotent, so it is requeued instead of ending as unknown.
    #[snafu(display("the job is idempotent and must be requeued instead"))]
    Idempotent,
    /// The job has ended.
    #[snafu(display("the job has ended ({:?})", view.state))]
    Ended {
        /// State of the ended job.
        view: Box<JobView>,
    },
    /// Only unknown outcomes can be resolved.
    #[snafu(display("the outcome of the job is not unknown"))]
    NotUnknown,
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum JobOutcome {
    /// The job was stored.
    Accepted,
    /// The job, or the effect of the command, already existed.
    AlreadyThere {
        /// Present state of the job.
        view: Box<JobView>,
    },
    /// The claim is in force. Only the process whose commit got this outcome may send the start.
    Claimed,
    /// The job is waiting again.
    WaitsAgain,
    /// The task must be stopped; its end confirms the cancellation.
    CancelRequested {
        /// Claim that names the task.
        claim: Box<Claim>,
    },
    /// The job has ended.
    Ended {
        /// State of the ended job.
        view: Box<JobView>,
    },
    /// Ended jobs were replaced by tombstones, or expired tombstones were dropped.
    Archived {
        /// Jobs replaced by tombstones.
        jobs: Vec<JobId>,
        /// Number of expired tombstones dropped.
        dropped: usize,
    },
    /// No job could be archived and no tombstone had expired.
    NothingToArchive,
    /// The command changed nothing.
    Rejected {
        /// Reason for the rejection.
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
