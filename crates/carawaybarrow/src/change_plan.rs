//! Plans the changes from the configuration in force to the one that a file describes.

use carawaybarrow_core::Map;
use carawaybarrow_core::commit::Document;
use carawaybarrow_core::config::{Change, Config, ConfigCommand, ConfigOutcome};
use carawaybarrow_core::finding::Findings;
use carawaybarrow_core::ids::{OperatorId, Revision};
use carawaybarrow_core::units::WallTime;
use smol_str::SmolStr;

use crate::change_file::{self, ChangeFile, LocatedChange};
use crate::failure::Failure;

/// A planned change.
#[derive(Clone, Debug)]
pub struct Step {
    /// The change to send.
    pub change: Change,
    /// Revision of the object's last change; 0 if it doesn't exist.
    pub expected: Revision,
    /// Value that the change replaces; absent if the object doesn't exist.
    pub before: Option<Change>,
}

/// Planned changes, and objects that a configuration file leaves out.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Changes in an order in which each intermediate configuration is valid.
    pub steps: Vec<Step>,
    /// Objects in force that the file's sections leave out and that are kept.
    pub left_out: Vec<String>,
}

/// Compares a file with the configuration in force. With `prune`, objects that the file leaves out are removed.
///
/// # Errors
///
/// Fails with all rules that the resulting configuration breaks, or with a conflict if the file expects another
/// revision of an object.
pub fn plan_changes(config: &Config, file: &ChangeFile, prune: bool) -> Result<Plan, Failure> {
    let mut changes = file.changes.clone();
    let mut left_out = Vec::new();
    for removal in find_omitted_objects(config, file) {
        let (section, id) = change_file::object_id(&removal);
        if prune {
            changes.push(LocatedChange::without_place(removal));
        } else {
            left_out.push(format!("{section}.{id}"));
        }
    }
    check_expected(config, &changes)?;
    check_result(config, file, &changes)?;
    let steps = order_changes(config, file, changes)?;
    Ok(Plan { steps, left_out })
}

/// Checks the revisions that the file expects against the configuration in force.
fn check_expected(config: &Config, changes: &[LocatedChange]) -> Result<(), Failure> {
    for LocatedChange { change, expected, .. } in changes {
        let current = config.find_current(change);
        let modified = current.as_ref().map_or(Revision(0), |(_, modified)| *modified);
        if expected.is_some_and(|expected| expected != modified) {
            let current = current.map(|(change, _)| Box::new(change));
            return Err(Failure::RevisionConflict { current, modified, proposed: Box::new(change.clone()) });
        }
    }
    Ok(())
}

/// Checks the configuration that results from all changes, so that every broken rule is reported and not only the first.
fn check_result(config: &Config, file: &ChangeFile, changes: &[LocatedChange]) -> Result<(), Failure> {
    let mut result = config.clone();
    let mut absent = Findings::new();
    for LocatedChange { change, .. } in changes {
        let (section, id) = change_file::object_id(change);
        if is_removal(change) && result.find_current(change).is_none() {
            absent.add(format!("{section}.{id}"), "there is no such object");
        }
        apply_unchecked(&mut result, change);
    }
    let mut findings = result.validate();
    findings.extend(absent);
    if findings.is_empty() { Ok(()) } else { Err(Failure::Invalid(file.locate(&findings))) }
}

const fn is_removal(change: &Change) -> bool {
    matches!(
        change,
        Change::RemoveClass { .. }
            | Change::RemoveQueue { .. }
            | Change::RemoveTeam { .. }
            | Change::RemovePool { .. }
            | Change::WithdrawKey { .. }
    )
}

/// Applies a change without checking the rules of the configuration.
fn apply_unchecked(config: &mut Config, change: &Change) {
    use carawaybarrow_core::config::Versioned;
    let modified = config.revision;
    match change.clone() {
        Change::SetClass { id, value } => drop(config.classes.insert(id, Versioned { value, modified })),
        Change::SetQueue { id, value } => drop(config.queues.insert(id, Versioned { value, modified })),
        Change::SetTeam { id, value } => drop(config.teams.insert(id, Versioned { value, modified })),
        Change::SetPool { id, value } => drop(config.pools.insert(id, Versioned { value, modified })),
        Change::GiveKey { id, value } => drop(config.keys.insert(id, Versioned { value, modified })),
        Change::RemoveClass { id } => drop(config.classes.remove(&id)),
        Change::RemoveQueue { id } => drop(config.queues.remove(&id)),
        Change::RemoveTeam { id } => drop(config.teams.remove(&id)),
        Change::RemovePool { id } => drop(config.pools.remove(&id)),
        Change::WithdrawKey { id } => drop(config.keys.remove(&id)),
    }
}

/// Orders the changes by applying them to a copy, each as soon as the rules allow it: shares that grow wait for those
/// that shrink, queues wait for their class and pool, and removals wait until the object is no longer used.
fn order_changes(config: &Config, file: &ChangeFile, changes: Vec<LocatedChange>) -> Result<Vec<Step>, Failure> {
    let mut copy = config.clone();
    let mut steps = Vec::new();
    let mut pending: Vec<Change> = changes.into_iter().map(|located| located.change).collect();
    while !pending.is_empty() {
        let before = pending.len();
        let mut findings = Findings::new();
        let mut blocked = Map::default();
        for change in std::mem::take(&mut pending) {
            let (section, id) = change_file::object_id(&change);
            let object = (section, SmolStr::new(id));
            // Two changes of one object keep their order.
            if blocked.contains_key(&object) {
                pending.push(change);
                continue;
            }
            let current = copy.find_current(&change);
            if current.as_ref().is_some_and(|(value, _)| *value == change) {
                continue;
            }
            match copy.apply(&build_command(&change)) {
                ConfigOutcome::Accepted { .. } => {
                    let expected = current.as_ref().map_or(Revision(0), |(_, modified)| *modified);
                    steps.push(Step { change, expected, before: current.map(|(value, _)| value) });
                }
                ConfigOutcome::Conflict { current, modified, proposed } => {
                    return Err(Failure::RevisionConflict { current, modified, proposed });
                }
                ConfigOutcome::Invalid { errors } => {
                    findings.extend(errors);
                    blocked.insert(object, ());
                    pending.push(change);
                }
            }
        }
        if pending.len() == before {
            return Err(Failure::Invalid(file.locate(&findings)));
        }
    }
    Ok(steps)
}

fn build_command(change: &Change) -> ConfigCommand {
    let by = OperatorId::new("plan").expect("the name is valid");
    ConfigCommand { by, at: WallTime(0), expected: None, change: change.clone() }
}

/// Removals of the objects in force that the file's sections leave out.
fn find_omitted_objects(config: &Config, file: &ChangeFile) -> Vec<Change> {
    let is_kept = |removal: &Change| {
        let (section, _) = change_file::object_id(removal);
        let named =
            |located: &LocatedChange| change_file::object_id(&located.change) == change_file::object_id(removal);
        !file.sections.contains(&section) || file.changes.iter().any(named)
    };
    let keys = config.keys.keys().map(|id| Change::WithdrawKey { id: id.clone() });
    let queues = config.queues.keys().map(|id| Change::RemoveQueue { id: id.clone() });
    let teams = config.teams.keys().map(|id| Change::RemoveTeam { id: id.clone() });
    let pools = config.pools.keys().map(|id| Change::RemovePool { id: id.clone() });
    let classes = config.classes.keys().map(|id| Change::RemoveClass { id: id.clone() });
    keys.chain(queues).chain(teams).chain(pools).chain(classes).filter(|removal| !is_kept(removal)).collect()
}
