//! VM records, reports of workers, and the loop that runs the planner.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::Map;
use carawaybarrow_core::commit::{Commit, Document};
use carawaybarrow_core::fleet::{Fleet, FleetCommand, FleetOutcome, VmState};
use carawaybarrow_core::ids::{Incarnation, PoolId, StoreVersion, TeamId, VmId};
use carawaybarrow_core::job::Size;
use carawaybarrow_core::moves::{DemandMeter, DemandSample};
use carawaybarrow_core::planner::{self, ListedState, Observations, VmReport};
use carawaybarrow_core::queue::Urgency;
use carawaybarrow_core::routing::{EndpointState, ListedEndpoint};
use carawaybarrow_core::units::WallTime;
use smol_str::SmolStr;

use crate::entry::Entry;
use crate::store::{self, CommitError, Committed};
use crate::vm_list::{ListedVm, ListedVmState};
use crate::worker::{Status, WorkerRequest};

/// Store key of the VM records. There is only one fleet group, so one document holds all VMs.
pub const FLEET_KEY: &str = "fleet/main";

/// Maximum duration of one watch call to the store.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before a failed watch is repeated.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval at which each worker's status is read. A drain has to be noticed within a few seconds, which have to cover
/// this interval and the delay of an answer.
const POLL_INTERVAL: Duration = Duration::from_millis(1_500);

/// Interval between two runs of the planner.
const PLAN_INTERVAL: Duration = Duration::from_millis(1_000);

/// Last observation of a worker.
#[derive(Clone, Debug)]
struct WorkerObservation {
    report: VmReport,
    /// Last status that the worker reported; kept while the worker is unreachable.
    status: Option<Status>,
}

#[derive(Debug, Default)]
struct Inner {
    document: Fleet,
    version: StoreVersion,
    list: Vec<ListedVm>,
    workers: Map<VmId, WorkerObservation>,
    demand: Map<PoolId, DemandMeter>,
}

/// VM records, the VM list and worker reports, as known to this entry.
#[derive(Debug, Default)]
pub struct FleetState {
    inner: Mutex<Inner>,
}

impl FleetState {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The VM records.
    #[must_use]
    pub fn document(&self) -> Fleet {
        self.lock().document.clone()
    }

    /// The VM records and their version in the store; the version is 0 until they have been read.
    #[must_use]
    pub fn versioned_document(&self) -> (StoreVersion, Fleet) {
        let inner = self.lock();
        (inner.version, inner.document.clone())
    }

    /// Address of the worker on a VM, from the VM records or else from the VM list.
    #[must_use]
    pub fn find_address(&self, vm: &VmId) -> Option<SocketAddr> {
        let inner = self.lock();
        let recorded = inner.document.vm(vm).and_then(|v| v.place.address.parse().ok());
        recorded.or_else(|| inner.list.iter().find(|listed| listed.vm == *vm).map(|listed| listed.address))
    }

    /// Number of running tasks by team that the workers last reported under the leases of a holder.
    #[must_use]
    pub fn count_tasks(&self, holder: &str) -> BTreeMap<TeamId, u32> {
        let inner = self.lock();
        let tasks = inner.workers.values().filter_map(|worker| worker.status.as_ref()).flat_map(|status| &status.tasks);
        let mut counts = BTreeMap::new();
        for team in tasks.filter(|task| task.entry == holder).filter_map(|task| task.team.clone()) {
            *counts.entry(team).or_default() += 1;
        }
        counts
    }

    /// Largest cores, memory and accelerators of the workers of each pool. Workers that haven't reported a size are left
    /// out.
    #[must_use]
    pub fn largest_workers(&self) -> Map<PoolId, Size> {
        let inner = self.lock();
        let mut largest: Map<PoolId, Size> = Map::default();
        for (id, vm) in inner.document.vms() {
            let Some(size) = inner.workers.get(id).and_then(|s| s.status.as_ref()).and_then(|s| s.size) else {
                continue;
            };
            let most = largest.entry(vm.pool.clone()).or_default();
            most.cores = most.cores.max(size.cores);
            most.memory_mb = most.memory_mb.max(size.memory_mb);
            most.accelerators = most.accelerators.max(size.accelerators);
        }
        largest
    }

    /// Replaces the VM records if the given ones are newer. Returns whether they were replaced.
    fn install_document(&self, document: Fleet, version: StoreVersion) -> bool {
        let mut inner = self.lock();
        if version <= inner.version {
            return false;
        }
        inner.document = document;
        inner.version = version;
        true
    }

    /// VMs to poll for their status: those in the VM records and those in the VM list.
    fn poll_targets(&self) -> Vec<(VmId, SocketAddr)> {
        let inner = self.lock();
        let recorded = inner.document.vms().filter_map(|(id, vm)| Some((id.clone(), vm.place.address.parse().ok()?)));
        let mut targets: BTreeMap<VmId, SocketAddr> = recorded.collect();
        for listed in &inner.list {
            targets.insert(listed.vm.clone(), listed.address);
        }
        targets.into_iter().collect()
    }

