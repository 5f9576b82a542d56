//! HTTP API of the worker and its control calls.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::io::Cursor;
use async_std::{future, io, task};
use serde::Deserialize;
use serde_json::json;
use smol_str::SmolStr;
use tide::{Body, Response};

use super::run::{TaskSpec, TaskState};
use super::state::{Refusal, Step, WorkerState};
use super::tally::Tally;
use super::{MAX_CONNECTIONS, Options};
use crate::http;

/// Interval at which a call to a frozen worker checks whether the freeze has ended, and delay between the answer to a
/// reboot call and the reboot.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Faults that a test sets; absent fields leave the fault as it is.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether each task fails immediately after its start.
    pub fail: Option<bool>,
    /// Delay in ms that is added to each call.
    pub delay_ms: Option<u64>,
    /// Number of answers of tasks to truncate in the middle, starting with the next.
    pub cut: Option<u64>,
    /// Number of starts to lose the answer of, starting with the next: the connection is closed immediately, while the
    /// task continues to run.
    pub lost: Option<u64>,
    /// Whether calls hang until the end of the freeze and tasks don't end by themselves.
    pub frozen: Option<bool>,
    /// Whether connections are closed without an answer; leases and tasks continue.
    pub unreachable: Option<bool>,
}

struct Worker {
    state: Mutex<WorkerState>,
    faults: Mutex<Faults>,
}

type SharedWorker = Arc<Worker>;
type Request = tide::Request<SharedWorker>;

impl Worker {
    /// Locks the state after ending the expired leases.
    fn lock_state(&self) -> MutexGuard<'_, WorkerState> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.remove_expired_leases(Instant::now());
        state
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn should_cut_answer(&self) -> bool {
        decrement(&mut self.faults().cut)
    }

    fn should_lose_start_answer(&self) -> bool {
        decrement(&mut self.faults().lost)
    }
}

/// Counts down to 0 and returns whether the count was positive before.
fn decrement(remaining: &mut Option<u64>) -> bool {
    let before = remaining.unwrap_or(0);
    *remaining = Some(before.saturating_sub(1));
    before > 0
}

/// Starts a worker and returns its address.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn start(addr: SocketAddr, options: Options, process_tally: Tally) -> io::Result<SocketAddr> {
    let worker =
        Arc::new(Worker { state: Mutex::new(WorkerState::new(options, process_tally)), faults: Mutex::default() });
    let limit = http::ConnectionLimit::new(MAX_CONNECTIONS);
    http::start(addr, build_app(worker), Some(limit)).await
}

fn build_app(worker: SharedWorker) -> tide::Server<SharedWorker> {
    let mut app = tide::with_state(worker);
    app.with(tide::utils::After(http::add_error_body));
    app.with(apply_faults);
    app.at("/leases").post(grant_lease);
    app.at("/leases/renew").post(renew_leases);
    app.at("/leases/:lease").delete(revoke_lease);
    app.at("/tasks").post(start_task);
    app.at("/tasks/:task").get(show_task);
    app.at("/tasks/:task/stop").post(stop_task);
    app.at("/tasks/:task/checkpoint").post(checkpoint_task);
    app.at("/tasks/:task/throttle").post(throttle_task);
    app.at("/status").get(show_status);
    app.at("/drain").post(drain);
    app.at("/undrain").post(undrain);
    app.at("/reboot").post(reboot);
    app.at("/control/faults").post(set_faults);
    app.at("/control/starts").get(show_starts);
    app.at("/control/peaks").get(show_peaks);
    app
}

type BoxedResult<'a> = Pin<Box<dyn Future<Output = tide::Result> + Send + 'a>>;

fn apply_faults<'a>(req: Request, next: tide::Next<'a, SharedWorker>) -> BoxedResult<'a> {
    Box::pin(async move {
        if req.url().path().starts_with(http::CONTROL_PREFIX) {
            return Ok(next.run(req).await);
        }
        let worker = Arc::clone(req.state());
        let delay_ms = worker.faults().delay_ms.unwrap_or(0);
        if delay_ms > 0 {
            task::sleep(Duration::from_millis(delay_ms)).await;
        }
        wait_while_frozen(&worker).await;
        if is_unreachable(&worker) {
            return Ok(http::close_connection());
        }
        let res = next.run(req).await;
        wait_while_frozen(&worker).await;
        // The worker may have become unreachable while the call was handled.
        Ok(if is_unreachable(&worker) { http::close_connection() } else { res })
    })
}

