//! Rates at which work arrives at pools. A peak shows in the rate of arrivals before its jobs have piled up, so pools
//! can grow by the rate while the first jobs of the peak still find capacity.

use std::collections::VecDeque;

use crate::map::Map;
use crate::sched::graph::{JobSpec, PoolName};
use crate::units::{Millis, MonoTime};

/// Number of arrivals over which a rate is measured, so that few arrivals close together don't look like a peak.
const ARRIVALS: usize = 24;

/// Minimum time over which a rate is measured.
const MIN_WINDOW: Millis = Millis(300);

/// Time after which an arrival no longer counts.
const MAX_WINDOW: Millis = Millis(2_000);

/// An arrival of a job.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: MonoTime,
    /// Thousandths of a core times milliseconds.
    work: u64,
}

/// Recent arrivals of jobs, by pool.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    by_pool: Map<PoolName, VecDeque<Arrival>>,
}

impl Arrivals {
    /// Records a job that has arrived.
    pub(super) fn record(&mut self, now: MonoTime, pool: &PoolName, spec: &JobSpec) {
        let step_work = |s: &crate::sched::graph::Step| u64::from(s.count) * s.reserved().cpu * s.estimate.0;
        let recent = self.by_pool.entry(pool.clone()).or_default();
        recent.push_back(Arrival { at: now, work: spec.steps.iter().map(step_work).sum() });
        // Arrivals within the minimum window may be many more than `ARRIVALS`.
        while recent.len() > ARRIVALS && recent.front().is_some_and(|a| now.since(a.at) > MIN_WINDOW) {
            recent.pop_front();
        }
    }

    /// CPU that keeps up with the present rate of arrivals of a pool, in thousandths of a core; 0 while too few jobs
    /// arrive to tell.
    pub(super) fn cpu_of(&self, now: MonoTime, pool: &PoolName) -> u64 {
        let Some(recent) = self.by_pool.get(pool) else { return 0 };
        let counted = recent.iter().filter(|a| now.since(a.at) <= MAX_WINDOW);
        let (count, work, first) =
            counted.fold((0, 0, None), |(count, work, first), a| (count + 1, work + a.work, first.or(Some(a.at))));
        match first {
            Some(first) if count >= ARRIVALS => work / now.since(first).0.max(MIN_WINDOW.0),
            _ => 0,
        }
    }
}
