//! HTTP/1.1 server loop shared by the stand-ins.
//!
//! The loop is written here because the listener of tide leaves Nagle's algorithm on, which delays small
//! answers by up to 40 ms.

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

/// Response header that makes the server close the connection instead of answering; it is never sent.
pub const NO_ANSWER: &str = "x-testbed-no-answer";

/// Prefix of the paths by which tests control a stand-in; faults don't apply to them.
pub const CONTROL: &str = "/control/";

/// Wait after a failed accept, which is mostly caused by a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Upper bound of connections that carry calls other than control calls.
#[derive(Debug)]
pub struct ConnectionBound {
    limit: usize,
    open: AtomicUsize,
}

impl ConnectionBound {
    /// Creates a bound.
    #[must_use]
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit, open: AtomicUsize::new(0) })
    }

    fn try_take(self: &Arc<Self>) -> Option<Seat> {
        let take = |open| (open < self.limit).then_some(open + 1);
        self.open.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).ok()?;
        Some(Seat(Arc::clone(self)))
    }
}

/// One connection's part of a bound, given back on drop.
struct Seat(Arc<ConnectionBound>);

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Binds the address and serves the app in the background; returns the bound address.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn start<S>(
    addr: SocketAddr,
    app: tide::Server<S>,
    bound: Option<Arc<ConnectionBound>>,
) -> io::Result<SocketAddr>
where
    S: Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    task::spawn(serve(listener, app, bound));
    Ok(addr)
}

async fn serve<S>(listener: TcpListener, app: tide::Server<S>, bound: Option<Arc<ConnectionBound>>)
where
    S: Clone + Send + Sync + 'static,
{
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else {
            task::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        task::spawn(serve_connection(stream, app.clone(), bound.clone()));
    }
}

async fn serve_connection<S>(stream: TcpStream, app: tide::Server<S>, bound: Option<Arc<ConnectionBound>>)
where
    S: Clone + Send + Sync + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let seat = std::sync::OnceLock::new();
    let respond = |mut req: http::Request| async {
        // async-h1 loses bytes of the next request if an answer is sent before the body has arrived: its buffer
        // for the rest of the body takes in what follows, and is then dropped. So the body is read first.
        let body = req.take_body().into_bytes().await?;
        req.set_body(body);
        if let Some(bound) = &bound
            && !req.url().path().starts_with(CONTROL)
            && seat.get().is_none()
        {
            // A connection counts from its first call that isn't a control call, so tests can always reach
            // the control paths.
            let Some(taken) = bound.try_take() else { return Err(close_error()) };
            // Requests of one connection come one after the other, so the cell is still empty.
            let _ = seat.set(taken);
        }
        let res: http::Response = app.respond(req).await?;
        if res.header(NO_ANSWER).is_some() { Err(close_error()) } else { Ok(res) }
    };
    // An error closes the connection, which is all that the other side is meant to see.
    let _ = async_h1::accept(stream, respond).await;
}

fn close_error() -> http::Error {
    http::Error::from_str(http::StatusCode::ServiceUnavailable, "closed without an answer")
}

/// A response that closes the connection without an answer.
#[must_use]
pub fn no_answer() -> tide::Response {
    tide::Response::builder(503).header(NO_ANSWER, "1").build()
}

/// A JSON response.
///
/// # Errors
///
/// Fails if the type has no JSON form.
pub fn reply_json(status: u16, body: &impl Serialize) -> tide::Result {
    let bytes = serde_json::to_vec(body)?;
    Ok(tide::Response::builder(status).content_type(http::mime::JSON).body(bytes).build())
}

/// Reads a JSON body; an empty body stands for `{}`.
///
/// # Errors
///
/// Fails with status 400 if the body isn't JSON of the type.
pub async fn read_json<S, T: DeserializeOwned>(req: &mut tide::Request<S>) -> tide::Result<T> {
    let bytes = req.body_bytes().await?;
    let bytes: &[u8] = if bytes.is_empty() { b"{}" } else { &bytes };
    serde_json::from_slice(bytes).map_err(|e| tide::Error::new(400, e))
}

/// Puts the message of a failed call into the body of its response.
pub async fn explain_error(mut res: tide::Response) -> tide::Result {
    if let Some(error) = res.error() {
        let body = serde_json::json!({ "reason": error.to_string() });
        res.set_body(body);
    }
    Ok(res)
}
