//! Metrics of an entry in the Prometheus text format.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::metrics::MetricsError;

/// Upper bounds of the buckets of the latency histograms, in seconds.
const BOUNDS: [f64; 12] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// Metric instruments of an entry.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    // Dropping the provider would end the collection of metrics.
    _provider: SdkMeterProvider,
    requests: Histogram<f64>,
    orders: Histogram<f64>,
    store: Histogram<f64>,
    runs: Counter<u64>,
    evacuations: Counter<u64>,
    reservations: Counter<u64>,
    unsettled_runs: Counter<u64>,
    closed_connections: Counter<u64>,
    term: Gauge<u64>,
    version: Gauge<u64>,
    proof_age: Gauge<u64>,
}

impl NodeMetrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be registered.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(MetricsError::from_exporter)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("carawaybarrow");
        let histogram = |name: &'static str, text: &'static str| {
            meter.f64_histogram(name).with_description(text).with_boundaries(BOUNDS.to_vec()).build()
        };
        Ok(Self {
            requests: histogram("carawaybarrow_request_seconds", "Time to answer a caller"),
            orders: histogram("carawaybarrow_order_seconds", "Time until a worker answers an order"),
            store: histogram("carawaybarrow_store_write_seconds", "Time until the store answers a write of ends"),
            runs: meter.u64_counter("carawaybarrow_runs_ended").with_description("Runs by how they ended").build(),
            evacuations: meter
                .u64_counter("carawaybarrow_evacuation_changes")
                .with_description("Evacuations of data centres that began or ended")
                .build(),
            reservations: meter
                .u64_counter("carawaybarrow_reservations")
                .with_description("Steps for which room began to be kept, or is kept no more")
                .build(),
            unsettled_runs: meter
                .u64_counter("carawaybarrow_unsettled_runs")
                .with_description(
                    "Runs whose start or stop had no known outcome for 3 s, by the order that is repeated",
                )
                .build(),
            closed_connections: meter
                .u64_counter("carawaybarrow_connections_closed")
                .with_description("Connections of callers that were closed or refused, by reason")
                .build(),
            term: meter
                .u64_gauge("carawaybarrow_term_token")
                .with_description("Token while this node schedules, or 0")
                .build(),
            version: meter
                .u64_gauge("carawaybarrow_config_version")
                .with_description("Configuration in force here")
                .build(),
            proof_age: meter
                .u64_gauge("carawaybarrow_config_proof_age_ms")
                .with_description("Age of the proof that it is current")
                .build(),
            registry,
            _provider: provider,
        })
    }

    /// Records an answer to a caller.
    pub fn record_request(&self, method: &str, status: u16, took: Duration) {
        let labels = [KeyValue::new("method", method.to_owned()), KeyValue::new("status", i64::from(status))];
        self.requests.record(took.as_secs_f64(), &labels);
    }

    /// Records the answer to an order.
    pub fn record_order(&self, order: &'static str, answer: &'static str, took: Duration) {
        self.orders.record(took.as_secs_f64(), &[KeyValue::new("order", order), KeyValue::new("answer", answer)]);
    }

    /// Records the store's answer to a write of jobs.
    pub fn record_store_write(&self, is_done: bool, took: Duration) {
        self.store.record(took.as_secs_f64(), &[KeyValue::new("done", is_done)]);
    }

    /// Counts the end of a run.
    pub fn count_run(&self, how: &'static str) {
        self.runs.add(1, &[KeyValue::new("how", how)]);
    }

    /// Counts the begin or the end of an evacuation.
    pub fn count_evacuation(&self, change: &'static str) {
        self.evacuations.add(1, &[KeyValue::new("change", change)]);
    }

    /// Counts a step for which room began to be kept, or is kept no more.
    pub fn count_reservation(&self, change: &'static str) {
        self.reservations.add(1, &[KeyValue::new("change", change)]);
    }

    /// Counts a run whose start or stop has had no known outcome for long.
    pub fn count_unsettled_run(&self, order: &'static str) {
        self.unsettled_runs.add(1, &[KeyValue::new("order", order)]);
    }

    /// Counts connections of callers that were closed or refused.
    pub fn count_closed_connections(&self, reason: &'static str, count: u64) {
        self.closed_connections.add(count, &[KeyValue::new("reason", reason)]);
    }

    /// Sets the fencing token of this entry's term; 0 if it doesn't schedule.
    pub fn set_token(&self, token: u64) {
        self.term.record(token, &[]);
    }

    /// Sets the version of the configuration, and the age in ms of the proof that it is current.
    pub fn set_configuration(&self, version: u64, proof_age_ms: u64) {
        self.version.record(version, &[]);
        self.proof_age.record(proof_age_ms, &[]);
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_else(|e| {
            log::error!(error:% = e; "metrics can't be rendered");
            String::new()
        })
    }
}
