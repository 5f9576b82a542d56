//! HTTP/1.1 server loop shared by the stand-ins.
//!
//! The listener of tide isn't used because it leaves Nagle's algorithm on, which delays small answers by up to
//! 40 ms.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::io;
use async_std::net::{TcpListener, TcpStream};
use async_std::stream::StreamExt;
use async_std::task;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tide::http;

/// Internal response header that makes the server close the connection instead of sending the response.
pub const NO_ANSWER_HEADER: &str = "x-testbed-no-answer";

/// Prefix of the paths by which tests control a stand-in. Faults and connection limits don't apply to them.
pub const CONTROL_PREFIX: &str = "/control/";

/// Delay after a failed accept, which is usually caused by a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Limits the number of open connections that carry calls other than control calls.
#[derive(Debug)]
pub struct ConnectionLimit {
    limit: usize,
    open_connections: AtomicUsize,
}

impl ConnectionLimit {
    /// Creates a limit that allows this many connections.
    #[must_use]
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit, open_connections: AtomicUsize::new(0) })
    }

    fn try_acquire(self: &Arc<Self>) -> Option<ConnectionPermit> {
        let increment = |open_connections| (open_connections < self.limit).then_some(open_connections + 1);
        self.open_connections.fetch_update(Ordering::AcqRel, Ordering::Acquire, increment).ok()?;
        Some(ConnectionPermit(Arc::clone(self)))
    }
}

/// Permit for one open connection, released on drop.
struct ConnectionPermit(Arc<ConnectionLimit>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Binds the address, serves the app in the background and returns the bound address.
///
/// With a limit, connections beyond it are closed without an answer.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn start<S>(
    addr: SocketAddr,
    app: tide::Server<S>,
    limit: Option<Arc<ConnectionLimit>>,
) -> io::Result<SocketAddr>
where
    S: Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    task::spawn(serve(listener, app, limit));
    Ok(addr)
}

async fn serve<S>(listener: TcpListener, app: tide::Server<S>, limit: Option<Arc<ConnectionLimit>>)
where
    S: Clone + Send + Sync + 'static,
{
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else {
            task::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        task::spawn(serve_connection(stream, app.clone(), limit.clone()));
    }
}

async fn serve_connection<S>(stream: TcpStream, app: tide::Server<S>, limit: Option<Arc<ConnectionLimit>>)
where
    S: Clone + Send + Sync + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let permit = std::sync::OnceLock::new();
    let respond = |mut req: http::Request| async {
        // The body is read completely before the app responds. If a response is sent earlier, async-h1 loses bytes of
        // the next request: its buffer for the rest of the body also reads what follows and is then dropped.
        let body = req.take_body().into_bytes().await?;
        req.set_body(body);
        if let Some(limit) = &limit
            && !req.url().path().starts_with(CONTROL_PREFIX)
            && permit.get().is_none()
        {
            // A connection counts against the limit from its first call that isn't a control call, so that tests can
            // always reach the control paths.
            let Some(acquired) = limit.try_acquire() else { return Err(build_close_error()) };
            // Requests of one connection are handled one after the other, so the cell is still empty.
            let _ = permit.set(acquired);
        }
        let res: http::Response = app.respond(req).await?;
        if res.header(NO_ANSWER_HEADER).is_some() { Err(build_close_error()) } else { Ok(res) }
    };
    // Errors need no handling: the client only observes that the connection is closed.
    let _ = async_h1::accept(stream, respond).await;
}

fn build_close_error() -> http::Error {
    http::Error::from_str(http::StatusCode::ServiceUnavailable, "closed without an answer")
}

/// Builds a response that makes the server close the connection without an answer.
#[must_use]
pub fn close_connection() -> tide::Response {
    tide::Response::builder(503).header(NO_ANSWER_HEADER, "1").build()
}

/// Builds a JSON response.
///
/// # Errors
///
/// Fails if the value can't be serialized as JSON.
pub fn reply_json(status: u16, body: &impl Serialize) -> tide::Result {
    let bytes = serde_json::to_vec(body)?;
    Ok(tide::Response::builder(status).content_type(http::mime::JSON).body(bytes).build())
}

/// Reads a JSON body; an empty body is read as `{}`.
///
/// # Errors
///
/// Fails with status 400 if the body isn't JSON of the type.
pub async fn read_json<S, T: DeserializeOwned>(req: &mut tide::Request<S>) -> tide::Result<T> {
    let bytes = req.body_bytes().await?;
    let bytes: &[u8] = if bytes.is_empty() { b"{}" } else { &bytes };
    serde_json::from_slice(bytes).map_err(|e| tide::Error::new(400, e))
}

/// Middleware that writes the message of a failed call into the body of its response.
pub async fn add_error_body(mut res: tide::Response) -> tide::Result {
    if let Some(error) = res.error() {
        let body = serde_json::json!({ "reason": error.to_string() });
        res.set_body(body);
    }
    Ok(res)
}
