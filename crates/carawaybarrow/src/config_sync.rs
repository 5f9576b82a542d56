//! This entry's copies of the configuration and the member list, and the watches and probes that keep them current.

use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use async_std::{future, task};
use carawaybarrow_core::Map;
use carawaybarrow_core::commit::{Commit, Document};
use carawaybarrow_core::config::{Config, ConfigCommand, ConfigOutcome, Update};
use carawaybarrow_core::freshness::{PROBE_INTERVAL, ProbeResult};
use carawaybarrow_core::ids::{Revision, StoreVersion, TeamId};
use carawaybarrow_core::keys::KeyHash;
use carawaybarrow_core::membership::{Members, MembersCommand, MembersOutcome, Process};
use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::store::{self, CommitError, Committed, StoreError};

/// Store key of the configuration.
pub const CONFIG_KEY: &str = "config";

/// Store key of the member list.
pub const MEMBERS_KEY: &str = "members";

/// Maximum duration of one watch call to the store.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before a failed watch is repeated.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// An immutable configuration with an index of its API keys.
#[derive(Debug, Default)]
pub struct ConfigSnapshot {
    /// The configuration.
    pub config: Config,
    /// Version of the configuration in the store; 0 before it was read.
    pub version: StoreVersion,
    teams: Map<KeyHash, TeamId>,
}

impl ConfigSnapshot {
    fn new(config: Config, version: StoreVersion) -> Self {
        let teams = config.keys.values().map(|key| (key.value.hash.clone(), key.value.team.clone())).collect();
        Self { config, version, teams }
    }

    /// The team of an API key; `None` for an unknown or withdrawn key.
    #[must_use]
    pub fn find_team(&self, hash: &KeyHash) -> Option<&TeamId> {
        self.teams.get(hash)
    }
}

/// A configuration update that one entry sends to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// Changes that the receiver lacks; absent if its configuration is current.
    pub update: Option<Update>,
    /// Version of the sender's configuration in the store.
    pub version: StoreVersion,
}

/// A member list with its version, as entries send it to each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VersionedMembers {
    /// The member list.
    pub members: Members,
    /// Version of the list in the store.
    pub version: StoreVersion,
}

/// The current configuration and member list. An older one never replaces a newer one.
#[derive(Debug, Default)]
pub struct ConfigState {
    config: RwLock<Arc<ConfigSnapshot>>,
    members: RwLock<Arc<VersionedMembers>>,
}

impl Default for VersionedMembers {
    fn default() -> Self {
        Self { members: Members::default(), version: StoreVersion(0) }
    }
}

