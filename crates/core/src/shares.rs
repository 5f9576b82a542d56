//! Entitlements of teams to the running work of a full pool.

use crate::ids::TeamId;
use crate::map::Map;
use crate::units::Percent;

/// Smallest part, in percent, that the teams without a share have together. Without it their patient work would never
/// start in a full pool whose shares add up to 100 %.
pub const MIN_UNASSIGNED: u32 = 1;

/// Shares of all teams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shares {
    by_team: Map<TeamId, u32>,
    assigned: u32,
}

impl Shares {
    /// Takes the shares of the configuration. A share of 0 % counts as none.
    pub fn new(shares: impl IntoIterator<Item = (TeamId, Percent)>) -> Self {
        let by_team: Map<_, _> = shares
            .into_iter()
            .filter(|(_, share)| share.get() > 0)
            .map(|(team, share)| (team, u32::from(share.get())))
            .collect();
        let assigned = by_team.values().sum();
        Self { by_team, assigned }
    }

    /// Whether the team has a share of its own. Work without a team has none.
    #[must_use]
    pub fn has_share(&self, team: Option<&TeamId>) -> bool {
        team.is_some_and(|team| self.by_team.contains_key(team))
    }

    /// Weight of a team in percent, where `without_share` teams with demand divide what is unassigned.
    #[must_use]
    pub fn weight(&self, team: Option<&TeamId>, without_share: usize) -> f64 {
        match team.and_then(|team| self.by_team.get(team)) {
            Some(share) => f64::from(*share),
            None => f64::from(100_u32.saturating_sub(self.assigned).max(MIN_UNASSIGNED)) / without_share.max(1) as f64,
        }
    }

    /// Entitlements of the teams that have demand, in their order; they add up to 1.
    #[must_use]
    pub fn entitlements(&self, demand: &[Option<TeamId>]) -> Vec<f64> {
        let without_share = demand.iter().filter(|team| !self.has_share(team.as_ref())).count();
        let weights: Vec<_> = demand.iter().map(|team| self.weight(team.as_ref(), without_share)).collect();
        let total: f64 = weights.iter().sum();
        weights.iter().map(|weight| weight / total).collect()
    }
}
