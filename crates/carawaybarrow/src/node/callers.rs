//! HTTP API for callers: submits, reads and cancels jobs, and counts the pending jobs of a queue.

use std::sync::Arc;
use std::time::{Duration, Instant};

use carawaybarrow_core::byte_budget::ByteBudget;
use carawaybarrow_core::sched::graph::{JobKey, JobSpec, TeamName};
use carawaybarrow_core::sched::progress::{JobRecord, JobState};
use carawaybarrow_core::sched::tombstones::JobOwner;
use carawaybarrow_platform::callers::{self, KEY_HEADER};
use carawaybarrow_platform::configuration::{Configuration, Queue};
use carawaybarrow_platform::store::StoreError;
use http_types::Method;
use serde_json::json;
use tide::{Request, Response, StatusCode};

use crate::node::key_writes::{CreateOutcome, StoreKeyWriter};
use crate::node::peers::SchedulerClient;
use crate::node::records;
use crate::node::tombstones::TombstoneWriter;
use crate::node::view::{self, View};

/// Time for a read of the store while a caller waits.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Memory that a job takes while it is parsed and stored, relative to its body. A step of 12 bytes, the shortest, takes some
/// 860 bytes: as it was received, as the scheduler knows it, and twice in the encoding of the store.
const JOB_MEMORY_FACTOR: usize = 64;

/// Seconds after which a caller should retry a request that was answered with 429 or 503.
const RETRY_AFTER_SECS: u32 = 1;

/// State of the API for callers.
#[derive(Clone, Debug)]
pub struct CallerApi {
    /// View of the configuration and the scheduler.
    pub view: Arc<View>,
    /// Client of the scheduler.
    pub scheduler: Arc<SchedulerClient>,
    /// Creates keys in the store.
    pub key_writer: Arc<StoreKeyWriter>,
    /// Stores cancellations of unknown jobs.
    pub tombstones: Arc<TombstoneWriter>,
    /// Budget for jobs that are being parsed and stored.
    pub storing: Arc<ByteBudget>,
}

/// Adds the routes of the API: all paths, as the configuration maps hosts and path prefixes to queues.
pub fn add_routes(app: &mut tide::Server<CallerApi>) {
    app.at("/").all(answer);
    app.at("/*").all(answer);
}

/// Response to a caller. The reason is logged, and is the body of an error that has no other.
struct Answer {
    status: u16,
    body: Vec<u8>,
    reason: &'static str,
}

impl Answer {
    fn new(status: u16, reason: &'static str) -> Self {
        Self { status, body: Vec::new(), reason }
    }

    fn with_body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }
}

async fn answer(mut req: Request<CallerApi>) -> tide::Result {
    let began = Instant::now();
    let api = req.state().clone();
    let path = req.url().path().to_owned();
    let method = req.method();
    let (answer, version, age) = api.respond(&mut req, &path).await;
    let took = began.elapsed();
    api.view.metrics.record_request(method.as_ref(), answer.status, took);
    let elapsed = took.as_millis() as u64;
    // Reads are frequent and change nothing, so only failed ones are logged.
    if method != Method::Get || answer.status >= 400 {
        log::info!(method:% = method, path:% = path, status = answer.status, reason = answer.reason, config = version, proof_age_ms = age, took_ms = elapsed; "request");
    }
    let mut res = Response::new(StatusCode::try_from(answer.status).unwrap_or(StatusCode::InternalServerError));
    if matches!(answer.status, 429 | 503) {
        res.insert_header("retry-after", RETRY_AFTER_SECS.to_string());
    }
    let body = match answer.body {
        body if !body.is_empty() => body,
        _ if answer.status >= 400 => json!({ "error": answer.reason }).to_string().into_bytes(),
        _ => b"{}".to_vec(),
    };
    res.set_body(body);
    res.set_content_type("application/json");
    Ok(res)
}

