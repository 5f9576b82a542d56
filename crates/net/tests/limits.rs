//! Timeouts of connections that send nothing, or an incomplete request.

use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use carawaybarrow_net::server::{Limits, listen};

const LIMITS: Limits =
    Limits { header_timeout: Duration::from_millis(300), idle_timeout: Duration::from_millis(600), ..Limits::new(10) };

async fn time_until_closed(sent: &[u8]) -> Duration {
    let mut app = tide::new();
    app.at("/").get(|_| async { Ok("whole") });
    let handle = listen(([127, 0, 0, 1], 0).into(), app, LIMITS).await.expect("a free port");
    let mut stream = TcpStream::connect(handle.address()).await.expect("the server listens");
    stream.write_all(sent).await.expect("the connection is open");
    let began = Instant::now();
    let mut answer = Vec::new();
    // A connection reset counts as closed too.
    let _ = stream.read_to_end(&mut answer).await;
    began.elapsed()
}

/// Guards against clients that exhaust the file descriptors with incomplete headers: without the header timeout, 800
/// connections with half a request line were still open after 20 s.
#[async_std::test]
async fn incomplete_header_closes_connection() {
    let took = time_until_closed(b"GET / HT").await;
    assert!(took >= Duration::from_millis(250) && took < Duration::from_millis(2_000), "{took:?}");
}

/// Guards against idle connections that stay open for ever.
#[async_std::test]
async fn idle_connection_is_closed() {
    let took = time_until_closed(b"").await;
    assert!(took >= Duration::from_millis(500) && took < Duration::from_millis(3_000), "{took:?}");
}

/// Guards against a header timeout that closes a connection in use: a complete request is answered, and the idle
/// timeout starts again.
#[async_std::test]
async fn idle_timeout_restarts_after_response() {
    let took = time_until_closed(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").await;
    assert!(took >= Duration::from_millis(500) && took < Duration::from_millis(3_000), "{took:?}");
}
