//! HTTP interface for callers.

use std::sync::Arc;

use carawaybarrow_core::admission::{self, AdmissionDecision, EntryView, Request};
use carawaybarrow_core::finding::Findings;
use carawaybarrow_core::ids::{ClassId, JobId};
use carawaybarrow_core::job::{self, Content, JobSpec, Ran, Refusal, Size};
use carawaybarrow_core::journal::{JobCommand, JobOutcome, JobView, Rejection, StateName};
use carawaybarrow_core::keys::KeyHash;
use carawaybarrow_core::map::Map;
use carawaybarrow_core::queue::{Slots, Urgency};
use carawaybarrow_core::units::Millis;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tide::{Body, Response, StatusCode};

use crate::admin;
use crate::config_sync::ConfigSnapshot;
use crate::dispatch;
use crate::durable;
use crate::entry::{self, Entry};
use crate::shards::SubmitError;
use crate::urgent::Answer;

/// Message for a request that can't be accepted while the journal can't be read.
const EARLIER_REQUEST_MESSAGE: &str = "this request was not accepted, but the journal can't be read, and an earlier request with \
                               the same id may have been accepted; send the same request again";

/// Request of the HTTP server, with the entry as its state.
pub type HttpRequest = tide::Request<Arc<Entry>>;

/// Body of a request that submits a job.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Submission {
    queue: String,
    #[serde(default)]
    team: Option<String>,
    #[serde(default)]
    request_id: Option<String>,
    payload: String,
    #[serde(default)]
    size: Size,
    #[serde(default)]
    expected_run_ms: Option<Millis>,
    /// Time after the arrival of the request from which on the answer is of no use.
    #[serde(default)]
    deadline_ms: Option<Millis>,
}

/// Response body with the state of a job.
#[derive(Debug, Serialize)]
struct JobBody<'a> {
    job: &'a JobId,
    state: StateName,
    ran: Ran,
    #[serde(skip_serializing_if = "Option::is_none")]
    answer: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
    cancel_requested: bool,
}

/// Adds the routes for callers.
pub fn add_routes(app: &mut tide::Server<Arc<Entry>>) {
    app.at("/v1/jobs").post(submit_job);
    app.at("/v1/jobs/:id").get(get_job).delete(cancel_job);
    app.at("/healthz").get(|_| async { Ok("ok\n") });
    app.at("/readyz").get(|req: HttpRequest| async move {
        let ready = req.state().is_ready();
        let status = if ready { StatusCode::Ok } else { StatusCode::ServiceUnavailable };
        Ok(Response::builder(status).body(if ready { "ready\n" } else { "not ready\n" }).build())
    });
    app.at("/metrics").get(|req: HttpRequest| async move { Ok(req.state().metrics.render()) });
}

/// Hash of the secret in the `authorization` header; `None` without a bearer token.
#[must_use]
pub fn read_key(req: &HttpRequest) -> Option<KeyHash> {
    let secret = req.header("authorization")?.as_str().strip_prefix("Bearer ")?;
    Some(KeyHash::of_secret(secret.trim()))
}

/// Reads a JSON body.
///
/// # Errors
///
/// Returns the response to the caller, with the line and column of the error, if the body can't be read.
pub async fn read_json<T: for<'a> Deserialize<'a>>(req: &mut HttpRequest) -> Result<T, Response> {
    // The server has read the body already, so this can't fail.
    let bytes = req.body_bytes().await.unwrap_or_default();
    serde_json::from_slice(&bytes).map_err(|e| {
        let mut errors = Findings::new();
        errors.add(format!("body {}:{}", e.line(), e.column()), e.to_string());
        respond(StatusCode::BadRequest, &json!({ "ran": Ran::No, "reason": "invalid", "errors": errors }))
    })
}

/// Creates a response with a JSON body.
#[must_use]
pub fn respond<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let bytes = carawaybarrow_core::commit::encode_json(body);
    let mut body = Body::from_bytes(bytes);
    body.set_mime(http_types::mime::JSON);
    Response::builder(status).body(body).build()
}

async fn submit_job(mut req: HttpRequest) -> tide::Result {
    let entry = Arc::clone(req.state());
    let key = read_key(&req);
    let submission = match read_json::<Submission>(&mut req).await {
        Ok(submission) => submission,
        Err(res) => {
            entry.metrics.count_answer(None, Ran::No, res.status().into());
            return Ok(res);
        }
    };
    let (class, res, ran) = entry.handle_submission(submission, key).await;
    entry.metrics.count_answer(class.as_ref(), ran, res.status().into());
    Ok(res)
}

