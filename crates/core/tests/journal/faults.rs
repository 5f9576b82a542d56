//! Every fault at every step of a durable job's life, alone and in pairs.

use std::collections::BTreeMap;

use carawaybarrow_core::job::Ran;
use carawaybarrow_core::journal::StateName;

use crate::cell::StoreFault;
use crate::life::{Fault, Life, Step};

const STEPS: [Step; 6] = [Step::Accept, Step::Claim, Step::Send, Step::Run, Step::Finish, Step::Archive];

const FAULTS: [Fault; 18] = [
    Fault::Store(StoreFault::Down),
    Fault::Store(StoreFault::Silent),
    Fault::Store(StoreFault::AnswerLost),
    Fault::Store(StoreFault::AnswerLostThenSilent),
    Fault::Store(StoreFault::LateWrite),
    Fault::VeryLateWrite,
    Fault::EntryKilled,
    Fault::WorkerKilled,
    Fault::CorrelatedFailure,
    Fault::Paused { lapse: true },
    Fault::Paused { lapse: false },
    Fault::ProcessRace,
    Fault::StartLost,
    Fault::FailingWorker,
    Fault::NeverRuns,
    Fault::RunsLong,
    Fault::Cancelled,
    Fault::OperatorsRace,
];

fn all_cases() -> Vec<(Fault, Step)> {
    FAULTS.iter().flat_map(|f| STEPS.iter().map(|s| (*f, *s))).collect()
}

/// Lives a job under the faults; a broken invariant is added to `broken`.
fn live(idempotent: bool, faults: &[(Fault, Step)], broken: &mut Vec<String>) -> Option<(StateName, Ran, usize)> {
    let mut life = Life::new(idempotent, faults);
    match life.run() {
        Ok(view) => Some((view.state, view.ran, life.fired)),
        Err(what) => {
            broken.push(format!("idempotent {idempotent}, {faults:?}: {what}"));
            None
        }
    }
}

fn report(broken: &[String]) {
    let first: Vec<_> = broken.iter().take(3).collect();
    assert!(broken.is_empty(), "{} broken, first: {first:#?}", broken.len());
}

/// Guards against a harness in which jobs end for other reasons than the faults.
#[test]
fn job_without_faults_is_done() {
    for idempotent in [false, true] {
        let mut broken = Vec::new();
        assert_eq!(live(idempotent, &[], &mut broken), Some((StateName::Done, Ran::Yes, 0)));
    }
}

/// Guards against lost jobs, second starts of non-idempotent jobs and false "not run" after one fault.
#[test]
fn each_fault_at_each_step() {
    let mut broken = Vec::new();
    let mut ends = BTreeMap::new();
    for case in all_cases() {
        for idempotent in [false, true] {
            if let Some((state, _, fired)) = live(idempotent, &[case], &mut broken) {
                assert_eq!(fired, 1, "{case:?} did not happen");
                *ends.entry((idempotent, state)).or_insert(0) += 1;
            }
        }
    }
    report(&broken);
    println!("{} lives, ends by (idempotent, state): {ends:?}", 2 * all_cases().len());
    assert!(ends[&(true, StateName::Done)] > ends[&(false, StateName::Done)]);
}

fn live_pairs(idempotent: bool) {
    let mut broken = Vec::new();
    let mut lives = 0;
    for first in all_cases() {
        for second in all_cases() {
            live(idempotent, &[first, second], &mut broken);
            lives += 1;
        }
    }
    report(&broken);
    println!("{lives} lives under two faults, idempotent {idempotent}");
}

/// Guards against rules that hold for one fault and break when a second one meets the recovery from the first.
#[test]
fn each_pair_of_faults_of_a_non_idempotent_job() {
    live_pairs(false);
}

/// Guards against an idempotent job that is lost or gets stuck between two recoveries.
#[test]
fn each_pair_of_faults_of_an_idempotent_job() {
    live_pairs(true);
}
