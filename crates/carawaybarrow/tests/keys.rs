//! Work is accepted only with a key of its team, and a withdrawn key is refused (invariant I3).

mod cluster;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_std::task;
use carawaybarrow_testbed::submit::{Caller, Outcome};
use cluster::{CLINIC_SECRET, Cluster, control, end_control, job, job_with_request_id, poll_until, urgent_job};
use http_types::Method;
use serde_json::{Value, json};

/// Maximum age of an entry's proof that its configuration is current, as in `freshness.rs` (design, section 7).
const FRESHNESS_BOUND: Duration = Duration::from_secs(5);

/// Lifetime of a slot lease, as in `freshness.rs` (design, section 7).
const SLOT_LEASE_TTL: Duration = Duration::from_secs(3);

/// Time for which withdrawn keys are tried. Entries that start or resume have the current configuration by then.
const TRY_DURATION: Duration = Duration::from_secs(4);

/// Secret of a second key of the team, which stays valid.
const OTHER_SECRET: &str = "clinic-secret-4567";

async fn start(name: &str) -> Cluster {
    let cluster = Cluster::start(name, 3, 3).await;
    cluster.configure(50).await;
    cluster.give_key("clinic-2", "clinic", OTHER_SECRET).await;
    cluster
}

/// Withdraws the team's first key and waits until the withdrawal is in force.
async fn withdraw_first_key(cluster: &Cluster) {
    let answer = cluster.change_config(json!({ "change": "withdraw_key", "id": "clinic-1" })).await;
    assert_eq!(answer["in_force"], true, "{answer}");
}

fn caller_of_entry(cluster: &Cluster, index: usize, secret: &str) -> Caller {
    Caller::new(&[cluster.entries[index].caller_address]).with_key(Some(secret.to_owned()))
}

/// Submits an urgent and a durable job with the key at an entry. Both must be refused as not run. Returns the reasons.
async fn expect_key_refused(cluster: &Cluster, index: usize, secret: &str, team: Option<&str>) -> Vec<Value> {
    let mut reasons = Vec::new();
    for queue in ["clips", "masters"] {
        let payload = job(queue, "forbidden", 1).payload;
        let mut body = json!({ "queue": queue, "payload": payload });
        if let Some(team) = team {
            body["team"] = json!(team);
        }
        let reply = cluster.call(index, Method::Post, "/v1/jobs", secret, &body.to_string()).await;
        let answer: Value = reply.json().expect("JSON");
        assert!([403, 503].contains(&reply.status), "{queue} at entry {index}: {}: {answer}", reply.status);
        assert_eq!(answer["ran"], "no", "{queue} at entry {index}: {answer}");
        reasons.push(answer["reason"].clone());
    }
    reasons
}

