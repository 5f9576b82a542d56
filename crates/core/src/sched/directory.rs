//! The workers that the store lists, kept up to date from a list and the changes after it.

use crate::map::Map;
use crate::sched::graph::WorkerKey;
use crate::sched::order::WorkerReport;
use crate::units::{Millis, MonoTime};

/// Time without an answer of the store that counts as an outage. Shorter ones are too short for entries to lapse.
const OUTAGE: Millis = Millis(1_800);

/// Time after an outage in which a missing entry does not mean that its worker has left: entries are back within
/// about two seconds, as the platform states it.
const RETURN_LIMIT: Millis = Millis(2_300);

/// A change of the directory, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Listing {
    /// A worker is new.
    Listed(WorkerReport),
    /// A worker shuts down.
    Drains(WorkerReport),
    /// The entry of a worker is gone.
    Left(WorkerReport),
    /// The entry of a worker is missing after an outage and may come back.
    Missing(WorkerReport),
}

/// The workers that the store lists.
#[derive(Clone, Debug)]
pub struct Directory {
    reports: Map<WorkerKey, WorkerReport>,
    missing: Map<WorkerKey, WorkerReport>,
    heard: MonoTime,
    keeps_until: MonoTime,
    is_changed: bool,
}

impl Directory {
    /// A directory without workers.
    #[must_use]
    pub fn new(now: MonoTime) -> Self {
        Self { reports: Map::default(), missing: Map::default(), heard: now, keeps_until: now, is_changed: true }
    }

    /// Notes an answer of the store.
    pub fn note_answer(&mut self, now: MonoTime) {
        if now.since(self.heard) > OUTAGE {
            self.keeps_until = now + RETURN_LIMIT;
        }
        self.heard = now;
    }

    /// Takes a whole list.
    pub fn replace(&mut self, now: MonoTime, reports: Vec<WorkerReport>) -> Vec<Listing> {
        let listed: Map<WorkerKey, WorkerReport> = reports.into_iter().map(|r| (r.key.clone(), r)).collect();
        let gone: Vec<WorkerKey> = self.reports.keys().filter(|key| !listed.contains_key(*key)).cloned().collect();
        let mut changes: Vec<Listing> = gone.iter().filter_map(|key| self.remove(now, key)).collect();
        changes.extend(listed.into_values().filter_map(|report| self.put(report)));
        changes
    }

    /// Takes an entry as it was written.
    pub fn put(&mut self, report: WorkerReport) -> Option<Listing> {
        self.missing.remove(&report.key);
        let before = self.reports.insert(report.key.clone(), report.clone());
        if before.as_ref() == Some(&report) {
            return None;
        }
        self.is_changed = true;
        match before {
            None => Some(Listing::Listed(report)),
            Some(old) if report.draining && !old.draining => Some(Listing::Drains(report)),
            Some(_) => None,
        }
    }

    /// Takes the removal of an entry.
    pub fn remove(&mut self, now: MonoTime, key: &WorkerKey) -> Option<Listing> {
        let report = self.reports.remove(key)?;
        if now < self.keeps_until {
            self.missing.insert(key.clone(), report.clone());
            return Some(Listing::Missing(report));
        }
        self.is_changed = true;
        Some(Listing::Left(report))
    }

    /// Gives up the workers whose entries have not come back after an outage.
    pub fn drop_missing(&mut self, now: MonoTime) -> Vec<Listing> {
        if now < self.keeps_until || self.missing.is_empty() {
            return Vec::new();
        }
        self.is_changed = true;
        std::mem::take(&mut self.missing).into_values().map(Listing::Left).collect()
    }

    /// Whether the workers have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }

    /// All workers.
    #[must_use]
    pub fn reports(&self) -> Vec<WorkerReport> {
        self.reports.values().chain(self.missing.values()).cloned().collect()
    }
}
