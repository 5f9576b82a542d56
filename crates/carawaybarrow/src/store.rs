//! Client of the platform's key-value store, and commits against it.

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

/// Timeout of a call to the store; the store answers in milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Expected version that no key ever has. A write with it always conflicts, so it reports the current version and
/// changes nothing.
const IMPOSSIBLE_VERSION: StoreVersion = StoreVersion(u64::MAX);

/// Smallest and largest upper bound of the delay before a call is repeated.
const BACKOFF_BOUNDS: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(1));

/// A value and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Version of the key at this value.
    pub version: StoreVersion,
    /// Value as stored.
    pub bytes: Vec<u8>,
}

/// A value to write.
#[derive(Clone, Debug)]
pub struct Put {
    /// Key to write.
    pub key: String,
    /// Version that the key must have; 0 if it must be absent.
    pub expect: StoreVersion,
    /// Value to write.
    pub bytes: Vec<u8>,
    /// Lease that the key is bound to: the store removes the key when the lease ends.
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

/// Errors of calls to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The call counts as one without effect: the store refused it, was not reached or answered with an unexpected
    /// status, also to a write.
    #[snafu(display("the store did not take the call"))]
    Refused,
    /// No answer came, or one that can't be read; the call may have taken effect.
    #[snafu(display("no answer came from the store"))]
    Lost,
    /// The lease of the call doesn't exist any more.
    #[snafu(display("the lease has lapsed"))]
    LeaseLapsed,
}

/// Calls to the store.
pub trait Store: Send + Sync {
    /// Reads a key; the value may be stale.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Stored>, StoreError>>;

    /// Writes a key if it has the expected version.
    fn put(&self, put: Put) -> BoxFuture<'_, Result<PutAnswer, StoreError>>;

    /// Removes a key if it has the expected version.
    fn delete<'a>(&'a self, key: &'a str, expect: StoreVersion) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Waits until the key has a later version than `after`, and reads it; `None` if that takes longer than `wait`.
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

    /// Ends a lease, which removes the keys bound to it.
    fn revoke_lease<'a>(&'a self, lease: &'a LeaseId) -> BoxFuture<'a, Result<(), StoreError>>;
}

/// HTTP client of the store.
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
    /// Creates a client of the store at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr, client: Client, metrics: Arc<Metrics>) -> Self {
        Self { address, client, metrics }
    }

    async fn call(&self, call: Call, timeout: Duration) -> Result<(u16, Vec<u8>), StoreError> {
        match self.client.call(self.address, &call, timeout).await {
            Ok(reply) if matches!(reply.status, 429 | 503) => Err(StoreError::Refused),
            Ok(reply) => Ok((reply.status, reply.body)),
            Err(e) if e.may_have_arrived() => Err(StoreError::Lost),
            Err(_) => Err(StoreError::Refused),
        }
    }

    async fn read(&self, call: Call, timeout: Duration) -> Result<Option<Stored>, StoreError> {
        let (status, body) = self.call(call, timeout).await?;
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

/// Decodes the body of an answer. An undecodable answer counts as a lost one.
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

/// Errors of commits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum CommitError {
    /// Nothing was written.
    #[snafu(display("{reason}"))]
    NotWritten {
        /// Why the commit wrote nothing.
        reason: NotWritten,
    },
    /// The answer to the write was lost; it may have taken effect.
    #[snafu(display("the store did not tell whether the change took effect"))]
    Unknown,
}

/// Result of a successful commit.
#[derive(Debug)]
pub struct Committed<D: Document> {
    /// Outcomes of the commands, in their order.
    pub outcomes: Vec<D::Outcome>,
    /// Version of the document after the commit.
    pub version: StoreVersion,
    /// The document at that version.
    pub document: D,
}

/// Runs a commit against the store. Waits before the next call after a conflict or a failed call.
///
/// # Errors
///
/// Fails if the commit runs out of attempts because of failed calls or conflicts, or if it is unknown whether its write
/// took effect.
pub async fn run_commit<D: Document>(
    store: &dyn Store,
    key: &str,
    mut commit: Commit<D>,
) -> Result<Committed<D>, CommitError> {
    let mut failures = 0;
    let mut step = commit.start();
    loop {
        let response = match step {
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
        if !matches!(response, StoreResponse::Value { .. } | StoreResponse::Absent | StoreResponse::Written(_)) {
            task::sleep(backoff(failures)).await;
            failures += 1;
        }
        step = commit.handle_response(response);
    }
}

/// Random delay before the next call. Its upper bound grows exponentially with the number of failures; the jitter
/// spreads out writers that conflicted.
#[must_use]
pub fn backoff(failures: u32) -> Duration {
    let (shortest, longest) = BACKOFF_BOUNDS;
    let bound = shortest.saturating_mul(1 << failures.min(10)).min(longest);
    rand::rng().random_range(shortest / 2..=bound)
}

/// Reads the current version of a key by a write that always conflicts. Unlike the answer of a read, it is never stale.
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
