//! Placement: which waiting task starts on which worker.

use crate::map::Map;
use crate::sched::advice::StepName;
use crate::sched::graph::{JobKey, PoolName, Resources, Step, TaskName, WorkerKey};
use crate::sched::job::{Job, Lateness, Phase, Run};
use crate::sched::order::{Order, Start};
use crate::sched::reservation::{Claim, Hold};
use crate::sched::scheduler::{Now, Scheduler};
use crate::sched::worker::Worker;
use crate::units::MonoTime;

/// Rank of a step in the order of starts; the lowest starts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Lasting tasks come first, then the others.
    is_batch: bool,
    /// Jobs that exceed the share of their team get the resources that the others leave.
    is_over_share: bool,
    /// Priority of the queue. Among lasting tasks, best-effort ones come last.
    priority: u32,
    /// Jobs that can meet their objective come first.
    lateness: Lateness,
    /// Time by which the objective requires the job to end.
    deadline: MonoTime,
}

impl Rank {
    /// Whether room may be kept for the step. It is not for jobs that exceed the share of their team or are too late to be of
    /// use, and lasting tasks reserve whole workers.
    fn deserves_room(&self) -> bool {
        self.is_batch && !self.is_over_share && self.lateness != Lateness::Useless
    }
}

/// A worker that accepts tasks, with its free resources after the placements so far.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) worker: WorkerKey,
    pub(super) free: Resources,
    /// Resources that are free once all tasks have ended that end by themselves.
    free_beside_lasting: Resources,
    failures: u32,
    serving: u32,
    best_effort: u32,
    /// Room that is kept for a step.
    pub(super) hold: Option<Hold>,
}

impl Slot {
    /// Reserves the resources of a task.
    pub(super) fn take(&mut self, spec: &Step, claim: &Claim<'_>) {
        self.free -= spec.reserved();
        if let Some(hold) = &mut self.hold {
            hold.take(claim);
        }
        if spec.lasting {
            self.free_beside_lasting -= spec.reserved();
        }
    }
}

/// Steps with waiting tasks, in the order in which they are placed.
type Candidates = Vec<(Rank, JobKey, usize, usize)>;

impl Scheduler {
    /// Starts waiting tasks on workers with enough free resources.
    pub fn plan(&mut self, now: Now) {
        self.last_mono = now.mono;
        self.last_wall = now.wall;
        if !self.is_confirmed(now.mono) {
            return;
        }
        let mut by_pool: Map<PoolName, Candidates> = Map::default();
        let mut waits_for_queue_pool = false;
        for (key, job) in &self.jobs {
            if job.state.is_final() || !self.is_job_reconciled(job) {
                continue;
            }
            if !self.is_queue_pool_stored(&job.spec.queue, self.pool_of(&job.spec)) {
                waits_for_queue_pool = true;
                continue;
            }
            self.collect_candidates(now, key, job, &mut by_pool);
        }
        self.waits_for_queue_pool = waits_for_queue_pool;
        self.unknown_usage = self.unknown_usage();
        for (pool, mut candidates) in by_pool {
            candidates.sort();
            let mut slots = self.collect_slots(now.mono, &pool);
            let mut reservations = self.begin_reservations(now.mono, &pool, &mut slots);
            let mut room = most_free(&slots);
            for (rank, key, occurrence, step) in candidates {
                if slots.is_empty() {
                    break;
                }
                let Some(spec) = self.jobs.get(&key).and_then(|j| j.spec.steps.get(step)) else { continue };
                // A backlog has many steps that fit nowhere. A lasting one reserves a worker even so.
                if spec.lasting || spec.reserved().fits(&room) {
                    let orders = self.orders.len();
                    let workers = slots.len();
                    self.place_step(now.mono, &mut slots, &key, occurrence, step);
                    if self.orders.len() != orders || slots.len() != workers {
                        room = most_free(&slots);
                    }
                }
                if let Some(reservations) = reservations.as_mut().filter(|r| r.has_remaining() && rank.deserves_room())
                {
                    self.reserve_room(reservations, &mut slots, &step_name(&key, occurrence, step));
                }
            }
            if let Some(reservations) = reservations {
                self.finish_reservations(reservations, &slots);
            }
        }
        self.request_advice(now.mono);
    }

