//! State of a worker: its leases, and the runs of tasks under them.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use carawaybarrow_core::map::Map;
use futures::channel::oneshot;
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};

use super::Options;
use super::run::{Run, TaskSpec, TaskState};
use super::tally::{Start, Tally};

/// Maximum number of ended runs whose state is kept.
const MAX_ENDED_RUNS: usize = 1000;

/// Minimum interval between checks of a run while the worker is frozen. A due run doesn't end during the freeze and
/// would otherwise be checked in a busy loop.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Resources that one running task uses: a slot's share of 64 cores and 128 GB with 8 slots.
const TASK_CORES: f64 = 8.0;
const TASK_MEMORY_MB: u64 = 16_000;

#[derive(Debug)]
struct Lease {
    entry: SmolStr,
    ttl: Duration,
    expires_at: Instant,
    run: Option<u64>,
}

/// Reason for which a lease or a start is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    Full,
    Draining,
    LeaseLapsed,
    /// Another task runs under the lease.
    LeaseBusy,
    /// The same task already runs under the lease.
    AlreadyStarted,
}

impl Refusal {
    pub const fn reason(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Draining => "draining",
            Self::LeaseLapsed => "lease_lapsed",
            Self::LeaseBusy => "lease_busy",
            Self::AlreadyStarted => "already_started",
        }
    }
}

/// Next action of the future that drives a run.
pub enum Step {
    /// Wait for a change of the run, at most this long.
    Wait(Duration, oneshot::Receiver<()>),
    /// Stop, because the run has ended or was lost.
    End,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Usage {
    at: Instant,
    cores: f64,
    memory_mb: u64,
}

/// State of a worker.
#[derive(Debug)]
pub struct WorkerState {
    pub options: Options,
    pub incarnation: u64,
    pub is_draining: bool,
    pub is_frozen: bool,
    pub fails_all_tasks: bool,
    pub down_until: Option<Instant>,
    leases: BTreeMap<SmolStr, Lease>,
    last_id: u64,
    runs: Map<u64, Run>,
    /// Latest run of each task.
    latest_runs: Map<SmolStr, u64>,
    ended_runs: VecDeque<u64>,
    usage: VecDeque<Usage>,
    pub starts: Vec<Start>,
    pub worker_tally: Tally,
    pub process_tally: Tally,
}

impl WorkerState {
    pub fn new(options: Options, process_tally: Tally) -> Self {
        Self {
            options,
            incarnation: unix_time_ms(),
            is_draining: false,
            is_frozen: false,
            fails_all_tasks: false,
            down_until: None,
            leases: BTreeMap::new(),
            last_id: 0,
            runs: Map::default(),
            latest_runs: Map::default(),
            ended_runs: VecDeque::new(),
            usage: VecDeque::new(),
            starts: Vec::new(),
            worker_tally: Tally::default(),
            process_tally,
        }
    }

    /// Ends the expired leases and stops their tasks.
    pub fn remove_expired_leases(&mut self, now: Instant) {
        let expired: Vec<SmolStr> =
            self.leases.iter().filter(|(_, l)| l.expires_at <= now).map(|(id, _)| id.clone()).collect();
        for lease in expired {
            self.end_lease(&lease, "lease_lapsed", now);
        }
    }

    fn end_lease(&mut self, lease: &str, reason: &'static str, now: Instant) -> bool {
        let Some(Lease { run, .. }) = self.leases.remove(lease) else { return false };
        if let Some(run) = run {
            self.end_run(run, TaskState::Stopped, reason, now);
        }
        true
    }

    pub fn grant(&mut self, entry: SmolStr, ttl: Duration, now: Instant) -> Result<SmolStr, Refusal> {
        if self.is_draining {
            return Err(Refusal::Draining);
        }
        if self.leases.len() >= self.options.slots {
            return Err(Refusal::Full);
        }
        self.last_id += 1;
        // Ids aren't reused after a reboot, so that leases from before it are recognized as unknown. Workers grant the
        // same ids as each other, because the platform doesn't guarantee ids that are unique across workers.
        let lease = format_smolstr!("lease-{}", self.last_id);
        self.leases.insert(lease.clone(), Lease { entry, ttl, expires_at: now + ttl, run: None });
        Ok(lease)
    }

    /// Renews leases and returns those that have expired or are unknown.
    pub fn renew(&mut self, leases: Vec<SmolStr>, now: Instant) -> Vec<SmolStr> {
        let mut expired = Vec::new();
        for id in leases {
            match self.leases.get_mut(&id) {
                Some(lease) => lease.expires_at = now + lease.ttl,
                None => expired.push(id),
            }
        }
        expired
    }

    pub fn revoke(&mut self, lease: &str, now: Instant) -> bool {
        self.end_lease(lease, "lease_ended", now)
    }

    /// Starts a task and returns its run.
    pub fn start(&mut self, spec: TaskSpec, now: Instant) -> Result<u64, Refusal> {
        let Some(lease) = self.leases.get_mut(&spec.lease) else { return Err(Refusal::LeaseLapsed) };
        if let Some(run) = lease.run {
            let is_same = self.runs.get(&run).is_some_and(|r| r.spec.task == spec.task);
            return Err(if is_same { Refusal::AlreadyStarted } else { Refusal::LeaseBusy });
        }
        if self.is_draining {
            return Err(Refusal::Draining);
        }
        self.last_id += 1;
        let run = self.last_id;
        lease.run = Some(run);
        self.starts.push(Start {
            task: spec.task.clone(),
            queue: spec.queue.clone(),
            team: spec.team.clone(),
            mark: spec.parsed.mark.clone(),
            incarnation: self.incarnation,
            at_ms: unix_time_ms(),
        });
        self.worker_tally.add(&spec.team);
        self.process_tally.add(&spec.team);
        self.latest_runs.insert(spec.task.clone(), run);
        self.runs.insert(run, Run::new(spec, now));
        self.record_usage(now);
        if self.fails_all_tasks {
            self.end_run(run, TaskState::Failed, "fault", now);
        }
        Ok(run)
    }

