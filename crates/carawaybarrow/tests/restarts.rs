//! Workers that crash and start again under the ids that they had, and a scheduler that doesn't.

mod installation;

use std::fs;
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_standin::caller::{Answer, Caller, Job};
use carawaybarrow_standin::workers;

use installation::{Installation, KEY, Size};

/// Seed of the installation, which selects its IP addresses.
const RESTART_SEED: u64 = 247;

/// The same, of the installation that loses its scheduler.
const LOSS_SEED: u64 = 243;

/// Time for which a worker must be known before the scheduler relies on the state of its VM, with a margin.
const SETTLING_TIME: Duration = Duration::from_millis(3_000);

/// Time for which a crashed worker is down. Its report stays in the store meanwhile.
const DOWN: Duration = Duration::from_millis(1_400);

/// Maximum time until all workers have a task, which starts in milliseconds on workers that are polled, and until a job
/// that was accepted after the loss of the scheduler is done.
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

/// Guards against jobs that wait after the loss of a scheduler's VM as long as that scheduler could act if another entry had
/// confirmed its term until the end, although all entries answer that none has.
#[test]
fn lost_scheduler_is_known_to_have_stopped() {
    task::block_on(async {
        let installation = Installation::start(LOSS_SEED, Size::SMALL).await;
        let (caller, entries) = (Caller::new(KEY), installation.addresses());
        installation::await_start(&installation, &caller).await;
        // The stored succession names the other entries by then.
        task::sleep(SETTLING_TIME).await;
        let scheduler = installation.scheduler().expect("an entry schedules");
        installation.entries[scheduler].lock().expect("the lock is not poisoned").kill();
        let job = Job { id: format!("{LOSS_SEED:016x}"), steps: vec![1], run_time_ms: Some(50) };
        let other = entries[(scheduler + 1) % entries.len()];
        assert!(installation::submit(&caller, &[other], job.clone(), 0).await.is_accepted);
        let deadline = Instant::now() + START_LIMIT;
        while caller.state(other, &job).await != Answer::Yes("completed".to_owned()) {
            assert!(Instant::now() < deadline, "the job is not done, see {}", installation.folder.display());
            task::sleep(Duration::from_millis(50)).await;
        }
        let logs: Vec<String> =
            installation.entries.iter().map(|e| e.lock().expect("the lock is not poisoned").log()).collect();
        let is_known = logs.iter().any(|log| log.contains("the earlier scheduler gives no answer and stops by itself"));
        assert!(is_known, "see {}", installation.folder.display());
        // Logs of a passed run are not needed; an error leaves only a temporary folder behind.
        let _ = fs::remove_dir_all(&installation.folder);
    });
}
