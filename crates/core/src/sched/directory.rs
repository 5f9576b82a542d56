//! Directory of the workers that have a report in the store, kept up to date from a list and the changes after it.

use crate::map::Map;
use crate::sched::graph::WorkerKey;
use crate::sched::order::WorkerReport;
use crate::units::{Millis, MonoTime};

/// Time without an answer of the store that counts as an outage. Reports of workers don't lapse in a shorter time.
const OUTAGE: Millis = Millis(1_800);

/// Time after an outage in which a missing report does not mean that its worker has left. The platform specifies that
/// workers write their reports again within about two seconds.
const RETURN_LIMIT: Millis = Millis(2_300);

/// Change of a worker in the directory, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerChange {
    /// The worker is new.
    Added(WorkerReport),
    /// The worker is shutting down.
    Draining(WorkerReport),
    /// The report of the worker was removed.
    Gone(WorkerReport),
    /// The report of the worker is missing after an outage and may be written again.
    Missing(WorkerReport),
}

/// The workers that have a report in the store, and those whose reports are missing after an outage.
#[derive(Clone, Debug)]
pub struct Directory {
    reports: Map<WorkerKey, WorkerReport>,
    missing: Map<WorkerKey, WorkerReport>,
    last_answer: MonoTime,
    missing_kept_until: MonoTime,
    is_changed: bool,
}

impl Directory {
    /// A directory without workers.
    #[must_use]
    pub fn new(now: MonoTime) -> Self {
        Self {
            reports: Map::default(),
            missing: Map::default(),
            last_answer: now,
            missing_kept_until: now,
            is_changed: true,
        }
    }

    /// Records that the store answered. After an outage, missing workers are kept for a while.
    pub fn record_answer(&mut self, now: MonoTime) {
        if now.since(self.last_answer) > OUTAGE {
            self.missing_kept_until = now + RETURN_LIMIT;
        }
        self.last_answer = now;
    }

    /// Replaces the directory by a complete list.
    pub fn replace(&mut self, now: MonoTime, reports: Vec<WorkerReport>) -> Vec<WorkerChange> {
        let listed: Map<WorkerKey, WorkerReport> = reports.into_iter().map(|r| (r.key.clone(), r)).collect();
        let gone: Vec<WorkerKey> = self.reports.keys().filter(|key| !listed.contains_key(*key)).cloned().collect();
        let mut changes: Vec<WorkerChange> = gone.iter().filter_map(|key| self.remove(now, key)).collect();
        changes.extend(listed.into_values().filter_map(|report| self.put(report)));
        changes
    }

    /// Adds or updates a worker.
    pub fn put(&mut self, report: WorkerReport) -> Option<WorkerChange> {
        self.missing.remove(&report.key);
        let before = self.reports.insert(report.key.clone(), report.clone());
        if before.as_ref() == Some(&report) {
            return None;
        }
        self.is_changed = true;
        match before {
            None => Some(WorkerChange::Added(report)),
            Some(old) if report.draining && !old.draining => Some(WorkerChange::Draining(report)),
            Some(_) => None,
        }
    }

    /// Removes a worker whose report was deleted, or keeps it as missing after an outage.
    pub fn remove(&mut self, now: MonoTime, key: &WorkerKey) -> Option<WorkerChange> {
        let report = self.reports.remove(key)?;
        if now < self.missing_kept_until {
            self.missing.insert(key.clone(), report.clone());
            return Some(WorkerChange::Missing(report));
        }
        self.is_changed = true;
        Some(WorkerChange::Gone(report))
    }

    /// Removes the workers whose reports were not written again after an outage.
    pub fn drop_missing(&mut self, now: MonoTime) -> Vec<WorkerChange> {
        if now < self.missing_kept_until || self.missing.is_empty() {
            return Vec::new();
        }
        self.is_changed = true;
        std::mem::take(&mut self.missing).into_values().map(WorkerChange::Gone).collect()
    }

    /// Whether the workers have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }

    /// All workers, including the missing ones.
    #[must_use]
    pub fn reports(&self) -> Vec<WorkerReport> {
        self.reports.values().chain(self.missing.values()).cloned().collect()
    }
}