    fn collect_candidates(&self, now: Now, key: &JobKey, job: &Job, by_pool: &mut Map<PoolName, Candidates>) {
        for (number, occurrence) in job.occurrences.iter().enumerate() {
            for (s, step) in occurrence.steps.iter().enumerate() {
                if step.is_done() || !job.is_step_ready(number, s) || !step.tasks.iter().any(|t| t.is_waiting()) {
                    continue;
                }
                let deadline = occurrence.due + job.objective;
                let spec = &job.spec.steps[s];
                let is_lasting = spec.lasting;
                let priority = self.policy.rules_of(&job.spec).priority;
                let rank = Rank {
                    is_batch: !is_lasting,
                    is_over_share: !is_lasting && job.is_over_share,
                    priority: if is_lasting { u32::from(spec.fills) } else { priority },
                    lateness: if is_lasting { Lateness::InTime } else { job.lateness(now.mono, number) },
                    deadline,
                };
                by_pool.entry(self.pool_of(&job.spec).clone()).or_default().push((rank, key.clone(), number, s));
            }
        }
    }

    /// Workers of a pool that accept tasks.
    pub(super) fn collect_slots(&self, now: MonoTime, pool: &PoolName) -> Vec<Slot> {
        let accepts_tasks = |w: &&Worker| w.accepts_tasks(now) && self.may_order_starts(now, w);
        let workers = self.workers.values().filter(|w| w.report.pool == *pool).filter(accepts_tasks);
        let mut slots: Vec<Slot> = workers
            .map(|w| Slot {
                worker: w.report.key.clone(),
                free: w.free(),
                free_beside_lasting: w.free_beside_lasting(),
                failures: w.failures(),
                serving: w.serving,
                best_effort: w.best_effort,
                hold: None,
            })
            .collect();
        slots.sort_by(|a, b| a.worker.cmp(&b.worker));
        slots
    }

    pub(super) fn step_of(&self, name: &TaskName) -> Option<&Step> {
        self.jobs.get(&name.job)?.spec.steps.get(name.step as usize)
    }

    fn place_step(&mut self, now: MonoTime, slots: &mut Vec<Slot>, key: &JobKey, occurrence: usize, step: usize) {
        let Some(job) = self.jobs.get(key) else { return };
        let Some(spec) = job.spec.steps.get(step).cloned() else { return };
        let rules = self.policy.rules_of(&job.spec);
        if rules.needs_advice {
            let times = rules.advice_times;
            let name = step_name(key, occurrence, step);
            let tickets = self.advice.tickets(now, &name);
            // The step is placed on the workers that it may run on; the others stay available to other steps.
            let mut allowed: Vec<Slot> = slots.iter().filter(|s| tickets.contains_key(&s.worker)).cloned().collect();
            self.place_tasks(now, &mut allowed, key, occurrence, step, &spec);
            for slot in slots.iter_mut() {
                if let Some(placed) = allowed.iter().find(|s| s.worker == slot.worker) {
                    *slot = placed.clone();
                }
            }
            let steps = self.jobs.get(key).and_then(|j| j.occurrences.get(occurrence)).map(|o| &o.steps);
            if steps.and_then(|s| s.get(step)).is_some_and(|s| s.tasks.iter().any(|t| t.is_waiting())) {
                let with_capacity: Vec<WorkerKey> =
                    slots.iter().filter(|s| spec.reserved().fits(&s.free)).map(|s| s.worker.clone()).collect();
                self.advice.want(now, &name, &with_capacity, times);
            }
            return;
        }
        self.place_tasks(now, slots, key, occurrence, step, &spec);
    }

