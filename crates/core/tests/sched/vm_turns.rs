//! Moves of VMs right after a change of scheduler, while earlier ones may have given orders about some of them.

use carawaybarrow_core::Set;
use carawaybarrow_core::sched::balance::BalanceState;
use carawaybarrow_core::sched::graph::{PoolName, VmKey};
use carawaybarrow_core::sched::vm_turns::{StoredMoves, VmTurns};
use carawaybarrow_core::units::{Millis, MonoTime};

use super::model::{Model, job, standby_vms, step};

const LEASE: Millis = Millis(3_000);

fn vms(names: &[&str]) -> Vec<VmKey> {
    names.iter().map(VmKey::new).collect()
}

fn begin(at: u64, term: u32, stored: Option<&StoredMoves>) -> VmTurns {
    VmTurns::new(MonoTime(at), LEASE, StoredMoves::for_next(stored, term))
}

fn sorted(stored: StoredMoves) -> Option<Vec<VmKey>> {
    stored.vms.map(|mut vms| {
        vms.sort();
        vms
    })
}

/// Guards against two schedulers that order one VM within the time that must pass between them: the moves of the last one, of
/// the one before it if its term was short, and of one that may have stored none.
#[test]
fn next_scheduler_knows_which_vms_were_moved_lately() {
    let mut first = begin(0, 0, None);
    assert_eq!(first.earlier().map(Set::len), Some(0));
    first.record(MonoTime(5_000), vms(&["a"]));
    let stored = first.record(MonoTime(8_900), vms(&["b"]));
    assert_eq!(sorted(stored.clone()), Some(vms(&["a", "b"])));

    let mut second = begin(10_000, 1, Some(&stored));
    assert_eq!(second.earlier().map(Set::len), Some(2));
    assert!(!second.has_passed(MonoTime(12_999)));
    assert!(second.has_passed(MonoTime(13_000)));
    let stored = second.record(MonoTime(11_000), vms(&["c"]));
    assert_eq!(sorted(stored), Some(vms(&["a", "b", "c"])));
    // A move whose call took its whole time may have been executed 4 s after the order was planned.
    let stored = second.record(MonoTime(15_000), vms(&["d"]));
    assert_eq!(sorted(stored), Some(vms(&["c", "d"])));

    // The term between was of a version that stores no moves.
    let unknown = begin(20_000, 5, Some(&StoredMoves { term: 3, vms: Some(Vec::new()) }));
    assert_eq!(unknown.earlier(), None);
    let mut short = unknown.clone();
    assert_eq!(short.record(MonoTime(21_000), vms(&["e"])).vms, None, "any VM may have been moved");
    assert_eq!(sorted(short.record(MonoTime(24_001), vms(&["f"]))), Some(vms(&["e", "f"])));
}

/// Guards against a pool that waits for 3 s for VMs after a change of scheduler, and against moves of VMs that the last one may
/// have moved, or whose worker has not answered and may have runs.
#[test]
fn other_vms_move_right_after_a_change_of_scheduler() {
    let mut model = Model::new(2);
    model.set_standby_pool();
    model.accept("j", job(vec![step(40, 1_000)]));
    let mut listed = model.list_vms();
    listed.extend(standby_vms(3));
    let mut balance = BalanceState::default();
    balance.set_untouchable(Some(vms(&["s0"]).into_iter().collect()));
    let moves = model.scheduler.plan_moves(MonoTime(model.now), &mut balance, &listed);
    let mut moved: Vec<VmKey> = moves.iter().filter(|m| m.pool == PoolName::new("p")).map(|m| m.vm.clone()).collect();
    moved.sort();
    assert_eq!(moved, vms(&["s1", "s2"]));

    // The two workers of another pool seem idle until they answer.
    let mut idle = Model::new(2);
    idle.set_standby_pool();
    let mut listed = idle.list_vms();
    listed.iter_mut().for_each(|vm| vm.pool = PoolName::new("other"));
    idle.accept("j", job(vec![step(40, 1_000)]));
    let mut early = BalanceState::default();
    early.set_untouchable(Some(Set::default()));
    assert_eq!(idle.scheduler.plan_moves(MonoTime(idle.now), &mut early, &listed), []);
    idle.poll_all();
    assert_ne!(idle.scheduler.plan_moves(MonoTime(idle.now), &mut early, &listed), []);
}
