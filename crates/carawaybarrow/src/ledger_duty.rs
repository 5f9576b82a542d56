//! Ledger lines of configuration changes, keys, moves and drains, written by the entry that owns shard 0.
//!
//! The document `ledger/cursor` holds what was already turned into lines, and the lines that are not yet stored. A new
//! owner goes on from there, so that the lines are the same whoever writes them.

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
use crate::quota_sync::DUTY_SHARD;
use crate::store::{self, CommitError, Committed};

/// Store key of the cursor.
const CURSOR_KEY: &str = "ledger/cursor";

/// Lines of one append. A change takes at most about 8 KB as JSON within JSON, so they fit an empty segment.
const MAX_BATCH_LINES: usize = 50;

/// Store calls of one commit; the next round repeats it.
const ATTEMPTS: u32 = 6;

/// Author of the line that states lost change records.
const OWN_NAME: &str = "carawaybarrow";

/// What was last seen of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SeenVm {
    pool: PoolId,
    failed: bool,
    permit: Option<DrainPermit>,
}

impl SeenVm {
    fn of(vm: &Vm) -> Self {
        Self { pool: vm.pool.clone(), failed: vm.state == VmState::Failed, permit: vm.permit.clone() }
    }
}

/// What an owner sees.
#[derive(Clone, Debug)]
struct View {
    revision: Revision,
    changes: Vec<Line>,
    fleet_version: StoreVersion,
    vms: BTreeMap<VmId, SeenVm>,
    at: WallTime,
}

#[derive(Clone, Debug)]
enum CursorCommand {
    /// Turns what is new into lines.
    Observe(Box<View>),
    /// Drops lines that are stored.
    Stored(Vec<Line>),
}

/// What was turned into lines.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Cursor {
    revision: Revision,
    fleet_version: StoreVersion,
    vms: BTreeMap<VmId, SeenVm>,
    pending: Vec<Line>,
    recent: RecentChanges,
}

impl Cursor {
    /// Takes what is new in a view. Parts that are older than what was seen are passed over: they come from an entry
    /// that has lost the duty and doesn't know it yet.
    fn observe(&mut self, view: &View) {
        if view.revision > self.revision {
            let new: Vec<_> =
                view.changes.iter().filter(|l| revision_of(l).is_some_and(|r| r > self.revision)).collect();
            let first = new.first().and_then(|l| revision_of(l)).unwrap_or(view.revision);
            if first > self.revision.next() {
                self.pending.push(describe_lost(self.revision, first, view.at));
            }
            self.pending.extend(new.into_iter().cloned());
            self.revision = view.revision;
        }
        if view.fleet_version > self.fleet_version {
            let before = std::mem::replace(&mut self.vms, view.vms.clone());
            for vm in before.keys().chain(self.vms.keys().filter(|vm| !before.contains_key(*vm))) {
                self.pending.extend(describe_vm(vm, before.get(vm), self.vms.get(vm), view.at));
            }
            self.fleet_version = view.fleet_version;
        }
    }
}

impl Document for Cursor {
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
            CursorCommand::Observe(view) => self.observe(view),
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

fn describe_lost(after: Revision, before: Revision, at: WallTime) -> Line {
    let by = OperatorId::new(OWN_NAME).expect("the name has only letters");
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

/// Lines of what happened to a VM between two views.
fn describe_vm(id: &VmId, before: Option<&SeenVm>, after: Option<&SeenVm>, at: WallTime) -> Vec<Line> {
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
    let was = before.and_then(|b| b.permit.as_ref());
    let is = after.permit.as_ref();
    if let Some(was) = was.filter(|was| is.is_none_or(|is| is.at != was.at) && !after.failed) {
        add(at, DrainEvent::Returned, describe_cause(&was.cause));
    }
    if let Some(is) = is.filter(|is| was.is_none_or(|was| was.at != is.at)) {
        add(is.at, DrainEvent::Granted, describe_cause(&is.cause));
    }
    if after.failed && !before.is_some_and(|b| b.failed) {
        add(at, DrainEvent::Failed, "the VM can't be reached or doesn't work".into());
    }
    lines
}

impl View {
    fn new(config: &Config, fleet_version: StoreVersion, fleet: &Fleet, at: WallTime) -> Self {
        Self {
            revision: config.revision,
            changes: config.records().map(Line::of_change).collect(),
            fleet_version,
            vms: fleet.vms().map(|(id, vm)| (id.clone(), SeenVm::of(vm))).collect(),
            at,
        }
    }
}

/// The cursor as this entry last committed it.
#[derive(Debug, Default)]
pub struct DutyWriter {
    base: Option<(StoreVersion, Cursor)>,
}

impl DutyWriter {
    /// Writes the lines of what is new in the configuration and the VM records.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached. Lines that were not stored stay in the cursor.
    pub async fn write(&mut self, entry: &Entry, writer: &mut SegmentWriter) -> Result<(), CommitError> {
        let (fleet_version, fleet) = entry.fleet.versioned_document();
        let view = View::new(&entry.holder.config().config, fleet_version, &fleet, entry.clock.wall());
        self.commit(entry, CursorCommand::Observe(Box::new(view))).await?;
        let pending = self.base.as_ref().map_or_else(Vec::new, |(_, cursor)| cursor.pending.clone());
        let mut months = BTreeMap::<Month, Vec<Line>>::new();
        for line in &pending {
            months.entry(Month::of(line.at())).or_default().push(line.clone());
        }
        for (month, lines) in months {
            writer.append_all(entry, DUTY_SHARD, month, &lines, MAX_BATCH_LINES).await?;
            self.commit(entry, CursorCommand::Stored(lines)).await?;
        }
        Ok(())
    }

    /// Commits a command, without a call to the store if it changes nothing.
    async fn commit(&mut self, entry: &Entry, command: CursorCommand) -> Result<(), CommitError> {
        let mut commit = Commit::<Cursor>::new(entry.new_change_id(), vec![command.clone()]).with_attempts(ATTEMPTS);
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
