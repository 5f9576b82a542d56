//! The freshness rule: whether an entry may start keyed work now.
//!
//! The age of evidence is counted from the sending of the request that it answers. A slow response or a pause of this
//! process therefore never makes it appear newer than it is.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::confirmation::Confirmations;
use crate::ids::{EntryId, Incarnation, Revision};
use crate::membership::{Members, MembersRevision};
use crate::units::{Millis, MonoTime};

/// Maximum age of evidence that a configuration is current.
pub const FRESHNESS_BOUND: Millis = Millis(5_000);

/// Time between two probes of the store. A probe takes two writes, and nine entries together may make 10 a second.
pub const PROBE_INTERVAL: Millis = Millis(2_000);

/// Time between two heartbeats to a peer.
pub const HEARTBEAT_INTERVAL: Millis = Millis(500);

/// Lifetime of a slot lease on the worker's clock, which bounds the time from the freshness check to the start of the
/// job.
pub const SLOT_LEASE_TTL: Millis = Millis(3_000);

/// Time since the last known successful probe during which an entry may rely on a majority instead of the store.
pub const DEFAULT_OUTAGE_LIMIT: Millis = Millis(75 * 60 * 1000);

/// Time without a heartbeat after which a peer may be removed.
pub const SILENCE_BEFORE_REMOVAL: Millis = Millis(30_000);

/// Message between entries, used as both request and response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Entry that sent it.
    pub entry: EntryId,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Configuration that the sender holds.
    pub config_revision: Revision,
    /// Member list that the sender holds.
    pub members_revision: MembersRevision,
    /// Age of the sender's last probe that showed its configuration and its present member list to be current; absent
    /// without such a probe or while the sender can't reach the store.
    pub probe_age: Option<Millis>,
    /// Whether the sender counts the receiver as a member and attests its own state. It does so only after it was shown
    /// to be current under its present member list.
    pub counts_you: bool,
}

/// Result of a probe of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The store reported the versions of both documents, compared with those held when the answer arrived.
    Answered {
        /// The held configuration is current.
        config_current: bool,
        /// The held member list is current.
        members_current: bool,
    },
    /// The store rejected the probe or did not respond.
    NotReachable,
}

/// Why an entry may start keyed work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FreshnessBasis {
    /// Its own recent probe.
    Probe,
    /// The recent probe of this peer.
    Peer(EntryId),
    /// A majority of the members during an outage of the store.
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
    /// This entry or a peer can reach the store, but no recent probe has shown this entry to be current.
    #[snafu(display("the store can be reached, but did not show the configuration to be current"))]
    NotCurrent,
    /// No probe or peer has shown the entry to be current under its present member list, so it can't count itself in a
    /// majority.
    #[snafu(display("no probe or peer has shown this entry to be current since its member list changed"))]
    NeverCurrent,
    /// The store can't be reached, and fewer than a majority of the members attested their state recently.
    #[snafu(display("neither the store nor a majority of the members can be reached"))]
    NoMajority,
    /// The outage limit has passed since the last known successful probe.
    #[snafu(display("the store has been out of reach for longer than the outage limit"))]
    OutageLimit,
}

/// A point in the past, stored as its age at a time of this process. It may be before the start of the process, which
/// [`MonoTime`] can't express.
#[derive(Clone, Copy, Debug)]
struct PastInstant {
    at: MonoTime,
    age: Millis,
}

impl PastInstant {
    fn age(self, now: MonoTime) -> Millis {
        now.since(self.at) + self.age
    }
}

/// A peer's response to a heartbeat that this entry sent at `sent`.
#[derive(Clone, Debug)]
struct Answer {
    sent: MonoTime,
    heartbeat: Heartbeat,
}

impl Answer {
    fn probe(&self) -> Option<PastInstant> {
        self.heartbeat.probe_age.map(|age| PastInstant { at: self.sent, age })
    }
}

#[derive(Clone, Copy, Debug)]
struct OwnProbe {
    sent: MonoTime,
    members: MembersRevision,
}

