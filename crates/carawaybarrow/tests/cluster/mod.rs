//! A small installation: stand-ins for the platform in the test's process, entries as processes of their own.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::collections::BTreeMap;
use std::fs::File;
use std::future::Future;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_core::keys::KeyHash;
use carawaybarrow_testbed::client::{Client, Reply};
use carawaybarrow_testbed::store::{self, Limits};
use carawaybarrow_testbed::submit::{Caller, Job, Outcome};
use carawaybarrow_testbed::vms::{self, Vm, VmState};
use carawaybarrow_testbed::worker::{self, Options, Tally};
use http_types::Method;
use serde_json::{Value, json};

/// Time within which a condition has to come true.
pub const BOUND: Duration = Duration::from_secs(30);

/// Entry processes of one test file that run at the same time; further clusters wait for their turn.
const MAX_ENTRIES: usize = 12;

/// Entry processes that clusters of this test file have reserved.
static RESERVED: Mutex<usize> = Mutex::new(0);

/// Tells waiting clusters that one has ended.
static ENDED: Condvar = Condvar::new();

/// Any free port of the loopback interface.
const ANY: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// Secret of the operator of all entries.
pub const OPERATOR_SECRET: &str = "operator-secret-for-tests";

/// Polls until the probe gives a value.
pub async fn poll_until<T, F: Future<Output = Option<T>>>(what: &str, mut probe: impl FnMut() -> F) -> T {
    let ends = Instant::now() + BOUND;
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(Instant::now() < ends, "not within {BOUND:?}: {what}");
        task::sleep(Duration::from_millis(10)).await;
    }
}

/// Makes a control call to a stand-in.
pub async fn control(addr: SocketAddr, name: &str, body: &Value) {
    let reply = Client::new().post(addr, &format!("/control/{name}"), &body.to_string()).await.expect("an answer");
    assert_eq!(reply.status, 200, "{name}: {}", reply.text());
}

/// Undoes a control call to a stand-in.
pub async fn end_control(addr: SocketAddr, name: &str) {
    let path = format!("/control/{name}");
    let reply = Client::new().call(addr, Method::Delete, &path, &[], "").await.expect("an answer");
    assert_eq!(reply.status, 200, "{name}: {}", reply.text());
}

/// The right to run entry processes. It blocks the thread of its test only.
struct Turn {
    entries: usize,
}

impl Turn {
    fn wait(entries: usize) -> Self {
        let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
        while *reserved > 0 && *reserved + entries > MAX_ENTRIES {
            reserved = ENDED.wait(reserved).unwrap_or_else(PoisonError::into_inner);
        }
        *reserved += entries;
        Self { entries }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *RESERVED.lock().unwrap_or_else(PoisonError::into_inner) -= self.entries;
        ENDED.notify_all();
    }
}

/// An entry process. It is killed when the test ends.
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    child: Child,
}

