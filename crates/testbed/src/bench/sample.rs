//! Use of processors, memory and store calls, sampled each second.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::capacity::usage;
use crate::client::Client;

/// Time for one reading; a frozen entry doesn't answer.
const READ_LIMIT: Duration = Duration::from_millis(400);

/// Metric of the store calls of an entry, by use and operation.
const STORE_CALLS: &str = "carawaybarrow_store_calls";

/// Metric of the answers to callers.
const ANSWERS: &str = "carawaybarrow_answers";

/// Metric of the calls to peers.
const PEER_CALLS: &str = "carawaybarrow_peer_calls";

/// What is sampled.
#[derive(Clone, Debug)]
pub struct Sources {
    /// Store.
    pub store: SocketAddr,
    /// Entries.
    pub entries: Vec<SocketAddr>,
    /// Process ids of the entries, in the same order.
    pub pids: Vec<u32>,
}

type Rates = BTreeMap<String, f64>;

#[derive(Clone, Debug, Default)]
struct Peak {
    total: f64,
    most: f64,
}

#[derive(Debug)]
struct Seen {
    at: Instant,
    store: Rates,
    /// Readings of each entry, and when they were made; those of an entry that doesn't answer stay.
    entries: Vec<(Instant, Rates)>,
    cpu: Vec<f64>,
}

/// Collects the samples.
#[derive(Debug)]
pub struct Sampler {
    client: Client,
    sources: Sources,
    last: Seen,
    begun: Instant,
    peaks: BTreeMap<String, Peak>,
    cpu: Vec<Peak>,
    resident_kb: Vec<f64>,
}

impl Sampler {
    /// Takes the first reading.
    pub async fn start(sources: Sources) -> Self {
        let client = Client::new().with_timeout(READ_LIMIT);
        let (at, count) = (Instant::now(), sources.entries.len());
        let empty = Seen { at, store: Rates::new(), entries: vec![(at, Rates::new()); count], cpu: vec![0.0; count] };
        let last = read_all(&client, &sources, &empty).await;
        let (cpu, resident_kb) = (vec![Peak::default(); count], vec![0.0; count]);
        Self { client, sources, last, begun: at, peaks: BTreeMap::new(), cpu, resident_kb }
    }

    /// Adds a reading. The time since the last one should be about a second.
    pub async fn sample(&mut self) {
        let now = read_all(&self.client, &self.sources, &self.last).await;
        let seconds = (now.at - self.last.at).as_secs_f64();
        let mut rates = Rates::new();
        for (name, total) in &now.store {
            rates.insert(format!("store {name}"), (total - self.last.store.get(name).unwrap_or(&0.0)).max(0.0));
        }
        for ((_, new), (_, old)) in now.entries.iter().zip(&self.last.entries) {
            for (name, total) in new {
                *rates.entry(name.clone()).or_default() += (total - old.get(name).unwrap_or(&0.0)).max(0.0);
            }
        }
        for (name, calls) in rates {
            let peak = self.peaks.entry(name).or_default();
            peak.total += calls;
            peak.most = peak.most.max(calls / seconds);
        }
        for (i, pid) in self.sources.pids.iter().enumerate() {
            // The time of an ended process reads as 0.
            let used = (now.cpu[i] - self.last.cpu[i]).max(0.0);
            self.cpu[i].total += used;
            self.cpu[i].most = self.cpu[i].most.max(used / 1e4 / seconds);
            self.resident_kb[i] = self.resident_kb[i].max(usage::resident_kb(*pid));
        }
        self.last = now;
    }

    /// Totals, means and peaks a second of each counter, and the use of each entry.
    #[must_use]
    pub fn show(&self) -> Value {
        let seconds = (self.last.at - self.begun).as_secs_f64();
        let rates: BTreeMap<_, _> = self
            .peaks
            .iter()
            .filter(|(_, p)| p.total > 0.0)
            .map(|(name, p)| (name, json!({ "mean": p.total / seconds, "peak": p.most })))
            .collect();
        let cpu_seconds = self.cpu.iter().map(|p| p.total).sum::<f64>() / 1e6;
        let answers = self.peaks.get(ANSWERS).map_or(0.0, |p| p.total);
        let entries = self.sources.entries.len().max(1) as f64;
        json!({
            "seconds": seconds,
            "rates": rates,
            "answers": answers,
            "answers_per_cpu_second": answers / cpu_seconds,
            "cpu_percent_mean": cpu_seconds * 100.0 / seconds / entries,
            "cpu_percent_peak": self.cpu.iter().map(|p| p.most).fold(0.0, f64::max),
            "resident_mb_peak": self.resident_kb.iter().copied().fold(0.0, f64::max) / 1024.0,
        })
    }
}

async fn read_all(client: &Client, sources: &Sources, last: &Seen) -> Seen {
    let cpu = sources.pids.iter().map(|pid| usage::process_micros(*pid)).collect();
    let at = Instant::now();
    let store = match client.get(sources.store, "/control/stats").await {
        Ok(reply) => read_store(&reply.json::<Value>().unwrap_or_default()),
        Err(_) => last.store.clone(),
    };
    let reads = sources.entries.iter().map(|entry| client.get(*entry, "/metrics"));
    let replies = futures::future::join_all(reads).await;
    let entries = replies.into_iter().zip(&last.entries).map(|(reply, old)| match reply {
        Ok(reply) => (at, read_metrics(&reply.text())),
        Err(_) => old.clone(),
    });
    Seen { at, store, entries: entries.collect(), cpu }
}

fn read_store(stats: &Value) -> Rates {
    let mut totals = Rates::new();
    for (operation, count) in stats["by_operation"].as_object().into_iter().flatten() {
        totals.insert(operation.clone(), count["total"].as_f64().unwrap_or(0.0));
    }
    for (status, count) in stats["by_status"].as_object().into_iter().flatten() {
        totals.insert(format!("status {status}"), count["total"].as_f64().unwrap_or(0.0));
    }
    totals
}

/// Value of a label in a line of Prometheus text.
fn find_label<'a>(line: &'a str, label: &str) -> &'a str {
    let found = line.split([',', '{', '}']).find_map(|part| part.strip_prefix(label)?.strip_prefix("=\""));
    found.map_or("", |value| value.trim_end_matches('"'))
}

fn read_metrics(text: &str) -> Rates {
    let mut totals = Rates::new();
    for line in text.lines().filter(|l| !l.starts_with('#')) {
        let Some(value) = line.rsplit(' ').next().and_then(|v| v.parse::<f64>().ok()) else { continue };
        let name = if line.starts_with(STORE_CALLS) {
            format!("use {} {}", find_label(line, "use"), find_label(line, "operation"))
        } else if line.starts_with(ANSWERS) {
            ANSWERS.to_owned()
        } else if line.starts_with(PEER_CALLS) {
            format!("peer {}", find_label(line, "method"))
        } else {
            continue;
        };
        *totals.entry(name).or_default() += value;
    }
    totals
}
