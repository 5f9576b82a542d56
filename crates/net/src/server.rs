//! HTTP server with graceful shutdown: requests in progress are completed.

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

/// Interval at which a server that shuts down checks whether its connections have ended; also the delay after a failed
/// accept.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time that a server that shuts down waits for the first request of a new connection before closing it. The client has
/// already opened the connection and may be sending a request, which must be answered.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Size and time limits for requests.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum length of a request body in bytes.
    pub body_bytes: u64,
    /// Time after the first byte of a request in which its header has to arrive.
    pub header_timeout: Duration,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: Duration,
}

impl Limits {
    /// Limits with the default timeouts. The idle timeout is longer than the idle time of [`crate::client::Client`], so
    /// that the client stops using a connection before the server closes it.
    #[must_use]
    pub const fn new(body_bytes: u64) -> Self {
        Self { body_bytes, header_timeout: Duration::from_secs(10), idle_timeout: Duration::from_secs(60) }
    }
}

/// Returns the current limits, which may change with the configuration.
pub type LimitSource = Arc<dyn Fn() -> Limits + Send + Sync>;

/// Failure to listen on an address.
#[derive(Debug, Snafu)]
#[snafu(display("can't listen on {address}: {source}"))]
pub struct ListenError {
    address: SocketAddr,
    source: std::io::Error,
}

#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    /// Whether a request is in progress.
    busy: Arc<AtomicBool>,
    opened_at: Instant,
    /// Whether a request has been received.
    received_request: Arc<AtomicBool>,
}

impl Connection {
    fn is_idle(&self) -> bool {
        let awaits_first =
            !self.received_request.load(Ordering::SeqCst) && self.opened_at.elapsed() < FIRST_REQUEST_TIMEOUT;
        !self.busy.load(Ordering::SeqCst) && !awaits_first
    }
}

/// Open connections and number of requests in progress.
#[derive(Debug, Default)]
struct Tracker {
    stopping: AtomicBool,
    next_id: AtomicU64,
    requests: AtomicUsize,
    connections: Mutex<Map<u64, Connection>>,
}

impl Tracker {
    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    fn add(&self, stream: TcpStream) -> (u64, Arc<AtomicBool>, Arc<AtomicBool>) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (busy, received_request) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let connection = Connection {
            stream,
            busy: Arc::clone(&busy),
            opened_at: Instant::now(),
            received_request: Arc::clone(&received_request),
        };
        self.connections.lock().expect("no thread panics while holding the lock").insert(id, connection);
        (id, busy, received_request)
    }

    fn remove(&self, id: u64) {
        self.connections.lock().expect("no thread panics while holding the lock").remove(&id);
    }

    /// Shuts down the reading side of idle connections; a request that was already received is still served.
    fn close_idle(&self) {
        for connection in self.connections.lock().expect("no thread panics while holding the lock").values() {
            if connection.is_idle() {
                // An error means that the peer has closed the connection.
                drop(connection.stream.shutdown(Shutdown::Read));
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.connections.lock().expect("no thread panics while holding the lock").is_empty()
    }
}

/// Handle of a listening server.
#[derive(Clone, Debug)]
pub struct Handle {
    address: SocketAddr,
    tracker: Arc<Tracker>,
    /// Closed to stop accepting connections.
    stop_sender: channel::Sender<()>,
}

impl Handle {
    /// Address on which the server listens, with the actual port if port 0 was requested.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of requests in progress.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.tracker.requests.load(Ordering::SeqCst)
    }

    /// Number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.tracker.connections.lock().expect("no thread panics while holding the lock").len()
    }

    /// Starts a graceful shutdown: each response from now on closes its connection, so that clients use another server.
    /// New connections are still accepted.
    pub fn start_shutdown(&self) {
        self.tracker.stopping.store(true, Ordering::SeqCst);
    }

    /// Stops accepting connections and waits until all requests in progress have been answered.
    pub async fn finish_shutdown(&self) {
        self.start_shutdown();
        self.stop_sender.close();
        while !self.tracker.is_empty() {
            self.tracker.close_idle();
            task::sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
    }
}

/// Starts serving an application with fixed limits.
///
/// # Errors
///
/// Fails if the server can't listen on the address.
pub async fn listen<S>(address: SocketAddr, app: tide::Server<S>, limits: Limits) -> Result<Handle, ListenError>
where
    S: Clone + Send + Sync + 'static,
{
    listen_with(address, app, Arc::new(move || limits)).await
}

