//! Keys, versions, leases and waiting watches.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use carawaybarrow_core::commit::MAX_VALUE_BYTES;
use carawaybarrow_core::map::Map;
use futures::channel::oneshot;

/// One state of a key.
#[derive(Clone, Debug)]
struct State {
    since: Instant,
    version: u64,
    value: Option<Arc<str>>,
}

#[derive(Debug)]
struct Key {
    now: State,
    lease: Option<u64>,
    /// Earlier states, oldest first; kept only while stale reads are on.
    past: VecDeque<State>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// The key is present.
    Value {
        /// The value.
        value: Arc<str>,
        /// Its version.
        version: u64,
    },
    /// The key is absent.
    Absent {
        /// Version of the delete; 0 if the key was never written.
        version: u64,
    },
}

/// Result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// It took effect.
    Done {
        /// New version.
        version: u64,
    },
    /// The key has another version.
    Conflict {
        /// Current version; 0 if the key is absent.
        version: u64,
    },
    /// The value is too large.
    TooLarge,
    /// The lease has lapsed or was never granted.
    NoLease,
}

/// The contents of the store.
#[derive(Debug, Default)]
pub struct Data {
    keys: BTreeMap<String, Key>,
    leases: Map<u64, Lease>,
    last_lease: u64,
    waiting: Map<String, Vec<oneshot::Sender<()>>>,
    stale: Duration,
}

impl Data {
    /// Reads a key as it was the configured time ago.
    pub fn read(&self, key: &str, now: Instant) -> Read {
        let Some(key) = self.keys.get(key) else { return Read::Absent { version: 0 } };
        let view = now.checked_sub(self.stale);
        let is_visible = |s: &&State| self.stale.is_zero() || view.is_some_and(|v| s.since <= v);
        let state = std::iter::once(&key.now).chain(key.past.iter().rev()).find(is_visible);
        match state {
            Some(State { value: Some(value), version, .. }) => {
                Read::Value { value: Arc::clone(value), version: *version }
            }
            Some(State { version, .. }) => Read::Absent { version: *version },
            None => Read::Absent { version: 0 },
        }
    }

    /// Writes or deletes a key if it has the expected version.
    pub fn write(&mut self, key: &str, expect: u64, value: Option<&str>, lease: Option<u64>, now: Instant) -> Written {
        if value.is_some_and(|v| v.len() > MAX_VALUE_BYTES) {
            return Written::TooLarge;
        }
        let current = match self.keys.get(key) {
            Some(Key { now: State { version, value: Some(_), .. }, .. }) => *version,
            _ => 0,
        };
        if current != expect || (value.is_none() && expect == 0) {
            return Written::Conflict { version: current };
        }
        if lease.is_some_and(|l| !self.leases.contains_key(&l)) {
            return Written::NoLease;
        }
        Written::Done { version: self.set(key, value.map(Arc::from), lease, now) }
    }

    fn set(&mut self, key: &str, value: Option<Arc<str>>, lease: Option<u64>, now: Instant) -> u64 {
        let stale = self.stale;
        let entry = self.keys.entry(key.to_owned()).or_insert_with(|| Key {
            now: State { since: now, version: 0, value: None },
            lease: None,
            past: VecDeque::new(),
        });
        // A deleted key keeps its version, so that a later write can't be taken for an earlier one.
        let version = entry.now.version + 1;
        let old = std::mem::replace(&mut entry.now, State { since: now, version, value });
        entry.lease = lease;
        if stale.is_zero() {
            entry.past.clear();
        } else {
            entry.past.push_back(old);
            // The newest of the states that are older than the lag is still visible.
            while entry.past.get(1).is_some_and(|s| s.since + stale <= now) {
                entry.past.pop_front();
            }
        }
        self.wake(key);
        version
    }

    /// Sets how far reads lag behind.
    pub fn set_stale(&mut self, stale: Duration, now: Instant) {
        for key in self.keys.values_mut() {
            key.past.clear();
            // States before this moment aren't kept, so the current ones count as old.
            if let Some(old) = now.checked_sub(stale) {
                key.now.since = key.now.since.min(old);
            }
        }
        self.stale = stale;
        self.wake_all();
    }

    /// Whether reads lag behind.
    pub const fn is_stale(&self) -> bool {
        !self.stale.is_zero()
    }

    /// Grants a lease.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, ends: now + ttl });
        self.last_lease
    }

    /// Renews a lease; false if it has lapsed.
    pub fn renew(&mut self, lease: u64, now: Instant) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else { return false };
        lease.ends = now + lease.ttl;
        true
    }

    /// Ends a lease and removes its keys; false if it has lapsed.
    pub fn revoke(&mut self, lease: u64, now: Instant) -> bool {
        let known = self.leases.remove(&lease).is_some();
        self.remove_keys(lease, now);
        known
    }

    /// Ends the lapsed leases and removes their keys.
    pub fn sweep(&mut self, now: Instant) {
        let lapsed: Vec<u64> = self.leases.iter().filter(|(_, l)| l.ends <= now).map(|(id, _)| *id).collect();
        for lease in lapsed {
            self.revoke(lease, now);
        }
    }

    fn remove_keys(&mut self, lease: u64, now: Instant) {
        let has_lease = |k: &Key| k.lease == Some(lease) && k.now.value.is_some();
        let keys: Vec<String> = self.keys.iter().filter(|(_, k)| has_lease(k)).map(|(name, _)| name.clone()).collect();
        for key in keys {
            self.set(&key, None, None, now);
        }
    }

    /// A signal that comes when the key is written.
    pub fn wait_for(&mut self, key: &str) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let waiting = self.waiting.entry(key.to_owned()).or_default();
        waiting.retain(|tx| !tx.is_canceled());
        waiting.push(tx);
        rx
    }

    fn wake(&mut self, key: &str) {
        for tx in self.waiting.remove(key).into_iter().flatten() {
            // A watch that has ended no longer listens.
            let _ = tx.send(());
        }
    }

    /// Wakes all watches.
    pub fn wake_all(&mut self) {
        self.waiting.clear();
    }
}
