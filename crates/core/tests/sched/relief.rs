//! What a scheduler that has lost the store makes of the answers of other entries.

use carawaybarrow_core::sched::candidacy::ReliefAnswer::{Ended, NoStore, NotRunning, OtherTerm, Silent};
use carawaybarrow_core::sched::candidacy::ReliefOutcome::{self, CutOff, Deposed, Granted, Unknown};
use carawaybarrow_core::units::Millis;

/// Guards against a scheduler that goes on although its term is over or it is cut off.
#[test]
fn requests_for_relief_end_a_term_that_is_over_or_cut_off() {
    let cases = [
        (vec![NoStore, Ended, OtherTerm], Granted),
        (vec![NoStore, OtherTerm, Silent], Deposed),
        (vec![Silent, NoStore, NotRunning], Unknown),
        (vec![Silent, NotRunning, Silent], CutOff),
        (vec![NotRunning, NotRunning], Unknown),
        (vec![], Unknown),
    ];
    for (answers, expected) in cases {
        assert_eq!(ReliefOutcome::judge(&answers, Millis(5_000)), expected, "{answers:?}");
    }
    // An entry may not have heard of the term yet.
    assert_eq!(ReliefOutcome::judge(&[OtherTerm, NoStore], Millis(500)), Unknown);
}
