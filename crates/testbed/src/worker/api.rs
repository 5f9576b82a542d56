//! The worker's HTTP interface and its control calls.

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

use super::data::{Data, Refused, Step};
use super::run::{NewTask, TaskState};
use super::tally::Tally;
use super::{MAX_CONNECTIONS, Options};
use crate::http;

/// Interval at which a call to a frozen worker looks for the end of the freeze.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Faults that a test sets; absent fields stay as they are.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether each task fails right after its start.
    pub fail: Option<bool>,
    /// Time added to each call.
    pub delay_ms: Option<u64>,
    /// Number of the next answers to end in the middle.
    pub cut: Option<u64>,
    /// Number of the next starts whose answer is lost, at once, while the task runs on.
    pub lost: Option<u64>,
    /// Whether calls wait and tasks don't end.
    pub frozen: Option<bool>,
    /// Whether connections are closed without an answer; leases and tasks go on.
    pub unreachable: Option<bool>,
}

struct Worker {
    data: Mutex<Data>,
    faults: Mutex<Faults>,
}

type Shared = Arc<Worker>;
type Request = tide::Request<Shared>;

impl Worker {
    fn data(&self) -> MutexGuard<'_, Data> {
        let mut data = self.data.lock().unwrap_or_else(PoisonError::into_inner);
        data.sweep(Instant::now());
        data
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn takes_cut(&self) -> bool {
        take_one(&mut self.faults().cut)
    }

    fn loses_start(&self) -> bool {
        take_one(&mut self.faults().lost)
    }
}

fn take_one(left: &mut Option<u64>) -> bool {
    let before = left.unwrap_or(0);
    *left = Some(before.saturating_sub(1));
    before > 0
}

/// Starts a worker and returns its address.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn start(addr: SocketAddr, options: Options, shared: Tally) -> io::Result<SocketAddr> {
    let worker = Arc::new(Worker { data: Mutex::new(Data::new(options, shared)), faults: Mutex::default() });
    let bound = http::ConnectionBound::new(MAX_CONNECTIONS);
    http::start(addr, build_app(worker), Some(bound)).await
}

fn build_app(worker: Shared) -> tide::Server<Shared> {
    let mut app = tide::with_state(worker);
    app.with(tide::utils::After(http::explain_error));
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

fn apply_faults<'a>(req: Request, next: tide::Next<'a, Shared>) -> BoxedResult<'a> {
    Box::pin(async move {
        if req.url().path().starts_with(http::CONTROL) {
            return Ok(next.run(req).await);
        }
        let worker = Arc::clone(req.state());
        let delay_ms = worker.faults().delay_ms.unwrap_or(0);
        if delay_ms > 0 {
            task::sleep(Duration::from_millis(delay_ms)).await;
        }
        wait_while_frozen(&worker).await;
        if is_unreachable(&worker) {
            return Ok(http::no_answer());
        }
        let res = next.run(req).await;
        wait_while_frozen(&worker).await;
        // A worker that went down in the meantime no longer answers.
        Ok(if is_unreachable(&worker) { http::no_answer() } else { res })
    })
}

fn is_unreachable(worker: &Worker) -> bool {
    worker.faults().unreachable == Some(true) || worker.data().is_down(Instant::now())
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
    let granted = req.state().data().grant(entry, Duration::from_millis(ttl_ms), Instant::now());
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
    let lapsed = req.state().data().renew(leases, Instant::now());
    http::reply_json(200, &json!({ "lapsed": lapsed }))
}

async fn revoke_lease(req: Request) -> tide::Result {
    let is_known = req.state().data().revoke(req.param("lease")?, Instant::now());
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
    let text = |name| req.header(name).map_or(SmolStr::default(), |v| SmolStr::new(v[0].as_str()));
    let (team, queue) = (text("x-team"), text("x-queue"));
    let payload = req.body_string().await?;
    let parsed = match serde_json::from_str(&payload) {
        Ok(parsed) => parsed,
        Err(e) => return http::reply_json(400, &json!({ "reason": e.to_string(), "started": false })),
    };
    let new = NewTask { task: task.clone(), team, queue, lease, payload: payload.into(), parsed };
    let worker = Arc::clone(req.state());
    let started = worker.data().start(new, Instant::now());
    let run = match started {
        Ok(run) => run,
        Err(refused) => return reply_refused(refused),
    };
    let ended = worker.data().run_mut(run).map(|r| r.wait_for_end());
    task::spawn(follow_run(Arc::clone(&worker), run));
    if worker.loses_start() {
        return Ok(http::no_answer());
    }
    if !wait {
        return http::reply_json(202, &json!({ "task": task }));
    }
    let Some(ended) = ended else { return Ok(http::no_answer()) };
    // The signal is dropped when a reboot loses the task; then no run is found.
    let _ = ended.await;
    reply_ended(&worker, run, &task)
}

