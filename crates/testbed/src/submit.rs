//! Client that submits jobs to entries, checks the answers and polls durable jobs until they end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use http_types::Method;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::answer;
use crate::client::{Client, ClientError, Reply};

/// Maximum number of attempts for a request, per entry.
const ATTEMPTS_PER_ENTRY: usize = 3;

/// Delay before the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval between polls of a durable job.
const JOB_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A job to submit.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Job {
    /// Queue to which the job is submitted.
    pub queue: SmolStr,
    /// Team; absent if the key determines it or the queue is open to all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub team: Option<SmolStr>,
    /// Id by which entries recognize a retry of the same request. Without one, only a request that was never sent is
    /// retried.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<SmolStr>,
    /// Payload for the worker, as text.
    pub payload: String,
    /// Declared run time in ms; absent if unknown.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expected_run_ms: Option<u64>,
    /// Deadline in ms; absent if the caller has none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

/// Outcome of a job as the caller knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The complete answer to this job was received.
    Served,
    /// It was refused or never sent, and no earlier attempt can have run.
    NotRun {
        /// HTTP status of the refusal; 0 if no entry accepted a connection.
        status: u16,
        /// Text of the entry's response, or why the request was never sent.
        reason: String,
    },
    /// It ran and failed.
    Failed {
        /// Text of the entry's response.
        reason: String,
    },
    /// It was cancelled.
    Cancelled,
    /// It may or may not have run.
    Unknown {
        /// Error or response that left the outcome open.
        reason: String,
    },
    /// It is durable and didn't end within the time for which it was polled.
    Pending {
        /// Last state that an entry reported.
        state: String,
    },
    /// The received answer is truncated or belongs to another request.
    WrongAnswer,
}

impl Outcome {
    /// Description of why the job was not served, for outcomes that carry a reason or a state.
    #[must_use]
    pub fn reason(&self) -> Option<String> {
        match self {
            Self::NotRun { status, reason } => Some(format!("not run: {status}: {reason}")),
            Self::Failed { reason } => Some(format!("failed: {reason}")),
            Self::Unknown { reason } => Some(format!("unknown: {reason}")),
            Self::Pending { state } => Some(format!("pending: {state}")),
            Self::Served | Self::Cancelled | Self::WrongAnswer => None,
        }
    }
}

#[derive(Deserialize)]
struct Accepted {
    job: SmolStr,
}

/// Submits jobs to a set of interchangeable entries, in turn.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    entries: Arc<[SocketAddr]>,
    key: Option<String>,
    next_entry: Arc<AtomicUsize>,
    retries: Arc<AtomicU64>,
    wait_durable: Duration,
}

impl Caller {
    /// Creates a caller without a key that doesn't wait for durable jobs.
    ///
    /// # Panics
    ///
    /// Panics if `entries` is empty.
    #[must_use]
    pub fn new(entries: &[SocketAddr]) -> Self {
        assert!(!entries.is_empty(), "a caller needs at least one entry");
        Self {
            client: Client::new(),
            entries: entries.into(),
            key: None,
            next_entry: Arc::default(),
            retries: Arc::default(),
            wait_durable: Duration::ZERO,
        }
    }

    /// Sets the key that is sent as a bearer token; `None` sends no key.
    #[must_use]
    pub fn with_key(mut self, key: Option<String>) -> Self {
        self.key = key.map(|k| format!("Bearer {k}"));
        self
    }

