//! The document of a fleet group: VM records, drain permits and a maintenance wave.
//!
//! The document checks its own rules whenever a command is applied, so they hold whichever planner or operator sends it
//! and however late it arrives. A command about a VM names the version of the record that it is based on. A repeated or
//! delayed command finds another version and is rejected.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::commit::{self, DecodeError, Document, RecentChanges};
pub use crate::fleet_command::{ConfigBasis, FleetCommand, FleetOutcome};
use crate::ids::{PoolId, Revision, VmId};
pub use crate::rejection::Rejection;
use crate::units::{Millis, WallTime};
pub use crate::vm::{Availability, DrainCause, DrainPermit, Vm, VmPlace, VmState, VmVersion, WaveBatch};
use crate::wave::{Phase, Wave, WaveFailure};

/// Time before a deadline window in which no move may start.
///
/// A write may reach the store after the time that its command carries. The lead time covers the delay of a store call
/// and the differences between the wall clocks of entries.
pub const MOVE_LEAD_TIME: Millis = Millis::from_secs(60);

/// The document of a fleet group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub(crate) vms: BTreeMap<VmId, Vm>,
    pub(crate) wave: Option<Wave>,
    /// Time of the last move into or out of each pool.
    moved_at: BTreeMap<PoolId, WallTime>,
    /// Highest configuration revision that an accepted command was based on.
    config_revision: Revision,
    /// Latest time that an accepted command carried, except `FinishWave` and a `Register` that changes nothing.
    pub(crate) latest: WallTime,
    /// Last assigned record version.
    changes: u64,
    /// Last assigned wave number.
    pub(crate) waves: u64,
    recent: RecentChanges,
}

impl Fleet {
    /// The record of a VM, if it has one.
    #[must_use]
    pub fn vm(&self, id: &VmId) -> Option<&Vm> {
        self.vms.get(id)
    }

    /// All VM records, in the order of the VM names.
    pub fn vms(&self) -> impl Iterator<Item = (&VmId, &Vm)> {
        self.vms.iter()
    }

    /// The current wave, or the last one if it has ended.
    #[must_use]
    pub const fn wave(&self) -> Option<&Wave> {
        self.wave.as_ref()
    }

    /// Highest configuration revision that an accepted command was based on.
    #[must_use]
    pub const fn config_revision(&self) -> Revision {
        self.config_revision
    }

    /// Time of the last move into or out of a pool.
    #[must_use]
    pub fn moved_at(&self, pool: &PoolId) -> Option<WallTime> {
        self.moved_at.get(pool).copied()
    }

    /// Number of a pool's VMs and how many of them are available.
    #[must_use]
    pub fn availability(&self, pool: &PoolId) -> Availability {
        let members = self.vms.values().filter(|vm| vm.pool == *pool && !vm.is_arriving());
        members.fold(Availability::default(), |sum, vm| Availability {
            size: sum.size + 1,
            available: sum.available + u32::from(vm.state == VmState::Serving),
        })
    }

    fn try_apply(&mut self, command: &FleetCommand) -> Result<bool, Rejection> {
        match command {
            FleetCommand::Register { vm, expect, place, pool, at } => self.register(vm, *expect, place, pool, *at),
            FleetCommand::Remove { vm, expect } => self.remove(vm, *expect),
            FleetCommand::GrantDrain { vm, expect, cause, basis, at } => {
                self.grant_drain(vm, *expect, cause, basis, *at)
            }
            FleetCommand::MarkDrained { vm, expect } => {
                self.find_vm(vm, *expect, &[VmState::Draining])?;
                self.update(vm, |record| record.state = VmState::Drained)
            }
            FleetCommand::MarkRebooting { vm, expect } => self.mark_rebooting(vm, *expect),
            FleetCommand::Return { vm, expect, at } => self.return_vm(vm, *expect, *at),
            FleetCommand::Move { vm, expect, to, basis, at } => self.move_vm(vm, *expect, to, basis, *at),
            FleetCommand::MarkFailed { vm, expect, at } => self.mark_failed(vm, *expect, *at),
            FleetCommand::MarkRecovered { vm, expect } => {
                self.find_vm(vm, *expect, &[VmState::Failed])?;
                self.update(vm, |record| record.state = VmState::Serving)
            }
            FleetCommand::StartWave { replaces, cutoff, most, by, at } => {
                self.start_wave(*replaces, *cutoff, *most, by, *at)
            }
            FleetCommand::PauseWave { wave, by } => self.set_phase(*wave, Phase::Paused { by: by.clone() }),
            FleetCommand::ResumeWave { wave, expect, .. } => self.resume_wave(*wave, *expect),
            FleetCommand::StopWave { wave, reason, by } => {
                self.set_phase(*wave, Phase::Stopped { reason: reason.clone(), by: by.clone() })
            }
            FleetCommand::FinishWave { wave, at } => self.set_phase(*wave, Phase::Finished { at: *at }),
        }
    }

