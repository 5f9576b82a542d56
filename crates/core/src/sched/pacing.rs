//! Upkeep of running tasks: repetition of orders, slow tasks, and the pace of tasks that fill.

use crate::sched::graph::{TaskName, WorkerKey};
use crate::sched::job::Phase;
use crate::sched::order::Order;
use crate::sched::scheduler::{Now, Scheduler};
use crate::units::{Millis, MonoTime};

/// Share of the target above which the tasks that fill beside a serving task are slowed down, in percent.
const SLOW_DOWN_AT: u64 = 80;

/// Share of the target below which they may go faster, in percent.
const SPEED_UP_AT: u64 = 50;

/// Step by which a pace rises, in percent.
const PACE_STEP: u8 = 20;

/// Time without progress after which a task counts as standing still; it is longer than two looks.
const STALL_LIMIT: Millis = Millis(1_500);

/// Factor of the estimate that a stalled task must have run.
const STALL_FACTOR: u64 = 2;

impl Scheduler {
    /// Regular work between events.
    pub fn tick(&mut self, now: Now) {
        for job in self.jobs.values_mut() {
            if !job.state.is_final() {
                job.add_due(now.mono, now.wall);
            }
        }
        self.check_settled(now.mono);
        self.review_runs(now.mono);
        self.stop_stalled(now.mono);
        self.leave_draining(now.mono);
        self.set_paces();
        let is_needed = |w: &crate::sched::worker::Worker| w.is_listed || !w.runs.is_empty();
        if self.is_settled() {
            self.workers.retain(|_, w| is_needed(w));
        }
    }

    /// Stops tasks that stand still, so that they run elsewhere.
    fn stop_stalled(&mut self, now: MonoTime) {
        let mut stalled: Vec<(TaskName, u32, WorkerKey)> = Vec::new();
        for worker in self.workers.values().filter(|w| w.is_reachable(now)) {
            for (name, number) in &worker.runs {
                let Some(job) = self.jobs.get(&name.job) else { continue };
                let Some(step) = job.spec.steps.get(name.step as usize) else { continue };
                let Some(run) = job.task(name).and_then(|t| t.runs.iter().find(|r| r.number == *number)) else {
                    continue;
                };
                let is_overdue = now.since(run.since).0 > step.estimate.0 * STALL_FACTOR + STALL_LIMIT.0;
                let is_still = now.since(run.advanced) > STALL_LIMIT;
                let at_work = step.lasting && run.percent >= 100;
                if run.phase == Phase::Running && is_overdue && is_still && !at_work && !step.gang && run.pace == 100 {
                    stalled.push((name.clone(), *number, worker.report.key.clone()));
                }
            }
        }
        for (name, number, worker) in stalled {
            if let Some(task) = self.jobs.get_mut(&name.job).and_then(|j| j.task_mut(&name))
                && !task.avoid.contains(&worker)
            {
                task.avoid.push(worker.clone());
            }
            if let Some(worker) = self.workers.get_mut(&worker) {
                worker.note_failure(now);
            }
            self.order_stop(now, &name, number, "no progress");
        }
    }

    /// Stops lasting tasks on workers that shut down, so that they go on elsewhere before the worker leaves.
    fn leave_draining(&mut self, now: MonoTime) {
        let mut leaving = Vec::new();
        for worker in self.workers.values().filter(|w| w.report.draining && w.is_reachable(now)) {
            for (name, number) in &worker.runs {
                let phase = self.run(name, *number);
                let is_lasting = self.step_of(name).is_some_and(|s| s.lasting);
                if is_lasting && phase.is_some_and(|r| r.phase == Phase::Running) {
                    leaving.push((name.clone(), *number));
                }
            }
        }
        for (name, number) in leaving {
            self.order_stop(now, &name, number, "worker drains");
        }
    }

    /// Slows tasks that fill while a serving task beside them is near its target.
    fn set_paces(&mut self) {
        let mut paces: Vec<(WorkerKey, TaskName, u32, u8)> = Vec::new();
        for worker in self.workers.values() {
            let mut load = 0;
            let mut fillers = Vec::new();
            for (name, number) in &worker.runs {
                let Some(step) = self.step_of(name) else { continue };
                let Some(run) = self.run(name, *number) else {
                    continue;
                };
                if let (Some(target), Some(tail)) = (step.target, run.reading) {
                    load = load.max(tail * 100 / target.0.max(1));
                }
                if step.fills && run.phase == Phase::Running && !run.in_flight {
                    fillers.push((name.clone(), *number, run.pace));
                }
            }
            for (name, number, pace) in fillers {
                let wanted = if load >= 100 {
                    0
                } else if load >= SLOW_DOWN_AT {
                    pace / 2
                } else if load < SPEED_UP_AT {
                    pace.saturating_add(PACE_STEP).min(100)
                } else {
                    pace
                };
                if wanted != pace {
                    paces.push((worker.report.key.clone(), name, number, wanted));
                }
            }
        }
        for (worker, task, run, percent) in paces {
            if let Some(found) = self.find_run(&task, run) {
                found.pace = percent;
                found.in_flight = true;
            }
            self.orders.push(Order::Pace { worker, task, run, percent });
        }
    }

    /// Notes whether a worker has taken a pace.
    pub fn take_pace_answer(&mut self, name: &TaskName, run: u32, is_taken: bool) {
        if let Some(found) = self.find_run(name, run) {
            found.in_flight = false;
            if !is_taken {
                // An unknown pace is neither the old nor the new one, so the next reading decides anew.
                found.pace = 50;
            }
        }
    }
}
