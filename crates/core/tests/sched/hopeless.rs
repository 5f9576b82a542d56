//! Jobs whose tasks can't run must not delay the others.

use carawaybarrow_core::sched::balance::BalanceState;
use carawaybarrow_core::sched::graph::Step;
use carawaybarrow_core::sched::progress::JobState;
use carawaybarrow_core::units::MonoTime;

use super::model::{Model, job, standby_vms, step};

fn lasting(count: u32, cpu: u64) -> Step {
    Step { lasting: true, ..step(count, cpu) }
}

/// Guards against a pool that starts nothing because a lasting step reserves all workers, although its tasks fit on
/// none of them: they are too large, or need a label that no worker has, or the workers already run as many of the
/// step's tasks as the step allows, or other lasting tasks hold the resources. Seen in review/1.
#[test]
fn lasting_tasks_that_fit_nowhere_reserve_no_worker() {
    let steps = [
        lasting(8, 5_000),
        Step { required_label: Some("other".into()), ..lasting(8, 1_000) },
        Step { max_per_worker: Some(1), ..lasting(8, 1_000) },
        lasting(8, 3_000),
    ];
    for hopeless in steps {
        let mut model = Model::new(2);
        let name = format!("{hopeless:?}");
        model.work_ms = u64::MAX;
        model.accept("hopeless", job(vec![hopeless]));
        model.run_for(500);
        model.work_ms = 400;
        model.accept("j", job(vec![step(2, 1_000)]));
        model.run_for(1_500);
        assert_eq!(model.state("j"), Some(JobState::Completed), "{name}");
    }
}

/// Guards against a lasting task that never starts, because small tasks take the resources that become free.
#[test]
fn lasting_task_that_fits_later_gets_a_worker() {
    let mut model = Model::new(2);
    model.work_ms = 800;
    for number in 0..40 {
        model.accept(&format!("j{number}"), job(vec![step(4, 1_000)]));
    }
    model.run_for(500);
    model.work_ms = u64::MAX;
    model.accept("lasting", job(vec![lasting(1, 4_000)]));
    // Tasks that start from now on would not end, so only the lasting one may start on its worker.
    let before = model.done.len();
    model.run_for(1_500);
    assert!(model.done.len() > before);
    assert_eq!(model.state("lasting"), Some(JobState::Running));
}

/// Guards against a pool that attracts all VMs because of lasting tasks that are larger than any VM.
#[test]
fn tasks_that_fit_on_no_vm_move_no_vm() {
    for hopeless in [lasting(8, 5_000), step(8, 5_000)] {
        let mut model = Model::new(2);
        model.set_standby_pool();
        model.accept("hopeless", job(vec![hopeless]));
        model.run_for(500);
        let mut listed = model.list_vms();
        listed.extend(standby_vms(4));
        let moves = model.scheduler.plan_moves(MonoTime(model.now), &mut BalanceState::default(), &listed);
        assert_eq!(moves, []);
    }
}
