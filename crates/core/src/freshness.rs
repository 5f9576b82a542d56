//! The freshness rule: whether an entry may start keyed work now.
//!
//! Each piece of evidence has an age that starts when its question was sent, so that neither the way of the
//! answer nor a pause of this process makes it look newer than it is.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::confirmation::Confirmations;
use crate::ids::{EntryId, Incarnation, Revision};
use crate::membership::{Members, MembersRevision};
use crate::units::{Millis, MonoTime};

/// Longest time for which evidence of a current configuration may be used.
pub const FRESHNESS_BOUND: Millis = Millis(5_000);

/// Time between two probes of the store. Each takes two writes, and the budget for nine entries is 10 a second.
pub const PROBE_INTERVAL: Millis = Millis(2_000);

/// Time between two heartbeats to a peer.
pub const HEARTBEAT_INTERVAL: Millis = Millis(500);

/// Lifetime of a slot lease on the worker's clock, which bounds the time from a check to the start.
pub const SLOT_LEASE_TTL: Millis = Millis(3_000);

/// Time for which an entry may work by a majority without any contact with the store.
pub const DEFAULT_OUTAGE_LIMIT: Millis = Millis(75 * 60 * 1000);

/// A peer that is silent for this long may be removed.
pub const SILENCE_BEFORE_REMOVAL: Millis = Millis(30_000);

/// Message between entries, used as question and answer alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender.
    pub entry: EntryId,
    /// Run of the sender's process.
    pub incarnation: Incarnation,
    /// Configuration that the sender holds.
    pub config_revision: Revision,
    /// Member list that the sender holds.
    pub members_revision: MembersRevision,
    /// Age of the sender's last probe that showed its configuration and its present member list to be current;
    /// absent while the store can't be reached.
    pub probe_age: Option<Millis>,
    /// Whether the sender counts the receiver as a member and vouches for its own state. It vouches only after
    /// it was shown to be current under its present member list.
    pub counts_you: bool,
}

/// Result of a probe of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// The store reported the versions of both documents, compared with those held when the answer arrived.
    Answered {
        /// The held configuration is current.
        config_current: bool,
        /// The held member list is current.
        members_current: bool,
    },
    /// The store refused or did not answer.
    NotReachable,
}

/// Why an entry may start keyed work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Basis {
    /// Its own probe, case (a).
    Probe,
    /// The probe of a peer, case (b).
    Peer(EntryId),
    /// A majority during an outage of the store, case (c).
    Majority,
}

/// Why an entry may not start keyed work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum StaleReason {
    /// The entry isn't a member.
    #[snafu(display("this entry is not a member"))]
    NotMember,
    /// A peer holds a newer configuration or member list.
    #[snafu(display("a peer holds a newer configuration or member list"))]
    Behind,
    /// The store can be reached by this entry or by a peer, but no probe has shown the entry to be current.
    #[snafu(display("the store can be reached, but did not show the configuration to be current"))]
    NotCurrent,
    /// The entry has not been current under its present member list, so it can't count itself in a majority.
    #[snafu(display("this entry has not been current under its present member list"))]
    NeverCurrent,
    /// Fewer than a majority answered.
    #[snafu(display("neither the store nor a majority of the members can be reached"))]
    NoMajority,
    /// The outage limit has passed.
    #[snafu(display("the store has been out of reach for longer than the outage limit"))]
    OutageLimit,
}

/// A moment in the past, as the age that it had at a time of this process. The moment may lie before the start
/// of the process, which [`MonoTime`] can't express.
#[derive(Clone, Copy, Debug)]
struct Moment {
    at: MonoTime,
    age: Millis,
}

impl Moment {
    fn age(self, now: MonoTime) -> Millis {
        now.since(self.at) + self.age
    }
}

#[derive(Clone, Debug)]
struct Answer {
    sent: MonoTime,
    heartbeat: Heartbeat,
}

impl Answer {
    fn probe(&self) -> Option<Moment> {
        self.heartbeat.probe_age.map(|age| Moment { at: self.sent, age })
    }
}

#[derive(Clone, Copy, Debug)]
struct OwnProbe {
    sent: MonoTime,
    members: MembersRevision,
}