impl CallerApi {
    async fn respond(&self, req: &mut Request<Self>, path: &str) -> (Answer, u64, u64) {
        let Some((configuration, age)) = self.view.current_configuration() else {
            return (Answer::new(503, "the configuration is not known to be current"), 0, 0);
        };
        let version = configuration.version;
        let answer = self.respond_with(req, path, &configuration).await;
        (answer, version, age.0)
    }

    async fn respond_with(&self, req: &mut Request<Self>, path: &str, configuration: &Configuration) -> Answer {
        let host = req.header("host").map(|h| h.as_str().to_owned()).unwrap_or_default();
        let Some(queue) = configuration.find_queue(&host, path) else { return Answer::new(404, "no such queue") };
        let key = req.header(KEY_HEADER).map(|k| k.as_str().to_owned());
        let team = match find_team(configuration, queue, key.as_deref()) {
            Ok(team) => team,
            Err(answer) => return answer,
        };
        let job_id = &path[queue.prefix.len()..];
        if job_id.is_empty() {
            return match req.method() {
                Method::Get => self.count_pending(queue).await,
                _ => Answer::new(405, "a queue can only be read"),
            };
        }
        if !callers::is_job_id(job_id) {
            return Answer::new(400, "the path does not end with 16 hexadecimal digits");
        }
        let job = JobKey::new(job_id);
        match req.method() {
            Method::Post => {
                let body = req.body_bytes().await.unwrap_or_default();
                self.submit(&job, &body, queue, team).await
            }
            Method::Get => self.read_state(&job).await,
            Method::Delete => self.cancel(&job, JobOwner { queue: queue.name.clone(), team }).await,
            _ => Answer::new(405, "a job can be sent, read and deleted"),
        }
    }

    async fn count_pending(&self, queue: &Queue) -> Answer {
        match self.scheduler.pending(&queue.name).await {
            Some(count) => Answer::new(200, "").with_body(callers::encode_pending_count(count)),
            None => Answer::new(503, "the scheduler can't be asked"),
        }
    }

    async fn submit(&self, job: &JobKey, body: &[u8], queue: &Queue, team: Option<TeamName>) -> Answer {
        let Some(_reservation) = self.storing.try_reserve(body.len() * JOB_MEMORY_FACTOR) else {
            return Answer::new(503, "too many jobs are being stored; the job was not accepted");
        };
        let spec = match callers::parse_job(body, queue, team, view::now().wall) {
            Ok(spec) => JobSpec { known_term: self.view.latest_term(), ..spec },
            Err(findings) => {
                let body = json!({ "errors": findings }).to_string().into_bytes();
                return Answer::new(400, "the job is malformed").with_body(body);
            }
        };
        let record = JobRecord::Accepted(spec);
        match self.key_writer.create(records::job_key(job), records::encode(&record)).await {
            CreateOutcome::Created(revision) => {
                let (scheduler, job) = (Arc::clone(&self.scheduler), job.clone());
                async_std::task::spawn(async move { scheduler.push_job(&job, record, revision.0).await });
                Answer::new(200, "accepted")
            }
            CreateOutcome::Exists => Answer::new(200, "accepted before"),
            CreateOutcome::NotCreated => Answer::new(503, "the store refuses writes; the job was not accepted"),
            CreateOutcome::Unknown => Answer::new(504, "the store did not answer; the job may be accepted"),
        }
    }

    /// State of a job as the scheduler reports it. If the scheduler doesn't know the job or can't be reached, the state
    /// is read from the store.
    async fn find_state(&self, job: &JobKey) -> Result<Option<JobState>, StoreError> {
        if let Some(state) = self.scheduler.state_of(job).await {
            return Ok(Some(state));
        }
        let Some(item) = self.view.store.get(&records::job_key(job), READ_TIMEOUT).await? else { return Ok(None) };
        let Some(value) = item.value else { return Ok(None) };
        match records::decode::<JobRecord>(&value) {
            Ok(JobRecord::Ended { state, .. }) => Ok(Some(state)),
            Ok(JobRecord::Accepted(_)) => {
                let cancel_mark = self.view.store.get(&records::cancel_key(job), READ_TIMEOUT).await?;
                Ok(Some(if cancel_mark.is_some() { JobState::Cancelled } else { JobState::Queued }))
            }
            Err(e) => {
                log::error!(job:% = job, error:% = e; "the record of a job can't be read");
                Ok(Some(JobState::Queued))
            }
        }
    }

