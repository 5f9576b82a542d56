//! HTTP API of the store and its control calls.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use async_std::{future, io, task};
use serde::Deserialize;
use serde_json::json;
use tide::http::Method;

use super::faults::{Call, Delay, Effect, Faults, Limits, Lost, Outage, OutageMode, Stale};
use super::state::{ReadOutcome, StoreState, WriteOutcome};
use super::stats::Stats;
use crate::http;

/// Interval at which expired leases are ended.
const LEASE_SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which a hanging call checks whether the outage has ended, and a watch whether a lagging change has
/// become visible.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

struct Store {
    state: Mutex<StoreState>,
    faults: Mutex<Faults>,
    stats: Mutex<Stats>,
}

impl Store {
    /// Locks the contents after ending the expired leases.
    fn lock_state(&self) -> MutexGuard<'_, StoreState> {
        let mut state = lock(&self.state);
        state.remove_expired_leases(Instant::now());
        state
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

type SharedStore = Arc<Store>;
type Request = tide::Request<SharedStore>;

/// Starts a store and returns its address.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn start(addr: SocketAddr, limits: Limits) -> io::Result<SocketAddr> {
    let now = Instant::now();
    let store = Arc::new(Store {
        state: Mutex::default(),
        faults: Mutex::new(Faults::new(limits, now)),
        stats: Mutex::new(Stats::new(now)),
    });
    task::spawn(sweep_leases(Arc::downgrade(&store)));
    http::start(addr, build_app(store), None).await
}

fn build_app(store: SharedStore) -> tide::Server<SharedStore> {
    let mut app = tide::with_state(store);
    app.with(tide::utils::After(http::add_error_body));
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
        lock(&store.state).remove_expired_leases(Instant::now());
        drop(store);
        task::sleep(LEASE_SWEEP_INTERVAL).await;
    }
}

type BoxedResult<'a> = Pin<Box<dyn Future<Output = tide::Result> + Send + 'a>>;

fn apply_faults<'a>(req: Request, next: tide::Next<'a, SharedStore>) -> BoxedResult<'a> {
    Box::pin(async move {
        if req.url().path().starts_with(http::CONTROL_PREFIX) {
            return Ok(next.run(req).await);
        }
        let store = Arc::clone(req.state());
        let call = describe_call(&req);
        lock(&store.stats).add_call(&call, Instant::now());
        let res = run_with_faults(&store, &call, req, next).await?;
        let status = match res.header(http::NO_ANSWER_HEADER) {
            Some(_) => "lost".to_owned(),
            None => res.status().to_string(),
        };
        lock(&store.stats).add_answer(&status, Instant::now());
        Ok(res)
    })
}

async fn run_with_faults(store: &Store, call: &Call, req: Request, next: tide::Next<'_, SharedStore>) -> tide::Result {
    if let Some(res) = outage_response(store, &call.client).await {
        return Ok(res);
    }
    let delay = lock(&store.faults).delay_for(&call.client);
    if !delay.is_zero() {
        task::sleep(delay).await;
    }
    let is_write = req.method() != Method::Get;
    if !lock(&store.faults).try_acquire(is_write, Instant::now()) {
        return http::reply_json(429, &json!({ "reason": "rate limit" }));
    }
    if lock(&store.faults).should_lose_answer(call, Effect::None) {
        return Ok(http::close_connection());
    }
    if lock(&store.faults).should_lose_answer(call, Effect::Late) {
        let late_delay = lock(&store.faults).late_delay();
        task::spawn(apply_late_write(req, late_delay));
        return Ok(http::close_connection());
    }
    let res = next.run(req).await;
    let is_lost = res.status().is_success() && lock(&store.faults).should_lose_answer(call, Effect::Applied);
    Ok(if is_lost { http::close_connection() } else { res })
}

/// Applies a write or delete of a key after its connection was closed; other calls have no late effect.
async fn apply_late_write(req: Request, delay: Duration) {
    task::sleep(delay).await;
    let _response = match (req.method(), req.url().path().starts_with("/kv/")) {
        (Method::Put, true) => write_key(req).await,
        (Method::Delete, true) => delete_key(req).await,
        _ => return,
    };
}

/// Responds to a call during an outage that affects the client; `None` if there is no such outage.
async fn outage_response(store: &Store, client: &str) -> Option<tide::Response> {
    let mode = lock(&store.faults).outage_for(client)?;
    match mode {
        OutageMode::Refuse => Some(tide::Response::builder(503).body(json!({ "reason": "outage" })).build()),
        OutageMode::Close => Some(http::close_connection()),
        OutageMode::Hang => {
            while lock(&store.faults).outage_for(client).is_some() {
                task::sleep(POLL_INTERVAL).await;
            }
            Some(http::close_connection())
        }
    }
}

