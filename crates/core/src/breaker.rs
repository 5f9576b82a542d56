//! Circuit breaker for connections to one endpoint.

use rand::Rng;

use crate::units::{Millis, MonoTime};

/// Consecutive connection failures after which the breaker blocks connections.
pub const FAILURE_THRESHOLD: u32 = 3;

/// Longest time from reaching the threshold to the first probe.
pub const INITIAL_BACKOFF: Millis = Millis(500);

/// Upper bound of the time until a probe, which doubles with each failed one.
pub const MAX_BACKOFF: Millis = Millis::from_secs(30);

/// Time after which another probe is allowed although the last one has no result yet.
pub const PROBE_TIMEOUT: Millis = Millis::from_secs(5);

/// Blocks connections to an endpoint that can't be reached, and allows a single probe after a backoff.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    consecutive_failures: u32,
    /// While the threshold is reached, no connection is allowed before this time.
    blocked_until: MonoTime,
}

impl CircuitBreaker {
    /// Creates a breaker that allows connections.
    #[must_use]
    pub const fn new() -> Self {
        Self { consecutive_failures: 0, blocked_until: MonoTime(0) }
    }

    /// Whether a connection may be opened.
    #[must_use]
    pub fn allows_connection(&self, now: MonoTime) -> bool {
        self.consecutive_failures < FAILURE_THRESHOLD || now >= self.blocked_until
    }

    /// Records that a connection is being opened. Once the threshold is reached, this connection is a probe, and others
    /// are blocked until it has a result or [`PROBE_TIMEOUT`] has passed.
    pub fn record_attempt(&mut self, now: MonoTime) {
        if self.consecutive_failures >= FAILURE_THRESHOLD {
            self.blocked_until = now + PROBE_TIMEOUT;
        }
    }

    /// Records that the endpoint could be reached, which allows connections again.
    pub const fn record_success(&mut self) {
        *self = Self::new();
    }

    /// Records that the endpoint couldn't be reached. The backoff is drawn at random from the upper half of its range,
    /// so that entries don't probe at the same time.
    pub fn record_failure(&mut self, now: MonoTime, rng: &mut impl Rng) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures >= FAILURE_THRESHOLD {
            let doublings = (self.consecutive_failures - FAILURE_THRESHOLD).min(16);
            let backoff = (INITIAL_BACKOFF.0 << doublings).min(MAX_BACKOFF.0);
            self.blocked_until = now + Millis(rng.random_range(backoff / 2..=backoff));
        }
    }
}
