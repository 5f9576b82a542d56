//! Plans the start, the drains and the end of maintenance waves.

use std::collections::BTreeMap;

use crate::config::Config;
use crate::draft::Draft;
use crate::fleet::{Availability, ConfigBasis, DrainCause, Fleet, FleetCommand, Vm, VmState, VmVersion};
use crate::ids::{OperatorId, PoolId, VmId};
use crate::planner::Policy;
use crate::units::{Millis, WallTime};
use crate::wave::{FailureDomain, INITIAL_BATCH_SIZE, Phase, Wave, WaveId};

/// A wave starts only when as many VMs are due as become due in this time, so that there is no series of small waves.
const MIN_WAVE_SPAN: Millis = Millis::from_secs(3_600);

/// Number of VMs that must be maintained now so that an even pace maintains each one a lead time before the end of its
/// period.
///
/// `oldest_first` holds the times of last maintenance in ascending order. At the even pace, all VMs up to any position
/// of the list must be done before the deadline of the VM at that position; the largest excess over all positions is
/// due now. For 32,000 VMs and a period of 6 weeks less one day, the pace is 32.5 VMs an hour.
#[must_use]
pub fn count_due(oldest_first: &[WallTime], total: usize, policy: &Policy, now: WallTime) -> usize {
    let cycle = maintenance_cycle(policy);
    let excess = oldest_first.iter().enumerate().map(|(i, maintained)| {
        let remaining = (*maintained + cycle).since(now);
        let deferrable = (total as u128 * u128::from(remaining.0)).div_ceil(u128::from(cycle.0));
        (i + 1).saturating_sub(usize::try_from(deferrable).unwrap_or(usize::MAX))
    });
    excess.max().unwrap_or(0)
}

/// Time in which the planner maintains each VM of the fleet once: the period less the lead time.
///
/// The pace is computed from the same time as the deadlines. At the pace of the whole period, VMs that were just
/// maintained would be due again at once, in the proportion of the lead time to the period.
fn maintenance_cycle(policy: &Policy) -> Millis {
    policy.maintenance_period.saturating_sub(policy.maintenance_lead).max(Millis(1))
}

/// Stops a running wave with correlated failures.
pub(crate) fn stop_failing_wave(draft: &mut Draft, by: &OperatorId) {
    let Some(wave) = draft.fleet().wave().filter(|w| w.phase == Phase::Running) else { return };
    if let Some(reason) = wave.find_stop_reason() {
        let command = FleetCommand::StopWave { wave: wave.id, reason, by: by.clone() };
        draft.add(command);
    }
}

/// Starts a wave when enough VMs are due, grants its drains, and finishes it when none can be granted and none is open.
pub(crate) fn plan_wave(draft: &mut Draft, config: &Config, policy: &Policy, by: &OperatorId, now: WallTime) {
    match draft.fleet().wave().cloned() {
        Some(wave) if wave.phase == Phase::Running => grant_drains(draft, &wave, config, policy, now),
        Some(Wave { phase: Phase::Paused { .. } | Phase::Stopped { .. }, .. }) => {}
        Some(_) | None => start_wave(draft, config, policy, by, now),
    }
}

/// Pools whose VMs may drain for maintenance now, each with the number of VMs that may become unavailable: configured
/// pools outside deadline windows, with room in the availability budget.
///
/// Deadline windows forbid only moves. Maintenance avoids them too, because it would take capacity from the pool when
/// that is needed most.
fn find_drainable_pools(fleet: &Fleet, config: &Config, now: WallTime) -> BTreeMap<PoolId, u32> {
    let mut counts: BTreeMap<&PoolId, (u32, u32)> = BTreeMap::new();
    for (_, vm) in fleet.vms().filter(|(_, vm)| !vm.is_arriving()) {
        let (size, available) = counts.entry(&vm.pool).or_default();
        *size += 1;
        *available += u32::from(vm.state == VmState::Serving);
    }
    let open = counts.into_iter().filter_map(|(id, (size, available))| {
        let pool = &config.pools.get(id)?.value;
        let in_window = pool.deadline_windows.iter().any(|w| w.from <= now && now < w.to);
        let slack = Availability { size, available }.slack(pool.min_available);
        (!in_window && slack > 0).then(|| (id.clone(), slack))
    });
    open.collect()
}

