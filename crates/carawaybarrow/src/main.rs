//! Entry point of the `carawaybarrow` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    carawaybarrow::cli::run()
}
