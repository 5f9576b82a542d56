//! Stand-in for a worker: slot leases, tasks under leases, drain, reboot and faults.

mod api;
mod data;
mod run;
mod tally;

pub use api::{Faults, start};
pub use tally::{Start, Tally};

use std::time::Duration;

use carawaybarrow_core::job::Size;
use smol_str::SmolStr;

/// Connections that a worker accepts for calls other than control calls.
pub const MAX_CONNECTIONS: usize = 64;

/// Settings of a worker.
#[derive(Clone, Debug)]
pub struct Options {
    /// VM on which it runs.
    pub vm: SmolStr,
    /// Data centre of the VM.
    pub data_centre: SmolStr,
    /// Rack of the VM.
    pub rack: SmolStr,
    /// Slots, each of which runs one task.
    pub slots: usize,
    /// Resources of the VM.
    pub size: Size,
    /// Lag of the reported usage.
    pub usage_lag: Duration,
    /// Time for which the worker is down in a reboot, unless the call says otherwise.
    pub reboot: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            vm: "vm-1".into(),
            data_centre: "dc1".into(),
            rack: "dc1-r1".into(),
            slots: 8,
            size: Size { cores: 64, memory_mb: 128 * 1024, accelerators: 0 },
            usage_lag: Duration::from_secs(2),
            reboot: Duration::from_secs(2),
        }
    }
}
