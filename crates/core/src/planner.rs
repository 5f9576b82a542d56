//! Plans maintenance waves and moves.
//!
//! A plan is a function of the fleet document, the observations of an entry, the configuration and the time. The
//! planner keeps no state, so a successor goes on from the document.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::config::{Config, Pool};
use crate::draft::Draft;
use crate::fleet::{ConfigBasis, DrainCause, DrainPermit, Fleet, FleetCommand, Vm, VmPlace, VmState};
use crate::ids::{DataCentreId, Incarnation, OperatorId, PoolId, RackId, VmId};
use crate::map::Set;
use crate::moves::{self, PoolDemand};
use crate::units::{Millis, WallTime};
use crate::wave_plan;

/// Operator name under which the planner starts and stops waves.
pub const PLANNER: &str = "planner";

/// State of a VM in the platform's VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The platform runs the VM.
    Live,
    /// The platform is about to remove the VM.
    Leaving,
}

/// An item of the VM list, which lags behind the state of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// Id of the VM.
    pub vm: VmId,
    /// Address of the VM's worker.
    pub address: SmolStr,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Rack of the VM.
    pub rack: RackId,
    /// State of the VM on the platform.
    pub state: ListedState,
}

/// Reachability of a VM's worker, as the entries observe it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmReport {
    /// The worker answers.
    Up {
        /// Time since when it has answered.
        since: WallTime,
        /// Incarnation of the worker.
        incarnation: Incarnation,
        /// Whether the worker accepts no new work.
        draining: bool,
        /// Number of running tasks.
        tasks: u32,
    },
    /// No entry can reach the worker.
    Down {
        /// Time since when it has been unreachable.
        since: WallTime,
    },
}

/// An entry's observations of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observations {
    /// The platform's VM list.
    pub list: Vec<ListedVm>,
    /// Reports by VM. A VM without a report counts as unavailable but isn't marked failed.
    pub reports: BTreeMap<VmId, VmReport>,
    /// Smoothed demand by pool.
    pub demand: BTreeMap<PoolId, PoolDemand>,
}

/// Settings of the planner, and switches that turn off parts of it for comparisons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Whether spare VMs are lent.
    pub lend_spares: bool,
    /// Whether a demand gap must last for `min_gap_duration` and pools have a cooldown between moves.
    pub hysteresis: bool,
    /// Whether the batches of a wave may grow beyond one VM per pool.
    pub grow_waves: bool,
    /// Period within which every VM is maintained once.
    pub maintenance_period: Millis,
    /// Time by which maintenance finishes before the end of the period, as a reserve for stopped waves.
    pub maintenance_lead: Millis,
    /// Time without an answer after which a VM is marked failed.
    pub fail_after: Millis,
    /// Time without an answer after which a rebooting VM is marked failed.
    pub reboot_timeout: Millis,
    /// Time for which a VM must answer after it came up before it returns to service or is marked recovered.
    pub min_uptime: Millis,
    /// Time without an answer after which a failed VM that isn't listed is removed.
    pub remove_after: Millis,
    /// Minimum time between moves of a pool.
    pub move_cooldown: Millis,
    /// Time for which a shortage or surplus of VMs must last before VMs are moved.
    pub min_gap_duration: Millis,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            lend_spares: true,
            hysteresis: true,
            grow_waves: true,
            maintenance_period: Millis::from_secs(42 * 86_400),
            maintenance_lead: Millis::from_secs(86_400),
            fail_after: Millis::from_secs(10),
            reboot_timeout: Millis::from_secs(900),
            min_uptime: Millis::from_secs(10),
            remove_after: Millis::from_secs(86_400),
            move_cooldown: Millis::from_secs(300),
            min_gap_duration: Millis::from_secs(60),
        }
    }
}

/// Plans with the default policy. The document accepts the commands in the order returned.
#[must_use]
pub fn plan(fleet: &Fleet, observations: &Observations, config: &Config, now: WallTime) -> Vec<FleetCommand> {
    plan_with(&Policy::default(), fleet, observations, config, now)
}

