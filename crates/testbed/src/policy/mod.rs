//! Comparison of scheduling and planning rules in virtual time.
//!
//! The core's queue, planner and fleet document run on a generated demand. Workers are counters of busy slots.

mod demand;
mod rules;
mod simulation;
mod table;

pub use demand::{Demand, User, users};
pub use rules::{Rules, all_rules};
pub use simulation::{Result, simulate};
pub use table::{Measure, Summary, compare, summarize};
