//! One life of a worker as the scheduler knows it.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::map::Map;
use crate::sched::graph::{JobKey, Resources, TaskName};
use crate::sched::order::WorkerReport;
use crate::units::{Millis, MonoTime};

/// Silence after which a worker gets no new tasks and its lease is no longer extended. It is longer than one lost
/// answer and its repetition.
pub const SILENCE_LIMIT: Millis = Millis(1_200);

/// Slowest rate of a worker's clock against ours, in thousandths, as the platform states it.
const SLOWEST_CLOCK: u64 = 980;

/// Added to the end of a lease for the time between a worker's reading of its clock and its action.
const LAPSE_MARGIN: Millis = Millis(300);

/// Failures in a row after which a worker gets no tasks for [`QUARANTINE`].
const QUARANTINE_AFTER: u32 = 2;

/// Time without tasks after failures in a row; it doubles with each further failure up to eight times.
const QUARANTINE: Millis = Millis(2_000);

/// Time without tasks after one failure: long enough for the tasks that run there to tell more.
const SUSPICION: Millis = Millis(400);

/// Time without tasks after a start that the worker refused or did not answer.
const REFUSAL_PAUSE: Millis = Millis(300);

/// Reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock: u64,
    at: MonoTime,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it last said of itself.
    pub report: WorkerReport,
    /// Whether the store lists it.
    pub is_listed: bool,
    /// Whether the list of VMs showed that its life has ended.
    pub is_gone: bool,
    /// Time since which it is known.
    pub known_since: MonoTime,
    /// Whether it is kept free for an upkeep or a move.
    pub is_withheld: bool,
    /// Whether it answered under the present term, so that it refuses orders of earlier terms.
    pub is_fenced: bool,
    /// Whether the store's roster names it, so that a successor knows that it may hold runs.
    pub is_on_roster: bool,
    /// Whether it runs something that belongs to no job, whose room is unknown until it has ended.
    pub has_strays: bool,
    /// Room taken by runs that are or may be there.
    pub used: Resources,
    /// Runs that are or may be there.
    pub runs: Map<TaskName, u32>,
    /// Time of the last answer to a look.
    pub answered: Option<MonoTime>,
    /// Time at which that look was sent.
    pub look_sent: MonoTime,
    born: Option<u64>,
    clock: Option<ClockReading>,
    lease_until: u64,
    failures: u32,
    avoid_until: MonoTime,
    processed: u64,
    /// Whether a look got no answer since the last one that did.
    is_life_doubtful: bool,
    undurable: BTreeMap<u64, (JobKey, u64)>,
}

impl Worker {
    /// A worker that the store or the roster names.
    #[must_use]
    pub fn new(report: WorkerReport, is_listed: bool, now: MonoTime) -> Self {
        Self {
            born: report.born,
            report,
            is_listed,
            is_gone: false,
            known_since: now,
            is_withheld: false,
            is_fenced: false,
            is_on_roster: false,
            has_strays: false,
            used: Resources::default(),
            runs: Map::default(),
            answered: None,
            look_sent: MonoTime(0),
            clock: None,
            lease_until: 0,
            failures: 0,
            avoid_until: MonoTime(0),
            processed: 0,
            is_life_doubtful: false,
            undurable: BTreeMap::new(),
        }
    }

    /// Free room.
    #[must_use]
    pub const fn free(&self) -> Resources {
        self.report.capacity.without(&self.used)
    }

    /// Whether it has a label.
    #[must_use]
    pub fn has_label(&self, label: &SmolStr) -> bool {
        self.report.labels.contains(label)
    }

    /// Rack: the label that is not the kind. Kinds stand first.
    #[must_use]
    pub fn rack(&self) -> Option<&SmolStr> {
        self.report.labels.get(1)
    }

    /// Whether it may get tasks at some time of its life as it stands.
    #[must_use]
    pub const fn may_get_tasks(&self) -> bool {
        self.is_listed && !self.report.draining && !self.is_withheld
    }

    /// Whether new tasks may be given.
    #[must_use]
    pub fn takes_tasks(&self, now: MonoTime) -> bool {
        self.may_get_tasks()
            && self.is_fenced
            && self.is_on_roster
            && !self.has_strays
            && self.is_reachable(now)
            && now >= self.avoid_until
    }

