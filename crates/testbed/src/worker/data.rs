//! State of a worker: leases, runs and the rules between them.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use carawaybarrow_core::map::Map;
use futures::channel::oneshot;
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};

use super::Options;
use super::run::{NewTask, Run, TaskState};
use super::tally::{Start, Tally};

/// Ended runs that are remembered.
const KEPT_RUNS: usize = 1000;

/// Wait between looks at a run that should have ended while the worker is frozen.
const FROZEN_INTERVAL: Duration = Duration::from_millis(10);

/// Resources that one running task uses: a slot's part of 64 cores and 128 GB.
const TASK_CORES: f64 = 8.0;
const TASK_MEMORY_MB: u64 = 16_000;

#[derive(Debug)]
struct Lease {
    entry: SmolStr,
    ttl: Duration,
    ends: Instant,
    run: Option<u64>,
}

/// Why a lease or a start is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    Full,
    Draining,
    LeaseLapsed,
    /// Another task runs under the lease.
    LeaseBusy,
    /// This very task runs under the lease.
    AlreadyStarted,
}

impl Refused {
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

/// What the runner of a task does next.
pub enum Step {
    /// Wait for the signal, at most this long.
    Wait(Duration, oneshot::Receiver<()>),
    /// The run is over.
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
pub struct Data {
    pub options: Options,
    pub incarnation: u64,
    pub is_draining: bool,
    pub is_frozen: bool,
    pub fails_all: bool,
    pub down_until: Option<Instant>,
    leases: BTreeMap<SmolStr, Lease>,
    last_number: u64,
    runs: Map<u64, Run>,
    /// Latest run of each task.
    latest: Map<SmolStr, u64>,
    ended: VecDeque<u64>,
    usage: VecDeque<Usage>,
    pub starts: Vec<Start>,
    pub own: Tally,
    pub shared: Tally,
}

impl Data {
    pub fn new(options: Options, shared: Tally) -> Self {
        Self {
            options,
            incarnation: wall_ms(),
            is_draining: false,
            is_frozen: false,
            fails_all: false,
            down_until: None,
            leases: BTreeMap::new(),
            last_number: 0,
            runs: Map::default(),
            latest: Map::default(),
            ended: VecDeque::new(),
            usage: VecDeque::new(),
            starts: Vec::new(),
            own: Tally::default(),
            shared,
        }
    }

