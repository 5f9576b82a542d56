//! Preference among entries for the role of the scheduler, as their VMs may differ in CPU and bandwidth. Entries are
//! the processes of the manager, one of which schedules.

use serde::{Deserialize, Serialize};

use crate::units::Millis;

/// Delay before a weaker entry takes over as scheduler. It lets stronger entries probe the store twice.
pub const TAKEOVER_DELAY: Millis = Millis(1_200);

/// Minimum age of a weaker entry's term before a stronger entry requests a handover. A change of scheduler costs about
/// half a second, so entries that join and leave often must not cause one each time.
pub const HANDOVER_AGE: Millis = Millis(3_000);

/// CPU of an entry, in percent of another's, from which it counts as clearly stronger.
const CLEARLY_STRONGER_PERCENT: u64 = 150;

/// Resources of an entry's VM that limit scheduling.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strength {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Bandwidth of its network link in kilobits per second.
    pub link_kbps: u64,
}

impl Strength {
    /// Whether this entry has clearly more CPU than the other, and at least its bandwidth.
    #[must_use]
    pub const fn is_clearly_stronger_than(&self, other: &Self) -> bool {
        self.cpu * 100 >= other.cpu * CLEARLY_STRONGER_PERCENT && self.link_kbps >= other.link_kbps
    }

    /// Time to transfer a number of bytes over an otherwise idle link.
    #[must_use]
    pub const fn transfer_time(&self, bytes: u64) -> Millis {
        Millis(bytes * 8 / if self.link_kbps == 0 { 1 } else { self.link_kbps })
    }

    /// Time for which there must have been no scheduler before an entry of this strength takes over.
    #[must_use]
    pub fn takeover_delay(&self, others: &[Self]) -> Millis {
        if others.iter().any(|other| other.is_clearly_stronger_than(self)) { TAKEOVER_DELAY } else { Millis(0) }
    }
}
