//! A job, its tasks and their runs as the scheduler knows them.

use smol_str::SmolStr;

use crate::sched::graph::{JobKey, JobSpec, Resources, TaskName, WorkerKey};
use crate::sched::order::StartAnswer;
use crate::sched::policy::QueuePolicy;
use crate::sched::progress::{DoneTasks, FailedRuns, JobState, Progress};
use crate::units::{Millis, MonoTime, WallTime};

/// Phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The start was ordered; the worker has not confirmed it.
    Starting,
    /// The worker has confirmed the run.
    Running,
    /// The start was refused as old, so an earlier start may have arrived; the worker's lists show what became of it.
    Uncertain,
    /// A stop was ordered.
    Stopping,
}

/// A run of a task that is or may be on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number, which rises with each run of the task.
    pub number: u32,
    /// Worker.
    pub worker: WorkerKey,
    /// Phase.
    pub phase: Phase,
    /// Time of the first order to start it.
    pub first_ordered: MonoTime,
    /// Time since which the worker is known to have it, so that polls sent later must list it; `u64::MAX` if unknown.
    pub confirmed_at: MonoTime,
    /// Time of the last start or stop that was ordered.
    pub last_ordered: MonoTime,
    /// Whether an order about it is in flight.
    pub in_flight: bool,
    /// Time since which the outcome of its start, or later of its stop, is unknown.
    pub unsettled_since: MonoTime,
    /// Latest end of the lease that a start of it carried, in ms on the worker's clock; 0 if this term has not started it.
    pub start_deadline: u64,
    /// Last answer to a start of it.
    pub last_answer: Option<StartAnswer>,
    /// Whether operators were told that its outcome has been unknown for long.
    pub is_reported: bool,
    /// Progress in percent.
    pub percent: u64,
    /// Time at which its progress last rose.
    pub last_progress: MonoTime,
    /// Pace that was last ordered, in percent of full speed.
    pub pace: u8,
    /// Last measurement as the worker reported it: tail latency in ms of a task that serves users, CPU in use of any
    /// other task, which the scheduler does not read.
    pub reading: Option<u64>,
}

impl Run {
    /// Whether the worker is known to have or have had it.
    #[must_use]
    pub const fn is_confirmed(&self) -> bool {
        self.confirmed_at.0 != u64::MAX
    }
}

/// A task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Whether it has succeeded.
    pub is_done: bool,
    /// Numbers of the runs that failed.
    pub failed_runs: Vec<u32>,
    /// Highest run number that was used.
    pub last_run: u32,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
    /// Runs that are or may be on workers.
    pub runs: Vec<Run>,
    /// Workers on which a run failed or stalled.
    pub avoided_workers: Vec<WorkerKey>,
    /// Time since which it is unavailable. Neither set nor read at present.
    pub away_since: Option<MonoTime>,
}

impl Task {
    /// Whether it needs a run.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        !self.is_done && self.runs.is_empty()
    }
}

/// Tasks of a step.
#[derive(Clone, Debug)]
pub struct StepState {
    /// Tasks.
    pub tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub done: usize,
}

impl StepState {
    /// Whether all tasks are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done == self.tasks.len()
    }
}

/// One occurrence of a job.
#[derive(Clone, Debug)]
pub struct Occurrence {
    /// Steps.
    pub steps: Vec<StepState>,
    /// Time at which it is due, from which its objective counts.
    pub due: MonoTime,
}

/// Multiple of its objective after which a job is too late to be of use.
const USELESS_FACTOR: u64 = 3;

/// Whether a job can meet its objective if its tasks start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lateness {
    /// It can meet its objective.
    InTime,
    /// It misses its objective, and its result is still of use.
    Late,
    /// Its result is too late to be of use.
    Useless,
}

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id.
    pub key: JobKey,
    /// Specification, as it was accepted.
    pub spec: JobSpec,
    /// Occurrences that are due, by number.
    pub occurrences: Vec<Occurrence>,
    /// State. Callers see that it completed or failed only once that is stored.
    pub state: JobState,
    /// Revision of the store at which it was accepted.
    pub created: u64,
    /// Whether it exceeds the share of its team.
    pub is_over_share: bool,
    /// Whether it was cancelled.
    pub is_cancelled: bool,
    /// Version of the progress and state; it rises with each change that must be stored.
    pub version: u64,
    /// Last version that the store holds.
    pub stored_version: u64,
    /// Time in which an occurrence should end after it is due.
    pub objective: Millis,
    stored_progress: Progress,
}

