//! The operators' configuration: classes, queues, teams, pools and keys.
//!
//! The configuration is one document in the store. Each accepted change gets the next [`Revision`]. Entries send each
//! other the changes since a revision, and never replace their configuration by an older one.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::commit::{self, DecodeError, Document, RecentChanges};
use crate::finding::Findings;
use crate::ids::{ClassId, KeyId, OperatorId, PoolId, QueueId, Revision, TeamId};
use crate::keys::KeyHash;
use crate::units::{Millis, Percent, WallTime};

/// Number of change records in the document. An entry that is further behind gets a snapshot instead.
pub const MAX_CHANGE_RECORDS: usize = 256;

/// Shortest start target that a class may have.
pub const MIN_START_TARGET: Millis = Millis(10);

const MINUTES_PER_DAY: u16 = 24 * 60;

/// Service-level target of a class of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Target {
    /// A job starts within this time after its acceptance.
    Within {
        /// Time to the start.
        ms: Millis,
    },
    /// A job ends by the next occurrence of this minute of the day, in UTC.
    By {
        /// Minutes since midnight.
        minute_of_day: u16,
    },
    /// A job ends eventually; there is no deadline.
    Eventually,
}

/// A class of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// When its jobs have to start or end.
    pub target: Target,
}

/// A queue: its class, the pool that runs its jobs, and who may submit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// Class of its jobs.
    pub class: ClassId,
    /// Pool that runs its jobs.
    pub pool: PoolId,
    /// Whether work is accepted without a key.
    #[serde(default)]
    pub open_to_all: bool,
    /// Whether a job may run again after an attempt that may have started.
    #[serde(default)]
    pub idempotent: bool,
}

/// A team's share of the running jobs of a full pool, and its upper limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Share of a pool's running jobs that the team is entitled to while the pool is full.
    pub share: Percent,
    /// Maximum number of jobs that the team may have running across the fleet.
    pub limit: u32,
}

/// A span of time in which no VM moves into or out of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// Start of the window.
    pub from: WallTime,
    /// End of the window, exclusive.
    pub to: WallTime,
}

/// A pool's availability budget and the times without moves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Part of the pool's VMs that must be available at any time.
    pub min_available: Percent,
    /// Number of VMs up to which new VMs are assigned to this pool before the spare pool.
    #[serde(default)]
    pub baseline: u32,
    /// Whether this is a spare pool, whose VMs may be lent to other pools.
    #[serde(default)]
    pub spare: bool,
    /// Times in which no VM moves into or out of the pool.
    #[serde(default)]
    pub deadline_windows: Vec<Window>,
}

/// An API key that was given to a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Team whose work the key admits.
    pub team: TeamId,
    /// Hash of the key's secret.
    pub hash: KeyHash,
}

/// A configured object and the revision that last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// Revision of its last change.
    pub modified: Revision,
}

/// A change that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Creates or replaces a class.
    SetClass {
        /// Class.
        id: ClassId,
        /// New value.
        value: Class,
    },
    /// Removes a class that no queue uses.
    RemoveClass {
        /// Class.
        id: ClassId,
    },
    /// Creates or replaces a queue.
    SetQueue {
        /// Queue.
        id: QueueId,
        /// New value.
        value: Queue,
    },
    /// Removes a queue.
    RemoveQueue {
        /// Queue.
        id: QueueId,
    },
    /// Creates or replaces a team.
    SetTeam {
        /// Team.
        id: TeamId,
        /// New value.
        value: Team,
    },
    /// Removes a team that has no key.
    RemoveTeam {
        /// Team.
        id: TeamId,
    },
    /// Creates or replaces a pool.
    SetPool {
        /// Pool.
        id: PoolId,
        /// New value.
        value: Pool,
    },
    /// Removes a pool that no queue uses.
    RemovePool {
        /// Pool.
        id: PoolId,
    },
    /// Gives a key to a team. The id of a key in force can't be reused.
    GiveKey {
        /// Key.
        id: KeyId,
        /// Team and hash.
        value: Key,
    },
    /// Withdraws a key.
    WithdrawKey {
        /// Key.
        id: KeyId,
    },
}

