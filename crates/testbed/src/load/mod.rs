//! Open-loop load: arrivals follow a schedule, whether or not earlier jobs have ended.

mod direct;
mod plan;
mod report;
mod run;

pub use direct::Direct;
pub use plan::{Arrival, Plan, QueuePlan};
pub use report::{Counts, Ended, JobRecord, Report};
pub use run::{Target, lease_ttl, run};