impl Job {
    /// Creates a job from its specification and its stored progress.
    #[must_use]
    pub fn new(key: JobKey, mut spec: JobSpec, progress: Progress) -> Self {
        if let Some(rules) = &progress.last_rules {
            spec.rules = rules.clone();
        }
        Self {
            key,
            spec,
            occurrences: Vec::new(),
            state: if progress.has_ends() { JobState::Running } else { JobState::Queued },
            created: 0,
            is_over_share: false,
            is_cancelled: false,
            version: 0,
            stored_version: 0,
            objective: Millis(0),
            stored_progress: progress,
        }
    }

    /// Adds the occurrences that are due.
    pub fn add_due(&mut self, now: MonoTime, wall: WallTime) {
        while (self.occurrences.len() as u64) < u64::from(self.spec.times()) {
            let number = u32::try_from(self.occurrences.len()).unwrap_or(u32::MAX);
            let due = self.spec.due(number);
            // Stored ends must stay in the progress even if the wall clock was set back since.
            let has_ends = self.stored_progress.done.iter().any(|d| d.occurrence >= number)
                || self.stored_progress.failed.iter().any(|f| f.occurrence >= number);
            if self.spec.schedule.is_some() && due > wall && !has_ends {
                return;
            }
            let due = now - Millis(wall.since(due).0.min(MAX_OVERDUE.0));
            self.push_occurrence(number, due);
        }
    }

    /// Adds the occurrences up to one that another scheduler, whose clock may be ahead, has found due.
    pub fn add_found_due(&mut self, occurrence: u32, now: MonoTime) {
        let wanted = occurrence.saturating_add(1).min(self.spec.times());
        for number in u32::try_from(self.occurrences.len()).unwrap_or(u32::MAX)..wanted {
            self.push_occurrence(number, now);
        }
    }

    fn push_occurrence(&mut self, number: u32, due: MonoTime) {
        let new_step = |count: u32| StepState { tasks: vec![Task::default(); count as usize], done: 0 };
        let steps: Vec<_> = self.spec.steps.iter().map(|s| new_step(s.count)).collect();
        self.occurrences.push(Occurrence { steps, due });
        self.apply_stored_progress(number);
    }

    /// Adds stored progress. Returns whether there is any.
    pub fn merge_progress(&mut self, progress: Progress) -> bool {
        if progress == Progress::default() {
            return false;
        }
        if let Some(rules) = &progress.last_rules {
            self.spec.rules = rules.clone();
        }
        self.stored_progress = progress;
        (0..u32::try_from(self.occurrences.len()).unwrap_or(u32::MAX)).for_each(|o| self.apply_stored_progress(o));
        true
    }

    fn apply_stored_progress(&mut self, number: u32) {
        let Some(Occurrence { steps, .. }) = self.occurrences.get_mut(number as usize) else { return };
        for done in self.stored_progress.done.iter().filter(|d| d.occurrence == number) {
            let Some(step) = steps.get_mut(done.step as usize) else { continue };
            for &index in &done.tasks {
                if let Some(task) = step.tasks.get_mut(index as usize)
                    && !task.is_done
                {
                    task.is_done = true;
                    step.done += 1;
                }
            }
        }
        for failed in self.stored_progress.failed.iter().filter(|f| f.occurrence == number) {
            let task = steps.get_mut(failed.step as usize).and_then(|s| s.tasks.get_mut(failed.task as usize));
            if let Some(task) = task {
                task.last_run = failed.runs.iter().copied().max().unwrap_or(0).max(task.last_run);
                let new = failed.runs.iter().filter(|run| !task.failed_runs.contains(run)).copied();
                let new: Vec<u32> = new.collect();
                task.failed_runs.extend(new);
            }
        }
    }

    /// A task by name.
    #[must_use]
    pub fn task(&self, name: &TaskName) -> Option<&Task> {
        let occurrence = self.occurrences.get(name.occurrence as usize)?;
        occurrence.steps.get(name.step as usize)?.tasks.get(name.index as usize)
    }

    /// A task by name.
    pub fn task_mut(&mut self, name: &TaskName) -> Option<&mut Task> {
        let occurrence = self.occurrences.get_mut(name.occurrence as usize)?;
        occurrence.steps.get_mut(name.step as usize)?.tasks.get_mut(name.index as usize)
    }

