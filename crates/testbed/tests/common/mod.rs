//! Helpers shared by the tests.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_testbed::client::{Client, Reply};
use carawaybarrow_testbed::store::{self, Limits};
use carawaybarrow_testbed::worker::{self, Options, Tally};
use http_types::Method;
use serde_json::{Value, json};

/// Time within which a polled condition has to become true.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(20);

/// Any free port of the loopback interface.
pub const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// Limits that no test reaches.
pub const NO_LIMITS: Limits = Limits { writes: 1e9, reads: 1e9 };

/// Calls the probe every 5 ms until it returns a value; panics after [`POLL_TIMEOUT`].
pub async fn poll_until<T, F: Future<Output = Option<T>>>(what: &str, mut probe: impl FnMut() -> F) -> T {
    let ends = Instant::now() + POLL_TIMEOUT;
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(Instant::now() < ends, "not within {POLL_TIMEOUT:?}: {what}");
        task::sleep(Duration::from_millis(5)).await;
    }
}

/// A store in this process, and a client for it.
pub struct Store {
    pub addr: SocketAddr,
    pub client: Client,
}

impl Store {
    pub async fn start(limits: Limits) -> Self {
        let addr = store::start(LOOPBACK.into(), limits).await.expect("a free port");
        Self { addr, client: Client::new() }
    }

    pub async fn get(&self, key: &str) -> Reply {
        self.client.get(self.addr, &format!("/kv/{key}")).await.expect("an answer")
    }

    pub async fn put(&self, key: &str, expect: u64, value: &str) -> Reply {
        let path = format!("/kv/{key}?expect={expect}");
        self.client.call(self.addr, Method::Put, &path, &[], value).await.expect("an answer")
    }

    pub async fn delete(&self, key: &str, expect: u64) -> Reply {
        let path = format!("/kv/{key}?expect={expect}");
        self.client.call(self.addr, Method::Delete, &path, &[], "").await.expect("an answer")
    }

    pub async fn control(&self, name: &str, body: &Value) {
        control(self.addr, name, body).await;
    }
}

/// Makes a control call, which has to succeed.
pub async fn control(addr: SocketAddr, name: &str, body: &Value) {
    let reply = Client::new().post(addr, &format!("/control/{name}"), &body.to_string()).await.expect("an answer");
    assert_eq!(reply.status, 200, "{name}: {}", reply.text());
}

/// Version in the JSON body of a store's answer.
pub fn version_of(reply: &Reply) -> u64 {
    reply.json::<Value>().expect("JSON")["version"].as_u64().expect("a version")
}

/// A worker in this process, and a client for it.
pub struct Worker {
    pub addr: SocketAddr,
    pub client: Client,
}

impl Worker {
    pub async fn start() -> Self {
        Self::start_with(Options::default(), Tally::default()).await
    }

    pub async fn start_with(options: Options, tally: Tally) -> Self {
        let addr = worker::start(LOOPBACK.into(), options, tally).await.expect("a free port");
        Self { addr, client: Client::new() }
    }

    pub async fn post(&self, path: &str) -> Reply {
        self.client.post(self.addr, path, "").await.expect("an answer")
    }

    pub async fn get(&self, path: &str) -> Value {
        self.client.get(self.addr, path).await.expect("an answer").json().expect("JSON")
    }

    pub async fn request_lease(&self, ttl_ms: u64) -> Reply {
        let body = json!({ "entry": "e1", "ttl_ms": ttl_ms }).to_string();
        self.client.post(self.addr, "/leases", &body).await.expect("an answer")
    }

    pub async fn lease(&self, ttl_ms: u64) -> String {
        let reply = self.request_lease(ttl_ms).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        reply.json::<Value>().expect("JSON")["lease"].as_str().expect("a lease").to_owned()
    }

    pub async fn run(&self, lease: &str, task: &str, wait: bool, payload: &Value) -> Reply {
        let path = format!("/tasks?lease={lease}&task={task}&wait={wait}");
        let headers = [("x-team", "team-a"), ("x-queue", "clips")];
        let body = payload.to_string();
        self.client.call(self.addr, Method::Post, &path, &headers, &body).await.expect("an answer")
    }

    pub async fn starts(&self) -> Vec<Value> {
        self.client.get(self.addr, "/control/starts").await.expect("an answer").json().expect("JSON")
    }

    pub async fn wait_for_state(&self, task: &str, state: &str) -> Value {
        poll_until(&format!("{task} is {state}"), || async {
            let shown = self.get(&format!("/tasks/{task}")).await;
            (shown["state"] == state).then_some(shown)
        })
        .await
    }
}
