//! Logs as key-value lines on standard error.

use logforth::append::{Stderr, Stdout, asynchronous};
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::LogfmtLayout;

/// Lines that wait to be written; about 1 MB, or two seconds of a busy scheduler.
const MAX_BUFFERED_LINES: usize = 4_096;

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
    logforth::starter_log::builder().dispatch(|d| d.filter(filter).append(build_stdout())).apply();
}

/// Standard output behind a bounded queue: a reader that stops reading costs log lines, never the service.
fn build_stdout() -> asynchronous::Async {
    asynchronous::AsyncBuilder::new("log")
        .buffered_lines_limit(Some(MAX_BUFFERED_LINES))
        .overflow_drop_incoming()
        .append(Stdout::default().with_layout(LogfmtLayout::default()))
        .build()
}
