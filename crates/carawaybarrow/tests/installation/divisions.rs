//! Divisions of an installation: entries that are cut off from each other, from the store and from workers.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use carawaybarrow_standin::proxy::PathState;
use carawaybarrow_standin::workers::Reach;

use super::{Entry, Installation};

/// Interval at which proxies follow whether the processes behind them run.
const PROCESS_INTERVAL: Duration = Duration::from_millis(20);

/// Calls that a division affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// All calls between the two sides.
    Both,
    /// Calls of the entries on the smaller side to the others.
    Out,
    /// Calls of the others to the entries on the smaller side.
    In,
}

/// A division of the entries into two sides, which ends by itself.
#[derive(Clone, Debug)]
pub struct Division {
    /// Entries on one side, by index.
    pub side: BTreeSet<usize>,
    /// Calls that are affected.
    pub direction: Direction,
    /// State of the path of these calls.
    pub state: PathState,
    /// Whether `side` also loses the store.
    pub loses_store: bool,
    /// Workers that only `side` reaches, while only the others reach the rest; `None` if all entries reach all workers.
    pub workers: Option<BTreeSet<usize>>,
    /// Time for which the division lasts.
    pub duration: Duration,
}

impl Installation {
    /// Entries of a data centre, by index.
    pub fn entries_of(&self, data_centre: usize) -> BTreeSet<usize> {
        (0..self.entries.len()).filter(|index| self.size.data_centre_of(*index) == data_centre).collect()
    }

    /// Divides the installation, and returns a description.
    pub fn divide(&self, division: &Division) -> String {
        let others: Vec<usize> = (0..self.entries.len()).filter(|index| !division.side.contains(index)).collect();
        for &inside in &division.side {
            for &outside in &others {
                if division.direction != Direction::In {
                    self.cut_pair(inside, outside, division.state, division.duration);
                }
                if division.direction != Direction::Out {
                    self.cut_pair(outside, inside, division.state, division.duration);
                }
            }
            if division.loses_store {
                let proxy = self.entries[inside].lock().expect("the lock is not poisoned").store_proxy.clone();
                proxy.set_path_state(PathState::Silent);
                let duration = division.duration;
                task::spawn(async move {
                    task::sleep(duration).await;
                    proxy.set_path_state(PathState::Open);
                });
            }
        }
        if let Some(workers) = &division.workers {
            self.divide_workers(&division.side, workers, division.duration);
        }
        format!("{division:?}")
    }

    /// Changes the path of the calls of one entry to another for a while.
    pub fn cut_pair(&self, caller: usize, callee: usize, state: PathState, duration: Duration) {
        let proxy = self.entries[callee].lock().expect("the lock is not poisoned").peer_proxy.clone();
        let proxy = proxy.expect("the installation has several data centres");
        let cut = proxy.cut(&format!("e{caller}"), state);
        task::spawn(async move {
            task::sleep(duration).await;
            proxy.end_cut(cut);
        });
    }

    /// Lets only the entries of `side` reach the workers in `workers`, and only the other entries the rest, for a while.
    /// Workers that an earlier division still limits stay as they are, as each division would otherwise cut the one before
    /// short.
    pub fn divide_workers(&self, side: &BTreeSet<usize>, workers: &BTreeSet<usize>, duration: Duration) {
        let names: BTreeSet<String> = side.iter().map(|index| format!("e{index}")).collect();
        for worker in 0..self.worker_proxies.len() {
            let names = names.clone();
            let reach = if workers.contains(&worker) { Reach::Only(names) } else { Reach::AllBut(names) };
            if self.fleet.limit_reach(worker, reach) {
                let fleet = self.fleet.clone();
                task::spawn(async move {
                    task::sleep(duration).await;
                    fleet.set_reach(worker, Reach::All);
                });
            }
        }
    }
}

/// Tells the proxies of entries whether the processes run, until the entries are dropped.
pub(super) fn follow_processes(entries: &[Arc<Mutex<Entry>>]) {
    for entry in entries {
        let entry = Arc::downgrade(entry);
        task::spawn(async move {
            while let Some(entry) = entry.upgrade() {
                if let Ok(mut entry) = entry.lock()
                    && let Some(proxy) = entry.peer_proxy.clone()
                {
                    proxy.set_serving(entry.is_running());
                }
                drop(entry);
                task::sleep(PROCESS_INTERVAL).await;
            }
        });
    }
}
