//! Sums and checks of `scripts/bench`: outcomes against the logs of starts, nearness to share, and use of resources.

mod check;
mod sample;
mod share;
mod table;

pub use check::{Counts, Phase, Rules, check_jobs};
pub use sample::{Sampler, Sources};
pub use share::{Task, measure_gap};
pub use table::show_report;
