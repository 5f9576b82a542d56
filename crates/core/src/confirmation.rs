//! Revisions that the members have confirmed: whether a change is in force, and when permits may be reclaimed.
//!
//! During an outage of the store, a majority is counted over the member list that its entries hold. Partitioned entries
//! may still hold a list that was replaced in the store. Every list that may still be in use is therefore checked: so
//! many of its processes must have confirmed the new state that the others can't form a majority for the old one.

use std::collections::{BTreeMap, VecDeque};

use crate::freshness::{FRESHNESS_BOUND, Heartbeat, SILENCE_BEFORE_REMOVAL, SLOT_LEASE_TTL};
use crate::ids::{EntryId, Incarnation, Revision};
use crate::membership::{self, Departure, Members, MembersRevision};
use crate::units::{Millis, MonoTime};

/// One per cent of the freshness bound: the clock rates of two entries differ by up to 1%.
const CLOCK_MARGIN: Millis = Millis(FRESHNESS_BOUND.0 / 100);

/// Time after a majority's confirmation at which no entry can use older evidence any more.
pub const IN_FORCE_DELAY: Millis = Millis(FRESHNESS_BOUND.0 + CLOCK_MARGIN.0);

/// Time after a majority's confirmation of a removal at which permits may be reclaimed: the freshness bound,
/// the slot lease TTL and 2 s of margin.
pub const RECLAIM_DELAY: Millis = Millis(FRESHNESS_BOUND.0 + SLOT_LEASE_TTL.0 + 2_000);

/// Time between two inputs above which this process is assumed to have been paused. Silence of the others is then
/// counted from its resumption.
const PROCESS_PAUSE_GAP: Millis = Millis(5_000);

/// A process of an entry, by its incarnation.
type ProcessKey = (EntryId, Incarnation);

/// Whether a configuration change is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// Why the change is in force; absent while it is not.
    pub basis: Option<InForceBasis>,
    /// Entries with processes that may still run and have not confirmed the change.
    pub outstanding: Vec<EntryId>,
}

/// Why a change is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InForceBasis {
    /// Every process that may still run has confirmed it.
    Everyone,
    /// For longer than the freshness bound, no member list in use has had a majority that could attest the state before
    /// the change.
    Majority,
    /// The change is older than the outage limit, so no evidence from before it is valid.
    OutageLimit,
}

/// Why permits can't be reclaimed yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReclaimBlocker {
    /// The process is not listed as departed.
    NotDeparted,
    /// An earlier member list may still have a majority that counts the process as a member, or had one until recently.
    Unconfirmed,
}

/// Revisions that a process held when this entry received its message.
#[derive(Clone, Copy, Debug)]
struct HeldRevisions {
    config: Revision,
    members: MembersRevision,
    at: MonoTime,
}

/// Revisions that one process held, oldest first.
#[derive(Clone, Debug, Default)]
struct RevisionHistory(VecDeque<HeldRevisions>);

impl RevisionHistory {
    fn add(&mut self, config: Revision, members: MembersRevision, at: MonoTime, retention: Millis) {
        let (config, members) =
            self.0.back().map_or((config, members), |last| (config.max(last.config), members.max(last.members)));
        if self.0.back().is_none_or(|last| last.config < config || last.members < members) {
            self.0.push_back(HeldRevisions { config, members, at });
        }
        while self.0.get(1).is_some_and(|second| at.since(second.at) > retention) {
            self.0.pop_front();
        }
    }

    fn find(&self, holds: impl Fn(&HeldRevisions) -> bool) -> Option<MonoTime> {
        self.0.iter().find(|seen| holds(seen)).map(|seen| seen.at)
    }
}

/// What this entry knows about the revisions that the processes hold.
#[derive(Clone, Debug)]
pub struct Confirmations {
    me: ProcessKey,
    outage_limit: Millis,
    members: Members,
    histories: BTreeMap<ProcessKey, RevisionHistory>,
    /// When this entry observed that a process departed.
    departed_at: BTreeMap<ProcessKey, MonoTime>,
    /// When this entry observed that a departed process starts nothing any more.
    stopped_at: BTreeMap<ProcessKey, MonoTime>,
    /// Since when the peer address of a process refuses connections.
    connection_refused_at: BTreeMap<ProcessKey, MonoTime>,
    /// Time of the last heartbeat of a process, or when this entry first saw it in the member list.
    last_contact_at: BTreeMap<ProcessKey, MonoTime>,
    /// When this entry received the present [`Members::settled`].
    settled_at: MonoTime,
    /// When the last probe that showed this entry to be current was sent.
    own_probe: Option<MonoTime>,
    last_input: MonoTime,
    /// End of the last assumed pause of this process.
    resumed_at: MonoTime,
}

