//! Ownership of job shards: each owner holds a key under a store lease.

use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::commit::Document;
use carawaybarrow_core::ids::{EntryId, ShardId, StoreVersion};
use carawaybarrow_core::journal::JobShard;
use carawaybarrow_core::membership::Member;
use carawaybarrow_core::units::Millis;

use crate::entry::{self, Entry};
use crate::shards::{self, OWNER_TIMEOUT, OwnedShard};
use crate::store::{Put, PutAnswer, StoreError};

/// Lifetime of the store lease that the owner keys are bound to.
const OWNER_LEASE_TTL: Millis = Millis(5_000);

/// Time after the last successful renewal for which an entry relies on its lease; shorter than the lifetime, so that
/// the entry stops before another one can acquire the shards.
const OWNER_LEASE_VALIDITY: Millis = Millis(4_000);

/// Interval of ownership checks and renewals.
const OWNERSHIP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time without an owner after which any entry may acquire a shard beyond its target count.
const UNOWNED_DELAY: Millis = Millis(3_000);

/// Interval at which an owner reads its shards, to observe writes that other entries made directly.
const REFRESH_INTERVAL: Millis = Millis(5_000);

fn owner_key(shard: ShardId) -> String {
    format!("owner/jobs-{shard}")
}

impl Entry {
    /// Acquires and releases shards until the entry stops, so that it owns its target count.
    pub async fn maintain_ownership(self: Arc<Self>) {
        while !self.is_stopping() {
            self.renew_ownership().await;
            if self.has_owner_lease() {
                self.acquire_shards().await;
                self.release_surplus().await;
            }
            self.refresh_shards().await;
            task::sleep(OWNERSHIP_INTERVAL).await;
        }
        self.release_ownership().await;
    }

    fn has_owner_lease(&self) -> bool {
        self.shards.lock().lease.is_some()
    }

    async fn renew_ownership(&self) {
        let lease = self.shards.lock().lease.clone();
        let sent = self.clock.now();
        let renewed = match &lease {
            Some(lease) => self.store.renew_lease(lease).await,
            None => match self.store.grant_lease(OWNER_LEASE_TTL).await {
                Ok(lease) => {
                    self.shards.lock().lease = Some(lease);
                    Ok(())
                }
                Err(e) => Err(e),
            },
        };
        let mut state = self.shards.lock();
        if renewed.is_ok() {
            state.renewed_at = sent;
            return;
        }
        let lapsed =
            renewed == Err(StoreError::LeaseLapsed) || self.clock.now().since(state.renewed_at) > OWNER_LEASE_VALIDITY;
        let had_shards = !state.owned.is_empty();
        drop(state);
        if lapsed {
            self.shards.drop_all();
            if had_shards {
                log::warn!("ownership of job shards lost");
            }
        }
    }

    /// Number of shards that this entry should own: an even split among the members that run, rounded up. A member that
    /// was lost owns none, and would leave a shard that each survivor acquires and releases again.
    fn target_shard_count(&self) -> usize {
        let members = self.config_state.members();
        let now = self.clock.now();
        let is_running = |(entry, member): &(&EntryId, &Member)| {
            let silence = self.peers.time_since_heartbeat(entry, member.process.incarnation, now);
            **entry == self.settings.entry || silence.is_some_and(|silence| silence <= OWNER_TIMEOUT)
        };
        let running = members.members.current.iter().filter(is_running).count();
        usize::from(self.shards.count).div_ceil(running.max(1))
    }

    async fn acquire_shards(self: &Arc<Self>) {
        for shard in self.find_shards_to_acquire() {
            let (lease, uncertain) = {
                let state = self.shards.lock();
                (state.lease.clone(), state.uncertain_writes.get(&shard).cloned())
            };
            let Some(lease) = lease else { return };
            // A repeated write has the value of the write without an answer, so that either of them is recognized.
            let value = uncertain.unwrap_or_else(|| format!("{} {}", self.settings.entry, entry::new_id()));
            let bytes = value.clone().into_bytes();
            let put = Put { key: owner_key(shard), expect: StoreVersion(0), bytes, lease: Some(lease) };
            match self.store.put(put).await {
                Ok(PutAnswer::Written(owner_version)) => self.start_owning(shard, owner_version).await,
                Ok(PutAnswer::Conflict(version)) => self.resolve_uncertain_write(shard, version).await,
                Err(StoreError::Lost) => drop(self.shards.lock().uncertain_writes.insert(shard, value)),
                Err(_) => return,
            }
        }
    }

    /// Starts to own a shard if its owner key was written by this entry and only the answer was lost.
    async fn resolve_uncertain_write(self: &Arc<Self>, shard: ShardId, version: StoreVersion) {
        let Some(value) = self.shards.lock().uncertain_writes.get(&shard).cloned() else { return };
        let Ok(Some(stored)) = self.store.get(&owner_key(shard)).await else { return };
        if stored.bytes == value.as_bytes() {
            self.start_owning(shard, stored.version).await;
        } else if stored.version >= version {
            self.shards.lock().uncertain_writes.remove(&shard);
        }
    }

