//! Soak test: injects random faults into an installation of `carawaybarrow node` processes. Faults are signals, delayed
//! and blocked connections, and faults of the store and the workers. The guarantees are checked against the runs of the
//! workers and the responses that callers received.
//!
//! `SOAK_SEEDS=100..150 cargo test --release --test soak -- --nocapture` runs other seeds, and `SOAK_OUTAGE_SEEDS` those
//! of long outages, `SOAK_DIVISION_SEEDS` those of divisions, `SOAK_CUT_SEEDS` those of cuts of data centres,
//! `SOAK_REPLACEMENT_SEEDS` those of replacements and `SOAK_UNANSWERED_SEEDS` those of calls without an answer.
//! `SOAK_SEEDS_AT_ONCE` sets how many seeds run at the same time.

mod installation;
mod soak_faults;

use std::collections::BTreeSet;
use std::fs;
use std::sync::{PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::thread;
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_standin::caller::{Caller, Job};
use carawaybarrow_standin::checker::{find_late_starts, find_violations};
use carawaybarrow_standin::proxy::PathState;
use carawaybarrow_standin::workers::{self, EndReason};
use rand::SeedableRng;
use rand::rngs::StdRng;

use installation::divisions::{Direction, Division};
use installation::{Installation, KEY, Size, restart};
use soak_faults::{SHORT_RUN_TIME_MS, Scenario, inject_path_fault, isolate_scheduler};

/// Seeds of the run in CI.
const SEEDS: [u64; 2] = [3, 4];

/// Seeds that found faults. 1 and 2: a poll carries the number of the last stored end, and the worker discards the ends
/// up to it; numbers of its previous incarnation also removed ends of its next one. 103: the stand-in crashed a worker
/// that was down. 222: a start in flight was carried out by the worker's next incarnation.
const REGRESSIONS: [u64; 4] = [1, 2, 103, 222];

/// Number of seeds that run at the same time, each with three processes.
const SEEDS_AT_ONCE: usize = 6;

/// Time without faults after which an entry counts as in touch with the store and the workers.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Seeds of the run in CI with calls that get no answer. No other seed of this file may give the same addresses, see
/// [`HANDOVER_SEED`].
const UNANSWERED_SEEDS: [u64; 2] = [862, 864];

/// Seeds of the run in CI with outages. They found faults. 512: a scheduler without the store went on beside its
/// successor. 520: the successor did not know the scheduler of the last term. No other seed of this file may give the
/// same addresses, see [`HANDOVER_SEED`].
const OUTAGE_SEEDS: [u64; 2] = [512, 520];

/// Number of seeds with outages that run at the same time, each with up to nine processes.
const OUTAGE_SEEDS_AT_ONCE: usize = 3;

/// Seeds of the run in CI with divisions. They found faults. 641: a scheduler that was cut off together with other
/// entries went on beside its successor, as those entries had lost the store too. 644: a scheduler that was cut off
/// restarted tasks of silent workers, whose leases its successor had extended and whose ends it had acknowledged; this
/// depends on timing and was seen in one of two runs.
const DIVISION_SEEDS: [u64; 2] = [641, 644];

/// Number of seeds with divisions that run at the same time, each with up to nine processes.
const DIVISION_SEEDS_AT_ONCE: usize = 2;

/// Seed of the run in CI with cuts of data centres. It found a scheduler that went on beside its successor because the
/// other entries of its data centre had lost the store too; this depends on timing and was seen in one of two runs.
const CUT_SEEDS: [u64; 1] = [705];

/// Number of seeds with cuts of data centres that run at the same time, each with up to nine processes.
const CUT_SEEDS_AT_ONCE: usize = 2;

/// Seeds of the run in CI with replacements of all entries.
const REPLACEMENT_SEEDS: [u64; 2] = [801, 802];

/// Number of seeds with replacements that run at the same time, each with up to eight processes.
const REPLACEMENT_SEEDS_AT_ONCE: usize = 2;

/// Maximum time until a new installation accepts its first job.
const START_LIMIT: Duration = Duration::from_secs(10);

/// Seed of the handover test's installation. It selects the IP addresses and must not be among the seeds of the
/// soak test modulo 250, as both give the same addresses.
const HANDOVER_SEED: u64 = 249;

/// Seed of the installation whose scheduler is isolated. As for [`HANDOVER_SEED`], no seed of the soak test may give the
/// same addresses.
const ISOLATION_SEED: u64 = 245;

/// Time for which the scheduler is isolated. Its successor waits 7.6 s for workers that do not answer.
const ISOLATION_DURATION: Duration = Duration::from_secs(14);

/// Seed of the installation whose scheduler is cut off together with one more entry. As for [`HANDOVER_SEED`], no seed of
/// the soak test may give the same addresses.
const COMPANION_SEED: u64 = 240;

/// Seed of the installation whose next scheduler is not listed. As for [`HANDOVER_SEED`], no seed of the soak test may
/// give the same addresses.
const UNLISTED_SEED: u64 = 242;

/// Seed of the installation whose schedulers lose the store. As for [`HANDOVER_SEED`], no seed of the soak test may give
/// the same addresses.
const STORE_LOSS_SEED: u64 = 248;

/// Held while a test of this file runs, exclusively by those that start so many processes that the limits of the others, which
/// depend on time, would not hold beside them.
static MACHINE: RwLock<()> = RwLock::new(());

/// Waits until a test may run beside the others.
fn share_machine() -> RwLockReadGuard<'static, ()> {
    MACHINE.read().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until a test may run alone.
fn occupy_machine() -> RwLockWriteGuard<'static, ()> {
    MACHINE.write().unwrap_or_else(PoisonError::into_inner)
}

