//! Sizes of pools: which VM moves to which pool.
//!
//! An idle VM in a pool is paid for, and a pool without enough capacity makes its jobs late. A move costs roughly as
//! much as a VM does in a second, and the VM is unavailable while it migrates.

use std::collections::VecDeque;

use crate::map::{Map, Set};
use crate::sched::graph::{PoolName, Resources, Step, VmKey, WorkerKey};
use crate::sched::job::Lateness;
use crate::sched::maintenance::{Vm, VmAnswer, VmState};
use crate::sched::scheduler::Scheduler;
use crate::sched::worker::Worker;
use crate::units::{Millis, MonoTime};

/// Time in which a pool should process its waiting tasks.
const BACKLOG_HORIZON: Millis = Millis(700);

/// Time for which a pool keeps its last required size, so that VMs don't move in short gaps between jobs.
const DEMAND_HOLD: Millis = Millis(1_500);

/// Part of an equal share of all VMs that a pool keeps although it needs fewer, in percent. It gives capacity to the
/// first jobs of a peak while more VMs migrate.
const STANDBY_FLOOR_PERCENT: u64 = 70;

/// Time for which a VM must be idle before it goes to standby, so that the idle time is worth about as much as the move
/// to standby and the move back.
const IDLE_BEFORE_STANDBY: Millis = Millis(1_500);

/// Time after an order to move, in addition to the migration, for which the listed pool and state of the VM are
/// ignored, as the list may not show the move yet.
const MOVE_LIST_LAG: Millis = Millis(1_000);

/// Part of all VMs that may migrate at the same time, in percent: a peak in one pool needs up to the capacity of two
/// others.
const MOVING_PERCENT: usize = 50;

/// Maximum number of VMs by which a pool grows at once for lasting tasks without a worker, in percent of all VMs.
const GROWTH_PERCENT: u64 = 6;

/// Part of the platform's rate limit for orders that moves may use, in percent; maintenance waves need the rest.
const ORDER_PERCENT: usize = 80;

/// Window of the platform's rate limit for orders.
const ORDER_WINDOW: Millis = Millis(1_000);

/// A VM to move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// VM to move.
    pub vm: VmKey,
    /// Its worker, which has no runs.
    pub worker: Option<WorkerKey>,
    /// Pool to which it moves: one that needs it, or standby.
    pub pool: PoolName,
    /// VMs that the pool needs, for the log. For a move to standby, the size at or below which the pool that the VM
    /// leaves sends no VM to standby.
    pub need: u64,
    /// VMs that the pool has or that are moving to it, for the log. For a move to standby, those of the pool that the
    /// VM leaves.
    pub have: u64,
}

/// Required size of a pool in VMs, held for [`DEMAND_HOLD`].
#[derive(Clone, Copy, Debug)]
struct Demand {
    need: u64,
    needed_at: MonoTime,
}

/// A VM that was ordered to move.
#[derive(Clone, Debug)]
struct Moving {
    pool: PoolName,
    since: MonoTime,
}

/// State that is kept between decisions about the sizes of pools.
#[derive(Clone, Debug, Default)]
pub struct BalanceState {
    demands: Map<PoolName, Demand>,
    moving: Map<VmKey, Moving>,
    ordered: VecDeque<MonoTime>,
    idle_since: Map<WorkerKey, MonoTime>,
    /// VMs that must stay where they are, while earlier schedulers may have given orders about them; `None` after that.
    untouchable: Option<Set<VmKey>>,
}

impl BalanceState {
    /// Sets the VMs that must stay where they are because earlier schedulers may have given orders about them. Meanwhile no
    /// other VM moves either before its worker has answered, as its runs are not known.
    pub fn set_untouchable(&mut self, vms: Option<Set<VmKey>>) {
        self.untouchable = vms;
    }

    fn may_touch(&self, vm: &Vm, worker: Option<&Worker>) -> bool {
        let Some(untouchable) = &self.untouchable else { return true };
        !untouchable.contains(&vm.key) && worker.is_none_or(|w| w.last_answer.is_some())
    }

