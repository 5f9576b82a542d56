//! Connections that send nothing, or half a request, end in time.

use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use carawaybarrow_net::server::{Limits, listen};

const LIMITS: Limits =
    Limits { body_bytes: 10, header_timeout: Duration::from_millis(300), idle_timeout: Duration::from_millis(600) };

async fn time_until_closed(sent: &[u8]) -> Duration {
    let mut app = tide::new();
    app.at("/").get(|_| async { Ok("whole") });
    let handle = listen(([127, 0, 0, 1], 0).into(), app, LIMITS).await.expect("a free port");
    let mut stream = TcpStream::connect(handle.address()).await.expect("the server listens");
    stream.write_all(sent).await.expect("the connection is open");
    let began = Instant::now();
    let mut answer = Vec::new();
    // A reset ends the connection as well.
    let _ = stream.read_to_end(&mut answer).await;
    began.elapsed()
}

/// Guards against connections that hold descriptors for ever: 800 of them with half a request line were open after 20 s.
#[async_std::test]
async fn half_a_head_ends_the_connection() {
    let took = time_until_closed(b"GET / HT").await;
    assert!(took >= Duration::from_millis(250) && took < Duration::from_millis(2_000), "{took:?}");
}

/// Guards against idle connections that stay open.
#[async_std::test]
async fn idle_connection_ends() {
    let took = time_until_closed(b"").await;
    assert!(took >= Duration::from_millis(500) && took < Duration::from_millis(3_000), "{took:?}");
}

/// Guards against a limit that cuts a connection in use: a whole request is answered, and the idle time counts anew.
#[async_std::test]
async fn answered_connection_idles_on() {
    let took = time_until_closed(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").await;
    assert!(took >= Duration::from_millis(500) && took < Duration::from_millis(3_000), "{took:?}");
}
