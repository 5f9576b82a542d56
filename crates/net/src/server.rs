//! HTTP server with graceful shutdown: requests in progress are completed.

use std::net::{IpAddr, Shutdown, SocketAddr};
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_h1::server::Encoder;
use async_std::net::{TcpListener, TcpStream};
use async_std::{channel, io, task};
use carawaybarrow_core::connections::{ConnectionId, ConnectionLimits, Connections, Grant};
use carawaybarrow_core::units::MonoTime;
use carawaybarrow_core::{Findings, Map};
use futures::FutureExt;
use futures::future::{self, Either};
use http_types::{Method, Request, Response, StatusCode};
use serde_json::json;
use snafu::{ResultExt, Snafu};

use crate::request::{Memory, RequestError, RequestReader};

/// Interval at which a server that shuts down checks whether its connections have ended; also the delay after a failed
/// accept.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time that a server that shuts down waits for the first request of a new connection before closing it. The client has
/// already opened the connection and may be sending a request, which must be answered.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a request that began before the shutdown of its server may still arrive.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which a client has to read a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a connection that is closed after an error still reads, so that the client can read the response
/// although it goes on sending.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// Seconds after which a client should retry a request for which there was no memory.
const RETRY_AFTER_SECS: u32 = 1;

/// Size and time limits for requests.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum length of the head of a request in bytes, with the empty lines before it.
    pub header_bytes: usize,
    /// Maximum length of a request body in bytes.
    pub body_bytes: u64,
    /// Time after the first byte of a request in which its header has to arrive.
    pub header_timeout: Duration,
    /// Time after its header in which the body of a request has to arrive.
    pub body_timeout: Duration,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: Duration,
}

impl Limits {
    /// Limits with the default timeouts. The idle timeout is longer than the idle time of [`crate::client::Client`], so
    /// that the client stops using a connection before the server closes it.
    #[must_use]
    pub const fn new(body_bytes: u64) -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(60),
        }
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

/// Why a server has closed a connection before its client did, or refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Another connection took its place.
    ConnectionLimit,
    /// Another request took its memory, or there was none for its own.
    MemoryLimit,
    /// The header did not arrive in time.
    LateHeader,
    /// The body did not arrive in time.
    LateBody,
    /// The header is too long.
    LongHeader,
    /// The body is too long.
    LongBody,
    /// The request is not valid HTTP.
    Malformed,
    /// The client did not read a response in time.
    LateResponse,
    /// The task of the connection panicked.
    Panicked,
}

impl CloseReason {
    /// All reasons, in the order of their declaration.
    const ALL: [Self; 9] = [
        Self::ConnectionLimit,
        Self::MemoryLimit,
        Self::LateHeader,
        Self::LateBody,
        Self::LongHeader,
        Self::LongBody,
        Self::Malformed,
        Self::LateResponse,
        Self::Panicked,
    ];

    /// Name in metrics and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::ConnectionLimit => "connection_limit",
            Self::MemoryLimit => "memory_limit",
            Self::LateHeader => "late_header",
            Self::LateBody => "late_body",
            Self::LongHeader => "long_header",
            Self::LongBody => "long_body",
            Self::Malformed => "malformed",
            Self::LateResponse => "late_response",
            Self::Panicked => "panicked",
        }
    }
}

#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    /// Whether a whole request has arrived that is not answered.
    is_served: bool,
    opened_at: Instant,
    /// Time at which the first byte of a request that has not arrived whole did.
    receiving_since: Option<Instant>,
    /// Whether a request has been received.
    has_received: bool,
}

impl Connection {
    fn is_idle(&self) -> bool {
        let awaits_first = !self.has_received && self.opened_at.elapsed() < FIRST_REQUEST_TIMEOUT;
        let receives = self.receiving_since.is_some_and(|since| since.elapsed() < LAST_REQUEST_TIMEOUT);
        !self.is_served && !awaits_first && !receives
    }
}

/// Open connections and what they may use.
#[derive(Debug)]
struct State {
    connections: Map<ConnectionId, Connection>,
    budget: Connections,
}

