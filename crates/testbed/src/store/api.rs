//! The store's HTTP interface and its control calls.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use async_std::{future, io, task};
use serde::Deserialize;
use serde_json::json;
use tide::http::Method;

use super::data::{Data, Read, Written};
use super::faults::{Call, Delay, Effect, Faults, Limits, Lost, Outage, OutageMode, Stale};
use super::stats::Stats;
use crate::http;

/// Interval at which lapsed leases are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which a call that hangs looks for the end of the outage, and a watch for a stale value.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

struct Store {
    data: Mutex<Data>,
    faults: Mutex<Faults>,
    stats: Mutex<Stats>,
}

impl Store {
    fn data(&self) -> MutexGuard<'_, Data> {
        let mut data = lock(&self.data);
        data.sweep(Instant::now());
        data
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

type Shared = Arc<Store>;
type Request = tide::Request<Shared>;

/// Starts a store and returns its address.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn start(addr: SocketAddr, limits: Limits) -> io::Result<SocketAddr> {
    let now = Instant::now();
    let store = Arc::new(Store {
        data: Mutex::default(),
        faults: Mutex::new(Faults::new(limits, now)),
        stats: Mutex::new(Stats::new(now)),
    });
    task::spawn(sweep_leases(Arc::downgrade(&store)));
    http::start(addr, build_app(store), None).await
}

fn build_app(store: Shared) -> tide::Server<Shared> {
    let mut app = tide::with_state(store);
    app.with(tide::utils::After(http::explain_error));
    app.with(apply_faults);
    app.at("/kv/*").get(read_key).put(write_key).delete(delete_key);
    app.at("/watch/*").get(watch_key);
    app.at("/lease").post(grant_lease);
    app.at("/lease/:id").delete(revoke_lease);
    app.at("/lease/:id/renew").post(renew_lease);
    app.at("/control/outage").post(set_outage).delete(clear_outage);
    app.at("/control/delay").post(set_delay);
    app.at("/control/lost").post(set_lost);
    app.at("/control/stale").post(set_stale);
    app.at("/control/limits").post(set_limits);
    app.at("/control/stats").get(show_stats);
    app
}

async fn sweep_leases(store: Weak<Store>) {
    while let Some(store) = store.upgrade() {
        lock(&store.data).sweep(Instant::now());
        drop(store);
        task::sleep(SWEEP_INTERVAL).await;
    }
}

type BoxedResult<'a> = Pin<Box<dyn Future<Output = tide::Result> + Send + 'a>>;

fn apply_faults<'a>(req: Request, next: tide::Next<'a, Shared>) -> BoxedResult<'a> {
    Box::pin(async move {
        if req.url().path().starts_with(http::CONTROL) {
            return Ok(next.run(req).await);
        }
        let store = Arc::clone(req.state());
        let call = name_call(&req);
        lock(&store.stats).add_call(&call, Instant::now());
        let res = pass_faults(&store, &call, req, next).await?;
        let status = match res.header(http::NO_ANSWER) {
            Some(_) => "lost".to_owned(),
            None => res.status().to_string(),
        };
        lock(&store.stats).add_answer(&status, Instant::now());
        Ok(res)
    })
}

async fn pass_faults(store: &Store, call: &Call, req: Request, next: tide::Next<'_, Shared>) -> tide::Result {
    if let Some(res) = meet_outage(store, &call.client).await {
        return Ok(res);
    }
    let delay = lock(&store.faults).delay_for(&call.client);
    if !delay.is_zero() {
        task::sleep(delay).await;
    }
    let is_write = req.method() != Method::Get;
    if !lock(&store.faults).try_take(is_write, Instant::now()) {
        return http::reply_json(429, &json!({ "reason": "rate limit" }));
    }
    if lock(&store.faults).loses_answer(call, Effect::None) {
        return Ok(http::no_answer());
    }
    if lock(&store.faults).loses_answer(call, Effect::Late) {
        let late = lock(&store.faults).late();
        task::spawn(write_late(req, late));
        return Ok(http::no_answer());
    }
    let res = next.run(req).await;
    let is_lost = res.status().is_success() && lock(&store.faults).loses_answer(call, Effect::Applied);
    Ok(if is_lost { http::no_answer() } else { res })
}

/// Applies a write of a key after its connection was closed; other calls have no late effect.
async fn write_late(req: Request, late: Duration) {
    task::sleep(late).await;
    let _answer = match (req.method(), req.url().path().starts_with("/kv/")) {
        (Method::Put, true) => write_key(req).await,
        (Method::Delete, true) => delete_key(req).await,
        _ => return,
    };
}

async fn meet_outage(store: &Store, client: &str) -> Option<tide::Response> {
    let mode = lock(&store.faults).outage_for(client)?;
    match mode {
        OutageMode::Refuse => Some(tide::Response::builder(503).body(json!({ "reason": "outage" })).build()),
        OutageMode::Close => Some(http::no_answer()),
        OutageMode::Hang => {
            while lock(&store.faults).outage_for(client).is_some() {
                task::sleep(POLL_INTERVAL).await;
            }
            Some(http::no_answer())
        }
    }
}

fn client_of(req: &Request) -> String {
    req.header("x-client").map_or_else(String::new, |v| v[0].as_str().to_owned())
}

fn name_call(req: &Request) -> Call {
    let path = req.url().path();
    let mut parts = path.trim_start_matches('/').split('/');
    let kind = parts.next().unwrap_or_default();
    let prefix = parts.next().unwrap_or_default();
    let (operation, prefix) = match (kind, req.method()) {
        ("kv", Method::Get) => ("get", prefix),
        ("kv", Method::Put) => ("put", prefix),
        ("kv", Method::Delete) => ("delete", prefix),
        ("watch", _) => ("watch", prefix),
        ("lease", Method::Delete) => ("revoke", "lease"),
        ("lease", _) if path.ends_with("/renew") => ("renew", "lease"),
        ("lease", _) => ("grant", "lease"),
        _ => ("other", ""),
    };
    Call { operation, prefix: prefix.to_owned(), client: client_of(req) }
}

