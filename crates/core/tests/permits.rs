//! An entry's local accounting of permits: use, requests, returns and write rate.

use carawaybarrow_core::commit::Document;
use carawaybarrow_core::ids::{EntryId, Incarnation, Revision, StoreVersion, TeamId};
use carawaybarrow_core::permits::{IDLE_RETURN_DELAY, MAX_WRITES_PER_SECOND, Permit, Permits};
use carawaybarrow_core::quota::{Quota, QuotaCommand, TeamLimit};
use carawaybarrow_core::units::MonoTime;

fn entry(name: &str) -> EntryId {
    EntryId::new(name).unwrap()
}

fn team() -> TeamId {
    TeamId::new("clinic").unwrap()
}

const fn limit(limit: u32, revision: u64) -> TeamLimit {
    TeamLimit { limit, config_revision: Revision(revision) }
}

fn permits(name: &str, max: u32) -> Permits {
    let mut permits = Permits::new(entry(name), Incarnation(1));
    permits.set_limit(&team(), limit(max, 1));
    permits
}

/// A store without faults that holds one permits document.
#[derive(Default)]
struct Store {
    version: u64,
    quota: Quota,
    writes: u64,
}

impl Store {
    fn commit(&mut self, commands: &[QuotaCommand]) {
        let outcomes: Vec<_> = commands.iter().map(|c| self.quota.apply(c)).collect();
        if outcomes.iter().any(Quota::is_change) {
            self.version += 1;
            self.writes += 1;
        }
    }

    fn commit_next(&mut self, permits: &mut Permits, now: u64) -> Vec<QuotaCommand> {
        let commands = permits.next_commands(MonoTime(now));
        if !commands.is_empty() {
            self.commit(&commands);
            permits.apply_commit(StoreVersion(self.version), &self.quota);
        }
        commands
    }

    fn held(&self, name: &str) -> u32 {
        self.quota.team(&team()).map_or(0, |t| t.held(&entry(name), Incarnation(1)))
    }
}

/// Runs `load` tasks for the time of `span`, and commits the next commands every 50 ms. Returns the number of starts
/// that found no permit; a start that has to wait counts again every 50 ms.
fn run_load(store: &mut Store, permits: &mut Permits, tasks: &mut Vec<Permit>, load: usize, span: (u64, u64)) -> usize {
    let mut refused = 0;
    for now in (span.0..span.1).step_by(50) {
        while tasks.len() > load {
            permits.release(tasks.pop().unwrap(), MonoTime(now));
        }
        while tasks.len() < load {
            let Some(permit) = permits.try_acquire(&team(), MonoTime(now)) else {
                refused += load - tasks.len();
                break;
            };
            tasks.push(permit);
        }
        store.commit_next(permits, now);
    }
    refused
}

/// Guards against a start without a permit, and against a task that is counted twice.
#[test]
fn tasks_start_only_with_a_free_permit() {
    let (mut store, mut p) = (Store::default(), permits("a", 2));
    assert!(p.try_acquire(&team(), MonoTime(0)).is_none());
    store.commit_next(&mut p, 0);
    let first = p.try_acquire(&team(), MonoTime(1)).unwrap();
    let second = p.try_acquire(&team(), MonoTime(1)).unwrap();
    assert!(p.try_acquire(&team(), MonoTime(1)).is_none());
    assert_eq!(p.usage(&team()).in_use, 2);
    p.release(first, MonoTime(2));
    assert_eq!(p.usage(&team()).in_use, 1);
    let third = p.try_acquire(&team(), MonoTime(3));
    assert!(third.is_some());
    assert!(p.try_acquire(&team(), MonoTime(3)).is_none());
    p.release(second, MonoTime(4));
}

/// Guards against a store write for each task of a load spike to five times the mean: spare permits and larger requests
/// must cover it.
#[test]
fn load_spike_needs_few_writes() {
    let (mut store, mut p, mut tasks) = (Store::default(), permits("a", 1_000), Vec::new());
    run_load(&mut store, &mut p, &mut tasks, 20, (0, 60_000));
    let (writes, held) = (store.writes, store.held("a"));
    let refused = run_load(&mut store, &mut p, &mut tasks, 100, (60_000, 65_000));
    let spike_writes = store.writes - writes;
    println!("held {held} before the spike, {spike_writes} writes in it, {refused} starts waited 50 ms");
    assert!((30..=60).contains(&held), "{held}");
    assert!(spike_writes <= 4, "{spike_writes} writes");
    assert_eq!(tasks.len(), 100);
}

/// Guards against permits that stay with an entry that no longer needs them, and against their return between two load
/// spikes in quick succession.
#[test]
fn idle_permits_are_returned_after_a_delay() {
    let (mut store, mut p, mut tasks) = (Store::default(), permits("a", 1_000), Vec::new());
    run_load(&mut store, &mut p, &mut tasks, 100, (0, 5_000));
    let held = store.held("a");
    run_load(&mut store, &mut p, &mut tasks, 0, (5_000, 5_000 + IDLE_RETURN_DELAY.0 / 2));
    assert_eq!(store.held("a"), held);
    run_load(&mut store, &mut p, &mut tasks, 0, (10_000, 10_000 + 3 * IDLE_RETURN_DELAY.0));
    assert_eq!(store.held("a"), 0);
}

/// Guards against more store writes than the entry's budget, with demand that changes all the time.
#[test]
fn writes_stay_within_the_rate_limit() {
    let (mut store, mut p, mut tasks) = (Store::default(), permits("a", 10_000), Vec::new());
    for round in 0..100 {
        let load = if round % 2 == 0 { 1 + round * 7 } else { 0 };
        run_load(&mut store, &mut p, &mut tasks, load, (round as u64 * 100, round as u64 * 100 + 100));
    }
    assert!(store.writes <= 11 * MAX_WRITES_PER_SECOND, "{}", store.writes);
}