/// Evidence that an entry has for its configuration being current.
#[derive(Clone, Debug)]
pub struct Freshness {
    entry: EntryId,
    incarnation: Incarnation,
    outage_limit: Millis,
    config: Revision,
    members: Members,
    /// Latest probe that showed this entry to be current.
    own_current_probe: Option<OwnProbe>,
    last_probe: Option<(MonoTime, ProbeResult)>,
    /// Latest successful probe of this entry or a peer that held no newer configuration.
    newest_known_probe: Option<PastInstant>,
    /// Member list under which this entry was last shown to be current.
    attested_members: Option<MembersRevision>,
    answers: BTreeMap<EntryId, Answer>,
    confirmations: Confirmations,
}

impl Freshness {
    /// Creates the state of a process that has received nothing yet.
    #[must_use]
    pub fn new(entry: EntryId, incarnation: Incarnation) -> Self {
        Self {
            confirmations: Confirmations::new(entry.clone(), incarnation, DEFAULT_OUTAGE_LIMIT),
            entry,
            incarnation,
            outage_limit: DEFAULT_OUTAGE_LIMIT,
            config: Revision(0),
            members: Members::default(),
            own_current_probe: None,
            last_probe: None,
            newest_known_probe: None,
            attested_members: None,
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

    /// The newest member list that was applied.
    #[must_use]
    pub const fn members(&self) -> &Members {
        &self.members
    }

    /// Revisions that the members have confirmed, which decide about changes in force and permits to reclaim.
    #[must_use]
    pub const fn confirmations(&self) -> &Confirmations {
        &self.confirmations
    }

    /// Mutable access to the confirmations, to record that an address refused a connection.
    pub fn confirmations_mut(&mut self) -> &mut Confirmations {
        &mut self.confirmations
    }

    /// Updates the revision of the configuration that the entry holds; an older one is ignored.
    pub fn apply_config_revision(&mut self, revision: Revision, now: MonoTime) {
        self.config = self.config.max(revision);
        self.record_own_state(now);
    }

    /// Replaces the member list; an older one is ignored.
    pub fn apply_members(&mut self, members: &Members, now: MonoTime) {
        if members.revision < self.members.revision {
            return;
        }
        self.members = members.clone();
        let current = &self.members;
        self.answers.retain(|id, answer| current.contains(id, answer.heartbeat.incarnation));
        self.confirmations.apply_members(&self.members, now);
        self.record_own_state(now);
    }

    /// Processes the result of the probe that was sent at `sent`.
    pub fn handle_probe(&mut self, sent: MonoTime, probe: ProbeResult, now: MonoTime) {
        if self.last_probe.is_none_or(|(last, _)| last <= sent) {
            self.last_probe = Some((sent, probe));
        }
        let is_current = matches!(probe, ProbeResult::Answered { config_current: true, members_current: true });
        if is_current && self.is_member() && self.own_current_probe.is_none_or(|p| p.sent <= sent) {
            self.own_current_probe = Some(OwnProbe { sent, members: self.members.revision });
            self.attested_members = Some(self.members.revision);
            self.record_known_probe(PastInstant { at: sent, age: Millis(0) }, now);
            self.confirmations.record_own_probe(sent);
        }
    }

    /// Processes the answer to the heartbeat that was sent at `sent`. Returns whether the sender holds a newer
    /// configuration or member list, which this entry should request from it.
    pub fn handle_answer(&mut self, answer: Heartbeat, sent: MonoTime, now: MonoTime) -> bool {
        let is_behind = self.handle_heartbeat(&answer, now);
        if !self.is_peer(&answer) || self.answers.get(&answer.entry).is_some_and(|a| a.sent > sent) {
            return is_behind;
        }
        let answer = Answer { sent, heartbeat: answer };
        if let Some(probe) = answer.probe()
            && answer.heartbeat.config_revision <= self.config
        {
            self.record_known_probe(probe, now);
        }
        self.answers.insert(answer.heartbeat.entry.clone(), answer);
        self.update_attestation();
        is_behind
    }

    /// Processes a heartbeat that a peer sent unsolicited: it confirms revisions but is no evidence of freshness,
    /// because nothing bounds its age. Returns whether the sender holds a newer configuration or member list.
    pub fn handle_heartbeat(&mut self, heartbeat: &Heartbeat, now: MonoTime) -> bool {
        self.confirmations.apply_heartbeat(heartbeat, now);
        heartbeat.config_revision > self.config || heartbeat.members_revision > self.members.revision
    }

    /// Builds a heartbeat to a peer, as a request or a response.
    #[must_use]
    pub fn heartbeat(&self, to: &EntryId, incarnation: Incarnation, now: MonoTime) -> Heartbeat {
        let reaches_store = matches!(self.last_probe, Some((_, ProbeResult::Answered { .. })));
        let probe = self.own_current_probe.filter(|p| reaches_store && p.members == self.members.revision);
        Heartbeat {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            config_revision: self.config,
            members_revision: self.members.revision,
            probe_age: probe.map(|p| now.since(p.sent)),
            counts_you: self.can_attest() && self.members.contains(to, incarnation),
        }
    }

    /// Checks whether the entry may start keyed work now, and returns what this is based on.
    ///
    /// # Errors
    ///
    /// Returns why the entry is stale if neither a recent probe, nor a peer, nor a majority shows it to be current.
    pub fn check_freshness(&self, now: MonoTime) -> Result<FreshnessBasis, StaleReason> {
        if !self.is_member() {
            return Err(StaleReason::NotMember);
        }
        if self.own_current_probe.is_some_and(|p| now.since(p.sent) <= FRESHNESS_BOUND) {
            return Ok(FreshnessBasis::Probe);
        }
        if let Some(peer) = self.find_attesting_peer(now) {
            return Ok(FreshnessBasis::Peer(peer.clone()));
        }
        self.check_majority(now).map(|()| FreshnessBasis::Majority)
    }

    /// Members that may be removed because they are silent. Empty unless this entry's own probe is fresh.
    #[must_use]
    pub fn find_silent(&self, now: MonoTime) -> Vec<(EntryId, Incarnation)> {
        if self.check_freshness(now) != Ok(FreshnessBasis::Probe) {
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

    /// Whether this entry is a member and was shown to be current under its present member list.
    fn can_attest(&self) -> bool {
        self.is_member() && self.attested_members == Some(self.members.revision)
    }

    fn record_known_probe(&mut self, probe: PastInstant, now: MonoTime) {
        if self.newest_known_probe.is_none_or(|known| probe.age(now) <= known.age(now)) {
            self.newest_known_probe = Some(probe);
        }
    }

    fn record_own_state(&mut self, now: MonoTime) {
        self.confirmations.record_own_state(self.config, self.members.revision, now);
        self.update_attestation();
    }

    /// Records that this entry was current under its member list if a peer shows it. A peer that was current under the
    /// same list, and whose configuration is not newer, shows that this entry holds at least the configuration that was
    /// current when the list was made.
    fn update_attestation(&mut self) {
        let is_shown = |a: &Answer| {
            a.heartbeat.counts_you
                && a.heartbeat.probe_age.is_some()
                && a.heartbeat.members_revision == self.members.revision
                && a.heartbeat.config_revision <= self.config
        };
        if self.answers.values().any(is_shown) {
            self.attested_members = Some(self.members.revision);
        }
    }

    fn find_attesting_peer(&self, now: MonoTime) -> Option<&EntryId> {
        let is_attesting = |answer: &Answer| {
            answer.heartbeat.counts_you
                && answer.heartbeat.config_revision <= self.config
                && answer.probe().is_some_and(|p| p.age(now) <= FRESHNESS_BOUND)
        };
        self.answers.iter().find(|(_, answer)| is_attesting(answer)).map(|(id, _)| id)
    }

    fn check_majority(&self, now: MonoTime) -> Result<(), StaleReason> {
        let recent = || self.answers.values().filter(|a| now.since(a.sent) <= FRESHNESS_BOUND).map(|a| &a.heartbeat);
        if recent().any(|h| h.config_revision > self.config || h.members_revision > self.members.revision) {
            return Err(StaleReason::Behind);
        }
        let reaches_store = matches!(self.last_probe, Some((_, ProbeResult::Answered { .. })));
        if reaches_store || recent().any(|h| h.probe_age.is_some()) {
            return Err(StaleReason::NotCurrent);
        }
        if !self.can_attest() {
            return Err(StaleReason::NeverCurrent);
        }
        let attesting = recent().filter(|h| h.counts_you && h.members_revision == self.members.revision).count();
        if attesting + 1 < self.members.majority() {
            return Err(StaleReason::NoMajority);
        }
        match self.newest_known_probe {
            Some(probe) if probe.age(now) <= self.outage_limit => Ok(()),
            _ => Err(StaleReason::OutageLimit),
        }
    }
}