    fn place_tasks(
        &mut self,
        now: MonoTime,
        slots: &mut Vec<Slot>,
        key: &JobKey,
        occurrence: usize,
        step: usize,
        spec: &Step,
    ) {
        let Some(job) = self.jobs.get(key) else { return };
        if spec.gang {
            self.place_gang(now, slots, key, occurrence, step, spec);
            return;
        }
        let step_name = step_name(key, occurrence, step);
        let claim = self.claim(now, &step_name, job, spec);
        let tasks = &job.occurrences[occurrence].steps[step].tasks;
        let waiting: Vec<usize> = tasks.iter().enumerate().filter(|(_, t)| t.is_waiting()).map(|(i, _)| i).collect();
        let mut counts = self.count_runs_by_worker(key, occurrence, step);
        for index in waiting {
            if !self.fits_team_ceiling(key, spec) {
                return;
            }
            let name = task_name(key, occurrence, step, index);
            let Some(at) = self.choose_slot(slots, spec, &name, &counts, &claim) else {
                // One worker is removed from the list for the rest of this plan, so that no smaller tasks take its free
                // resources and they add up until the task fits. For a step that needs advice, the list holds only the
                // workers that the step may run on, and later steps may still use the removed worker.
                if spec.lasting && self.reserve_slot(slots, spec, &counts) {
                    continue;
                }
                return;
            };
            let worker = slots[at].worker.clone();
            slots[at].take(spec, &claim);
            slots[at].serving += u32::from(spec.target.is_some());
            slots[at].best_effort += u32::from(spec.fills);
            *counts.entry(worker.clone()).or_default() += 1;
            self.start_run(now, &name, &worker, None);
        }
    }

    /// Places all tasks of a gang, or none of them.
    fn place_gang(
        &mut self,
        now: MonoTime,
        slots: &mut [Slot],
        key: &JobKey,
        occurrence: usize,
        step: usize,
        spec: &Step,
    ) {
        let Some(job) = self.jobs.get(key) else { return };
        let tasks = &job.occurrences[occurrence].steps[step].tasks;
        if tasks.iter().any(|t| !t.is_waiting()) || !self.fits_team_ceiling_for(key, spec, tasks.len() as u64) {
            return;
        }
        let step_name = step_name(key, occurrence, step);
        let claim = self.claim(now, &step_name, job, spec);
        let last_run = tasks.iter().map(|t| t.last_run).max().unwrap_or(0);
        let size = tasks.len();
        let mut racks: Vec<Option<smol_str::SmolStr>> = Vec::new();
        if spec.one_rack {
            for slot in slots.iter() {
                let rack = self.workers.get(&slot.worker).and_then(|w| w.rack().cloned());
                if !racks.contains(&rack) {
                    racks.push(rack);
                }
            }
        }
        // If no rack has enough free resources, the gang is spread over several and runs slower.
        let attempts = racks.into_iter().map(Some).chain([None]);
        for rack in attempts {
            let mut trial = slots.to_vec();
            if let Some(rack) = &rack {
                trial.retain(|s| self.workers.get(&s.worker).is_some_and(|w| w.rack() == rack.as_ref()));
            }
            let mut counts = Map::default();
            let mut chosen = Vec::with_capacity(size);
            for index in 0..size {
                let name = task_name(key, occurrence, step, index);
                let Some(at) = self.choose_slot(&trial, spec, &name, &counts, &claim) else { break };
                let worker = trial[at].worker.clone();
                trial[at].take(spec, &claim);
                *counts.entry(worker.clone()).or_insert(0u32) += 1;
                chosen.push((name, worker));
            }
            if chosen.len() == size {
                for (name, worker) in chosen {
                    if let Some(slot) = slots.iter_mut().find(|s| s.worker == worker) {
                        slot.take(spec, &claim);
                    }
                    self.start_run(now, &name, &worker, Some(last_run));
                }
                return;
            }
        }
    }

