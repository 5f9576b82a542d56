//! Decisions of the carawaybarrow fleet manager.
//!
//! Nothing here opens sockets, reads clocks or starts timers: callers pass in times, random number
//! generators and the bytes that came from the platform's store.

pub mod commit;
pub mod config;
pub mod finding;
pub mod ids;
pub mod keys;
pub mod map;
pub mod units;

pub use finding::{Finding, Findings};
pub use map::{Map, Set};