impl Entry {
    /// Admits a submitted job, or refuses it. An urgent job is also run. Returns the job's class, if it is known, the
    /// response, and whether the job ran.
    async fn handle_submission(
        self: &Arc<Self>,
        submission: Submission,
        key: Option<KeyHash>,
    ) -> (Option<ClassId>, Response, Ran) {
        // Freshness is checked before the configuration is read, so that the configuration is at least as new as the
        // one that was found fresh. In the other order, a key of an old configuration could be admitted by the
        // freshness of a new one.
        let is_fresh = self.is_fresh();
        let snapshot = self.config_state.config();
        match self.admit(&snapshot, is_fresh, &submission, key.as_ref()) {
            AdmissionDecision::Urgent(spec) => {
                let (job, class) = (spec.id.clone(), spec.class.clone());
                let answer = self.run_urgent(spec, submission.payload).await;
                let (res, ran) = describe_answer(&job, answer);
                (Some(class), res, ran)
            }
            AdmissionDecision::Durable(spec) => {
                let class = spec.class.clone();
                let has_request_id = submission.request_id.is_some();
                let (res, ran) = self.submit_durable(spec, submission.payload, has_request_id).await;
                (Some(class), res, ran)
            }
            AdmissionDecision::Refuse(refusal) => {
                let class = self.find_class(&snapshot, &submission.queue);
                self.count_refusal(&snapshot, &submission.queue, key.as_ref(), &refusal);
                let (res, ran) = match self.find_earlier_job_id(&snapshot, &submission, key.as_ref()) {
                    Some(job) => self.refuse_repeated(&job, &refusal).await,
                    None => (describe_refusal(&refusal), Ran::No),
                };
                (class, res, ran)
            }
        }
    }

    fn find_class(&self, snapshot: &ConfigSnapshot, queue: &str) -> Option<ClassId> {
        let queue = queue.parse().ok()?;
        snapshot.config.queues.get(&queue).map(|q| q.value.class.clone())
    }

    fn admit(
        &self,
        snapshot: &ConfigSnapshot,
        is_fresh: bool,
        submission: &Submission,
        key: Option<&KeyHash>,
    ) -> AdmissionDecision {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let generated_id;
        let request_id = match &submission.request_id {
            Some(id) => id.as_str(),
            None => {
                generated_id = entry::new_id();
                &generated_id
            }
        };
        let request = Request {
            queue: &submission.queue,
            team: submission.team.as_deref(),
            key,
            request_id,
            payload: &submission.payload,
            size: submission.size,
            expected_run: submission.expected_run_ms,
            deadline: submission.deadline_ms.map(|d| wall + d),
        };
        let team = key.and_then(|hash| snapshot.find_team(hash));
        let queue = submission.queue.parse().ok().and_then(|id| snapshot.config.queues.get(&id));
        let (expected_wait, room) = match queue {
            Some(queue) => {
                let urgency = dispatch::urgency_of(self.find_target(&queue.value.class));
                let mut dispatch = self.dispatch();
                let slots = dispatch.slots(&queue.value.pool, now);
                let ready_queue = dispatch.queue(&queue.value.pool);
                (expected_wait(ready_queue, urgency, slots), ready_queue.room(team, urgency))
            }
            None => (Millis(0), admission::Room::Free),
        };
        let largest_workers =
            if submission.size == Size::default() { Map::default() } else { self.fleet.largest_workers() };
        let view = EntryView {
            config: &snapshot.config,
            largest_workers: &largest_workers,
            fresh: is_fresh,
            store_reachable: self.is_store_reachable(),
            expected_wait,
            room,
            stopping: false,
            now: wall,
        };
        admission::admit(&request, &view)
    }

    /// Id of the job that an earlier request with the same request id may have created. `None` if the request has no
    /// request id, the queue's jobs aren't durable, or the caller may not see the job.
    fn find_earlier_job_id(
        &self,
        snapshot: &ConfigSnapshot,
        submission: &Submission,
        key: Option<&KeyHash>,
    ) -> Option<JobId> {
        let request_id = submission.request_id.as_ref()?;
        let id = submission.queue.parse().ok()?;
        let queue = &snapshot.config.queues.get(&id)?.value;
        let class = &snapshot.config.classes.get(&queue.class)?.value;
        if !admission::is_durable(queue, class) {
            return None;
        }
        let team = if queue.open_to_all { None } else { Some(snapshot.find_team(key?)?) };
        Some(job::derive_job_id(team, &id, request_id))
    }

