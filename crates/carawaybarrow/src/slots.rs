//! Slot leases of this entry: requested from workers, renewed, reused and released.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::Map;
use carawaybarrow_core::ids::{LeaseId, PoolId, VmId};
use carawaybarrow_core::job::Refusal;
use carawaybarrow_core::queue::Urgency;
use carawaybarrow_core::routing::EndpointState;
use carawaybarrow_core::units::{Millis, MonoTime};

use crate::dispatch::{HeldLease, JobStart, SlotKey};
use crate::entry::Entry;
use crate::worker::LeaseAnswer;

/// Interval of the maintenance of leases and queues.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(25);

/// Interval at which unused leases are released and trials are allowed; both visit each endpoint.
const IDLE_CHECK_INTERVAL: Millis = Millis(125);

/// Time after a renewal at which a lease is renewed again; a third of the shortest lifetime, so that a single lost
/// renewal doesn't let the lease lapse.
const RENEW_AFTER: Millis = Millis(1_000);

/// Time for which an idle lease is kept for reuse.
const IDLE_LEASE_RETENTION: Millis = Millis(500);

/// Time since its grant for which a lease may be reused while workers of the pool have no free slot; limited so that
/// other entries get slots too.
const MAX_REUSE_WHEN_FULL: Millis = Millis(1_000);

/// Time for which a pool counts as full after a worker had no free slot.
const FULL_POOL_PERIOD: Millis = Millis(1_000);

/// `retry_after` of urgent jobs that expired in the queue.
const EXPIRED_RETRY_AFTER: Millis = Millis(200);

impl Entry {
    /// Obtains a slot lease for a start: the idle lease that was chosen with the endpoint, or a new one. `None` if the
    /// worker grants none.
    pub async fn obtain_lease(self: &Arc<Self>, start: &JobStart, ttl: Millis) -> Option<(SocketAddr, LeaseId)> {
        let vm = &start.endpoint.vm;
        let Ok(address) = start.endpoint.address.parse::<SocketAddr>() else {
            self.dispatch().endpoints.end_failed_connection(vm, self.clock.now(), &mut rand::rng());
            return None;
        };
        if let Some(lease) = &start.endpoint.lease {
            return Some((address, lease.clone()));
        }
        let sent = self.clock.now();
        let answer = self.workers.lease(address, &self.slot_lease_holder, ttl).await;
        let now = self.clock.now();
        let mut dispatch = self.dispatch();
        match answer {
            LeaseAnswer::Granted(lease) => {
                let held = HeldLease { address, granted_at: sent, renewed_at: sent, ttl };
                dispatch.leases.insert(SlotKey::new(vm, &lease), held);
                return Some((address, lease));
            }
            LeaseAnswer::Full => {
                dispatch.endpoints.end_connection(vm);
                dispatch.endpoints.mark_full(vm);
                dispatch.full_at.insert(start.pool.clone(), now);
            }
            LeaseAnswer::Draining => {
                dispatch.endpoints.end_connection(vm);
                drop(dispatch);
                self.mark_endpoint(vm, EndpointState::Draining);
            }
            LeaseAnswer::Unreachable(_) => dispatch.endpoints.end_failed_connection(vm, now, &mut rand::rng()),
        }
        None
    }

    /// Keeps the lease of an ended task for reuse, or releases it.
    pub fn keep_or_release(self: &Arc<Self>, pool: &PoolId, vm: &VmId, lease: LeaseId) {
        let now = self.clock.now();
        let mut dispatch = self.dispatch();
        let Some(held) = dispatch.leases.get(&SlotKey::new(vm, &lease)).cloned() else { return };
        let is_full = dispatch.full_at.get(pool).is_some_and(|at| now.since(*at) < FULL_POOL_PERIOD);
        let is_used_up = is_full && now.since(held.granted_at) >= MAX_REUSE_WHEN_FULL;
        let expires = held.renewed_at + held.ttl;
        let to_release = if is_used_up {
            dispatch.endpoints.add_free_slot(vm);
            Some(lease)
        } else {
            dispatch.endpoints.put_idle_lease(vm, lease, expires, now)
        };
        drop(dispatch);
        if let Some(lease) = to_release {
            self.release_lease(vm, &lease);
        }
    }

