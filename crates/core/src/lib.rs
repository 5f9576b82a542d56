//! Decisions of the carawaybarrow fleet manager.
//!
//! Nothing here opens sockets, reads clocks or starts timers: callers pass in times, random number
//! generators and the bytes that came from the platform's store.

pub mod admission;
pub mod burn;
pub mod commit;
pub mod config;
pub mod confirmation;
pub mod estimate;
pub mod finding;
pub mod fleet;
pub mod freshness;
pub mod health;
pub mod ids;
pub mod job;
pub mod journal;
pub mod keys;
pub mod ledger;
pub mod map;
pub mod membership;
pub mod permits;
pub mod planner;
pub mod queue;
pub mod quota;
pub mod retry;
pub mod routing;
pub mod units;

pub use finding::{Finding, Findings};
pub use map::{Map, Set};
