//! An entry's use of its permits.
//!
//! The permits document decides how many permits the entry holds. This module counts their use exactly, and
//! decides when to ask for more and when to give back, with few writes to the store.

use std::collections::BTreeMap;

use crate::ids::{EntryId, Incarnation, StoreVersion, TeamId};
use crate::quota::{CommandNumber, Quota, QuotaCommand, TeamLimit, TeamPermits};
use crate::units::{Millis, MonoTime};

/// Time for which permits stay unused before they are given back. Spikes last some seconds and come back, so a
/// shorter time would take the same permits again and again.
pub const IDLE_DELAY: Millis = Millis(10_000);

/// Smallest number of permits that an entry asks for, if the limit allows it.
pub const MIN_BATCH: u32 = 4;

/// Most writes that an entry makes to permits documents, per second. Nine entries stay within the budget of 60
/// writes a second.
pub const MAX_WRITES_PER_SECOND: u64 = 6;

/// Time after which an unmet want is repeated, so that it doesn't grow old.
pub const WANT_INTERVAL: Millis = Millis(1_000);

/// Time constant of the mean use.
const MEAN_TIME: Millis = Millis(30_000);

/// Scale of the mean use: thousandths of a permit.
const MEAN_SCALE: u64 = 1_000;

/// The right to run one task of a team. It is given back to [`Permits::finished`] when the task has certainly
/// ended, and can't be copied, so it is counted once.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit that is dropped stays counted as in use"]
pub struct Permit {
    team: TeamId,
}

impl Permit {
    /// Team of the task.
    #[must_use]
    pub const fn team(&self) -> &TeamId {
        &self.team
    }
}

/// Permits of one team at this entry, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Permits held according to the document.
    pub held: u32,
    /// Permits used by tasks.
    pub in_use: u32,
    /// Permits that are being given back.
    pub giving: u32,
    /// Whether starts wait until the team's permits are within a lowered limit.
    pub over_limit: bool,
}

#[derive(Clone, Debug, Default)]
struct Local {
    in_use: u32,
    /// Limit as of the configuration that the entry holds.
    limit: TeamLimit,
    /// Starts refused for want of a permit since the last request to take.
    refused: u32,
    /// Least number of idle permits since `idle_since`.
    min_idle: u32,
    idle_since: MonoTime,
    /// Most tasks at once since `idle_since`, and in the period before.
    peak: u32,
    last_peak: u32,
    /// Mean use, in thousandths.
    mean: u64,
    mean_at: MonoTime,
    last_take: Option<MonoTime>,
}

/// Commands on their way to the document.
#[derive(Clone, Debug)]
struct Batch {
    commands: Vec<QuotaCommand>,
    last: CommandNumber,
    in_flight: bool,
}

/// Permits of an entry in one quota shard.
#[derive(Clone, Debug)]
pub struct Permits {
    entry: EntryId,
    incarnation: Incarnation,
    version: StoreVersion,
    document: Quota,
    teams: BTreeMap<TeamId, Local>,
    batch: Option<Batch>,
    next_number: CommandNumber,
    writes_left: u64,
    refilled_at: MonoTime,
}

impl Permits {
    /// Creates the state of a process that holds no permits.
    #[must_use]
    pub fn new(entry: EntryId, incarnation: Incarnation) -> Self {
        Self {
            entry,
            incarnation,
            version: StoreVersion(0),
            document: Quota::default(),
            teams: BTreeMap::new(),
            batch: None,
            next_number: CommandNumber(1),
            writes_left: MAX_WRITES_PER_SECOND,
            refilled_at: MonoTime(0),
        }
    }

    /// Takes a team's limit from the configuration; one of an older revision is ignored.
    pub fn set_limit(&mut self, team: &TeamId, limit: TeamLimit) {
        let local = self.teams.entry(team.clone()).or_default();
        if limit.config_revision > local.limit.config_revision {
            local.limit = limit;
        }
    }

