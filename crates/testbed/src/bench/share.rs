//! Nearness to share: how far the running work of the teams is from their entitlements while work waits.

use std::collections::BTreeMap;

use carawaybarrow_core::ids::TeamId;
use carawaybarrow_core::shares::Shares;
use smol_str::SmolStr;

/// Time between two samples, in ms.
const SAMPLE_MS: u64 = 20;

/// One job of a pool, with times in ms since the Unix epoch.
#[derive(Clone, Debug)]
pub struct Task {
    /// Team.
    pub team: SmolStr,
    /// Arrival.
    pub arrived_ms: u64,
    /// First start.
    pub started_ms: u64,
    /// End of the run.
    pub ended_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    waiting: u64,
    running: u64,
}

fn count_demand(tasks: &[Task], at: u64) -> BTreeMap<&SmolStr, Demand> {
    let mut teams = BTreeMap::<&SmolStr, Demand>::new();
    for task in tasks {
        if (task.arrived_ms..task.started_ms).contains(&at) {
            teams.entry(&task.team).or_default().waiting += 1;
        } else if (task.started_ms..task.ended_ms).contains(&at) {
            teams.entry(&task.team).or_default().running += 1;
        }
    }
    teams
}

/// Mean absolute gap in percentage points over the teams with demand, and the number of samples, over the moments at
/// which at least `slots` of a pool are busy and work waits. Refused jobs have no tasks and aren't counted as demand.
#[must_use]
pub fn measure_gap(pools: &BTreeMap<SmolStr, Vec<Task>>, slots: u64, shares: &Shares) -> (f64, u64) {
    let (mut sum, mut samples) = (0.0, 0_u64);
    for tasks in pools.values() {
        let from = tasks.iter().map(|t| t.arrived_ms).min().unwrap_or(0);
        let to = tasks.iter().map(|t| t.started_ms).max().unwrap_or(0);
        for at in (from..to).step_by(SAMPLE_MS as usize) {
            let teams = count_demand(tasks, at);
            let running: u64 = teams.values().map(|d| d.running).sum();
            if running < slots || teams.values().all(|d| d.waiting == 0) {
                continue;
            }
            let demand: Vec<_> = teams.keys().map(|team| TeamId::new(team.as_str()).ok()).collect();
            let entitled = shares.entitlements(&demand);
            for (demand, entitled) in teams.values().zip(entitled) {
                sum += (demand.running as f64 / running as f64 - entitled).abs();
                samples += 1;
            }
        }
    }
    (sum * 100.0 / samples.max(1) as f64, samples)
}
