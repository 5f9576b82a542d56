//! Reservations: room that placement keeps for tasks that are too large for the gaps that running tasks leave.
//!
//! Without them, each gap is filled by the next smaller task, and a large task or a gang waits until the load falls. The
//! first such steps in the order of starts get a time and a worker for each task at which enough running tasks are expected
//! to have ended. Other tasks start there only if they are expected to end before, or fit beside (conservative backfill, see
//! `docs/design/reservations.md`).

use crate::map::Map;
use crate::sched::advice::StepName;
use crate::sched::event::Event;
use crate::sched::graph::{PoolName, QueueName, Resources, Step, WorkerKey};
use crate::sched::job::{Job, Lateness, Run, Task};
use crate::sched::plan::Slot;
use crate::sched::scheduler::Scheduler;
use crate::units::{Millis, MonoTime};

/// Age of reservations from which a plan makes them anew. Plans are made at each change, and the expected ends of the tasks of a
/// pool are too much for each of them.
const REFRESH_INTERVAL: Millis = Millis(200);

/// Workers of a pool whose tasks' ends are worked out, those with the most free CPU. A larger pool has room soon anyway, and
/// with 220 workers a pool, all of them made plans half as expensive again.
const CONSIDERED_WORKERS: usize = 100;

/// Share of its run time that a task is expected to need at least, in percent, when it has run for longer than expected.
const OVERDUE_PERCENT: u64 = 10;

/// Lowest and highest ratio of a run time to its estimate that is learnt from one task, in percent.
const RATIOS: (u64, u64) = (50, 400);

/// Number of tasks over which the ratio is averaged.
const RATIO_WEIGHT: u64 = 8;

/// Run times relative to the estimates of each queue, in percent.
#[derive(Clone, Debug, Default)]
pub(super) struct RunTimes(Map<QueueName, u64>);

impl RunTimes {
    /// Learns from a task that has succeeded.
    pub(super) fn record(&mut self, queue: &QueueName, estimate: Millis, run_time: Millis) {
        let ratio = (run_time.0 * 100 / estimate.0.max(1)).clamp(RATIOS.0, RATIOS.1);
        let known = self.0.entry(queue.clone()).or_insert(100);
        *known = (*known * (RATIO_WEIGHT - 1) + ratio).div_ceil(RATIO_WEIGHT);
    }

    /// Expected run time of a task.
    pub(super) fn expect(&self, queue: &QueueName, estimate: Millis) -> Millis {
        Millis(estimate.0 * self.0.get(queue).copied().unwrap_or(100) / 100)
    }
}

/// Room on a worker that is kept for tasks of one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Hold {
    /// Step whose tasks are to start there.
    owner: StepName,
    /// Expected time of their start.
    at: MonoTime,
    /// Expected time of their end.
    until: MonoTime,
    /// What is free beside them at the time of their start, for tasks that run longer.
    beside: Resources,
}

/// What decides whether a task may use a worker with a [`Hold`].
#[derive(Clone, Debug)]
pub(super) struct Claim<'a> {
    /// Its step.
    pub(super) step: &'a StepName,
    /// Resources that it reserves.
    pub(super) size: Resources,
    /// Expected end if it starts now.
    pub(super) ends: MonoTime,
    /// Latest start with which a job within the share of its team meets its objective; `None` for other jobs, and for jobs
    /// that are late already.
    pub(super) latest_start: Option<MonoTime>,
}

impl Hold {
    /// Whether a task may start now although the room is kept for another step. It may if it ends before, or fits beside.
    /// One that could not meet its objective after the other step may too.
    pub(super) fn admits(&self, claim: &Claim<'_>) -> bool {
        self.owner == *claim.step
            || claim.ends <= self.at
            || claim.size.fits(&self.beside)
            || claim.latest_start.is_some_and(|latest| latest < self.until)
    }

    /// Whether it is kept for the step of a task.
    pub(super) fn is_for(&self, claim: &Claim<'_>) -> bool {
        self.owner == *claim.step
    }

    /// Records that a task starts that [`Self::admits`] let through.
    pub(super) fn take(&mut self, claim: &Claim<'_>) {
        if self.owner != *claim.step && claim.ends > self.at {
            self.beside -= claim.size;
        }
    }
}

/// Reservations of one pool.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolReservations {
    /// Time of the last plan that worked out the expected ends of tasks.
    made_at: MonoTime,
    holds: Map<WorkerKey, Hold>,
    /// Steps that wait and have had room kept for them, each with the time since which, and whether none is kept any more.
    steps: Map<StepName, (MonoTime, bool)>,
}

