//! Cancellations of jobs that are not known yet, or that belong to others.

mod installation;

use std::fs;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_standin::caller::{Answer, Caller, Job};

use installation::{Installation, KEY, Size, await_start, restart};

/// Seeds of the installations, which select their IP addresses.
const LATE_SEED: u64 = 237;
const CROWD_SEED: u64 = 238;
const OTHERS_SEED: u64 = 239;

/// Time after which a creation without an answer takes effect.
const DELAY: Duration = Duration::from_secs(6);

/// Time between two writes of tombstones, all entries together.
const WRITE_INTERVAL: Duration = Duration::from_millis(10);

/// Callers that cancel unknown jobs at the same time, and the number of jobs that each of them cancels.
const CROWD: usize = 60;
const CANCELLED_EACH: usize = 50;

fn new_job(number: u64) -> Job {
    Job { id: format!("{number:016x}"), steps: vec![1], run_time_ms: Some(500) }
}

fn count_runs(installation: &Installation, job: &Job) -> usize {
    installation.fleet.runs().iter().filter(|run| run.task.starts_with(&job.id)).count()
}

/// Guards against a job that starts although its cancelling was acknowledged with 410: the store creates it seconds later. The
/// scheduler and the entry that has answered are lost meanwhile, and the job is submitted again. Seen in review/15.
#[test]
fn job_that_is_created_after_its_cancelling_does_not_start() {
    task::block_on(async {
        let installation = Installation::start(LATE_SEED, Size::SMALL).await;
        let (caller, entries) = (Caller::new(KEY), installation.addresses());
        await_start(&installation, &caller).await;
        installation.store.delay_changes(Some(("jobs/00000000000000a", DELAY)));
        let jobs: Vec<Job> = (0xa0..0xa3).map(new_job).collect();
        let kept = Job { run_time_ms: None, ..new_job(0xa9) };
        let submits = jobs.iter().chain([&kept]).map(|job| caller.submit(entries[1], job));
        let answers = futures::future::join_all(submits).await;
        assert!(answers.iter().all(|answer| *answer == Answer::Open), "{answers:?}");
        installation.store.delay_changes(None);
        for (number, job) in jobs.iter().enumerate() {
            assert_eq!(caller.cancel(entries[number], job).await, Answer::Unknown);
        }
        // The same id in another queue is another job.
        let elsewhere = Job { run_time_ms: Some(500), ..kept.clone() };
        assert_eq!(caller.cancel(entries[0], &elsewhere).await, Answer::Unknown);
        let again = caller.submit(entries[0], &jobs[0]).await;
        assert!(matches!(again, Answer::Yes(_)), "{again:?}");
        let scheduler = installation.scheduler().expect("an entry schedules");
        let lost = Arc::clone(&installation.entries[scheduler]);
        lost.lock().expect("the lock is not poisoned").kill();
        task::sleep(DELAY).await;
        restart(&lost);
        let again = caller.submit(entries[(scheduler + 1) % entries.len()], &jobs[1]).await;
        assert!(matches!(again, Answer::Yes(_)), "{again:?}");
        let deadline = Instant::now() + Duration::from_secs(20);
        while count_runs(&installation, &kept) == 0 {
            assert!(Instant::now() < deadline, "no scheduler starts tasks, see {}", installation.folder.display());
            task::sleep(Duration::from_millis(100)).await;
        }
        task::sleep(Duration::from_secs(1)).await;
        for job in &jobs {
            assert_eq!(count_runs(&installation, job), 0, "{} runs, see {}", job.id, installation.folder.display());
            let state = caller.state(entries[(scheduler + 1) % entries.len()], job).await;
            assert_eq!(state, Answer::Yes("cancelled".to_owned()));
        }
        let _ = fs::remove_dir_all(&installation.folder);
    });
}

/// Guards against a DELETE that cancels, or tells of, the job of another queue with the same id. Part of review/8.
#[test]
fn job_of_another_queue_is_not_cancelled() {
    task::block_on(async {
        let installation = Installation::start(OTHERS_SEED, Size::SMALL).await;
        let (caller, entries) = (Caller::new(KEY), installation.addresses());
        await_start(&installation, &caller).await;
        let lasting = Job { run_time_ms: None, ..new_job(1) };
        assert!(matches!(caller.submit(entries[0], &lasting).await, Answer::Yes(_)));
        assert_eq!(caller.cancel(entries[1], &new_job(1)).await, Answer::Unknown);
        assert_ne!(caller.state(entries[1], &lasting).await, Answer::Yes("cancelled".to_owned()));
        assert!(matches!(caller.cancel(entries[1], &lasting).await, Answer::Yes(_)));
        assert_eq!(caller.cancel(entries[2], &new_job(1)).await, Answer::Unknown, "an ended job is told of");
        assert_eq!(caller.state(entries[1], &lasting).await, Answer::Yes("cancelled".to_owned()));
        let _ = fs::remove_dir_all(&installation.folder);
    });
}

/// Guards against a write for each cancelling of an unknown job: callers who cancel many of them would use up the writes that the
/// store accepts.
#[test]
fn cancelling_many_unknown_jobs_takes_few_writes() {
    task::block_on(async {
        let installation = Installation::start(CROWD_SEED, Size::SMALL).await;
        let (caller, entries) = (Caller::new(KEY), installation.addresses());
        await_start(&installation, &caller).await;
        // Time until all entries know the scheduler.
        task::sleep(Duration::from_secs(3)).await;
        let began = Instant::now();
        let (caller, entries) = (&caller, &entries);
        let cancel_some = async |first: usize| {
            for number in 0..CANCELLED_EACH {
                let job = new_job((1 << 40) + (first * CANCELLED_EACH + number) as u64);
                assert_eq!(caller.cancel(entries[first % entries.len()], &job).await, Answer::Unknown);
            }
        };
        let jobs: Vec<Job> = (0..20).map(new_job).collect();
        let submit_some = async || {
            let mut slowest = Duration::ZERO;
            for job in &jobs {
                let sent = Instant::now();
                assert!(matches!(caller.submit(entries[0], job).await, Answer::Yes(_)));
                slowest = slowest.max(sent.elapsed());
                task::sleep(Duration::from_millis(20)).await;
            }
            slowest
        };
        let crowd = futures::future::join_all((0..CROWD).map(cancel_some));
        let (_, slowest) = futures::join!(crowd, submit_some());
        let took = began.elapsed();
        let writes = installation.store.count_writes("jobs/tombstones/");
        println!(
            "{} cancelled in {took:?} with {writes} writes; slowest acceptance {slowest:?}",
            CROWD * CANCELLED_EACH
        );
        let most = took.as_millis() / WRITE_INTERVAL.as_millis() + 2;
        assert!((1..=most).contains(&(writes as u128)), "{writes} writes in {took:?}");
        for job in &jobs {
            let deadline = Instant::now() + Duration::from_secs(20);
            while caller.state(entries[1], job).await != Answer::Yes("completed".to_owned()) {
                assert!(Instant::now() < deadline, "{} is not completed", job.id);
                task::sleep(Duration::from_millis(50)).await;
            }
        }
        // They are kept for 30 s.
        let deadline = began + took + Duration::from_secs(40);
        while installation.store.count_keys("jobs/tombstones/") > 0 {
            assert!(Instant::now() < deadline, "tombstones are kept for ever");
            task::sleep(Duration::from_millis(500)).await;
        }
        let _ = fs::remove_dir_all(&installation.folder);
    });
}
