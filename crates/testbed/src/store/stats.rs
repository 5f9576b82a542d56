//! Statistics of calls.

use std::collections::BTreeMap;
use std::time::Instant;

use serde_json::{Value, json};
use smol_str::SmolStr;

use super::faults::Call;

/// Number of complete seconds over which the rate is averaged.
const RATE_SECONDS: u64 = 10;

/// One slot for each second of the average and one for the current second.
const SLOT_COUNT: usize = RATE_SECONDS as usize + 1;

#[derive(Clone, Debug, Default)]
struct Counter {
    total: u64,
    /// Ring buffer of seconds since the start, each with the number of calls in it.
    recent: [(u64, u64); SLOT_COUNT],
}

impl Counter {
    fn add(&mut self, second: u64) {
        self.total += 1;
        let slot = &mut self.recent[(second % SLOT_COUNT as u64) as usize];
        if slot.0 != second {
            *slot = (second, 0);
        }
        slot.1 += 1;
    }

    fn to_json(&self, second: u64) -> Value {
        let from = second.saturating_sub(RATE_SECONDS);
        let calls: u64 = self.recent.iter().filter(|(s, _)| (from..second).contains(s)).map(|(_, n)| n).sum();
        let seconds = (second - from).max(1);
        json!({ "total": self.total, "per_second": calls as f64 / seconds as f64 })
    }
}

type Counters = BTreeMap<SmolStr, Counter>;

/// Number of calls by operation, key prefix, client and status.
#[derive(Debug)]
pub struct Stats {
    started_at: Instant,
    all_calls: Counter,
    operations: Counters,
    prefixes: BTreeMap<SmolStr, Counters>,
    clients: Counters,
    statuses: Counters,
}

impl Stats {
    pub const fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            all_calls: Counter { total: 0, recent: [(0, 0); SLOT_COUNT] },
            operations: BTreeMap::new(),
            prefixes: BTreeMap::new(),
            clients: BTreeMap::new(),
            statuses: BTreeMap::new(),
        }
    }

    /// Counts a call on arrival.
    pub fn add_call(&mut self, call: &Call, now: Instant) {
        let Call { operation, prefix, client } = call;
        let second = now.saturating_duration_since(self.started_at).as_secs();
        self.all_calls.add(second);
        self.operations.entry((*operation).into()).or_default().add(second);
        self.prefixes.entry(prefix.into()).or_default().entry((*operation).into()).or_default().add(second);
        self.clients.entry(client.into()).or_default().add(second);
    }

    /// Counts an answer by its status, or by `lost` if it isn't sent.
    pub fn add_answer(&mut self, status: &str, now: Instant) {
        let second = now.saturating_duration_since(self.started_at).as_secs();
        self.statuses.entry(status.into()).or_default().add(second);
    }

    /// Returns all counts, each with the mean rate of the last ten complete seconds.
    pub fn to_json(&self, now: Instant) -> Value {
        let uptime = now.saturating_duration_since(self.started_at);
        let show_counters = |counters: &Counters| -> Value {
            counters
                .iter()
                .map(|(name, c)| (name.to_string(), c.to_json(uptime.as_secs())))
                .collect::<serde_json::Map<_, _>>()
                .into()
        };
        let prefixes: serde_json::Map<_, _> =
            self.prefixes.iter().map(|(p, c)| (p.to_string(), show_counters(c))).collect();
        json!({
            "uptime_ms": uptime.as_millis() as u64,
            "calls": self.all_calls.to_json(uptime.as_secs()),
            "by_operation": show_counters(&self.operations),
            "by_prefix": prefixes,
            "by_client": show_counters(&self.clients),
            "by_status": show_counters(&self.statuses),
        })
    }
}
