//! Stand-ins and scenarios of the review cases 6 to 10: the platform's store, its list of machines, its advice service,
//! workers and clients, in one process, with the standard library only. The nodes are the product's own processes.
//!
//! Usage: `rig CASE PRODUCT RECORD PIDS`, with `TROUBLE=0` in the environment for the run without the disruption.
//! Exit codes: 0 the rule held, 1 the rule was broken, 2 the case could not run.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
enum J {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<J>),
    Obj(Vec<(String, J)>),
}

impl J {
    fn get(&self, name: &str) -> &J {
        match self {
            J::Obj(fields) => fields.iter().find(|(n, _)| n == name).map_or(&J::Null, |(_, v)| v),
            _ => &J::Null,
        }
    }
    fn text(&self) -> &str {
        if let J::Str(text) = self { text } else { "" }
    }
    fn number(&self) -> u64 {
        if let J::Num(n) = self { *n as u64 } else { 0 }
    }
    fn rows(&self) -> &[J] {
        if let J::Arr(rows) = self { rows } else { &[] }
    }
    fn write(&self, out: &mut String) {
        match self {
            J::Null => out.push_str("null"),
            J::Bool(b) => out.push_str(if *b { "true" } else { "false" }),
            J::Num(n) if n.fract() == 0.0 => drop(write!(out, "{}", *n as i64)),
            J::Num(n) => drop(write!(out, "{n}")),
            J::Str(text) => {
                out.push('"');
                for c in text.chars() {
                    match c {
                        '"' => out.push_str("\\\""),
                        '\\' => out.push_str("\\\\"),
                        c if (c as u32) < 32 => drop(write!(out, "\\u{:04x}", c as u32)),
                        c => out.push(c),
                    }
                }
                out.push('"');
            }
            J::Arr(rows) => {
                out.push('[');
                for (i, row) in rows.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    row.write(out);
                }
                out.push(']');
            }
            J::Obj(fields) => {
                out.push('{');
                for (i, (name, value)) in fields.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    J::Str(name.clone()).write(out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }
    fn encode(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }
    fn parse(bytes: &[u8]) -> J {
        Parser { bytes, at: 0 }.value().unwrap_or(J::Null)
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }
    fn value(&mut self) -> Option<J> {
        self.skip();
        match *self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                loop {
                    self.skip();
                    match *self.bytes.get(self.at)? {
                        b'}' => {
                            self.at += 1;
                            return Some(J::Obj(fields));
                        }
                        b',' => self.at += 1,
                        _ => {
                            let J::Str(name) = self.value()? else { return None };
                            self.skip();
                            self.at += 1;
                            fields.push((name, self.value()?));
                        }
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut rows = Vec::new();
                loop {
                    self.skip();
                    match *self.bytes.get(self.at)? {
                        b']' => {
                            self.at += 1;
                            return Some(J::Arr(rows));
                        }
                        b',' => self.at += 1,
                        _ => rows.push(self.value()?),
                    }
                }
            }
            b'"' => {
                self.at += 1;
                let mut text = Vec::new();
                loop {
                    let byte = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match byte {
                        b'"' => return Some(J::Str(String::from_utf8_lossy(&text).into_owned())),
                        b'\\' => {
                            let escaped = *self.bytes.get(self.at)?;
                            self.at += 1;
                            match escaped {
                                b'n' => text.push(b'\n'),
                                b't' => text.push(b'\t'),
                                b'r' => text.push(b'\r'),
                                b'u' => {
                                    let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                                    self.at += 4;
                                    let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?).unwrap_or('?');
                                    text.extend(c.to_string().bytes());
                                }
                                other => text.push(other),
                            }
                        }
                        byte => text.push(byte),
                    }
                }
            }
            b't' => {
                self.at += 4;
                Some(J::Bool(true))
            }
            b'f' => {
                self.at += 5;
                Some(J::Bool(false))
            }
            b'n' => {
                self.at += 4;
                Some(J::Null)
            }
            _ => {
                let from = self.at;
                while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.bytes[from..self.at]).ok()?.parse().ok().map(J::Num)
            }
        }
    }
}

fn n(value: u64) -> J {
    J::Num(value as f64)
}

fn s(value: impl Into<String>) -> J {
    J::Str(value.into())
}

macro_rules! obj {
    ($($name:literal : $value:expr),* $(,)?) => { J::Obj(vec![$(($name.to_owned(), $value)),*]) };
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            let digit = BASE64[(word >> (18 - 6 * i)) as usize & 63] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}

fn base64_len(text: &str) -> usize {
    text.len() / 4 * 3 - text.bytes().rev().take_while(|b| *b == b'=').count()
}

// ---------------------------------------------------------------------------------------------------------------- record

static STARTED: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
static RECORD: Mutex<Option<File>> = Mutex::new(None);

fn elapsed() -> Duration {
    STARTED.get_or_init(Instant::now).elapsed()
}

