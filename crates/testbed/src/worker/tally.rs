//! Records of task starts and counts of running tasks, by which tests check what ran and how often.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One start of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Id of the task.
    pub task: SmolStr,
    /// Queue named by the caller.
    pub queue: SmolStr,
    /// Team named by the caller; empty if none.
    pub team: SmolStr,
    /// Mark of the payload; empty if it has none.
    pub mark: SmolStr,
    /// Incarnation of the worker at the start.
    pub incarnation: u64,
    /// Start time in ms since the Unix epoch.
    pub at_ms: u64,
}

/// Current and greatest number of running tasks by team. Clones share the counts, so that the workers of a process can
/// count together.
#[derive(Clone, Debug, Default)]
pub struct Tally(Arc<Mutex<BTreeMap<SmolStr, Running>>>);

/// Number of running tasks of a team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// Current number.
    pub now: u64,
    /// Greatest number so far.
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

    /// Returns the counts of all teams.
    #[must_use]
    pub fn counts(&self) -> BTreeMap<SmolStr, Running> {
        self.lock().clone()
    }
}
