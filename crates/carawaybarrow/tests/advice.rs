//! Queues with advice, whose service is slow and finishes calls that its callers have abandoned.

mod installation;

use std::fs;
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_standin::advice::AdviceService;
use carawaybarrow_standin::caller::{Answer, Caller, Job};
use carawaybarrow_standin::settings::{with_advice, write_advised_configuration};

use installation::{Installation, KEY, POOL, Size, restart};

/// Seed of the installation, which selects its IP addresses.
const SEED: u64 = 235;

/// Time for an answer, without and for each worker.
const DECISION: Duration = Duration::from_millis(800);
const PER_WORKER: Duration = Duration::from_millis(20);

/// Jobs of a burst, each with one step.
const JOBS: u64 = 12;

/// Guards against a burst after which no task of the queue starts any more, because the calls for advice time out, are
/// repeated, and fill the queue of the service. Seen in review/9.
#[test]
fn burst_on_a_queue_with_slow_advice_is_served() {
    task::block_on(async {
        let installation = Installation::start_first(SEED, Size::SMALL, 0).await;
        let advice = AdviceService::new(DECISION, PER_WORKER);
        let (address, _server) = advice.serve().await.expect("a port for the advice service");
        write_advised_configuration(&installation.store, 2, POOL, &[KEY], &advice);
        for (number, entry) in installation.entries.iter().enumerate() {
            let path = installation.folder.join(format!("e{number}.toml"));
            let settings = fs::read_to_string(&path).expect("the settings are readable");
            fs::write(&path, with_advice(&settings, address)).expect("the settings can be written");
            restart(entry);
        }
        let (caller, entries) = (Caller::new(KEY), installation.addresses());
        installation::await_start(&installation, &caller).await;
        // A first job that is served shows that the service is used.
        task::sleep(DECISION * 4).await;
        let before = advice.handled();
        assert!(before > 0, "no advice was asked for, see {}", installation.folder.display());
        let burst = (0..JOBS).map(|n| Job { id: format!("{:016x}", SEED + n), steps: vec![1], run_time_ms: Some(50) });
        let sends = burst.map(|job| installation::submit(&caller, &entries, job, 0));
        let jobs = futures::future::join_all(sends).await;
        assert!(jobs.iter().all(|j| j.is_accepted));
        let call = DECISION + PER_WORKER * Size::SMALL.workers as u32;
        // Each step takes one call, and as many in vain would be tolerable.
        let deadline = Instant::now() + call * JOBS as u32 * 2;
        for observed in &jobs {
            while caller.state(entries[0], &observed.job).await != Answer::Yes("completed".to_owned()) {
                assert!(
                    Instant::now() < deadline,
                    "{} is not served, {} calls handled and {} refused, see {}",
                    observed.job.id,
                    advice.handled(),
                    advice.refused(),
                    installation.folder.display()
                );
                task::sleep(Duration::from_millis(100)).await;
            }
        }
        // Logs of a passed run are not needed; an error leaves only a temporary folder behind.
        let _ = fs::remove_dir_all(&installation.folder);
    });
}
