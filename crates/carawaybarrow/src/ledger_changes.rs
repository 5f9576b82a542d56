//! Ledger lines of configuration changes, keys, moves and drains, written by the coordinator, the owner of shard 0.
//!
//! The document `ledger/cursor` holds the state up to which lines were made, and the lines that are not yet stored. A
//! new coordinator continues from it, so that the lines don't depend on which entry writes them.

use std::collections::BTreeMap;

use carawaybarrow_core::commit::{self, Commit, DecodeError, Document, RecentChanges};
use carawaybarrow_core::config::Config;
use carawaybarrow_core::fleet::{DrainCause, DrainPermit, Fleet, Vm, VmState};
use carawaybarrow_core::ids::{OperatorId, PoolId, Revision, StoreVersion, VmId};
use carawaybarrow_core::ledger::{DrainEvent, Line, Month};
use carawaybarrow_core::units::WallTime;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::entry::Entry;
use crate::ledger_segments::SegmentWriter;
use crate::quota_sync::COORDINATOR_SHARD;
use crate::store::{self, CommitError, Committed};

/// Store key of the cursor.
const CURSOR_KEY: &str = "ledger/cursor";

/// Maximum number of lines per append. A change takes at most about 8 KB as JSON within JSON, so they fit an empty
/// segment.
const MAX_BATCH_LINES: usize = 50;

/// Maximum number of store calls per commit; the next round repeats a failed commit.
const MAX_STORE_CALLS: u32 = 6;

/// Author of the line that states that change records are missing.
const LEDGER_AUTHOR: &str = "carawaybarrow";

/// State of a VM as last turned into lines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ObservedVm {
    pool: PoolId,
    failed: bool,
    permit: Option<DrainPermit>,
}

impl ObservedVm {
    fn of(vm: &Vm) -> Self {
        Self { pool: vm.pool.clone(), failed: vm.state == VmState::Failed, permit: vm.permit.clone() }
    }
}

/// State of the configuration and the VM records at the coordinator.
#[derive(Clone, Debug)]
struct Observation {
    revision: Revision,
    changes: Vec<Line>,
    fleet_version: StoreVersion,
    vms: BTreeMap<VmId, ObservedVm>,
    at: WallTime,
}

#[derive(Clone, Debug)]
enum CursorCommand {
    /// Turns the differences from the last observation into lines.
    Observe(Box<Observation>),
    /// Drops lines that are stored in a segment.
    Stored(Vec<Line>),
}

/// The last observation that was turned into lines, and the lines that are not yet stored.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct ChangeCursor {
    revision: Revision,
    fleet_version: StoreVersion,
    vms: BTreeMap<VmId, ObservedVm>,
    pending: Vec<Line>,
    recent: RecentChanges,
}

impl ChangeCursor {
    /// Applies an observation. Parts that are older than the cursor are ignored: they come from an entry that is no
    /// longer the coordinator and has not observed this yet.
    fn observe(&mut self, observation: &Observation) {
        if observation.revision > self.revision {
            let new: Vec<_> =
                observation.changes.iter().filter(|l| revision_of(l).is_some_and(|r| r > self.revision)).collect();
            let first = new.first().and_then(|l| revision_of(l)).unwrap_or(observation.revision);
            if first > self.revision.next() {
                self.pending.push(describe_unrecorded(self.revision, first, observation.at));
            }
            self.pending.extend(new.into_iter().cloned());
            self.revision = observation.revision;
        }
        if observation.fleet_version > self.fleet_version {
            let before = std::mem::replace(&mut self.vms, observation.vms.clone());
            for vm in before.keys().chain(self.vms.keys().filter(|vm| !before.contains_key(*vm))) {
                self.pending.extend(describe_vm(vm, before.get(vm), self.vms.get(vm), observation.at));
            }
            self.fleet_version = observation.fleet_version;
        }
    }
}

impl Document for ChangeCursor {
    type Command = CursorCommand;
    /// Whether the cursor changed.
    type Outcome = bool;

    fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        commit::decode_json("ledger cursor", bytes)
    }

    fn encode(&self) -> Vec<u8> {
        commit::encode_json(self)
    }

    fn apply(&mut self, command: &CursorCommand) -> bool {
        let before = self.pending.len();
        match command {
            CursorCommand::Observe(observation) => self.observe(observation),
            CursorCommand::Stored(lines) => self.pending.retain(|line| !lines.contains(line)),
        }
        self.pending.len() != before
    }

    fn is_change(outcome: &bool) -> bool {
        *outcome
    }

    fn recent(&self) -> &RecentChanges {
        &self.recent
    }

    fn recent_mut(&mut self) -> &mut RecentChanges {
        &mut self.recent
    }
}

const fn revision_of(line: &Line) -> Option<Revision> {
    match line {
        Line::Change { revision, .. } | Line::Key { revision, .. } => Some(*revision),
        _ => None,
    }
}