/// What an entry knows about whether its configuration is current.
#[derive(Clone, Debug)]
pub struct Freshness {
    entry: EntryId,
    incarnation: Incarnation,
    outage_limit: Millis,
    config: Revision,
    members: Members,
    last_current: Option<OwnProbe>,
    last_probe: Option<(MonoTime, Probe)>,
    /// Latest successful probe of this entry or a peer that held no newer configuration.
    last_known_probe: Option<Moment>,
    /// Member list under which this entry was last shown to be current.
    vouches_under: Option<MembersRevision>,
    answers: BTreeMap<EntryId, Answer>,
    confirmations: Confirmations,
}

impl Freshness {
    /// Creates the state of a process that knows nothing yet.
    #[must_use]
    pub fn new(entry: EntryId, incarnation: Incarnation) -> Self {
        Self {
            confirmations: Confirmations::new(entry.clone(), incarnation, DEFAULT_OUTAGE_LIMIT),
            entry,
            incarnation,
            outage_limit: DEFAULT_OUTAGE_LIMIT,
            config: Revision(0),
            members: Members::default(),
            last_current: None,
            last_probe: None,
            last_known_probe: None,
            vouches_under: None,
            answers: BTreeMap::new(),
        }
    }

    /// Sets the outage limit, which must be the same for all entries.
    #[must_use]
    pub fn with_outage_limit(mut self, limit: Millis) -> Self {
        self.outage_limit = limit;
        self.confirmations = Confirmations::new(self.entry.clone(), self.incarnation, limit);
        self
    }

    /// Members as last taken.
    #[must_use]
    pub const fn members(&self) -> &Members {
        &self.members
    }

    /// What the members have confirmed, for changes in force and reclaims.
    #[must_use]
    pub const fn confirmations(&self) -> &Confirmations {
        &self.confirmations
    }

    /// The same, to note that an address refused a connection.
    pub fn confirmations_mut(&mut self) -> &mut Confirmations {
        &mut self.confirmations
    }

    /// Notes the configuration that the entry now holds; an older one is ignored.
    pub fn take_config_revision(&mut self, revision: Revision, now: MonoTime) {
        self.config = self.config.max(revision);
        self.note_own_state(now);
    }

    /// Takes a copy of the members; an older one is ignored.
    pub fn take_members(&mut self, members: &Members, now: MonoTime) {
        if members.revision < self.members.revision {
            return;
        }
        self.members = members.clone();
        let current = &self.members;
        self.answers.retain(|id, answer| current.contains(id, answer.heartbeat.incarnation));
        self.confirmations.take_members(&self.members, now);
        self.note_own_state(now);
    }

    /// Takes the result of the probe that was sent at `sent`.
    pub fn take_probe(&mut self, sent: MonoTime, probe: Probe, now: MonoTime) {
        if self.last_probe.is_none_or(|(last, _)| last <= sent) {
            self.last_probe = Some((sent, probe));
        }
        let is_current = matches!(probe, Probe::Answered { config_current: true, members_current: true });
        if is_current && self.is_member() && self.last_current.is_none_or(|p| p.sent <= sent) {
            self.last_current = Some(OwnProbe { sent, members: self.members.revision });
            self.vouches_under = Some(self.members.revision);
            self.note_known_probe(Moment { at: sent, age: Millis(0) }, now);
            self.confirmations.take_own_probe(sent);
        }
    }

    /// Takes the answer to the heartbeat that was sent at `sent`. Returns whether the entry should ask the
    /// sender for what it lacks.
    pub fn take_answer(&mut self, answer: Heartbeat, sent: MonoTime, now: MonoTime) -> bool {
        let is_behind = self.take_heartbeat(&answer, now);
        if !self.is_peer(&answer) || self.answers.get(&answer.entry).is_some_and(|a| a.sent > sent) {
            return is_behind;
        }
        let answer = Answer { sent, heartbeat: answer };
        if let Some(probe) = answer.probe()
            && answer.heartbeat.config_revision <= self.config
        {
            self.note_known_probe(probe, now);
        }
        self.answers.insert(answer.heartbeat.entry.clone(), answer);
        self.update_voucher();
        is_behind
    }

    /// Takes a heartbeat that a peer sent of its own accord: it confirms revisions, but is no evidence of
    /// freshness, because nothing bounds its age. Returns whether the sender holds something newer.
    pub fn take_heartbeat(&mut self, heartbeat: &Heartbeat, now: MonoTime) -> bool {
        self.confirmations.take_heartbeat(heartbeat, now);
        heartbeat.config_revision > self.config || heartbeat.members_revision > self.members.revision
    }