fn start_wave(draft: &mut Draft, config: &Config, policy: &Policy, by: &OperatorId, now: WallTime) {
    let fleet = draft.fleet();
    let pools = find_drainable_pools(fleet, config, now);
    let can_drain = |vm: &Vm| vm.state == VmState::Serving && pools.contains_key(&vm.pool);
    let mut oldest_first: Vec<_> =
        fleet.vms().filter(|(_, vm)| can_drain(vm)).map(|(_, vm)| vm.maintained_at).collect();
    oldest_first.sort_unstable();
    let total = fleet.vms().count();
    let due = count_due(&oldest_first, total, policy, now);
    let least = total as u128 * u128::from(MIN_WAVE_SPAN.0) / u128::from(maintenance_cycle(policy).0);
    if due == 0 || (due as u128) < least {
        return;
    }
    let Some(cutoff) = oldest_first.get(due - 1).copied() else { return };
    let most = u32::try_from(due).unwrap_or(u32::MAX);
    draft.add(FleetCommand::StartWave { replaces: None, cutoff, most, by: by.clone(), at: now });
}

/// VMs to drain by pool and rack, with their last maintenance and their record versions.
type Candidates = BTreeMap<PoolId, BTreeMap<FailureDomain, Vec<(WallTime, VmId, VmVersion)>>>;

fn grant_drains(draft: &mut Draft, wave: &Wave, config: &Config, policy: &Policy, now: WallTime) {
    let pools = find_drainable_pools(draft.fleet(), config, now);
    let mut candidates = Candidates::new();
    for (id, vm) in draft.fleet().vms() {
        let is_due = vm.maintained_at <= wave.cutoff && vm.state == VmState::Serving && !draft.is_touched(id);
        if is_due && pools.contains_key(&vm.pool) {
            let racks = candidates.entry(vm.pool.clone()).or_default();
            racks.entry(vm.domain()).or_default().push((vm.maintained_at, id.clone(), vm.version));
        }
    }
    for (pool, racks) in candidates {
        grant_in_pool(draft, wave, &pool, racks, config, policy, now);
    }
    // VMs that are still due but can't drain now are left to a later wave.
    let is_idle = draft.fleet().wave().is_some_and(|w| w.open() == 0);
    if is_idle {
        draft.add(FleetCommand::FinishWave { wave: wave.id, at: now });
    }
}

/// Grants drains in one rack of a pool, starting with the VMs whose last maintenance is longest ago, until the batch or
/// the budget is used up.
///
/// Racks are ordered by data centre, so that a wave finishes the racks of one data centre before it starts the next.
fn grant_in_pool(
    draft: &mut Draft,
    wave: &Wave,
    pool: &PoolId,
    mut racks: BTreeMap<FailureDomain, Vec<(WallTime, VmId, VmVersion)>>,
    config: &Config,
    policy: &Policy,
    now: WallTime,
) {
    let open = draft.fleet().vms().find(|(_, vm)| vm.pool == *pool && vm.wave().is_some()).map(|(_, vm)| vm.domain());
    let Some(domain) = open.or_else(|| racks.keys().next().cloned()) else { return };
    let mut vms = racks.remove(&domain).unwrap_or_default();
    vms.sort_unstable();
    for (_, vm, expect) in vms {
        let has_open =
            draft.fleet().wave().and_then(|w| w.batches.get(pool)).is_some_and(|b| b.open >= INITIAL_BATCH_SIZE);
        if has_open && !policy.grow_waves {
            return;
        }
        if !grant_drain(draft, wave.id, pool, vm, expect, config, now) {
            return;
        }
    }
}

/// Adds the command for one drain if the fleet document accepts it, and returns whether it does.
fn grant_drain(
    draft: &mut Draft,
    wave: WaveId,
    pool: &PoolId,
    vm: VmId,
    expect: VmVersion,
    config: &Config,
    now: WallTime,
) -> bool {
    let basis = ConfigBasis::from_config(config, [pool]);
    let key = vm.clone();
    draft.add_for(&key, FleetCommand::GrantDrain { vm, expect, cause: DrainCause::Wave { wave }, basis, at: now })
}
