//! Calls from an entry to the entry that schedules.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use carawaybarrow_core::sched::graph::{JobKey, QueueName};
use carawaybarrow_core::sched::progress::{JobRecord, JobState};
use http_types::Method;
use serde::{Deserialize, Serialize};
use tide::{Request, Response, StatusCode};

use crate::http_client::{Call, Client};
use crate::node::election;
use crate::node::records::{self, Owner};
use crate::node::term::Term;
use crate::node::view::View;

/// Time for an answer of the scheduler; the store is asked instead afterwards.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);

/// Time for a handover: the scheduler stores what waits and ends its lease, which takes a few calls of the store.
const HANDOVER_LIMIT: Duration = Duration::from_millis(1_000);

/// A job that was just accepted.
#[derive(Debug, Serialize, Deserialize)]
struct Pushed {
    record: JobRecord,
    /// Change of the store that created it.
    created: u64,
}

/// What the scheduler says of a job.
#[derive(Debug, Serialize, Deserialize)]
struct StateAnswer {
    state: Option<JobState>,
}

/// What the scheduler says of a queue.
#[derive(Debug, Serialize, Deserialize)]
struct PendingAnswer {
    pending: usize,
}

/// Calls to the entry that schedules, which may be this one.
#[derive(Debug)]
pub struct Peers {
    client: Client,
    view: Arc<View>,
    is_lost: AtomicBool,
}

impl Peers {
    /// Creates the calls.
    #[must_use]
    pub fn new(view: Arc<View>, name: &str) -> Self {
        Self { client: Client::new(name), view, is_lost: AtomicBool::new(false) }
    }

    async fn call(&self, call: &Call) -> Option<crate::http_client::Reply> {
        let address = self.view.scheduler()?.peers;
        let lost = match self.client.call(address, call, ANSWER_LIMIT).await {
            Ok(reply) if reply.status == 200 => {
                if self.is_lost.swap(false, Ordering::SeqCst) {
                    log::info!(scheduler:% = address; "scheduler regained");
                }
                return Some(reply);
            }
            Ok(reply) => format!("status {}", reply.status),
            Err(e) => e.to_string(),
        };
        if !self.is_lost.swap(true, Ordering::SeqCst) {
            log::warn!(scheduler:% = address, error = lost; "scheduler lost");
        }
        None
    }

    /// Tells the scheduler of a new job. Without an answer it learns of it from the store.
    pub async fn push_job(&self, job: &JobKey, record: JobRecord, created: u64) {
        if let Some(term) = self.view.term() {
            term.add_job(job, record, created);
            return;
        }
        let body = records::write(&Pushed { record, created });
        self.call(&Call::new(Method::Put, format!("/jobs/{job}")).with_body(body)).await;
    }

    /// Tells the scheduler of a cancelled job.
    pub async fn push_cancel(&self, job: &JobKey) {
        if let Some(term) = self.view.term() {
            term.cancel_job(job);
            return;
        }
        self.call(&Call::new(Method::Delete, format!("/jobs/{job}"))).await;
    }

    /// Asks the scheduler to end its term, so that this entry may begin one. Returns whether it did.
    pub async fn ask_handover(&self, owner: &Owner) -> bool {
        let call = Call::new(Method::Post, format!("/terms/{}/handover", owner.term));
        let answer = match self.client.call(owner.peers, &call, HANDOVER_LIMIT).await {
            Ok(reply) => format!("status {}", reply.status),
            Err(e) => e.to_string(),
        };
        log::info!(scheduler:% = owner.entry, term = owner.term, answer = answer; "handover asked for");
        answer == "status 200"
    }

    /// State of a job; `None` if the scheduler doesn't know it or can't be asked.
    pub async fn state_of(&self, job: &JobKey) -> Option<JobState> {
        if let Some(term) = self.view.term() {
            return term.with(|s| s.state_of(job));
        }
        let reply = self.call(&Call::new(Method::Get, format!("/jobs/{job}"))).await?;
        reply.json::<StateAnswer>().ok()?.state
    }

    /// Waiting jobs of a queue; `None` if the scheduler can't be asked.
    pub async fn pending(&self, queue: &QueueName) -> Option<usize> {
        if let Some(term) = self.view.term() {
            return term.is_loaded().then(|| term.with(|s| s.pending(queue)));
        }
        let reply = self.call(&Call::new(Method::Get, format!("/queues/{queue}"))).await?;
        Some(reply.json::<PendingAnswer>().ok()?.pending)
    }
}

/// Serves the calls of other entries.
pub fn add_routes(app: &mut tide::Server<Arc<View>>) {
    app.at("/jobs/:job").put(put_job).delete(delete_job).get(get_job);
    app.at("/queues/:queue").get(get_queue);
    app.at("/terms/:term/handover").post(hand_over);
}

fn term_of(req: &Request<Arc<View>>) -> Result<Arc<Term>, StatusCode> {
    req.state().term().filter(|t| t.is_loaded()).ok_or(StatusCode::ServiceUnavailable)
}

fn job_of(req: &Request<Arc<View>>) -> JobKey {
    JobKey::new(req.param("job").unwrap_or_default())
}

async fn put_job(mut req: Request<Arc<View>>) -> tide::Result {
    let term = match term_of(&req) {
        Ok(term) => term,
        Err(status) => return Ok(Response::new(status)),
    };
    let pushed: Pushed = records::read(&req.body_bytes().await?)?;
    term.add_job(&job_of(&req), pushed.record, pushed.created);
    Ok(Response::new(StatusCode::Ok))
}

async fn delete_job(req: Request<Arc<View>>) -> tide::Result {
    Ok(match term_of(&req) {
        Ok(term) => {
            term.cancel_job(&job_of(&req));
            Response::new(StatusCode::Ok)
        }
        Err(status) => Response::new(status),
    })
}

async fn get_job(req: Request<Arc<View>>) -> tide::Result {
    Ok(match term_of(&req) {
        Ok(term) => answer(&StateAnswer { state: term.with(|s| s.state_of(&job_of(&req))) }),
        Err(status) => Response::new(status),
    })
}

async fn hand_over(req: Request<Arc<View>>) -> tide::Result {
    let asked = req.param("term").ok().and_then(|t| t.parse().ok());
    match term_of(&req) {
        // Without settled pools the next scheduler would have to learn twice what runs.
        Ok(term) if asked == Some(term.owner.term) && term.with(|s| s.is_reconciled()) => {
            election::finish(&term, "a stronger entry asks for it").await;
            Ok(Response::new(StatusCode::Ok))
        }
        Ok(_) => Ok(Response::new(StatusCode::Conflict)),
        Err(status) => Ok(Response::new(status)),
    }
}

async fn get_queue(req: Request<Arc<View>>) -> tide::Result {
    let queue = QueueName::new(req.param("queue").unwrap_or_default());
    Ok(match term_of(&req) {
        Ok(term) => answer(&PendingAnswer { pending: term.with(|s| s.pending(&queue)) }),
        Err(status) => Response::new(status),
    })
}

fn answer<T: Serialize>(body: &T) -> Response {
    Response::builder(StatusCode::Ok).body(records::write(body)).build()
}
