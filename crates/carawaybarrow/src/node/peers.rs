//! Calls to the entry that schedules, and their server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::{future, task};
use carawaybarrow_core::Map;
use carawaybarrow_core::sched::candidacy::{ReliefAnswer, ReliefOutcome, TermAnswer, TermState};
use carawaybarrow_core::sched::graph::{JobKey, QueueName};
use carawaybarrow_core::sched::progress::{JobRecord, JobState};
use carawaybarrow_core::sched::takeover::LastStop;
use carawaybarrow_core::units::{Millis, MonoTime};
use carawaybarrow_platform::store::{Change, ChangeOutcome, LeaseId};
use http_types::Method;
use serde::{Deserialize, Serialize};
use tide::{Request, Response, StatusCode};

use crate::http_client::{Call, Client};
use crate::node::election;
use crate::node::records::{self, LastScheduler, Owner, RELIEVED_TERM_KEY, SCHEDULER_KEY};
use crate::node::term::Term;
use crate::node::view::{self, View};

/// Time for an answer of the scheduler. Without one, the state of a job is read from the store.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for a handover: the scheduler stores its pending changes and ends its lease, which takes a few calls to the
/// store.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for an answer to a request for relief, which takes one call to the store.
const RELIEF_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a new scheduler tells the other entries of its term. It covers the time in which it waits for workers
/// that have not answered.
const ANNOUNCE_LIMIT: Duration = Duration::from_secs(10);

/// Time after the first failed call to the scheduler in which its lease lapses if its process has ended, with a margin.
const LAPSE_WATCH: Millis = Millis(3_000);

/// Status of an entry that is told of a later term: its own term has ended, and all schedulers before it had stopped.
const ALL_STOPPED: u16 = 200;

/// Number of entries that are told of a term at the same time. Those that reach the store learn of it there, so the calls
/// are spread over some seconds and leave CPU and bandwidth to the new scheduler.
const ANNOUNCED_AT_ONCE: usize = 8;

/// Pause before further entries are told, or those that did not answer are told again.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(100);

/// Request of a scheduler that has lost the store.
#[derive(Debug, Serialize, Deserialize)]
struct Relief {
    /// Lease of its term.
    lease: u64,
}

/// Answer of an entry that is told of a later term.
#[derive(Debug, Default, Serialize, Deserialize)]
struct BegunAnswer {
    /// Start of its process in Unix ms; `None` for an entry of an earlier version.
    #[serde(default)]
    incarnation: Option<u64>,
    /// Time for which it has confirmed no term; `None` for an entry of an earlier version.
    #[serde(default)]
    without_confirmation: Option<Millis>,
}

/// Request of a stronger entry that the scheduler ends its term.
#[derive(Debug, Serialize, Deserialize)]
struct Handover {
    /// Address of the stronger entry.
    peers: SocketAddr,
}

/// A job that was just accepted.
#[derive(Debug, Serialize, Deserialize)]
struct NewJob {
    record: JobRecord,
    /// Revision of the store at which it was created.
    created: u64,
}

/// The scheduler's answer about the state of a job.
#[derive(Debug, Serialize, Deserialize)]
struct StateAnswer {
    state: Option<JobState>,
}

/// The scheduler's answer about the pending jobs of a queue.
#[derive(Debug, Serialize, Deserialize)]
struct PendingAnswer {
    pending: usize,
}

/// Client of the scheduler. While this entry schedules, it uses its own term instead of a call.
#[derive(Debug)]
pub struct SchedulerClient {
    client: Client,
    view: Arc<View>,
    /// Time in ms since which calls to the scheduler fail; 0 if the last one succeeded.
    scheduler_lost_at: AtomicU64,
}

impl SchedulerClient {
    /// Creates a client; `name` is sent in the headers of its calls.
    #[must_use]
    pub fn new(view: Arc<View>, name: &str) -> Self {
        Self { client: Client::new(name), view, scheduler_lost_at: AtomicU64::new(0) }
    }

