//! A store in memory that checks the invariants of the fleet document at every write, and builders for fleets and
//! commands.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::collections::{BTreeMap, BTreeSet};

use carawaybarrow_core::commit::{Commit, Document, Step, StoreResponse};
use carawaybarrow_core::config::{Change, Config, ConfigCommand, ConfigOutcome, Pool, Window};
use carawaybarrow_core::fleet::{
    ConfigBasis, DrainCause, Fleet, FleetCommand, FleetOutcome, Rejection, Vm, VmPlace, VmState, VmVersion,
};
use carawaybarrow_core::ids::{
    ChangeId, DataCentreId, Incarnation, OperatorId, PoolId, RackId, Revision, StoreVersion, VmId,
};
use carawaybarrow_core::units::{Percent, WallTime};
use carawaybarrow_core::wave::{Phase, WaveId};

pub fn pool_id(name: &str) -> PoolId {
    PoolId::new(name).unwrap()
}

pub fn vm_id(name: &str) -> VmId {
    VmId::new(name).unwrap()
}

pub fn operator() -> OperatorId {
    OperatorId::new("ana").unwrap()
}

pub fn pool(min_available: u8, spare: bool, windows: &[(u64, u64)]) -> Pool {
    let windows = windows.iter().map(|(from, to)| Window { from: WallTime(*from), to: WallTime(*to) });
    let min_available = Percent::new(min_available).unwrap();
    Pool { min_available, baseline: 0, spare, deadline_windows: windows.collect() }
}

pub fn set_pool(config: &mut Config, name: &str, value: Pool) {
    let change = Change::SetPool { id: pool_id(name), value };
    let command = ConfigCommand { by: operator(), at: WallTime(0), expected: None, change };
    assert!(matches!(config.apply(&command), ConfigOutcome::Accepted { .. }));
}