/// Runs one seed. Returns a message for each violation of a guarantee.
async fn run_seed(scenario: Scenario, seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let size = scenario.size(&mut rng);
    let installation = match scenario {
        Scenario::Unanswered => Installation::start_advised(seed, size).await,
        _ => Installation::start(seed, size).await,
    };
    let entries = installation.addresses();
    let lasting_job = Job { id: format!("{seed:016x}"), steps: vec![scenario.lasting_tasks()], run_time_ms: None };
    let caller = Caller::new(KEY);
    let started = Instant::now();
    let mut first = installation::submit(&caller, &entries, lasting_job.clone(), 0).await;
    while !first.is_accepted && started.elapsed() < START_LIMIT {
        first = installation::submit(&caller, &entries, lasting_job.clone(), 0).await;
    }
    assert!(first.is_accepted, "seed {seed}: no entry accepts a job, see {}", installation.folder.display());
    let deadline = Instant::now() + scenario.fault_duration(&mut rng);
    // The jobs are drawn with another seed than the faults, so that the two sequences are independent.
    let sender = task::spawn(installation::send_jobs(entries.clone(), seed ^ 0x50a4, deadline, scenario.run_time_ms()));
    let faults = scenario.inject_faults(&installation, &mut rng, started, deadline).await;
    installation.end_faults();
    let in_touch_since = match scenario {
        // Its faults leave all entries in touch.
        Scenario::Unanswered => started,
        _ => Instant::now() + CONTACT_TIME,
    };
    let mut jobs = sender.await;
    let mut violations = installation::await_final_states(&installation, &mut jobs).await;
    jobs.push(first);
    let runs = installation.fleet.runs();
    violations.extend(find_violations(&jobs, &runs, false));
    violations.extend(find_late_starts(&jobs, &runs, in_touch_since));
    let running = runs.iter().filter(|r| r.task.starts_with(&lasting_job.id) && r.ended.is_none()).count();
    let lasting = scenario.lasting_tasks();
    if running != lasting as usize {
        violations.push(format!("{running} of the {lasting} tasks without an end are running"));
    }
    let done = runs.iter().filter(|r| matches!(r.ended, Some((_, EndReason::Done)))).count();
    println!(
        "{scenario:?} seed {seed}, {size:?}: {} jobs, {} accepted, {} cancelled unaccepted, {} runs, {done} done, {} faults, {} violations",
        jobs.len(),
        jobs.iter().filter(|j| j.is_accepted).count(),
        jobs.iter().filter(|j| !j.is_accepted && j.cancelled.is_some()).count(),
        runs.len(),
        faults.len(),
        violations.len()
    );
    assert!(done > 50, "seed {seed}: too few runs were completed, see {}", installation.folder.display());
    if violations.is_empty() {
        // Logs of a passed run are not needed; an error leaves only a temporary folder behind.
        let _ = fs::remove_dir_all(&installation.folder);
    } else {
        println!(
            "seed {seed}, logs in {}:\n  {}\n  {}",
            installation.folder.display(),
            faults.join("\n  "),
            violations.join("\n  ")
        );
    }
    violations
}

