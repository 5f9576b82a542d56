//! Faults of the soak test, which end by themselves.

mod data_centre_cuts;
mod divisions;
mod replacements;

use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_standin::proxy::{PathState, Proxy};
use carawaybarrow_standin::store;
use carawaybarrow_standin::workers;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::installation::{Installation, Size, restart};

/// Run time of short tasks in ms.
pub const SHORT_RUN_TIME_MS: Range<u64> = 50..500;

/// Time during which faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(8);

/// Time during which calls get no answer.
const UNANSWERED_DURATION: Duration = Duration::from_secs(16);

/// Time after which an order without an answer is executed, in ms. A start that was ordered before its job was cancelled is
/// executed before starts are no longer allowed.
const ORDER_DELAY_MS: Range<u64> = 200..2_500;

/// Time after which a write without an answer is applied, in ms. With the longest, a job is created later than starts are
/// allowed after its caller has given up.
const WRITE_DELAY_MS: [u64; 3] = [500, 2_500, 6_000];

/// Time during which outages are injected. The longest is 30 s.
const OUTAGES_DURATION: Duration = Duration::from_secs(45);

/// Injects a random fault, which ends by itself, and returns its description.
fn inject_fault(installation: &Installation, rng: &mut StdRng) -> String {
    let duration = Duration::from_millis(rng.random_range(200..2_200));
    let entry_index = rng.random_range(0..installation.entries.len());
    let entry = Arc::clone(&installation.entries[entry_index]);
    let worker_index = rng.random_range(0..installation.worker_proxies.len());
    match rng.random_range(0..12) {
        0 => {
            let mut killed = entry.lock().expect("the lock is not poisoned");
            killed.kill();
            drop(killed);
            task::spawn(async move {
                task::sleep(duration / 2).await;
                restart(&entry);
            });
            format!("kill e{entry_index}, restart after {:?}", duration / 2)
        }
        1 => {
            entry.lock().expect("the lock is not poisoned").signal("STOP");
            task::spawn(async move {
                task::sleep(duration).await;
                entry.lock().expect("the lock is not poisoned").signal("CONT");
            });
            format!("suspend e{entry_index} for {duration:?}")
        }
        2 => {
            entry.lock().expect("the lock is not poisoned").signal("TERM");
            task::spawn(async move {
                // Time for a graceful stop, after which the process is killed.
                task::sleep(Duration::from_secs(4)).await;
                entry.lock().expect("the lock is not poisoned").kill();
                restart(&entry);
            });
            format!("stop e{entry_index}")
        }
        3..=5 => {
            let store_proxy = entry.lock().expect("the lock is not poisoned").store_proxy.clone();
            let state = [PathState::Silent, PathState::NoAnswers, PathState::Delayed(Duration::from_millis(120))];
            inject_path_fault(
                &store_proxy,
                *state.choose(rng).expect("the list is not empty"),
                duration,
                &format!("connection of e{entry_index} to the store"),
            )
        }
        6 | 7 => {
            let state = [PathState::Silent, PathState::NoAnswers, PathState::Delayed(Duration::from_millis(80))];
            inject_path_fault(
                &installation.worker_proxies[worker_index],
                *state.choose(rng).expect("the list is not empty"),
                duration,
                &format!("connection to w{worker_index}"),
            )
        }
        8 => {
            installation.worker_proxies.iter().for_each(Proxy::reset);
            installation.entries.iter().for_each(|e| e.lock().expect("the lock is not poisoned").store_proxy.reset());
            "reset all connections".to_owned()
        }
        9 => {
            let faults = [
                store::Fault::Busy,
                store::Fault::Silent,
                store::Fault::Slow(Duration::from_millis(200)),
                store::Fault::Lost,
                store::Fault::Late(Duration::from_millis(1_500)),
            ];
            let fault = *faults.choose(rng).expect("the list is not empty");
            installation.inject_store_fault(fault, duration)
        }
        10 => {
            installation.fleet.crash(worker_index, duration);
            format!("crash w{worker_index} for {duration:?}")
        }
        _ => {
            installation.store.compact_history();
            let late = workers::Fault::Late(Duration::from_millis(700));
            let fault = *[workers::Fault::Silent, late].choose(rng).expect("the list is not empty");
            let description = installation.inject_worker_fault(worker_index, fault, duration);
            format!("store history compacted, {description}")
        }
    }
}

/// Sets the state of a proxy's path and opens the path again after `duration`. Returns a description of the fault.
pub fn inject_path_fault(proxy: &Proxy, state: PathState, duration: Duration, name: &str) -> String {
    proxy.set_path_state(state);
    let proxy_to_open = proxy.clone();
    task::spawn(async move {
        task::sleep(duration).await;
        proxy_to_open.set_path_state(PathState::Open);
    });
    format!("{name}: {state:?} for {duration:?}")
}

/// Injects a random fault, which ends by itself, and returns its description.
type Injection = fn(&Installation, &mut StdRng) -> String;

