//! Run times learned from finished jobs.
//!
//! Each estimate tracks the median and the 90th percentile on a logarithmic scale. One job moves it by a bounded
//! factor, whatever its own run time, so that single outliers and wrong declarations have little weight.

use std::collections::BTreeMap;

use crate::ids::{ClassId, QueueId, TeamId};
use crate::map::Map;
use crate::units::Millis;

/// Maximum number of estimates by queue and team; the least recently updated ones are dropped first.
pub const MAX_SERIES: usize = 16_384;

/// Finished jobs that an estimate needs before it is used.
pub const MIN_SAMPLES: u32 = 3;

/// Run time assumed for a job without an estimate or a declared run time.
pub const DEFAULT_RUN_TIME: Millis = Millis(1000);

/// Part of the jobs that run no longer than [`Estimate::p90`].
const P90_QUANTILE: f64 = 0.9;

/// Scale of the change by one job after many jobs, in units of the natural logarithm. The median follows a change of
/// the run times by a factor of 10 after about 2.3 / (0.1 * 0.5) = 46 jobs.
const MIN_STEP: f64 = 0.1;

/// Scale of the change by early jobs. It falls as 1/n with the number of jobs, so that the first few are averaged.
const INITIAL_STEP: f64 = 2.0;

/// Learned run time of a kind of job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Median run time.
    pub median: Millis,
    /// 90th percentile of the run times.
    pub p90: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Series {
    samples: u32,
    median: f64,
    p90: f64,
}

impl Series {
    const fn new(log: f64) -> Self {
        Self { samples: 1, median: log, p90: log }
    }

    fn observe(&mut self, log: f64) {
        self.samples = self.samples.saturating_add(1);
        let step = (INITIAL_STEP / f64::from(self.samples)).max(MIN_STEP);
        self.median = move_towards(self.median, log, step, 0.5);
        self.p90 = move_towards(self.p90, log, step, P90_QUANTILE).max(self.median);
    }

    fn estimate(&self) -> Option<Estimate> {
        (self.samples >= MIN_SAMPLES).then(|| Estimate { median: to_millis(self.median), p90: to_millis(self.p90) })
    }
}

/// Moves a quantile estimate towards an observed value, but not past it. The expected move is zero once the estimate is
/// at the quantile.
fn move_towards(current: f64, observed: f64, step: f64, quantile: f64) -> f64 {
    if observed > current {
        (current + step * quantile).min(observed)
    } else {
        (current - step * (1.0 - quantile)).max(observed)
    }
}

fn to_log(run: Millis) -> f64 {
    (run.0.max(1) as f64).ln()
}

fn to_millis(log: f64) -> Millis {
    // A cast from a float saturates.
    Millis(log.exp().round() as u64)
}

type SeriesKey = (QueueId, Option<TeamId>);

/// Learned run times of an entry.
#[derive(Debug)]
pub struct RunTimes {
    /// Estimates with the number of their last update.
    by_team: Map<SeriesKey, (u64, Series)>,
    /// Keys of `by_team` in the order of their last update, to drop the oldest.
    by_last_update: BTreeMap<u64, SeriesKey>,
    by_queue: Map<QueueId, Series>,
    by_class: Map<ClassId, Series>,
    max_series: usize,
    updates: u64,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self {
            by_team: Map::default(),
            by_last_update: BTreeMap::new(),
            by_queue: Map::default(),
            by_class: Map::default(),
            max_series: MAX_SERIES,
            updates: 0,
        }
    }
}

impl RunTimes {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Limits the number of estimates by queue and team, at least 1.
    #[must_use]
    pub fn with_max_series(mut self, max_series: usize) -> Self {
        self.max_series = max_series.max(1);
        self
    }

    /// Updates the estimates with a job that ended with a result. Callers leave out failed and stopped jobs, which
    /// would make the estimates too short.
    pub fn observe(&mut self, queue: &QueueId, team: Option<&TeamId>, class: &ClassId, run: Millis) {
        let log = to_log(run);
        self.observe_team((queue.clone(), team.cloned()), log);
        // These two tables need no bound, because the configuration limits the number of queues and classes.
        observe_in(&mut self.by_queue, queue, log);
        observe_in(&mut self.by_class, class, log);
    }

    /// Estimated run time, from the most specific series that has enough jobs. A declared time counts only if there is
    /// no such series.
    #[must_use]
    pub fn estimate(
        &self,
        queue: &QueueId,
        team: Option<&TeamId>,
        class: &ClassId,
        declared: Option<Millis>,
    ) -> Estimate {
        let by_team = self.by_team.get(&(queue.clone(), team.cloned())).and_then(|(_, s)| s.estimate());
        by_team
            .or_else(|| self.by_queue.get(queue).and_then(Series::estimate))
            .or_else(|| self.by_class.get(class).and_then(Series::estimate))
            .unwrap_or_else(|| {
                let assumed = declared.unwrap_or(DEFAULT_RUN_TIME);
                Estimate { median: assumed, p90: assumed }
            })
    }

    /// Drops the estimates of queues and classes that are no longer configured.
    pub fn retain(&mut self, mut is_queue: impl FnMut(&QueueId) -> bool, mut is_class: impl FnMut(&ClassId) -> bool) {
        self.by_queue.retain(|queue, _| is_queue(queue));
        self.by_class.retain(|class, _| is_class(class));
        self.by_team.retain(|(queue, _), _| is_queue(queue));
        self.by_last_update.retain(|_, (queue, _)| is_queue(queue));
    }

    /// Number of estimates by queue and team.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_team.len()
    }

    /// Whether there is no estimate by queue and team.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_team.is_empty()
    }

    fn observe_team(&mut self, key: SeriesKey, log: f64) {
        self.updates += 1;
        if let Some((last_update, series)) = self.by_team.get_mut(&key) {
            self.by_last_update.remove(last_update);
            *last_update = self.updates;
            series.observe(log);
        } else {
            if self.by_team.len() >= self.max_series
                && let Some((_, oldest)) = self.by_last_update.pop_first()
            {
                self.by_team.remove(&oldest);
            }
            self.by_team.insert(key.clone(), (self.updates, Series::new(log)));
        }
        self.by_last_update.insert(self.updates, key);
    }
}

fn observe_in<K: Clone + Eq + std::hash::Hash>(table: &mut Map<K, Series>, key: &K, log: f64) {
    match table.get_mut(key) {
        Some(series) => series.observe(log),
        None => drop(table.insert(key.clone(), Series::new(log))),
    }
}