    /// Takes a copy of the document from a read, a watch or a commit; an older one is ignored.
    pub fn take_document(&mut self, version: StoreVersion, document: &Quota) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.document = document.clone();
        let last = document.last_command(&self.entry, self.incarnation);
        if self.batch.as_ref().is_some_and(|batch| batch.last <= last) {
            self.batch = None;
        }
    }

    /// Whether a task of the team could get a permit now.
    #[must_use]
    pub fn may_start(&self, team: &TeamId) -> bool {
        let usage = self.usage(team);
        self.teams.contains_key(team) && !usage.over_limit && usage.in_use < self.find_usable(team, usage)
    }

    /// Takes a permit for one task, if there is one.
    pub fn try_start(&mut self, team: &TeamId, now: MonoTime) -> Option<Permit> {
        let usage = self.usage(team);
        let usable = if usage.over_limit { 0 } else { self.find_usable(team, usage) };
        let local = self.teams.get_mut(team)?;
        local.advance(now);
        if usage.in_use >= usable {
            local.refused = local.refused.saturating_add(1);
            local.min_idle = 0;
            return None;
        }
        local.in_use += 1;
        local.peak = local.peak.max(local.in_use);
        local.min_idle = local.min_idle.min(usable - local.in_use);
        Some(Permit { team: team.clone() })
    }

    /// Returns the permit of a task that has ended. A start whose answer was lost keeps its permit until the
    /// worker reports the task or its slot lease has lapsed.
    pub fn finished(&mut self, permit: Permit, now: MonoTime) {
        if let Some(local) = self.teams.get_mut(&permit.team) {
            local.advance(now);
            local.in_use = local.in_use.saturating_sub(1);
        }
    }

    /// Commands to commit next, as one batch; empty if there is nothing to do, a batch is on its way, or the
    /// writes of this second are used up. The caller reports the end of the commit with [`Permits::committed`] or
    /// [`Permits::not_committed`].
    pub fn wanted(&mut self, now: MonoTime) -> Vec<QuotaCommand> {
        self.refill_writes(now);
        if self.batch.as_ref().is_some_and(|batch| batch.in_flight) || self.writes_left == 0 {
            return Vec::new();
        }
        if self.batch.is_none() {
            self.batch = self.make_batch(now);
        }
        let Some(batch) = &mut self.batch else { return Vec::new() };
        batch.in_flight = true;
        self.writes_left -= 1;
        batch.commands.clone()
    }

    /// Takes the end of a commit: the document as committed, or as read if every command was rejected.
    pub fn committed(&mut self, version: StoreVersion, document: &Quota) {
        self.batch = None;
        self.take_document(version, document);
    }

    /// Notes that a commit ended without a known effect. The same commands are sent again later, because permits
    /// that were being given back must not be given back twice.
    pub fn not_committed(&mut self) {
        if let Some(batch) = &mut self.batch {
            batch.in_flight = false;
        }
    }

    /// Use of a team's permits.
    #[must_use]
    pub fn usage(&self, team: &TeamId) -> Usage {
        let permits = self.document.team(team);
        let local = self.teams.get(team);
        Usage {
            held: permits.map_or(0, |p| p.held(&self.entry, self.incarnation)),
            in_use: local.map_or(0, |l| l.in_use),
            giving: self.count_giving(team),
            over_limit: self.is_over_limit(permits, local),
        }
    }

    /// Permits in use by team, for the heartbeat of usage and for tests.
    pub fn in_use(&self) -> impl Iterator<Item = (&TeamId, u32)> {
        self.teams.iter().map(|(team, local)| (team, local.in_use))
    }

    /// Whether starts of the team have to wait.
    ///
    /// While the document shows more permits than the limit, a start by anyone could exceed the limit. A copy of
    /// the document that doesn't know a lowered limit yet can't tell.
    fn is_over_limit(&self, permits: Option<&TeamPermits>, local: Option<&Local>) -> bool {
        let (Some(permits), Some(local)) = (permits, local) else { return false };
        let is_unaware = local.limit.config_revision > permits.limit.config_revision;
        let lowered = is_unaware && local.limit.limit < permits.limit.limit;
        lowered || permits.sum() > permits.limit.limit
    }

    fn count_giving(&self, team: &TeamId) -> u32 {
        let last = self.document.last_command(&self.entry, self.incarnation);
        let commands = self.batch.iter().flat_map(|batch| &batch.commands);
        let given = commands.map(|command| match command {
            QuotaCommand::Give { team: t, count, number, .. } if t == team && *number > last => *count,
            _ => 0,
        });
        given.sum()
    }

    /// Permits that tasks may use now: those held, except those being given back, and only the fair part while
    /// other entries wait.
    fn find_usable(&self, team: &TeamId, usage: Usage) -> u32 {
        if self.document.is_fenced(&self.entry, self.incarnation) {
            return 0;
        }
        let usable = usage.held.saturating_sub(usage.giving);
        match self.document.team(team) {
            Some(permits) if permits.demand_of_others(&self.entry) > 0 => usable.min(permits.fair_part(&self.entry)),
            _ => usable,
        }
    }

    fn refill_writes(&mut self, now: MonoTime) {
        let step = 1_000 / MAX_WRITES_PER_SECOND;
        let writes = now.since(self.refilled_at).0 / step;
        self.writes_left = self.writes_left.saturating_add(writes).min(MAX_WRITES_PER_SECOND);
        self.refilled_at = self.refilled_at + Millis(writes * step);
    }

    fn make_batch(&mut self, now: MonoTime) -> Option<Batch> {
        if self.document.is_fenced(&self.entry, self.incarnation) {
            return None;
        }
        let teams: Vec<_> = self.teams.keys().cloned().collect();
        let mut commands = Vec::new();
        for team in teams {
            let Some(change) = self.find_change(&team, now) else { continue };
            commands.push(self.make_command(&team, change));
        }
        let last = CommandNumber(self.next_number.0 - 1);
        (!commands.is_empty()).then_some(Batch { commands, last, in_flight: false })
    }

    fn make_command(&mut self, team: &TeamId, change: Change) -> QuotaCommand {
        let (entry, incarnation, team) = (self.entry.clone(), self.incarnation, team.clone());
        let limit = self.teams.get(&team).map(|local| local.limit).unwrap_or_default();
        let number = self.next_number;
        match change {
            Change::SetLimit => QuotaCommand::SetLimit { team, limit },
            Change::Take(count) => {
                self.next_number = number.next();
                QuotaCommand::Take { entry, incarnation, number, team, count, limit }
            }
            Change::Give(count) => {
                self.next_number = number.next();
                QuotaCommand::Give { entry, incarnation, number, team, count }
            }
        }
    }

    fn find_change(&mut self, team: &TeamId, now: MonoTime) -> Option<Change> {
        let usage = self.usage(team);
        let local = self.teams.get_mut(team)?;
        local.advance(now);
        let empty = TeamPermits::default();
        let permits = self.document.team(team).unwrap_or(&empty);
        let view = View {
            held: usage.held,
            limit: local.limit,
            sum: permits.sum(),
            known: permits.limit,
            wanted: permits.unmet_demand(&self.entry, self.incarnation),
            others: permits.demand_of_others(&self.entry),
            fair: permits.fair_part(&self.entry),
        };
        local.find_change(&view, now)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    SetLimit,
    Take(u32),
    Give(u32),
}

