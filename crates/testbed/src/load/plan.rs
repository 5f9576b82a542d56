//! Load plans, and the arrival schedules derived from them. They model the demand of design section 1.2.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use serde_json::Value;
use smol_str::SmolStr;

/// Load on a set of queues, read from a JSON file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of the random arrivals.
    #[serde(default)]
    pub seed: u64,
    /// Time over which jobs arrive, in ms.
    pub duration_ms: u64,
    /// Length of a spike in ms.
    #[serde(default = "default_spike_ms")]
    pub spike_ms: u64,
    /// Rate in a spike, as a multiple of the mean; 1 for a steady rate.
    #[serde(default = "default_spike_factor")]
    pub spike_factor: f64,
    /// Rate between spikes, as a multiple of the mean.
    #[serde(default = "default_quiet_factor")]
    pub quiet_factor: f64,
    /// Loads of the queues, whose spikes come one after the other.
    pub queues: Vec<QueuePlan>,
}

/// Load on one queue by one team.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueuePlan {
    /// Name of the queue.
    pub queue: SmolStr,
    /// Team to name in requests; absent if requests name none.
    #[serde(default)]
    pub team: Option<SmolStr>,
    /// API key to present; absent for requests without one.
    #[serde(default)]
    pub key: Option<String>,
    /// Mean arrivals a second.
    pub mean_per_second: f64,
    /// Payload of each job, to which a unique mark is added.
    #[serde(default = "default_payload")]
    pub payload: Value,
    /// Run time to declare in requests, in ms.
    #[serde(default)]
    pub expected_run_ms: Option<u64>,
    /// Deadline to set in requests, in ms.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

const fn default_spike_ms() -> u64 {
    3000
}

const fn default_spike_factor() -> f64 {
    5.0
}

const fn default_quiet_factor() -> f64 {
    0.05
}

fn default_payload() -> Value {
    serde_json::json!({})
}

/// A scheduled arrival of one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start of the load.
    pub at: Duration,
    /// Index of the queue in the plan.
    pub queue: usize,
}

impl Plan {
    /// Returns the arrivals in the order of time. The same plan always gives the same arrivals.
    #[must_use]
    pub fn schedule(&self) -> Vec<Arrival> {
        let mut arrivals: Vec<Arrival> = (0..self.queues.len()).flat_map(|queue| self.schedule_queue(queue)).collect();
        arrivals.sort_by_key(|a| (a.at, a.queue));
        arrivals
    }

    /// Time from the start of one spike of a queue to the start of its next one, in ms.
    ///
    /// It is chosen so that the mean rate over a cycle is the mean of the plan. With the default factors, which are
    /// those of the design, a queue spikes for 19 % of the time.
    #[must_use]
    pub fn cycle_ms(&self) -> f64 {
        let difference = self.spike_factor - self.quiet_factor;
        let spike_fraction =
            if difference > 0.0 { ((1.0 - self.quiet_factor) / difference).clamp(0.01, 1.0) } else { 1.0 };
        self.spike_ms as f64 / spike_fraction
    }

    /// Returns the time in ms until the queue's rate changes, and the present rate in arrivals a ms.
    fn phase_at(&self, queue: usize, ms: f64) -> (f64, f64) {
        let cycle = self.cycle_ms();
        // The spikes of the queues are spread evenly over a cycle.
        let offset = cycle * queue as f64 / self.queues.len() as f64;
        let position = (ms - offset).rem_euclid(cycle);
        let mean = self.queues[queue].mean_per_second / 1000.0;
        let spike = self.spike_ms as f64;
        if position < spike {
            (spike - position, mean * self.spike_factor)
        } else {
            (cycle - position, mean * self.quiet_factor)
        }
    }

    /// Draws the Poisson arrivals of a queue at the rate of each phase.
    fn schedule_queue(&self, queue: usize) -> Vec<Arrival> {
        let mut rng = StdRng::seed_from_u64(self.seed ^ (queue as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut arrivals = Vec::new();
        let mut ms = 0.0;
        while ms < self.duration_ms as f64 {
            // Integral of the rate up to the next arrival, exponentially distributed with mean 1.
            let mut remaining = -(1.0 - rng.random::<f64>()).ln();
            loop {
                let (phase_left, rate) = self.phase_at(queue, ms);
                // Without a least step, rounding could keep the time at the end of a phase forever.
                let phase_left = phase_left.max(1e-6);
                if rate * phase_left >= remaining {
                    ms += remaining / rate;
                    break;
                }
                remaining -= rate * phase_left;
                ms += phase_left;
                if ms >= self.duration_ms as f64 {
                    return arrivals;
                }
            }
            if ms < self.duration_ms as f64 {
                arrivals.push(Arrival { at: Duration::from_secs_f64(ms / 1000.0), queue });
            }
        }
        arrivals
    }
}
