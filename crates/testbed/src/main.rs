//! Commands that run the stand-ins, the calling client, the load generator and the measurements.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    async_std::task::block_on(cli::run())
}
