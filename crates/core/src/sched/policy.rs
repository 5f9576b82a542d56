//! What the scheduler needs of the configuration and of the platform's bounds.

use crate::map::Map;
use crate::sched::graph::{PoolName, QueueName, Resources, TeamName};
use crate::units::Millis;

/// Rules of a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuePolicy {
    /// Pool that runs the queue's tasks.
    pub pool: PoolName,
    /// 0 comes first.
    pub priority: u32,
    /// Runs of a task that may fail.
    pub max_attempts: u32,
    /// Factor of the longest chain in the objective.
    pub stretch: f64,
    /// Time added to the stretched chain in the objective.
    pub allowance: Millis,
    /// Whether a service has to be asked which workers may run a step.
    pub needs_advice: bool,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        // Used for jobs whose queue a configuration has removed.
        Self {
            pool: PoolName::default(),
            priority: 1,
            max_attempts: 3,
            stretch: 2.0,
            allowance: Millis(1_000),
            needs_advice: false,
        }
    }
}

/// Rules of a team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamPolicy {
    /// Jobs that it is owed in 1,000 s; 0 sets no limit.
    pub jobs_per_1000_secs: u64,
    /// What may run at once; a part of 0 has no limit.
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
    /// Pools whose VMs are off.
    pub standby: Option<PoolName>,
}

/// Bounds of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Longest lease that a worker grants.
    pub max_lease: Millis,
    /// Longest time of a stop.
    pub stop_limit: Millis,
    /// Time for which a VM is away at its upkeep.
    pub upkeep: Millis,
    /// Time for which a VM is away when it changes its pool.
    pub migration: Millis,
    /// Time that must pass between two holders of orders to one VM.
    pub order_lease: Millis,
    /// Orders about VMs that the platform accepts in a second.
    pub vm_orders_per_sec: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_lease: Millis(6_000),
            stop_limit: Millis(900),
            upkeep: Millis(2_000),
            migration: Millis(1_500),
            order_lease: Millis(3_000),
            vm_orders_per_sec: 64,
        }
    }
}
