//! Direct calls to workers, which give the baseline for the latency that an entry adds.

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

/// Caller that sends jobs straight to workers. Like an entry, it reuses its leases from one task to the next.
#[derive(Clone, Debug)]
pub struct DirectCaller {
    client: Client,
    workers: Arc<[SocketAddr]>,
    idle: Arc<Mutex<Vec<HeldLease>>>,
    next_worker: Arc<AtomicUsize>,
    next_task: Arc<AtomicU64>,
    lease_ttl: Duration,
}

/// A lease without a running task.
#[derive(Clone, Debug)]
struct HeldLease {
    worker: SocketAddr,
    lease: SmolStr,
}

/// A worker's answer to a request for a lease.
#[derive(Deserialize)]
struct GrantedLease {
    lease: SmolStr,
}

impl DirectCaller {
    /// Creates a caller. Its leases aren't renewed, so `lease_ttl` has to exceed the length of the measurement.
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

    /// Runs a job on a worker with a free slot.
    pub async fn submit(&self, job: &Job) -> Outcome {
        let Some(held) = self.acquire_lease().await else {
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
        // The lease of a failed call or of a refused start isn't reused; it lapses.
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

    /// Returns a kept lease, or a new one of the first worker that grants one.
    async fn acquire_lease(&self) -> Option<HeldLease> {
        let held = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
        if held.is_some() {
            return held;
        }
        let body = json!({ "entry": "direct", "ttl_ms": self.lease_ttl.as_millis() as u64 }).to_string();
        for _ in 0..self.workers.len() {
            let worker = self.workers[self.next_worker.fetch_add(1, Ordering::Relaxed) % self.workers.len()];
            let Ok(reply) = self.client.post(worker, "/leases", &body).await else { continue };
            if reply.status == 200
                && let Ok(GrantedLease { lease }) = reply.json()
            {
                return Some(HeldLease { worker, lease });
            }
        }
        None
    }

    /// Ends all leases without a running task.
    pub async fn end_leases(&self) {
        let held = std::mem::take(&mut *self.idle.lock().unwrap_or_else(PoisonError::into_inner));
        for HeldLease { worker, lease } in held {
            // A failure is harmless, since the lease lapses.
            let _ = self.client.call(worker, Method::Delete, &format!("/leases/{lease}"), &[], "").await;
        }
    }
}