/// Which faults are injected, and into what.
#[derive(Clone, Copy, Debug)]
pub enum Scenario {
    /// Short faults of all kinds in a small installation.
    Mixed,
    /// Long outages of the store, while schedulers are lost one after another, in an installation of the size that users
    /// run.
    Outages,
    /// Divisions between the entries, in series and overlapping, together with outages of the store and lost entries.
    Divisions,
    /// Two cuts of a data centre together with the scheduler that it holds, while the others lose the store at times, as
    /// in the record of users that the page `docs/incidents/cut-off-data-centre.md` evaluates.
    DataCentreCuts,
    /// Starts, creations and cancellations that get no answer and are executed seconds later, workers that crash with starts
    /// in flight, and lost schedulers. One queue needs tickets, which workers check.
    Unanswered,
    /// Replacements of all entries by others at other addresses, some of them beside faults of the store and of workers.
    Replacements,
}

impl Scenario {
    pub fn size(self, rng: &mut StdRng) -> Size {
        match self {
            Self::Mixed | Self::Unanswered => Size::SMALL,
            Self::Outages => Size {
                entries: rng.random_range(7..10),
                workers: rng.random_range(24..37),
                vm_api_delay: Some(Duration::from_millis(*[4, 500].choose(rng).expect("the list is not empty"))),
                data_centres: 1,
                more_in_first: 0,
            },
            Self::Divisions => Size {
                entries: rng.random_range(7..10),
                workers: rng.random_range(24..37),
                vm_api_delay: None,
                data_centres: rng.random_range(3..5),
                more_in_first: 0,
            },
            Self::DataCentreCuts => Size {
                entries: 8,
                workers: rng.random_range(24..37),
                vm_api_delay: None,
                data_centres: 3,
                more_in_first: 2,
            },
            Self::Replacements => Size {
                entries: replacements::ENTRIES,
                workers: rng.random_range(9..19),
                vm_api_delay: Some(Duration::from_millis(*[4, 500].choose(rng).expect("the list is not empty"))),
                data_centres: 1,
                more_in_first: 0,
            },
        }
    }

    /// Time during which faults are injected.
    pub fn fault_duration(self, rng: &mut StdRng) -> Duration {
        match self {
            Self::Mixed => FAULT_DURATION,
            Self::Unanswered => UNANSWERED_DURATION,
            Self::Outages | Self::Divisions | Self::Replacements => OUTAGES_DURATION,
            Self::DataCentreCuts => data_centre_cuts::draw_duration(rng),
        }
    }

    /// Number of tasks without an end.
    pub const fn lasting_tasks(self) -> u32 {
        match self {
            Self::Mixed | Self::Outages | Self::Replacements | Self::Unanswered => 3,
            // On the workers of each side, so that a scheduler beside another one doubles some of them.
            Self::Divisions | Self::DataCentreCuts => 20,
        }
    }

    /// Run time of tasks in ms.
    pub const fn run_time_ms(self) -> Range<u64> {
        match self {
            Self::Mixed | Self::Unanswered => SHORT_RUN_TIME_MS,
            Self::Outages => 50..4_000,
            // All jobs together take less than the time after the last fault, as few end in between.
            Self::Divisions | Self::DataCentreCuts | Self::Replacements => 50..1_500,
        }
    }

    /// Injects faults until `deadline`, waits for processes that they stopped, and returns their descriptions with the time
    /// since `started`.
    pub async fn inject_faults(
        self,
        installation: &Installation,
        rng: &mut StdRng,
        started: Instant,
        deadline: Instant,
    ) -> Vec<String> {
        // Time between faults in ms, and the function that injects one.
        let (pause_ms, inject): (Range<u64>, Injection) = match self {
            Self::Mixed => (150..1_000, inject_fault),
            Self::Outages => (400..2_500, inject_outage),
            Self::Unanswered => (500..2_500, inject_unanswered),
            // Most divisions last undisturbed for longer than a successor waits for silent workers.
            Self::Divisions => (1_000..5_000, divisions::inject),
            Self::Replacements => return replacements::inject_all(installation, rng, started, deadline).await,
            Self::DataCentreCuts => return data_centre_cuts::inject_all(installation, rng, started, deadline).await,
        };
        let mut faults = Vec::new();
        while Instant::now() < deadline {
            task::sleep(Duration::from_millis(rng.random_range(pause_ms.clone()))).await;
            faults.push(format!("{:?} {}", started.elapsed(), inject(installation, rng)));
        }
        // The last planned stop can take 4 s until its process is killed and restarted.
        task::sleep(Duration::from_secs(5)).await;
        if matches!(self, Self::Unanswered) {
            task::sleep(Duration::from_millis(WRITE_DELAY_MS[2])).await;
        }
        faults
    }
}

