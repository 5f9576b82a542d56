//! Open-loop load generator: jobs arrive on a schedule, whether or not earlier ones have ended.

mod direct;
mod plan;
mod report;
mod run;

pub use direct::DirectCaller;
pub use plan::{Arrival, Plan, QueuePlan};
pub use report::{EndedJob, JobRecord, JobStats, Report};
pub use run::{Target, lease_ttl, run};
