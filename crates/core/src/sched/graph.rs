//! Jobs as graphs of steps, and the names of their tasks.

use std::fmt;
use std::ops::{AddAssign, SubAssign};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::{OptionExt, Snafu};

use crate::finding::Findings;
use crate::units::{Millis, WallTime};

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub SmolStr);

        impl $name {
            /// Creates the id.
            #[must_use]
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(SmolStr::new(text))
            }

            /// The id as text.
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
    /// Id of one life of a worker.
    WorkerKey
);
text_id!(
    /// Id of a VM, which outlives its workers.
    VmKey
);

/// Longest payload of a job in bytes, as the platform accepts it.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Most tasks of one job; a job of this size still fits into one store value.
pub const MAX_TASKS: u64 = 20_000;

/// What a task needs or a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Whether this fits into `room`.
    #[must_use]
    pub const fn fits(&self, room: &Self) -> bool {
        self.cpu <= room.cpu && self.memory_mb <= room.memory_mb && self.accelerators <= room.accelerators
    }

    /// What is left after `used`, or zero where more is used.
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
    /// What each task needs.
    pub size: Resources,
    /// Rough run time of a task.
    pub estimate: Millis,
    /// Steps whose tasks must all be done before.
    pub after: Vec<usize>,
    /// The tasks save checkpoints.
    pub checkpoints: bool,
    /// The tasks work only while all of them run.
    pub gang: bool,
    /// The tasks slow down when they run on more than one rack.
    pub one_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<SmolStr>,
    /// Rack that holds the data.
    pub data_rack: Option<SmolStr>,
    /// Most tasks of the step on one worker; no bound if `None`.
    pub max_per_worker: Option<u32>,
    /// Copies of a task may run at the same time.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run.
    pub image: Option<SmolStr>,
    /// Bound of the tail latency of tasks that serve users.
    pub target: Option<Millis>,
    /// The tasks use what the others leave, and their CPU isn't counted.
    pub fills: bool,
    /// Tasks that the system may take away at the same time; no bound if `None`.
    pub may_miss: Option<u32>,
}

impl Step {
    /// What a task takes from the room of a worker.
    #[must_use]
    pub const fn reserved(&self) -> Resources {
        if self.fills { Resources { cpu: 0, ..self.size } } else { self.size }
    }
}

/// When the occurrences of a timed job are due.
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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Queue.
    pub queue: QueueName,
    /// Pool to which the queue belonged at acceptance.
    pub pool: PoolName,
    /// Team whose key came with the job; `None` on queues open to all.
    pub team: Option<TeamName>,
    /// Text that each task receives.
    pub payload: SmolStr,
    /// Steps.
    pub steps: Vec<Step>,
    /// Occurrences; `None` for a job that runs once, now.
    pub schedule: Option<Schedule>,
    /// Time of acceptance.
    pub accepted: WallTime,
}

impl JobSpec {
    /// Checks what a caller sent.
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

    /// Longest chain of estimates through the steps.
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

/// Name of a task: job, occurrence, step and number within the step.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// Job.
    pub job: JobKey,
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
    /// Number within the step, from 0.
    pub index: u32,
}

/// A text that isn't a task name.
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