/// Guards against a start while a team's permits exceed a lowered limit, and against unused permits that are held
/// beyond it.
#[test]
fn lowered_limit_blocks_starts_and_returns_unused_permits() {
    let (mut store, mut a, mut b) = (Store::default(), permits("a", 20), permits("b", 20));
    let (mut tasks_a, mut tasks_b) = (Vec::new(), Vec::new());
    run_load(&mut store, &mut a, &mut tasks_a, 4, (0, 2_000));
    run_load(&mut store, &mut b, &mut tasks_b, 4, (0, 2_000));
    assert!(store.quota.team(&team()).unwrap().sum() > 8);

    a.set_limit(&team(), limit(6, 2));
    assert!(a.try_acquire(&team(), MonoTime(2_000)).is_none(), "the document may not contain the new limit yet");
    for now in [3_000, 3_200, 3_400] {
        store.commit_next(&mut a, now);
        b.apply_document(StoreVersion(store.version), &store.quota);
        store.commit_next(&mut b, now + 100);
        a.apply_document(StoreVersion(store.version), &store.quota);
    }
    assert_eq!((store.held("a"), store.held("b")), (4, 4), "only the permits in use are left");
    for permits in [&mut a, &mut b] {
        assert!(permits.usage(&team()).over_limit);
        assert!(permits.try_acquire(&team(), MonoTime(4_000)).is_none());
    }
    for task in tasks_a.drain(..2) {
        a.release(task, MonoTime(5_000));
    }
    store.commit_next(&mut a, 5_000);
    assert_eq!(store.quota.team(&team()).unwrap().sum(), 6);
    assert!(!a.usage(&team()).over_limit);
}

/// Guards against one entry that holds all permits of a team while another entry has unmet demand for them.
#[test]
fn entries_with_demand_share_the_limit_equally() {
    let (mut store, mut a, mut b) = (Store::default(), permits("a", 20), permits("b", 20));
    let (mut tasks_a, mut tasks_b) = (Vec::new(), Vec::new());
    run_load(&mut store, &mut a, &mut tasks_a, 20, (0, 3_000));
    assert_eq!(store.held("a"), 20);
    for now in (3_000_u64..13_000).step_by(50) {
        for (p, tasks) in [(&mut a, &mut tasks_a), (&mut b, &mut tasks_b)] {
            p.apply_document(StoreVersion(store.version), &store.quota);
            // Each task runs for about a second.
            if now.is_multiple_of(1_000) && !tasks.is_empty() {
                for task in tasks.drain(..) {
                    p.release(task, MonoTime(now));
                }
            }
            while let Some(task) = p.try_acquire(&team(), MonoTime(now)) {
                tasks.push(task);
            }
            store.commit_next(p, now);
        }
        assert!(tasks_a.len() + tasks_b.len() <= 20);
    }
    assert_eq!((tasks_a.len(), tasks_b.len()), (10, 10));
}

/// Guards against a permit that is used while its return is in flight, and against a second return after a lost
/// response.
#[test]
fn permits_being_returned_are_not_used() {
    let (mut store, mut p, mut tasks) = (Store::default(), permits("a", 100), Vec::new());
    run_load(&mut store, &mut p, &mut tasks, 10, (0, 5_000));
    run_load(&mut store, &mut p, &mut tasks, 0, (5_000, 9_000));
    let mut now = 9_000;
    let batch = loop {
        let commands = p.next_commands(MonoTime(now));
        if let [QuotaCommand::Give { .. }] = commands[..] {
            break commands;
        }
        store.commit(&commands);
        p.apply_commit(StoreVersion(store.version), &store.quota);
        now += 50;
    };
    let usage = p.usage(&team());
    let count = |p: &mut Permits| std::iter::from_fn(|| p.try_acquire(&team(), MonoTime(now))).count() as u32;
    assert_eq!(count(&mut p.clone()), usage.held - usage.returning);

    // The write takes effect, but its response is lost: the same commands are sent again and not applied twice.
    store.commit(&batch);
    p.mark_commit_uncertain();
    assert_eq!(count(&mut p.clone()), usage.held - usage.returning);
    let resent = p.next_commands(MonoTime(now + 1_000));
    assert_eq!(resent, batch);
    store.commit(&resent);
    p.apply_commit(StoreVersion(store.version), &store.quota);
    assert_eq!(p.usage(&team()).held, usage.held - usage.returning);
    assert_eq!(p.usage(&team()).returning, 0);
}

/// Guards against the use of permits from an older copy of the document, and against their use by a fenced process.
#[test]
fn older_document_is_ignored_and_fence_ends_all_use() {
    let (mut store, mut p) = (Store::default(), permits("a", 8));
    let older_copy = (StoreVersion(0), store.quota.clone());
    assert!(p.try_acquire(&team(), MonoTime(0)).is_none());
    store.commit_next(&mut p, 0);
    let held = p.usage(&team()).held;
    p.apply_document(older_copy.0, &older_copy.1);
    assert_eq!(p.usage(&team()).held, held);

    let keep = [(team(), 5)].into();
    store.commit(&[QuotaCommand::Reclaim { entry: entry("a"), incarnation: Incarnation(1), keep }]);
    p.apply_document(StoreVersion(store.version), &store.quota);
    assert!(p.try_acquire(&team(), MonoTime(100)).is_none());
    assert!(p.next_commands(MonoTime(20_000)).is_empty());
}
