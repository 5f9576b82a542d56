//! A small installation: stand-ins for the platform in the test's process, and entries as separate processes.
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

/// Maximum time until a polled condition holds.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of entry processes that one test file runs at the same time; further clusters wait.
const MAX_ENTRIES: usize = 12;

/// Number of entry processes that clusters of this test file have reserved.
static RESERVED_ENTRIES: Mutex<usize> = Mutex::new(0);

/// Wakes waiting clusters when a reservation is released.
static RESERVATION_RELEASED: Condvar = Condvar::new();

/// Any free port of the loopback interface.
const ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// Secret of the operator of all entries.
pub const OPERATOR_SECRET: &str = "operator-secret-for-tests";

/// Calls the probe until it returns a value. `condition` describes the condition in the failure message.
pub async fn poll_until<T, F: Future<Output = Option<T>>>(condition: &str, mut probe: impl FnMut() -> F) -> T {
    let deadline = Instant::now() + POLL_TIMEOUT;
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(Instant::now() < deadline, "not within {POLL_TIMEOUT:?}: {condition}");
        task::sleep(Duration::from_millis(10)).await;
    }
}

/// Makes a control call to a stand-in.
pub async fn control(addr: SocketAddr, name: &str, body: &Value) {
    let reply = Client::new().post(addr, &format!("/control/{name}"), &body.to_string()).await.expect("a response");
    assert_eq!(reply.status, 200, "{name}: {}", reply.text());
}

/// Resets what a control call to a stand-in has set.
pub async fn end_control(addr: SocketAddr, name: &str) {
    let path = format!("/control/{name}");
    let reply = Client::new().call(addr, Method::Delete, &path, &[], "").await.expect("a response");
    assert_eq!(reply.status, 200, "{name}: {}", reply.text());
}

/// A reservation of entry processes. Waiting for it blocks only the thread of its test.
struct EntryReservation {
    entries: usize,
}

impl EntryReservation {
    fn acquire(entries: usize) -> Self {
        let mut reserved = RESERVED_ENTRIES.lock().unwrap_or_else(PoisonError::into_inner);
        while *reserved > 0 && *reserved + entries > MAX_ENTRIES {
            reserved = RESERVATION_RELEASED.wait(reserved).unwrap_or_else(PoisonError::into_inner);
        }
        *reserved += entries;
        Self { entries }
    }
}

impl Drop for EntryReservation {
    fn drop(&mut self) {
        *RESERVED_ENTRIES.lock().unwrap_or_else(PoisonError::into_inner) -= self.entries;
        RESERVATION_RELEASED.notify_all();
    }
}

/// An entry process. It is killed on drop.
pub struct Entry {
    pub name: String,
    /// Address for callers and operators.
    pub caller_address: SocketAddr,
    /// Address for other entries.
    pub peer_address: SocketAddr,
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
        Self { name: name.to_owned(), caller_address: read("listening"), peer_address: read("peers"), settings, child }
    }

    /// Sends the signal `name`, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(status.expect("kill runs").success(), "signal {name} to {}", self.name);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process runs");
        self.child.wait().expect("the process ends");
    }

    /// Waits for the end of the process. Returns whether its exit status is success.
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

/// Stand-ins for the platform and the entries that use them.
pub struct Cluster {
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the VM list.
    pub vm_list: SocketAddr,
    /// Addresses of the workers.
    pub workers: Vec<SocketAddr>,
    pub entries: Vec<Entry>,
    /// Running tasks of all workers, by team.
    pub tally: Tally,
    client: Client,
    dir: PathBuf,
    // Fields are dropped in order, so the reservation is released after the entries are killed.
    _reservation: EntryReservation,
}

impl Cluster {
    /// Starts stand-ins, with a store of unlimited rate, and entries.
    pub async fn start(name: &str, entries: usize, workers: usize) -> Self {
        Self::start_with(name, entries, workers, Limits { writes: 1e9, reads: 1e9 }).await
    }

    /// Starts stand-ins, with rate limits of the store, and entries.
    pub async fn start_with(name: &str, entries: usize, workers: usize, limits: Limits) -> Self {
        let reservation = EntryReservation::acquire(entries);
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory for settings and logs");
        let store = store::start(ANY_PORT.into(), limits).await.expect("a free port");
        let tally = Tally::default();
        let mut listed_vms = Vec::new();
        for i in 0..workers {
            listed_vms.push(start_worker(i, &tally).await);
        }
        let addresses = listed_vms.iter().map(|vm| vm.address).collect();
        let vm_list = vms::start(ANY_PORT.into(), listed_vms, Duration::from_millis(500)).await.expect("a free port");
        let client = Client::new().with_timeout(Duration::from_secs(20));
        let mut cluster = Self {
            store,
            vm_list,
            workers: addresses,
            entries: Vec::new(),
            tally,
            client,
            dir,
            _reservation: reservation,
        };
        for i in 0..entries {
            cluster.add_entry(&format!("e{}", i + 1), &json!({}));
        }
        cluster
    }

