//! Stand-in for a worker: slot leases, tasks under leases, drain, reboot and injected faults.

mod api;
mod run;
mod state;
mod tally;

pub use api::{Faults, start};
pub use tally::{Start, Tally};

use std::time::Duration;

use carawaybarrow_core::job::Size;
use smol_str::SmolStr;

/// Maximum number of connections to a worker for calls other than control calls.
pub const MAX_CONNECTIONS: usize = 64;

/// Settings of a worker.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the VM on which the worker runs.
    pub vm: SmolStr,
    /// Data centre of the VM.
    pub data_centre: SmolStr,
    /// Rack of the VM.
    pub rack: SmolStr,
    /// Number of slots, each of which runs one task.
    pub slots: usize,
    /// Resources of the VM.
    pub size: Size,
    /// Time by which the reported usage lags behind.
    pub usage_lag: Duration,
    /// Time for which the worker is down during a reboot, unless the call sets another.
    pub reboot_duration: Duration,
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
            reboot_duration: Duration::from_secs(2),
        }
    }
}
