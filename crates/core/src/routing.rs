//! Choice of the endpoint that runs a job.
//!
//! Endpoints at which this entry holds an idle slot lease are preferred. Among the candidates, the better of two random
//! ones is chosen, so that entries with the same outdated view don't all choose the same endpoint.

use rand::Rng;
use rand::seq::IndexedRandom;
use smol_str::SmolStr;

use crate::breaker::CircuitBreaker;
use crate::ids::{DataCentreId, Incarnation, LeaseId, PoolId, VmId};
use crate::map::Map;
use crate::units::{Millis, MonoTime};

/// Maximum number of connections of this entry to one endpoint.
pub const MAX_CONNECTIONS: u32 = 64;

/// Minimum remaining time of an idle lease that is reused; it covers the transfer of the request to the worker.
pub const LEASE_MARGIN: Millis = Millis(300);

/// Two endpoints have similar numbers of free slots if these differ by at most this many, or by at most
/// [`SIMILAR_PERCENT`] of the greater one.
pub const SIMILAR_SLOTS: u32 = 1;

/// Relative difference up to which numbers of free slots are similar; see [`SIMILAR_SLOTS`].
pub const SIMILAR_PERCENT: u32 = 20;

/// Time for which the state of an endpoint that isn't listed is kept. The sources lag behind each other, so an endpoint
/// may be reported as draining before it is listed, or be missing from a list for a short time.
pub const UNLISTED_RETENTION: Millis = Millis::from_secs(15 * 60);

/// State of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts jobs.
    Serving,
    /// It is in graceful shutdown.
    Draining,
    /// It is listed as leaving.
    Leaving,
    /// It has failed.
    Failed,
}

/// An endpoint as listed in the fleet document and the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// VM of the endpoint.
    pub vm: VmId,
    /// Pool to which the VM belongs.
    pub pool: PoolId,
    /// Network address of the worker.
    pub address: SmolStr,
    /// Data centre of the VM; endpoints in that of the entry are preferred.
    pub data_centre: DataCentreId,
}

/// Response of a worker to a status request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerStatus {
    /// When the status was requested.
    pub requested_at: MonoTime,
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
    /// Number of slots.
    pub slots: u32,
    /// Number of free slots.
    pub free: u32,
    /// Whether it is in graceful shutdown.
    pub draining: bool,
}

/// A chosen endpoint. One connection to it is counted until [`Endpoints::end_connection`] or
/// [`Endpoints::end_failed_connection`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenEndpoint {
    /// VM of the endpoint.
    pub vm: VmId,
    /// Network address of the worker.
    pub address: SmolStr,
    /// Idle lease to reuse; if absent, a lease has to be requested from the worker.
    pub lease: Option<LeaseId>,
}

/// A slot lease that is kept for reuse.
#[derive(Debug)]
struct IdleLease {
    lease: LeaseId,
    expires: MonoTime,
    since: MonoTime,
}

#[derive(Debug)]
struct Endpoint {
    listed: ListedEndpoint,
    state: EndpointState,
    quarantined: bool,
    incarnation: Incarnation,
    returned_at: MonoTime,
    slots: u32,
    free: u32,
    connections: u32,
    breaker: CircuitBreaker,
    idle: Vec<IdleLease>,
}

impl Endpoint {
    const fn new(listed: ListedEndpoint) -> Self {
        Self {
            listed,
            state: EndpointState::Serving,
            quarantined: false,
            incarnation: Incarnation(0),
            returned_at: MonoTime(0),
            slots: 0,
            free: 0,
            connections: 0,
            breaker: CircuitBreaker::new(),
            idle: Vec::new(),
        }
    }

    /// Whether a job may be sent to the endpoint, regardless of free slots.
    fn accepts_jobs(&self, now: MonoTime) -> bool {
        self.state == EndpointState::Serving
            && !self.quarantined
            && self.connections < MAX_CONNECTIONS
            && self.breaker.allows_connection(now)
    }

    fn has_idle_lease(&self, now: MonoTime) -> bool {
        self.idle.iter().any(|idle| idle.expires > now + LEASE_MARGIN)
    }