/// Starts serving an application with limits that may change.
///
/// # Errors
///
/// Fails if the server can't listen on the address.
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
    let (stop_sender, stop_receiver) = channel::bounded(1);
    let handle = Handle { address, tracker: Arc::default(), stop_sender };
    task::spawn(accept_connections(listener, stop_receiver, app, limits, Arc::clone(&handle.tracker)));
    Ok(handle)
}

async fn accept_connections<S>(
    listener: TcpListener,
    stop_receiver: channel::Receiver<()>,
    app: tide::Server<S>,
    limits: LimitSource,
    tracker: Arc<Tracker>,
) where
    S: Clone + Send + Sync + 'static,
{
    loop {
        // The channel carries no messages; it is closed when the server stops accepting.
        let accepted = match future::select(pin!(listener.accept()), pin!(stop_receiver.recv())).await {
            Either::Left((accepted, _)) => accepted,
            // Connections in the backlog are already open for their clients, so they are served too.
            Either::Right(_) => match listener.accept().now_or_never() {
                Some(accepted) => accepted,
                None => return,
            },
        };
        let Ok((stream, _)) = accepted else {
            // Accept fails if there are no free file descriptors, for example; the delay lets connections end.
            task::sleep(SHUTDOWN_POLL_INTERVAL).await;
            continue;
        };
        // With Nagle's algorithm, the second segment of a response would wait for the delayed acknowledgement of the
        // first one.
        if stream.set_nodelay(true).is_ok() {
            task::spawn(serve_connection(stream, app.clone(), Arc::clone(&limits), Arc::clone(&tracker)));
        }
    }
}

async fn serve_connection<S>(stream: TcpStream, app: tide::Server<S>, limits: LimitSource, tracker: Arc<Tracker>)
where
    S: Clone + Send + Sync + 'static,
{
    let (id, busy, received_request) = tracker.add(stream.clone());
    let handler = |req: Request| {
        busy.store(true, Ordering::SeqCst);
        received_request.store(true, Ordering::SeqCst);
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
    let mut connection = server::Server::new(stream.clone(), handler);
    while wait_for_request(&stream, limits().idle_timeout).await {
        let late_header = close_on_late_header(&stream, &busy, limits().header_timeout);
        let status = match future::select(pin!(connection.accept_one()), pin!(late_header)).await {
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

/// Waits for the first byte of a request; returns `false` if the connection ends or is idle for too long.
async fn wait_for_request(stream: &TcpStream, limit: Duration) -> bool {
    matches!(async_std::future::timeout(limit, stream.peek(&mut [0])).await, Ok(Ok(1)))
}

/// Closes the connection and returns if no complete request header has arrived in time; never returns if one has.
async fn close_on_late_header(stream: &TcpStream, busy: &AtomicBool, limit: Duration) {
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
    // async-h1 loses bytes of the next request on a connection if a response is sent before the body has arrived, so
    // the body is read first, even for requests that are rejected without it.
    match read_body(&mut req, limits.body_bytes).await {
        Ok(Some(bytes)) => req.set_body(bytes),
        Ok(None) => return reject_large_body(limits.body_bytes),
        Err(_) => return with_connection_close(Response::new(StatusCode::BadRequest)),
    }
    let response: http_types::Result<Response> = app.respond(req).await;
    response.unwrap_or_else(|e| Response::new(e.status()))
}

/// Reads the body of a request; `None` if it is longer than the limit.
async fn read_body(req: &mut Request, limit: u64) -> std::io::Result<Option<Vec<u8>>> {
    let mut bytes = Vec::new();
    req.take_body().take(limit + 1).read_to_end(&mut bytes).await?;
    Ok((bytes.len() as u64 <= limit).then_some(bytes))
}

fn reject_large_body(limit: u64) -> Response {
    let mut errors = Findings::new();
    errors.add("body", format!("it has more than {limit} bytes"));
    let mut res = Response::new(StatusCode::PayloadTooLarge);
    res.set_body(json!({ "ran": "no", "reason": "invalid", "errors": errors }));
    with_connection_close(res)
}

/// Closes the connection after this response, because the rest of the request may still be in flight.
fn with_connection_close(mut res: Response) -> Response {
    res.insert_header("connection", "close");
    res
}