impl PoolReservations {
    /// Whether room is kept on a worker.
    pub(super) fn has_hold(&self, worker: &WorkerKey) -> bool {
        self.holds.contains_key(worker)
    }
}

/// Expected ends of the running tasks of each worker, the earliest first, with the resources that become free.
type Releases = Map<WorkerKey, Vec<(MonoTime, Resources)>>;

/// Reservations of one pool during a plan.
#[derive(Debug)]
pub(super) struct Planner {
    now: MonoTime,
    pool: PoolName,
    known: PoolReservations,
    /// Number of tasks for which room may still be kept.
    remaining: usize,
    /// Filled when the first reservation is made.
    releases: Option<Releases>,
}

impl Planner {
    /// Whether further reservations may be made.
    pub(super) const fn has_remaining(&self) -> bool {
        self.remaining > 0
    }
}

/// Expected time of a start, and the number of tasks on each slot, by index.
type Place = (MonoTime, Vec<(usize, u64)>);

impl Scheduler {
    /// Begins the reservations of a pool in a plan. Those of an earlier plan are put on the slots if they still hold; `None` if
    /// the settings ask for none.
    pub(super) fn begin_reservations(&mut self, now: MonoTime, pool: &PoolName, slots: &mut [Slot]) -> Option<Planner> {
        if self.bounds.reservations == 0 {
            return None;
        }
        let mut known = self.reservations.remove(pool).unwrap_or_default();
        let is_refresh = now.since(known.made_at) >= REFRESH_INTERVAL;
        if is_refresh {
            known.holds.clear();
        }
        for slot in slots.iter_mut() {
            slot.hold = known.holds.get(&slot.worker).filter(|h| self.deserves_room(now, &h.owner)).cloned();
        }
        let remaining = if is_refresh { self.bounds.reservations } else { 0 };
        Some(Planner { now, pool: pool.clone(), known, remaining, releases: None })
    }

    /// Keeps room for the tasks of a step that fit nowhere now.
    pub(super) fn reserve_room(&mut self, planner: &mut Planner, slots: &mut [Slot], name: &StepName) {
        let now = planner.now;
        if !planner.has_remaining() || !self.deserves_room(now, name) {
            return;
        }
        let Some(job) = self.jobs.get(&name.job) else { return };
        let Some(spec) = job.spec.steps.get(name.step as usize) else { return };
        let tasks = &job.occurrences[name.occurrence as usize].steps[name.step as usize].tasks;
        let waiting = tasks.iter().filter(|t| t.is_waiting()).count();
        let limit = job.objective;
        let run_time = self.run_times.expect(&job.spec.queue, spec.estimate);
        let (since, has_lapsed) = planner.known.steps.entry(name.clone()).or_insert((now, false));
        if now.since(*since) > limit {
            if !std::mem::replace(has_lapsed, true) {
                self.events.push(Event::ReservationLapsed { step: name.clone() });
            }
            return;
        }
        let is_new = *since == now;
        let releases = planner.releases.get_or_insert_with(|| self.expected_releases(now, slots));
        let counts = self.count_runs_by_worker(&name.job, name.occurrence as usize, name.step as usize);
        let rooms = self.rooms(slots, releases, spec, &counts);
        let places: Vec<Place> = if spec.gang {
            self.find_gang_place(now, slots, &rooms, spec, waiting as u64, run_time).into_iter().collect()
        } else {
            find_places(now, &rooms, spec, waiting.min(planner.remaining))
        };
        let mut first = None;
        // A step that fits now waits for something else, such as the ceiling of its team.
        for (at, chosen) in places.into_iter().filter(|(at, _)| *at > now) {
            planner.remaining = planner.remaining.saturating_sub(1);
            first = first.min(Some(at)).or(Some(at));
            for (index, count) in chosen {
                let mut beside = free_at(&slots[index], releases.get(&slots[index].worker), at);
                (0..count).for_each(|_| beside -= spec.reserved());
                slots[index].hold = Some(Hold { owner: name.clone(), at, until: at + run_time, beside });
            }
        }
        if let Some(at) = first.filter(|_| is_new) {
            self.events.push(Event::RoomReserved { step: name.clone(), starts_in: at.since(now) });
        }
    }

    /// Keeps the reservations for the next plans.
    pub(super) fn finish_reservations(&mut self, planner: Planner, slots: &[Slot]) {
        let Planner { now, pool, mut known, releases, .. } = planner;
        if releases.is_some() {
            known.made_at = now;
        }
        known.holds = slots.iter().filter_map(|s| Some((s.worker.clone(), s.hold.clone()?))).collect();
        known.steps.retain(|step, _| self.is_step_waiting(step));
        self.reservations.insert(pool, known);
    }

