//! Replacements of all entries by others at other addresses, at once and in turn, some while the earlier ones are only cut off
//! from the store and still schedule.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_standin::proxy::{PathState, Proxy};
use carawaybarrow_standin::{store, workers};
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use super::inject_path_fault;
use crate::installation::{Installation, restart};

/// Entries of which one half replaces the other.
pub const ENTRIES: u8 = 8;

/// Replaces the running half of the entries by the other one again and again until `deadline`, beside faults of the store and
/// of workers. Returns their descriptions with the time since `started`. At the end all entries run.
pub async fn inject_all(
    installation: &Installation,
    rng: &mut StdRng,
    started: Instant,
    deadline: Instant,
) -> Vec<String> {
    let half = usize::from(ENTRIES) / 2;
    let (mut present, mut next): (Vec<usize>, Vec<usize>) = ((0..half).collect(), (half..half * 2).collect());
    next.iter().for_each(|entry| kill(installation, *entry));
    let mut faults = Vec::new();
    while Instant::now() < deadline {
        task::sleep(Duration::from_millis(rng.random_range(3_000..8_000))).await;
        if rng.random() {
            faults.push(format!("{:?} {}", started.elapsed(), inject_beside(installation, rng)));
        }
        let began = started.elapsed();
        faults.push(format!("{began:?} {}", replace(installation, rng, &present, &next).await));
        std::mem::swap(&mut present, &mut next);
    }
    installation.entries.iter().for_each(|entry| restart(entry));
    // Time for the last one to be listed.
    task::sleep(Duration::from_secs(5)).await;
    faults
}

fn kill(installation: &Installation, entry: usize) {
    installation.entries[entry].lock().expect("the lock is not poisoned").kill();
}

/// Replaces entries in one of several ways, and returns a description.
async fn replace(installation: &Installation, rng: &mut StdRng, present: &[usize], next: &[usize]) -> String {
    match rng.random_range(0..4) {
        0 | 1 => {
            let pause = Duration::from_millis(rng.random_range(0..3_000));
            present.iter().for_each(|entry| kill(installation, *entry));
            task::sleep(pause).await;
            next.iter().for_each(|entry| restart(&installation.entries[*entry]));
            format!("{present:?} killed, {next:?} started after {pause:?}")
        }
        2 => {
            let pause = Duration::from_millis(rng.random_range(100..1_500));
            let signal = *["KILL", "TERM"].choose(rng).expect("the list is not empty");
            for (old, new) in present.iter().zip(next) {
                installation.entries[*old].lock().expect("the lock is not poisoned").signal(signal);
                restart(&installation.entries[*new]);
                task::sleep(pause).await;
            }
            // Time for a graceful stop, after which the processes are killed.
            task::sleep(Duration::from_secs(4)).await;
            present.iter().for_each(|entry| kill(installation, *entry));
            format!("{signal} to {present:?} in turn, {next:?} started, each after {pause:?}")
        }
        _ => {
            // The earlier entries go on without the store until they learn of a later term, and confirm each other.
            let duration = Duration::from_millis(rng.random_range(4_000..12_000));
            for entry in present {
                let entry = Arc::clone(&installation.entries[*entry]);
                let proxy = entry.lock().expect("the lock is not poisoned").store_proxy.clone();
                inject_path_fault(&proxy, PathState::Silent, duration, "");
            }
            next.iter().for_each(|entry| restart(&installation.entries[*entry]));
            task::sleep(duration).await;
            present.iter().for_each(|entry| kill(installation, *entry));
            format!("{present:?} lose the store and are killed after {duration:?}, {next:?} started at once")
        }
    }
}

/// Injects a fault of the store or of workers that overlaps with the next replacement, and returns a description.
fn inject_beside(installation: &Installation, rng: &mut StdRng) -> String {
    let duration = Duration::from_millis(rng.random_range(500..4_000));
    let worker = rng.random_range(0..installation.worker_proxies.len());
    match rng.random_range(0..4) {
        0 => {
            let slow = store::Fault::Slow(Duration::from_millis(200));
            let fault = *[store::Fault::Silent, store::Fault::Busy, slow].choose(rng).expect("the list is not empty");
            installation.inject_store_fault(fault, duration)
        }
        1 => {
            installation.worker_proxies[worker].reset();
            installation.fleet.crash(worker, duration);
            format!("crash w{worker} for {duration:?}")
        }
        2 => {
            let path = &installation.worker_proxies[worker];
            inject_path_fault(path, PathState::Silent, duration, &format!("connection to w{worker}"))
        }
        _ => {
            installation.worker_proxies.iter().for_each(Proxy::reset);
            installation.inject_worker_fault(worker, workers::Fault::Late(duration / 4), duration)
        }
    }
}
