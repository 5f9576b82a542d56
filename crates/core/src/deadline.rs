//! Deadlines of classes and callers, and the latest start that they allow.

use crate::config::Target;
use crate::units::{Millis, MonoTime, WallTime};

const MINUTE_MS: u64 = 60_000;

const DAY_MS: u64 = 24 * 60 * MINUTE_MS;

/// A deadline on the monotonic clock of this entry. A step of the wall clock doesn't move it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deadline {
    /// The job starts by this time.
    StartBy(MonoTime),
    /// The job ends by this time.
    EndBy(MonoTime),
}

impl Deadline {
    /// The deadline of a job whose class has this target.
    ///
    /// A deadline of a [`Target::Within`] class is one for the start, even if the caller set it.
    #[must_use]
    pub fn of_job(target: Target, deadline: WallTime, wall_now: WallTime, now: MonoTime) -> Self {
        let at = convert_to_mono(deadline, wall_now, now);
        match target {
            Target::Within { .. } => Self::StartBy(at),
            Target::By { .. } | Target::Eventually => Self::EndBy(at),
        }
    }

    /// The latest start that meets the deadline of a job that runs for `run`.
    #[must_use]
    pub fn latest_start(self, run: Millis) -> MonoTime {
        match self {
            Self::StartBy(at) => at,
            Self::EndBy(at) => at - run,
        }
    }
}

/// The point on the monotonic clock at which the wall clock shows `at`.
#[must_use]
pub fn convert_to_mono(at: WallTime, wall_now: WallTime, now: MonoTime) -> MonoTime {
    if at >= wall_now { now + at.since(wall_now) } else { now - wall_now.since(at) }
}

/// The next time after `now` at which this minute of the UTC day begins.
#[must_use]
pub fn find_next_minute(minute_of_day: u16, now: WallTime) -> WallTime {
    let today = now.0 - now.0 % DAY_MS + u64::from(minute_of_day) * MINUTE_MS;
    WallTime(if today > now.0 { today } else { today + DAY_MS })
}

/// Deadline that a class gives to a job accepted at `now`.
#[must_use]
pub fn find_class_deadline(target: Target, now: WallTime) -> Option<WallTime> {
    match target {
        Target::Within { ms } => Some(now + ms),
        Target::By { minute_of_day } => Some(find_next_minute(minute_of_day, now)),
        Target::Eventually => None,
    }
}
