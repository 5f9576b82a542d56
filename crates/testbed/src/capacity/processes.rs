//! Resource usage and latency of whole entries on the loopback interface.

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

use super::fixtures;
use super::peers::{self, CountingRelay};
use super::table::Table;
use super::usage;
use crate::client::{Client, Reply};
use crate::store::{self, Limits};
use crate::submit::{Caller, Job, Outcome};
use crate::vms::{self, Vm, VmState};

/// Any free port of the loopback interface.
const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// Secret with which configuration changes are authorised.
const OPERATOR_SECRET: &str = "operator-secret-of-the-measurement";

/// Secret of the configuration's first key, with which jobs are submitted.
const KEY_SECRET: &str = "secret-of-the-key-0";

/// Number of pools in each measured installation.
const POOLS: usize = 5;

/// Time within which all entries have to serve jobs.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Wait before idle cost is measured, so that the leases and permits of the first jobs are released.
const WARM_UP: Duration = Duration::from_secs(5);

/// Configuration changes that are timed in each installation.
const CHANGES: usize = 8;

/// Urgent jobs that are timed in each installation, one after the other.
const URGENT_JOBS: usize = 400;

/// Columns of each table, in the order of the values of [`measure_installation`].
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
    /// Number of entries.
    pub entries: usize,
    /// Number of workers, all in one process.
    pub workers: usize,
    /// Number of teams.
    pub teams: usize,
    /// Number of keys.
    pub keys: usize,
}

/// Inputs of the measurement of whole processes.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Binary of the product.
    pub entry_binary: PathBuf,
    /// Directory for settings and logs; it is created, and removed at the end.
    pub dir: PathBuf,
    /// Time over which idle cost is counted.
    pub window: Duration,
}

/// A child process that is killed on drop.
struct Process {
    child: Child,
    /// First line that an entry prints, with its addresses; null for the workers.
    announcement: Value,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing fails only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_line(reader: &mut impl BufRead) -> Result<Value, Whatever> {
    let mut line = String::new();
    reader.read_line(&mut line).whatever_context("the output of the process can't be read")?;
    serde_json::from_str(&line).whatever_context("the process printed a line that isn't JSON")
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
    std::fs::write(&path, settings.to_string()).whatever_context("can't write the settings of an entry")?;
    let log = std::fs::File::create(plan.dir.join(format!("e{number}.log")))
        .whatever_context("can't create the log of an entry")?;
    let mut command = Command::new(&plan.entry_binary);
    command.arg("serve").arg("--settings").arg(&path).stdout(Stdio::piped()).stderr(log);
    let mut child = command.spawn().whatever_context("the entry can't start")?;
    let stdout = child.stdout.take().whatever_context("the entry has no stdout")?;
    let mut process = Process { child, announcement: Value::Null };
    process.announcement = read_line(&mut BufReader::new(stdout))?;
    Ok(process)
}

fn start_workers(count: usize) -> Result<(Process, Vec<Vm>), Whatever> {
    let binary = std::env::current_exe().whatever_context("the path of this program is unknown")?;
    let mut command = Command::new(binary);
    command.args(["workers", "--count", &count.to_string()]).stdout(Stdio::piped());
    let mut child = command.spawn().whatever_context("the workers can't start")?;
    let stdout = child.stdout.take().whatever_context("the workers have no stdout")?;
    let process = Process { child, announcement: Value::Null };
    let mut reader = BufReader::new(stdout);
    let mut listed = Vec::new();
    for _ in 0..count {
        let line = read_line(&mut reader)?;
        let text = |name: &str| line[name].as_str().unwrap_or_default().into();
        let address =
            line["listening"].as_str().and_then(|a| a.parse().ok()).whatever_context("a worker printed no address")?;
        let (vm, data_centre, rack) = (text("vm"), text("data_centre"), text("rack"));
        listed.push(Vm { vm, address, data_centre, rack, state: VmState::Live });
    }
    // The workers print one more line when all are ready. They exit if they can't write it, so it is read here.
    read_line(&mut reader)?;
    Ok((process, listed))
}

/// An installation whose processes run until it is dropped.
struct RunningInstallation {
    client: Client,
    store: SocketAddr,
    store_relay: CountingRelay,
    worker_relay: CountingRelay,
    workers: Process,
    entries: Vec<Process>,
}

impl RunningInstallation {
    async fn start(plan: &Plan, size: Installation) -> Result<Self, Whatever> {
        let client = Client::new().with_timeout(Duration::from_secs(20));
        let limits = Limits { writes: 1e9, reads: 1e9 };
        let store = store::start(LOOPBACK.into(), limits).await.whatever_context("the store can't listen")?;
        let config = fixtures::build_config(size.teams, size.keys, POOLS);
        let body = String::from_utf8(config.encode()).whatever_context("the encoded configuration isn't UTF-8")?;
        let written = client.call(store, Method::Put, "/kv/config?expect=0", &[], &body).await;
        if written.whatever_context("the store doesn't answer the write of the configuration")?.status != 200 {
            whatever!("the store refused the configuration");
        }
        let store_relay = CountingRelay::start(store).await?;
        let (workers, mut listed) = start_workers(size.workers)?;
        let worker_relay = CountingRelay::start(listed[0].address).await?;
        listed[0].address = worker_relay.address;
        let vm_list =
            vms::start(LOOPBACK.into(), listed, Duration::ZERO).await.whatever_context("the VM list can't listen")?;
        let entries =
            (1..=size.entries).map(|n| start_entry(plan, n, store_relay.address, vm_list)).collect::<Result<_, _>>()?;
        let running = Self { client, store, store_relay, worker_relay, workers, entries };
        running.wait_for_service().await?;
        Ok(running)
    }

