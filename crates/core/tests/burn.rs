//! Error-budget burn: windows, spenders, merging, JSON format and memory bound.

use carawaybarrow_core::burn::{self, BurnTable, ClassBurn, TargetCounts};
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

/// Guards against counts that stay in a window for too long or leave it too soon, as with a wrong length or number of
/// its buckets.
#[test]
fn each_window_counts_only_its_own_span() {
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

/// Guards against wrong burn rates and spenders: if 2 % of the work misses its target, a budget of 1 % is spent twice
/// as fast as allowed. The spenders come in the order of their missed work.
#[test]
fn burn_rate_is_the_missed_part_divided_by_the_budget() {
    let mut burn = BurnTable::new();
    record(&mut burn, "a", 500, 5, minutes(0));
    record(&mut burn, "b", 480, 15, minutes(0));
    let window = report(&burn, minutes(0)).windows.remove(0);
    assert_eq!(window.window_ms, Millis::from_secs(300));
    assert_eq!(window.counts, TargetCounts { met: 980, missed: 20 });
    assert!((window.share_met - 0.98).abs() < 1e-9 && (window.burn_rate - 2.0).abs() < 1e-9, "{window:?}");
    let spenders: Vec<_> =
        window.spenders.iter().map(|s| (s.team.as_ref().unwrap().as_str(), s.missed, s.part)).collect();
    assert_eq!(spenders, [("b", 15, 0.75), ("a", 5, 0.25)]);
}

/// Guards against a report in which a class without work fails its target, because its part of met work is 0 of 0.
#[test]
fn class_without_work_spends_no_budget() {
    assert_eq!(TargetCounts::default().share_met(), 1.0);
    assert_eq!(TargetCounts::default().burn_rate(10), 0.0);
    assert_eq!(TargetCounts { met: 0, missed: 5 }.burn_rate(10), 100.0);
    assert!(BurnTable::new().report(10, minutes(0)).is_empty());
}

/// Guards against a report that depends on the order in which the tables of the entries are merged, and against counts
/// that are lost when a table is sent to another entry.
#[test]
fn merged_tables_equal_one_table_of_all_work() {
    let (mut a, mut b, mut single) = (BurnTable::new(), BurnTable::new(), BurnTable::new());
    for (is_first, minute, team) in [(true, 0, "x"), (false, 1, "x"), (false, 2, "y")] {
        record(if is_first { &mut a } else { &mut b }, team, 10, 2, minutes(minute));
        record(&mut single, team, 10, 2, minutes(minute));
    }
    let received: BurnTable = serde_json::from_str(&serde_json::to_string(&b).unwrap()).unwrap();
    assert_eq!(received, b);
    let mut merged = a.clone();
    merged.merge(received, minutes(2));
    b.merge(a, minutes(2));
    assert_eq!(merged, b);
    assert_eq!(merged, single);
}

/// Guards against memory that grows with the number of teams and with time. Work beyond the maximum number of rows is
/// counted in one common row, so the totals of the class must stay exact.
#[test]
fn row_count_is_bounded_and_class_totals_stay_exact() {
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

/// Guards against counts from a clock that ran ahead: they must neither be added to the present work nor displace it.
#[test]
fn counts_from_the_future_are_dropped() {
    let mut burn = BurnTable::new();
    record(&mut burn, "a", 7, 0, minutes(100_000));
    record(&mut burn, "a", 3, 0, minutes(0));
    let totals: Vec<_> = report(&burn, minutes(0)).windows.iter().map(|w| w.counts.met).collect();
    assert_eq!(totals, [3, 3, 3]);
}
