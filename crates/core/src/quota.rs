//! Permits of teams: how many tasks of a team each entry may run.
//!
//! The sum of a team's permits grows only up to its limit, whatever the order in which entries commit. The unmet
//! demand of entries that got fewer permits than they requested is recorded, so that holders return permits early.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::commit::{self, DecodeError, Document, RecentChanges};
use crate::ids::{EntryId, Incarnation, Revision, TeamId};

/// Fenced incarnations that are remembered for each entry id. Older fences are dropped, which is safe by assumption A6:
/// no process outlives this many successors under its own entry id.
pub const MAX_FENCES_PER_ENTRY: usize = 16;

/// Number of changes of a team's permits after which recorded demand expires. Entries repeat their demand each second,
/// and all entries together make at most 60 writes a second, so older demand comes from an entry that has stopped or
/// is disconnected.
pub const DEMAND_LIFETIME_CHANGES: u64 = 128;

/// Sequence number of a command within one process, counted from 1.
///
/// A batch whose response was lost is sent again with the same numbers, and takes effect once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CommandNumber(pub u64);

impl CommandNumber {
    /// The number after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A team's limit as of a configuration revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamLimit {
    /// Maximum number of running tasks of the team; 0 for a team that doesn't exist.
    pub limit: u32,
    /// Configuration revision of the last change or the removal of the team. Changes of other teams don't count, so
    /// that they don't make commands outdated.
    pub config_revision: Revision,
}

/// A requested change of permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum QuotaCommand {
    /// Sets the limit of a team.
    SetLimit {
        /// Team whose limit is set.
        team: TeamId,
        /// Limit, which applies if its revision is newer than the stored one.
        limit: TeamLimit,
    },
    /// Requests more permits. As many as are available to the entry are granted, and the rest is recorded as unmet
    /// demand.
    Take {
        /// Entry that requests permits.
        entry: EntryId,
        /// Incarnation of its process.
        incarnation: Incarnation,
        /// Sequence number of the command.
        number: CommandNumber,
        /// Team whose permits are requested.
        team: TeamId,
        /// Permits requested; 0 withdraws recorded demand.
        count: u32,
        /// Limit that the entry knows; the command fails if it is older than the stored one.
        limit: TeamLimit,
    },
    /// Returns permits that are not in use. The entry must not use them from the moment it sends this command.
    Give {
        /// Entry that returns permits.
        entry: EntryId,
        /// Incarnation of its process.
        incarnation: Incarnation,
        /// Sequence number of the command.
        number: CommandNumber,
        /// Team whose permits are returned.
        team: TeamId,
        /// Number of permits returned.
        count: u32,
    },
    /// Fences a departed process and frees its permits, except those of tasks that workers still report. The command
    /// is repeated with fewer kept permits as these tasks end.
    Reclaim {
        /// Entry id of the departed process.
        entry: EntryId,
        /// Incarnation of the departed process.
        incarnation: Incarnation,
        /// Permits still used by running tasks, by team.
        keep: BTreeMap<TeamId, u32>,
    },
}

/// Result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum QuotaOutcome {
    /// Permits were granted; fewer than requested if the limit or the demand of other entries allows no more.
    Taken {
        /// Number of permits granted.
        granted: u32,
        /// Requested permits that were not granted, now recorded as unmet demand.
        wanted: u32,
    },
    /// The permits, the limit or the fence changed as requested.
    Changed,
    /// The document already was as requested.
    Unchanged,
    /// The command is a repetition of one that has already taken effect.
    Repeated,
    /// The limit in the command is older than that in the document.
    OlderRevision {
        /// The limit in the document.
        current: TeamLimit,
    },
    /// The permits of the process were reclaimed, so it can't hold any.
    Fenced,
    /// The process returned more permits than it holds, which is an error of the sender.
    NotHeld {
        /// Number of permits that it holds.
        held: u32,
    },
}

/// Permits and unmet demand of one process for one team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Number of permits held.
    pub held: u32,
    /// Unmet demand: permits that were requested but not granted.
    wanted: u32,
    /// Value of the team's change counter when the demand was recorded.
    wanted_at: u64,
}

/// Limit of one team, and the permits and demand of all processes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamPermits {
    /// Limit of the sum of all permits.
    pub limit: TeamLimit,
    /// Claims by entry and incarnation.
    claims: BTreeMap<EntryId, BTreeMap<Incarnation, Claim>>,
    /// Number of changes, from which the age of recorded demand follows.
    changes: u64,
}

impl TeamPermits {
    /// Permits that all processes hold together.
    #[must_use]
    pub fn sum(&self) -> u32 {
        self.iter().map(|(_, _, claim)| claim.held).sum()
    }

