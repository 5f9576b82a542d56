//! The store stand-in keeps the guarantees on which the product's invariants rest, and injects the faults that the
//! design expects.

mod common;

use std::time::{Duration, Instant};

use carawaybarrow_testbed::client::{Client, ClientError};
use common::{NO_LIMITS, Store, poll_until, version_of};
use futures::future::join_all;
use http_types::Method;
use serde_json::{Value, json};

/// Guards against lost updates, which occur if two writes with the same expected version both succeed.
#[async_std::test]
async fn concurrent_writers_lose_no_update() {
    const WRITERS: u64 = 8;
    const WRITES: u64 = 25;
    let store = Store::start(NO_LIMITS).await;
    let write = || async {
        for _ in 0..WRITES {
            loop {
                let read = store.get("config").await;
                let (count, version) = match read.json::<Value>().expect("JSON") {
                    v if read.status == 200 => {
                        (v["value"].as_str().and_then(|s| s.parse::<u64>().ok()).expect("a count"), version_of(&read))
                    }
                    _ => (0, 0),
                };
                let reply = store.put("config", version, &(count + 1).to_string()).await;
                if reply.status == 200 {
                    assert_eq!(version_of(&reply), version + 1);
                    break;
                }
                assert_eq!(reply.status, 409);
                assert!(version_of(&reply) > version, "a conflict reports the newer version");
            }
        }
    };
    join_all((0..WRITERS).map(|_| write())).await;
    let read: Value = store.get("config").await.json().expect("JSON");
    assert_eq!(read, json!({ "value": (WRITERS * WRITES).to_string(), "version": WRITERS * WRITES }));
}

/// Guards against a late write that succeeds on a key which was deleted and created again after the writer read it,
/// because versions start anew.
#[async_std::test]
async fn versions_keep_increasing_after_a_delete() {
    let store = Store::start(NO_LIMITS).await;
    assert_eq!(version_of(&store.put("jobs/00", 0, "a").await), 1);
    assert_eq!(store.delete("jobs/00", 7).await.status, 409);
    assert_eq!(version_of(&store.delete("jobs/00", 1).await), 2);
    assert_eq!(store.get("jobs/00").await.status, 404);
    assert_eq!(store.delete("jobs/00", 0).await.status, 409);
    assert_eq!(store.put("jobs/00", 1, "late").await.status, 409);
    assert_eq!(version_of(&store.put("jobs/00", 0, "b").await), 3);
    let probe = store.put("jobs/00", u64::MAX, "probe").await;
    assert_eq!((probe.status, version_of(&probe)), (409, 3), "the probe of design section 7");
}

/// Guards against an owner that keeps its role after its lease has lapsed, and against the removal of keys under other
/// leases.
#[async_std::test]
async fn a_lapsed_lease_removes_its_keys() {
    let store = Store::start(NO_LIMITS).await;
    let started = Instant::now();
    let ttl = Duration::from_millis(1000);
    let mut leases = Vec::new();
    for ttl_ms in [1000, 600_000] {
        let reply = store.client.post(store.addr, &format!("/lease?ttl_ms={ttl_ms}"), "").await.expect("a response");
        leases.push(reply.json::<Value>().expect("JSON")["lease"].as_str().expect("a lease").to_owned());
    }
    for (key, lease) in ["owner/short", "owner/long"].iter().zip(&leases) {
        let path = format!("/kv/{key}?expect=0&lease={lease}");
        let reply = store.client.call(store.addr, Method::Put, &path, &[], "e1").await.expect("a response");
        assert_eq!(reply.status, 200);
    }
    let watch = store.client.get(store.addr, "/watch/owner/short?after=1&wait_ms=20000").await.expect("a response");
    assert_eq!((watch.status, version_of(&watch)), (404, 2));
    assert!(started.elapsed() >= ttl, "the lease ended after {:?}", started.elapsed());
    assert_eq!(store.get("owner/long").await.status, 200);

    for (lease, status) in leases.iter().zip([404, 200]) {
        let path = format!("/lease/{lease}/renew");
        assert_eq!(store.client.post(store.addr, &path, "").await.expect("a response").status, status);
    }
    let path = format!("/kv/owner/short?expect=0&lease={}", leases[0]);
    let late = store.client.call(store.addr, Method::Put, &path, &[], "e1").await.expect("a response");
    assert_eq!(late.status, 404, "a write under a lapsed lease");

    let path = format!("/lease/{}", leases[1]);
    let reply = store.client.call(store.addr, Method::Delete, &path, &[], "").await.expect("a response");
    assert_eq!(reply.status, 200);
    assert_eq!(store.get("owner/long").await.status, 404);
}

