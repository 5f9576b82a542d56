//! Jobs of one pool that wait in an entry, and the order in which they start.
//!
//! Urgent work starts before patient work, except that patient work has a floor. Between teams the one furthest below
//! its entitlement starts first while the pool is full; within a team, and in a pool that isn't full, the job with the
//! least slack does.

use std::collections::BTreeSet;

use crate::admission::{self, Room};
use crate::ids::{JobId, TeamId};
use crate::job::Refusal;
use crate::map::Map;
use crate::shares::Shares;
use crate::units::{Millis, MonoTime};
use crate::waiting::{self, Order, TeamQueue};

pub use crate::waiting::{Bounds, DUE_AGE, Kind, Slots, Waiting};

/// While urgent and patient work can start, at least one in this many starts is patient.
pub const PATIENT_FLOOR: u32 = 8;

/// The floor while a patient job is due. An old backlog takes at most every second start, so that it can't hold up
/// urgent work altogether.
pub const DUE_FLOOR: u32 = 2;

/// Expected wait in a pool without slots.
pub const NO_SLOTS_WAIT: Millis = Millis::from_secs(3600);

/// Starts over which the mean run time of running jobs is smoothed.
const MEAN_STARTS: u64 = 16;

/// What became of a job that was added.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pushed {
    /// It waits.
    Queued,
    /// A bound was reached and this job, the new one or another, left the queue. It did not run.
    Displaced {
        /// The job. A durable one stays in the journal; the caller of another one gets the refusal.
        waiting: Box<Waiting>,
        /// Answer to its caller.
        refusal: Refusal,
    },
    /// The job waits already.
    Duplicate,
}

/// The best job found so far while the teams are compared.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    /// Running jobs by entitlement; 0 for all teams while the pool isn't full.
    load: f64,
    order: Order,
}

impl Candidate {
    fn replace_if_better(best: &mut Option<Self>, new: Self) {
        let key = |c: &Self| (c.load, c.order);
        if best.as_ref().is_none_or(|best| key(&new) < key(best)) {
            *best = Some(new);
        }
    }
}

/// Waiting jobs of one pool in an entry.
#[derive(Debug, Default)]
pub struct ReadyQueue {
    jobs: Map<u64, Waiting>,
    numbers: Map<JobId, u64>,
    teams: Map<Option<TeamId>, TeamQueue>,
    sheddable: BTreeSet<Order>,
    shares: Shares,
    bounds: Bounds,
    urgent: Load,
    patient: Load,
    next_number: u64,
    urgent_starts: u32,
    /// Smoothed run time of started jobs, times [`MEAN_STARTS`].
    smoothed_run: u64,
}

/// Position of a waiting job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Jobs of its team and kind that start before it.
    pub ahead: usize,
    /// Waiting jobs of its team and kind, itself included.
    pub waiting: usize,
}

/// Number of waiting jobs of a kind, and their run times together in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    jobs: usize,
    run: u64,
}

