//! Orders to workers, and requests to the advice service. Also answers to starts, and the lists and reports of workers.

use smol_str::SmolStr;

use crate::sched::advice::StepName;
use crate::sched::graph::{JobKey, PoolName, Resources, TaskName, VmKey, WorkerKey};
use crate::units::Millis;

/// Fencing token, which rises with each term; workers refuse orders with a lower token than they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// Order to start a run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Worker.
    pub worker: WorkerKey,
    /// Task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Text that is passed to the task.
    pub payload: SmolStr,
    /// End of the worker's lease, in ms on its clock.
    pub lease_until: u64,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: SmolStr,
    /// Ticket of the advice service that permits the step on the worker, on queues that need one.
    pub ticket: Option<SmolStr>,
}

/// An order to a worker, or a request to the advice service or the store, that the process has to send.
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
        /// Reason, for the log.
        reason: &'static str,
    },
    /// Ask the advice service which workers may run a step.
    RequestAdvice {
        /// Step.
        step: StepName,
        /// Workers with enough free resources for a task of it.
        workers: Vec<WorkerKey>,
        /// Time for the answer.
        time_limit: Millis,
    },
    /// Read the record of a job from the store, because a worker lists runs or ends of it and the job is unknown.
    LookUpJob {
        /// Job.
        job: JobKey,
    },
    /// Change the speed of a run.
    Pace {
        /// Worker.
        worker: WorkerKey,
        /// Task.
        task: TaskName,
        /// Number of the run.
        run: u32,
        /// Percent of full speed.
        percent: u8,
    },
}

/// Answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The worker has the run.
    Started,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker has had a run of the task with this number or a higher one.
    OldRun,
    /// The lease had already lapsed on arrival.
    Late,
    /// The worker has too few free resources.
    NoRoom,
    /// The ticket is not valid.
    BadTicket,
    /// Another incarnation of the worker, or another worker, answered.
    OtherInstance,
    /// The worker is unhealthy or was not reached, so the start is surely not executed.
    Unhealthy,
    /// The worker can't read the order.
    Malformed,
    /// This process did not send the order.
    NotSent,
    /// No answer: the order may still be executed.
    Unknown,
}

impl StartAnswer {
    /// Whether the worker did nothing, and may refuse each repetition for the same reason.
    #[must_use]
    pub const fn is_lasting_refusal(self) -> bool {
        matches!(self, Self::NoRoom | Self::Late | Self::BadTicket | Self::Malformed)
    }

    /// Value for logs and metrics.
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
            Self::NotSent => "not_sent",
            Self::Unknown => "unknown",
        }
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// It succeeded.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease lapsed, or it was lost with its worker or is missing from the worker's lists.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
}

impl EndKind {
    /// Value for logs and metrics.
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
    /// Progress in percent; a lasting task is available at 100.
    pub percent: u64,
    /// Measurement as the worker reports it, over the last half second: tail latency in ms of a task that serves users,
    /// CPU in use of any other task.
    pub reading: Option<u64>,
}

/// An end that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndRow {
    /// Number of the end, from 1 in each incarnation of the worker.
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

/// Runs and ends that a worker lists in its answer to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunLists {
    /// Start of the worker's incarnation in Unix ms, which identifies it; `None` if the worker does not report it.
    pub incarnation: Option<u64>,
    /// The worker's clock in ms.
    pub clock: u64,
    /// Present runs.
    pub running: Vec<RunRow>,
    /// Ends that the worker has not discarded.
    pub ended: Vec<EndRow>,
}

/// Maximum number of ends in one answer of a worker.
pub const MAX_ENDS_PER_ANSWER: usize = 500;

/// Worker report: what the worker's own entry in the store says.
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
    /// VM; `None` if the worker does not report it.
    pub vm: Option<VmKey>,
    /// Resources.
    pub capacity: Resources,
    /// Labels: the kind, then the rack.
    pub labels: Vec<SmolStr>,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Start of its incarnation in Unix ms, which identifies it; `None` if the worker does not report it.
    pub incarnation: Option<u64>,
}

impl WorkerReport {
    /// Whether the worker has the VM or the address of another one, which has ended if both reports are right.
    #[must_use]
    pub fn replaces(&self, old: &Self) -> bool {
        let same_vm = self.vm.is_some() && self.vm == old.vm;
        self.key != old.key && (same_vm || self.address == old.address)
    }
}
