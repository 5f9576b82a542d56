//! Faults and limits that tests set.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Part of a second whose calls may come at once under a rate limit.
const BURST_SECONDS: f64 = 0.5;

/// How a store that is down behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// Answers 503.
    #[default]
    Refuse,
    /// Accepts the call and doesn't answer until the outage ends, then closes the connection.
    Hang,
    /// Closes the connection.
    Close,
}

/// The store is down. Calls have no effect; leases go on and may lapse.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Outage {
    /// Behaviour.
    pub mode: OutageMode,
    /// Values of `x-client` that are concerned; empty for all callers.
    pub clients: Vec<SmolStr>,
}

/// Each call takes longer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Delay {
    /// Added time.
    pub ms: u64,
    /// Values of `x-client` that are concerned; empty for all callers.
    pub clients: Vec<SmolStr>,
}

/// What becomes of a call whose answer is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// It takes effect before the connection is closed; calls without effect are answered.
    #[default]
    Applied,
    /// It has no effect.
    None,
    /// It takes effect `late_ms` after the connection was closed; only for writes of keys.
    Late,
}

/// Answers are lost: the connection is closed instead.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Lost {
    /// Number of the next answers to lose.
    pub count: u64,
    /// Part of the further answers to lose, from 0 to 1.
    pub probability: f64,
    /// Seed of the choice.
    pub seed: u64,
    /// What becomes of the call.
    pub effect: Effect,
    /// Time to a late effect.
    pub late_ms: u64,
    /// Operations that are concerned, by their names in the counts; empty for `put` and `delete`.
    pub operations: Vec<SmolStr>,
    /// Key prefixes that are concerned; empty for all.
    pub prefixes: Vec<SmolStr>,
    /// Values of `x-client` that are concerned; empty for all callers.
    pub clients: Vec<SmolStr>,
}

impl Lost {
    fn concerns(&self, call: &Call) -> bool {
        let is_operation = match self.operations.as_slice() {
            [] => matches!(call.operation, "put" | "delete"),
            names => concerns(names, call.operation),
        };
        is_operation && concerns(&self.prefixes, &call.prefix) && concerns(&self.clients, &call.client)
    }
}

/// A call as the faults and the counts see it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Operation.
    pub operation: &'static str,
    /// First part of the key, or `lease`.
    pub prefix: String,
    /// Value of `x-client`.
    pub client: String,
}

/// Reads lag behind.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stale {
    /// Lag.
    pub ms: u64,
}

/// Rate limits.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Writes of keys and leases a second.
    pub writes: f64,
    /// Reads and watches a second.
    pub reads: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { writes: 400.0, reads: 2000.0 }
    }
}

/// Whether a name is in a list; an empty list stands for all names.
fn concerns(names: &[SmolStr], name: &str) -> bool {
    names.is_empty() || names.iter().any(|n| n == name)
}

#[derive(Debug)]
struct Bucket {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64, at: Instant) -> Self {
        Self { rate, level: Self::size(rate), at }
    }

    fn size(rate: f64) -> f64 {
        (rate * BURST_SECONDS).max(1.0)
    }

    fn try_take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = passed.mul_add(self.rate, self.level).min(Self::size(self.rate));
        self.at = now;
        let is_allowed = self.level >= 1.0;
        if is_allowed {
            self.level -= 1.0;
        }
        is_allowed
    }
}

/// The faults in effect.
#[derive(Debug)]
pub struct Faults {
    outage: Option<Outage>,
    delay: Delay,
    lost: Lost,
    rng: StdRng,
    writes: Bucket,
    reads: Bucket,
}

impl Faults {
    /// No faults.
    pub fn new(limits: Limits, now: Instant) -> Self {
        Self {
            outage: None,
            delay: Delay::default(),
            lost: Lost::default(),
            rng: StdRng::seed_from_u64(0),
            writes: Bucket::new(limits.writes, now),
            reads: Bucket::new(limits.reads, now),
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
        self.writes = Bucket::new(limits.writes, now);
        self.reads = Bucket::new(limits.reads, now);
    }

    pub fn outage_for(&self, client: &str) -> Option<OutageMode> {
        self.outage.as_ref().filter(|o| concerns(&o.clients, client)).map(|o| o.mode)
    }

    pub fn delay_for(&self, client: &str) -> Duration {
        if concerns(&self.delay.clients, client) { Duration::from_millis(self.delay.ms) } else { Duration::ZERO }
    }

    /// Whether the rate limit allows the call.
    pub fn try_take(&mut self, is_write: bool, now: Instant) -> bool {
        let bucket = if is_write { &mut self.writes } else { &mut self.reads };
        bucket.try_take(now)
    }

    /// Whether the answer to the call gets lost with this effect. A chosen call counts as lost.
    pub fn loses_answer(&mut self, call: &Call, effect: Effect) -> bool {
        if self.lost.effect != effect || !self.lost.concerns(call) {
            return false;
        }
        if self.lost.count > 0 {
            self.lost.count -= 1;
            return true;
        }
        self.lost.probability > 0.0 && self.rng.random_bool(self.lost.probability.min(1.0))
    }

    /// Time to a late effect.
    pub const fn late(&self) -> Duration {
        Duration::from_millis(self.lost.late_ms)
    }
}
