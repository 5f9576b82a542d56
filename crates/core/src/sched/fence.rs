//! Fencing of the last term by an entry that is not its successor.
//!
//! A scheduler that has lost the store may act for a minute while the entries that it lists confirm its term, so an entry that
//! it does not list can't tell by waiting less whether it still acts. But it starts tasks and extends leases only on workers
//! that its stored recovery set names, and without the store only in the incarnations named there. It can't store another set
//! once its term has ended. When each of them refuses its orders, because it has seen a higher token, or has ended, the
//! scheduler can't act any more, and a later term may begin.

use crate::map::Map;
use crate::sched::graph::WorkerKey;
use crate::sched::maintenance::{Vm, VmState};
use crate::sched::order::WorkerReport;
use crate::sched::recovery::VM_LIST_LAG;
use crate::units::{Millis, MonoTime};

/// Time without a scheduler after which an entry that is no successor fences the last term. Successors, also weaker ones,
/// come first.
pub const FENCING_DELAY: Millis = Millis(1_500);

/// Time since the store is last known to have held a term, in which no entry has fenced it. It is shorter than
/// [`FENCING_DELAY`] by more than clocks differ in that time.
pub const UNFENCED_TIME: Millis = Millis(1_000);

/// Minimum time between attempts of an entry to fence the last term.
const MIN_ATTEMPT_INTERVAL: Millis = Millis(500);

/// Time by which that interval is longer for each other entry. Together they make at most 50 attempts a second, each of which takes
/// up to ten calls of the store.
const INTERVAL_PER_ENTRY: Millis = Millis(20);

/// Time between attempts of an entry to fence the last term. All entries may be waiting.
#[must_use]
pub const fn attempt_interval(other_entries: usize) -> Millis {
    Millis(MIN_ATTEMPT_INTERVAL.0 + spread(other_entries).0)
}

/// Time over which the first attempts of the entries are spread, so that most of them find that another one fences.
#[must_use]
pub const fn spread(other_entries: usize) -> Millis {
    Millis(INTERVAL_PER_ENTRY.0.saturating_mul(other_entries as u64))
}

/// Workers on which the scheduler of the last term may still act.
#[derive(Clone, Debug)]
pub struct Fence {
    /// Time by which the term had ended.
    ended_by: MonoTime,
    outstanding: Map<WorkerKey, WorkerReport>,
}

impl Fence {
    /// Creates the state for a recovery set that was read after the term had ended. Returns `None` if it names a worker
    /// without an incarnation, which could restart unnoticed.
    #[must_use]
    pub fn new(ended_by: MonoTime, recovery_set: Vec<WorkerReport>) -> Option<Self> {
        if recovery_set.iter().any(|report| report.incarnation.is_none()) {
            return None;
        }
        let outstanding = recovery_set.into_iter().map(|report| (report.key.clone(), report)).collect();
        Some(Self { ended_by, outstanding })
    }

    /// Workers that must still be asked.
    #[must_use]
    pub fn outstanding(&self) -> Vec<WorkerReport> {
        self.outstanding.values().cloned().collect()
    }

    /// Records that a worker has seen a higher token than that of the term, or that another one has its address.
    pub fn record_answer(&mut self, worker: &WorkerKey) {
        self.outstanding.remove(worker);
    }

    /// Applies a list of VMs that was requested at a time. A worker has ended if its VM is not up, runs another worker or
    /// is not listed. As the list lags, one from just after the end of the term may show the time before a worker started.
    pub fn apply_vm_list(&mut self, requested: MonoTime, vms: &[Vm]) {
        if vms.is_empty() || requested.since(self.ended_by) <= VM_LIST_LAG {
            return;
        }
        let by_key: Map<_, &Vm> = vms.iter().map(|vm| (&vm.key, vm)).collect();
        self.outstanding.retain(|worker, report| {
            let Some(key) = &report.vm else { return true };
            by_key.get(key).is_some_and(|vm| {
                let has_other = vm.worker.as_ref().is_some_and(|w| w != worker);
                vm.state == VmState::Up && !has_other
            })
        });
    }

    /// Whether the scheduler of the term can't act any more.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.outstanding.is_empty()
    }
}