    /// Whether room is kept on a worker.
    pub(super) fn has_reservation(&self, worker: &WorkerKey) -> bool {
        self.reservations.values().any(|pool| pool.has_hold(worker))
    }

    /// Claim of a task that would start now.
    pub(super) fn claim<'a>(&self, now: MonoTime, name: &'a StepName, job: &Job, spec: &Step) -> Claim<'a> {
        let run_time = self.run_times.expect(&job.spec.queue, spec.estimate);
        let occurrence = name.occurrence as usize;
        let is_in_time = !job.is_over_share && job.lateness(now, occurrence) == Lateness::InTime;
        let latest_start = job.occurrences.get(occurrence).filter(|_| is_in_time).map(|o| {
            let latest_end = o.due + job.objective;
            MonoTime(latest_end.0.saturating_sub(job.remaining_chain(occurrence).0))
        });
        let ends = if spec.lasting { MonoTime(u64::MAX) } else { now + run_time };
        Claim { step: name, size: spec.reserved(), ends, latest_start }
    }

    /// Whether a step waits and room may be kept for it. None is kept for jobs that exceed the share of their team or are too
    /// late to be of use, for lasting tasks, which reserve whole workers, or where the workers depend on tickets.
    fn deserves_room(&self, now: MonoTime, name: &StepName) -> bool {
        let Some(job) = self.jobs.get(&name.job) else { return false };
        let Some(spec) = job.spec.steps.get(name.step as usize) else { return false };
        !job.is_over_share
            && !spec.lasting
            && !spec.fills
            && !self.policy.rules_of(&job.spec).needs_advice
            && job.lateness(now, name.occurrence as usize) != Lateness::Useless
            && self.is_step_waiting(name)
    }

    fn is_step_waiting(&self, name: &StepName) -> bool {
        let Some(job) = self.jobs.get(&name.job).filter(|j| !j.state.is_final()) else { return false };
        let step = job.occurrences.get(name.occurrence as usize).and_then(|o| o.steps.get(name.step as usize));
        step.is_some_and(|s| s.tasks.iter().any(Task::is_waiting))
    }

    fn expected_releases(&self, now: MonoTime, slots: &[Slot]) -> Releases {
        let mut considered: Vec<&Slot> = slots.iter().collect();
        considered.sort_unstable_by_key(|slot| (std::cmp::Reverse(slot.free.cpu), &slot.worker));
        considered.truncate(CONSIDERED_WORKERS);
        let mut releases = Releases::default();
        for worker in considered.into_iter().filter_map(|slot| self.workers.get(&slot.worker)) {
            let mut ends = Vec::with_capacity(worker.runs.len());
            for (task, number) in &worker.runs {
                let Some(job) = self.jobs.get(&task.job) else { continue };
                let Some(spec) = job.spec.steps.get(task.step as usize).filter(|s| !s.lasting) else { continue };
                let Some(run) = job.task(task).and_then(|t| t.runs.iter().find(|r| r.number == *number)) else {
                    continue;
                };
                let run_time = self.run_times.expect(&job.spec.queue, spec.estimate);
                ends.push((expected_end(now, run, run_time), spec.reserved()));
            }
            ends.sort_unstable_by_key(|(at, _)| *at);
            releases.insert(worker.report.key.clone(), ends);
        }
        releases
    }

    /// For each slot on which tasks of a step may run, the times from which a number of them fit, the earliest first.
    fn rooms(&self, slots: &[Slot], releases: &Releases, spec: &Step, counts: &Map<WorkerKey, u32>) -> Vec<Room> {
        let mut rooms = Vec::new();
        for (index, slot) in slots.iter().enumerate() {
            let Some(ends) = releases.get(&slot.worker).filter(|_| slot.hold.is_none()) else { continue };
            if !self.may_run_on(slot, spec, counts) {
                continue;
            }
            let on_worker = counts.get(&slot.worker).copied().unwrap_or(0);
            let most = spec.max_per_worker.map_or(u64::MAX, |limit| u64::from(limit.saturating_sub(on_worker)));
            let mut free = slot.free;
            let mut steps = vec![(MonoTime(0), count_fitting(&spec.reserved(), &free).min(most))];
            for (at, released) in ends {
                free += *released;
                let count = count_fitting(&spec.reserved(), &free).min(most);
                if steps.last().is_none_or(|(_, before)| count > *before) {
                    steps.push((*at, count));
                }
            }
            rooms.push(Room { index, steps });
        }
        rooms
    }

    /// Earliest time at which all members of a gang fit, and their numbers on the slots. A rack that takes all of them is
    /// preferred if it delays them by less than they run.
    fn find_gang_place(
        &self,
        now: MonoTime,
        slots: &[Slot],
        rooms: &[Room],
        spec: &Step,
        size: u64,
        run_time: Millis,
    ) -> Option<Place> {
        let anywhere = earliest(now, rooms, size)?;
        if !spec.one_rack {
            return Some(anywhere);
        }
        let mut by_rack: Map<Option<smol_str::SmolStr>, Vec<Room>> = Map::default();
        for room in rooms {
            let rack = self.workers.get(&slots[room.index].worker).and_then(|w| w.rack().cloned());
            by_rack.entry(rack).or_default().push(room.clone());
        }
        let in_rack = by_rack.values().filter_map(|rooms| earliest(now, rooms, size)).min_by_key(|(at, _)| *at);
        match in_rack {
            Some(place) if place.0 <= anywhere.0 + run_time => Some(place),
            _ => Some(anywhere),
        }
    }
}

