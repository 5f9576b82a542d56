//! Waves of upkeep: which VM goes next.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::map::Map;
use crate::sched::graph::{PoolName, Resources, VmKey, WorkerKey};
use crate::sched::scheduler::{Now, Scheduler};
use crate::units::{Millis, MonoTime, WallTime};

/// Time after which a VM goes down although short tasks still run on it.
const EMPTY_LIMIT: Millis = Millis(2_500);

/// Time after which a VM whose lasting tasks can't be moved away yet is used again.
const EMPTYING_LIMIT: Millis = Millis(5_000);

/// Time in which one VM is emptied, besides its upkeep.
const EMPTYING_TIME: Millis = Millis(2_500);

/// Part of a wave's time in which it should be done, in percent; the rest is for faults.
const PLANNED_PERCENT: u64 = 75;

/// State of a VM as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// It runs a worker, or stands by.
    Up,
    /// It changes its pool.
    Moving,
    /// It has its upkeep.
    Upkeep,
    /// It is down.
    Down,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Id.
    pub key: VmKey,
    /// Pool.
    pub pool: PoolName,
    /// State.
    pub state: VmState,
    /// Data centre.
    pub data_centre: SmolStr,
    /// What it has.
    pub capacity: Resources,
    /// Its worker.
    pub worker: Option<WorkerKey>,
}

/// A wave that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRequest {
    /// Number.
    pub number: u64,
    /// VMs that have to go down once.
    pub vms: Vec<VmKey>,
    /// Time in which the wave should be done.
    pub within: Millis,
    /// Most VMs that may be down at once for the wave.
    pub ceiling: usize,
}

/// Where a VM of a wave stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmStep {
    /// It waits for its turn.
    Waiting,
    /// It gets no new tasks, and its tasks end or are moved.
    Emptying(MonoTime),
    /// The order was sent; the answer is open.
    Ordered(MonoTime),
    /// It is down for its upkeep since then.
    Down(MonoTime),
    /// It has had its upkeep.
    Done,
    /// The platform does not know it any more.
    Gone,
}

/// Answer to an order about a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmAnswer {
    /// The order is carried out, or was before.
    Accepted,
    /// Another holder has a higher token.
    Fenced,
    /// The VM is not up, or leaves.
    Busy,
    /// The VM does not belong to the wave.
    NotInWave,
    /// There is no such VM.
    NoSuchVm,
    /// The platform did nothing.
    Refused,
    /// No answer: the order may be carried out later.
    Unknown,
}

/// What a later scheduler has to know of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// Time at which the wave was taken up first.
    pub started: WallTime,
    /// VMs whose orders were accepted, and those that are gone.
    pub ordered: Vec<VmKey>,
}

/// A wave in progress.
#[derive(Clone, Debug)]
pub struct Wave {
    /// As asked.
    pub request: WaveRequest,
    /// VMs and where they stand.
    pub vms: Map<VmKey, VmStep>,
    /// Time at which it should be done.
    pub due: MonoTime,
    started: WallTime,
}

impl Wave {
    /// A wave with what earlier terms have done of it. VMs ordered by them may still be down.
    #[must_use]
    pub fn new(request: WaveRequest, now: Now, progress: &WaveProgress) -> Self {
        let step = |vm: &VmKey| if progress.ordered.contains(vm) { VmStep::Down(now.mono) } else { VmStep::Waiting };
        let vms = request.vms.iter().map(|vm| (vm.clone(), step(vm))).collect();
        let planned = request.within.0 * PLANNED_PERCENT / 100;
        let passed = now.wall.since(progress.started).0;
        let due = now.mono + Millis(planned.saturating_sub(passed));
        Self { request, vms, due, started: progress.started }
    }

    /// What a later scheduler has to know.
    #[must_use]
    pub fn progress(&self) -> WaveProgress {
        let is_ordered = |s: &VmStep| !matches!(s, VmStep::Waiting | VmStep::Emptying(_));
        let mut ordered: Vec<VmKey> =
            self.vms.iter().filter(|(_, s)| is_ordered(s)).map(|(vm, _)| vm.clone()).collect();
        ordered.sort();
        WaveProgress { started: self.started, ordered }
    }

    /// Whether each VM is back or gone.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.vms.values().all(|s| matches!(s, VmStep::Done | VmStep::Gone))
    }

    /// VMs that are or may be down for the wave.
    #[must_use]
    pub fn down(&self) -> usize {
        self.vms.values().filter(|s| matches!(s, VmStep::Ordered(_) | VmStep::Down(_))).count()
    }

    /// VMs that are being emptied.
    #[must_use]
    pub fn emptying(&self) -> usize {
        self.vms.values().filter(|s| matches!(s, VmStep::Emptying(_))).count()
    }

    /// VMs that should be out of use at once, so that the wave is done in time and takes little room.
    fn width(&self, now: MonoTime, upkeep: Millis) -> usize {
        let left = self.vms.values().filter(|s| !matches!(s, VmStep::Done | VmStep::Gone)).count() as u64;
        let cycle = upkeep.0 + EMPTYING_TIME.0;
        let time = self.due.since(now).0.max(cycle);
        usize::try_from((left * cycle).div_ceil(time)).unwrap_or(usize::MAX).clamp(1, self.request.ceiling)
    }
}