/// Lets calls get no answer for a while, or loses a scheduler, and returns a description.
fn inject_unanswered(installation: &Installation, rng: &mut StdRng) -> String {
    let delay = Duration::from_millis(rng.random_range(ORDER_DELAY_MS));
    let worker_index = rng.random_range(0..installation.worker_proxies.len());
    match rng.random_range(0..8) {
        0..=2 => {
            // The worker is back before its lease has lapsed, and may then execute the calls that it got before.
            let (before, down) = (rng.random_range(50..400), rng.random_range(200..2_000));
            installation.fleet.set_fault(worker_index, workers::Fault::Late(delay));
            let fleet = installation.fleet.clone();
            task::spawn(async move {
                task::sleep(Duration::from_millis(before)).await;
                fleet.crash(worker_index, Duration::from_millis(down));
            });
            format!(
                "w{worker_index} crashes for {down} ms after {before} ms with calls in flight, executed after {delay:?}"
            )
        }
        3..=5 => {
            let (prefix, duration) = ("jobs/", Duration::from_millis(rng.random_range(500..2_500)));
            let delay = Duration::from_millis(*WRITE_DELAY_MS.choose(rng).expect("the list is not empty"));
            installation.store.delay_changes(Some((prefix, delay)));
            let store = installation.store.clone();
            task::spawn(async move {
                task::sleep(duration).await;
                store.delay_changes(None);
            });
            format!("writes of {prefix} without an answer for {duration:?}, applied after {delay:?}")
        }
        6 => installation.inject_worker_fault(worker_index, workers::Fault::Late(delay), Duration::from_millis(900)),
        _ => match installation.scheduler() {
            Some(scheduler) => lose_entry(installation, scheduler, rng),
            None => "no scheduler to lose".to_owned(),
        },
    }
}

/// Injects an outage or the loss of a scheduler, which ends by itself, and returns its description.
fn inject_outage(installation: &Installation, rng: &mut StdRng) -> String {
    let duration = Duration::from_millis(rng.random_range(1_000..6_000));
    let worker_index = rng.random_range(0..installation.worker_proxies.len());
    match rng.random_range(0..13) {
        0..=3 => match installation.scheduler() {
            Some(scheduler) => lose_entry(installation, scheduler, rng),
            None => "no scheduler to lose".to_owned(),
        },
        12 => match installation.scheduler() {
            Some(scheduler) => isolate_scheduler(installation, scheduler, duration * 3),
            None => "no scheduler to isolate".to_owned(),
        },
        4 => {
            let fault = *[store::Fault::Silent, store::Fault::Busy].choose(rng).expect("the list is not empty");
            let outage = Duration::from_millis(rng.random_range(5_000..30_000));
            installation.inject_store_fault(fault, outage)
        }
        5 => {
            let count = rng.random_range(1..installation.entries.len());
            let scheduler = installation.scheduler().unwrap_or(0);
            let cut = (0..count).map(|n| (scheduler + n) % installation.entries.len());
            let describe = |index: usize| {
                let proxy = installation.entries[index].lock().expect("the lock is not poisoned").store_proxy.clone();
                inject_path_fault(
                    &proxy,
                    PathState::Silent,
                    duration * 3,
                    &format!("connection of e{index} to the store"),
                )
            };
            cut.map(describe).collect::<Vec<_>>().join(", ")
        }
        6..=8 => {
            installation.worker_proxies[worker_index].reset();
            installation.fleet.crash(worker_index, duration / 3);
            format!("crash w{worker_index} for {:?}", duration / 3)
        }
        9 => inject_path_fault(
            &installation.worker_proxies[worker_index],
            PathState::Silent,
            duration * 2,
            &format!("connection to w{worker_index}"),
        ),
        10 => installation.inject_worker_fault(worker_index, workers::Fault::Late(duration / 4), duration),
        _ => {
            installation.worker_proxies.iter().for_each(Proxy::reset);
            "reset all connections to workers".to_owned()
        }
    }
}

/// Kills, stops or suspends the process of an entry for a while, and returns a description.
fn lose_entry(installation: &Installation, index: usize, rng: &mut StdRng) -> String {
    let entry = Arc::clone(&installation.entries[index]);
    let duration = Duration::from_millis(rng.random_range(500..10_000));
    let signal = *["KILL", "TERM", "STOP"].choose(rng).expect("the list is not empty");
    entry.lock().expect("the lock is not poisoned").signal(signal);
    task::spawn(async move {
        task::sleep(duration).await;
        if signal == "STOP" {
            return entry.lock().expect("the lock is not poisoned").signal("CONT");
        }
        entry.lock().expect("the lock is not poisoned").kill();
        restart(&entry);
    });
    format!("{signal} e{index} for {duration:?}")
}

/// Divides the installation for a while: an entry is alone with a third of the workers, and the others have the store.
/// Only the entries still reach one another. Returns a description.
pub fn isolate_scheduler(installation: &Installation, index: usize, duration: Duration) -> String {
    let name = format!("e{index}");
    let workers = (0..installation.worker_proxies.len()).filter(|worker| worker % 3 == 0).collect();
    installation.divide_workers(&BTreeSet::from([index]), &workers, duration);
    let proxy = installation.entries[index].lock().expect("the lock is not poisoned").store_proxy.clone();
    inject_path_fault(&proxy, PathState::Silent, duration, &format!("{name} is alone with a third of the workers"))
}
