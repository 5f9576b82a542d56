//! Shares of teams: a token bucket per team decides which of its jobs are within its share.
//!
//! A share is a rate in jobs per 1,000 s, not a part of the resources. Jobs beyond it run after those of other teams
//! that are within theirs, on resources that are left, and no VM is added for them.

use crate::sched::policy::TeamPolicy;
use crate::units::WallTime;

/// Seconds of its share that a team may save up; the platform checks the limits of teams over windows of 5 s.
const BURST_SECS: u64 = 5;

/// Token bucket of a team, with one token per thousandth of a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    /// Available tokens.
    tokens: u64,
    /// Time of the last refill.
    refilled: WallTime,
}

impl TokenBucket {
    /// Creates the full bucket of a team that has submitted no job yet.
    pub(super) const fn new(team: &TeamPolicy, refilled: WallTime) -> Self {
        Self { tokens: team.jobs_per_1000_secs * BURST_SECS, refilled }
    }

    /// Takes the tokens of a job. Returns whether there were enough, so that the job is within the share, which is a
    /// rate in jobs per 1,000 s.
    pub(super) fn try_take(&mut self, team: &TeamPolicy, accepted: WallTime) -> bool {
        let gained = accepted.since(self.refilled).0.saturating_mul(team.jobs_per_1000_secs) / 1_000;
        self.tokens = self.tokens.saturating_add(gained).min(team.jobs_per_1000_secs * BURST_SECS);
        // Clocks of entries differ; an earlier time of acceptance adds no tokens.
        self.refilled = self.refilled.max(accepted);
        let Some(tokens) = self.tokens.checked_sub(1_000) else { return false };
        self.tokens = tokens;
        true
    }
}