/// An accepted change, as it is sent to other entries and shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Revision that the change created.
    pub revision: Revision,
    /// Operator who requested it.
    pub by: OperatorId,
    /// When it was applied, on the clock of the entry that received the request.
    pub at: WallTime,
    /// The change.
    pub change: Change,
}

/// A change with its author and the revision that it expects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigCommand {
    /// Operator who requests the change.
    pub by: OperatorId,
    /// Time on the clock of the entry that received the request.
    pub at: WallTime,
    /// Revision at which the object must have been changed last; 0 if it must not exist; `None` skips the check.
    pub expected: Option<Revision>,
    /// The change.
    pub change: Change,
}

/// Result of a requested change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ConfigOutcome {
    /// The change was applied and created this revision.
    Accepted {
        /// New revision.
        revision: Revision,
    },
    /// The object has changed since the expected revision, or the id of a key in force was given again.
    Conflict {
        /// The current object, as a change that would set it; absent if the object doesn't exist.
        current: Option<Box<Change>>,
        /// Revision of the object's last change; 0 if the object doesn't exist.
        modified: Revision,
        /// The rejected change.
        proposed: Box<Change>,
    },
    /// The changed configuration would break a rule, or the object to remove doesn't exist.
    Invalid {
        /// All broken rules.
        errors: Findings,
    },
}

/// What an entry sends to a peer that is behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Update {
    /// The changes after the peer's revision, oldest first.
    Changes {
        /// Change records.
        records: Vec<ChangeRecord>,
    },
    /// The whole configuration.
    Snapshot {
        /// The configuration.
        config: Box<Config>,
    },
}

/// The configuration document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Revision of the last accepted change.
    pub revision: Revision,
    /// Classes of work.
    pub classes: BTreeMap<ClassId, Versioned<Class>>,
    /// Queues.
    pub queues: BTreeMap<QueueId, Versioned<Queue>>,
    /// Teams.
    pub teams: BTreeMap<TeamId, Versioned<Team>>,
    /// Pools.
    pub pools: BTreeMap<PoolId, Versioned<Pool>>,
    /// Keys in force. A withdrawn key is absent.
    pub keys: BTreeMap<KeyId, Versioned<Key>>,
    /// The last [`MAX_CHANGE_RECORDS`] changes.
    records: VecDeque<ChangeRecord>,
    recent: RecentChanges,
}

impl Config {
    /// The team whose key has this hash.
    #[must_use]
    pub fn find_key(&self, hash: &KeyHash) -> Option<(&KeyId, &TeamId)> {
        self.keys.iter().find(|(_, key)| key.value.hash == *hash).map(|(id, key)| (id, &key.value.team))
    }

    /// The last [`MAX_CHANGE_RECORDS`] accepted changes, oldest first.
    pub fn records(&self) -> impl Iterator<Item = &ChangeRecord> {
        self.records.iter()
    }

    /// The update that a peer at `revision` lacks; `None` if it lacks nothing.
    #[must_use]
    pub fn update_since(&self, revision: Revision) -> Option<Update> {
        if revision >= self.revision {
            return None;
        }
        let records: Vec<_> = self.records.iter().filter(|r| r.revision > revision).cloned().collect();
        if records.first().is_some_and(|r| r.revision == revision.next()) {
            Some(Update::Changes { records })
        } else {
            Some(Update::Snapshot { config: Box::new(self.clone()) })
        }
    }

    /// Applies a peer's update as far as it is newer and has no gap. Returns whether anything changed.
    pub fn apply_update(&mut self, update: Update) -> bool {
        match update {
            Update::Snapshot { config } if config.revision > self.revision => {
                *self = *config;
                true
            }
            Update::Snapshot { .. } => false,
            Update::Changes { records } => {
                let before = self.revision;
                for record in records {
                    // A gap means that the update answers an earlier request; the next heartbeat triggers a new one.
                    if record.revision == self.revision.next() {
                        self.apply_record(record);
                    }
                }
                self.revision > before
            }
        }
    }