/// Plans with a given policy. The document accepts the commands in the order returned.
///
/// The plan is empty while most VMs are unreachable, because then the observer itself is probably cut off.
///
/// # Panics
///
/// Never: [`PLANNER`] is a valid name.
#[must_use]
pub fn plan_with(
    policy: &Policy,
    fleet: &Fleet,
    observations: &Observations,
    config: &Config,
    now: WallTime,
) -> Vec<FleetCommand> {
    if is_observer_isolated(observations) {
        return Vec::new();
    }
    let by = OperatorId::new(PLANNER).expect("the planner's name is valid");
    let mut draft = Draft::new(fleet);
    plan_registrations(&mut draft, observations, config, now);
    for (id, vm) in fleet.vms() {
        if let Some(command) = plan_vm(id, vm, observations, config, policy, now) {
            add_vm_command(&mut draft, id, vm, command, config, now);
        }
    }
    wave_plan::stop_failing_wave(&mut draft, &by);
    assume_unavailable(&mut draft, observations, now);
    moves::plan_moves(&mut draft, observations, config, policy, now);
    wave_plan::plan_wave(&mut draft, config, policy, &by, now);
    draft.into_commands()
}

/// Whether the observer itself is probably cut off: more than half of the VMs with a report are unreachable.
///
/// A planner that acted on such observations would mark most of the fleet as failed. The outage of one data centre
/// doesn't count as such while that data centre has at most half of the VMs with a report.
fn is_observer_isolated(observations: &Observations) -> bool {
    let down = observations.reports.values().filter(|r| matches!(r, VmReport::Down { .. })).count();
    down * 2 > observations.reports.len()
}

/// Adds the next command for a VM. If the document rejects a move, which a deadline window may forbid, the VM returns
/// to its pool.
fn add_vm_command(draft: &mut Draft, id: &VmId, vm: &Vm, command: FleetCommand, config: &Config, now: WallTime) {
    let is_move = matches!(command, FleetCommand::Move { .. });
    // With an outdated configuration, the rejection says nothing about the window; another planner handles the move.
    let is_current = config.revision >= draft.fleet().config_revision();
    if !draft.add_for(id, command) && is_move && is_current {
        draft.add_for(id, FleetCommand::Return { vm: id.clone(), expect: vm.version, at: now });
    }
}

/// Registers the listed VMs that answer.
///
/// A list that shows two VMs at one address is in transition and doesn't tell which of them is there, so neither is
/// registered.
fn plan_registrations(draft: &mut Draft, observations: &Observations, config: &Config, now: WallTime) {
    let mut by_address: BTreeMap<&str, u32> = BTreeMap::new();
    for listed in &observations.list {
        *by_address.entry(&listed.address).or_default() += 1;
    }
    for listed in observations.list.iter().filter(|l| l.state == ListedState::Live && by_address[&*l.address] == 1) {
        let Some(VmReport::Up { incarnation, .. }) = observations.reports.get(&listed.vm) else { continue };
        let is_known = |vm: &Vm| {
            let place = &vm.place;
            (&place.address, &place.data_centre, &place.rack, &place.incarnation)
                == (&listed.address, &listed.data_centre, &listed.rack, incarnation)
        };
        // The document searches all addresses for each registration, which is too slow for every VM in every plan.
        if draft.fleet().vm(&listed.vm).is_some_and(is_known) {
            continue;
        }
        let place = VmPlace {
            address: listed.address.clone(),
            data_centre: listed.data_centre.clone(),
            rack: listed.rack.clone(),
            incarnation: *incarnation,
        };
        let at_address = |fleet: &Fleet| {
            fleet.vms().find(|(_, v)| v.place.address == listed.address).map(|(id, v)| (id.clone(), v.clone()))
        };
        let by_id = draft.fleet().vm(&listed.vm).map(|vm| (listed.vm.clone(), vm.clone()));
        let record = by_id.or_else(|| at_address(draft.fleet()));
        let Some(pool) =
            record.as_ref().map(|(_, vm)| vm.pool.clone()).or_else(|| choose_initial_pool(draft.fleet(), config))
        else {
            continue;
        };
        let (key, expect) = record.map_or_else(|| (listed.vm.clone(), None), |(id, vm)| (id, Some(vm.version)));
        draft.add_for(&key, FleetCommand::Register { vm: listed.vm.clone(), expect, place, pool, at: now });
    }
}

