//! Demand that rises to five times its mean within a second: the pool that it meets must grow before the work piles up,
//! as a VM takes over a second to join it.

use std::sync::Arc;

use carawaybarrow_core::sched::balance::BalanceState;
use carawaybarrow_core::sched::graph::{PoolName, VmKey};
use carawaybarrow_core::sched::maintenance::{Vm, VmState};
use carawaybarrow_core::sched::policy::Policy;
use carawaybarrow_core::units::MonoTime;

use super::model::{Model, STEP_MS, job, report, step};

/// VMs in the pool at first, and VMs on standby.
const POOL_VMS: usize = 6;
const STANDBY_VMS: usize = 40;

struct Peak {
    model: Model,
    balance: BalanceState,
    listed: Vec<Vm>,
    jobs: usize,
}

impl Peak {
    fn new() -> Self {
        let mut model = Model::new(POOL_VMS);
        let mut policy = Policy { version: 2, ..(*model.policy).clone() };
        policy.standby = Some(PoolName::new("standby"));
        model.scheduler.set_policy(Arc::new(policy));
        let vm = |number: usize, pool: &str| {
            let report = report(number);
            let is_standby = pool == "standby";
            Vm {
                key: VmKey::new(format!("m{number}")),
                pool: PoolName::new(pool),
                state: VmState::Up,
                data_centre: report.data_centre,
                capacity: report.capacity,
                worker: (!is_standby).then_some(report.key),
            }
        };
        let pool = (0..POOL_VMS).map(|n| vm(n, "p"));
        let standby = (POOL_VMS..POOL_VMS + STANDBY_VMS).map(|n| vm(n, "standby"));
        let listed = pool.chain(standby).collect();
        Self { model, balance: BalanceState::default(), listed, jobs: 0 }
    }

    /// Runs for a time in which `per_step` jobs arrive in each step. Each has 4 tasks of one core that take 400 ms.
    /// Returns the number of VMs that were ordered to the pool.
    fn run(&mut self, duration_ms: u64, per_step: usize) -> usize {
        let mut ordered = 0;
        for _ in 0..duration_ms / STEP_MS {
            for _ in 0..per_step {
                self.model.accept(&format!("j{}", self.jobs), job(vec![step(4, 1_000)]));
                self.jobs += 1;
            }
            self.model.run_for(STEP_MS);
            let now = MonoTime(self.model.now);
            let moves = self.model.scheduler.plan_moves(now, &mut self.balance, &self.listed);
            ordered += moves.iter().filter(|m| m.pool.as_str() == "p").count();
        }
        ordered
    }
}

/// Guards against pools that grow only as fast as work piles up. 60 jobs a second keep 96 cores busy, which are 24 VMs.
#[test]
fn pool_grows_to_the_size_of_a_peak_within_half_a_second() {
    let mut peak = Peak::new();
    let ordered = peak.run(500, 3);
    assert!(ordered >= 24 - POOL_VMS, "{ordered} VMs were ordered");
}

/// Guards against a few jobs that happen to arrive together and are taken for a peak. Ten jobs keep no more than 40 cores
/// busy, which are ten VMs.
#[test]
fn few_jobs_at_once_are_no_peak() {
    let mut peak = Peak::new();
    let ordered = peak.run(50, 10);
    assert!(ordered <= 10 - POOL_VMS, "{ordered} VMs were ordered");
}

/// Guards against pools that keep growing after a peak has passed.
#[test]
fn pool_stops_growing_once_the_peak_has_passed() {
    let mut peak = Peak::new();
    peak.run(1_000, 3);
    peak.run(3_000, 0);
    assert_eq!(peak.run(1_000, 0), 0);
}