    /// Starts another entry. The extra settings replace the default ones of the same name.
    pub fn add_entry(&mut self, name: &str, extra_settings: &Value) {
        let index = self.entries.len();
        let mut settings = json!({
            "entry": name,
            "data_centre": format!("dc{}", index % 3 + 1),
            "callers": "127.0.0.1:0",
            "peers": "127.0.0.1:0",
            "store": self.store.to_string(),
            "vm_list": self.vm_list.to_string(),
            "operators": [{ "name": "ana", "key_sha256": KeyHash::of_secret(OPERATOR_SECRET).to_string() }],
            "drain_delay": "100ms",
        });
        let fields = settings.as_object_mut().expect("an object");
        for (key, value) in extra_settings.as_object().expect("an object") {
            fields.insert(key.clone(), value.clone());
        }
        let path = self.dir.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("a settings file");
        let log = self.dir.join(format!("{name}.log"));
        self.entries.push(Entry::start(name, path, &log));
    }

    /// Starts an entry again, with its name and settings. Its process must have ended.
    pub fn restart_entry(&mut self, index: usize) {
        let old = &self.entries[index];
        let (name, settings) = (old.name.clone(), old.settings.clone());
        let log = self.dir.join(format!("{name}.log"));
        self.entries[index] = Entry::start(&name, settings, &log);
    }

