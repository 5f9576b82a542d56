//! Stand-in for the key-value store: compare-and-swap, leases, watches and injected faults.

mod api;
mod faults;
mod state;
mod stats;

pub use api::start;
pub use faults::{Delay, Effect, Limits, Lost, Outage, OutageMode, Stale};
pub use state::{ReadOutcome, WriteOutcome};