/// Guards against watches that miss a change, also one from before the watch, or that don't end after `wait_ms`.
#[async_std::test]
async fn a_watch_returns_on_a_write() {
    let store = Store::start(NO_LIMITS).await;
    let watcher = Client::new();
    let watch = watcher.get(store.addr, "/watch/config?after=0&wait_ms=20000");
    let write = async {
        // The count shows that the watch has arrived.
        poll_until("the watch arrives", || async {
            let stats = store.client.get(store.addr, "/control/stats").await.expect("a response");
            let stats: Value = stats.json().expect("JSON");
            (stats["by_operation"]["watch"]["total"] == 1).then_some(())
        })
        .await;
        store.put("config", 0, "new").await
    };
    let (watched, _) = futures::join!(watch, write);
    let watched = watched.expect("a response");
    assert_eq!(watched.status, 200);
    assert_eq!(watched.json::<Value>().expect("JSON"), json!({ "value": "new", "version": 1 }));

    let known = watcher.get(store.addr, "/watch/config?after=0&wait_ms=0").await.expect("a response");
    assert_eq!(known.status, 200, "a change from before the watch");
    let none = watcher.get(store.addr, "/watch/config?after=1&wait_ms=20").await.expect("a response");
    assert_eq!(none.status, 204);
}

/// Guards against a fault that loses the response to a write which had no effect or took effect twice, and against one
/// that affects other clients.
#[async_std::test]
async fn a_write_with_a_lost_response_takes_effect_once() {
    let store = Store::start(NO_LIMITS).await;
    store.control("lost", &json!({ "count": 1, "clients": ["e1"] })).await;
    let client = Client::new().with_header("x-client", "e1");
    let put = || client.call(store.addr, Method::Put, "/kv/config?expect=0", &[], "x");
    assert_eq!(store.put("other", 0, "x").await.status, 200, "other clients aren't affected");
    let lost = put().await;
    assert!(matches!(lost, Err(ClientError::NoResponse { .. })), "{lost:?}");
    let again = put().await.expect("a response");
    assert_eq!((again.status, version_of(&again)), (409, 1));
}

/// Guards against fault tests that cover only lost responses to writes which took effect. The write may also have no
/// effect, or take effect after the caller has read the key.
#[async_std::test]
async fn a_lost_call_may_have_no_effect_or_a_late_one() {
    let store = Store::start(NO_LIMITS).await;
    let put = |key: &str| {
        let path = format!("/kv/{key}?expect=0");
        async move { Client::new().call(store.addr, Method::Put, &path, &[], "x").await }
    };
    store.control("lost", &json!({ "count": 1, "effect": "none", "prefixes": ["jobs"] })).await;
    assert_eq!(put("config").await.expect("other keys aren't affected").status, 200);
    assert!(put("jobs/00").await.is_err());
    assert_eq!(store.get("jobs/00").await.status, 404);

    store.control("lost", &json!({ "count": 1, "effect": "late", "late_ms": 200 })).await;
    let sent = Instant::now();
    assert!(put("jobs/01").await.is_err());
    poll_until("the late write", || async { (store.get("jobs/01").await.status == 200).then_some(()) }).await;
    assert!(sent.elapsed() >= Duration::from_millis(200), "written after {:?}", sent.elapsed());

    store.control("lost", &json!({ "count": 1, "operations": ["grant"] })).await;
    assert_eq!(put("jobs/02").await.expect("a response").status, 200);
    assert!(store.client.post(store.addr, "/lease?ttl_ms=60000", "").await.is_err());
}

/// Guards against failed runs that can't be reproduced, because the same seed loses other responses.
#[async_std::test]
async fn lost_responses_follow_the_seed() {
    let mut rounds = Vec::new();
    for _ in 0..2 {
        let store = Store::start(NO_LIMITS).await;
        store.control("lost", &json!({ "probability": 0.5, "seed": 7 })).await;
        let mut lost = Vec::new();
        for i in 0..40 {
            let path = format!("/kv/jobs/{i}?expect=0");
            lost.push(store.client.call(store.addr, Method::Put, &path, &[], "x").await.is_err());
            assert_eq!(store.get(&format!("jobs/{i}")).await.status, 200, "the write took effect");
        }
        rounds.push(lost);
    }
    assert_eq!(rounds[0], rounds[1]);
    let lost = rounds[0].iter().filter(|l| **l).count();
    assert!((5..=35).contains(&lost), "{lost} of 40 responses lost");
}

/// Guards against a compare-and-swap against a stale version, and against stale reads of a value that was never
/// written.
#[async_std::test]
async fn stale_reads_lag_and_cas_does_not() {
    let store = Store::start(NO_LIMITS).await;
    store.put("config", 0, "old").await;
    store.control("stale", &json!({ "ms": 600_000 })).await;
    store.put("config", 1, "new").await;
    store.put("fresh", 0, "x").await;
    let read: Value = store.get("config").await.json().expect("JSON");
    assert_eq!(read, json!({ "value": "old", "version": 1 }));
    assert_eq!(store.get("fresh").await.status, 404);
    let conflict = store.put("config", 1, "late").await;
    assert_eq!((conflict.status, version_of(&conflict)), (409, 2));

    store.control("stale", &json!({ "ms": 200 })).await;
    let written = Instant::now();
    store.put("config", 2, "newest").await;
    let watch = store.client.get(store.addr, "/watch/config?after=2&wait_ms=20000").await.expect("a response");
    assert_eq!(version_of(&watch), 3);
    assert!(written.elapsed() >= Duration::from_millis(200), "visible after {:?}", written.elapsed());
}

