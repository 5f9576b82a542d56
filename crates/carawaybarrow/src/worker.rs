//! Client of the workers on the VMs of the pools.

use std::net::SocketAddr;
use std::time::Duration;

use carawaybarrow_core::ids::{Incarnation, LeaseId, QueueId, TaskId, TeamId};
use carawaybarrow_core::job::Size;
use carawaybarrow_core::units::Millis;
use futures::future::BoxFuture;
use http_types::Method;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::http_client::{Call, CallError, Client, Reply};

/// Timeout of all calls other than the start of a task.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Answer to a request for a slot lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// A slot was leased under this id.
    Granted(LeaseId),
    /// All slots of the worker are leased.
    Full,
    /// The worker is draining: it accepts no new tasks and grants no leases.
    Draining,
    /// The worker can't be reached, or its answer can't be read; with the reason.
    Unreachable(String),
}

/// A request to start a task.
#[derive(Clone, Debug)]
pub struct StartRequest {
    /// Id of the new task.
    pub task: TaskId,
    /// Slot lease under which the task runs.
    pub lease: LeaseId,
    /// Queue of the job.
    pub queue: QueueId,
    /// Team of the job; absent on queues open to all.
    pub team: Option<TeamId>,
    /// Input of the task.
    pub payload: String,
    /// Whether the worker answers only at the end of the task.
    pub wait: bool,
    /// Timeout of the call.
    pub timeout: Duration,
}

/// Answer to a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The task ended with this answer.
    Answer(Vec<u8>),
    /// The task runs; the worker didn't wait for its end.
    Started,
    /// Not started, because the lease had lapsed.
    LeaseLapsed,
    /// Not started, because the worker is draining: it accepts no new tasks.
    Draining,
    /// Not started, because the request was not sent; with the reason.
    NotSent(String),
    /// The task ran and failed, with this reason.
    Failed(String),
    /// The task may have run; with the reason why this isn't known.
    Unknown(String),
}

/// State of a task as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum TaskState {
    /// The task runs.
    Running,
    /// The task ended successfully.
    Done {
        /// Answer of the task.
        answer: String,
    },
    /// The task failed.
    Failed {
        /// Reason of the failure; empty if the worker gives none.
        #[serde(default)]
        reason: String,
    },
    /// The task was stopped on request or because its lease lapsed.
    Stopped,
}

/// A running task in a worker's status.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct RunningTask {
    /// Id of the task.
    pub task: TaskId,
    /// Lease under which it runs.
    pub lease: LeaseId,
    /// Holder of the lease, as [`lease_holder`](crate::quota_sync::lease_holder) forms it.
    pub entry: SmolStr,
    /// Team of the job; absent on queues open to all.
    #[serde(default)]
    pub team: Option<TeamId>,
}

/// Status of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Status {
    /// Incarnation of the worker process.
    pub incarnation: Incarnation,
    /// Number of slots.
    pub slots: u32,
    /// Number of slots without a lease.
    pub free: u32,
    /// Whether the worker is draining: it accepts no new tasks.
    pub draining: bool,
    /// Tasks that run at the worker.
    pub tasks: Vec<RunningTask>,
    /// Resources of the worker, if it reports them.
    #[serde(default)]
    pub size: Option<Size>,
}

/// A request to a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskRequest {
    /// Stop the task.
    Stop,
    /// Save its state, so that a later attempt can resume from it.
    Checkpoint,
    /// Reduce its speed.
    Throttle,
}

/// A request to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerRequest {
    /// Accept no new tasks.
    Drain,
    /// Accept new tasks again.
    Undrain,
    /// Restart the VM.
    Reboot,
}

/// Calls to workers.
pub trait Workers: Send + Sync {
    /// Requests a lease on a slot for a holder.
    fn lease<'a>(&'a self, address: SocketAddr, holder: &'a str, ttl: Millis) -> BoxFuture<'a, LeaseAnswer>;

