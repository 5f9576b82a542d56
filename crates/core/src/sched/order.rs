//! Orders to workers, their answers, and the lists that workers give.

use smol_str::SmolStr;

use crate::sched::advice::StepName;
use crate::sched::graph::{PoolName, Resources, TaskName, VmKey, WorkerKey};

/// Number that rises with each term of a scheduler; workers refuse orders with a lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// Start of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Worker.
    pub worker: WorkerKey,
    /// Task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Text for the task.
    pub payload: SmolStr,
    /// End of the lease in ms on the worker's clock.
    pub lease_until: u64,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: SmolStr,
    /// Permission of the queue's policy to run the step on the worker.
    pub ticket: Option<SmolStr>,
}

/// Something to be done by the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start a run.
    Start(Start),
    /// Stop a run.
    Stop {
        /// Worker.
        worker: WorkerKey,
        /// Task.
        task: TaskName,
        /// Number of the run.
        run: u32,
        /// Why, for the log.
        reason: &'static str,
    },
    /// Ask which workers may run a step.
    Ask {
        /// Step.
        step: StepName,
        /// Workers that have room for it.
        workers: Vec<WorkerKey>,
    },
    /// Let a run work at a part of its speed.
    Pace {
        /// Worker.
        worker: WorkerKey,
        /// Task.
        task: TaskName,
        /// Number of the run.
        run: u32,
        /// Share in percent.
        percent: u8,
    },
}

/// Answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is there.
    Started,
    /// A newer scheduler gives the orders.
    Fenced,
    /// The run is not above one that ended or was stopped there.
    OldRun,
    /// The lease had ended already.
    Late,
    /// The worker has no room.
    NoRoom,
    /// The ticket doesn't hold.
    BadTicket,
    /// Another life of the worker answered.
    OtherInstance,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The worker can't read the order.
    Malformed,
    /// No answer: the order may be carried out later.
    Unknown,
}

impl StartAnswer {
    /// Word for logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Fenced => "fenced",
            Self::OldRun => "old_run",
            Self::Late => "late",
            Self::NoRoom => "no_room",
            Self::BadTicket => "bad_ticket",
            Self::OtherInstance => "other_instance",
            Self::Unhealthy => "unhealthy",
            Self::Malformed => "malformed",
            Self::Unknown => "unknown",
        }
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// It did its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for its gang.
    Alone,
}

impl EndKind {
    /// Word for logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
        }
    }
}

/// A run that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRow {
    /// Task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
    /// Progress in percent; a lasting task is at work at 100.
    pub percent: u64,
    /// Tail latency in ms for a task that serves, CPU in use for others, over the last half second.
    pub reading: Option<u64>,
}

/// An end that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndRow {
    /// Position in the worker's list, from 1 in each life of the worker.
    pub number: u64,
    /// Task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
}

/// What a worker says of its runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunLists {
    /// Start of the worker's life in Unix ms, if it tells.
    pub born: Option<u64>,
    /// The worker's clock in ms.
    pub clock: u64,
    /// What runs.
    pub running: Vec<RunRow>,
    /// Ends that the worker still keeps.
    pub ended: Vec<EndRow>,
}

/// Most ends that a worker gives in one answer.
pub const MAX_ENDS_PER_ANSWER: usize = 500;

/// What a worker says of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// Id.
    pub key: WorkerKey,
    /// Address.
    pub address: std::net::SocketAddr,
    /// Pool.
    pub pool: PoolName,
    /// Data centre.
    pub data_centre: SmolStr,
    /// VM, if the worker tells.
    pub vm: Option<VmKey>,
    /// What it has.
    pub capacity: Resources,
    /// Labels, the rack among them.
    pub labels: Vec<SmolStr>,
    /// Whether it shuts down.
    pub draining: bool,
    /// Start of its life in Unix ms, if it tells.
    pub born: Option<u64>,
}