    /// Records the status of a worker; `None` if it could not be reached.
    fn record_status(&self, vm: &VmId, status: Option<Status>, at: WallTime) {
        let mut inner = self.lock();
        let before = inner.workers.get(vm).map(|worker| worker.report);
        let report = match &status {
            Some(status) => {
                let since = match before {
                    Some(VmReport::Up { since, incarnation, .. }) if incarnation == status.incarnation => since,
                    _ => at,
                };
                // A worker never runs more tasks than a u32 holds.
                let tasks = u32::try_from(status.tasks.len()).unwrap_or(u32::MAX);
                VmReport::Up { since, incarnation: status.incarnation, draining: status.draining, tasks }
            }
            None => match before {
                Some(VmReport::Down { since }) => VmReport::Down { since },
                _ => VmReport::Down { since: at },
            },
        };
        // The last known tasks of an unreachable worker still use team permits.
        let status = status.or_else(|| inner.workers.get(vm).and_then(|worker| worker.status.clone()));
        inner.workers.insert(vm.clone(), WorkerObservation { report, status });
    }

    /// The observations that the planner decides on.
    fn observations(&self) -> Observations {
        let inner = self.lock();
        let list = inner.list.iter().map(to_planner_vm).collect();
        let reports = inner.workers.iter().map(|(vm, worker)| (vm.clone(), worker.report)).collect();
        let demand = inner.demand.iter().map(|(pool, meter)| (pool.clone(), meter.demand())).collect();
        Observations { list, reports, demand }
    }
}

fn to_planner_vm(listed: &ListedVm) -> planner::ListedVm {
    planner::ListedVm {
        vm: listed.vm.clone(),
        address: SmolStr::new(listed.address.to_string()),
        data_centre: listed.data_centre.clone(),
        rack: listed.rack.clone(),
        state: match listed.state {
            ListedVmState::Live => ListedState::Live,
            ListedVmState::Leaving => ListedState::Leaving,
        },
    }
}

impl Entry {
    /// Keeps the VM records current by watching them in the store.
    pub async fn watch_fleet(self: Arc<Self>) {
        loop {
            let after = self.fleet.lock().version;
            match self.store.watch(FLEET_KEY, after, WATCH_TIMEOUT).await {
                Ok(Some(stored)) => match Fleet::decode(&stored.bytes) {
                    Ok(document) => self.apply_fleet(document, stored.version),
                    Err(e) => {
                        log::error!(error:% = e; "the stored VM records can't be read");
                        task::sleep(WATCH_RETRY_DELAY).await;
                    }
                },
                Ok(None) => {}
                Err(_) => task::sleep(WATCH_RETRY_DELAY).await,
            }
        }
    }

    /// Applies VM records from the store to this entry's endpoints, unless they are older than the current ones.
    fn apply_fleet(self: &Arc<Self>, document: Fleet, version: StoreVersion) {
        let before = self.fleet.document();
        if !self.fleet.install_document(document.clone(), version) {
            return;
        }
        for (id, _) in before.vms().filter(|(id, _)| document.vm(id).is_none()) {
            self.dispatch().endpoints.remove(id, self.clock.now());
        }
        let now = self.clock.now();
        for (id, vm) in document.vms() {
            let listed = ListedEndpoint {
                vm: id.clone(),
                pool: vm.pool.clone(),
                address: vm.place.address.clone(),
                data_centre: vm.place.data_centre.clone(),
            };
            let stale = self.dispatch().endpoints.add_or_update(listed);
            for lease in stale {
                self.release_lease(id, &lease);
            }
            let served = before.vm(id).is_some_and(|b| b.state == VmState::Serving);
            match vm.state {
                VmState::Serving if !served => {
                    self.dispatch().endpoints.return_to_service(id, vm.place.incarnation, now);
                }
                VmState::Serving => {}
                VmState::Failed => self.mark_endpoint(id, EndpointState::Failed),
                VmState::Draining | VmState::Drained | VmState::Rebooting => {
                    self.mark_endpoint(id, EndpointState::Draining)
                }
            }
        }
        self.refresh_pools(&document);
        self.dispatch_all();
    }

    /// Updates the members of each pool for the comparison of worker health.
    fn refresh_pools(&self, document: &Fleet) {
        let mut members: Map<PoolId, Vec<VmId>> = Map::default();
        for (id, vm) in document.vms() {
            members.entry(vm.pool.clone()).or_default().push(id.clone());
        }
        let mut dispatch = self.dispatch();
        for (pool, vms) in &members {
            dispatch.health.entry(pool.clone()).or_default().set_members(vms);
        }
    }

    /// Reads the VM list and the status of all workers at intervals.
    pub async fn poll_workers(self: Arc<Self>) {
        loop {
            if let Some(list) = self.vm_list.list().await {
                for leaving in list.iter().filter(|listed| listed.state == ListedVmState::Leaving) {
                    self.mark_endpoint(&leaving.vm, EndpointState::Leaving);
                }
                self.fleet.lock().list = list;
            }
            let targets = self.fleet.poll_targets();
            // The polls are spread over the interval, so that the answers don't arrive in one burst.
            let pause = POLL_INTERVAL / u32::try_from(targets.len().max(1)).unwrap_or(u32::MAX);
            for (vm, address) in targets {
                task::spawn(Arc::clone(&self).poll_worker(vm, address));
                task::sleep(pause).await;
            }
            // Without a VM to poll, the loop above doesn't sleep.
            if self.fleet.poll_targets().is_empty() {
                task::sleep(PLAN_INTERVAL).await;
            }
        }
    }

