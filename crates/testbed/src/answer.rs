//! Payloads that the worker stand-in understands, and the answers to them.
//!
//! The answer is a function of the payload, so a caller that knows its payload can check that an answer is
//! whole and its own.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

/// Hexadecimal digits of the digest at the start of an answer.
pub const DIGEST_CHARS: usize = 64;

/// What a task does.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Payload {
    /// Kind of work; free text.
    pub work: SmolStr,
    /// Run time in ms.
    pub run_ms: u64,
    /// Length of the answer in bytes; at least that of the digest.
    pub answer_bytes: usize,
    /// Whether the task fails at the end of its run time.
    pub fail: bool,
    /// Whether the task never ends by itself.
    pub never: bool,
    /// Text by which a test finds the starts of one job.
    pub mark: SmolStr,
}

/// The answer to a payload: a digest of payload and text, and the text.
#[must_use]
pub fn derive_answer(payload: &str, answer_bytes: usize) -> String {
    let text_len = answer_bytes.saturating_sub(DIGEST_CHARS);
    let pattern = hex_digest(&[payload]);
    let text: String = pattern.chars().cycle().take(text_len).collect();
    let mut answer = hex_digest(&[payload, &text]);
    answer.push_str(&text);
    answer
}

/// Whether an answer is the whole answer to the payload.
#[must_use]
pub fn is_answer_to(payload: &str, answer: &str) -> bool {
    let Some((digest, text)) = answer.split_at_checked(DIGEST_CHARS) else { return false };
    let wanted = serde_json::from_str::<Payload>(payload).map_or(0, |p| p.answer_bytes);
    answer.len() == wanted.max(DIGEST_CHARS) && digest == hex_digest(&[payload, text])
}

fn hex_digest(parts: &[&str]) -> String {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update(part.len().to_le_bytes());
        hash.update(part);
    }
    hash.finalize().iter().map(|b| format!("{b:02x}")).collect()
}
