//! Synchronizes this entry's permits with the store, and reclaims permits of departed entries.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::{future, task};
use carawaybarrow_core::commit::{Commit, Document};
use carawaybarrow_core::ids::{EntryId, Incarnation, ShardId, StoreVersion, TeamId};
use carawaybarrow_core::membership::MembersCommand;
use carawaybarrow_core::quota::{Quota, QuotaCommand};
use carawaybarrow_core::units::{Millis, MonoTime};

use crate::entry::Entry;
use crate::store::{self, Committed};

/// Store key of the permits. There is only one quota shard.
const QUOTA_KEY: &str = "quota/0";

/// Interval of checks for missing permits; short compared with the time in which urgent work has to start.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of scans of all teams while no start lacks a permit. A scan visits each team.
const SCAN_INTERVAL: Millis = Millis(250);

/// Interval of reads of the quota document, to observe the unmet demand of other entries and lowered limits.
const READ_INTERVAL: Millis = Millis(1_000);

/// Timeout of a connection attempt to a departed entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which the permits of departed entries are checked for reclaim.
const RECLAIM_INTERVAL: Millis = Millis(2_000);

/// The shard whose owner is the coordinator: it also plans the fleet, reclaims permits and writes the ledger lines of
/// changes, so that this work needs no lease of its own.
pub const COORDINATOR_SHARD: ShardId = ShardId(0);

/// Name under which an incarnation of an entry holds slot leases. It includes the incarnation to distinguish tasks of
/// an earlier process of the same entry.
#[must_use]
pub fn lease_holder(entry: &EntryId, incarnation: Incarnation) -> String {
    format!("{entry}.{incarnation}")
}

impl Entry {
    /// Whether this entry is the coordinator: the owner of [`COORDINATOR_SHARD`], which does the maintenance that one
    /// entry does for all.
    #[must_use]
    pub fn is_coordinator(&self) -> bool {
        self.shards.read(COORDINATOR_SHARD, |_| ()).is_some()
    }

    /// Requests permits, returns idle ones, and, as the coordinator, reclaims those of departed entries.
    pub async fn maintain_permits(self: Arc<Self>) {
        let (mut read_at, mut scanned_at) = (MonoTime(0), MonoTime(0));
        let mut reclaimed_at = self.clock.now();
        loop {
            task::sleep(CHECK_INTERVAL).await;
            let now = self.clock.now();
            let lacks_permits = std::mem::take(&mut self.dispatch().lacks_permits);
            if !lacks_permits && now.since(scanned_at) < SCAN_INTERVAL {
                continue;
            }
            scanned_at = now;
            let commands = self.dispatch().permits.next_commands(now);
            if !commands.is_empty() {
                self.commit_permits(commands).await;
                read_at = now;
            } else if now.since(read_at) >= READ_INTERVAL {
                self.read_permits().await;
                read_at = now;
            }
            if now.since(reclaimed_at) >= RECLAIM_INTERVAL && self.is_coordinator() {
                self.reclaim_departed().await;
                reclaimed_at = now;
            }
        }
    }

    async fn commit_permits(self: &Arc<Self>, commands: Vec<QuotaCommand>) {
        let commit = Commit::<Quota>::new(self.new_change_id(), commands);
        match store::run_commit(&*self.store, QUOTA_KEY, commit).await {
            Ok(Committed { version, document, .. }) => {
                self.dispatch().permits.apply_commit(version, &document);
                self.dispatch_all();
            }
            Err(_) => self.dispatch().permits.mark_commit_uncertain(),
        }
    }

    async fn read_permits(self: &Arc<Self>) {
        if let Ok(Some(stored)) = self.store.get(QUOTA_KEY).await
            && let Ok(document) = Quota::decode(&stored.bytes)
        {
            self.dispatch().permits.apply_document(stored.version, &document);
            self.dispatch_all();
        }
    }

