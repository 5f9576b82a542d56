//! The process of an entry on the platform. Every entry serves callers; the one that holds the scheduler's lease also
//! schedules all pools.
//!
//! - `run`, `election`, `term_start`, `job_loading`, `succession`, `fencing`: start and stop of the process, begin and end of a term, and who may
//!   begin the next.
//! - `view`, `members`, `records`: the entry's view of the configuration, the scheduler and the other entries, and the
//!   documents in the store.
//! - `callers`, `key_writes`, `tombstones`, `peers`: requests of callers, and calls between entries.
//! - `term`, `term_orders`, `worker_polls`, `store_watches`, `job_writer`, `vm_orders`: state of a term and the loops that update it.
//! - `notify`: notifications between tasks.
//! - `metrics`: counters and histograms.

pub mod callers;
pub mod election;
pub mod fencing;
pub mod job_loading;
pub mod job_writer;
pub mod key_writes;
pub mod members;
pub mod metrics;
pub mod notify;
pub mod peers;
pub mod records;
pub mod run;
pub mod store_watches;
pub mod succession;
pub mod term;
pub mod term_orders;
pub mod term_start;
pub mod tombstones;
pub mod view;
pub mod vm_orders;
pub mod worker_polls;
