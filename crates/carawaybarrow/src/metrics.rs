//! Counters, gauges and histograms of the process, exported as Prometheus text.

use carawaybarrow_core::ids::{ClassId, PoolId};
use carawaybarrow_core::job::Ran;
use carawaybarrow_core::units::Millis;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

/// Bucket bounds of the histogram of waiting times, in seconds.
const WAIT_BOUNDS: [f64; 10] = [0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 0.5, 1.1, 5.0, 30.0];

/// The metrics exporter can't be registered.
#[derive(Debug, Snafu)]
#[snafu(display("metrics can't be set up: {source}"))]
pub struct MetricsError {
    source: opentelemetry_sdk::error::OTelSdkError,
}

impl MetricsError {
    /// Wraps the error of an exporter.
    pub(crate) const fn from_exporter(source: opentelemetry_sdk::error::OTelSdkError) -> Self {
        Self { source }
    }
}

/// Purpose of a call to the store. Calls are counted by purpose, to compare them with the writes per second that the
/// platform's store allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreUse {
    /// Configuration and membership.
    Config,
    /// Freshness probes.
    Probe,
    /// Job shards.
    Journal,
    /// Payloads, results and the ledger.
    Content,
    /// Permits.
    Quota,
    /// VM records and waves.
    Fleet,
    /// Leases and owner keys.
    Lease,
}

impl StoreUse {
    /// Purpose of calls with a key, by the first part of the key.
    #[must_use]
    pub fn of_key(key: &str) -> Self {
        match key.split('/').next().unwrap_or_default() {
            "jobs" => Self::Journal,
            "quota" => Self::Quota,
            "fleet" => Self::Fleet,
            "owner" => Self::Lease,
            "payloads" | "results" | "ledger" => Self::Content,
            _ => Self::Config,
        }
    }

    const fn label(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Probe => "probe",
            Self::Journal => "journal",
            Self::Content => "content",
            Self::Quota => "quota",
            Self::Fleet => "fleet",
            Self::Lease => "lease",
        }
    }
}

/// Metric instruments of an entry.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    // Held because dropping the provider would end the collection.
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    retries: Counter<u64>,
    closed_connections: Counter<u64>,
    store_calls: Counter<u64>,
    peer_calls: Counter<u64>,
    ledger_lines: Counter<u64>,
    ledger_failures: Counter<u64>,
    ledger_dropped: Counter<u64>,
    waits: Histogram<f64>,
    queued: Gauge<u64>,
    revision: Gauge<u64>,
    fresh: Gauge<u64>,
}

impl Metrics {
    /// Sets up the instruments.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be registered.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build().context(MetricsSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("carawaybarrow");
        Ok(Self {
            answers: meter.u64_counter("carawaybarrow_answers").with_description("Answers to submitted jobs").build(),
            retries: meter.u64_counter("carawaybarrow_retries").with_description("Attempts after the first").build(),
            closed_connections: meter
                .u64_counter("carawaybarrow_connections_closed")
                .with_description("Connections of callers that were closed or refused, by reason")
                .build(),
            store_calls: meter.u64_counter("carawaybarrow_store_calls").with_description("Calls to the store").build(),
            peer_calls: meter.u64_counter("carawaybarrow_peer_calls").with_description("Calls to peers").build(),
            ledger_lines: meter
                .u64_counter("carawaybarrow_ledger_lines")
                .with_description("Lines stored in the ledger")
                .build(),
            ledger_failures: meter
                .u64_counter("carawaybarrow_ledger_failures")
                .with_description("Appends to the ledger that are left to a later round")
                .build(),
            ledger_dropped: meter
                .u64_counter("carawaybarrow_ledger_dropped")
                .with_description("Urgent jobs whose team and class found no room")
                .build(),
            waits: meter
                .f64_histogram("carawaybarrow_wait_seconds")
                .with_description("Time from acceptance to start")
                .with_boundaries(WAIT_BOUNDS.to_vec())
                .build(),
            queued: meter.u64_gauge("carawaybarrow_queued_jobs").with_description("Jobs that wait here").build(),
            revision: meter
                .u64_gauge("carawaybarrow_config_revision")
                .with_description("Configuration in force here")
                .build(),
            fresh: meter.u64_gauge("carawaybarrow_fresh").with_description("1 while keyed work may start here").build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts an answer to a caller.
    pub fn count_answer(&self, class: Option<&ClassId>, ran: Ran, status: u16) {
        let class = class.map_or_else(String::new, ToString::to_string);
        let labels = [
            KeyValue::new("class", class),
            KeyValue::new("ran", ran.to_string()),
            KeyValue::new("status", i64::from(status)),
        ];
        self.answers.add(1, &labels);
    }

    /// Counts an attempt after the first.
    pub fn count_retry(&self, class: &ClassId) {
        self.retries.add(1, &[KeyValue::new("class", class.to_string())]);
    }

    /// Counts a call to the store: a read, write or watch.
    pub fn count_store_call(&self, usage: StoreUse, operation: &'static str) {
        let labels = [KeyValue::new("use", usage.label()), KeyValue::new("operation", operation)];
        self.store_calls.add(1, &labels);
    }

    /// Counts a call of a method of a peer. The calls of `members.get` and `journal.get`, and those of `config.since` to
    /// the seeds, aren't counted.
    pub fn count_peer_call(&self, method: &'static str) {
        self.peer_calls.add(1, &[KeyValue::new("method", method)]);
    }

    /// Counts lines stored in the ledger.
    pub fn count_ledger_lines(&self, count: usize) {
        self.ledger_lines.add(count as u64, &[]);
    }

    /// Counts an append to the ledger that is left to a later round.
    pub fn count_ledger_failure(&self) {
        self.ledger_failures.add(1, &[]);
    }

    /// Counts an urgent job that the ledger counts under `not-recorded`, without its team and class, because the number
    /// of counts in memory is at its limit.
    pub fn count_ledger_dropped(&self) {
        self.ledger_dropped.add(1, &[]);
    }

    /// Records the time from a job's acceptance to its start.
    pub fn record_wait(&self, class: &ClassId, wait: Millis) {
        // Waits are far below the 2^53 ms that an f64 represents exactly.
        self.waits.record(wait.0 as f64 / 1000.0, &[KeyValue::new("class", class.to_string())]);
    }

    /// Sets the number of waiting jobs of a pool.
    pub fn set_queued(&self, pool: &PoolId, count: usize) {
        self.queued.record(count as u64, &[KeyValue::new("pool", pool.to_string())]);
    }

    /// Sets the configuration revision in force at this entry.
    pub fn set_revision(&self, revision: u64) {
        self.revision.record(revision, &[]);
    }

    /// Sets whether keyed work may start at this entry.
    pub fn set_fresh(&self, fresh: bool) {
        self.fresh.record(u64::from(fresh), &[]);
    }

    /// Counts connections of callers that were closed or refused.
    pub fn count_closed_connections(&self, reason: &'static str, count: u64) {
        self.closed_connections.add(count, &[KeyValue::new("reason", reason)]);
    }

    /// Renders all metrics as Prometheus text; empty if they can't be encoded.
    #[must_use]
    pub fn render(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