/// Guards against a stand-in that accepts more writes a second than its limit, and against a 429 for a write that took
/// effect.
#[async_std::test]
async fn calls_beyond_the_rate_are_refused() {
    const RATE: f64 = 20.0;
    let store = Store::start(NO_LIMITS).await;
    store.control("limits", &json!({ "writes": RATE, "reads": 1e9 })).await;
    let started = Instant::now();
    let (mut version, mut refused) = (0, 0);
    for _ in 0..100 {
        let reply = store.put("config", version, "x").await;
        match reply.status {
            200 => version = version_of(&reply),
            429 => refused += 1,
            status => panic!("status {status}"),
        }
    }
    let most = (RATE * (0.5 + started.elapsed().as_secs_f64())).ceil() as u64;
    assert!(version <= most, "{version} writes, at most {most} allowed");
    assert!(refused > 0);
    assert_eq!(version_of(&store.get("config").await), version, "reads have a limit of their own");
}

/// Guards against an outage that affects other clients than the chosen ones, or during which writes take effect.
#[async_std::test]
async fn an_outage_has_no_effect_on_values() {
    let store = Store::start(NO_LIMITS).await;
    let cut_off = Client::new().with_header("x-client", "e1");
    let put = || cut_off.call(store.addr, Method::Put, "/kv/config?expect=0", &[], "x");
    store.control("outage", &json!({ "mode": "refuse", "clients": ["e1"] })).await;
    assert_eq!(put().await.expect("a response").status, 503);
    store.control("outage", &json!({ "mode": "close", "clients": ["e1"] })).await;
    let closed = put().await;
    assert!(matches!(closed, Err(ClientError::ReusedConnectionClosed { .. })), "{closed:?}");
    store.control("outage", &json!({ "mode": "hang", "clients": ["e1"] })).await;
    let short_timeout = cut_off.clone().with_timeout(Duration::from_millis(200));
    let hung = short_timeout.call(store.addr, Method::Put, "/kv/config?expect=0", &[], "x").await;
    assert!(matches!(hung, Err(ClientError::TimedOut { .. })), "{hung:?}");
    assert_eq!(store.get("config").await.status, 404, "others see that nothing was written");

    store.client.call(store.addr, Method::Delete, "/control/outage", &[], "").await.expect("a response");
    assert_eq!(put().await.expect("a response").status, 200);
}

/// Guards against a watch that keeps waiting through an outage, which hides the outage from its caller.
#[async_std::test]
async fn an_outage_ends_waiting_watches() {
    let store = Store::start(NO_LIMITS).await;
    let watch = async { store.client.get(store.addr, "/watch/config?after=0&wait_ms=20000").await };
    let fail = async {
        poll_until("the watch arrives", || async {
            let stats = Client::new().get(store.addr, "/control/stats").await.expect("a response");
            (stats.json::<Value>().expect("JSON")["by_operation"]["watch"]["total"] == 1).then_some(())
        })
        .await;
        store.control("outage", &json!({})).await;
    };
    let (watched, ()) = futures::join!(watch, fail);
    assert_eq!(watched.expect("a response").status, 503);
}

/// Guards against documents that the stand-in accepts and the store refuses, because they exceed 1 MB.
#[async_std::test]
async fn values_over_a_megabyte_are_refused() {
    let store = Store::start(NO_LIMITS).await;
    assert_eq!(store.put("payloads/a", 0, &"x".repeat(1_000_001)).await.status, 413);
    assert_eq!(store.put("payloads/a", 0, &"x".repeat(1_000_000)).await.status, 200);
    let read: Value = store.get("payloads/a").await.json().expect("JSON");
    assert_eq!(read["value"].as_str().map(str::len), Some(1_000_000));
}

/// Guards against wrong call counts, against which the budgets of store calls are checked.
#[async_std::test]
async fn calls_are_counted_by_operation_prefix_and_client() {
    let store = Store::start(NO_LIMITS).await;
    let named = Client::new().with_header("x-client", "e1");
    store.put("jobs/00", 0, "x").await;
    store.put("jobs/01", 5, "x").await;
    store.get("config").await;
    named.get(store.addr, "/kv/jobs/00").await.expect("a response");
    let stats = store.client.get(store.addr, "/control/stats").await.expect("a response");
    let stats: Value = stats.json().expect("JSON");
    let cases = [
        ("/calls/total", 4),
        ("/by_operation/put/total", 2),
        ("/by_operation/get/total", 2),
        ("/by_prefix/jobs/put/total", 2),
        ("/by_prefix/jobs/get/total", 1),
        ("/by_prefix/config/get/total", 1),
        ("/by_client/e1/total", 1),
        ("/by_status/200/total", 2),
        ("/by_status/409/total", 1),
        ("/by_status/404/total", 1),
    ];
    for (place, count) in cases {
        assert_eq!(stats.pointer(place), Some(&json!(count)), "{place}");
    }
}
