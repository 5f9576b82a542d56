//! Entitlements of teams: the parts of a full pool's running jobs that are due to them.

use crate::ids::TeamId;
use crate::map::Map;
use crate::units::Percent;

/// Minimum weight, in percent, of all teams without a share together. Without it their patient jobs would never start
/// in a full pool whose shares add up to 100 %.
pub const MIN_UNASSIGNED: u32 = 1;

/// Configured shares of all teams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shares {
    /// Shares in percent.
    by_team: Map<TeamId, u32>,
    /// Sum of the shares in percent.
    assigned: u32,
}

impl Shares {
    /// Creates the shares from the configured ones. A share of 0 % counts as none.
    pub fn new(shares: impl IntoIterator<Item = (TeamId, Percent)>) -> Self {
        let by_team: Map<_, _> = shares
            .into_iter()
            .filter(|(_, share)| share.get() > 0)
            .map(|(team, share)| (team, u32::from(share.get())))
            .collect();
        let assigned = by_team.values().sum();
        Self { by_team, assigned }
    }

    /// Whether the team has a share of its own. Jobs without a team have none.
    #[must_use]
    pub fn has_share(&self, team: Option<&TeamId>) -> bool {
        team.is_some_and(|team| self.by_team.contains_key(team))
    }

    /// Weight of a team in percent. The `without_share` teams with demand but no share divide the unassigned part
    /// equally.
    #[must_use]
    pub fn weight(&self, team: Option<&TeamId>, without_share: usize) -> f64 {
        match team.and_then(|team| self.by_team.get(team)) {
            Some(share) => f64::from(*share),
            None => f64::from(100_u32.saturating_sub(self.assigned).max(MIN_UNASSIGNED)) / without_share.max(1) as f64,
        }
    }

    /// Entitlements of the teams with demand, in the order of `demand`; they add up to 1.
    #[must_use]
    pub fn entitlements(&self, demand: &[Option<TeamId>]) -> Vec<f64> {
        let without_share = demand.iter().filter(|team| !self.has_share(team.as_ref())).count();
        let weights: Vec<_> = demand.iter().map(|team| self.weight(team.as_ref(), without_share)).collect();
        let total: f64 = weights.iter().sum();
        weights.iter().map(|weight| weight / total).collect()
    }
}
