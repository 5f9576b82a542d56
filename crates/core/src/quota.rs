//! Permits of teams: how many tasks of a team each entry may run.
//!
//! The sum of a team's permits grows only up to its limit, whatever the order in which entries commit. Entries
//! that could not get as many as they asked for are listed with their wants, so that holders give back early.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::commit::{self, DecodeError, Document, RecentChanges};
use crate::ids::{EntryId, Incarnation, Revision, TeamId};

/// Fenced incarnations that are remembered for each entry id. A6 excludes that a process outlives that many
/// successors under its own id.
pub const KEPT_FENCES: usize = 16;

/// Changes of a team's permits after which a want no longer counts. Entries repeat their wants each second, and
/// all entries together make at most 60 writes a second, so a want that is older comes from an entry that has
/// stopped or is cut off.
pub const WANT_LIFETIME: u64 = 128;

/// Number of a command of one process, counted from 1.
///
/// A batch whose answer was lost is sent again with the same numbers, and takes effect once.
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
    /// Most tasks of the team; 0 for a team that doesn't exist.
    pub limit: u32,
    /// Revision of the last change of the team, or that of its removal. Changes of other teams don't count, so
    /// that they don't make commands out of date.
    pub config_revision: Revision,
}

/// A requested change of permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum QuotaCommand {
    /// States the limit of a team.
    SetLimit {
        /// Team.
        team: TeamId,
        /// Limit.
        limit: TeamLimit,
    },
    /// Asks for more permits. As many as are free are granted, and the rest is listed as a want.
    Take {
        /// Entry that asks.
        entry: EntryId,
        /// Run of its process.
        incarnation: Incarnation,
        /// Number of the command.
        number: CommandNumber,
        /// Team.
        team: TeamId,
        /// Permits asked for; 0 withdraws a want.
        count: u32,
        /// Limit that the entry knows.
        limit: TeamLimit,
    },
    /// Gives back permits that are not in use. The entry must not use them from the moment it sends this.
    Give {
        /// Entry that gives back.
        entry: EntryId,
        /// Run of its process.
        incarnation: Incarnation,
        /// Number of the command.
        number: CommandNumber,
        /// Team.
        team: TeamId,
        /// Permits.
        count: u32,
    },
    /// Fences a departed process and frees its permits, except those of tasks that workers report. It is
    /// repeated with fewer kept permits as these tasks end.
    Reclaim {
        /// Entry.
        entry: EntryId,
        /// Run of the departed process.
        incarnation: Incarnation,
        /// Permits still used by running tasks, by team.
        keep: BTreeMap<TeamId, u32>,
    },
}

/// What became of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum QuotaOutcome {
    /// The permits were taken; fewer than asked for if the limit allows no more.
    Taken {
        /// Permits granted.
        granted: u32,
        /// Permits that are now listed as a want.
        wanted: u32,
    },
    /// The permits, the limit or the fence changed as asked.
    Changed,
    /// There was nothing to do.
    Unchanged,
    /// The command took effect before.
    Repeated,
    /// The command knows an older limit than the document.
    OlderRevision {
        /// The limit in the document.
        current: TeamLimit,
    },
    /// The permits of the process were reclaimed; it can't hold any.
    Fenced,
    /// The process gives back more than it holds, which is an error of the sender.
    NotHeld {
        /// Permits that it holds.
        held: u32,
    },
}

/// Permits and wants of one process for one team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Permits held.
    pub held: u32,
    /// Permits asked for in vain.
    wanted: u32,
    /// Change number of the team at which the want was listed.
    wanted_at: u64,
}

