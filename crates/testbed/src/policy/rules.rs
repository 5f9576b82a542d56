//! Rules that are compared.

use carawaybarrow_core::planner::Policy;

/// A set of rules.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Name in the table.
    pub name: &'static str,
    /// Policy of the planner.
    pub policy: Policy,
    /// Whether VMs move between pools.
    pub moves: bool,
    /// Whether the VMs of the spare pool belong to the other pools from the start.
    pub deals_out_spares: bool,
    /// Whether teams have shares; otherwise all work counts as one team's.
    pub shares: bool,
    /// Whether patient work has a floor; otherwise it starts only when no urgent work waits.
    pub patient_floor: bool,
    /// Whether all work starts in the order of its arrival, and is never refused as late.
    pub in_order: bool,
}

/// The simple rules, the chosen ones, and the chosen ones without one part each.
#[must_use]
pub fn all_rules() -> Vec<Rules> {
    let policy = Policy::default();
    let chosen = Rules {
        name: "chosen",
        policy,
        moves: true,
        deals_out_spares: false,
        shares: true,
        patient_floor: true,
        in_order: false,
    };
    let simple = Rules {
        name: "simple, spares idle",
        moves: false,
        shares: false,
        patient_floor: false,
        in_order: true,
        ..chosen
    };
    vec![
        simple,
        Rules { name: "simple, spares dealt out", deals_out_spares: true, ..simple },
        chosen,
        Rules { name: "without moves", moves: false, ..chosen },
        Rules { name: "without moves, spares dealt out", moves: false, deals_out_spares: true, ..chosen },
        Rules { name: "without spare lending", policy: Policy { lend_spares: false, ..policy }, ..chosen },
        Rules { name: "without hysteresis", policy: Policy { hysteresis: false, ..policy }, ..chosen },
        Rules { name: "without wave growth", policy: Policy { grow_waves: false, ..policy }, ..chosen },
        Rules { name: "without shares", shares: false, ..chosen },
        Rules { name: "without patient floor", patient_floor: false, ..chosen },
    ]
}
