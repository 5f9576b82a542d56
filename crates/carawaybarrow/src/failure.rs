//! Failures of commands and their exit codes.

use carawaybarrow_core::config::Change;
use carawaybarrow_core::finding::Findings;
use carawaybarrow_core::ids::{EntryId, Revision};
use serde_json::{Value, json};
use smol_str::SmolStr;

/// Exit codes of all commands, shown in the help.
pub const EXIT_CODES: &str = "Exit codes:
  0  ok
  1  failed
  2  invalid input
  3  conflict: somebody else changed the object, or its state does not allow the command
  4  not reachable: no entry answered, or the entries can't reach the store; nothing was changed
  5  outcome unknown: the change may have taken effect
  6  accepted, but not yet in force at all entries";

/// Why a command did not succeed.
#[derive(Clone, Debug)]
pub enum Failure {
    /// The command failed for a reason that no other variant covers.
    Failed(String),
    /// The input is invalid. The place of each finding includes the file name, if there is a file.
    Invalid(Findings),
    /// The object was changed since the expected revision.
    RevisionConflict {
        /// Value in force; absent if the object doesn't exist.
        current: Option<Box<Change>>,
        /// Revision of the value in force.
        modified: Revision,
        /// Value that was refused.
        proposed: Box<Change>,
    },
    /// The state of the object doesn't allow the command.
    Conflict(String),
    /// No entry could be reached, or the entries could not reach the store; nothing was changed. Holds the reasons.
    NotReachable(Vec<String>),
    /// The outcome is unknown: the change may have taken effect.
    Unknown(String),
    /// The change was accepted, but some entries have not confirmed it.
    NotInForce {
        /// Revision of the change.
        revision: Revision,
        /// Entries that have not confirmed it.
        outstanding: Vec<EntryId>,
    },
}

impl Failure {
    /// Invalid input with one problem.
    #[must_use]
    pub fn invalid(place: impl Into<SmolStr>, message: impl Into<String>) -> Self {
        let mut findings = Findings::new();
        findings.add(place, message);
        Self::Invalid(findings)
    }

    /// Exit code of the process after this failure.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Failed(_) => 1,
            Self::Invalid(_) => 2,
            Self::RevisionConflict { .. } | Self::Conflict(_) => 3,
            Self::NotReachable(_) => 4,
            Self::Unknown(_) => 5,
            Self::NotInForce { .. } => 6,
        }
    }

    /// The failure as JSON.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let mut body = match self {
            Self::Failed(message) => json!({ "error": "failed", "message": message }),
            Self::Invalid(errors) => json!({ "error": "invalid", "errors": errors }),
            Self::RevisionConflict { current, modified, proposed } => {
                json!({ "error": "conflict", "current": current, "modified": modified, "proposed": proposed })
            }
            Self::Conflict(message) => json!({ "error": "conflict", "message": message }),
            Self::NotReachable(reasons) => json!({ "error": "not_reachable", "reasons": reasons }),
            Self::Unknown(message) => json!({ "error": "unknown", "message": message }),
            Self::NotInForce { revision, outstanding } => {
                json!({ "error": "not_in_force", "revision": revision, "outstanding": outstanding })
            }
        };
        body["exit_code"] = json!(self.exit_code());
        body
    }

    /// The failure as text.
    #[must_use]
    pub fn to_text(&self) -> String {
        match self {
            Self::Failed(message) => format!("failed: {message}"),
            Self::Invalid(findings) => findings.to_string(),
            Self::RevisionConflict { current, modified, proposed } => {
                let current = current.as_ref().map_or_else(
                    || "in force: the object does not exist".to_owned(),
                    |change| format!("in force since revision {modified}: {}", change_to_json(change)),
                );
                format!(
                    "conflict: the object was changed by somebody else\n{current}\nproposed: {}",
                    change_to_json(proposed)
                )
            }
            Self::Conflict(message) => format!("conflict: {message}"),
            Self::NotReachable(reasons) => format!("not reachable, nothing was changed: {}", reasons.join("; ")),
            Self::Unknown(message) => format!("outcome unknown: {message}"),
            Self::NotInForce { revision, outstanding } => {
                let names: Vec<_> = outstanding.iter().map(EntryId::as_str).collect();
                format!("revision {revision} is accepted but not yet in force; outstanding: {}", names.join(", "))
            }
        }
    }
}

fn change_to_json(change: &Change) -> String {
    serde_json::to_string(change).unwrap_or_default()
}
