//! Who may begin the next term and when, and whose answers confirm a term without the store.

use std::net::SocketAddr;

use carawaybarrow_core::Map;
use carawaybarrow_core::sched::candidacy::{Strength, TermAnswer, TermState};
use carawaybarrow_core::sched::succession::{
    Candidate, KnownSuccession, LISTED_DELAY, SUCCESSORS, Succession, UNLISTED_DELAY, Vacancy,
};
use carawaybarrow_core::units::{Millis, MonoTime};

const AGE: Millis = Millis(5_000);

fn entry(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// A succession with successors 1 to `successors`, and further listed entries up to `listed`.
fn succession(successors: u16, listed: u16) -> Succession {
    let entries = |numbers: std::ops::RangeInclusive<u16>| numbers.map(entry).collect();
    Succession { term: 1, successors: entries(1..=successors), listed: entries(successors + 1..=listed) }
}

fn answers(given: &[TermAnswer]) -> Map<SocketAddr, TermAnswer> {
    (1..).map(entry).zip(given.iter().copied()).collect()
}

/// Guards against a term that counts as confirmed although a successor that gave no answer may have begun a later one, and
/// against one that goes on although an entry knows that it is over.
#[test]
fn only_answers_of_all_successors_or_of_the_store_confirm_a_term() {
    let lost = TermAnswer::StoreLost;
    let current = |age| TermAnswer::Current { age: Millis(age) };
    let cases = [
        (vec![lost, lost], TermState::Confirmed(Millis(0))),
        (vec![], TermState::Confirmed(Millis(0))),
        (vec![lost, TermAnswer::Silent], TermState::Unconfirmed),
        (vec![lost, lost, TermAnswer::Unknown], TermState::Unconfirmed),
        (vec![TermAnswer::Silent, TermAnswer::Silent], TermState::Unconfirmed),
        (vec![TermAnswer::Silent, current(600), current(300)], TermState::Proved(Millis(300))),
        (vec![lost, current(300), TermAnswer::Over], TermState::Over),
        (vec![lost, TermAnswer::NotCurrent], TermState::Over),
    ];
    for (given, expected) in cases {
        let count = u16::try_from(given.len()).expect("there are few answers");
        let known = KnownSuccession::new(succession(count, count));
        assert_eq!(known.judge(&answers(&given), AGE, Millis(0)), expected, "{given:?}");
    }
    // An entry may not have heard of the term yet, but it surely knows a later one.
    let known = KnownSuccession::new(succession(2, 2));
    let young = Millis(500);
    assert_eq!(known.judge(&answers(&[lost, TermAnswer::NotCurrent]), young, young), TermState::Unconfirmed);
    assert_eq!(known.judge(&answers(&[TermAnswer::Over, lost]), young, young), TermState::Over);
}

/// Guards against a scheduler that goes on by the word of its successors although a listed entry may have waited long enough
/// to begin a term, or by the word of all listed entries although an unlisted one may.
#[test]
fn word_of_others_confirms_a_term_only_until_further_entries_may_begin_one() {
    let known = KnownSuccession::new(succession(2, 4));
    let lost = TermAnswer::StoreLost;
    let (successors, all) = (answers(&[lost; 2]), answers(&[lost; 4]));
    let confirmed_until = |answers: &Map<SocketAddr, TermAnswer>| {
        let is_confirmed = |age: &u64| known.judge(answers, AGE, Millis(*age)) == TermState::Confirmed(Millis(0));
        (0..UNLISTED_DELAY.0 * 2).take_while(is_confirmed).last().expect("confirmed at first")
    };
    // The clocks of two entries may differ in rate, so a margin is left.
    assert!(confirmed_until(&successors) < LISTED_DELAY.0 * 98 / 100);
    assert!(confirmed_until(&all) < UNLISTED_DELAY.0 * 98 / 100);
    assert!(confirmed_until(&successors) > LISTED_DELAY.0 * 9 / 10);
    assert!(confirmed_until(&all) > UNLISTED_DELAY.0 * 9 / 10);
    // After that, each answer confirms the same moment.
    let later = |age| known.judge(&successors, AGE, Millis(age));
    let (TermState::Confirmed(first), TermState::Confirmed(second)) = (later(7_000), later(8_000)) else {
        panic!("the successors confirm a moment in the past")
    };
    assert_eq!(second, first + Millis(1_000));
    // A listed entry that is silent matters only once the listed entries are needed.
    let one_silent = answers(&[lost, lost, TermAnswer::Silent, lost]);
    assert_eq!(known.judge(&one_silent, AGE, Millis(0)), TermState::Confirmed(Millis(0)));
}

/// Guards against a change of the succession whose answer was lost: the store may hold the old one or the new one.
#[test]
fn successors_of_an_unanswered_write_must_confirm_too() {
    let mut known = KnownSuccession::new(succession(1, 2));
    let mut new = succession(1, 2);
    new.successors = vec![entry(2)];
    new.listed = vec![entry(1)];
    known.record_write(new.clone());
    let lost = TermAnswer::StoreLost;
    for (given, expected) in [
        ([lost, TermAnswer::Silent], TermState::Unconfirmed),
        ([TermAnswer::Silent, lost], TermState::Unconfirmed),
        ([lost, lost], TermState::Confirmed(Millis(0))),
    ] {
        assert_eq!(known.judge(&answers(&given), AGE, Millis(0)), expected, "{given:?}");
    }
    assert!(!known.is_successor(&entry(1)) && !known.is_successor(&entry(2)));
    known.record_stored(new);
    let first_silent = answers(&[TermAnswer::Silent, lost]);
    assert_eq!(known.judge(&first_silent, AGE, Millis(0)), TermState::Confirmed(Millis(0)));
}

/// Guards against an entry that begins a term while the scheduler still goes on by the word of its successors: the wait
/// begins anew with each term, also if the entry saw no scheduler in between.
#[test]
fn entry_that_is_no_successor_waits_after_each_term() {
    let succession = succession(1, 2);
    let delays = [1, 2, 3].map(|number| succession.delay_of(&entry(number)));
    assert_eq!(delays, [Millis(0), LISTED_DELAY, UNLISTED_DELAY]);
    // A scheduler without other entries, as the first one of an installation, is not waited for as long.
    let alone = Succession { term: 1, ..Succession::default() };
    assert_eq!(alone.delay_of(&entry(1)), LISTED_DELAY);
    let mut known = KnownSuccession::new(alone);
    assert_eq!(known.judge(&answers(&[]), AGE, Millis(5_000)), TermState::Confirmed(Millis(0)));
    assert_ne!(known.judge(&answers(&[]), AGE, LISTED_DELAY), TermState::Confirmed(Millis(0)));
    known.record_write(succession);
    let all = answers(&[TermAnswer::StoreLost; 2]);
    assert_ne!(known.judge(&all, AGE, LISTED_DELAY), TermState::Confirmed(Millis(0)));
    let mut vacancy = Vacancy::default();
    assert_eq!(vacancy.remaining(5, LISTED_DELAY, MonoTime(1_000)), LISTED_DELAY);
    assert_eq!(vacancy.remaining(5, LISTED_DELAY, MonoTime(4_000)), Millis(3_000));
    assert_eq!(vacancy.remaining(6, LISTED_DELAY, MonoTime(7_000)), LISTED_DELAY);
    assert_eq!(vacancy.remaining(6, LISTED_DELAY, MonoTime(13_000)), Millis(0));
}

/// Guards against successors that are all lost with one data centre, are weak or do not answer while others do, and against
/// an entry of an earlier version that begins a term without waiting.
#[test]
fn successors_are_strong_spread_and_expected_to_answer() {
    let strong = Strength { cpu: 500, link_kbps: 1_000 };
    let stronger = Strength { cpu: 510, link_kbps: 1_000 };
    let weak = Strength { cpu: 120, link_kbps: 1_000 };
    let candidate = |number: u16, strength, data_centre: Option<&str>| Candidate {
        peers: entry(number),
        strength,
        data_centre: data_centre.map(Into::into),
    };
    let mut candidates: Vec<Candidate> = (1..=4).map(|number| candidate(number, stronger, Some("a"))).collect();
    candidates.extend((5..=6).map(|number| candidate(number, strong, Some("b"))));
    candidates.extend((7..=8).map(|number| candidate(number, strong, Some("c"))));
    candidates.extend((9..=20).map(|number| candidate(number, weak, Some("d"))));
    let chosen = Succession::choose(3, &candidates, |_| true);
    assert_eq!(chosen.successors, [1, 5, 7, 2].map(entry));
    assert_eq!(chosen.listed.len(), 16);
    let without = Succession::choose(3, &candidates, |peers| *peers != entry(5));
    assert_eq!(without.successors, [1, 6, 7, 2].map(entry));
    let few = Succession::choose(3, &candidates[..2], |peers| *peers != entry(1));
    assert_eq!(few.successors, [2, 1].map(entry));
    candidates.push(candidate(21, weak, None));
    let with_earlier_version = Succession::choose(3, &candidates, |_| true);
    assert_eq!(with_earlier_version.successors.len(), SUCCESSORS + 1);
    assert!(with_earlier_version.successors.contains(&entry(21)));
}