    /// The record of a VM if it has the expected version and one of the states.
    fn find_vm(&self, id: &VmId, expect: VmVersion, states: &[VmState]) -> Result<&Vm, Rejection> {
        let Some(vm) = self.vms.get(id) else { return Err(Rejection::UnknownVm { vm: id.clone() }) };
        if vm.version != expect {
            return Err(Rejection::Changed { vm: id.clone(), expected: expect.0, current: vm.version.0 });
        }
        if !states.contains(&vm.state) {
            return Err(Rejection::WrongState { vm: id.clone(), state: vm.state });
        }
        Ok(vm)
    }

    fn next_version(&mut self) -> VmVersion {
        self.changes += 1;
        VmVersion(self.changes)
    }

    fn update(&mut self, id: &VmId, change: impl FnOnce(&mut Vm)) -> Result<bool, Rejection> {
        let version = self.next_version();
        let Some(vm) = self.vms.get_mut(id) else { return Err(Rejection::UnknownVm { vm: id.clone() }) };
        change(vm);
        vm.version = version;
        Ok(true)
    }

    fn register(
        &mut self,
        id: &VmId,
        expect: Option<VmVersion>,
        place: &VmPlace,
        pool: &PoolId,
        at: WallTime,
    ) -> Result<bool, Rejection> {
        let holder = self.vms.iter().find(|(_, vm)| vm.place.address == place.address).map(|(id, _)| id.clone());
        let has_record = self.vms.contains_key(id);
        let record_id = match holder {
            Some(holder) if has_record && holder != *id => return Err(Rejection::AddressTaken { by: holder }),
            // A VM with another name at the address of a record replaces the VM of that record.
            Some(holder) => holder,
            None => id.clone(),
        };
        let Some(vm) = self.vms.get(&record_id) else {
            if let Some(expect) = expect {
                return Err(Rejection::Changed { vm: id.clone(), expected: expect.0, current: 0 });
            }
            self.latest = self.latest.max(at);
            return Ok(self.add_vm(id, place, pool, at));
        };
        if record_id == *id && vm.place == *place {
            return Ok(false);
        }
        if Some(vm.version) != expect {
            let expected = expect.map_or(0, |e| e.0);
            return Err(Rejection::Changed { vm: record_id, expected, current: vm.version.0 });
        }
        self.latest = self.latest.max(at);
        self.replace_vm(&record_id, id, place);
        Ok(true)
    }

    fn add_vm(&mut self, id: &VmId, place: &VmPlace, pool: &PoolId, at: WallTime) -> bool {
        let vm = Vm {
            version: self.next_version(),
            pool: pool.clone(),
            state: VmState::Serving,
            permit: None,
            place: place.clone(),
            maintained_at: at,
            lent_from: None,
            last_batch: None,
        };
        self.vms.insert(id.clone(), vm);
        true
    }

    fn replace_vm(&mut self, old: &VmId, new: &VmId, place: &VmPlace) {
        let version = self.next_version();
        let Some(mut vm) = self.vms.remove(old) else { return };
        // The VM was reported to have no work left for its former incarnation only.
        if vm.state == VmState::Drained && vm.place.incarnation != place.incarnation {
            vm.state = VmState::Draining;
        }
        vm.version = version;
        vm.place = place.clone();
        self.vms.insert(new.clone(), vm);
    }

    fn remove(&mut self, id: &VmId, expect: VmVersion) -> Result<bool, Rejection> {
        let vm = self.find_vm(id, expect, &[VmState::Drained, VmState::Failed])?;
        let (pool, batch) = (vm.pool.clone(), find_open_batch(vm));
        self.close_permit(&pool, batch, false);
        self.vms.remove(id);
        Ok(true)
    }

