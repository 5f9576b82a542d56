//! State of a worker as the scheduler knows it.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::map::Map;
use crate::sched::graph::{JobKey, Resources, Step, TaskName};
use crate::sched::order::WorkerReport;
use crate::units::{Millis, MonoTime};

/// Time since the last answer after which a poll no longer extends the lease. A worker that has been silent for
/// [`MAX_WAIT`] longer counts as unreachable and gets no new tasks. The limit is longer than one lost answer and
/// its repetition.
pub const SILENCE_LIMIT: Millis = Millis(1_200);

/// Time from the end of a poll's wait to the next answer, on a busy scheduler.
const ANSWER_DELAY: Millis = Millis(300);

/// Slowest rate of a worker's clock relative to the scheduler's, in thousandths, as the platform specifies it.
const SLOWEST_CLOCK: u64 = 980;

/// Margin after the end of a lease for the time between a worker's reading of its clock and its action.
const LAPSE_MARGIN: Millis = Millis(300);

/// Failures in a row after which a worker gets no new tasks for [`QUARANTINE`].
const QUARANTINE_AFTER: u32 = 2;

/// Time without new tasks after [`QUARANTINE_AFTER`] failures in a row. It doubles with each further failure, up to
/// eight times this value.
const QUARANTINE: Millis = Millis(2_000);

/// Time without new tasks after one failure, in which the tasks that still run there show whether the worker is faulty.
const FAILURE_PAUSE: Millis = Millis(400);

/// Time without new tasks after a start that the worker refused.
const REFUSAL_PAUSE: Millis = Millis(300);

/// Time after it was sent in which a call without an answer may still be executed. The platform's specification says
/// "seconds later" and names no limit, so 5 s is an assumption; the sites' disruptions with late calls last about as long.
pub const LATE_CALL_LIMIT: Millis = Millis(5_000);

/// Version of a job that is never stored: a worker must keep an end while the scheduler does not know its job.
pub const NEVER_STORED: u64 = u64::MAX;

/// Reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock: u64,
    at: MonoTime,
}

/// A worker with its runs, lease and failures.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its last worker report: what the worker's own entry in the store says.
    pub report: WorkerReport,
    /// Whether it has a report in the store.
    pub is_reported: bool,
    /// Whether it has ended and has not answered since: the list of VMs, another worker on its VM or an answer at its
    /// address showed it.
    pub is_gone: bool,
    /// Whether it is gone because its VM is down, so that it may start again under its id.
    pub may_return: bool,
    /// Time since which this scheduler knows its present incarnation.
    pub known_since: MonoTime,
    /// Whether it was listed for the first time after the first list of the term.
    pub is_arrival: bool,
    /// Whether it gets no new tasks because its VM is to move or to have maintenance.
    pub is_cordoned: bool,
    /// Whether its data centre is evacuated, so that it gets no new tasks.
    pub is_evacuated: bool,
    /// Whether it has answered a poll of this term, so that it refuses orders of earlier terms.
    pub refuses_earlier_terms: bool,
    /// Whether the stored recovery set names it, so that the next scheduler knows that it may hold runs.
    pub is_in_recovery_set: bool,
    /// Its incarnation in the stored recovery set, if that names it.
    pub named_incarnation: Option<u64>,
    /// Whether it has orphaned runs, which belong to no known job. The resources that they use are unknown.
    pub has_orphans: bool,
    /// Resources of the runs that are or may be there.
    pub used: Resources,
    /// The part of `used` that belongs to lasting tasks, which don't end by themselves.
    pub used_by_lasting: Resources,
    /// Runs that are or may be there, by task.
    pub runs: Map<TaskName, u32>,
    /// Number of its runs that serve users.
    pub serving: u32,
    /// Number of its best-effort runs.
    pub best_effort: u32,
    /// Whether nothing listened at its address when it was polled last.
    pub refuses_connections: bool,
    /// Time of the last answer to a poll.
    pub last_answer: Option<MonoTime>,
    /// Time of the last answer to a poll, or to a start or stop that the worker accepted.
    pub last_heard: MonoTime,
    /// Time at which the last poll was sent.
    pub poll_sent: MonoTime,
    incarnation: Option<u64>,
    clock: Option<ClockReading>,
    lease_until: u64,
    failures: u32,
    paused_until: MonoTime,
    last_applied_end: u64,
    /// Whether a poll has failed since the last answer, so that the worker may have restarted.
    is_incarnation_uncertain: bool,
    /// Numbers of applied ends whose changes are not stored yet, each with the job and the version to store.
    unstored_ends: BTreeMap<u64, (JobKey, u64)>,
    /// Number up to which its present incarnation has discarded ends, as far as answers show.
    discarded_end: u64,
    /// Number up to which the poll in flight lets it discard ends; 0 if none.
    discard_in_flight: u64,
    /// Time until which a poll without an answer that discards ends may still be executed.
    late_discard_until: MonoTime,
    /// The same for polls that were meant for an earlier incarnation, as far as answers show.
    stale_discard_until: MonoTime,
}

