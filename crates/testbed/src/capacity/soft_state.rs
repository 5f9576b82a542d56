//! Memory and CPU cost of the state that entries keep only in memory, and sizes of messages.

use carawaybarrow_core::commit;
use carawaybarrow_core::freshness::{Freshness, Heartbeat};
use carawaybarrow_core::ids::{Incarnation, Revision, TeamId};
use carawaybarrow_core::membership::MembersRevision;
use carawaybarrow_core::queue::{Bounds, ReadyQueue, Slots, Urgency, WaitingJob};
use carawaybarrow_core::routing::{Endpoints, ListedEndpoint, WorkerStatus};
use carawaybarrow_core::shares::Shares;
use carawaybarrow_core::units::{Millis, MonoTime, Percent};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;

use super::fixtures::{self, id};
use super::table::Table;
use super::usage::{measure_bytes, measure_cpu};

/// Time passed to all calls.
const NOW: MonoTime = MonoTime(1_000_000);

fn build_heartbeat(entry: usize) -> Heartbeat {
    Heartbeat {
        entry: id(format!("entry-{entry}")),
        incarnation: Incarnation(entry as u64 + 1),
        config_revision: Revision(1),
        members_revision: MembersRevision(0),
        probe_age: Some(Millis(100)),
        counts_you: true,
    }
}

/// Builds the state of an entry that has an answer from each of its peers.
fn build_freshness(entries: usize) -> Freshness {
    let members = fixtures::build_members(entries);
    let mut freshness = Freshness::new(id("entry-0"), Incarnation(1));
    freshness.apply_members(&members, NOW);
    freshness.apply_config_revision(Revision(1), NOW);
    for n in 1..entries {
        let answer = Heartbeat { members_revision: members.revision, ..build_heartbeat(n) };
        freshness.handle_answer(answer, NOW, NOW);
    }
    freshness
}

fn measure_freshness() -> Table {
    let columns = ["memory, bytes", "take an answer, µs", "is it fresh, µs", "is a change in force, µs"];
    let mut table = Table::new("`Freshness` by entries", "entries", &columns);
    for entries in [9, 36, 180, 500, 1_000] {
        let mut freshness = build_freshness(entries);
        let answer = Heartbeat { members_revision: freshness.members().revision, ..build_heartbeat(entries - 1) };
        let memory = measure_bytes(|| freshness.clone());
        let apply = measure_cpu(|| freshness.handle_answer(answer.clone(), NOW, NOW));
        let fresh = measure_cpu(|| freshness.check_freshness(NOW).is_ok());
        let in_force = measure_cpu(|| freshness.confirmations().check_in_force(Revision(1), NOW));
        table.add(entries, vec![memory, apply, fresh, in_force]);
    }
    table
}

fn build_waiting_job(number: usize, teams: usize) -> WaitingJob {
    WaitingJob {
        job: id(format!("job-{number}")),
        team: Some(id(format!("team-{}", number % teams))),
        queue: id("urgent-1"),
        urgency: if number.is_multiple_of(2) { Urgency::Urgent } else { Urgency::Patient },
        durable: false,
        deadline: None,
        run: Millis(100),
        since: NOW,
    }
}

fn build_queue(jobs: usize, teams: usize) -> ReadyQueue {
    let share = Percent::new(u8::try_from(100 / teams.min(100)).unwrap_or(1)).expect("at most 100");
    let shares = Shares::new((0..teams.min(100)).map(|n| (id::<TeamId>(format!("team-{n}")), share)));
    let mut queue = ReadyQueue::new(shares).with_bounds(Bounds { team: usize::MAX, pool: usize::MAX });
    for n in 0..jobs {
        queue.push(build_waiting_job(n, teams), Slots { total: 1_008, free: 0 }, NOW);
    }
    queue
}