/// Checks for [`TRY_DURATION`] that all entries refuse the withdrawn key.
async fn expect_withdrawn_key_refused(cluster: &Cluster) {
    let deadline = Instant::now() + TRY_DURATION;
    while Instant::now() < deadline {
        for index in 0..cluster.entries.len() {
            expect_key_refused(cluster, index, CLINIC_SECRET, None).await;
        }
        task::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(cluster.count_starts("forbidden").await, 0);
}

/// Waits until an entry serves a job with the team's other key.
async fn wait_until_other_key_served(cluster: &Cluster, index: usize) {
    let caller = caller_of_entry(cluster, index, OTHER_SECRET);
    poll_until("a job with the other key is served", || async {
        (caller.submit(&urgent_job("allowed", 1)).await == Outcome::Served).then_some(())
    })
    .await;
}

fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

/// Guards against an entry that accepts a withdrawn key because it can't read the store. It must receive the change
/// from the other entries, which also prove that its configuration is current.
#[async_std::test]
async fn withdrawn_key_is_refused_by_an_entry_without_the_store() {
    let cluster = start("key-cut").await;
    control(cluster.store, "outage", &json!({ "mode": "hang", "clients": ["e3"] })).await;
    task::sleep(FRESHNESS_BOUND + Duration::from_secs(1)).await;
    // The entry still serves jobs through its peers; otherwise every key would be refused.
    assert_eq!(caller_of_entry(&cluster, 2, CLINIC_SECRET).submit(&urgent_job("before", 1)).await, Outcome::Served);
    withdraw_first_key(&cluster).await;
    expect_withdrawn_key_refused(&cluster).await;
    wait_until_other_key_served(&cluster, 2).await;
    end_control(cluster.store, "outage").await;
    expect_withdrawn_key_refused(&cluster).await;
}

/// Guards against an entry that was suspended during the withdrawal and, when it resumes, accepts requests or starts
/// tasks by its old configuration.
#[async_std::test]
async fn withdrawn_key_is_refused_by_a_resumed_entry() {
    let cluster = start("key-freeze").await;
    let caller = caller_of_entry(&cluster, 2, CLINIC_SECRET).with_timeout(Duration::from_secs(30));
    let load = cluster.start_load_with(&caller, 20, |i| urgent_job(&format!("flood-{i}"), 20));
    poll_until("the load runs", || async { (cluster.running_tasks("clinic") > 0).then_some(()) }).await;
    control(cluster.store, "outage", &json!({ "mode": "hang", "clients": ["e3"] })).await;
    cluster.entries[2].signal("STOP");
    withdraw_first_key(&cluster).await;
    let in_force = unix_time_ms();
    let address = cluster.entries[2].caller_address;
    // These requests wait in the sockets of the suspended entry and are the first that it reads.
    let early: Vec<_> = (0..20)
        .map(|_| {
            let caller = Caller::new(&[address]).with_key(Some(CLINIC_SECRET.to_owned()));
            task::spawn(async move { caller.submit(&urgent_job("forbidden", 1)).await })
        })
        .collect();
    task::sleep(Duration::from_millis(200)).await;
    cluster.entries[2].signal("CONT");
    for outcome in futures::future::join_all(early).await {
        assert!(matches!(outcome, Outcome::NotRun { .. }), "{outcome:?}");
    }
    expect_withdrawn_key_refused(&cluster).await;
    load.stop().await;
    let last = cluster.last_start_ms("clinic").await;
    let bound = in_force + SLOT_LEASE_TTL.as_millis() as u64;
    assert!(last <= bound, "a task was started {} ms after the withdrawal was in force", last - in_force);
    end_control(cluster.store, "outage").await;
    expect_withdrawn_key_refused(&cluster).await;
    wait_until_other_key_served(&cluster, 2).await;
}

/// Guards against an entry that treats a stale read of the store as the current configuration, also after a restart.
#[async_std::test]
async fn withdrawn_key_is_refused_when_reads_are_stale() {
    let mut cluster = start("key-stale").await;
    control(cluster.store, "stale", &json!({ "ms": 3_000 })).await;
    withdraw_first_key(&cluster).await;
    cluster.entries[1].kill();
    cluster.restart_entry(1);
    expect_withdrawn_key_refused(&cluster).await;
    for index in 0..3 {
        wait_until_other_key_served(&cluster, index).await;
    }
    expect_withdrawn_key_refused(&cluster).await;
}

/// Guards against an outage of the store that stops work with valid keys, and against an entry that starts during the
/// outage and relies on its peers without having read the store.
#[async_std::test]
async fn keys_are_accepted_without_the_store_except_at_a_new_entry() {
    let mut cluster = start("key-outage").await;
    control(cluster.store, "outage", &json!({ "mode": "refuse" })).await;
    task::sleep(FRESHNESS_BOUND + Duration::from_secs(2)).await;
    let seeds: Vec<_> = cluster.entries.iter().map(|e| e.peer_address.to_string()).collect();
    cluster.add_entry("e4", &json!({ "seeds": seeds }));
    let deadline = Instant::now() + FRESHNESS_BOUND + Duration::from_secs(1);
    while Instant::now() < deadline {
        for index in 0..3 {
            let outcome = caller_of_entry(&cluster, index, CLINIC_SECRET).submit(&urgent_job("kept", 1)).await;
            assert_eq!(outcome, Outcome::Served, "entry {index}");
        }
        // Its seeds know the key. As it has no workers, it refuses urgent work in any case, so the reason is checked.
        assert_eq!(expect_key_refused(&cluster, 3, CLINIC_SECRET, None).await, ["stale", "stale"]);
        task::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(cluster.count_starts("forbidden").await, 0);
    end_control(cluster.store, "outage").await;
    wait_until_other_key_served(&cluster, 3).await;
}

/// Guards against a job that runs for a team other than that of its key, because the request names the team, and
/// against jobs with an unknown key.
#[async_std::test]
async fn keys_of_another_team_and_unknown_keys_are_refused() {
    let cluster = start("key-team").await;
    cluster.change_config(json!({ "change": "set_team", "id": "club", "value": { "share": 10, "limit": 5 } })).await;
    cluster.give_key("club-1", "club", "club-secret-0123456").await;
    for index in 0..3 {
        for team in ["clinic", "nobody", "Club", ""] {
            expect_team_refused(&cluster, index, team).await;
        }
        expect_key_refused(&cluster, index, "no-such-secret-0123", None).await;
        expect_key_refused(&cluster, index, "no-such-secret-0123", Some("clinic")).await;
    }
    assert_eq!(cluster.count_starts("forbidden").await, 0);
    assert_eq!(
        caller_of_entry(&cluster, 0, "club-secret-0123456").submit(&job_with_request_id("clips", "own", 1)).await,
        Outcome::Served
    );
}

/// Submits a job for a team with the key of another one. It must be refused as not run.
async fn expect_team_refused(cluster: &Cluster, index: usize, team: &str) {
    let payload = job("clips", "forbidden", 1).payload;
    let body = json!({ "queue": "clips", "team": team, "payload": payload }).to_string();
    let reply = cluster.call(index, Method::Post, "/v1/jobs", "club-secret-0123456", &body).await;
    let answer: Value = reply.json().expect("JSON");
    assert!([400, 403].contains(&reply.status), "team {team:?}: {}: {answer}", reply.status);
    assert_eq!(answer["ran"], "no", "{answer}");
}