    async fn call(&self, call: &Call) -> Option<crate::http_client::Reply> {
        let address = self.view.scheduler()?.peers;
        let failure = match self.client.call(address, call, ANSWER_TIMEOUT).await {
            Ok(reply) if reply.status == 200 => {
                if self.scheduler_lost_at.swap(0, Ordering::SeqCst) != 0 {
                    log::info!(scheduler:% = address; "scheduler regained");
                }
                return Some(reply);
            }
            Ok(reply) => format!("status {}", reply.status),
            Err(e) => e.to_string(),
        };
        let lost_at = view::now().mono.0.max(1);
        if self.scheduler_lost_at.compare_exchange(0, lost_at, Ordering::SeqCst, Ordering::SeqCst).is_ok() {
            // A successor should not notice late that the lease has lapsed.
            self.view.request_probe();
            log::warn!(scheduler:% = address, error = failure; "scheduler lost");
        }
        None
    }

    /// Whether calls to the scheduler have begun to fail recently, so that its lease may lapse soon.
    #[must_use]
    pub fn has_lost_scheduler(&self) -> bool {
        let lost_at = MonoTime(self.scheduler_lost_at.load(Ordering::SeqCst));
        lost_at.0 != 0 && view::now().mono.since(lost_at) < LAPSE_WATCH
    }

    /// Notifies the scheduler of a new job. If the call fails, the scheduler receives the job from its watch of the
    /// store.
    pub async fn push_job(&self, job: &JobKey, record: JobRecord, created: u64) {
        if let Some(term) = self.view.term() {
            term.add_job(job, record, created);
            return;
        }
        let body = records::encode(&NewJob { record, created });
        self.call(&Call::new(Method::Put, format!("/jobs/{job}")).with_body(body)).await;
    }

    /// Notifies the scheduler of a cancelled job. If the call fails, the scheduler receives the mark of cancellation
    /// from its watch of the store.
    pub async fn push_cancel(&self, job: &JobKey) {
        if let Some(term) = self.view.term() {
            term.cancel_job(job);
            return;
        }
        self.call(&Call::new(Method::Delete, format!("/jobs/{job}"))).await;
    }

    /// Requests that the scheduler ends its term, so that this entry can begin one. Returns whether it did.
    pub async fn request_handover(&self, owner: &Owner) -> bool {
        let call = Call::new(Method::Post, format!("/terms/{}/handover", owner.term))
            .with_body(records::encode(&Handover { peers: self.view.settings.peers }));
        let answer = match self.client.call(owner.peers, &call, HANDOVER_TIMEOUT).await {
            Ok(reply) => format!("status {}", reply.status),
            Err(e) => e.to_string(),
        };
        log::info!(scheduler:% = owner.entry, term = owner.term, answer = answer; "handover requested");
        answer == "status 200"
    }

    /// Asks the successors that are not clearly weaker to end the lease of a term whose scheduler has lost the store, and
    /// to take over.
    pub async fn request_relief(&self, term: &Term) -> ReliefOutcome {
        let call = Call::new(Method::Post, format!("/terms/{}/relief", term.owner.term))
            .with_body(records::encode(&Relief { lease: term.lease.0 }));
        let succession = term.succession();
        let mut peers = self.view.strong_entries();
        peers.retain(|peer| succession.is_successor(peer));
        let ask = async |peer: &SocketAddr| {
            let reply = self.client.call(*peer, &call, RELIEF_TIMEOUT).await;
            let (answer, text) = match reply {
                Ok(reply) => (read_relief_answer(reply.status), format!("status {}", reply.status)),
                Err(e) if e.is_refused() => (ReliefAnswer::NotRunning, e.to_string()),
                Err(e) => (ReliefAnswer::Silent, e.to_string()),
            };
            log::warn!(peer:% = peer, term = term.owner.term, answer = text; "the store is lost; relief requested");
            answer
        };
        let age = term.age();
        let answers = futures::future::join_all(peers.iter().map(ask)).await;
        let outcome = ReliefOutcome::judge(&answers, age);
        log::info!(
            term = term.owner.term, answers:? = answers, outcome:? = outcome, confirmed_ms_ago = term.confirmation_age().0;
            "answers to the requests for relief"
        );
        outcome
    }

    /// Asks other entries whether a term goes on, and records it: first the possible successors, and then all, unless the
    /// successors are enough.
    pub async fn ask_about_term(&self, term: &Term) -> TermState {
        let succession = term.succession();
        let asked = term.begin_asking();
        let mut answers = self.ask_entries(term, &succession.successors()).await;
        let state = succession.judge(&answers, asked.term_age, asked.stored_age);
        if matches!(state, TermState::Unconfirmed | TermState::Confirmed(Millis(1..))) {
            let others: Vec<SocketAddr> =
                succession.entries().into_iter().filter(|entry| !answers.contains_key(entry)).collect();
            answers.extend(self.ask_entries(term, &others).await);
        }
        let state = term.apply_answers(&answers, asked);
        let count = |answer| answers.values().filter(|a| **a == answer).count();
        log::info!(
            term = term.owner.term, entries = answers.len(), store_lost = count(TermAnswer::StoreLost),
            silent = count(TermAnswer::Silent), unknown = count(TermAnswer::Unknown), state:? = state,
            took:% = view::now().mono.since(asked.at);
            "other entries asked about the term"
        );
        state
    }