fn measure_queue(title: &str, size: &'static str, sizes: &[(usize, usize, usize)]) -> Table {
    let mut table = Table::new(title, size, &["memory, bytes", "push, start and end one job, µs"]);
    for (size, jobs, teams) in sizes {
        let mut queue = build_queue(*jobs, *teams);
        let mut number = *jobs;
        let cycle = measure_cpu(|| {
            queue.push(build_waiting_job(number, *teams), Slots { total: 1_008, free: 0 }, NOW);
            number += 1;
            if let Some(started) = queue.start_next(Slots { total: 1_008, free: 1 }, NOW, |_| true) {
                queue.finish(started.team.as_ref());
            }
        });
        table.add(*size, vec![measure_bytes(|| build_queue(*jobs, *teams)), cycle]);
    }
    table
}

fn build_endpoints(count: usize) -> Endpoints {
    let mut endpoints = Endpoints::new(id("dc-1"));
    for n in 0..count {
        let vm = id(format!("vm-{n}"));
        let (pool, data_centre) = (id("pool-1"), id(format!("dc-{}", n % 18)));
        let address = format!("10.0.{}.{}:9000", n / 256, n % 256).into();
        endpoints.add_or_update(ListedEndpoint { vm, pool, address, data_centre });
        let status =
            WorkerStatus { requested_at: NOW, incarnation: Incarnation(1), slots: 8, free: 8, draining: false };
        endpoints.apply_status(&id(format!("vm-{n}")), &status);
    }
    endpoints
}

fn measure_routing() -> Table {
    let columns = ["memory, bytes", "choose and release, µs", "take a status, µs"];
    let mut table = Table::new("`routing::Endpoints` by endpoints of one pool", "endpoints", &columns);
    for count in [12, 50, 126, 500, 2_000] {
        let (mut endpoints, mut rng) = (build_endpoints(count), StdRng::seed_from_u64(1));
        let choose = measure_cpu(|| {
            let choice = endpoints.choose(&id("pool-1"), &[], NOW, &mut rng);
            if let Some(choice) = choice {
                endpoints.end_connection(&choice.vm);
                endpoints.add_free_slot(&choice.vm);
            }
        });
        let status =
            WorkerStatus { requested_at: NOW, incarnation: Incarnation(1), slots: 8, free: 8, draining: false };
        let vm = id("vm-1");
        let apply = measure_cpu(|| endpoints.apply_status(&vm, &status).len());
        table.add(count, vec![measure_bytes(|| build_endpoints(count)), choose, apply]);
    }
    table
}

/// Measures the sizes of message bodies, without protocol headers.
fn measure_messages() -> Table {
    let columns = ["heartbeat", "update of one change", "worker status"];
    let mut table = Table::new("Message bodies in bytes by shards owned, changes and running tasks", "items", &columns);
    for count in [0, 1, 4, 8] {
        let state = json!({ "heartbeat": build_heartbeat(1), "shards": (0..count).collect::<Vec<_>>() });
        let config = fixtures::build_config(400, 400, 253);
        let update = config.update_since(Revision(config.revision.0 - count as u64));
        let task = json!({ "task": "t".repeat(32), "lease": "l".repeat(16), "entry": "entry-1/0000000000000001", "team": "team-1" });
        let status = json!({
            "incarnation": 1, "slots": 8, "free": 0, "draining": false,
            "size": { "cores": 64, "memory_mb": 131_072, "accelerators": 2 },
            "tasks": vec![task; count], "usage": { "cores": 4, "memory_mb": 8_192 },
        });
        let bytes = [state, json!(update), status].map(|value| commit::encode_json(&value).len() as f64);
        table.add(count, bytes.to_vec());
    }
    table
}

/// Measures the in-memory state of an entry and its messages.
#[must_use]
pub fn measure_soft_state() -> Vec<Table> {
    vec![
        measure_freshness(),
        measure_queue(
            "`queue::ReadyQueue` by jobs (6 teams)",
            "jobs",
            &[100, 1_000, 4_000, 16_000].map(|jobs| (jobs, jobs, 6)),
        ),
        measure_queue(
            "`queue::ReadyQueue` by teams (4,000 jobs)",
            "teams",
            &[6, 100, 200, 400].map(|teams| (teams, 4_000, teams)),
        ),
        measure_routing(),
        measure_messages(),
    ]
}
