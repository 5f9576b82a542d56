//! Decision logic of the carawaybarrow fleet manager.
//!
//! This crate does no I/O: it opens no sockets, reads no clocks and starts no timers. Callers pass in times, random
//! number generators and the bytes read from the platform's store.
//!
//! Terms used throughout:
//!
//! - An *entry* is a server process of the fleet manager. Its id is kept over restarts, and each start is another
//!   incarnation.
//! - A *fleet group* is the set of VMs whose records are in one stored document, the *fleet document*.
//! - *Keyed work* is the jobs of queues that require a team's API key.

pub mod admission;
pub mod answer_time;
pub mod breaker;
pub mod burn;
pub mod byte_budget;
pub mod commit;
pub mod config;
pub mod confirmation;
pub mod connections;
pub mod deadline;
mod draft;
pub mod estimate;
pub mod finding;
pub mod fleet;
mod fleet_command;
mod fleet_wave;
pub mod freshness;
pub mod health;
pub mod ids;
pub mod job;
pub mod journal;
pub mod journal_command;
pub mod journal_record;
pub mod journal_state;
pub mod keys;
pub mod ledger;
pub mod ledger_line;
pub mod map;
pub mod membership;
pub mod moves;
pub mod permits;
pub mod planner;
pub mod queue;
pub mod quota;
mod rejection;
pub mod report;
mod report_row;
pub mod retry;
pub mod routing;
pub mod sched;
pub mod shares;
pub mod units;
mod vm;
mod waiting;
pub mod wave;
pub mod wave_plan;

pub use finding::{Finding, Findings};
pub use map::{Map, Set};
