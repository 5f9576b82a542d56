//! The list of workers, and which entry schedules.

use carawaybarrow_core::sched::candidacy::{Strength, TAKEOVER_DELAY};
use carawaybarrow_core::sched::directory::{Directory, WorkerChange};
use carawaybarrow_core::sched::graph::WorkerKey;
use carawaybarrow_core::units::{Millis, MonoTime};

use super::model::{START, report};

fn keys(directory: &Directory) -> Vec<WorkerKey> {
    let mut keys: Vec<_> = directory.reports().into_iter().map(|r| r.key).collect();
    keys.sort();
    keys
}

/// Guards against work for each heartbeat: an entry that is written again as it was is no change.
#[test]
fn entry_written_as_before_is_no_change() {
    let mut directory = Directory::new(MonoTime(START));
    directory.replace(MonoTime(START), vec![report(0), report(1)]);
    assert!(directory.take_changed());
    assert_eq!(directory.put(report(0)), None);
    assert!(!directory.take_changed());
    let mut draining = report(0);
    draining.draining = true;
    assert_eq!(directory.put(draining.clone()), Some(WorkerChange::Draining(draining)));
    assert!(directory.take_changed());
}

/// Guards against a worker that stays in use although its entry was removed while the store was well.
#[test]
fn worker_whose_entry_is_removed_leaves_at_once() {
    let mut directory = Directory::new(MonoTime(START));
    directory.replace(MonoTime(START), vec![report(0), report(1)]);
    let now = MonoTime(START + 1_000);
    directory.record_answer(now);
    assert_eq!(directory.remove(now, &report(0).key), Some(WorkerChange::Gone(report(0))));
    assert_eq!(keys(&directory), [report(1).key]);
    assert_eq!(directory.replace(now, Vec::new()), [WorkerChange::Gone(report(1))]);
}

/// Guards against workers that are given up because their entries lapsed while the store was away, and against those
/// that are kept for ever.
#[test]
fn entries_that_lapsed_in_an_outage_have_time_to_come_back() {
    let mut directory = Directory::new(MonoTime(START));
    directory.replace(MonoTime(START), vec![report(0), report(1)]);
    let back = START + 5_000;
    directory.record_answer(MonoTime(back));
    directory.replace(MonoTime(back), Vec::new());
    assert_eq!(keys(&directory), [report(0).key, report(1).key]);
    directory.put(report(0));
    assert_eq!(directory.drop_missing(MonoTime(back + 2_200)), []);
    assert_eq!(directory.drop_missing(MonoTime(back + 2_300)), [WorkerChange::Gone(report(1))]);
    assert_eq!(keys(&directory), [report(0).key]);
}

/// Guards against a short silence of the store that hides workers which have left.
#[test]
fn short_silence_is_no_outage() {
    let mut directory = Directory::new(MonoTime(START));
    directory.replace(MonoTime(START), vec![report(0)]);
    let now = MonoTime(START + 1_500);
    directory.record_answer(now);
    assert_eq!(directory.remove(now, &report(0).key), Some(WorkerChange::Gone(report(0))));
}

/// Guards against pools scheduled by an entry whose link is full with lists (grown sites), and against a wait for
/// nothing where all entries are alike.
#[test]
fn only_clearly_weaker_entries_stand_back() {
    let strong = Strength { cpu: 500, link_kbps: 200_000 };
    let weak = Strength { cpu: 120, link_kbps: 10_000 };
    assert_eq!(weak.takeover_delay(&[weak, strong]), TAKEOVER_DELAY);
    assert_eq!(weak.takeover_delay(&[weak, weak]), Millis(0));
    assert_eq!(strong.takeover_delay(&[weak, strong]), Millis(0));
    assert!(strong.is_clearly_stronger_than(&weak));
    assert!(!strong.is_clearly_stronger_than(&strong));
    // More processor behind a slower link is not clearly stronger.
    assert!(!Strength { cpu: 500, link_kbps: 5_000 }.is_clearly_stronger_than(&weak));
}
