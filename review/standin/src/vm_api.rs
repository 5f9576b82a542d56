//! VM API of the platform with one VM for each worker, and crashes of workers that start again under their ids.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_net::server::{self, Limits};
use carawaybarrow_standin::proxy::Proxy;
use carawaybarrow_standin::workers::Fleet;
use serde_json::{Value, json};
use tide::{Request, Response};

use crate::Failure;

/// Pool of all workers.
pub const POOL: &str = "pool";

/// Time before the start of a worker from which its VM is shown as up.
const UP_EARLY: Duration = Duration::from_millis(20);

/// Time between resets of the connections of a worker that is down.
const RESET_INTERVAL: Duration = Duration::from_millis(20);

/// VM API that shows each VM as up or down, as of the arrival of the request.
#[derive(Clone)]
pub struct VmApi {
    vms: usize,
    delay: Duration,
    down_until: Arc<Mutex<BTreeMap<usize, Instant>>>,
}

impl VmApi {
    /// Creates the API of `vms` VMs, which answers after `delay`.
    pub fn new(vms: usize, delay: Duration) -> Self {
        Self { vms, delay, down_until: Arc::default() }
    }

    /// Serves the API on the loopback interface.
    pub async fn serve(&self) -> Result<(SocketAddr, server::Handle), Failure> {
        let mut app = tide::with_state(self.clone());
        app.at("/v1/machines").get(list);
        app.at("/v1/machine-move").post(refuse);
        app.at("/v1/machine-upkeep").post(refuse);
        let handle = server::listen(SocketAddr::from(([127, 0, 0, 1], 0)), app, Limits::new(1 << 16)).await?;
        Ok((handle.address(), handle))
    }

    /// Lets a worker crash. Its connections end, new ones too, until it starts again under its id.
    pub fn crash(&self, fleet: &Fleet, proxy: &Proxy, index: usize, down: Duration) {
        let up_at = Instant::now() + down;
        self.down_until.lock().unwrap_or_else(PoisonError::into_inner).insert(index, up_at - UP_EARLY);
        fleet.crash(index, down);
        let proxy = proxy.clone();
        task::spawn(async move {
            while Instant::now() < up_at {
                proxy.reset();
                task::sleep(RESET_INTERVAL).await;
            }
        });
    }
}

/// Puts a proxy in front of each worker, so that its connections can be ended.
pub async fn start_proxies(fleet: &Fleet, workers: usize) -> Result<Vec<Proxy>, Failure> {
    let mut proxies = Vec::new();
    for index in 0..workers {
        let proxy = Proxy::start(fleet.address(index)).await?;
        fleet.set_address(index, proxy.address());
        proxies.push(proxy);
    }
    Ok(proxies)
}

async fn list(req: Request<VmApi>) -> tide::Result {
    let api = req.state();
    let down = api.down_until.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let now = Instant::now();
    let machines: Vec<Value> = (0..api.vms)
        .map(|index| {
            let is_down = down.get(&index).is_some_and(|until| now < *until);
            json!({
                "machine": format!("m{index}"), "pool": POOL, "state": if is_down { "down" } else { "up" },
                "zone": "a", "labels": ["a", "r1"], "capacity": { "cpu": 4_000, "mem-mb": 8_000, "gpu": 0 },
                "id": format!("w{index}"),
            })
        })
        .collect();
    task::sleep(api.delay).await;
    Ok(Response::builder(200)
        .content_type("application/json")
        .body(json!({ "machines": machines }).to_string())
        .build())
}

/// There is one pool and no wave, so no order is expected.
async fn refuse(_: Request<VmApi>) -> tide::Result {
    Ok(Response::builder(429).build())
}
