//! Scheduling of job graphs on leased workers, without I/O.
//!
//! One scheduler owns all pools for the length of its term. It learns what runs from the workers' own lists, writes
//! ends to the store before workers may forget them, and numbers its orders with a fencing token.

pub mod advice;
pub mod balance;
pub mod candidacy;
pub mod directory;
pub mod event;
pub mod graph;
pub mod job;
pub mod order;
pub mod pacing;
pub mod policy;
pub mod progress;
pub mod scheduler;
pub mod upkeep;
pub mod worker;
pub mod writes;

mod answers;
mod ends;
mod plan;
mod roster;
mod share;
