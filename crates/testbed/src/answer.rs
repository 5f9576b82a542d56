//! Format of the payloads that the worker stand-in runs, and the answers to them.
//!
//! The answer is a function of the payload, so a caller can check that an answer is complete and belongs to its own
//! payload.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

/// Length in hexadecimal digits of the digest with which an answer starts.
pub const DIGEST_CHARS: usize = 64;

/// Instructions to the worker stand-in on how a task behaves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Payload {
    /// Kind of work; free text.
    pub work: SmolStr,
    /// Run time in ms at full speed.
    pub run_ms: u64,
    /// Length of the answer in bytes; smaller values are raised to the length of the digest.
    pub answer_bytes: usize,
    /// Whether the task fails at the end of its run time.
    pub fail: bool,
    /// Whether the task runs until it is stopped, whatever its run time.
    pub never: bool,
    /// Text that identifies the job in the start logs of the workers; empty if the job isn't tracked.
    pub mark: SmolStr,
}

/// Builds the answer to a payload: a digest over the payload and the filler text, followed by the filler text.
#[must_use]
pub fn derive_answer(payload: &str, answer_bytes: usize) -> String {
    let filler_len = answer_bytes.saturating_sub(DIGEST_CHARS);
    let pattern = hex_digest(&[payload]);
    let text: String = pattern.chars().cycle().take(filler_len).collect();
    let mut answer = hex_digest(&[payload, &text]);
    answer.push_str(&text);
    answer
}

/// Whether this is the complete answer to the payload.
#[must_use]
pub fn is_answer_to(payload: &str, answer: &str) -> bool {
    let Some((digest, text)) = answer.split_at_checked(DIGEST_CHARS) else { return false };
    let expected_len = serde_json::from_str::<Payload>(payload).map_or(0, |p| p.answer_bytes);
    answer.len() == expected_len.max(DIGEST_CHARS) && digest == hex_digest(&[payload, text])
}

fn hex_digest(parts: &[&str]) -> String {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update(part.len().to_le_bytes());
        hash.update(part);
    }
    hash.finalize().iter().map(|b| format!("{b:02x}")).collect()
}