    fn apply_record(&mut self, record: ChangeRecord) {
        self.set_object(&record.change, record.revision);
        self.revision = record.revision;
        if self.records.len() == MAX_CHANGE_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    fn set_object(&mut self, change: &Change, modified: Revision) {
        match change {
            Change::SetClass { id, value } => set_versioned(&mut self.classes, id, *value, modified),
            Change::SetQueue { id, value } => set_versioned(&mut self.queues, id, value.clone(), modified),
            Change::SetTeam { id, value } => set_versioned(&mut self.teams, id, *value, modified),
            Change::SetPool { id, value } => set_versioned(&mut self.pools, id, value.clone(), modified),
            Change::GiveKey { id, value } => set_versioned(&mut self.keys, id, value.clone(), modified),
            Change::RemoveClass { id } => drop(self.classes.remove(id)),
            Change::RemoveQueue { id } => drop(self.queues.remove(id)),
            Change::RemoveTeam { id } => drop(self.teams.remove(id)),
            Change::RemovePool { id } => drop(self.pools.remove(id)),
            Change::WithdrawKey { id } => drop(self.keys.remove(id)),
        }
    }

    /// The current object that a change refers to, as a change that would set it, and the revision of its last change.
    #[must_use]
    pub fn find_current(&self, change: &Change) -> Option<(Change, Revision)> {
        match change {
            Change::SetClass { id, .. } | Change::RemoveClass { id } => {
                let class = self.classes.get(id)?;
                Some((Change::SetClass { id: id.clone(), value: class.value }, class.modified))
            }
            Change::SetQueue { id, .. } | Change::RemoveQueue { id } => {
                let queue = self.queues.get(id)?;
                Some((Change::SetQueue { id: id.clone(), value: queue.value.clone() }, queue.modified))
            }
            Change::SetTeam { id, .. } | Change::RemoveTeam { id } => {
                let team = self.teams.get(id)?;
                Some((Change::SetTeam { id: id.clone(), value: team.value }, team.modified))
            }
            Change::SetPool { id, .. } | Change::RemovePool { id } => {
                let pool = self.pools.get(id)?;
                Some((Change::SetPool { id: id.clone(), value: pool.value.clone() }, pool.modified))
            }
            Change::GiveKey { id, .. } | Change::WithdrawKey { id } => {
                let key = self.keys.get(id)?;
                Some((Change::GiveKey { id: id.clone(), value: key.value.clone() }, key.modified))
            }
        }
    }

    /// Checks all rules of the configuration and returns those that are broken.
    #[must_use]
    pub fn validate(&self) -> Findings {
        let mut findings = Findings::new();
        self.validate_classes(&mut findings);
        self.validate_queues(&mut findings);
        self.validate_teams(&mut findings);
        self.validate_pools(&mut findings);
        self.validate_keys(&mut findings);
        findings
    }

    fn validate_classes(&self, findings: &mut Findings) {
        for (id, class) in &self.classes {
            match class.value.target {
                Target::Within { ms } if ms < MIN_START_TARGET => {
                    findings.add(format!("classes.{id}.target.ms"), format!("{ms} is below {MIN_START_TARGET}"));
                }
                Target::By { minute_of_day } if minute_of_day >= MINUTES_PER_DAY => {
                    let message = format!("{minute_of_day} is not a minute from 0 to {}", MINUTES_PER_DAY - 1);
                    findings.add(format!("classes.{id}.target.minute_of_day"), message);
                }
                _ => {}
            }
        }
    }

    fn validate_queues(&self, findings: &mut Findings) {
        for (id, queue) in &self.queues {
            if !self.classes.contains_key(&queue.value.class) {
                findings.add(format!("queues.{id}.class"), format!("there is no class {}", queue.value.class));
            }
            if !self.pools.contains_key(&queue.value.pool) {
                findings.add(format!("queues.{id}.pool"), format!("there is no pool {}", queue.value.pool));
            }
        }
    }

    fn validate_teams(&self, findings: &mut Findings) {
        let total: u32 = self.teams.values().map(|t| u32::from(t.value.share.get())).sum();
        if total > 100 {
            findings.add("teams", format!("the shares add up to {total}%, which is above 100%"));
        }
        for (id, team) in &self.teams {
            if team.value.limit == 0 {
                findings.add(format!("teams.{id}.limit"), "0 would never let a job of the team start");
            }
        }
    }

    fn validate_pools(&self, findings: &mut Findings) {
        for (id, pool) in &self.pools {
            for (i, window) in pool.value.deadline_windows.iter().enumerate() {
                if window.from >= window.to {
                    findings.add(format!("pools.{id}.deadline_windows[{i}]"), "the end is not after the start");
                }
            }
        }
    }

    fn validate_keys(&self, findings: &mut Findings) {
        let mut hashes = BTreeMap::new();
        for (id, key) in &self.keys {
            if !self.teams.contains_key(&key.value.team) {
                findings.add(format!("keys.{id}.team"), format!("there is no team {}", key.value.team));
            }
            if let Some(other) = hashes.insert(&key.value.hash, id) {
                findings.add(format!("keys.{id}.hash"), format!("key {other} has the same secret"));
            }
        }
    }

    fn find_conflict(&self, command: &ConfigCommand) -> Option<ConfigOutcome> {
        let current = self.find_current(&command.change);
        let modified = current.as_ref().map_or(Revision(0), |(_, modified)| *modified);
        // The id of a key in force can't be reused, even without an expected revision: a second secret under the same
        // id would make the change records ambiguous.
        let is_second_key = matches!(command.change, Change::GiveKey { .. }) && current.is_some();
        let is_unexpected = command.expected.is_some_and(|expected| expected != modified);
        (is_second_key || is_unexpected).then(|| ConfigOutcome::Conflict {
            current: current.map(|(change, _)| Box::new(change)),
            modified,
            proposed: Box::new(command.change.clone()),
        })
    }

    fn find_missing_object(&self, change: &Change) -> Findings {
        let mut findings = Findings::new();
        if self.find_current(change).is_none() {
            match change {
                Change::RemoveClass { id } => findings.add(format!("classes.{id}"), "there is no such class"),
                Change::RemoveQueue { id } => findings.add(format!("queues.{id}"), "there is no such queue"),
                Change::RemoveTeam { id } => findings.add(format!("teams.{id}"), "there is no such team"),
                Change::RemovePool { id } => findings.add(format!("pools.{id}"), "there is no such pool"),
                Change::WithdrawKey { id } => findings.add(format!("keys.{id}"), "there is no such key"),
                _ => {}
            }
        }
        findings
    }
}

fn set_versioned<K: Ord + Clone, V>(map: &mut BTreeMap<K, Versioned<V>>, id: &K, value: V, modified: Revision) {
    map.insert(id.clone(), Versioned { value, modified });
}

impl Document for Config {
    type Command = ConfigCommand;
    type Outcome = ConfigOutcome;

    fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        commit::decode_json("configuration", bytes)
    }

    fn encode(&self) -> Vec<u8> {
        commit::encode_json(self)
    }

    fn apply(&mut self, command: &ConfigCommand) -> ConfigOutcome {
        if let Some(conflict) = self.find_conflict(command) {
            return conflict;
        }
        let absent = self.find_missing_object(&command.change);
        if !absent.is_empty() {
            return ConfigOutcome::Invalid { errors: absent };
        }
        let mut next = self.clone();
        let revision = self.revision.next();
        let ConfigCommand { by, at, change, .. } = command.clone();
        next.apply_record(ChangeRecord { revision, by, at, change });
        let errors = next.validate();
        if !errors.is_empty() {
            return ConfigOutcome::Invalid { errors };
        }
        *self = next;
        ConfigOutcome::Accepted { revision }
    }

    fn is_change(outcome: &ConfigOutcome) -> bool {
        matches!(outcome, ConfigOutcome::Accepted { .. })
    }

    fn recent(&self) -> &RecentChanges {
        &self.recent
    }

    fn recent_mut(&mut self) -> &mut RecentChanges {
        &mut self.recent
    }
}
