//! What the members have confirmed: whether a change is in force, and when permits may be reclaimed.
//!
//! A majority during an outage is counted over the list that its members hold. A list that was replaced in
//! the store may still be held by entries that are cut off, so every list that may still be in use has to have
//! a majority that can no longer vouch for the old state.

use std::collections::{BTreeMap, VecDeque};

use crate::freshness::{FRESHNESS_BOUND, Heartbeat, SILENCE_BEFORE_REMOVAL, SLOT_LEASE_TTL};
use crate::ids::{EntryId, Incarnation, Revision};
use crate::membership::{self, Departure, Members, MembersRevision};
use crate::units::{Millis, MonoTime};

/// One per cent of the freshness bound, because the clocks of two entries differ by up to that (A5).
const CLOCK_MARGIN: Millis = Millis(FRESHNESS_BOUND.0 / 100);

/// Time after a majority's confirmation at which nobody can use older evidence.
pub const IN_FORCE_DELAY: Millis = Millis(FRESHNESS_BOUND.0 + CLOCK_MARGIN.0);

/// Time after a majority's confirmation of a removal at which permits may be reclaimed: the freshness bound,
/// the slot lease TTL and 2 s of margin.
pub const RECLAIM_DELAY: Millis = Millis(FRESHNESS_BOUND.0 + SLOT_LEASE_TTL.0 + 2_000);

/// After a gap of this length between two inputs the process itself was paused, and the silence of the others
/// means nothing.
const PAUSE_GAP: Millis = Millis(5_000);

/// A process.
type ProcessKey = (EntryId, Incarnation);

/// Whether a configuration change is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// Why the change is in force; absent while it is not.
    pub confirmed: Option<InForceBasis>,
    /// Processes that may still run and have not confirmed the change.
    pub outstanding: Vec<EntryId>,
}

/// Why a change is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InForceBasis {
    /// Every process that may still run has confirmed it.
    Everyone,
    /// No list in use has a majority that could still vouch for the state before, for longer than the freshness
    /// bound.
    Majority,
    /// The change is older than the outage limit, so that no evidence from before it counts.
    OutageLimit,
}

/// Why permits can't be reclaimed yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReclaimDelay {
    /// The process is not listed as departed.
    NotDeparted,
    /// Some earlier list may still have a majority that counts the process as a member, or had one until now.
    Unconfirmed,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    config: Revision,
    members: MembersRevision,
    at: MonoTime,
}

/// Revisions that one process was seen to hold, oldest first.
#[derive(Clone, Debug, Default)]
struct History(VecDeque<Seen>);

impl History {
    fn add(&mut self, config: Revision, members: MembersRevision, at: MonoTime, kept: Millis) {
        let (config, members) =
            self.0.back().map_or((config, members), |last| (config.max(last.config), members.max(last.members)));
        if self.0.back().is_none_or(|last| last.config < config || last.members < members) {
            self.0.push_back(Seen { config, members, at });
        }
        while self.0.get(1).is_some_and(|second| at.since(second.at) > kept) {
            self.0.pop_front();
        }
    }

    fn find(&self, holds: impl Fn(&Seen) -> bool) -> Option<MonoTime> {
        self.0.iter().find(|seen| holds(seen)).map(|seen| seen.at)
    }
}