fn is_unreachable(worker: &Worker) -> bool {
    worker.faults().unreachable == Some(true) || worker.lock_state().is_down(Instant::now())
}

async fn wait_while_frozen(worker: &Worker) {
    while worker.faults().frozen == Some(true) {
        task::sleep(POLL_INTERVAL).await;
    }
}

fn reply_ok() -> tide::Result {
    http::reply_json(200, &json!({}))
}

#[derive(Deserialize)]
struct NewLease {
    entry: SmolStr,
    ttl_ms: u64,
}

async fn grant_lease(mut req: Request) -> tide::Result {
    let NewLease { entry, ttl_ms } = http::read_json(&mut req).await?;
    let granted = req.state().lock_state().grant(entry, Duration::from_millis(ttl_ms), Instant::now());
    match granted {
        Ok(lease) => http::reply_json(200, &json!({ "lease": lease })),
        Err(refused) => http::reply_json(409, &json!({ "reason": refused.reason() })),
    }
}

#[derive(Deserialize)]
struct Renewal {
    leases: Vec<SmolStr>,
}

async fn renew_leases(mut req: Request) -> tide::Result {
    let Renewal { leases } = http::read_json(&mut req).await?;
    let lapsed = req.state().lock_state().renew(leases, Instant::now());
    http::reply_json(200, &json!({ "lapsed": lapsed }))
}

async fn revoke_lease(req: Request) -> tide::Result {
    let is_known = req.state().lock_state().revoke(req.param("lease")?, Instant::now());
    http::reply_json(if is_known { 200 } else { 404 }, &json!({}))
}

#[derive(Deserialize)]
struct StartQuery {
    lease: SmolStr,
    task: SmolStr,
    #[serde(default)]
    wait: bool,
}

async fn start_task(mut req: Request) -> tide::Result {
    let StartQuery { lease, task, wait } = req.query()?;
    let header = |name| req.header(name).map_or(SmolStr::default(), |v| SmolStr::new(v[0].as_str()));
    let (team, queue) = (header("x-team"), header("x-queue"));
    let payload = req.body_string().await?;
    let parsed = match serde_json::from_str(&payload) {
        Ok(parsed) => parsed,
        Err(e) => return http::reply_json(400, &json!({ "reason": e.to_string(), "started": false })),
    };
    let spec = TaskSpec { task: task.clone(), team, queue, lease, payload: payload.into(), parsed };
    let worker = Arc::clone(req.state());
    let started = worker.lock_state().start(spec, Instant::now());
    let run = match started {
        Ok(run) => run,
        Err(refused) => return reply_refused(refused),
    };
    let end_signal = worker.lock_state().run_mut(run).map(|r| r.subscribe_to_end());
    task::spawn(drive_run(Arc::clone(&worker), run));
    if worker.should_lose_start_answer() {
        return Ok(http::close_connection());
    }
    if !wait {
        return http::reply_json(202, &json!({ "task": task }));
    }
    let Some(end_signal) = end_signal else { return Ok(http::close_connection()) };
    // A reboot cancels the receiver and removes the run, so that none is found below.
    let _ = end_signal.await;
    reply_ended(&worker, run, &task)
}

fn reply_refused(refused: Refusal) -> tide::Result {
    let started = refused == Refusal::AlreadyStarted;
    let status = if started { 500 } else { 409 };
    http::reply_json(status, &json!({ "reason": refused.reason(), "started": started }))
}

fn reply_ended(worker: &Worker, run: u64, task: &str) -> tide::Result {
    let ended = worker.lock_state().run(run).map(|r| (r.state, r.reason, r.answer()));
    let Some((state, reason, answer)) = ended else { return Ok(http::close_connection()) };
    let mut res = if state == TaskState::Done {
        reply_answer(answer, worker.should_cut_answer())
    } else {
        http::reply_json(500, &json!({ "reason": reason, "started": true }))?
    };
    res.insert_header("x-task", task);
    Ok(res)
}

fn reply_answer(answer: String, is_cut: bool) -> Response {
    let length = answer.len();
    if !is_cut {
        return Response::builder(200).body(answer).build();
    }
    let first_half = answer.into_bytes()[..length / 2].to_vec();
    let body = Body::from_reader(Cursor::new(first_half), Some(length));
    Response::builder(200).body(body).header("connection", "close").build()
}

