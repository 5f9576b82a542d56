//! Maintenance waves: the order in which VMs are evacuated and go down.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::map::Map;
use crate::sched::graph::{PoolName, Resources, VmKey, WorkerKey};
use crate::sched::scheduler::{Now, Scheduler};
use crate::units::{Millis, MonoTime, WallTime};

/// Time after which a VM without lasting tasks goes down although other tasks still run on it.
const EVACUATION_GRACE: Millis = Millis(2_500);

/// Time after which the evacuation of a VM is abandoned and the VM returns to service.
const EVACUATION_LIMIT: Millis = Millis(5_000);

/// Expected time to evacuate a VM, in addition to its maintenance.
const EVACUATION_TIME: Millis = Millis(2_500);

/// Time before the first order of a continued wave in which VMs are evacuated for it. An evacuated VM gets no tasks, so with
/// a lead as long as evacuations take, a seventh of the VMs idled in a peak.
const EVACUATION_LEAD: Millis = Millis(800);

/// Part of a wave's time in which it is planned to end, in percent; the rest is a reserve for faults.
const PLANNED_PERCENT: u64 = 75;

/// Maximum time that a call to the VM API takes. Its order may be executed until then.
pub const VM_CALL_LIMIT: Millis = Millis(1_000);

/// State of a VM as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// It runs a worker, or is on standby and may be off.
    Up,
    /// It migrates to another pool.
    Moving,
    /// It is under maintenance.
    Maintenance,
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
    /// State in the platform's list.
    pub state: VmState,
    /// Data centre.
    pub data_centre: SmolStr,
    /// Resources.
    pub capacity: Resources,
    /// Worker that runs on it.
    pub worker: Option<WorkerKey>,
}

/// An operator's request for a maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRequest {
    /// Number of the wave.
    pub number: u64,
    /// VMs that each have to go down once.
    pub vms: Vec<VmKey>,
    /// Time in which the wave should be done.
    pub within: Millis,
    /// Maximum number of VMs that may be down for the wave at the same time.
    pub ceiling: usize,
}

/// Progress of a VM in a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmStep {
    /// It waits for its turn.
    Waiting,
    /// Its worker is cordoned, and its tasks end or are moved; time since which the evacuation counts.
    Evacuating(MonoTime),
    /// The order to take it down was sent; the answer is outstanding.
    Ordered(MonoTime),
    /// The order was accepted, or given in an earlier term; time since which this scheduler counts it as down.
    Down(MonoTime),
    /// It is up again after its maintenance.
    Done,
    /// The platform no longer lists it, or it does not belong to the wave.
    Gone,
}

/// Answer to an order about a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmAnswer {
    /// The order is executed, or was before.
    Accepted,
    /// A scheduler with a higher fencing token has given orders.
    Fenced,
    /// The VM is not up, or is leaving.
    Busy,
    /// The VM does not belong to the wave.
    NotInWave,
    /// There is no such VM.
    NoSuchVm,
    /// The platform did nothing.
    Refused,
    /// No answer: the order may still be executed.
    Unknown,
}

/// Stored state of a wave, from which a later scheduler continues.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// Time at which the wave began.
    pub started: WallTime,
    /// VMs that were ordered down, and those that are gone.
    pub ordered: Vec<VmKey>,
}

/// A wave in progress.
#[derive(Clone, Debug)]
pub struct Wave {
    /// Request of the operator.
    pub request: WaveRequest,
    /// Progress of each VM.
    pub vms: Map<VmKey, VmStep>,
    /// Time by which it is planned to end.
    pub due: MonoTime,
    started: WallTime,
    /// Whether an earlier term began it, so that VMs may be down by orders that its progress lacks.
    is_continued: bool,
}

impl Wave {
    /// Begins a wave, whose progress has the present time, or continues one from the progress of earlier terms. The VMs
    /// that they ordered may still be down.
    #[must_use]
    pub fn new(request: WaveRequest, now: Now, progress: &WaveProgress) -> Self {
        let step = |vm: &VmKey| if progress.ordered.contains(vm) { VmStep::Down(now.mono) } else { VmStep::Waiting };
        let vms = request.vms.iter().map(|vm| (vm.clone(), step(vm))).collect();
        let planned = request.within.0 * PLANNED_PERCENT / 100;
        let passed = now.wall.since(progress.started).0;
        let due = now.mono + Millis(planned.saturating_sub(passed));
        Self { request, vms, due, started: progress.started, is_continued: progress.started != now.wall }
    }