    /// Answers a refused request whose id may belong to a job that was accepted earlier. The response says "not run" only
    /// if the journal was read and doesn't contain the job.
    async fn refuse_repeated(self: &Arc<Self>, job: &JobId, refusal: &Refusal) -> (Response, Ran) {
        match self.get_job(job).await {
            Ok(Some(status)) => self.describe_earlier_job(job, status.view).await,
            Ok(None) => (describe_refusal(refusal), Ran::No),
            Err(_) => (describe_unknown(job, EARLIER_REQUEST_MESSAGE), Ran::Unknown),
        }
    }

    /// Answers a repeated request with the state of its job. Unless the job is done, the status is 202 as for the first
    /// request, because callers interpret 200 as the answer of the job.
    async fn describe_earlier_job(&self, job: &JobId, view: JobView) -> (Response, Ran) {
        let ran = view.ran;
        let is_done = view.state == StateName::Done;
        let (status, mut res) = self.describe_job(job, view).await;
        if status == StatusCode::Ok && !is_done {
            res.set_status(StatusCode::Accepted);
        }
        (res, ran)
    }

    /// Writes an admitted durable job to the journal. `has_request_id` says whether the caller chose the request id, so
    /// that an earlier request may have created the job.
    async fn submit_durable(self: &Arc<Self>, spec: JobSpec, payload: String, has_request_id: bool) -> (Response, Ran) {
        let job = spec.id.clone();
        match self.accept_durable(spec, payload).await {
            Ok(JobOutcome::Accepted) => {
                let body = json!({ "job": job, "state": StateName::Waiting });
                (respond(StatusCode::Accepted, &body), Ran::No)
            }
            Ok(JobOutcome::AlreadyThere { view }) => self.describe_earlier_job(&job, *view).await,
            Ok(JobOutcome::Rejected { why: Rejection::Full { .. } }) => {
                let refusal = Refusal::Overloaded { retry_after: Millis::from_secs(1) };
                (describe_refusal(&refusal), Ran::No)
            }
            Ok(other) => {
                log::error!(job:% = job, outcome:? = other; "unexpected outcome of an acceptance");
                (describe_unknown(&job, "the journal gave an unexpected outcome"), Ran::Unknown)
            }
            Err(SubmitError::NotWritten { .. } | SubmitError::NotOwner) if has_request_id => {
                self.refuse_repeated(&job, &Refusal::StoreUnavailable).await
            }
            Err(SubmitError::NotWritten { .. } | SubmitError::NotOwner) => {
                (describe_refusal(&Refusal::StoreUnavailable), Ran::No)
            }
            Err(SubmitError::Unknown) => {
                let reason = "the store did not tell whether the job was written; send the same request again";
                (describe_unknown(&job, reason), Ran::Unknown)
            }
        }
    }

    async fn describe_job(&self, job: &JobId, view: JobView) -> (StatusCode, Response) {
        let answer = match view.answer {
            Some(Content::Inline { text }) => Some(text),
            Some(Content::Stored { bytes }) => match self.load_answer(job, bytes).await {
                Some(text) => Some(text),
                None => {
                    let body = json!({ "job": job, "state": view.state, "reason": "the store can't be reached" });
                    let status = StatusCode::ServiceUnavailable;
                    return (status, respond(status, &body));
                }
            },
            None => None,
        };
        let body = JobBody {
            job,
            state: view.state,
            ran: view.ran,
            answer,
            reason: view.reason.map(String::from),
            cancel_requested: view.cancel_requested,
        };
        (StatusCode::Ok, respond(StatusCode::Ok, &body))
    }

    /// Reads the stored answer of a job; `None` if it can't be read in full.
    async fn load_answer(&self, job: &JobId, bytes: u64) -> Option<String> {
        let stored = self.store.get(&durable::result_key(job)).await.ok()??;
        let text = String::from_utf8(stored.bytes).ok()?;
        (text.len() as u64 == bytes).then_some(text)
    }
}

fn expected_wait(queue: &carawaybarrow_core::queue::ReadyQueue, urgency: Urgency, slots: Slots) -> Millis {
    queue.expected_wait(urgency, slots)
}

fn describe_answer(job: &JobId, answer: Answer) -> (Response, Ran) {
    match answer {
        Answer::Done { body } => match std::str::from_utf8(&body) {
            Ok(text) => {
                let body = json!({ "job": job, "outcome": "done", "ran": Ran::Yes, "answer": text });
                (respond(StatusCode::Ok, &body), Ran::Yes)
            }
            Err(e) => (describe_failed(job, &format!("the worker's answer is not UTF-8: {e}")), Ran::Yes),
        },
        Answer::Failed { reason } => (describe_failed(job, &reason), Ran::Yes),
        Answer::Unknown { reason } => (describe_unknown(job, &reason), Ran::Unknown),
        Answer::Refused(refusal) => (describe_refusal(&refusal), Ran::No),
    }
}

