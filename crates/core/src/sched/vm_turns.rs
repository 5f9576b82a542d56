//! Turns of schedulers at a VM: between orders of two of them about one VM, a time must pass that the platform sets.
//!
//! A scheduler stores which VMs it moves before it sends the orders. The next one leaves just those alone for that time, and
//! moves others at once.

use serde::{Deserialize, Serialize};

use crate::map::Set;
use crate::sched::graph::VmKey;
use crate::sched::maintenance::VM_CALL_LIMIT;
use crate::units::{Millis, MonoTime};

/// VMs that the scheduler of a term, or one before it, may have moved lately, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredMoves {
    /// Number of the term.
    pub term: u32,
    /// VMs; `None` if any VM may have been moved.
    pub vms: Option<Vec<VmKey>>,
}

impl StoredMoves {
    /// What the next term begins with. Without moves that the last term stored, any VM may have been moved.
    #[must_use]
    pub fn for_next(stored: Option<&Self>, term: u32) -> Self {
        let vms = match term {
            0 => Some(Vec::new()),
            _ => stored.filter(|s| s.term.checked_add(1) == Some(term)).and_then(|s| s.vms.clone()),
        };
        Self { term, vms }
    }
}

/// Turns of a term.
#[derive(Clone, Debug)]
pub struct VmTurns {
    term: u32,
    began: MonoTime,
    /// Time that must pass between orders of two schedulers.
    lease: Millis,
    /// VMs that earlier schedulers may have moved until the term began; `None` if it may be any.
    earlier: Option<Set<VmKey>>,
    /// Own moves, each with the time of the order.
    own: Vec<(VmKey, MonoTime)>,
}

impl VmTurns {
    /// Begins the turns of a term with what [`StoredMoves::for_next`] returned.
    #[must_use]
    pub fn new(began: MonoTime, lease: Millis, earlier: StoredMoves) -> Self {
        let vms = earlier.vms.map(|vms| vms.into_iter().collect());
        Self { term: earlier.term, began, lease, earlier: vms, own: Vec::new() }
    }

    /// Whether enough time has passed since earlier schedulers gave orders.
    #[must_use]
    pub fn has_passed(&self, now: MonoTime) -> bool {
        now.since(self.began) >= self.lease
    }

    /// VMs that earlier schedulers may have moved; `None` if it may be any.
    #[must_use]
    pub const fn earlier(&self) -> Option<&Set<VmKey>> {
        self.earlier.as_ref()
    }

    /// Records that VMs are to be moved, and returns what must be stored before the orders are sent.
    pub fn record(&mut self, now: MonoTime, vms: impl IntoIterator<Item = VmKey>) -> StoredMoves {
        // An order may be executed until the end of its call.
        let kept = self.lease + VM_CALL_LIMIT;
        self.own.retain(|(_, at)| now.since(*at) <= kept);
        self.own.extend(vms.into_iter().map(|vm| (vm, now)));
        if now.since(self.began) > kept {
            self.earlier = Some(Set::default());
        }
        let own = || self.own.iter().map(|(vm, _)| vm);
        let vms = self.earlier.as_ref().map(|earlier| {
            let distinct: Set<&VmKey> = earlier.iter().chain(own()).collect();
            distinct.into_iter().cloned().collect()
        });
        StoredMoves { term: self.term, vms }
    }
}
