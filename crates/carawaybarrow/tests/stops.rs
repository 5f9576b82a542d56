//! Planned stops: endpoints in graceful shutdown get no new work (invariant I8), and no request in progress is
//! interrupted (invariant I9).

mod cluster;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_core::job::derive_job_id;
use carawaybarrow_testbed::client::Client;
use carawaybarrow_testbed::submit::{Caller, Outcome};
use cluster::{CLINIC_SECRET, Cluster, control, job, job_with_request_id, urgent_job};
use http_types::Method;
use serde_json::{Value, json};

/// Time after which an endpoint in graceful shutdown gets no new work. Invariant I8 says "few seconds"; this is two
/// intervals of 1.5 s, at which workers and the VM list are polled.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// Timeout of a request. If the store hangs, an entry uses all attempts of a write, each with a timeout of 1 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(45);

/// Maximum time from the last replacement, which interrupts no task, until the durable jobs have ended.
const END_BOUND: Duration = Duration::from_secs(30);

/// Time by which the VM list of the cluster lags.
const LIST_LAG: Duration = Duration::from_millis(500);

async fn start(name: &str) -> Cluster {
    let cluster = Cluster::start(name, 3, 4).await;
    cluster.configure(50).await;
    cluster
}

/// Sends requests over new connections until stopped. Returns a message for each request that was sent and got no
/// complete response.
async fn send_requests(cluster: &Cluster, index: usize, queue: &'static str, stop: Arc<AtomicBool>) -> Vec<String> {
    let (address, next) = (cluster.entries[index].caller_address, Arc::new(AtomicUsize::new(0)));
    let tasks = (0..16).map(|_| {
        let (stop, next) = (Arc::clone(&stop), Arc::clone(&next));
        task::spawn(async move {
            let (mut interrupted, bearer) = (Vec::new(), format!("Bearer {CLINIC_SECRET}"));
            while !stop.load(Ordering::SeqCst) {
                let mark = format!("r{}", next.fetch_add(1, Ordering::SeqCst));
                let body = json!({ "queue": queue, "payload": job(queue, &mark, 150).payload }).to_string();
                let headers = [("authorization", bearer.as_str())];
                let client = Client::new().with_timeout(REQUEST_TIMEOUT);
                match client.call(address, Method::Post, "/v1/jobs", &headers, &body).await {
                    Ok(reply) if reply.json::<Value>().is_ok() => {}
                    Ok(reply) => interrupted.push(format!("{mark}: {}: {}", reply.status, reply.text())),
                    Err(e) if e.is_unsent() => task::sleep(Duration::from_millis(10)).await,
                    Err(e) => interrupted.push(format!("{mark}: {e}")),
                }
            }
            interrupted
        })
    });
    futures::future::join_all(tasks.collect::<Vec<_>>()).await.concat()
}

/// Stops the first entry under load. Each request that was sent must get a response.
async fn check_planned_stop(mut cluster: Cluster) {
    let stop = Arc::new(AtomicBool::new(false));
    let load = async {
        let (clips, masters) = futures::future::join(
            send_requests(&cluster, 0, "clips", Arc::clone(&stop)),
            send_requests(&cluster, 0, "masters", Arc::clone(&stop)),
        )
        .await;
        [clips, masters].concat()
    };
    let signal = async {
        task::sleep(Duration::from_secs(1)).await;
        cluster.entries[0].signal("TERM");
        task::sleep(Duration::from_secs(4)).await;
        stop.store(true, Ordering::SeqCst);
    };
    let (interrupted, ()) = futures::future::join(Box::pin(load), Box::pin(signal)).await;
    assert!(interrupted.is_empty(), "{} requests were interrupted: {interrupted:?}", interrupted.len());
    assert!(cluster.entries[0].wait(), "the entry did not exit with success");
}

/// Guards against requests that a planned stop interrupts, because the entry exits before it has answered them.
#[async_std::test]
async fn planned_stop_interrupts_no_request() {
    check_planned_stop(start("stop").await).await;
}

/// Guards against requests that a planned stop interrupts because the entry can't write to the store that it leaves.
#[async_std::test]
async fn planned_stop_without_the_store_interrupts_no_request() {
    let cluster = start("stop-outage").await;
    control(cluster.store, "outage", &json!({ "mode": "hang" })).await;
    check_planned_stop(cluster).await;
}

