//! Entries that other writers leave among the reports of the workers.

mod installation;

use std::collections::BTreeSet;
use std::fs;
use std::net::TcpListener;
use std::time::{Duration, Instant};

use async_std::{future, task};
use carawaybarrow_platform::store::StoreClient;
use carawaybarrow_platform::workers::REPORT_PREFIX;
use carawaybarrow_standin::caller::{Answer, Caller, Job};
use carawaybarrow_standin::store::Store;
use serde_json::{Value, json};

use installation::{Installation, KEY, Size};

/// Seed of the installation, which selects its IP addresses.
const ODD_ENTRIES_SEED: u64 = 246;

/// Maximum time from the loss of a scheduler until a new job is done. The store's lease lasts 1.5 s, the next probe
/// begins within 0.5 s, and new jobs wait at most 2 s for workers that have not answered. The leases of workers, for
/// which jobs must not wait here, last longer.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(6);

/// Depth of the nested entries.
const NESTING: usize = 20_000;

/// Items of one page of the stand-in's store.
const PAGE_ITEMS: usize = 500;

fn report(address: &str) -> Value {
    json!({
        "service": "pool", "address": address, "zone": "a", "state": "ready", "seq": 1, "born": 1,
        "capacity": { "cpu": 4_000, "mem-mb": 8_000, "gpu": 0 }, "labels": ["a", "r1"],
    })
}

/// Writes odd entries beside the reports of the workers. Nothing answers at `silent`.
fn write_odd_entries(store: &Store, silent: &str) {
    let mut entries = vec![report(silent), report("127.0.0.1:1"), report("127.0.0.1:99999")];
    let mut lost = report(silent);
    lost["state"] = json!("lost");
    entries.push(lost);
    let mut large = report(silent);
    large["capacity"]["cpu"] = json!(u64::MAX);
    large["born"] = json!(u64::MAX);
    entries.push(large);
    for (number, entry) in entries.iter().enumerate() {
        store.write(&format!("{REPORT_PREFIX}odd&{number}%20"), entry);
    }
    // A value of this depth can't be built without a deep recursion here.
    let nested = format!("{}1{}", "[".repeat(NESTING), "]".repeat(NESTING));
    for field in ["zone", "version"] {
        let text = report(silent).to_string().replacen('{', &format!("{{\"{field}\":{nested},"), 1);
        store.write_bytes(&format!("{REPORT_PREFIX}nested-{field}"), text.as_bytes());
    }
    store.write_bytes(&format!("{REPORT_PREFIX}number"), br#"{"service":"pool","address":"127.0.0.1:1","born":1e999}"#);
    store.write_bytes(&format!("{REPORT_PREFIX}bytes"), &[0xff, 0x00, 0x7b]);
}

/// Guards against jobs that wait, after the loss of a scheduler, for the leases of workers that don't exist, and against
/// entries whose processes end or no longer follow the workers.
#[test]
fn odd_entries_delay_no_job() {
    task::block_on(async {
        let silent = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let installation = Installation::start(ODD_ENTRIES_SEED, Size::SMALL).await;
        write_odd_entries(&installation.store, &silent.local_addr().expect("a bound address").to_string());
        let (caller, entries) = (Caller::new(KEY), installation.addresses());
        installation::await_start(&installation, &caller).await;
        for round in 0..2 {
            // The first scheduler has stored a recovery set by now.
            task::sleep(Duration::from_secs(3)).await;
            installation::await_any_scheduler(&installation).await;
            let scheduler = installation.scheduler().expect("an entry schedules");
            installation.entries[scheduler].lock().expect("the lock is not poisoned").kill();
            let killed = Instant::now();
            let job = Job { id: format!("{round:016x}"), steps: vec![1], run_time_ms: Some(50) };
            let other = entries[(scheduler + 1) % entries.len()];
            assert!(installation::submit(&caller, &[other], job.clone(), 0).await.is_accepted);
            while caller.state(other, &job).await != Answer::Yes("completed".to_owned()) {
                let folder = installation.folder.display();
                assert!(killed.elapsed() < TAKEOVER_LIMIT, "the job of round {round} is not done, see {folder}");
                task::sleep(Duration::from_millis(20)).await;
            }
            println!("round {round}: a job was done {:?} after the loss of the scheduler", killed.elapsed());
            installation::restart(&installation.entries[scheduler]);
        }
        for entry in &installation.entries {
            assert!(entry.lock().expect("the lock is not poisoned").is_running(), "the process of an entry has ended");
        }
        // Logs of a passed run are not needed; an error leaves only a temporary folder behind.
        let _ = fs::remove_dir_all(&installation.folder);
    });
}

/// Guards against a listing without an end: the key at the end of a page has characters that end it in a query, so the
/// next page begins at an earlier key.
#[test]
fn keys_with_special_characters_are_listed_once() {
    task::block_on(async {
        let store = Store::default();
        let (address, _server) = store.serve().await.expect("a port for the store");
        let mut keys: BTreeSet<String> = (1..PAGE_ITEMS).map(|n| format!("{REPORT_PREFIX}b{n:03}")).collect();
        keys.extend(["b999&x=1", "b999+%41#", "c"].map(|id| format!("{REPORT_PREFIX}{id}")));
        keys.iter().for_each(|key| store.write(key, &json!({})));
        let client = StoreClient::new(address, "test");
        let listed = future::timeout(Duration::from_secs(10), client.list(REPORT_PREFIX, Duration::from_secs(1))).await;
        let (items, _) = listed.expect("the listing ends").expect("the store answers");
        assert_eq!(items.len(), keys.len());
        assert_eq!(items.into_iter().map(|item| item.key).collect::<BTreeSet<_>>(), keys);
        let odd = format!("{REPORT_PREFIX}b999&x=1");
        let item = client.get(&odd, Duration::from_secs(1)).await.expect("the store answers");
        assert_eq!(item.map(|item| item.key), Some(odd));
    });
}
