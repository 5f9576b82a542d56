//! An entry: its state and the tasks that keep it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use async_std::{channel, task};
use carawaybarrow_core::freshness::Freshness;
use carawaybarrow_core::ids::{ChangeId, Incarnation, TaskId};
use rand::Rng;

use crate::clock::Clock;
use crate::config_sync::Holder;
use crate::dispatch::Dispatch;
use crate::fleet_sync::FleetState;
use crate::ledger_urgent::UrgentCounts;
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::quota_sync;
use crate::settings::Settings;
use crate::shards::Shards;
use crate::store::Store;
use crate::vm_list::VmList;
use crate::worker::Workers;

/// Addresses on which the process listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers and operators.
    pub callers: SocketAddr,
    /// For other entries.
    pub peers: SocketAddr,
}

/// The platform as the process reaches it.
pub struct Platform {
    /// Store.
    pub store: Box<dyn Store>,
    /// Workers.
    pub workers: Box<dyn Workers>,
    /// VM list.
    pub vm_list: Box<dyn VmList>,
}

/// An entry process.
pub struct Entry {
    /// Settings.
    pub settings: Settings,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Name under which this run holds slot leases.
    pub lease_holder: String,
    /// Clock.
    pub clock: Clock,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Store.
    pub store: Box<dyn Store>,
    /// Workers.
    pub workers: Box<dyn Workers>,
    /// VM list.
    pub vm_list: Box<dyn VmList>,
    /// Configuration and members.
    pub holder: Holder,
    /// Peers.
    pub peers: Peers,
    /// Job shards.
    pub shards: Shards,
    /// Counts of urgent jobs for the ledger.
    pub urgent_counts: UrgentCounts,
    /// VM records.
    pub fleet: FleetState,
    /// Asks for a probe of the store at once.
    pub probe_wake: (channel::Sender<()>, channel::Receiver<()>),
    freshness: Mutex<Freshness>,
    dispatch: Mutex<Dispatch>,
    addresses: OnceLock<Addresses>,
    stopping: AtomicBool,
    store_reachable: AtomicBool,
    fresh: AtomicBool,
}

impl Entry {
    /// Creates an entry that has not started.
    #[must_use]
    pub fn new(settings: Settings, platform: Platform, metrics: Arc<Metrics>) -> Arc<Self> {
        let incarnation = Incarnation(rand::rng().random());
        let id = settings.entry.clone();
        Arc::new(Self {
            incarnation,
            lease_holder: quota_sync::lease_holder(&id, incarnation),
            clock: Clock::new(),
            metrics,
            store: platform.store,
            workers: platform.workers,
            vm_list: platform.vm_list,
            holder: Holder::default(),
            peers: Peers::default(),
            shards: Shards::new(settings.job_shards),
            urgent_counts: UrgentCounts::default(),
            fleet: FleetState::default(),
            freshness: Mutex::new(Freshness::new(id.clone(), incarnation).with_outage_limit(settings.outage_limit)),
            dispatch: Mutex::new(Dispatch::new(id, incarnation, settings.data_centre.clone())),
            probe_wake: channel::bounded(1),
            addresses: OnceLock::new(),
            stopping: AtomicBool::new(false),
            store_reachable: AtomicBool::new(false),
            fresh: AtomicBool::new(false),
            settings,
        })
    }

    /// Starts the tasks of the entry. Returns once its configuration was read from the store or a peer.
    pub async fn start(self: &Arc<Self>, addresses: Addresses) {
        // The addresses are set once, by the process that starts the entry.
        let _ = self.addresses.set(addresses);
        task::spawn(Arc::clone(self).probe_store());
        task::spawn(Arc::clone(self).watch_config());
        task::spawn(Arc::clone(self).send_heartbeats());
        self.fetch_config_from_seeds().await;
        self.join().await;
        task::spawn(Arc::clone(self).maintain_ownership());
        task::spawn(Arc::clone(self).maintain_slots());
        task::spawn(Arc::clone(self).maintain_permits());
        task::spawn(Arc::clone(self).watch_fleet());
        task::spawn(Arc::clone(self).poll_workers());
        task::spawn(Arc::clone(self).plan_fleet());
        task::spawn(Arc::clone(self).maintain_ledger());
    }

    /// The freshness state.
    pub fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The dispatch state.
    pub fn dispatch(&self) -> MutexGuard<'_, Dispatch> {
        self.dispatch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Address for callers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.addresses.get().map_or(self.settings.callers, |a| a.callers)
    }

    /// Address for peers.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.addresses.get().map_or(self.settings.peers, |a| a.peers)
    }

    /// A new id for a write to the store.
    #[must_use]
    pub fn new_change_id(&self) -> ChangeId {
        ChangeId::new(new_id()).expect("hexadecimal digits form a name")
    }

    /// A new id for a task.
    #[must_use]
    pub fn new_task_id(&self) -> TaskId {
        TaskId::new(new_id()).expect("hexadecimal digits form a name")
    }

    /// Whether the entry is about to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Announces the stop: readiness fails and new work is refused once `refuse_work` was called.
    pub fn start_stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        log::info!("stopping");
    }

    /// Whether the last probe reached the store.
    #[must_use]
    pub fn is_store_reachable(&self) -> bool {
        self.store_reachable.load(Ordering::SeqCst)
    }

    /// Notes whether the store was reached.
    pub fn set_store_reachable(&self, reachable: bool) {
        if self.store_reachable.swap(reachable, Ordering::SeqCst) != reachable {
            log::info!(reachable = reachable; "store");
        }
    }

    /// Whether keyed work may start now.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.freshness().is_fresh(self.clock.now()).is_ok()
    }

    /// Notes whether keyed work may start, for metrics and the log.
    pub fn note_fresh(&self, fresh: bool) {
        self.metrics.set_fresh(fresh);
        if self.fresh.swap(fresh, Ordering::SeqCst) != fresh {
            log::info!(fresh = fresh; "freshness");
        }
    }

    /// Whether the balancer may send callers here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.fresh.load(Ordering::SeqCst)
    }
}

/// A random number of 128 bits in hexadecimal.
#[must_use]
pub fn new_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}
