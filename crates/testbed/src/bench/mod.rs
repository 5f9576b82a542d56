//! Evaluation of the runs of `scripts/bench`: job outcomes against the workers' start logs, deviation from the teams'
//! shares, and resource usage.

mod check;
mod sample;
mod share;
mod table;

pub use check::{CheckRules, Phase, PhaseCounts, check_jobs};
pub use sample::{Sampler, Sources};
pub use share::{Task, measure_share_gap};
pub use table::format_report;