/// Seeds of an environment variable, in the form `FROM..TO`; `None` if it is not set.
fn seeds_of(variable: &str) -> Option<Vec<u64>> {
    let range = std::env::var(variable).ok()?;
    let (from, to) = range.split_once("..").expect("the variable has the form FROM..TO");
    let bound = |text: &str| text.parse::<u64>().expect("a number");
    Some((bound(from)..bound(to)).collect())
}

/// Runs seeds, some of them at the same time, and fails if a guarantee was violated.
fn run_seeds(scenario: Scenario, seeds: &[u64], seeds_at_once: usize) {
    let runs_alone = matches!(scenario, Scenario::Replacements);
    let _alone = runs_alone.then(occupy_machine);
    let _shared = (!runs_alone).then(share_machine);
    let at_once = std::env::var("SOAK_SEEDS_AT_ONCE").map(|text| text.parse().expect("a number"));
    let seeds_at_once = at_once.unwrap_or(seeds_at_once);
    let mut failed = Vec::new();
    for chunk in seeds.chunks(seeds_at_once) {
        let threads = chunk.iter().map(|&seed| (seed, thread::spawn(move || task::block_on(run_seed(scenario, seed)))));
        let threads: Vec<_> = threads.collect();
        // A thread that panicked has printed the reason.
        failed.extend(threads.into_iter().filter_map(|(seed, thread)| match thread.join() {
            Ok(violations) if violations.is_empty() => None,
            Ok(_) | Err(_) => Some(seed),
        }));
    }
    assert!(failed.is_empty(), "guarantees were violated with seeds {failed:?} of {scenario:?}");
}

/// Guards against lost jobs, tasks that run twice or out of order, and refused jobs that run. They come about when
/// messages, writes and restarts of real processes interleave in ways that the tests of the scheduler's model don't
/// cover.
#[test]
fn guarantees_hold_for_processes_under_random_faults() {
    let seeds = seeds_of("SOAK_SEEDS").unwrap_or_else(|| SEEDS.into_iter().chain(REGRESSIONS).collect());
    run_seeds(Scenario::Mixed, &seeds, SEEDS_AT_ONCE);
}

/// Guards against starts that are repeated for ever, and against jobs that start after their cancelling was acknowledged, when
/// starts, creations and cancellations get no answer and are executed seconds later, also by workers that have crashed
/// meanwhile.
#[test]
fn guarantees_hold_for_processes_with_unanswered_calls() {
    let seeds = seeds_of("SOAK_UNANSWERED_SEEDS").unwrap_or_else(|| UNANSWERED_SEEDS.to_vec());
    run_seeds(Scenario::Unanswered, &seeds, SEEDS_AT_ONCE);
}

/// Guards against lost jobs and tasks that run twice while the store is away for longer than the leases of schedulers
/// and workers last, and several schedulers are lost meanwhile.
#[test]
fn guarantees_hold_for_processes_in_outages() {
    let seeds = seeds_of("SOAK_OUTAGE_SEEDS").unwrap_or_else(|| OUTAGE_SEEDS.to_vec());
    run_seeds(Scenario::Outages, &seeds, OUTAGE_SEEDS_AT_ONCE);
}

/// Guards against lost jobs and tasks that run twice while entries are cut off from each other, from the store or from
/// workers, in ways that overlap.
#[test]
fn guarantees_hold_for_processes_in_divisions() {
    let seeds = seeds_of("SOAK_DIVISION_SEEDS").unwrap_or_else(|| DIVISION_SEEDS.to_vec());
    run_seeds(Scenario::Divisions, &seeds, DIVISION_SEEDS_AT_ONCE);
}

