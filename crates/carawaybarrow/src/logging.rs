//! Logging in logfmt to standard error or standard output.

use logforth::append::{Stderr, Stdout, asynchronous};
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::LogfmtLayout;

/// Maximum number of buffered lines; about 1 MB, or two seconds of log output of a busy scheduler.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Starts logging to standard error at the level `info`, or as the environment variable `RUST_LOG` sets it.
pub fn start_logging() {
    let filter = RustLogFilterBuilder::from_default_env_or("carawaybarrow=info").build();
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter).append(Stderr::default().with_layout(LogfmtLayout::default())))
        .apply();
}

/// Starts logging to standard output at the level `info`, or as the environment variable `RUST_LOG` sets it.
pub fn start_stdout_logging() {
    let filter = RustLogFilterBuilder::from_default_env_or("carawaybarrow=info").build();
    logforth::starter_log::builder().dispatch(|d| d.filter(filter).append(build_stdout())).apply();
}

/// Writes to standard output through a bounded queue. If the reader of the output stalls, lines are dropped and the
/// service isn't blocked.
fn build_stdout() -> asynchronous::Async {
    asynchronous::AsyncBuilder::new("log")
        .buffered_lines_limit(Some(MAX_BUFFERED_LINES))
        .overflow_drop_incoming()
        .append(Stdout::default().with_layout(LogfmtLayout::default()))
        .build()
}