    /// Renews leases; returns those that have lapsed, or `None` if the worker can't be reached.
    fn renew(&self, address: SocketAddr, leases: Vec<LeaseId>) -> BoxFuture<'_, Option<Vec<LeaseId>>>;

    /// Releases a lease. Errors are ignored, because an unreleased lease lapses.
    fn release(&self, address: SocketAddr, lease: LeaseId) -> BoxFuture<'_, ()>;

    /// Starts a task.
    fn start(&self, address: SocketAddr, start: StartRequest) -> BoxFuture<'_, StartAnswer>;

    /// Reads the state of a task; `Ok(None)` if the worker doesn't know it, an error if the worker can't be reached or
    /// its answer can't be read.
    fn task<'a>(&'a self, address: SocketAddr, task: &'a TaskId)
    -> BoxFuture<'a, Result<Option<TaskState>, CallError>>;

    /// Sends a request to a task; returns whether the worker accepted it.
    fn request_task<'a>(&'a self, address: SocketAddr, task: &'a TaskId, req: TaskRequest) -> BoxFuture<'a, bool>;

    /// Reads the status of a worker; `None` if the worker can't be reached or its answer can't be read.
    fn status(&self, address: SocketAddr) -> BoxFuture<'_, Option<Status>>;

    /// Sends a request to a worker; returns whether the worker accepted it.
    fn request(&self, address: SocketAddr, req: WorkerRequest) -> BoxFuture<'_, bool>;
}

/// HTTP client of workers.
#[derive(Debug)]
pub struct HttpWorkers {
    client: Client,
}

#[derive(Serialize)]
struct LeaseRequest<'a> {
    entry: &'a str,
    ttl_ms: Millis,
}

#[derive(Deserialize)]
struct GrantedLease {
    lease: LeaseId,
}

#[derive(Serialize)]
struct RenewRequest {
    leases: Vec<LeaseId>,
}

#[derive(Deserialize)]
struct RenewAnswer {
    lapsed: Vec<LeaseId>,
}

#[derive(Default, Deserialize)]
struct ReasonBody {
    #[serde(default)]
    reason: SmolStr,
}

impl HttpWorkers {
    /// Creates a client of workers that sends its calls through `client`.
    #[must_use]
    pub const fn new(client: Client) -> Self {
        Self { client }
    }

    async fn control(&self, address: SocketAddr, call: Call) -> Result<Reply, CallError> {
        self.client.call(address, &call, CONTROL_TIMEOUT).await
    }
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    carawaybarrow_core::commit::encode_json(value)
}

fn read_reason(reply: &Reply) -> SmolStr {
    reply.json::<ReasonBody>().unwrap_or_default().reason
}

/// Reads the answer to a start. The outcome is unknown if the answer belongs to another task or can't be read.
fn read_start(task: &TaskId, reply: Reply) -> StartAnswer {
    match reply.status {
        200 if reply.task_id().is_some_and(|t| t == task.as_str()) => StartAnswer::Answer(reply.body),
        200 => StartAnswer::Unknown("the answer belongs to another task".to_owned()),
        202 => StartAnswer::Started,
        409 => match read_reason(&reply).as_str() {
            "lease_lapsed" => StartAnswer::LeaseLapsed,
            "draining" => StartAnswer::Draining,
            other => StartAnswer::Unknown(format!("the worker answered 409 with the reason {other:?}")),
        },
        500 => StartAnswer::Failed(read_reason(&reply).to_string()),
        status => StartAnswer::Unknown(format!("the worker answered with status {status}")),
    }
}