/// Room on a slot over time for tasks of one size.
#[derive(Clone, Debug)]
struct Room {
    index: usize,
    /// Numbers of tasks that fit, each from a time on.
    steps: Vec<(MonoTime, u64)>,
}

impl Room {
    fn count_at(&self, at: MonoTime) -> u64 {
        self.steps.iter().take_while(|(from, _)| *from <= at).last().map_or(0, |(_, count)| *count)
    }
}

/// Earliest times and slots for single tasks, one for each.
fn find_places(now: MonoTime, rooms: &[Room], spec: &Step, count: usize) -> Vec<Place> {
    let first_fit = |room: &Room| room.steps.iter().find(|(_, count)| *count > 0).map(|(at, _)| (*at).max(now));
    let mut firsts: Vec<(MonoTime, usize)> =
        rooms.iter().filter_map(|room| Some((first_fit(room)?, room.index))).collect();
    firsts.sort_unstable();
    let limit = if spec.max_per_worker == Some(0) { 0 } else { count };
    firsts.into_iter().take(limit).map(|(at, index)| (at, vec![(index, 1)])).collect()
}

/// Earliest time at which a number of tasks fit together, and their numbers on the slots.
fn earliest(now: MonoTime, rooms: &[Room], size: u64) -> Option<Place> {
    let total = |at: MonoTime| rooms.iter().map(|room| room.count_at(at)).fold(0, u64::saturating_add);
    let mut times: Vec<MonoTime> = rooms.iter().flat_map(|r| &r.steps).map(|(at, _)| (*at).max(now)).collect();
    times.sort_unstable();
    times.dedup();
    let at = *times.get(times.partition_point(|at| total(*at) < size))?;
    let mut left = size;
    let mut chosen = Vec::new();
    for room in rooms {
        let count = room.count_at(at).min(left);
        if count > 0 {
            chosen.push((room.index, count));
            left -= count;
        }
    }
    Some((at, chosen))
}

/// Expected end of a run, by its estimate, or by its progress so far if that is slower.
fn expected_end(now: MonoTime, run: &Run, run_time: Millis) -> MonoTime {
    let percent = run.percent.min(100);
    let so_far = run.last_progress.since(run.first_ordered).0;
    let (since, left) = match (so_far * (100 - percent)).checked_div(percent) {
        Some(by_progress) => (run.last_progress, by_progress.max(run_time.0 * (100 - percent) / 100)),
        None => (run.first_ordered, run_time.0),
    };
    // A task that has run for longer than expected may end at any time.
    (since + Millis(left)).max(now + Millis(run_time.0 * OVERDUE_PERCENT / 100))
}

/// What is free on a slot at a time, before any reservation.
fn free_at(slot: &Slot, releases: Option<&Vec<(MonoTime, Resources)>>, at: MonoTime) -> Resources {
    let mut free = slot.free;
    releases.into_iter().flatten().take_while(|(end, _)| *end <= at).for_each(|(_, released)| free += *released);
    free
}

/// Number of tasks of a size that fit into free resources.
fn count_fitting(size: &Resources, free: &Resources) -> u64 {
    let fitting = |size: u64, free: u64| free.checked_div(size).unwrap_or(u64::MAX);
    fitting(size.cpu, free.cpu)
        .min(fitting(size.memory_mb, free.memory_mb))
        .min(fitting(size.accelerators, free.accelerators))
}
