//! What a scheduler that has lost the store makes of the answers of other entries.

use carawaybarrow_core::sched::candidacy::ReliefAnswer::{Ended, NoStore, NotRunning, OtherTerm, Silent};
use carawaybarrow_core::sched::candidacy::ReliefOutcome::{self, CutOff, Deposed, Granted, Unknown};
use carawaybarrow_core::sched::candidacy::{TermAnswer, TermState};
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

/// Guards against a term that counts as confirmed although an entry that gave no answer may have begun a later one, and
/// against one that goes on although an entry knows that it is over.
#[test]
fn only_answers_of_all_entries_or_of_the_store_confirm_a_term() {
    let lost = TermAnswer::StoreLost;
    let current = |age| TermAnswer::Current { age: Millis(age) };
    let cases = [
        (vec![lost, lost], TermState::Confirmed(Millis(0))),
        (vec![], TermState::Confirmed(Millis(0))),
        (vec![lost, TermAnswer::Silent], TermState::Unconfirmed),
        (vec![lost, lost, TermAnswer::Unknown], TermState::Unconfirmed),
        (vec![TermAnswer::Silent, TermAnswer::Silent], TermState::Unconfirmed),
        (vec![TermAnswer::Silent, current(600), current(300)], TermState::Confirmed(Millis(300))),
        (vec![lost, current(300), TermAnswer::Over], TermState::Over),
        (vec![lost, TermAnswer::NotCurrent], TermState::Over),
    ];
    for (answers, expected) in cases {
        assert_eq!(TermState::judge(&answers, Millis(5_000)), expected, "{answers:?}");
    }
    // An entry may not have heard of the term yet, but it surely knows a later one.
    assert_eq!(TermState::judge(&[lost, TermAnswer::NotCurrent], Millis(500)), TermState::Unconfirmed);
    assert_eq!(TermState::judge(&[TermAnswer::Over, lost], Millis(500)), TermState::Over);
}
