//! Samples of CPU time, memory and call counters, taken about once a second.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::capacity::usage;
use crate::client::Client;

/// Timeout of one request for counters; a frozen entry doesn't answer.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Counter of an entry's store calls, labelled with use and operation.
const STORE_CALLS_METRIC: &str = "carawaybarrow_store_calls";

/// Counter of an entry's answers to callers.
const ANSWERS_METRIC: &str = "carawaybarrow_answers";

/// Counter of an entry's calls to peers, labelled with the method.
const PEER_CALLS_METRIC: &str = "carawaybarrow_peer_calls";

/// Addresses and processes to sample.
#[derive(Clone, Debug)]
pub struct Sources {
    /// Address of the store stand-in.
    pub store: SocketAddr,
    /// Addresses at which the entries serve callers.
    pub entries: Vec<SocketAddr>,
    /// Process ids of the entries, in the order of `entries`.
    pub pids: Vec<u32>,
}

/// Counter values by name.
type Counters = BTreeMap<String, f64>;

/// Increase of a counter over all samples.
#[derive(Clone, Debug, Default)]
struct RateStats {
    /// Sum, in the unit of the counter.
    total: f64,
    /// Highest rate of one sample: units a second, or percent of a core for CPU time.
    peak: f64,
}

/// All counters at one time.
#[derive(Debug)]
struct Reading {
    at: Instant,
    store: Counters,
    /// Counters of each entry, and when they were read. An entry that doesn't answer keeps its last ones.
    entries: Vec<(Instant, Counters)>,
    /// CPU time of each entry's process in µs.
    cpu: Vec<f64>,
}

/// Collects samples and derives mean and peak rates from them.
#[derive(Debug)]
pub struct Sampler {
    client: Client,
    sources: Sources,
    last: Reading,
    started_at: Instant,
    rates: BTreeMap<String, RateStats>,
    cpu: Vec<RateStats>,
    /// Highest resident memory of each process in KB.
    resident_kb: Vec<f64>,
}

impl Sampler {
    /// Creates a sampler and takes the first reading, which later samples are compared with.
    pub async fn start(sources: Sources) -> Self {
        let client = Client::new().with_timeout(READ_TIMEOUT);
        let (at, count) = (Instant::now(), sources.entries.len());
        let empty =
            Reading { at, store: Counters::new(), entries: vec![(at, Counters::new()); count], cpu: vec![0.0; count] };
        let last = read_all(&client, &sources, &empty).await;
        let (cpu, resident_kb) = (vec![RateStats::default(); count], vec![0.0; count]);
        Self { client, sources, last, started_at: at, rates: BTreeMap::new(), cpu, resident_kb }
    }

    /// Takes a reading and adds the increases since the last one. Call it about once a second, since a peak is the
    /// highest rate between two readings.
    pub async fn sample(&mut self) {
        let now = read_all(&self.client, &self.sources, &self.last).await;
        let seconds = (now.at - self.last.at).as_secs_f64();
        let mut increments = Counters::new();
        for (name, total) in &now.store {
            increments.insert(format!("store {name}"), (total - self.last.store.get(name).unwrap_or(&0.0)).max(0.0));
        }
        for ((_, new), (_, old)) in now.entries.iter().zip(&self.last.entries) {
            for (name, total) in new {
                *increments.entry(name.clone()).or_default() += (total - old.get(name).unwrap_or(&0.0)).max(0.0);
            }
        }
        for (name, increment) in increments {
            let stats = self.rates.entry(name).or_default();
            stats.total += increment;
            stats.peak = stats.peak.max(increment / seconds);
        }
        for (i, pid) in self.sources.pids.iter().enumerate() {
            // The CPU time of a process that has ended reads as 0.
            let used = (now.cpu[i] - self.last.cpu[i]).max(0.0);
            self.cpu[i].total += used;
            self.cpu[i].peak = self.cpu[i].peak.max(used / 1e4 / seconds);
            self.resident_kb[i] = self.resident_kb[i].max(usage::resident_kb(*pid));
        }
        self.last = now;
    }