    fn record_order(&mut self, now: MonoTime, vm: &VmKey, pool: &PoolName) {
        self.moving.insert(vm.clone(), Moving { pool: pool.clone(), since: now });
        self.ordered.push_back(now);
    }
}

impl Scheduler {
    /// Decides which VMs move now, and cordons their workers.
    pub fn plan_moves(&mut self, now: MonoTime, balance: &mut BalanceState, listed: &[Vm]) -> Vec<Move> {
        let move_time = self.bounds.migration + MOVE_LIST_LAG;
        balance.moving.retain(|_, m| now.since(m.since) < move_time);
        balance.ordered.retain(|at| now.since(*at) < ORDER_WINDOW);
        let max_moving = (listed.len() * MOVING_PERCENT).div_ceil(100);
        let max_ordered = self.bounds.vm_orders_per_sec * ORDER_PERCENT / 100;
        self.record_idle_workers(now, balance);
        let largest = listed.iter().fold(Resources::default(), |largest, vm| largest.max(&vm.capacity));
        if largest.cpu == 0 {
            return Vec::new();
        }
        let mut have: Map<PoolName, u64> = Map::default();
        for vm in listed {
            let pool = balance.moving.get(&vm.key).map_or(&vm.pool, |m| &m.pool);
            if self.is_usable(vm) || balance.moving.contains_key(&vm.key) {
                *have.entry(pool.clone()).or_default() += 1;
            }
        }
        let needs = self.update_needs(now, balance, &largest, &have);
        let standby = self.policy.standby.clone();
        let mut donors = self.find_donors(balance, listed, &needs, &have, standby.as_ref());
        let mut undersized: Vec<(PoolName, u64, u64)> = needs
            .iter()
            .map(|(pool, need)| (pool.clone(), need.required, have.get(pool).copied().unwrap_or(0)))
            .filter(|(pool, need, have)| need > have && Some(pool) != standby.as_ref())
            .collect();
        undersized.sort_by_key(|(pool, need, have)| (std::cmp::Reverse(need - have), pool.clone()));
        let mut moves = Vec::new();
        for (pool, need, have) in undersized {
            for _ in have..need {
                if balance.moving.len() >= max_moving || balance.ordered.len() >= max_ordered {
                    break;
                }
                let Some(at) = donors.iter().position(|(vm, _)| vm.pool != pool) else { break };
                let (vm, worker) = donors.remove(at);
                balance.record_order(now, &vm.key, &pool);
                moves.push(Move { vm: vm.key.clone(), worker, pool: pool.clone(), need, have });
            }
        }
        if let Some(standby) = standby {
            for (vm, worker) in donors {
                let left = have.entry(vm.pool.clone()).or_default();
                if *left <= needs.get(&vm.pool).map_or(0, |n| n.standby_floor) {
                    continue;
                }
                let idle =
                    worker.as_ref().and_then(|w| balance.idle_since.get(w)).map_or(Millis(0), |at| now.since(*at));
                let is_full = balance.moving.len() >= max_moving || balance.ordered.len() >= max_ordered;
                if vm.pool == standby || idle < IDLE_BEFORE_STANDBY || is_full {
                    continue;
                }
                let need = needs.get(&vm.pool).map_or(0, |n| n.standby_floor);
                let have = *left;
                *left -= 1;
                balance.record_order(now, &vm.key, &standby);
                moves.push(Move { vm: vm.key.clone(), worker, pool: standby.clone(), need, have });
            }
        }
        for planned in &moves {
            if let Some(worker) = &planned.worker {
                self.set_cordoned(worker, true);
            }
        }
        moves
    }

    /// Applies the answer to the order of a move. A refused move returns the worker to service.
    pub fn apply_move_answer(&mut self, balance: &mut BalanceState, planned: &Move, answer: VmAnswer) {
        let is_refused = !matches!(answer, VmAnswer::Accepted | VmAnswer::Unknown);
        if is_refused {
            balance.moving.remove(&planned.vm);
            if let Some(worker) = &planned.worker {
                self.set_cordoned(worker, false);
            }
        }
    }