    async fn reclaim_departed(&self) {
        self.detect_ended_processes().await;
        let now = self.clock.now();
        let reclaimable: Vec<_> = {
            let members = self.config_state.members();
            let freshness = self.freshness();
            let is_reclaimable =
                |entry: &EntryId, incarnation| freshness.confirmations().may_reclaim(entry, incarnation, now).is_ok();
            let departed = members.members.departed.iter();
            departed
                .filter(|d| is_reclaimable(&d.entry, d.incarnation))
                .map(|d| (d.entry.clone(), d.incarnation))
                .collect()
        };
        for (entry, incarnation) in reclaimable {
            self.reclaim(entry, incarnation).await;
        }
        let oldest_in_use = self.freshness().confirmations().find_oldest_list_in_use(self.clock.now());
        if let Some(revision) = oldest_in_use {
            // A failed attempt is repeated in the next round.
            let _ = self.change_members(MembersCommand::Settle { revision }).await;
        }
        self.remove_silent_members().await;
    }

    /// Returns all permits at a planned stop, except those of tasks that still run. This entry starts no task
    /// afterwards, so its peers need not wait for the reclaim delay.
    pub async fn return_all_permits(&self) {
        let in_use = |(team, count): (&TeamId, u32)| (count > 0).then(|| (team.clone(), count));
        let keep = self.dispatch().permits.in_use().filter_map(in_use).collect();
        let (entry, incarnation) = (self.settings.entry.clone(), self.incarnation);
        let command = QuotaCommand::Reclaim { entry, incarnation, keep };
        let commit = Commit::<Quota>::new(self.new_change_id(), vec![command]);
        // If it fails, the peers reclaim the permits after the delay.
        drop(store::run_commit(&*self.store, QUOTA_KEY, commit).await);
    }

    /// Records departed processes whose address refuses connections, which shows that the process has ended.
    async fn detect_ended_processes(&self) {
        let departed = self.config_state.members().members.departed.clone();
        for process in departed {
            let connect = future::timeout(CONNECT_TIMEOUT, TcpStream::connect(process.peer_address)).await;
            let is_refused = matches!(connect, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused);
            if is_refused {
                let now = self.clock.now();
                self.freshness().confirmations_mut().record_connection_refused(
                    &process.entry,
                    process.incarnation,
                    now,
                );
            }
        }
    }

    async fn reclaim(&self, entry: EntryId, incarnation: Incarnation) {
        let keep = self.fleet.count_tasks(&lease_holder(&entry, incarnation));
        let is_done = keep.is_empty();
        if self.is_reclaimed(&entry, incarnation, &keep).await {
            if is_done {
                let _ = self.change_members(MembersCommand::Forget { entry, incarnation }).await;
            }
            return;
        }
        log::info!(entry:% = entry, incarnation:% = incarnation, kept = keep.len(); "permits of a departed entry reclaimed");
        let command = QuotaCommand::Reclaim { entry, incarnation, keep };
        let commit = Commit::<Quota>::new(self.new_change_id(), vec![command]);
        // A failed attempt is repeated in the next round.
        drop(store::run_commit(&*self.store, QUOTA_KEY, commit).await);
    }

    async fn is_reclaimed(&self, entry: &EntryId, incarnation: Incarnation, keep: &BTreeMap<TeamId, u32>) -> bool {
        let Ok(stored) = self.store.get(QUOTA_KEY).await else { return false };
        let document = match stored {
            Some(stored) if stored.version > StoreVersion(0) => Quota::decode(&stored.bytes),
            _ => Ok(Quota::default()),
        };
        document.is_ok_and(|d| d.is_fenced(entry, incarnation) && d.held_by(entry, incarnation) == *keep)
    }

    /// Removes members that have been silent for long; none unless this entry's own probe of the store is fresh.
    async fn remove_silent_members(&self) {
        let silent = self.freshness().find_silent(self.clock.now());
        for (entry, incarnation) in silent {
            log::warn!(entry:% = entry; "silent entry removed from the members");
            // A failed attempt is repeated in the next round.
            let _ = self.change_members(MembersCommand::Remove { entry, incarnation }).await;
        }
    }
}
