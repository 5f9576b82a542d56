//! Local accounting of an entry's permits.
//!
//! The permits document decides how many permits the entry holds. This module counts those in use exactly, and
//! decides when to request more and when to return some, with few writes to the store.

use std::collections::BTreeMap;

use crate::ids::{EntryId, Incarnation, StoreVersion, TeamId};
use crate::quota::{CommandNumber, Quota, QuotaCommand, TeamLimit, TeamPermits};
use crate::units::{Millis, MonoTime};

/// Time for which permits stay idle before they are returned. Spikes of load last some seconds and recur, so with a
/// shorter delay the same permits would be returned and requested again and again.
pub const IDLE_RETURN_DELAY: Millis = Millis(10_000);

/// Minimum number of permits kept ready beyond those in use. A request asks for at least one and a half times as many,
/// if the limit allows it.
pub const MIN_SPARE_PERMITS: u32 = 4;

/// Maximum rate of an entry's writes to permits documents. Nine entries stay within the budget of 60 writes per
/// second.
pub const MAX_WRITES_PER_SECOND: u64 = 6;

/// Interval at which a request for permits that aren't free is repeated, so that the recorded demand doesn't expire.
pub const REQUEST_REPEAT_INTERVAL: Millis = Millis(1_000);

/// Time constant of the exponentially weighted mean of the permits in use.
const MEAN_TIME_CONSTANT: Millis = Millis(30_000);

/// Fixed-point scale of the mean: thousandths of a permit.
const MEAN_SCALE: u64 = 1_000;

/// The right to run one task of a team. It is passed to [`Permits::release`] once the task has certainly ended. It
/// can't be copied, so each task is counted once.
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

/// Permits of one team at this entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Permits held, according to the document.
    pub held: u32,
    /// Permits in use by tasks.
    pub in_use: u32,
    /// Held permits that an uncommitted command returns.
    pub returning: u32,
    /// Whether starts are blocked until the team's permits are within a lowered limit.
    pub over_limit: bool,
}

/// Use of a team's permits, as counted by this entry.
#[derive(Clone, Debug, Default)]
struct LocalTeam {
    in_use: u32,
    /// Limit in the configuration that the entry holds.
    limit: TeamLimit,
    /// Starts refused for lack of a permit since the last request for more.
    refused: u32,
    /// Minimum number of idle permits since `idle_since`.
    min_idle: u32,
    idle_since: MonoTime,
    /// Maximum number of concurrent tasks since `idle_since`.
    peak: u32,
    /// Maximum number of concurrent tasks in the period before `idle_since`.
    last_peak: u32,
    /// Weighted mean of the permits in use, in units of 1 / [`MEAN_SCALE`].
    mean: u64,
    mean_updated_at: MonoTime,
    last_request: Option<MonoTime>,
}

/// Commands that aren't known to have taken effect. They are sent again until they have.
#[derive(Clone, Debug)]
struct Batch {
    commands: Vec<QuotaCommand>,
    last: CommandNumber,
    in_flight: bool,
}

/// Permits of an entry process in one quota shard.
#[derive(Clone, Debug)]
pub struct Permits {
    entry: EntryId,
    incarnation: Incarnation,
    version: StoreVersion,
    document: Quota,
    teams: BTreeMap<TeamId, LocalTeam>,
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

    /// Applies a team's limit from the configuration; a limit that isn't of a newer revision is ignored.
    pub fn set_limit(&mut self, team: &TeamId, limit: TeamLimit) {
        let local = self.teams.entry(team.clone()).or_default();
        if limit.config_revision > local.limit.config_revision {
            local.limit = limit;
        }
    }