impl Worker {
    /// Creates a worker that has a report in the store or is in the recovery set.
    #[must_use]
    pub fn new(report: WorkerReport, is_reported: bool, now: MonoTime) -> Self {
        Self {
            incarnation: report.incarnation,
            report,
            is_reported,
            is_gone: false,
            may_return: false,
            known_since: now,
            is_arrival: false,
            is_cordoned: false,
            is_evacuated: false,
            refuses_earlier_terms: false,
            is_in_recovery_set: false,
            named_incarnation: None,
            has_orphans: false,
            used: Resources::default(),
            used_by_lasting: Resources::default(),
            runs: Map::default(),
            serving: 0,
            best_effort: 0,
            refuses_connections: false,
            last_answer: None,
            last_heard: MonoTime(0),
            poll_sent: MonoTime(0),
            clock: None,
            lease_until: 0,
            failures: 0,
            paused_until: MonoTime(0),
            last_applied_end: 0,
            is_incarnation_uncertain: false,
            unstored_ends: BTreeMap::new(),
            discarded_end: 0,
            discard_in_flight: 0,
            late_discard_until: MonoTime(0),
            stale_discard_until: MonoTime(0),
        }
    }

    /// Free resources.
    #[must_use]
    pub const fn free(&self) -> Resources {
        self.report.capacity.without(&self.used)
    }

    /// Resources that are free once all tasks have ended that end by themselves.
    #[must_use]
    pub const fn free_beside_lasting(&self) -> Resources {
        self.report.capacity.without(&self.used_by_lasting)
    }

    /// Reserves the resources of a task of a step.
    pub fn reserve(&mut self, step: &Step) {
        self.used += step.reserved();
        if step.lasting {
            self.used_by_lasting += step.reserved();
        }
        self.serving += u32::from(step.target.is_some());
        self.best_effort += u32::from(step.fills);
    }

    /// Releases the resources of a task of a step.
    pub fn release(&mut self, step: &Step) {
        self.used -= step.reserved();
        if step.lasting {
            self.used_by_lasting -= step.reserved();
        }
        self.serving = self.serving.saturating_sub(u32::from(step.target.is_some()));
        self.best_effort = self.best_effort.saturating_sub(u32::from(step.fills));
    }

    /// Whether it has a label.
    #[must_use]
    pub fn has_label(&self, label: &SmolStr) -> bool {
        self.report.labels.contains(label)
    }

    /// Rack, which is the second label after the kind.
    #[must_use]
    pub fn rack(&self) -> Option<&SmolStr> {
        self.report.labels.get(1)
    }

    /// Whether it has a report in the store and is not known to have ended.
    #[must_use]
    pub const fn is_listed(&self) -> bool {
        self.is_reported && !self.is_gone
    }

    /// Whether it is listed, not cordoned, not shutting down and not in an evacuated data centre, so that it can get
    /// tasks.
    #[must_use]
    pub const fn is_schedulable(&self) -> bool {
        self.is_listed() && !self.is_cordoned && !self.must_get_no_starts()
    }

    /// Whether it is schedulable and has answered this scheduler.
    #[must_use]
    pub const fn is_available(&self) -> bool {
        self.is_schedulable() && self.refuses_earlier_terms
    }

    /// Whether it is shutting down or its data centre is evacuated. An order to start a task must not be repeated then.
    #[must_use]
    pub const fn must_get_no_starts(&self) -> bool {
        self.report.draining || self.is_evacuated
    }

