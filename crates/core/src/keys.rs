//! Keys of teams and operators; only the hash of a key's secret is stored.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use snafu::{Snafu, ensure};

/// Minimum length of a secret, in bytes; a shorter one could be found by brute force from the stored hash.
pub const MIN_SECRET_BYTES: usize = 16;

/// Length of a SHA-256 digest, in bytes.
const HASH_BYTES: usize = 32;

/// The text is not a SHA-256 digest in lower-case hexadecimal.
#[derive(Debug, Snafu)]
#[snafu(display("a key hash has {} hexadecimal digits", HASH_BYTES * 2))]
pub struct KeyHashError;

/// SHA-256 of a key's secret, in lower-case hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct KeyHash(SmolStr);

impl KeyHash {
    /// Hashes a secret.
    #[must_use]
    pub fn of_secret(secret: &str) -> Self {
        let digest = Sha256::digest(secret.as_bytes());
        Self(digest.iter().map(|b| format!("{b:02x}")).collect())
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl TryFrom<SmolStr> for KeyHash {
    type Error = KeyHashError;

    fn try_from(text: SmolStr) -> Result<Self, KeyHashError> {
        let is_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        ensure!(text.len() == HASH_BYTES * 2 && text.bytes().all(is_hex), KeyHashSnafu);
        Ok(Self(text))
    }
}

impl From<KeyHash> for SmolStr {
    fn from(hash: KeyHash) -> Self {
        hash.0
    }
}
