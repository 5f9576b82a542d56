//! Which jobs lie within the share of their team.
//!
//! A team is owed a number of jobs a second. What it sends beyond that runs where there is room, after what the others
//! are owed, and no VM is added for it.

use crate::sched::policy::TeamPolicy;
use crate::units::WallTime;

/// Seconds over which a team may gather what it is owed; the platform judges limits of teams over windows of 5 s.
const WINDOW_SECS: u64 = 5;

/// What a team may still send within its share.
#[derive(Clone, Copy, Debug)]
pub(super) struct Allowance {
    /// Thousandths of a job.
    left: u64,
    at: WallTime,
}

impl Allowance {
    /// The allowance of a team that has sent nothing yet.
    pub(super) const fn new(team: &TeamPolicy, at: WallTime) -> Self {
        Self { left: team.jobs_per_1000_secs * WINDOW_SECS, at }
    }

    /// Takes a job that was accepted at a time. Returns whether it lies within the share.
    pub(super) fn take(&mut self, team: &TeamPolicy, accepted: WallTime) -> bool {
        let gained = accepted.since(self.at).0.saturating_mul(team.jobs_per_1000_secs) / 1_000;
        self.left = self.left.saturating_add(gained).min(team.jobs_per_1000_secs * WINDOW_SECS);
        // Clocks of entries differ, and a time that goes back adds nothing.
        self.at = self.at.max(accepted);
        let Some(left) = self.left.checked_sub(1_000) else { return false };
        self.left = left;
        true
    }
}