    /// Whether new tasks may start on it now.
    #[must_use]
    pub fn accepts_tasks(&self, now: MonoTime) -> bool {
        self.is_available()
            && self.is_in_recovery_set
            && !self.has_orphans
            && self.is_reachable(now)
            && now >= self.paused_until
            && !self.may_discard_unread_ends(now)
    }

    /// Whether the stored recovery set names its present incarnation.
    #[must_use]
    pub fn is_named(&self) -> bool {
        self.is_in_recovery_set && self.named_incarnation == self.incarnation
    }

    /// Its report with the incarnation that answered last.
    #[must_use]
    pub fn present_report(&self) -> WorkerReport {
        WorkerReport { incarnation: self.incarnation, ..self.report.clone() }
    }

    /// Whether it has answered a poll recently.
    #[must_use]
    pub fn is_reachable(&self, now: MonoTime) -> bool {
        self.last_answer.is_some_and(|at| now.since(at).0 < SILENCE_LIMIT.0 + MAX_WAIT.0)
    }

    /// Whether an observation of the worker that was requested at `requested` is older than what it has answered since.
    #[must_use]
    pub fn is_outdated(&self, requested: MonoTime) -> bool {
        self.last_heard > requested
    }

    /// Whether its last answer is so recent that the state of its runs counts as current.
    #[must_use]
    pub fn is_current(&self, now: MonoTime) -> bool {
        self.last_answer.is_some_and(|at| now.since(at).0 <= MAX_WAIT.0 + ANSWER_DELAY.0)
    }

    /// Number of failures in a row.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Extends the lease to `length` from now. Returns its end in ms on the worker's clock; `None` while that is
    /// unknown.
    #[must_use]
    pub fn extend_lease(&mut self, now: MonoTime, length: Millis) -> Option<u64> {
        let reading = self.clock?;
        self.assume_lease(now, length);
        Some(reading.clock + now.since(reading.at).0 + length.0)
    }

    /// Records that the worker may have a lease of `length` from now.
    pub fn assume_lease(&mut self, now: MonoTime, length: Millis) {
        if let Some(reading) = self.clock {
            self.lease_until = self.lease_until.max(reading.clock + now.since(reading.at).0 + length.0);
        }
    }

    /// Whether the last lease that the worker may have has surely lapsed.
    #[must_use]
    pub fn has_lapsed(&self, now: MonoTime) -> bool {
        let Some(reading) = self.clock else { return true };
        let passed = now.since(reading.at).0 * SLOWEST_CLOCK / 1_000;
        reading.clock + passed > self.lease_until + LAPSE_MARGIN.0
    }

    /// Applies the clock and the incarnation of an answer. Returns whether the worker has restarted, which also shows
    /// by a clock that went back further than [`SILENCE_LIMIT`].
    pub fn update_clock(&mut self, now: MonoTime, clock: u64, incarnation: Option<u64>) -> bool {
        let has_restarted = matches!((self.incarnation, incarnation), (Some(old), Some(new)) if old != new)
            || self.clock.is_some_and(|r| clock + SILENCE_LIMIT.0 < r.clock);
        if incarnation.is_some() {
            self.incarnation = incarnation;
        }
        self.is_incarnation_uncertain = false;
        self.discarded_end = self.discarded_end.max(std::mem::take(&mut self.discard_in_flight));
        if has_restarted || self.clock.is_none_or(|r| clock >= r.clock) {
            self.clock = Some(ClockReading { clock, at: now });
        }
        if has_restarted {
            self.known_since = now;
            self.lease_until = 0;
            self.last_applied_end = 0;
            self.unstored_ends.clear();
            self.discarded_end = 0;
            self.stale_discard_until = self.late_discard_until;
            self.failures = 0;
        }
        has_restarted
    }

