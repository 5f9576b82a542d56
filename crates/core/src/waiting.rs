//! Waiting jobs: their data, and the orders in which a team's jobs start and are shed.

use std::collections::BTreeSet;

use crate::deadline::Deadline;
use crate::ids::{JobId, QueueId, TeamId};
use crate::units::{Millis, MonoTime};

/// Age at which a patient job is due.
pub const DUE_AGE: Millis = Millis::from_secs(10 * 60);

/// Kind of work, from the class target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Has to start within a time.
    Urgent,
    /// May wait.
    Patient,
}

/// A job that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Job.
    pub job: JobId,
    /// Team; absent on queues open to all.
    pub team: Option<TeamId>,
    /// Queue.
    pub queue: QueueId,
    /// Kind of work.
    pub kind: Kind,
    /// Whether the job is in the journal. Such a job is never shed, only left to the journal.
    pub durable: bool,
    /// Deadline.
    pub deadline: Option<Deadline>,
    /// Learned run time.
    pub run: Millis,
    /// When it began to wait.
    pub since: MonoTime,
}

impl Waiting {
    pub(crate) fn latest_start(&self) -> MonoTime {
        self.deadline.map_or(MonoTime(u64::MAX), |deadline| deadline.latest_start(self.run))
    }
}

/// Slots of the pool that this entry knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slots {
    /// All slots of endpoints that take work.
    pub total: u32,
    /// Slots in which nothing runs.
    pub free: u32,
}

/// Most waiting jobs. Urgent and patient work are counted separately, so that a patient backlog leaves room for
/// urgent requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Of one team and kind.
    pub team: usize,
    /// Of one kind in the pool.
    pub pool: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { team: 4096, pool: 16_384 }
    }
}

/// Latest start and arrival number.
pub(crate) type Order = (MonoTime, u64);

/// Jobs of one team in a pool.
#[derive(Debug, Default)]
pub(crate) struct TeamQueue {
    pub(crate) urgent: BTreeSet<Order>,
    pub(crate) patient: BTreeSet<Order>,
    pub(crate) patient_by_age: BTreeSet<Order>,
    pub(crate) sheddable: BTreeSet<Order>,
    pub(crate) running: u32,
}

impl TeamQueue {
    pub(crate) fn waiting(&self, kind: Kind) -> &BTreeSet<Order> {
        match kind {
            Kind::Urgent => &self.urgent,
            Kind::Patient => &self.patient,
        }
    }

    pub(crate) fn has_demand(&self) -> bool {
        self.running > 0 || !self.urgent.is_empty() || !self.patient.is_empty()
    }

    /// The patient job to start first: the oldest one if it is due, otherwise the one with the least slack.
    pub(crate) fn find_patient(&self, now: MonoTime) -> Option<(Order, bool)> {
        let (since, number) = *self.patient_by_age.first()?;
        let due_at = since + DUE_AGE;
        if due_at <= now { Some(((due_at, number), true)) } else { self.patient.first().map(|order| (*order, false)) }
    }
}

/// The job with the least chance of meeting its target: one that is too late already, or else the first or the last
/// in the order, whichever has less slack beyond the wait that it still expects.
///
/// Jobs between these two are not compared, which keeps the choice O(log n).
pub(crate) fn find_victim(sheddable: &BTreeSet<Order>, wait: Millis, now: MonoTime) -> Option<u64> {
    let ((first_start, first), (last_start, last)) = (*sheddable.first()?, *sheddable.last()?);
    let is_last = first_start >= now && last_start.since(now).saturating_sub(wait) <= first_start.since(now);
    Some(if is_last { last } else { first })
}
