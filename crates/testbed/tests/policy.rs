//! Summaries in the tables that compare scheduling rules (`RuleSet`).

use carawaybarrow_testbed::policy::{RunMetrics, Summary, summarize};

/// Guards against a summary of one seed only, or of another measure than the requested one.
#[test]
fn a_summary_covers_all_seeds() {
    let results = [1.0, 2.0, 6.0].map(|moves| RunMetrics { moves, buffer_hours: 4.0, ..RunMetrics::default() });
    assert_eq!(summarize(&results, |r| r.moves), Summary { mean: 3.0, minimum: 1.0, maximum: 6.0 });
    assert_eq!(summarize(&results, |r| r.buffer_hours), Summary { mean: 4.0, minimum: 4.0, maximum: 4.0 });
}