/// What this entry knows about the revisions that others hold.
#[derive(Clone, Debug)]
pub struct Confirmations {
    me: ProcessKey,
    outage_limit: Millis,
    members: Members,
    histories: BTreeMap<ProcessKey, History>,
    /// When this entry learnt that a process departed.
    departed_at: BTreeMap<ProcessKey, MonoTime>,
    /// When this entry learnt that a departed process starts nothing any more.
    stopped_at: BTreeMap<ProcessKey, MonoTime>,
    /// Since when the address of a process refuses connections.
    refused_at: BTreeMap<ProcessKey, MonoTime>,
    heard_at: BTreeMap<ProcessKey, MonoTime>,
    settled_at: MonoTime,
    own_probe: Option<MonoTime>,
    last_input: MonoTime,
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
            refused_at: BTreeMap::new(),
            heard_at: BTreeMap::new(),
            settled_at: MonoTime(0),
            own_probe: None,
            last_input: MonoTime(0),
            resumed_at: MonoTime(0),
        }
    }

    pub(crate) fn take_own_probe(&mut self, sent: MonoTime) {
        self.own_probe = self.own_probe.max(Some(sent));
    }

    pub(crate) fn take_own_state(&mut self, config: Revision, members: MembersRevision, now: MonoTime) {
        self.note_input(now);
        let kept = self.find_outage_end() + RECLAIM_DELAY;
        self.histories.entry(self.me.clone()).or_default().add(config, members, now, kept);
    }

    pub(crate) fn take_heartbeat(&mut self, heartbeat: &Heartbeat, now: MonoTime) {
        self.note_input(now);
        let key = (heartbeat.entry.clone(), heartbeat.incarnation);
        // Unlisted senders would let the maps grow without bound; a new member is heard again after the next read.
        if !is_listed(&self.members, &key) {
            return;
        }
        self.refused_at.remove(&key);
        self.heard_at.insert(key.clone(), now);
        let history = self.histories.entry(key).or_default();
        history.add(heartbeat.config_revision, heartbeat.members_revision, now, RECLAIM_DELAY);
    }

    pub(crate) fn take_members(&mut self, members: &Members, now: MonoTime) {
        self.note_input(now);
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
            self.heard_at.entry((id.clone(), member.process.incarnation)).or_insert(now);
        }
        let is_kept = |key: &ProcessKey| is_listed(members, key) || *key == self.me;
        self.histories.retain(|key, _| is_kept(key));
        self.heard_at.retain(|key, _| is_kept(key));
        self.departed_at.retain(|key, _| is_kept(key));
        self.stopped_at.retain(|key, _| is_kept(key));
        self.refused_at.retain(|key, _| is_kept(key));
    }

    /// Notes that the peer address of a process refused a connection, so that no process listens there.
    pub fn take_refused(&mut self, entry: &EntryId, incarnation: Incarnation, now: MonoTime) {
        self.refused_at.entry((entry.clone(), incarnation)).or_insert(now);
    }

    /// Whether a configuration change is in force, as far as this entry knows.
    #[must_use]
    pub fn is_in_force(&self, revision: Revision, now: MonoTime) -> InForce {
        let holds = |seen: &Seen| seen.config >= revision;
        let mut outstanding: Vec<_> =
            self.list_running().into_iter().filter(|key| self.find_blocked(key, holds).is_none()).collect();
        outstanding.dedup();
        let confirmed = self.find_basis(revision, outstanding.is_empty(), now);
        InForce { confirmed, outstanding: outstanding.into_iter().map(|(entry, _)| entry).collect() }
    }

    /// The oldest member list that may still be in use, if that is newer than the one in the document. Whoever
    /// finds one commits [`membership::MembersCommand::Settle`].
    #[must_use]
    pub fn find_settled(&self, now: MonoTime) -> Option<MembersRevision> {
        let is_in_use = |r: &MembersRevision| !self.is_settled(*r, Revision(u64::MAX), IN_FORCE_DELAY, now);
        let oldest = self.members.revisions_in_use().into_iter().find(is_in_use)?;
        (oldest > self.members.settled).then_some(oldest)
    }

    /// Whether the permits of a departed process may be reclaimed, except those of tasks that workers report.
    ///
    /// # Errors
    ///
    /// Gives the reason for waiting.
    pub fn may_reclaim(&self, entry: &EntryId, incarnation: Incarnation, now: MonoTime) -> Result<(), ReclaimDelay> {
        let Some(departed) = self.members.find_departed(entry, incarnation) else {
            return Err(ReclaimDelay::NotDeparted);
        };
        let key = (entry.clone(), incarnation);
        let is_over = |at: MonoTime, delay: Millis| now.since(at) >= delay;
        let stopped = self.find_stopped(&key).is_some_and(|at| is_over(at, RECLAIM_DELAY));
        let outage = self.departed_at.get(&key).is_some_and(|at| is_over(*at, self.find_outage_end() + RECLAIM_DELAY));
        let settled = departed.removed <= self.members.settled && is_over(self.settled_at, RECLAIM_DELAY);
        let mut lists =
            self.members.revisions_in_use().into_iter().filter(|r| departed.joined <= *r && *r < departed.removed);
        let moved_on = departed.removed > self.members.settled
            && lists.all(|r| self.is_settled(r, Revision(u64::MAX), RECLAIM_DELAY, now));
        if stopped || outage || settled || moved_on { Ok(()) } else { Err(ReclaimDelay::Unconfirmed) }
    }

    pub(crate) fn find_silent(&self, members: &Members, now: MonoTime) -> Vec<ProcessKey> {
        let keys = members.current.iter().map(|(id, m)| (id.clone(), m.process.incarnation));
        let is_silent = |key: &ProcessKey| {
            let heard = self.heard_at.get(key).copied().unwrap_or_default().max(self.resumed_at);
            *key != self.me && now.since(heard) >= SILENCE_BEFORE_REMOVAL
        };
        keys.filter(is_silent).collect()
    }

    fn note_input(&mut self, now: MonoTime) {
        if now.since(self.last_input) > PAUSE_GAP {
            self.resumed_at = now;
        }
        self.last_input = self.last_input.max(now);
    }

    /// The outage limit on the slowest clock.
    fn find_outage_end(&self) -> Millis {
        self.outage_limit + Millis(self.outage_limit.0 / 100)
    }

    fn find_basis(&self, revision: Revision, everyone: bool, now: MonoTime) -> Option<InForceBasis> {
        let held = self.histories.get(&self.me)?.find(|seen| seen.config >= revision)?;
        if now.since(held) >= self.find_outage_end() + IN_FORCE_DELAY {
            return Some(InForceBasis::OutageLimit);
        }
        // Lists made before the change must all be known here; later ones are held only by entries that were
        // shown a configuration that contains the change.
        if self.own_probe.is_none_or(|sent| sent < held) {
            return None;
        }
        if everyone {
            return Some(InForceBasis::Everyone);
        }
        let mut lists = self.members.revisions_in_use().into_iter();
        lists.all(|r| self.is_settled(r, revision, IN_FORCE_DELAY, now)).then_some(InForceBasis::Majority)
    }

    /// Whether so many processes of a list have confirmed the configuration or hold a later list, for at least
    /// `delay`, that the others are no majority of it.
    fn is_settled(&self, list: MembersRevision, config: Revision, delay: Millis, now: MonoTime) -> bool {
        let is_old = |at: MonoTime| now.since(at) >= self.find_outage_end() + delay;
        let replaced = self.histories.get(&self.me).and_then(|h| h.find(|seen| seen.members > list));
        if replaced.is_some_and(is_old) {
            return true;
        }
        let processes = self.members.members_at(list);
        let is_blocked = |key: &ProcessKey| {
            let at = self.find_blocked(key, |seen| seen.config >= config || seen.members > list);
            at.is_some_and(|at| now.since(at) >= delay)
        };
        let others = processes.iter().filter(|key| !is_blocked(key)).count();
        others < membership::find_majority(processes.len())
    }

    fn find_blocked(&self, key: &ProcessKey, holds: impl Fn(&Seen) -> bool) -> Option<MonoTime> {
        let seen = self.histories.get(key).and_then(|history| history.find(holds));
        [seen, self.find_stopped(key)].into_iter().flatten().min()
    }

    /// Since when a process is known to start nothing.
    fn find_stopped(&self, key: &ProcessKey) -> Option<MonoTime> {
        self.members.find_departed(&key.0, key.1)?;
        [self.stopped_at.get(key), self.refused_at.get(key)].into_iter().flatten().min().copied()
    }

    fn list_running(&self) -> Vec<ProcessKey> {
        let current = self.members.current.iter().map(|(id, m)| (id.clone(), m.process.incarnation));
        let departed = self.members.departed.iter().map(|d| (d.entry.clone(), d.incarnation));
        current.chain(departed).collect()
    }
}

fn is_listed(members: &Members, key: &ProcessKey) -> bool {
    members.contains(&key.0, key.1) || members.find_departed(&key.0, key.1).is_some()
}