    fn record_idle_workers(&self, now: MonoTime, balance: &mut BalanceState) {
        for worker in self.workers.values() {
            if worker.runs.is_empty() {
                balance.idle_since.entry(worker.report.key.clone()).or_insert(now);
            } else {
                balance.idle_since.remove(&worker.report.key);
            }
        }
        balance.idle_since.retain(|key, _| self.workers.contains_key(key));
    }

    /// Whether a VM gives capacity to its pool, or will once its move ends.
    fn is_usable(&self, vm: &Vm) -> bool {
        if self.evacuated.contains(&vm.data_centre) {
            return false;
        }
        let worker = vm.worker.as_ref().and_then(|w| self.workers.get(w));
        match vm.state {
            VmState::Up => worker.is_none_or(|w| !w.is_cordoned && !w.report.draining),
            VmState::Moving => true,
            VmState::Maintenance | VmState::Down => false,
        }
    }

    /// Number of lasting tasks of a pool that have no worker and fit on the largest VM.
    fn count_waiting_lasting(&self, pool: &PoolName, largest: &Resources) -> u64 {
        let jobs = self.jobs.values().filter(|j| !j.state.is_final() && self.pool_of(&j.spec) == pool);
        let mut count = 0;
        for job in jobs {
            let is_demand = |spec: &Step| spec.lasting && spec.reserved().fits(largest);
            let lasting = job.spec.steps.iter().enumerate().filter(|(_, spec)| is_demand(spec));
            for (number, _) in lasting {
                let steps = job.occurrences.iter().filter_map(|o| o.steps.get(number));
                count += steps.flat_map(|s| &s.tasks).filter(|t| t.is_waiting()).count() as u64;
            }
        }
        count
    }

    /// Minimum number of workers for the lasting tasks of a pool, as their steps limit the tasks on one worker.
    fn min_workers(&self, pool: &PoolName, largest: &Resources) -> u64 {
        let jobs = self.jobs.values().filter(|j| !j.state.is_final() && self.pool_of(&j.spec) == pool);
        let steps = jobs.flat_map(|j| &j.spec.steps).filter(|s| s.lasting && s.reserved().fits(largest));
        steps.filter_map(|s| Some(u64::from(s.count.div_ceil(s.max_per_worker?)))).max().unwrap_or(0)
    }

    /// CPU that each pool uses or waits for, in thousandths of a core: the CPU that runs reserve on its workers, and
    /// the CPU that would process its waiting batch tasks within [`BACKLOG_HORIZON`]. Waiting lasting tasks count with
    /// the CPU that they reserve. Waiting batch tasks of jobs that exceed the share of their team or are too late to be
    /// of use are not counted, nor are tasks that fit on no VM, so no VM is added for them.
    fn pool_loads(&self, now: MonoTime, largest: &Resources) -> Map<PoolName, u64> {
        let mut loads: Map<PoolName, u64> = self.policy.queues.values().map(|q| (q.pool.clone(), 0)).collect();
        for worker in self.workers.values() {
            *loads.entry(worker.report.pool.clone()).or_default() += worker.used.cpu;
        }
        for job in self.jobs.values().filter(|j| !j.state.is_final()) {
            let mut waiting = 0;
            for (o, occurrence) in job.occurrences.iter().enumerate() {
                for (s, step) in occurrence.steps.iter().enumerate() {
                    if step.is_done() || !job.is_step_ready(o, s) {
                        continue;
                    }
                    let spec = &job.spec.steps[s];
                    let is_demand = !job.is_over_share && job.lateness(now, o) != Lateness::Useless;
                    if (!spec.lasting && !is_demand) || !spec.reserved().fits(largest) {
                        continue;
                    }
                    let count = step.tasks.iter().filter(|t| t.is_waiting()).count() as u64;
                    let work = spec.reserved().cpu * count;
                    waiting += if spec.lasting { work } else { work * spec.estimate.0 / BACKLOG_HORIZON.0 };
                }
            }
            if waiting > 0 {
                *loads.entry(self.pool_of(&job.spec).clone()).or_default() += waiting;
            }
        }
        loads
    }

