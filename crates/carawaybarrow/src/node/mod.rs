//! An entry on the platform: serves callers, and schedules all pools while it holds the scheduler's lease.
//!
//! - `run`, `election`: start and stop of the process, begin and end of a term.
//! - `view`, `members`, `records`: what the entry knows, and the documents of the store.
//! - `callers`, `writes`, `peers`: requests of callers, and calls between entries.
//! - `term`, `links`, `writer`, `listing`, `vm_orders`: state of a term and the loops that feed it.
//! - `meters`: counters and histograms.

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
pub mod vm_orders;
pub mod writer;
pub mod writes;