    /// Addresses of the entries for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.caller_address).collect()
    }

    /// A caller that uses all entries and waits up to [`POLL_TIMEOUT`] for the end of a durable job.
    pub fn caller(&self, secret: &str) -> Caller {
        Caller::new(&self.caller_addresses()).with_key(Some(secret.to_owned())).with_wait_durable(POLL_TIMEOUT)
    }

    /// Calls an entry with the secret of a key.
    pub async fn call(&self, index: usize, method: Method, path: &str, secret: &str, body: &str) -> Reply {
        let bearer = format!("Bearer {secret}");
        let headers = [("authorization", bearer.as_str())];
        // The future is large, and tests nest many of them on the small stack of their thread.
        let call = self.client.call(self.entries[index].caller_address, method, path, &headers, body);
        Box::pin(call).await.expect("a response")
    }

    /// Calls an entry as an operator.
    pub async fn call_as_operator(&self, index: usize, method: Method, path: &str, body: &Value) -> Reply {
        self.call(index, method, path, OPERATOR_SECRET, &body.to_string()).await
    }

    /// Makes a change of the configuration, which must be accepted, and returns the response.
    pub async fn change_config(&self, change: Value) -> Value {
        let reply = self.call_as_operator(0, Method::Post, "/v1/config/changes", &json!({ "change": change })).await;
        assert_eq!(reply.status, 200, "{change}: {}", reply.text());
        reply.json().expect("JSON")
    }

    /// Status of an entry.
    pub async fn status(&self, index: usize) -> Value {
        self.call_as_operator(index, Method::Get, "/v1/status", &json!({})).await.json().expect("JSON")
    }

    /// Gives a key with this secret to a team.
    pub async fn give_key(&self, id: &str, team: &str, secret: &str) {
        let hash = KeyHash::of_secret(secret).to_string();
        self.change_config(json!({ "change": "give_key", "id": id, "value": { "team": team, "hash": hash } })).await;
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
            self.change_config(change).await;
        }
        self.give_key("clinic-1", "clinic", CLINIC_SECRET).await;
        self.wait_until_serving().await;
    }

    /// Waits until each entry has served an urgent job, which requires a registered worker and a permit.
    pub async fn wait_until_serving(&self) {
        for entry in &self.entries {
            let caller = Caller::new(&[entry.caller_address]).with_key(Some(CLINIC_SECRET.to_owned()));
            poll_until(&format!("{} serves", entry.name), || async {
                matches!(caller.submit(&urgent_job("warm-up", 1)).await, Outcome::Served).then_some(())
            })
            .await;
        }
    }

    /// Number of starts of jobs with this mark on all workers.
    pub async fn count_starts(&self, mark: &str) -> usize {
        self.count_starts_by_mark().await.get(mark).copied().unwrap_or(0)
    }

    /// Number of starts on all workers, by the mark of the job.
    pub async fn count_starts_by_mark(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for worker in &self.workers {
            let reply = self.client.get(*worker, "/control/starts").await.expect("a response");
            let starts: Vec<Value> = reply.json().expect("JSON");
            for mark in starts.iter().filter_map(|start| start["mark"].as_str()) {
                *counts.entry(mark.to_owned()).or_default() += 1;
            }
        }
        counts
    }

    /// Time of the last start of a team's task on any worker, in ms since the Unix epoch; 0 without a start.
    pub async fn last_start_ms(&self, team: &str) -> u64 {
        let mut last = 0;
        for worker in &self.workers {
            let reply = self.client.get(*worker, "/control/starts").await.expect("a response");
            let starts: Vec<Value> = reply.json().expect("JSON");
            let own = starts.iter().filter(|start| start["team"] == team);
            last = last.max(own.filter_map(|start| start["at_ms"].as_u64()).max().unwrap_or(0));
        }
        last
    }

    /// Number of a team's tasks that are running on all workers together.
    pub fn running_tasks(&self, team: &str) -> u64 {
        self.tally.counts().get(team).map_or(0, |running| running.now)
    }

    /// Starts callers that submit jobs one after the other until the load is stopped. Each caller uses all entries.
    pub fn start_load(&self, callers: usize, make_job: impl Fn(usize) -> Job + Send + Sync + 'static) -> Load {
        self.start_load_with(&self.caller(CLINIC_SECRET), callers, make_job)
    }

    /// Like [`Self::start_load`], with clones of the given caller.
    pub fn start_load_with(
        &self,
        caller: &Caller,
        callers: usize,
        make_job: impl Fn(usize) -> Job + Send + Sync + 'static,
    ) -> Load {
        let (stop, make_job, next) =
            (Arc::new(AtomicBool::new(false)), Arc::new(make_job), Arc::new(AtomicUsize::new(0)));
        let tasks = (0..callers)
            .map(|_| {
                let caller = caller.clone();
                let (stop, make_job, next) = (Arc::clone(&stop), Arc::clone(&make_job), Arc::clone(&next));
                task::spawn(async move {
                    let mut outcomes = Vec::new();
                    while !stop.load(Ordering::Relaxed) {
                        let job = make_job(next.fetch_add(1, Ordering::Relaxed));
                        let outcome = caller.submit(&job).await;
                        if !matches!(outcome, Outcome::Served) {
                            // Delays the next job after a refusal.
                            task::sleep(Duration::from_millis(20)).await;
                        }
                        outcomes.push((job, outcome));
                    }
                    outcomes
                })
            })
            .collect();
        Load { stop, tasks }
    }

    /// Maximum number of a team's tasks that have run at the same time on all workers together.
    pub async fn peak_running_tasks(&self, team: &str) -> u64 {
        let reply = self.client.get(self.workers[0], "/control/peaks").await.expect("a response");
        let peaks: Value = reply.json().expect("JSON");
        peaks["process"][team]["peak"].as_u64().unwrap_or(0)
    }
}

/// Callers that submit jobs until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    tasks: Vec<task::JoinHandle<Vec<(Job, Outcome)>>>,
}

impl Load {
    /// Stops the callers and returns the jobs and their outcomes.
    pub async fn stop(self) -> Vec<(Job, Outcome)> {
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

/// An urgent job of the queue `clips`.
pub fn urgent_job(mark: &str, run_ms: u64) -> Job {
    job("clips", mark, run_ms)
}

/// A job whose payload has a mark, by which its starts at the workers are counted.
pub fn job(queue: &str, mark: &str, run_ms: u64) -> Job {
    let payload = json!({ "run_ms": run_ms, "answer_bytes": 500, "mark": mark }).to_string();
    Job { queue: queue.into(), payload, ..Job::default() }
}

/// A job whose mark is also its request id.
pub fn job_with_request_id(queue: &str, mark: &str, run_ms: u64) -> Job {
    Job { request_id: Some(mark.into()), ..job(queue, mark, run_ms) }
}

async fn start_worker(index: usize, tally: &Tally) -> Vm {
    let (data_centre, rack) = (format!("dc{}", index % 3 + 1), format!("r{}", index / 4 + 1));
    let options = Options {
        vm: format!("vm-{}", index + 1).into(),
        data_centre: data_centre.clone().into(),
        rack: rack.clone().into(),
        reboot_duration: Duration::from_millis(300),
        ..Options::default()
    };
    let vm = options.vm.clone();
    let address = worker::start(ANY_PORT.into(), options, tally.clone()).await.expect("a free port");
    Vm { vm, address, data_centre: data_centre.into(), rack: rack.into(), state: VmState::Live }
}
