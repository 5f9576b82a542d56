//! Succession of schedulers: which entries may begin the next term and when, and whose answers confirm a term that has
//! lost the store.
//!
//! Few entries, the successors, may begin the next term at any time, so only they must confirm the present one. Any
//! other entry waits, once there is no scheduler. The store knew the scheduler when it last answered it, so the wait began
//! later, and until it can have ended, the successors alone confirm the term.

use std::cmp::Reverse;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::map::Map;
use crate::sched::candidacy::{Strength, TermAnswer, TermState};
use crate::units::{Millis, MonoTime};

/// Number of successors. All of them are seldom lost together with the scheduler, and one that is silent pauses starts in
/// an outage of the store, which is the likelier, the more there are.
pub const SUCCESSORS: usize = 4;

/// Time without a scheduler after which an entry that the scheduler lists, but that is no successor, begins a term.
pub const LISTED_DELAY: Millis = Millis(6_000);

/// Time without a scheduler after which an entry that the scheduler does not list begins a term.
pub const UNLISTED_DELAY: Millis = Millis(60_000);

/// Slowest rate of the clock of one entry or of the store relative to that of another, in percent.
pub(super) const SLOWEST_CLOCK_PERCENT: u64 = 96;

/// An entry that may become a successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Address for other entries.
    pub peers: SocketAddr,
    /// CPU and bandwidth of its VM.
    pub strength: Strength,
    /// Its data centre; `None` for an entry of a version without succession.
    pub data_centre: Option<SmolStr>,
}

/// Entries that may begin the term after a given one. It is stored with the term, and replaced only during it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Succession {
    /// Number of the term.
    pub term: u32,
    /// Entries that may begin the next term as soon as there is no scheduler.
    pub successors: Vec<SocketAddr>,
    /// Other entries that the scheduler knows.
    pub listed: Vec<SocketAddr>,
}

impl Succession {
    /// Chooses the successors of a scheduler: entries that are not clearly weaker than another one, spread over the data
    /// centres. `is_fit` says whether an entry is expected to answer; the others are chosen only if there are too few.
    ///
    /// An entry of a version without succession does not wait, so all of them become successors.
    #[must_use]
    pub fn choose(term: u32, candidates: &[Candidate], is_fit: impl Fn(&SocketAddr) -> bool) -> Self {
        let strongest = candidates.iter().map(|c| c.strength).max_by_key(|s| (s.cpu, s.link_kbps)).unwrap_or_default();
        let mut ranked: Vec<_> = candidates
            .iter()
            .filter_map(|c| {
                let data_centre = c.data_centre.as_ref()?;
                let rank = (!is_fit(&c.peers), strongest.is_clearly_stronger_than(&c.strength));
                Some((rank, Reverse((c.strength.cpu, c.strength.link_kbps)), c.peers, data_centre))
            })
            .collect();
        ranked.sort_unstable();
        // The second entry of a data centre comes after the first entries of the others of its rank.
        let mut in_data_centre: Map<&SmolStr, usize> = Map::default();
        let mut spread: Vec<_> = ranked
            .into_iter()
            .map(|(rank, strength, peers, data_centre)| {
                let before = in_data_centre.entry(data_centre).or_default();
                *before += 1;
                (rank, *before, strength, peers)
            })
            .collect();
        spread.sort_unstable();
        let mut entries = spread.into_iter().map(|(.., peers)| peers);
        let mut successors: Vec<SocketAddr> = entries.by_ref().take(SUCCESSORS).collect();
        let mut earlier: Vec<SocketAddr> =
            candidates.iter().filter(|c| c.data_centre.is_none()).map(|c| c.peers).collect();
        earlier.sort_unstable();
        successors.extend(earlier);
        Self { term, successors, listed: entries.collect() }
    }

    /// Whether it names an entry.
    #[must_use]
    pub fn names(&self, entry: &SocketAddr) -> bool {
        self.successors.contains(entry) || self.listed.contains(entry)
    }

    /// Time without a scheduler after which an entry may begin the next term. A scheduler that knew no other entry, as at the
    /// start of an installation, can't tell whether an entry that is not listed is new.
    #[must_use]
    pub fn delay_of(&self, entry: &SocketAddr) -> Millis {
        if self.successors.contains(entry) {
            Millis(0)
        } else if self.listed.contains(entry) || self.successors.is_empty() {
            LISTED_DELAY
        } else {
            UNLISTED_DELAY
        }
    }
}

/// What a scheduler knows of the stored succession of its term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownSuccession {
    stored: Succession,
    /// Later ones whose writes were not answered. The store holds one of all these.
    unanswered: Vec<Succession>,
}

