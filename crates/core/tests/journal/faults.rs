//! Every fault at every step of the lifecycle of a durable job, alone and in pairs.

use std::collections::BTreeMap;

use carawaybarrow_core::job::Ran;
use carawaybarrow_core::journal::StateName;

use crate::simulation::{Fault, JobSimulation, Step};
use crate::store::StoreFault;

const STEPS: [Step; 6] = [Step::Accept, Step::Claim, Step::Send, Step::Run, Step::Finish, Step::Archive];

const FAULTS: [Fault; 18] = [
    Fault::Store(StoreFault::Down),
    Fault::Store(StoreFault::Silent),
    Fault::Store(StoreFault::ResponseLost),
    Fault::Store(StoreFault::ResponseLostThenSilent),
    Fault::Store(StoreFault::LateWrite),
    Fault::VeryLateWrite,
    Fault::EntryKilled,
    Fault::WorkerKilled,
    Fault::CorrelatedFailure,
    Fault::Paused { lapse: true },
    Fault::Paused { lapse: false },
    Fault::EntryRace,
    Fault::StartLost,
    Fault::FailingWorker,
    Fault::AlwaysFails,
    Fault::RunsLong,
    Fault::Cancelled,
    Fault::OperatorRace,
];

fn all_cases() -> Vec<(Fault, Step)> {
    FAULTS.iter().flat_map(|f| STEPS.iter().map(|s| (*f, *s))).collect()
}

/// Runs a job under the faults until it is archived. Returns its final state, whether it ran and the number of injected
/// faults. A violated invariant is added to `violations` instead.
fn simulate(
    idempotent: bool,
    faults: &[(Fault, Step)],
    violations: &mut Vec<String>,
) -> Option<(StateName, Ran, usize)> {
    let mut simulation = JobSimulation::new(idempotent, faults);
    match simulation.run() {
        Ok(view) => Some((view.state, view.ran, simulation.injected_faults)),
        Err(violation) => {
            violations.push(format!("idempotent {idempotent}, {faults:?}: {violation}"));
            None
        }
    }
}

fn assert_no_violations(violations: &[String]) {
    let first: Vec<_> = violations.iter().take(3).collect();
    assert!(violations.is_empty(), "{} violations, the first are: {first:#?}", violations.len());
}

/// Guards against a simulation in which jobs fail without a fault, which would hide the effects of faults.
#[test]
fn job_without_faults_is_done() {
    for idempotent in [false, true] {
        let mut violations = Vec::new();
        assert_eq!(simulate(idempotent, &[], &mut violations), Some((StateName::Done, Ran::Yes, 0)));
    }
}

/// Guards against lost jobs, second starts of non-idempotent jobs and a false "not run" after any single fault, such as
/// a lost response, a killed process or a delayed write.
#[test]
fn each_fault_at_each_step() {
    let mut violations = Vec::new();
    let mut end_counts = BTreeMap::new();
    for case in all_cases() {
        for idempotent in [false, true] {
            if let Some((state, _, injected)) = simulate(idempotent, &[case], &mut violations) {
                assert_eq!(injected, 1, "{case:?} did not happen");
                *end_counts.entry((idempotent, state)).or_insert(0) += 1;
            }
        }
    }
    assert_no_violations(&violations);
    println!("{} cases, end states by (idempotent, state): {end_counts:?}", 2 * all_cases().len());
    assert!(end_counts[&(true, StateName::Done)] > end_counts[&(false, StateName::Done)]);
}

fn simulate_pairs(idempotent: bool) {
    let mut violations = Vec::new();
    let mut cases = 0;
    for first in all_cases() {
        for second in all_cases() {
            simulate(idempotent, &[first, second], &mut violations);
            cases += 1;
        }
    }
    assert_no_violations(&violations);
    println!("{cases} cases under two faults, idempotent {idempotent}");
}

/// Guards against rules that hold under one fault and are violated when a second one occurs during the recovery.
#[test]
fn each_pair_of_faults_of_a_non_idempotent_job() {
    simulate_pairs(false);
}

/// Guards against an idempotent job that is lost or makes no progress between two recoveries.
#[test]
fn each_pair_of_faults_of_an_idempotent_job() {
    simulate_pairs(true);
}
