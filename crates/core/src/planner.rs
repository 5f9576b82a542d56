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

/// Name under which the planner starts and stops waves.
pub const PLANNER: &str = "planner";

/// State of a VM in the VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The platform runs it.
    Live,
    /// The platform is about to take it away.
    Leaving,
}

/// A line of the VM list, which lags behind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// VM.
    pub vm: VmId,
    /// Address.
    pub address: SmolStr,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Rack.
    pub rack: RackId,
    /// State.
    pub state: ListedState,
}

/// What the entries know of a VM from its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// The worker answers.
    Up {
        /// Since when.
        since: WallTime,
        /// Run of the worker.
        incarnation: Incarnation,
        /// Whether it takes no new work.
        draining: bool,
        /// Running tasks.
        tasks: u32,
    },
    /// No entry can reach it.
    Down {
        /// Since when.
        since: WallTime,
    },
}

/// What an entry sees of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observations {
    /// VM list.
    pub list: Vec<ListedVm>,
    /// Reports by VM. A VM without a report counts as unavailable and isn't marked failed.
    pub reports: BTreeMap<VmId, Report>,
    /// Smoothed demand by pool.
    pub demand: BTreeMap<PoolId, PoolDemand>,
}

/// Limits of the planner, and parts of it that can be switched off for comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Whether spare VMs are lent.
    pub lend_spares: bool,
    /// Whether demand must last, and pools rest between moves.
    pub hysteresis: bool,
    /// Whether batches grow beyond one VM a pool.
    pub grow_waves: bool,
    /// Time within which every VM is maintained once.
    pub period: Millis,
    /// Time by which maintenance runs ahead of the period, as a reserve for stopped waves.
    pub lead: Millis,
    /// Time without an answer after which a VM is marked failed.
    pub fail_after: Millis,
    /// Same for a VM that reboots.
    pub reboot_limit: Millis,
    /// Time for which a VM that came up must answer before it returns or counts as recovered.
    pub settle: Millis,
    /// Time after which a failed VM that isn't listed is removed.
    pub remove_after: Millis,
    /// Least time between moves of a pool.
    pub between_moves: Millis,
    /// Time for which a demand gap must last.
    pub gap_lasts: Millis,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            lend_spares: true,
            hysteresis: true,
            grow_waves: true,
            period: Millis::from_secs(42 * 86_400),
            lead: Millis::from_secs(86_400),
            fail_after: Millis::from_secs(10),
            reboot_limit: Millis::from_secs(900),
            settle: Millis::from_secs(10),
            remove_after: Millis::from_secs(86_400),
            between_moves: Millis::from_secs(300),
            gap_lasts: Millis::from_secs(60),
        }
    }
}

/// Plans with the default policy. The document accepts the commands in their order.
#[must_use]
pub fn plan(fleet: &Fleet, seen: &Observations, config: &Config, now: WallTime) -> Vec<FleetCommand> {
    plan_with(&Policy::default(), fleet, seen, config, now)
}

/// Plans with a policy. The document accepts the commands in their order.
///
/// The plan is empty while most VMs can't be reached, because then the observer is likely cut off.
///
/// # Panics
///
/// Never: [`PLANNER`] is a valid name.
#[must_use]
pub fn plan_with(
    policy: &Policy,
    fleet: &Fleet,
    seen: &Observations,
    config: &Config,
    now: WallTime,
) -> Vec<FleetCommand> {
    if is_cut_off(seen) {
        return Vec::new();
    }
    let by = OperatorId::new(PLANNER).expect("the planner's name is valid");
    let mut draft = Draft::new(fleet);
    plan_registrations(&mut draft, seen, config, now);
    for (id, vm) in fleet.vms() {
        if let Some(command) = plan_vm(id, vm, seen, config, policy, now) {
            add_step(&mut draft, id, vm, command, config, now);
        }
    }
    wave_plan::stop_failing_wave(&mut draft, &by);
    assume_unreachable(&mut draft, seen, now);
    moves::plan_moves(&mut draft, seen, config, policy, now);
    wave_plan::plan_wave(&mut draft, config, policy, &by, now);
    draft.into_commands()
}

/// Whether the observer itself is likely cut off: it reaches fewer than half of the VMs.
///
/// A planner that believed its own view then would mark the fleet failed. A data centre is less than half of a group.
fn is_cut_off(seen: &Observations) -> bool {
    let down = seen.reports.values().filter(|r| matches!(r, Report::Down { .. })).count();
    down * 2 > seen.reports.len()
}

