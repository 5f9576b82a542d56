//! When the scheduler of the last term has stopped, by its lease and the answers of the entries that may have confirmed its
//! term.

use std::net::SocketAddr;

use carawaybarrow_core::Map;
use carawaybarrow_core::sched::candidacy::{TermAnswer, TermState};
use carawaybarrow_core::sched::recovery::PREVIOUS_TERM_OVERRUN;
use carawaybarrow_core::sched::scheduler::CONFIRMATION_LIMIT;
use carawaybarrow_core::sched::succession::{KnownSuccession, Succession, Vacancy};
use carawaybarrow_core::sched::takeover::{GivenConfirmations, LastStop};
use carawaybarrow_core::units::{Millis, MonoTime};

const LEASE: Millis = Millis(1_500);
const LAPSED: MonoTime = MonoTime(100_000);
const LONG: Millis = Millis(60_000);

fn entry(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// A succession with successors 1 and 2, and a third listed entry.
fn succession() -> Succession {
    Succession { term: 4, successors: vec![entry(1), entry(2)], listed: vec![entry(3)] }
}

fn last_stop() -> LastStop {
    LastStop::new(LAPSED, LEASE, &succession()).expect("the succession names entries")
}

/// Guards against jobs that wait for 2 s after each loss of a VM with the scheduler, although its lease was not renewed for
/// long and nobody else confirmed its term.
#[test]
fn scheduler_whose_lease_lapsed_has_stopped_soon_after() {
    let mut stop = last_stop();
    (1..=3).for_each(|number| stop.apply_answer(&entry(number), LAPSED, Some(LONG)));
    let stops_by = stop.stops_by().expect("all entries have answered");
    assert!(stops_by < LAPSED + Millis(600), "{stops_by:?}");
    // The last renewal may have been sent one lease before the lapse, by the scheduler's clock.
    assert!(stops_by > LAPSED + CONFIRMATION_LIMIT - LEASE, "{stops_by:?}");
}

/// Guards against tasks that start while the last scheduler acts because another entry has confirmed its term, or may have
/// done so: an entry that was started again can't know, one of an earlier version doesn't say, and a silent one may still
/// confirm it.
#[test]
fn scheduler_whose_term_may_have_been_confirmed_is_not_taken_for_stopped() {
    let mut silent = last_stop();
    (1..=2).for_each(|number| silent.apply_answer(&entry(number), LAPSED, Some(LONG)));
    assert_eq!(silent.stops_by(), None);
    let mut earlier_version = last_stop();
    (1..=2).for_each(|number| earlier_version.apply_answer(&entry(number), LAPSED, Some(LONG)));
    earlier_version.apply_answer(&entry(3), LAPSED, None);
    assert_eq!(earlier_version.stops_by(), None);
    // An entry that nobody asks makes up for none of the others.
    earlier_version.apply_answer(&entry(4), LAPSED, Some(LONG));
    assert_eq!(earlier_version.stops_by(), None);

    let mut confirmed = last_stop();
    (1..=2).for_each(|number| confirmed.apply_answer(&entry(number), LAPSED, Some(LONG)));
    let answered = LAPSED + Millis(400);
    confirmed.apply_answer(&entry(3), answered, Some(Millis(300)));
    let stops_by = confirmed.stops_by().expect("all entries have answered");
    assert!(stops_by >= answered - Millis(300) + PREVIOUS_TERM_OVERRUN, "{stops_by:?}");
    assert!(stops_by < answered + PREVIOUS_TERM_OVERRUN, "{stops_by:?}");

    let started = LAPSED - Millis(100);
    let mut given = GivenConfirmations::new(started);
    assert_eq!(given.quiet(LAPSED), Millis(100));
    given.record(LAPSED);
    assert_eq!(given.quiet(answered), Millis(400));
}

/// Guards against a scheduler that knew no other entry and so needed no answers: nobody can tell when it stops.
#[test]
fn scheduler_without_successors_is_not_taken_for_stopped() {
    assert!(LastStop::new(LAPSED, LEASE, &Succession { term: 4, ..Succession::default() }).is_none());
}

/// Guards against a lapse that counts from the vacancy after another term.
#[test]
fn vacancy_counts_for_its_term_only() {
    let mut vacancy = Vacancy::default();
    assert_eq!(vacancy.since(5), None);
    assert_eq!(vacancy.remaining(5, Millis(0), LAPSED), Millis(0));
    assert_eq!(vacancy.remaining(5, Millis(0), LAPSED + LEASE), Millis(0));
    assert_eq!(vacancy.since(5), Some(LAPSED));
    assert_eq!(vacancy.since(6), None);
}

/// Guards against a proof that a later scheduler doesn't hear of: it asks the entries of the stored succession, which may be
/// any that was written and not answered.
#[test]
fn proof_counts_only_of_entries_that_every_possible_succession_names() {
    let answers: Map<SocketAddr, TermAnswer> =
        [(entry(3), TermAnswer::Current { age: Millis(200) }), (entry(1), TermAnswer::Silent)].into_iter().collect();
    let mut known = KnownSuccession::new(succession());
    assert_eq!(known.judge(&answers, LONG, Millis(0)), TermState::Proved(Millis(200)));
    known.record_write(Succession { listed: Vec::new(), ..succession() });
    assert_eq!(known.judge(&answers, LONG, Millis(0)), TermState::Unconfirmed);
    // That the term is over counts whoever says so.
    let over = [(entry(9), TermAnswer::Over)].into_iter().collect();
    assert_eq!(known.judge(&over, LONG, Millis(0)), TermState::Over);
}
