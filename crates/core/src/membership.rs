//! Members: the entries that count for freshness, with the departed ones whose permits are not yet reclaimed.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::commit::{self, DecodeError, Document, RecentChanges};
use crate::ids::{DataCentreId, EntryId, Incarnation};
use crate::units::WallTime;

pub use crate::confirmation::{Confirmations, InForce, InForceBasis, ReclaimDelay};
pub use crate::freshness::{Freshness, FreshnessBasis, Heartbeat, ProbeResult, StaleReason};

/// Number of a change of the members, counted from 1; 0 is the empty list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MembersRevision(pub u64);

impl MembersRevision {
    /// The revision after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for MembersRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What an entry says about itself when it joins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// Run of the entry process.
    pub incarnation: Incarnation,
    /// Address for other entries.
    pub peer_address: SocketAddr,
    /// Address for callers and operators.
    pub client_address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Time of joining on the clock of the entry.
    pub joined_at: WallTime,
}

/// A current member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The process.
    pub process: Process,
    /// Revision that made it a member.
    pub joined: MembersRevision,
}

/// How a process ceased to be a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Departure {
    /// It said so, after its last start.
    Left,
    /// Another process started under its id; by assumption A6 it no longer runs.
    Replaced,
    /// A peer removed it; it may still run.
    Removed,
}

/// A process that is no longer a member but may still hold permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departed {
    /// Entry.
    pub entry: EntryId,
    /// Run of the entry process.
    pub incarnation: Incarnation,
    /// Address for other entries, to see whether it refuses connections.
    pub peer_address: SocketAddr,
    /// Revision that made it a member.
    pub joined: MembersRevision,
    /// Revision that ended its membership.
    pub removed: MembersRevision,
    /// How it ceased to be a member.
    pub departure: Departure,
}

/// A requested change of the members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum MembersCommand {
    /// Adds a process; a former process under the same id departs.
    Join {
        /// Entry.
        entry: EntryId,
        /// The process.
        process: Process,
    },
    /// Ends the sender's own membership. It must start nothing after it sent this.
    Leave {
        /// Entry.
        entry: EntryId,
        /// Run of the entry process.
        incarnation: Incarnation,
    },
    /// Ends the membership of a process that sends no heartbeats.
    Remove {
        /// Entry.
        entry: EntryId,
        /// Run of the entry process.
        incarnation: Incarnation,
    },
    /// States that no entry can be fresh any more by a majority of a list before this revision.
    Settle {
        /// Oldest list that may still be in use.
        revision: MembersRevision,
    },
    /// Forgets a departed process whose permits were reclaimed in every quota shard.
    Forget {
        /// Entry.
        entry: EntryId,
        /// Run of the entry process.
        incarnation: Incarnation,
    },
}

/// What became of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum MembersOutcome {
    /// The change made this revision.
    Changed {
        /// New revision.
        revision: MembersRevision,
    },
    /// Old records were dropped, which leaves the revision as it was.
    Compacted,
    /// There was nothing to do, as with a repeated command.
    Unchanged,
    /// The process departed earlier; it has to join as a new incarnation.
    AlreadyDeparted,
    /// There is no such process.
    Unknown,
}

/// The members document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Members {
    /// Last revision.
    pub revision: MembersRevision,
    /// Current members.
    pub current: BTreeMap<EntryId, Member>,
    /// No entry can be fresh by a majority of a list before this revision.
    pub settled: MembersRevision,
    /// Former members whose permits may not be reclaimed yet, oldest first.
    pub departed: Vec<Departed>,
    recent: RecentChanges,
}

impl Members {
    /// Whether the process is a member.
    #[must_use]
    pub fn contains(&self, entry: &EntryId, incarnation: Incarnation) -> bool {
        self.current.get(entry).is_some_and(|m| m.process.incarnation == incarnation)
    }

    /// The departed process, if it is still listed.
    #[must_use]
    pub fn find_departed(&self, entry: &EntryId, incarnation: Incarnation) -> Option<&Departed> {
        self.departed.iter().find(|d| d.entry == *entry && d.incarnation == incarnation)
    }

    /// Smallest number of members that is more than half.
    #[must_use]
    pub fn majority(&self) -> usize {
        find_majority(self.current.len())
    }

