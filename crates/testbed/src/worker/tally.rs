//! Records of starts and of running tasks, from which tests tell what ran how often.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One start of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Task.
    pub task: SmolStr,
    /// Queue named by the caller.
    pub queue: SmolStr,
    /// Team named by the caller; empty if none.
    pub team: SmolStr,
    /// Mark of the payload.
    pub mark: SmolStr,
    /// Incarnation of the worker.
    pub incarnation: u64,
    /// Time in ms since the Unix epoch.
    pub at_ms: u64,
}

/// Running tasks by team, now and at most. Workers of one process may share one.
#[derive(Clone, Debug, Default)]
pub struct Tally(Arc<Mutex<BTreeMap<SmolStr, Running>>>);

/// Running tasks of a team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// At this moment.
    pub now: u64,
    /// Greatest number seen.
    pub peak: u64,
}

impl Tally {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<SmolStr, Running>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn add(&self, team: &SmolStr) {
        let mut teams = self.lock();
        let running = teams.entry(team.clone()).or_default();
        running.now += 1;
        running.peak = running.peak.max(running.now);
    }

    pub(super) fn remove(&self, team: &SmolStr) {
        if let Some(running) = self.lock().get_mut(team) {
            running.now = running.now.saturating_sub(1);
        }
    }

    /// The counts of all teams.
    #[must_use]
    pub fn show(&self) -> BTreeMap<SmolStr, Running> {
        self.lock().clone()
    }
}