/// Permits of one team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamPermits {
    /// Limit.
    pub limit: TeamLimit,
    /// Claims by entry and incarnation.
    claims: BTreeMap<EntryId, BTreeMap<Incarnation, Claim>>,
    /// Number of changes, by which wants grow old.
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
        self.claims.iter().flat_map(|(entry, runs)| runs.iter().map(move |(run, claim)| (entry, *run, claim)))
    }

    /// Permits that a process holds.
    #[must_use]
    pub fn held(&self, entry: &EntryId, incarnation: Incarnation) -> u32 {
        self.find(entry, incarnation).map_or(0, |claim| claim.held)
    }

    /// Unmet want of a process.
    #[must_use]
    pub fn wanted(&self, entry: &EntryId, incarnation: Incarnation) -> u32 {
        self.find(entry, incarnation).map_or(0, |claim| self.want_of(claim))
    }

    /// Unmet wants of all other entries.
    #[must_use]
    pub fn wanted_by_others(&self, entry: &EntryId) -> u32 {
        self.iter().filter(|(id, _, _)| *id != entry).map(|(_, _, claim)| self.want_of(claim)).sum()
    }

    /// The part of the limit that falls to each entry that holds or wants permits, `entry` included; rounded up.
    #[must_use]
    pub fn fair_part(&self, entry: &EntryId) -> u32 {
        let has_claim = |runs: &BTreeMap<Incarnation, Claim>| runs.values().any(|c| c.held > 0 || self.want_of(c) > 0);
        let others = self.claims.iter().filter(|(id, runs)| *id != entry && has_claim(runs)).count();
        self.limit.limit.div_ceil(u32::try_from(others + 1).unwrap_or(u32::MAX))
    }

    fn find(&self, entry: &EntryId, incarnation: Incarnation) -> Option<&Claim> {
        self.claims.get(entry)?.get(&incarnation)
    }

    fn want_of(&self, claim: &Claim) -> u32 {
        if self.changes.saturating_sub(claim.wanted_at) > WANT_LIFETIME { 0 } else { claim.wanted }
    }

    fn take(&mut self, entry: &EntryId, incarnation: Incarnation, count: u32) -> QuotaOutcome {
        let held = self.held(entry, incarnation);
        let free = self.limit.limit.saturating_sub(self.sum());
        // Up to the fair part an entry takes what is free, beyond it only what nobody else waits for.
        let fair = count.min(free).min(self.fair_part(entry).saturating_sub(held));
        let spare = (free - fair).saturating_sub(self.wanted_by_others(entry));
        let granted = fair + (count - fair).min(spare);
        let wanted = count - granted;
        self.changes += 1;
        let claim = Claim { held: held + granted, wanted, wanted_at: self.changes };
        self.set(entry, incarnation, claim);
        QuotaOutcome::Taken { granted, wanted }
    }

    fn set(&mut self, entry: &EntryId, incarnation: Incarnation, claim: Claim) {
        let runs = self.claims.entry(entry.clone()).or_default();
        if claim.held == 0 && claim.wanted == 0 {
            runs.remove(&incarnation);
        } else {
            runs.insert(incarnation, claim);
        }
        if runs.is_empty() {
            self.claims.remove(entry);
        }
    }
}

/// The permits document of a quota shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    teams: BTreeMap<TeamId, TeamPermits>,
    /// Last command of each process that took effect.
    last_commands: BTreeMap<EntryId, BTreeMap<Incarnation, CommandNumber>>,
    /// Fenced incarnations by entry, oldest first.
    fences: BTreeMap<EntryId, VecDeque<Incarnation>>,
    recent: RecentChanges,
}

impl Quota {
    /// Permits of a team.
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

    /// Last command of a process that took effect.
    #[must_use]
    pub fn last_command(&self, entry: &EntryId, incarnation: Incarnation) -> CommandNumber {
        self.last_commands.get(entry).and_then(|runs| runs.get(&incarnation)).copied().unwrap_or_default()
    }

    /// Permits that a process holds, by team, for its reclaim.
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
        self.teams.entry(team.clone()).or_default().take(id.0, id.1, count)
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
        if fences.len() == KEPT_FENCES {
            fences.pop_front();
        }
        fences.push_back(incarnation);
        if let Some(runs) = self.last_commands.get_mut(entry) {
            runs.remove(&incarnation);
        }
        self.last_commands.retain(|_, runs| !runs.is_empty());
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
