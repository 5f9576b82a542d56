//! The platform's key-value store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::commit::{Commit, Document, NotWritten, Step, StoreResponse};
use carawaybarrow_core::ids::{LeaseId, StoreVersion};
use carawaybarrow_core::units::Millis;
use futures::future::BoxFuture;
use http_types::Method;
use rand::Rng;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::http_client::{Call, Client};
use crate::metrics::{Metrics, StoreUse};

/// Time after which a call to the store counts as lost; the store answers in milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Expected version that no key ever has, for a write that reports the current version and changes nothing.
const IMPOSSIBLE_VERSION: StoreVersion = StoreVersion(u64::MAX);

/// Shortest and longest pause before a call is repeated.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(1));

/// A value and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Version.
    pub version: StoreVersion,
    /// Value.
    pub bytes: Vec<u8>,
}

/// A value to write.
#[derive(Clone, Debug)]
pub struct Put {
    /// Key.
    pub key: String,
    /// Version that the key must have; 0 if it must be absent.
    pub expect: StoreVersion,
    /// Value.
    pub bytes: Vec<u8>,
    /// Lease whose end removes the key.
    pub lease: Option<LeaseId>,
}

/// Answer to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutAnswer {
    /// Written with this version.
    Written(StoreVersion),
    /// Not written; the key has this version.
    Conflict(StoreVersion),
}

/// A call without an answer of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The store did not take the call.
    #[snafu(display("the store did not take the call"))]
    Refused,
    /// No answer came; the call may have taken effect.
    #[snafu(display("no answer came from the store"))]
    Lost,
    /// The lease doesn't exist any more.
    #[snafu(display("the lease has lapsed"))]
    LeaseLapsed,
}

/// The store as this process uses it.
pub trait Store: Send + Sync {
    /// Reads a key; the value may be stale.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Stored>, StoreError>>;

    /// Writes a key if it has the expected version.
    fn put(&self, put: Put) -> BoxFuture<'_, Result<PutAnswer, StoreError>>;

    /// Removes a key if it has the expected version.
    fn delete<'a>(&'a self, key: &'a str, expect: StoreVersion) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Waits until the key has a later version; `None` after `wait`.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: StoreVersion,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Stored>, StoreError>>;

    /// Creates a lease.
    fn grant_lease(&self, ttl: Millis) -> BoxFuture<'_, Result<LeaseId, StoreError>>;

    /// Renews a lease.
    fn renew_lease<'a>(&'a self, lease: &'a LeaseId) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Ends a lease and removes its keys.
    fn revoke_lease<'a>(&'a self, lease: &'a LeaseId) -> BoxFuture<'a, Result<(), StoreError>>;
}

/// Client of a store that speaks HTTP.
#[derive(Debug)]
pub struct HttpStore {
    address: SocketAddr,
    client: Client,
    metrics: Arc<Metrics>,
}

#[derive(Deserialize)]
struct ValueBody {
    value: String,
    version: StoreVersion,
}

#[derive(Serialize, Deserialize)]
struct VersionBody {
    version: StoreVersion,
}

#[derive(Deserialize)]
struct LeaseBody {
    lease: LeaseId,
}

impl HttpStore {
    /// Creates a client.
    #[must_use]
    pub const fn new(address: SocketAddr, client: Client, metrics: Arc<Metrics>) -> Self {
        Self { address, client, metrics }
    }

    async fn call(&self, call: Call, limit: Duration) -> Result<(u16, Vec<u8>), StoreError> {
        match self.client.call(self.address, &call, limit).await {
            Ok(reply) if matches!(reply.status, 429 | 503) => Err(StoreError::Refused),
            Ok(reply) => Ok((reply.status, reply.body)),
            Err(e) if e.may_have_arrived() => Err(StoreError::Lost),
            Err(_) => Err(StoreError::Refused),
        }
    }

    async fn read(&self, call: Call, limit: Duration) -> Result<Option<Stored>, StoreError> {
        let (status, body) = self.call(call, limit).await?;
        match status {
            200 => {
                let ValueBody { value, version } = parse(&body)?;
                Ok(Some(Stored { version, bytes: value.into_bytes() }))
            }
            204 | 404 => Ok(None),
            _ => Err(StoreError::Refused),
        }
    }
}

/// Reads an answer; one that can't be read counts as none.
fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|_unreadable| StoreError::Lost)
}