    /// Asks entries about a term, and returns their answers.
    pub async fn ask_entries(&self, term: &Term, peers: &[SocketAddr]) -> Map<SocketAddr, TermAnswer> {
        let call = Call::new(Method::Get, format!("/terms/{}", term.owner.term));
        let ask = async |peer: &SocketAddr| {
            // The time limit of the call does not cover its connection.
            let call = future::timeout(ANSWER_TIMEOUT, self.client.call(*peer, &call, ANSWER_TIMEOUT));
            let answer = match call.await {
                Ok(Ok(reply)) if reply.status == 200 => reply.json().unwrap_or(TermAnswer::Unknown),
                Ok(Ok(_)) => TermAnswer::Unknown,
                Ok(Err(_)) | Err(_) => TermAnswer::Silent,
            };
            (*peer, answer)
        };
        futures::future::join_all(peers.iter().map(ask)).await.into_iter().collect()
    }

    /// Tells the other entries, and the scheduler of the earlier term, that a later term has begun, until each answers. The
    /// earlier scheduler may have lost the store and not know of the end of its term; it asks entries that may have lost
    /// the store too.
    ///
    /// If `last_stop` is given, the answers of all entries that may have confirmed the earlier term tell when its scheduler
    /// stops, should it give no answer itself.
    pub async fn announce_term(
        &self,
        term: &Arc<Term>,
        earlier: Option<LastScheduler>,
        mut last_stop: Option<LastStop>,
    ) {
        let earlier = earlier.filter(|e| e.owner.entry != term.owner.entry);
        // A process that answers at its address shows that the one of the earlier scheduler has ended, and with it all that
        // might act, if the schedulers before it had stopped.
        let is_replaced = |answer: &BegunAnswer| {
            let replaces = |e: &LastScheduler| answer.incarnation.is_some_and(|i| i != e.owner.incarnation);
            earlier.as_ref().is_some_and(|e| {
                e.have_earlier_stopped && e.owner.term.checked_add(1) == Some(term.owner.term) && replaces(e)
            })
        };
        let earlier = earlier.as_ref().map(|e| e.owner.peers);
        let mut peers = self.view.known_entries().unwrap_or_default();
        peers.extend(earlier.filter(|e| !peers.contains(e)));
        // The earlier scheduler comes first, as this one waits until it has stopped.
        peers.sort_by_key(|peer| earlier != Some(*peer));
        if let Some(last_stop) = &mut last_stop {
            let own = self.view.settings.peers;
            last_stop.apply_answer(&own, view::now().mono, Some(self.view.time_without_confirmation()));
        }
        let began = Instant::now();
        let count = peers.len();
        while !peers.is_empty() && began.elapsed() < ANNOUNCE_LIMIT && !term.is_ended() {
            let mut silent = Vec::new();
            for few in peers.chunks(ANNOUNCED_AT_ONCE) {
                let answers =
                    futures::future::join_all(few.iter().map(|peer| self.announce_term_to(*peer, term))).await;
                let received = view::now().mono;
                for (peer, answer) in few.iter().zip(answers) {
                    let Some((status, answer)) = answer else {
                        silent.push(*peer);
                        continue;
                    };
                    if earlier == Some(*peer) && (status == ALL_STOPPED || is_replaced(&answer)) {
                        term.record_previous_stopped();
                    }
                    if let Some(last_stop) = &mut last_stop {
                        last_stop.apply_answer(peer, received, answer.without_confirmation);
                    }
                }
                if let Some(stops_by) = last_stop.as_ref().and_then(LastStop::stops_by) {
                    last_stop = None;
                    task::spawn(record_stop_at(Arc::clone(term), stops_by));
                }
                task::sleep(ANNOUNCE_PAUSE).await;
            }
            peers = silent;
        }
        log::info!(term = term.owner.term, entries = count, silent = peers.len(); "term announced");
    }