    /// Applies a copy of the document from a read, a watch or a commit; a copy that isn't newer is ignored.
    pub fn apply_document(&mut self, version: StoreVersion, document: &Quota) {
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

    /// Whether [`Permits::try_acquire`] would return a permit for the team now.
    #[must_use]
    pub fn may_start(&self, team: &TeamId) -> bool {
        let usage = self.usage(team);
        self.teams.contains_key(team) && !usage.over_limit && usage.in_use < self.count_usable(team, usage)
    }

    /// Acquires a permit for one task. Without a free permit, records the refused start as demand.
    pub fn try_acquire(&mut self, team: &TeamId, now: MonoTime) -> Option<Permit> {
        let usage = self.usage(team);
        let usable = if usage.over_limit { 0 } else { self.count_usable(team, usage) };
        let local = self.teams.get_mut(team)?;
        local.update_mean(now);
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

    /// Releases the permit of a task that has ended. A start whose answer was lost keeps its permit until the worker
    /// reports the task or its slot lease has lapsed.
    pub fn release(&mut self, permit: Permit, now: MonoTime) {
        if let Some(local) = self.teams.get_mut(&permit.team) {
            local.update_mean(now);
            local.in_use = local.in_use.saturating_sub(1);
        }
    }

    /// Returns the commands to commit next, as one batch; empty if there is nothing to do, a batch is in flight, or
    /// the write rate is used up. The caller reports the result of the commit with [`Permits::apply_commit`] or
    /// [`Permits::mark_commit_uncertain`].
    pub fn next_commands(&mut self, now: MonoTime) -> Vec<QuotaCommand> {
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

    /// Applies the result of a commit: the document as committed, or as read if every command was rejected.
    pub fn apply_commit(&mut self, version: StoreVersion, document: &Quota) {
        self.batch = None;
        self.apply_document(version, document);
    }

    /// Records that a commit ended without a known effect. The same commands, with the same numbers, are sent again
    /// later, so that no permits are returned twice.
    pub fn mark_commit_uncertain(&mut self) {
        if let Some(batch) = &mut self.batch {
            batch.in_flight = false;
        }
    }

    /// Permits of a team at this entry.
    #[must_use]
    pub fn usage(&self, team: &TeamId) -> Usage {
        let permits = self.document.team(team);
        let local = self.teams.get(team);
        Usage {
            held: permits.map_or(0, |p| p.held(&self.entry, self.incarnation)),
            in_use: local.map_or(0, |l| l.in_use),
            returning: self.count_returning(team),
            over_limit: self.is_over_limit(permits, local),
        }
    }

    /// Permits in use, by team.
    pub fn in_use(&self) -> impl Iterator<Item = (&TeamId, u32)> {
        self.teams.iter().map(|(team, local)| (team, local.in_use))
    }

    /// Whether starts of the team are blocked.
    ///
    /// While the document shows more permits than the limit, a start at any entry could exceed the limit. A copy of
    /// the document that doesn't contain a lowered limit yet can't rule that out.
    fn is_over_limit(&self, permits: Option<&TeamPermits>, local: Option<&LocalTeam>) -> bool {
        let (Some(permits), Some(local)) = (permits, local) else { return false };
        let is_outdated = local.limit.config_revision > permits.limit.config_revision;
        let lowered = is_outdated && local.limit.limit < permits.limit.limit;
        lowered || permits.sum() > permits.limit.limit
    }

    fn count_returning(&self, team: &TeamId) -> u32 {
        let last = self.document.last_command(&self.entry, self.incarnation);
        let commands = self.batch.iter().flat_map(|batch| &batch.commands);
        let returned = commands.map(|command| match command {
            QuotaCommand::Give { team: t, count, number, .. } if t == team && *number > last => *count,
            _ => 0,
        });
        returned.sum()
    }

    /// Permits that tasks may use now: those held, except those being returned, and at most the fair share while
    /// other entries have unmet demand.
    fn count_usable(&self, team: &TeamId, usage: Usage) -> u32 {
        if self.document.is_fenced(&self.entry, self.incarnation) {
            return 0;
        }
        let usable = usage.held.saturating_sub(usage.returning);
        match self.document.team(team) {
            Some(permits) if permits.demand_of_others(&self.entry) > 0 => usable.min(permits.fair_share(&self.entry)),
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
            let Some(change) = self.next_change(&team, now) else { continue };
            commands.push(self.make_command(&team, change));
        }
        let last = CommandNumber(self.next_number.0 - 1);
        (!commands.is_empty()).then_some(Batch { commands, last, in_flight: false })
    }

    fn make_command(&mut self, team: &TeamId, change: PermitChange) -> QuotaCommand {
        let (entry, incarnation, team) = (self.entry.clone(), self.incarnation, team.clone());
        let limit = self.teams.get(&team).map(|local| local.limit).unwrap_or_default();
        let number = self.next_number;
        match change {
            PermitChange::SetLimit => QuotaCommand::SetLimit { team, limit },
            PermitChange::Request(count) => {
                self.next_number = number.next();
                QuotaCommand::Take { entry, incarnation, number, team, count, limit }
            }
            PermitChange::Return(count) => {
                self.next_number = number.next();
                QuotaCommand::Give { entry, incarnation, number, team, count }
            }
        }
    }

    fn next_change(&mut self, team: &TeamId, now: MonoTime) -> Option<PermitChange> {
        let usage = self.usage(team);
        let local = self.teams.get_mut(team)?;
        local.update_mean(now);
        let empty = TeamPermits::default();
        let permits = self.document.team(team).unwrap_or(&empty);
        let snapshot = TeamSnapshot {
            held: usage.held,
            limit: local.limit,
            total: permits.sum(),
            recorded_limit: permits.limit,
            own_demand: permits.unmet_demand(&self.entry, self.incarnation),
            others_demand: permits.demand_of_others(&self.entry),
            fair_share: permits.fair_share(&self.entry),
        };
        local.next_change(&snapshot, now)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PermitChange {
    SetLimit,
    /// Requests this number of further permits from the document; 0 withdraws the recorded demand.
    Request(u32),
    Return(u32),
}

/// A team's permits in the document, from the view of one entry.
struct TeamSnapshot {
    held: u32,
    /// Limit in the configuration that the entry holds.
    limit: TeamLimit,
    /// Permits held by all entries.
    total: u32,
    /// Limit in the document.
    recorded_limit: TeamLimit,
    /// Unmet demand of this process.
    own_demand: u32,
    /// Unmet demand of all other entries.
    others_demand: u32,
    fair_share: u32,
}

impl LocalTeam {
    fn update_mean(&mut self, now: MonoTime) {
        let elapsed = now.since(self.mean_updated_at).0.min(MEAN_TIME_CONSTANT.0);
        let used = u64::from(self.in_use) * MEAN_SCALE;
        self.mean = (self.mean * (MEAN_TIME_CONSTANT.0 - elapsed) + used * elapsed) / MEAN_TIME_CONSTANT.0;
        self.mean_updated_at = now;
    }

    /// Number of permits to keep ready beyond those in use: as many as the mean use, so that a spike to five times the
    /// mean needs two or three requests.
    fn spare_target(&self) -> u32 {
        let mean = u32::try_from(self.mean.div_ceil(MEAN_SCALE)).unwrap_or(u32::MAX);
        mean.max(MIN_SPARE_PERMITS)
    }

    fn next_change(&mut self, snapshot: &TeamSnapshot, now: MonoTime) -> Option<PermitChange> {
        let idle = snapshot.held.saturating_sub(self.in_use);
        let unused = self.end_idle_period(idle, now);
        // Until the document contains a lowered limit, other entries may still take permits up to the old one.
        if snapshot.limit.config_revision > snapshot.recorded_limit.config_revision
            && snapshot.limit.limit < snapshot.recorded_limit.limit
        {
            return Some(PermitChange::SetLimit);
        }
        // Without idle permits the entry requests more as usual, which at least shows it the present document.
        if snapshot.total > snapshot.recorded_limit.limit && idle > 0 {
            return Some(PermitChange::Return(idle.min(snapshot.total - snapshot.recorded_limit.limit)));
        }
        if snapshot.others_demand > 0 && idle > 0 {
            let needed = self.peak.max(self.last_peak).min(snapshot.fair_share).max(self.in_use);
            let returned = snapshot.held.saturating_sub(needed).min(snapshot.others_demand);
            if returned > 0 {
                return Some(PermitChange::Return(returned));
            }
        }
        match self.count_missing(snapshot, idle) {
            // Withdraws demand that is no longer needed, but not before a repetition is due, because the callers behind
            // it may be about to retry.
            0 if snapshot.own_demand > 0 && self.is_request_due(now) => Some(PermitChange::Request(0)),
            0 if unused > 0 => Some(PermitChange::Return(unused)),
            0 => None,
            missing => self.request_permits(missing, snapshot, now),
        }
    }

    /// Number of permits to request: as many as starts were refused since the last request, or at least the spare
    /// target, plus half of that target. It is at most twice the larger of held permits and spare target, and stays
    /// within the limit, or within the fair share while other entries have unmet demand.
    fn count_missing(&self, snapshot: &TeamSnapshot, idle: u32) -> u32 {
        let spare = self.spare_target();
        if self.refused == 0 && (self.in_use == 0 || idle > spare / 4) {
            return 0;
        }
        let room = if snapshot.others_demand > 0 { snapshot.fair_share } else { snapshot.limit.limit };
        // Each retry of a caller counts as a refused start, so the number of refused starts alone doesn't set the size.
        let max_request = snapshot.held.max(spare).saturating_mul(2);
        self.refused.max(spare).saturating_add(spare / 2).min(max_request).min(room.saturating_sub(snapshot.held))
    }

    fn is_request_due(&self, now: MonoTime) -> bool {
        self.last_request.is_none_or(|at| now.since(at) >= REQUEST_REPEAT_INTERVAL)
    }

    fn request_permits(&mut self, missing: u32, snapshot: &TeamSnapshot, now: MonoTime) -> Option<PermitChange> {
        // While no permit is free, the request only keeps the recorded demand from expiring.
        let is_free = snapshot.total < snapshot.recorded_limit.limit
            || snapshot.recorded_limit.config_revision < snapshot.limit.config_revision;
        if !is_free && !self.is_request_due(now) {
            return None;
        }
        self.last_request = Some(now);
        self.refused = 0;
        Some(PermitChange::Request(missing))
    }

    /// Starts a new period after [`IDLE_RETURN_DELAY`], and returns the number of permits that were idle throughout the
    /// last one and aren't kept spare.
    fn end_idle_period(&mut self, idle: u32, now: MonoTime) -> u32 {
        self.min_idle = self.min_idle.min(idle);
        if now.since(self.idle_since) < IDLE_RETURN_DELAY {
            return 0;
        }
        let spare = if self.peak == 0 && self.in_use == 0 { 0 } else { self.spare_target() };
        let returned = self.min_idle.saturating_sub(spare);
        self.idle_since = now;
        self.min_idle = idle;
        self.last_peak = std::mem::replace(&mut self.peak, self.in_use);
        returned
    }
}