    /// Shards without a known owner that this entry should try to acquire now.
    fn find_shards_to_acquire(&self) -> Vec<ShardId> {
        let now = self.clock.now();
        let target = self.target_shard_count();
        let mut state = self.shards.lock();
        let mut free = Vec::new();
        for shard in (0..self.shards.count).map(ShardId) {
            let is_own = state.owned.contains_key(&shard) || state.releasing.contains_key(&shard);
            if is_own || self.peers.find_owner(shard, now, OWNER_TIMEOUT).is_some() {
                state.unowned_since.remove(&shard);
                continue;
            }
            let since = *state.unowned_since.entry(shard).or_insert(now);
            free.push((shard, now.since(since) >= UNOWNED_DELAY));
        }
        let mut capacity = target.saturating_sub(state.owned.len());
        // Entries start at different shards, which reduces conflicts between them.
        let start = self.find_first_candidate();
        free.sort_by_key(|(shard, _)| (shard.0 + self.shards.count - start) % self.shards.count);
        free.retain(|(_, is_overdue)| {
            let should_acquire = *is_overdue || capacity > 0;
            capacity = capacity.saturating_sub(1);
            should_acquire
        });
        free.into_iter().map(|(shard, _)| shard).collect()
    }

    fn find_first_candidate(&self) -> u16 {
        let mut hasher = rustc_hash::FxHasher::default();
        hasher.write(self.settings.entry.as_str().as_bytes());
        // The remainder is below a u16.
        (hasher.finish() % u64::from(self.shards.count)) as u16
    }

    async fn start_owning(self: &Arc<Self>, shard: ShardId, owner_version: StoreVersion) {
        let owned = OwnedShard { owner_version, ..OwnedShard::default() };
        {
            let mut state = self.shards.lock();
            state.uncertain_writes.remove(&shard);
            state.owned.insert(shard, owned);
        }
        log::info!(shard:% = shard; "acquired a job shard");
        self.refresh_shard(shard).await;
    }

    async fn release_surplus(&self) {
        let target = self.target_shard_count();
        let surplus = {
            let state = self.shards.lock();
            let idle = |owned: &OwnedShard| !owned.writing && owned.pending.is_empty();
            let found = state.owned.iter().rev().find(|(_, owned)| idle(owned));
            found.filter(|_| state.owned.len() > target).map(|(shard, owned)| (*shard, owned.owner_version))
        };
        if let Some((shard, version)) = surplus {
            let mut state = self.shards.lock();
            state.owned.remove(&shard);
            state.releasing.insert(shard, version);
        }
        let releasing = self.shards.lock().releasing.clone();
        for (shard, version) in releasing {
            // A failed delete is repeated in the next round; otherwise renewals of the lease would keep the key.
            if self.store.delete(&owner_key(shard), version).await.is_ok() {
                self.shards.lock().releasing.remove(&shard);
                log::info!(shard:% = shard; "released a surplus job shard");
            }
        }
    }

    async fn refresh_shards(self: &Arc<Self>) {
        let now = self.clock.now();
        let old: Vec<_> = {
            let state = self.shards.lock();
            let is_old = |owned: &OwnedShard| now.since(owned.refreshed_at) >= REFRESH_INTERVAL;
            state.owned.iter().filter(|(_, owned)| is_old(owned)).map(|(shard, _)| *shard).collect()
        };
        for shard in old {
            self.refresh_shard(shard).await;
            self.ask_claimants(shard).await;
        }
        for shard in self.shards.owned() {
            self.adopt_claims(shard);
        }
    }

    pub(crate) async fn refresh_shard(self: &Arc<Self>, shard: ShardId) {
        let Ok(stored) = self.store.get(&shards::shard_key(shard)).await else { return };
        let now = self.clock.now();
        match stored.map(|s| (s.version, JobShard::decode(&s.bytes))) {
            Some((version, Ok(document))) => self.shards.apply_version(shard, version, document, now),
            Some((_, Err(e))) => log::error!(shard:% = shard, error:% = e; "a job shard can't be read"),
            None => self.shards.apply_version(shard, StoreVersion(0), JobShard::default(), now),
        }
        self.offer_waiting(shard);
    }

    /// Releases all shards at a planned stop, so that peers can acquire them without waiting for the lapse of the
    /// lease.
    pub async fn release_ownership(&self) {
        let lease = self.shards.lock().lease.clone();
        self.shards.drop_all();
        if let Some(lease) = lease {
            // If the call fails, the lease lapses by itself.
            let _ = self.store.revoke_lease(&lease).await;
        }
    }
}
