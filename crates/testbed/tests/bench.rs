//! Checks of the benchmark: lost jobs, duplicate starts, wrong answers, false "not run" reports and gaps to share.

use std::collections::BTreeMap;

use carawaybarrow_core::ids::TeamId;
use carawaybarrow_core::shares::Shares;
use carawaybarrow_core::units::Percent;
use carawaybarrow_testbed::bench::{self, CheckRules, Phase, PhaseCounts, Task};
use carawaybarrow_testbed::load::JobRecord;
use carawaybarrow_testbed::submit::Outcome;
use carawaybarrow_testbed::worker::Start;
use smol_str::SmolStr;

const ARRIVED: u64 = 10_000;

fn job(mark: &str, queue: &str, result: Outcome) -> JobRecord {
    JobRecord { mark: mark.into(), queue: queue.into(), team: "a".into(), arrived_ms: ARRIVED, result }
}

fn start(mark: &str, at_ms: u64) -> Start {
    let (task, queue, team) = (SmolStr::new(mark), "q".into(), "a".into());
    Start { task, queue, team, mark: mark.into(), incarnation: 1, at_ms }
}

fn refused() -> Outcome {
    Outcome::NotRun { status: 503, reason: String::new() }
}

fn pending() -> Outcome {
    Outcome::Pending { state: "accepted".into() }
}

/// Guards against a benchmark that misses a violated guarantee or reports one that was kept, because an outcome is
/// counted without regard to the recorded starts or to the queue's guarantees.
#[test]
fn each_violated_guarantee_is_counted() {
    let rules = CheckRules {
        once: vec!["once".into()],
        durable: vec!["once".into(), "durable".into()],
        ..CheckRules::default()
    };
    type Check = fn(&PhaseCounts) -> bool;
    let table: [(&str, Outcome, &[u64], bool, Check); 8] = [
        ("once", Outcome::Served, &[1], true, |c| c.served == 1),
        ("once", Outcome::Served, &[1, 2], false, |c| c.doubled == 1),
        ("idempotent", Outcome::Served, &[1, 2], true, |c| c.doubled == 0),
        ("idempotent", Outcome::Served, &[], false, |c| c.wrong == 1),
        ("idempotent", refused(), &[], true, |c| c.refused == 1),
        ("idempotent", refused(), &[1], false, |c| c.false_not_run == 1),
        ("durable", pending(), &[], false, |c| c.lost == 1),
        ("idempotent", Outcome::WrongAnswer, &[1], false, |c| c.wrong == 1),
    ];
    for (queue, outcome, starts, is_correct, check) in table {
        let starts: Vec<_> = starts.iter().map(|at| start("m", ARRIVED + at)).collect();
        let counts = bench::check_jobs(&[job("m", queue, outcome.clone())], &starts, &rules);
        let [(_, counts)] = &counts[..] else { panic!("one phase") };
        assert_eq!(counts.is_correct(), is_correct, "{queue} {outcome:?} {starts:?}");
        assert!(check(counts), "{queue} {outcome:?} {starts:?}: {counts:?}");
    }
}

/// Guards against starts after more than 1.1 s that count as in time, and jobs that count in the phase of their start
/// instead of that of their arrival.
#[test]
fn urgent_starts_count_in_the_phase_of_their_arrival() {
    let phases =
        vec![Phase { name: "first".into(), from_ms: ARRIVED }, Phase { name: "second".into(), from_ms: ARRIVED + 100 }];
    let rules = CheckRules { urgent: vec!["q".into()], phases, ..CheckRules::default() };
    let later = JobRecord { arrived_ms: ARRIVED + 100, ..job("late", "q", Outcome::Served) };
    let jobs = [job("in-time", "q", Outcome::Served), later, job("refused", "q", refused())];
    let starts = [start("in-time", ARRIVED + 1_100), start("late", ARRIVED + 1_201)];
    let counts = bench::check_jobs(&jobs, &starts, &rules);
    let found: Vec<_> =
        counts.iter().map(|(name, c)| (name.as_str(), c.urgent, c.urgent_in_time, c.urgent_late)).collect();
    assert_eq!(found, [("first", 2, 1, 0), ("second", 1, 0, 1)]);
}

/// Guards against a gap that is also measured while no work waits, when the shares don't apply, or that compares the
/// running work with anything but the shares.
#[test]
fn the_share_gap_is_measured_only_while_work_waits() {
    let share = |team, percent| (TeamId::new(team).expect("a name"), Percent::new(percent).expect("a percentage"));
    let shares = Shares::new([share("a", 75), share("b", 25)]);
    let task = |team: &str, started_ms| Task { team: team.into(), arrived_ms: 0, started_ms, ended_ms: 200 };
    let pool = |tasks| BTreeMap::from([(SmolStr::new("pool"), tasks)]);
    // Two tasks run from the start, one of each team, and one waits until 100 ms.
    let (gap, samples) = bench::measure_share_gap(&pool(vec![task("a", 0), task("b", 0), task("a", 100)]), 2, &shares);
    assert!((gap - 25.0).abs() < 1e-9 && samples == 10, "{gap} points over {samples} samples");
    let (_, samples) = bench::measure_share_gap(&pool(vec![task("a", 0), task("b", 0)]), 2, &shares);
    assert_eq!(samples, 0);
}
