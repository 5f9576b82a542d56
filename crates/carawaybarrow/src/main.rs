//! The carawaybarrow command.

use std::process::ExitCode;

fn main() -> ExitCode {
    carawaybarrow::cli::run()
}
