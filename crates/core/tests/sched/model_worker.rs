//! A simulated worker, which follows the published rules of the platform.

use std::collections::BTreeMap;

use carawaybarrow_core::sched::graph::{Resources, TaskName};
use carawaybarrow_core::sched::order::{
    EndKind, EndRow, FencingToken, RunLists, RunRow, Start, StartAnswer, WorkerReport,
};

#[derive(Clone, Debug)]
pub struct ModelRun {
    pub run: u32,
    pub remaining_ms: u64,
    pub work_ms: u64,
    pub size: Resources,
    /// Time until it has stopped, once a stop was ordered.
    pub stopping_ms: Option<u64>,
}

/// A worker that follows the published rules of the platform.
#[derive(Clone, Debug)]
pub struct ModelWorker {
    pub report: WorkerReport,
    pub token: u64,
    pub lease_until: u64,
    pub runs: BTreeMap<TaskName, ModelRun>,
    pub highest_run: BTreeMap<TaskName, u32>,
    pub ends: Vec<EndRow>,
    pub last_end: u64,
    pub is_partitioned: bool,
    /// Whether it receives polls whose answers are lost.
    pub loses_answers: bool,
    pub incarnation: u64,
    pub fails_tasks: bool,
    /// Time that a run takes to stop.
    pub stop_ms: u64,
    /// Last end before a lapse of the lease. Ends up to it that the scheduler has not confirmed do not count as done.
    pub voided_end: u64,
}

impl ModelWorker {
    fn end(&mut self, task: TaskName, run: u32, kind: EndKind) {
        self.last_end += 1;
        self.ends.push(EndRow { number: self.last_end, task, run, kind, checkpoint: "".into() });
    }

    fn accept_token(&mut self, token: FencingToken) -> bool {
        self.token = self.token.max(token.0);
        token.0 >= self.token
    }

    pub fn start(
        &mut self,
        clock: u64,
        start: &Start,
        token: FencingToken,
        size: Resources,
        work_ms: u64,
    ) -> StartAnswer {
        if !self.accept_token(token) {
            return StartAnswer::Fenced;
        }
        if start.lease_until <= clock {
            return StartAnswer::Late;
        }
        self.lease_until = self.lease_until.max(start.lease_until);
        if let Some(run) = self.runs.get(&start.task)
            && run.run == start.run
        {
            return StartAnswer::Started;
        }
        if self.highest_run.get(&start.task).is_some_and(|h| *h >= start.run) {
            return StartAnswer::OldRun;
        }
        self.highest_run.insert(start.task.clone(), start.run);
        self.runs.insert(
            start.task.clone(),
            ModelRun { run: start.run, remaining_ms: work_ms, work_ms, size, stopping_ms: None },
        );
        StartAnswer::Started
    }

    pub fn stop(&mut self, task: &TaskName, run: u32, token: FencingToken) -> bool {
        if !self.accept_token(token) {
            return false;
        }
        let highest_run = self.highest_run.entry(task.clone()).or_default();
        *highest_run = run.max(*highest_run);
        if let Some(found) = self.runs.get_mut(task)
            && found.run == run
        {
            found.stopping_ms.get_or_insert(self.stop_ms);
        }
        true
    }

    /// Extends the lease and returns the lists of runs and ends; `None` if a newer scheduler has given an order.
    pub fn poll(
        &mut self,
        clock: u64,
        lease_until: Option<u64>,
        durable_end: u64,
        token: FencingToken,
    ) -> Option<RunLists> {
        if !self.accept_token(token) {
            return None;
        }
        self.lease_until = self.lease_until.max(lease_until.unwrap_or(0));
        self.ends.retain(|e| e.number > durable_end);
        let row = |(task, run): (&TaskName, &ModelRun)| RunRow {
            task: task.clone(),
            run: run.run,
            checkpoint: "".into(),
            // A task without an end is a lasting one, which serves from its start.
            percent: if run.work_ms == u64::MAX { 100 } else { (run.work_ms - run.remaining_ms) * 100 / run.work_ms },
            reading: None,
        };
        Some(RunLists {
            incarnation: Some(self.incarnation),
            clock,
            running: self.runs.iter().map(row).collect(),
            ended: self.ends.clone(),
        })
    }

    /// Restarts the worker under its id. All runs, ends and the lease are lost.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.token = 0;
        self.lease_until = 0;
        self.runs.clear();
        self.highest_run.clear();
        self.ends.clear();
        self.last_end = 0;
    }

    pub fn advance_to(&mut self, clock: u64, elapsed_ms: u64) {
        let names: Vec<TaskName> = self.runs.keys().cloned().collect();
        for name in names {
            let run = self.runs.get_mut(&name).expect("the name is from the list");
            if run.work_ms != u64::MAX {
                run.remaining_ms = run.remaining_ms.saturating_sub(elapsed_ms);
            }
            run.stopping_ms = run.stopping_ms.map(|left| left.saturating_sub(elapsed_ms));
            let kind = if clock > self.lease_until {
                EndKind::Lapsed
            } else if run.stopping_ms == Some(0) {
                EndKind::Stopped
            } else if run.remaining_ms == 0 {
                if self.fails_tasks { EndKind::Failed } else { EndKind::Done }
            } else {
                continue;
            };
            let run = run.run;
            self.runs.remove(&name);
            self.end(name, run, kind);
        }
    }

    pub fn used(&self) -> Resources {
        let mut used = Resources::default();
        for run in self.runs.values() {
            used += run.size;
        }
        used
    }
}
