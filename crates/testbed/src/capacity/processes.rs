//! Cost of whole entries on the loopback interface.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_core::commit::Document;
use carawaybarrow_core::keys::KeyHash;
use http_types::Method;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt, Whatever, whatever};

use super::peers::{self, Relay};
use super::samples;
use super::table::Table;
use super::usage;
use crate::client::{Client, Reply};
use crate::store::{self, Limits};
use crate::submit::{Caller, Job, Outcome};
use crate::vms::{self, Vm, VmState};

/// Any free port of the loopback interface.
const ANY: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// Secret of the operator.
const OPERATOR_SECRET: &str = "operator-secret-of-the-measurement";

/// Secret of the first key of the configuration.
const KEY_SECRET: &str = "secret-of-the-key-0";

/// Pools of an installation.
const POOLS: usize = 5;

/// Time for the start of all entries.
const START_LIMIT: Duration = Duration::from_secs(60);

/// Time after the start until the leases and permits of the first jobs are given back.
const SETTLE: Duration = Duration::from_secs(5);

/// Configuration changes of a measurement.
const CHANGES: usize = 8;

/// Urgent jobs of a measurement, one after the other.
const URGENT_JOBS: usize = 400;

const COLUMNS: [&str; 15] = [
    "CPU per entry, % of a core (mean)",
    "(most)",
    "memory per entry, MB (mean)",
    "heartbeats/s sent per entry",
    "peer KB/s per entry",
    "store calls/s per entry",
    "store KB/s per entry",
    "KB/s at one worker",
    "CPU of a worker, % of a core",
    "change in force, ms (median)",
    "(worst)",
    "CPU of a change in all entries, ms",
    "urgent job, ms (median)",
    "(worst)",
    "CPU of an urgent job in its entry, ms",
];

/// Size of an installation.
#[derive(Clone, Copy, Debug)]
pub struct Installation {
    /// Entries.
    pub entries: usize,
    /// Workers, in one process.
    pub workers: usize,
    /// Teams.
    pub teams: usize,
    /// Keys.
    pub keys: usize,
}

/// What to measure, and for how long.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Binary of the product.
    pub entry_binary: PathBuf,
    /// Directory for settings and logs.
    pub dir: PathBuf,
    /// Time over which idle cost is counted.
    pub window: Duration,
}

struct Process {
    child: Child,
    line: Value,
}