/// Advances a run until it has ended or was lost.
async fn drive_run(worker: SharedWorker, run: u64) {
    loop {
        let step = worker.lock_state().advance(run, Instant::now());
        let Step::Wait(wait, changed) = step else { return };
        // A change, a dropped sender and the timeout all lead to another step.
        let _ = future::timeout(wait, changed).await;
    }
}

async fn show_task(req: Request) -> tide::Result {
    let task = req.param("task")?;
    let worker_state = req.state().lock_state();
    let Some(run) = worker_state.latest_run(task).and_then(|run| worker_state.run(run)) else {
        return http::reply_json(404, &json!({ "reason": "unknown task" }));
    };
    match run.state {
        TaskState::Done => http::reply_json(200, &json!({ "state": run.state, "answer": run.answer() })),
        state => http::reply_json(200, &json!({ "state": state, "reason": run.reason })),
    }
}

/// Applies an action to the latest run of the task in the path, and replies with its state and progress.
fn act_on_task(req: &Request, action: impl FnOnce(&mut WorkerState, u64)) -> tide::Result {
    let mut state = req.state().lock_state();
    let Some(run) = state.latest_run(req.param("task")?) else {
        return http::reply_json(404, &json!({ "reason": "unknown task" }));
    };
    action(&mut state, run);
    let now = Instant::now();
    let Some(run) = state.run_mut(run) else { return http::reply_json(404, &json!({ "reason": "unknown task" })) };
    let progress_ms = run.update_progress(now) as u64;
    http::reply_json(200, &json!({ "state": run.state, "progress_ms": progress_ms }))
}

async fn stop_task(req: Request) -> tide::Result {
    act_on_task(&req, |state, run| state.stop(run, Instant::now()))
}

async fn checkpoint_task(req: Request) -> tide::Result {
    act_on_task(&req, |_, _| ())
}

async fn throttle_task(req: Request) -> tide::Result {
    act_on_task(&req, |state, run| state.throttle(run, Instant::now()))
}

async fn show_status(req: Request) -> tide::Result {
    let status = req.state().lock_state().status(Instant::now());
    http::reply_json(200, &status)
}

async fn drain(req: Request) -> tide::Result {
    req.state().lock_state().is_draining = true;
    reply_ok()
}

async fn undrain(req: Request) -> tide::Result {
    req.state().lock_state().is_draining = false;
    reply_ok()
}

#[derive(Deserialize)]
struct RebootQuery {
    down_ms: Option<u64>,
}

async fn reboot(req: Request) -> tide::Result {
    let RebootQuery { down_ms } = req.query()?;
    let worker = Arc::clone(req.state());
    let duration = down_ms.map_or_else(|| worker.lock_state().options.reboot_duration, Duration::from_millis);
    // The reboot is delayed so that the answer to this call is sent before.
    task::spawn(async move {
        task::sleep(POLL_INTERVAL).await;
        worker.lock_state().reboot(duration, Instant::now());
    });
    reply_ok()
}

async fn set_faults(mut req: Request) -> tide::Result {
    let new: Faults = http::read_json(&mut req).await?;
    let worker = req.state();
    let faults = {
        let mut faults = worker.faults();
        *faults = Faults {
            fail: new.fail.or(faults.fail),
            delay_ms: new.delay_ms.or(faults.delay_ms),
            cut: new.cut.or(faults.cut),
            lost: new.lost.or(faults.lost),
            frozen: new.frozen.or(faults.frozen),
            unreachable: new.unreachable.or(faults.unreachable),
        };
        *faults
    };
    let mut state = worker.lock_state();
    state.fails_all_tasks = faults.fail == Some(true);
    state.is_frozen = faults.frozen == Some(true);
    reply_ok()
}

async fn show_starts(req: Request) -> tide::Result {
    let starts = req.state().lock_state().starts.clone();
    http::reply_json(200, &starts)
}

async fn show_peaks(req: Request) -> tide::Result {
    let (worker_tally, process_tally) = {
        let state = req.state().lock_state();
        (state.worker_tally.clone(), state.process_tally.clone())
    };
    http::reply_json(200, &json!({ "worker": worker_tally.counts(), "process": process_tally.counts() }))
}