/// Guards against jobs that are lost or run twice while all entries are replaced one after the other, so that shards,
/// permits and urgent work change their entry under load.
#[async_std::test]
async fn rolling_replacement_loses_no_job() {
    let mut cluster = start("rolling").await;
    let addresses = Arc::new(Mutex::new(cluster.caller_addresses()));
    let stop = Arc::new(AtomicBool::new(false));
    let tasks: Vec<_> = (0..12)
        .map(|caller| {
            let (addresses, stop) = (Arc::clone(&addresses), Arc::clone(&stop));
            task::spawn(async move {
                let mut outcomes = Vec::new();
                for i in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        break;
                    }
                    let mark = format!("c{caller}-{i}");
                    let job = job_with_request_id(if caller % 2 == 0 { "clips" } else { "masters" }, &mark, 40);
                    let entries = addresses.lock().unwrap().clone();
                    let caller = Caller::new(&entries).with_key(Some(CLINIC_SECRET.to_owned()));
                    let outcome = caller.submit(&job).await;
                    outcomes.push((job, outcome));
                }
                outcomes
            })
        })
        .collect();
    for index in 0..3 {
        task::sleep(Duration::from_millis(500)).await;
        // As a load balancer does, stops sending requests to an entry before it is replaced.
        addresses.lock().unwrap().remove(0);
        cluster.entries[index].signal("TERM");
        assert!(cluster.entries[index].wait(), "entry {index} did not exit with success");
        cluster.restart_entry(index);
        cluster.wait_until_serving().await;
        addresses.lock().unwrap().push(cluster.entries[index].caller_address);
    }
    stop.store(true, Ordering::SeqCst);
    let outcomes = futures::future::join_all(tasks).await.concat();
    let deadline = Instant::now() + END_BOUND;
    for (job, outcome) in &outcomes {
        let mark = job.request_id.as_deref().unwrap();
        if job.queue == "clips" {
            assert_eq!(*outcome, Outcome::Served, "{mark}");
            continue;
        }
        assert!(matches!(outcome, Outcome::Pending { .. } | Outcome::Served), "{mark}: {outcome:?}");
        let (team, queue) = ("clinic".parse().unwrap(), job.queue.parse().unwrap());
        let path = format!("/v1/jobs/{}", derive_job_id(Some(&team), &queue, mark));
        loop {
            let shown: Value = cluster.call(0, Method::Get, &path, CLINIC_SECRET, "").await.json().unwrap_or_default();
            if shown["state"] == "done" {
                break;
            }
            assert!(Instant::now() < deadline, "{mark} has not ended {END_BOUND:?} after the load: {shown}");
            task::sleep(Duration::from_millis(20)).await;
        }
    }
    // Reads the starts once for all jobs: reading them for each of some thousand jobs takes longer than the run.
    let starts = cluster.count_starts_by_mark().await;
    for (job, _) in outcomes.iter().filter(|(job, _)| job.queue != "clips") {
        let mark = job.request_id.as_deref().unwrap();
        assert_eq!(starts.get(mark), Some(&1), "starts of {mark}");
    }
    assert!(outcomes.len() > 100, "{} jobs", outcomes.len());
}

/// Guards against entries that start tasks on a VM which the VM list shows as leaving, or whose worker drains without
/// an order of an entry.
#[async_std::test]
async fn leaving_and_draining_workers_get_no_new_work() {
    let cluster = start("drain").await;
    let load = cluster.start_load(12, |i| urgent_job(&format!("job-{i}"), 20));
    task::sleep(Duration::from_secs(1)).await;
    control(cluster.vm_list, "vms/vm-1/state", &json!({ "state": "leaving" })).await;
    let reply = Client::new().post(cluster.workers[1], "/drain", "").await.expect("an answer");
    assert!(reply.status < 300, "{}", reply.text());
    task::sleep(LIST_LAG + DRAIN_BOUND).await;
    let count = || async {
        let mut counts = Vec::new();
        for worker in &cluster.workers[..3] {
            let reply = Client::new().get(*worker, "/control/starts").await.expect("an answer");
            counts.push(reply.json::<Vec<Value>>().expect("JSON").len());
        }
        counts
    };
    let before = count().await;
    task::sleep(Duration::from_secs(3)).await;
    let after = count().await;
    load.stop().await;
    assert_eq!(before[..2], after[..2], "starts on the leaving and the draining worker");
    assert!(before[2] < after[2], "no starts on a worker in service");
}
