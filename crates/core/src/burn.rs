//! Error-budget burn: how much of the work met its target, and which teams spend the error budget.
//!
//! Counts are kept in buckets of wall-clock time whose boundaries are the same at all entries, so the tables of several
//! entries can be added up.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{ClassId, PoolId, TeamId};
use crate::units::{Millis, WallTime};

/// Time windows of the burn report, shortest first.
pub const WINDOWS: [Millis; 3] = [Millis::from_secs(300), Millis::from_secs(3600), Millis::from_secs(6 * 3600)];

/// Error budget of a class: part of its work that may miss the target, in thousandths.
pub const DEFAULT_ERROR_BUDGET_PER_MILLE: u16 = 10;

/// Rows of a table. Work of further teams and pools is counted in a row of its class without team and pool.
pub const MAX_ROWS: usize = 2048;

/// Rows listed as spenders for each class and window.
pub const MAX_SPENDERS: usize = 10;

/// Buckets of the shortest window.
const FINE: BucketLayout = BucketLayout { length: Millis::from_secs(30), retained: 10 };

/// Buckets of the longer windows.
const COARSE: BucketLayout = BucketLayout { length: Millis::from_secs(300), retained: 72 };

#[derive(Clone, Copy, Debug)]
struct BucketLayout {
    length: Millis,
    retained: u64,
}

impl BucketLayout {
    const fn bucket_at(self, at: WallTime) -> u64 {
        at.0 / self.length.0
    }

    /// Whether a bucket is one of the last `count` at `now`. The next bucket counts too, because the clock of the entry
    /// that wrote it may be ahead.
    const fn is_recent(self, bucket: u64, count: u64, now: WallTime) -> bool {
        let current = self.bucket_at(now);
        bucket + count > current && bucket <= current + 1
    }
}

/// Finished work by whether it met its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCounts {
    /// Jobs that met their target.
    pub met: u64,
    /// Jobs that missed their target.
    pub missed: u64,
}

impl TargetCounts {
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

    /// Part of the work that missed its target, divided by the part that may; 1 uses up the error budget exactly.
    #[must_use]
    pub fn burn_rate(self, budget_per_mille: u16) -> f64 {
        (1.0 - self.share_met()) * 1000.0 / f64::from(budget_per_mille.max(1))
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Series {
    fine: BTreeMap<u64, TargetCounts>,
    coarse: BTreeMap<u64, TargetCounts>,
}

impl Series {
    fn add(&mut self, at: WallTime, counts: TargetCounts) {
        self.fine.entry(FINE.bucket_at(at)).or_default().add(counts);
        self.coarse.entry(COARSE.bucket_at(at)).or_default().add(counts);
    }

    fn merge(&mut self, other: Self) {
        for (bucket, counts) in other.fine {
            self.fine.entry(bucket).or_default().add(counts);
        }
        for (bucket, counts) in other.coarse {
            self.coarse.entry(bucket).or_default().add(counts);
        }
    }

    fn prune(&mut self, now: WallTime) {
        self.fine.retain(|bucket, _| FINE.is_recent(*bucket, FINE.retained, now));
        self.coarse.retain(|bucket, _| COARSE.is_recent(*bucket, COARSE.retained, now));
    }

    fn sum(&self, window: Millis, now: WallTime) -> TargetCounts {
        let is_fine = window.0 <= FINE.length.0 * FINE.retained;
        let (layout, counts) = if is_fine { (FINE, &self.fine) } else { (COARSE, &self.coarse) };
        let count = window.0.div_ceil(layout.length.0);
        let mut sum = TargetCounts::default();
        for (_, counts) in counts.iter().filter(|(bucket, _)| layout.is_recent(**bucket, count, now)) {
            sum.add(*counts);
        }
        sum
    }
}

/// Class, team and pool whose work a row counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct RowKey {
    class: ClassId,
    team: Option<TeamId>,
    pool: Option<PoolId>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Row {
    owner: RowKey,
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
    /// This row's part of all work of the class that missed its target, from 0 to 1.
    pub part: f64,
}

/// Error-budget burn of a class over one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Length of the window.
    pub window_ms: Millis,
    /// Finished work in the window.
    pub counts: TargetCounts,
    /// Part of the work that met its target, from 0 to 1.
    pub share_met: f64,
    /// Rate at which the error budget is spent; above 1 the class misses its target more often than the budget allows.
    pub burn_rate: f64,
    /// Rows with the most missed work, largest first.
    pub spenders: Vec<Spender>,
}

/// Error-budget burn of a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassBurn {
    /// The class.
    pub class: ClassId,
    /// Burn over each of [`WINDOWS`], in that order.
    pub windows: Vec<WindowBurn>,
}

/// Finished work of the last 6 hours by class, team and pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Row>", into = "Vec<Row>")]
pub struct BurnTable {
    rows: BTreeMap<RowKey, Series>,
}

impl From<Vec<Row>> for BurnTable {
    fn from(rows: Vec<Row>) -> Self {
        let mut burn = Self::default();
        for row in rows {
            burn.series_mut(row.owner).merge(row.series);
        }
        burn
    }
}

impl From<BurnTable> for Vec<Row> {
    fn from(burn: BurnTable) -> Self {
        burn.rows.into_iter().map(|(owner, series)| Row { owner, series }).collect()
    }
}

impl BurnTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a finished job.
    pub fn record(&mut self, class: &ClassId, team: Option<&TeamId>, pool: &PoolId, met: bool, now: WallTime) {
        let key = RowKey { class: class.clone(), team: team.cloned(), pool: Some(pool.clone()) };
        let counts = TargetCounts { met: u64::from(met), missed: u64::from(!met) };
        if self.rows.len() >= MAX_ROWS && !self.rows.contains_key(&key) {
            self.prune(now);
        }
        let series = self.series_mut(key);
        series.add(now, counts);
        series.prune(now);
    }

    /// Adds the table of another entry. Adding the same table twice counts its work twice.
    pub fn merge(&mut self, other: Self, now: WallTime) {
        for (key, series) in other.rows {
            self.series_mut(key).merge(series);
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
        let mut classes: Vec<_> = self.rows.keys().map(|key| key.class.clone()).collect();
        classes.dedup();
        let report_class = |class: ClassId| {
            let windows = WINDOWS.iter().map(|w| self.report_window(&class, *w, budget_per_mille, now)).collect();
            ClassBurn { class, windows }
        };
        classes.into_iter().map(report_class).collect()
    }

    fn report_window(&self, class: &ClassId, window: Millis, budget_per_mille: u16, now: WallTime) -> WindowBurn {
        let mut counts = TargetCounts::default();
        let mut spenders = Vec::new();
        for (key, series) in self.rows.iter().filter(|(key, _)| key.class == *class) {
            let sum = series.sum(window, now);
            counts.add(sum);
            if sum.missed > 0 {
                let (team, pool) = (key.team.clone(), key.pool.clone());
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

    /// The row of a key, or the shared row of its class if the table is full.
    fn series_mut(&mut self, key: RowKey) -> &mut Series {
        let is_known = self.rows.contains_key(&key);
        let key = if is_known || self.rows.len() < MAX_ROWS { key } else { RowKey { team: None, pool: None, ..key } };
        self.rows.entry(key).or_default()
    }
}
