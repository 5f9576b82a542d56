//! Clocks of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use carawaybarrow_core::units::{MonoTime, WallTime};

/// Source of monotonic and wall-clock times.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the monotonic clock at zero.
    #[must_use]
    pub fn new() -> Self {
        Self { started: Instant::now() }
    }

    /// Time since the clock was created, at the start of the process.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        MonoTime(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Wall-clock time, for records and for targets at a time of day.
    #[must_use]
    pub fn wall(&self) -> WallTime {
        wall_now()
    }
}

/// Time since the machine booted, which advances also while the process or the machine is suspended.
#[must_use]
pub fn boot_now() -> MonoTime {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    // The boot clock is never negative.
    MonoTime(time.tv_sec.unsigned_abs() * 1_000 + time.tv_nsec.unsigned_abs() / 1_000_000)
}

/// Current wall-clock time, as milliseconds since the Unix epoch.
#[must_use]
pub fn wall_now() -> WallTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
