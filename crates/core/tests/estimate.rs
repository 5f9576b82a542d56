//! Run times learned from finished jobs: wrong declarations, outliers, lasting changes, fallbacks and memory bound.

use carawaybarrow_core::estimate::{self, RunTimes};
use carawaybarrow_core::ids::{ClassId, QueueId, TeamId};
use carawaybarrow_core::units::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn queue(name: &str) -> QueueId {
    QueueId::new(name).unwrap()
}

fn class() -> ClassId {
    ClassId::new("urgent").unwrap()
}

fn team(name: &str) -> TeamId {
    TeamId::new(name).unwrap()
}

fn median_estimate(times: &RunTimes, queue_name: &str, team_name: &str, declared: Option<u64>) -> u64 {
    let declared = declared.map(Millis);
    times.estimate(&queue(queue_name), Some(&team(team_name)), &class(), declared).median.0
}

fn observe(times: &mut RunTimes, queue_name: &str, team_name: &str, runs: impl IntoIterator<Item = u64>) {
    for run in runs {
        times.observe(&queue(queue_name), Some(&team(team_name)), &class(), Millis(run));
    }
}

/// Guards against declared run times that still count after real ones are known: a caller may declare far too little or
/// too much.
#[test]
fn declared_time_counts_only_until_real_ones_are_known() {
    let mut times = RunTimes::new();
    assert_eq!(median_estimate(&times, "clips", "a", None), estimate::DEFAULT_RUN_TIME.0);
    assert_eq!(median_estimate(&times, "clips", "a", Some(50)), 50);
    observe(&mut times, "clips", "a", [2000; 3]);
    assert_eq!(median_estimate(&times, "clips", "a", Some(50)), 2000);
    assert_eq!(median_estimate(&times, "clips", "a", Some(100_000)), 2000);
}

/// Guards against an estimate for a new team that ignores the jobs of its queue and class, and against one that is
/// based on too few jobs of its own.
#[test]
fn teams_with_too_few_jobs_fall_back_to_queue_and_class() {
    let mut times = RunTimes::new();
    observe(&mut times, "clips", "a", [300; 10]);
    assert_eq!(median_estimate(&times, "clips", "b", Some(9000)), 300);
    assert_eq!(median_estimate(&times, "other", "b", Some(9000)), 300);
    observe(&mut times, "clips", "b", [900; 2]);
    assert!(median_estimate(&times, "clips", "b", None) < 900, "two jobs are too few for an estimate of their own");
    observe(&mut times, "clips", "b", [900]);
    assert_eq!(median_estimate(&times, "clips", "b", None), 900);
}

/// Guards against single jobs whose run times are off by factors of 10 to 100 and move the estimate with them.
#[test]
fn outliers_have_little_weight() {
    let mut times = RunTimes::new();
    let mut rng = StdRng::seed_from_u64(4);
    for i in 0..500 {
        let run = match i % 20 {
            7 => 100_000,
            13 => 10,
            _ => rng.random_range(900..1100),
        };
        observe(&mut times, "clips", "a", [run]);
    }
    let estimate = times.estimate(&queue("clips"), Some(&team("a")), &class(), None);
    assert!((800..1250).contains(&estimate.median.0), "{estimate:?}");
    assert!((900..2500).contains(&estimate.p90.0), "{estimate:?}");
}

/// Guards against a 90th percentile that is no better than the median when short and long jobs are mixed.
#[test]
fn p90_covers_the_long_jobs_of_a_mix() {
    let mut times = RunTimes::new();
    let mut rng = StdRng::seed_from_u64(5);
    for _ in 0..2000 {
        let run = if rng.random_bool(0.2) { 5000 } else { 500 };
        observe(&mut times, "clips", "a", [run]);
    }
    let estimate = times.estimate(&queue("clips"), Some(&team("a")), &class(), None);
    assert!(estimate.median.0 < 700, "{estimate:?}");
    assert!(estimate.p90.0 > 3000, "{estimate:?}");
}

/// Guards against an estimate that stays at its old value after run times have changed for good, because many earlier
/// jobs outweigh the new ones.
#[test]
fn estimate_follows_a_lasting_change_of_run_times() {
    let mut times = RunTimes::new();
    observe(&mut times, "clips", "a", [100; 1000]);
    observe(&mut times, "clips", "a", [1000; 60]);
    assert_eq!(median_estimate(&times, "clips", "a", None), 1000);
    observe(&mut times, "clips", "a", [100; 60]);
    assert_eq!(median_estimate(&times, "clips", "a", None), 100);
}

/// Guards against memory that grows with the number of teams, and against dropping series that are still in use.
#[test]
fn series_count_is_bounded_and_series_in_use_are_kept() {
    let mut times = RunTimes::new().with_max_series(10);
    observe(&mut times, "clips", "kept", [700; 3]);
    for i in 0..1000 {
        observe(&mut times, "clips", &format!("t{i}"), [100]);
        observe(&mut times, "clips", "kept", [700]);
    }
    assert_eq!(times.len(), 10);
    assert_eq!(median_estimate(&times, "clips", "kept", None), 700);
    times.retain(|_| false, |_| false);
    assert!(times.is_empty());
    assert_eq!(median_estimate(&times, "clips", "kept", Some(5)), 5);
}
