//! Choice of the endpoint that runs a job.
//!
//! An idle slot lease of this entry is reused first. Otherwise the better of two random endpoints is taken, so that
//! entries with the same old view don't all choose the same one.

use rand::Rng;
use rand::seq::IndexedRandom;
use smol_str::SmolStr;

use crate::breaker::CircuitBreaker;
use crate::ids::{DataCentreId, Incarnation, LeaseId, PoolId, VmId};
use crate::map::Map;
use crate::units::{Millis, MonoTime};

/// Most connections of this entry to one endpoint.
pub const MAX_CONNECTIONS: u32 = 64;

/// Time that an idle lease must have left to be reused; it covers the way to the worker.
pub const LEASE_MARGIN: Millis = Millis(300);

/// Free slots count as similar if they differ by no more than this many, or by [`SIMILAR_PERCENT`].
pub const SIMILAR_SLOTS: u32 = 1;

/// See [`SIMILAR_SLOTS`].
pub const SIMILAR_PERCENT: u32 = 20;

/// Time for which the state of an endpoint that isn't listed is remembered. The sources lag behind each other, so an
/// endpoint may be reported as draining before it is listed, or be missing from a list for a moment.
pub const ABSENT_KEPT: Millis = Millis::from_secs(15 * 60);

/// State of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Serving,
    /// In graceful shutdown.
    Draining,
    /// Listed as leaving.
    Leaving,
    /// Failed.
    Failed,
}

/// An endpoint as the fleet document and the VM list show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// VM.
    pub vm: VmId,
    /// Pool.
    pub pool: PoolId,
    /// Address.
    pub address: SmolStr,
    /// Data centre.
    pub data_centre: DataCentreId,
}

/// A worker's answer about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// When the question was sent.
    pub asked_at: MonoTime,
    /// Run of the worker.
    pub incarnation: Incarnation,
    /// Slots.
    pub slots: u32,
    /// Free slots.
    pub free: u32,
    /// Whether it is in graceful shutdown.
    pub draining: bool,
}