    fn update_needs(
        &self,
        now: MonoTime,
        balance: &mut BalanceState,
        largest: &Resources,
        have: &Map<PoolName, u64>,
    ) -> Map<PoolName, Need> {
        let mut needs = Map::default();
        let loads = self.pool_loads(now, largest);
        let pools = loads.keys().filter(|pool| Some(*pool) != self.policy.standby.as_ref()).count().max(1) as u64;
        let total: u64 = have.values().sum();
        let standby_floor = (total * STANDBY_FLOOR_PERCENT / 100).div_ceil(pools);
        for (pool, load) in loads {
            let load = load.max(self.arrivals.cpu_of(now, &pool));
            let mut need = load.div_ceil(largest.cpu).max(self.min_workers(&pool, largest));
            let waiting = self.count_waiting_lasting(&pool, largest);
            if waiting > 0 {
                // Their steps may limit the tasks on one worker, so free capacity on the present workers may not help
                // them.
                need = need
                    .max(have.get(&pool).copied().unwrap_or(0) + waiting.min((total * GROWTH_PERCENT / 100).max(1)));
            }
            let demand = balance.demands.entry(pool.clone()).or_insert(Demand { need, needed_at: now });
            if need >= demand.need || now.since(demand.needed_at) > DEMAND_HOLD {
                *demand = Demand { need, needed_at: now };
            }
            let release_floor = demand.need + 1;
            needs.insert(pool, Need { required: need, release_floor, standby_floor: standby_floor.max(release_floor) });
        }
        needs
    }

    /// VMs that their pools can release: those on standby first, then idle ones.
    fn find_donors(
        &self,
        balance: &BalanceState,
        listed: &[Vm],
        needs: &Map<PoolName, Need>,
        have: &Map<PoolName, u64>,
        standby: Option<&PoolName>,
    ) -> Vec<(Vm, Option<WorkerKey>)> {
        let mut spare: Map<PoolName, u64> = have
            .iter()
            .map(|(pool, have)| (pool.clone(), have.saturating_sub(needs.get(pool).map_or(0, |n| n.release_floor))))
            .collect();
        let is_free = |vm: &&Vm| {
            vm.state == VmState::Up
                && !balance.moving.contains_key(&vm.key)
                && !self.evacuated.contains(&vm.data_centre)
        };
        let mut vms: Vec<&Vm> = listed.iter().filter(is_free).collect();
        vms.sort_by_key(|vm| (Some(&vm.pool) != standby, vm.key.clone()));
        let mut donors = Vec::new();
        for vm in vms {
            let is_standby = Some(&vm.pool) == standby;
            let worker = vm.worker.as_ref().and_then(|w| self.workers.get(w));
            // Room may be kept on an idle worker for the members of a gang.
            let is_idle = worker.is_some_and(|w| {
                w.runs.is_empty() && !w.is_cordoned && !w.report.draining && !self.has_reservation(&w.report.key)
            });
            if (!is_standby && !is_idle) || !balance.may_touch(vm, worker) {
                continue;
            }
            let left = spare.entry(vm.pool.clone()).or_default();
            if !is_standby {
                if *left == 0 {
                    continue;
                }
                *left -= 1;
            }
            donors.push((vm.clone(), worker.map(|w| w.report.key.clone())));
        }
        donors
    }
}

/// Numbers of VMs that a pool needs.
#[derive(Clone, Copy, Debug)]
struct Need {
    /// Needed for its running and waiting tasks.
    required: u64,
    /// At or below this size it releases no VM to pools with too little capacity.
    release_floor: u64,
    /// At or below this size it sends no VM to standby.
    standby_floor: u64,
}