    async fn read_state(&self, job: &JobKey) -> Answer {
        match self.find_state(job).await {
            Ok(Some(state)) => Answer::new(200, "").with_body(callers::encode_job_state(state)),
            Ok(None) => Answer::new(410, "no such job"),
            Err(_) => Answer::new(503, "neither the scheduler nor the store can be asked"),
        }
    }

    async fn cancel(&self, job: &JobKey, owner: JobOwner) -> Answer {
        match self.find_state(job).await {
            Ok(Some(state)) => match self.is_held_by(job, &owner).await {
                Ok(true) if state.is_final() => return Answer::new(200, "it has ended already"),
                Ok(true) => {}
                // Others learn nothing of the job, and cancel their own one with this id if it comes later.
                Ok(false) => return self.cancel_unknown(job, owner).await,
                Err(_) => return Answer::new(503, "the store can't be asked whose job it is"),
            },
            Ok(None) => return self.cancel_unknown(job, owner).await,
            Err(_) => return Answer::new(503, "neither the scheduler nor the store can be asked"),
        }
        match self.key_writer.create(records::cancel_key(job), b"{}".to_vec()).await {
            CreateOutcome::Created(_) | CreateOutcome::Exists => {
                self.scheduler.push_cancel(job).await;
                Answer::new(200, "cancelled")
            }
            CreateOutcome::NotCreated => Answer::new(503, "the store refuses writes; the job was not cancelled"),
            CreateOutcome::Unknown => Answer::new(504, "the store did not answer; the job may be cancelled"),
        }
    }
}

impl CallerApi {
    /// Whether a stored job has a queue and a team. One whose record can't be read counts as theirs.
    async fn is_held_by(&self, job: &JobKey, owner: &JobOwner) -> Result<bool, StoreError> {
        let Some(item) = self.view.store.get(&records::job_key(job), READ_TIMEOUT).await? else { return Ok(false) };
        let record = item.value.map(|value| records::decode::<JobRecord>(&value));
        Ok(match record {
            Some(Ok(record)) => record.owner() == *owner,
            Some(Err(e)) => {
                log::error!(job:% = job, error:% = e; "the record of a job can't be read");
                true
            }
            None => false,
        })
    }

    /// Answers that there is no such job once a tombstone ensures that none starts, as a write that creates it may be in flight.
    async fn cancel_unknown(&self, job: &JobKey, owner: JobOwner) -> Answer {
        match self.tombstones.add(owner, job).await {
            CreateOutcome::Created(_) | CreateOutcome::Exists => Answer::new(410, "no such job"),
            CreateOutcome::NotCreated => Answer::new(503, "the cancellation of an unknown job can't be stored now"),
            CreateOutcome::Unknown => Answer::new(504, "the store did not answer; the job may be cancelled"),
        }
    }
}

/// Team of the request's key. Without a known key, a request has no team if the queue is open to all, and is rejected
/// otherwise.
fn find_team(configuration: &Configuration, queue: &Queue, key: Option<&str>) -> Result<Option<TeamName>, Answer> {
    let team = key.and_then(|key| configuration.keys.get(key));
    match team {
        Some(team) => Ok(Some(team.clone())),
        None if queue.is_open_to_all => Ok(None),
        None if key.is_none() => Err(Answer::new(401, "the request has no key")),
        None => Err(Answer::new(401, "the key is unknown")),
    }
}