    /// Ends the run if it is due, and returns what to wait for otherwise.
    pub fn advance(&mut self, run: u64, now: Instant) -> Step {
        self.remove_expired_leases(now);
        let is_frozen = self.is_frozen;
        let Some(r) = self.runs.get_mut(&run) else { return Step::End };
        if r.state != TaskState::Running {
            return Step::End;
        }
        let remaining = r.remaining_time(now);
        let fails = r.spec.parsed.fail;
        if remaining == Some(Duration::ZERO) && !is_frozen {
            let (state, reason) = if fails { (TaskState::Failed, "payload") } else { (TaskState::Done, "") };
            self.end_run(run, state, reason, now);
            return Step::End;
        }
        let lease_remaining =
            self.leases.get(&r.spec.lease).map_or(Duration::ZERO, |l| l.expires_at.saturating_duration_since(now));
        let wait = remaining.map_or(lease_remaining, |remaining| remaining.min(lease_remaining));
        let wait = if is_frozen { wait.max(FROZEN_POLL_INTERVAL) } else { wait };
        Step::Wait(wait, r.subscribe_to_change())
    }

    fn end_run(&mut self, run: u64, state: TaskState, reason: &'static str, now: Instant) {
        let Some(r) = self.runs.get_mut(&run) else { return };
        if r.state != TaskState::Running {
            return;
        }
        self.worker_tally.remove(&r.spec.team);
        self.process_tally.remove(&r.spec.team);
        if let Some(lease) = self.leases.get_mut(&r.spec.lease) {
            lease.run = None;
        }
        r.end(state, reason, now);
        self.ended_runs.push_back(run);
        if self.ended_runs.len() > MAX_ENDED_RUNS
            && let Some(old) = self.ended_runs.pop_front()
            && let Some(r) = self.runs.remove(&old)
            && self.latest_runs.get(&r.spec.task) == Some(&old)
        {
            self.latest_runs.remove(&r.spec.task);
        }
        self.record_usage(now);
    }

    pub fn run(&self, run: u64) -> Option<&Run> {
        self.runs.get(&run)
    }

    pub fn run_mut(&mut self, run: u64) -> Option<&mut Run> {
        self.runs.get_mut(&run)
    }

    pub fn latest_run(&self, task: &str) -> Option<u64> {
        self.latest_runs.get(task).copied()
    }

    pub fn stop(&mut self, run: u64, now: Instant) {
        self.end_run(run, TaskState::Stopped, "stopped", now);
    }

    pub fn throttle(&mut self, run: u64, now: Instant) {
        if let Some(r) = self.runs.get_mut(&run) {
            r.throttle(now);
        }
        self.record_usage(now);
    }

    /// Makes the worker unreachable for the duration. Tasks and leases are lost; a drain stays in effect.
    pub fn reboot(&mut self, duration: Duration, now: Instant) {
        for r in self.runs.values().filter(|r| r.state == TaskState::Running) {
            self.worker_tally.remove(&r.spec.team);
            self.process_tally.remove(&r.spec.team);
        }
        self.runs.clear();
        self.latest_runs.clear();
        self.ended_runs.clear();
        self.leases.clear();
        self.usage.clear();
        self.incarnation = unix_time_ms().max(self.incarnation + 1);
        self.down_until = Some(now + duration);
    }

    pub fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    fn running(&self) -> impl Iterator<Item = &Run> {
        self.leases.values().filter_map(|l| l.run).filter_map(|run| self.runs.get(&run))
    }

    fn record_usage(&mut self, now: Instant) {
        let cores = self.running().map(|r| if r.is_throttled { TASK_CORES / 2.0 } else { TASK_CORES }).sum();
        let memory_mb = self.running().count() as u64 * TASK_MEMORY_MB;
        self.usage.push_back(Usage { at: now, cores, memory_mb });
        // The newest of the values that are older than the lag is reported; older ones aren't needed.
        while self.usage.get(1).is_some_and(|u| u.at + self.options.usage_lag <= now) {
            self.usage.pop_front();
        }
    }

    pub fn status(&self, now: Instant) -> Value {
        let reported = self.usage.iter().rev().find(|u| u.at + self.options.usage_lag <= now);
        let usage = reported.map_or((0.0, 0), |u| (u.cores, u.memory_mb));
        let tasks: Vec<Value> = self
            .running()
            .map(|r| {
                let entry = self.leases.get(&r.spec.lease).map(|lease| &lease.entry);
                json!({ "task": r.spec.task, "team": r.spec.team, "queue": r.spec.queue, "lease": r.spec.lease,
                    "entry": entry })
            })
            .collect();
        let leases: Vec<Value> = self.leases.iter().map(|(id, l)| json!({ "lease": id, "entry": l.entry })).collect();
        json!({
            "vm": self.options.vm,
            "incarnation": self.incarnation,
            "slots": self.options.slots,
            "free": self.options.slots.saturating_sub(self.leases.len()),
            "draining": self.is_draining,
            "tasks": tasks,
            "leases": leases,
            "size": self.options.size,
            "usage": { "cores": usage.0, "memory_mb": usage.1 },
        })
    }
}

fn unix_time_ms() -> u64 {
    // The system clock is assumed to be after 1970.
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