impl Entry {
    fn start(name: &str, settings: PathBuf, log: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_carawaybarrow"))
            .arg("serve")
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .stderr(File::options().create(true).append(true).open(log).expect("a log file"))
            .spawn()
            .expect("the binary starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("a pipe");
        BufReader::new(stdout).read_line(&mut line).expect("a line");
        let line: Value = serde_json::from_str(&line).expect("the entry prints its addresses");
        let read = |field: &str| line[field].as_str().and_then(|a| a.parse().ok()).expect("an address");
        Self { name: name.to_owned(), callers: read("listening"), peers: read("peers"), settings, child }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(status.expect("kill runs").success(), "signal {name} to {}", self.name);
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process runs");
        self.child.wait().expect("the process ends");
    }

    /// Waits for the end of the process and tells whether it ended well.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("the process ends").success()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // An error means that the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The whole installation.
pub struct Cluster {
    pub store: SocketAddr,
    pub vms: SocketAddr,
    pub workers: Vec<SocketAddr>,
    pub entries: Vec<Entry>,
    pub tally: Tally,
    client: Client,
    dir: PathBuf,
    // The last field, so that it is dropped after the entries.
    _turn: Turn,
}

impl Cluster {
    /// Starts stand-ins with this many workers and no limits of the store's rate, and this many entries.
    pub async fn start(name: &str, entries: usize, workers: usize) -> Self {
        Self::start_with(name, entries, workers, Limits { writes: 1e9, reads: 1e9 }).await
    }

    /// Starts stand-ins and entries.
    pub async fn start_with(name: &str, entries: usize, workers: usize, limits: Limits) -> Self {
        let turn = Turn::wait(entries);
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory for settings and logs");
        let store = store::start(ANY.into(), limits).await.expect("a free port");
        let tally = Tally::default();
        let mut listed = Vec::new();
        for i in 0..workers {
            listed.push(start_worker(i, &tally).await);
        }
        let addresses = listed.iter().map(|vm| vm.address).collect();
        let vms = vms::start(ANY.into(), listed, Duration::from_millis(500)).await.expect("a free port");
        let client = Client::new().with_timeout(Duration::from_secs(20));
        let mut cluster = Self { store, vms, workers: addresses, entries: Vec::new(), tally, client, dir, _turn: turn };
        for i in 0..entries {
            cluster.add_entry(&format!("e{}", i + 1), &json!({}));
        }
        cluster
    }

    /// Starts another entry, with further settings.
    pub fn add_entry(&mut self, name: &str, further: &Value) {
        let number = self.entries.len();
        let mut settings = json!({
            "entry": name,
            "data_centre": format!("dc{}", number % 3 + 1),
            "callers": "127.0.0.1:0",
            "peers": "127.0.0.1:0",
            "store": self.store.to_string(),
            "vm_list": self.vms.to_string(),
            "operators": [{ "name": "ana", "key_sha256": KeyHash::of_secret(OPERATOR_SECRET).to_string() }],
            "drain_delay": "100ms",
        });
        let fields = settings.as_object_mut().expect("an object");
        for (key, value) in further.as_object().expect("an object") {
            fields.insert(key.clone(), value.clone());
        }
        let path = self.dir.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("a settings file");
        let log = self.dir.join(format!("{name}.log"));
        self.entries.push(Entry::start(name, path, &log));
    }

    /// Starts an entry again under its name.
    pub fn restart_entry(&mut self, number: usize) {
        let old = &self.entries[number];
        let (name, settings) = (old.name.clone(), old.settings.clone());
        let log = self.dir.join(format!("{name}.log"));
        self.entries[number] = Entry::start(&name, settings, &log);
    }

    /// Addresses of the entries for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.callers).collect()
    }

    /// A caller that may use all entries.
    pub fn caller(&self, secret: &str) -> Caller {
        Caller::new(&self.callers()).with_key(Some(secret.to_owned())).with_wait_durable(BOUND)
    }

    /// A call to an entry with a key.
    pub async fn call(&self, number: usize, method: Method, path: &str, secret: &str, body: &str) -> Reply {
        let bearer = format!("Bearer {secret}");
        let headers = [("authorization", bearer.as_str())];
        // The future is large, and tests nest many of them on the small stack of their thread.
        let call = self.client.call(self.entries[number].callers, method, path, &headers, body);
        Box::pin(call).await.expect("an answer")
    }

    /// A call of an operator to an entry.
    pub async fn operate(&self, number: usize, method: Method, path: &str, body: &Value) -> Reply {
        self.call(number, method, path, OPERATOR_SECRET, &body.to_string()).await
    }

    /// Makes a change of the configuration that must be accepted.
    pub async fn change(&self, change: Value) -> Value {
        let reply = self.operate(0, Method::Post, "/v1/config/changes", &json!({ "change": change })).await;
        assert_eq!(reply.status, 200, "{change}: {}", reply.text());
        reply.json().expect("JSON")
    }

    /// State of an entry.
    pub async fn status(&self, number: usize) -> Value {
        self.operate(number, Method::Get, "/v1/status", &json!({})).await.json().expect("JSON")
    }

    /// Gives a key with this secret to a team.
    pub async fn give_key(&self, id: &str, team: &str, secret: &str) {
        let hash = KeyHash::of_secret(secret).to_string();
        self.change(json!({ "change": "give_key", "id": id, "value": { "team": team, "hash": hash } })).await;
    }

    /// Sets up classes, a pool with all workers, the queues `clips` (urgent), `masters` (patient, not idempotent) and
    /// `archive` (patient, idempotent), and the team `clinic` with the key secret `clinic-secret-0123`.
    pub async fn configure(&self, limit: u32) {
        let baseline = self.workers.len();
        for change in [
            json!({ "change": "set_class", "id": "urgent", "value": { "target": { "kind": "within", "ms": 1100 } } }),
            json!({ "change": "set_class", "id": "patient", "value": { "target": { "kind": "eventually" } } }),
            json!({ "change": "set_pool", "id": "render", "value": { "min_available": 70, "baseline": baseline } }),
            json!({ "change": "set_pool", "id": "spare", "value": { "min_available": 0, "spare": true } }),
            json!({ "change": "set_team", "id": "clinic", "value": { "share": 50, "limit": limit } }),
            json!({ "change": "set_queue", "id": "clips",
                "value": { "class": "urgent", "pool": "render", "idempotent": true } }),
            json!({ "change": "set_queue", "id": "masters", "value": { "class": "patient", "pool": "render" } }),
            json!({ "change": "set_queue", "id": "archive",
                "value": { "class": "patient", "pool": "render", "idempotent": true } }),
        ] {
            self.change(change).await;
        }
        self.give_key("clinic-1", "clinic", CLINIC_SECRET).await;
        self.wait_for_slots().await;
    }

    /// Waits until each entry has answered an urgent job, which takes a registered worker and a permit.
    pub async fn wait_for_slots(&self) {
        for entry in &self.entries {
            let caller = Caller::new(&[entry.callers]).with_key(Some(CLINIC_SECRET.to_owned()));
            poll_until(&format!("{} serves", entry.name), || async {
                matches!(caller.submit(&clip("warm-up", 1)).await, Outcome::Served).then_some(())
            })
            .await;
        }
    }

    /// How often jobs with this mark were started on all workers.
    pub async fn count_starts(&self, mark: &str) -> usize {
        self.starts().await.get(mark).copied().unwrap_or(0)
    }

    /// How often jobs were started on all workers, by mark.
    pub async fn starts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for worker in &self.workers {
            let reply = self.client.get(*worker, "/control/starts").await.expect("an answer");
            let starts: Vec<Value> = reply.json().expect("JSON");
            for mark in starts.iter().filter_map(|start| start["mark"].as_str()) {
                *counts.entry(mark.to_owned()).or_default() += 1;
            }
        }
        counts
    }

