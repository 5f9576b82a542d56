//! The entry process of the command `serve`: its state, and the background tasks that maintain it. The process of the
//! command `node` is in [`crate::node`].

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use async_std::{channel, task};
use carawaybarrow_core::freshness::Freshness;
use carawaybarrow_core::ids::{ChangeId, Incarnation, TaskId};
use rand::Rng;

use crate::clock::Clock;
use crate::config_sync::ConfigState;
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

/// Addresses that the process listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address for callers and operators.
    pub callers: SocketAddr,
    /// Address for other entries.
    pub peers: SocketAddr,
}

/// Clients for the platform services that the process uses.
pub struct Platform {
    /// Client of the store.
    pub store: Box<dyn Store>,
    /// Client of the workers.
    pub workers: Box<dyn Workers>,
    /// Client of the VM list.
    pub vm_list: Box<dyn VmList>,
}

/// An entry process.
pub struct Entry {
    /// Settings of the process.
    pub settings: Settings,
    /// Random id of this run of the process; a restart gets another one.
    pub incarnation: Incarnation,
    /// Name under which this incarnation holds slot leases.
    pub slot_lease_holder: String,
    /// Source of monotonic and wall times.
    pub clock: Clock,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Client of the store.
    pub store: Box<dyn Store>,
    /// Client of the workers.
    pub workers: Box<dyn Workers>,
    /// Client of the VM list.
    pub vm_list: Box<dyn VmList>,
    /// Configuration and member list in force at this entry.
    pub config_state: ConfigState,
    /// Connections to other entries, and their last heartbeats.
    pub peers: Peers,
    /// Job shards that this entry owns.
    pub shards: Shards,
    /// Counts of urgent jobs for the ledger.
    pub urgent_counts: UrgentCounts,
    /// VM records, and the last reports of workers.
    pub fleet: FleetState,
    /// Requests an immediate probe of the store.
    pub probe_requests: (channel::Sender<()>, channel::Receiver<()>),
    freshness: Mutex<Freshness>,
    dispatch: Mutex<Dispatch>,
    addresses: OnceLock<Addresses>,
    stopping: AtomicBool,
    store_reachable: AtomicBool,
    fresh: AtomicBool,
}

impl Entry {
    /// Creates an entry; [`Self::start`] starts its background tasks.
    #[must_use]
    pub fn new(settings: Settings, platform: Platform, metrics: Arc<Metrics>) -> Arc<Self> {
        let incarnation = Incarnation(rand::rng().random());
        let id = settings.entry.clone();
        Arc::new(Self {
            incarnation,
            slot_lease_holder: quota_sync::lease_holder(&id, incarnation),
            clock: Clock::new(),
            metrics,
            store: platform.store,
            workers: platform.workers,
            vm_list: platform.vm_list,
            config_state: ConfigState::default(),
            peers: Peers::default(),
            shards: Shards::new(settings.job_shards),
            urgent_counts: UrgentCounts::default(),
            fleet: FleetState::default(),
            freshness: Mutex::new(Freshness::new(id.clone(), incarnation).with_outage_limit(settings.outage_limit)),
            dispatch: Mutex::new(Dispatch::new(id, incarnation, settings.data_centre.clone())),
            probe_requests: channel::bounded(1),
            addresses: OnceLock::new(),
            stopping: AtomicBool::new(false),
            store_reachable: AtomicBool::new(false),
            fresh: AtomicBool::new(false),
            settings,
        })
    }

    /// Starts the background tasks of the entry. Returns once the entry has joined the member list in the store; before
    /// that, the seed peers were asked for a configuration.
    pub async fn start(self: &Arc<Self>, addresses: Addresses) {
        // The entry is started once, so the addresses aren't set yet.
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

    /// Locks the freshness state.
    pub fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the dispatch state.
    pub fn dispatch(&self) -> MutexGuard<'_, Dispatch> {
        self.dispatch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Address for callers; the configured one until the entry has started.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.addresses.get().map_or(self.settings.callers, |a| a.callers)
    }

    /// Address for peers; the configured one until the entry has started.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.addresses.get().map_or(self.settings.peers, |a| a.peers)
    }

    /// Creates a random id for a write to the store.
    #[must_use]
    pub fn new_change_id(&self) -> ChangeId {
        ChangeId::new(new_id()).expect("hexadecimal digits form a name")
    }

    /// Creates a random id for a task.
    #[must_use]
    pub fn new_task_id(&self) -> TaskId {
        TaskId::new(new_id()).expect("hexadecimal digits form a name")
    }

    /// Whether the entry is shutting down.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Marks the entry as shutting down: the readiness check fails, and the maintenance of the job shards and of the
    /// ledger ends.
    pub fn begin_shutdown(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        log::info!("stopping");
    }

    /// Whether the last probe reached the store.
    #[must_use]
    pub fn is_store_reachable(&self) -> bool {
        self.store_reachable.load(Ordering::SeqCst)
    }

    /// Records whether the store was reached, and logs a change.
    pub fn set_store_reachable(&self, reachable: bool) {
        if self.store_reachable.swap(reachable, Ordering::SeqCst) != reachable {
            log::info!(reachable = reachable; "store");
        }
    }

    /// Whether the configuration is fresh enough to start keyed work now: jobs of queues that require a team's API key.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.freshness().check_freshness(self.clock.now()).is_ok()
    }

    /// Records whether keyed work may start, for the readiness check and metrics, and logs a change.
    pub fn record_freshness(&self, fresh: bool) {
        self.metrics.set_fresh(fresh);
        if self.fresh.swap(fresh, Ordering::SeqCst) != fresh {
            log::info!(fresh = fresh; "freshness");
        }
    }

    /// Whether the load balancer may send requests to this entry.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.fresh.load(Ordering::SeqCst)
    }
}

/// Creates a random id of 128 bits in hexadecimal.
#[must_use]
pub fn new_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}
