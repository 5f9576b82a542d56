//! Preference among entries for the role of the scheduler, as their VMs may differ in CPU and bandwidth. Entries are
//! the processes of the manager, one of which schedules.

use serde::{Deserialize, Serialize};

use crate::units::Millis;

/// Delay before a weaker entry takes over as scheduler. It lets stronger entries probe the store twice.
pub const TAKEOVER_DELAY: Millis = Millis(1_200);

/// Minimum age of a weaker entry's term before a stronger entry requests a handover. A change of scheduler costs about
/// half a second, so entries that join and leave often must not cause one each time.
pub const HANDOVER_AGE: Millis = Millis(3_000);

/// Time between probes of the store by an entry. A change of the configuration is in force there after at most this time and
/// one answer.
pub const PROBE_INTERVAL: Millis = Millis(500);

/// Minimum time between its probes while the scheduler is lost and its lease may lapse.
const WATCH_INTERVAL: Millis = Millis(100);

/// The same for each other entry. If all entries are equal, they make at most 340 probes a second together, or the usual
/// number; 301 that probed each 100 ms used up the calls that the store accepts.
const WATCH_INTERVAL_PER_ENTRY: Millis = Millis(3);

/// CPU of an entry, in percent of another's, from which it counts as clearly stronger.
const CLEARLY_STRONGER_PERCENT: u64 = 150;

/// Time between probes by an entry that would take over at once, while the scheduler is lost. All entries may be among those.
#[must_use]
pub fn watch_interval(other_entries: usize) -> Millis {
    Millis(WATCH_INTERVAL_PER_ENTRY.0.saturating_mul(other_entries as u64)).clamp(WATCH_INTERVAL, PROBE_INTERVAL)
}

/// Resources of an entry's VM that limit scheduling.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strength {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Bandwidth of its network link in kilobits per second.
    pub link_kbps: u64,
}

/// Age of a term from which another entry that knows a different scheduler knows a later one. It is longer than the age
/// of what an entry knows that has just heard from the store.
const MIN_DEPOSED_AGE: Millis = Millis(1_000);

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

/// What another entry knows of a term that a scheduler asks about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TermAnswer {
    /// A later term has begun.
    Over,
    /// It has just heard from the store, which names no scheduler or one of another term. The term is over unless it has
    /// just begun.
    NotCurrent,
    /// It has heard this long ago from the store that the term goes on.
    Current {
        /// Age of the proof.
        age: Millis,
    },
    /// It has lost the store, and has neither begun a later term nor heard of one.
    StoreLost,
    /// It can't tell.
    Unknown,
    /// No answer came. Its process may run nevertheless, also if a connection was refused: a cut may refuse connections.
    Silent,
}

/// What the answers of other entries mean for a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TermState {
    /// The term is over.
    Over,
    /// The store held the term this long before the entries were asked.
    Proved(Millis),
    /// No later term had begun this long before the entries were asked, by the answers of entries that have lost the store.
    Confirmed(Millis),
    /// A later term may have begun.
    Unconfirmed,
}

impl TermState {
    /// Judges what entries that have just heard from the store, or of a later term, answer when the term was as old as
    /// `term_age`. One of them is enough.
    #[must_use]
    pub fn judge_proofs(answers: &[TermAnswer], term_age: Millis) -> Self {
        let is_over = |answer: &TermAnswer| match answer {
            TermAnswer::Over => true,
            TermAnswer::NotCurrent => term_age >= MIN_DEPOSED_AGE,
            _ => false,
        };
        if answers.iter().any(is_over) {
            return Self::Over;
        }
        let proofs = answers.iter().filter_map(|a| if let TermAnswer::Current { age } = a { Some(*age) } else { None });
        proofs.min().map_or(Self::Unconfirmed, Self::Proved)
    }
}

/// Answer of another entry to a request for relief: that it ends the lease of a scheduler without the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReliefAnswer {
    /// It has ended the lease and takes over.
    Ended,
    /// It has just heard from the store, which names another scheduler or none.
    OtherTerm,
    /// It has lost the store too, or can't tell.
    NoStore,
    /// Its process does not run.
    NotRunning,
    /// No answer came.
    Silent,
}

/// What the answers to requests for relief mean for the term of a scheduler that has lost the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReliefOutcome {
    /// Another entry has ended the lease and takes over.
    Granted,
    /// The term is over.
    Deposed,
    /// No entry answered, although at least one may run. The scheduler may be cut off, and another entry may take over.
    CutOff,
    /// The answers tell nothing. That some entries have lost the store too does not say that all have.
    Unknown,
}

impl ReliefOutcome {
    /// Judges the answers to requests that were sent at the same time, when the term was as old as `term_age`.
    #[must_use]
    pub fn judge(answers: &[ReliefAnswer], term_age: Millis) -> Self {
        let has = |answer| answers.contains(&answer);
        if has(ReliefAnswer::Ended) {
            Self::Granted
        } else if has(ReliefAnswer::OtherTerm) {
            // An entry may not have heard of a term that has just begun.
            if term_age >= MIN_DEPOSED_AGE { Self::Deposed } else { Self::Unknown }
        } else if has(ReliefAnswer::Silent) && !has(ReliefAnswer::NoStore) {
            Self::CutOff
        } else {
            Self::Unknown
        }
    }
}
