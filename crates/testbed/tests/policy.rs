//! Arithmetic of the table of rules.

use carawaybarrow_testbed::policy::{Result, Summary, summarize};

/// Guards against a table that shows one seed, or the measure of another column.
#[test]
fn a_summary_covers_all_seeds() {
    let results = [1.0, 2.0, 6.0].map(|moves| Result { moves, buffer_hours: 4.0, ..Result::default() });
    assert_eq!(summarize(&results, |r| r.moves), Summary { mean: 3.0, least: 1.0, most: 6.0 });
    assert_eq!(summarize(&results, |r| r.buffer_hours), Summary { mean: 4.0, least: 4.0, most: 4.0 });
}