fn record(line: impl AsRef<str>) {
    let mut file = RECORD.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(file) = file.as_mut() {
        let _ = writeln!(file, "{:8.3} {}", elapsed().as_secs_f64(), line.as_ref());
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------------------------------------------------------- HTTP

struct Request {
    method: String,
    path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: Vec<u8>,
    stream: Option<TcpStream>,
}

impl Request {
    /// Whether the caller has closed the connection.
    fn is_abandoned(&self) -> bool {
        let Some(stream) = &self.stream else { return true };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
        let peeked = stream.peek(&mut [0]);
        let _ = stream.set_read_timeout(None);
        match peeked {
            Ok(read) => read == 0,
            Err(e) => !matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
        }
    }
}

type Response = (u16, String);
type Handler = Arc<dyn Fn(&Request) -> Response + Send + Sync>;

/// A server that can end like a process: its connections are closed, and its port refuses new ones.
struct Server {
    ended: Arc<AtomicBool>,
    streams: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

impl Server {
    fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for stream in lock(&self.streams).values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = if bytes[at] == b'%' { text.get(at + 1..at + 3) } else { None };
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a message: its first line, its headers with lower-case names, and its body.
fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<(String, HashMap<String, String>, Vec<u8>)> {
    let mut chunk = [0; 16 * 1024];
    let head = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut chunk) {
            Ok(read) if read > 0 => buf.extend_from_slice(&chunk[..read]),
            _ => return None,
        }
    };
    let text = String::from_utf8_lossy(&buf[..head]).into_owned();
    buf.drain(..head + 4);
    let mut lines = text.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    while buf.len() < length {
        match stream.read(&mut chunk) {
            Ok(read) if read > 0 => buf.extend_from_slice(&chunk[..read]),
            _ => return None,
        }
    }
    let body = buf.drain(..length).collect();
    Some((first, headers, body))
}

fn serve(address: SocketAddr, handler: Handler) -> Server {
    let listener = TcpListener::bind(address).unwrap_or_else(|e| give_up(&format!("can't listen on {address}: {e}")));
    listener.set_nonblocking(true).expect("a listener can be set to non-blocking");
    let server = Server { ended: Arc::default(), streams: Arc::default() };
    let (ended, streams) = (Arc::clone(&server.ended), Arc::clone(&server.streams));
    thread::spawn(move || {
        let mut next = 0;
        while !ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                pause(1);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            next += 1;
            if let Ok(clone) = stream.try_clone() {
                lock(&streams).insert(next, clone);
            }
            let (handler, ended, streams) = (Arc::clone(&handler), Arc::clone(&ended), Arc::clone(&streams));
            let id = next;
            thread::spawn(move || {
                serve_connection(stream, &handler, &ended);
                lock(&streams).remove(&id);
            });
        }
    });
    server
}

fn serve_connection(mut stream: TcpStream, handler: &Handler, ended: &AtomicBool) {
    let mut buf = Vec::new();
    while let Some((first, headers, body)) = read_message(&mut stream, &mut buf) {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(name, value)| (name.to_owned(), unescape(value))).collect();
        let (status, body) =
            handler(&Request { method, path: path.to_owned(), query, headers, body, stream: stream.try_clone().ok() });
        if ended.load(Ordering::SeqCst) {
            return;
        }
        let reply = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends a client's request on a connection of its own. `None` without a complete answer within 3 s.
fn call(address: SocketAddr, method: &str, path: &str, host: &str, key: &str, body: &str) -> Option<(u16, J)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Key: {key}\r\nX-Deadline-Ms: 3000\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut stream, &mut Vec::new())?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, J::parse(&body)))
}

// ---------------------------------------------------------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Item {
    fn row(&self, key: &str) -> J {
        obj! { "key": s(key), "value": s(self.value.clone()), "revision": n(self.revision), "created": n(self.created), "lease": n(self.lease) }
    }
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    /// Changes in order, each an item or a deletion.
    history: Vec<(u64, String, Option<Item>)>,
    /// Writes of the present second.
    writes: (u64, u64),
    refused_values: u64,
    largest_value: usize,
}

/// Limits of the store as the small deployments have them.
const WRITES_PER_S: u64 = 400;
const VALUE_BYTES: usize = 1_048_576;
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;
const STORE_ANSWER_MS: u64 = 4;

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let keys: Vec<String> = self.items.iter().filter(|(_, i)| i.lease == id).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.delete(key));
        }
        true
    }

    fn change(&mut self, body: &J) -> Response {
        let (expected, puts, deletes) =
            (body.get("expected").rows(), body.get("puts").rows(), body.get("deletes").rows());
        if expected.len() + puts.len() + deletes.len() > 32 {
            return (400, "{}".into());
        }
        let second = elapsed().as_secs();
        if self.writes.0 != second {
            self.writes = (second, 0);
        }
        self.writes.1 += 1;
        if self.writes.1 > WRITES_PER_S {
            return (429, "{}".into());
        }
        let foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if puts.iter().map(|p| p.get("key").text()).chain(deletes.iter().map(J::text)).any(foreign) {
            return (403, "{}".into());
        }
        let differs =
            |e: &J| self.items.get(e.get("key").text()).map_or(0, |i| i.revision) != e.get("revision").number();
        if expected.iter().any(differs) {
            let keys = expected.iter().map(|e| e.get("key").text());
            let items = keys.filter_map(|key| self.items.get(key).map(|item| item.row(key))).collect();
            return (412, obj! { "items": J::Arr(items) }.encode());
        }
        for put in puts {
            let len = base64_len(put.get("value").text());
            self.largest_value = self.largest_value.max(len);
            if len > VALUE_BYTES {
                self.refused_values += 1;
                if self.refused_values <= 3 || self.refused_values % 100 == 0 {
                    let key = put.get("key").text();
                    record(format!(
                        "store   refuses {key}: {len} bytes, value-bytes is {VALUE_BYTES} ({} so far)",
                        self.refused_values
                    ));
                }
                return (400, "{}".into());
            }
        }
        if puts.iter().any(|p| p.get("lease").number() != 0 && !self.leases.contains_key(&p.get("lease").number())) {
            return (404, "{}".into());
        }
        if !(puts.is_empty() && deletes.is_empty()) {
            self.revision += 1;
        }
        for put in puts {
            self.put(put.get("key").text(), put.get("value").text().to_owned(), put.get("lease").number());
        }
        deletes.iter().for_each(|key| self.delete(key.text()));
        (200, obj! { "revision": n(self.revision) }.encode())
    }

    fn list(&self, prefix: &str, after: &str) -> Response {
        let mut items = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for (key, item) in self.items.range(prefix.to_owned()..).take_while(|(key, _)| key.starts_with(prefix)) {
            if key.as_str() <= after {
                continue;
            }
            bytes += item.value.len() + key.len();
            if items.len() >= PAGE_ITEMS || (bytes > PAGE_BYTES && !items.is_empty()) {
                has_more = true;
                break;
            }
            items.push(item.row(key));
        }
        (200, obj! { "items": J::Arr(items), "has-more": J::Bool(has_more), "as-of": n(self.revision) }.encode())
    }
}