    /// Addresses of the entries: `listening` for callers, `peers` for other entries.
    fn addresses(&self, name: &str) -> Vec<SocketAddr> {
        self.entries.iter().filter_map(|e| e.announcement[name].as_str()?.parse().ok()).collect()
    }

    /// Waits until each entry has served a job.
    async fn wait_for_service(&self) -> Result<(), Whatever> {
        let ends = Instant::now() + START_TIMEOUT;
        for address in self.addresses("listening") {
            let caller = Caller::new(&[address]).with_key(Some(KEY_SECRET.to_owned()));
            while !matches!(caller.submit(&build_urgent_job()).await, Outcome::Served) {
                if Instant::now() > ends {
                    whatever!("an entry doesn't serve within {START_TIMEOUT:?}");
                }
                task::sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    /// CPU time of each entry in µs.
    fn cpu_micros(&self) -> Vec<f64> {
        self.entries.iter().map(|e| usage::process_micros(e.child.id())).collect()
    }

    /// Sum of a counter over all entries and over the lines that contain `label`.
    async fn sum_counter(&self, counter: &str, label: &str) -> Result<f64, Whatever> {
        let mut sum = 0.0;
        for address in self.addresses("listening") {
            let reply = self
                .client
                .get(address, "/metrics")
                .await
                .whatever_context("an entry doesn't answer with its metrics")?;
            let text = reply.text();
            let lines = text.lines().filter(|l| l.starts_with(counter) && l.contains(label));
            sum += lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum::<f64>();
        }
        Ok(sum)
    }

    async fn read_store_stats(&self) -> Result<Value, Whatever> {
        let reply = self
            .client
            .get(self.store, "/control/stats")
            .await
            .whatever_context("the store doesn't answer with its counts")?;
        reply.json().whatever_context("the store's counts aren't JSON")
    }

    async fn submit_change(&self, number: usize) -> Result<Reply, Whatever> {
        let addresses = self.addresses("listening");
        let change = fixtures::set_team(number % 2, 900 + number as u32);
        let bearer = format!("Bearer {OPERATOR_SECRET}");
        let headers = [("authorization", bearer.as_str())];
        let body = json!({ "change": change }).to_string();
        let address = addresses[number % addresses.len()];
        let reply = self.client.call(address, Method::Post, "/v1/config/changes", &headers, &body).await;
        reply.whatever_context("an entry doesn't answer a configuration change")
    }

    /// Median and longest time until a change is in force, and the CPU time that one change takes in all entries
    /// together, all in ms. The idle usage, in percent of a core, is subtracted.
    async fn measure_changes(&self, idle_percent: f64) -> Result<[f64; 3], Whatever> {
        let (before, measuring_since) = (self.cpu_micros().iter().sum::<f64>(), Instant::now());
        let mut times = Vec::new();
        for number in 0..CHANGES {
            let started = Instant::now();
            let reply = self.submit_change(number).await?;
            let answer: Value = reply.json().whatever_context("the answer to a configuration change isn't JSON")?;
            if answer["in_force"] != true {
                whatever!("a configuration change isn't in force: {answer}");
            }
            times.push(started.elapsed().as_secs_f64() * 1e3);
        }
        let idle = idle_percent * 10.0 * measuring_since.elapsed().as_secs_f64();
        let cpu = ((self.cpu_micros().iter().sum::<f64>() - before) / 1e3 - idle) / CHANGES as f64;
        times.sort_by(f64::total_cmp);
        Ok([times[CHANGES / 2], times[CHANGES - 1], cpu])
    }

    /// Median and longest time of an urgent job, and the CPU time that one job takes in the entries, all in ms. The
    /// idle usage, in percent of a core, is subtracted.
    async fn measure_urgent(&self, idle_percent: f64) -> Result<[f64; 3], Whatever> {
        let (before, measuring_since) = (self.cpu_micros().iter().sum::<f64>(), Instant::now());
        let caller = Caller::new(&self.addresses("listening")).with_key(Some(KEY_SECRET.to_owned()));
        let mut times = Vec::new();
        for _ in 0..URGENT_JOBS {
            let started = Instant::now();
            match caller.submit(&build_urgent_job()).await {
                Outcome::Served => times.push(started.elapsed().as_secs_f64() * 1e3),
                other => whatever!("an urgent job ended as {other:?}"),
            }
        }
        let idle = idle_percent * 10.0 * measuring_since.elapsed().as_secs_f64();
        let cpu = ((self.cpu_micros().iter().sum::<f64>() - before) / 1e3 - idle) / URGENT_JOBS as f64;
        times.sort_by(f64::total_cmp);
        Ok([times[URGENT_JOBS / 2], times[URGENT_JOBS - 1], cpu])
    }
}

fn build_urgent_job() -> Job {
    let payload = json!({ "run_ms": 1, "answer_bytes": 100, "mark": "urgent" }).to_string();
    Job { queue: "urgent-0".into(), payload, ..Job::default() }
}

/// Store calls a second between two counts, by key prefix and operation.
fn store_call_rates(before: &Value, after: &Value, seconds: f64) -> Vec<(String, f64)> {
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

/// Measures one installation; returns the values of a row and a note on heartbeats and store calls.
async fn measure_installation(plan: &Plan, size: Installation) -> Result<(Vec<f64>, String), Whatever> {
    let running = RunningInstallation::start(plan, size).await?;
    task::sleep(WARM_UP).await;
    let counters = ["carawaybarrow_store_calls", "carawaybarrow_peer_calls"];
    let labels = ["", "heartbeat"];
    let before =
        (running.sum_counter(counters[0], labels[0]).await?, running.sum_counter(counters[1], labels[1]).await?);
    let (stats, started, cpu) = (running.read_store_stats().await?, Instant::now(), running.cpu_micros());
    let bytes = (running.store_relay.bytes(), running.worker_relay.bytes());
    let worker_cpu = usage::process_micros(running.workers.child.id());
    task::sleep(plan.window).await;
    let seconds = started.elapsed().as_secs_f64();
    let used: Vec<f64> = running.cpu_micros().iter().zip(&cpu).map(|(b, a)| (b - a) / 1e4 / seconds).collect();
    let worker_cpu = (usage::process_micros(running.workers.child.id()) - worker_cpu) / 1e4 / seconds;
    let entries = size.entries as f64;
    let store_kb = (running.store_relay.bytes() - bytes.0) / 1e3 / seconds / entries;
    let worker_kb = (running.worker_relay.bytes() - bytes.1) / 1e3 / seconds;
    let rates = store_call_rates(&stats, &running.read_store_stats().await?, seconds);
    let after =
        (running.sum_counter(counters[0], labels[0]).await?, running.sum_counter(counters[1], labels[1]).await?);
    let per_entry = |before: f64, after: f64| (after - before) / seconds / entries;
    let heartbeats = per_entry(before.1, after.1);
    let memory: f64 = running.entries.iter().map(|e| usage::resident_kb(e.child.id()) / 1024.0).sum();
    let idle_percent = used.iter().sum();
    let changes = running.measure_changes(idle_percent).await?;
    let urgent = running.measure_urgent(idle_percent).await?;
    let peer = running.addresses("peers")[0];
    let (request, answer) = peers::measure_heartbeat(running.store, peer).await?;
    // An entry answers as many heartbeats as it sends, so each rate counts twice.
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

/// Name of the varied size, its values, and a function that sets it in an installation.
type Series = (&'static str, Vec<usize>, fn(&mut Installation, usize));

/// Measures installations that differ in one size from a base, and prints each table when it is complete.
///
/// # Errors
///
/// Fails if a process can't start or an entry doesn't serve.
pub async fn measure_processes(plan: &Plan, small: bool) -> Result<(), Whatever> {
    let base = Installation { entries: 9, workers: 50, teams: 6, keys: 6 };
    let series: [Series; 4] = [
        ("entries", vec![3, 5, 7, 9, 12, 18, 24], |i, n| i.entries = n),
        ("workers", vec![10, 50, 100, 200], |i, n| i.workers = n),
        ("teams", vec![6, 100, 200, 400], |i, n| i.teams = n),
        ("keys", vec![6, 500, 1_000, 2_000], |i, n| i.keys = n),
    ];
    for (name, sizes, set) in series {
        let title = format!("Whole processes by {name} (otherwise {base:?})");
        let mut table = Table::new(title, name, &COLUMNS);
        let mut notes = String::new();
        for size in sizes.into_iter().take(if small { 1 } else { usize::MAX }) {
            let mut installation = base;
            set(&mut installation, size);
            std::fs::create_dir_all(&plan.dir).whatever_context("can't create the directory for settings and logs")?;
            // A failure is noted below the table and doesn't affect the other rows.
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
    std::fs::remove_dir_all(dir).whatever_context("can't remove the directory for settings and logs")
}