    fn grant_drain(
        &mut self,
        id: &VmId,
        expect: VmVersion,
        cause: &DrainCause,
        basis: &ConfigBasis,
        at: WallTime,
    ) -> Result<bool, Rejection> {
        let vm = self.find_vm(id, expect, &[VmState::Serving])?;
        let pool = vm.pool.clone();
        self.check_basis(basis, [&pool])?;
        self.check_budget(&pool, basis)?;
        match cause {
            DrainCause::Wave { wave } => self.check_wave(id, vm, *wave)?,
            DrainCause::Move { to } if *to == pool => return Err(Rejection::SamePool { vm: id.clone(), pool }),
            DrainCause::Move { to } => self.check_windows(basis, [&pool, to], at)?,
            DrainCause::Operator { .. } => {}
        }
        self.record_basis(basis, at);
        let wave = match (cause, &mut self.wave) {
            (DrainCause::Wave { wave }, Some(current)) => {
                Some(WaveBatch { wave: *wave, batch: current.assign_vm(&pool) })
            }
            _ => None,
        };
        self.update(id, |vm| {
            vm.state = VmState::Draining;
            vm.permit = Some(DrainPermit { cause: cause.clone(), at, rebooted_from: None });
            vm.last_batch = wave.or(vm.last_batch);
        })
    }

    fn mark_rebooting(&mut self, id: &VmId, expect: VmVersion) -> Result<bool, Rejection> {
        let vm = self.find_vm(id, expect, &[VmState::Drained])?;
        if matches!(&vm.permit, Some(DrainPermit { cause: DrainCause::Move { .. }, .. })) {
            return Err(Rejection::NoRebootPermit { vm: id.clone() });
        }
        self.update(id, |vm| {
            vm.state = VmState::Rebooting;
            if let Some(permit) = &mut vm.permit {
                permit.rebooted_from = Some(vm.place.incarnation);
            }
        })
    }

    fn return_vm(&mut self, id: &VmId, expect: VmVersion, at: WallTime) -> Result<bool, Rejection> {
        let vm = self.find_vm(id, expect, &[VmState::Draining, VmState::Drained, VmState::Rebooting])?;
        let maintained = vm.has_rebooted();
        let (pool, batch) = (vm.pool.clone(), find_open_batch(vm));
        self.close_permit(&pool, batch, maintained);
        self.latest = self.latest.max(at);
        self.update(id, |vm| {
            vm.state = VmState::Serving;
            vm.permit = None;
            if maintained {
                vm.maintained_at = at;
            }
        })
    }

    fn move_vm(
        &mut self,
        id: &VmId,
        expect: VmVersion,
        to: &PoolId,
        basis: &ConfigBasis,
        at: WallTime,
    ) -> Result<bool, Rejection> {
        let vm = self.find_vm(id, expect, &[VmState::Drained])?;
        let permitted = matches!(&vm.permit, Some(DrainPermit { cause: DrainCause::Move { to: t }, .. }) if t == to);
        if !permitted {
            return Err(Rejection::NoMovePermit { vm: id.clone(), to: to.clone() });
        }
        let from = vm.pool.clone();
        if from == *to {
            return Err(Rejection::SamePool { vm: id.clone(), pool: from });
        }
        self.check_basis(basis, [&from, to])?;
        self.check_windows(basis, [&from, to], at)?;
        self.record_basis(basis, at);
        self.moved_at.insert(from.clone(), at);
        self.moved_at.insert(to.clone(), at);
        let from_spare = basis.pools.get(&from).is_some_and(|p| p.spare);
        self.update(id, |vm| {
            vm.pool = to.clone();
            vm.lent_from = match vm.lent_from.take() {
                Some(lender) if lender == *to => None,
                Some(lender) => Some(lender),
                None => from_spare.then_some(from),
            };
        })
    }

