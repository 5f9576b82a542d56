//! HTTP client with persistent connections. Its errors tell whether a failed request may have reached the server.

use std::net::{Shutdown, SocketAddr};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::future;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use carawaybarrow_core::Map;
use http_types::Method;
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu};

use crate::message::{self, MessageError};

/// Idle time after which a connection is not reused. It must be shorter than the 60 s after which servers close idle
/// connections.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// Part of the maximum idle time after which idle connections to all addresses are checked, so that those to an address
/// that is not called any more are closed within four thirds of it.
const CHECKS_PER_MAX_IDLE: u32 = 3;

/// Maximum number of idle connections that are kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Time limit for opening a connection; longer than the round trip between any two data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request without a complete response.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection could be opened, so nothing was sent.
    #[snafu(display("{address} can't be reached: {source}"))]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the connection attempt.
        source: std::io::Error,
    },
    /// The request can't be written as an HTTP message, so nothing was sent.
    #[snafu(display("the request to {address} is malformed: {message}"))]
    Malformed {
        /// Address of the server.
        address: SocketAddr,
        /// What is wrong with the request.
        message: String,
    },
    /// The connection failed before a complete response arrived, or the response was invalid.
    #[snafu(display("no valid response from {address}: {message}"))]
    Broken {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the HTTP exchange.
        message: String,
    },
    /// The length of the response body differs from its content length.
    #[snafu(display("{address} sent {received} of {content_length} bytes of the response body"))]
    Truncated {
        /// Address of the server.
        address: SocketAddr,
        /// Bytes of the body that arrived.
        received: usize,
        /// Content length in the response header.
        content_length: usize,
    },
    /// No complete response arrived in time.
    #[snafu(display("{address} sent no complete response within {} ms", timeout.as_millis()))]
    Timeout {
        /// Address of the server.
        address: SocketAddr,
        /// Time limit of the request.
        timeout: Duration,
    },
}

impl CallError {
    /// Whether the server's machine answered that nothing listens at the address.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. } if source.kind() == std::io::ErrorKind::ConnectionRefused)
    }

    /// Whether the server may have received the request.
    #[must_use]
    pub const fn may_have_arrived(&self) -> bool {
        !matches!(self, Self::Connect { .. } | Self::Malformed { .. })
    }
}

/// A request to be sent by [`Client::call`].
#[derive(Clone, Debug)]
pub struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, SmolStr)>,
    pub(crate) body: Vec<u8>,
}

impl Call {
    /// Creates a request without a body. `path` includes the query string.
    #[must_use]
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self { method, path: path.into(), headers: Vec::new(), body: Vec::new() }
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl Into<SmolStr>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Response body; empty if there is none.
    pub body: Vec<u8>,
    pub(crate) task_id: Option<SmolStr>,
}

impl Reply {
    /// Task id from the header `x-task`, which workers send.
    #[must_use]
    pub const fn task_id(&self) -> Option<&SmolStr> {
        self.task_id.as_ref()
    }

    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not valid JSON for the type.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    since: Instant,
}

#[derive(Debug)]
struct IdleConnections {
    by_address: Map<SocketAddr, Vec<IdleConnection>>,
    checked_at: Instant,
}

impl IdleConnections {
    /// Closes the connections that are too old to be reused, whatever their address.
    fn close_unused(&mut self, max_idle: Duration) {
        self.checked_at = Instant::now();
        self.by_address.retain(|_, kept| {
            kept.retain(|connection| connection.since.elapsed() < max_idle);
            !kept.is_empty()
        });
    }
}

/// HTTP client that keeps connections open between requests.
#[derive(Debug)]
pub struct Client {
    name: SmolStr,
    max_idle: Duration,
    idle: Mutex<IdleConnections>,
}

impl Client {
    /// Creates a client that sends `name` in the header `x-client`.
    #[must_use]
    pub fn new(name: impl Into<SmolStr>) -> Self {
        let idle = IdleConnections { by_address: Map::default(), checked_at: Instant::now() };
        Self { name: name.into(), max_idle: MAX_IDLE, idle: Mutex::new(idle) }
    }

    /// Sets the idle time after which a connection is not reused. It must be shorter than that of the servers, which is
    /// 60 s by default.
    #[must_use]
    pub const fn with_max_idle(mut self, max_idle: Duration) -> Self {
        self.max_idle = max_idle;
        self
    }

    /// Sends a request and reads the complete response.
    ///
    /// `timeout` doesn't include the time for opening a connection.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives within `timeout`; [`CallError::may_have_arrived`] tells whether the server
    /// may have acted on the request.
    pub async fn call(&self, address: SocketAddr, call: &Call, timeout: Duration) -> Result<Reply, CallError> {
        let req = message::encode_request(address, &self.name, call)
            .map_err(|e| CallError::Malformed { address, message: e.to_string() })?;
        let stream = match self.take_idle(address) {
            Some(stream) => stream,
            None => connect(address).await?,
        };
        let exchange = exchange(address, stream.clone(), req);
        let Ok(response) = future::timeout(timeout, exchange).await else {
            // A late response must not be read as that of a later request. An error means that the connection is
            // closed.
            drop(stream.shutdown(Shutdown::Both));
            // The idle connections to this address may be dead as well, so the next request opens a new one.
            self.idle().by_address.remove(&address);
            return TimeoutSnafu { address, timeout }.fail();
        };
        let (reply, reusable) = response?;
        if reusable {
            self.keep_idle(address, stream);
        }
        Ok(reply)
    }

    fn idle(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().expect("no thread panics while holding the lock")
    }

    fn take_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle();
        let kept = idle.by_address.get_mut(&address)?;
        while let Some(IdleConnection { stream, since }) = kept.pop() {
            if since.elapsed() < self.max_idle && is_open(&stream) {
                return Some(stream);
            }
        }
        None
    }

    fn keep_idle(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle();
        let kept = idle.by_address.entry(address).or_default();
        if kept.len() < MAX_IDLE_PER_ADDRESS {
            kept.push(IdleConnection { stream, since: Instant::now() });
        }
        if idle.checked_at.elapsed() >= self.max_idle / CHECKS_PER_MAX_IDLE {
            idle.close_unused(self.max_idle);
        }
    }
}

/// Whether an idle connection has neither been closed by the server nor received any unrequested bytes.
fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let mut peek = std::pin::pin!(stream.peek(&mut byte));
    let mut cx = std::task::Context::from_waker(std::task::Waker::noop());
    Future::poll(peek.as_mut(), &mut cx).is_pending()
}

async fn connect(address: SocketAddr) -> Result<TcpStream, CallError> {
    let connected = future::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let timed_out = |_| Err(std::io::Error::from(std::io::ErrorKind::TimedOut));
    let stream = connected.unwrap_or_else(timed_out).context(ConnectSnafu { address })?;
    stream.set_nodelay(true).context(ConnectSnafu { address })?;
    Ok(stream)
}

/// Sends a request and reads its response. Also returns whether the connection can be reused.
async fn exchange(address: SocketAddr, mut stream: TcpStream, req: Vec<u8>) -> Result<(Reply, bool), CallError> {
    let broken = |message: String| CallError::Broken { address, message };
    stream.write_all(&req).await.map_err(|e| broken(e.to_string()))?;
    message::read_response(&mut stream).await.map_err(|e| match e {
        MessageError::Truncated { received, content_length } => {
            CallError::Truncated { address, received, content_length }
        }
        e => broken(e.to_string()),
    })
}
