//! Requests as the server reads them, whole or in pieces, valid or not.

use std::time::Duration;

use async_std::future;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use carawaybarrow_core::connections::ConnectionLimits;
use carawaybarrow_net::server::{CloseReason, Handle, Limits, listen_with};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use std::sync::Arc;

const BODY_BYTES: u64 = 1_000;

/// Longest wait for a response or for the end of a connection.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

/// A server that answers with the length of the path and the body.
async fn start(limits: Limits, connections: ConnectionLimits) -> Handle {
    let mut app = tide::new();
    app.at("/*").all(|mut req: tide::Request<()>| async move {
        let path = req.url().path().len();
        Ok(format!("{path}:{}", req.body_string().await?))
    });
    listen_with(([127, 0, 0, 1], 0).into(), app, Arc::new(move || limits), connections).await.expect("a free port")
}

async fn connect(handle: &Handle) -> TcpStream {
    TcpStream::connect(handle.address()).await.expect("the server listens")
}

/// Sends pieces one after the other, closes the sending side, and returns all that the server sent.
async fn exchange(handle: &Handle, pieces: &[&[u8]]) -> String {
    let mut stream = connect(handle).await;
    for piece in pieces {
        // An error means that the server has refused the request.
        if stream.write_all(piece).await.is_err() {
            break;
        }
        task::sleep(Duration::from_millis(5)).await;
    }
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut answer = Vec::new();
    // A connection reset after the response counts as closed too.
    let _ = future::timeout(ANSWER_LIMIT, stream.read_to_end(&mut answer)).await.expect("the server closes");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Status codes of all responses, and the last body.
fn summary(answer: &str) -> (Vec<&str>, &str) {
    let statuses = answer.split("HTTP/1.1 ").skip(1).map(|response| &response[..3]).collect();
    (statuses, answer.rsplit("\r\n\r\n").next().unwrap_or_default())
}

async fn check(pieces: &[&[u8]], statuses: &[&str], body: &str) {
    let handle = start(Limits::new(BODY_BYTES), ConnectionLimits::NONE).await;
    let answer = exchange(&handle, pieces).await;
    let (found, last) = summary(&answer);
    assert_eq!(found, statuses, "{answer}");
    if !body.is_empty() {
        assert_eq!(last, body, "{answer}");
    }
}

/// Guards against bodies that are read wrongly when they arrive in pieces, in chunks or with a trailer.
#[async_std::test]
async fn bodies_are_read_whole() {
    let head = b"POST /a HTTP/1.1\r\nhost: h\r\n";
    check(&[head, b"content-length: 5\r\n\r\nhel", b"lo"], &["200"], "2:hello").await;
    let chunked = b"transfer-encoding: chunked\r\n\r\n";
    check(&[head, chunked, b"3\r\nhel\r\n2\r", b"\nlo\r\n0\r\n\r\n"], &["200"], "2:hello").await;
    check(&[head, chunked, b"5;x=y\r\nhello\r\n0\r\nx-more: 1\r\n", b"\r\n"], &["200"], "2:hello").await;
    check(&[b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n"], &["200"], "2:").await;
}

/// Guards against bytes of the next request that are lost or taken for the body before.
#[async_std::test]
async fn requests_that_arrive_together_are_answered_in_turn() {
    let two = b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nhiGET /abc HTTP/1.1\r\nhost: h\r\n\r\n";
    check(&[two], &["200", "200"], "4:").await;
    // Some clients end a body with a line end that does not belong to it.
    check(&[b"\r\n\r\nGET /a HTTP/1.1\r\nhost: h\r\n\r\n"], &["200"], "2:").await;
}

/// Guards against clients that wait for the server's consent before they send a body.
#[async_std::test]
async fn client_that_expects_consent_gets_it() {
    let head = b"POST /a HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n";
    check(&[head, b"hi"], &["100", "200"], "2:hi").await;
}

/// Guards against a request that ends the task of its connection because of a header which no server here uses.
#[async_std::test]
async fn header_values_outside_ascii_are_ignored() {
    for value in ["café".as_bytes(), b"caf\xe9"] {
        check(&[b"GET /a HTTP/1.1\r\nhost: h\r\nuser-agent: ", value, b"\r\n\r\n"], &["200"], "2:").await;
        check(&[b"GET /a HTTP/1.1\r\nhost: h\r\ncontent-length: ", value, b"\r\n\r\n"], &["400"], "").await;
    }
}

/// Guards against a connection that stays counted after its task has panicked, so that the server never ends.
#[async_std::test]
async fn panic_of_a_task_closes_its_connection() {
    let mut app = tide::new();
    app.at("/").get(|_| async { panic!("on purpose") as tide::Result });
    let limits = Arc::new(|| Limits::new(BODY_BYTES));
    let handle =
        listen_with(([127, 0, 0, 1], 0).into(), app, limits, ConnectionLimits::NONE).await.expect("a free port");
    assert_eq!(exchange(&handle, &[b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"]).await, "");
    future::timeout(ANSWER_LIMIT, handle.finish_shutdown()).await.expect("the server ends");
    assert_eq!((handle.connections(), handle.requests(), handle.request_bytes()), (0, 0, 0));
    assert!(handle.closed().contains(&(CloseReason::Panicked, 1)), "{:?}", handle.closed());
}

/// Guards against requests whose end two servers see at different places, and against other malformed ones. None runs.
#[async_std::test]
async fn malformed_requests_are_refused() {
    let head = "POST /a HTTP/1.1\r\nhost: h\r\n";
    for rest in [
        "content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n",
        "content-length: 2\r\ncontent-length: 3\r\n\r\nhi",
        "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "content-length: -1\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\nzz\r\n",
        "transfer-encoding: chunked\r\n\r\n2\r\nhi!!",
        "no header\r\n\r\n",
    ] {
        check(&[head.as_bytes(), rest.as_bytes()], &["400"], "").await;
    }
    check(&[b"GET /a HTTP/1.1\r\n\r\n"], &["400"], "").await;
    let long_line = format!("{head}transfer-encoding: chunked\r\n\r\n1;{}", "x".repeat(1_000));
    check(&[long_line.as_bytes()], &["400"], "").await;
}

/// Guards against a request of the largest allowed size that is refused, and against a larger one that is not. The limit
/// of 16 KiB for heads is that of the configuration.
#[async_std::test]
async fn requests_up_to_the_limits_are_served() {
    let head = |bytes: usize| {
        let start = "GET /a HTTP/1.1\r\nhost: h\r\nx: ";
        format!("{start}{}\r\n\r\n", "y".repeat(bytes - start.len() - 4))
    };
    check(&[head(16 * 1024).as_bytes()], &["200"], "2:").await;
    check(&[head(16 * 1024 + 1).as_bytes()], &["431"], "").await;
    check(&["\r\n".repeat(10_000).as_bytes()], &["431"], "").await;
    let body = |bytes: u64| {
        format!("POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: {bytes}\r\n\r\n{}", "z".repeat(bytes as usize))
    };
    check(&[body(BODY_BYTES).as_bytes()], &["200"], "").await;
    check(&[body(BODY_BYTES + 1).as_bytes()], &["413"], "").await;
    let chunks = |bytes: usize| {
        format!(
            "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n{}0\r\n\r\n",
            "1\r\nz\r\n".repeat(bytes)
        )
    };
    check(&[chunks(BODY_BYTES as usize).as_bytes()], &["200"], "").await;
    check(&[chunks(BODY_BYTES as usize + 1).as_bytes()], &["413"], "").await;
}

/// Guards against bodies that are kept for as long as their clients like.
#[async_std::test]
async fn body_that_does_not_arrive_in_time_closes_its_connection() {
    let limits = Limits { body_timeout: Duration::from_millis(200), ..Limits::new(BODY_BYTES) };
    let handle = start(limits, ConnectionLimits::NONE).await;
    let mut stream = connect(&handle).await;
    stream.write_all(b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nh").await.expect("it is open");
    let mut answer = Vec::new();
    let _ = future::timeout(ANSWER_LIMIT, stream.read_to_end(&mut answer)).await.expect("the server closes");
    assert_eq!(answer, b"");
    let closed = handle.closed();
    assert!(closed.contains(&(CloseReason::LateBody, 1)), "{closed:?}");
}

/// Guards against unfinished requests that keep memory or connections from others, and against memory that is not freed.
#[async_std::test]
async fn unfinished_requests_give_way() {
    let connections = ConnectionLimits { connections: 4, request_bytes: 20_000 };
    let handle = start(Limits::new(10_000), connections).await;
    let unfinished =
        [b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 9000\r\n\r\n".as_slice(), &[b'x'; 8_999]].concat();
    let mut crowd = Vec::new();
    for _ in 0..12 {
        let mut stream = connect(&handle).await;
        stream.write_all(&unfinished).await.expect("it is open");
        crowd.push(stream);
        task::sleep(Duration::from_millis(20)).await;
    }
    assert!(handle.connections() <= 4 && handle.request_bytes() <= 20_000);
    let answer = exchange(&handle, &[b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nhi"]).await;
    assert_eq!(summary(&answer), (vec!["200"], "2:hi"));
    drop(crowd);
    for _ in 0..200 {
        if handle.connections() == 0 {
            break;
        }
        task::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!((handle.connections(), handle.request_bytes()), (0, 0));
}

/// Guards against a request that has a length which no client can use up: the length must not be reserved in advance.
#[async_std::test]
async fn declared_length_reserves_no_memory() {
    let handle = start(Limits::new(10_000_000), ConnectionLimits::NONE).await;
    let mut stream = connect(&handle).await;
    stream.write_all(b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 9000000\r\n\r\nx").await.expect("it is open");
    task::sleep(Duration::from_millis(100)).await;
    assert!(handle.request_bytes() < 100_000);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(44), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against bytes that end the task of a connection, or keep it or its memory after the client has left.
    #[test]
    fn any_bytes_get_an_answer_or_a_closed_connection(
        is_chunked in any::<bool>(),
        changed in vec((any::<Index>(), any::<u8>()), 0..4),
        inserted in (any::<Index>(), prop_oneof![vec(any::<u8>(), 0..64), any::<String>().prop_map(String::into_bytes)]),
        cuts in vec(any::<Index>(), 0..4),
    ) {
        let framing = if is_chunked { "transfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n" } else { "content-length: 2\r\n\r\nhi" };
        let mut sent = format!("POST /a?b=c HTTP/1.1\r\nhost: h\r\nuser-agent: caller\r\n{framing}").into_bytes();
        for (at, byte) in changed {
            let at = at.index(sent.len());
            sent[at] = byte;
        }
        let at = inserted.0.index(sent.len());
        sent.splice(at..at, inserted.1);
        let mut cuts: Vec<usize> = cuts.into_iter().map(|at| at.index(sent.len())).collect();
        cuts.extend([0, sent.len()]);
        cuts.sort_unstable();
        let pieces: Vec<&[u8]> = cuts.windows(2).map(|cut| &sent[cut[0]..cut[1]]).collect();
        task::block_on(async {
            let handle = start(Limits::new(BODY_BYTES), ConnectionLimits::NONE).await;
            let answer = exchange(&handle, &pieces).await;
            assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 "), "{answer}");
            future::timeout(ANSWER_LIMIT, handle.finish_shutdown()).await.expect("the server ends");
            assert_eq!((handle.connections(), handle.requests(), handle.request_bytes()), (0, 0, 0));
            assert!(handle.closed().contains(&(CloseReason::Panicked, 0)), "{:?}", handle.closed());
        });
    }
}