#[derive(Clone, Default)]
struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    fn start(address: SocketAddr) -> Self {
        let store = Self::default();
        store.lock().revision = 1;
        let handle = store.clone();
        serve(address, Arc::new(move |req| handle.answer(req)));
        let leases = store.clone();
        thread::spawn(move || {
            loop {
                pause(5);
                let mut state = leases.lock();
                let now = Instant::now();
                let ended: Vec<u64> = state.leases.iter().filter(|(_, l)| l.1 <= now).map(|(id, _)| *id).collect();
                if ended.iter().filter(|id| state.end_lease(**id)).count() > 0 {
                    leases.state.1.notify_all();
                }
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        lock(&self.state.0)
    }

    /// Writes a key for the platform or the operator.
    fn write(&self, key: &str, value: &J) {
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, to_base64(value.encode().as_bytes()), 0);
        self.state.1.notify_all();
    }

    fn answer(&self, req: &Request) -> Response {
        pause(STORE_ANSWER_MS);
        let query = |name: &str| req.query.get(name).map(String::as_str).unwrap_or_default();
        let (path, last) = req.path.rsplit_once('/').unwrap_or_default();
        let lease = || last.parse::<u64>().unwrap_or(0);
        match (req.method.as_str(), req.path.as_str(), path) {
            ("GET", "/v1/kv-key", _) => match self.lock().items.get(query("key")) {
                Some(item) => (200, item.row(query("key")).encode()),
                None => (404, "{}".into()),
            },
            ("GET", "/v1/kv-range", _) => self.lock().list(query("prefix"), query("after")),
            ("GET", "/v1/kv-watch", _) => self.watch(query("prefix"), query("after"), query("wait-ms")),
            ("POST", "/v1/kv-txn", _) => {
                let body = J::parse(&req.body);
                let answer = self.lock().change(&body);
                self.state.1.notify_all();
                answer
            }
            ("POST", "/v1/kv-lease", _) => {
                let ttl = J::parse(&req.body).get("ttl-ms").number();
                let mut state = self.lock();
                state.last_lease += 1;
                let (id, length) = (state.last_lease, Duration::from_millis(ttl));
                state.leases.insert(id, (length, Instant::now() + length));
                (200, obj! { "lease": n(id), "ttl-ms": n(ttl) }.encode())
            }
            ("POST", _, "/v1/kv-keep") => match self.lock().leases.get_mut(&lease()) {
                Some((length, until)) => {
                    *until = Instant::now() + *length;
                    (200, obj! { "ttl-ms": n(length.as_millis() as u64) }.encode())
                }
                None => (404, "{}".into()),
            },
            ("DELETE", _, "/v1/kv-lease-end") => {
                let is_ended = self.lock().end_lease(lease());
                self.state.1.notify_all();
                (if is_ended { 200 } else { 404 }, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn watch(&self, prefix: &str, after: &str, wait: &str) -> Response {
        let after: u64 = after.parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait.parse::<u64>().unwrap_or(0).min(30_000));
        let mut state = self.lock();
        loop {
            let from = state.history.partition_point(|(revision, ..)| *revision <= after);
            let later = state.history[from..].iter().filter(|(_, key, _)| key.starts_with(prefix));
            let events: Vec<J> = later
                .map(|(revision, key, item)| match item {
                    Some(item) => item.row(key),
                    None => obj! { "key": s(key.clone()), "revision": n(*revision), "deleted": J::Bool(true) },
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                return (200, obj! { "events": J::Arr(events), "as-of": n(state.revision) }.encode());
            }
            let guard = self.state.1.wait_timeout(state, deadline - now).unwrap_or_else(PoisonError::into_inner);
            state = guard.0;
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------- workers

/// What a scenario wants to know or to decide about the workers.
#[derive(Clone, Default)]
struct Rules {
    /// Jobs whose starts and ends are counted and not written to the record one by one.
    bulk: Arc<Mutex<BTreeSet<String>>>,
    /// Tickets that are valid, by step, worker and its life.
    tickets: Arc<Mutex<HashMap<(String, String, u64), String>>>,
    /// Whether starts need a ticket.
    needs_ticket: bool,
    /// Interval of checkpoints; 0 for none.
    checkpoint_ms: u64,
}

struct Run {
    number: u64,
    began: Instant,
    /// `None` for a task that lasts.
    length: Option<Duration>,
    stops_at: Option<Instant>,
    /// Work in ms that the checkpoint of its start stands for.
    resumed: u64,
}

/// A start as a worker saw it.
#[derive(Clone)]
struct Start {
    at: Duration,
    task: String,
    spec: String,
}

#[derive(Default)]
struct Fleet {
    starts: Vec<Start>,
    /// Number of runs that have ended.
    ends: usize,
    /// Starts that were rejected, by reason.
    rejected: BTreeMap<String, u64>,
    /// Number of ends that did not fit into the list of a worker.
    held_back: BTreeMap<String, usize>,
}

struct Life {
    born: u64,
    clock: Instant,
    token: u64,
    lease_until: u64,
    runs: BTreeMap<String, Run>,
    highest: HashMap<String, u64>,
    /// Ends that are not acknowledged: number, task, run, how, checkpoint.
    ends: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
}

struct Worker {
    id: String,
    machine: String,
    rack: String,
    address: SocketAddr,
    life: Mutex<Option<Life>>,
    wake: Condvar,
    server: Mutex<Option<Server>>,
}

const MAX_HOLD_MS: u64 = 6_000;
const STOP_MS: u64 = 100;
const ENDS_PER_LIST: usize = 500;

impl Life {
    fn new() -> Self {
        Self {
            born: unix_ms(),
            clock: Instant::now(),
            token: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            highest: HashMap::new(),
            ends: Vec::new(),
            last_end: 0,
        }
    }
    fn clock(&self) -> u64 {
        100_000 + self.clock.elapsed().as_millis() as u64
    }
    fn extend(&mut self, until: &J) {
        if let J::Num(until) = until {
            self.lease_until = self.lease_until.max((*until as u64).min(self.clock() + MAX_HOLD_MS));
        }
    }
    fn checkpoint(run: &Run, interval: u64) -> String {
        if interval == 0 {
            return String::new();
        }
        let worked = run.began.elapsed().as_millis() as u64 / interval * interval + run.resumed;
        if worked == 0 { String::new() } else { format!("{worked:08x}") }
    }
    fn lists(&self, interval: u64) -> String {
        let running = self.runs.iter().map(|(task, run)| {
            let done = run.began.elapsed().as_millis() as u64;
            let percent = match run.length {
                Some(length) => (done * 100 / (length.as_millis() as u64).max(1)).min(99),
                None => (done / 2).min(100),
            };
            J::Arr(vec![s(task.clone()), n(run.number), s(Self::checkpoint(run, interval)), n(percent)])
        });
        let finished = self.ends.iter().take(ENDS_PER_LIST).map(|(number, task, run, how, saved)| {
            J::Arr(vec![n(*number), s(task.clone()), n(*run), s(*how), s(saved.clone())])
        });
        obj! { "clock-ms": n(self.clock()), "born": n(self.born), "running": J::Arr(running.collect()), "finished": J::Arr(finished.collect()) }
            .encode()
    }
}

fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or_default()
}

#[derive(Clone)]
struct Workers {
    all: Arc<Vec<Arc<Worker>>>,
    fleet: Arc<Mutex<Fleet>>,
    rules: Rules,
    store: Store,
    service: String,
    capacity: u64,
}

impl Workers {
    fn start(
        net: &Net,
        store: &Store,
        service: &str,
        count: usize,
        per_rack: usize,
        capacity: u64,
        rules: Rules,
    ) -> Self {
        let all = (0..count).map(|i| {
            Arc::new(Worker {
                id: format!("i-{i:04x}"),
                machine: format!("m-{i:04x}"),
                rack: format!("r{}", i / per_rack),
                address: net.address(100 + i as u8, 8080),
                life: Mutex::new(None),
                wake: Condvar::new(),
                server: Mutex::new(None),
            })
        });
        let workers = Self {
            all: Arc::new(all.collect()),
            fleet: Arc::default(),
            rules,
            store: store.clone(),
            service: service.to_owned(),
            capacity,
        };
        for i in 0..count {
            workers.begin_life(i);
            let own = workers.clone();
            thread::spawn(move || own.advance(i));
        }
        let beats = workers.clone();
        thread::spawn(move || {
            loop {
                for worker in beats.all.iter() {
                    beats.beat(worker);
                }
                pause(1_500);
            }
        });
        workers
    }

    fn capacity_row(&self) -> J {
        obj! { "cpu": n(self.capacity), "mem-mb": n(131_072), "gpu": n(0) }
    }

    fn beat(&self, worker: &Worker) {
        let (born, clock) = match lock(&worker.life).as_ref() {
            Some(life) => (life.born, life.clock()),
            None => return,
        };
        let entry = obj! {
            "service": s(self.service.clone()), "address": s(worker.address.to_string()), "zone": s("a"), "version": s("v1"),
            "slots": n(8), "state": s("ready"), "cold-remaining-ms": n(0), "capacity": self.capacity_row(),
            "labels": J::Arr(vec![s("a"), s(worker.rack.clone())]), "clock-ms": n(clock), "seq": n(clock / 1_500),
            "born": n(born), "machine": s(worker.machine.clone()),
        };
        self.store.write(&format!("servers/{}", worker.id), &entry);
    }

    fn begin_life(&self, index: usize) {
        let worker = &self.all[index];
        *lock(&worker.life) = Some(Life::new());
        let own = self.clone();
        let server = serve(worker.address, Arc::new(move |req| own.answer(index, req)));
        *lock(&worker.server) = Some(server);
        self.beat(worker);
    }

    /// Ends a worker as a crash does, and starts it again under its id.
    fn crash(&self, index: usize, down: Duration) {
        let worker = &self.all[index];
        if let Some(server) = lock(&worker.server).take() {
            server.end();
        }
        let lost = lock(&worker.life).take().map_or(0, |life| life.runs.len());
        record(format!("worker  {} crashes with {lost} runs", worker.id));
        thread::sleep(down);
        self.begin_life(index);
        record(format!("worker  {} starts again under its id", worker.id));
    }

    /// Ends runs that are due.
    fn advance(&self, index: usize) {
        let worker = &self.all[index];
        loop {
            pause(2);
            let mut guard = lock(&worker.life);
            let Some(life) = guard.as_mut() else { continue };
            let has_lapsed = life.clock() > life.lease_until;
            let now = Instant::now();
            let due = |run: &Run| {
                if run.stops_at.is_some_and(|at| now >= at) {
                    Some("stopped")
                } else if run.length.is_some_and(|length| now >= run.began + length) {
                    Some("done")
                } else if has_lapsed {
                    Some("lapsed")
                } else {
                    None
                }
            };
            let ended: Vec<_> = life.runs.iter().filter_map(|(task, run)| Some((task.clone(), due(run)?))).collect();
            for (task, how) in ended {
                self.end_run(worker, life, &task, how);
            }
            let held_back = life.ends.len().saturating_sub(ENDS_PER_LIST);
            if held_back > 0 {
                lock(&self.fleet).held_back.insert(worker.id.clone(), held_back);
            }
        }
    }

    fn end_run(&self, worker: &Worker, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.runs.remove(task) else { return };
        life.last_end += 1;
        let saved = if how == "done" { String::new() } else { Life::checkpoint(&run, self.rules.checkpoint_ms) };
        life.ends.push((life.last_end, task.to_owned(), run.number, how, saved.clone()));
        lock(&self.fleet).ends += 1;
        if !lock(&self.rules.bulk).contains(job_of(task)) {
            let saved = if saved.is_empty() { saved } else { format!(", saved {saved}") };
            record(format!("worker  {} ends {task} run {}: {how}{saved}", worker.id, run.number));
        }
        worker.wake.notify_all();
    }

    fn answer(&self, index: usize, req: &Request) -> Response {
        let worker = &self.all[index];
        if req.path == "/healthz" {
            return (200, "{}".into());
        }
        if req.headers.get("x-expect-instance").is_some_and(|id| *id != worker.id) {
            return (421, "{}".into());
        }
        let body = J::parse(&req.body);
        let mut guard = lock(&worker.life);
        let Some(life) = guard.as_mut() else { return (503, "{}".into()) };
        let refuse =
            |life: &Life, reason: &str| (409, obj! { "clock-ms": n(life.clock()), "reason": s(reason) }.encode());
        let token = body.get("fencing-token").number();
        if token < life.token {
            return refuse(life, "fence");
        }
        life.token = token;
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
        match req.path.as_str() {
            "/v1/run-start" => {
                if body.get("deadline-ms").number() <= life.clock() {
                    return refuse(life, "late");
                }
                life.extend(body.get("deadline-ms"));
                if life.runs.get(&task).is_some_and(|r| r.number == run) {
                    return (200, obj! { "clock-ms": n(life.clock()) }.encode());
                }
                if life.highest.get(&task).is_some_and(|highest| *highest >= run) || life.runs.contains_key(&task) {
                    return refuse(life, "old");
                }
                let step = task.rsplit_once('.').map_or("", |(step, _)| step).to_owned();
                let ticket = body.get("ticket").text();
                let is_valid = || {
                    let key = (step.clone(), worker.id.clone(), life.born);
                    lock(&self.rules.tickets).get(&key).is_some_and(|known| known == ticket)
                };
                if self.rules.needs_ticket && !is_valid() {
                    *lock(&self.fleet).rejected.entry("ticket".into()).or_default() += 1;
                    record(format!("worker  {} rejects {task} run {run}: ticket {ticket}", worker.id));
                    return refuse(life, "ticket");
                }
                let checkpoint = body.get("checkpoint").text().to_owned();
                life.highest.insert(task.clone(), run);
                let resumed = u64::from_str_radix(&checkpoint, 16).unwrap_or(0);
                let spec = body.get("spec").text().to_owned();
                let length = spec.parse::<u64>().ok();
                let length = length.map(|ms| Duration::from_millis(ms.saturating_sub(resumed)));
                life.runs
                    .insert(task.clone(), Run { number: run, began: Instant::now(), length, stops_at: None, resumed });
                if !lock(&self.rules.bulk).contains(job_of(&task)) {
                    let from = if checkpoint.is_empty() { String::new() } else { format!(", checkpoint {checkpoint}") };
                    record(format!("worker  {} starts {task} run {run}, spec {spec}, token {token}{from}", worker.id));
                }
                lock(&self.fleet).starts.push(Start { at: elapsed(), task, spec });
                (200, obj! { "clock-ms": n(life.clock()) }.encode())
            }
            "/v1/run-stop" => {
                let highest = life.highest.entry(task.clone()).or_default();
                *highest = run.max(*highest);
                if let Some(found) = life.runs.get_mut(&task).filter(|r| r.number == run) {
                    found.stops_at.get_or_insert(Instant::now() + Duration::from_millis(STOP_MS));
                }
                (200, obj! { "clock-ms": n(life.clock()) }.encode())
            }
            "/v1/pace" => (200, obj! { "clock-ms": n(life.clock()) }.encode()),
            "/v1/hold" => {
                life.extend(body.get("deadline-ms"));
                let seen = body.get("last-seen").number();
                life.ends.retain(|(number, ..)| *number > seen);
                let born = life.born;
                let deadline = Instant::now() + Duration::from_millis(body.get("wait-ms").number().min(2_000));
                loop {
                    let Some(life) = guard.as_ref().filter(|life| life.born == born) else { return (503, "{}".into()) };
                    let now = Instant::now();
                    if !life.ends.is_empty() || now >= deadline {
                        return (200, life.lists(self.rules.checkpoint_ms));
                    }
                    guard = worker.wake.wait_timeout(guard, deadline - now).unwrap_or_else(PoisonError::into_inner).0;
                }
            }
            _ => (404, "{}".into()),
        }
    }

    fn machines(&self) -> Response {
        let row = |w: &Arc<Worker>| {
            let state = if lock(&w.life).is_some() { "up" } else { "down" };
            obj! {
                "machine": s(w.machine.clone()), "pool": s(self.service.clone()), "state": s(state), "zone": s("a"),
                "labels": J::Arr(vec![s("a"), s(w.rack.clone())]), "capacity": self.capacity_row(), "id": s(w.id.clone()),
            }
        };
        (200, obj! { "machines": J::Arr(self.all.iter().map(row).collect()), "next-token": J::Null }.encode())
    }

    /// Tasks of a job that run now.
    fn running(&self, job: &str) -> Vec<String> {
        let lives = self.all.iter().map(|worker| lock(&worker.life));
        lives
            .flat_map(|life| life.as_ref().map(|l| l.runs.keys().cloned().collect::<Vec<_>>()).unwrap_or_default())
            .filter(|task| job_of(task) == job)
            .collect()
    }
}

// ---------------------------------------------------------------------------------------------------------------- nodes

/// Loopback addresses of one run.
#[derive(Clone)]
struct Net {
    prefix: (u8, u8),
}

impl Net {
    fn choose() -> Self {
        let start = u64::from(std::process::id()) ^ unix_ms();
        for attempt in 0..1_000 {
            let at = start.wrapping_add(attempt * 7_919) % (200 * 250);
            let net = Self { prefix: (20 + (at / 250) as u8, 1 + (at % 250) as u8) };
            let is_free = |host: u8, port: u16| TcpListener::bind(net.address(host, port)).is_ok();
            if [1, 2, 3, 4, 5, 6].iter().all(|h| [7000, 7001, 8340, 8343].iter().all(|p| is_free(*h, *p)))
                && [10, 11, 12].iter().all(|h| is_free(*h, 8344))
                && (100..112).all(|h| is_free(h, 8080))
            {
                return net;
            }
        }
        give_up("no free loopback addresses")
    }

    fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.prefix.0, self.prefix.1, host)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip(host), port))
    }
}

const MEMORY_MB: u64 = 260;

/// Processes of the product, each restarted after it ends and killed if it exceeds `memory-mb`, as the pages say.
#[derive(Clone)]
struct Nodes {
    net: Net,
    product: String,
    pids: String,
    folder: String,
    children: Arc<Mutex<Vec<Option<Child>>>>,
    /// Number of machines that were there before the present ones.
    earlier: Arc<AtomicU64>,
    stopping: Arc<AtomicBool>,
    over_memory: Arc<AtomicU64>,
    exits: Arc<AtomicU64>,
    peak_mb: Arc<AtomicU64>,
}

const NODES: usize = 3;

impl Nodes {
    fn start(net: &Net, product: &str, pids: &str, folder: &str) -> Self {
        let nodes = Self {
            net: net.clone(),
            product: product.to_owned(),
            pids: pids.to_owned(),
            folder: folder.to_owned(),
            children: Arc::new(Mutex::new((0..NODES).map(|_| None).collect())),
            earlier: Arc::default(),
            stopping: Arc::default(),
            over_memory: Arc::default(),
            exits: Arc::default(),
            peak_mb: Arc::default(),
        };
        for index in 0..NODES {
            nodes.spawn(index, true);
            let own = nodes.clone();
            thread::spawn(move || own.supervise(index));
        }
        nodes
    }

    fn settings(&self, index: usize, is_first: bool) -> String {
        let (ip, index) = (self.net.ip(self.host(index)), self.number(index));
        let (store, cloud, advice) =
            (self.net.address(10, 8344), self.net.address(11, 8344), self.net.address(12, 8344));
        format!(
            r#"node-name = "edge-{index}"
role = "entry"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "a"
region = "r"
internal-port-range = [7000,7015]
seeds = []
bootstrap = {is_first}
fault-counted = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
control-mode = "request"
advice = "{advice}"
[zones]
a = "r"
[listen]
frontend = "{ip}:8340"
readiness = "{ip}:8343"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = {MEMORY_MB}
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
contact-ms = 3000
grace-s = 6
revoke-fail-closed = true
revoke-ms = 5000
max-hold-ms = 6000
stop-timeout-ms = 900
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
migrate-s = 1.5
maintenance-s = 2
lease-ms = 3000
[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
min-ttl-ms = 1000
[cloud-api]
address = "{cloud}"
rate-per-s = 64.0
duties = []
duty-per-s = 64.0
"#
        )
    }

    fn spawn(&self, index: usize, is_first: bool) {
        let path = format!("{}/boot-{index}.toml", self.folder);
        fs::write(&path, self.settings(index, is_first)).unwrap_or_else(|e| give_up(&format!("{path}: {e}")));
        let log = fs::OpenOptions::new().create(true).append(true).open(format!("{}/node-{index}.log", self.folder));
        let log = log.unwrap_or_else(|e| give_up(&format!("the log of a node: {e}")));
        let child = Command::new(&self.product)
            .arg("node")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", &self.folder)
            .env("CARAWAYBARROW_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a file can be cloned"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| give_up(&format!("{}: {e}", self.product)));
        if let Ok(mut pids) = fs::OpenOptions::new().create(true).append(true).open(&self.pids) {
            let _ = writeln!(pids, "{}", child.id());
        }
        record(format!("node    edge-{} starts", self.number(index)));
        lock(&self.children)[index] = Some(child);
    }

    fn supervise(&self, index: usize) {
        loop {
            pause(50);
            if self.stopping.load(Ordering::SeqCst) {
                return;
            }
            let mut children = lock(&self.children);
            let Some(child) = children[index].as_mut() else { continue };
            let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
            let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
            let mb = resident.trim().trim_end_matches(" kB").parse::<u64>().unwrap_or(0) / 1_024;
            self.peak_mb.fetch_max(mb, Ordering::SeqCst);
            if mb > MEMORY_MB {
                self.over_memory.fetch_add(1, Ordering::SeqCst);
                record(format!("node    edge-{index} uses {mb} MB, memory-mb is {MEMORY_MB}: killed"));
                let _ = child.kill();
            }
            if let Ok(Some(status)) = child.try_wait() {
                self.exits.fetch_add(1, Ordering::SeqCst);
                record(format!("node    edge-{index} ended: {status}"));
                children[index] = None;
                drop(children);
                pause(500);
                if !self.stopping.load(Ordering::SeqCst) {
                    self.spawn(index, false);
                }
            }
        }
    }

    fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        for child in lock(&self.children).iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Number of a machine, in the order in which they came.
    fn number(&self, index: usize) -> usize {
        self.earlier.load(Ordering::SeqCst) as usize + index % NODES
    }

    fn host(&self, index: usize) -> u8 {
        1 + self.number(index) as u8
    }

    fn address(&self, index: usize) -> SocketAddr {
        self.net.address(self.host(index), 8340)
    }

    /// All machines lose their power at the same moment.
    fn lose_all(&self) {
        let mut children = lock(&self.children);
        for child in children.iter_mut() {
            if let Some(mut child) = child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        record("nodes   all machines lose power");
    }

    /// Machines come: the same ones again, or as many others at other addresses.
    fn come(&self, are_others: bool) {
        if are_others {
            self.earlier.fetch_add(NODES as u64, Ordering::SeqCst);
        }
        for index in 0..NODES {
            self.spawn(index, false);
        }
    }

    /// Waits until all nodes are ready.
    fn wait_ready(&self) {
        let deadline = Instant::now() + Duration::from_secs(15);
        for index in 0..NODES {
            let address = self.net.address(self.host(index), 8343);
            while !matches!(call(address, "GET", "/v1/readyz", "x", "", ""), Some((200, _))) {
                if Instant::now() > deadline {
                    give_up("the nodes are not ready after 15 s");
                }
                pause(100);
            }
        }
        record("nodes   all are ready");
    }
}

fn give_up(reason: &str) -> ! {
    record(format!("the case can't run: {reason}"));
    eprintln!("the case can't run: {reason}");
    std::process::exit(2);
}

// ---------------------------------------------------------------------------------------------------------------- clients

struct Client {
    nodes: Nodes,
    next: u64,
}

impl Client {
    fn new(nodes: &Nodes) -> Self {
        Self { nodes: nodes.clone(), next: unix_ms() % 1_000_000 }
    }

    fn new_id(&mut self) -> String {
        self.next += 1;
        format!("{:016x}", self.next.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    fn call(&self, node: usize, method: &str, path: &str, key: &str, body: &str) -> Option<(u16, J)> {
        let answer = call(self.nodes.address(node), method, path, HOST, key, body);
        let text = match &answer {
            Some((status, body)) => format!("{status} {}", body.encode()),
            None => "no answer".to_owned(),
        };
        let body = if body.len() > 300 { format!("{} bytes", body.len()) } else { body.to_owned() };
        record(format!("client  {method} {path} {key} {body} at edge-{} -> {text}", self.nodes.number(node)));
        answer
    }

    /// Submits a job as the pages' clients do: after no answer, a 502 or a 504 it is sent again with the same ID.
    fn submit(&self, node: usize, path: &str, key: &str, body: &str) -> bool {
        for attempt in 0..3 {
            match self.call(node + attempt, "POST", path, key, body) {
                Some((200..=299, _)) => return true,
                Some((502 | 504, _)) | None => pause(200),
                Some(_) => return false,
            }
        }
        false
    }

    fn state(&self, node: usize, path: &str, key: &str) -> Option<(u16, String)> {
        let (status, body) = self.call(node, "GET", path, key, "")?;
        Some((status, body.get("state").text().to_owned()))
    }

    /// Asks for a state at one node after the other until one gives it.
    fn any_state(&self, path: &str, key: &str) -> Option<String> {
        for node in 0..NODES {
            if let Some((200, state)) = self.state(node, path, key) {
                return Some(state);
            }
        }
        None
    }
}

const HOST: &str = "jobs.example";
const SERVICE: &str = "pool1";

fn write_config(store: &Store, queues: &[(&str, bool)], teams: &[(&str, &str)]) {
    let route = |(name, has_advice): &(&str, bool)| {
        let mut fields = vec![
            ("name".to_owned(), s(*name)),
            ("host".to_owned(), s(HOST)),
            ("prefix".to_owned(), s(format!("/{name}/"))),
            ("kind".to_owned(), s("non_idempotent")),
            ("timeout-ms".to_owned(), n(3_000)),
            ("target-duration-ms".to_owned(), n(600)),
            ("priority".to_owned(), n(0)),
            ("service".to_owned(), s(SERVICE)),
            ("max-attempts".to_owned(), n(3)),
            ("stretch-factor".to_owned(), J::Num(1.6)),
            ("public".to_owned(), J::Bool(false)),
        ];
        if *has_advice {
            let advice = obj! { "decision-ms": n(DECISION_MS), "period-ms": n(PERIOD_MS), "valid-ms": n(TICKET_MS) };
            fields.push(("advice".to_owned(), advice));
        }
        J::Obj(fields)
    };
    let tenant = |(name, key): &(&str, &str)| {
        obj! { "name": s(*name), "api-keys": J::Arr(vec![s(*key)]), "priority": n(1), "weight": n(50), "ceiling": obj! { "cpu": n(0), "mem-mb": n(0), "gpu": n(0) } }
    };
    let config = obj! {
        "version": n(7),
        "routes": J::Arr(queues.iter().map(route).collect()),
        "services": J::Arr(vec![obj! {
            "name": s(SERVICE), "health-path": s("/healthz"), "max-conns": n(64), "protocol": s("h1"), "tls": J::Bool(false),
            "admission-check": J::Bool(false), "standby": J::Bool(false),
        }]),
        "limits": obj! { "max-header-bytes": n(16_384), "max-body-bytes": n(262_144), "header-timeout-ms": n(3_000), "idle-timeout-ms": n(15_000) },
        "tenants": J::Arr(teams.iter().map(tenant).collect()),
    };
    store.write("op/config", &config);
}

/// Times of the advice service, as the configuration names them.
const DECISION_MS: u64 = 800;
const PERIOD_MS: u64 = 20;
const TICKET_MS: u64 = 30_000;

/// Calls that may wait for the advice service.
const ADVICE_WAITING: usize = 32;

// ---------------------------------------------------------------------------------------------------------------- cases

struct Stage {
    store: Store,
    workers: Workers,
    nodes: Nodes,
    is_troubled: bool,
}

struct Setup {
    product: String,
    pids: String,
    folder: String,
}

impl Setup {
    fn run(
        &self,
        queues: &[(&str, bool)],
        teams: &[(&str, &str)],
        count: usize,
        per_rack: usize,
        capacity: u64,
        rules: Rules,
    ) -> Stage {
        let net = Net::choose();
        let store = Store::start(net.address(10, 8344));
        write_config(&store, queues, teams);
        let workers = Workers::start(&net, &store, SERVICE, count, per_rack, capacity, rules);
        let list = workers.clone();
        serve(
            net.address(11, 8344),
            Arc::new(move |req| match req.path.as_str() {
                "/v1/machines" => list.machines(),
                // The only pool is full already, so a move changes nothing.
                _ => (409, obj! { "reason": s("busy") }.encode()),
            }),
        );
        let advice = workers.clone();
        let service = Advice::default();
        serve(net.address(12, 8344), Arc::new(move |req| service.answer(&advice, req)));
        let nodes = Nodes::start(&net, &self.product, &self.pids, &self.folder);
        let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
        nodes.wait_ready();
        pause(3_000);
        Stage { store, workers, nodes, is_troubled }
    }
}

/// The advice service: one call at a time for each calling machine, in turn. Calls that their caller has abandoned are
/// dropped at once. The policy allows the workers of rack r0, which does not change.
#[derive(Default)]
struct Advice {
    /// Calls that wait or are being handled, by calling machine, the oldest first.
    calls: Mutex<HashMap<String, Vec<u64>>>,
    next: AtomicU64,
}

impl Advice {
    fn answer(&self, workers: &Workers, req: &Request) -> Response {
        let body = J::parse(&req.body);
        let asked = body.get("workers").rows();
        let step = body.get("step").text();
        let machine =
            req.stream.as_ref().and_then(|s| s.peer_addr().ok()).map(|a| a.ip().to_string()).unwrap_or_default();
        let id = self.next.fetch_add(1, Ordering::SeqCst);
        {
            let mut calls = lock(&self.calls);
            let queue = calls.entry(machine.clone()).or_default();
            if queue.len() > ADVICE_WAITING {
                record(format!("advice  {step}: 429"));
                return (429, "{}".into());
            }
            queue.push(id);
        }
        let asked_at = Instant::now();
        let mut began = None;
        let time = Duration::from_millis(DECISION_MS + PERIOD_MS * asked.len() as u64);
        let is_answered = loop {
            if req.is_abandoned() {
                break false;
            }
            if began.is_none() && lock(&self.calls).get(&machine).and_then(|q| q.first()) == Some(&id) {
                began = Some(Instant::now());
            }
            if began.is_some_and(|at| at.elapsed() >= time) {
                break true;
            }
            pause(2);
        };
        if let Some(queue) = lock(&self.calls).get_mut(&machine) {
            queue.retain(|other| *other != id);
        }
        let waited = began.map_or(asked_at.elapsed(), |at| at - asked_at).as_millis();
        if !is_answered {
            let how = if began.is_some() { "while it was handled" } else { "while it waited" };
            record(format!(
                "advice  {step} on {} workers: abandoned by its caller after {} ms, {how}",
                asked.len(),
                asked_at.elapsed().as_millis()
            ));
            return (503, "{}".into());
        }
        let mut allowed = Vec::new();
        for worker in workers.all.iter().filter(|w| w.rack == "r0" && asked.iter().any(|a| a.text() == w.id)) {
            let Some(born) = lock(&worker.life).as_ref().map(|l| l.born) else { continue };
            let ticket = format!("t-{}-{born:x}", worker.id);
            lock(&workers.rules.tickets).insert((step.to_owned(), worker.id.clone(), born), ticket.clone());
            allowed.push(J::Arr(vec![s(worker.id.clone()), s(ticket)]));
        }
        record(format!(
            "advice  {step} on {} workers: {} allowed, after a wait of {waited} ms and {} ms",
            asked.len(),
            allowed.len(),
            time.as_millis()
        ));
        (200, obj! { "allowed": J::Arr(allowed), "valid-ms": n(TICKET_MS) }.encode())
    }
}

fn job(spec: &str, count: u64, cpu: u64, estimate: u64, more: &str) -> String {
    format!(
        r#"{{"spec":"{spec}","steps":[{{"count":{count},"cpu":{cpu},"mem-mb":100,"estimate-ms":{estimate}}}]{more}}}"#
    )
}

fn verdict(broken: &[String]) -> i32 {
    for line in broken {
        record(format!("BROKEN  {line}"));
        println!("{line}");
    }
    let text = if broken.is_empty() { "the rule held" } else { "the rule was broken" };
    record(text);
    println!("{text}");
    i32::from(!broken.is_empty())
}

include!("cases.rs");

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, product, record_path, pids] = args.as_slice() else {
        eprintln!("usage: rig CASE PRODUCT RECORD PIDS");
        std::process::exit(2);
    };
    STARTED.get_or_init(Instant::now);
    *lock(&RECORD) = File::create(record_path).ok();
    let folder = std::path::Path::new(pids).parent().map(|p| p.display().to_string()).unwrap_or_default();
    let setup = Setup { product: product.clone(), pids: pids.clone(), folder };
    let (stage, code) = run_case(case, &setup);
    stage.nodes.stop();
    let fleet = lock(&stage.workers.fleet);
    let (largest, refused) = {
        let state = stage.store.lock();
        (state.largest_value, state.refused_values)
    };
    record(format!(
        "totals  {} starts, {} ends, rejected {:?}; nodes ended {} times, {} times over memory, peak {} MB; largest value {largest} bytes, {refused} refused",
        fleet.starts.len(),
        fleet.ends,
        fleet.rejected,
        stage.nodes.exits.load(Ordering::SeqCst),
        stage.nodes.over_memory.load(Ordering::SeqCst),
        stage.nodes.peak_mb.load(Ordering::SeqCst),
    ));
    std::process::exit(code);
}
