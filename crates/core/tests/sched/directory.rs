//! The directory of workers, and which entry becomes the scheduler.

use carawaybarrow_core::sched::candidacy::{PROBE_INTERVAL, Strength, TAKEOVER_DELAY, watch_interval};
use carawaybarrow_core::sched::directory::{Directory, WorkerChange};
use carawaybarrow_core::sched::graph::WorkerKey;
use carawaybarrow_core::units::{Millis, MonoTime};

use super::model::{START_MS, report};

fn keys(directory: &Directory) -> Vec<WorkerKey> {
    let mut keys: Vec<_> = directory.reports().into_iter().map(|r| r.key).collect();
    keys.sort();
    keys
}

/// Guards against processing each rewrite of a worker report by a heartbeat as a change, although nothing differs.
#[test]
fn worker_report_written_without_a_difference_is_no_change() {
    let mut directory = Directory::new(MonoTime(START_MS));
    directory.replace(MonoTime(START_MS), vec![report(0), report(1)]);
    assert!(directory.take_changed());
    assert_eq!(directory.put(report(0)), None);
    assert!(!directory.take_changed());
    let mut draining = report(0);
    draining.draining = true;
    assert_eq!(directory.put(draining.clone()), Some(WorkerChange::Draining(draining)));
    assert!(directory.take_changed());
}

/// Guards against a worker that stays in use although its worker report was removed while the store was available.
#[test]
fn worker_whose_report_is_removed_is_gone_at_once() {
    let mut directory = Directory::new(MonoTime(START_MS));
    directory.replace(MonoTime(START_MS), vec![report(0), report(1)]);
    let now = MonoTime(START_MS + 1_000);
    directory.record_answer(now);
    assert_eq!(directory.remove(now, &report(0).key), Some(WorkerChange::Gone(report(0))));
    assert_eq!(keys(&directory), [report(1).key]);
    assert_eq!(directory.replace(now, Vec::new()), [WorkerChange::Gone(report(1))]);
}

/// Guards against workers that are dropped because their worker reports lapsed during an outage of the store, and
/// against workers that are kept for ever although they don't write their worker reports again.
#[test]
fn worker_reports_that_lapsed_in_an_outage_may_be_written_again() {
    let mut directory = Directory::new(MonoTime(START_MS));
    directory.replace(MonoTime(START_MS), vec![report(0), report(1)]);
    let recovered_at = START_MS + 5_000;
    directory.record_answer(MonoTime(recovered_at));
    directory.replace(MonoTime(recovered_at), Vec::new());
    assert_eq!(keys(&directory), [report(0).key, report(1).key]);
    directory.put(report(0));
    assert_eq!(directory.drop_missing(MonoTime(recovered_at + 2_200)), []);
    assert_eq!(directory.drop_missing(MonoTime(recovered_at + 2_300)), [WorkerChange::Gone(report(1))]);
    assert_eq!(keys(&directory), [report(0).key]);
}

/// Guards against a short time without a response of the store that counts as an outage and hides workers that left.
#[test]
fn short_silence_is_no_outage() {
    let mut directory = Directory::new(MonoTime(START_MS));
    directory.replace(MonoTime(START_MS), vec![report(0)]);
    let now = MonoTime(START_MS + 1_500);
    directory.record_answer(now);
    assert_eq!(directory.remove(now, &report(0).key), Some(WorkerChange::Gone(report(0))));
}

/// Guards against an entry with little bandwidth that becomes the scheduler of a large site and saturates its link with
/// lists of workers, and against a needless delay where all entries are alike.
#[test]
fn only_clearly_weaker_entries_delay_their_takeover() {
    let strong = Strength { cpu: 500, link_kbps: 200_000 };
    let weak = Strength { cpu: 120, link_kbps: 10_000 };
    assert_eq!(weak.takeover_delay(&[weak, strong]), TAKEOVER_DELAY);
    assert_eq!(weak.takeover_delay(&[weak, weak]), Millis(0));
    assert_eq!(strong.takeover_delay(&[weak, strong]), Millis(0));
    assert!(strong.is_clearly_stronger_than(&weak));
    assert!(!strong.is_clearly_stronger_than(&strong));
    // More CPU with less bandwidth is not clearly stronger.
    assert!(!Strength { cpu: 500, link_kbps: 5_000 }.is_clearly_stronger_than(&weak));
}

/// Guards against entries that use up the calls of the store with probes while the scheduler is lost: in a sweep, 301 equal
/// ones probed each 100 ms.
#[test]
fn entries_that_watch_a_lost_scheduler_share_a_rate_of_probes() {
    assert_eq!(watch_interval(33), Millis(100));
    for others in [0, 34, 100, 166, 300, 5_000] {
        let interval = watch_interval(others);
        let probes_per_sec = others as u64 * 1_000 / interval.0;
        let usual = others as u64 * 1_000 / PROBE_INTERVAL.0;
        assert!(probes_per_sec <= usual.max(333), "{others} others: {probes_per_sec} probes a second");
    }
}