    /// Whether it answered lately.
    #[must_use]
    pub fn is_reachable(&self, now: MonoTime) -> bool {
        self.answered.is_some_and(|at| now.since(at).0 < SILENCE_LIMIT.0 + MAX_WAIT.0)
    }

    /// Failures in a row.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// End of a lease of `length` from now, on the worker's clock; `None` while its clock is unknown.
    #[must_use]
    pub fn extend_lease(&mut self, now: MonoTime, length: Millis) -> Option<u64> {
        let reading = self.clock?;
        self.assume_lease(now, length);
        Some(reading.clock + now.since(reading.at).0 + length.0)
    }

    /// Notes that a lease of `length` from now may have been given by an earlier scheduler.
    pub fn assume_lease(&mut self, now: MonoTime, length: Millis) {
        if let Some(reading) = self.clock {
            self.lease_until = self.lease_until.max(reading.clock + now.since(reading.at).0 + length.0);
        }
    }

    /// Whether the last lease that may have been granted has surely ended.
    #[must_use]
    pub fn has_lapsed(&self, now: MonoTime) -> bool {
        let Some(reading) = self.clock else { return true };
        let passed = now.since(reading.at).0 * SLOWEST_CLOCK / 1_000;
        reading.clock + passed > self.lease_until + LAPSE_MARGIN.0
    }

    /// Takes the clock from an answer. Returns whether it comes from another life than the answers before.
    pub fn read_clock(&mut self, now: MonoTime, clock: u64, born: Option<u64>) -> bool {
        let reborn = matches!((self.born, born), (Some(old), Some(new)) if old != new)
            || self.clock.is_some_and(|r| clock + SILENCE_LIMIT.0 < r.clock);
        if born.is_some() {
            self.born = born;
        }
        self.is_life_doubtful = false;
        if reborn || self.clock.is_none_or(|r| clock >= r.clock) {
            self.clock = Some(ClockReading { clock, at: now });
        }
        if reborn {
            self.lease_until = 0;
            self.processed = 0;
            self.undurable.clear();
            self.failures = 0;
        }
        reborn
    }

    /// Notes a run that ended well.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.avoid_until = MonoTime(0);
    }

    /// Notes a run that failed or stood still.
    pub fn note_failure(&mut self, now: MonoTime) {
        self.failures = self.failures.saturating_add(1);
        let pause = if self.failures >= QUARANTINE_AFTER {
            Millis(QUARANTINE.0 << (self.failures - QUARANTINE_AFTER).min(3))
        } else {
            SUSPICION
        };
        self.avoid_until = self.avoid_until.max(now + pause);
    }

    /// Notes a start that was refused or not answered.
    pub fn note_refusal(&mut self, now: MonoTime) {
        self.avoid_until = self.avoid_until.max(now + REFUSAL_PAUSE);
    }

    /// Whether an end of the worker's list is new.
    #[must_use]
    pub const fn is_new_end(&self, number: u64) -> bool {
        number > self.processed
    }

    /// Notes that an end was applied. `needs` names the job and the version that must be stored before the worker
    /// may forget it.
    pub fn note_end(&mut self, number: u64, needs: Option<(JobKey, u64)>) {
        self.processed = self.processed.max(number);
        if let Some(needs) = needs {
            self.undurable.insert(number, needs);
        }
    }

    /// Drops the ends whose jobs are stored up to a version.
    pub fn note_stored(&mut self, job: &JobKey, version: u64) {
        self.undurable.retain(|_, (key, needed)| key != job || *needed > version);
    }

    /// Notes that the worker may have started again since its last answer.
    pub const fn doubt_life(&mut self) {
        self.is_life_doubtful = true;
    }

    /// Highest end that the worker may forget. Numbers of one life mean nothing in the next.
    #[must_use]
    pub fn durable_end(&self) -> u64 {
        if self.is_life_doubtful {
            return 0;
        }
        self.undurable.keys().next().map_or(self.processed, |first| first - 1)
    }

    /// Whether ends wait to be stored.
    #[must_use]
    pub fn has_undurable(&self) -> bool {
        !self.undurable.is_empty()
    }
}

/// Longest time that a look waits for an end; the lease is extended at least this often.
pub const MAX_WAIT: Millis = Millis(500);
