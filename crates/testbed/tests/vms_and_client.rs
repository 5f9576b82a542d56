//! The lag of the VM list, and the errors by which the client distinguishes failed calls.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::task;
use carawaybarrow_testbed::client::{Client, ClientError};
use carawaybarrow_testbed::vms;
use common::{LOOPBACK, control, poll_until};
use serde_json::{Value, json};

async fn read_states(client: &Client, addr: SocketAddr) -> Vec<String> {
    let vms: Vec<Value> = client.get(addr, "/vms").await.expect("an answer").json().expect("JSON");
    vms.iter().map(|vm| format!("{}:{}", vm["vm"].as_str().unwrap_or(""), vm["state"].as_str().unwrap_or(""))).collect()
}

/// Guards against a stand-in that shows changes at once. Code that takes the list for the actual state would then pass
/// its tests and fail on the platform, whose list lags.
#[async_std::test]
async fn the_vm_list_lags() {
    const LAG: Duration = Duration::from_millis(300);
    let vm = |name: &str| json!({ "vm": name, "address": "127.0.0.1:9", "data_centre": "dc1", "rack": "r1" });
    let first = serde_json::from_value(json!([vm("a"), vm("b")])).expect("VMs");
    let addr = vms::start(LOOPBACK.into(), first, LAG).await.expect("a free port");
    let client = Client::new();
    assert_eq!(read_states(&client, addr).await, ["a:live", "b:live"]);

    let changed = Instant::now();
    control(addr, "vms/a/state", &json!({ "state": "leaving" })).await;
    control(addr, "vms", &json!([vm("c")])).await;
    let removed = client.call(addr, http_types::Method::Delete, "/control/vms/b", &[], "").await;
    assert_eq!(removed.expect("an answer").status, 200);
    poll_until("the changes become visible", || async {
        (read_states(&client, addr).await == ["a:leaving", "c:live"]).then_some(())
    })
    .await;
    assert!(changed.elapsed() >= LAG, "visible after {:?}", changed.elapsed());

    control(addr, "outage", &json!({})).await;
    assert_eq!(client.get(addr, "/vms").await.expect("an answer").status, 503);
}

/// Sends one response on each connection and closes it without a `connection: close` header.
async fn serve_once_each(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf).await;
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await;
    }
}

/// Guards against retries of a request that may have run. A request is known to be unsent only if no connection was
/// made; on a connection that ends without a response it may have been received.
#[async_std::test]
async fn connection_failures_are_distinguished() {
    let listener = TcpListener::bind(SocketAddr::from(LOOPBACK)).await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let server = task::spawn(serve_once_each(listener));
    let client = Client::new();
    assert_eq!(client.get(addr, "/").await.expect("an answer").text(), "ok");
    let kept = client.get(addr, "/").await;
    assert!(matches!(kept, Err(ClientError::ReusedConnectionClosed { .. })), "{kept:?}");
    assert_eq!(client.get(addr, "/").await.expect("an answer on a new connection").text(), "ok");

    server.cancel().await;
    let refused = Client::new().get(addr, "/").await;
    let error = refused.expect_err("nobody listens");
    assert!(matches!(error, ClientError::NotConnected { .. }), "{error}");
    assert!(error.is_unsent());
}
