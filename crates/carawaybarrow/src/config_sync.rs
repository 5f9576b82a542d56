//! The configuration and the member list as this entry holds them, and how they stay current.

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

/// Time that one watch waits at the store.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed watch.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// A configuration with an index of its keys.
#[derive(Debug, Default)]
pub struct Held {
    /// The configuration.
    pub config: Config,
    /// Version of the configuration in the store.
    pub version: StoreVersion,
    teams: Map<KeyHash, TeamId>,
}

impl Held {
    fn new(config: Config, version: StoreVersion) -> Self {
        let teams = config.keys.values().map(|key| (key.value.hash.clone(), key.value.team.clone())).collect();
        Self { config, version, teams }
    }

    /// The team of a key; `None` for an unknown or withdrawn key.
    #[must_use]
    pub fn find_team(&self, hash: &KeyHash) -> Option<&TeamId> {
        self.teams.get(hash)
    }
}

/// A configuration update between entries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// What the receiver lacks; absent if it lacks nothing.
    pub update: Option<Update>,
    /// Version of the sender's configuration in the store.
    pub version: StoreVersion,
}

/// A member list between entries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembersUpdate {
    /// Members.
    pub members: Members,
    /// Version of the list in the store.
    pub version: StoreVersion,
}

/// Holds the configuration and the member list; neither ever goes back to an older one.
#[derive(Debug, Default)]
pub struct Holder {
    config: RwLock<Arc<Held>>,
    members: RwLock<Arc<MembersUpdate>>,
}

impl Default for MembersUpdate {
    fn default() -> Self {
        Self { members: Members::default(), version: StoreVersion(0) }
    }
}