    async fn poll_worker(self: Arc<Self>, vm: VmId, address: SocketAddr) {
        let requested_at = self.clock.now();
        let status = self.workers.status(address).await;
        self.fleet.record_status(&vm, status.clone(), self.clock.wall());
        let Some(status) = status else { return };
        let report = carawaybarrow_core::routing::WorkerStatus {
            requested_at,
            incarnation: status.incarnation,
            slots: status.slots,
            free: status.free,
            draining: status.draining,
        };
        let leases = self.dispatch().endpoints.apply_status(&vm, &report);
        for lease in leases {
            self.release_lease(&vm, &lease);
        }
    }

    /// Commits commands to the VM records.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached, or if it is unknown whether the commands took effect.
    pub async fn change_fleet(self: &Arc<Self>, commands: Vec<FleetCommand>) -> Result<Vec<FleetOutcome>, CommitError> {
        let (version, document) = {
            let inner = self.fleet.lock();
            (inner.version, inner.document.clone())
        };
        let mut commit = Commit::<Fleet>::new(self.new_change_id(), commands);
        if version > StoreVersion(0) {
            commit = commit.with_base(version, document);
        }
        let Committed { outcomes, version, document } = store::run_commit(&*self.store, FLEET_KEY, commit).await?;
        self.apply_fleet(document, version);
        Ok(outcomes)
    }

    /// Measures demand at intervals. While this entry is the coordinator and reaches the store, also runs the planner of
    /// waves and moves, and sends the resulting requests to workers.
    pub async fn plan_fleet(self: Arc<Self>) {
        loop {
            task::sleep(PLAN_INTERVAL).await;
            self.measure_demand();
            if self.is_coordinator() && self.is_store_reachable() {
                self.plan_once().await;
                self.instruct_workers();
            }
        }
    }

    async fn plan_once(self: &Arc<Self>) {
        let (document, observations) = (self.fleet.document(), self.fleet.observations());
        let snapshot = self.config_state.config();
        let commands = planner::plan(&document, &observations, &snapshot.config, self.clock.wall());
        if commands.is_empty() {
            return;
        }
        let count = commands.len();
        match self.change_fleet(commands).await {
            Ok(outcomes) => {
                let applied = outcomes.iter().filter(|o| matches!(o, FleetOutcome::Applied)).count();
                log::info!(
                    planned = count, applied = applied;
                    "commands of the planner: the applied ones are written to the VM records"
                );
            }
            Err(e) => log::warn!(error:% = e; "VM records could not be changed"),
        }
    }

    /// Samples the demand of each pool at this entry.
    fn measure_demand(&self) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let pools: Vec<PoolId> = self.config_state.config().config.pools.keys().cloned().collect();
        for pool in pools {
            let sample = {
                let mut dispatch = self.dispatch();
                let slots = dispatch.slots(&pool, now);
                let expected_wait = dispatch.queue(&pool).expected_wait(Urgency::Urgent, slots);
                DemandSample { busy_slots: slots.total.saturating_sub(slots.free), slots: slots.total, expected_wait }
            };
            self.fleet.lock().demand.entry(pool).or_default().observe(sample, wall);
        }
    }

    /// Requests workers to drain, to end a drain or to reboot, where their reports differ from the VM records.
    ///
    /// A worker that drains without a drain permit is left draining: it drains for a reason of its own.
    fn instruct_workers(self: &Arc<Self>) {
        let requests: Vec<_> = {
            let inner = self.fleet.lock();
            let find_request = |(id, vm): (&VmId, &carawaybarrow_core::fleet::Vm)| {
                let Some(WorkerObservation { report: VmReport::Up { incarnation, draining, .. }, .. }) =
                    inner.workers.get(id)
                else {
                    return None;
                };
                let address = vm.place.address.parse::<SocketAddr>().ok()?;
                let rebooted_from: Option<Incarnation> = vm.permit.as_ref().and_then(|p| p.rebooted_from);
                let request = if vm.state == VmState::Rebooting && rebooted_from == Some(*incarnation) {
                    WorkerRequest::Reboot
                } else if vm.must_drain() && !draining {
                    WorkerRequest::Drain
                } else if vm.permit.is_some() && !vm.must_drain() && *draining {
                    WorkerRequest::Undrain
                } else {
                    return None;
                };
                Some((id.clone(), address, request))
            };
            inner.document.vms().filter_map(find_request).collect()
        };
        for (vm, address, request) in requests {
            log::info!(vm:% = vm, request:? = request; "sending a request to a worker");
            let entry = Arc::clone(self);
            // If the call is lost, the next run repeats it.
            task::spawn(async move { entry.workers.request(address, request).await });
        }
    }
}
