//! What a scheduler that has lost the store makes of the answers of other entries.

use carawaybarrow_core::sched::candidacy::ReliefAnswer::{Ended, NoStore, NotRunning, OtherTerm, Silent};
use carawaybarrow_core::sched::candidacy::ReliefOutcome::{self, CutOff, Deposed, Granted, StoreLost, Unknown};
use carawaybarrow_core::units::Millis;

/// Guards against a scheduler that goes on although its term is over or it is cut off, and against one that takes the
/// absence of other entries for their word that no later term has begun.
#[test]
fn only_entries_without_the_store_confirm_a_term() {
    let cases = [
        (vec![NoStore, Ended, OtherTerm], Granted),
        (vec![NoStore, OtherTerm, Silent], Deposed),
        (vec![Silent, NoStore, NotRunning], StoreLost),
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