    /// Number of runs of a step on each worker.
    pub(super) fn count_runs_by_worker(&self, key: &JobKey, occurrence: usize, step: usize) -> Map<WorkerKey, u32> {
        let mut counts = Map::default();
        let Some(state) =
            self.jobs.get(key).and_then(|j| j.occurrences.get(occurrence)).and_then(|o| o.steps.get(step))
        else {
            return counts;
        };
        for run in state.tasks.iter().flat_map(|t| &t.runs) {
            *counts.entry(run.worker.clone()).or_insert(0) += 1;
        }
        counts
    }

    /// Index of the slot on which a task runs best; `None` if it fits on no slot.
    pub(super) fn choose_slot(
        &self,
        slots: &[Slot],
        spec: &Step,
        name: &TaskName,
        counts: &Map<WorkerKey, u32>,
        claim: &Claim<'_>,
    ) -> Option<usize> {
        let avoid = self
            .jobs
            .get(&name.job)
            .and_then(|j| j.task(name))
            .map(|t| t.avoided_workers.as_slice())
            .unwrap_or_default();
        let size = spec.reserved();
        let is_admitted = |slot: &Slot| slot.hold.as_ref().is_none_or(|hold| hold.admits(claim));
        let fits = |slot: &Slot| size.fits(&slot.free) && is_admitted(slot) && self.may_run_on(slot, spec, counts);
        let score = |slot: &Slot| {
            let is_far = spec
                .data_rack
                .as_ref()
                .is_some_and(|rack| self.workers.get(&slot.worker).is_none_or(|w| !w.has_label(rack)));
            let conflicts = if spec.fills {
                slot.serving
            } else if spec.target.is_some() {
                slot.best_effort
            } else {
                0
            };
            let is_avoided = avoid.contains(&slot.worker);
            let is_held = slot.hold.as_ref().is_some_and(|hold| !hold.is_for(claim));
            // The fullest worker comes first, so that the others become idle and can leave the pool.
            let free = slot.free.cpu;
            (is_avoided, slot.failures.min(8), is_far, conflicts, is_held, free)
        };
        let candidates = slots.iter().enumerate().filter(|(_, slot)| fits(slot));
        candidates.min_by_key(|(_, slot)| score(slot)).map(|(at, _)| at)
    }

    /// Whether the label and the limit of tasks on one worker let a task of a step run on a slot.
    pub(super) fn may_run_on(&self, slot: &Slot, spec: &Step, counts: &Map<WorkerKey, u32>) -> bool {
        let on_worker = counts.get(&slot.worker).copied().unwrap_or(0);
        let has_label = |label| self.workers.get(&slot.worker).is_some_and(|w| w.has_label(label));
        spec.max_per_worker.is_none_or(|limit| on_worker < limit) && spec.required_label.as_ref().is_none_or(has_label)
    }

    /// Removes the worker with the most free CPU that a lasting step can use from a list, of those on which a task of the
    /// step fits once the tasks have ended that end by themselves. Returns false if there is none, as a reservation would
    /// keep other tasks waiting for ever.
    fn reserve_slot(&self, slots: &mut Vec<Slot>, spec: &Step, counts: &Map<WorkerKey, u32>) -> bool {
        let size = spec.reserved();
        let may_fit = |slot: &Slot| size.fits(&slot.free_beside_lasting) && self.may_run_on(slot, spec, counts);
        let suitable = slots.iter().enumerate().filter(|(_, slot)| may_fit(slot));
        let Some(at) = suitable.max_by_key(|(_, s)| s.free.cpu.min(spec.size.cpu)).map(|(at, _)| at) else {
            return false;
        };
        slots.remove(at);
        true
    }

    fn fits_team_ceiling(&self, key: &JobKey, spec: &Step) -> bool {
        self.fits_team_ceiling_for(key, spec, 1)
    }

