//! Faults and rate limits that tests set.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Largest burst under a rate limit, in seconds of the rate.
const BURST_SECONDS: f64 = 0.5;

/// How the store responds during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// Answers with status 503.
    #[default]
    Refuse,
    /// Accepts the call and doesn't answer until the outage ends, then closes the connection.
    Hang,
    /// Closes the connection without an answer.
    Close,
}

/// Outage of the store. Calls have no effect; the time of leases continues, so they may expire.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Outage {
    /// Response to calls during the outage.
    pub mode: OutageMode,
    /// Values of `x-client` of the affected clients; empty for all clients.
    pub clients: Vec<SmolStr>,
}

/// Delay added to each call.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Delay {
    /// Delay in ms.
    pub ms: u64,
    /// Values of `x-client` of the affected clients; empty for all clients.
    pub clients: Vec<SmolStr>,
}

/// Effect of a call whose answer is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// The call takes effect before the connection is closed; calls that fail are answered.
    #[default]
    Applied,
    /// The call has no effect.
    None,
    /// The call takes effect `late_ms` after the connection was closed. Only writes and deletes of keys take effect;
    /// other calls have none.
    Late,
}

/// Lost answers: the connection is closed instead of answering.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Lost {
    /// Number of answers to lose, starting with the next.
    pub count: u64,
    /// Probability of losing each further answer, from 0 to 1.
    pub probability: f64,
    /// Seed of the random choice of answers to lose.
    pub seed: u64,
    /// Effect of the calls whose answers are lost.
    pub effect: Effect,
    /// Delay in ms of a late effect.
    pub late_ms: u64,
    /// Affected operations, by their names in the call statistics; empty for `put` and `delete`.
    pub operations: Vec<SmolStr>,
    /// Affected key prefixes; empty for all.
    pub prefixes: Vec<SmolStr>,
    /// Values of `x-client` of the affected clients; empty for all clients.
    pub clients: Vec<SmolStr>,
}

impl Lost {
    fn affects(&self, call: &Call) -> bool {
        let is_operation_affected = match self.operations.as_slice() {
            [] => matches!(call.operation, "put" | "delete"),
            names => matches_list(names, call.operation),
        };
        is_operation_affected && matches_list(&self.prefixes, &call.prefix) && matches_list(&self.clients, &call.client)
    }
}

/// Properties of a call by which faults are applied and calls are counted.
#[derive(Clone, Debug)]
pub struct Call {
    /// Name of the operation, such as `put` or `renew`.
    pub operation: &'static str,
    /// First segment of the key, or `lease` for lease calls.
    pub prefix: String,
    /// Value of `x-client`; empty if absent.
    pub client: String,
}

/// Stale reads, which lag behind writes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stale {
    /// Lag in ms.
    pub ms: u64,
}

/// Rate limits, beyond which calls are answered with status 429.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Calls per second that change keys or leases.
    pub writes: f64,
    /// Reads and watches per second.
    pub reads: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { writes: 400.0, reads: 2000.0 }
    }
}

/// Whether a name is in the list; an empty list matches all names.
fn matches_list(names: &[SmolStr], name: &str) -> bool {
    names.is_empty() || names.iter().any(|n| n == name)
}

#[derive(Debug)]
struct TokenBucket {
    rate: f64,
    tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    fn new(rate: f64, updated_at: Instant) -> Self {
        Self { rate, tokens: Self::capacity(rate), updated_at }
    }

    fn capacity(rate: f64) -> f64 {
        (rate * BURST_SECONDS).max(1.0)
    }

    fn try_acquire(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.tokens = elapsed.mul_add(self.rate, self.tokens).min(Self::capacity(self.rate));
        self.updated_at = now;
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}

/// Faults and rate limits in effect.
#[derive(Debug)]
pub struct Faults {
    outage: Option<Outage>,
    delay: Delay,
    lost: Lost,
    rng: StdRng,
    writes: TokenBucket,
    reads: TokenBucket,
}

impl Faults {
    /// Creates a set without faults.
    pub fn new(limits: Limits, now: Instant) -> Self {
        Self {
            outage: None,
            delay: Delay::default(),
            lost: Lost::default(),
            rng: StdRng::seed_from_u64(0),
            writes: TokenBucket::new(limits.writes, now),
            reads: TokenBucket::new(limits.reads, now),
        }
    }

    pub fn set_outage(&mut self, outage: Option<Outage>) {
        self.outage = outage;
    }

    pub fn set_delay(&mut self, delay: Delay) {
        self.delay = delay;
    }

    pub fn set_lost(&mut self, lost: Lost) {
        self.rng = StdRng::seed_from_u64(lost.seed);
        self.lost = lost;
    }

    pub fn set_limits(&mut self, limits: Limits, now: Instant) {
        self.writes = TokenBucket::new(limits.writes, now);
        self.reads = TokenBucket::new(limits.reads, now);
    }

    pub fn outage_for(&self, client: &str) -> Option<OutageMode> {
        self.outage.as_ref().filter(|o| matches_list(&o.clients, client)).map(|o| o.mode)
    }

    pub fn delay_for(&self, client: &str) -> Duration {
        if matches_list(&self.delay.clients, client) { Duration::from_millis(self.delay.ms) } else { Duration::ZERO }
    }

    /// Takes a token from the rate limit of writes or reads; returns false if the limit is exceeded.
    pub fn try_acquire(&mut self, is_write: bool, now: Instant) -> bool {
        let bucket = if is_write { &mut self.writes } else { &mut self.reads };
        bucket.try_acquire(now)
    }

    /// Whether to lose the answer to the call, with this effect. Counts down the answers that remain to be lost.
    pub fn should_lose_answer(&mut self, call: &Call, effect: Effect) -> bool {
        if self.lost.effect != effect || !self.lost.affects(call) {
            return false;
        }
        if self.lost.count > 0 {
            self.lost.count -= 1;
            return true;
        }
        self.lost.probability > 0.0 && self.rng.random_bool(self.lost.probability.min(1.0))
    }

    /// Delay of late effects.
    pub const fn late_delay(&self) -> Duration {
        Duration::from_millis(self.lost.late_ms)
    }
}
