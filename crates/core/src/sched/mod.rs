//! Scheduling of job graphs on leased workers, without I/O.
//!
//! One scheduler owns all pools for the length of its term. It polls the workers for the runs that they list, stores
//! the ends of runs before a worker may discard them, and sends its orders with a fencing token.

pub mod advice;
pub mod balance;
pub mod candidacy;
pub mod checks;
pub mod directory;
pub mod evacuation;
pub mod event;
pub mod fence;
pub mod graph;
pub mod job;
pub mod maintenance;
pub mod order;
pub mod policy;
pub mod progress;
pub mod recovery;
pub mod scheduler;
pub mod succession;
pub mod takeover;
pub mod tombstones;
pub mod unsettled;
pub mod vm_turns;
pub mod worker;
pub mod writes;

mod answers;
mod arrivals;
mod jobs;
mod orphans;
mod plan;
mod reservation;
mod runs;
mod share;
