//! What callers are told while the store gives no answer to any entry.

mod installation;

use std::fs;
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_standin::caller::{Answer, Caller, Job};
use carawaybarrow_standin::store::Fault;

use installation::{Installation, KEY, Size};

/// Seed of the installation, which selects its IP addresses.
const SEED: u64 = 241;

/// Maximum time until an entry has lost or regained the store.
const NOTICE_LIMIT: Duration = Duration::from_secs(20);

/// Guards against callers that are told "unknown" after 2 s, and so can't send their job again, although their entry knew that
/// the store gives no answer and nothing needed to be sent.
#[test]
fn job_is_refused_while_the_store_is_lost() {
    task::block_on(async {
        let installation = Installation::start(SEED, Size::SMALL).await;
        let (caller, entries) = (Caller::new(KEY), installation.addresses());
        installation::await_start(&installation, &caller).await;
        installation.store.set_fault(Fault::Silent);
        let is_lost = |entry: &std::sync::Mutex<installation::Entry>| {
            entry.lock().expect("the lock is not poisoned").log().contains("store lost")
        };
        let deadline = Instant::now() + NOTICE_LIMIT;
        while !installation.entries.iter().all(|entry| is_lost(entry)) {
            assert!(Instant::now() < deadline, "the loss is not noticed, see {}", installation.folder.display());
            task::sleep(Duration::from_millis(20)).await;
        }
        let job = Job { id: format!("{SEED:016x}"), steps: vec![1], run_time_ms: Some(50) };
        for entry in &entries {
            assert_eq!(caller.submit(*entry, &job).await, Answer::Refused);
        }
        installation.store.set_fault(Fault::None);
        let deadline = Instant::now() + NOTICE_LIMIT;
        while caller.submit(entries[0], &job).await != Answer::Yes(String::new()) {
            assert!(Instant::now() < deadline, "the job is not accepted, see {}", installation.folder.display());
            task::sleep(Duration::from_millis(100)).await;
        }
        // Logs of a passed run are not needed; an error leaves only a temporary folder behind.
        let _ = fs::remove_dir_all(&installation.folder);
    });
}