impl Confirmations {
    pub(crate) fn new(entry: EntryId, incarnation: Incarnation, outage_limit: Millis) -> Self {
        Self {
            me: (entry, incarnation),
            outage_limit,
            members: Members::default(),
            histories: BTreeMap::new(),
            departed_at: BTreeMap::new(),
            stopped_at: BTreeMap::new(),
            connection_refused_at: BTreeMap::new(),
            last_contact_at: BTreeMap::new(),
            settled_at: MonoTime(0),
            own_probe: None,
            last_input: MonoTime(0),
            resumed_at: MonoTime(0),
        }
    }

    pub(crate) fn record_own_probe(&mut self, sent: MonoTime) {
        self.own_probe = self.own_probe.max(Some(sent));
    }

    pub(crate) fn record_own_state(&mut self, config: Revision, members: MembersRevision, now: MonoTime) {
        self.record_input(now);
        let retention = self.max_outage_duration() + RECLAIM_DELAY;
        self.histories.entry(self.me.clone()).or_default().add(config, members, now, retention);
    }

    pub(crate) fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, now: MonoTime) {
        self.record_input(now);
        let key = (heartbeat.entry.clone(), heartbeat.incarnation);
        // Records of unlisted senders would let the maps grow without bound. A new member sends further heartbeats,
        // which count once the member list has been read again.
        if !is_listed(&self.members, &key) {
            return;
        }
        self.connection_refused_at.remove(&key);
        self.last_contact_at.insert(key.clone(), now);
        let history = self.histories.entry(key).or_default();
        history.add(heartbeat.config_revision, heartbeat.members_revision, now, RECLAIM_DELAY);
    }

    pub(crate) fn apply_members(&mut self, members: &Members, now: MonoTime) {
        self.record_input(now);
        if members.settled > self.members.settled {
            self.settled_at = now;
        }
        self.members = members.clone();
        for d in &members.departed {
            let key = (d.entry.clone(), d.incarnation);
            self.departed_at.entry(key.clone()).or_insert(now);
            if d.departure != Departure::Removed {
                self.stopped_at.entry(key).or_insert(now);
            }
        }
        for (id, member) in &members.current {
            self.last_contact_at.entry((id.clone(), member.process.incarnation)).or_insert(now);
        }
        let is_kept = |key: &ProcessKey| is_listed(members, key) || *key == self.me;
        self.histories.retain(|key, _| is_kept(key));
        self.last_contact_at.retain(|key, _| is_kept(key));
        self.departed_at.retain(|key, _| is_kept(key));
        self.stopped_at.retain(|key, _| is_kept(key));
        self.connection_refused_at.retain(|key, _| is_kept(key));
    }

    /// Records that the peer address of a process refused a connection, which shows that no process listens there.
    pub fn record_connection_refused(&mut self, entry: &EntryId, incarnation: Incarnation, now: MonoTime) {
        self.connection_refused_at.entry((entry.clone(), incarnation)).or_insert(now);
    }

    /// Checks whether a configuration change is in force, as far as this entry knows.
    #[must_use]
    pub fn check_in_force(&self, revision: Revision, now: MonoTime) -> InForce {
        let holds = |seen: &HeldRevisions| seen.config >= revision;
        let mut outstanding: Vec<_> =
            self.list_processes().into_iter().filter(|key| self.find_confirmation_time(key, holds).is_none()).collect();
        outstanding.dedup();
        let basis = self.find_in_force_basis(revision, outstanding.is_empty(), now);
        InForce { basis, outstanding: outstanding.into_iter().map(|(entry, _)| entry).collect() }
    }

    /// The oldest member list that may still be in use, if it is newer than the one that the document names. The caller
    /// then commits [`membership::MembersCommand::Settle`].
    #[must_use]
    pub fn find_oldest_list_in_use(&self, now: MonoTime) -> Option<MembersRevision> {
        let is_in_use = |r: &MembersRevision| !self.is_superseded(*r, Revision(u64::MAX), IN_FORCE_DELAY, now);
        let oldest = self.members.revisions_in_use().into_iter().find(is_in_use)?;
        (oldest > self.members.settled).then_some(oldest)
    }

    /// Whether the permits of a departed process may be reclaimed, except those of tasks that workers report.
    ///
    /// # Errors
    ///
    /// Returns the reason why the permits can't be reclaimed yet.
    pub fn may_reclaim(&self, entry: &EntryId, incarnation: Incarnation, now: MonoTime) -> Result<(), ReclaimBlocker> {
        let Some(departed) = self.members.find_departed(entry, incarnation) else {
            return Err(ReclaimBlocker::NotDeparted);
        };
        let key = (entry.clone(), incarnation);
        let has_elapsed = |at: MonoTime, delay: Millis| now.since(at) >= delay;
        let stopped = self.find_stop_time(&key).is_some_and(|at| has_elapsed(at, RECLAIM_DELAY));
        let outage =
            self.departed_at.get(&key).is_some_and(|at| has_elapsed(*at, self.max_outage_duration() + RECLAIM_DELAY));
        let settled = departed.removed <= self.members.settled && has_elapsed(self.settled_at, RECLAIM_DELAY);
        let mut lists =
            self.members.revisions_in_use().into_iter().filter(|r| departed.joined <= *r && *r < departed.removed);
        let superseded = departed.removed > self.members.settled
            && lists.all(|r| self.is_superseded(r, Revision(u64::MAX), RECLAIM_DELAY, now));
        if stopped || outage || settled || superseded { Ok(()) } else { Err(ReclaimBlocker::Unconfirmed) }
    }

    pub(crate) fn find_silent(&self, members: &Members, now: MonoTime) -> Vec<ProcessKey> {
        let keys = members.current.iter().map(|(id, m)| (id.clone(), m.process.incarnation));
        let is_silent = |key: &ProcessKey| {
            let last_contact = self.last_contact_at.get(key).copied().unwrap_or_default().max(self.resumed_at);
            *key != self.me && now.since(last_contact) >= SILENCE_BEFORE_REMOVAL
        };
        keys.filter(is_silent).collect()
    }

    fn record_input(&mut self, now: MonoTime) {
        if now.since(self.last_input) > PROCESS_PAUSE_GAP {
            self.resumed_at = now;
        }
        self.last_input = self.last_input.max(now);
    }

    /// The outage limit plus 1%, the time after which it has passed on the slowest clock of an entry.
    fn max_outage_duration(&self) -> Millis {
        self.outage_limit + Millis(self.outage_limit.0 / 100)
    }

    fn find_in_force_basis(&self, revision: Revision, everyone: bool, now: MonoTime) -> Option<InForceBasis> {
        let held = self.histories.get(&self.me)?.find(|seen| seen.config >= revision)?;
        if now.since(held) >= self.max_outage_duration() + IN_FORCE_DELAY {
            return Some(InForceBasis::OutageLimit);
        }
        // All lists from before the change must be known here, which a later probe shows. Lists made after it are held
        // only by entries whose configuration was shown to contain the change.
        if self.own_probe.is_none_or(|sent| sent < held) {
            return None;
        }
        if everyone {
            return Some(InForceBasis::Everyone);
        }
        let mut lists = self.members.revisions_in_use().into_iter();
        lists.all(|r| self.is_superseded(r, revision, IN_FORCE_DELAY, now)).then_some(InForceBasis::Majority)
    }

    /// Whether a member list can no longer yield a majority for a configuration before `config`: for at least `delay`,
    /// so many of its processes have confirmed `config` or held a later list that the others are no majority. A list
    /// that this entry has known to be replaced for longer than the outage limit and `delay` is superseded too.
    fn is_superseded(&self, list: MembersRevision, config: Revision, delay: Millis, now: MonoTime) -> bool {
        let is_old = |at: MonoTime| now.since(at) >= self.max_outage_duration() + delay;
        let replaced = self.histories.get(&self.me).and_then(|h| h.find(|seen| seen.members > list));
        if replaced.is_some_and(is_old) {
            return true;
        }
        let processes = self.members.members_at(list);
        let is_confirmed = |key: &ProcessKey| {
            let at = self.find_confirmation_time(key, |seen| seen.config >= config || seen.members > list);
            at.is_some_and(|at| now.since(at) >= delay)
        };
        let others = processes.iter().filter(|key| !is_confirmed(key)).count();
        others < membership::find_majority(processes.len())
    }

    /// Since when a process satisfies `holds` or is known to start nothing.
    fn find_confirmation_time(&self, key: &ProcessKey, holds: impl Fn(&HeldRevisions) -> bool) -> Option<MonoTime> {
        let seen = self.histories.get(key).and_then(|history| history.find(holds));
        [seen, self.find_stop_time(key)].into_iter().flatten().min()
    }

    /// Since when a process is known to start nothing.
    fn find_stop_time(&self, key: &ProcessKey) -> Option<MonoTime> {
        self.members.find_departed(&key.0, key.1)?;
        [self.stopped_at.get(key), self.connection_refused_at.get(key)].into_iter().flatten().min().copied()
    }

    /// Processes of the current members and the departed processes that are still listed.
    fn list_processes(&self) -> Vec<ProcessKey> {
        let current = self.members.current.iter().map(|(id, m)| (id.clone(), m.process.incarnation));
        let departed = self.members.departed.iter().map(|d| (d.entry.clone(), d.incarnation));
        current.chain(departed).collect()
    }
}

fn is_listed(members: &Members, key: &ProcessKey) -> bool {
    members.contains(&key.0, key.1) || members.find_departed(&key.0, key.1).is_some()
}
