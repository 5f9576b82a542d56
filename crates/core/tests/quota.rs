//! The quota document: grants, returns, limits, reclaims and demand.

use std::collections::BTreeMap;

use carawaybarrow_core::commit::Document;
use carawaybarrow_core::ids::{EntryId, Incarnation, Revision, TeamId};
use carawaybarrow_core::quota::{
    CommandNumber, DEMAND_LIFETIME_CHANGES, MAX_FENCES_PER_ENTRY, Quota, QuotaCommand, QuotaOutcome, TeamLimit,
};

fn entry(name: &str) -> EntryId {
    EntryId::new(name).unwrap()
}

fn team() -> TeamId {
    TeamId::new("clinic").unwrap()
}

const fn limit(limit: u32, revision: u64) -> TeamLimit {
    TeamLimit { limit, config_revision: Revision(revision) }
}

fn take(name: &str, number: u64, count: u32, limit: TeamLimit) -> QuotaCommand {
    let number = CommandNumber(number);
    QuotaCommand::Take { entry: entry(name), incarnation: Incarnation(1), number, team: team(), count, limit }
}

fn give(name: &str, number: u64, count: u32) -> QuotaCommand {
    let number = CommandNumber(number);
    QuotaCommand::Give { entry: entry(name), incarnation: Incarnation(1), number, team: team(), count }
}

fn set_limit(limit: TeamLimit) -> QuotaCommand {
    QuotaCommand::SetLimit { team: team(), limit }
}

fn reclaim(name: &str, keep: u32) -> QuotaCommand {
    let keep = BTreeMap::from([(team(), keep)]);
    QuotaCommand::Reclaim { entry: entry(name), incarnation: Incarnation(1), keep }
}

const fn taken(granted: u32, wanted: u32) -> QuotaOutcome {
    QuotaOutcome::Taken { granted, wanted }
}

fn held(quota: &Quota, name: &str) -> u32 {
    quota.team(&team()).map_or(0, |t| t.held(&entry(name), Incarnation(1)))
}

fn apply_all(steps: Vec<(QuotaCommand, QuotaOutcome)>) -> Quota {
    let mut quota = Quota::default();
    for (command, outcome) in steps {
        let before = quota.clone();
        assert_eq!(quota.apply(&command), outcome, "{command:?}");
        assert_eq!(Quota::is_change(&outcome), before != quota, "{command:?}");
        assert_eq!(Quota::decode(&quota.encode()).unwrap(), quota);
        let permits = quota.team(&team()).unwrap();
        let sum_before = before.team(&team()).map_or(0, |t| t.sum());
        assert!(permits.sum() <= permits.limit.limit.max(sum_before), "{command:?}");
    }
    quota
}

/// Guards against permits beyond the limit, and against a second effect of a command that is repeated after a lost
/// response.
#[test]
fn grants_stay_within_the_limit_and_repetitions_have_no_effect() {
    let ten = limit(10, 1);
    let quota = apply_all(vec![
        (take("a", 1, 4, ten), taken(4, 0)),
        (take("a", 1, 4, ten), QuotaOutcome::Repeated),
        (give("a", 2, 5), QuotaOutcome::NotHeld { held: 4 }),
        (give("a", 2, 1), QuotaOutcome::Changed),
        (give("a", 2, 1), QuotaOutcome::Repeated),
        (take("a", 1, 4, ten), QuotaOutcome::Repeated),
        (take("b", 1, 20, ten), taken(7, 13)),
        (take("a", 3, 1, ten), taken(0, 1)),
        (give("c", 1, 1), QuotaOutcome::NotHeld { held: 0 }),
    ]);
    assert_eq!((held(&quota, "a"), held(&quota, "b")), (3, 7));
}

