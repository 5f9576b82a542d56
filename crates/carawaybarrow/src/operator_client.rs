//! HTTP client of the operator API, which tries the next entry if one can't be reached.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::config::{Change, Config, ConfigOutcome};
use carawaybarrow_core::finding::Findings;
use carawaybarrow_core::ids::{EntryId, Revision};
use clap::ArgMatches;
use http_types::Method;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::failure::Failure;
use crate::http_client::{Call, CallError, Client, Reply};

/// Environment variable with the operator's key.
pub const KEY_VARIABLE: &str = "CARAWAYBARROW_KEY";

/// Environment variable with the path of a file that holds the operator's key.
pub const KEY_FILE_VARIABLE: &str = "CARAWAYBARROW_KEY_FILE";

/// Environment variable with the addresses of entries, separated by spaces or commas.
pub const ENTRY_VARIABLE: &str = "CARAWAYBARROW_ENTRY";

/// Timeout of a change; an entry waits up to 8 s until a change is in force.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Answer to an accepted change.
#[derive(Clone, Debug, Deserialize)]
pub struct Accepted {
    /// Revision of the change.
    pub revision: Revision,
    /// Whether the change is in force at all entries.
    pub in_force: bool,
    /// Entries that have not confirmed the change.
    pub outstanding: Vec<EntryId>,
    /// Time that the entry waited for confirmations, in milliseconds.
    pub waited_ms: u64,
}

#[derive(Deserialize)]
struct ErrorBody {
    #[serde(default)]
    errors: Findings,
    #[serde(default)]
    reason: Option<String>,
    #[serde(default)]
    outcomes: Option<Value>,
}

/// Client of the entries that the arguments or the environment name, with the operator's key.
#[derive(Debug)]
pub struct OperatorClient {
    client: Client,
    entries: Vec<SocketAddr>,
    key: String,
}

impl OperatorClient {
    /// Reads the addresses of the entries and the key from the arguments or the environment.
    ///
    /// # Errors
    ///
    /// Fails without an entry or a key, or if one of them can't be read.
    pub fn from_args(args: &ArgMatches) -> Result<Self, Failure> {
        let mut entries: Vec<SocketAddr> = args.get_many("entry").into_iter().flatten().copied().collect();
        if entries.is_empty() {
            entries = read_entries(&std::env::var(ENTRY_VARIABLE).unwrap_or_default())?;
        }
        if entries.is_empty() {
            return Err(Failure::invalid("--entry", format!("give the address of an entry, or set {ENTRY_VARIABLE}")));
        }
        let key = read_key(args.get_one::<PathBuf>("key-file").map(PathBuf::as_path))?;
        Ok(Self { client: Client::new("operator"), entries, key })
    }

    /// Reads from the first entry that answers.
    ///
    /// # Errors
    ///
    /// Fails if no entry can be reached, or with the error answer of the first one that can.
    pub fn read(&self, path: &str) -> Result<Value, Failure> {
        let mut reasons = Vec::new();
        for entry in &self.entries {
            match self.call(*entry, Method::Get, path, None, READ_TIMEOUT) {
                Ok(reply) => match parse_reply(&reply) {
                    Err(Failure::NotReachable(why)) => reasons.extend(why),
                    result => return result,
                },
                Err(e) => reasons.push(e.to_string()),
            }
        }
        Err(Failure::NotReachable(reasons))
    }

    /// Reads a body that isn't JSON from the first entry that answers.
    ///
    /// # Errors
    ///
    /// Fails if no entry can be reached, or with the error answer of the first one that can.
    pub fn read_bytes(&self, path: &str) -> Result<Vec<u8>, Failure> {
        let mut reasons = Vec::new();
        for entry in &self.entries {
            match self.call(*entry, Method::Get, path, None, READ_TIMEOUT) {
                Ok(reply) if reply.status == 200 => return Ok(reply.body),
                Ok(reply) => match parse_reply(&reply) {
                    Err(Failure::NotReachable(why)) => reasons.extend(why),
                    Err(failure) => return Err(failure),
                    Ok(_) => return Err(Failure::Failed(format!("the entry answered with status {}", reply.status))),
                },
                Err(e) => reasons.push(e.to_string()),
            }
        }
        Err(Failure::NotReachable(reasons))
    }

    /// Reads from every entry, and returns each answer with the entry's address.
    #[must_use]
    pub fn read_each(&self, path: &str) -> Vec<(SocketAddr, Result<Value, Failure>)> {
        let read = |entry: &SocketAddr| {
            let answer = match self.call(*entry, Method::Get, path, None, READ_TIMEOUT) {
                Ok(reply) => parse_reply(&reply),
                Err(e) => Err(Failure::NotReachable(vec![e.to_string()])),
            };
            (*entry, answer)
        };
        self.entries.iter().map(read).collect()
    }