    fn mark_failed(&mut self, id: &VmId, expect: VmVersion, at: WallTime) -> Result<bool, Rejection> {
        let working_states = [VmState::Serving, VmState::Draining, VmState::Drained, VmState::Rebooting];
        let vm = self.find_vm(id, expect, &working_states)?;
        let (pool, batch, last, domain) = (vm.pool.clone(), find_open_batch(vm), vm.last_batch, vm.domain());
        self.close_permit(&pool, batch, false);
        self.latest = self.latest.max(at);
        if let (Some(wave), Some(last)) = (&mut self.wave, last)
            && wave.id == last.wave
            && !matches!(wave.phase, Phase::Finished { .. })
        {
            wave.failures.push(WaveFailure { vm: id.clone(), batch: last.batch, domain, at });
        }
        self.update(id, |vm| {
            vm.state = VmState::Failed;
            vm.permit = None;
        })
    }

    fn close_permit(&mut self, pool: &PoolId, batch: Option<WaveBatch>, maintained: bool) {
        if let (Some(wave), Some(batch)) = (&mut self.wave, batch)
            && wave.id == batch.wave
        {
            wave.release_vm(pool, batch.batch, maintained);
        }
    }

    fn check_basis<'a>(
        &self,
        basis: &ConfigBasis,
        pools: impl IntoIterator<Item = &'a PoolId>,
    ) -> Result<(), Rejection> {
        if basis.config_revision < self.config_revision {
            return Err(Rejection::OldConfig { revision: basis.config_revision, seen: self.config_revision });
        }
        match pools.into_iter().find(|pool| !basis.pools.contains_key(*pool)) {
            Some(pool) => Err(Rejection::PoolNotInBasis { pool: pool.clone() }),
            None => Ok(()),
        }
    }

    fn record_basis(&mut self, basis: &ConfigBasis, at: WallTime) {
        self.config_revision = self.config_revision.max(basis.config_revision);
        self.latest = self.latest.max(at);
    }

    fn check_budget(&self, pool: &PoolId, basis: &ConfigBasis) -> Result<(), Rejection> {
        let Some(pool_config) = basis.pools.get(pool) else {
            return Err(Rejection::PoolNotInBasis { pool: pool.clone() });
        };
        let availability = self.availability(pool);
        if availability.slack(pool_config.min_available) == 0 {
            let required = availability.required(pool_config.min_available);
            return Err(Rejection::Budget { pool: pool.clone(), available: availability.available, required });
        }
        Ok(())
    }

    /// Rejects a move while a deadline window of one of the pools is open or opens within [`MOVE_LEAD_TIME`].
    ///
    /// A command of a planner that was paused carries an old time, so the check covers the time up to
    /// [`Self::latest`].
    fn check_windows<'a>(
        &self,
        basis: &ConfigBasis,
        pools: impl IntoIterator<Item = &'a PoolId>,
        at: WallTime,
    ) -> Result<(), Rejection> {
        let until = at.max(self.latest) + MOVE_LEAD_TIME;
        for pool in pools {
            let Some(pool_config) = basis.pools.get(pool) else {
                return Err(Rejection::PoolNotInBasis { pool: pool.clone() });
            };
            if let Some(window) = pool_config.deadline_windows.iter().find(|w| w.from <= until && at < w.to) {
                return Err(Rejection::DeadlineWindow { pool: pool.clone(), from: window.from, to: window.to });
            }
        }
        Ok(())
    }
}

/// The wave batch whose drain permit the VM holds.
fn find_open_batch(vm: &Vm) -> Option<WaveBatch> {
    vm.last_batch.filter(|_| vm.wave().is_some())
}

impl Document for Fleet {
    type Command = FleetCommand;
    type Outcome = FleetOutcome;

    fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        commit::decode_json("fleet", bytes)
    }

    fn encode(&self) -> Vec<u8> {
        commit::encode_json(self)
    }

    fn apply(&mut self, command: &FleetCommand) -> FleetOutcome {
        match self.try_apply(command) {
            Ok(true) => FleetOutcome::Applied,
            Ok(false) => FleetOutcome::Unchanged,
            Err(reason) => FleetOutcome::Rejected { reason },
        }
    }

    fn is_change(outcome: &FleetOutcome) -> bool {
        matches!(outcome, FleetOutcome::Applied)
    }

    fn recent(&self) -> &RecentChanges {
        &self.recent
    }

    fn recent_mut(&mut self) -> &mut RecentChanges {
        &mut self.recent
    }
}