    /// Returns the status and what the entry says of itself.
    async fn announce_term_to(&self, peer: SocketAddr, term: &Term) -> Option<(u16, BegunAnswer)> {
        let call = Call::new(Method::Post, format!("/terms/{}/begun", term.owner.term));
        let reply = future::timeout(ANSWER_TIMEOUT, self.client.call(peer, &call, ANSWER_TIMEOUT)).await;
        let reply = reply.ok()?.ok()?;
        // Entries of earlier versions send no body.
        Some((reply.status, reply.json().unwrap_or_default()))
    }

    /// State of a job; `None` if the scheduler doesn't know it or gives no answer.
    pub async fn state_of(&self, job: &JobKey) -> Option<JobState> {
        if let Some(term) = self.view.term() {
            return term.with(|s| s.state_of(job));
        }
        let reply = self.call(&Call::new(Method::Get, format!("/jobs/{job}"))).await?;
        reply.json::<StateAnswer>().ok()?.state
    }

    /// Number of pending jobs of a queue; `None` if the scheduler gives no answer.
    pub async fn pending(&self, queue: &QueueName) -> Option<usize> {
        if let Some(term) = self.view.term() {
            return term.is_loaded().then(|| term.with(|s| s.pending(queue)));
        }
        let reply = self.call(&Call::new(Method::Get, format!("/queues/{queue}"))).await?;
        Some(reply.json::<PendingAnswer>().ok()?.pending)
    }
}

/// Records that the last scheduler has stopped once it has.
async fn record_stop_at(term: Arc<Term>, stops_by: MonoTime) {
    let remaining = stops_by.since(view::now().mono);
    log::info!(term = term.owner.term, remaining_ms = remaining.0; "the earlier scheduler gives no answer and stops by itself");
    task::sleep(remaining.to_duration()).await;
    term.record_previous_stopped();
}

/// Adds the routes on which other entries call the scheduler.
pub fn add_routes(app: &mut tide::Server<Arc<View>>) {
    app.at("/jobs/:job").put(put_job).delete(delete_job).get(get_job);
    app.at("/queues/:queue").get(get_queue);
    app.at("/terms/:term").get(get_term);
    app.at("/terms/:term/begun").post(record_begun_term);
    app.at("/terms/:term/handover").post(hand_over);
    app.at("/terms/:term/relief").post(relieve);
}

/// Term of this entry, if it schedules and has loaded the jobs.
fn loaded_term(req: &Request<Arc<View>>) -> Result<Arc<Term>, StatusCode> {
    req.state().term().filter(|t| t.is_loaded()).ok_or(StatusCode::ServiceUnavailable)
}

fn job_param(req: &Request<Arc<View>>) -> JobKey {
    JobKey::new(req.param("job").unwrap_or_default())
}

async fn put_job(mut req: Request<Arc<View>>) -> tide::Result {
    let term = match loaded_term(&req) {
        Ok(term) => term,
        Err(status) => return Ok(Response::new(status)),
    };
    let new_job: NewJob = records::decode(&req.body_bytes().await?)?;
    term.add_job(&job_param(&req), new_job.record, new_job.created);
    Ok(Response::new(StatusCode::Ok))
}

async fn delete_job(req: Request<Arc<View>>) -> tide::Result {
    Ok(match loaded_term(&req) {
        Ok(term) => {
            term.cancel_job(&job_param(&req));
            Response::new(StatusCode::Ok)
        }
        Err(status) => Response::new(status),
    })
}

async fn get_job(req: Request<Arc<View>>) -> tide::Result {
    Ok(match loaded_term(&req) {
        Ok(term) => json_response(&StateAnswer { state: term.with(|s| s.state_of(&job_param(&req))) }),
        Err(status) => Response::new(status),
    })
}

async fn hand_over(mut req: Request<Arc<View>>) -> tide::Result {
    let requested_term = term_param(&req);
    // Entries of earlier versions send no body. They are successors.
    let requester = records::decode::<Handover>(&req.body_bytes().await?).ok();
    match loaded_term(&req) {
        // The next scheduler would be one of the successors, and the requester would have to wait.
        Ok(term) if requester.is_some_and(|r| !term.succession().is_successor(&r.peers)) => {
            Ok(Response::new(StatusCode::Conflict))
        }
        // Before the runs of earlier terms are reconciled, a handover would make the next scheduler start the
        // reconciliation again.
        Ok(term) if requested_term == Some(term.owner.term) && term.with(|s| s.is_reconciled()) => {
            election::end_term(&term, "a stronger entry asks for it").await;
            Ok(Response::new(StatusCode::Ok))
        }
        Ok(_) => Ok(Response::new(StatusCode::Conflict)),
        Err(status) => Ok(Response::new(status)),
    }
}

