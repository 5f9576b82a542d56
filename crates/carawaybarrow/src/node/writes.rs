//! Writes on the path of callers: by this entry, or by another one that reaches the store.

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
const WRITE_LIMIT: Duration = Duration::from_millis(700);

/// Time for the answer of another entry, which makes one attempt itself.
const PEER_LIMIT: Duration = Duration::from_millis(800);

/// Time in which a write is tried before its outcome is given as unknown; callers wait for 3 s.
const TOTAL_LIMIT: Duration = Duration::from_millis(2_000);

/// Attempts of a write that the store refuses, before the caller is sent elsewhere.
const REFUSED_ATTEMPTS: u32 = 3;

/// Pause before a write is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Outcome of a write that creates a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// It was made.
    Done(StoreRevision),
    /// The key exists, by this or an earlier write.
    Exists,
    /// It was not made and never will be.
    Nothing,
    /// It may have been made, or may be later.
    Unknown,
}

/// A write for which another entry asks.
#[derive(Debug, Serialize, Deserialize)]
struct Asked {
    key: String,
    value: Vec<u8>,
}

/// Outcome that an entry tells another.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Told {
    Done(u64),
    Exists,
    Nothing,
    Unknown,
}

impl From<Written> for Told {
    fn from(written: Written) -> Self {
        match written {
            Written::Done(revision) => Self::Done(revision.0),
            Written::Exists => Self::Exists,
            Written::Nothing => Self::Nothing,
            Written::Unknown => Self::Unknown,
        }
    }
}

impl From<Told> for Written {
    fn from(told: Told) -> Self {
        match told {
            Told::Done(revision) => Self::Done(StoreRevision(revision)),
            Told::Exists => Self::Exists,
            Told::Nothing => Self::Nothing,
            Told::Unknown => Self::Unknown,
        }
    }
}

/// Makes writes.
#[derive(Debug)]
pub struct Writes {
    view: Arc<View>,
    client: Client,
}

impl Writes {
    /// Creates the calls to other entries.
    #[must_use]
    pub fn new(view: Arc<View>, name: &str) -> Self {
        Self { view, client: Client::new(name) }
    }

    /// Creates a key. The write is repeated here and by other entries until its outcome is known or the time is over;
    /// its condition makes repetitions harmless.
    pub async fn make(&self, key: String, value: Vec<u8>) -> Written {
        let began = Instant::now();
        let peers = self.view.other_entries();
        let mut may_have_happened = false;
        for attempt in 0.. {
            // The store may turn this entry away and serve others, so attempts go by turns.
            let written = match peers.get(attempt as usize / 2) {
                Some(peer) if attempt % 2 == 1 => self.ask(*peer, &key, &value).await,
                _ => create(&self.view, &key, &value).await,
            };
            match written {
                Written::Done(_) | Written::Exists => return written,
                Written::Nothing => {}
                Written::Unknown => may_have_happened = true,
            }
            let is_over = began.elapsed() >= TOTAL_LIMIT || (!may_have_happened && attempt + 1 >= REFUSED_ATTEMPTS);
            if is_over {
                break;
            }
            async_std::task::sleep(RETRY_PAUSE).await;
        }
        if may_have_happened { Written::Unknown } else { Written::Nothing }
    }

    async fn ask(&self, peer: SocketAddr, key: &str, value: &[u8]) -> Written {
        let body = records::write(&Asked { key: key.to_owned(), value: value.to_vec() });
        match self.client.call(peer, &Call::new(Method::Post, "/writes").with_body(body), PEER_LIMIT).await {
            Ok(reply) if reply.status == 200 => match reply.json::<Told>() {
                Ok(told) => {
                    log::info!(key = key, peer:% = peer, outcome:? = told; "write made by another entry");
                    told.into()
                }
                Err(e) => {
                    log::error!(key = key, peer:% = peer, error:% = e; "answer of another entry can't be read");
                    Written::Unknown
                }
            },
            Ok(reply) => {
                log::info!(key = key, peer:% = peer, status = reply.status; "another entry refuses a write");
                Written::Nothing
            }
            Err(e) => {
                log::info!(key = key, peer:% = peer, error:% = e; "no answer of another entry to a write");
                if e.may_have_arrived() { Written::Unknown } else { Written::Nothing }
            }
        }
    }
}

/// Creates a key with one call to the store.
async fn create(view: &View, key: &str, value: &[u8]) -> Written {
    let change = Change {
        expected: vec![(key.to_owned(), StoreRevision::ABSENT)],
        puts: vec![(key.to_owned(), value.to_vec(), None)],
        deletes: Vec::new(),
    };
    match view.store.change(&change, WRITE_LIMIT).await {
        Ok(ChangeOutcome::Done(revision)) => Written::Done(revision),
        Ok(ChangeOutcome::Conflict(_)) => Written::Exists,
        Ok(ChangeOutcome::NoLease) => Written::Nothing,
        Err(e) => {
            log::info!(key = key, error:% = e; "write not answered");
            if e.may_have_taken_effect() { Written::Unknown } else { Written::Nothing }
        }
    }
}

/// Serves the writes of other entries.
pub fn add_routes(app: &mut tide::Server<Arc<View>>) {
    app.at("/writes").post(answer_write);
}

async fn answer_write(mut req: Request<Arc<View>>) -> tide::Result {
    let asked: Asked = records::read(&req.body_bytes().await?)?;
    let told = Told::from(create(req.state(), &asked.key, &asked.value).await);
    Ok(Response::builder(StatusCode::Ok).body(records::write(&told)).build())
}
