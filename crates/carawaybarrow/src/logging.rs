//! Logs as key-value lines on standard error.

use logforth::append::{Stderr, Stdout};
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::LogfmtLayout;

/// Starts logging at the level `info`, or as the variable `RUST_LOG` says.
pub fn start_logging() {
    let filter = RustLogFilterBuilder::from_default_env_or("carawaybarrow=info").build();
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter).append(Stderr::default().with_layout(LogfmtLayout::default())))
        .apply();
}

/// Starts logging to standard output at the level `info`, or as the variable `RUST_LOG` says.
pub fn start_stdout_logging() {
    let filter = RustLogFilterBuilder::from_default_env_or("carawaybarrow=info").build();
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter).append(Stdout::default().with_layout(LogfmtLayout::default())))
        .apply();
}