impl Drop for Process {
    fn drop(&mut self) {
        // An error means that the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_line(reader: &mut impl BufRead) -> Result<Value, Whatever> {
    let mut line = String::new();
    reader.read_line(&mut line).whatever_context("the process prints nothing")?;
    serde_json::from_str(&line).whatever_context("the process prints no JSON")
}

fn start_entry(plan: &Plan, number: usize, store: SocketAddr, vm_list: SocketAddr) -> Result<Process, Whatever> {
    let settings = json!({
        "entry": format!("e{number}"),
        "data_centre": format!("dc{}", number % 3 + 1),
        "callers": "127.0.0.1:0",
        "peers": "127.0.0.1:0",
        "store": store,
        "vm_list": vm_list,
        "operators": [{ "name": "operator", "key_sha256": KeyHash::of_secret(OPERATOR_SECRET).to_string() }],
    });
    let path = plan.dir.join(format!("e{number}.json"));
    std::fs::write(&path, settings.to_string()).whatever_context("can't write the settings")?;
    let log = std::fs::File::create(plan.dir.join(format!("e{number}.log"))).whatever_context("can't write a log")?;
    let mut command = Command::new(&plan.entry_binary);
    command.arg("serve").arg("--settings").arg(&path).stdout(Stdio::piped()).stderr(log);
    let mut child = command.spawn().whatever_context("the entry can't start")?;
    let stdout = child.stdout.take().whatever_context("no output")?;
    let mut process = Process { child, line: Value::Null };
    process.line = read_line(&mut BufReader::new(stdout))?;
    Ok(process)
}

fn start_workers(count: usize) -> Result<(Process, Vec<Vm>), Whatever> {
    let binary = std::env::current_exe().whatever_context("no path of this program")?;
    let mut command = Command::new(binary);
    command.args(["workers", "--count", &count.to_string()]).stdout(Stdio::piped());
    let mut child = command.spawn().whatever_context("the workers can't start")?;
    let stdout = child.stdout.take().whatever_context("no output")?;
    let process = Process { child, line: Value::Null };
    let mut reader = BufReader::new(stdout);
    let mut listed = Vec::new();
    for _ in 0..count {
        let line = read_line(&mut reader)?;
        let text = |name: &str| line[name].as_str().unwrap_or_default().into();
        let address = line["listening"].as_str().and_then(|a| a.parse().ok()).whatever_context("no address")?;
        let (vm, data_centre, rack) = (text("vm"), text("data_centre"), text("rack"));
        listed.push(Vm { vm, address, data_centre, rack, state: VmState::Live });
    }
    // The process ends if it can't print its last line.
    read_line(&mut reader)?;
    Ok((process, listed))
}

struct Running {
    client: Client,
    store: SocketAddr,
    store_relay: Relay,
    worker_relay: Relay,
    workers: Process,
    entries: Vec<Process>,
}

impl Running {
    async fn start(plan: &Plan, size: Installation) -> Result<Self, Whatever> {
        let client = Client::new().with_timeout(Duration::from_secs(20));
        let limits = Limits { writes: 1e9, reads: 1e9 };
        let store = store::start(ANY.into(), limits).await.whatever_context("can't listen")?;
        let config = samples::build_config(size.teams, size.keys, POOLS);
        let body = String::from_utf8(config.encode()).whatever_context("JSON is text")?;
        let written = client.call(store, Method::Put, "/kv/config?expect=0", &[], &body).await;
        if written.whatever_context("no answer of the store")?.status != 200 {
            whatever!("the store doesn't take the configuration");
        }
        let store_relay = Relay::start(store).await?;
        let (workers, mut listed) = start_workers(size.workers)?;
        let worker_relay = Relay::start(listed[0].address).await?;
        listed[0].address = worker_relay.address;
        let vm_list = vms::start(ANY.into(), listed, Duration::ZERO).await.whatever_context("can't listen")?;
        let entries =
            (1..=size.entries).map(|n| start_entry(plan, n, store_relay.address, vm_list)).collect::<Result<_, _>>()?;
        let running = Self { client, store, store_relay, worker_relay, workers, entries };
        running.wait_for_service().await?;
        Ok(running)
    }

    fn callers(&self, name: &str) -> Vec<SocketAddr> {
        self.entries.iter().filter_map(|e| e.line[name].as_str()?.parse().ok()).collect()
    }

