//! Workers that crash and start again under the ids that they had.

mod installation;

use std::fs;
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_standin::caller::{Caller, Job};
use carawaybarrow_standin::workers;

use installation::{Installation, KEY, Size};

/// Seed of the installation, which selects its IP addresses.
const RESTART_SEED: u64 = 247;

/// Time for which a worker must be known before the scheduler relies on the state of its VM, with a margin.
const SETTLING_TIME: Duration = Duration::from_millis(3_000);

/// Time for which a crashed worker is down. Its report stays in the store meanwhile.
const DOWN: Duration = Duration::from_millis(1_400);

/// Maximum time until all workers have a task, which starts in milliseconds on workers that are polled.
const START_LIMIT: Duration = Duration::from_secs(8);

/// Guards against workers that are never polled again and get no tasks. The list of VMs shows that a worker is down, so
/// the scheduler drops it, and its polls end; its report is still in the store, so the scheduler adds it again.
#[test]
fn workers_that_start_again_get_tasks() {
    task::block_on(async {
        let size = Size { vm_api_delay: Some(Duration::from_millis(4)), ..Size::SMALL };
        let installation = Installation::start(RESTART_SEED, size).await;
        let (caller, entries) = (Caller::new(KEY), installation.addresses());
        installation::await_start(&installation, &caller).await;
        task::sleep(SETTLING_TIME).await;
        for (index, proxy) in installation.worker_proxies.iter().enumerate() {
            installation.fleet.crash(index, DOWN);
            proxy.reset();
            task::sleep(Duration::from_millis(250)).await;
        }
        task::sleep(DOWN + SETTLING_TIME).await;
        let tasks = u32::try_from(size.workers * 4).expect("a small number");
        let job = Job { id: format!("{RESTART_SEED:016x}"), steps: vec![tasks], run_time_ms: Some(60_000) };
        assert!(installation::submit(&caller, &entries, job, 0).await.is_accepted);
        let deadline = Instant::now() + START_LIMIT;
        loop {
            let runs = installation.fleet.runs();
            let is_idle = |index: &usize| {
                let name = format!("{}/2", workers::worker_name(*index));
                !runs.iter().any(|r| r.worker == name && r.ended.is_none())
            };
            let idle: Vec<usize> = (0..size.workers).filter(is_idle).collect();
            if idle.is_empty() {
                break;
            }
            assert!(Instant::now() < deadline, "workers {idle:?} get no tasks, see {}", installation.folder.display());
            task::sleep(Duration::from_millis(50)).await;
        }
        // Logs of a passed run are not needed; an error leaves only a temporary folder behind.
        let _ = fs::remove_dir_all(&installation.folder);
    });
}