    /// Sends a change to the first entry that can be reached. The next entry is tried only if the change can't have
    /// taken effect at the previous one.
    ///
    /// # Errors
    ///
    /// Fails if no entry accepts the change, and with an unknown outcome if an answer was lost.
    pub fn send(&self, method: Method, path: &str, body: Option<&Value>) -> Result<Value, Failure> {
        let mut reasons = Vec::new();
        for entry in &self.entries {
            match self.call(*entry, method, path, body, CALL_TIMEOUT) {
                Ok(reply) => match parse_reply(&reply) {
                    Err(Failure::NotReachable(why)) => reasons.extend(why),
                    result => return result,
                },
                Err(e) if e.may_have_arrived() => return Err(Failure::Unknown(e.to_string())),
                Err(e) => reasons.push(e.to_string()),
            }
        }
        Err(Failure::NotReachable(reasons))
    }

    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::read`].
    pub fn read_config(&self) -> Result<Config, Failure> {
        read_as(self.read("/v1/config")?)
    }

    /// Sends a change of the configuration. The entry waits for a limited time until the change is in force.
    ///
    /// # Errors
    ///
    /// Fails with both values if the object was changed after the revision `expected`.
    pub fn change(&self, change: &Change, expected: Option<Revision>) -> Result<Accepted, Failure> {
        let body = json!({ "expected": expected, "change": change });
        read_as(self.send(Method::Post, "/v1/config/changes", Some(&body))?)
    }

    fn call(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let mut call = Call::new(method, path).with_header("authorization", format!("Bearer {}", self.key));
        if let Some(body) = body {
            call = call.with_header("content-type", "application/json").with_body(body.to_string());
        }
        task::block_on(self.client.call(entry, &call, timeout))
    }
}

/// Decodes an answer.
///
/// # Errors
///
/// Fails if the answer doesn't have the form of `T`.
pub fn read_as<T: serde::de::DeserializeOwned>(value: Value) -> Result<T, Failure> {
    serde_json::from_value(value).map_err(|e| Failure::Failed(format!("the entry's answer can't be read: {e}")))
}

fn read_entries(text: &str) -> Result<Vec<SocketAddr>, Failure> {
    let mut findings = Findings::new();
    let mut entries = Vec::new();
    for part in text.split([' ', ',']).filter(|part| !part.is_empty()) {
        match part.parse() {
            Ok(address) => entries.push(address),
            Err(_) => findings.add(ENTRY_VARIABLE, format!("{part:?} is not an address such as 10.0.0.1:8080")),
        }
    }
    findings.into_result(entries).map_err(Failure::Invalid)
}

fn read_key(file: Option<&Path>) -> Result<String, Failure> {
    let from_variable = std::env::var_os(KEY_FILE_VARIABLE).map(PathBuf::from);
    let key = match (file, std::env::var(KEY_VARIABLE), &from_variable) {
        (Some(path), _, _) => read_key_file(path)?,
        (None, Ok(key), _) => key.trim().to_owned(),
        (None, Err(_), Some(path)) => read_key_file(path)?,
        (None, Err(_), None) => {
            let message = format!("set {KEY_VARIABLE} to your key, or name a file with --key-file");
            return Err(Failure::invalid("key", message));
        }
    };
    // The HTTP client would refuse a header value with other characters with a less clear message.
    if key.is_empty() || !key.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(Failure::invalid("key", "the key is empty or has characters other than printable ASCII"));
    }
    Ok(key)
}

fn read_key_file(path: &Path) -> Result<String, Failure> {
    let text =
        std::fs::read_to_string(path).map_err(|e| Failure::invalid(path.display().to_string(), e.to_string()))?;
    Ok(text.trim().to_owned())
}

fn parse_reply(reply: &Reply) -> Result<Value, Failure> {
    let body: Value = reply.json().unwrap_or(Value::Null);
    if (200..300).contains(&reply.status) {
        return Ok(body);
    }
    if let Ok(ConfigOutcome::Conflict { current, modified, proposed }) = serde_json::from_value(body.clone()) {
        return Err(Failure::RevisionConflict { current, modified, proposed });
    }
    let error: ErrorBody =
        serde_json::from_value(body).unwrap_or(ErrorBody { errors: Findings::new(), reason: None, outcomes: None });
    let mut messages: Vec<_> = error.errors.iter().map(ToString::to_string).collect();
    messages.extend(error.reason);
    messages.extend(error.outcomes.map(|v| v.to_string()));
    if messages.is_empty() {
        messages.push(format!("the entry answered with status {}", reply.status));
    }
    Err(match reply.status {
        400 | 404 | 413 | 422 if !error.errors.is_empty() => Failure::Invalid(error.errors),
        409 => Failure::Conflict(messages.join("; ")),
        503 => Failure::NotReachable(messages),
        504 => Failure::Unknown(messages.join("; ")),
        _ => Failure::Failed(messages.join("; ")),
    })
}