    /// The heartbeat to a peer, as question or answer.
    #[must_use]
    pub fn heartbeat(&self, to: &EntryId, incarnation: Incarnation, now: MonoTime) -> Heartbeat {
        let reaches_store = matches!(self.last_probe, Some((_, Probe::Answered { .. })));
        let probe = self.last_current.filter(|p| reaches_store && p.members == self.members.revision);
        Heartbeat {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            config_revision: self.config,
            members_revision: self.members.revision,
            probe_age: probe.map(|p| now.since(p.sent)),
            counts_you: self.vouches() && self.members.contains(to, incarnation),
        }
    }

    /// Whether the entry may start keyed work now, and why.
    ///
    /// # Errors
    ///
    /// Gives the reason nearest to a remedy if none of the three cases holds.
    pub fn is_fresh(&self, now: MonoTime) -> Result<Basis, StaleReason> {
        if !self.is_member() {
            return Err(StaleReason::NotMember);
        }
        if self.last_current.is_some_and(|p| now.since(p.sent) <= FRESHNESS_BOUND) {
            return Ok(Basis::Probe);
        }
        if let Some(peer) = self.find_vouching_peer(now) {
            return Ok(Basis::Peer(peer.clone()));
        }
        self.check_majority(now).map(|()| Basis::Majority)
    }

    /// Members that may be removed because they are silent. Empty unless this entry's own probe is fresh.
    #[must_use]
    pub fn find_silent(&self, now: MonoTime) -> Vec<(EntryId, Incarnation)> {
        if self.is_fresh(now) != Ok(Basis::Probe) {
            return Vec::new();
        }
        self.confirmations.find_silent(&self.members, now)
    }

    fn is_member(&self) -> bool {
        self.members.contains(&self.entry, self.incarnation)
    }

    fn is_peer(&self, answer: &Heartbeat) -> bool {
        answer.entry != self.entry && self.members.contains(&answer.entry, answer.incarnation)
    }

    fn vouches(&self) -> bool {
        self.is_member() && self.vouches_under == Some(self.members.revision)
    }

    fn note_known_probe(&mut self, probe: Moment, now: MonoTime) {
        if self.last_known_probe.is_none_or(|known| probe.age(now) <= known.age(now)) {
            self.last_known_probe = Some(probe);
        }
    }

    fn note_own_state(&mut self, now: MonoTime) {
        self.confirmations.take_own_state(self.config, self.members.revision, now);
        self.update_voucher();
    }

    /// A peer that was current under the same list, and whose configuration is not newer, shows that this entry
    /// holds at least the configuration that was current when the list was made.
    fn update_voucher(&mut self) {
        let is_shown = |a: &Answer| {
            a.heartbeat.counts_you
                && a.heartbeat.probe_age.is_some()
                && a.heartbeat.members_revision == self.members.revision
                && a.heartbeat.config_revision <= self.config
        };
        if self.answers.values().any(is_shown) {
            self.vouches_under = Some(self.members.revision);
        }
    }

    fn find_vouching_peer(&self, now: MonoTime) -> Option<&EntryId> {
        let is_vouching = |answer: &Answer| {
            answer.heartbeat.counts_you
                && answer.heartbeat.config_revision <= self.config
                && answer.probe().is_some_and(|p| p.age(now) <= FRESHNESS_BOUND)
        };
        self.answers.iter().find(|(_, answer)| is_vouching(answer)).map(|(id, _)| id)
    }

    fn check_majority(&self, now: MonoTime) -> Result<(), StaleReason> {
        let recent = || self.answers.values().filter(|a| now.since(a.sent) <= FRESHNESS_BOUND).map(|a| &a.heartbeat);
        if recent().any(|h| h.config_revision > self.config || h.members_revision > self.members.revision) {
            return Err(StaleReason::Behind);
        }
        let reaches_store = matches!(self.last_probe, Some((_, Probe::Answered { .. })));
        if reaches_store || recent().any(|h| h.probe_age.is_some()) {
            return Err(StaleReason::NotCurrent);
        }
        if !self.vouches() {
            return Err(StaleReason::NeverCurrent);
        }
        let vouching = recent().filter(|h| h.counts_you && h.members_revision == self.members.revision).count();
        if vouching + 1 < self.members.majority() {
            return Err(StaleReason::NoMajority);
        }
        match self.last_known_probe {
            Some(probe) if probe.age(now) <= self.outage_limit => Ok(()),
            _ => Err(StaleReason::OutageLimit),
        }
    }
}
