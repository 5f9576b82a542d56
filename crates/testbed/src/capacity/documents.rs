//! Size and CPU cost of the documents in the store, by the number of their items.

use carawaybarrow_core::commit::Document;
use carawaybarrow_core::config::{Config, ConfigCommand};
use carawaybarrow_core::fleet::FleetCommand;
use carawaybarrow_core::membership::MembersCommand;
use carawaybarrow_core::planner;
use carawaybarrow_core::units::WallTime;

use super::fixtures::{self, NOW, POOL_VMS};
use super::table::Table;
use super::usage::{self, measure_bytes, measure_cpu};

/// Columns of each document's table.
const COLUMNS: [&str; 5] = ["bytes", "memory, bytes", "encode, µs", "decode, µs", "apply one, µs"];

/// Measures the [`COLUMNS`] of a document. Applying a command changes the document, so it runs on copies, whose own
/// cost isn't counted.
fn measure_document<D: Document>(document: &D, command: &D::Command) -> Vec<f64> {
    let bytes = document.encode();
    let apply = usage::measure_cpu_on_copies(document, |copy| drop(copy.apply(command)));
    let memory = measure_bytes(|| document.clone());
    let (encode, decode) = (measure_cpu(|| document.encode()), measure_cpu(|| D::decode(&bytes)));
    vec![bytes.len() as f64, memory, encode, decode, apply]
}

/// Command that changes the limit of a team which the configuration has.
fn set_existing_team(config: &Config) -> ConfigCommand {
    let change = fixtures::set_team(0, 7);
    debug_assert!(config.find_current(&change).is_some());
    ConfigCommand { by: fixtures::operator(), at: NOW, expected: None, change }
}

fn measure_config(title: &str, size: &'static str, sizes: &[usize], build: impl Fn(usize) -> Config) -> Table {
    let mut table = Table::new(title, size, &COLUMNS);
    for size in sizes {
        let config = build(*size);
        table.add(*size, measure_document(&config, &set_existing_team(&config)));
    }
    table
}

fn measure_members() -> Table {
    let mut table = Table::new("`membership::Members` by entries", "entries", &COLUMNS);
    for entries in [9, 36, 180, 500, 1_000] {
        let members = fixtures::build_members(entries);
        let (entry, incarnation) = (fixtures::id("entry-0"), carawaybarrow_core::ids::Incarnation(1));
        table.add(entries, measure_document(&members, &MembersCommand::Leave { entry, incarnation }));
    }
    table
}

fn measure_quota(title: &str, size: &'static str, sizes: &[(usize, usize, usize)]) -> Table {
    let mut table = Table::new(title, size, &COLUMNS);
    for (size, teams, entries) in sizes {
        let quota = fixtures::build_quota(*teams, *entries);
        table.add(*size, measure_document(&quota, &fixtures::take_permit(0, 0, 1_000_000)));
    }
    table
}

fn measure_fleet() -> [Table; 2] {
    let mut document = Table::new("`fleet::Fleet` by VMs (126 to a pool)", "VMs", &COLUMNS);
    let columns =
        ["idle plan, µs", "plan in a wave, µs", "commands of that plan", "bytes if each VM has a drain permit"];
    let mut plans = Table::new("`planner::plan` by VMs (126 to a pool)", "VMs", &columns);
    for vms in [250, 500, 1_000, 2_000, 4_000] {
        let fleet = fixtures::build_fleet(vms);
        document.add(vms, measure_document(&fleet, &fixtures::register_vm(vms)));
        let config = fixtures::build_config(6, 6, vms.div_ceil(POOL_VMS));
        let observations = fixtures::observe(&fleet);
        let idle = measure_cpu(|| planner::plan(&fleet, &observations, &config, NOW));
        // 84 days are two maintenance periods, so all VMs are due for a reboot.
        let later = WallTime(NOW.0 + 84 * 86_400_000);
        let mut in_wave = fleet.clone();
        let by = fixtures::operator();
        in_wave.apply(&FleetCommand::StartWave { replaces: None, cutoff: later, most: vms as u32, by, at: later });
        let commands = planner::plan(&in_wave, &observations, &config, later).len();
        let wave = measure_cpu(|| planner::plan(&in_wave, &observations, &config, later));
        plans.add(vms, vec![idle, wave, commands as f64, fixtures::drain_all(&fleet).encode().len() as f64]);
    }
    [document, plans]
}

fn measure_journal() -> Table {
    let mut table = Table::new("`journal::JobShard` by jobs of 200 bytes", "jobs", &COLUMNS);
    for jobs in [50, 100, 200, 300, 400] {
        table.add(jobs, measure_document(&fixtures::build_shard(jobs), &fixtures::accept_job(jobs)));
    }
    table
}

/// Measures each kind of document at several sizes.
#[must_use]
pub fn measure_documents() -> Vec<Table> {
    let mut tables = vec![
        measure_config("`config::Config` by teams (no keys, 5 pools)", "teams", &[6, 100, 200, 400, 800], |n| {
            fixtures::build_config(n, 0, 5)
        }),
        measure_config("`config::Config` by keys (400 teams, 5 pools)", "keys", &[400, 800, 1_600, 3_200], |n| {
            fixtures::build_config(400, n, 5)
        }),
        measure_config("`config::Config` by pools (6 teams, 6 keys)", "pools", &[5, 64, 128, 253, 506], |n| {
            fixtures::build_config(6, 6, n)
        }),
        measure_members(),
        measure_quota(
            "`quota::Quota` by teams (9 entries hold permits of each)",
            "teams",
            &[6, 100, 200, 400].map(|teams| (teams, teams, 9)),
        ),
        measure_quota(
            "`quota::Quota` by entries (100 teams, each entry holds permits of each)",
            "entries",
            &[9, 18, 36, 72].map(|entries| (entries, 100, entries)),
        ),
    ];
    tables.extend(measure_fleet());
    tables.push(measure_journal());
    tables
}