/// Meaning of a status that [`relieve`] answers.
const fn read_relief_answer(status: u16) -> ReliefAnswer {
    match status {
        200 => ReliefAnswer::Ended,
        409 => ReliefAnswer::OtherTerm,
        _ => ReliefAnswer::NoStore,
    }
}

/// Ends the lease of a scheduler that has lost the store, and probes the store at once to take over. An entry that has
/// not just heard from the store refuses, as the store may be lost for all.
async fn relieve(mut req: Request<Arc<View>>) -> tide::Result {
    let requested_term = term_param(&req);
    let relief: Relief = records::decode(&req.body_bytes().await?)?;
    let view = req.state();
    let is_over =
        requested_term.is_some_and(|term| matches!(view.judge_term(term), TermAnswer::Over | TermAnswer::NotCurrent));
    if is_over {
        return Ok(Response::new(StatusCode::Conflict));
    }
    if !view.reaches_store() || view.is_stopping() {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    }
    // Without this record, the next scheduler would assume that the lease lapsed because it was not renewed.
    let Some(term) = requested_term else { return Ok(Response::new(StatusCode::BadRequest)) };
    let change = Change {
        expected: vec![(SCHEDULER_KEY.to_owned(), view.scheduler_revision())],
        puts: vec![(RELIEVED_TERM_KEY.to_owned(), records::encode(&term), None)],
        deletes: Vec::new(),
    };
    let outcome = view.store.change(&change, RELIEF_TIMEOUT).await;
    if !matches!(outcome, Ok(ChangeOutcome::Done(_))) {
        log::info!(term = term, answer:? = outcome; "the relief of another scheduler can't be recorded");
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    }
    Ok(match view.store.end_lease(LeaseId(relief.lease), RELIEF_TIMEOUT).await {
        Ok(()) => {
            log::warn!(term = term; "lease of a scheduler that has lost the store ended");
            view.request_probe();
            Response::new(StatusCode::Ok)
        }
        Err(e) => {
            log::info!(error:% = e; "the lease of another scheduler can't be ended");
            Response::new(StatusCode::ServiceUnavailable)
        }
    })
}

fn term_param(req: &Request<Arc<View>>) -> Option<u32> {
    req.param("term").ok().and_then(|t| t.parse().ok())
}

/// Answers what this entry knows of a term.
async fn get_term(req: Request<Arc<View>>) -> tide::Result {
    let Some(term) = term_param(&req) else { return Ok(Response::new(StatusCode::BadRequest)) };
    Ok(json_response(&req.state().answer_about_term(term)))
}

/// Records that a later term has begun, and ends the term of this entry if it is an earlier one.
async fn record_begun_term(req: Request<Arc<View>>) -> tide::Result {
    let Some(begun) = term_param(&req) else { return Ok(Response::new(StatusCode::BadRequest)) };
    let view = req.state();
    view.record_term(begun);
    if let Some(term) = view.term().filter(|t| t.owner.term < begun) {
        term.end("another entry has begun a later term");
    }
    // The scheduler before the one of this entry may still act if that one's term was short. Terms are numbered without
    // gaps.
    let has_stopped = begun.checked_sub(1).is_some_and(|term| view.has_stopped_with_earlier(term));
    // The later term is recorded, so this entry confirms no earlier one from now on.
    let without_confirmation = Some(view.time_without_confirmation());
    let mut res = json_response(&BegunAnswer { incarnation: Some(view.incarnation), without_confirmation });
    res.set_status(if has_stopped { StatusCode::Ok } else { StatusCode::Accepted });
    Ok(res)
}

async fn get_queue(req: Request<Arc<View>>) -> tide::Result {
    let queue = QueueName::new(req.param("queue").unwrap_or_default());
    Ok(match loaded_term(&req) {
        Ok(term) => json_response(&PendingAnswer { pending: term.with(|s| s.pending(&queue)) }),
        Err(status) => Response::new(status),
    })
}

fn json_response<T: Serialize>(body: &T) -> Response {
    Response::builder(StatusCode::Ok).body(records::encode(body)).build()
}