    async fn wait_for_service(&self) -> Result<(), Whatever> {
        let ends = Instant::now() + START_LIMIT;
        for address in self.callers("listening") {
            let caller = Caller::new(&[address]).with_key(Some(KEY_SECRET.to_owned()));
            while !matches!(caller.submit(&urgent_job()).await, Outcome::Served) {
                if Instant::now() > ends {
                    whatever!("an entry doesn't serve within {START_LIMIT:?}");
                }
                task::sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    /// CPU time of each entry in µs.
    fn cpu(&self) -> Vec<f64> {
        self.entries.iter().map(|e| usage::process_micros(e.child.id())).collect()
    }

    /// Sum of a counter over all entries, of the lines that contain `label`.
    async fn count(&self, counter: &str, label: &str) -> Result<f64, Whatever> {
        let mut sum = 0.0;
        for address in self.callers("listening") {
            let reply = self.client.get(address, "/metrics").await.whatever_context("no metrics")?;
            let text = reply.text();
            let lines = text.lines().filter(|l| l.starts_with(counter) && l.contains(label));
            sum += lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum::<f64>();
        }
        Ok(sum)
    }

    async fn store_calls(&self) -> Result<Value, Whatever> {
        let reply = self.client.get(self.store, "/control/stats").await.whatever_context("no counts")?;
        reply.json().whatever_context("counts are JSON")
    }

    async fn change(&self, number: usize) -> Result<Reply, Whatever> {
        let addresses = self.callers("listening");
        let change = samples::set_team(number % 2, 900 + number as u32);
        let bearer = format!("Bearer {OPERATOR_SECRET}");
        let headers = [("authorization", bearer.as_str())];
        let body = json!({ "change": change }).to_string();
        let address = addresses[number % addresses.len()];
        let reply = self.client.call(address, Method::Post, "/v1/config/changes", &headers, &body).await;
        reply.whatever_context("no answer to a change")
    }

    /// Times of changes until they are in force, and the CPU time of one in all entries, without what they use
    /// anyway (percent of a core).
    async fn measure_changes(&self, idle_percent: f64) -> Result<[f64; 3], Whatever> {
        let (before, begun) = (self.cpu().iter().sum::<f64>(), Instant::now());
        let mut times = Vec::new();
        for number in 0..CHANGES {
            let started = Instant::now();
            let reply = self.change(number).await?;
            let answer: Value = reply.json().whatever_context("answers are JSON")?;
            if answer["in_force"] != true {
                whatever!("a change isn't in force: {answer}");
            }
            times.push(started.elapsed().as_secs_f64() * 1e3);
        }
        let idle = idle_percent * 10.0 * begun.elapsed().as_secs_f64();
        let cpu = ((self.cpu().iter().sum::<f64>() - before) / 1e3 - idle) / CHANGES as f64;
        times.sort_by(f64::total_cmp);
        Ok([times[CHANGES / 2], times[CHANGES - 1], cpu])
    }

    /// Times of urgent jobs and the CPU time of one, without what the entries use anyway (percent of a core).
    async fn measure_urgent(&self, idle_percent: f64) -> Result<[f64; 3], Whatever> {
        let (before, begun) = (self.cpu().iter().sum::<f64>(), Instant::now());
        let caller = Caller::new(&self.callers("listening")).with_key(Some(KEY_SECRET.to_owned()));
        let mut times = Vec::new();
        for _ in 0..URGENT_JOBS {
            let started = Instant::now();
            match caller.submit(&urgent_job()).await {
                Outcome::Served => times.push(started.elapsed().as_secs_f64() * 1e3),
                other => whatever!("an urgent job ended as {other:?}"),
            }
        }
        let idle = idle_percent * 10.0 * begun.elapsed().as_secs_f64();
        let cpu = ((self.cpu().iter().sum::<f64>() - before) / 1e3 - idle) / URGENT_JOBS as f64;
        times.sort_by(f64::total_cmp);
        Ok([times[URGENT_JOBS / 2], times[URGENT_JOBS - 1], cpu])
    }
}

fn urgent_job() -> Job {
    let payload = json!({ "run_ms": 1, "answer_bytes": 100, "mark": "urgent" }).to_string();
    Job { queue: "urgent-0".into(), payload, ..Job::default() }
}

/// Rates of the store's calls in the window, by key prefix and operation.
fn list_rates(before: &Value, after: &Value, seconds: f64) -> Vec<(String, f64)> {
    let mut rates = Vec::new();
    for (prefix, operations) in after["by_prefix"].as_object().into_iter().flatten() {
        for (operation, count) in operations.as_object().into_iter().flatten() {
            let earlier = before["by_prefix"][prefix][operation]["total"].as_f64().unwrap_or(0.0);
            let calls = count["total"].as_f64().unwrap_or(0.0) - earlier;
            rates.push((format!("{prefix} {operation}"), calls / seconds));
        }
    }
    rates
}

async fn measure_installation(plan: &Plan, size: Installation) -> Result<(Vec<f64>, String), Whatever> {
    let running = Running::start(plan, size).await?;
    task::sleep(SETTLE).await;
    let calls = ["carawaybarrow_store_calls", "carawaybarrow_peer_calls"];
    let labels = ["", "heartbeat"];
    let before = (running.count(calls[0], labels[0]).await?, running.count(calls[1], labels[1]).await?);
    let (stats, started, cpu) = (running.store_calls().await?, Instant::now(), running.cpu());
    let bytes = (running.store_relay.bytes(), running.worker_relay.bytes());
    let worker_cpu = usage::process_micros(running.workers.child.id());
    task::sleep(plan.window).await;
    let seconds = started.elapsed().as_secs_f64();
    let used: Vec<f64> = running.cpu().iter().zip(&cpu).map(|(b, a)| (b - a) / 1e4 / seconds).collect();
    let worker_cpu = (usage::process_micros(running.workers.child.id()) - worker_cpu) / 1e4 / seconds;
    let entries = size.entries as f64;
    let store_kb = (running.store_relay.bytes() - bytes.0) / 1e3 / seconds / entries;
    let worker_kb = (running.worker_relay.bytes() - bytes.1) / 1e3 / seconds;
    let rates = list_rates(&stats, &running.store_calls().await?, seconds);
    let after = (running.count(calls[0], labels[0]).await?, running.count(calls[1], labels[1]).await?);
    let per_entry = |before: f64, after: f64| (after - before) / seconds / entries;
    let heartbeats = per_entry(before.1, after.1);
    let memory: f64 = running.entries.iter().map(|e| usage::resident_kb(e.child.id()) / 1024.0).sum();
    let idle_percent = used.iter().sum();
    let changes = running.measure_changes(idle_percent).await?;
    let urgent = running.measure_urgent(idle_percent).await?;
    let peer = running.callers("peers")[0];
    let (request, answer) = peers::measure_heartbeat(running.store, peer).await?;
    // An entry sends and answers as many heartbeats.
    let peer_kb = heartbeats * 2.0 * (request + answer) as f64 / 1e3;
    let most = used.iter().copied().fold(0.0, f64::max);
    let mut values = vec![used.iter().sum::<f64>() / entries, most, memory / entries, heartbeats, peer_kb];
    values.extend([per_entry(before.0, after.0), store_kb, worker_kb, worker_cpu / size.workers as f64]);
    values.extend(changes);
    values.extend(urgent);
    let mut note = format!("{size:?}: heartbeat {request} B, answer {answer} B; store calls/s:");
    for (name, rate) in rates.iter().filter(|(_, rate)| *rate > 0.0) {
        note += &format!(" {name} {rate:.1},");
    }
    Ok((values, note))
}

/// Name, sizes, and how a size enters the installation.
type Series = (&'static str, Vec<usize>, fn(&mut Installation, usize));

/// Measures installations and prints each table when it is complete.
///
/// # Errors
///
/// Fails if a process can't start or an entry doesn't serve.
pub async fn measure_processes(plan: &Plan, small: bool) -> Result<(), Whatever> {
    let usual = Installation { entries: 9, workers: 50, teams: 6, keys: 6 };
    let series: [Series; 4] = [
        ("entries", vec![3, 5, 7, 9, 12, 18, 24], |i, n| i.entries = n),
        ("workers", vec![10, 50, 100, 200], |i, n| i.workers = n),
        ("teams", vec![6, 100, 200, 400], |i, n| i.teams = n),
        ("keys", vec![6, 500, 1_000, 2_000], |i, n| i.keys = n),
    ];
    for (name, sizes, set) in series {
        let title = format!("Whole processes by {name} (otherwise {usual:?})");
        let mut table = Table::new(title, name, &COLUMNS);
        let mut notes = String::new();
        for size in sizes.into_iter().take(if small { 1 } else { usize::MAX }) {
            let mut installation = usual;
            set(&mut installation, size);
            std::fs::create_dir_all(&plan.dir).whatever_context("can't create the directory")?;
            // An installation that can't be measured leaves the other rows in place.
            match measure_installation(plan, installation).await {
                Ok((values, note)) => {
                    table.add(size, values);
                    notes += &format!("- {note}\n");
                }
                Err(e) => notes += &format!("- {installation:?}: not measured: {e}\n"),
            }
        }
        println!("{table}\n{notes}");
    }
    remove_dir(&plan.dir)
}

fn remove_dir(dir: &Path) -> Result<(), Whatever> {
    std::fs::remove_dir_all(dir).whatever_context("can't remove the directory")
}
