//! Jobs as graphs of steps, and the names of their tasks.

use std::fmt;
use std::ops::{AddAssign, SubAssign};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::{OptionExt, Snafu};

use crate::finding::Findings;
use crate::sched::policy::QueuePolicy;
use crate::units::{Millis, WallTime};

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub SmolStr);

        impl $name {
            /// Creates the id or name from its text.
            #[must_use]
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(SmolStr::new(text))
            }

            /// The id or name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// Id of a job, chosen by its caller.
    JobKey
);
text_id!(
    /// Name of a queue.
    QueueName
);
text_id!(
    /// Name of a pool of VMs.
    PoolName
);
text_id!(
    /// Name of a team.
    TeamName
);
text_id!(
    /// Id of a worker.
    WorkerKey
);
text_id!(
    /// Id of a VM, which outlives its workers.
    VmKey
);

/// Maximum size of a job's payload in bytes that the platform accepts.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Maximum number of tasks of a job; a job of this size fits into one value of the store.
pub const MAX_TASKS: u64 = 20_000;

/// Resources that a task needs or a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Whether these resources fit into `available`.
    #[must_use]
    pub const fn fits(&self, available: &Self) -> bool {
        self.cpu <= available.cpu
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// The larger amount of each resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// These resources minus `used`, or zero where more is used.
    #[must_use]
    pub const fn without(&self, used: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(used.cpu),
            memory_mb: self.memory_mb.saturating_sub(used.memory_mb),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        self.cpu += other.cpu;
        self.memory_mb += other.memory_mb;
        self.accelerators += other.accelerators;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = self.without(&other);
    }
}

/// A step of a job: tasks of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources of each task.
    pub size: Resources,
    /// Estimated run time of a task.
    pub estimate: Millis,
    /// Indexes of the steps whose tasks must all be done before this step starts.
    pub after: Vec<usize>,
    /// Whether the tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks are a gang, which makes progress only while all members run.
    pub gang: bool,
    /// Whether the tasks slow down when they run on more than one rack.
    pub one_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<SmolStr>,
    /// Rack that holds the input data; workers there are preferred.
    pub data_rack: Option<SmolStr>,
    /// Maximum number of tasks of the step on one worker; no limit if `None`.
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks are lasting, which means that they run until the job is cancelled.
    pub lasting: bool,
    /// Image that the tasks run.
    pub image: Option<SmolStr>,
    /// Target for the tail latency of tasks that serve users; `None` for other tasks.
    pub target: Option<Millis>,
    /// Whether the tasks are best-effort: they use CPU that other tasks leave, and reserve none.
    pub fills: bool,
    /// Maximum number of lasting tasks of the step that may be unavailable when the scheduler evacuates a worker, the
    /// interrupted task included; 1 if `None` or 0.
    pub may_miss: Option<u32>,
}

impl Step {
    /// Resources that a task reserves on its worker.
    #[must_use]
    pub const fn reserved(&self) -> Resources {
        if self.fills { Resources { cpu: 0, ..self.size } } else { self.size }
    }
}

/// Schedule of a job with several occurrences.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Time of the first occurrence.
    pub first: WallTime,
    /// Time between occurrences.
    pub interval: Millis,
    /// Number of occurrences.
    pub times: u32,
}

/// A job as it was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Queue.
    pub queue: QueueName,
    /// Pool to which the queue belonged at acceptance.
    pub pool: PoolName,
    /// Team whose API key came with the job; `None` on queues open to all.
    pub team: Option<TeamName>,
    /// Text that is passed to each task.
    pub payload: SmolStr,
    /// Steps.
    pub steps: Vec<Step>,
    /// Occurrences; `None` for a job that runs once, now.
    pub schedule: Option<Schedule>,
    /// Time of acceptance.
    pub accepted: WallTime,
    /// Rules of the queue at acceptance, which hold if the queue is removed from the configuration.
    #[serde(default)]
    pub rules: QueuePolicy,
    /// Latest term that the accepting entry knew to have begun. Schedulers of earlier terms start none of its tasks. `None`
    /// in records of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known_term: Option<u32>,
}

impl JobSpec {
    /// Checks a job that a caller submitted.
    #[must_use]
    pub fn validate(&self) -> Findings {
        let mut findings = Findings::new();
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            findings.add("spec", format!("it has {} bytes; at most {MAX_PAYLOAD_BYTES}", self.payload.len()));
        }
        if self.steps.is_empty() {
            findings.add("steps", "a job needs at least one step");
        }
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        if tasks > MAX_TASKS {
            findings.add("steps", format!("the job has {tasks} tasks; at most {MAX_TASKS}"));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                findings.add(format!("steps.{number}.count"), "a step needs at least one task");
            }
            if let Some(bad) = step.after.iter().find(|&&before| before >= number) {
                findings.add(format!("steps.{number}.after"), format!("{bad} is not an earlier step"));
            }
        }
        findings
    }

    /// Number of occurrences.
    #[must_use]
    pub fn times(&self) -> u32 {
        self.schedule.map_or(1, |s| s.times)
    }

    /// Time at which an occurrence is due.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> WallTime {
        match self.schedule {
            Some(s) => s.first + Millis(s.interval.0.saturating_mul(u64::from(occurrence))),
            None => self.accepted,
        }
    }

    /// Length of the critical path: the longest chain of estimates through the steps.
    #[must_use]
    pub fn longest_chain(&self) -> Millis {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step.after.iter().filter_map(|&i| ends.get(i)).max().copied().unwrap_or(0);
            ends.push(start + step.estimate.0);
        }
        Millis(ends.into_iter().max().unwrap_or(0))
    }
}

/// Name of a task, written `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// Job.
    pub job: JobKey,
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
    /// Index of the task within the step, from 0.
    pub index: u32,
}

/// Error for text that is not a task name.
#[derive(Debug, Snafu)]
#[snafu(display("{text:?} is not a task name JOB.OCCURRENCE.STEP.INDEX"))]
pub struct TaskNameError {
    text: String,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskName {
    type Err = TaskNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let mut parts = text.rsplitn(4, '.');
            let index = parts.next()?.parse().ok()?;
            let step = parts.next()?.parse().ok()?;
            let occurrence = parts.next()?.parse().ok()?;
            Some(Self { job: JobKey::new(parts.next()?), occurrence, step, index })
        };
        parse().context(TaskNameSnafu { text })
    }
}
