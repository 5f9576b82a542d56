//! Membership: the entries that count for freshness, and departed processes whose permits aren't reclaimed yet.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::commit::{self, DecodeError, Document, RecentChanges};
use crate::ids::{DataCentreId, EntryId, Incarnation};
use crate::units::WallTime;

pub use crate::confirmation::{Confirmations, InForce, InForceBasis, ReclaimBlocker};
pub use crate::freshness::{Freshness, FreshnessBasis, Heartbeat, ProbeResult, StaleReason};

/// Revision of the member list, counted from 1; 0 is the empty list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MembersRevision(pub u64);

impl MembersRevision {
    /// Returns the revision that follows this one.
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

/// Description of an entry process, given by the process when it joins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// Incarnation of the entry process.
    pub incarnation: Incarnation,
    /// Address at which other entries reach it.
    pub peer_address: SocketAddr,
    /// Address at which callers and operators reach it.
    pub client_address: SocketAddr,
    /// Data centre of the process.
    pub data_centre: DataCentreId,
    /// Time of joining, on the clock of the entry.
    pub joined_at: WallTime,
}

/// A current member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The process as it joined.
    pub process: Process,
    /// Revision at which it became a member.
    pub joined: MembersRevision,
}

/// How the membership of a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Departure {
    /// The process left by itself, after its last start.
    Left,
    /// Another process joined under its id. By assumption A6, no two processes run under one entry id at a time, so the
    /// former one no longer runs.
    Replaced,
    /// A peer removed the process; it may still run.
    Removed,
}

/// A process that is no longer a member but may still hold permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departed {
    /// Id of the entry.
    pub entry: EntryId,
    /// Incarnation of the entry process.
    pub incarnation: Incarnation,
    /// Address at which other entries test whether the process refuses connections, which means that it has ended.
    pub peer_address: SocketAddr,
    /// Revision at which it became a member.
    pub joined: MembersRevision,
    /// Revision at which its membership ended, whether it left, was replaced or was removed.
    pub removed: MembersRevision,
    /// How its membership ended.
    pub departure: Departure,
}

/// Command to the members document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum MembersCommand {
    /// Adds a process; an earlier process under the same id departs.
    Join {
        /// Id of the entry.
        entry: EntryId,
        /// Process that joins.
        process: Process,
    },
    /// Ends the sender's own membership. The sender must not start any task after sending this.
    Leave {
        /// Id of the entry.
        entry: EntryId,
        /// Incarnation of the entry process.
        incarnation: Incarnation,
    },
    /// Ends the membership of a process that sends no heartbeats.
    Remove {
        /// Id of the entry.
        entry: EntryId,
        /// Incarnation of the entry process.
        incarnation: Incarnation,
    },
    /// Records that no entry can be fresh any more by a majority of a member list before this revision.
    Settle {
        /// Revision of the oldest member list that may still be in use.
        revision: MembersRevision,
    },
    /// Drops a departed process whose permits were reclaimed in every quota shard.
    Forget {
        /// Id of the entry.
        entry: EntryId,
        /// Incarnation of the entry process.
        incarnation: Incarnation,
    },
}

/// Result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum MembersOutcome {
    /// The command created a new revision.
    Changed {
        /// The new revision.
        revision: MembersRevision,
    },
    /// Obsolete records were dropped, or older member lists were declared unused. The revision is unchanged.
    Compacted,
    /// Nothing changed, as with a repeated command.
    Unchanged,
    /// The process has already departed and must join as a new incarnation.
    AlreadyDeparted,
    /// The process or the revision is unknown, or a process to be dropped is still a member.
    Unknown,
}

/// The members document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Members {
    /// Latest revision.
    pub revision: MembersRevision,
    /// Current members.
    pub current: BTreeMap<EntryId, Member>,
    /// Oldest revision whose member list may still be in use: no entry can be fresh by a majority of an earlier list.
    pub settled: MembersRevision,
    /// Former members whose permits may not be reclaimed yet, ordered by departure.
    pub departed: Vec<Departed>,
    recent: RecentChanges,
}

impl Members {
    /// Whether the process is a member.
    #[must_use]
    pub fn contains(&self, entry: &EntryId, incarnation: Incarnation) -> bool {
        self.current.get(entry).is_some_and(|m| m.process.incarnation == incarnation)
    }

    /// Finds a departed process that is still listed.
    #[must_use]
    pub fn find_departed(&self, entry: &EntryId, incarnation: Incarnation) -> Option<&Departed> {
        self.departed.iter().find(|d| d.entry == *entry && d.incarnation == incarnation)
    }

    /// Smallest number of current members that is more than half of them.
    #[must_use]
    pub fn majority(&self) -> usize {
        find_majority(self.current.len())
    }

    /// Returns the members at a revision, as far as departed ones are still listed.
    ///
    /// Lists at and after [`Members::settled`] lack only processes that are known to start no more tasks.
    #[must_use]
    pub fn members_at(&self, revision: MembersRevision) -> Vec<(EntryId, Incarnation)> {
        let current = self.current.iter().filter(|(_, m)| m.joined <= revision);
        let departed = self.departed.iter().filter(|d| d.joined <= revision && revision < d.removed);
        current
            .map(|(id, m)| (id.clone(), m.process.incarnation))
            .chain(departed.map(|d| (d.entry.clone(), d.incarnation)))
            .collect()
    }

    /// Returns the revisions whose lists entries may still be using, in ascending order: [`Members::settled`] and those
    /// after it.
    #[must_use]
    pub fn revisions_in_use(&self) -> Vec<MembersRevision> {
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
        // By assumption A6, no two processes run under one entry id at a time, so a removed process under the id has
        // ended too, or runs on under the new incarnation only.
        self.departed.iter_mut().filter(|d| d.entry == *entry).for_each(|d| d.departure = Departure::Replaced);
        self.current.insert(entry.clone(), Member { process: process.clone(), joined: revision });
        self.revision = revision;
        MembersOutcome::Changed { revision }
    }

    fn end_member(&mut self, entry: &EntryId, incarnation: Incarnation, departure: Departure) -> MembersOutcome {
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
            MembersCommand::Leave { entry, incarnation } => self.end_member(entry, *incarnation, Departure::Left),
            MembersCommand::Remove { entry, incarnation } => self.end_member(entry, *incarnation, Departure::Removed),
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
