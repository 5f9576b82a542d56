//! Counts of calls.

use std::collections::BTreeMap;
use std::time::Instant;

use serde_json::{Value, json};
use smol_str::SmolStr;

use super::faults::Call;

/// Full seconds over which the rate is averaged.
const RATE_SECONDS: u64 = 10;

/// One more than the seconds of the rate, for the second that isn't over yet.
const SLOTS: usize = RATE_SECONDS as usize + 1;

#[derive(Clone, Debug, Default)]
struct Counter {
    total: u64,
    /// Second and calls in it.
    recent: [(u64, u64); SLOTS],
}

impl Counter {
    fn add(&mut self, second: u64) {
        self.total += 1;
        let slot = &mut self.recent[(second % SLOTS as u64) as usize];
        if slot.0 != second {
            *slot = (second, 0);
        }
        slot.1 += 1;
    }

    fn show(&self, second: u64) -> Value {
        let from = second.saturating_sub(RATE_SECONDS);
        let calls: u64 = self.recent.iter().filter(|(s, _)| (from..second).contains(s)).map(|(_, n)| n).sum();
        let seconds = (second - from).max(1);
        json!({ "total": self.total, "per_second": calls as f64 / seconds as f64 })
    }
}

type Counters = BTreeMap<SmolStr, Counter>;

/// Calls by operation, key prefix, client and status.
#[derive(Debug)]
pub struct Stats {
    start: Instant,
    all: Counter,
    operations: Counters,
    prefixes: BTreeMap<SmolStr, Counters>,
    clients: Counters,
    statuses: Counters,
}

impl Stats {
    pub const fn new(start: Instant) -> Self {
        Self {
            start,
            all: Counter { total: 0, recent: [(0, 0); SLOTS] },
            operations: BTreeMap::new(),
            prefixes: BTreeMap::new(),
            clients: BTreeMap::new(),
            statuses: BTreeMap::new(),
        }
    }

    /// Counts a call on arrival.
    pub fn add_call(&mut self, call: &Call, now: Instant) {
        let Call { operation, prefix, client } = call;
        let second = now.saturating_duration_since(self.start).as_secs();
        self.all.add(second);
        self.operations.entry((*operation).into()).or_default().add(second);
        self.prefixes.entry(prefix.into()).or_default().entry((*operation).into()).or_default().add(second);
        self.clients.entry(client.into()).or_default().add(second);
    }

    /// Counts an answer; `lost` stands for none.
    pub fn add_answer(&mut self, status: &str, now: Instant) {
        let second = now.saturating_duration_since(self.start).as_secs();
        self.statuses.entry(status.into()).or_default().add(second);
    }

    /// All counts, with the mean rate of the last ten full seconds.
    pub fn show(&self, now: Instant) -> Value {
        let uptime = now.saturating_duration_since(self.start);
        let show = |counters: &Counters| -> Value {
            counters
                .iter()
                .map(|(name, c)| (name.to_string(), c.show(uptime.as_secs())))
                .collect::<serde_json::Map<_, _>>()
                .into()
        };
        let prefixes: serde_json::Map<_, _> = self.prefixes.iter().map(|(p, c)| (p.to_string(), show(c))).collect();
        json!({
            "uptime_ms": uptime.as_millis() as u64,
            "calls": self.all.show(uptime.as_secs()),
            "by_operation": show(&self.operations),
            "by_prefix": prefixes,
            "by_client": show(&self.clients),
            "by_status": show(&self.statuses),
        })
    }
}
