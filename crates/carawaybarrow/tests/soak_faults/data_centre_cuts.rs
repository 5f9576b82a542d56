//! Faults of the scenario [`DataCentreCuts`](super::Scenario::DataCentreCuts).

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_standin::proxy::PathState;
use carawaybarrow_standin::store;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use super::inject_path_fault;
use crate::installation::Installation;
use crate::installation::divisions::{Direction, Division};

/// Time before the first cut.
const BEFORE_CUTS: Duration = Duration::from_secs(1);

/// Time from the beginning of the first cut to that of the second.
const BETWEEN_CUTS: Duration = Duration::from_secs(47);

/// Time that a cut lasts in ms.
const CUT_MS: Range<u64> = 8_000..20_000;

/// Times in ms, after the beginning of the first cut, at which the store is lost for all: one during the cut, and one
/// after it that ends before the second cut, so that an entry schedules then.
const LOSSES_MS: [Range<u64>; 2] = [0..12_000, 24_000..34_000];

/// Time in ms, after the beginning of the second cut, at which the store is lost for all.
const LAST_LOSS_MS: Range<u64> = 0..6_000;

/// Time in ms for which the store is lost for all.
const LOSS_MS: Range<u64> = 2_000..10_000;

/// Time in ms from the beginning of a cut until the data centre loses the store too.
const STORE_DELAYS_MS: [u64; 2] = [0, 1_500];

/// Draws the time until the end of the second cut.
pub(super) fn draw_duration(rng: &mut StdRng) -> Duration {
    BEFORE_CUTS + BETWEEN_CUTS + Duration::from_millis(rng.random_range(CUT_MS))
}

/// Injects all faults, of which the last ends at `deadline`, and returns their descriptions.
pub(super) async fn inject_all(
    installation: &Installation,
    rng: &mut StdRng,
    started: Instant,
    deadline: Instant,
) -> Vec<String> {
    let mut faults = Vec::new();
    let mut record = |fault: String| faults.push(format!("{:?} {fault}", started.elapsed()));
    task::sleep(BEFORE_CUTS).await;
    let first = Instant::now();
    let duration = Duration::from_millis(rng.random_range(CUT_MS));
    record(cut_data_centre(installation, rng, duration));
    for range in LOSSES_MS {
        sleep_until(first + Duration::from_millis(rng.random_range(range))).await;
        record(lose_store(installation, rng, deadline));
    }
    let second = first + BETWEEN_CUTS;
    sleep_until(second).await;
    record(cut_data_centre(installation, rng, deadline.saturating_duration_since(second)));
    sleep_until(second + Duration::from_millis(rng.random_range(LAST_LOSS_MS))).await;
    record(lose_store(installation, rng, deadline));
    sleep_until(deadline).await;
    faults
}

async fn sleep_until(time: Instant) {
    task::sleep(time.saturating_duration_since(Instant::now())).await;
}

fn lose_store(installation: &Installation, rng: &mut StdRng, deadline: Instant) -> String {
    let duration = Duration::from_millis(rng.random_range(LOSS_MS));
    installation
        .inject_store_fault(store::Fault::Silent, duration.min(deadline.saturating_duration_since(Instant::now())))
}

/// Cuts off the data centre of the scheduler. Each side reaches a part of the workers of each data centre, as no worker
/// that both sides reach may tell the earlier scheduler of the later one.
fn cut_data_centre(installation: &Installation, rng: &mut StdRng, duration: Duration) -> String {
    let scheduler = installation.scheduler().unwrap_or_else(|| rng.random_range(0..installation.entries.len()));
    let home = installation.size.data_centre_of(scheduler);
    let side = installation.entries_of(home);
    let data_centres = usize::from(installation.size.data_centres);
    let offset = rng.random_range(0..3);
    let is_reached = |worker: &usize| {
        let thirds = if worker % data_centres == home { 2 } else { 1 };
        (worker / data_centres + offset) % 3 < thirds
    };
    let workers: BTreeSet<usize> = (0..installation.worker_proxies.len()).filter(is_reached).collect();
    let store_delay = Duration::from_millis(*STORE_DELAYS_MS.choose(rng).expect("the list is not empty"));
    for &index in &side {
        let proxy = installation.entries[index].lock().expect("the lock is not poisoned").store_proxy.clone();
        task::spawn(async move {
            task::sleep(store_delay).await;
            inject_path_fault(&proxy, PathState::Silent, duration.saturating_sub(store_delay), "");
        });
    }
    let cut = installation.divide(&Division {
        side,
        direction: Direction::Both,
        state: PathState::Silent,
        loses_store: false,
        workers: Some(workers),
        duration,
    });
    format!("scheduler e{scheduler}, store lost {store_delay:?} later: {cut}")
}