impl Scheduler {
    /// Advances a wave by what the platform lists. Returns the VMs to order down now.
    pub fn advance_wave(&mut self, now: MonoTime, wave: &mut Wave, listed: &[Vm]) -> Vec<VmKey> {
        let by_key: Map<&VmKey, &Vm> = listed.iter().map(|vm| (&vm.key, vm)).collect();
        let upkeep = self.bounds.upkeep;
        for (key, step) in &mut wave.vms {
            match (by_key.get(key), *step) {
                (None, VmStep::Waiting | VmStep::Emptying(_) | VmStep::Down(_)) if !listed.is_empty() => {
                    *step = VmStep::Gone
                }
                // The list lags, so a VM counts as down for at least the time that its upkeep takes.
                (Some(vm), VmStep::Down(since)) if vm.state == VmState::Up && now.since(since) > upkeep => {
                    *step = VmStep::Done
                }
                _ => {}
            }
        }
        let mut ready = Vec::new();
        let emptying: Vec<(VmKey, MonoTime)> = wave
            .vms
            .iter()
            .filter_map(
                |(key, step)| if let VmStep::Emptying(since) = step { Some((key.clone(), *since)) } else { None },
            )
            .collect();
        for (key, since) in emptying {
            let worker = by_key.get(&key).and_then(|vm| vm.worker.clone());
            if self.empty_worker(now, worker.as_ref(), since) && wave.down() < wave.request.ceiling {
                wave.vms.insert(key.clone(), VmStep::Ordered(now));
                ready.push(key);
            } else if now.since(since) > EMPTYING_LIMIT {
                if let Some(worker) = &worker {
                    self.withhold(worker, false);
                }
                wave.vms.insert(key, VmStep::Waiting);
            }
        }
        let width = wave.width(now, upkeep);
        while wave.emptying() + wave.down() < width {
            let waiting = wave.vms.iter().filter(|(_, s)| **s == VmStep::Waiting);
            let up = waiting.filter(|(key, _)| by_key.get(key).is_some_and(|vm| vm.state == VmState::Up));
            let next = up.min_by_key(|(key, _)| {
                let worker = by_key.get(key).and_then(|vm| vm.worker.as_ref()).and_then(|w| self.workers.get(w));
                let lasting = worker.map_or(0, |w| self.count_lasting(&w.report.key).0);
                (lasting, worker.map_or(0, |w| w.used.cpu), key.as_str().to_owned())
            });
            let Some(key) = next.map(|(key, _)| key.clone()) else { break };
            if let Some(worker) = by_key.get(&key).and_then(|vm| vm.worker.clone()) {
                self.withhold(&worker, true);
            }
            wave.vms.insert(key, VmStep::Emptying(now));
        }
        ready
    }

    /// Takes the answer to an order of a wave. An accepted order may have been carried out in an earlier term, so the
    /// worker's runs go on until its lists or the list of VMs say otherwise.
    pub fn take_upkeep_answer(&mut self, now: MonoTime, wave: &mut Wave, vm: &VmKey, answer: VmAnswer) {
        let step = match answer {
            VmAnswer::Accepted => VmStep::Down(now),
            VmAnswer::NoSuchVm | VmAnswer::NotInWave => VmStep::Gone,
            VmAnswer::Busy | VmAnswer::Refused | VmAnswer::Fenced => VmStep::Waiting,
            // It may be down from now on; the next order tells.
            VmAnswer::Unknown => VmStep::Emptying(now - EMPTY_LIMIT),
        };
        wave.vms.insert(vm.clone(), step);
    }

    /// Moves lasting tasks off a worker. Returns whether the VM may go down.
    fn empty_worker(&mut self, now: MonoTime, worker: Option<&WorkerKey>, since: MonoTime) -> bool {
        let Some(worker) = worker.and_then(|w| self.workers.get(w)) else { return true };
        let key = worker.report.key.clone();
        let names: Vec<_> = worker.runs.iter().map(|(name, run)| (name.clone(), *run)).collect();
        let mut has_lasting = false;
        for (name, number) in names {
            let Some(step) = self.step_of(&name) else { continue };
            if !step.lasting {
                continue;
            }
            has_lasting = true;
            if self.may_take_away(now, &name) {
                self.order_stop(now, &name, number, "worker is emptied for upkeep");
            }
        }
        let Some(worker) = self.workers.get(&key) else { return true };
        worker.runs.is_empty() || (!has_lasting && now.since(since) > EMPTY_LIMIT)
    }

    /// Whether the system may end the run of a lasting task without going below what its step needs at work.
    pub(super) fn may_take_away(&self, now: MonoTime, name: &crate::sched::graph::TaskName) -> bool {
        let Some(job) = self.jobs.get(&name.job) else { return true };
        let Some(spec) = job.spec.steps.get(name.step as usize) else { return true };
        let Some(task) = job.task(name) else { return true };
        if task.runs.iter().any(|r| r.phase != crate::sched::job::Phase::Running) {
            return false;
        }
        let may_miss = spec.may_miss.unwrap_or(1).max(1) as usize;
        let Some(step) = job.occurrences.get(name.occurrence as usize).and_then(|o| o.steps.get(name.step as usize))
        else {
            return true;
        };
        let is_away = |t: &crate::sched::job::Task| {
            !t.runs.iter().any(|r| {
                r.phase == crate::sched::job::Phase::Running
                    && r.percent >= 100
                    && self.workers.get(&r.worker).is_some_and(|w| w.is_reachable(now))
            })
        };
        let others = step.tasks.iter().enumerate().filter(|(i, t)| *i != name.index as usize && is_away(t)).count();
        others < may_miss
    }
}