impl KnownSuccession {
    /// Creates the state of a term that began with a succession.
    #[must_use]
    pub const fn new(stored: Succession) -> Self {
        Self { stored, unanswered: Vec::new() }
    }

    /// Whether the store holds a succession for sure.
    #[must_use]
    pub fn is_stored(&self, succession: &Succession) -> bool {
        self.unanswered.is_empty() && self.stored == *succession
    }

    /// Records that a write of a later one is sent.
    pub fn record_write(&mut self, succession: Succession) {
        if !self.unanswered.contains(&succession) {
            self.unanswered.push(succession);
        }
    }

    /// Records that the store holds a succession, and that no earlier write can be applied any more.
    pub fn record_stored(&mut self, succession: Succession) {
        self.stored = succession;
        self.unanswered.clear();
    }

    /// Whether an entry is a successor for sure.
    #[must_use]
    pub fn is_successor(&self, entry: &SocketAddr) -> bool {
        self.possible().all(|s| s.successors.contains(entry))
    }

    /// Entries that may be successors.
    #[must_use]
    pub fn successors(&self) -> Vec<SocketAddr> {
        collect_distinct(self.possible().flat_map(|s| &s.successors))
    }

    /// All entries that one of the successions names, the possible successors first.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        collect_distinct(self.possible().flat_map(|s| &s.successors).chain(self.possible().flat_map(|s| &s.listed)))
    }

    /// Judges the answers of other entries when the term was as old as `term_age`. `store_age` is the time from the last
    /// moment at which the store is known to have held the term, to the questions.
    ///
    /// Any successor that gave no answer may reach the store and have begun a later term, so without the store only the
    /// answers of all successors confirm a term, and only until a listed entry may have waited long enough. The answers of
    /// all listed entries confirm it until an unlisted one may have.
    #[must_use]
    pub fn judge(&self, answers: &Map<SocketAddr, TermAnswer>, term_age: Millis, store_age: Millis) -> TermState {
        // A later scheduler asks the entries of the stored succession when they last confirmed this term, so the proof of an
        // entry that the stored one may lack must not count.
        let counts = |entry: &SocketAddr, answer: TermAnswer| {
            !matches!(answer, TermAnswer::Current { .. }) || self.possible().all(|s| s.names(entry))
        };
        let given: Vec<TermAnswer> =
            answers.iter().filter(|(entry, answer)| counts(entry, **answer)).map(|(_, answer)| *answer).collect();
        let state = TermState::judge_proofs(&given, term_age);
        if state != TermState::Unconfirmed {
            return state;
        }
        let has_lost_store = |entry: &SocketAddr| answers.get(entry) == Some(&TermAnswer::StoreLost);
        let lists_entries = self.possible().all(|s| !s.successors.is_empty());
        let delay = if lists_entries && self.entries().iter().all(has_lost_store) {
            UNLISTED_DELAY
        } else if self.successors().iter().all(has_lost_store) {
            LISTED_DELAY
        } else {
            return TermState::Unconfirmed;
        };
        TermState::Confirmed(store_age.saturating_sub(Millis(delay.0 * SLOWEST_CLOCK_PERCENT / 100)))
    }

    fn possible(&self) -> impl Iterator<Item = &Succession> {
        std::iter::once(&self.stored).chain(&self.unanswered)
    }
}

fn collect_distinct<'a>(entries: impl Iterator<Item = &'a SocketAddr>) -> Vec<SocketAddr> {
    let mut distinct = Vec::new();
    for entry in entries {
        if !distinct.contains(entry) {
            distinct.push(*entry);
        }
    }
    distinct
}

/// How long an entry has known that there is no scheduler after a term.
#[derive(Clone, Copy, Debug, Default)]
pub struct Vacancy {
    /// Number of terms that had begun, and the time at which the entry learnt that the last one was over.
    since: Option<(u32, MonoTime)>,
}

impl Vacancy {
    /// Time for which the entry still waits before it begins a term, if there is no scheduler after `terms` terms.
    pub fn remaining(&mut self, terms: u32, delay: Millis, now: MonoTime) -> Millis {
        match self.since {
            Some((known, since)) if known == terms => delay.saturating_sub(now.since(since)),
            _ => {
                self.since = Some((terms, now));
                delay
            }
        }
    }

    /// Time by which the last of `terms` terms was over; `None` if this entry has not found that there is no scheduler after
    /// it.
    #[must_use]
    pub fn since(&self, terms: u32) -> Option<MonoTime> {
        self.since.filter(|(known, _)| *known == terms).map(|(_, since)| since)
    }
}
