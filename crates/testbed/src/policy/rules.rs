//! Rule sets to compare.

use carawaybarrow_core::planner::Policy;

/// A set of scheduling and planning rules.
#[derive(Clone, Copy, Debug)]
pub struct RuleSet {
    /// Name in the table.
    pub name: &'static str,
    /// Rules of the planner.
    pub policy: Policy,
    /// Whether VMs move between pools.
    pub moves: bool,
    /// Whether the spare VMs are distributed over the other pools at the start, which leaves the spare pool empty.
    pub distributes_spares: bool,
    /// Whether teams have shares; otherwise all work is queued as one team's.
    pub shares: bool,
    /// Whether patient work gets a minimum share of the starts; otherwise it starts only when no urgent work can start.
    pub patient_floor: bool,
    /// Whether all work starts in the order of its arrival, and jobs are never dropped as late.
    pub in_order: bool,
}

/// The simple rules, the product's rules (`chosen`), and variants of these without one part each.
#[must_use]
pub fn all_rules() -> Vec<RuleSet> {
    let policy = Policy::default();
    let chosen = RuleSet {
        name: "chosen",
        policy,
        moves: true,
        distributes_spares: false,
        shares: true,
        patient_floor: true,
        in_order: false,
    };
    let simple = RuleSet {
        name: "simple, spares idle",
        moves: false,
        shares: false,
        patient_floor: false,
        in_order: true,
        ..chosen
    };
    vec![
        simple,
        RuleSet { name: "simple, spares dealt out", distributes_spares: true, ..simple },
        chosen,
        RuleSet { name: "without moves", moves: false, ..chosen },
        RuleSet { name: "without moves, spares dealt out", moves: false, distributes_spares: true, ..chosen },
        RuleSet { name: "without spare lending", policy: Policy { lend_spares: false, ..policy }, ..chosen },
        RuleSet { name: "without hysteresis", policy: Policy { hysteresis: false, ..policy }, ..chosen },
        RuleSet { name: "without wave growth", policy: Policy { grow_waves: false, ..policy }, ..chosen },
        RuleSet { name: "without shares", shares: false, ..chosen },
        RuleSet { name: "without patient floor", patient_floor: false, ..chosen },
    ]
}