impl State {
    /// Closes connections that give way. Their tasks end once they notice.
    fn close(&mut self, ids: &[ConnectionId]) {
        for connection in ids.iter().filter_map(|id| self.connections.remove(id)) {
            // An error means that the peer has closed the connection.
            drop(connection.stream.shutdown(Shutdown::Both));
        }
    }
}

/// Open connections and number of requests in progress.
#[derive(Debug)]
struct Tracker {
    stopping: AtomicBool,
    requests: AtomicUsize,
    began: Instant,
    state: Mutex<State>,
    closed: [AtomicU64; CloseReason::ALL.len()],
}

impl Tracker {
    fn new(limits: ConnectionLimits) -> Self {
        Self {
            stopping: AtomicBool::new(false),
            requests: AtomicUsize::new(0),
            began: Instant::now(),
            state: Mutex::new(State { connections: Map::default(), budget: Connections::new(limits) }),
            closed: Default::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding the lock")
    }

    fn now(&self) -> MonoTime {
        MonoTime(u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    fn count_closed(&self, reason: CloseReason, count: usize) {
        self.closed[reason as usize].fetch_add(count as u64, Ordering::Relaxed);
    }

    /// Adds a connection; `None` if it must be closed.
    fn open(&self, stream: &TcpStream, address: IpAddr) -> Option<ConnectionId> {
        let mut state = self.state();
        let (id, grant) = state.budget.open(self.now(), address);
        let Grant::Granted(victims) = grant else {
            self.count_closed(CloseReason::ConnectionLimit, 1);
            return None;
        };
        self.count_closed(CloseReason::ConnectionLimit, victims.len());
        state.close(&victims);
        let connection = Connection {
            stream: stream.clone(),
            is_served: false,
            opened_at: Instant::now(),
            receiving_since: None,
            has_received: false,
        };
        state.connections.insert(id, connection);
        Some(id)
    }

    fn remove(&self, id: ConnectionId) {
        let mut state = self.state();
        state.connections.remove(&id);
        state.budget.close(id);
    }

    fn change(&self, id: ConnectionId, change: impl FnOnce(&mut Connection)) {
        if let Some(connection) = self.state().connections.get_mut(&id) {
            change(connection);
        }
    }

    /// Shuts down the reading side of idle connections; a request that was already received is still served.
    fn close_idle(&self) {
        for connection in self.state().connections.values() {
            if connection.is_idle() {
                // An error means that the peer has closed the connection.
                drop(connection.stream.shutdown(Shutdown::Read));
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.state().connections.is_empty()
    }
}

/// An open connection, which is closed on drop, also if its task panics.
struct OpenConnection {
    tracker: Arc<Tracker>,
    id: ConnectionId,
    stream: TcpStream,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        // An error means that the peer has closed the connection.
        drop(self.stream.shutdown(Shutdown::Both));
        self.tracker.remove(self.id);
    }
}

/// A request that is being served. It is counted until it is dropped, also if its task panics.
struct RequestInProgress<'a> {
    tracker: &'a Tracker,
}

impl<'a> RequestInProgress<'a> {
    fn new(tracker: &'a Tracker) -> Self {
        tracker.requests.fetch_add(1, Ordering::SeqCst);
        Self { tracker }
    }
}

impl Drop for RequestInProgress<'_> {
    fn drop(&mut self) {
        self.tracker.requests.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Budget for the request of one connection.
struct RequestMemory<'a> {
    tracker: &'a Tracker,
    id: ConnectionId,
}

impl Memory for RequestMemory<'_> {
    fn reserve(&self, bytes: usize) -> bool {
        let mut state = self.tracker.state();
        match state.budget.reserve(self.id, bytes) {
            Grant::Granted(victims) => {
                self.tracker.count_closed(CloseReason::MemoryLimit, victims.len());
                state.close(&victims);
                true
            }
            Grant::Refused => false,
        }
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
        self.tracker.state().connections.len()
    }

    /// Memory of all requests that are being received or served, in bytes.
    #[must_use]
    pub fn request_bytes(&self) -> usize {
        self.tracker.state().budget.bytes()
    }

    /// Number of connections that the server has closed, or whose request it has refused, by reason.
    #[must_use]
    pub fn closed(&self) -> [(CloseReason, u64); CloseReason::ALL.len()] {
        CloseReason::ALL.map(|reason| (reason, self.tracker.closed[reason as usize].load(Ordering::Relaxed)))
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

/// Starts serving an application with fixed limits for requests, and none for connections.
///
/// # Errors
///
/// Fails if the server can't listen on the address.
pub async fn listen<S>(address: SocketAddr, app: tide::Server<S>, limits: Limits) -> Result<Handle, ListenError>
where
    S: Clone + Send + Sync + 'static,
{
    listen_with(address, app, Arc::new(move || limits), ConnectionLimits::NONE).await
}

/// Starts serving an application with limits for requests, which may change, and limits for connections.
///
/// # Errors
///
/// Fails if the server can't listen on the address.
pub async fn listen_with<S>(
    address: SocketAddr,
    app: tide::Server<S>,
    limits: LimitSource,
    connection_limits: ConnectionLimits,
) -> Result<Handle, ListenError>
where
    S: Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let address = listener.local_addr().context(ListenSnafu { address })?;
    let (stop_sender, stop_receiver) = channel::bounded(1);
    let handle = Handle { address, tracker: Arc::new(Tracker::new(connection_limits)), stop_sender };
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
        let Ok((stream, peer)) = accepted else {
            // Accept fails if there are no free file descriptors, for example; the delay lets connections end.
            task::sleep(SHUTDOWN_POLL_INTERVAL).await;
            continue;
        };
        // With Nagle's algorithm, the second segment of a response would wait for the delayed acknowledgement of the
        // first one.
        if stream.set_nodelay(true).is_ok()
            && let Some(id) = tracker.open(&stream, peer.ip())
        {
            let connection = OpenConnection { tracker: Arc::clone(&tracker), id, stream };
            let (app, limits) = (app.clone(), Arc::clone(&limits));
            task::spawn(async move {
                // The state of the connection isn't used after a panic, except to close it.
                let served = AssertUnwindSafe(serve_connection(&connection, app, limits)).catch_unwind().await;
                if served.is_err() {
                    connection.tracker.count_closed(CloseReason::Panicked, 1);
                    tide::log::error!("the task of a connection panicked", { peer: peer.to_string() });
                }
            });
        }
    }
}

async fn serve_connection<S>(connection: &OpenConnection, app: tide::Server<S>, limits: LimitSource)
where
    S: Clone + Send + Sync + 'static,
{
    let OpenConnection { tracker, id, stream } = connection;
    let id = *id;
    let memory = RequestMemory { tracker, id };
    let mut reader = RequestReader::new(stream.clone(), &memory);
    while reader.has_more() || wait_for_request(stream, limits().idle_timeout).await {
        tracker.change(id, |c| c.receiving_since = Some(Instant::now()));
        let closes = match receive_request(&mut reader, limits()).await {
            Ok((req, closes)) => {
                // The connection may have given way just before the request was complete.
                if !tracker.state().budget.begin_service(id) {
                    break;
                }
                tracker.change(id, |c| (c.is_served, c.has_received, c.receiving_since) = (true, true, None));
                let in_progress = RequestInProgress::new(tracker);
                let method = req.method();
                let mut res = respond(&app, req).await;
                drop(in_progress);
                if tracker.is_stopping() {
                    res.insert_header("connection", "close");
                }
                let is_sent = send_response(stream, res, method).await;
                if !is_sent {
                    tracker.count_closed(CloseReason::LateResponse, 1);
                }
                closes || !is_sent || tracker.is_stopping()
            }
            Err(refusal) => {
                if let Some(reason) = refusal.reason {
                    tracker.count_closed(reason, 1);
                }
                if let Some(res) = refusal.response
                    && send_response(stream, with_connection_close(res), Method::Get).await
                {
                    linger(stream).await;
                }
                true
            }
        };
        reader.finish_request();
        tracker.state().budget.end_service(id, tracker.now());
        tracker.change(id, |c| (c.is_served, c.receiving_since) = (false, None));
        if closes {
            break;
        }
    }
}

/// Waits for the first byte of a request; returns `false` if the connection ends or is idle for too long.
async fn wait_for_request(stream: &TcpStream, limit: Duration) -> bool {
    matches!(async_std::future::timeout(limit, stream.peek(&mut [0])).await, Ok(Ok(1)))
}

/// Why a request is not served.
struct Refusal {
    /// Reason to count; `None` if the client has ended the connection, or it has given way.
    reason: Option<CloseReason>,
    /// Response, if there is one. It says truthfully that the request has not run.
    response: Option<Response>,
}

impl Refusal {
    const fn closed(reason: CloseReason) -> Self {
        Self { reason: Some(reason), response: None }
    }
}

/// Receives a request. Also returns whether the client wants the connection to be closed after the response.
async fn receive_request<S, M>(reader: &mut RequestReader<'_, S, M>, limits: Limits) -> Result<(Request, bool), Refusal>
where
    S: io::Read + io::Write + Unpin,
    M: Memory,
{
    let refuse = |e: RequestError| match e {
        RequestError::Io { .. } | RequestError::Ended => Refusal { reason: None, response: None },
        RequestError::Malformed => {
            Refusal { reason: Some(CloseReason::Malformed), response: Some(Response::new(StatusCode::BadRequest)) }
        }
        RequestError::LongHead => Refusal {
            reason: Some(CloseReason::LongHeader),
            response: Some(Response::new(StatusCode::RequestHeaderFieldsTooLarge)),
        },
        RequestError::LongBody => {
            Refusal { reason: Some(CloseReason::LongBody), response: Some(reject_large_body(limits.body_bytes)) }
        }
        RequestError::NoMemory => {
            let mut res = Response::new(StatusCode::ServiceUnavailable);
            res.insert_header("retry-after", RETRY_AFTER_SECS.to_string());
            Refusal { reason: Some(CloseReason::MemoryLimit), response: Some(res) }
        }
    };
    reader.begin_request().map_err(refuse)?;
    let head = reader.read_head(limits.header_bytes);
    let Ok(head) = async_std::future::timeout(limits.header_timeout, head).await else {
        return Err(Refusal::closed(CloseReason::LateHeader));
    };
    let mut head = head.map_err(refuse)?;
    // The body is read even for requests that are rejected without it, as the next request begins after it.
    let limit = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
    let body = reader.read_body(&head, limit, limits.header_bytes);
    let Ok(body) = async_std::future::timeout(limits.body_timeout, body).await else {
        return Err(Refusal::closed(CloseReason::LateBody));
    };
    head.req.set_body(body.map_err(refuse)?);
    Ok((head.req, head.closes))
}

async fn respond<S>(app: &tide::Server<S>, req: Request) -> Response
where
    S: Clone + Send + Sync + 'static,
{
    let response: http_types::Result<Response> = app.respond(req).await;
    response.unwrap_or_else(|e| Response::new(e.status()))
}

/// Sends a response. Returns whether the client has read it in time, as far as its buffers show.
async fn send_response(mut stream: &TcpStream, res: Response, method: Method) -> bool {
    let mut encoder = Encoder::new(res, method);
    matches!(async_std::future::timeout(RESPONSE_TIMEOUT, io::copy(&mut encoder, &mut stream)).await, Ok(Ok(_)))
}

/// Reads and discards what a client still sends, as a connection that is closed with unread bytes is reset, which may
/// discard the response.
async fn linger(mut stream: &TcpStream) {
    // An error means that the peer has closed the connection.
    drop(stream.shutdown(Shutdown::Write));
    drop(async_std::future::timeout(LINGER_TIMEOUT, io::copy(&mut stream, &mut io::sink())).await);
}

fn reject_large_body(limit: u64) -> Response {
    let mut errors = Findings::new();
    errors.add("body", format!("it has more than {limit} bytes"));
    let mut res = Response::new(StatusCode::PayloadTooLarge);
    res.set_body(json!({ "ran": "no", "reason": "invalid", "errors": errors }));
    res
}

/// Closes the connection after this response, because the rest of the request may still be in flight.
fn with_connection_close(mut res: Response) -> Response {
    res.insert_header("connection", "close");
    res
}
