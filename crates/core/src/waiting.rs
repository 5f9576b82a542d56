//! Waiting jobs, and the orders in which a team's jobs are started and shed.

use std::collections::BTreeSet;

use crate::deadline::Deadline;
use crate::ids::{JobId, QueueId, TeamId};
use crate::units::{Millis, MonoTime};

/// Time after which a waiting patient job is due: the oldest such job of a team starts before its other patient jobs.
pub const DUE_AGE: Millis = Millis::from_secs(10 * 60);

/// Whether a job has to start soon, from the target of its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// The job has to start within a given time.
    Urgent,
    /// The job may wait for urgent ones.
    Patient,
}

/// A job that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingJob {
    /// Id of the job.
    pub job: JobId,
    /// Team that owns the job; absent on queues that are open to all.
    pub team: Option<TeamId>,
    /// Queue to which the job was submitted.
    pub queue: QueueId,
    /// Whether the job has to start soon.
    pub urgency: Urgency,
    /// Whether the job is in the journal. Such a job is never shed; one that exceeds a bound stays in the journal.
    pub durable: bool,
    /// Deadline; a job without one has no latest start.
    pub deadline: Option<Deadline>,
    /// Estimated run time.
    pub run: Millis,
    /// When it was accepted, on the monotonic clock of this process.
    pub since: MonoTime,
}

impl WaitingJob {
    /// Latest time at which the job can start and still meet its deadline.
    pub(crate) fn latest_start(&self) -> MonoTime {
        self.deadline.map_or(MonoTime(u64::MAX), |deadline| deadline.latest_start(self.run))
    }
}

/// Number of slots of a pool, as far as this entry knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slots {
    /// All slots of endpoints that accept jobs.
    pub total: u32,
    /// Slots in which no job runs.
    pub free: u32,
}

/// Maximum numbers of waiting jobs. Urgent and patient jobs are counted separately, so that a patient backlog leaves
/// room for urgent requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum for one team and urgency.
    pub team: usize,
    /// Maximum for one urgency in the whole pool.
    pub pool: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { team: 4096, pool: 16_384 }
    }
}

/// Sort key of a waiting job: a time, which is its latest start or the time of its acceptance, then its arrival number.
pub(crate) type QueueOrder = (MonoTime, u64);

/// Arrival numbers of one team's waiting jobs in a pool, in different orders, and the number of its running jobs.
#[derive(Debug, Default)]
pub(crate) struct TeamQueue {
    pub(crate) urgent: BTreeSet<QueueOrder>,
    pub(crate) patient: BTreeSet<QueueOrder>,
    /// Patient jobs by acceptance time instead of latest start.
    pub(crate) patient_by_age: BTreeSet<QueueOrder>,
    /// Jobs that are not durable.
    pub(crate) sheddable: BTreeSet<QueueOrder>,
    pub(crate) running: u32,
}

impl TeamQueue {
    pub(crate) fn waiting(&self, urgency: Urgency) -> &BTreeSet<QueueOrder> {
        match urgency {
            Urgency::Urgent => &self.urgent,
            Urgency::Patient => &self.patient,
        }
    }

    pub(crate) fn has_demand(&self) -> bool {
        self.running > 0 || !self.urgent.is_empty() || !self.patient.is_empty()
    }

    /// The patient job to start first, and whether it is due: the oldest one if it is due, otherwise the one with the
    /// earliest latest start.
    pub(crate) fn next_patient(&self, now: MonoTime) -> Option<(QueueOrder, bool)> {
        let (since, number) = *self.patient_by_age.first()?;
        let due_at = since + DUE_AGE;
        if due_at <= now { Some(((due_at, number), true)) } else { self.patient.first().map(|order| (*order, false)) }
    }
}

/// Chooses the job to shed, the one with the least chance of meeting its target: the first one if it is already too
/// late, or else the first or the last in the order, whichever has less slack. The last one's slack is reduced by
/// `wait`, the expected wait of a job at the end of the queue.
///
/// Jobs between these two are not compared, which keeps the choice O(log n).
pub(crate) fn find_job_to_shed(sheddable: &BTreeSet<QueueOrder>, wait: Millis, now: MonoTime) -> Option<u64> {
    let ((first_start, first), (last_start, last)) = (*sheddable.first()?, *sheddable.last()?);
    let is_last = first_start >= now && last_start.since(now).saturating_sub(wait) <= first_start.since(now);
    Some(if is_last { last } else { first })
}
