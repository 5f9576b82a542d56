//! Stand-in for the store: compare-and-swap, leases, watches and faults.

mod api;
mod data;
mod faults;
mod stats;

pub use api::start;
pub use data::{Read, Written};
pub use faults::{Delay, Effect, Limits, Lost, Outage, OutageMode, Stale};
