//! Documents and commands of a given size, on which costs are measured.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::str::FromStr;

use carawaybarrow_core::commit::Document;
use carawaybarrow_core::config::{
    Change, ChangeRecord, Class, Config, Key, MAX_CHANGE_RECORDS, Pool, Queue, Target, Team, Update,
};
use carawaybarrow_core::fleet::{ConfigBasis, DrainCause, Fleet, FleetCommand, VmPlace};
use carawaybarrow_core::ids::{Incarnation, OperatorId, QueueId, Revision, TeamId};
use carawaybarrow_core::job::{Content, JobSpec, Size, derive_job_id};
use carawaybarrow_core::journal::{JobCommand, JobShard};
use carawaybarrow_core::keys::KeyHash;
use carawaybarrow_core::membership::{Members, MembersCommand, Process};
use carawaybarrow_core::moves::PoolDemand;
use carawaybarrow_core::planner::{ListedState, ListedVm, Observations, VmReport};
use carawaybarrow_core::quota::{CommandNumber, Quota, QuotaCommand, TeamLimit};
use carawaybarrow_core::units::{Millis, Percent, WallTime};

/// VMs of a pool at the target size, which is 32,000 VMs in 253 pools.
pub const POOL_VMS: usize = 126;

/// Time of all commands; far enough from the epoch that earlier times can be computed from it.
pub const NOW: WallTime = WallTime(10_000_000_000);

/// Parses an id of any kind.
pub fn id<T: FromStr<Err: Debug>>(name: impl ToString) -> T {
    name.to_string().parse().expect("the name has accepted characters")
}

fn percent(value: u8) -> Percent {
    Percent::new(value).expect("the value is at most 100")
}

/// Change that sets the limit of a team without a share.
pub fn set_team(number: usize, limit: u32) -> Change {
    Change::SetTeam { id: id(format!("team-{number}")), value: Team { share: percent(0), limit } }
}

/// Builds a configuration with an urgent and a patient queue for each pool, and keys spread over the teams.
pub fn build_config(teams: usize, keys: usize, pools: usize) -> Config {
    let within = Class { target: Target::Within { ms: Millis(1_100) } };
    let mut changes = vec![
        Change::SetClass { id: id("urgent"), value: within },
        Change::SetClass { id: id("patient"), value: Class { target: Target::Eventually } },
    ];
    changes.extend((0..teams).map(|n| set_team(n, 1_000)));
    changes.extend((0..keys).map(|n| {
        let hash = KeyHash::of_secret(&format!("secret-of-the-key-{n}"));
        Change::GiveKey { id: id(format!("key-{n}")), value: Key { team: id(format!("team-{}", n % teams)), hash } }
    }));
    for n in 0..pools {
        let value =
            Pool { min_available: percent(70), baseline: POOL_VMS as u32, spare: false, deadline_windows: Vec::new() };
        changes.push(Change::SetPool { id: id(format!("pool-{n}")), value });
        for class in ["urgent", "patient"] {
            let pool = id(format!("pool-{n}"));
            let value = Queue { class: id(class), pool, open_to_all: false, idempotent: true };
            changes.push(Change::SetQueue { id: id(format!("{class}-{n}")), value });
        }
    }
    // A configuration keeps the records of its last `MAX_CHANGE_RECORDS` changes. Filling them up with changes of one
    // size makes documents comparable.
    changes.extend((0..MAX_CHANGE_RECORDS).map(|_| set_team(0, 1_000)));
    let records = changes.into_iter().enumerate().map(|(i, change)| ChangeRecord {
        revision: Revision(i as u64 + 1),
        by: id("operator"),
        at: NOW,
        change,
    });
    let mut config = Config::default();
    config.apply_update(Update::Changes { records: records.collect() });
    config
}

/// Builds a member list with the given number of entries.
pub fn build_members(entries: usize) -> Members {
    let mut members = Members::default();
    for n in 0..entries {
        let process = Process {
            incarnation: Incarnation(n as u64 + 1),
            peer_address: ([10, 0, (n / 256) as u8, (n % 256) as u8], 8081).into(),
            client_address: ([10, 0, (n / 256) as u8, (n % 256) as u8], 8080).into(),
            data_centre: id(format!("dc-{}", n % 18)),
            joined_at: NOW,
        };
        members.apply(&MembersCommand::Join { entry: id(format!("entry-{n}")), process });
    }
    members
}