impl ConfigState {
    /// The configuration in force at this entry.
    #[must_use]
    pub fn config(&self) -> Arc<ConfigSnapshot> {
        Arc::clone(&self.config.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// The member list in force at this entry.
    #[must_use]
    pub fn members(&self) -> Arc<VersionedMembers> {
        Arc::clone(&self.members.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the configuration unless the given one is older. Returns whether its revision is newer.
    fn install_config(&self, config: Config, version: StoreVersion) -> bool {
        let mut current = self.config.write().unwrap_or_else(PoisonError::into_inner);
        // A write that adds only a change id gives the same revision a newer version.
        if config.revision < current.config.revision || version < current.version {
            return false;
        }
        let is_newer = config.revision > current.config.revision;
        *current = Arc::new(ConfigSnapshot::new(config, version));
        is_newer
    }

    /// Replaces the member list if the given one is newer. Returns whether it was replaced.
    fn install_members(&self, update: VersionedMembers) -> bool {
        let mut current = self.members.write().unwrap_or_else(PoisonError::into_inner);
        if update.version <= current.version {
            return false;
        }
        *current = Arc::new(update);
        true
    }
}

impl Entry {
    /// Applies a configuration from the store or a peer, unless it is older than the current one.
    pub fn apply_config(&self, config: Config, version: StoreVersion) {
        let revision = config.revision;
        if self.config_state.install_config(config, version) {
            self.metrics.set_revision(revision.0);
            log::info!(revision = revision.0; "applied a newer configuration revision");
            self.freshness().apply_config_revision(revision, self.clock.now());
            self.refresh_dispatch_config();
        }
    }

    /// Applies a member list from the store or a peer, unless it is older than the current one.
    pub fn apply_members(&self, update: VersionedMembers) {
        let members = update.members.clone();
        if self.config_state.install_members(update) {
            log::info!(revision = members.revision.0, members = members.current.len(); "member list updated");
            self.freshness().apply_members(&members, self.clock.now());
            // Evidence of freshness for an earlier list is no longer valid, so a new entry and its peers would have none
            // until the next probe. If the channel is full, a probe is already requested.
            let _ = self.probe_requests.0.try_send(());
        }
    }

    /// The changes that a peer with the configuration of `revision` lacks.
    #[must_use]
    pub fn config_since(&self, revision: Revision) -> ConfigUpdate {
        let snapshot = self.config_state.config();
        ConfigUpdate { update: snapshot.config.update_since(revision), version: snapshot.version }
    }

    /// Applies a configuration update from a peer.
    pub fn apply_config_update(&self, update: ConfigUpdate) {
        let Some(changes) = update.update else { return };
        let mut config = self.config_state.config().config.clone();
        if config.apply_update(changes) {
            self.apply_config(config, update.version);
        }
    }

    /// Commits a change of the configuration.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached, or if it is unknown whether the change took effect.
    pub async fn change_config(&self, command: ConfigCommand) -> Result<ConfigOutcome, CommitError> {
        let snapshot = self.config_state.config();
        let mut commit = Commit::<Config>::new(self.new_change_id(), vec![command]);
        if snapshot.version > StoreVersion(0) {
            commit = commit.with_base(snapshot.version, snapshot.config.clone());
        }
        let Committed { outcomes, version, document } = store::run_commit(&*self.store, CONFIG_KEY, commit).await?;
        self.apply_config(document, version);
        outcomes.into_iter().next().ok_or(CommitError::Unknown)
    }

    /// Commits a change of the member list.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached, or if it is unknown whether the change took effect.
    pub async fn change_members(&self, command: MembersCommand) -> Result<MembersOutcome, CommitError> {
        let commit = Commit::<Members>::new(self.new_change_id(), vec![command]);
        let Committed { outcomes, version, document } = store::run_commit(&*self.store, MEMBERS_KEY, commit).await?;
        self.apply_members(VersionedMembers { members: document, version });
        outcomes.into_iter().next().ok_or(CommitError::Unknown)
    }

    /// Adds this entry to the member list, and retries until the store has confirmed it.
    pub async fn join(&self) {
        let process = Process {
            incarnation: self.incarnation,
            peer_address: self.peer_address(),
            client_address: self.caller_address(),
            data_centre: self.settings.data_centre.clone(),
            joined_at: self.clock.wall(),
        };
        let mut failures = 0;
        loop {
            let command = MembersCommand::Join { entry: self.settings.entry.clone(), process: process.clone() };
            match self.change_members(command).await {
                Ok(_) => return,
                Err(e) => log::warn!(error:% = e; "can't join the members yet"),
            }
            task::sleep(store::backoff(failures)).await;
            failures += 1;
        }
    }

    /// Keeps the configuration current by watching it in the store.
    pub async fn watch_config(self: Arc<Self>) {
        loop {
            let after = self.config_state.config().version;
            match self.store.watch(CONFIG_KEY, after, WATCH_TIMEOUT).await {
                Ok(Some(stored)) => match Config::decode(&stored.bytes) {
                    Ok(config) => self.apply_config(config, stored.version),
                    Err(e) => {
                        log::error!(error:% = e; "the stored configuration can't be read");
                        task::sleep(WATCH_RETRY_DELAY).await;
                    }
                },
                Ok(None) => {}
                Err(_) => task::sleep(WATCH_RETRY_DELAY).await,
            }
        }
    }

    /// Probes the store at intervals, and reads the documents that a probe shows to be stale.
    pub async fn probe_store(self: Arc<Self>) {
        loop {
            // After a read, the next probe follows after a short delay instead of the interval, so that a new entry
            // becomes fresh soon.
            let pause = match self.probe().await {
                ProbeResult::Answered { config_current, members_current } if !(config_current && members_current) => {
                    self.read_stale_documents(config_current, members_current).await;
                    store::backoff(2)
                }
                _ => PROBE_INTERVAL.to_duration(),
            };
            // The next probe follows both after the timeout and after a request for one.
            let _ = future::timeout(pause, self.probe_requests.1.recv()).await;
        }
    }

    /// Probes the store and records the result.
    pub async fn probe(&self) -> ProbeResult {
        let sent = self.clock.now();
        let probe = self.probe_versions().await.unwrap_or(ProbeResult::NotReachable);
        let now = self.clock.now();
        let fresh = {
            let mut freshness = self.freshness();
            freshness.handle_probe(sent, probe, now);
            freshness.check_freshness(now).is_ok()
        };
        self.set_store_reachable(!matches!(probe, ProbeResult::NotReachable));
        self.record_freshness(fresh);
        probe
    }

    /// Compares the versions of the configuration and the member list with those in the store.
    async fn probe_versions(&self) -> Result<ProbeResult, StoreError> {
        let config = store::probe_version(&*self.store, CONFIG_KEY).await?;
        let members = store::probe_version(&*self.store, MEMBERS_KEY).await?;
        Ok(ProbeResult::Answered {
            config_current: self.config_state.config().version == config,
            members_current: self.config_state.members().version == members,
        })
    }

    /// Reads those of the configuration and the member list that aren't current.
    async fn read_stale_documents(&self, config_current: bool, members_current: bool) {
        if !config_current
            && let Ok(Some(stored)) = self.store.get(CONFIG_KEY).await
            && let Ok(config) = Config::decode(&stored.bytes)
        {
            self.apply_config(config, stored.version);
        }
        if !members_current {
            self.read_members().await;
        }
    }

    /// Reads the member list from the store and applies it. A failed read changes nothing.
    pub async fn read_members(&self) {
        if let Ok(Some(stored)) = self.store.get(MEMBERS_KEY).await
            && let Ok(members) = Members::decode(&stored.bytes)
        {
            self.apply_members(VersionedMembers { members, version: stored.version });
        }
    }
}