    /// Releases a lease at its worker.
    pub fn release_lease(self: &Arc<Self>, vm: &VmId, lease: &LeaseId) {
        let Some(held) = self.dispatch().leases.remove(&SlotKey::new(vm, lease)) else { return };
        let (entry, lease) = (Arc::clone(self), lease.clone());
        task::spawn(async move { entry.workers.release(held.address, lease).await });
    }

    /// Marks an endpoint as unavailable and releases its idle leases.
    pub fn mark_endpoint(self: &Arc<Self>, vm: &VmId, state: EndpointState) {
        let leases = self.dispatch().endpoints.mark_unavailable(vm, state, self.clock.now());
        for lease in leases {
            self.release_lease(vm, &lease);
        }
    }

    /// Maintains leases and queues: refuses expired jobs, starts waiting ones, preempts, and releases or renews leases.
    pub async fn maintain_slots(self: Arc<Self>) {
        let mut renewed_at = self.clock.now();
        let mut idle_checked_at = renewed_at;
        loop {
            task::sleep(MAINTENANCE_INTERVAL).await;
            let now = self.clock.now();
            self.refuse_expired(now);
            self.assume_free_slots(now);
            self.dispatch_all();
            self.preempt_patient(now);
            if now.since(idle_checked_at) >= IDLE_CHECK_INTERVAL {
                idle_checked_at = now;
                self.release_idle(now);
                self.dispatch().allow_trials(now);
            }
            if now.since(renewed_at) >= RENEW_AFTER {
                renewed_at = now;
                self.renew_leases(now);
            }
        }
    }

    /// Refuses urgent jobs that can no longer start in time.
    fn refuse_expired(&self, now: MonoTime) {
        let expired: Vec<_> = self.dispatch().queues.values_mut().flat_map(|queue| queue.take_expired(now)).collect();
        self.abandon_waiting(expired, &Refusal::Overloaded { retry_after: EXPIRED_RETRY_AFTER });
    }

    fn release_idle(self: &Arc<Self>, now: MonoTime) {
        let leases = self.dispatch().endpoints.take_unused_leases(now - IDLE_LEASE_RETENTION);
        for (vm, lease) in leases {
            self.release_lease(&vm, &lease);
        }
    }

    /// Assumes a free slot in pools where jobs wait and no free slot is known, because other entries release slots
    /// without notifying this one.
    fn assume_free_slots(&self, now: MonoTime) {
        let mut dispatch = self.dispatch();
        let waiting: Vec<_> =
            dispatch.queues.iter().filter(|(_, queue)| !queue.is_empty()).map(|(pool, _)| pool.clone()).collect();
        for pool in waiting {
            if dispatch.slots(&pool, now).free == 0 {
                dispatch.endpoints.assume_free_slot(&pool, now, &mut rand::rng());
            }
        }
    }

    fn renew_leases(self: &Arc<Self>, now: MonoTime) {
        let mut by_worker: Map<(VmId, SocketAddr), Vec<LeaseId>> = Map::default();
        for (slot, held) in &self.dispatch().leases {
            if now.since(held.renewed_at) >= RENEW_AFTER {
                by_worker.entry((slot.vm.clone(), held.address)).or_default().push(slot.lease.clone());
            }
        }
        for ((vm, address), leases) in by_worker {
            task::spawn(Arc::clone(self).renew_at(vm, address, leases));
        }
    }

    async fn renew_at(self: Arc<Self>, vm: VmId, address: SocketAddr, leases: Vec<LeaseId>) {
        let sent = self.clock.now();
        let Some(lapsed) = self.workers.renew(address, leases.clone()).await else { return };
        let mut dispatch = self.dispatch();
        for lease in leases {
            let slot = SlotKey::new(&vm, &lease);
            if lapsed.contains(&lease) {
                dispatch.leases.remove(&slot);
            } else if let Some(held) = dispatch.leases.get_mut(&slot) {
                held.renewed_at = held.renewed_at.max(sent);
            }
        }
    }

    /// Whether urgent jobs of a pool wait and no free slot is known.
    #[must_use]
    pub fn is_short_of_slots(&self, pool: &PoolId, now: MonoTime) -> bool {
        let dispatch = self.dispatch();
        let waits = dispatch.queues.get(pool).is_some_and(|queue| queue.count_waiting(Urgency::Urgent) > 0);
        waits && dispatch.slots(pool, now).free == 0
    }
}
