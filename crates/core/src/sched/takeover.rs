//! When the schedulers before a new term have stopped, although the last one gives no answer.
//!
//! A scheduler acts for [`CONFIRMATION_LIMIT`] after the last time as of which its term was confirmed. Only a renewal of its
//! lease and the answers of entries that its stored succession names confirm a term. The lease lapsed, so it had not been
//! renewed since one lease length before. Each of those entries says how long it has confirmed no term. A new scheduler
//! that knows both need not assume that the last one was confirmed just before the new term began.
//!
//! [`CONFIRMATION_LIMIT`]: crate::sched::scheduler::CONFIRMATION_LIMIT

use std::net::SocketAddr;

use crate::map::Set;
use crate::sched::recovery::PREVIOUS_TERM_OVERRUN;
use crate::sched::succession::{SLOWEST_CLOCK_PERCENT, Succession};
use crate::units::{Millis, MonoTime};

/// What a new scheduler knows about the time at which the last scheduler stops.
#[derive(Clone, Debug)]
pub struct LastStop {
    /// Entries that may have confirmed the last term and have not told when.
    outstanding: Set<SocketAddr>,
    /// Time by which the last scheduler has stopped, unless an outstanding entry confirmed its term later.
    stops_by: MonoTime,
}

impl LastStop {
    /// Creates the state after the lease of the last scheduler lapsed by itself, at `lapsed_by` at the latest. `lease` is its
    /// length. Returns `None` if the succession names nobody: such a scheduler needs no answers.
    #[must_use]
    pub fn new(lapsed_by: MonoTime, lease: Millis, succession: &Succession) -> Option<Self> {
        if succession.successors.is_empty() {
            return None;
        }
        let unrenewed = Millis(lease.0 * SLOWEST_CLOCK_PERCENT / 100);
        let outstanding = succession.successors.iter().chain(&succession.listed).copied().collect();
        Some(Self { outstanding, stops_by: stop_after(lapsed_by, unrenewed) })
    }

    /// Applies the answer of an entry that knows of the new term and so confirms no earlier one any more. `quiet` is the time
    /// for which it has confirmed no term; `None` if it can't tell.
    pub fn apply_answer(&mut self, entry: &SocketAddr, received: MonoTime, quiet: Option<Millis>) {
        let Some(quiet) = quiet else { return };
        if self.outstanding.remove(entry) {
            let quiet = Millis(quiet.0 * SLOWEST_CLOCK_PERCENT / 100);
            self.stops_by = self.stops_by.max(stop_after(received, quiet));
        }
    }

    /// Time by which the last scheduler has stopped; `None` while an entry that may have confirmed its term has not answered.
    #[must_use]
    pub fn stops_by(&self) -> Option<MonoTime> {
        self.outstanding.is_empty().then_some(self.stops_by)
    }
}

/// Time by which a scheduler has stopped if its term was not confirmed for `unconfirmed` before `at`.
fn stop_after(at: MonoTime, unconfirmed: Millis) -> MonoTime {
    MonoTime((at + PREVIOUS_TERM_OVERRUN).0.saturating_sub(unconfirmed.0))
}

/// When an entry last confirmed a term to a scheduler that asked.
#[derive(Clone, Copy, Debug)]
pub struct GivenConfirmations {
    /// Time of the last one. An earlier process of the entry may have given one until this one started.
    last: MonoTime,
}

impl GivenConfirmations {
    /// Creates the state of a process that started at a time.
    #[must_use]
    pub const fn new(started: MonoTime) -> Self {
        Self { last: started }
    }

    /// Records that a term is confirmed now.
    pub fn record(&mut self, now: MonoTime) {
        self.last = self.last.max(now);
    }

    /// Time for which the entry has confirmed no term.
    #[must_use]
    pub fn quiet(&self, now: MonoTime) -> Millis {
        now.since(self.last)
    }
}
