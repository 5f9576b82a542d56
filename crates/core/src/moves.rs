//! Plans moves of VMs between pools according to measured demand.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::Config;
use crate::draft::Draft;
use crate::fleet::{ConfigBasis, DrainCause, Fleet, FleetCommand, Vm, VmState};
use crate::ids::{PoolId, VmId};
use crate::planner::{Observations, Policy};
use crate::units::{Millis, WallTime};

/// Time constant of the exponential smoothing. Queues spike for some seconds, and a move takes longer than that.
pub const SMOOTHING_TIME_CONSTANT: Millis = Millis::from_secs(60);

/// Slot utilisation from which a pool is short of VMs.
pub const SHORTAGE_UTILISATION: f64 = 0.85;

/// Slot utilisation up to which a pool is idle and can donate a VM.
pub const IDLE_UTILISATION: f64 = 0.4;

/// Slot utilisation that a short pool should have after it received the VMs that it lacks.
pub const TARGET_UTILISATION: f64 = 0.65;

/// Smoothed expected wait of an urgent job from which a pool is short of VMs: half of the start target of urgent work
/// (1.1 s).
pub const SHORTAGE_WAIT: Millis = Millis(550);

/// Demand of a pool, measured at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandSample {
    /// Number of busy slots.
    pub busy_slots: u32,
    /// Number of slots of the serving VMs.
    pub slots: u32,
    /// Expected wait of an urgent job that arrives now.
    pub expected_wait: Millis,
}

/// Smoothed demand of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolDemand {
    /// Smoothed number of busy slots.
    pub busy_slots: f64,
    /// Number of slots of the serving VMs.
    pub slots: u32,
    /// Smoothed expected wait of an urgent job, in milliseconds.
    pub expected_wait_ms: f64,
    /// Start of the present shortage of VMs; absent while there is none.
    pub shortage_since: Option<WallTime>,
    /// Time since when the pool has been idle; absent while it isn't.
    pub idle_since: Option<WallTime>,
}

impl PoolDemand {
    /// Fraction of the slots that are busy; 1 if there are no slots.
    #[must_use]
    pub fn utilisation(&self) -> f64 {
        if self.slots == 0 { 1.0 } else { self.busy_slots / f64::from(self.slots) }
    }

    /// Number of VMs that the short pool lacks, at least 1, given the number that serve.
    fn count_missing(&self, serving: u32) -> u32 {
        if self.slots == 0 || serving == 0 {
            return 1;
        }
        let slots_per_vm = f64::from(self.slots) / f64::from(serving);
        let required = (self.busy_slots / (slots_per_vm * TARGET_UTILISATION)).ceil();
        // The value is small and not negative; a cast from float saturates otherwise.
        (required as u32).saturating_sub(serving).max(1)
    }
}

/// Smooths the measured demand of a pool. It is soft state of an entry and isn't stored.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    demand: PoolDemand,
    last: Option<WallTime>,
}

impl DemandMeter {
    /// Adds a sample to the smoothed demand.
    pub fn observe(&mut self, sample: DemandSample, now: WallTime) {
        let weight =
            self.last.map_or(1.0, |last| 1.0 - (-(now.since(last).0 as f64) / SMOOTHING_TIME_CONSTANT.0 as f64).exp());
        self.last = Some(now);
        let demand = &mut self.demand;
        demand.busy_slots += weight * (f64::from(sample.busy_slots) - demand.busy_slots);
        demand.expected_wait_ms += weight * (sample.expected_wait.0 as f64 - demand.expected_wait_ms);
        demand.slots = sample.slots;
        let is_short =
            demand.utilisation() >= SHORTAGE_UTILISATION || demand.expected_wait_ms >= SHORTAGE_WAIT.0 as f64;
        let is_idle = !is_short && demand.utilisation() <= IDLE_UTILISATION;
        demand.shortage_since = is_short.then(|| demand.shortage_since.unwrap_or(now));
        demand.idle_since = is_idle.then(|| demand.idle_since.unwrap_or(now));
    }

    /// Returns the smoothed demand.
    #[must_use]
    pub const fn demand(&self) -> PoolDemand {
        self.demand
    }
}

/// Plans the drains for moves: idle pools return VMs lent to them, and short pools receive VMs.
pub(crate) fn plan_moves(
    draft: &mut Draft,
    observations: &Observations,
    config: &Config,
    policy: &Policy,
    now: WallTime,
) {
    let planner = MovePlanner { observations, config, policy, now };
    let short_pools = planner.find_short(draft.fleet());
    planner.return_lent_vms(draft, &short_pools);
    for pool in short_pools {
        planner.relieve_shortage(draft, &pool);
    }
}

struct MovePlanner<'a> {
    observations: &'a Observations,
    config: &'a Config,
    policy: &'a Policy,
    now: WallTime,
}