/// The key is the rest of the path; it may contain slashes.
fn key_of<'a>(req: &'a Request, kind: &str) -> &'a str {
    req.url().path().strip_prefix(kind).unwrap_or_default()
}

fn reply_read(read: &Read) -> tide::Result {
    match read {
        Read::Value { value, version } => http::reply_json(200, &json!({ "value": &**value, "version": version })),
        Read::Absent { version } => http::reply_json(404, &json!({ "version": version })),
    }
}

fn reply_written(written: Written) -> tide::Result {
    match written {
        Written::Done { version } => http::reply_json(200, &json!({ "version": version })),
        Written::Conflict { version } => http::reply_json(409, &json!({ "version": version })),
        Written::TooLarge => http::reply_json(413, &json!({ "reason": "value too large" })),
        Written::NoLease => http::reply_json(404, &json!({ "reason": "lease lapsed" })),
    }
}

async fn read_key(req: Request) -> tide::Result {
    let read = req.state().data().read(key_of(&req, "/kv/"), Instant::now());
    reply_read(&read)
}

#[derive(Deserialize)]
struct WriteQuery {
    expect: u64,
    lease: Option<u64>,
}

async fn write_key(mut req: Request) -> tide::Result {
    let query: WriteQuery = req.query()?;
    let value = req.body_string().await?;
    let key = key_of(&req, "/kv/");
    let written = req.state().data().write(key, query.expect, Some(&value), query.lease, Instant::now());
    reply_written(written)
}

async fn delete_key(req: Request) -> tide::Result {
    let query: WriteQuery = req.query()?;
    let written = req.state().data().write(key_of(&req, "/kv/"), query.expect, None, None, Instant::now());
    reply_written(written)
}

#[derive(Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

async fn watch_key(req: Request) -> tide::Result {
    let WatchQuery { after, wait_ms } = req.query()?;
    let (store, key, client) = (req.state(), key_of(&req, "/watch/"), client_of(&req));
    let ends = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        if let Some(res) = meet_outage(store, &client).await {
            return Ok(res);
        }
        let now = Instant::now();
        let (read, changed, is_stale) = {
            let mut data = store.data();
            (data.read(key, now), data.wait_for(key), data.is_stale())
        };
        let is_newer = match read {
            Read::Value { version, .. } => version > after,
            // A watch after 0 waits for the key to be created.
            Read::Absent { version } => after > 0 && version > after,
        };
        if is_newer {
            return reply_read(&read);
        }
        let Some(left) = ends.checked_duration_since(now).filter(|d| !d.is_zero()) else {
            return Ok(tide::Response::new(204));
        };
        let wait = if is_stale { left.min(POLL_INTERVAL) } else { left };
        // A change, a dropped sender and the end of the time all lead to another look.
        let _ = future::timeout(wait, changed).await;
    }
}

#[derive(Deserialize)]
struct LeaseQuery {
    ttl_ms: u64,
}

async fn grant_lease(req: Request) -> tide::Result {
    let LeaseQuery { ttl_ms } = req.query()?;
    let lease = req.state().data().grant(Duration::from_millis(ttl_ms), Instant::now());
    http::reply_json(200, &json!({ "lease": lease.to_string() }))
}

fn lease_of(req: &Request) -> u64 {
    // Lease 0 is never granted, so an id that isn't a number is an unknown lease.
    req.param("id").ok().and_then(|id| id.parse().ok()).unwrap_or(0)
}

async fn renew_lease(req: Request) -> tide::Result {
    let is_known = req.state().data().renew(lease_of(&req), Instant::now());
    http::reply_json(if is_known { 200 } else { 404 }, &json!({}))
}

async fn revoke_lease(req: Request) -> tide::Result {
    let is_known = req.state().data().revoke(lease_of(&req), Instant::now());
    http::reply_json(if is_known { 200 } else { 404 }, &json!({}))
}

async fn set_outage(mut req: Request) -> tide::Result {
    let outage: Outage = http::read_json(&mut req).await?;
    lock(&req.state().faults).set_outage(Some(outage));
    // Waiting watches are concerned as well.
    req.state().data().wake_all();
    http::reply_json(200, &json!({}))
}

async fn clear_outage(req: Request) -> tide::Result {
    lock(&req.state().faults).set_outage(None);
    http::reply_json(200, &json!({}))
}

async fn set_delay(mut req: Request) -> tide::Result {
    let delay: Delay = http::read_json(&mut req).await?;
    lock(&req.state().faults).set_delay(delay);
    http::reply_json(200, &json!({}))
}

async fn set_lost(mut req: Request) -> tide::Result {
    let lost: Lost = http::read_json(&mut req).await?;
    lock(&req.state().faults).set_lost(lost);
    http::reply_json(200, &json!({}))
}

async fn set_stale(mut req: Request) -> tide::Result {
    let stale: Stale = http::read_json(&mut req).await?;
    req.state().data().set_stale(Duration::from_millis(stale.ms), Instant::now());
    http::reply_json(200, &json!({}))
}

async fn set_limits(mut req: Request) -> tide::Result {
    let limits: Limits = http::read_json(&mut req).await?;
    lock(&req.state().faults).set_limits(limits, Instant::now());
    http::reply_json(200, &json!({}))
}

async fn show_stats(req: Request) -> tide::Result {
    let stats = lock(&req.state().stats).show(Instant::now());
    http::reply_json(200, &stats)
}