fn client_of(req: &Request) -> String {
    req.header("x-client").map_or_else(String::new, |v| v[0].as_str().to_owned())
}

/// Determines the operation, key prefix and client of a call.
fn describe_call(req: &Request) -> Call {
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

/// Returns the key, which is the rest of the path after the prefix and may contain slashes.
fn key_of<'a>(req: &'a Request, kind: &str) -> &'a str {
    req.url().path().strip_prefix(kind).unwrap_or_default()
}

fn reply_read(read: &ReadOutcome) -> tide::Result {
    match read {
        ReadOutcome::Value { value, version } => {
            http::reply_json(200, &json!({ "value": &**value, "version": version }))
        }
        ReadOutcome::Absent { version } => http::reply_json(404, &json!({ "version": version })),
    }
}

fn reply_write(outcome: WriteOutcome) -> tide::Result {
    match outcome {
        WriteOutcome::Done { version } => http::reply_json(200, &json!({ "version": version })),
        WriteOutcome::Conflict { version } => http::reply_json(409, &json!({ "version": version })),
        WriteOutcome::TooLarge => http::reply_json(413, &json!({ "reason": "value too large" })),
        WriteOutcome::NoLease => http::reply_json(404, &json!({ "reason": "lease lapsed" })),
    }
}

async fn read_key(req: Request) -> tide::Result {
    let read = req.state().lock_state().read(key_of(&req, "/kv/"), Instant::now());
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
    let outcome = req.state().lock_state().write(key, query.expect, Some(&value), query.lease, Instant::now());
    reply_write(outcome)
}

async fn delete_key(req: Request) -> tide::Result {
    let query: WriteQuery = req.query()?;
    let outcome = req.state().lock_state().write(key_of(&req, "/kv/"), query.expect, None, None, Instant::now());
    reply_write(outcome)
}

#[derive(Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

async fn watch_key(req: Request) -> tide::Result {
    let WatchQuery { after, wait_ms } = req.query()?;
    let (store, key, client) = (req.state(), key_of(&req, "/watch/"), client_of(&req));
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        if let Some(res) = outage_response(store, &client).await {
            return Ok(res);
        }
        let now = Instant::now();
        let (read, changed, has_read_lag) = {
            let mut state = store.lock_state();
            (state.read(key, now), state.subscribe(key), state.has_read_lag())
        };
        let is_change = match read {
            ReadOutcome::Value { version, .. } => version > after,
            // A watch after version 0 waits until the key is created.
            ReadOutcome::Absent { version } => after > 0 && version > after,
        };
        if is_change {
            return reply_read(&read);
        }
        let Some(remaining) = deadline.checked_duration_since(now).filter(|d| !d.is_zero()) else {
            return Ok(tide::Response::new(204));
        };
        let wait = if has_read_lag { remaining.min(POLL_INTERVAL) } else { remaining };
        // A change, a dropped sender and the timeout all lead to another check.
        let _ = future::timeout(wait, changed).await;
    }
}

#[derive(Deserialize)]
struct LeaseQuery {
    ttl_ms: u64,
}

async fn grant_lease(req: Request) -> tide::Result {
    let LeaseQuery { ttl_ms } = req.query()?;
    let lease = req.state().lock_state().grant(Duration::from_millis(ttl_ms), Instant::now());
    http::reply_json(200, &json!({ "lease": lease.to_string() }))
}

fn lease_of(req: &Request) -> u64 {
    // Lease 0 is never granted, so an id that isn't a number is handled as an unknown lease.
    req.param("id").ok().and_then(|id| id.parse().ok()).unwrap_or(0)
}

async fn renew_lease(req: Request) -> tide::Result {
    let is_known = req.state().lock_state().renew(lease_of(&req), Instant::now());
    http::reply_json(if is_known { 200 } else { 404 }, &json!({}))
}

async fn revoke_lease(req: Request) -> tide::Result {
    let is_known = req.state().lock_state().revoke(lease_of(&req), Instant::now());
    http::reply_json(if is_known { 200 } else { 404 }, &json!({}))
}

async fn set_outage(mut req: Request) -> tide::Result {
    let outage: Outage = http::read_json(&mut req).await?;
    lock(&req.state().faults).set_outage(Some(outage));
    // Pending watches are woken so that the outage affects them as well.
    req.state().lock_state().notify_all_watchers();
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
    req.state().lock_state().set_read_lag(Duration::from_millis(stale.ms), Instant::now());
    http::reply_json(200, &json!({}))
}

async fn set_limits(mut req: Request) -> tide::Result {
    let limits: Limits = http::read_json(&mut req).await?;
    lock(&req.state().faults).set_limits(limits, Instant::now());
    http::reply_json(200, &json!({}))
}

async fn show_stats(req: Request) -> tide::Result {
    let stats = lock(&req.state().stats).to_json(Instant::now());
    http::reply_json(200, &stats)
}