impl Store for HttpStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Stored>, StoreError>> {
        self.metrics.count_store_call(StoreUse::of_key(key), "read");
        Box::pin(self.read(Call::new(Method::Get, format!("/kv/{key}")), CALL_TIMEOUT))
    }

    fn put(&self, put: Put) -> BoxFuture<'_, Result<PutAnswer, StoreError>> {
        let usage = if put.expect == IMPOSSIBLE_VERSION { StoreUse::Probe } else { StoreUse::of_key(&put.key) };
        self.metrics.count_store_call(usage, "write");
        Box::pin(async move {
            let mut path = format!("/kv/{}?expect={}", put.key, put.expect);
            if let Some(lease) = &put.lease {
                path.push_str(&format!("&lease={lease}"));
            }
            let call = Call::new(Method::Put, path).with_body(put.bytes);
            let (status, body) = self.call(call, CALL_TIMEOUT).await?;
            match status {
                200 => Ok(PutAnswer::Written(parse::<VersionBody>(&body)?.version)),
                409 => Ok(PutAnswer::Conflict(parse::<VersionBody>(&body)?.version)),
                404 => Err(StoreError::LeaseLapsed),
                _ => Err(StoreError::Refused),
            }
        })
    }

    fn delete<'a>(&'a self, key: &'a str, expect: StoreVersion) -> BoxFuture<'a, Result<(), StoreError>> {
        self.metrics.count_store_call(StoreUse::of_key(key), "write");
        Box::pin(async move {
            let call = Call::new(Method::Delete, format!("/kv/{key}?expect={expect}"));
            match self.call(call, CALL_TIMEOUT).await?.0 {
                200 | 204 | 404 | 409 => Ok(()),
                _ => Err(StoreError::Refused),
            }
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: StoreVersion,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Stored>, StoreError>> {
        self.metrics.count_store_call(StoreUse::of_key(key), "watch");
        let path = format!("/watch/{key}?after={after}&wait_ms={}", wait.as_millis());
        Box::pin(self.read(Call::new(Method::Get, path), wait + CALL_TIMEOUT))
    }

    fn grant_lease(&self, ttl: Millis) -> BoxFuture<'_, Result<LeaseId, StoreError>> {
        self.metrics.count_store_call(StoreUse::Lease, "write");
        Box::pin(async move {
            let call = Call::new(Method::Post, format!("/lease?ttl_ms={}", ttl.0));
            let (status, body) = self.call(call, CALL_TIMEOUT).await?;
            if status != 200 {
                return Err(StoreError::Refused);
            }
            Ok(parse::<LeaseBody>(&body)?.lease)
        })
    }

    fn renew_lease<'a>(&'a self, lease: &'a LeaseId) -> BoxFuture<'a, Result<(), StoreError>> {
        self.metrics.count_store_call(StoreUse::Lease, "write");
        Box::pin(async move {
            let call = Call::new(Method::Post, format!("/lease/{lease}/renew"));
            match self.call(call, CALL_TIMEOUT).await?.0 {
                200 => Ok(()),
                404 => Err(StoreError::LeaseLapsed),
                _ => Err(StoreError::Refused),
            }
        })
    }

    fn revoke_lease<'a>(&'a self, lease: &'a LeaseId) -> BoxFuture<'a, Result<(), StoreError>> {
        self.metrics.count_store_call(StoreUse::Lease, "write");
        Box::pin(async move {
            let call = Call::new(Method::Delete, format!("/lease/{lease}"));
            self.call(call, CALL_TIMEOUT).await.map(|_| ())
        })
    }
}

/// A commit that did not end with outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum CommitError {
    /// Nothing was written.
    #[snafu(display("{reason}"))]
    NotWritten {
        /// Why.
        reason: NotWritten,
    },
    /// The write may have taken effect.
    #[snafu(display("the store did not tell whether the change took effect"))]
    Unknown,
}

/// A commit that ended.
#[derive(Debug)]
pub struct Committed<D: Document> {
    /// One outcome a command.
    pub outcomes: Vec<D::Outcome>,
    /// Version of the document.
    pub version: StoreVersion,
    /// The document at that version.
    pub document: D,
}

/// Runs a commit against the store.
///
/// # Errors
///
/// Fails if the store could not be reached often enough to end the commit.
pub async fn run_commit<D: Document>(
    store: &dyn Store,
    key: &str,
    mut commit: Commit<D>,
) -> Result<Committed<D>, CommitError> {
    let mut failures = 0;
    let mut step = commit.start();
    loop {
        let event = match step {
            Step::Read => match store.get(key).await {
                Ok(Some(Stored { version, bytes })) => StoreResponse::Value { version, bytes },
                Ok(None) => StoreResponse::Absent,
                Err(StoreError::Lost) => StoreResponse::Lost,
                Err(_) => StoreResponse::Refused,
            },
            Step::Write { expect, bytes } => {
                let put = Put { key: key.to_owned(), expect, bytes, lease: None };
                match store.put(put).await {
                    Ok(PutAnswer::Written(version)) => StoreResponse::Written(version),
                    Ok(PutAnswer::Conflict(_)) => StoreResponse::Conflict,
                    Err(StoreError::Lost) => StoreResponse::Lost,
                    Err(_) => StoreResponse::Refused,
                }
            }
            Step::Done { outcomes, version } => {
                let document = commit.into_document().unwrap_or_default();
                return Ok(Committed { outcomes, version, document });
            }
            Step::NotWritten(reason) => return NotWrittenSnafu { reason }.fail(),
            Step::Unknown => return UnknownSnafu.fail(),
        };
        if !matches!(event, StoreResponse::Value { .. } | StoreResponse::Absent | StoreResponse::Written(_)) {
            task::sleep(backoff(failures)).await;
            failures += 1;
        }
        step = commit.handle_response(event);
    }
}

/// Pause before the next call: exponential with full jitter, so that writers that met a conflict spread out.
#[must_use]
pub fn backoff(failures: u32) -> Duration {
    let (shortest, longest) = BACKOFF;
    let bound = shortest.saturating_mul(1 << failures.min(10)).min(longest);
    rand::rng().random_range(shortest / 2..=bound)
}

/// Asks for the current version of a key without changing it. Unlike a read, the answer is never stale.
///
/// # Errors
///
/// Fails if the store doesn't answer.
pub async fn probe_version(store: &dyn Store, key: &str) -> Result<StoreVersion, StoreError> {
    let put = Put { key: key.to_owned(), expect: IMPOSSIBLE_VERSION, bytes: Vec::new(), lease: None };
    match store.put(put).await? {
        PutAnswer::Conflict(version) | PutAnswer::Written(version) => Ok(version),
    }
}
