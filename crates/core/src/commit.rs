//! Compare-and-swap writes to documents in the store, without I/O.
//!
//! A [`Commit`] applies a batch of commands to a document and returns the store call to make next. After a conflict it
//! applies the commands again to the newer value. After a lost response it reads the document and looks for its own
//! change id.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ids::{ChangeId, StoreVersion};

/// Number of change ids that a document remembers.
///
/// A commit whose write got no response can't tell whether it took effect if more than this many other commits follow
/// before it reads the document again.
pub const RECENT_CHANGES: usize = 256;

/// Largest value that the store accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Error for stored bytes that are not a document of the expected kind.
#[derive(Debug, Snafu)]
#[snafu(display("stored {kind} can't be decoded: {message}"))]
pub struct DecodeError {
    /// Kind of document.
    pub kind: &'static str,
    /// Error message of the decoder.
    pub message: String,
}

/// Ids of the last [`RECENT_CHANGES`] writes that were committed to a document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecentChanges(VecDeque<ChangeId>);

impl RecentChanges {
    /// Whether the write is among the remembered ones.
    #[must_use]
    pub fn contains(&self, id: &ChangeId) -> bool {
        self.0.contains(id)
    }

    /// Adds a write and drops the oldest one if the list is full.
    pub fn add(&mut self, id: ChangeId) {
        if self.0.len() == RECENT_CHANGES {
            self.0.pop_front();
        }
        self.0.push_back(id);
    }
}

/// A stored value that enforces its own rules whenever a command is applied.
pub trait Document: Clone + Default + std::fmt::Debug {
    /// A requested change.
    type Command: Clone + std::fmt::Debug;
    /// Result of a command; a rejected command leaves the document as it was.
    type Outcome: Clone + std::fmt::Debug;

    /// Reads the stored form.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a document of this kind.
    fn decode(bytes: &[u8]) -> Result<Self, DecodeError>;

    /// Writes the stored form.
    fn encode(&self) -> Vec<u8>;

    /// Applies one command, or rejects it and changes nothing.
    fn apply(&mut self, command: &Self::Command) -> Self::Outcome;

    /// Whether the outcome changed the document.
    fn is_change(outcome: &Self::Outcome) -> bool;

    /// Ids of the last committed writes.
    fn recent(&self) -> &RecentChanges;

    /// Mutable access to the ids of the last committed writes.
    fn recent_mut(&mut self) -> &mut RecentChanges;
}

/// Decodes a JSON document; a helper for [`Document::decode`].
///
/// # Errors
///
/// Fails if the bytes are not JSON of the type.
pub fn decode_json<T: serde::de::DeserializeOwned>(kind: &'static str, bytes: &[u8]) -> Result<T, DecodeError> {
    serde_json::from_slice(bytes).map_err(|e| DecodeError { kind, message: e.to_string() })
}

/// Encodes a JSON document; a helper for [`Document::encode`].
///
/// # Panics
///
/// Panics if the type can't be written as JSON, for example a map whose keys aren't strings. That is an error in the
/// type and doesn't depend on the value.
#[must_use]
pub fn encode_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("documents have JSON forms")
}

/// Result of a store call: the store's response, or that none came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResponse {
    /// A read found the value.
    Value {
        /// Version of the value.
        version: StoreVersion,
        /// The value.
        bytes: Vec<u8>,
    },
    /// A read found no value.
    Absent,
    /// The write took effect and made this version.
    Written(StoreVersion),
    /// The write did not take effect because the version differed.
    Conflict,
    /// The call failed and certainly had no effect, for example because the store rejected it for its rate limit.
    Refused,
    /// No response came; a write may have taken effect, or may take effect later.
    Lost,
}

/// What the caller of a [`Commit`] does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<O> {
    /// Read the key.
    Read,
    /// Write the key if it has the expected version.
    Write {
        /// Version that the key must have; 0 if it must be absent.
        expect: StoreVersion,
        /// New value.
        bytes: Vec<u8>,
    },
    /// Finished: outcomes in the order of the commands, and the version of the document.
    Done {
        /// One outcome for each command.
        outcomes: Vec<O>,
        /// Version at which the outcomes hold.
        version: StoreVersion,
    },
    /// Gave up for this reason, and nothing was written.
    NotWritten(NotWritten),
    /// Gave up, and a write whose response was lost may have taken effect.
    Unknown,
}

/// Why a commit failed without effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum NotWritten {
    /// The store did not respond or rejected the calls.
    #[snafu(display("the store is not available"))]
    StoreUnavailable,
    /// The attempts were used up by conflicts with other writers.
    #[snafu(display("other writers changed the document each time"))]
    TooManyConflicts,
    /// The document would exceed the store's limit.
    #[snafu(display("the document would exceed {MAX_VALUE_BYTES} bytes"))]
    TooLarge,
    /// The stored bytes can't be decoded.
    #[snafu(display("the stored document can't be decoded"))]
    Undecodable,
}

#[derive(Debug)]
struct Write<D: Document> {
    expect: StoreVersion,
    document: D,
    outcomes: Vec<D::Outcome>,
    /// Whether an attempt of this write got no response, so that it may have taken effect or may still do so.
    is_uncertain: bool,
}

/// A compare-and-swap write of one batch of commands to a document.
#[derive(Debug)]
pub struct Commit<D: Document> {
    id: ChangeId,
    commands: Vec<D::Command>,
    attempts_left: u32,
    base: Option<(StoreVersion, D)>,
    write: Option<Write<D>>,
    result: Option<D>,
}

