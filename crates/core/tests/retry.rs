//! Retries: budget, deadline, choice of another endpoint, and no second run of a job that may have run.

use carawaybarrow_core::deadline::Deadline;
use carawaybarrow_core::ids::{ClassId, DataCentreId, Incarnation, PoolId, VmId};
use carawaybarrow_core::job::Ran;
use carawaybarrow_core::retry::{self, Decision, FailedJob, GiveUpReason, RetryBudgets};
use carawaybarrow_core::routing::{Endpoints, ListedEndpoint, WorkerStatus};
use carawaybarrow_core::units::{Millis, MonoTime};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn class() -> ClassId {
    ClassId::new("urgent").unwrap()
}

fn vm(i: usize) -> VmId {
    VmId::new(format!("vm-{i}")).unwrap()
}

/// Guards against a second run of a non-idempotent job that may have run, and against a retry that can't help because
/// the attempts or the time until the deadline are used up.
#[test]
fn each_rule_gives_up_with_its_reason() {
    let class = class();
    let tried = [vm(0), vm(1), vm(2), vm(3)];
    let end_by = |at| Some(Deadline::EndBy(MonoTime(at)));
    let base = FailedJob {
        class: &class,
        idempotent: false,
        ran: Ran::No,
        tried: &tried[..1],
        deadline: None,
        run: Millis(500),
    };
    let table = [
        (base, None),
        (FailedJob { ran: Ran::Unknown, ..base }, Some(GiveUpReason::MayHaveRun)),
        (FailedJob { ran: Ran::Yes, ..base }, Some(GiveUpReason::MayHaveRun)),
        (FailedJob { ran: Ran::Unknown, idempotent: true, ..base }, None),
        (FailedJob { tried: &tried, ..base }, Some(GiveUpReason::Attempts)),
        (FailedJob { deadline: end_by(1000 + 509), ..base }, Some(GiveUpReason::Deadline)),
        (FailedJob { deadline: end_by(1000 + 520), ..base }, None),
        (FailedJob { deadline: Some(Deadline::StartBy(MonoTime(1020))), ..base }, None),
        (FailedJob { deadline: Some(Deadline::StartBy(MonoTime(1009))), ..base }, Some(GiveUpReason::Deadline)),
    ];
    for (failed_job, reason) in table {
        let mut rng = StdRng::seed_from_u64(6);
        match (RetryBudgets::new().decide(&failed_job, MonoTime(1000), &mut rng), reason) {
            (Decision::Retry { after }, None) => assert!((10..=20).contains(&after.0), "{after}"),
            (Decision::GiveUp(actual), Some(reason)) => assert_eq!(actual, reason),
            (decision, reason) => panic!("{decision:?} instead of {reason:?} for {failed_job:?}"),
        }
    }
}

/// Guards against a retry budget that stays used up for good, and against first attempts of long ago that still add to
/// it.
#[test]
fn retry_budget_depends_on_recent_first_attempts() {
    let (class, tried) = (class(), [vm(0)]);
    let failed_job =
        FailedJob { class: &class, idempotent: true, ran: Ran::No, tried: &tried, deadline: None, run: Millis(1) };
    let mut rng = StdRng::seed_from_u64(7);
    let mut retries = RetryBudgets::new();
    let mut use_up_budget = |retries: &mut RetryBudgets, now: u64| {
        (0..1000)
            .take_while(|_| matches!(retries.decide(&failed_job, MonoTime(now), &mut rng), Decision::Retry { .. }))
            .count() as u64
    };
    assert_eq!(use_up_budget(&mut retries, 0), retry::BASE_RETRIES);
    for _ in 0..200 {
        retries.record_first_attempt(&class, MonoTime(1000));
    }
    assert_eq!(use_up_budget(&mut retries, 30_000), 20);
    assert_eq!(use_up_budget(&mut retries, 59_000), 0);
    assert_eq!(use_up_budget(&mut retries, 200_000), retry::BASE_RETRIES);
}

/// Guards against a retry at an endpoint at which this job has failed before.
#[test]
fn each_attempt_uses_another_endpoint() {
    let mut rng = StdRng::seed_from_u64(8);
    let (class, pool) = (class(), PoolId::new("render").unwrap());
    let data_centre = DataCentreId::new("dc1").unwrap();
    let mut endpoints = Endpoints::new(data_centre.clone());
    for i in 0..4 {
        let listed = ListedEndpoint {
            vm: vm(i),
            pool: pool.clone(),
            address: "127.0.0.1:1".into(),
            data_centre: data_centre.clone(),
        };
        endpoints.add_or_update(listed);
        let status =
            WorkerStatus { requested_at: MonoTime(0), incarnation: Incarnation(1), slots: 8, free: 8, draining: false };
        endpoints.apply_status(&vm(i), &status);
    }
    let (mut retries, mut tried) = (RetryBudgets::new(), Vec::new());
    loop {
        let choice = endpoints.choose(&pool, &tried, MonoTime(0), &mut rng).unwrap();
        assert!(!tried.contains(&choice.vm));
        tried.push(choice.vm);
        let failed_job =
            FailedJob { class: &class, idempotent: true, ran: Ran::No, tried: &tried, deadline: None, run: Millis(1) };
        if let Decision::GiveUp(reason) = retries.decide(&failed_job, MonoTime(0), &mut rng) {
            assert_eq!(reason, GiveUpReason::Attempts);
            break;
        }
    }
    assert_eq!(tried.len(), retry::MAX_ATTEMPTS);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, rng_seed: RngSeed::Fixed(9), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Guards against retries that multiply the load of an overloaded pool, and against retries that end after the
    /// deadline.
    #[test]
    fn no_retry_beyond_budget_or_deadline(
        calls in prop::collection::vec((0_u64..3000, any::<bool>(), 1_usize..4, 0_u64..2000), 1..400),
        run in 0_u64..1000,
        seed in any::<u64>(),
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let (class, vms) = (class(), [vm(0), vm(1), vm(2), vm(3)]);
        let (mut retries, mut first, mut retried) = (RetryBudgets::new(), Vec::new(), Vec::new());
        let mut now = MonoTime(0);
        for (interval, is_first, tried, slack) in calls {
            now = now + Millis(interval);
            if is_first {
                retries.record_first_attempt(&class, now);
                first.push(now);
                continue;
            }
            let deadline = Deadline::EndBy(now + Millis(slack));
            let failed_job = FailedJob {
                class: &class, idempotent: true, ran: Ran::No, tried: &vms[..tried], deadline: Some(deadline),
                run: Millis(run),
            };
            if let Decision::Retry { after } = retries.decide(&failed_job, now, &mut rng) {
                prop_assert!(after.0 + run <= slack, "{after} and {run} ms of {slack} ms");
                retried.push(now);
            }
            // The window covers between 50 s and 60 s, so its retries are at least those of 50 s and its first
            // attempts at most those of 60 s.
            let count = |times: &[MonoTime], span| times.iter().filter(|t| now.since(**t).0 < span).count() as u64;
            let allowed = count(&first, 60_000) / retry::FIRST_ATTEMPTS_PER_RETRY + retry::BASE_RETRIES;
            // First attempts may leave the window after the retries that they allowed.
            let earlier = count(&first, 110_000) / retry::FIRST_ATTEMPTS_PER_RETRY + retry::BASE_RETRIES;
            let spent = count(&retried, 50_000);
            prop_assert!(spent <= earlier, "{spent} retries, {earlier} allowed");
            prop_assert!(retried.last() != Some(&now) || spent <= allowed, "{spent} retries, {allowed} allowed");
        }
    }
}
