//! Periodic checks of running tasks: lost orders, stalled tasks, draining workers, and the pace of best-effort tasks.

use crate::sched::graph::{TaskName, WorkerKey};
use crate::sched::job::Phase;
use crate::sched::order::Order;
use crate::sched::scheduler::{Now, Scheduler};
use crate::units::{Millis, MonoTime};

/// Tail latency of a serving task, in percent of its target, from which best-effort tasks on its worker slow down.
const SLOW_DOWN_PERCENT: u64 = 80;

/// Tail latency, in percent of the target, below which they may speed up.
const SPEED_UP_PERCENT: u64 = 50;

/// Step by which a pace rises, in percent of full speed.
const PACE_STEP_PERCENT: u8 = 20;

/// Time without progress after which a task counts as stalled; it is longer than two polls.
const STALL_LIMIT: Millis = Millis(1_500);

/// Multiple of its estimate that a task must have run, besides [`STALL_LIMIT`], before it is stopped as stalled.
const STALL_FACTOR: u64 = 2;

impl Scheduler {
    /// Performs the periodic checks.
    pub fn tick(&mut self, now: Now) {
        for job in self.jobs.values_mut() {
            if !job.state.is_final() {
                job.add_due(now.mono, now.wall);
            }
        }
        self.check_reconciled(now.mono);
        self.review_runs(now.mono);
        self.repeat_lookups(now.mono);
        self.stop_stalled(now.mono);
        self.stop_lasting_on_draining(now.mono);
        self.empty_evacuated(now.mono);
        self.set_paces();
        // A worker that is gone would be added again if it were dropped before its report. One that is added again under its
        // id would get tasks although a late poll may discard their ends.
        let is_needed = |w: &crate::sched::worker::Worker| {
            w.is_reported
                || !w.runs.is_empty()
                || w.has_orphans
                || w.has_unstored_ends()
                || w.may_discard_late(now.mono)
        };
        if self.is_reconciled() {
            self.workers.retain(|_, w| is_needed(w));
        }
    }

    /// Stops stalled tasks, so that they run on other workers.
    fn stop_stalled(&mut self, now: MonoTime) {
        let mut stalled: Vec<(TaskName, u32, WorkerKey)> = Vec::new();
        for worker in self.workers.values().filter(|w| w.is_reachable(now)) {
            for (name, number) in &worker.runs {
                let Some(job) = self.jobs.get(&name.job) else { continue };
                let Some(step) = job.spec.steps.get(name.step as usize) else { continue };
                let Some(run) = job.task(name).and_then(|t| t.runs.iter().find(|r| r.number == *number)) else {
                    continue;
                };
                let is_overdue = now.since(run.first_ordered).0 > step.estimate.0 * STALL_FACTOR + STALL_LIMIT.0;
                let is_stalled = now.since(run.last_progress) > STALL_LIMIT;
                let is_available = step.lasting && run.percent >= 100;
                if run.phase == Phase::Running
                    && is_overdue
                    && is_stalled
                    && !is_available
                    && !step.gang
                    && run.pace == 100
                {
                    stalled.push((name.clone(), *number, worker.report.key.clone()));
                }
            }
        }
        for (name, number, worker) in stalled {
            self.avoid_worker(&name, &worker);
            if let Some(worker) = self.workers.get_mut(&worker) {
                worker.record_failure(now);
            }
            self.order_stop(now, &name, number, "no progress");
        }
    }

    /// Stops lasting tasks on workers that are shutting down, so that they continue elsewhere before the worker leaves.
    fn stop_lasting_on_draining(&mut self, now: MonoTime) {
        let mut leaving = Vec::new();
        for worker in self.workers.values().filter(|w| w.report.draining && w.is_reachable(now)) {
            for (name, number) in &worker.runs {
                let run = self.run(name, *number);
                let is_lasting = self.step_of(name).is_some_and(|s| s.lasting);
                if is_lasting && run.is_some_and(|r| r.phase == Phase::Running) {
                    leaving.push((name.clone(), *number));
                }
            }
        }
        for (name, number) in leaving {
            self.order_stop(now, &name, number, "worker drains");
        }
    }

    /// Slows best-effort tasks while a serving task on the same worker is near its latency target.
    fn set_paces(&mut self) {
        let mut paces: Vec<(WorkerKey, TaskName, u32, u8)> = Vec::new();
        for worker in self.workers.values() {
            let mut load = 0;
            let mut best_effort = Vec::new();
            for (name, number) in &worker.runs {
                let Some(step) = self.step_of(name) else { continue };
                let Some(run) = self.run(name, *number) else {
                    continue;
                };
                if let (Some(target), Some(tail)) = (step.target, run.reading) {
                    load = load.max(tail * 100 / target.0.max(1));
                }
                if step.fills && run.phase == Phase::Running && !run.in_flight {
                    best_effort.push((name.clone(), *number, run.pace));
                }
            }
            for (name, number, pace) in best_effort {
                let new_pace = if load >= 100 {
                    0
                } else if load >= SLOW_DOWN_PERCENT {
                    pace / 2
                } else if load < SPEED_UP_PERCENT {
                    pace.saturating_add(PACE_STEP_PERCENT).min(100)
                } else {
                    pace
                };
                if new_pace != pace {
                    paces.push((worker.report.key.clone(), name, number, new_pace));
                }
            }
        }
        for (worker, task, run, percent) in paces {
            if let Some(found) = self.run_mut(&task, run) {
                found.pace = percent;
                found.in_flight = true;
            }
            self.orders.push(Order::Pace { worker, task, run, percent });
        }
    }

    /// Applies the answer to a pace: `true` if the worker has accepted it.
    pub fn apply_pace_answer(&mut self, name: &TaskName, run: u32, is_accepted: bool) {
        if let Some(found) = self.run_mut(name, run) {
            found.in_flight = false;
            if !is_accepted {
                // Whether the old or the new pace holds is unknown, so the next check starts from half speed.
                found.pace = 50;
            }
        }
    }
}
