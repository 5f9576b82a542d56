//! HTTP server that stops without cutting a request in progress.

use std::net::{Shutdown, SocketAddr};
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_h1::server;
use async_std::channel;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use carawaybarrow_core::{Findings, Map};
use futures::future::{self, Either};
use futures::{AsyncReadExt, FutureExt};
use http_types::{Request, Response, StatusCode};
use serde_json::json;
use snafu::{ResultExt, Snafu};

/// Interval at which a stopping server looks whether its connections have ended.
const STOP_POLL: Duration = Duration::from_millis(10);

/// Time for the first request of a new connection to arrive before a stopping server closes it. The caller has the
/// connection already, so its request must be answered.
const FIRST_REQUEST_LIMIT: Duration = Duration::from_millis(500);

/// Bounds of what a server takes in.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest body in bytes.
    pub body_bytes: u64,
    /// Time for the head of a request to arrive after its first byte.
    pub header_timeout: Duration,
    /// Time without a request after which a connection ends.
    pub idle_timeout: Duration,
}

impl Limits {
    /// Limits with the usual timeouts: longer than the idle time of [`crate::client::Client`], so that the client ends
    /// a connection first.
    #[must_use]
    pub const fn new(body_bytes: u64) -> Self {
        Self { body_bytes, header_timeout: Duration::from_secs(10), idle_timeout: Duration::from_secs(60) }
    }
}

/// Gives the limits for the next request; they may change with the configuration.
pub type LimitSource = Arc<dyn Fn() -> Limits + Send + Sync>;

/// A server that can't listen.
#[derive(Debug, Snafu)]
#[snafu(display("can't listen on {address}: {source}"))]
pub struct ListenError {
    address: SocketAddr,
    source: std::io::Error,
}

#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    busy: Arc<AtomicBool>,
    opened: Instant,
    /// Whether a request has come.
    used: Arc<AtomicBool>,
}

impl Connection {
    fn is_idle(&self) -> bool {
        let awaits_first = !self.used.load(Ordering::SeqCst) && self.opened.elapsed() < FIRST_REQUEST_LIMIT;
        !self.busy.load(Ordering::SeqCst) && !awaits_first
    }
}

/// Connections and requests in progress.
#[derive(Debug, Default)]
struct Tracker {
    stopping: AtomicBool,
    next: AtomicU64,
    requests: AtomicUsize,
    connections: Mutex<Map<u64, Connection>>,
}

impl Tracker {
    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    fn add(&self, stream: TcpStream) -> (u64, Arc<AtomicBool>, Arc<AtomicBool>) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (busy, used) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let connection =
            Connection { stream, busy: Arc::clone(&busy), opened: Instant::now(), used: Arc::clone(&used) };
        self.connections.lock().expect("no holder panics").insert(id, connection);
        (id, busy, used)
    }

    fn remove(&self, id: u64) {
        self.connections.lock().expect("no holder panics").remove(&id);
    }

    /// Ends the reading side of idle connections; a request that was already received is still served.
    fn close_idle(&self) {
        for connection in self.connections.lock().expect("no holder panics").values() {
            if connection.is_idle() {
                // An error means that the peer has closed the connection.
                drop(connection.stream.shutdown(Shutdown::Read));
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.connections.lock().expect("no holder panics").is_empty()
    }
}

/// Handle of a listening server.
#[derive(Clone, Debug)]
pub struct Handle {
    address: SocketAddr,
    tracker: Arc<Tracker>,
    /// Closed to end listening.
    accepting: channel::Sender<()>,
}

impl Handle {
    /// Address on which the server listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests in progress.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.tracker.requests.load(Ordering::SeqCst)
    }

    /// Open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.tracker.connections.lock().expect("no holder panics").len()
    }

    /// Asks callers to go elsewhere: each answer from now on ends its connection.
    pub fn start_stop(&self) {
        self.tracker.stopping.store(true, Ordering::SeqCst);
    }

    /// Stops listening and waits until each request in progress has been answered.
    pub async fn finish_stop(&self) {
        self.start_stop();
        self.accepting.close();
        while !self.tracker.is_empty() {
            self.tracker.close_idle();
            task::sleep(STOP_POLL).await;
        }
    }
}

/// Starts to serve an application.
///
/// # Errors
///
/// Fails if the address can't be used.
pub async fn listen<S>(address: SocketAddr, app: tide::Server<S>, limits: Limits) -> Result<Handle, ListenError>
where
    S: Clone + Send + Sync + 'static,
{
    listen_with(address, app, Arc::new(move || limits)).await
}

/// Starts to serve an application under limits that may change.
///
/// # Errors
///
/// Fails if the address can't be used.
pub async fn listen_with<S>(
    address: SocketAddr,
    app: tide::Server<S>,
    limits: LimitSource,
) -> Result<Handle, ListenError>
where
    S: Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let address = listener.local_addr().context(ListenSnafu { address })?;
    let (accepting, closed) = channel::bounded(1);
    let handle = Handle { address, tracker: Arc::default(), accepting };
    task::spawn(accept_connections(listener, closed, app, limits, Arc::clone(&handle.tracker)));
    Ok(handle)
}

