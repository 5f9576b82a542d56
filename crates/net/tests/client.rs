//! The client against a server that sends scripted bytes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_net::client::{Call, CallError, Client, Reply};
use carawaybarrow_net::server::{self, Handle, Limits};
use http_types::Method;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Serves connections one after the other. On each, it reads a request before it writes the parts of a response, with a
/// pause between them, and closes the connection after the last response. Returns the address and the requests.
fn serve(connections: Vec<Vec<Vec<&'static str>>>) -> (SocketAddr, mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for responses in connections {
            let (mut stream, _) = listener.accept().expect("a connection");
            for parts in responses {
                let mut buf = vec![0; 64 * 1024];
                let len = stream.read(&mut buf).expect("a request");
                let _ = tx.send(String::from_utf8_lossy(&buf[..len]).into_owned());
                for part in parts {
                    stream.write_all(part.as_bytes()).expect("the client reads");
                    thread::sleep(Duration::from_millis(5));
                }
            }
        }
    });
    (address, rx)
}

fn call(client: &Client, address: SocketAddr, call: &Call) -> Result<Reply, CallError> {
    task::block_on(client.call(address, call, TIMEOUT))
}

fn get(parts: Vec<&'static str>) -> Result<Reply, CallError> {
    let (address, _requests) = serve(vec![vec![parts]]);
    call(&Client::new("c"), address, &Call::new(Method::Get, "/"))
}

#[test]
fn request_has_its_headers_length_and_body() {
    let (address, requests) = serve(vec![vec![vec!["HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"]]]);
    let req = Call::new(Method::Post, "/a b?x=é%2F").with_header("x-key", "v").with_body("body");
    call(&Client::new("c"), address, &req).expect("a response");
    let sent = requests.recv().expect("a request");
    assert_eq!(
        sent,
        format!(
            "POST /a%20b?x=%C3%A9%2F HTTP/1.1\r\nx-client: c\r\nx-key: v\r\ncontent-length: 4\r\nhost: {address}\r\n\r\nbody"
        )
    );
}

#[test]
fn line_ends_in_the_path_or_a_header_are_refused_and_nothing_is_sent() {
    let address = "127.0.0.1:9".parse().expect("an address");
    let client = Client::new("c");
    for req in [
        Call::new(Method::Get, "/a\r\nx-key: stolen"),
        Call::new(Method::Get, "/").with_header("x-key", "v\r\nx-other: w"),
    ] {
        let error = call(&client, address, &req).expect_err("the request is malformed");
        assert!(matches!(error, CallError::Malformed { .. }), "{error}");
        assert!(!error.may_have_arrived());
    }
}

#[test]
fn response_in_several_parts_is_read_whole() {
    let parts = vec!["HTTP/1.1 20", "0 OK\r\nContent-Le", "ngth: 10\r\nX-Task: t1\r\n", "\r\n01234", "56789"];
    let reply = get(parts).expect("a response");
    assert_eq!((reply.status, reply.body.as_slice()), (200, b"0123456789".as_slice()));
    assert_eq!(reply.task_id().map(|t| t.as_str()), Some("t1"));
}

#[test]
fn chunked_response_is_read_whole() {
    let parts = vec![
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\n01",
        "23\r\n",
        "6;x=y\r\n456789\r\n0",
        "\r\n\r\n",
    ];
    assert_eq!(get(parts).expect("a response").body, b"0123456789");
}

#[test]
fn interim_response_is_skipped() {
    let parts = vec!["HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\ncontent-length: 1\r\n\r\nx"];
    let reply = get(parts).expect("a response");
    assert_eq!((reply.status, reply.body.as_slice()), (201, b"x".as_slice()));
}

#[test]
fn response_without_a_length_ends_with_the_connection() {
    assert_eq!(get(vec!["HTTP/1.1 200 OK\r\n\r\n", "abc"]).expect("a response").body, b"abc");
}

/// The server may have acted on a request whose response is cut or can't be read.
#[test]
fn cut_and_malformed_responses_are_errors_that_leave_the_outcome_open() {
    for parts in [
        vec!["HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n01234"],
        vec!["HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\n01"],
        vec!["HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n01"],
        vec!["HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffff\r\n01"],
        vec!["HTTP/1.1 200 OK\r\ncontent-length: ten\r\n\r\n"],
        vec!["HTTP/1.1 200 OK\r\ncontent-"],
        vec!["garbage\r\n\r\n"],
        vec![""],
    ] {
        let error = get(parts.clone()).expect_err("no complete response");
        assert!(error.may_have_arrived(), "{parts:?}: {error}");
    }
}

#[test]
fn connection_is_reused_unless_the_response_forbids_it() {
    let kept = vec!["HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na"];
    let closed = vec!["HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 1\r\n\r\nb"];
    let surplus = vec!["HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\ncHTTP/1.1 500 Stray\r\ncontent-length: 0\r\n\r\n"];
    let (address, _requests) = serve(vec![vec![kept.clone(), closed], vec![surplus], vec![kept]]);
    let client = Client::new("c");
    let bodies: Vec<Vec<u8>> =
        (0..4).map(|_| call(&client, address, &Call::new(Method::Get, "/")).expect("a response").body).collect();
    assert_eq!(bodies, [b"a", b"b", b"c", b"a"]);
}

/// Guards against descriptors of connections to servers that have left, which were kept until their address was called again.
#[test]
fn idle_connections_to_servers_that_have_left_are_closed() {
    let max_idle = Duration::from_millis(600);
    let client = Client::new("c").with_max_idle(max_idle);
    let (start, get) =
        (|| server::listen(([127, 0, 0, 1], 0).into(), tide::new(), Limits::new(1_000)), Call::new(Method::Get, "/"));
    task::block_on(async {
        let present = start().await.expect("a free port");
        let mut left = Vec::new();
        for _ in 0..20 {
            let server = start().await.expect("a free port");
            client.call(server.address(), &get, TIMEOUT).await.expect("a response");
            left.push(server);
        }
        // A margin of 1 s for a busy machine; the servers close idle connections after 60 s.
        let deadline = Instant::now() + max_idle * 4 / 3 + Duration::from_secs(1);
        let count_open = || left.iter().map(Handle::connections).sum::<usize>();
        while count_open() > 0 {
            assert!(Instant::now() < deadline, "{} connections are open", count_open());
            client.call(present.address(), &get, TIMEOUT).await.expect("a response");
            task::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(present.connections(), 1);
    });
}
