//! Stand-in for the platform's store, as the pages describe it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Action, Request, Server};
use crate::json::{Json, n, obj, s};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    log: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (u64, Instant)>,
    next_lease: u64,
}

/// What the store does with a write: `None` answers it; otherwise it is done after this time and never answered.
pub type LossRule = Box<dyn Fn(&[String]) -> Option<Duration> + Send + Sync>;

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    loss: Mutex<Option<LossRule>>,
    value_bytes: usize,
}

const PAGE_ITEMS: usize = 500;

impl Store {
    pub fn start(address: SocketAddr, value_bytes: usize) -> Arc<Store> {
        let store = Arc::new(Store {
            state: Mutex::new(State { revision: 1, next_lease: 100, ..State::default() }),
            changed: Condvar::new(),
            loss: Mutex::new(None),
            value_bytes,
        });
        let (serving, expiring) = (Arc::clone(&store), Arc::clone(&store));
        let server = Server::start(address, Arc::new(move |req| serving.answer(req)));
        std::mem::forget(server);
        thread::spawn(move || {
            loop {
                expiring.expire();
                thread::sleep(Duration::from_millis(10));
            }
        });
        store
    }

    pub fn set_loss(&self, rule: Option<LossRule>) {
        *self.loss.lock().unwrap() = rule;
    }

    /// Writes a key as the operator or a worker does. Returns the revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        write(&mut state, key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
        state.revision
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.log.push((revision, key.to_owned(), None));
            self.changed.notify_all();
        }
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state.leases.iter().filter(|(_, l)| l.1 <= now).map(|(id, _)| *id).collect();
        for id in ended {
            end_lease(&mut state, id);
            self.changed.notify_all();
        }
    }

    fn answer(self: &Arc<Self>, req: &Request) -> Action {
        thread::sleep(Duration::from_millis(2));
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/v1/kv-key") => {
                let state = self.state.lock().unwrap();
                match state.items.get(req.query("key")) {
                    Some(item) => reply(200, &item_json(req.query("key"), item, state.revision)),
                    None => reply(404, &obj(&[("as-of", n(state.revision))])),
                }
            }
            ("GET", "/v1/kv-range") => {
                let state = self.state.lock().unwrap();
                let (prefix, after) = (req.query("prefix"), req.query("after"));
                let from = if after.is_empty() { prefix } else { after };
                let mut rows = Vec::new();
                let mut bytes = 0;
                let mut has_more = false;
                for (key, item) in state.items.range(from.to_owned()..) {
                    if !key.starts_with(prefix) {
                        break;
                    }
                    if key == after {
                        continue;
                    }
                    if rows.len() >= PAGE_ITEMS || (bytes > 0 && bytes + item.value.len() > 1 << 20) {
                        has_more = true;
                        break;
                    }
                    bytes += item.value.len();
                    rows.push(item_json(key, item, state.revision));
                }
                let page =
                    [("items", Json::Arr(rows)), ("has-more", Json::Bool(has_more)), ("as-of", n(state.revision))];
                reply(200, &obj(&page))
            }
            ("GET", "/v1/kv-watch") => {
                let after: u64 = req.query("after").parse().unwrap_or(0);
                let wait: u64 = req.query("wait-ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut state = self.state.lock().unwrap();
                loop {
                    let from = state.log.partition_point(|(r, _, _)| *r <= after);
                    let events: Vec<Json> = state.log[from..]
                        .iter()
                        .filter(|(_, key, _)| key.starts_with(req.query("prefix")))
                        .map(|(revision, key, item)| match item {
                            Some(item) => item_json(key, item, *revision),
                            None => obj(&[("key", s(key)), ("revision", n(*revision)), ("deleted", Json::Bool(true))]),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return reply(200, &obj(&[("events", Json::Arr(events)), ("as-of", n(state.revision))]));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/v1/kv-txn") => {
                let keys: Vec<String> =
                    body.get("puts").rows().iter().map(|p| p.get("key").text().to_owned()).collect();
                let lost = self.loss.lock().unwrap().as_ref().and_then(|rule| rule(&keys));
                if let Some(delay) = lost {
                    let store = Arc::clone(self);
                    thread::spawn(move || {
                        thread::sleep(delay);
                        store.change(&body);
                    });
                    return Action::Silent;
                }
                self.change(&body)
            }
            ("POST", "/v1/kv-lease") => {
                let mut state = self.state.lock().unwrap();
                let ttl = body.get("ttl-ms").num().clamp(1_000, 600_000);
                state.next_lease += 1;
                let id = state.next_lease;
                state.leases.insert(id, (ttl, Instant::now() + Duration::from_millis(ttl)));
                reply(200, &obj(&[("lease", n(id)), ("ttl-ms", n(ttl))]))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let mut state = self.state.lock().unwrap();
                let id = path.trim_start_matches("/v1/kv-keep/").parse().unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.1 = Instant::now() + Duration::from_millis(lease.0);
                        reply(200, &obj(&[("ttl-ms", n(lease.0))]))
                    }
                    None => reply(404, &Json::Null),
                }
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                let mut state = self.state.lock().unwrap();
                let id = path.trim_start_matches("/v1/kv-lease-end/").parse().unwrap_or(0);
                let known = state.leases.contains_key(&id);
                end_lease(&mut state, id);
                self.changed.notify_all();
                reply(if known { 200 } else { 404 }, &obj(&[]))
            }
            _ => reply(400, &Json::Null),
        }
    }

    fn change(&self, body: &Json) -> Action {
        let mut state = self.state.lock().unwrap();
        let (expected, puts, deletes) =
            (body.get("expected").rows(), body.get("puts").rows(), body.get("deletes").rows());
        if expected.len() + puts.len() + deletes.len() > 32 {
            return reply(400, &Json::Null);
        }
        for put in puts {
            let size = put.get("value").text().len() / 4 * 3;
            if size > self.value_bytes {
                return reply(400, &Json::Null);
            }
        }
        let is_met =
            |row: &Json| state.items.get(row.get("key").text()).map_or(0, |i| i.revision) == row.get("revision").num();
        if !expected.iter().all(is_met) {
            let now = expected.iter().filter_map(|row| {
                let key = row.get("key").text();
                state.items.get(key).map(|item| item_json(key, item, state.revision))
            });
            let items = Json::Arr(now.collect());
            return reply(412, &obj(&[("items", items)]));
        }
        if puts.iter().any(|p| p.get("lease").num() > 0 && !state.leases.contains_key(&p.get("lease").num())) {
            return reply(404, &Json::Null);
        }
        if !puts.is_empty() || !deletes.is_empty() {
            state.revision += 1;
            for put in puts {
                write(&mut state, put.get("key").text(), put.get("value").text().to_owned(), put.get("lease").num());
            }
            for key in deletes {
                if state.items.remove(key.text()).is_some() {
                    let revision = state.revision;
                    state.log.push((revision, key.text().to_owned(), None));
                }
            }
            self.changed.notify_all();
        }
        reply(200, &obj(&[("revision", n(state.revision))]))
    }
}

