//! Comparison of scheduling and planning rules in virtual time.
//!
//! The real ready queue, planner and fleet document of the core crate process generated demand. Workers are simulated
//! as counters of busy slots.

mod demand;
mod rules;
mod simulation;
mod table;

pub use demand::{DemandGenerator, User, users};
pub use rules::{RuleSet, all_rules};
pub use simulation::{RunMetrics, simulate};
pub use table::{Measure, Summary, compare, summarize};