async fn accept_connections<S>(
    listener: TcpListener,
    closed: channel::Receiver<()>,
    app: tide::Server<S>,
    limits: LimitSource,
    tracker: Arc<Tracker>,
) where
    S: Clone + Send + Sync + 'static,
{
    loop {
        // The channel carries no message; it ends when the server stops.
        let accepted = match future::select(pin!(listener.accept()), pin!(closed.recv())).await {
            Either::Left((accepted, _)) => accepted,
            // Callers in the backlog have a connection already, so they are served too.
            Either::Right(_) => match listener.accept().now_or_never() {
                Some(accepted) => accepted,
                None => return,
            },
        };
        let Ok((stream, _)) = accepted else {
            // Accept fails for lack of file descriptors among others; the pause lets connections end.
            task::sleep(STOP_POLL).await;
            continue;
        };
        // Without this, an answer in two segments waits for the delayed acknowledgement of the first.
        if stream.set_nodelay(true).is_ok() {
            task::spawn(serve_connection(stream, app.clone(), Arc::clone(&limits), Arc::clone(&tracker)));
        }
    }
}

async fn serve_connection<S>(stream: TcpStream, app: tide::Server<S>, limits: LimitSource, tracker: Arc<Tracker>)
where
    S: Clone + Send + Sync + 'static,
{
    let (id, busy, used) = tracker.add(stream.clone());
    let endpoint = |req: Request| {
        busy.store(true, Ordering::SeqCst);
        used.store(true, Ordering::SeqCst);
        tracker.requests.fetch_add(1, Ordering::SeqCst);
        let tracker = &tracker;
        respond(&app, req, limits()).map(move |mut res| {
            tracker.requests.fetch_sub(1, Ordering::SeqCst);
            if tracker.is_stopping() {
                res.insert_header("connection", "close");
            }
            Ok(res)
        })
    };
    let mut connection = server::Server::new(stream.clone(), endpoint);
    while has_request(&stream, limits().idle_timeout).await {
        let guard = end_late_head(&stream, &busy, limits().header_timeout);
        let status = match future::select(pin!(connection.accept_one()), pin!(guard)).await {
            Either::Left((status, _)) => status,
            Either::Right(((), _)) => break,
        };
        busy.store(false, Ordering::SeqCst);
        if !matches!(status, Ok(server::ConnectionStatus::KeepAlive)) || tracker.is_stopping() {
            break;
        }
    }
    tracker.remove(id);
}

/// Waits for the first byte of a request; `false` if the connection ends or idles for too long.
async fn has_request(stream: &TcpStream, limit: Duration) -> bool {
    matches!(async_std::future::timeout(limit, stream.peek(&mut [0])).await, Ok(Ok(1)))
}

/// Returns when the head of a request has not arrived in time; never if it has.
async fn end_late_head(stream: &TcpStream, busy: &AtomicBool, limit: Duration) {
    task::sleep(limit).await;
    if busy.load(Ordering::SeqCst) {
        future::pending::<()>().await;
    }
    // An error means that the peer has closed the connection.
    drop(stream.shutdown(Shutdown::Both));
}

async fn respond<S>(app: &tide::Server<S>, mut req: Request, limits: Limits) -> Response
where
    S: Clone + Send + Sync + 'static,
{
    // async-h1 loses bytes of the next request on a connection if an answer is sent before the body has arrived, so
    // the body is read first, also for requests that are refused without it.
    match read_body(&mut req, limits.body_bytes).await {
        Ok(Some(bytes)) => req.set_body(bytes),
        Ok(None) => return refuse_body(limits.body_bytes),
        Err(_) => return close(Response::new(StatusCode::BadRequest)),
    }
    let answer: http_types::Result<Response> = app.respond(req).await;
    answer.unwrap_or_else(|e| Response::new(e.status()))
}

/// Reads a body; `None` if it is longer than the limit.
async fn read_body(req: &mut Request, limit: u64) -> std::io::Result<Option<Vec<u8>>> {
    let mut bytes = Vec::new();
    req.take_body().take(limit + 1).read_to_end(&mut bytes).await?;
    Ok((bytes.len() as u64 <= limit).then_some(bytes))
}

fn refuse_body(limit: u64) -> Response {
    let mut errors = Findings::new();
    errors.add("body", format!("it has more than {limit} bytes"));
    let mut res = Response::new(StatusCode::PayloadTooLarge);
    res.set_body(json!({ "ran": "no", "reason": "invalid", "errors": errors }));
    close(res)
}

/// Ends the connection after this answer, because the rest of the request is still on its way.
fn close(mut res: Response) -> Response {
    res.insert_header("connection", "close");
    res
}
