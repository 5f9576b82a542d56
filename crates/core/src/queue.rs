//! Queue of one pool's waiting jobs in an entry, and the order in which they start.
//!
//! Urgent jobs start before patient ones, except that patient jobs get a minimum share of the starts. While more jobs
//! wait than slots are free, the team with the fewest running jobs in proportion to its weight starts next. Within a
//! team, and among all teams while there are free slots for all jobs, the job with the earliest latest start goes
//! first.

use std::collections::BTreeSet;

use crate::admission::{self, Room};
use crate::ids::{JobId, TeamId};
use crate::job::Refusal;
use crate::map::Map;
use crate::shares::Shares;
use crate::units::{Millis, MonoTime};
use crate::waiting::{self, QueueOrder, TeamQueue};

pub use crate::waiting::{Bounds, DUE_AGE, Slots, Urgency, WaitingJob};

/// While urgent and patient work can start, at least one in this many starts is patient.
pub const STARTS_PER_PATIENT_START: u32 = 8;

/// Replaces [`STARTS_PER_PATIENT_START`] while a patient job is older than [`DUE_AGE`]. An old backlog takes at most
/// every second start, so that it can't block urgent work altogether.
pub const STARTS_PER_DUE_START: u32 = 2;

/// Expected wait that is reported for a pool without slots.
pub const NO_SLOTS_WAIT: Millis = Millis::from_secs(3600);

/// Number of starts over which the mean estimated run time of started jobs is exponentially smoothed.
const RUN_TIME_SMOOTHING: u64 = 16;

/// Result of adding a job to the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PushOutcome {
    /// The job was added, and no other job was removed.
    Queued,
    /// The queue was at a bound, so one job, the new one or another, was removed. It did not run. A job that is not
    /// durable is thereby shed; a durable job stays in the journal.
    Displaced {
        /// The removed job. The caller of a shed job receives the refusal.
        waiting: Box<WaitingJob>,
        /// Response to the caller of the removed job.
        refusal: Refusal,
    },
    /// The job is already in the queue.
    Duplicate,
}

/// Job that may start next; the one with the least load, then the earliest latest start, is preferred.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    /// Running jobs of the team divided by its weight; 0 for all teams while there are free slots for all jobs.
    load: f64,
    order: QueueOrder,
}

impl Candidate {
    fn replace_if_better(best: &mut Option<Self>, new: Self) {
        let key = |c: &Self| (c.load, c.order);
        if best.as_ref().is_none_or(|best| key(&new) < key(best)) {
            *best = Some(new);
        }
    }
}

/// Waiting jobs of one pool in an entry, and the number of running jobs of each team.
#[derive(Debug, Default)]
pub struct ReadyQueue {
    /// Jobs by arrival number.
    jobs: Map<u64, WaitingJob>,
    arrival_numbers: Map<JobId, u64>,
    teams: Map<Option<TeamId>, TeamQueue>,
    /// Jobs that are not durable.
    sheddable: BTreeSet<QueueOrder>,
    shares: Shares,
    bounds: Bounds,
    urgent: Backlog,
    patient: Backlog,
    next_arrival_number: u64,
    /// Urgent jobs started ahead of a waiting patient job since the last patient start.
    urgent_starts_since_patient: u32,
    /// Smoothed estimated run time of started jobs in milliseconds, times [`RUN_TIME_SMOOTHING`]; 0 before the first
    /// start.
    scaled_mean_run: u64,
}

/// Position of a waiting job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Jobs of its team and urgency that precede it in the order of latest start.
    pub ahead: usize,
    /// Waiting jobs of its team and urgency, itself included.
    pub waiting: usize,
}

/// Number of waiting jobs of an urgency, and the sum of their estimated run times in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Backlog {
    jobs: usize,
    run: u64,
}