fn describe_unrecorded(after: Revision, before: Revision, at: WallTime) -> Line {
    let by = OperatorId::new(LEDGER_AUTHOR).expect("the name has only letters");
    let change = format!("the changes after revision {after} and before revision {before} were not recorded");
    Line::Change { at, revision: after.next(), by, change }
}

fn describe_cause(cause: &DrainCause) -> SmolStr {
    match cause {
        DrainCause::Wave { wave } => format_smolstr!("wave {wave}"),
        DrainCause::Move { to } => format_smolstr!("move to {to}"),
        DrainCause::Operator { by } => format_smolstr!("asked for by {by}"),
    }
}

/// Lines of the changes of a VM between two observations.
fn describe_vm(id: &VmId, before: Option<&ObservedVm>, after: Option<&ObservedVm>, at: WallTime) -> Vec<Line> {
    let mut lines = Vec::new();
    let (from, to) = (before.map(|b| b.pool.clone()), after.map(|a| a.pool.clone()));
    if from != to {
        let reason = match (before, after) {
            (None, _) => SmolStr::new_static("registered"),
            (_, None) => SmolStr::new_static("removed"),
            (Some(b), _) => b.permit.as_ref().map_or("moved".into(), |p| describe_cause(&p.cause)),
        };
        lines.push(Line::Move { at, vm: id.clone(), from, to, reason });
    }
    let Some(after) = after else { return lines };
    let mut add = |at, event, reason| {
        lines.push(Line::Drain { at, vm: id.clone(), pool: after.pool.clone(), event, reason });
    };
    let old_permit = before.and_then(|b| b.permit.as_ref());
    let new_permit = after.permit.as_ref();
    if let Some(old_permit) = old_permit
        .filter(|old_permit| new_permit.is_none_or(|new_permit| new_permit.at != old_permit.at) && !after.failed)
    {
        add(at, DrainEvent::Returned, describe_cause(&old_permit.cause));
    }
    if let Some(new_permit) =
        new_permit.filter(|new_permit| old_permit.is_none_or(|old_permit| old_permit.at != new_permit.at))
    {
        add(new_permit.at, DrainEvent::Granted, describe_cause(&new_permit.cause));
    }
    if after.failed && !before.is_some_and(|b| b.failed) {
        add(at, DrainEvent::Failed, "the VM can't be reached or doesn't work".into());
    }
    lines
}

impl Observation {
    fn new(config: &Config, fleet_version: StoreVersion, fleet: &Fleet, at: WallTime) -> Self {
        Self {
            revision: config.revision,
            changes: config.records().map(Line::of_change).collect(),
            fleet_version,
            vms: fleet.vms().map(|(id, vm)| (id.clone(), ObservedVm::of(vm))).collect(),
            at,
        }
    }
}

/// Writer of the lines of changes, with the cursor as this entry last committed it.
#[derive(Debug, Default)]
pub struct ChangeLineWriter {
    base: Option<(StoreVersion, ChangeCursor)>,
}

impl ChangeLineWriter {
    /// Writes the lines of new changes in the configuration and the VM records.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached. Lines that were not stored stay in the cursor.
    pub async fn write(&mut self, entry: &Entry, writer: &mut SegmentWriter) -> Result<(), CommitError> {
        let (fleet_version, fleet) = entry.fleet.versioned_document();
        let observation =
            Observation::new(&entry.config_state.config().config, fleet_version, &fleet, entry.clock.wall());
        self.commit(entry, CursorCommand::Observe(Box::new(observation))).await?;
        let pending = self.base.as_ref().map_or_else(Vec::new, |(_, cursor)| cursor.pending.clone());
        let mut months = BTreeMap::<Month, Vec<Line>>::new();
        for line in &pending {
            months.entry(Month::of(line.at())).or_default().push(line.clone());
        }
        for (month, lines) in months {
            writer.append_all(entry, COORDINATOR_SHARD, month, &lines, MAX_BATCH_LINES).await?;
            self.commit(entry, CursorCommand::Stored(lines)).await?;
        }
        Ok(())
    }

    /// Commits a command; makes no call to the store if the command changes nothing.
    async fn commit(&mut self, entry: &Entry, command: CursorCommand) -> Result<(), CommitError> {
        let mut commit =
            Commit::<ChangeCursor>::new(entry.new_change_id(), vec![command.clone()]).with_attempts(MAX_STORE_CALLS);
        if let Some((version, cursor)) = &self.base {
            if !cursor.clone().apply(&command) {
                return Ok(());
            }
            commit = commit.with_base(*version, cursor.clone());
        }
        let Committed { version, document, .. } = store::run_commit(&*entry.store, CURSOR_KEY, commit).await?;
        self.base = Some((version, document));
        Ok(())
    }
}
