//! Learned run times: wrong declarations, outliers, shifts, fallbacks and the memory bound.

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

fn typical(times: &RunTimes, queue_name: &str, team_name: &str, declared: Option<u64>) -> u64 {
    let declared = declared.map(Millis);
    times.estimate(&queue(queue_name), Some(&team(team_name)), &class(), declared).median.0
}

fn observe(times: &mut RunTimes, queue_name: &str, team_name: &str, runs: impl IntoIterator<Item = u64>) {
    for run in runs {
        times.observe(&queue(queue_name), Some(&team(team_name)), &class(), Millis(run));
    }
}

/// Guards against declared times that go on to count after real ones are known.
#[test]
fn declared_time_is_only_the_first_guess() {
    let mut times = RunTimes::new();
    assert_eq!(typical(&times, "clips", "a", None), estimate::DEFAULT_RUN_TIME.0);
    assert_eq!(typical(&times, "clips", "a", Some(50)), 50);
    observe(&mut times, "clips", "a", [2000; 3]);
    assert_eq!(typical(&times, "clips", "a", Some(50)), 2000);
    assert_eq!(typical(&times, "clips", "a", Some(100_000)), 2000);
}

/// Guards against an estimate of an unknown team that ignores what its queue and class have shown.
#[test]
fn unknown_series_fall_back_to_queue_and_class() {
    let mut times = RunTimes::new();
    observe(&mut times, "clips", "a", [300; 10]);
    assert_eq!(typical(&times, "clips", "b", Some(9000)), 300);
    assert_eq!(typical(&times, "other", "b", Some(9000)), 300);
    observe(&mut times, "clips", "b", [900; 2]);
    assert!(typical(&times, "clips", "b", None) < 900, "two jobs are too few for an estimate of their own");
    observe(&mut times, "clips", "b", [900]);
    assert_eq!(typical(&times, "clips", "b", None), 900);
}

/// Guards against single jobs that are off by factors of 10 to 100 and move the estimate with them.
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

/// Guards against a high quantile that is no better than the median for jobs of mixed length.
#[test]
fn high_quantile_covers_long_jobs() {
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

/// Guards against an estimate that stays at its old value after run times have changed for good.
#[test]
fn lasting_shift_is_followed() {
    let mut times = RunTimes::new();
    observe(&mut times, "clips", "a", [100; 1000]);
    observe(&mut times, "clips", "a", [1000; 60]);
    assert_eq!(typical(&times, "clips", "a", None), 1000);
    observe(&mut times, "clips", "a", [100; 60]);
    assert_eq!(typical(&times, "clips", "a", None), 100);
}

/// Guards against memory that grows with the number of teams, and against dropping series in use.
#[test]
fn series_are_bounded() {
    let mut times = RunTimes::new().with_max_series(10);
    observe(&mut times, "clips", "kept", [700; 3]);
    for i in 0..1000 {
        observe(&mut times, "clips", &format!("t{i}"), [100]);
        observe(&mut times, "clips", "kept", [700]);
    }
    assert_eq!(times.len(), 10);
    assert_eq!(typical(&times, "clips", "kept", None), 700);
    times.retain(|_| false, |_| false);
    assert!(times.is_empty());
    assert_eq!(typical(&times, "clips", "kept", Some(5)), 5);
}
