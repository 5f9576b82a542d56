//! A caller: submits jobs to entries, checks the answers and follows durable jobs to their end.

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

/// Attempts for each entry before a request is given up.
const ATTEMPTS_PER_ENTRY: usize = 3;

/// Wait before the next attempt.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Wait between two looks at a durable job.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(50);

/// A job to submit.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Job {
    /// Queue.
    pub queue: SmolStr,
    /// Team; absent if the key says it or the queue is open to all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub team: Option<SmolStr>,
    /// Id by which a repeated request is recognized.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<SmolStr>,
    /// Payload for the worker, as text.
    pub payload: String,
    /// Declared run time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expected_run_ms: Option<u64>,
    /// Deadline of the caller.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

/// What became of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer to this job came.
    Served,
    /// An entry refused it, and no other attempt can have run.
    NotRun {
        /// HTTP status.
        status: u16,
        /// What the entry said.
        reason: String,
    },
    /// It ran and failed.
    Failed {
        /// What the entry said.
        reason: String,
    },
    /// It was cancelled by somebody.
    Cancelled,
    /// It may have run.
    Unknown {
        /// What is known.
        reason: String,
    },
    /// It is durable and didn't end within the time.
    Pending {
        /// Last state.
        state: String,
    },
    /// An answer came that is cut or belongs to another request.
    WrongAnswer,
}

impl Outcome {
    /// Why the job was not served, if something is known.
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

/// Submits jobs to a set of equal entries.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    entries: Arc<[SocketAddr]>,
    key: Option<String>,
    next: Arc<AtomicUsize>,
    retries: Arc<AtomicU64>,
    wait_durable: Duration,
}

impl Caller {
    /// Creates a caller.
    ///
    /// # Panics
    ///
    /// Panics without entries.
    #[must_use]
    pub fn new(entries: &[SocketAddr]) -> Self {
        assert!(!entries.is_empty(), "a caller needs an entry");
        Self {
            client: Client::new(),
            entries: entries.into(),
            key: None,
            next: Arc::default(),
            retries: Arc::default(),
            wait_durable: Duration::ZERO,
        }
    }

    /// Presents a key.
    #[must_use]
    pub fn with_key(mut self, key: Option<String>) -> Self {
        self.key = key.map(|k| format!("Bearer {k}"));
        self
    }

    /// Sets the time for one request.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.client = self.client.with_timeout(timeout);
        self
    }

    /// Sets how long durable jobs are followed.
    #[must_use]
    pub const fn with_wait_durable(mut self, wait: Duration) -> Self {
        self.wait_durable = wait;
        self
    }

    /// Requests that were sent again.
    #[must_use]
    pub fn retries(&self) -> u64 {
        self.retries.load(Ordering::Relaxed)
    }

    fn pick_entry(&self) -> SocketAddr {
        self.entries[self.next.fetch_add(1, Ordering::Relaxed) % self.entries.len()]
    }

    fn headers(&self) -> Vec<(&str, &str)> {
        let key = self.key.as_deref().map(|k| ("authorization", k));
        key.into_iter().chain([("content-type", "application/json")]).collect()
    }

    /// Submits a job and waits for its outcome.
    pub async fn submit(&self, job: &Job) -> Outcome {
        let body = serde_json::to_string(job).expect("a job has a JSON form");
        let mut may_have_run = false;
        for attempt in 0..ATTEMPTS_PER_ENTRY * self.entries.len() {
            if attempt > 0 {
                self.retries.fetch_add(1, Ordering::Relaxed);
                task::sleep(RETRY_INTERVAL).await;
            }
            let sent = self.client.call(self.pick_entry(), Method::Post, "/v1/jobs", &self.headers(), &body).await;
            let error = match sent {
                Ok(reply) => return self.judge(job, &reply, may_have_run).await,
                Err(error) => error,
            };
            may_have_run |= !error.is_unsent();
            // A second request without an id would be a second job.
            let is_repeatable = job.request_id.is_some() || error.is_unsent();
            if !is_repeatable || matches!(error, ClientError::TimedOut { .. }) {
                return Outcome::Unknown { reason: error.to_string() };
            }
        }
        if may_have_run {
            return Outcome::Unknown { reason: "no entry answered".into() };
        }
        Outcome::NotRun { status: 0, reason: "no entry took a connection".into() }
    }

    async fn judge(&self, job: &Job, reply: &Reply, may_have_run: bool) -> Outcome {
        let body: Value = reply.json().unwrap_or_default();
        let reason = || format!("{}: {}", reply.status, reply.text());
        match (reply.status, body["ran"].as_str()) {
            (200, _) => check_answer(job, &body),
            (202, _) => match serde_json::from_value(body) {
                Ok(Accepted { job: id }) => self.follow(job, &id).await,
                Err(_) => Outcome::Unknown { reason: reason() },
            },
            // The refusal holds for the last attempt only.
            (_, Some("no")) if may_have_run => {
                Outcome::Unknown { reason: format!("refused after an attempt without an answer: {}", reason()) }
            }
            (status, Some("no")) => Outcome::NotRun { status, reason: reply.text() },
            (_, Some("yes")) => Outcome::Failed { reason: reply.text() },
            _ => Outcome::Unknown { reason: reason() },
        }
    }

    /// Follows a durable job at any entry until it ends or the time is over.
    async fn follow(&self, job: &Job, id: &str) -> Outcome {
        let ends = Instant::now() + self.wait_durable;
        let path = format!("/v1/jobs/{id}");
        let mut state = "accepted".to_owned();
        loop {
            let sent = self.client.call(self.pick_entry(), Method::Get, &path, &self.headers(), "").await;
            // A failed read says nothing about the job; the next entry may know.
            if let Ok(reply) = sent
                && let Ok(body) = reply.json::<Value>()
                && let Some(found) = body["state"].as_str()
            {
                match found {
                    "done" => return check_answer(job, &body),
                    "failed" => return Outcome::Failed { reason: reply.text() },
                    "unknown" => return Outcome::Unknown { reason: reply.text() },
                    "cancelled" => return Outcome::Cancelled,
                    other => other.clone_into(&mut state),
                }
            }
            if Instant::now() >= ends {
                return Outcome::Pending { state };
            }
            task::sleep(FOLLOW_INTERVAL).await;
        }
    }
}

fn check_answer(job: &Job, body: &Value) -> Outcome {
    let is_own = body["answer"].as_str().is_some_and(|text| answer::is_answer_to(&job.payload, text));
    if is_own { Outcome::Served } else { Outcome::WrongAnswer }
}

/// Adds a mark to a payload that has none, so that the answers to two jobs differ.
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
    /// Whole answers to the own job.
    pub served: u64,
    /// Refused, not run.
    pub refused_not_run: u64,
    /// May have run.
    pub unknown: u64,
    /// Ran and failed.
    pub failed: u64,
    /// Cancelled.
    pub cancelled: u64,
    /// Durable, not ended within the time.
    pub pending: u64,
    /// Cut or foreign answers.
    pub wrong_answers: u64,
}

impl Summary {
    /// Counts an outcome.
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
