//! Demand of design section 1.2, with a long peak in one pool.

use std::ops::Range;

use rand::Rng;
use rand::rngs::StdRng;

/// Slots of each VM.
pub const VM_SLOTS: u32 = 8;

/// Simulated time of a run in ms.
pub const DURATION_MS: u64 = 30 * 60_000;

/// Period in ms in which the urgent demand of the first pool is at least [`PEAK_FACTOR`] times its mean.
const PEAK_MS: Range<u64> = 10 * 60_000..20 * 60_000;

/// Least urgent demand of the first pool in the peak, as a multiple of its mean.
const PEAK_FACTOR: f64 = 3.0;

/// Urgent demand of a pool in its spike and between spikes, as multiples of its mean.
const SPIKE_FACTORS: [f64; 2] = [5.0, 0.05];

/// Range from which the length of a spike is drawn, in ms.
const SPIKE_MS: Range<u64> = 3_000..8_000;

/// Mean run times of urgent and patient jobs in ms.
pub const MEAN_RUN_MS: [f64; 2] = [250.0, 1_000.0];

/// Mean demand of urgent and patient work as fractions of a pool's slots. In a spike, both need 1.55 times the slots
/// (5 × 0.28 + 0.15).
const LOAD_FACTORS: [f64; 2] = [0.28, 0.15];

/// Fractions of the demand by team.
const TEAM_DEMAND_FRACTIONS: [f64; 6] = [0.35, 0.30, 0.15, 0.10, 0.05, 0.05];

/// Shares of the teams in percent. The demand of the first two teams exceeds their shares.
pub const TEAM_SHARES: [u8; 6] = [25, 20, 20, 15, 10, 10];

/// Installation of one user of design section 1.2.
#[derive(Clone, Copy, Debug)]
pub struct User {
    /// Name in the printed tables.
    pub name: &'static str,
    /// Number of VMs in each pool.
    pub pools: [u32; 5],
    /// Number of VMs in the spare pool.
    pub spares: u32,
    /// Start and end of the first pool's deadline window in ms, in which no VM moves into or out of it.
    pub window: Option<(u64, u64)>,
}

/// Both users: one without a deadline window, and one whose deadline window covers the second half of the peak.
#[must_use]
pub fn users() -> [User; 2] {
    [
        User { name: "Stillwater Audio Co.", pools: [8, 8, 8, 9, 9], spares: 8, window: None },
        User { name: "Le Guennec", pools: [8, 8, 8, 8, 12], spares: 8, window: Some((15 * 60_000, 25 * 60_000)) },
    ]
}

/// Generator of the arrivals of one run. One pool spikes at a time, and the pools take turns.
#[derive(Debug, Default)]
pub struct DemandGenerator {
    spiking_pool: usize,
    spike_ends_at: u64,
}

/// A job that arrives in a pool.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Index of the pool.
    pub pool: usize,
    /// Index of the team.
    pub team: usize,
    /// Whether it is patient work; otherwise it is urgent.
    pub patient: bool,
    /// Run time in ms.
    pub run: u64,
}

impl DemandGenerator {
    /// Generates the jobs that arrive in the `step` ms after `now`.
    pub fn generate_arrivals(&mut self, user: &User, now: u64, step: u64, rng: &mut StdRng) -> Vec<Arrival> {
        if now >= self.spike_ends_at {
            self.spiking_pool = (self.spiking_pool + 1) % user.pools.len();
            self.spike_ends_at = now + rng.random_range(SPIKE_MS);
        }
        let mut arrivals = Vec::new();
        for (pool, vms) in user.pools.iter().enumerate() {
            let spike = SPIKE_FACTORS[usize::from(pool != self.spiking_pool)];
            let urgent = if pool == 0 && PEAK_MS.contains(&now) { spike.max(PEAK_FACTOR) } else { spike };
            for (patient, factor) in [(false, urgent), (true, 1.0)] {
                let kind = usize::from(patient);
                let mean = f64::from(vms * VM_SLOTS) * LOAD_FACTORS[kind] * factor * step as f64 / MEAN_RUN_MS[kind];
                for _ in 0..sample_poisson(mean, rng) {
                    let run = (-MEAN_RUN_MS[kind] * (1.0 - rng.random::<f64>()).ln())
                        .clamp(10.0, 8.0 * MEAN_RUN_MS[kind]) as u64;
                    arrivals.push(Arrival { pool, team: sample_team(rng), patient, run });
                }
            }
        }
        arrivals
    }
}

/// Draws from a Poisson distribution by multiplying uniform draws (Knuth's method), which suits small means.
fn sample_poisson(mean: f64, rng: &mut StdRng) -> u32 {
    let (limit, mut product, mut count) = ((-mean).exp(), rng.random::<f64>(), 0);
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

/// Draws a team with the probabilities [`TEAM_DEMAND_FRACTIONS`].
fn sample_team(rng: &mut StdRng) -> usize {
    let mut remaining = rng.random::<f64>();
    let found = TEAM_DEMAND_FRACTIONS.iter().position(|fraction| {
        remaining -= fraction;
        remaining < 0.0
    });
    found.unwrap_or(0)
}
