//! Calls to workers without an entry, as the baseline of the latency that an entry adds.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_types::Method;
use serde::Deserialize;
use serde_json::json;
use smol_str::SmolStr;

use crate::answer;
use crate::client::Client;
use crate::submit::{Job, Outcome};

/// Calls workers under leases that are kept from one task to the next, as an entry keeps them.
#[derive(Clone, Debug)]
pub struct Direct {
    client: Client,
    workers: Arc<[SocketAddr]>,
    idle: Arc<Mutex<Vec<Held>>>,
    next_worker: Arc<AtomicUsize>,
    next_task: Arc<AtomicU64>,
    lease_ttl: Duration,
}

#[derive(Clone, Debug)]
struct Held {
    worker: SocketAddr,
    lease: SmolStr,
}

#[derive(Deserialize)]
struct Granted {
    lease: SmolStr,
}

impl Direct {
    /// Creates a caller whose leases last for the whole measurement.
    #[must_use]
    pub fn new(workers: &[SocketAddr], lease_ttl: Duration) -> Self {
        Self {
            client: Client::new(),
            workers: workers.into(),
            idle: Arc::default(),
            next_worker: Arc::default(),
            next_task: Arc::default(),
            lease_ttl,
        }
    }

    /// Runs a job on any worker with a free slot.
    pub async fn submit(&self, job: &Job) -> Outcome {
        let Some(held) = self.take_lease().await else {
            return Outcome::NotRun { status: 409, reason: "no worker has a free slot".into() };
        };
        let number = self.next_task.fetch_add(1, Ordering::Relaxed);
        // Lease ids differ between workers and runs of the generator, so the task ids differ as well.
        let task = format!("d-{}-{number}", held.lease);
        let path = format!("/tasks?lease={}&task={task}&wait=true", held.lease);
        let headers = [("x-team", job.team.as_deref().unwrap_or("")), ("x-queue", job.queue.as_str())];
        let sent = self.client.call(held.worker, Method::Post, &path, &headers, &job.payload).await;
        let reply = match sent {
            Ok(reply) => reply,
            Err(e) if e.is_unsent() => return Outcome::NotRun { status: 0, reason: e.to_string() },
            Err(e) => return Outcome::Unknown { reason: e.to_string() },
        };
        // A lease after a failed call isn't used again; it lapses by itself.
        if reply.status != 409 {
            self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(held);
        }
        match reply.status {
            200 if reply.header("x-task") != Some(task.as_str()) => Outcome::WrongAnswer,
            200 if answer::is_answer_to(&job.payload, &reply.text()) => Outcome::Served,
            200 => Outcome::WrongAnswer,
            409 => Outcome::NotRun { status: 409, reason: reply.text() },
            _ => Outcome::Failed { reason: reply.text() },
        }
    }

    async fn take_lease(&self) -> Option<Held> {
        let held = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
        if held.is_some() {
            return held;
        }
        let body = json!({ "entry": "direct", "ttl_ms": self.lease_ttl.as_millis() as u64 }).to_string();
        for _ in 0..self.workers.len() {
            let worker = self.workers[self.next_worker.fetch_add(1, Ordering::Relaxed) % self.workers.len()];
            let Ok(reply) = self.client.post(worker, "/leases", &body).await else { continue };
            if reply.status == 200
                && let Ok(Granted { lease }) = reply.json()
            {
                return Some(Held { worker, lease });
            }
        }
        None
    }

    /// Ends the kept leases.
    pub async fn release(&self) {
        let held = std::mem::take(&mut *self.idle.lock().unwrap_or_else(PoisonError::into_inner));
        for Held { worker, lease } in held {
            // A lease that can't be ended lapses by itself.
            let _ = self.client.call(worker, Method::Delete, &format!("/leases/{lease}"), &[], "").await;
        }
    }
}