impl ReadyQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(shares: Shares) -> Self {
        Self { shares, ..Self::default() }
    }

    /// Sets the maximum number of waiting jobs.
    #[must_use]
    pub const fn with_bounds(mut self, bounds: Bounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// Replaces the team shares after a configuration change.
    pub fn set_shares(&mut self, shares: Shares) {
        self.shares = shares;
    }

    /// Number of waiting jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Number of waiting jobs of an urgency.
    #[must_use]
    pub const fn count_waiting(&self, urgency: Urgency) -> usize {
        self.backlog(urgency).jobs
    }

    /// Running jobs of a team in the pool that this entry started or took over.
    #[must_use]
    pub fn count_running(&self, team: Option<&TeamId>) -> u32 {
        self.teams.get(&team.cloned()).map_or(0, |queue| queue.running)
    }

    /// Teams with waiting or running jobs, each with its number of running jobs and its entitlement.
    #[must_use]
    pub fn list_teams(&self) -> Vec<(Option<TeamId>, u32, f64)> {
        let mut teams: Vec<_> = self.teams.iter().map(|(team, queue)| (team.clone(), queue.running)).collect();
        teams.sort();
        let names: Vec<_> = teams.iter().map(|(team, _)| team.clone()).collect();
        let entitlements = self.shares.entitlements(&names);
        teams.into_iter().zip(entitlements).map(|((team, running), part)| (team, running, part)).collect()
    }

    /// Position of a job among the waiting jobs of its team and urgency; `None` if it isn't in this queue.
    #[must_use]
    pub fn find_position(&self, job: &JobId) -> Option<Position> {
        let number = self.arrival_numbers.get(job)?;
        let waiting = self.jobs.get(number)?;
        let queue = self.teams.get(&waiting.team)?.waiting(waiting.urgency);
        let ahead = queue.iter().position(|(_, other)| other == number)?;
        Some(Position { ahead, waiting: queue.len() })
    }

    /// Whether one more job of the team would stay within the bounds.
    #[must_use]
    pub fn room(&self, team: Option<&TeamId>, urgency: Urgency) -> Room {
        let team = self.teams.get(&team.cloned()).map_or(0, |queue| queue.waiting(urgency).len());
        if team >= self.bounds.team {
            Room::TeamFull
        } else if self.backlog(urgency).jobs >= self.bounds.pool {
            Room::PoolFull
        } else {
            Room::Free
        }
    }

    /// Adds a job. If that exceeds a bound, the job with the least chance of meeting its target is shed.
    ///
    /// A durable job at a bound is itself the one that is removed; it stays in the journal.
    pub fn push(&mut self, waiting: WaitingJob, slots: Slots, now: MonoTime) -> PushOutcome {
        if self.arrival_numbers.contains_key(&waiting.job) {
            return PushOutcome::Duplicate;
        }
        let (team, urgency, durable) = (waiting.team.clone(), waiting.urgency, waiting.durable);
        let room = self.room(team.as_ref(), urgency);
        let wait = self.expected_wait(urgency, slots);
        let number = self.insert(waiting);
        let retry_after = admission::clamp_retry_after(wait);
        let refusal = match room {
            Room::Free => return PushOutcome::Queued,
            Room::TeamFull => Refusal::TeamLimit { retry_after },
            Room::PoolFull => Refusal::Overloaded { retry_after },
        };
        let sheddable = match room {
            Room::TeamFull => self.teams.get(&team).map(|queue| &queue.sheddable),
            _ => Some(&self.sheddable),
        };
        // A request isn't shed in favour of a durable job, which can be queued again from the journal.
        let removed =
            sheddable.filter(|_| !durable).and_then(|set| waiting::find_job_to_shed(set, wait, now)).unwrap_or(number);
        let waiting = self.remove(removed).expect("the removed job was in the queue");
        PushOutcome::Displaced { waiting: Box::new(waiting), refusal }
    }

    /// Removes the job to start next and counts it as running.
    ///
    /// `may_start` says whether a team is below its limit; the jobs of a team at its limit are skipped. Jobs that can
    /// no longer meet their target are not skipped: [`Self::take_expired`] removes them.
    pub fn start_next(
        &mut self,
        slots: Slots,
        now: MonoTime,
        may_start: impl Fn(Option<&TeamId>) -> bool,
    ) -> Option<WaitingJob> {
        if slots.free == 0 {
            return None;
        }
        let is_contended = self.jobs.len() > slots.free as usize;
        let without_share =
            self.teams.iter().filter(|(team, q)| q.has_demand() && !self.shares.has_share(team.as_ref())).count();
        let (mut urgent, mut patient, mut is_due) = (None, None, false);
        for (team, queue) in &self.teams {
            if (queue.urgent.is_empty() && queue.patient.is_empty()) || !may_start(team.as_ref()) {
                continue;
            }
            let weight = self.shares.weight(team.as_ref(), without_share);
            let load = if is_contended { f64::from(queue.running) / weight } else { 0.0 };
            if let Some(order) = queue.urgent.first() {
                Candidate::replace_if_better(&mut urgent, Candidate { load, order: *order });
            }
            if let Some((order, due)) = queue.next_patient(now) {
                is_due |= due;
                Candidate::replace_if_better(&mut patient, Candidate { load, order });
            }
        }
        let chosen = self.choose_candidate(urgent, patient, is_due)?;
        let waiting = self.remove(chosen.order.1)?;
        self.record_run_time(waiting.run);
        self.add_running(waiting.team.clone());
        Some(waiting)
    }

    /// Counts one more running job of a team, for example one that this entry took over from another entry.
    pub fn add_running(&mut self, team: Option<TeamId>) {
        self.teams.entry(team).or_default().running += 1;
    }

    /// Counts a running job of the team as ended.
    pub fn finish(&mut self, team: Option<&TeamId>) {
        let team = team.cloned();
        if let Some(queue) = self.teams.get_mut(&team) {
            queue.running = queue.running.saturating_sub(1);
        }
        self.drop_idle_team(&team);
    }

    /// Returns a job from [`Self::start_next`] that was not started, for example because the worker was full. The
    /// queue may then exceed a bound by one job.
    pub fn put_back(&mut self, waiting: WaitingJob) {
        self.finish(waiting.team.as_ref());
        if !self.arrival_numbers.contains_key(&waiting.job) {
            self.insert(waiting);
        }
    }

    /// Removes those of the jobs that are in the queue and returns them. They did not run.
    pub fn cancel<'a>(&mut self, jobs: impl IntoIterator<Item = &'a JobId>) -> Vec<WaitingJob> {
        jobs.into_iter().filter_map(|job| self.arrival_numbers.get(job).copied().and_then(|n| self.remove(n))).collect()
    }

    /// Removes all waiting jobs of a team. They did not run.
    pub fn cancel_team(&mut self, team: &TeamId) -> Vec<WaitingJob> {
        let Some(queue) = self.teams.get(&Some(team.clone())) else { return Vec::new() };
        let numbers: Vec<_> = queue.urgent.iter().chain(&queue.patient).map(|(_, number)| *number).collect();
        numbers.into_iter().filter_map(|number| self.remove(number)).collect()
    }

    /// Removes the jobs that are not durable and can't meet their target any more. They did not run.
    pub fn take_expired(&mut self, now: MonoTime) -> Vec<WaitingJob> {
        let mut expired = Vec::new();
        while let Some((latest_start, number)) = self.sheddable.first().copied()
            && latest_start < now
        {
            expired.extend(self.remove(number));
        }
        expired
    }

    /// Expected time until a job that arrives now starts.
    #[must_use]
    pub fn expected_wait(&self, urgency: Urgency, slots: Slots) -> Millis {
        if slots.total == 0 {
            return NO_SLOTS_WAIT;
        }
        let (ahead, run) = match urgency {
            // One start in STARTS_PER_PATIENT_START is patient, so that many patient jobs delay the urgent ones.
            Urgency::Urgent => {
                let patient_starts =
                    (self.urgent.jobs / (STARTS_PER_PATIENT_START as usize - 1)).min(self.patient.jobs) as u64;
                let patient_run = self.patient.run / (self.patient.jobs.max(1) as u64);
                (self.urgent.jobs, self.urgent.run.saturating_add(patient_starts.saturating_mul(patient_run)))
            }
            Urgency::Patient => (self.jobs.len(), self.urgent.run.saturating_add(self.patient.run)),
        };
        if slots.free as usize > ahead {
            return Millis(0);
        }
        // With all slots busy, the next one becomes free after the mean run time divided by the number of slots.
        Millis(run.saturating_add(self.scaled_mean_run / RUN_TIME_SMOOTHING) / u64::from(slots.total))
    }

    /// Updates the smoothed estimated run time with the estimate of a started job.
    const fn record_run_time(&mut self, run: Millis) {
        self.scaled_mean_run = if self.scaled_mean_run == 0 {
            run.0.saturating_mul(RUN_TIME_SMOOTHING)
        } else {
            (self.scaled_mean_run - self.scaled_mean_run / RUN_TIME_SMOOTHING).saturating_add(run.0)
        };
    }

    const fn backlog(&self, urgency: Urgency) -> &Backlog {
        match urgency {
            Urgency::Urgent => &self.urgent,
            Urgency::Patient => &self.patient,
        }
    }

    const fn backlog_mut(&mut self, urgency: Urgency) -> &mut Backlog {
        match urgency {
            Urgency::Urgent => &mut self.urgent,
            Urgency::Patient => &mut self.patient,
        }
    }

    /// Chooses between the best urgent and the best patient job, so that patient jobs get their minimum of starts.
    fn choose_candidate(
        &mut self,
        urgent: Option<Candidate>,
        patient: Option<Candidate>,
        is_due: bool,
    ) -> Option<Candidate> {
        let starts_per_patient = if is_due { STARTS_PER_DUE_START } else { STARTS_PER_PATIENT_START };
        match (urgent, patient) {
            (Some(_), Some(patient)) if self.urgent_starts_since_patient + 1 >= starts_per_patient => {
                self.urgent_starts_since_patient = 0;
                Some(patient)
            }
            (Some(urgent), Some(_)) => {
                self.urgent_starts_since_patient += 1;
                Some(urgent)
            }
            (Some(urgent), None) => Some(urgent),
            (None, Some(patient)) => {
                self.urgent_starts_since_patient = 0;
                Some(patient)
            }
            (None, None) => None,
        }
    }

    fn insert(&mut self, waiting: WaitingJob) -> u64 {
        let number = self.next_arrival_number;
        self.next_arrival_number += 1;
        let order = (waiting.latest_start(), number);
        let queue = self.teams.entry(waiting.team.clone()).or_default();
        match waiting.urgency {
            Urgency::Urgent => drop(queue.urgent.insert(order)),
            Urgency::Patient => {
                queue.patient.insert(order);
                queue.patient_by_age.insert((waiting.since, number));
            }
        }
        if !waiting.durable {
            queue.sheddable.insert(order);
            self.sheddable.insert(order);
        }
        let backlog = self.backlog_mut(waiting.urgency);
        backlog.jobs += 1;
        backlog.run = backlog.run.saturating_add(waiting.run.0);
        self.arrival_numbers.insert(waiting.job.clone(), number);
        self.jobs.insert(number, waiting);
        number
    }

    fn remove(&mut self, number: u64) -> Option<WaitingJob> {
        let waiting = self.jobs.remove(&number)?;
        self.arrival_numbers.remove(&waiting.job);
        let order = (waiting.latest_start(), number);
        self.sheddable.remove(&order);
        if let Some(queue) = self.teams.get_mut(&waiting.team) {
            queue.urgent.remove(&order);
            queue.patient.remove(&order);
            queue.patient_by_age.remove(&(waiting.since, number));
            queue.sheddable.remove(&order);
        }
        let backlog = self.backlog_mut(waiting.urgency);
        backlog.jobs -= 1;
        backlog.run = backlog.run.saturating_sub(waiting.run.0);
        self.drop_idle_team(&waiting.team);
        Some(waiting)
    }

    fn drop_idle_team(&mut self, team: &Option<TeamId>) {
        if self.teams.get(team).is_some_and(|queue| !queue.has_demand()) {
            self.teams.remove(team);
        }
    }
}
