//! Which entry should schedule, where entries have unequal VMs.

use serde::{Deserialize, Serialize};

use crate::units::Millis;

/// Time for which an entry leaves the scheduler's place to stronger ones: two of their looks at the store.
pub const STAND_BACK: Millis = Millis(1_200);

/// Age of a term from which on a stronger entry asks for it. A change of scheduler costs about half a second, so
/// entries that come and go must not cause one each time.
pub const HANDOVER_AGE: Millis = Millis(3_000);

/// Processor of an entry in percent of another one's from which on it is clearly stronger.
const CLEARLY_STRONGER_PERCENT: u64 = 150;

/// What an entry's VM has for the work of scheduling.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strength {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Bandwidth of its link in kilobits a second.
    pub link_kbps: u64,
}

impl Strength {
    /// Whether scheduling goes clearly better here than there.
    #[must_use]
    pub const fn is_clearly_above(&self, other: &Self) -> bool {
        self.cpu * 100 >= other.cpu * CLEARLY_STRONGER_PERCENT && self.link_kbps >= other.link_kbps
    }

    /// Time in which the link moves a number of bytes when it does nothing else.
    #[must_use]
    pub const fn transfer_time(&self, bytes: u64) -> Millis {
        Millis(bytes * 8 / if self.link_kbps == 0 { 1 } else { self.link_kbps })
    }

    /// Time for which the place of the scheduler must have been free before an entry of this strength takes it.
    #[must_use]
    pub fn stand_back(&self, others: &[Self]) -> Millis {
        if others.iter().any(|other| other.is_clearly_above(self)) { STAND_BACK } else { Millis(0) }
    }
}