impl ReadyQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(shares: Shares) -> Self {
        Self { shares, ..Self::default() }
    }

    /// Sets the bounds.
    #[must_use]
    pub const fn with_bounds(mut self, bounds: Bounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// Takes the shares of a new configuration.
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

    /// Number of waiting jobs of a kind.
    #[must_use]
    pub const fn count_waiting(&self, kind: Kind) -> usize {
        self.load(kind).jobs
    }

    /// Running jobs of a team that this entry started in the pool.
    #[must_use]
    pub fn count_running(&self, team: Option<&TeamId>) -> u32 {
        self.teams.get(&team.cloned()).map_or(0, |queue| queue.running)
    }

    /// Teams with waiting or running jobs, their running jobs and their entitlements.
    #[must_use]
    pub fn list_teams(&self) -> Vec<(Option<TeamId>, u32, f64)> {
        let mut teams: Vec<_> = self.teams.iter().map(|(team, queue)| (team.clone(), queue.running)).collect();
        teams.sort();
        let names: Vec<_> = teams.iter().map(|(team, _)| team.clone()).collect();
        let entitlements = self.shares.entitlements(&names);
        teams.into_iter().zip(entitlements).map(|((team, running), part)| (team, running, part)).collect()
    }

    /// Position of a waiting job among those of its team and kind; `None` if it doesn't wait here.
    #[must_use]
    pub fn find_position(&self, job: &JobId) -> Option<Position> {
        let number = self.numbers.get(job)?;
        let waiting = self.jobs.get(number)?;
        let queue = self.teams.get(&waiting.team)?.waiting(waiting.kind);
        let ahead = queue.iter().position(|(_, other)| other == number)?;
        Some(Position { ahead, waiting: queue.len() })
    }

    /// Whether another job of the team would stay within the bounds.
    #[must_use]
    pub fn room(&self, team: Option<&TeamId>, kind: Kind) -> Room {
        let team = self.teams.get(&team.cloned()).map_or(0, |queue| queue.waiting(kind).len());
        if team >= self.bounds.team {
            Room::TeamFull
        } else if self.load(kind).jobs >= self.bounds.pool {
            Room::PoolFull
        } else {
            Room::Free
        }
    }

    /// Adds a job. If that exceeds a bound, the job with the least chance of meeting its target leaves the queue.
    pub fn push(&mut self, waiting: Waiting, slots: Slots, now: MonoTime) -> Pushed {
        if self.numbers.contains_key(&waiting.job) {
            return Pushed::Duplicate;
        }
        let (team, kind, durable) = (waiting.team.clone(), waiting.kind, waiting.durable);
        let room = self.room(team.as_ref(), kind);
        let wait = self.expected_wait(kind, slots);
        let number = self.insert(waiting);
        let retry_after = admission::clamp_retry_after(wait);
        let refusal = match room {
            Room::Free => return Pushed::Queued,
            Room::TeamFull => Refusal::TeamLimit { retry_after },
            Room::PoolFull => Refusal::Overloaded { retry_after },
        };
        let sheddable = match room {
            Room::TeamFull => self.teams.get(&team).map(|queue| &queue.sheddable),
            _ => Some(&self.sheddable),
        };
        // A request isn't shed for a durable job, which the journal can offer again.
        let victim =
            sheddable.filter(|_| !durable).and_then(|set| waiting::find_victim(set, wait, now)).unwrap_or(number);
        let waiting = self.remove(victim).expect("the victim waits in the queue");
        Pushed::Displaced { waiting: Box::new(waiting), refusal }
    }

    /// Takes the job to start next and counts it as running.
    ///
    /// `may_start` says whether a team is below its limit; the jobs of a team at its limit are passed over. Jobs that
    /// are too late are not left out: [`Self::take_expired`] removes them.
    pub fn start_next(
        &mut self,
        slots: Slots,
        now: MonoTime,
        may_start: impl Fn(Option<&TeamId>) -> bool,
    ) -> Option<Waiting> {
        if slots.free == 0 {
            return None;
        }
        let is_full = self.jobs.len() > slots.free as usize;
        let without_share =
            self.teams.iter().filter(|(team, q)| q.has_demand() && !self.shares.has_share(team.as_ref())).count();
        let (mut urgent, mut patient, mut is_due) = (None, None, false);
        for (team, queue) in &self.teams {
            if (queue.urgent.is_empty() && queue.patient.is_empty()) || !may_start(team.as_ref()) {
                continue;
            }
            let weight = self.shares.weight(team.as_ref(), without_share);
            let load = if is_full { f64::from(queue.running) / weight } else { 0.0 };
            if let Some(order) = queue.urgent.first() {
                Candidate::replace_if_better(&mut urgent, Candidate { load, order: *order });
            }
            if let Some((order, due)) = queue.find_patient(now) {
                is_due |= due;
                Candidate::replace_if_better(&mut patient, Candidate { load, order });
            }
        }
        let chosen = self.choose_kind(urgent, patient, is_due)?;
        let waiting = self.remove(chosen.order.1)?;
        self.count_run(waiting.run);
        self.add_running(waiting.team.clone());
        Some(waiting)
    }

    /// Counts a job as running that this entry took over from another one.
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

    /// Puts back a job from [`Self::start_next`] that was not started, for example because the worker was full. It
    /// may exceed a bound by one.
    pub fn put_back(&mut self, waiting: Waiting) {
        self.finish(waiting.team.as_ref());
        if !self.numbers.contains_key(&waiting.job) {
            self.insert(waiting);
        }
    }

    /// Removes the jobs that wait. The returned ones did not run.
    pub fn cancel<'a>(&mut self, jobs: impl IntoIterator<Item = &'a JobId>) -> Vec<Waiting> {
        jobs.into_iter().filter_map(|job| self.numbers.get(job).copied().and_then(|n| self.remove(n))).collect()
    }

    /// Removes all waiting jobs of a team. They did not run.
    pub fn cancel_team(&mut self, team: &TeamId) -> Vec<Waiting> {
        let Some(queue) = self.teams.get(&Some(team.clone())) else { return Vec::new() };
        let numbers: Vec<_> = queue.urgent.iter().chain(&queue.patient).map(|(_, number)| *number).collect();
        numbers.into_iter().filter_map(|number| self.remove(number)).collect()
    }

    /// Removes the jobs that are not durable and can't meet their target any more. They did not run.
    pub fn take_expired(&mut self, now: MonoTime) -> Vec<Waiting> {
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
    pub fn expected_wait(&self, kind: Kind, slots: Slots) -> Millis {
        if slots.total == 0 {
            return NO_SLOTS_WAIT;
        }
        let (ahead, run) = match kind {
            // Patient work takes one start in PATIENT_FLOOR, so it holds up urgent work by that part of its jobs.
            Kind::Urgent => {
                let turns = (self.urgent.jobs / (PATIENT_FLOOR as usize - 1)).min(self.patient.jobs) as u64;
                let patient_run = self.patient.run / (self.patient.jobs.max(1) as u64);
                (self.urgent.jobs, self.urgent.run.saturating_add(turns.saturating_mul(patient_run)))
            }
            Kind::Patient => (self.jobs.len(), self.urgent.run.saturating_add(self.patient.run)),
        };
        if slots.free as usize > ahead {
            return Millis(0);
        }
        // With all slots busy the next one becomes free after a part of the mean run time.
        Millis(run.saturating_add(self.smoothed_run / MEAN_STARTS) / u64::from(slots.total))
    }

    const fn count_run(&mut self, run: Millis) {
        self.smoothed_run = if self.smoothed_run == 0 {
            run.0.saturating_mul(MEAN_STARTS)
        } else {
            (self.smoothed_run - self.smoothed_run / MEAN_STARTS).saturating_add(run.0)
        };
    }

    const fn load(&self, kind: Kind) -> &Load {
        match kind {
            Kind::Urgent => &self.urgent,
            Kind::Patient => &self.patient,
        }
    }

    const fn load_mut(&mut self, kind: Kind) -> &mut Load {
        match kind {
            Kind::Urgent => &mut self.urgent,
            Kind::Patient => &mut self.patient,
        }
    }

    fn choose_kind(
        &mut self,
        urgent: Option<Candidate>,
        patient: Option<Candidate>,
        is_due: bool,
    ) -> Option<Candidate> {
        let floor = if is_due { DUE_FLOOR } else { PATIENT_FLOOR };
        match (urgent, patient) {
            (Some(_), Some(patient)) if self.urgent_starts + 1 >= floor => {
                self.urgent_starts = 0;
                Some(patient)
            }
            (Some(urgent), Some(_)) => {
                self.urgent_starts += 1;
                Some(urgent)
            }
            (Some(urgent), None) => Some(urgent),
            (None, Some(patient)) => {
                self.urgent_starts = 0;
                Some(patient)
            }
            (None, None) => None,
        }
    }

    fn insert(&mut self, waiting: Waiting) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let order = (waiting.latest_start(), number);
        let queue = self.teams.entry(waiting.team.clone()).or_default();
        match waiting.kind {
            Kind::Urgent => drop(queue.urgent.insert(order)),
            Kind::Patient => {
                queue.patient.insert(order);
                queue.patient_by_age.insert((waiting.since, number));
            }
        }
        if !waiting.durable {
            queue.sheddable.insert(order);
            self.sheddable.insert(order);
        }
        let load = self.load_mut(waiting.kind);
        load.jobs += 1;
        load.run = load.run.saturating_add(waiting.run.0);
        self.numbers.insert(waiting.job.clone(), number);
        self.jobs.insert(number, waiting);
        number
    }

    fn remove(&mut self, number: u64) -> Option<Waiting> {
        let waiting = self.jobs.remove(&number)?;
        self.numbers.remove(&waiting.job);
        let order = (waiting.latest_start(), number);
        self.sheddable.remove(&order);
        if let Some(queue) = self.teams.get_mut(&waiting.team) {
            queue.urgent.remove(&order);
            queue.patient.remove(&order);
            queue.patient_by_age.remove(&(waiting.since, number));
            queue.sheddable.remove(&order);
        }
        let load = self.load_mut(waiting.kind);
        load.jobs -= 1;
        load.run = load.run.saturating_sub(waiting.run.0);
        self.drop_idle_team(&waiting.team);
        Some(waiting)
    }

    fn drop_idle_team(&mut self, team: &Option<TeamId>) {
        if self.teams.get(team).is_some_and(|queue| !queue.has_demand()) {
            self.teams.remove(team);
        }
    }
}
