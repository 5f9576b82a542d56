//! Work is accepted only with a key of its team, and a withdrawn key stops working (I3).

mod cluster;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_std::task;
use carawaybarrow_testbed::submit::{Caller, Outcome};
use cluster::{CLINIC_SECRET, Cluster, clip, control, end_control, job, named, poll_until};
use http_types::Method;
use serde_json::{Value, json};

/// Freshness bound and lifetime of a slot lease (design, section 7).
const FRESHNESS_BOUND: Duration = Duration::from_secs(5);
const SLOT_LEASE_TTL: Duration = Duration::from_secs(3);

/// Time for which withdrawn keys are tried: entries that start or return have caught up by then.
const TRY_FOR: Duration = Duration::from_secs(4);

/// Secret of a second key of the team, which stays valid.
const OTHER_SECRET: &str = "clinic-secret-4567";

async fn start(name: &str) -> Cluster {
    let cluster = Cluster::start(name, 3, 3).await;
    cluster.configure(50).await;
    cluster.give_key("clinic-2", "clinic", OTHER_SECRET).await;
    cluster
}

/// Withdraws the team's first key and waits until the withdrawal is in force.
async fn withdraw(cluster: &Cluster) {
    let answer = cluster.change(json!({ "change": "withdraw_key", "id": "clinic-1" })).await;
    assert_eq!(answer["in_force"], true, "{answer}");
}

fn one_caller(cluster: &Cluster, number: usize, secret: &str) -> Caller {
    Caller::new(&[cluster.entries[number].callers]).with_key(Some(secret.to_owned()))
}

/// Submits urgent and durable jobs with the key at an entry. None may be accepted. Returns the reasons.
async fn try_key(cluster: &Cluster, number: usize, secret: &str, team: Option<&str>) -> Vec<Value> {
    let mut reasons = Vec::new();
    for queue in ["clips", "masters"] {
        let payload = job(queue, "forbidden", 1).payload;
        let mut body = json!({ "queue": queue, "payload": payload });
        if let Some(team) = team {
            body["team"] = json!(team);
        }
        let reply = cluster.call(number, Method::Post, "/v1/jobs", secret, &body.to_string()).await;
        let answer: Value = reply.json().expect("JSON");
        assert!([403, 503].contains(&reply.status), "{queue} at entry {number}: {}: {answer}", reply.status);
        assert_eq!(answer["ran"], "no", "{queue} at entry {number}: {answer}");
        reasons.push(answer["reason"].clone());
    }
    reasons
}