    /// When the last task of a team was started on any worker, in ms since the Unix epoch.
    pub async fn last_start(&self, team: &str) -> u64 {
        let mut last = 0;
        for worker in &self.workers {
            let reply = self.client.get(*worker, "/control/starts").await.expect("an answer");
            let starts: Vec<Value> = reply.json().expect("JSON");
            let own = starts.iter().filter(|start| start["team"] == team);
            last = last.max(own.filter_map(|start| start["at_ms"].as_u64()).max().unwrap_or(0));
        }
        last
    }

    /// Tasks of a team that run on all workers together now.
    pub fn running(&self, team: &str) -> u64 {
        self.tally.counts().get(team).map_or(0, |running| running.now)
    }

    /// Submits jobs again and again until the flood is ended. Each caller uses all entries.
    pub fn flood(&self, callers: usize, make: impl Fn(usize) -> Job + Send + Sync + 'static) -> Flood {
        self.flood_with(&self.caller(CLINIC_SECRET), callers, make)
    }

    /// Like [`Self::flood`] with callers like the given one.
    pub fn flood_with(
        &self,
        caller: &Caller,
        callers: usize,
        make: impl Fn(usize) -> Job + Send + Sync + 'static,
    ) -> Flood {
        let (stop, make, next) = (Arc::new(AtomicBool::new(false)), Arc::new(make), Arc::new(AtomicUsize::new(0)));
        let tasks = (0..callers)
            .map(|_| {
                let caller = caller.clone();
                let (stop, make, next) = (Arc::clone(&stop), Arc::clone(&make), Arc::clone(&next));
                task::spawn(async move {
                    let mut outcomes = Vec::new();
                    while !stop.load(Ordering::Relaxed) {
                        let job = make(next.fetch_add(1, Ordering::Relaxed));
                        let outcome = caller.submit(&job).await;
                        if !matches!(outcome, Outcome::Served) {
                            // A refused caller doesn't come back at once.
                            task::sleep(Duration::from_millis(20)).await;
                        }
                        outcomes.push((job, outcome));
                    }
                    outcomes
                })
            })
            .collect();
        Flood { stop, tasks }
    }

    /// Most running tasks of a team at any time on all workers together.
    pub async fn peak(&self, team: &str) -> u64 {
        let reply = self.client.get(self.workers[0], "/control/peaks").await.expect("an answer");
        let peaks: Value = reply.json().expect("JSON");
        peaks["process"][team]["peak"].as_u64().unwrap_or(0)
    }
}

/// Callers that submit jobs until they are told to end.
pub struct Flood {
    stop: Arc<AtomicBool>,
    tasks: Vec<task::JoinHandle<Vec<(Job, Outcome)>>>,
}

impl Flood {
    /// Ends the flood and returns the jobs and their outcomes.
    pub async fn end(self) -> Vec<(Job, Outcome)> {
        self.stop.store(true, Ordering::Relaxed);
        let mut outcomes = Vec::new();
        for handle in self.tasks {
            outcomes.extend(handle.await);
        }
        outcomes
    }
}

/// Secret of the key of the team `clinic`.
pub const CLINIC_SECRET: &str = "clinic-secret-0123";

/// An urgent job.
pub fn clip(mark: &str, run_ms: u64) -> Job {
    job("clips", mark, run_ms)
}

/// A job with a mark.
pub fn job(queue: &str, mark: &str, run_ms: u64) -> Job {
    let payload = json!({ "run_ms": run_ms, "answer_bytes": 500, "mark": mark }).to_string();
    Job { queue: queue.into(), payload, ..Job::default() }
}

/// A job with a mark that is also its request id.
pub fn named(queue: &str, mark: &str, run_ms: u64) -> Job {
    Job { request_id: Some(mark.into()), ..job(queue, mark, run_ms) }
}

async fn start_worker(number: usize, tally: &Tally) -> Vm {
    let (data_centre, rack) = (format!("dc{}", number % 3 + 1), format!("r{}", number / 4 + 1));
    let options = Options {
        vm: format!("vm-{}", number + 1).into(),
        data_centre: data_centre.clone().into(),
        rack: rack.clone().into(),
        reboot_duration: Duration::from_millis(300),
        ..Options::default()
    };
    let vm = options.vm.clone();
    let address = worker::start(ANY.into(), options, tally.clone()).await.expect("a free port");
    Vm { vm, address, data_centre: data_centre.into(), rack: rack.into(), state: VmState::Live }
}