    /// Removes the idle lease with the most time left; `None` if that is less than [`LEASE_MARGIN`].
    fn take_idle_lease(&mut self, now: MonoTime) -> Option<LeaseId> {
        let latest = (0..self.idle.len()).max_by_key(|i| self.idle[*i].expires)?;
        if self.idle[latest].expires <= now + LEASE_MARGIN {
            return None;
        }
        Some(self.idle.swap_remove(latest).lease)
    }

    /// Stops sending jobs to the endpoint and returns its idle leases, which the caller has to release.
    fn stop_serving(&mut self, state: EndpointState) -> Vec<LeaseId> {
        self.state = state;
        self.idle.drain(..).map(|idle| idle.lease).collect()
    }

    fn resume_serving(&mut self, incarnation: Incarnation, at: MonoTime) {
        self.state = EndpointState::Serving;
        self.incarnation = incarnation;
        self.returned_at = at;
        self.breaker = CircuitBreaker::new();
    }
}

/// Last known state of an endpoint that isn't listed.
#[derive(Clone, Copy, Debug)]
struct UnlistedEndpoint {
    state: EndpointState,
    incarnation: Incarnation,
    since: MonoTime,
}

/// All endpoints that an entry knows.
#[derive(Debug)]
pub struct Endpoints {
    data_centre: DataCentreId,
    endpoints: Map<VmId, Endpoint>,
    unlisted: Map<VmId, UnlistedEndpoint>,
    pools: Map<PoolId, Vec<VmId>>,
}

impl Endpoints {
    /// Creates an empty table for an entry in this data centre.
    #[must_use]
    pub fn new(data_centre: DataCentreId) -> Self {
        Self { data_centre, endpoints: Map::default(), unlisted: Map::default(), pools: Map::default() }
    }

    /// Adds an endpoint, or updates a listed one without changing its state. Returns the idle leases of an updated
    /// endpoint, which are no longer used and which the caller has to release.
    pub fn add_or_update(&mut self, listed: ListedEndpoint) -> Vec<LeaseId> {
        let Some(known) = self.endpoints.get_mut(&listed.vm) else {
            self.pools.entry(listed.pool.clone()).or_default().push(listed.vm.clone());
            let mut endpoint = Endpoint::new(listed);
            if let Some(unlisted) = self.unlisted.remove(&endpoint.listed.vm) {
                endpoint.state = unlisted.state;
                endpoint.incarnation = unlisted.incarnation;
            }
            self.endpoints.insert(endpoint.listed.vm.clone(), endpoint);
            return Vec::new();
        };
        if known.listed == listed {
            return Vec::new();
        }
        let leases = known.idle.drain(..).map(|idle| idle.lease).collect();
        let old_pool = std::mem::replace(&mut known.listed, listed.clone()).pool;
        if old_pool != listed.pool {
            self.remove_from_pool(&old_pool, &listed.vm);
            self.pools.entry(listed.pool).or_default().push(listed.vm);
        }
        leases
    }

    /// Removes an endpoint from the table. Its state is kept for [`UNLISTED_RETENTION`].
    pub fn remove(&mut self, vm: &VmId, now: MonoTime) {
        if let Some(endpoint) = self.endpoints.remove(vm) {
            let unlisted = UnlistedEndpoint { state: endpoint.state, incarnation: endpoint.incarnation, since: now };
            self.unlisted.insert(vm.clone(), unlisted);
            self.remove_from_pool(&endpoint.listed.pool, vm);
        }
    }