    /// The result as JSON: mean and peak rate of each counter a second, and CPU and memory usage over all entries.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let seconds = (self.last.at - self.started_at).as_secs_f64();
        let rates: BTreeMap<_, _> = self
            .rates
            .iter()
            .filter(|(_, p)| p.total > 0.0)
            .map(|(name, p)| (name, json!({ "mean": p.total / seconds, "peak": p.peak })))
            .collect();
        let cpu_seconds = self.cpu.iter().map(|p| p.total).sum::<f64>() / 1e6;
        let answers = self.rates.get(ANSWERS_METRIC).map_or(0.0, |p| p.total);
        let entries = self.sources.entries.len().max(1) as f64;
        json!({
            "seconds": seconds,
            "rates": rates,
            "answers": answers,
            "answers_per_cpu_second": answers / cpu_seconds,
            "cpu_percent_mean": cpu_seconds * 100.0 / seconds / entries,
            "cpu_percent_peak": self.cpu.iter().map(|p| p.peak).fold(0.0, f64::max),
            "resident_mb_peak": self.resident_kb.iter().copied().fold(0.0, f64::max) / 1024.0,
        })
    }
}

/// Reads all sources. Counters of a source that doesn't answer are copied from `last`.
async fn read_all(client: &Client, sources: &Sources, last: &Reading) -> Reading {
    let cpu = sources.pids.iter().map(|pid| usage::process_micros(*pid)).collect();
    let at = Instant::now();
    let store = match client.get(sources.store, "/control/stats").await {
        Ok(reply) => parse_store_stats(&reply.json::<Value>().unwrap_or_default()),
        Err(_) => last.store.clone(),
    };
    let reads = sources.entries.iter().map(|entry| client.get(*entry, "/metrics"));
    let replies = futures::future::join_all(reads).await;
    let entries = replies.into_iter().zip(&last.entries).map(|(reply, old)| match reply {
        Ok(reply) => (at, parse_metrics(&reply.text())),
        Err(_) => old.clone(),
    });
    Reading { at, store, entries: entries.collect(), cpu }
}

fn parse_store_stats(stats: &Value) -> Counters {
    let mut totals = Counters::new();
    for (operation, count) in stats["by_operation"].as_object().into_iter().flatten() {
        totals.insert(operation.clone(), count["total"].as_f64().unwrap_or(0.0));
    }
    for (status, count) in stats["by_status"].as_object().into_iter().flatten() {
        totals.insert(format!("status {status}"), count["total"].as_f64().unwrap_or(0.0));
    }
    totals
}

/// Value of a label in a line of the Prometheus text format; empty if the line lacks the label.
fn find_label<'a>(line: &'a str, label: &str) -> &'a str {
    let found = line.split([',', '{', '}']).find_map(|part| part.strip_prefix(label)?.strip_prefix("=\""));
    found.map_or("", |value| value.trim_end_matches('"'))
}

/// Sums the sampled counters of the Prometheus text format over all labels that aren't part of the name.
fn parse_metrics(text: &str) -> Counters {
    let mut totals = Counters::new();
    for line in text.lines().filter(|l| !l.starts_with('#')) {
        let Some(value) = line.rsplit(' ').next().and_then(|v| v.parse::<f64>().ok()) else { continue };
        let name = if line.starts_with(STORE_CALLS_METRIC) {
            format!("use {} {}", find_label(line, "use"), find_label(line, "operation"))
        } else if line.starts_with(ANSWERS_METRIC) {
            ANSWERS_METRIC.to_owned()
        } else if line.starts_with(PEER_CALLS_METRIC) {
            format!("peer {}", find_label(line, "method"))
        } else {
            continue;
        };
        *totals.entry(name).or_default() += value;
    }
    totals
}
