//! Changes that follow from the lists of workers: ends of runs, adopted runs and lost runs.

use crate::sched::event::Event;
use crate::sched::graph::{JobKey, TaskName, WorkerKey};
use crate::sched::job::{Phase, Run};
use crate::sched::order::{EndKind, EndRow, Order, RunRow};
use crate::sched::progress::JobState;
use crate::sched::scheduler::{START_RETRY, Scheduler};
use crate::sched::unsettled::START_LIMIT;
use crate::units::{Millis, MonoTime};

/// Time after which a stop without an answer is ordered again while the worker is not known to have the run. For any
/// other run, a stop without an effect is ordered again after this time and [`Bounds::stop_limit`] in addition.
///
/// [`Bounds::stop_limit`]: crate::sched::policy::Bounds::stop_limit
const STOP_RETRY: Millis = Millis(300);

impl Scheduler {
    /// Applies an end that a worker lists.
    pub(super) fn apply_end(&mut self, now: MonoTime, worker: &WorkerKey, end: EndRow) {
        let Some(known) = self.workers.get_mut(worker) else { return };
        if !known.is_new_end(end.number) {
            return;
        }
        if !self.jobs.contains_key(&end.task.job) {
            return self.keep_orphaned_end(now, worker, end);
        }
        let needs = self.end_run(now, worker, &end.task, end.run, end.kind, &end.checkpoint);
        if let Some((job, _)) = &needs {
            self.record_holder(job, worker);
        }
        if let Some(known) = self.workers.get_mut(worker) {
            known.record_end(end.number, needs);
        }
    }

    /// Records that a worker holds an end of a job that is not stored yet.
    pub(super) fn record_holder(&mut self, job: &JobKey, worker: &WorkerKey) {
        let holders = self.unstored.entry(job.clone()).or_default();
        if !holders.contains(worker) {
            holders.push(worker.clone());
        }
    }

    /// Applies the end of a run. Returns the job and its version that must be stored before the worker may discard the
    /// end; `None` if the end changes nothing that is stored.
    pub(super) fn end_run(
        &mut self,
        now: MonoTime,
        worker: &WorkerKey,
        name: &TaskName,
        number: u32,
        kind: EndKind,
        checkpoint: &str,
    ) -> Option<(JobKey, u64)> {
        let removed = self.remove_run(name, number);
        let job = self.jobs.get_mut(&name.job)?;
        job.add_found_due(name.occurrence, now);
        let step = job.spec.steps.get(name.step as usize)?;
        let (is_lasting, is_gang) = (step.lasting, step.gang);
        self.events.push(Event::RunEnded { task: name.clone(), run: number, worker: worker.clone(), kind });
        if let Some(run) = removed.as_ref().filter(|_| kind == EndKind::Done && !is_lasting) {
            self.run_times.record(&job.spec.queue, step.estimate, now.since(run.first_ordered));
        }
        let was_stopped = removed.is_some_and(|r| r.phase == Phase::Stopping);
        let task = job.task_mut(name)?;
        task.last_run = task.last_run.max(number);
        if !checkpoint.is_empty() {
            task.checkpoint = checkpoint.into();
        }
        let is_first = !task.failed_runs.contains(&number);
        let is_counted = match kind {
            EndKind::Done if !is_lasting => !task.is_done,
            EndKind::Failed if !is_lasting => is_first && !task.is_done,
            _ => false,
        };
        if let Some(known) = self.workers.get_mut(worker)
            && !is_lasting
        {
            match kind {
                EndKind::Done => known.record_success(),
                EndKind::Failed if is_first && !was_stopped => {
                    known.record_failure(now);
                    // The same number as `QUARANTINE_AFTER`. A stalled run may also lead to quarantine, without this
                    // event.
                    if known.failures() >= 2 {
                        let failures = known.failures();
                        self.events.push(Event::WorkerQuarantined { worker: worker.clone(), failures });
                    }
                }
                _ => {}
            }
        }
        if !is_counted {
            let key = name.job.clone();
            self.fail_if_attempts_used_up(&key);
            // The end may have been applied before, as another row or from an earlier list, and not be stored yet.
            let is_stored_later = matches!(kind, EndKind::Done | EndKind::Failed) && !is_lasting;
            let unstored = self.jobs.get(&key).filter(|j| is_stored_later && j.stored_version < j.version);
            let needs = unstored.map(|j| (key.clone(), j.version));
            self.retire_job(&key);
            return needs;
        }
        match kind {
            EndKind::Done => self.mark_done(name, is_gang),
            _ => self.record_failed_run(name, number, worker),
        }
        let job = self.jobs.get_mut(&name.job)?;
        if job.state == JobState::Queued {
            job.state = JobState::Running;
        }
        job.version += 1;
        let key = name.job.clone();
        self.writes.mark(&key);
        self.finish_if_complete(&key);
        self.stop_unneeded(&key);
        let version = self.jobs.get(&key).map(|j| j.version)?;
        Some((key, version))
    }

