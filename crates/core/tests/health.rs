//! Quarantine of workers: who is quarantined, for which failures, and how a trial job ends it.

use carawaybarrow_core::health::{Eligibility, HealthEvent, PoolHealth, RunResult};
use carawaybarrow_core::ids::{JobId, VmId};
use carawaybarrow_core::units::MonoTime;

fn vm(i: u32) -> VmId {
    VmId::new(format!("w{i}")).unwrap()
}

fn job(name: impl std::fmt::Display) -> JobId {
    JobId::new(format!("j{name}")).unwrap()
}

fn health(size: u32) -> PoolHealth {
    let members: Vec<_> = (0..size).map(vm).collect();
    let mut health = PoolHealth::new();
    health.set_members(&members);
    health
}

/// Runs ten jobs on each worker; all jobs of the first `failing` workers fail.
fn run_jobs(health: &mut PoolHealth, size: u32, failing: u32, at: u64) {
    for n in 0..10 {
        for w in (0..size).rev() {
            let result = if w < failing { RunResult::Failed } else { RunResult::Done };
            health.record_result(&vm(w), &job(format!("{at}-{w}-{n}")), result, MonoTime(at + n));
        }
    }
}

/// Guards against a worker that fails all its jobs and still gets new ones, and against more than 20 % of a pool in
/// quarantine; one worker always may be, if there are others to compare it with.
#[test]
fn failing_workers_are_quarantined_up_to_the_limit() {
    // (workers, workers whose jobs all fail, workers in quarantine)
    for (size, failing, expected) in
        [(10, 0, 0), (10, 1, 1), (10, 2, 2), (10, 4, 2), (3, 1, 1), (4, 2, 1), (1, 1, 0), (25, 6, 5)]
    {
        let mut health = health(size);
        run_jobs(&mut health, size, failing, 0);
        assert_eq!(health.count_quarantined(), expected, "{failing} of {size} workers fail");
        let blocked: Vec<_> =
            (0..size).filter(|w| health.check_eligibility(&vm(*w), MonoTime(20)) != Eligibility::Eligible).collect();
        assert!(blocked.iter().all(|w| *w < failing), "a healthy worker was quarantined: {blocked:?}");
    }
}

/// Guards against a quarantine for failures that are not the fault of the worker: jobs that fail on other workers too,
/// and one job that is repeated on the same worker.
#[test]
fn faulty_jobs_do_not_quarantine_a_worker() {
    let mut shared = health(5);
    for n in 0..20 {
        for w in 0..5 {
            shared.record_result(&vm(w), &job(n), RunResult::Failed, MonoTime(n));
            shared.record_result(&vm(w), &job(format!("ok-{w}-{n}")), RunResult::Done, MonoTime(n));
        }
    }
    assert_eq!(shared.count_quarantined(), 0, "repeated jobs");

    let mut few_jobs = health(5);
    for n in 0..40 {
        few_jobs.record_result(&vm(1), &job(format!("ok-{n}")), RunResult::Done, MonoTime(n));
    }
    for n in 0..6 {
        few_jobs.record_result(&vm(1), &job(n), RunResult::Failed, MonoTime(40));
        few_jobs.record_result(&vm(0), &job(n), RunResult::Failed, MonoTime(41));
    }
    assert_eq!(few_jobs.count_quarantined(), 0, "a worker whose jobs all failed on another worker too");

    let mut one_job = health(5);
    for n in 0..20 {
        one_job.record_result(&vm(0), &job("same"), RunResult::Failed, MonoTime(n));
        one_job.record_result(&vm(1), &job(format!("ok-{n}")), RunResult::Done, MonoTime(n));
    }
    assert_eq!(one_job.count_quarantined(), 0, "one job that is repeated on one worker");

    let mut all_fail = health(5);
    run_jobs(&mut all_fail, 5, 5, 0);
    assert_eq!(all_fail.count_quarantined(), 0, "distinct jobs that fail on every worker");
}

/// Guards against failures that count for ever, so that rare ones add up to a quarantine in the long run.
#[test]
fn failures_outside_the_window_do_not_count() {
    let mut health = health(5);
    for n in 0..20 {
        let at = MonoTime(n * 120_000);
        health.record_result(&vm(0), &job(format!("a{n}")), RunResult::Failed, at);
        for k in 0..3 {
            health.record_result(&vm(1), &job(format!("b{n}-{k}")), RunResult::Done, at);
        }
    }
    assert_eq!(health.count_quarantined(), 0, "three failures in each window of 300 s");
}

/// Guards against a worker that never leaves quarantine, and against more than one job at a time for a worker on trial.
#[test]
fn trial_job_after_sixty_seconds_decides_about_release() {
    for (result, event, eligibility) in [
        (RunResult::Done, HealthEvent::Released, Eligibility::Eligible),
        (RunResult::Failed, HealthEvent::TrialFailed, Eligibility::Blocked),
    ] {
        let mut health = health(5);
        run_jobs(&mut health, 5, 1, 0);
        // In ms: the time of the failure that begins the quarantine, the fourth of the worker.
        let since = 3;
        assert_eq!(health.check_eligibility(&vm(0), MonoTime(since + 59_000)), Eligibility::Blocked);
        assert!(!health.start_trial(&vm(0), &job("t"), MonoTime(since + 59_000)));
        let now = MonoTime(since + 60_000);
        assert_eq!(health.check_eligibility(&vm(0), now), Eligibility::TrialOnly);
        assert!(health.start_trial(&vm(0), &job("t"), now));
        assert!(!health.start_trial(&vm(0), &job("u"), now), "a second trial job");
        assert_eq!(
            health.record_result(&vm(0), &job("old"), RunResult::Done, now),
            None,
            "a job from before the quarantine"
        );
        assert_eq!(health.check_eligibility(&vm(0), now), Eligibility::Blocked);
        assert_eq!(health.record_result(&vm(0), &job("t"), result, now), Some(event));
        assert_eq!(health.check_eligibility(&vm(0), now), eligibility);
        assert_eq!(
            health.check_eligibility(&vm(0), MonoTime(now.0 + 60_000)) == Eligibility::TrialOnly,
            result == RunResult::Failed
        );
    }
}

/// Guards against a worker that stays in quarantine because the result of its trial job never arrives.
#[test]
fn trial_without_a_result_is_repeated_after_its_timeout() {
    let mut health = health(5);
    run_jobs(&mut health, 5, 1, 0);
    assert!(health.start_trial(&vm(0), &job("t"), MonoTime(100_000)));
    assert_eq!(health.check_eligibility(&vm(0), MonoTime(699_000)), Eligibility::Blocked);
    assert_eq!(health.check_eligibility(&vm(0), MonoTime(700_000)), Eligibility::TrialOnly);
}

/// Guards against quarantined VMs that left the pool and still use up its quarantine limit.
#[test]
fn workers_that_left_the_pool_do_not_count_as_quarantined() {
    let mut health = health(5);
    run_jobs(&mut health, 5, 1, 0);
    assert_eq!(health.count_quarantined(), 1);
    let members: Vec<_> = (1..6).map(vm).collect();
    health.set_members(&members);
    assert_eq!(health.count_quarantined(), 0);
    assert_eq!(health.check_eligibility(&vm(0), MonoTime(20)), Eligibility::Blocked);
    assert_eq!(health.check_eligibility(&vm(5), MonoTime(20)), Eligibility::Eligible);
}
