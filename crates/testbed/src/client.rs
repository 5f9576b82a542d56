//! HTTP/1.1 client that reuses connections.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::future;
use async_std::io::{self, Read, Write};
use async_std::net::TcpStream;
use carawaybarrow_core::map::Map;
use http_types::{Method, Request, Response, Url, headers};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Maximum number of idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Timeout of a call from connecting to the end of the response, unless set otherwise.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Reason for which a call has no complete response.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No connection could be opened, so no byte of the request was sent.
    #[snafu(display("{addr}: not connected: {source}"))]
    NotConnected {
        /// Address of the server.
        addr: SocketAddr,
        /// Error of the connection attempt.
        source: io::Error,
    },
    /// A new connection was closed before any byte of a response.
    #[snafu(display("{addr}: connection closed without a response: {message}"))]
    NoResponse {
        /// Address of the server.
        addr: SocketAddr,
        /// Description of the cause.
        message: String,
    },
    /// A reused connection was closed before any byte of a response, usually because the server closed it while it
    /// was idle.
    #[snafu(display("{addr}: reused connection closed without a response: {message}"))]
    ReusedConnectionClosed {
        /// Address of the server.
        addr: SocketAddr,
        /// Description of the cause.
        message: String,
    },
    /// The response was truncated or isn't valid HTTP.
    #[snafu(display("{addr}: truncated or invalid response: {message}"))]
    BrokenResponse {
        /// Address of the server.
        addr: SocketAddr,
        /// Description of the cause.
        message: String,
    },
    /// No complete response arrived within the timeout.
    #[snafu(display("{addr}: no response within {limit:?}"))]
    TimedOut {
        /// Address of the server.
        addr: SocketAddr,
        /// Timeout of the call.
        limit: Duration,
    },
    /// The address and the path don't form a valid URL.
    #[snafu(display("invalid request URL: {message}"))]
    InvalidUrl {
        /// Description of the cause.
        message: String,
    },
}

impl ClientError {
    /// Whether no byte of the request can have reached the server.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::NotConnected { .. } | Self::InvalidUrl { .. })
    }
}

/// A complete response.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Complete body.
    pub body: Vec<u8>,
    response: Response,
}

impl Reply {
    /// First value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.header(name).map(|v| v[0].as_str())
    }

    /// Body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body isn't JSON of the type.
    pub fn json<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }

    /// Body as text; bytes that aren't UTF-8 are replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// HTTP client; clones share its idle connections.
#[derive(Clone, Debug)]
pub struct Client {
    idle: Arc<Mutex<Map<SocketAddr, Vec<TcpStream>>>>,
    headers: Vec<(String, String)>,
    timeout: Duration,
}

impl Default for Client {
    fn default() -> Self {
        Self { idle: Arc::default(), headers: Vec::new(), timeout: DEFAULT_TIMEOUT }
    }
}

impl Client {
    /// Creates a client without connections or additional headers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a header that is sent with each request.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sets the timeout of each call.
    #[must_use]
    pub const fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends a `GET`.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives.
    pub async fn get(&self, addr: SocketAddr, path: &str) -> Result<Reply, ClientError> {
        self.call(addr, Method::Get, path, &[], "").await
    }

    /// Sends a `POST`.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives.
    pub async fn post(&self, addr: SocketAddr, path: &str, body: &str) -> Result<Reply, ClientError> {
        self.call(addr, Method::Post, path, &[], body).await
    }

    /// Sends a request over an idle or a new connection and reads the complete response.
    ///
    /// Failed requests aren't retried, since they may have taken effect; that is left to the caller.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        extra_headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Reply, ClientError> {
        let url = Url::parse(&format!("http://{addr}{path}"))
            .map_err(|e| ClientError::InvalidUrl { message: e.to_string() })?;
        let mut req = Request::new(method, url);
        for (name, value) in &self.headers {
            req.insert_header(name.as_str(), value.as_str());
        }
        for (name, value) in extra_headers {
            req.insert_header(*name, *value);
        }
        req.set_body(body);
        let limit = self.timeout;
        let call = self.exchange(addr, req);
        future::timeout(limit, call).await.unwrap_or(Err(ClientError::TimedOut { addr, limit }))
    }

    async fn exchange(&self, addr: SocketAddr, req: Request) -> Result<Reply, ClientError> {
        let idle = self.pop_idle(addr);
        let is_reused = idle.is_some();
        let stream = match idle {
            Some(stream) => stream,
            None => connect(addr).await.context(NotConnectedSnafu { addr })?,
        };
        let received = Arc::new(AtomicU64::new(0));
        let counted = CountedStream { stream: stream.clone(), received: Arc::clone(&received) };
        let classify_error = |message: String| match (received.load(Ordering::Relaxed), is_reused) {
            (0, true) => ClientError::ReusedConnectionClosed { addr, message },
            (0, false) => ClientError::NoResponse { addr, message },
            _ => ClientError::BrokenResponse { addr, message },
        };
        let mut response = async_h1::connect(counted, req).await.map_err(|e| classify_error(e.to_string()))?;
        let length = response.header(headers::CONTENT_LENGTH).and_then(|v| v[0].as_str().parse::<usize>().ok());
        let body = response.take_body().into_bytes().await.map_err(|e| classify_error(e.to_string()))?;
        if let Some(length) = length
            && length != body.len()
        {
            return Err(classify_error(format!("received {} of {length} body bytes", body.len())));
        }
        let is_closing =
            response.header(headers::CONNECTION).is_some_and(|v| v[0].as_str().eq_ignore_ascii_case("close"));
        if !is_closing {
            self.return_idle(addr, stream);
        }
        Ok(Reply { status: response.status().into(), body, response })
    }

    fn pop_idle(&self, addr: SocketAddr) -> Option<TcpStream> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).get_mut(&addr)?.pop()
    }

    fn return_idle(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let streams = idle.entry(addr).or_default();
        if streams.len() < MAX_IDLE_CONNECTIONS {
            streams.push(stream);
        }
    }
}

async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Stream that counts the received bytes, to tell a missing response from a truncated one.
struct CountedStream {
    stream: TcpStream,
    received: Arc<AtomicU64>,
}

impl Read for CountedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(n)) = &result {
            self.received.fetch_add(*n as u64, Ordering::Relaxed);
        }
        result
    }
}

impl Write for CountedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