/// Guards against permits that are granted under a limit that was replaced, and against permits that grow beyond a
/// lowered one.
#[test]
fn grants_follow_the_newest_limit() {
    let (ten, six, eight) = (limit(10, 1), limit(6, 2), limit(8, 3));
    let quota = apply_all(vec![
        (take("a", 1, 5, ten), taken(5, 0)),
        (take("b", 1, 5, ten), taken(5, 0)),
        (set_limit(six), QuotaOutcome::Changed),
        (set_limit(six), QuotaOutcome::Unchanged),
        (set_limit(ten), QuotaOutcome::OlderRevision { current: six }),
        (take("a", 2, 1, ten), QuotaOutcome::OlderRevision { current: six }),
        (take("a", 2, 1, six), taken(0, 1)),
        (give("b", 2, 3), QuotaOutcome::Changed),
        (take("a", 3, 1, six), taken(0, 1)),
        (give("b", 3, 1), QuotaOutcome::Changed),
        (take("a", 4, 1, six), taken(0, 1)),
        (take("a", 5, 9, eight), taken(2, 7)),
    ]);
    assert_eq!((held(&quota, "a"), held(&quota, "b")), (7, 1));
}

/// Guards against a fenced process that takes permits, and against a reclaim that frees the permits of tasks that still
/// run.
#[test]
fn reclaim_fences_the_process_and_keeps_permits_of_running_tasks() {
    let ten = limit(10, 1);
    let mut quota = apply_all(vec![
        (take("a", 1, 8, ten), taken(8, 0)),
        (reclaim("a", 3), QuotaOutcome::Changed),
        (reclaim("a", 3), QuotaOutcome::Unchanged),
        (take("a", 2, 1, ten), QuotaOutcome::Fenced),
        (give("a", 2, 1), QuotaOutcome::Fenced),
        (take("b", 1, 10, ten), taken(7, 3)),
        // The number of kept permits never grows again.
        (reclaim("a", 5), QuotaOutcome::Unchanged),
        (reclaim("a", 0), QuotaOutcome::Changed),
        (take("b", 2, 10, ten), taken(3, 7)),
    ]);
    assert!(quota.is_fenced(&entry("a"), Incarnation(1)));
    assert_eq!(quota.held_by(&entry("a"), Incarnation(1)), BTreeMap::new());
    for incarnation in 2..=MAX_FENCES_PER_ENTRY as u64 {
        let command =
            QuotaCommand::Reclaim { entry: entry("a"), incarnation: Incarnation(incarnation), keep: BTreeMap::new() };
        quota.apply(&command);
    }
    assert!(quota.is_fenced(&entry("a"), Incarnation(1)));
}

/// Guards against one entry that takes permits for which others wait, and against demand that reserves permits for ever
/// because its entry has stopped.
#[test]
fn unmet_demand_reserves_free_permits() {
    let ten = limit(10, 1);
    let mut quota = apply_all(vec![
        (take("a", 1, 10, ten), taken(10, 0)),
        (take("b", 1, 4, ten), taken(0, 4)),
        (give("a", 2, 4), QuotaOutcome::Changed),
        // Entry a holds more than its half, so the four free permits are reserved for b.
        (take("a", 3, 4, ten), taken(0, 4)),
        (take("b", 2, 4, ten), taken(4, 0)),
        (give("b", 3, 4), QuotaOutcome::Changed),
        (take("a", 4, 4, ten), taken(4, 0)),
    ]);
    // The demand of an entry that no longer repeats it doesn't reserve permits for ever.
    quota.apply(&take("b", 4, 4, ten));
    assert_eq!(quota.team(&team()).unwrap().demand_of_others(&entry("a")), 4);
    for number in 5..=5 + DEMAND_LIFETIME_CHANGES {
        quota.apply(&take("a", number, 0, ten));
    }
    assert_eq!(quota.team(&team()).unwrap().demand_of_others(&entry("a")), 0);
}

/// Guards against a document that outgrows the store's value limit at the target size of 400 teams.
#[test]
fn document_of_400_teams_and_nine_entries_fits_into_the_store() {
    let mut quota = Quota::default();
    for t in 0..400 {
        for e in 0..9 {
            quota.apply(&QuotaCommand::Take {
                entry: entry(&format!("entry-{e}")),
                incarnation: Incarnation(u64::MAX - e),
                number: CommandNumber(t + 1),
                team: TeamId::new(format!("team-{t:03}")).unwrap(),
                count: 80,
                limit: limit(1_000, 1_000),
            });
        }
    }
    let bytes = quota.encode().len();
    assert!(bytes < 500_000, "{bytes}");
}
