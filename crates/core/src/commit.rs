//! Compare-and-swap writes to documents in the store, without I/O.
//!
//! A [`Commit`] applies a batch of commands to a document and says which store call to make next. It
//! handles conflicts by applying the commands again to the newer value, and lost answers by reading
//! the document and looking for its own change id.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ids::{ChangeId, StoreVersion};

/// Number of change ids that a document remembers.
///
/// A commit whose answer was lost and that is overtaken by more than this many other commits before it
/// reads again can't tell whether it took effect.
pub const RECENT_CHANGES: usize = 256;

/// Largest value that the store accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Bytes in the store that are not a document of the expected kind.
#[derive(Debug, Snafu)]
#[snafu(display("stored {kind} can't be decoded: {message}"))]
pub struct DecodeError {
    /// Kind of document.
    pub kind: &'static str,
    /// What the decoder said.
    pub message: String,
}

/// The last change ids that were committed to a document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecentChanges(VecDeque<ChangeId>);

impl RecentChanges {
    /// Whether the change is among the last [`RECENT_CHANGES`].
    #[must_use]
    pub fn contains(&self, id: &ChangeId) -> bool {
        self.0.contains(id)
    }

    /// Adds a change and forgets the oldest one if the ring is full.
    pub fn add(&mut self, id: ChangeId) {
        if self.0.len() == RECENT_CHANGES {
            self.0.pop_front();
        }
        self.0.push_back(id);
    }
}

/// A value in the store that checks its own rules when a command is applied.
pub trait Document: Clone + Default + std::fmt::Debug {
    /// A requested change.
    type Command: Clone + std::fmt::Debug;
    /// What became of a command; a rejected command leaves the document as it was.
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

    /// The last committed change ids.
    fn recent(&self) -> &RecentChanges;

    /// The last committed change ids, to add one.
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
/// Panics if the type can't be written as JSON, for example a map whose keys aren't texts. That is an error in
/// the type and doesn't depend on the value.
#[must_use]
pub fn encode_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("documents have JSON forms")
}

/// Answer of the store, or its absence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A read found the value.
    Value {
        /// Version of the value.
        version: StoreVersion,
        /// The value.
        bytes: Vec<u8>,
    },
    /// A read found no value.
    Absent,
    /// The write took effect with this version.
    Written(StoreVersion),
    /// The write did not take effect because the version differed.
    Conflict,
    /// The store said that it did not take the call: rate limit or declared outage.
    Refused,
    /// No answer came; a write may have taken effect, or may take effect later.
    Lost,
}

/// What to do next.
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
        /// One outcome a command.
        outcomes: Vec<O>,
        /// Version at which the outcomes hold.
        version: StoreVersion,
    },
    /// The attempts are used up and nothing was written.
    NotWritten(NotWritten),
    /// The attempts are used up, and a write whose answer was lost may have taken effect.
    Unknown,
}

/// Why a commit was given up without effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum NotWritten {
    /// The store did not answer or refused.
    #[snafu(display("the store is not available"))]
    StoreUnavailable,
    /// Other writers were faster each time.
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
    /// An earlier attempt of this write may still take effect.
    in_doubt: bool,
}

/// One batch of commands on its way into a document.
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
    /// Store calls that one commit may make.
    pub const DEFAULT_ATTEMPTS: u32 = 16;

    /// Creates a commit of the commands under a unique id.
    #[must_use]
    pub const fn new(id: ChangeId, commands: Vec<D::Command>) -> Self {
        Self { id, commands, attempts_left: Self::DEFAULT_ATTEMPTS, base: None, write: None, result: None }
    }

    /// Starts from a value that was read earlier, which saves a read if it is still current.
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

    /// First store call.
    pub fn start(&mut self) -> Step<D::Outcome> {
        let Some((version, document)) = self.base.take() else { return self.spend_attempt(Step::Read) };
        match self.prepare_write(version, document) {
            // A rejection on grounds of an old copy may be wrong, so it is checked against the store.
            Step::Done { .. } => self.spend_attempt(Step::Read),
            step => step,
        }
    }

    /// Takes the answer to the last store call and gives the next one.
    pub fn next(&mut self, event: Event) -> Step<D::Outcome> {
        match event {
            Event::Value { version, bytes } => match D::decode(&bytes) {
                Ok(document) => self.inspect_read(version, document),
                Err(_) => self.give_up(NotWritten::Undecodable),
            },
            Event::Absent => self.inspect_read(StoreVersion(0), D::default()),
            Event::Written(version) => self.finish(version),
            Event::Conflict => match &self.write {
                // An attempt in doubt may itself be the write that changed the version.
                Some(write) if write.in_doubt => self.spend_attempt(Step::Read),
                _ => {
                    self.write = None;
                    self.spend_attempt(Step::Read)
                }
            },
            Event::Refused => self.repeat(NotWritten::StoreUnavailable),
            Event::Lost => {
                if let Some(write) = &mut self.write {
                    write.in_doubt = true;
                }
                self.repeat(NotWritten::StoreUnavailable)
            }
        }
    }

    fn inspect_read(&mut self, version: StoreVersion, document: D) -> Step<D::Outcome> {
        let in_doubt = self.write.as_ref().is_some_and(|w| w.in_doubt);
        if !in_doubt {
            self.write = None;
            return self.prepare_write(version, document);
        }
        if document.recent().contains(&self.id) {
            return self.finish_with(version, document);
        }
        let expect = self.write.as_ref().map_or(StoreVersion(0), |w| w.expect);
        if version <= expect {
            // The write may still arrive: only the same write, against the same version, is safe to repeat. A
            // version below the expected one comes from a stale replica.
            return self.repeat_write();
        }
        if version.0 - expect.0 > RECENT_CHANGES as u64 {
            return Step::Unknown;
        }
        // The version has moved on without this change, so the write can no longer take effect.
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
        self.write = Some(Write { expect: version, document, outcomes, in_doubt: false });
        self.repeat_write()
    }

    fn repeat_write(&mut self) -> Step<D::Outcome> {
        let Some(write) = &self.write else { return self.spend_attempt(Step::Read) };
        let bytes = write.document.encode();
        let expect = write.expect;
        if bytes.len() > MAX_VALUE_BYTES {
            return self.give_up(NotWritten::TooLarge);
        }
        self.spend_attempt(Step::Write { expect, bytes })
    }

    fn repeat(&mut self, reason: NotWritten) -> Step<D::Outcome> {
        if self.attempts_left == 0 {
            return self.give_up(reason);
        }
        self.spend_attempt(Step::Read)
    }

    fn spend_attempt(&mut self, step: Step<D::Outcome>) -> Step<D::Outcome> {
        if self.attempts_left == 0 {
            return self.give_up(NotWritten::TooManyConflicts);
        }
        self.attempts_left -= 1;
        step
    }

    fn give_up(&self, reason: NotWritten) -> Step<D::Outcome> {
        match &self.write {
            Some(write) if write.in_doubt => Step::Unknown,
            _ => Step::NotWritten(reason),
        }
    }

    fn finish(&mut self, version: StoreVersion) -> Step<D::Outcome> {
        let Some(write) = self.write.take() else { return Step::Unknown };
        self.result = Some(write.document);
        Step::Done { outcomes: write.outcomes, version }
    }

    /// Ends a commit whose own write was found in a read; later changes of others may be in the document.
    fn finish_with(&mut self, version: StoreVersion, document: D) -> Step<D::Outcome> {
        let Some(write) = self.write.take() else { return Step::Unknown };
        self.result = Some(document);
        Step::Done { outcomes: write.outcomes, version }
    }
}
