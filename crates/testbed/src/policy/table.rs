//! Tables that compare all rule sets for each user.

use super::demand;
use super::rules::{self, RuleSet};
use super::simulation::{self, RunMetrics};

/// A measure: its column title, and a function that reads its value from the metrics of a run.
pub type Measure = (&'static str, fn(&RunMetrics) -> f64);

/// Columns of each table.
const MEASURES: [Measure; 6] = [
    ("buffer cost, VM-hours", |r| r.buffer_hours),
    ("roll-out of a wave, min", |r| r.roll_out_minutes),
    ("moves", |r| r.moves),
    ("gap to share, points", |r| r.share_gap),
    ("urgent within 1.1 s, %", |r| r.urgent_in_time),
    ("patient wait, p99, s", |r| r.patient_wait),
];

/// Mean, minimum and maximum of a measure over the runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Mean of the values.
    pub mean: f64,
    /// Smallest value.
    pub minimum: f64,
    /// Largest value.
    pub maximum: f64,
}

/// Summarizes a measure over runs with different seeds.
#[must_use]
pub fn summarize(results: &[RunMetrics], measure: fn(&RunMetrics) -> f64) -> Summary {
    let values = || results.iter().map(measure);
    Summary {
        mean: values().sum::<f64>() / results.len() as f64,
        minimum: values().fold(f64::INFINITY, f64::min),
        maximum: values().fold(f64::NEG_INFINITY, f64::max),
    }
}

fn format_row(rules: &RuleSet, results: &[RunMetrics]) -> String {
    let mut row = format!("| {} |", rules.name);
    for (_, measure) in MEASURES {
        let Summary { mean, minimum, maximum } = summarize(results, measure);
        row += &format!(" {mean:.2} ({minimum:.2} to {maximum:.2}) |");
    }
    row + "\n"
}

/// Simulates all rule sets for each user with each seed, and returns tables of means with minima and maxima.
#[must_use]
pub fn compare(seeds: &[u64]) -> String {
    let mut text = String::new();
    for user in demand::users() {
        text += &format!("\n### {}\n\n| rules |", user.name);
        text += &MEASURES.map(|(name, _)| format!(" {name} |")).concat();
        text += "\n|---|---:|---:|---:|---:|---:|---:|\n";
        let rules = rules::all_rules();
        let rows = std::thread::scope(|scope| {
            let run = |rules: &RuleSet| seeds.iter().map(|seed| simulation::simulate(rules, &user, *seed)).collect();
            let runs: Vec<_> =
                rules.iter().map(|rules| scope.spawn(move || -> Vec<RunMetrics> { run(rules) })).collect();
            let results = runs.into_iter().map(|run| run.join().expect("the simulation panicked"));
            rules.iter().zip(results).map(|(rules, results)| format_row(rules, &results)).collect::<String>()
        });
        text += &rows;
    }
    text
}