    /// The members at an earlier revision, as far as the departed ones are still listed.
    ///
    /// Lists at and after [`Members::settled`] lack only processes that are known to start nothing any more.
    #[must_use]
    pub fn list_at(&self, revision: MembersRevision) -> Vec<(EntryId, Incarnation)> {
        let current = self.current.iter().filter(|(_, m)| m.joined <= revision);
        let departed = self.departed.iter().filter(|d| d.joined <= revision && revision < d.removed);
        current
            .map(|(id, m)| (id.clone(), m.process.incarnation))
            .chain(departed.map(|d| (d.entry.clone(), d.incarnation)))
            .collect()
    }

    /// The revisions whose lists may still be in use somewhere, oldest first: the settled one and those after it.
    #[must_use]
    pub fn revisions(&self) -> Vec<MembersRevision> {
        let joined = self.current.values().map(|m| m.joined);
        let departed = self.departed.iter().flat_map(|d| [d.joined, d.removed]);
        let later = joined.chain(departed).filter(|r| *r > self.settled);
        let mut revisions: Vec<_> = later.chain([self.settled, self.revision]).collect();
        revisions.sort_unstable();
        revisions.dedup();
        revisions
    }

    fn join(&mut self, entry: &EntryId, process: &Process) -> MembersOutcome {
        if self.find_departed(entry, process.incarnation).is_some() {
            return MembersOutcome::AlreadyDeparted;
        }
        if self.contains(entry, process.incarnation) {
            return MembersOutcome::Unchanged;
        }
        let revision = self.revision.next();
        self.depart(entry, Departure::Replaced, revision);
        // By A6 a removed process under the id has ended too, or goes on under the new incarnation only.
        self.departed.iter_mut().filter(|d| d.entry == *entry).for_each(|d| d.departure = Departure::Replaced);
        self.current.insert(entry.clone(), Member { process: process.clone(), joined: revision });
        self.revision = revision;
        MembersOutcome::Changed { revision }
    }

    fn end(&mut self, entry: &EntryId, incarnation: Incarnation, departure: Departure) -> MembersOutcome {
        if self.find_departed(entry, incarnation).is_some() {
            return MembersOutcome::Unchanged;
        }
        if !self.contains(entry, incarnation) {
            return MembersOutcome::Unknown;
        }
        let revision = self.revision.next();
        self.depart(entry, departure, revision);
        self.revision = revision;
        MembersOutcome::Changed { revision }
    }

    fn depart(&mut self, entry: &EntryId, departure: Departure, removed: MembersRevision) {
        let Some(member) = self.current.remove(entry) else { return };
        self.departed.push(Departed {
            entry: entry.clone(),
            incarnation: member.process.incarnation,
            peer_address: member.process.peer_address,
            joined: member.joined,
            removed,
            departure,
        });
    }

    fn settle(&mut self, revision: MembersRevision) -> MembersOutcome {
        if revision > self.revision {
            return MembersOutcome::Unknown;
        }
        if revision <= self.settled {
            return MembersOutcome::Unchanged;
        }
        self.settled = revision;
        MembersOutcome::Compacted
    }

    fn forget(&mut self, entry: &EntryId, incarnation: Incarnation) -> MembersOutcome {
        let before = self.departed.len();
        self.departed.retain(|d| d.entry != *entry || d.incarnation != incarnation);
        if self.departed.len() < before {
            MembersOutcome::Compacted
        } else if self.contains(entry, incarnation) {
            MembersOutcome::Unknown
        } else {
            MembersOutcome::Unchanged
        }
    }
}

/// Smallest number that is more than half of `count`.
#[must_use]
pub const fn find_majority(count: usize) -> usize {
    count / 2 + 1
}

impl Document for Members {
    type Command = MembersCommand;
    type Outcome = MembersOutcome;

    fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        commit::decode_json("member list", bytes)
    }

    fn encode(&self) -> Vec<u8> {
        commit::encode_json(self)
    }

    fn apply(&mut self, command: &MembersCommand) -> MembersOutcome {
        match command {
            MembersCommand::Join { entry, process } => self.join(entry, process),
            MembersCommand::Leave { entry, incarnation } => self.end(entry, *incarnation, Departure::Left),
            MembersCommand::Remove { entry, incarnation } => self.end(entry, *incarnation, Departure::Removed),
            MembersCommand::Settle { revision } => self.settle(*revision),
            MembersCommand::Forget { entry, incarnation } => self.forget(entry, *incarnation),
        }
    }

    fn is_change(outcome: &MembersOutcome) -> bool {
        matches!(outcome, MembersOutcome::Changed { .. } | MembersOutcome::Compacted)
    }

    fn recent(&self) -> &RecentChanges {
        &self.recent
    }

    fn recent_mut(&mut self) -> &mut RecentChanges {
        &mut self.recent
    }
}