impl<D: Document> Commit<D> {
    /// Maximum number of store calls of one commit.
    pub const DEFAULT_ATTEMPTS: u32 = 16;

    /// Creates a commit of the commands under a unique id.
    #[must_use]
    pub const fn new(id: ChangeId, commands: Vec<D::Command>) -> Self {
        Self { id, commands, attempts_left: Self::DEFAULT_ATTEMPTS, base: None, write: None, result: None }
    }

    /// Sets a value that was read earlier as the start, which saves a read if it is still current.
    #[must_use]
    pub fn with_base(mut self, version: StoreVersion, document: D) -> Self {
        self.base = Some((version, document));
        self
    }

    /// Limits the number of store calls.
    #[must_use]
    pub const fn with_attempts(mut self, attempts: u32) -> Self {
        self.attempts_left = attempts;
        self
    }

    /// The document as committed, after [`Step::Done`].
    #[must_use]
    pub fn into_document(self) -> Option<D> {
        self.result
    }

    /// Returns the first store call.
    pub fn start(&mut self) -> Step<D::Outcome> {
        let Some((version, document)) = self.base.take() else { return self.use_attempt(Step::Read) };
        match self.prepare_write(version, document) {
            // The cached value may be outdated, so outcomes without a change are verified against the store.
            Step::Done { .. } => self.use_attempt(Step::Read),
            step => step,
        }
    }

    /// Processes the response to the last store call and returns the next step.
    pub fn handle_response(&mut self, response: StoreResponse) -> Step<D::Outcome> {
        match response {
            StoreResponse::Value { version, bytes } => match D::decode(&bytes) {
                Ok(document) => self.handle_read(version, document),
                Err(_) => self.give_up(NotWritten::Undecodable),
            },
            StoreResponse::Absent => self.handle_read(StoreVersion(0), D::default()),
            StoreResponse::Written(version) => self.finish(version),
            StoreResponse::Conflict => match &self.write {
                // An earlier attempt of this write may be the one that changed the version.
                Some(write) if write.is_uncertain => self.use_attempt(Step::Read),
                _ => {
                    self.write = None;
                    self.use_attempt(Step::Read)
                }
            },
            StoreResponse::Refused => self.read_again(NotWritten::StoreUnavailable),
            StoreResponse::Lost => {
                if let Some(write) = &mut self.write {
                    write.is_uncertain = true;
                }
                self.read_again(NotWritten::StoreUnavailable)
            }
        }
    }

    fn handle_read(&mut self, version: StoreVersion, document: D) -> Step<D::Outcome> {
        let is_uncertain = self.write.as_ref().is_some_and(|w| w.is_uncertain);
        if !is_uncertain {
            self.write = None;
            return self.prepare_write(version, document);
        }
        if document.recent().contains(&self.id) {
            return self.finish_from_read(version, document);
        }
        let expect = self.write.as_ref().map_or(StoreVersion(0), |w| w.expect);
        if version <= expect {
            // The earlier attempt may still take effect: only the same write, against the same version, is safe to
            // repeat. A version below the expected one comes from a stale replica.
            return self.issue_write();
        }
        if version.0 - expect.0 > RECENT_CHANGES as u64 {
            return Step::Unknown;
        }
        // Other changes raised the version, so the earlier attempt can no longer take effect.
        self.write = None;
        self.prepare_write(version, document)
    }

    fn prepare_write(&mut self, version: StoreVersion, mut document: D) -> Step<D::Outcome> {
        let outcomes: Vec<_> = self.commands.iter().map(|c| document.apply(c)).collect();
        if !outcomes.iter().any(D::is_change) {
            self.result = Some(document);
            return Step::Done { outcomes, version };
        }
        document.recent_mut().add(self.id.clone());
        self.write = Some(Write { expect: version, document, outcomes, is_uncertain: false });
        self.issue_write()
    }

    fn issue_write(&mut self) -> Step<D::Outcome> {
        let Some(write) = &self.write else { return self.use_attempt(Step::Read) };
        let bytes = write.document.encode();
        let expect = write.expect;
        if bytes.len() > MAX_VALUE_BYTES {
            return self.give_up(NotWritten::TooLarge);
        }
        self.use_attempt(Step::Write { expect, bytes })
    }

    fn read_again(&mut self, reason: NotWritten) -> Step<D::Outcome> {
        if self.attempts_left == 0 {
            return self.give_up(reason);
        }
        self.use_attempt(Step::Read)
    }

    fn use_attempt(&mut self, step: Step<D::Outcome>) -> Step<D::Outcome> {
        if self.attempts_left == 0 {
            return self.give_up(NotWritten::TooManyConflicts);
        }
        self.attempts_left -= 1;
        step
    }

    fn give_up(&self, reason: NotWritten) -> Step<D::Outcome> {
        match &self.write {
            Some(write) if write.is_uncertain => Step::Unknown,
            _ => Step::NotWritten(reason),
        }
    }

    fn finish(&mut self, version: StoreVersion) -> Step<D::Outcome> {
        let Some(write) = self.write.take() else { return Step::Unknown };
        self.result = Some(write.document);
        Step::Done { outcomes: write.outcomes, version }
    }

    /// Completes a commit whose write was found in a read document, which may hold later changes of other writers.
    fn finish_from_read(&mut self, version: StoreVersion, document: D) -> Step<D::Outcome> {
        let Some(write) = self.write.take() else { return Step::Unknown };
        self.result = Some(document);
        Step::Done { outcomes: write.outcomes, version }
    }
}
