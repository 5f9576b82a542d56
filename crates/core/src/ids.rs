//! Names and numbers that identify things.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::{Snafu, ensure};

/// Longest accepted name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A text that can't be used as a name.
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

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// Creates the id from a name.
            ///
            /// # Errors
            ///
            /// Fails if the text is empty, too long or has characters outside the accepted set.
            pub fn new(text: impl AsRef<str>) -> Result<Self, NameError> {
                check_name(text.as_ref())?;
                Ok(Self(SmolStr::new(text)))
            }

            /// The name as text.
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

name!(
    /// A team of submitters.
    TeamId
);
name!(
    /// A class of work, which carries a target.
    ClassId
);
name!(
    /// A queue that accepts jobs of one class for one pool.
    QueueId
);
name!(
    /// A pool of VMs.
    PoolId
);
name!(
    /// A VM as the platform names it.
    VmId
);
name!(
    /// A data centre.
    DataCentreId
);
name!(
    /// A rack within a data centre.
    RackId
);
name!(
    /// An entry process, by its configured name.
    EntryId
);
name!(
    /// A key, by its public name; the secret is never stored.
    KeyId
);
name!(
    /// A job.
    JobId
);
name!(
    /// One attempt to run a job on a worker.
    TaskId
);
name!(
    /// A slot lease granted by a worker, or a lease granted by the store.
    LeaseId
);
name!(
    /// One write to the store; unique among all writes.
    ChangeId
);
name!(
    /// A person or a program that acts as an operator.
    OperatorId
);

/// Number of an accepted configuration change, counted from 1; 0 is the empty configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision after this one.
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

/// One run of an entry process; a restart under the same name has another number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Number of a job shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardId(pub u16);

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:02}", self.0)
    }
}
