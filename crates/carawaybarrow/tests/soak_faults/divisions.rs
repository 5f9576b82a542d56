//! Faults of the scenario [`Divisions`](super::Scenario::Divisions).

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use carawaybarrow_standin::proxy::PathState;
use carawaybarrow_standin::store;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use super::{inject_path_fault, lose_entry};
use crate::installation::Installation;
use crate::installation::divisions::{Direction, Division};

/// Time that a division lasts in ms. The successor of a scheduler waits 7.6 s for workers that do not answer.
const DIVISION_MS: Range<u64> = 3_000..20_000;

/// Injects a division or another fault, which ends by itself, and returns its description.
pub(super) fn inject(installation: &Installation, rng: &mut StdRng) -> String {
    let entries = installation.entries.len();
    let scheduler = installation.scheduler().unwrap_or_else(|| rng.random_range(0..entries));
    let duration = Duration::from_millis(rng.random_range(DIVISION_MS));
    let worker = rng.random_range(0..installation.worker_proxies.len());
    match rng.random_range(0..14) {
        0..=4 => {
            let division = draw_division(installation, scheduler, rng);
            installation.divide(&division)
        }
        5 | 6 => {
            let other = (scheduler + rng.random_range(1..entries)) % entries;
            let state = draw_state(rng);
            let pairs =
                [vec![(scheduler, other)], vec![(other, scheduler)], vec![(scheduler, other), (other, scheduler)]];
            let pairs = pairs.choose(rng).expect("the list is not empty");
            for &(caller, callee) in pairs {
                installation.cut_pair(caller, callee, state, duration);
            }
            format!("calls of {pairs:?}: {state:?} for {duration:?}")
        }
        7 => {
            let fault = *[store::Fault::Silent, store::Fault::Busy].choose(rng).expect("the list is not empty");
            installation.inject_store_fault(fault, duration)
        }
        8 => {
            let proxy = installation.entries[scheduler].lock().expect("the lock is not poisoned").store_proxy.clone();
            inject_path_fault(&proxy, PathState::Silent, duration, &format!("connection of e{scheduler} to the store"))
        }
        9 | 10 => lose_entry(installation, scheduler, rng),
        11 => lose_entry(installation, rng.random_range(0..entries), rng),
        12 => {
            installation.worker_proxies[worker].reset();
            installation.fleet.crash(worker, duration / 8);
            format!("crash w{worker} for {:?}", duration / 8)
        }
        _ => inject_path_fault(
            &installation.worker_proxies[worker],
            PathState::Silent,
            duration / 2,
            &format!("connection to w{worker}"),
        ),
    }
}

fn draw_state(rng: &mut StdRng) -> PathState {
    // Most cuts in networks drop what is sent.
    let states = [PathState::Silent, PathState::Silent, PathState::NoAnswers, PathState::Closed];
    *states.choose(rng).expect("the list is not empty")
}

/// Draws a division by data centre, of the scheduler with up to two more entries, or of all entries but one.
fn draw_division(installation: &Installation, scheduler: usize, rng: &mut StdRng) -> Division {
    let entries = installation.entries.len();
    let data_centres = usize::from(installation.size.data_centres);
    let home = installation.size.data_centre_of(scheduler);
    let other = rng.random_range(0..entries);
    let (side, worker_data_centres): (BTreeSet<usize>, Vec<usize>) = match rng.random_range(0..6) {
        0 => {
            let side = installation.size.data_centre_of(other);
            (installation.entries_of(side), vec![side])
        }
        1 => (installation.entries_of(home), vec![home]),
        // A side of this size goes on finding entries without the store that it has not asked lately.
        2 | 3 => {
            let second = (home + 1) % data_centres;
            (&installation.entries_of(home) | &installation.entries_of(second), vec![home, second])
        }
        4 => (BTreeSet::from([scheduler, other, rng.random_range(0..entries)]), vec![home]),
        _ => {
            let alone = (scheduler + rng.random_range(1..entries)) % entries;
            let side = (0..entries).filter(|index| *index != alone).collect();
            let without = installation.size.data_centre_of(alone);
            (side, (0..data_centres).filter(|data_centre| *data_centre != without).collect())
        }
    };
    let workers = 0..installation.worker_proxies.len();
    let workers: BTreeSet<usize> =
        workers.filter(|worker| worker_data_centres.contains(&(worker % data_centres))).collect();
    let duration = Duration::from_millis(rng.random_range(DIVISION_MS));
    if rng.random() {
        // Nothing passes between the two sides, and only one has the store.
        let (direction, state) = (Direction::Both, PathState::Silent);
        return Division { side, direction, state, loses_store: true, workers: Some(workers), duration };
    }
    let directions = [Direction::Both, Direction::Both, Direction::Both, Direction::Out, Direction::In];
    Division {
        direction: *directions.choose(rng).expect("the list is not empty"),
        state: draw_state(rng),
        loses_store: rng.random_ratio(2, 3),
        workers: rng.random_ratio(3, 4).then_some(workers),
        duration,
        side,
    }
}
