//! Service-level burn: how much of the work met its target, and who spends the error budget.
//!
//! Counts are kept in spans of wall-clock time that are the same at all entries, so the tables of several entries can
//! be added up.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{ClassId, PoolId, TeamId};
use crate::units::{Millis, WallTime};

/// Windows of the report.
pub const WINDOWS: [Millis; 3] = [Millis::from_secs(300), Millis::from_secs(3600), Millis::from_secs(6 * 3600)];

/// Part of the work of a class that may miss its target, in thousandths.
pub const DEFAULT_BUDGET_PER_MILLE: u16 = 10;

/// Rows kept. Work of further teams and pools is counted in a row of its class without team and pool.
pub const MAX_ROWS: usize = 2048;

/// Teams and pools listed for each class and window.
pub const MAX_SPENDERS: usize = 10;

/// Spans of the shortest window, and their length.
const FINE: Spans = Spans { length: Millis::from_secs(30), kept: 10 };

/// Spans of the longer windows, and their length.
const COARSE: Spans = Spans { length: Millis::from_secs(300), kept: 72 };

#[derive(Clone, Copy, Debug)]
struct Spans {
    length: Millis,
    kept: u64,
}

impl Spans {
    const fn number(self, at: WallTime) -> u64 {
        at.0 / self.length.0
    }

    /// Whether a span is one of the last `count` at `now`. One span ahead is taken for a difference of the clocks.
    const fn is_recent(self, span: u64, count: u64, now: WallTime) -> bool {
        let current = self.number(now);
        span + count > current && span <= current + 1
    }
}

/// Finished work by whether it met its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Met its target.
    pub met: u64,
    /// Missed its target.
    pub missed: u64,
}

impl Counts {
    const fn add(&mut self, other: Self) {
        self.met = self.met.saturating_add(other.met);
        self.missed = self.missed.saturating_add(other.missed);
    }

    const fn total(self) -> u64 {
        self.met.saturating_add(self.missed)
    }

    /// Part of the work that met its target; 1 if there was none.
    #[must_use]
    pub fn share_met(self) -> f64 {
        if self.total() == 0 { 1.0 } else { self.met as f64 / self.total() as f64 }
    }

    /// Part that missed its target, relative to the part that may; 1 spends the budget exactly.
    #[must_use]
    pub fn burn_rate(self, budget_per_mille: u16) -> f64 {
        (1.0 - self.share_met()) * 1000.0 / f64::from(budget_per_mille.max(1))
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Series {
    fine: BTreeMap<u64, Counts>,
    coarse: BTreeMap<u64, Counts>,
}

impl Series {
    fn add(&mut self, at: WallTime, counts: Counts) {
        self.fine.entry(FINE.number(at)).or_default().add(counts);
        self.coarse.entry(COARSE.number(at)).or_default().add(counts);
    }

    fn merge(&mut self, other: Self) {
        for (span, counts) in other.fine {
            self.fine.entry(span).or_default().add(counts);
        }
        for (span, counts) in other.coarse {
            self.coarse.entry(span).or_default().add(counts);
        }
    }

    fn prune(&mut self, now: WallTime) {
        self.fine.retain(|span, _| FINE.is_recent(*span, FINE.kept, now));
        self.coarse.retain(|span, _| COARSE.is_recent(*span, COARSE.kept, now));
    }

    fn sum(&self, window: Millis, now: WallTime) -> Counts {
        let is_fine = window.0 <= FINE.length.0 * FINE.kept;
        let (spans, counts) = if is_fine { (FINE, &self.fine) } else { (COARSE, &self.coarse) };
        let count = window.0.div_ceil(spans.length.0);
        let mut sum = Counts::default();
        for (_, counts) in counts.iter().filter(|(span, _)| spans.is_recent(**span, count, now)) {
            sum.add(*counts);
        }
        sum
    }
}

/// Whose work is counted in a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Owner {
    class: ClassId,
    team: Option<TeamId>,
    pool: Option<PoolId>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Row {
    owner: Owner,
    series: Series,
}

/// A team in a pool that spends the error budget of a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spender {
    /// Team; absent for work without a team and for the rows that exceed [`MAX_ROWS`].
    pub team: Option<TeamId>,
    /// Pool; absent for the rows that exceed [`MAX_ROWS`].
    pub pool: Option<PoolId>,
    /// Work that missed its target.
    pub missed: u64,
    /// Part of all work of the class that missed its target.
    pub part: f64,
}

/// Burn of a class over one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Length of the window.
    pub window_ms: Millis,
    /// Finished work.
    pub counts: Counts,
    /// Part that met its target.
    pub share_met: f64,
    /// Rate at which the error budget is spent; above 1 it won't last.
    pub burn_rate: f64,
    /// The largest spenders, largest first.
    pub spenders: Vec<Spender>,
}