pub fn place(address: &str, data_centre: &str, rack: &str, incarnation: u64) -> VmPlace {
    VmPlace {
        address: address.into(),
        data_centre: DataCentreId::new(data_centre).unwrap(),
        rack: RackId::new(rack).unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

/// A fleet document with its configuration. Builds commands that expect the current versions of the document.
pub struct FleetFixture {
    pub fleet: Fleet,
    pub config: Config,
}

impl FleetFixture {
    /// Creates a pool "urgent" in racks of the given numbers of VMs, named u0, u1 and so on, an empty pool "patient"
    /// and a spare pool of two VMs, s0 and s1.
    pub fn new(min_available: u8, racks: &[u32]) -> Self {
        let mut config = Config::default();
        set_pool(&mut config, "urgent", pool(min_available, false, &[]));
        set_pool(&mut config, "patient", pool(50, false, &[]));
        set_pool(&mut config, "spare", pool(0, true, &[]));
        let mut fixture = Self { fleet: Fleet::default(), config };
        let mut next = 0;
        for (rack, size) in racks.iter().enumerate() {
            for _ in 0..*size {
                fixture.add(&format!("u{next}"), "urgent", &format!("dc{}", rack / 2), &format!("r{rack}"));
                next += 1;
            }
        }
        for i in 0..2 {
            fixture.add(&format!("s{i}"), "spare", "dc9", &format!("s{i}"));
        }
        fixture
    }

    pub fn add(&mut self, vm: &str, pool: &str, data_centre: &str, rack: &str) {
        let place = place(&format!("addr-{vm}"), data_centre, rack, 1);
        self.accept(FleetCommand::Register {
            vm: vm_id(vm),
            expect: None,
            place,
            pool: pool_id(pool),
            at: WallTime(1_000),
        });
    }

    pub fn vm(&self, vm: &str) -> &Vm {
        self.fleet.vm(&vm_id(vm)).unwrap()
    }

    pub fn version(&self, vm: &str) -> VmVersion {
        self.fleet.vm(&vm_id(vm)).map_or(VmVersion(0), |vm| vm.version)
    }

    pub fn basis(&self) -> ConfigBasis {
        ConfigBasis::from_config(&self.config, self.config.pools.keys())
    }

    pub fn grant(&self, vm: &str, cause: DrainCause, at: u64) -> FleetCommand {
        let expect = self.version(vm);
        FleetCommand::GrantDrain { vm: vm_id(vm), expect, cause, basis: self.basis(), at: WallTime(at) }
    }

    pub fn grant_wave(&self, vm: &str) -> FleetCommand {
        let wave = self.fleet.wave().map_or(WaveId(0), |w| w.id);
        self.grant(vm, DrainCause::Wave { wave }, 10_000)
    }

    pub fn grant_move(&self, vm: &str, to: &str, at: u64) -> FleetCommand {
        self.grant(vm, DrainCause::Move { to: pool_id(to) }, at)
    }

    pub fn grant_operator(&self, vm: &str) -> FleetCommand {
        self.grant(vm, DrainCause::Operator { by: operator() }, 10_000)
    }

    pub fn drained(&self, vm: &str) -> FleetCommand {
        FleetCommand::MarkDrained { vm: vm_id(vm), expect: self.version(vm) }
    }

    pub fn rebooting(&self, vm: &str) -> FleetCommand {
        FleetCommand::MarkRebooting { vm: vm_id(vm), expect: self.version(vm) }
    }

    pub fn returned(&self, vm: &str, at: u64) -> FleetCommand {
        FleetCommand::Return { vm: vm_id(vm), expect: self.version(vm), at: WallTime(at) }
    }

    pub fn failed(&self, vm: &str) -> FleetCommand {
        FleetCommand::MarkFailed { vm: vm_id(vm), expect: self.version(vm), at: WallTime(11_000) }
    }

    pub fn move_to(&self, vm: &str, to: &str, at: u64) -> FleetCommand {
        let expect = self.version(vm);
        FleetCommand::Move { vm: vm_id(vm), expect, to: pool_id(to), basis: self.basis(), at: WallTime(at) }
    }

    pub fn start_wave(&mut self) {
        self.accept(FleetCommand::StartWave {
            replaces: None,
            cutoff: WallTime(5_000),
            most: u32::MAX,
            by: operator(),
            at: WallTime(9_000),
        });
    }

    /// Registers the next incarnation of the VM's worker.
    pub fn restart(&mut self, vm: &str) {
        let mut place = self.vm(vm).place.clone();
        place.incarnation.0 += 1;
        let expect = Some(self.version(vm));
        self.accept(FleetCommand::Register {
            vm: vm_id(vm),
            expect,
            place,
            pool: pool_id("spare"),
            at: WallTime(12_000),
        });
    }

    /// Drains a VM with a drain permit, reboots it and returns it to service.
    pub fn maintain(&mut self, vm: &str) {
        self.accept(self.drained(vm));
        self.accept(self.rebooting(vm));
        self.restart(vm);
        self.accept(self.returned(vm, 13_000));
    }

    pub fn accept(&mut self, command: FleetCommand) {
        assert_eq!(self.fleet.apply(&command), FleetOutcome::Applied, "{command:?}");
    }

    /// Applies a command that must be rejected and must not change the document.
    pub fn reject(&mut self, command: &FleetCommand) -> Rejection {
        let before = self.fleet.clone();
        let FleetOutcome::Rejected { reason } = self.fleet.apply(command) else { panic!("accepted: {command:?}") };
        assert_eq!(before, self.fleet, "a rejected command changed the document");
        assert!(!reason.to_string().is_empty());
        reason
    }
}

/// Fault of the first write of a commit: whether it takes effect and gets a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFault {
    NoFault,
    LostAfterEffect,
    LostBeforeEffect,
}

/// A store with the fleet document that checks every write.
pub struct CheckedStore {
    pub version: u64,
    pub fleet: Fleet,
    /// Configurations by revision.
    pub configs: BTreeMap<Revision, Config>,
    /// Latest time of an applied command.
    pub latest_time: WallTime,
    pub writes: u32,
    change_count: u64,
}

impl CheckedStore {
    pub fn new(config: &Config) -> Self {
        let configs = BTreeMap::from([(config.revision, config.clone())]);
        Self { version: 0, fleet: Fleet::default(), configs, latest_time: WallTime(0), writes: 0, change_count: 0 }
    }

    fn respond(&mut self, step: &Step<FleetOutcome>) -> StoreResponse {
        match step {
            Step::Read if self.version == 0 => StoreResponse::Absent,
            Step::Read => StoreResponse::Value { version: StoreVersion(self.version), bytes: self.fleet.encode() },
            Step::Write { expect, bytes } if expect.0 == self.version => {
                let next = Fleet::decode(bytes).expect("the written document can be decoded");
                self.check_write(&next);
                self.version += 1;
                self.writes += 1;
                self.fleet = next;
                StoreResponse::Written(StoreVersion(self.version))
            }
            Step::Write { .. } => StoreResponse::Conflict,
            _ => panic!("the commit has ended"),
        }
    }

    /// Commits commands that were planned with a copy of the document.
    pub fn commit(
        &mut self,
        base: (u64, Fleet),
        commands: Vec<FleetCommand>,
        mut fault: WriteFault,
    ) -> Vec<FleetOutcome> {
        self.change_count += 1;
        let id = ChangeId::new(format!("c{}", self.change_count)).unwrap();
        let mut commit: Commit<Fleet> = Commit::new(id, commands.clone()).with_base(StoreVersion(base.0), base.1);
        let mut step = commit.start();
        while matches!(step, Step::Read | Step::Write { .. }) {
            let is_write = matches!(step, Step::Write { .. });
            let response = match (is_write, fault) {
                (true, WriteFault::LostBeforeEffect) => StoreResponse::Lost,
                (true, WriteFault::LostAfterEffect) => {
                    self.respond(&step);
                    StoreResponse::Lost
                }
                _ => self.respond(&step),
            };
            if is_write {
                fault = WriteFault::NoFault;
            }
            step = commit.handle_response(response);
        }
        let Step::Done { outcomes, .. } = step else { panic!("{step:?}") };
        let applied = commands.iter().zip(&outcomes).filter(|(_, o)| **o == FleetOutcome::Applied);
        self.latest_time = applied.filter_map(|(c, _)| time_of(c)).fold(self.latest_time, WallTime::max);
        outcomes
    }

    pub fn read(&self) -> (u64, Fleet) {
        (self.version, self.fleet.clone())
    }

    /// Checks the budgets, the one-pool rule, deadline windows and the wave at a write, from the documents before and
    /// after it.
    fn check_write(&self, next: &Fleet) {
        let json: serde_json::Value = serde_json::from_slice(&next.encode()).unwrap();
        for (name, vm) in json["vms"].as_object().unwrap() {
            assert!(vm["pool"].is_string(), "one-pool rule: VM {name} has no single pool");
        }
        let addresses: BTreeSet<_> = next.vms().map(|(_, vm)| vm.place.address.clone()).collect();
        assert_eq!(addresses.len(), next.vms().count(), "one-pool rule: two records of one address");
        let config = &self.configs[&next.config_revision().max(*self.configs.keys().next().unwrap())];
        self.check_budgets(next, config);
        self.check_moves(next, config);
        self.check_waves(next);
    }

    fn check_budgets(&self, next: &Fleet, config: &Config) {
        for (id, pool) in &config.pools {
            let members: Vec<_> = next.vms().filter(|(_, vm)| vm.pool == *id && !is_arriving(vm)).collect();
            let before = |vm: &VmId| self.fleet.vm(vm).map(|vm| vm.state);
            let granted = members
                .iter()
                .filter(|(name, vm)| vm.state == VmState::Draining && before(name) == Some(VmState::Serving));
            let granted = granted.count();
            let serving = members.iter().filter(|(_, vm)| vm.state == VmState::Serving).count();
            // A failure may reduce a pool below its budget. A drain in the same write may precede it, so VMs that just
            // failed count as available here.
            let just_failed = members
                .iter()
                .filter(|(name, vm)| vm.state == VmState::Failed && before(name) != Some(VmState::Failed))
                .count();
            let required = (members.len() * usize::from(pool.value.min_available.get())).div_ceil(100);
            assert!(
                granted == 0 || serving + just_failed >= required,
                "budget: pool {id} has {serving} of {} VMs available after {granted} drains and needs {required}",
                members.len()
            );
        }
    }

    fn check_moves(&self, next: &Fleet, config: &Config) {
        for (id, vm) in next.vms() {
            let Some(before) = self.fleet.vm(id).filter(|b| b.pool != vm.pool) else { continue };
            let permit = before.permit.as_ref().map(|p| &p.cause);
            assert_eq!(before.state, VmState::Drained, "one-pool rule: VM {id} moved while {:?}", before.state);
            assert_eq!(
                permit,
                Some(&DrainCause::Move { to: vm.pool.clone() }),
                "one-pool rule: VM {id} moved without its permit"
            );
            for pool in [&before.pool, &vm.pool] {
                let Some(settings) = config.pools.get(pool) else { continue };
                let open = settings
                    .value
                    .deadline_windows
                    .iter()
                    .find(|w| w.from <= self.latest_time && self.latest_time < w.to);
                assert!(open.is_none(), "window: VM {id} moved from {} to {} in {open:?}", before.pool, vm.pool);
            }
        }
    }

    fn check_waves(&self, next: &Fleet) {
        let mut racks: BTreeMap<&PoolId, BTreeSet<String>> = BTreeMap::new();
        for (id, vm) in next.vms().filter(|(_, vm)| vm.wave().is_some()) {
            racks.entry(&vm.pool).or_default().insert(vm.domain().to_string());
            let is_new = self.fleet.vm(id).is_none_or(|b| b.wave().is_none());
            let wave_before = self.fleet.wave().filter(|w| Some(w.id) == vm.wave());
            // A write may resume the wave and then grant drains.
            let changes = next.wave().map_or(0, |w| w.phase_changes);
            let is_halted = wave_before.is_some_and(|w| w.phase != Phase::Running && w.phase_changes == changes);
            let is_replaced = self.fleet.vms().any(|(_, b)| b.place.address == vm.place.address && b.wave().is_some());
            assert!(!(is_new && is_halted) || is_replaced, "wave: VM {id} was granted a drain by a halted wave");
        }
        for (pool, racks) in racks {
            assert!(racks.len() == 1, "domain: the wave drains VMs in {racks:?} of pool {pool}");
        }
    }
}

fn is_arriving(vm: &Vm) -> bool {
    matches!(vm.permit.as_ref().map(|p| &p.cause), Some(DrainCause::Move { to }) if *to == vm.pool)
}

/// Time that a command stores in the document.
fn time_of(command: &FleetCommand) -> Option<WallTime> {
    match command {
        FleetCommand::Register { at, .. }
        | FleetCommand::GrantDrain { at, .. }
        | FleetCommand::Move { at, .. }
        | FleetCommand::Return { at, .. }
        | FleetCommand::MarkFailed { at, .. }
        | FleetCommand::StartWave { at, .. } => Some(*at),
        _ => None,
    }
}
