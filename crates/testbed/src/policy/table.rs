//! Table of all rules for all users.

use super::demand;
use super::rules::{self, Rules};
use super::simulation::{self, Result};

/// A measure: its column and how it is read from a result.
pub type Measure = (&'static str, fn(&Result) -> f64);

/// Columns of the table.
const MEASURES: [Measure; 6] = [
    ("buffer cost, VM-hours", |r| r.buffer_hours),
    ("roll-out of a wave, min", |r| r.roll_out_minutes),
    ("moves", |r| r.moves),
    ("gap to share, points", |r| r.share_gap),
    ("urgent within 1.1 s, %", |r| r.urgent_in_time),
    ("patient wait, p99, s", |r| r.patient_wait),
];

/// Mean, least and greatest value over the seeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Mean.
    pub mean: f64,
    /// Least value.
    pub least: f64,
    /// Greatest value.
    pub most: f64,
}

/// Summarizes a measure over the runs.
#[must_use]
pub fn summarize(results: &[Result], measure: fn(&Result) -> f64) -> Summary {
    let values = || results.iter().map(measure);
    Summary {
        mean: values().sum::<f64>() / results.len() as f64,
        least: values().fold(f64::INFINITY, f64::min),
        most: values().fold(f64::NEG_INFINITY, f64::max),
    }
}

fn describe(rules: &Rules, results: &[Result]) -> String {
    let mut row = format!("| {} |", rules.name);
    for (_, measure) in MEASURES {
        let Summary { mean, least, most } = summarize(results, measure);
        row += &format!(" {mean:.2} ({least:.2} to {most:.2}) |");
    }
    row + "\n"
}

/// Runs all rules for all users with each seed, and prints means with the least and greatest values.
#[must_use]
pub fn compare(seeds: &[u64]) -> String {
    let mut text = String::new();
    for user in demand::users() {
        text += &format!("\n### {}\n\n| rules |", user.name);
        text += &MEASURES.map(|(name, _)| format!(" {name} |")).concat();
        text += "\n|---|---:|---:|---:|---:|---:|---:|\n";
        let rules = rules::all_rules();
        let rows = std::thread::scope(|scope| {
            let run = |rules: &Rules| seeds.iter().map(|seed| simulation::simulate(rules, &user, *seed)).collect();
            let runs: Vec<_> = rules.iter().map(|rules| scope.spawn(move || -> Vec<Result> { run(rules) })).collect();
            let results = runs.into_iter().map(|run| run.join().expect("a run doesn't panic"));
            rules.iter().zip(results).map(|(rules, results)| describe(rules, &results)).collect::<String>()
        });
        text += &rows;
    }
    text
}