fn reply_refused(refused: Refused) -> tide::Result {
    let started = refused == Refused::AlreadyStarted;
    let status = if started { 500 } else { 409 };
    http::reply_json(status, &json!({ "reason": refused.reason(), "started": started }))
}

fn reply_ended(worker: &Worker, run: u64, task: &str) -> tide::Result {
    let ended = worker.data().run(run).map(|r| (r.state, r.reason, r.answer()));
    let Some((state, reason, answer)) = ended else { return Ok(http::no_answer()) };
    let mut res = if state == TaskState::Done {
        reply_answer(answer, worker.takes_cut())
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
    let half = answer.into_bytes()[..length / 2].to_vec();
    let body = Body::from_reader(Cursor::new(half), Some(length));
    Response::builder(200).body(body).header("connection", "close").build()
}

/// Moves a run on until it ends.
async fn follow_run(worker: Shared, run: u64) {
    loop {
        let step = worker.data().step(run, Instant::now());
        let Step::Wait(wait, changed) = step else { return };
        // A change, a dropped sender and the end of the time all lead to another look.
        let _ = future::timeout(wait, changed).await;
    }
}

async fn show_task(req: Request) -> tide::Result {
    let task = req.param("task")?;
    let data = req.state().data();
    let Some(run) = data.find(task).and_then(|run| data.run(run)) else {
        return http::reply_json(404, &json!({ "reason": "unknown task" }));
    };
    match run.state {
        TaskState::Done => http::reply_json(200, &json!({ "state": run.state, "answer": run.answer() })),
        state => http::reply_json(200, &json!({ "state": state, "reason": run.reason })),
    }
}

/// Applies an action to the latest run of the task in the path.
fn act_on_task(req: &Request, action: impl FnOnce(&mut Data, u64)) -> tide::Result {
    let mut data = req.state().data();
    let Some(run) = data.find(req.param("task")?) else {
        return http::reply_json(404, &json!({ "reason": "unknown task" }));
    };
    action(&mut data, run);
    let now = Instant::now();
    let Some(run) = data.run_mut(run) else { return http::reply_json(404, &json!({ "reason": "unknown task" })) };
    let progress_ms = run.count_progress(now) as u64;
    http::reply_json(200, &json!({ "state": run.state, "progress_ms": progress_ms }))
}

async fn stop_task(req: Request) -> tide::Result {
    act_on_task(&req, |data, run| data.stop(run, Instant::now()))
}

async fn checkpoint_task(req: Request) -> tide::Result {
    act_on_task(&req, |_, _| ())
}

async fn throttle_task(req: Request) -> tide::Result {
    act_on_task(&req, |data, run| data.throttle(run, Instant::now()))
}

async fn show_status(req: Request) -> tide::Result {
    let status = req.state().data().show(Instant::now());
    http::reply_json(200, &status)
}

async fn drain(req: Request) -> tide::Result {
    req.state().data().is_draining = true;
    reply_ok()
}

async fn undrain(req: Request) -> tide::Result {
    req.state().data().is_draining = false;
    reply_ok()
}

#[derive(Deserialize)]
struct RebootQuery {
    down_ms: Option<u64>,
}

async fn reboot(req: Request) -> tide::Result {
    let RebootQuery { down_ms } = req.query()?;
    let worker = Arc::clone(req.state());
    let down = down_ms.map_or_else(|| worker.data().options.reboot, Duration::from_millis);
    // The answer to this call is sent before the worker goes down.
    task::spawn(async move {
        task::sleep(POLL_INTERVAL).await;
        worker.data().reboot(down, Instant::now());
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
    let mut data = worker.data();
    data.fails_all = faults.fail == Some(true);
    data.is_frozen = faults.frozen == Some(true);
    reply_ok()
}

async fn show_starts(req: Request) -> tide::Result {
    let starts = req.state().data().starts.clone();
    http::reply_json(200, &starts)
}

async fn show_peaks(req: Request) -> tide::Result {
    let (own, shared) = {
        let data = req.state().data();
        (data.own.clone(), data.shared.clone())
    };
    http::reply_json(200, &json!({ "worker": own.show(), "process": shared.show() }))
}
