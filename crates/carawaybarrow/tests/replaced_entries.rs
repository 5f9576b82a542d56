//! Entries that are lost for good, with others at other addresses in their place.

mod installation;

use std::fs;
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_standin::caller::{Answer, Caller, Job};
use carawaybarrow_standin::checker::find_violations;
use carawaybarrow_standin::workers::ObservedRun;

use installation::{Installation, KEY, Size, restart};

/// Seeds of the installations, which select their IP addresses.
const SEEDS: [u64; 5] = [231, 232, 233, 234, 236];

/// Entries of which the first half is lost and replaced by the second half.
const SIZE: Size =
    Size { entries: 6, workers: 6, vm_api_delay: Some(Duration::from_millis(4)), data_centres: 1, more_in_first: 0 };

/// Number of entries at the start.
const EARLIER: u8 = SIZE.entries / 2;

/// Tasks without an end.
const LASTING_TASKS: u32 = 4;

/// Time from the start of the new entries in which the installation must be in service again, as the users' platform
/// requires it.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// Time without any entry.
const REPLACEMENT_TIME: Duration = Duration::from_secs(2);

fn kill(installation: &Installation, entry: usize) {
    installation.entries[entry].lock().expect("the lock is not poisoned").kill();
}

/// Loses the earlier entries by `lose`, which also starts others, and checks that these serve within the limit.
async fn check_recovery(seed: u64, size: Size, lose: impl AsyncFnOnce(&Installation)) {
    let installation = Installation::start_first(seed, size, EARLIER).await;
    let (caller, addresses) = (Caller::new(KEY), installation.addresses());
    installation::await_start(&installation, &caller).await;
    let lasting = Job { id: format!("{seed:016x}"), steps: vec![LASTING_TASKS], run_time_ms: None };
    let lasting = installation::submit(&caller, &addresses[..usize::from(EARLIER)], lasting, 0).await;
    assert!(lasting.is_accepted);
    task::sleep(Duration::from_secs(2)).await;
    lose(&installation).await;
    let deadline = Instant::now() + RECOVERY_LIMIT;
    let later = &addresses[usize::from(EARLIER)..];
    let short = Job { id: format!("{:016x}", seed + 1_000), steps: vec![2], run_time_ms: Some(50) };
    let short = loop {
        let observed = installation::submit(&caller, later, short.clone(), 0).await;
        if observed.is_accepted {
            break observed;
        }
        assert!(Instant::now() < deadline, "no job is accepted, see {}", installation.folder.display());
    };
    let is_running = |run: &&ObservedRun| run.ended.is_none() && run.task.starts_with(&lasting.job.id);
    let is_served = || installation.fleet.runs().iter().filter(is_running).count() == LASTING_TASKS as usize;
    while !is_served() || caller.state(later[0], &short.job).await != Answer::Yes("completed".to_owned()) {
        assert!(Instant::now() < deadline, "not in service again, see {}", installation.folder.display());
        task::sleep(Duration::from_millis(50)).await;
    }
    let jobs = [lasting, short];
    let runs: Vec<_> = installation.fleet.runs();
    let runs: Vec<_> = runs.into_iter().filter(|run| jobs.iter().any(|j| run.task.starts_with(&j.job.id))).collect();
    let violations = find_violations(&jobs, &runs, false);
    assert!(violations.is_empty(), "{violations:?}, see {}", installation.folder.display());
    // Logs of a passed run are not needed; an error leaves only a temporary folder behind.
    let _ = fs::remove_dir_all(&installation.folder);
}

/// Loses all earlier entries at the same moment, and starts others some seconds later.
async fn replace_all(installation: &Installation) {
    (0..usize::from(EARLIER)).for_each(|entry| kill(installation, entry));
    task::sleep(REPLACEMENT_TIME).await;
    installation.entries[usize::from(EARLIER)..].iter().for_each(|entry| restart(entry));
}

/// Does the same after the loss of a worker.
async fn lose_worker_and_replace_all(installation: &Installation) {
    installation.fleet.crash(0, RECOVERY_LIMIT * 4);
    installation.worker_proxies[0].reset();
    replace_all(installation).await;
}

/// Guards against an installation that schedules nothing for a minute because no entry is left that the last scheduler
/// listed. Seen in review/10.
#[test]
fn entries_that_replace_all_others_schedule_soon() {
    task::block_on(check_recovery(SEEDS[0], SIZE, replace_all));
}

/// Guards against the same if a worker is lost with the entries, so that it can't refuse the last scheduler's orders.
#[test]
fn entries_that_replace_all_others_need_no_answer_of_a_lost_worker() {
    task::block_on(check_recovery(SEEDS[1], SIZE, lose_worker_and_replace_all));
}

/// Guards against lists of VMs that all time out, as each takes longer than the first limit, so that nobody learns that a
/// worker has ended.
#[test]
fn slow_list_of_vms_is_waited_for() {
    let size = Size { vm_api_delay: Some(Duration::from_millis(1_500)), ..SIZE };
    task::block_on(check_recovery(SEEDS[4], size, lose_worker_and_replace_all));
}

/// Guards against the same if entries are replaced one after another, faster than the scheduler reads which there are.
#[test]
fn entries_that_replace_others_in_turn_schedule_soon() {
    task::block_on(check_recovery(SEEDS[2], SIZE, async |installation| {
        for entry in 0..usize::from(EARLIER) {
            kill(installation, entry);
            restart(&installation.entries[entry + usize::from(EARLIER)]);
            task::sleep(Duration::from_secs(1)).await;
        }
    }));
}

/// Guards against the same if one entry is started again and the others are replaced.
#[test]
fn entries_that_replace_others_beside_a_restarted_one_schedule_soon() {
    task::block_on(check_recovery(SEEDS[3], SIZE, async |installation| {
        replace_all(installation).await;
        restart(&installation.entries[0]);
    }));
}
