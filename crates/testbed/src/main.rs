//! Stand-ins for the platform, a caller and a load generator as commands.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    async_std::task::block_on(cli::run())
}
