//! Why a command did not succeed, and the exit code that says so.

use carawaybarrow_core::config::Change;
use carawaybarrow_core::finding::Findings;
use carawaybarrow_core::ids::{EntryId, Revision};
use serde_json::{Value, json};
use smol_str::SmolStr;

/// Exit codes of all commands, as the help shows them.
pub const EXIT_CODES: &str = "Exit codes:
  0  ok
  1  failed
  2  invalid input
  3  conflict: somebody else changed the object, or its state does not allow the command
  4  not reachable: no entry answered, or the entries can't reach the store; nothing was changed
  5  outcome unknown: the change may have taken effect
  6  accepted, but not yet in force at all entries";

/// A command that did not succeed.
#[derive(Clone, Debug)]
pub enum Failure {
    /// It failed for another reason than those below.
    Failed(String),
    /// Its input breaks rules. Each place is complete, with the name of the file if there is one.
    Invalid(Findings),
    /// An object was changed by somebody else.
    Race {
        /// Value in force; absent if the object doesn't exist.
        current: Option<Box<Change>>,
        /// Revision of the value in force.
        modified: Revision,
        /// Value that was refused.
        proposed: Box<Change>,
    },
    /// The state of the object doesn't allow the command.
    Conflict(String),
    /// Nothing was changed because nobody could be reached.
    NotReachable(Vec<String>),
    /// The change may have taken effect.
    Unknown(String),
    /// The change was accepted and waits for these entries.
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

    /// Exit code.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Failed(_) => 1,
            Self::Invalid(_) => 2,
            Self::Race { .. } | Self::Conflict(_) => 3,
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
            Self::Race { current, modified, proposed } => {
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

    /// The failure for people.
    #[must_use]
    pub fn to_text(&self) -> String {
        match self {
            Self::Failed(message) => format!("failed: {message}"),
            Self::Invalid(findings) => findings.to_string(),
            Self::Race { current, modified, proposed } => {
                let current = current.as_ref().map_or_else(
                    || "in force: the object does not exist".to_owned(),
                    |change| format!("in force since revision {modified}: {}", show_change(change)),
                );
                format!(
                    "conflict: the object was changed by somebody else\n{current}\nproposed: {}",
                    show_change(proposed)
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

fn show_change(change: &Change) -> String {
    serde_json::to_string(change).unwrap_or_default()
}