/// Guards against tasks that run twice while a data centre is cut off together with its scheduler, and the other entries
/// lose the store too.
#[test]
fn guarantees_hold_for_processes_in_cuts_of_data_centres() {
    let seeds = seeds_of("SOAK_CUT_SEEDS").unwrap_or_else(|| CUT_SEEDS.to_vec());
    run_seeds(Scenario::DataCentreCuts, &seeds, CUT_SEEDS_AT_ONCE);
}

/// Guards against jobs that wait for a minute, and tasks that run twice, when all entries are replaced by others at other
/// addresses, and the earlier ones may still schedule without the store.
#[test]
fn guarantees_hold_for_processes_in_replacements() {
    let seeds = seeds_of("SOAK_REPLACEMENT_SEEDS").unwrap_or_else(|| REPLACEMENT_SEEDS.to_vec());
    run_seeds(Scenario::Replacements, &seeds, REPLACEMENT_SEEDS_AT_ONCE);
}

/// Guards against an installation without a scheduler after its stronger entries were lost, because the weak one keeps
/// yielding, and against a weak scheduler that stays although a stronger entry has returned.
#[test]
fn weak_entry_schedules_until_a_stronger_one_returns() {
    let _shared = share_machine();
    task::block_on(async {
        let installation = Installation::start(HANDOVER_SEED, Size::SMALL).await;
        let caller = Caller::new(KEY);
        let entries = installation.addresses();
        for stronger in &installation.entries[1..] {
            stronger.lock().expect("the lock is not poisoned").kill();
        }
        installation::await_scheduler(&installation, "e0").await;
        let job = |id: u64| Job { id: format!("{id:016x}"), steps: vec![2, 2], run_time_ms: Some(100) };
        let mut jobs = vec![installation::submit(&caller, &entries[..1], job(1), 0).await];
        restart(&installation.entries[1]);
        installation::await_scheduler(&installation, "e1").await;
        jobs.push(installation::submit(&caller, &entries[..1], job(2), 0).await);
        assert!(jobs.iter().all(|observed| observed.is_accepted));
        let mut violations = installation::await_final_states(&installation, &mut jobs).await;
        violations.extend(find_violations(&jobs, &installation.fleet.runs(), false));
        assert!(violations.is_empty(), "{violations:?}, see {}", installation.folder.display());
        // Logs of a passed run are not needed; an error leaves only a temporary folder behind.
        let _ = fs::remove_dir_all(&installation.folder);
    });
}

/// Guards against tasks that run twice around a takeover. Only the connection of the scheduler to the store is cut, so it
/// still starts jobs of which other entries notify it, while its successor learns of them later.
#[test]
fn schedulers_that_lose_only_the_store_double_nothing() {
    let _shared = share_machine();
    task::block_on(async {
        let installation = Installation::start(STORE_LOSS_SEED, Size::SMALL).await;
        let entries = installation.addresses();
        let mut jobs = Vec::new();
        for round in 0..3 {
            let owner = installation::await_any_scheduler(&installation).await;
            let name = owner["entry"].as_str().expect("the record names its entry").to_owned();
            let index: usize = name.trim_start_matches('e').parse().expect("entries are named by number");
            let sender = task::spawn(installation::send_jobs(
                entries.clone(),
                round,
                Instant::now() + Duration::from_secs(4),
                SHORT_RUN_TIME_MS,
            ));
            task::sleep(Duration::from_millis(500)).await;
            let proxy = installation.entries[index].lock().expect("the lock is not poisoned").store_proxy.clone();
            inject_path_fault(&proxy, PathState::Silent, Duration::from_millis(2_500), &name);
            jobs.extend(sender.await);
            let successor = installation::await_any_scheduler(&installation).await;
            assert_ne!(successor["term"], owner["term"], "no other entry took over in round {round}");
        }
        let mut violations = installation::await_final_states(&installation, &mut jobs).await;
        violations.extend(find_violations(&jobs, &installation.fleet.runs(), false));
        assert!(violations.is_empty(), "{violations:?}, see {}", installation.folder.display());
        // Logs of a passed run are not needed; an error leaves only a temporary folder behind.
        let _ = fs::remove_dir_all(&installation.folder);
    });
}

