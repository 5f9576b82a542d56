//! An entry on the platform: serves callers, and schedules all pools while it holds the scheduler's lease.
//!
//! Modules, each importing only from those before it: `records` (keys and documents of the store), `peers` (calls
//! between entries), `view` (configuration, its age, and who schedules), `term` and its loops (`links`, `writer`,
//! `listing`, `waves`), `callers` (requests), `run` (start and stop).

pub mod callers;
pub mod election;
pub mod links;
pub mod listing;
pub mod members;
pub mod meters;
pub mod peers;
pub mod records;
pub mod run;
pub mod term;
pub mod view;
pub mod waves;
pub mod writer;
pub mod writes;