async fn try_withdrawn(cluster: &Cluster) {
    let ends = Instant::now() + TRY_FOR;
    while Instant::now() < ends {
        for number in 0..cluster.entries.len() {
            try_key(cluster, number, CLINIC_SECRET, None).await;
        }
        task::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(cluster.count_starts("forbidden").await, 0);
}

async fn serve_other(cluster: &Cluster, number: usize) {
    let caller = one_caller(cluster, number, OTHER_SECRET);
    poll_until("the other key is served", || async {
        (caller.submit(&clip("allowed", 1)).await == Outcome::Served).then_some(())
    })
    .await;
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

/// Guards against an entry that goes on with an old configuration because it can't read the store.
#[async_std::test]
async fn withdrawn_key_stops_at_an_entry_without_the_store() {
    let cluster = start("key-cut").await;
    control(cluster.store, "outage", &json!({ "mode": "hang", "clients": ["e3"] })).await;
    task::sleep(FRESHNESS_BOUND + Duration::from_secs(1)).await;
    // Through its peers the entry goes on; otherwise the test would show nothing.
    assert_eq!(one_caller(&cluster, 2, CLINIC_SECRET).submit(&clip("before", 1)).await, Outcome::Served);
    withdraw(&cluster).await;
    try_withdrawn(&cluster).await;
    serve_other(&cluster, 2).await;
    end_control(cluster.store, "outage").await;
    try_withdrawn(&cluster).await;
}

/// Guards against an entry that was paused during the withdrawal and acts on what it knew before.
#[async_std::test]
async fn withdrawn_key_stops_at_a_frozen_entry() {
    let cluster = start("key-freeze").await;
    let caller = one_caller(&cluster, 2, CLINIC_SECRET).with_timeout(Duration::from_secs(30));
    let flood = cluster.flood_with(&caller, 20, |i| clip(&format!("flood-{i}"), 20));
    poll_until("the flood runs", || async { (cluster.running("clinic") > 0).then_some(()) }).await;
    control(cluster.store, "outage", &json!({ "mode": "hang", "clients": ["e3"] })).await;
    cluster.entries[2].signal("STOP");
    withdraw(&cluster).await;
    let in_force = wall_ms();
    let address = cluster.entries[2].callers;
    // These requests wait in the sockets of the frozen entry and are the first that it reads.
    let early: Vec<_> = (0..20)
        .map(|_| {
            let caller = Caller::new(&[address]).with_key(Some(CLINIC_SECRET.to_owned()));
            task::spawn(async move { caller.submit(&clip("forbidden", 1)).await })
        })
        .collect();
    task::sleep(Duration::from_millis(200)).await;
    cluster.entries[2].signal("CONT");
    for outcome in futures::future::join_all(early).await {
        assert!(matches!(outcome, Outcome::NotRun { .. }), "{outcome:?}");
    }
    try_withdrawn(&cluster).await;
    flood.end().await;
    let last = cluster.last_start("clinic").await;
    let bound = in_force + SLOT_LEASE_TTL.as_millis() as u64;
    assert!(last <= bound, "a task was started {} ms after the withdrawal was in force", last - in_force);
    end_control(cluster.store, "outage").await;
    try_withdrawn(&cluster).await;
    serve_other(&cluster, 2).await;
}

/// Guards against an entry that takes an old read of the store for the present configuration.
#[async_std::test]
async fn withdrawn_key_stops_when_reads_are_stale() {
    let mut cluster = start("key-stale").await;
    control(cluster.store, "stale", &json!({ "ms": 3_000 })).await;
    withdraw(&cluster).await;
    cluster.entries[1].kill();
    cluster.restart_entry(1);
    try_withdrawn(&cluster).await;
    for number in 0..3 {
        serve_other(&cluster, number).await;
    }
    try_withdrawn(&cluster).await;
}

/// Guards against an outage of the store that stops keyed work, and against a new entry that trusts its peers then.
#[async_std::test]
async fn keyed_work_goes_on_without_the_store_but_not_at_a_new_entry() {
    let mut cluster = start("key-outage").await;
    control(cluster.store, "outage", &json!({ "mode": "refuse" })).await;
    task::sleep(FRESHNESS_BOUND + Duration::from_secs(2)).await;
    let seeds: Vec<_> = cluster.entries.iter().map(|e| e.peers.to_string()).collect();
    cluster.add_entry("e4", &json!({ "seeds": seeds }));
    let ends = Instant::now() + FRESHNESS_BOUND + Duration::from_secs(1);
    while Instant::now() < ends {
        for number in 0..3 {
            let outcome = one_caller(&cluster, number, CLINIC_SECRET).submit(&clip("kept", 1)).await;
            assert_eq!(outcome, Outcome::Served, "entry {number}");
        }
        // Its seeds know the key. Without workers it would refuse urgent work anyway, so the reason counts.
        assert_eq!(try_key(&cluster, 3, CLINIC_SECRET, None).await, ["stale", "stale"]);
        task::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(cluster.count_starts("forbidden").await, 0);
    end_control(cluster.store, "outage").await;
    serve_other(&cluster, 3).await;
}

/// Guards against work that runs for a team other than the key's, at any entry.
#[async_std::test]
async fn key_of_another_team_is_refused() {
    let cluster = start("key-team").await;
    cluster.change(json!({ "change": "set_team", "id": "club", "value": { "share": 10, "limit": 5 } })).await;
    cluster.give_key("club-1", "club", "club-secret-0123456").await;
    for number in 0..3 {
        for team in ["clinic", "nobody", "Club", ""] {
            try_bad_team(&cluster, number, team).await;
        }
        try_key(&cluster, number, "no-such-secret-0123", None).await;
        try_key(&cluster, number, "no-such-secret-0123", Some("clinic")).await;
    }
    assert_eq!(cluster.count_starts("forbidden").await, 0);
    assert_eq!(one_caller(&cluster, 0, "club-secret-0123456").submit(&named("clips", "own", 1)).await, Outcome::Served);
}

async fn try_bad_team(cluster: &Cluster, number: usize, team: &str) {
    let payload = job("clips", "forbidden", 1).payload;
    let body = json!({ "queue": "clips", "team": team, "payload": payload }).to_string();
    let reply = cluster.call(number, Method::Post, "/v1/jobs", "club-secret-0123456", &body).await;
    let answer: Value = reply.json().expect("JSON");
    assert!([400, 403].contains(&reply.status), "team {team:?}: {}: {answer}", reply.status);
    assert_eq!(answer["ran"], "no", "{answer}");
}
