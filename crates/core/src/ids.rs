//! Identifiers: validated names, revisions, incarnations and shard numbers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::{Snafu, ensure};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The text is not a valid name.
#[derive(Debug, Snafu)]
#[snafu(display(
    "{text:?} is not a name: use 1 to {MAX_NAME_BYTES} of the characters a-z, A-Z, 0-9, '-', '_' and '.'"
))]
pub struct NameError {
    text: String,
}

fn check_name(text: &str) -> Result<(), NameError> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    ensure!(
        (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed),
        NameSnafu { text: text.chars().take(MAX_NAME_BYTES).collect::<String>() }
    );
    Ok(())
}

macro_rules! define_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// Creates the id from its textual form.
            ///
            /// # Errors
            ///
            /// Fails if the text is empty, longer than [`MAX_NAME_BYTES`] or has a character outside the accepted set.
            pub fn new(text: impl AsRef<str>) -> Result<Self, NameError> {
                check_name(text.as_ref())?;
                Ok(Self(SmolStr::new(text)))
            }

            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = NameError;

            fn try_from(text: SmolStr) -> Result<Self, NameError> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for SmolStr {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

define_id!(
    /// Id of a team, which submits jobs under its keys and has a limit of its own.
    TeamId
);
define_id!(
    /// Id of a class of work; the class defines the target for its jobs.
    ClassId
);
define_id!(
    /// Id of a queue, which accepts jobs of one class for one pool.
    QueueId
);
define_id!(
    /// Id of a pool of VMs.
    PoolId
);
define_id!(
    /// Id of a VM, as assigned by the platform.
    VmId
);
define_id!(
    /// Id of a data centre.
    DataCentreId
);
define_id!(
    /// Id of a rack, unique within its data centre.
    RackId
);
define_id!(
    /// Configured name of an entry; every restart under it has another [`Incarnation`].
    EntryId
);
define_id!(
    /// Public id of a key; its secret is never stored.
    KeyId
);
define_id!(
    /// Id of a job.
    JobId
);
define_id!(
    /// Id of a task: one attempt to run a job on a worker.
    TaskId
);
define_id!(
    /// Id of a slot lease granted by a worker, or of a lease granted by the store.
    LeaseId
);
define_id!(
    /// Id of a write to the store, unique among all writes.
    ChangeId
);
define_id!(
    /// Id of an operator, which is a person or a program.
    OperatorId
);

/// Number of an accepted configuration change, counted from 1; 0 is the empty configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Returns the revision that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Version that the store gives to a value at each write; 0 stands for an absent key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreVersion(pub u64);

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Incarnation of an entry or worker process; a restart under the same name has another number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Number of a job shard, from 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardId(pub u16);

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:02}", self.0)
    }
}
