//! Contents of the store: keys with versions, leases, and watches that wait for a change.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use carawaybarrow_core::commit::MAX_VALUE_BYTES;
use carawaybarrow_core::map::Map;
use futures::channel::oneshot;

/// Value of a key from one write to the next; no value if the key was deleted.
#[derive(Clone, Debug)]
struct KeyState {
    since: Instant,
    version: u64,
    value: Option<Arc<str>>,
}

#[derive(Debug)]
struct KeyRecord {
    current: KeyState,
    lease: Option<u64>,
    /// Earlier states, oldest first; kept only while reads lag behind.
    history: VecDeque<KeyState>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The key exists.
    Value {
        /// Value of the key.
        value: Arc<str>,
        /// Version of the value.
        version: u64,
    },
    /// The key doesn't exist.
    Absent {
        /// Version of the delete; 0 if the key was never written.
        version: u64,
    },
}

/// Result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Done {
        /// New version of the key.
        version: u64,
    },
    /// The key doesn't have the expected version.
    Conflict {
        /// Current version; 0 if the key doesn't exist.
        version: u64,
    },
    /// The value has more than `MAX_VALUE_BYTES`.
    TooLarge,
    /// The lease has expired, was revoked or was never granted.
    NoLease,
}

/// Contents of the store.
#[derive(Debug, Default)]
pub struct StoreState {
    keys: BTreeMap<String, KeyRecord>,
    leases: Map<u64, Lease>,
    last_lease_id: u64,
    watchers: Map<String, Vec<oneshot::Sender<()>>>,
    read_lag: Duration,
}

impl StoreState {
    /// Reads a key as it was the configured lag ago.
    pub fn read(&self, key: &str, now: Instant) -> ReadOutcome {
        let Some(key) = self.keys.get(key) else { return ReadOutcome::Absent { version: 0 } };
        let as_of = now.checked_sub(self.read_lag);
        let is_visible = |s: &&KeyState| self.read_lag.is_zero() || as_of.is_some_and(|v| s.since <= v);
        let visible = std::iter::once(&key.current).chain(key.history.iter().rev()).find(is_visible);
        match visible {
            Some(KeyState { value: Some(value), version, .. }) => {
                ReadOutcome::Value { value: Arc::clone(value), version: *version }
            }
            Some(KeyState { version, .. }) => ReadOutcome::Absent { version: *version },
            None => ReadOutcome::Absent { version: 0 },
        }
    }

    /// Writes a key, or deletes it without a value, if it has the expected version; 0 expects that it doesn't exist.
    ///
    /// With a lease, the key is removed when the lease ends.
    pub fn write(
        &mut self,
        key: &str,
        expect: u64,
        value: Option<&str>,
        lease: Option<u64>,
        now: Instant,
    ) -> WriteOutcome {
        if value.is_some_and(|v| v.len() > MAX_VALUE_BYTES) {
            return WriteOutcome::TooLarge;
        }
        let current = match self.keys.get(key) {
            Some(KeyRecord { current: KeyState { version, value: Some(_), .. }, .. }) => *version,
            _ => 0,
        };
        if current != expect || (value.is_none() && expect == 0) {
            return WriteOutcome::Conflict { version: current };
        }
        if lease.is_some_and(|l| !self.leases.contains_key(&l)) {
            return WriteOutcome::NoLease;
        }
        WriteOutcome::Done { version: self.set(key, value.map(Arc::from), lease, now) }
    }

    fn set(&mut self, key: &str, value: Option<Arc<str>>, lease: Option<u64>, now: Instant) -> u64 {
        let read_lag = self.read_lag;
        let entry = self.keys.entry(key.to_owned()).or_insert_with(|| KeyRecord {
            current: KeyState { since: now, version: 0, value: None },
            lease: None,
            history: VecDeque::new(),
        });
        // Versions continue after a delete, so that no two writes of a key get the same version.
        let version = entry.current.version + 1;
        let old = std::mem::replace(&mut entry.current, KeyState { since: now, version, value });
        entry.lease = lease;
        if read_lag.is_zero() {
            entry.history.clear();
        } else {
            entry.history.push_back(old);
            // The newest of the states that are older than the lag is still visible to reads.
            while entry.history.get(1).is_some_and(|s| s.since + read_lag <= now) {
                entry.history.pop_front();
            }
        }
        self.notify_watchers(key);
        version
    }

    /// Sets how far reads lag behind writes.
    pub fn set_read_lag(&mut self, read_lag: Duration, now: Instant) {
        for key in self.keys.values_mut() {
            key.history.clear();
            // Earlier states weren't recorded, so the current state is dated back to remain visible.
            if let Some(old) = now.checked_sub(read_lag) {
                key.current.since = key.current.since.min(old);
            }
        }
        self.read_lag = read_lag;
        self.notify_all_watchers();
    }

    /// Whether reads lag behind writes.
    pub const fn has_read_lag(&self) -> bool {
        !self.read_lag.is_zero()
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease_id += 1;
        self.leases.insert(self.last_lease_id, Lease { ttl, expires_at: now + ttl });
        self.last_lease_id
    }

    /// Renews a lease; returns false if it has expired or is unknown.
    pub fn renew(&mut self, lease: u64, now: Instant) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else { return false };
        lease.expires_at = now + lease.ttl;
        true
    }

    /// Ends a lease and removes its keys; returns false if it has expired or is unknown.
    pub fn revoke(&mut self, lease: u64, now: Instant) -> bool {
        let is_known = self.leases.remove(&lease).is_some();
        self.remove_leased_keys(lease, now);
        is_known
    }

    /// Ends the expired leases and removes their keys.
    pub fn remove_expired_leases(&mut self, now: Instant) {
        let expired: Vec<u64> = self.leases.iter().filter(|(_, l)| l.expires_at <= now).map(|(id, _)| *id).collect();
        for lease in expired {
            self.revoke(lease, now);
        }
    }

    fn remove_leased_keys(&mut self, lease: u64, now: Instant) {
        let has_lease = |k: &KeyRecord| k.lease == Some(lease) && k.current.value.is_some();
        let keys: Vec<String> = self.keys.iter().filter(|(_, k)| has_lease(k)).map(|(name, _)| name.clone()).collect();
        for key in keys {
            self.set(&key, None, None, now);
        }
    }

    /// Returns a receiver that completes when the key is written or deleted, or all watchers are notified.
    pub fn subscribe(&mut self, key: &str) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let watchers = self.watchers.entry(key.to_owned()).or_default();
        watchers.retain(|tx| !tx.is_canceled());
        watchers.push(tx);
        rx
    }

    fn notify_watchers(&mut self, key: &str) {
        for tx in self.watchers.remove(key).into_iter().flatten() {
            // Sending fails if the watch has ended, which needs no handling.
            let _ = tx.send(());
        }
    }

    /// Wakes all watchers by dropping their senders.
    pub fn notify_all_watchers(&mut self) {
        self.watchers.clear();
    }
}
