//! Configuration and limits of the platform, as far as the scheduler needs them.

use serde::{Deserialize, Serialize};

use crate::map::Map;
use crate::sched::graph::{JobSpec, PoolName, QueueName, Resources, TeamName};
use crate::units::Millis;

/// Rules of a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Pool that runs the queue's tasks. It is stored as [`JobSpec::pool`].
    ///
    /// [`JobSpec::pool`]: crate::sched::graph::JobSpec::pool
    #[serde(skip)]
    pub pool: PoolName,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails.
    pub max_attempts: u32,
    /// Factor of the critical path in a job's objective.
    pub stretch: f64,
    /// Time that is added to the stretched critical path in a job's objective.
    pub allowance: Millis,
    /// Whether the advice service decides which workers may run a step.
    pub needs_advice: bool,
    /// Times of the advice service for the queue.
    #[serde(default)]
    pub advice_times: AdviceTimes,
}

/// Times of the advice service, as the operators configure them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceTimes {
    /// Time for an answer.
    pub decision: Millis,
    /// Time for each worker of the request, in addition.
    pub per_worker: Millis,
}

impl AdviceTimes {
    /// Time for the answer about a number of workers, when no other call is handled.
    #[must_use]
    pub const fn answer_time(&self, workers: usize) -> Millis {
        Millis(self.decision.0.saturating_add(self.per_worker.0.saturating_mul(workers as u64)))
    }
}

impl Default for QueuePolicy {
    fn default() -> Self {
        // Used for jobs of earlier versions, whose records lack the rules, once their queue was removed.
        Self {
            pool: PoolName::default(),
            priority: 1,
            max_attempts: 3,
            stretch: 2.0,
            allowance: Millis(1_000),
            needs_advice: false,
            advice_times: AdviceTimes::default(),
        }
    }
}

/// Rules of a team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamPolicy {
    /// Share of the team in jobs per 1,000 s; 0 sets no limit.
    pub jobs_per_1000_secs: u64,
    /// Maximum resources in use at the same time; a value of 0 sets no limit.
    pub ceiling: Resources,
}

/// Configuration as the scheduler sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Version.
    pub version: u64,
    /// Queues.
    pub queues: Map<QueueName, QueuePolicy>,
    /// Teams.
    pub teams: Map<TeamName, TeamPolicy>,
    /// Pool whose VMs are off; `None` if there is no standby.
    pub standby: Option<PoolName>,
}

impl Policy {
    /// Rules of a job: those of its queue, or the last known ones if the queue is gone.
    #[must_use]
    pub fn rules_of<'a>(&'a self, spec: &'a JobSpec) -> &'a QueuePolicy {
        self.queues.get(&spec.queue).unwrap_or(&spec.rules)
    }
}

/// Limits of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum length of a lease that a worker accepts.
    pub max_lease: Millis,
    /// Maximum time that a task takes to stop.
    pub stop_limit: Millis,
    /// Time for which a VM is unavailable during its maintenance.
    pub maintenance: Millis,
    /// Time for which a VM is unavailable when it changes its pool.
    pub migration: Millis,
    /// Waiting time after a change of scheduler: it must pass between orders of two schedulers about one VM.
    pub order_lease: Millis,
    /// Maximum number of orders about VMs that the platform accepts in a second.
    pub vm_orders_per_sec: usize,
    /// Maximum number of tasks of a pool for which room is kept; 0 if placement doesn't look ahead.
    pub reservations: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_lease: Millis(6_000),
            stop_limit: Millis(900),
            maintenance: Millis(2_000),
            migration: Millis(1_500),
            order_lease: Millis(3_000),
            vm_orders_per_sec: 64,
            reservations: 0,
        }
    }
}