impl Holder {
    /// The configuration in force here.
    #[must_use]
    pub fn config(&self) -> Arc<Held> {
        Arc::clone(&self.config.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// The member list held here.
    #[must_use]
    pub fn members(&self) -> Arc<MembersUpdate> {
        Arc::clone(&self.members.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes a configuration. Returns whether it is newer than the one held.
    fn install_config(&self, config: Config, version: StoreVersion) -> bool {
        let mut held = self.config.write().unwrap_or_else(PoisonError::into_inner);
        // The same revision may come with a newer version if a change id was written without a change.
        if config.revision < held.config.revision || version < held.version {
            return false;
        }
        let is_newer = config.revision > held.config.revision;
        *held = Arc::new(Held::new(config, version));
        is_newer
    }

    fn install_members(&self, update: MembersUpdate) -> bool {
        let mut held = self.members.write().unwrap_or_else(PoisonError::into_inner);
        if update.version <= held.version {
            return false;
        }
        *held = Arc::new(update);
        true
    }
}

impl Entry {
    /// Takes a configuration from the store or a peer.
    pub fn take_config(&self, config: Config, version: StoreVersion) {
        let revision = config.revision;
        if self.holder.install_config(config, version) {
            self.metrics.set_revision(revision.0);
            log::info!(revision = revision.0; "configuration in force");
            self.freshness().apply_config_revision(revision, self.clock.now());
            self.refresh_dispatch();
        }
    }

    /// Takes a member list from the store or a peer.
    pub fn take_members(&self, update: MembersUpdate) {
        let members = update.members.clone();
        if self.holder.install_members(update) {
            log::info!(revision = members.revision.0, members = members.current.len(); "member list taken");
            self.freshness().apply_members(&members, self.clock.now());
            // Evidence of an earlier list counts no more, so a new entry and its peers would be without any until the
            // next probe. A full channel means that a probe is about to follow.
            let _ = self.probe_wake.0.try_send(());
        }
    }

    /// What a peer at `revision` lacks.
    #[must_use]
    pub fn config_since(&self, revision: Revision) -> ConfigUpdate {
        let held = self.holder.config();
        ConfigUpdate { update: held.config.update_since(revision), version: held.version }
    }

    /// Takes what a peer sent.
    pub fn take_config_update(&self, update: ConfigUpdate) {
        let Some(changes) = update.update else { return };
        let mut config = self.holder.config().config.clone();
        if config.apply_update(changes) {
            self.take_config(config, update.version);
        }
    }

    /// Commits a change of the configuration.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached, or did not tell whether the change took effect.
    pub async fn change_config(&self, command: ConfigCommand) -> Result<ConfigOutcome, CommitError> {
        let held = self.holder.config();
        let mut commit = Commit::<Config>::new(self.new_change_id(), vec![command]);
        if held.version > StoreVersion(0) {
            commit = commit.with_base(held.version, held.config.clone());
        }
        let Committed { outcomes, version, document } = store::run_commit(&*self.store, CONFIG_KEY, commit).await?;
        self.take_config(document, version);
        outcomes.into_iter().next().ok_or(CommitError::Unknown)
    }

    /// Commits a change of the member list.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached, or did not tell whether the change took effect.
    pub async fn change_members(&self, command: MembersCommand) -> Result<MembersOutcome, CommitError> {
        let commit = Commit::<Members>::new(self.new_change_id(), vec![command]);
        let Committed { outcomes, version, document } = store::run_commit(&*self.store, MEMBERS_KEY, commit).await?;
        self.take_members(MembersUpdate { members: document, version });
        outcomes.into_iter().next().ok_or(CommitError::Unknown)
    }

    /// Joins the members; repeats until the store has taken it.
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

    /// Keeps the configuration current by a watch.
    pub async fn watch_config(self: Arc<Self>) {
        loop {
            let after = self.holder.config().version;
            match self.store.watch(CONFIG_KEY, after, WATCH_WAIT).await {
                Ok(Some(stored)) => match Config::decode(&stored.bytes) {
                    Ok(config) => self.take_config(config, stored.version),
                    Err(e) => {
                        log::error!(error:% = e; "the stored configuration can't be read");
                        task::sleep(WATCH_PAUSE).await;
                    }
                },
                Ok(None) => {}
                Err(_) => task::sleep(WATCH_PAUSE).await,
            }
        }
    }

    /// Probes the store at intervals, and reads what turns out to be old.
    pub async fn probe_store(self: Arc<Self>) {
        loop {
            // A second probe follows at once after a read, so that a new entry is fresh without waiting.
            let pause = match self.probe().await {
                ProbeResult::Answered { config_current, members_current } if !(config_current && members_current) => {
                    self.read_old(config_current, members_current).await;
                    store::backoff(2)
                }
                _ => PROBE_INTERVAL.to_duration(),
            };
            // The end of the wait and a wake-up lead to the same next probe.
            let _ = future::timeout(pause, self.probe_wake.1.recv()).await;
        }
    }

    /// Probes the store and notes the result.
    pub async fn probe(&self) -> ProbeResult {
        let sent = self.clock.now();
        let probe = self.probe_versions().await.unwrap_or(ProbeResult::NotReachable);
        let now = self.clock.now();
        let fresh = {
            let mut freshness = self.freshness();
            freshness.handle_probe(sent, probe, now);
            freshness.is_fresh(now).is_ok()
        };
        self.set_store_reachable(!matches!(probe, ProbeResult::NotReachable));
        self.note_fresh(fresh);
        probe
    }

    async fn probe_versions(&self) -> Result<ProbeResult, StoreError> {
        let config = store::probe_version(&*self.store, CONFIG_KEY).await?;
        let members = store::probe_version(&*self.store, MEMBERS_KEY).await?;
        Ok(ProbeResult::Answered {
            config_current: self.holder.config().version == config,
            members_current: self.holder.members().version == members,
        })
    }

    async fn read_old(&self, config_current: bool, members_current: bool) {
        if !config_current
            && let Ok(Some(stored)) = self.store.get(CONFIG_KEY).await
            && let Ok(config) = Config::decode(&stored.bytes)
        {
            self.take_config(config, stored.version);
        }
        if !members_current {
            self.read_members().await;
        }
    }

    /// Reads the member list from the store.
    pub async fn read_members(&self) {
        if let Ok(Some(stored)) = self.store.get(MEMBERS_KEY).await
            && let Ok(members) = Members::decode(&stored.bytes)
        {
            self.take_members(MembersUpdate { members, version: stored.version });
        }
    }
}