/// Burn of a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassBurn {
    /// Class.
    pub class: ClassId,
    /// One item for each of [`WINDOWS`].
    pub windows: Vec<WindowBurn>,
}

/// Finished work of the last 6 hours by class, team and pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Row>", into = "Vec<Row>")]
pub struct Burn {
    rows: BTreeMap<Owner, Series>,
}

impl From<Vec<Row>> for Burn {
    fn from(rows: Vec<Row>) -> Self {
        let mut burn = Self::default();
        for row in rows {
            burn.series_mut(row.owner).merge(row.series);
        }
        burn
    }
}

impl From<Burn> for Vec<Row> {
    fn from(burn: Burn) -> Self {
        burn.rows.into_iter().map(|(owner, series)| Row { owner, series }).collect()
    }
}

impl Burn {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a finished job.
    pub fn record(&mut self, class: &ClassId, team: Option<&TeamId>, pool: &PoolId, met: bool, now: WallTime) {
        let owner = Owner { class: class.clone(), team: team.cloned(), pool: Some(pool.clone()) };
        let counts = Counts { met: u64::from(met), missed: u64::from(!met) };
        if self.rows.len() >= MAX_ROWS && !self.rows.contains_key(&owner) {
            self.prune(now);
        }
        let series = self.series_mut(owner);
        series.add(now, counts);
        series.prune(now);
    }

    /// Adds the table of another entry. Each entry's table may be added only once.
    pub fn merge(&mut self, other: Self, now: WallTime) {
        for (owner, series) in other.rows {
            self.series_mut(owner).merge(series);
        }
        self.prune(now);
    }

    /// Drops counts that no window covers.
    pub fn prune(&mut self, now: WallTime) {
        for series in self.rows.values_mut() {
            series.prune(now);
        }
        self.rows.retain(|_, series| !series.coarse.is_empty());
    }

    /// Number of rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether nothing was counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Burn of each class, for an error budget in thousandths of the work.
    #[must_use]
    pub fn report(&self, budget_per_mille: u16, now: WallTime) -> Vec<ClassBurn> {
        let mut classes: Vec<_> = self.rows.keys().map(|owner| owner.class.clone()).collect();
        classes.dedup();
        let report_class = |class: ClassId| {
            let windows = WINDOWS.iter().map(|w| self.report_window(&class, *w, budget_per_mille, now)).collect();
            ClassBurn { class, windows }
        };
        classes.into_iter().map(report_class).collect()
    }

    fn report_window(&self, class: &ClassId, window: Millis, budget_per_mille: u16, now: WallTime) -> WindowBurn {
        let mut counts = Counts::default();
        let mut spenders = Vec::new();
        for (owner, series) in self.rows.iter().filter(|(owner, _)| owner.class == *class) {
            let sum = series.sum(window, now);
            counts.add(sum);
            if sum.missed > 0 {
                let (team, pool) = (owner.team.clone(), owner.pool.clone());
                spenders.push(Spender { team, pool, missed: sum.missed, part: 0.0 });
            }
        }
        spenders.sort_by_key(|spender| std::cmp::Reverse(spender.missed));
        spenders.truncate(MAX_SPENDERS);
        for spender in &mut spenders {
            spender.part = spender.missed as f64 / counts.missed as f64;
        }
        let (share_met, burn_rate) = (counts.share_met(), counts.burn_rate(budget_per_mille));
        WindowBurn { window_ms: window, counts, share_met, burn_rate, spenders }
    }

    /// The row of an owner, or the common row of its class if there is no room for another one.
    fn series_mut(&mut self, owner: Owner) -> &mut Series {
        let is_known = self.rows.contains_key(&owner);
        let owner =
            if is_known || self.rows.len() < MAX_ROWS { owner } else { Owner { team: None, pool: None, ..owner } };
        self.rows.entry(owner).or_default()
    }
}