    /// Claims of all processes.
    pub fn iter(&self) -> impl Iterator<Item = (&EntryId, Incarnation, &Claim)> {
        self.claims.iter().flat_map(|(entry, processes)| {
            processes.iter().map(move |(incarnation, claim)| (entry, *incarnation, claim))
        })
    }

    /// Permits that a process holds.
    #[must_use]
    pub fn held(&self, entry: &EntryId, incarnation: Incarnation) -> u32 {
        self.find(entry, incarnation).map_or(0, |claim| claim.held)
    }

    /// Unmet demand of a process; 0 once it has expired.
    #[must_use]
    pub fn unmet_demand(&self, entry: &EntryId, incarnation: Incarnation) -> u32 {
        self.find(entry, incarnation).map_or(0, |claim| self.current_demand(claim))
    }

    /// Sum of the unmet demand of all other entries.
    #[must_use]
    pub fn demand_of_others(&self, entry: &EntryId) -> u32 {
        self.iter().filter(|(id, _, _)| *id != entry).map(|(_, _, claim)| self.current_demand(claim)).sum()
    }

    /// Equal share of the limit for each entry that holds or demands permits, `entry` included; rounded up.
    #[must_use]
    pub fn fair_share(&self, entry: &EntryId) -> u32 {
        let has_claim = |processes: &BTreeMap<Incarnation, Claim>| {
            processes.values().any(|c| c.held > 0 || self.current_demand(c) > 0)
        };
        let others = self.claims.iter().filter(|(id, processes)| *id != entry && has_claim(processes)).count();
        self.limit.limit.div_ceil(u32::try_from(others + 1).unwrap_or(u32::MAX))
    }

    fn find(&self, entry: &EntryId, incarnation: Incarnation) -> Option<&Claim> {
        self.claims.get(entry)?.get(&incarnation)
    }

    fn current_demand(&self, claim: &Claim) -> u32 {
        if self.changes.saturating_sub(claim.wanted_at) > DEMAND_LIFETIME_CHANGES { 0 } else { claim.wanted }
    }

    fn grant(&mut self, entry: &EntryId, incarnation: Incarnation, count: u32) -> QuotaOutcome {
        let held = self.held(entry, incarnation);
        let free = self.limit.limit.saturating_sub(self.sum());
        // Up to its fair share an entry gets any free permits, beyond it only those that no other entry demands.
        let fair = count.min(free).min(self.fair_share(entry).saturating_sub(held));
        let spare = (free - fair).saturating_sub(self.demand_of_others(entry));
        let granted = fair + (count - fair).min(spare);
        let wanted = count - granted;
        self.changes += 1;
        let claim = Claim { held: held + granted, wanted, wanted_at: self.changes };
        self.set(entry, incarnation, claim);
        QuotaOutcome::Taken { granted, wanted }
    }

    /// Stores a claim; an empty one is removed.
    fn set(&mut self, entry: &EntryId, incarnation: Incarnation, claim: Claim) {
        let processes = self.claims.entry(entry.clone()).or_default();
        if claim.held == 0 && claim.wanted == 0 {
            processes.remove(&incarnation);
        } else {
            processes.insert(incarnation, claim);
        }
        if processes.is_empty() {
            self.claims.remove(entry);
        }
    }
}

/// The permits document of a quota shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    teams: BTreeMap<TeamId, TeamPermits>,
    /// Last command that took effect, of each process.
    last_commands: BTreeMap<EntryId, BTreeMap<Incarnation, CommandNumber>>,
    /// Fenced incarnations by entry, oldest first.
    fences: BTreeMap<EntryId, VecDeque<Incarnation>>,
    recent: RecentChanges,
}

impl Quota {
    /// Permits of a team; `None` if the document has none for it.
    #[must_use]
    pub fn team(&self, team: &TeamId) -> Option<&TeamPermits> {
        self.teams.get(team)
    }