/// Adds the next step of a VM. A move that a deadline window forbids ends with the return of the VM to its pool.
fn add_step(draft: &mut Draft, id: &VmId, vm: &Vm, command: FleetCommand, config: &Config, now: WallTime) {
    let is_move = matches!(command, FleetCommand::Move { .. });
    // A planner with an old configuration leaves moves to others: the refusal says nothing about the window.
    let is_current = config.revision >= draft.fleet().config_revision();
    if !draft.add_for(id, command) && is_move && is_current {
        draft.add_for(id, FleetCommand::Return { vm: id.clone(), expect: vm.version, at: now });
    }
}

/// Registers the listed VMs that answer.
///
/// A list that shows two VMs at one address is in transition, and doesn't tell which of them is there; both wait.
fn plan_registrations(draft: &mut Draft, seen: &Observations, config: &Config, now: WallTime) {
    let mut by_address: BTreeMap<&str, u32> = BTreeMap::new();
    for listed in &seen.list {
        *by_address.entry(&listed.address).or_default() += 1;
    }
    for listed in seen.list.iter().filter(|l| l.state == ListedState::Live && by_address[&*l.address] == 1) {
        let Some(Report::Up { incarnation, .. }) = seen.reports.get(&listed.vm) else { continue };
        let is_known = |vm: &Vm| {
            let place = &vm.place;
            (&place.address, &place.data_centre, &place.rack, &place.incarnation)
                == (&listed.address, &listed.data_centre, &listed.rack, incarnation)
        };
        // The document searches all addresses for a registration, which is too much for each VM of each plan.
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
        let named = draft.fleet().vm(&listed.vm).map(|vm| (listed.vm.clone(), vm.clone()));
        let record = named.or_else(|| at_address(draft.fleet()));
        let Some(pool) =
            record.as_ref().map(|(_, vm)| vm.pool.clone()).or_else(|| find_first_pool(draft.fleet(), config))
        else {
            continue;
        };
        let (key, expect) = record.map_or_else(|| (listed.vm.clone(), None), |(id, vm)| (id, Some(vm.version)));
        draft.add_for(&key, FleetCommand::Register { vm: listed.vm.clone(), expect, place, pool, at: now });
    }
}

/// Pool of a new VM: the one furthest below its baseline, or else the spare pool.
fn find_first_pool(fleet: &Fleet, config: &Config) -> Option<PoolId> {
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

/// Next step of a VM, from its state and what is seen of it.
fn plan_vm(
    id: &VmId,
    vm: &Vm,
    seen: &Observations,
    config: &Config,
    policy: &Policy,
    now: WallTime,
) -> Option<FleetCommand> {
    let (expect, vm_id) = (vm.version, id.clone());
    match seen.reports.get(id)? {
        Report::Down { since } => plan_unreachable(id, vm, now.since(*since), seen, policy, now),
        // A report about another run than the recorded one waits for the registration of that run.
        Report::Up { incarnation, .. } if *incarnation != vm.place.incarnation => None,
        Report::Up { since, draining, tasks, .. } => {
            let settled = now.since(*since) >= policy.settle && !*draining;
            match vm.state {
                VmState::Failed if settled => Some(FleetCommand::MarkRecovered { vm: vm_id, expect }),
                VmState::Draining if *draining && *tasks == 0 => Some(FleetCommand::MarkDrained { vm: vm_id, expect }),
                VmState::Drained => plan_drained(id, vm, *draining, config, now),
                VmState::Rebooting if vm.has_rebooted() && settled => {
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
    seen: &Observations,
    policy: &Policy,
    now: WallTime,
) -> Option<FleetCommand> {
    let (expect, vm_id) = (vm.version, id.clone());
    let limit = if vm.state == VmState::Rebooting { policy.reboot_limit } else { policy.fail_after };
    match vm.state {
        VmState::Failed => {
            let listed = seen.list.iter().any(|l| l.vm == *id);
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
        // The operator who asked for the drain decides.
        Some(DrainPermit { cause: DrainCause::Operator { .. }, .. }) | None => None,
    }
}

/// Counts serving VMs that nobody can reach, that have no report or that are leaving as unavailable for the rest of
/// the plan.
fn assume_unreachable(draft: &mut Draft, seen: &Observations, now: WallTime) {
    let leaving: Set<&VmId> = seen.list.iter().filter(|l| l.state == ListedState::Leaving).map(|l| &l.vm).collect();
    let down: Vec<_> = draft
        .fleet()
        .vms()
        .filter(|(id, vm)| vm.state == VmState::Serving && !draft.is_touched(id))
        .filter(|(id, _)| !matches!(seen.reports.get(*id), Some(Report::Up { .. })) || leaving.contains(id))
        .map(|(id, vm)| (id.clone(), vm.version))
        .collect();
    for (vm, expect) in down {
        draft.assume(&vm, &FleetCommand::MarkFailed { vm: vm.clone(), expect, at: now });
    }
}
