//! Service-level burn: windows, spenders, merging, the stored form and the memory bound.

use carawaybarrow_core::burn::{self, BurnTable, ClassBurn, Counts};
use carawaybarrow_core::ids::{ClassId, PoolId, TeamId};
use carawaybarrow_core::units::{Millis, WallTime};

const START: u64 = 1_700_000_000_000;

fn minutes(n: u64) -> WallTime {
    WallTime(START + n * 60_000)
}

fn record(burn: &mut BurnTable, team: &str, met: u32, missed: u32, at: WallTime) {
    let (class, pool) = (ClassId::new("urgent").unwrap(), PoolId::new("render").unwrap());
    let team = TeamId::new(team).unwrap();
    for i in 0..met + missed {
        burn.record(&class, Some(&team), &pool, i < met, at);
    }
}

fn report(burn: &BurnTable, now: WallTime) -> ClassBurn {
    let mut classes = burn.report(burn::DEFAULT_ERROR_BUDGET_PER_MILLE, now);
    assert_eq!(classes.len(), 1);
    classes.remove(0)
}

/// Guards against counts that stay in a window for too long or leave it too soon.
#[test]
fn each_window_covers_its_time() {
    let mut burn = BurnTable::new();
    record(&mut burn, "a", 90, 10, minutes(0));
    let table =
        [(0, [100, 100, 100]), (4, [100, 100, 100]), (6, [0, 100, 100]), (50, [0, 100, 100]), (66, [0, 0, 100])];
    for (minute, expected) in table {
        let totals = report(&burn, minutes(minute)).windows.iter().map(|w| w.counts.met + w.counts.missed).collect();
        let totals: Vec<u64> = totals;
        assert_eq!(totals, expected, "after {minute} minutes");
    }
    burn.prune(minutes(6 * 60 + 10));
    assert!(burn.is_empty());
}

/// Guards against wrong rates: 2 % of misses spend a budget of 1 % twice as fast as it lasts.
#[test]
fn burn_rate_and_spenders_are_reported() {
    let mut burn = BurnTable::new();
    record(&mut burn, "a", 500, 5, minutes(0));
    record(&mut burn, "b", 480, 15, minutes(0));
    let window = report(&burn, minutes(0)).windows.remove(0);
    assert_eq!(window.window_ms, Millis::from_secs(300));
    assert_eq!(window.counts, Counts { met: 980, missed: 20 });
    assert!((window.share_met - 0.98).abs() < 1e-9 && (window.burn_rate - 2.0).abs() < 1e-9, "{window:?}");
    let spenders: Vec<_> =
        window.spenders.iter().map(|s| (s.team.as_ref().unwrap().as_str(), s.missed, s.part)).collect();
    assert_eq!(spenders, [("b", 15, 0.75), ("a", 5, 0.25)]);
}

/// Guards against a report that calls a class without work a failure.
#[test]
fn no_work_burns_nothing() {
    assert_eq!(Counts::default().share_met(), 1.0);
    assert_eq!(Counts::default().burn_rate(10), 0.0);
    assert_eq!(Counts { met: 0, missed: 5 }.burn_rate(10), 100.0);
    assert!(BurnTable::new().report(10, minutes(0)).is_empty());
}

/// Guards against a report that depends on the entries' order, and against loss on the way between them.
#[test]
fn tables_of_entries_add_up() {
    let (mut a, mut b, mut both) = (BurnTable::new(), BurnTable::new(), BurnTable::new());
    for (is_first, minute, team) in [(true, 0, "x"), (false, 1, "x"), (false, 2, "y")] {
        record(if is_first { &mut a } else { &mut b }, team, 10, 2, minutes(minute));
        record(&mut both, team, 10, 2, minutes(minute));
    }
    let received: BurnTable = serde_json::from_str(&serde_json::to_string(&b).unwrap()).unwrap();
    assert_eq!(received, b);
    let mut ab = a.clone();
    ab.merge(received, minutes(2));
    b.merge(a, minutes(2));
    assert_eq!(ab, b);
    assert_eq!(ab, both);
}

/// Guards against memory that grows with teams and time; the totals of the class must stay right.
#[test]
fn rows_are_bounded() {
    let mut burn = BurnTable::new();
    let extra = 100;
    for i in 0..burn::MAX_ROWS + extra {
        record(&mut burn, &format!("t{i}"), 1, 1, minutes(0));
    }
    assert_eq!(burn.len(), burn::MAX_ROWS + 1);
    let window = report(&burn, minutes(0)).windows.remove(0);
    assert_eq!(window.counts.missed, (burn::MAX_ROWS + extra) as u64);
    assert_eq!(window.spenders.len(), burn::MAX_SPENDERS);
    assert_eq!((window.spenders[0].team.clone(), window.spenders[0].missed), (None, extra as u64));
    for minute in 0..2000 {
        record(&mut burn, "t0", 1, 0, minutes(minute));
    }
    assert!(serde_json::to_string(&burn).unwrap().len() < 1_000_000);
}

/// Guards against counts from a clock that ran ahead and that would hide the present work.
#[test]
fn counts_from_the_future_are_dropped() {
    let mut burn = BurnTable::new();
    record(&mut burn, "a", 7, 0, minutes(100_000));
    record(&mut burn, "a", 3, 0, minutes(0));
    let totals: Vec<_> = report(&burn, minutes(0)).windows.iter().map(|w| w.counts.met).collect();
    assert_eq!(totals, [3, 3, 3]);
}
