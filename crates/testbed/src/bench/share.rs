//! Deviation from share: how far the teams' running work is from their entitlements while work waits.

use std::collections::BTreeMap;

use carawaybarrow_core::ids::TeamId;
use carawaybarrow_core::shares::Shares;
use smol_str::SmolStr;

/// Time between two samples, in ms.
const SAMPLE_INTERVAL_MS: u64 = 20;

/// One job of a pool, with times in ms since the Unix epoch.
#[derive(Clone, Debug)]
pub struct Task {
    /// Team that submitted the job.
    pub team: SmolStr,
    /// Scheduled arrival.
    pub arrived_ms: u64,
    /// First start.
    pub started_ms: u64,
    /// End of the run.
    pub ended_ms: u64,
}

/// Waiting and running jobs of a team.
#[derive(Clone, Copy, Debug, Default)]
struct TeamDemand {
    waiting: u64,
    running: u64,
}

/// Demand at a time, by team; teams without any are left out.
fn count_demand(tasks: &[Task], at: u64) -> BTreeMap<&SmolStr, TeamDemand> {
    let mut teams = BTreeMap::<&SmolStr, TeamDemand>::new();
    for task in tasks {
        if (task.arrived_ms..task.started_ms).contains(&at) {
            teams.entry(&task.team).or_default().waiting += 1;
        } else if (task.started_ms..task.ended_ms).contains(&at) {
            teams.entry(&task.team).or_default().running += 1;
        }
    }
    teams
}

/// Returns the mean absolute gap between a team's part of the running work and its entitlement in percentage points,
/// and the number of samples.
///
/// A pool is sampled at the times at which at least `slots` of its jobs run and others wait, once for each team with
/// demand. Refused jobs have no tasks and aren't counted as demand.
#[must_use]
pub fn measure_share_gap(pools: &BTreeMap<SmolStr, Vec<Task>>, slots: u64, shares: &Shares) -> (f64, u64) {
    let (mut sum, mut samples) = (0.0, 0_u64);
    for tasks in pools.values() {
        let from = tasks.iter().map(|t| t.arrived_ms).min().unwrap_or(0);
        let to = tasks.iter().map(|t| t.started_ms).max().unwrap_or(0);
        for at in (from..to).step_by(SAMPLE_INTERVAL_MS as usize) {
            let teams = count_demand(tasks, at);
            let running: u64 = teams.values().map(|d| d.running).sum();
            if running < slots || teams.values().all(|d| d.waiting == 0) {
                continue;
            }
            let demand: Vec<_> = teams.keys().map(|team| TeamId::new(team.as_str()).ok()).collect();
            let entitlements = shares.entitlements(&demand);
            for (demand, entitled) in teams.values().zip(entitlements) {
                sum += (demand.running as f64 / running as f64 - entitled).abs();
                samples += 1;
            }
        }
    }
    (sum * 100.0 / samples.max(1) as f64, samples)
}