/// Chooses the pool of a new VM: the one that lacks most VMs to its baseline, or else a spare pool.
fn choose_initial_pool(fleet: &Fleet, config: &Config) -> Option<PoolId> {
    let missing = |id: &PoolId, pool: &Pool| pool.baseline.saturating_sub(fleet.availability(id).size);
    let furthest = config
        .pools
        .iter()
        .map(|(id, pool)| (missing(id, &pool.value), id))
        .filter(|(missing, _)| *missing > 0)
        .max_by_key(|(missing, id)| (*missing, std::cmp::Reverse(*id)));
    let spare = || config.pools.iter().find(|(_, p)| p.value.spare).map(|(id, _)| id);
    furthest.map(|(_, id)| id).or_else(spare).cloned()
}

/// Determines the next command for a VM from its recorded state and the report about it.
fn plan_vm(
    id: &VmId,
    vm: &Vm,
    observations: &Observations,
    config: &Config,
    policy: &Policy,
    now: WallTime,
) -> Option<FleetCommand> {
    let (expect, vm_id) = (vm.version, id.clone());
    match observations.reports.get(id)? {
        VmReport::Down { since } => plan_unreachable(id, vm, now.since(*since), observations, policy, now),
        // A report about another incarnation than the recorded one is ignored until that incarnation is registered.
        VmReport::Up { incarnation, .. } if *incarnation != vm.place.incarnation => None,
        VmReport::Up { since, draining, tasks, .. } => {
            let is_stable = now.since(*since) >= policy.min_uptime && !*draining;
            match vm.state {
                VmState::Failed if is_stable => Some(FleetCommand::MarkRecovered { vm: vm_id, expect }),
                VmState::Draining if *draining && *tasks == 0 => Some(FleetCommand::MarkDrained { vm: vm_id, expect }),
                VmState::Drained => plan_drained(id, vm, *draining, config, now),
                VmState::Rebooting if vm.has_rebooted() && is_stable => {
                    Some(FleetCommand::Return { vm: vm_id, expect, at: now })
                }
                _ => None,
            }
        }
    }
}

fn plan_unreachable(
    id: &VmId,
    vm: &Vm,
    down: Millis,
    observations: &Observations,
    policy: &Policy,
    now: WallTime,
) -> Option<FleetCommand> {
    let (expect, vm_id) = (vm.version, id.clone());
    let limit = if vm.state == VmState::Rebooting { policy.reboot_timeout } else { policy.fail_after };
    match vm.state {
        VmState::Failed => {
            let listed = observations.list.iter().any(|l| l.vm == *id);
            (!listed && down >= policy.remove_after).then_some(FleetCommand::Remove { vm: vm_id, expect })
        }
        _ => (down >= limit).then_some(FleetCommand::MarkFailed { vm: vm_id, expect, at: now }),
    }
}

fn plan_drained(id: &VmId, vm: &Vm, draining: bool, config: &Config, now: WallTime) -> Option<FleetCommand> {
    let (expect, vm_id) = (vm.version, id.clone());
    match &vm.permit {
        Some(DrainPermit { cause: DrainCause::Wave { .. }, .. }) => {
            Some(FleetCommand::MarkRebooting { vm: vm_id, expect })
        }
        Some(DrainPermit { cause: DrainCause::Move { to }, .. }) if *to == vm.pool => {
            (!draining).then_some(FleetCommand::Return { vm: vm_id, expect, at: now })
        }
        Some(DrainPermit { cause: DrainCause::Move { to }, .. }) => {
            let basis = ConfigBasis::from_config(config, [&vm.pool, to]);
            Some(FleetCommand::Move { vm: vm_id, expect, to: to.clone(), basis, at: now })
        }
        // The operator who requested the drain decides when it ends.
        Some(DrainPermit { cause: DrainCause::Operator { .. }, .. }) | None => None,
    }
}

/// Counts serving VMs that are unreachable, have no report or are leaving as unavailable for the rest of the plan.
fn assume_unavailable(draft: &mut Draft, observations: &Observations, now: WallTime) {
    let leaving: Set<&VmId> =
        observations.list.iter().filter(|l| l.state == ListedState::Leaving).map(|l| &l.vm).collect();
    let unavailable: Vec<_> = draft
        .fleet()
        .vms()
        .filter(|(id, vm)| vm.state == VmState::Serving && !draft.is_touched(id))
        .filter(|(id, _)| !matches!(observations.reports.get(*id), Some(VmReport::Up { .. })) || leaving.contains(id))
        .map(|(id, vm)| (id.clone(), vm.version))
        .collect();
    for (vm, expect) in unavailable {
        draft.assume(&vm, &FleetCommand::MarkFailed { vm: vm.clone(), expect, at: now });
    }
}