    /// Resources that a task of a step reserves.
    #[must_use]
    pub fn reserved(&self, step: u32) -> Resources {
        self.spec.steps.get(step as usize).map(crate::sched::graph::Step::reserved).unwrap_or_default()
    }

    /// Keeps the last rules of a queue that is removed. Returns whether they have to be stored.
    pub fn keep_last_rules(&mut self, last: &QueuePolicy) -> bool {
        self.spec.pool = last.pool.clone();
        let is_changed = self.spec.rules != QueuePolicy { pool: self.spec.rules.pool.clone(), ..last.clone() };
        self.spec.rules = last.clone();
        if is_changed {
            self.stored_progress.last_rules = Some(last.clone());
            self.version += 1;
        }
        is_changed
    }

    /// Whether a task that needs a run has failed `max_attempts` times.
    #[must_use]
    pub fn has_used_up_attempts(&self, max_attempts: u32) -> bool {
        let limit = max_attempts.max(1) as usize;
        let mut tasks = self.occurrences.iter().flat_map(|o| &o.steps).flat_map(|s| &s.tasks);
        tasks.any(|t| t.failed_runs.len() >= limit && t.is_waiting())
    }

    /// Whether all tasks of all occurrences are done.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.occurrences.len() as u64 == u64::from(self.spec.times())
            && self.occurrences.iter().all(|o| o.steps.iter().all(StepState::is_done))
    }

    /// Whether it has lasting tasks, which run until it is cancelled.
    #[must_use]
    pub fn is_lasting(&self) -> bool {
        self.spec.steps.iter().any(|s| s.lasting)
    }

    /// Whether a step may start, as all steps that it depends on are done.
    #[must_use]
    pub fn is_step_ready(&self, occurrence: usize, step: usize) -> bool {
        let Some(occurrence) = self.occurrences.get(occurrence) else { return false };
        let Some(spec) = self.spec.steps.get(step) else { return false };
        spec.after.iter().all(|&before| occurrence.steps.get(before).is_some_and(StepState::is_done))
    }

    /// Length of the critical path through the steps that are not done.
    #[must_use]
    pub fn remaining_chain(&self, occurrence: usize) -> Millis {
        let Some(state) = self.occurrences.get(occurrence) else { return Millis(0) };
        let mut ends: Vec<u64> = Vec::with_capacity(self.spec.steps.len());
        for (step, progress) in self.spec.steps.iter().zip(&state.steps) {
            let start = step.after.iter().filter_map(|&i| ends.get(i)).max().copied().unwrap_or(0);
            ends.push(start + if progress.is_done() { 0 } else { step.estimate.0 });
        }
        Millis(ends.into_iter().max().unwrap_or(0))
    }

    /// How late an occurrence ends if its tasks start now.
    #[must_use]
    pub fn lateness(&self, now: MonoTime, occurrence: usize) -> Lateness {
        let Some(due) = self.occurrences.get(occurrence).map(|o| o.due) else { return Lateness::Useless };
        let end = now + self.remaining_chain(occurrence);
        if end <= due + self.objective {
            Lateness::InTime
        } else if end <= due + Millis(self.objective.0 * USELESS_FACTOR) {
            Lateness::Late
        } else {
            Lateness::Useless
        }
    }

    /// Progress to store.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let mut progress = Progress { last_rules: self.stored_progress.last_rules.clone(), ..Progress::default() };
        for (o, occurrence) in self.occurrences.iter().enumerate() {
            for (s, step) in occurrence.steps.iter().enumerate() {
                let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
                let tasks: Vec<u32> =
                    step.tasks.iter().enumerate().filter(|(_, t)| t.is_done).map(|(i, _)| number(i)).collect();
                if !tasks.is_empty() {
                    progress.done.push(DoneTasks { occurrence: number(o), step: number(s), tasks });
                }
                for (i, task) in step.tasks.iter().enumerate().filter(|(_, t)| !t.failed_runs.is_empty()) {
                    progress.failed.push(FailedRuns {
                        occurrence: number(o),
                        step: number(s),
                        task: number(i),
                        runs: task.failed_runs.clone(),
                    });
                }
            }
        }
        progress
    }
}

/// An occurrence counts as overdue by at most this time, as clocks may jump.
const MAX_OVERDUE: Millis = Millis::from_secs(60);