    /// Sets the timeout of one request.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.client = self.client.with_timeout(timeout);
        self
    }

    /// Sets how long the state of an accepted durable job is polled.
    #[must_use]
    pub const fn with_wait_durable(mut self, wait: Duration) -> Self {
        self.wait_durable = wait;
        self
    }

    /// Number of retries of submissions.
    #[must_use]
    pub fn retries(&self) -> u64 {
        self.retries.load(Ordering::Relaxed)
    }

    fn pick_entry(&self) -> SocketAddr {
        self.entries[self.next_entry.fetch_add(1, Ordering::Relaxed) % self.entries.len()]
    }

    fn headers(&self) -> Vec<(&str, &str)> {
        let key = self.key.as_deref().map(|k| ("authorization", k));
        key.into_iter().chain([("content-type", "application/json")]).collect()
    }

    /// Submits a job and waits for its outcome.
    ///
    /// A request that may have reached an entry is retried only under a request id and not after a timeout.
    pub async fn submit(&self, job: &Job) -> Outcome {
        let body = serde_json::to_string(job).expect("a job can be serialized as JSON");
        let mut may_have_run = false;
        for attempt in 0..ATTEMPTS_PER_ENTRY * self.entries.len() {
            if attempt > 0 {
                self.retries.fetch_add(1, Ordering::Relaxed);
                task::sleep(RETRY_DELAY).await;
            }
            let sent = self.client.call(self.pick_entry(), Method::Post, "/v1/jobs", &self.headers(), &body).await;
            let error = match sent {
                Ok(reply) => return self.classify_reply(job, &reply, may_have_run).await,
                Err(error) => error,
            };
            may_have_run |= !error.is_unsent();
            // Without a request id, a retry of a request that was received would create a second job.
            let is_repeatable = job.request_id.is_some() || error.is_unsent();
            if !is_repeatable || matches!(error, ClientError::TimedOut { .. }) {
                return Outcome::Unknown { reason: error.to_string() };
            }
        }
        if may_have_run {
            return Outcome::Unknown { reason: "no entry answered".into() };
        }
        Outcome::NotRun { status: 0, reason: "no entry accepted a connection".into() }
    }

    async fn classify_reply(&self, job: &Job, reply: &Reply, may_have_run: bool) -> Outcome {
        let body: Value = reply.json().unwrap_or_default();
        let reason = || format!("{}: {}", reply.status, reply.text());
        match (reply.status, body["ran"].as_str()) {
            (200, _) => check_answer(job, &body),
            (202, _) => match serde_json::from_value(body) {
                Ok(Accepted { job: id }) => self.poll_until_ended(job, &id).await,
                Err(_) => Outcome::Unknown { reason: reason() },
            },
            // The refusal is about this attempt only; an earlier one may have run.
            (_, Some("no")) if may_have_run => {
                Outcome::Unknown { reason: format!("refused after an attempt without an answer: {}", reason()) }
            }
            (status, Some("no")) => Outcome::NotRun { status, reason: reply.text() },
            (_, Some("yes")) => Outcome::Failed { reason: reply.text() },
            _ => Outcome::Unknown { reason: reason() },
        }
    }

    /// Polls the entries in turn until a durable job ends or `wait_durable` has passed.
    async fn poll_until_ended(&self, job: &Job, id: &str) -> Outcome {
        let deadline = Instant::now() + self.wait_durable;
        let path = format!("/v1/jobs/{id}");
        let mut state = "accepted".to_owned();
        loop {
            let sent = self.client.call(self.pick_entry(), Method::Get, &path, &self.headers(), "").await;
            // A failed read says nothing about the state of the job, so the next entry is asked.
            if let Ok(reply) = sent
                && let Ok(body) = reply.json::<Value>()
                && let Some(current) = body["state"].as_str()
            {
                match current {
                    "done" => return check_answer(job, &body),
                    "failed" => return Outcome::Failed { reason: reply.text() },
                    "unknown" => return Outcome::Unknown { reason: reply.text() },
                    "cancelled" => return Outcome::Cancelled,
                    other => other.clone_into(&mut state),
                }
            }
            if Instant::now() >= deadline {
                return Outcome::Pending { state };
            }
            task::sleep(JOB_POLL_INTERVAL).await;
        }
    }
}

fn check_answer(job: &Job, body: &Value) -> Outcome {
    let is_valid = body["answer"].as_str().is_some_and(|text| answer::is_answer_to(&job.payload, text));
    if is_valid { Outcome::Served } else { Outcome::WrongAnswer }
}

/// Adds the mark to a payload that has none, so that jobs with the same payload get different answers.
#[must_use]
pub fn mark_payload(payload: &Value, mark: &str) -> String {
    let mut payload = payload.clone();
    if let Some(fields) = payload.as_object_mut()
        && !fields.contains_key("mark")
    {
        fields.insert("mark".into(), json!(mark));
    }
    payload.to_string()
}

/// Number of jobs by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// Jobs submitted.
    pub asked: u64,
    /// Jobs with a complete answer of their own.
    pub served: u64,
    /// Jobs that were refused or never sent, and didn't run.
    pub refused_not_run: u64,
    /// Jobs that may have run.
    pub unknown: u64,
    /// Jobs that ran and failed.
    pub failed: u64,
    /// Jobs that were cancelled.
    pub cancelled: u64,
    /// Durable jobs that didn't end while they were polled.
    pub pending: u64,
    /// Jobs with a truncated answer or the answer to another job.
    pub wrong_answers: u64,
}

impl Summary {
    /// Adds the outcome of one job.
    pub const fn add(&mut self, outcome: &Outcome) {
        self.asked += 1;
        let count = match outcome {
            Outcome::Served => &mut self.served,
            Outcome::NotRun { .. } => &mut self.refused_not_run,
            Outcome::Unknown { .. } => &mut self.unknown,
            Outcome::Failed { .. } => &mut self.failed,
            Outcome::Cancelled => &mut self.cancelled,
            Outcome::Pending { .. } => &mut self.pending,
            Outcome::WrongAnswer => &mut self.wrong_answers,
        };
        *count += 1;
    }
}