    /// Records that a source reports an endpoint as draining, leaving or failed. Returns its idle leases, which the
    /// caller has to release. A serving state is ignored: only [`Self::return_to_service`] and a restart of the worker
    /// end the other states.
    pub fn mark_unavailable(&mut self, vm: &VmId, state: EndpointState, now: MonoTime) -> Vec<LeaseId> {
        if state == EndpointState::Serving {
            return Vec::new();
        }
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            return endpoint.stop_serving(state);
        }
        let incarnation = self.unlisted.get(vm).map_or(Incarnation(0), |unlisted| unlisted.incarnation);
        self.unlisted.insert(vm.clone(), UnlistedEndpoint { state, incarnation, since: now });
        Vec::new()
    }

    /// Resumes the use of an endpoint after its explicit return, unless a later incarnation is known.
    pub fn return_to_service(&mut self, vm: &VmId, incarnation: Incarnation, now: MonoTime) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            if incarnation >= endpoint.incarnation {
                endpoint.resume_serving(incarnation, now);
            }
        } else if self.unlisted.get(vm).is_some_and(|unlisted| incarnation >= unlisted.incarnation) {
            self.unlisted
                .insert(vm.clone(), UnlistedEndpoint { state: EndpointState::Serving, incarnation, since: now });
        }
    }

    /// Sets or clears the quarantine of an endpoint.
    pub fn set_quarantined(&mut self, vm: &VmId, quarantined: bool) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.quarantined = quarantined;
        }
    }

    /// Applies a worker's status. Returns idle leases that can no longer be used, which the caller has to release.
    ///
    /// Responses of an earlier incarnation, and those to requests from before the last return to service, are ignored:
    /// they might show a drain that has ended.
    pub fn apply_status(&mut self, vm: &VmId, status: &WorkerStatus) -> Vec<LeaseId> {
        let Some(endpoint) = self.endpoints.get_mut(vm) else { return Vec::new() };
        if status.incarnation < endpoint.incarnation || status.requested_at < endpoint.returned_at {
            return Vec::new();
        }
        let mut leases = Vec::new();
        if status.incarnation > endpoint.incarnation {
            // A worker loses its leases when it restarts. The first status ever received from it doesn't end a drain
            // that another source has reported.
            let is_first = endpoint.incarnation == Incarnation(0);
            leases.extend(endpoint.idle.drain(..).map(|idle| idle.lease));
            endpoint.incarnation = status.incarnation;
            if !status.draining && !is_first {
                endpoint.resume_serving(status.incarnation, status.requested_at);
            }
        }
        endpoint.slots = status.slots;
        endpoint.free = status.free.min(status.slots);
        if status.draining {
            leases.extend(endpoint.stop_serving(EndpointState::Draining));
        }
        leases
    }

    /// Keeps a slot lease for reuse. Returns it, for release, if the endpoint isn't serving.
    pub fn put_idle_lease(&mut self, vm: &VmId, lease: LeaseId, expires: MonoTime, now: MonoTime) -> Option<LeaseId> {
        match self.endpoints.get_mut(vm) {
            Some(endpoint) if endpoint.state == EndpointState::Serving => {
                endpoint.idle.push(IdleLease { lease, expires, since: now });
                None
            }
            _ => Some(lease),
        }
    }

    /// Drops idle leases that have expired or will expire within [`LEASE_MARGIN`], and the states of endpoints that
    /// have not been listed for [`UNLISTED_RETENTION`].
    pub fn expire(&mut self, now: MonoTime) {
        self.unlisted.retain(|_, unlisted| now.since(unlisted.since) <= UNLISTED_RETENTION);
        for endpoint in self.endpoints.values_mut() {
            endpoint.idle.retain(|idle| idle.expires > now + LEASE_MARGIN);
        }
    }

    /// Removes and returns the idle leases that were not reused since `before`, which the caller has to release.
    pub fn take_unused_leases(&mut self, before: MonoTime) -> Vec<(VmId, LeaseId)> {
        let mut unused = Vec::new();
        for (vm, endpoint) in &mut self.endpoints {
            let removed = endpoint.idle.extract_if(.., |idle| idle.since <= before);
            let count = unused.len();
            unused.extend(removed.map(|idle| (vm.clone(), idle.lease)));
            endpoint.free = (endpoint.free + (unused.len() - count) as u32).min(endpoint.slots);
        }
        unused
    }

    /// Assumes one more free slot at a random endpoint of the pool that accepts jobs, because other entries release
    /// slots without notice.
    pub fn assume_free_slot(&mut self, pool: &PoolId, now: MonoTime, rng: &mut impl Rng) {
        let vms = self.pools.get(pool).into_iter().flatten();
        let open: Vec<_> = vms.filter(|vm| self.endpoints.get(*vm).is_some_and(|e| e.accepts_jobs(now))).collect();
        if let Some(vm) = open.choose(rng).map(|vm| (*vm).clone()) {
            self.add_free_slot(&vm);
        }
    }

    /// Chooses an endpoint of the pool and counts a connection to it. Endpoints in `tried` are excluded.
    pub fn choose(
        &mut self,
        pool: &PoolId,
        tried: &[VmId],
        now: MonoTime,
        rng: &mut impl Rng,
    ) -> Option<ChosenEndpoint> {
        let open: Vec<&Endpoint> = self
            .pools
            .get(pool)?
            .iter()
            .filter_map(|vm| self.endpoints.get(vm))
            .filter(|e| e.accepts_jobs(now) && !tried.contains(&e.listed.vm))
            .collect();
        let with_lease: Vec<_> = open.iter().copied().filter(|e| e.has_idle_lease(now)).collect();
        let vm = match self.pick_better_of_two(&with_lease, rng) {
            Some(vm) => vm,
            None => {
                let with_slot: Vec<_> = open.into_iter().filter(|e| e.free > 0).collect();
                self.pick_better_of_two(&with_slot, rng)?
            }
        };
        let endpoint = self.endpoints.get_mut(&vm)?;
        let lease = endpoint.take_idle_lease(now);
        if lease.is_none() {
            // The slot counts as taken until the next status.
            endpoint.free = endpoint.free.saturating_sub(1);
        }
        endpoint.connections += 1;
        endpoint.breaker.record_attempt(now);
        Some(ChosenEndpoint { vm, address: endpoint.listed.address.clone(), lease })
    }

    /// Ends the connection to a chosen endpoint after a response of any kind from the worker.
    pub fn end_connection(&mut self, vm: &VmId) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.connections = endpoint.connections.saturating_sub(1);
            endpoint.breaker.record_success();
        }
    }

    /// Ends the connection to a chosen endpoint and records its failure in the circuit breaker.
    pub fn end_failed_connection(&mut self, vm: &VmId, now: MonoTime, rng: &mut impl Rng) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.connections = endpoint.connections.saturating_sub(1);
            endpoint.breaker.record_failure(now, rng);
        }
    }

    /// Records that a worker has no free slot, until its next status.
    pub fn mark_full(&mut self, vm: &VmId) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.free = 0;
        }
    }

    /// Counts one more free slot at an endpoint, until its next status. For a job that has ended there without its
    /// lease being kept for reuse.
    pub fn add_free_slot(&mut self, vm: &VmId) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.free = (endpoint.free + 1).min(endpoint.slots);
        }
    }

    /// State of an endpoint; `None` if it isn't listed.
    #[must_use]
    pub fn state(&self, vm: &VmId) -> Option<EndpointState> {
        self.endpoints.get(vm).map(|endpoint| endpoint.state)
    }

    /// All slots and free slots of the pool's endpoints that accept jobs. A slot for which this entry holds an idle
    /// lease counts as free.
    #[must_use]
    pub fn count_slots(&self, pool: &PoolId, now: MonoTime) -> (u32, u32) {
        let vms = self.pools.get(pool).into_iter().flatten();
        let open = vms.filter_map(|vm| self.endpoints.get(vm)).filter(|e| e.accepts_jobs(now));
        open.fold((0, 0), |(total, free), e| (total + e.slots, free + (e.free + e.idle.len() as u32).min(e.slots)))
    }

    fn remove_from_pool(&mut self, pool: &PoolId, vm: &VmId) {
        if let Some(vms) = self.pools.get_mut(pool) {
            vms.retain(|other| other != vm);
            if vms.is_empty() {
                self.pools.remove(pool);
            }
        }
    }

    /// Power of two choices: the one of two random endpoints with more free slots. If their numbers are similar, an
    /// endpoint in the data centre of this entry is preferred.
    fn pick_better_of_two(&self, endpoints: &[&Endpoint], rng: &mut impl Rng) -> Option<VmId> {
        let two: Vec<&&Endpoint> = endpoints.choose_multiple(rng, 2).collect();
        let (first, second) = match two[..] {
            [] => return None,
            [only] => return Some(only.listed.vm.clone()),
            [first, second, ..] => (first, second),
        };
        let is_local = |e: &Endpoint| e.listed.data_centre == self.data_centre;
        let prefers_second = if is_similar(first.free, second.free) && is_local(first) != is_local(second) {
            is_local(second)
        } else if first.free == second.free {
            // The order of the two is not random when there are only two.
            rng.random()
        } else {
            second.free > first.free
        };
        Some(if prefers_second { second } else { first }.listed.vm.clone())
    }
}

fn is_similar(a: u32, b: u32) -> bool {
    let difference = a.abs_diff(b);
    difference <= SIMILAR_SLOTS || difference * 100 <= a.max(b) * SIMILAR_PERCENT
}
