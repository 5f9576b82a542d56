//! HTTP client with kept connections, which tells whether a failed request may have arrived.

use std::net::{Shutdown, SocketAddr};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use async_std::future;
use async_std::net::TcpStream;
use carawaybarrow_core::Map;
use http_types::{Method, Request, Url};
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu};

/// Idle time after which a connection is not used again; servers close idle connections after 60 s.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// Idle connections kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Time for a new connection; longer than any round trip between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that got no whole answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    #[snafu(display("{address} can't be reached: {source}"))]
    Connect {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The path or a header is malformed, so nothing was sent.
    #[snafu(display("the request to {address} is malformed: {message}"))]
    Malformed {
        /// Address.
        address: SocketAddr,
        /// Cause.
        message: String,
    },
    /// The connection ended before a whole answer came.
    #[snafu(display("{address} ended the connection: {message}"))]
    Broken {
        /// Address.
        address: SocketAddr,
        /// Cause.
        message: String,
    },
    /// The answer is shorter than its announced length.
    #[snafu(display("{address} sent {received} of {announced} bytes"))]
    Truncated {
        /// Address.
        address: SocketAddr,
        /// Bytes received.
        received: usize,
        /// Bytes announced.
        announced: usize,
    },
    /// No answer came in time.
    #[snafu(display("{address} did not answer within {} ms", limit.as_millis()))]
    Timeout {
        /// Address.
        address: SocketAddr,
        /// Time that was waited.
        limit: Duration,
    },
}

impl CallError {
    /// Whether the receiver may have got the request.
    #[must_use]
    pub const fn may_have_arrived(&self) -> bool {
        !matches!(self, Self::Connect { .. } | Self::Malformed { .. })
    }
}

/// A request.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(&'static str, SmolStr)>,
    body: Vec<u8>,
}

impl Call {
    /// Creates a request without a body. `path` includes the query.
    #[must_use]
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self { method, path: path.into(), headers: Vec::new(), body: Vec::new() }
    }

    /// Adds a body.
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

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    task: Option<SmolStr>,
}

impl Reply {
    /// The task id that a worker put into its answer.
    #[must_use]
    pub const fn task(&self) -> Option<&SmolStr> {
        self.task.as_ref()
    }

    /// Reads a JSON body.
    ///
    /// # Errors
    ///
    /// Fails if the body is not JSON of the type.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

#[derive(Debug)]
struct Idle {
    stream: TcpStream,
    since: Instant,
}

/// A client that keeps connections open between requests.
#[derive(Debug)]
pub struct Client {
    name: SmolStr,
    idle: Mutex<Map<SocketAddr, Vec<Idle>>>,
}

impl Client {
    /// Creates a client that names itself in the header `x-client`.
    #[must_use]
    pub fn new(name: impl Into<SmolStr>) -> Self {
        Self { name: name.into(), idle: Mutex::default() }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer came within `limit`; [`CallError::may_have_arrived`] tells whether the receiver
    /// may have acted on the request.
    pub async fn call(&self, address: SocketAddr, call: &Call, limit: Duration) -> Result<Reply, CallError> {
        let req = self.build_request(address, call)?;
        let stream = match self.take_idle(address) {
            Some(stream) => stream,
            None => connect(address).await?,
        };
        let exchange = exchange(address, stream.clone(), req);
        let Ok(answer) = future::timeout(limit, exchange).await else {
            // The answer must not be read by a later request on this connection. An error means that it is closed.
            drop(stream.shutdown(Shutdown::Both));
            // The path may be silent for every kept connection, so the next request opens a new one.
            self.idle.lock().expect("no holder panics").remove(&address);
            return TimeoutSnafu { address, limit }.fail();
        };
        let (reply, reusable) = answer?;
        if reusable {
            self.keep(address, stream);
        }
        Ok(reply)
    }

    fn build_request(&self, address: SocketAddr, call: &Call) -> Result<Request, CallError> {
        let url = Url::parse(&format!("http://{address}{}", call.path))
            .map_err(|e| CallError::Malformed { address, message: e.to_string() })?;
        let mut req = Request::new(call.method, url);
        req.insert_header("x-client", self.name.as_str());
        for (name, value) in &call.headers {
            req.insert_header(*name, value.as_str());
        }
        req.set_body(call.body.as_slice());
        Ok(req)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().expect("no holder panics");
        let kept = idle.get_mut(&address)?;
        while let Some(Idle { stream, since }) = kept.pop() {
            if since.elapsed() < MAX_IDLE && is_open(&stream) {
                return Some(stream);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().expect("no holder panics");
        let kept = idle.entry(address).or_default();
        if kept.len() < MAX_IDLE_PER_ADDRESS {
            kept.push(Idle { stream, since: Instant::now() });
        }
    }
}

/// Whether an idle connection has neither ended nor received bytes that no request asked for.
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

async fn exchange(address: SocketAddr, stream: TcpStream, req: Request) -> Result<(Reply, bool), CallError> {
    let broken = |e: http_types::Error| CallError::Broken { address, message: e.to_string() };
    let mut res = async_h1::connect(stream, req).await.map_err(broken)?;
    let announced = res.len();
    let body = res.body_bytes().await.map_err(broken)?;
    if let Some(announced) = announced
        && announced != body.len()
    {
        return TruncatedSnafu { address, received: body.len(), announced }.fail();
    }
    let closes = res.header("connection").is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"));
    let task = res.header("x-task").map(|v| SmolStr::new(v.as_str()));
    // Without a length the end of the answer is the end of the connection.
    let reusable = announced.is_some() && !closes;
    Ok((Reply { status: res.status().into(), body, task }, reusable))
}