    /// Permits of all teams.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamId, &TeamPermits)> {
        self.teams.iter()
    }

    /// Whether the permits of a process were reclaimed.
    #[must_use]
    pub fn is_fenced(&self, entry: &EntryId, incarnation: Incarnation) -> bool {
        self.fences.get(entry).is_some_and(|fences| fences.contains(&incarnation))
    }

    /// Last command of a process that took effect; 0 if none has.
    #[must_use]
    pub fn last_command(&self, entry: &EntryId, incarnation: Incarnation) -> CommandNumber {
        self.last_commands.get(entry).and_then(|processes| processes.get(&incarnation)).copied().unwrap_or_default()
    }

    /// Permits that a process holds, by team; teams without any are left out.
    #[must_use]
    pub fn held_by(&self, entry: &EntryId, incarnation: Incarnation) -> BTreeMap<TeamId, u32> {
        let held = self.teams.iter().map(|(id, team)| (id.clone(), team.held(entry, incarnation)));
        held.filter(|(_, held)| *held > 0).collect()
    }

    fn set_limit(&mut self, team: &TeamId, limit: TeamLimit) -> QuotaOutcome {
        let current = self.teams.get(team).map(|t| t.limit).unwrap_or_default();
        if limit.config_revision < current.config_revision {
            return QuotaOutcome::OlderRevision { current };
        }
        if limit.config_revision == current.config_revision {
            return QuotaOutcome::Unchanged;
        }
        self.teams.entry(team.clone()).or_default().limit = limit;
        QuotaOutcome::Changed
    }

    fn take(&mut self, id: (&EntryId, Incarnation), team: &TeamId, count: u32, limit: TeamLimit) -> QuotaOutcome {
        if let older @ QuotaOutcome::OlderRevision { .. } = self.set_limit(team, limit) {
            return older;
        }
        self.teams.entry(team.clone()).or_default().grant(id.0, id.1, count)
    }

    fn give(&mut self, id: (&EntryId, Incarnation), team: &TeamId, count: u32) -> QuotaOutcome {
        let Some(permits) = self.teams.get_mut(team) else { return QuotaOutcome::NotHeld { held: 0 } };
        let held = permits.held(id.0, id.1);
        let Some(left) = held.checked_sub(count) else { return QuotaOutcome::NotHeld { held } };
        permits.changes += 1;
        permits.set(id.0, id.1, Claim { held: left, ..Claim::default() });
        QuotaOutcome::Changed
    }

    fn reclaim(&mut self, entry: &EntryId, incarnation: Incarnation, keep: &BTreeMap<TeamId, u32>) -> QuotaOutcome {
        let mut changed = false;
        for (id, team) in &mut self.teams {
            let Some(claim) = team.find(entry, incarnation).copied() else { continue };
            let held = claim.held.min(keep.get(id).copied().unwrap_or(0));
            if held < claim.held || claim.wanted > 0 {
                team.changes += 1;
                team.set(entry, incarnation, Claim { held, ..Claim::default() });
                changed = true;
            }
        }
        if !self.is_fenced(entry, incarnation) {
            self.fence(entry, incarnation);
            changed = true;
        }
        if changed { QuotaOutcome::Changed } else { QuotaOutcome::Unchanged }
    }

    fn fence(&mut self, entry: &EntryId, incarnation: Incarnation) {
        let fences = self.fences.entry(entry.clone()).or_default();
        if fences.len() == MAX_FENCES_PER_ENTRY {
            fences.pop_front();
        }
        fences.push_back(incarnation);
        if let Some(processes) = self.last_commands.get_mut(entry) {
            processes.remove(&incarnation);
        }
        self.last_commands.retain(|_, processes| !processes.is_empty());
    }

    fn apply_numbered(
        &mut self,
        entry: &EntryId,
        incarnation: Incarnation,
        number: CommandNumber,
        apply: impl FnOnce(&mut Self) -> QuotaOutcome,
    ) -> QuotaOutcome {
        if self.is_fenced(entry, incarnation) {
            return QuotaOutcome::Fenced;
        }
        if number <= self.last_command(entry, incarnation) {
            return QuotaOutcome::Repeated;
        }
        let outcome = apply(self);
        if Self::is_change(&outcome) {
            self.last_commands.entry(entry.clone()).or_default().insert(incarnation, number);
        }
        outcome
    }
}

impl Document for Quota {
    type Command = QuotaCommand;
    type Outcome = QuotaOutcome;

    fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        commit::decode_json("permits document", bytes)
    }

    fn encode(&self) -> Vec<u8> {
        commit::encode_json(self)
    }

    fn apply(&mut self, command: &QuotaCommand) -> QuotaOutcome {
        match command {
            QuotaCommand::SetLimit { team, limit } => self.set_limit(team, *limit),
            QuotaCommand::Take { entry, incarnation, number, team, count, limit } => {
                self.apply_numbered(entry, *incarnation, *number, |quota| {
                    quota.take((entry, *incarnation), team, *count, *limit)
                })
            }
            QuotaCommand::Give { entry, incarnation, number, team, count } => {
                self.apply_numbered(entry, *incarnation, *number, |quota| {
                    quota.give((entry, *incarnation), team, *count)
                })
            }
            QuotaCommand::Reclaim { entry, incarnation, keep } => self.reclaim(entry, *incarnation, keep),
        }
    }

    fn is_change(outcome: &QuotaOutcome) -> bool {
        matches!(outcome, QuotaOutcome::Taken { .. } | QuotaOutcome::Changed)
    }

    fn recent(&self) -> &RecentChanges {
        &self.recent
    }

    fn recent_mut(&mut self) -> &mut RecentChanges {
        &mut self.recent
    }
}