/// A team in the document, as seen by one entry.
struct View {
    held: u32,
    limit: TeamLimit,
    sum: u32,
    known: TeamLimit,
    wanted: u32,
    others: u32,
    fair: u32,
}

impl Local {
    fn advance(&mut self, now: MonoTime) {
        let passed = now.since(self.mean_at).0.min(MEAN_TIME.0);
        let used = u64::from(self.in_use) * MEAN_SCALE;
        self.mean = (self.mean * (MEAN_TIME.0 - passed) + used * passed) / MEAN_TIME.0;
        self.mean_at = now;
    }

    /// Permits kept ready beyond those in use: as many as the mean use, so that a spike to five times the mean
    /// needs two or three requests.
    fn find_spare(&self) -> u32 {
        let mean = u32::try_from(self.mean.div_ceil(MEAN_SCALE)).unwrap_or(u32::MAX);
        mean.max(MIN_BATCH)
    }

    fn find_change(&mut self, view: &View, now: MonoTime) -> Option<Change> {
        let idle = view.held.saturating_sub(self.in_use);
        let idle_long = self.end_idle_period(idle, now);
        // Until the document knows a lowered limit, others may still take up to the old one.
        if view.limit.config_revision > view.known.config_revision && view.limit.limit < view.known.limit {
            return Some(Change::SetLimit);
        }
        // Without idle permits the entry asks for more as usual, which at least shows it the present document.
        if view.sum > view.known.limit && idle > 0 {
            return Some(Change::Give(idle.min(view.sum - view.known.limit)));
        }
        if view.others > 0 && idle > 0 {
            let needed = self.peak.max(self.last_peak).min(view.fair).max(self.in_use);
            let given = view.held.saturating_sub(needed).min(view.others);
            if given > 0 {
                return Some(Change::Give(given));
            }
        }
        match self.find_missing(view, idle) {
            // The callers behind a want may be about to try again.
            0 if view.wanted > 0 && self.is_take_due(now) => Some(Change::Take(0)),
            0 if idle_long > 0 => Some(Change::Give(idle_long)),
            0 => None,
            missing => self.take(missing, view, now),
        }
    }

    /// Number of permits to ask for: those refused since the last request and the spare ones, at least a batch.
    fn find_missing(&self, view: &View, idle: u32) -> u32 {
        let spare = self.find_spare();
        if self.refused == 0 && (self.in_use == 0 || idle > spare / 4) {
            return 0;
        }
        let room = if view.others > 0 { view.fair } else { view.limit.limit };
        // A caller that tries again and again counts each time, so refused starts alone don't set the size.
        let most = view.held.max(spare).saturating_mul(2);
        self.refused.max(spare).saturating_add(spare / 2).min(most).min(room.saturating_sub(view.held))
    }

    fn is_take_due(&self, now: MonoTime) -> bool {
        self.last_take.is_none_or(|at| now.since(at) >= WANT_INTERVAL)
    }

    fn take(&mut self, missing: u32, view: &View, now: MonoTime) -> Option<Change> {
        // While nothing is free, the request only keeps the want alive.
        let is_free = view.sum < view.known.limit || view.known.config_revision < view.limit.config_revision;
        if !is_free && !self.is_take_due(now) {
            return None;
        }
        self.last_take = Some(now);
        self.refused = 0;
        Some(Change::Take(missing))
    }

    /// Ends a period of [`IDLE_DELAY`] and gives the permits that were idle throughout and aren't kept as spare.
    fn end_idle_period(&mut self, idle: u32, now: MonoTime) -> u32 {
        self.min_idle = self.min_idle.min(idle);
        if now.since(self.idle_since) < IDLE_DELAY {
            return 0;
        }
        let spare = if self.peak == 0 && self.in_use == 0 { 0 } else { self.find_spare() };
        let given = self.min_idle.saturating_sub(spare);
        self.idle_since = now;
        self.min_idle = idle;
        self.last_peak = std::mem::replace(&mut self.peak, self.in_use);
        given
    }
}