/// Checks that no task of a lasting job runs twice, and that all run in the end, while `divide` cuts off the scheduler for
/// [`ISOLATION_DURATION`]. `divide` gets the index of the scheduler. At first, only the first `started` entries run.
fn check_lasting_job(seed: u64, size: Size, started: u8, divide: fn(&Installation, usize) -> String) {
    let _shared = share_machine();
    task::block_on(async {
        let installation = Installation::start_first(seed, size, started).await;
        let (caller, entries) = (Caller::new(KEY), installation.addresses());
        installation::await_start(&installation, &caller).await;
        let lasting_job = Job { id: format!("{seed:016x}"), steps: vec![20], run_time_ms: None };
        let lasting = installation::submit(&caller, &entries, lasting_job, 0).await;
        assert!(lasting.is_accepted);
        task::sleep(Duration::from_secs(2)).await;
        let scheduler = installation.scheduler().expect("an entry schedules");
        println!("{}", divide(&installation, scheduler));
        task::sleep(ISOLATION_DURATION + Duration::from_secs(4)).await;
        let runs = installation.fleet.runs();
        let jobs = [lasting];
        // Jobs that show that the installation is in service have other ids.
        let is_of_job = |run: &&workers::ObservedRun| run.task.starts_with(&jobs[0].job.id);
        let runs: Vec<_> = runs.iter().filter(is_of_job).cloned().collect();
        let violations = find_violations(&jobs, &runs, false);
        assert!(violations.is_empty(), "{violations:?}, see {}", installation.folder.display());
        let running = runs.iter().filter(|run| run.ended.is_none()).count();
        assert_eq!(running, 20, "tasks that run, see {}", installation.folder.display());
        // Logs of a passed run are not needed; an error leaves only a temporary folder behind.
        let _ = fs::remove_dir_all(&installation.folder);
    });
}

/// Guards against tasks that run twice because a scheduler that has lost the store extends the leases of workers that
/// only it can reach, while its successor waits no longer than the last lease that it expects.
#[test]
fn isolated_scheduler_doubles_nothing() {
    check_lasting_job(ISOLATION_SEED, Size::SMALL, Size::SMALL.entries, |installation, scheduler| {
        isolate_scheduler(installation, scheduler, ISOLATION_DURATION)
    });
}

/// Guards against tasks that run twice because the only entry that a scheduler without the store still reaches has lost
/// the store too, which does not show that the store is lost for all.
#[test]
fn scheduler_beside_one_more_entry_doubles_nothing() {
    let size = Size { entries: 5, workers: 9, data_centres: 3, more_in_first: 0, vm_api_delay: None };
    check_lasting_job(COMPANION_SEED, size, size.entries, |installation, scheduler| {
        // The first entry is weak and is not asked for relief.
        let companion =
            (1..installation.entries.len()).find(|index| *index != scheduler).expect("there are five entries");
        installation.divide(&Division {
            side: BTreeSet::from([scheduler, companion]),
            direction: Direction::Both,
            state: PathState::Silent,
            loses_store: true,
            workers: Some((0..installation.worker_proxies.len()).filter(|worker| worker % 3 == 0).collect()),
            duration: ISOLATION_DURATION,
        })
    });
}

/// Guards against tasks that run twice because an entry that the scheduler does not list begins a term, while all listed
/// entries have lost the store and confirm the scheduler.
#[test]
fn scheduler_that_is_not_listed_doubles_nothing() {
    let size = Size { entries: 5, workers: 9, data_centres: 3, more_in_first: 0, vm_api_delay: None };
    check_lasting_job(UNLISTED_SEED, size, size.entries - 1, |installation, _| {
        let unlisted = installation.entries.len() - 1;
        for entry in &installation.entries[..unlisted] {
            let proxy = entry.lock().expect("the lock is not poisoned").store_proxy.clone();
            inject_path_fault(&proxy, PathState::Silent, ISOLATION_DURATION, "");
        }
        // Its record is stored only now, so that no other entry has read it.
        restart(&installation.entries[unlisted]);
        installation.divide(&Division {
            side: BTreeSet::from([unlisted]),
            direction: Direction::Both,
            state: PathState::Silent,
            loses_store: false,
            workers: Some((0..installation.worker_proxies.len()).filter(|worker| worker % 3 != 0).collect()),
            duration: ISOLATION_DURATION,
        })
    });
}
