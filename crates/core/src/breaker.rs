//! Circuit breaker for connections to one endpoint.

use rand::Rng;

use crate::units::{Millis, MonoTime};

/// Connect failures in a row after which no more jobs are sent.
pub const MAX_FAILURES: u32 = 3;

/// Time until the first probe.
pub const FIRST_PAUSE: Millis = Millis(500);

/// Longest time until a probe; the time doubles with each failed one.
pub const MAX_PAUSE: Millis = Millis::from_secs(30);

/// Time after which a probe without result no longer holds up the next one.
pub const PROBE_TIMEOUT: Millis = Millis::from_secs(5);

/// Stops connections to an endpoint that can't be reached, and lets one probe through after a pause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Breaker {
    failures: u32,
    /// No connection before this time.
    blocked_until: MonoTime,
}

impl Breaker {
    /// Creates a breaker that lets connections through.
    #[must_use]
    pub const fn new() -> Self {
        Self { failures: 0, blocked_until: MonoTime(0) }
    }

    /// Whether a connection may be opened.
    #[must_use]
    pub fn allows(&self, now: MonoTime) -> bool {
        self.failures < MAX_FAILURES || now >= self.blocked_until
    }

    /// Notes that a connection is being opened. After a failure it is the only one until its result is known.
    pub fn start(&mut self, now: MonoTime) {
        if self.failures >= MAX_FAILURES {
            self.blocked_until = now + PROBE_TIMEOUT;
        }
    }

    /// Notes that the endpoint answered.
    pub const fn succeed(&mut self) {
        *self = Self::new();
    }

    /// Notes that the endpoint couldn't be reached. The pause is random in its upper half, so that entries don't
    /// probe at the same time.
    pub fn fail(&mut self, now: MonoTime, rng: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= MAX_FAILURES {
            let doublings = (self.failures - MAX_FAILURES).min(16);
            let pause = (FIRST_PAUSE.0 << doublings).min(MAX_PAUSE.0);
            self.blocked_until = now + Millis(rng.random_range(pause / 2..=pause));
        }
    }
}