fn write(state: &mut State, key: &str, value: String, lease: u64) {
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |i| i.created);
    let item = Item { value, revision, created, lease };
    state.items.insert(key.to_owned(), item.clone());
    state.log.push((revision, key.to_owned(), Some(item)));
}

fn end_lease(state: &mut State, id: u64) {
    state.leases.remove(&id);
    let keys: Vec<String> = state.items.iter().filter(|(_, i)| i.lease == id).map(|(k, _)| k.clone()).collect();
    if id > 0 && !keys.is_empty() {
        state.revision += 1;
        for key in keys {
            state.items.remove(&key);
            let revision = state.revision;
            state.log.push((revision, key, None));
        }
    }
}

fn item_json(key: &str, item: &Item, as_of: u64) -> Json {
    obj(&[
        ("key", s(key)),
        ("value", s(&item.value)),
        ("revision", n(item.revision)),
        ("created", n(item.created)),
        ("lease", n(item.lease)),
        ("as-of", n(as_of)),
    ])
}

pub fn reply(status: u16, body: &Json) -> Action {
    Action::Reply(status, if body.is_null() { "{}".to_owned() } else { body.write() })
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            let is_digit = i <= chunk.len();
            out.push(if is_digit { DIGITS[(word >> (18 - 6 * i)) as usize & 63] as char } else { '=' });
        }
    }
    out
}