    /// State to store for a later scheduler.
    #[must_use]
    pub fn progress(&self) -> WaveProgress {
        let is_ordered = |s: &VmStep| !matches!(s, VmStep::Waiting | VmStep::Evacuating(_));
        let mut ordered: Vec<VmKey> =
            self.vms.iter().filter(|(_, s)| is_ordered(s)).map(|(vm, _)| vm.clone()).collect();
        ordered.sort();
        WaveProgress { started: self.started, ordered }
    }

    /// Whether each VM is up again or gone.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.vms.values().all(|s| matches!(s, VmStep::Done | VmStep::Gone))
    }

    /// Number of VMs whose order to go down is in flight, was accepted or was given in an earlier term. A VM whose
    /// order got no answer counts as being evacuated again and is left out, although it may be going down.
    #[must_use]
    pub fn down(&self) -> usize {
        self.vms.values().filter(|s| matches!(s, VmStep::Ordered(_) | VmStep::Down(_))).count()
    }

    /// Number of VMs that are being evacuated.
    #[must_use]
    pub fn evacuating(&self) -> usize {
        self.vms.values().filter(|s| matches!(s, VmStep::Evacuating(_))).count()
    }

    /// Number of VMs to have out of service at the same time: as few as let the wave end in time.
    fn target_concurrency(&self, now: MonoTime, maintenance: Millis) -> usize {
        let left = self.vms.values().filter(|s| !matches!(s, VmStep::Done | VmStep::Gone)).count() as u64;
        let cycle = maintenance.0 + EVACUATION_TIME.0;
        let time = self.due.since(now).0.max(cycle);
        usize::try_from((left * cycle).div_ceil(time)).unwrap_or(usize::MAX).clamp(1, self.request.ceiling)
    }
}

impl Scheduler {
    /// Advances a wave according to the platform's list of VMs. Returns the VMs to order down now.
    pub fn advance_wave(&mut self, now: MonoTime, wave: &mut Wave, listed: &[Vm]) -> Vec<VmKey> {
        let by_key: Map<&VmKey, &Vm> = listed.iter().map(|vm| (&vm.key, vm)).collect();
        let maintenance = self.bounds.maintenance;
        for (key, step) in &mut wave.vms {
            match (by_key.get(key), *step) {
                (None, VmStep::Waiting | VmStep::Evacuating(_) | VmStep::Down(_)) if !listed.is_empty() => {
                    *step = VmStep::Gone
                }
                // The list lags, so a VM counts as down for at least the time that its maintenance takes.
                (Some(vm), VmStep::Down(since)) if vm.state == VmState::Up && now.since(since) > maintenance => {
                    *step = VmStep::Done
                }
                _ => {}
            }
        }
        if wave.is_continued && !self.may_prepare_vm_orders(now) {
            return Vec::new();
        }
        // An earlier scheduler may have ordered VMs down until just before it ended, and not have stored it.
        let is_in_maintenance = |key: &VmKey| by_key.get(key).is_some_and(|vm| vm.state == VmState::Maintenance);
        let is_waiting = |(key, step): &(&VmKey, &VmStep)| **step == VmStep::Waiting && is_in_maintenance(key);
        let down_unordered = wave.vms.iter().filter(is_waiting).count();
        let mut ready = Vec::new();
        let evacuating: Vec<(VmKey, MonoTime)> = wave
            .vms
            .iter()
            .filter_map(
                |(key, step)| if let VmStep::Evacuating(since) = step { Some((key.clone(), *since)) } else { None },
            )
            .collect();
        for (key, since) in evacuating {
            let worker = by_key.get(&key).and_then(|vm| vm.worker.clone());
            let may_go_down = wave.down() + down_unordered < wave.request.ceiling
                && (!wave.is_continued || self.shows_earlier_vm_orders());
            if self.evacuate_worker(now, worker.as_ref(), since) && may_go_down {
                wave.vms.insert(key.clone(), VmStep::Ordered(now));
                ready.push(key);
            }
        }
        self.end_long_evacuations(now, wave, listed);
        let target_concurrency = wave.target_concurrency(now, maintenance);
        while wave.evacuating() + wave.down() + down_unordered < target_concurrency {
            let waiting = wave.vms.iter().filter(|(_, s)| **s == VmStep::Waiting);
            let up = waiting.filter(|(key, _)| by_key.get(key).is_some_and(|vm| vm.state == VmState::Up));
            let next = up.min_by_key(|(key, _)| {
                let worker = by_key.get(key).and_then(|vm| vm.worker.as_ref()).and_then(|w| self.workers.get(w));
                let serving = worker.map_or(0, |w| w.serving);
                (serving, worker.map_or(0, |w| w.used.cpu), key.as_str().to_owned())
            });
            let Some(key) = next.map(|(key, _)| key.clone()) else { break };
            if let Some(worker) = by_key.get(&key).and_then(|vm| vm.worker.clone()) {
                self.set_cordoned(&worker, true);
            }
            wave.vms.insert(key, VmStep::Evacuating(now));
        }
        ready
    }

