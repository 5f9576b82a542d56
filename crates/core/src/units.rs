//! Points in time, durations and percentages.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

/// A text or number that isn't a valid duration or percentage.
#[derive(Debug, Snafu)]
#[snafu(display("{text:?} is not {expected}"))]
pub struct UnitError {
    text: String,
    expected: &'static str,
}

/// A duration in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// A duration of whole seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// The same duration for timers of the standard library.
    #[must_use]
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Difference of the durations, or zero if `other` is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 > 0 && self.0.is_multiple_of(1000) {
            write!(f, "{}s", self.0 / 1000)
        } else {
            write!(f, "{}ms", self.0)
        }
    }
}

impl FromStr for Millis {
    type Err = UnitError;

    /// Reads a whole number with one of the units `ms`, `s`, `m`, `h`, `d`.
    fn from_str(text: &str) -> Result<Self, UnitError> {
        let cx = UnitSnafu { text, expected: "a duration such as 1100ms, 30s, 5m, 2h or 42d" };
        let digits = text.find(|c: char| !c.is_ascii_digit()).context(cx)?;
        let (number, unit) = text.split_at(digits);
        let factor = match unit {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            "h" => 3_600_000,
            "d" => 86_400_000,
            _ => return cx.fail(),
        };
        let number = number.parse::<u64>().ok().context(cx)?;
        number.checked_mul(factor).map(Self).context(cx)
    }
}

/// A point on the monotonic clock of one process, in milliseconds since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// Time since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Millis> for MonoTime {
    type Output = Self;

    fn add(self, d: Millis) -> Self {
        Self(self.0.saturating_add(d.0))
    }
}

impl Sub<Millis> for MonoTime {
    type Output = Self;

    fn sub(self, d: Millis) -> Self {
        Self(self.0.saturating_sub(d.0))
    }
}

/// A point in time in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Time since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Millis> for WallTime {
    type Output = Self;

    fn add(self, d: Millis) -> Self {
        Self(self.0.saturating_add(d.0))
    }
}

/// A whole percentage from 0 to 100.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u8", into = "u8")]
pub struct Percent(u8);

impl Percent {
    /// Creates a percentage.
    ///
    /// # Errors
    ///
    /// Fails above 100.
    pub fn new(value: u8) -> Result<Self, UnitError> {
        if value > 100 {
            return UnitSnafu { text: value.to_string(), expected: "a percentage from 0 to 100" }.fail();
        }
        Ok(Self(value))
    }

    /// The percentage as a number from 0 to 100.
    #[must_use]
    pub const fn get(self) -> u8 {
        self.0
    }

    /// This part of `count`, rounded down.
    #[must_use]
    pub const fn of(self, count: u32) -> u32 {
        // The product of a u32 and 100 fits a u64, and the quotient is at most `count`.
        (count as u64 * self.0 as u64 / 100) as u32
    }
}

impl TryFrom<u8> for Percent {
    type Error = UnitError;

    fn try_from(value: u8) -> Result<Self, UnitError> {
        Self::new(value)
    }
}

impl From<Percent> for u8 {
    fn from(p: Percent) -> Self {
        p.0
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for Percent {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let digits = text.strip_suffix('%').unwrap_or(text);
        let cx = UnitSnafu { text, expected: "a percentage from 0 to 100" };
        Self::new(digits.parse::<u8>().ok().context(cx)?)
    }
}
