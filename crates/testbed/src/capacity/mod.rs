//! Measurements of how memory, CPU time and traffic grow with the size of an installation.

mod documents;
mod fit;
mod fixtures;
mod peers;
mod processes;
mod soft_state;
mod spread;
mod table;
pub(crate) mod usage;

pub use documents::measure_documents;
pub use fit::{Fit, fit_line};
pub use processes::{Installation, Plan, measure_processes};
pub use soft_state::measure_soft_state;
pub use spread::{Overlay, compare_spread};
pub use table::Table;