impl Workers for HttpWorkers {
    fn lease<'a>(&'a self, address: SocketAddr, holder: &'a str, ttl: Millis) -> BoxFuture<'a, LeaseAnswer> {
        Box::pin(async move {
            let body = to_json(&LeaseRequest { entry: holder, ttl_ms: ttl });
            let reply = match self.control(address, Call::new(Method::Post, "/leases").with_body(body)).await {
                Ok(reply) => reply,
                Err(e) => return LeaseAnswer::Unreachable(e.to_string()),
            };
            match reply.status {
                200 => match reply.json::<GrantedLease>() {
                    Ok(granted) => LeaseAnswer::Granted(granted.lease),
                    Err(e) => LeaseAnswer::Unreachable(e.to_string()),
                },
                409 if read_reason(&reply) == "draining" => LeaseAnswer::Draining,
                409 => LeaseAnswer::Full,
                status => LeaseAnswer::Unreachable(format!("the worker answered with status {status}")),
            }
        })
    }

    fn renew(&self, address: SocketAddr, leases: Vec<LeaseId>) -> BoxFuture<'_, Option<Vec<LeaseId>>> {
        Box::pin(async move {
            let body = to_json(&RenewRequest { leases });
            let reply = self.control(address, Call::new(Method::Post, "/leases/renew").with_body(body)).await.ok()?;
            Some(reply.json::<RenewAnswer>().ok()?.lapsed)
        })
    }

    fn release(&self, address: SocketAddr, lease: LeaseId) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            // A lease that can't be released lapses by itself.
            drop(self.control(address, Call::new(Method::Delete, format!("/leases/{lease}"))).await);
        })
    }

    fn start(&self, address: SocketAddr, start: StartRequest) -> BoxFuture<'_, StartAnswer> {
        Box::pin(async move {
            let path = format!("/tasks?lease={}&task={}&wait={}", start.lease, start.task, start.wait);
            let mut call =
                Call::new(Method::Post, path).with_body(start.payload).with_header("x-queue", start.queue.as_str());
            if let Some(team) = &start.team {
                call = call.with_header("x-team", team.as_str());
            }
            match self.client.call(address, &call, start.timeout).await {
                Ok(reply) => read_start(&start.task, reply),
                Err(e) if e.may_have_arrived() => StartAnswer::Unknown(e.to_string()),
                Err(e) => StartAnswer::NotSent(e.to_string()),
            }
        })
    }

    fn task<'a>(
        &'a self,
        address: SocketAddr,
        task: &'a TaskId,
    ) -> BoxFuture<'a, Result<Option<TaskState>, CallError>> {
        Box::pin(async move {
            let reply = self.control(address, Call::new(Method::Get, format!("/tasks/{task}"))).await?;
            match reply.status {
                404 => Ok(None),
                _ => match reply.json() {
                    Ok(state) => Ok(Some(state)),
                    Err(e) => Err(CallError::Broken { address, message: e.to_string() }),
                },
            }
        })
    }

    fn request_task<'a>(&'a self, address: SocketAddr, task: &'a TaskId, req: TaskRequest) -> BoxFuture<'a, bool> {
        let verb = match req {
            TaskRequest::Stop => "stop",
            TaskRequest::Checkpoint => "checkpoint",
            TaskRequest::Throttle => "throttle",
        };
        Box::pin(async move {
            let call = Call::new(Method::Post, format!("/tasks/{task}/{verb}"));
            self.control(address, call).await.is_ok_and(|reply| reply.status < 300)
        })
    }

    fn status(&self, address: SocketAddr) -> BoxFuture<'_, Option<Status>> {
        Box::pin(
            async move { self.control(address, Call::new(Method::Get, "/status")).await.ok()?.json::<Status>().ok() },
        )
    }

    fn request(&self, address: SocketAddr, req: WorkerRequest) -> BoxFuture<'_, bool> {
        let path = match req {
            WorkerRequest::Drain => "/drain",
            WorkerRequest::Undrain => "/undrain",
            WorkerRequest::Reboot => "/reboot",
        };
        Box::pin(async move {
            self.control(address, Call::new(Method::Post, path)).await.is_ok_and(|reply| reply.status < 300)
        })
    }
}
