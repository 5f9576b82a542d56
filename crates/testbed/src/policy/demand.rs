//! Demand of design section 1.2 with a peak of one pool.

use std::ops::Range;

use rand::Rng;
use rand::rngs::StdRng;

/// Slots of a VM.
pub const VM_SLOTS: u32 = 8;

/// Length of a run in ms.
pub const DURATION: u64 = 30 * 60_000;

/// Time in which the first pool has [`PEAK_FACTOR`] times its mean demand, in ms.
const PEAK: Range<u64> = 10 * 60_000..20 * 60_000;

/// Least demand of the first pool in the peak, as a multiple of its mean.
const PEAK_FACTOR: f64 = 3.0;

/// Demand of a queue in its spike and between spikes, as a multiple of its mean.
const SPIKE_FACTORS: [f64; 2] = [5.0, 0.05];

/// Length of a spike in ms.
const SPIKE: Range<u64> = 3_000..8_000;

/// Mean run times of urgent and patient jobs in ms.
pub const RUNS: [f64; 2] = [250.0, 1_000.0];

/// Mean demand of urgent and patient work as parts of a pool's slots. A spike needs 1.55 times the slots.
const LOADS: [f64; 2] = [0.28, 0.15];

/// Parts of the demand by team.
const TEAM_PARTS: [f64; 6] = [0.35, 0.30, 0.15, 0.10, 0.05, 0.05];

/// Shares of the teams in percent; the large teams ask for more than theirs.
pub const TEAM_SHARES: [u8; 6] = [25, 20, 20, 15, 10, 10];

/// A user of design section 1.2.
#[derive(Clone, Copy, Debug)]
pub struct User {
    /// Name.
    pub name: &'static str,
    /// VMs of the pools.
    pub pools: [u32; 5],
    /// VMs of the spare pool.
    pub spares: u32,
    /// Time without moves into and out of the first pool, in ms.
    pub window: Option<(u64, u64)>,
}

/// Both users: one with the peak at any time, one with half of the peak in a deadline window.
#[must_use]
pub fn users() -> [User; 2] {
    [
        User { name: "Stillwater Audio Co.", pools: [8, 8, 8, 9, 9], spares: 8, window: None },
        User { name: "Le Guennec", pools: [8, 8, 8, 8, 12], spares: 8, window: Some((15 * 60_000, 25 * 60_000)) },
    ]
}

/// Arrivals of one run.
#[derive(Debug, Default)]
pub struct Demand {
    spiking: usize,
    spike_ends: u64,
}

/// A job that arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Pool.
    pub pool: usize,
    /// Team.
    pub team: usize,
    /// Whether it is patient work.
    pub patient: bool,
    /// Run time in ms.
    pub run: u64,
}

impl Demand {
    /// Jobs that arrive in the `step` ms after `now`.
    pub fn arrive(&mut self, user: &User, now: u64, step: u64, rng: &mut StdRng) -> Vec<Arrival> {
        if now >= self.spike_ends {
            self.spiking = (self.spiking + 1) % user.pools.len();
            self.spike_ends = now + rng.random_range(SPIKE);
        }
        let mut arrivals = Vec::new();
        for (pool, vms) in user.pools.iter().enumerate() {
            let spike = SPIKE_FACTORS[usize::from(pool != self.spiking)];
            let urgent = if pool == 0 && PEAK.contains(&now) { spike.max(PEAK_FACTOR) } else { spike };
            for (patient, factor) in [(false, urgent), (true, 1.0)] {
                let kind = usize::from(patient);
                let mean = f64::from(vms * VM_SLOTS) * LOADS[kind] * factor * step as f64 / RUNS[kind];
                for _ in 0..draw_count(mean, rng) {
                    let run = (-RUNS[kind] * (1.0 - rng.random::<f64>()).ln()).clamp(10.0, 8.0 * RUNS[kind]) as u64;
                    arrivals.push(Arrival { pool, team: draw_team(rng), patient, run });
                }
            }
        }
        arrivals
    }
}

/// Number of arrivals of a Poisson process, by the method of multiplied uniform draws, which suits small means.
fn draw_count(mean: f64, rng: &mut StdRng) -> u32 {
    let (limit, mut product, mut count) = ((-mean).exp(), rng.random::<f64>(), 0);
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

fn draw_team(rng: &mut StdRng) -> usize {
    let mut left = rng.random::<f64>();
    let found = TEAM_PARTS.iter().position(|part| {
        left -= part;
        left < 0.0
    });
    found.unwrap_or(0)
}