    /// Ends the lapsed leases and stops their tasks.
    pub fn sweep(&mut self, now: Instant) {
        let lapsed: Vec<SmolStr> =
            self.leases.iter().filter(|(_, l)| l.ends <= now).map(|(id, _)| id.clone()).collect();
        for lease in lapsed {
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

    pub fn grant(&mut self, entry: SmolStr, ttl: Duration, now: Instant) -> Result<SmolStr, Refused> {
        if self.is_draining {
            return Err(Refused::Draining);
        }
        if self.leases.len() >= self.options.slots {
            return Err(Refused::Full);
        }
        self.last_number += 1;
        // The number goes on over reboots, so that a lease from before one differs from later ones. All workers
        // give the same ids, since nothing says that an id is unique beyond its worker.
        let lease = format_smolstr!("lease-{}", self.last_number);
        self.leases.insert(lease.clone(), Lease { entry, ttl, ends: now + ttl, run: None });
        Ok(lease)
    }

    /// Renews leases and returns those that have lapsed.
    pub fn renew(&mut self, leases: Vec<SmolStr>, now: Instant) -> Vec<SmolStr> {
        let mut lapsed = Vec::new();
        for id in leases {
            match self.leases.get_mut(&id) {
                Some(lease) => lease.ends = now + lease.ttl,
                None => lapsed.push(id),
            }
        }
        lapsed
    }

    pub fn revoke(&mut self, lease: &str, now: Instant) -> bool {
        self.end_lease(lease, "lease_ended", now)
    }

    /// Starts a task and returns its run.
    pub fn start(&mut self, new: NewTask, now: Instant) -> Result<u64, Refused> {
        let Some(lease) = self.leases.get_mut(&new.lease) else { return Err(Refused::LeaseLapsed) };
        if let Some(run) = lease.run {
            let is_same = self.runs.get(&run).is_some_and(|r| r.new.task == new.task);
            return Err(if is_same { Refused::AlreadyStarted } else { Refused::LeaseBusy });
        }
        if self.is_draining {
            return Err(Refused::Draining);
        }
        self.last_number += 1;
        let run = self.last_number;
        lease.run = Some(run);
        self.starts.push(Start {
            task: new.task.clone(),
            queue: new.queue.clone(),
            team: new.team.clone(),
            mark: new.parsed.mark.clone(),
            incarnation: self.incarnation,
            at_ms: wall_ms(),
        });
        self.own.add(&new.team);
        self.shared.add(&new.team);
        self.latest.insert(new.task.clone(), run);
        self.runs.insert(run, Run::new(new, now));
        self.note_usage(now);
        if self.fails_all {
            self.end_run(run, TaskState::Failed, "fault", now);
        }
        Ok(run)
    }

    /// Moves a run on and says what its runner waits for.
    pub fn step(&mut self, run: u64, now: Instant) -> Step {
        self.sweep(now);
        let is_frozen = self.is_frozen;
        let Some(r) = self.runs.get_mut(&run) else { return Step::End };
        if r.state != TaskState::Running {
            return Step::End;
        }
        let left = r.time_left(now);
        let fails = r.new.parsed.fail;
        if left == Some(Duration::ZERO) && !is_frozen {
            let (state, reason) = if fails { (TaskState::Failed, "payload") } else { (TaskState::Done, "") };
            self.end_run(run, state, reason, now);
            return Step::End;
        }
        let lease_left =
            self.leases.get(&r.new.lease).map_or(Duration::ZERO, |l| l.ends.saturating_duration_since(now));
        let wait = left.map_or(lease_left, |left| left.min(lease_left));
        let wait = if is_frozen { wait.max(FROZEN_INTERVAL) } else { wait };
        Step::Wait(wait, r.wait_for_change())
    }

    fn end_run(&mut self, run: u64, state: TaskState, reason: &'static str, now: Instant) {
        let Some(r) = self.runs.get_mut(&run) else { return };
        if r.state != TaskState::Running {
            return;
        }
        self.own.remove(&r.new.team);
        self.shared.remove(&r.new.team);
        if let Some(lease) = self.leases.get_mut(&r.new.lease) {
            lease.run = None;
        }
        r.end(state, reason, now);
        self.ended.push_back(run);
        if self.ended.len() > KEPT_RUNS
            && let Some(old) = self.ended.pop_front()
            && let Some(r) = self.runs.remove(&old)
            && self.latest.get(&r.new.task) == Some(&old)
        {
            self.latest.remove(&r.new.task);
        }
        self.note_usage(now);
    }

    pub fn run(&self, run: u64) -> Option<&Run> {
        self.runs.get(&run)
    }

    pub fn run_mut(&mut self, run: u64) -> Option<&mut Run> {
        self.runs.get_mut(&run)
    }

    pub fn find(&self, task: &str) -> Option<u64> {
        self.latest.get(task).copied()
    }

    pub fn stop(&mut self, run: u64, now: Instant) {
        self.end_run(run, TaskState::Stopped, "stopped", now);
    }

    pub fn throttle(&mut self, run: u64, now: Instant) {
        if let Some(r) = self.runs.get_mut(&run) {
            r.throttle(now);
        }
        self.note_usage(now);
    }

    /// Goes down for a time; tasks and leases are lost. The order to drain stays in effect.
    pub fn reboot(&mut self, down: Duration, now: Instant) {
        for r in self.runs.values().filter(|r| r.state == TaskState::Running) {
            self.own.remove(&r.new.team);
            self.shared.remove(&r.new.team);
        }
        self.runs.clear();
        self.latest.clear();
        self.ended.clear();
        self.leases.clear();
        self.usage.clear();
        self.incarnation = wall_ms().max(self.incarnation + 1);
        self.down_until = Some(now + down);
    }

    pub fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    fn running(&self) -> impl Iterator<Item = &Run> {
        self.leases.values().filter_map(|l| l.run).filter_map(|run| self.runs.get(&run))
    }

    fn note_usage(&mut self, now: Instant) {
        let cores = self.running().map(|r| if r.is_throttled { TASK_CORES / 2.0 } else { TASK_CORES }).sum();
        let memory_mb = self.running().count() as u64 * TASK_MEMORY_MB;
        self.usage.push_back(Usage { at: now, cores, memory_mb });
        // The newest of the values older than the lag is the one that is reported.
        while self.usage.get(1).is_some_and(|u| u.at + self.options.usage_lag <= now) {
            self.usage.pop_front();
        }
    }

    pub fn show(&self, now: Instant) -> Value {
        let due = self.usage.iter().rev().find(|u| u.at + self.options.usage_lag <= now);
        let usage = due.map_or((0.0, 0), |u| (u.cores, u.memory_mb));
        let tasks: Vec<Value> = self
            .running()
            .map(|r| {
                let entry = self.leases.get(&r.new.lease).map(|lease| &lease.entry);
                json!({ "task": r.new.task, "team": r.new.team, "queue": r.new.queue, "lease": r.new.lease,
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

fn wall_ms() -> u64 {
    // The wall clock is after 1970.
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
