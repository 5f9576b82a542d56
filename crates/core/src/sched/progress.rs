//! Stored records of jobs and the ends of their runs.

use serde::{Deserialize, Serialize};

use crate::sched::graph::{JobSpec, QueueName, TeamName};
use crate::sched::policy::QueuePolicy;
use crate::sched::tombstones::JobOwner;
use crate::units::WallTime;

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Whether no other state can follow.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Record of a job in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum JobRecord {
    /// It has been accepted and may still run.
    Accepted(JobSpec),
    /// It has ended.
    Ended {
        /// Queue.
        queue: QueueName,
        /// Team.
        team: Option<TeamName>,
        /// Final state.
        state: JobState,
        /// Time at which the end was written, read when the write was prepared.
        at: WallTime,
    },
}

impl JobRecord {
    /// Queue and team of the job.
    #[must_use]
    pub fn owner(&self) -> JobOwner {
        match self {
            Self::Accepted(spec) => spec.into(),
            Self::Ended { queue, team, .. } => JobOwner { queue: queue.clone(), team: team.clone() },
        }
    }
}

/// Tasks of one step of one occurrence that are done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoneTasks {
    /// Occurrence.
    pub occurrence: u32,
    /// Step.
    pub step: u32,
    /// Indexes of the tasks within the step.
    pub tasks: Vec<u32>,
}

/// Runs of one task that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedRuns {
    /// Occurrence.
    pub occurrence: u32,
    /// Step.
    pub step: u32,
    /// Index of the task within the step.
    pub task: u32,
    /// Numbers of the failed runs.
    pub runs: Vec<u32>,
}

/// Ends of runs of a job that must survive a change of scheduler.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Progress {
    /// Done tasks.
    pub done: Vec<DoneTasks>,
    /// Failed runs.
    pub failed: Vec<FailedRuns>,
    /// Last rules of the job's queue, if the queue was removed and they differ from those at acceptance.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub last_rules: Option<QueuePolicy>,
}

impl Progress {
    /// Whether a run of the job has ended.
    #[must_use]
    pub const fn has_ends(&self) -> bool {
        !self.done.is_empty() || !self.failed.is_empty()
    }
}