fn describe_failed(job: &JobId, reason: &str) -> Response {
    let body = json!({ "job": job, "outcome": "failed", "ran": Ran::Yes, "reason": reason });
    respond(StatusCode::BadGateway, &body)
}

fn describe_unknown(job: &JobId, reason: &str) -> Response {
    let body = json!({ "job": job, "outcome": "unknown", "ran": Ran::Unknown, "reason": reason });
    respond(StatusCode::GatewayTimeout, &body)
}

/// The response to a refused request. Its body always says that nothing ran.
#[must_use]
pub fn describe_refusal(refusal: &Refusal) -> Response {
    let (status, message, retry_after) = match refusal {
        Refusal::Invalid { .. } => (StatusCode::BadRequest, "the request breaks rules", None),
        Refusal::NotAllowed { .. } => (StatusCode::Forbidden, "the key does not allow this work", None),
        Refusal::Overloaded { retry_after } => {
            (StatusCode::ServiceUnavailable, "the job would start too late", Some(*retry_after))
        }
        Refusal::TeamLimit { retry_after } => {
            (StatusCode::TooManyRequests, "the team has reached its limit", Some(*retry_after))
        }
        Refusal::Stale => {
            (StatusCode::ServiceUnavailable, "this entry can't confirm that keys and limits are current", None)
        }
        Refusal::StoreUnavailable => {
            (StatusCode::ServiceUnavailable, "the store can't be reached, so the job can't be made durable", None)
        }
        Refusal::Stopping => (StatusCode::ServiceUnavailable, "this entry is stopping", None),
    };
    let mut body = serde_json::to_value(refusal).unwrap_or_default();
    if let Some(fields) = body.as_object_mut() {
        fields.insert("ran".to_owned(), json!(Ran::No));
        fields.insert("message".to_owned(), json!(message));
        fields.entry("errors").or_insert_with(|| json!([{ "place": "request", "message": message }]));
    }
    let mut res = respond(status, &body);
    if let Some(after) = retry_after {
        // The header is in whole seconds; the body has the exact time.
        res.insert_header("retry-after", after.0.div_ceil(1000).to_string());
    }
    res
}

/// Finds the job that a path names, and checks that the caller's key belongs to the job's team or to an operator; jobs
/// of queues open to all need no key.
async fn find_job(req: &HttpRequest) -> Result<(JobId, JobView), Response> {
    let entry = req.state();
    let not_found =
        || respond(StatusCode::NotFound, &json!({ "errors": [{ "place": "job", "message": "there is no such job" }] }));
    let Ok(job) = req.param("id").unwrap_or_default().parse::<JobId>() else { return Err(not_found()) };
    let Ok(found) = entry.get_job(&job).await else {
        return Err(respond(
            StatusCode::ServiceUnavailable,
            &json!({ "errors": [{ "place": "job", "message": "the journal can't be read now" }] }),
        ));
    };
    let Some(status) = found else { return Err(not_found()) };
    let snapshot = entry.config_state.config();
    let may_see = match &status.team {
        Some(team) => read_key(req).is_some_and(|key| snapshot.find_team(&key) == Some(team)),
        None => status.is_owner_known,
    };
    // The response to another team doesn't reveal whether the job exists.
    if !may_see && admin::find_operator(req).is_none() {
        return Err(not_found());
    }
    Ok((job, status.view))
}

async fn get_job(req: HttpRequest) -> tide::Result {
    match find_job(&req).await {
        Ok((job, view)) => Ok(req.state().describe_job(&job, view).await.1),
        Err(res) => Ok(res),
    }
}

async fn cancel_job(req: HttpRequest) -> tide::Result {
    let (job, _) = match find_job(&req).await {
        Ok(found) => found,
        Err(res) => return Ok(res),
    };
    let entry = req.state();
    let command = JobCommand::Cancel { job: job.clone(), at: entry.clock.wall() };
    Ok(match entry.submit(entry.shards.of_job(&job), vec![command]).await.as_deref() {
        Ok([JobOutcome::CancelRequested { claim }]) => {
            entry.stop_task(&claim.vm, &claim.task).await;
            respond(StatusCode::Accepted, &json!({ "job": job, "cancel_requested": true }))
        }
        Ok([JobOutcome::Ended { view } | JobOutcome::AlreadyThere { view }]) => {
            respond(StatusCode::Ok, &json!({ "job": job, "state": view.state, "ran": view.ran }))
        }
        Ok([JobOutcome::Rejected { why }]) => {
            respond(StatusCode::Conflict, &json!({ "errors": [{ "place": "job", "message": why.to_string() }] }))
        }
        _ => describe_refusal(&Refusal::StoreUnavailable),
    })
}