    /// Whether the last list of VMs shows all VMs that earlier schedulers have ordered down.
    fn shows_earlier_vm_orders(&self) -> bool {
        self.vm_list_requested >= self.earlier_vm_orders_listed_by
    }

    /// Whether evacuations may begin, as their VMs can be ordered down soon.
    fn may_prepare_vm_orders(&self, now: MonoTime) -> bool {
        now + EVACUATION_LEAD >= self.earlier_vm_orders_listed_by
    }

    /// Returns VMs of a wave to service whose evacuation has taken too long, or could not end because no orders may be
    /// given.
    pub fn end_long_evacuations(&mut self, now: MonoTime, wave: &mut Wave, listed: &[Vm]) {
        for (key, step) in &mut wave.vms {
            if matches!(step, VmStep::Evacuating(since) if now.since(*since) > EVACUATION_LIMIT) {
                *step = VmStep::Waiting;
                if let Some(worker) = listed.iter().find(|vm| vm.key == *key).and_then(|vm| vm.worker.as_ref()) {
                    self.set_cordoned(worker, false);
                }
            }
        }
    }

    /// Applies the answer to an order of a wave. An accepted order may have been executed in an earlier term, so the
    /// worker's runs are kept until its lists or the list of VMs show that they ended.
    pub fn apply_maintenance_answer(&mut self, now: MonoTime, wave: &mut Wave, vm: &VmKey, answer: VmAnswer) {
        let step = match answer {
            VmAnswer::Accepted => VmStep::Down(now),
            VmAnswer::NoSuchVm | VmAnswer::NotInWave => VmStep::Gone,
            VmAnswer::Busy | VmAnswer::Refused | VmAnswer::Fenced => VmStep::Waiting,
            // It may be going down. The evacuation is back-dated, so that the order is repeated at once and its answer
            // decides.
            VmAnswer::Unknown => VmStep::Evacuating(now - EVACUATION_GRACE),
        };
        wave.vms.insert(vm.clone(), step);
    }

    /// Stops the lasting tasks of a worker that may be interrupted now; they start elsewhere. Returns whether the VM
    /// may go down.
    fn evacuate_worker(&mut self, now: MonoTime, worker: Option<&WorkerKey>, since: MonoTime) -> bool {
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
            if self.may_interrupt(now, &name) {
                self.order_stop(now, &name, number, "worker is emptied for upkeep");
            }
        }
        let Some(worker) = self.workers.get(&key) else { return true };
        worker.runs.is_empty() || (!has_lasting && now.since(since) > EVACUATION_GRACE)
    }

    /// Whether the run of a lasting task may be stopped without exceeding its step's limit of unavailable tasks.
    pub(super) fn may_interrupt(&self, now: MonoTime, name: &crate::sched::graph::TaskName) -> bool {
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
        let is_unavailable = |t: &crate::sched::job::Task| {
            !t.runs.iter().any(|r| {
                r.phase == crate::sched::job::Phase::Running
                    && r.percent >= 100
                    && self.workers.get(&r.worker).is_some_and(|w| w.is_current(now))
            })
        };
        let others =
            step.tasks.iter().enumerate().filter(|(i, t)| *i != name.index as usize && is_unavailable(t)).count();
        others < may_miss
    }
}