    /// Records a run that succeeded, which lifts any pause.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.paused_until = MonoTime(0);
    }

    /// Records a run that failed or stalled.
    pub fn record_failure(&mut self, now: MonoTime) {
        self.failures = self.failures.saturating_add(1);
        let pause = if self.failures >= QUARANTINE_AFTER {
            Millis(QUARANTINE.0 << (self.failures - QUARANTINE_AFTER).min(3))
        } else {
            FAILURE_PAUSE
        };
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// Records a start that the worker refused.
    pub fn record_refusal(&mut self, now: MonoTime) {
        self.paused_until = self.paused_until.max(now + REFUSAL_PAUSE);
    }

    /// Whether an end of the worker's list has not been applied.
    #[must_use]
    pub const fn is_new_end(&self, number: u64) -> bool {
        number > self.last_applied_end
    }

    /// Records that an end was applied. `needs` is the job and the version that must be stored before the worker may
    /// discard the end.
    pub fn record_end(&mut self, number: u64, needs: Option<(JobKey, u64)>) {
        self.last_applied_end = self.last_applied_end.max(number);
        if let Some(needs) = needs {
            self.unstored_ends.insert(number, needs);
        }
    }

    /// Records what must be stored before the worker may discard an end that was applied before its job was known.
    /// A worker that has restarted since numbers its ends anew and keeps none of the old ones.
    pub fn settle_end(&mut self, job: &JobKey, number: u64, needs: Option<(JobKey, u64)>) {
        if self.unstored_ends.get(&number).is_none_or(|(of, version)| of != job || *version != NEVER_STORED) {
            return;
        }
        match needs {
            Some(needs) => self.unstored_ends.insert(number, needs),
            None => self.unstored_ends.remove(&number),
        };
    }

    /// Removes the ends that are stored with a version of a job, so that the worker may discard them. Returns whether
    /// no end of the job is left.
    pub fn drop_stored_ends(&mut self, job: &JobKey, version: u64) -> bool {
        self.unstored_ends.retain(|_, (key, needed)| key != job || *needed > version);
        !self.unstored_ends.values().any(|(key, _)| key == job)
    }

    /// Records that the last poll got no answer, so the worker may have restarted. The poll may still be executed, unless
    /// the connection was refused.
    pub fn record_lost_poll(&mut self, is_refused: bool) {
        self.is_incarnation_uncertain = true;
        self.refuses_connections = is_refused;
        if std::mem::take(&mut self.discard_in_flight) > 0 && !is_refused {
            self.late_discard_until = self.late_discard_until.max(self.poll_sent + LATE_CALL_LIMIT);
        }
    }

    /// Whether a poll without an answer that discards ends may still be executed.
    #[must_use]
    pub fn may_discard_late(&self, now: MonoTime) -> bool {
        now < self.late_discard_until
    }

    /// Whether such a poll was meant for an earlier incarnation. It names an end by a number of that incarnation, and would
    /// discard the ends of the present one up to this number, although nobody has read them.
    #[must_use]
    pub fn may_discard_stale(&self, now: MonoTime) -> bool {
        now < self.stale_discard_until
    }

    /// Whether an end of a run that starts now may be discarded before it is read, because the worker has restarted, or
    /// may have, while a poll without an answer that discards ends may still be executed.
    #[must_use]
    pub fn may_discard_unread_ends(&self, now: MonoTime) -> bool {
        self.may_discard_stale(now) || (self.is_incarnation_uncertain && self.may_discard_late(now))
    }

    /// Number up to which the poll that is sent now lets the worker discard ends. It is 0 if there is nothing to discard,
    /// as any number may discard ends of a later incarnation.
    pub fn begin_discard(&mut self) -> u64 {
        let number = self.durable_end();
        self.discard_in_flight = if number > self.discarded_end { number } else { 0 };
        self.discard_in_flight
    }

    /// Number up to which the worker may discard ends. It is 0 while the worker may have restarted, because each
    /// incarnation numbers its ends from 1.
    #[must_use]
    pub fn durable_end(&self) -> u64 {
        if self.is_incarnation_uncertain {
            return 0;
        }
        self.unstored_ends.keys().next().map_or(self.last_applied_end, |first| first - 1)
    }

    /// Whether applied ends are not stored yet.
    #[must_use]
    pub fn has_unstored_ends(&self) -> bool {
        !self.unstored_ends.is_empty()
    }
}

/// Maximum time for which a poll waits for a run to end. The lease is extended at least this often.
pub const MAX_WAIT: Millis = Millis(500);

/// Maximum time for which a poll waits until earlier schedulers are known to have stopped, which may show at any time.
pub const MAX_WAIT_DURING_TAKEOVER: Millis = Millis(250);

/// Maximum time for which a poll of a worker without runs waits. It is shorter than [`SILENCE_LIMIT`], so that the worker
/// stays reachable.
pub const MAX_IDLE_WAIT: Millis = Millis(1_000);