    fn mark_done(&mut self, name: &TaskName, is_gang: bool) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let Some(occurrence) = job.occurrences.get_mut(name.occurrence as usize) else { return };
        let Some(step) = occurrence.steps.get_mut(name.step as usize) else { return };
        for (index, task) in step.tasks.iter_mut().enumerate() {
            // The members of a gang succeed together, so the end of one counts for all of them.
            if (is_gang || index == name.index as usize) && !task.is_done {
                task.is_done = true;
                step.done += 1;
            }
        }
    }

    fn record_failed_run(&mut self, name: &TaskName, number: u32, worker: &WorkerKey) {
        let Some(job) = self.jobs.get(&name.job) else { return };
        let max_attempts = self.policy.rules_of(&job.spec).max_attempts.max(1) as usize;
        let Some(task) = self.jobs.get_mut(&name.job).and_then(|j| j.task_mut(name)) else { return };
        task.failed_runs.push(number);
        let is_used_up = task.failed_runs.len() >= max_attempts;
        self.avoid_worker(name, worker);
        if is_used_up {
            self.end_job(&name.job, JobState::Failed);
        }
    }

    /// Lets a task start on another worker, if there is one with room.
    pub(super) fn avoid_worker(&mut self, name: &TaskName, worker: &WorkerKey) {
        if let Some(task) = self.jobs.get_mut(&name.job).and_then(|j| j.task_mut(name))
            && !task.avoided_workers.contains(worker)
        {
            task.avoided_workers.push(worker.clone());
        }
    }

    /// Applies a run that a worker lists. Returns `false` if its job is unknown, or has no such task.
    pub(super) fn apply_run_row(&mut self, now: MonoTime, worker: &WorkerKey, row: RunRow) -> bool {
        if let Some(job) = self.jobs.get_mut(&row.task.job) {
            job.add_found_due(row.task.occurrence, now);
        }
        let Some(task) = self.jobs.get_mut(&row.task.job).and_then(|j| j.task_mut(&row.task)) else {
            if self.jobs.contains_key(&row.task.job) {
                let reason = "no such task";
                self.orders.push(Order::Stop { worker: worker.clone(), task: row.task, run: row.run, reason });
            } else {
                self.keep_orphaned_run(now, worker, row);
            }
            return false;
        };
        let is_new = !task.runs.iter().any(|r| r.number == row.run);
        if is_new {
            self.adopt_run(now, worker, &row);
        }
        let Some(job) = self.jobs.get_mut(&row.task.job) else { return false };
        if job.state == JobState::Queued {
            job.state = JobState::Running;
        }
        let Some(task) = job.task_mut(&row.task) else { return false };
        if !row.checkpoint.is_empty() {
            task.checkpoint = row.checkpoint;
        }
        if let Some(run) = task.runs.iter_mut().find(|r| r.number == row.run) {
            if matches!(run.phase, Phase::Starting | Phase::Uncertain) {
                run.phase = Phase::Running;
                run.confirmed_at = run.confirmed_at.min(now);
                run.last_progress = now;
            }
            if row.percent > run.percent {
                run.last_progress = now;
            }
            run.percent = row.percent;
            run.reading = row.reading;
        }
        if is_new {
            let key = row.task.job;
            self.stop_unneeded(&key);
        }
        true
    }

    fn adopt_run(&mut self, now: MonoTime, worker: &WorkerKey, row: &RunRow) {
        self.events.push(Event::RunAdopted { task: row.task.clone(), run: row.run, worker: worker.clone() });
        let run = Run {
            number: row.run,
            worker: worker.clone(),
            phase: Phase::Running,
            first_ordered: now,
            confirmed_at: now,
            last_ordered: now,
            in_flight: false,
            unsettled_since: now,
            start_deadline: 0,
            last_answer: None,
            is_reported: false,
            percent: row.percent,
            last_progress: now,
            pace: 100,
            reading: row.reading,
        };
        self.add_run(&row.task, run);
    }

    /// Ends the runs of a worker for which `is_gone` holds, as lapsed.
    pub(super) fn drop_runs(&mut self, now: MonoTime, worker: &WorkerKey, is_gone: impl Fn((&TaskName, &Run)) -> bool) {
        let Some(known) = self.workers.get(worker) else { return };
        let names: Vec<(TaskName, u32)> = known.runs.iter().map(|(name, run)| (name.clone(), *run)).collect();
        for (name, number) in names {
            let run = self.run(&name, number);
            match run {
                Some(run) if !is_gone((&name, run)) => {}
                Some(_) => {
                    let _ = self.end_run(now, worker, &name, number, EndKind::Lapsed, "");
                }
                None => {
                    if let Some(known) = self.workers.get_mut(worker) {
                        known.runs.remove(&name);
                    }
                }
            }
        }
    }

    /// Orders stops for the runs of a job that are no longer needed.
    pub(super) fn stop_unneeded(&mut self, key: &JobKey) {
        let Some(job) = self.jobs.get(key) else { return };
        let mut unneeded = Vec::new();
        for (o, occurrence) in job.occurrences.iter().enumerate() {
            for (s, step) in occurrence.steps.iter().enumerate() {
                let speculative = job.spec.steps.get(s).is_some_and(|s| s.speculative);
                for (i, task) in step.tasks.iter().enumerate().filter(|(_, t)| !t.runs.is_empty()) {
                    let reason = if job.state == JobState::Cancelled {
                        "job cancelled"
                    } else if job.state.is_final() {
                        "job ended"
                    } else if task.is_done {
                        "task done"
                    } else if task.runs.len() > 1 && !speculative {
                        "second run"
                    } else {
                        continue;
                    };
                    let kept = if reason == "second run" { task.runs.first().map(|r| r.number) } else { None };
                    let number = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
                    let name = TaskName { job: key.clone(), occurrence: number(o), step: number(s), index: number(i) };
                    for run in task.runs.iter().filter(|r| r.phase != Phase::Stopping && Some(r.number) != kept) {
                        unneeded.push((name.clone(), run.number, reason));
                    }
                }
            }
        }
        for (name, number, reason) in unneeded {
            self.order_stop(self.last_mono, &name, number, reason);
        }
    }

    /// Orders a stop of a run.
    pub(super) fn order_stop(&mut self, now: MonoTime, name: &TaskName, number: u32, reason: &'static str) {
        let Some(task) = self.jobs.get_mut(&name.job).and_then(|j| j.task_mut(name)) else { return };
        let Some(run) = task.runs.iter_mut().find(|r| r.number == number) else { return };
        if run.phase != Phase::Stopping {
            if run.phase == Phase::Running {
                run.unsettled_since = now;
            }
            run.phase = Phase::Stopping;
            // A start may still be in flight, so a list without the run proves nothing until the stop is answered.
            if !run.is_confirmed() || run.in_flight {
                run.confirmed_at = MonoTime(u64::MAX);
            }
        }
        run.last_ordered = run.last_ordered.max(now);
        run.in_flight = true;
        let worker = run.worker.clone();
        self.orders.push(Order::Stop { worker, task: name.clone(), run: number, reason });
    }

    /// Repeats orders that got no answer, and drops the runs of silent workers whose leases have lapsed.
    pub(super) fn review_runs(&mut self, now: MonoTime) {
        let keys: Vec<WorkerKey> = self.workers.keys().cloned().collect();
        for key in keys {
            let Some(worker) = self.workers.get(&key) else { continue };
            if worker.runs.is_empty() && !worker.has_orphans {
                continue;
            }
            if !worker.is_reachable(now) {
                // A later scheduler may have extended a lease that had not lapsed when this term was last confirmed.
                if worker.has_lapsed(self.confirmed_at.min(now))
                    && (self.is_reconciled() || (worker.refuses_earlier_terms && self.previous_stopped_at.is_some()))
                {
                    let runs = worker.runs.len();
                    self.drop_runs(now, &key, |_| true);
                    self.drop_orphaned_runs(&key);
                    self.events.push(Event::WorkerLapsed { worker: key, runs });
                }
                continue;
            }
            self.repeat_orders(now, &key);
        }
    }

    fn repeat_orders(&mut self, now: MonoTime, worker: &WorkerKey) {
        let Some(known) = self.workers.get(worker) else { return };
        let may_start =
            self.is_confirmed(now) && self.may_order_starts(now, known) && !known.may_discard_unread_ends(now);
        let names: Vec<(TaskName, u32)> = known.runs.iter().map(|(name, run)| (name.clone(), *run)).collect();
        for (name, number) in names {
            self.report_unsettled(now, &name, number);
            let run = self.run(&name, number);
            let Some(run) = run else { continue };
            if run.in_flight {
                continue;
            }
            let since_order = now.since(run.last_ordered);
            match run.phase {
                Phase::Starting => match self.reason_to_give_up(now, &name, run) {
                    Some(reason) => {
                        let is_overdue = now.since(run.first_ordered) >= START_LIMIT;
                        self.order_stop(now, &name, number, reason);
                        if is_overdue {
                            self.avoid_worker(&name, worker);
                        }
                    }
                    None if may_start && since_order >= START_RETRY => self.order_start(now, &name, number),
                    None => {}
                },
                Phase::Stopping if since_order >= STOP_RETRY + self.bounds.stop_limit => {
                    self.order_stop(now, &name, number, "no end after a stop");
                }
                Phase::Stopping if !run.is_confirmed() && since_order >= STOP_RETRY => {
                    self.order_stop(now, &name, number, "no answer to a stop");
                }
                _ => {}
            }
        }
    }
}