/// A chosen endpoint. One connection to it is counted until [`Endpoints::release`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// VM.
    pub vm: VmId,
    /// Address.
    pub address: SmolStr,
    /// An idle lease to reuse; without one a lease has to be requested.
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
    listed: Listed,
    state: State,
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
    const fn new(listed: Listed) -> Self {
        Self {
            listed,
            state: State::Serving,
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

    /// Whether a job may be sent, apart from free slots.
    fn is_open(&self, now: MonoTime) -> bool {
        self.state == State::Serving
            && !self.quarantined
            && self.connections < MAX_CONNECTIONS
            && self.breaker.allows_connection(now)
    }

    fn has_idle_lease(&self, now: MonoTime) -> bool {
        self.idle.iter().any(|idle| idle.expires > now + LEASE_MARGIN)
    }

    /// The idle lease with the most time left.
    fn take_idle_lease(&mut self, now: MonoTime) -> Option<LeaseId> {
        let latest = (0..self.idle.len()).max_by_key(|i| self.idle[*i].expires)?;
        if self.idle[latest].expires <= now + LEASE_MARGIN {
            return None;
        }
        Some(self.idle.swap_remove(latest).lease)
    }

    /// Ends the use of the endpoint and returns the leases to give back.
    fn stop(&mut self, state: State) -> Vec<LeaseId> {
        self.state = state;
        self.idle.drain(..).map(|idle| idle.lease).collect()
    }

    fn serve(&mut self, incarnation: Incarnation, at: MonoTime) {
        self.state = State::Serving;
        self.incarnation = incarnation;
        self.returned_at = at;
        self.breaker = CircuitBreaker::new();
    }
}

/// What is remembered of an endpoint that isn't listed.
#[derive(Clone, Copy, Debug)]
struct Absent {
    state: State,
    incarnation: Incarnation,
    since: MonoTime,
}

/// All endpoints that an entry knows.
#[derive(Debug)]
pub struct Endpoints {
    data_centre: DataCentreId,
    endpoints: Map<VmId, Endpoint>,
    absent: Map<VmId, Absent>,
    pools: Map<PoolId, Vec<VmId>>,
}

impl Endpoints {
    /// Creates an empty table for an entry in this data centre.
    #[must_use]
    pub fn new(data_centre: DataCentreId) -> Self {
        Self { data_centre, endpoints: Map::default(), absent: Map::default(), pools: Map::default() }
    }

    /// Adds an endpoint or takes its new pool and address; the state of a known one stays as it is. Returns the idle
    /// leases of an endpoint that changed its pool or address, which are no longer used.
    pub fn list(&mut self, listed: Listed) -> Vec<LeaseId> {
        let Some(known) = self.endpoints.get_mut(&listed.vm) else {
            self.pools.entry(listed.pool.clone()).or_default().push(listed.vm.clone());
            let mut endpoint = Endpoint::new(listed);
            if let Some(absent) = self.absent.remove(&endpoint.listed.vm) {
                endpoint.state = absent.state;
                endpoint.incarnation = absent.incarnation;
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
            self.leave_pool(&old_pool, &listed.vm);
            self.pools.entry(listed.pool).or_default().push(listed.vm);
        }
        leases
    }

    /// Takes an endpoint off the list. Its state is remembered for [`ABSENT_KEPT`].
    pub fn remove(&mut self, vm: &VmId, now: MonoTime) {
        if let Some(endpoint) = self.endpoints.remove(vm) {
            let absent = Absent { state: endpoint.state, incarnation: endpoint.incarnation, since: now };
            self.absent.insert(vm.clone(), absent);
            self.leave_pool(&endpoint.listed.pool, vm);
        }
    }

    /// Marks an endpoint that some source reports as draining, leaving or failed. Returns its idle leases, to give
    /// back.
    pub fn mark(&mut self, vm: &VmId, state: State, now: MonoTime) -> Vec<LeaseId> {
        if state == State::Serving {
            return Vec::new();
        }
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            return endpoint.stop(state);
        }
        let incarnation = self.absent.get(vm).map_or(Incarnation(0), |absent| absent.incarnation);
        self.absent.insert(vm.clone(), Absent { state, incarnation, since: now });
        Vec::new()
    }

    /// Takes an endpoint back into use after its explicit return.
    pub fn return_to_service(&mut self, vm: &VmId, incarnation: Incarnation, now: MonoTime) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            if incarnation >= endpoint.incarnation {
                endpoint.serve(incarnation, now);
            }
        } else if self.absent.get(vm).is_some_and(|absent| incarnation >= absent.incarnation) {
            self.absent.insert(vm.clone(), Absent { state: State::Serving, incarnation, since: now });
        }
    }

    /// Sets or clears the quarantine of an endpoint.
    pub fn set_quarantined(&mut self, vm: &VmId, quarantined: bool) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.quarantined = quarantined;
        }
    }

    /// Takes a worker's status. Returns idle leases that are no longer of use, to give back.
    ///
    /// Answers of an earlier incarnation, and those to questions from before the last return, are ignored: they would
    /// show a drain that has ended.
    pub fn take_status(&mut self, vm: &VmId, status: &Status) -> Vec<LeaseId> {
        let Some(endpoint) = self.endpoints.get_mut(vm) else { return Vec::new() };
        if status.incarnation < endpoint.incarnation || status.asked_at < endpoint.returned_at {
            return Vec::new();
        }
        let mut leases = Vec::new();
        if status.incarnation > endpoint.incarnation {
            // A worker loses its leases when it restarts. The first status of all doesn't end a drain that another
            // source has reported.
            let is_first = endpoint.incarnation == Incarnation(0);
            leases.extend(endpoint.idle.drain(..).map(|idle| idle.lease));
            endpoint.incarnation = status.incarnation;
            if !status.draining && !is_first {
                endpoint.serve(status.incarnation, status.asked_at);
            }
        }
        endpoint.slots = status.slots;
        endpoint.free = status.free.min(status.slots);
        if status.draining {
            leases.extend(endpoint.stop(State::Draining));
        }
        leases
    }

    /// Keeps a slot lease for reuse. Returns it if the endpoint takes no work.
    pub fn put_idle_lease(&mut self, vm: &VmId, lease: LeaseId, expires: MonoTime, now: MonoTime) -> Option<LeaseId> {
        match self.endpoints.get_mut(vm) {
            Some(endpoint) if endpoint.state == State::Serving => {
                endpoint.idle.push(IdleLease { lease, expires, since: now });
                None
            }
            _ => Some(lease),
        }
    }

    /// Forgets idle leases that have expired or are too close to it to be reused, and endpoints that were not listed
    /// for [`ABSENT_KEPT`].
    pub fn expire(&mut self, now: MonoTime) {
        self.absent.retain(|_, absent| now.since(absent.since) <= ABSENT_KEPT);
        for endpoint in self.endpoints.values_mut() {
            endpoint.idle.retain(|idle| idle.expires > now + LEASE_MARGIN);
        }
    }

    /// Takes the leases that were not reused since `before`, to give them back.
    pub fn take_unused_leases(&mut self, before: MonoTime) -> Vec<(VmId, LeaseId)> {
        let mut unused = Vec::new();
        for (vm, endpoint) in &mut self.endpoints {
            let given = endpoint.idle.extract_if(.., |idle| idle.since <= before);
            let count = unused.len();
            unused.extend(given.map(|idle| (vm.clone(), idle.lease)));
            endpoint.free = (endpoint.free + (unused.len() - count) as u32).min(endpoint.slots);
        }
        unused
    }

    /// Assumes a free slot at one open endpoint of the pool, because other entries give slots back without notice.
    pub fn assume_free_slot(&mut self, pool: &PoolId, now: MonoTime, rng: &mut impl Rng) {
        let vms = self.pools.get(pool).into_iter().flatten();
        let open: Vec<_> = vms.filter(|vm| self.endpoints.get(*vm).is_some_and(|e| e.is_open(now))).collect();
        if let Some(vm) = open.choose(rng).map(|vm| (*vm).clone()) {
            self.add_free_slot(&vm);
        }
    }

    /// Chooses an endpoint of the pool and counts a connection to it. Endpoints in `tried` are left out.
    pub fn choose(&mut self, pool: &PoolId, tried: &[VmId], now: MonoTime, rng: &mut impl Rng) -> Option<Choice> {
        let open: Vec<&Endpoint> = self
            .pools
            .get(pool)?
            .iter()
            .filter_map(|vm| self.endpoints.get(vm))
            .filter(|e| e.is_open(now) && !tried.contains(&e.listed.vm))
            .collect();
        let with_lease: Vec<_> = open.iter().copied().filter(|e| e.has_idle_lease(now)).collect();
        let vm = match self.pick_of_two(&with_lease, rng) {
            Some(vm) => vm,
            None => {
                let with_slot: Vec<_> = open.into_iter().filter(|e| e.free > 0).collect();
                self.pick_of_two(&with_slot, rng)?
            }
        };
        let endpoint = self.endpoints.get_mut(&vm)?;
        let lease = endpoint.take_idle_lease(now);
        if lease.is_none() {
            // The slot is taken until a status says otherwise.
            endpoint.free = endpoint.free.saturating_sub(1);
        }
        endpoint.connections += 1;
        endpoint.breaker.record_attempt(now);
        Some(Choice { vm, address: endpoint.listed.address.clone(), lease })
    }

    /// Ends the connection of a choice after an answer of any kind from the worker.
    pub fn release(&mut self, vm: &VmId) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.connections = endpoint.connections.saturating_sub(1);
            endpoint.breaker.record_success();
        }
    }

    /// Ends the connection of a choice that could not be opened.
    pub fn release_failed(&mut self, vm: &VmId, now: MonoTime, rng: &mut impl Rng) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.connections = endpoint.connections.saturating_sub(1);
            endpoint.breaker.record_failure(now, rng);
        }
    }

    /// Notes that a worker had no free slot, until its next status.
    pub fn mark_full(&mut self, vm: &VmId) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.free = 0;
        }
    }

    /// Counts a slot of a worker as free before its next status, after a job has ended there without its lease being
    /// kept.
    pub fn add_free_slot(&mut self, vm: &VmId) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.free = (endpoint.free + 1).min(endpoint.slots);
        }
    }

    /// State of an endpoint.
    #[must_use]
    pub fn state(&self, vm: &VmId) -> Option<State> {
        self.endpoints.get(vm).map(|endpoint| endpoint.state)
    }

    /// All and free slots of the endpoints of a pool that take work; a slot under an idle lease of this entry is free.
    #[must_use]
    pub fn count_slots(&self, pool: &PoolId, now: MonoTime) -> (u32, u32) {
        let vms = self.pools.get(pool).into_iter().flatten();
        let open = vms.filter_map(|vm| self.endpoints.get(vm)).filter(|e| e.is_open(now));
        open.fold((0, 0), |(total, free), e| (total + e.slots, free + (e.free + e.idle.len() as u32).min(e.slots)))
    }

    fn leave_pool(&mut self, pool: &PoolId, vm: &VmId) {
        if let Some(vms) = self.pools.get_mut(pool) {
            vms.retain(|other| other != vm);
            if vms.is_empty() {
                self.pools.remove(pool);
            }
        }
    }

    fn pick_of_two(&self, endpoints: &[&Endpoint], rng: &mut impl Rng) -> Option<VmId> {
        let two: Vec<&&Endpoint> = endpoints.choose_multiple(rng, 2).collect();
        let (first, second) = match two[..] {
            [] => return None,
            [only] => return Some(only.listed.vm.clone()),
            [first, second, ..] => (first, second),
        };
        let is_near = |e: &Endpoint| e.listed.data_centre == self.data_centre;
        let takes_second = if is_similar(first.free, second.free) && is_near(first) != is_near(second) {
            is_near(second)
        } else if first.free == second.free {
            // The order of the two is not random when there are only two.
            rng.random()
        } else {
            second.free > first.free
        };
        Some(if takes_second { second } else { first }.listed.vm.clone())
    }
}

fn is_similar(a: u32, b: u32) -> bool {
    let difference = a.abs_diff(b);
    difference <= SIMILAR_SLOTS || difference * 100 <= a.max(b) * SIMILAR_PERCENT
}