impl MovePlanner<'_> {
    /// Pools, except spare ones, whose shortage has lasted long enough and whose cooldown is over; longest expected
    /// wait first.
    fn find_short(&self, fleet: &Fleet) -> Vec<PoolId> {
        let lasted = |pool: &PoolId| self.has_lasted(self.observations.demand.get(pool).and_then(|d| d.shortage_since));
        let mut short: Vec<_> = self.config.pools.iter().filter(|(_, p)| !p.value.spare).map(|(id, _)| id).collect();
        short.retain(|pool| lasted(pool) && self.is_cooldown_over(fleet, pool));
        let wait = |pool: &PoolId| self.observations.demand.get(pool).map_or(0.0, |d| d.expected_wait_ms);
        short.sort_by(|a, b| wait(b).total_cmp(&wait(a)));
        short.into_iter().cloned().collect()
    }

    fn has_lasted(&self, since: Option<WallTime>) -> bool {
        let min_duration = if self.policy.hysteresis { self.policy.min_gap_duration } else { Millis(0) };
        since.is_some_and(|since| self.now.since(since) >= min_duration)
    }

    /// Whether the cooldown after the last move of a pool is over. Spare pools lend to many pools and have no cooldown.
    fn is_cooldown_over(&self, fleet: &Fleet, pool: &PoolId) -> bool {
        let is_spare = self.config.pools.get(pool).is_some_and(|p| p.value.spare);
        let recent = |at: WallTime| self.now.since(at) < self.policy.move_cooldown;
        is_spare || !self.policy.hysteresis || !fleet.moved_at(pool).is_some_and(recent)
    }

    fn is_idle(&self, fleet: &Fleet, pool: &PoolId) -> bool {
        let since = self.observations.demand.get(pool).and_then(|d| d.idle_since);
        self.has_lasted(since) && self.is_cooldown_over(fleet, pool)
    }

    /// Starts the return of one lent VM from each idle pool.
    fn return_lent_vms(&self, draft: &mut Draft, short_pools: &[PoolId]) {
        let fleet = draft.fleet();
        let lent = fleet.vms().filter_map(|(id, vm)| Some((id, vm, vm.lent_from.as_ref()?)));
        let mut chosen = BTreeMap::new();
        for (id, vm, lender) in lent.filter(|(_, vm, _)| vm.state == VmState::Serving) {
            if !short_pools.contains(&vm.pool) && self.is_idle(fleet, &vm.pool) && !is_donating(fleet, &vm.pool) {
                chosen.entry(vm.pool.clone()).or_insert_with(|| (id.clone(), lender.clone()));
            }
        }
        for (vm, lender) in chosen.into_values() {
            self.grant_drain(draft, &vm, &lender);
        }
    }

    /// Starts moves to a short pool: from spare pools as many as it lacks VMs, or else one from an idle pool.
    fn relieve_shortage(&self, draft: &mut Draft, pool: &PoolId) {
        let inbound = draft.fleet().vms().filter(|(_, vm)| is_moving_to(vm, pool)).count();
        let serving = draft.fleet().availability(pool).available;
        let missing = self.observations.demand.get(pool).map_or(0, |d| d.count_missing(serving)) as usize;
        let mut outstanding = missing.saturating_sub(inbound);
        if self.policy.lend_spares {
            for vm in self.find_vms_to_donate(draft.fleet(), pool, |donor| self.is_spare(donor)) {
                if outstanding == 0 {
                    return;
                }
                outstanding -= usize::from(self.grant_drain(draft, &vm, pool));
            }
        }
        // Pools that aren't spare donate one VM at a time, and only if no spare VM could be granted and no VM is moving
        // to the short pool already.
        if outstanding == 0 || outstanding < missing {
            return;
        }
        let fleet = draft.fleet();
        let is_donor =
            |donor: &PoolId| !self.is_spare(donor) && self.is_idle(fleet, donor) && !is_donating(fleet, donor);
        for vm in self.find_vms_to_donate(fleet, pool, is_donor) {
            if self.grant_drain(draft, &vm, pool) {
                return;
            }
        }
    }

    fn is_spare(&self, pool: &PoolId) -> bool {
        self.config.pools.get(pool).is_some_and(|p| p.value.spare)
    }

    /// Serving VMs of donor pools, ordered by the utilisation of their pools, then by the number of VMs that the
    /// receiving pool has in their racks.
    fn find_vms_to_donate(&self, fleet: &Fleet, to: &PoolId, is_donor: impl Fn(&PoolId) -> bool) -> Vec<VmId> {
        let donors: BTreeSet<_> = self.config.pools.keys().filter(|p| *p != to && is_donor(p)).collect();
        let mut racks = BTreeMap::new();
        for (_, vm) in fleet.vms().filter(|(_, vm)| vm.pool == *to) {
            *racks.entry(vm.domain()).or_insert(0u32) += 1;
        }
        let utilisation = |pool: &PoolId| self.observations.demand.get(pool).map_or(0.0, PoolDemand::utilisation);
        let mut vms: Vec<_> =
            fleet.vms().filter(|(_, vm)| vm.state == VmState::Serving && donors.contains(&vm.pool)).collect();
        let rack = |vm: &Vm| racks.get(&vm.domain()).copied().unwrap_or(0);
        vms.sort_by(|(_, a), (_, b)| utilisation(&a.pool).total_cmp(&utilisation(&b.pool)).then(rack(a).cmp(&rack(b))));
        vms.into_iter().map(|(id, _)| id.clone()).collect()
    }

    fn grant_drain(&self, draft: &mut Draft, vm: &VmId, to: &PoolId) -> bool {
        let Some(record) = draft.fleet().vm(vm) else { return false };
        let basis = ConfigBasis::from_config(self.config, [&record.pool, to]);
        // A VM can't move to a pool that isn't configured.
        if !basis.pools.contains_key(to) {
            return false;
        }
        let cause = DrainCause::Move { to: to.clone() };
        let expect = record.version;
        draft.add_for(vm, FleetCommand::GrantDrain { vm: vm.clone(), expect, cause, basis, at: self.now })
    }
}

fn is_moving_to(vm: &Vm, pool: &PoolId) -> bool {
    matches!(vm.permit.as_ref().map(|p| &p.cause), Some(DrainCause::Move { to }) if to == pool)
}

fn is_donating(fleet: &Fleet, pool: &PoolId) -> bool {
    fleet.vms().any(|(_, vm)| {
        vm.pool == *pool
            && !vm.is_arriving()
            && matches!(vm.permit.as_ref().map(|p| &p.cause), Some(DrainCause::Move { .. }))
    })
}