/// Command by which an entry takes a permit of a team.
pub fn take_permit(team: usize, entry: usize, number: u64) -> QuotaCommand {
    QuotaCommand::Take {
        entry: id(format!("entry-{entry}")),
        incarnation: Incarnation(entry as u64 + 1),
        number: CommandNumber(number),
        team: id(format!("team-{team}")),
        count: 1,
        limit: TeamLimit { limit: 1_000_000, config_revision: Revision(1) },
    }
}

/// Builds a quota document in which each entry holds a permit of each team.
pub fn build_quota(teams: usize, entries: usize) -> Quota {
    let mut quota = Quota::default();
    for team in 0..teams {
        for entry in 0..entries {
            quota.apply(&take_permit(team, entry, team as u64 + 1));
        }
    }
    quota
}

/// Command that registers a VM. Four VMs share a rack, and racks are spread over 18 data centres.
pub fn register_vm(number: usize) -> FleetCommand {
    let place = VmPlace {
        address: format!("10.{}.{}.{}:9000", number >> 16, number >> 8 & 255, number & 255).into(),
        data_centre: id(format!("dc-{}", number / 4 % 18)),
        rack: id(format!("rack-{}", number / 4)),
        incarnation: Incarnation(1),
    };
    let pool = id(format!("pool-{}", number / POOL_VMS));
    FleetCommand::Register { vm: id(format!("vm-{number}")), expect: None, place, pool, at: NOW }
}

/// Builds a fleet of serving VMs.
pub fn build_fleet(vms: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for n in 0..vms {
        fleet.apply(&register_vm(n));
    }
    fleet
}

/// The fleet with a drain permit for each VM, which is the largest form of its document.
pub fn drain_all(fleet: &Fleet) -> Fleet {
    let mut drained = fleet.clone();
    let pool = Pool { min_available: percent(0), baseline: 0, spare: false, deadline_windows: Vec::new() };
    for (vm, record) in fleet.vms() {
        let basis = ConfigBasis { config_revision: Revision(1), pools: [(record.pool.clone(), pool.clone())].into() };
        let (vm, expect, cause) = (vm.clone(), record.version, DrainCause::Operator { by: operator() });
        drained.apply(&FleetCommand::GrantDrain { vm, expect, cause, basis, at: NOW });
    }
    drained
}

/// Observations of a planner while all VMs are listed as live and are up.
pub fn observe(fleet: &Fleet) -> Observations {
    let mut observations = Observations::default();
    let mut demand = BTreeMap::new();
    for (vm, record) in fleet.vms() {
        let place = &record.place;
        observations.list.push(ListedVm {
            vm: vm.clone(),
            address: place.address.clone(),
            data_centre: place.data_centre.clone(),
            rack: place.rack.clone(),
            state: ListedState::Live,
        });
        let report = VmReport::Up { since: WallTime(0), incarnation: place.incarnation, draining: false, tasks: 4 };
        observations.reports.insert(vm.clone(), report);
        demand.insert(record.pool.clone(), PoolDemand { busy_slots: 500.0, slots: 1_008, ..PoolDemand::default() });
    }
    observations.demand = demand;
    observations
}

/// Command that accepts a durable job with a payload of 200 bytes.
pub fn accept_job(number: usize) -> JobCommand {
    let (team, queue): (TeamId, QueueId) = (id("team-1"), id("patient-1"));
    let spec = JobSpec {
        id: derive_job_id(Some(&team), &queue, &format!("request-{number}")),
        team: Some(team),
        queue,
        class: id("patient"),
        pool: id("pool-1"),
        idempotent: true,
        size: Size::default(),
        expected_run: Some(Millis(1_000)),
        deadline: None,
        accepted_at: NOW,
        payload: Content::Inline { text: "x".repeat(200) },
    };
    JobCommand::Accept { spec: Box::new(spec) }
}

/// Builds a job shard with accepted jobs.
pub fn build_shard(jobs: usize) -> JobShard {
    let mut shard = JobShard::default();
    for n in 0..jobs {
        shard.apply(&accept_job(n));
    }
    shard
}

/// Operator who issues all commands.
pub fn operator() -> OperatorId {
    id("operator")
}
