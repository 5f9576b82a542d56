//! Creates keys while a caller waits, directly or through another entry that reaches the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use carawaybarrow_platform::store::{Change, ChangeOutcome, StoreRevision};
use http_types::Method;
use serde::{Deserialize, Serialize};
use tide::{Request, Response, StatusCode};

use crate::http_client::{Call, Client};
use crate::node::records;
use crate::node::view::View;

/// Time for one answer of the store to a write; slow answers take up to 0.5 s.
const WRITE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for the answer of another entry, which makes one attempt.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which a write is repeated before its outcome is reported as unknown; callers wait for 3 s.
const CREATE_LIMIT: Duration = Duration::from_millis(2_000);

/// Attempts of a write that the store refuses each time, before the caller receives an error and can retry at another
/// entry.
const REFUSED_ATTEMPTS: u32 = 3;

/// Pause before a write is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Outcome of a write that creates a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreateOutcome {
    /// The key was created at this revision.
    Created(StoreRevision),
    /// The key exists, created by this or an earlier write.
    Exists,
    /// The key was not created, and no attempt can still create it.
    NotCreated,
    /// An attempt without an answer may have created the key, or may still create it.
    Unknown,
}

/// Request of another entry to create a key.
#[derive(Debug, Serialize, Deserialize)]
struct CreateRequest {
    key: String,
    value: Vec<u8>,
}

/// Answer to a [`CreateRequest`].
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum CreateReply {
    Done(u64),
    Exists,
    Nothing,
    Unknown,
}

impl From<CreateOutcome> for CreateReply {
    fn from(outcome: CreateOutcome) -> Self {
        match outcome {
            CreateOutcome::Created(revision) => Self::Done(revision.0),
            CreateOutcome::Exists => Self::Exists,
            CreateOutcome::NotCreated => Self::Nothing,
            CreateOutcome::Unknown => Self::Unknown,
        }
    }
}

impl From<CreateReply> for CreateOutcome {
    fn from(reply: CreateReply) -> Self {
        match reply {
            CreateReply::Done(revision) => Self::Created(StoreRevision(revision)),
            CreateReply::Exists => Self::Exists,
            CreateReply::Nothing => Self::NotCreated,
            CreateReply::Unknown => Self::Unknown,
        }
    }
}

/// Creates keys in the store (not API keys), directly and through other entries.
#[derive(Debug)]
pub struct StoreKeyWriter {
    view: Arc<View>,
    client: Client,
}

impl StoreKeyWriter {
    /// Creates a writer; `name` is sent in the headers of its calls to other entries.
    #[must_use]
    pub fn new(view: Arc<View>, name: &str) -> Self {
        Self { view, client: Client::new(name) }
    }

    /// Creates a key. Attempts are repeated, by this entry and by others, until the outcome is known or the time is
    /// over. Repetitions are harmless, as each has the condition that the key does not exist.
    ///
    /// An entry that has lost the store makes no attempt itself. If the others have lost it too, nothing was sent, so the
    /// caller hears at once that the key was not created and may try again.
    pub async fn create(&self, key: String, value: Vec<u8>) -> CreateOutcome {
        let began = Instant::now();
        let peers = self.view.other_entries();
        let mut others = peers.iter();
        let mut may_be_created = false;
        for attempt in 0.. {
            // The store may refuse this entry and serve others, so attempts alternate between this entry and others.
            let has_lost_store = self.view.has_lost_store();
            let other = if has_lost_store || attempt % 2 == 1 { others.next() } else { None };
            let outcome = match other {
                Some(peer) => self.create_through_peer(*peer, &key, &value).await,
                None if has_lost_store => CreateOutcome::NotCreated,
                None => create_directly(&self.view, &key, &value).await,
            };
            match outcome {
                CreateOutcome::Created(_) | CreateOutcome::Exists => return outcome,
                CreateOutcome::NotCreated => {}
                CreateOutcome::Unknown => may_be_created = true,
            }
            let is_exhausted = began.elapsed() >= CREATE_LIMIT || (!may_be_created && attempt + 1 >= REFUSED_ATTEMPTS);
            if is_exhausted {
                break;
            }
            async_std::task::sleep(RETRY_PAUSE).await;
        }
        if may_be_created { CreateOutcome::Unknown } else { CreateOutcome::NotCreated }
    }

    async fn create_through_peer(&self, peer: SocketAddr, key: &str, value: &[u8]) -> CreateOutcome {
        let body = records::encode(&CreateRequest { key: key.to_owned(), value: value.to_vec() });
        match self.client.call(peer, &Call::new(Method::Post, "/writes").with_body(body), PEER_TIMEOUT).await {
            Ok(reply) if reply.status == 200 => match reply.json::<CreateReply>() {
                Ok(outcome) => {
                    log::info!(key = key, peer:% = peer, outcome:? = outcome; "write made by another entry");
                    outcome.into()
                }
                Err(e) => {
                    log::error!(key = key, peer:% = peer, error:% = e; "answer of another entry can't be read");
                    CreateOutcome::Unknown
                }
            },
            Ok(reply) => {
                log::info!(key = key, peer:% = peer, status = reply.status; "another entry refuses a write");
                CreateOutcome::NotCreated
            }
            Err(e) => {
                log::info!(key = key, peer:% = peer, error:% = e; "no answer of another entry to a write");
                if e.may_have_arrived() { CreateOutcome::Unknown } else { CreateOutcome::NotCreated }
            }
        }
    }
}

/// Creates a key with one call to the store.
async fn create_directly(view: &View, key: &str, value: &[u8]) -> CreateOutcome {
    let change = Change {
        expected: vec![(key.to_owned(), StoreRevision::ABSENT)],
        puts: vec![(key.to_owned(), value.to_vec(), None)],
        deletes: Vec::new(),
    };
    match view.store.change(&change, WRITE_TIMEOUT).await {
        Ok(ChangeOutcome::Done(revision)) => CreateOutcome::Created(revision),
        Ok(ChangeOutcome::Conflict(_)) => CreateOutcome::Exists,
        Ok(ChangeOutcome::NoLease) => CreateOutcome::NotCreated,
        Err(e) => {
            log::info!(key = key, error:% = e; "write not answered");
            if e.may_have_taken_effect() { CreateOutcome::Unknown } else { CreateOutcome::NotCreated }
        }
    }
}

/// Adds the route on which other entries request writes.
pub fn add_routes(app: &mut tide::Server<Arc<View>>) {
    app.at("/writes").post(answer_write);
}

async fn answer_write(mut req: Request<Arc<View>>) -> tide::Result {
    let request: CreateRequest = records::decode(&req.body_bytes().await?)?;
    let view = req.state();
    let outcome = match view.has_lost_store() {
        true => CreateOutcome::NotCreated,
        false => create_directly(view, &request.key, &request.value).await,
    };
    let reply = CreateReply::from(outcome);
    Ok(Response::builder(StatusCode::Ok).body(records::encode(&reply)).build())
}