    /// Whether a team may start `count` more tasks of a step.
    fn fits_team_ceiling_for(&self, key: &JobKey, spec: &Step, count: u64) -> bool {
        let Some(team) = self.jobs.get(key).and_then(|j| j.spec.team.as_ref()) else { return true };
        let Some(policy) = self.policy.teams.get(team) else { return true };
        let mut used = self.team_usage.get(team).copied().unwrap_or_default();
        used += self.unknown_usage;
        let size = spec.reserved();
        let is_below = |used: u64, size: u64, ceiling: u64| ceiling == 0 || used + size * count <= ceiling;
        let ceiling = &policy.ceiling;
        is_below(used.cpu, size.cpu, ceiling.cpu)
            && is_below(used.memory_mb, size.memory_mb, ceiling.memory_mb)
            && is_below(used.accelerators, size.accelerators, ceiling.accelerators)
    }

    /// Adds a run and orders its start. For a gang, `after_run` is the highest run number that any member has used.
    pub(super) fn start_run(&mut self, now: MonoTime, name: &TaskName, worker: &WorkerKey, after_run: Option<u32>) {
        let Some(task) = self.jobs.get(&name.job).and_then(|j| j.task(name)) else { return };
        let number = after_run.unwrap_or(task.last_run).saturating_add(1).max(self.first_run);
        let run = Run {
            number,
            worker: worker.clone(),
            phase: Phase::Starting,
            first_ordered: now,
            confirmed_at: MonoTime(u64::MAX),
            last_ordered: now,
            in_flight: false,
            unsettled_since: now,
            start_deadline: 0,
            last_answer: None,
            is_reported: false,
            percent: 0,
            last_progress: now,
            pace: 100,
            reading: None,
        };
        self.add_run(name, run);
        self.order_start(now, name, number);
    }

    /// Ticket for a run; `None` on queues that need no advice.
    pub(super) fn ticket_of(&self, name: &TaskName, number: u32) -> Option<smol_str::SmolStr> {
        let run = self.jobs.get(&name.job)?.task(name)?.runs.iter().find(|r| r.number == number)?;
        self.advice.ticket(&StepName::from(name), &run.worker)
    }

    /// Orders the start of a run, the first time or again.
    pub(super) fn order_start(&mut self, now: MonoTime, name: &TaskName, number: u32) {
        let lease = self.lease_length();
        let payload = self.payload_of(name);
        let ticket = self.ticket_of(name, number);
        let Some(task) = self.jobs.get_mut(&name.job).and_then(|j| j.task_mut(name)) else { return };
        let checkpoint = task.checkpoint.clone();
        let Some(run) = task.runs.iter_mut().find(|r| r.number == number) else { return };
        let Some(lease_until) = self.workers.get_mut(&run.worker).and_then(|w| w.extend_lease(now, lease)) else {
            return;
        };
        run.last_ordered = now;
        run.in_flight = true;
        run.start_deadline = run.start_deadline.max(lease_until);
        let start = Start {
            worker: run.worker.clone(),
            task: name.clone(),
            run: number,
            payload,
            lease_until,
            checkpoint,
            ticket,
        };
        self.orders.push(Order::Start(start));
    }
}

/// The most of each resource that is free on any one slot. What does not fit into it fits on no slot.
fn most_free(slots: &[Slot]) -> Resources {
    slots.iter().fold(Resources::default(), |most, slot| most.max(&slot.free))
}

fn saturating_u32(at: usize) -> u32 {
    u32::try_from(at).unwrap_or(u32::MAX)
}

fn step_name(job: &JobKey, occurrence: usize, step: usize) -> StepName {
    StepName { job: job.clone(), occurrence: saturating_u32(occurrence), step: saturating_u32(step) }
}

pub(super) fn task_name(job: &JobKey, occurrence: usize, step: usize, index: usize) -> TaskName {
    TaskName {
        job: job.clone(),
        occurrence: saturating_u32(occurrence),
        step: saturating_u32(step),
        index: saturating_u32(index),
    }
}
