//! Starts the process of an entry, and stops it on a signal.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::byte_budget::ByteBudget;
use carawaybarrow_core::sched::scheduler::Scheduler;
use carawaybarrow_platform::callers::READINESS_PATH;
use carawaybarrow_platform::settings::Settings;
use serde_json::{Value, json};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use snafu::Snafu;
use tide::{Response, StatusCode};

use crate::clock;
use crate::closed_connections;
use crate::http_server::{self, Limits};
use crate::metrics::MetricsError;
use crate::node::callers::{self, CallerApi};
use crate::node::key_writes::{self, StoreKeyWriter};
use crate::node::metrics::NodeMetrics;
use crate::node::peers::{self, SchedulerClient};
use crate::node::tombstones::{self, TombstoneWriter};
use crate::node::view::{self, View};
use crate::node::{election, members};
use crate::serve;

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";

/// Path of the list of evacuations, on the address of the metrics.
const EVACUATIONS_PATH: &str = "/evacuations";

/// Path of the list of runs whose start or stop is not settled, on the address of the metrics.
const UNSETTLED_RUNS_PATH: &str = "/unsettled-runs";

/// Maximum size of a request body from other entries. The largest bodies hold the record of a job.
const PEER_BODY_BYTES: u64 = 1 << 20;

/// Maximum size of a caller's request body while no configuration is known.
const CALLER_BODY_BYTES: u64 = 262_144;

/// Time for which callers are still served after the entry fails its readiness checks and has ended its term. The load
/// balancer checks each second and removes the entry after two failures.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(2_600);

/// Why an entry can't start.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// An address can't be used.
    #[snafu(transparent)]
    Listen {
        /// Cause.
        source: http_server::ListenError,
    },
    /// Metrics can't be set up.
    #[snafu(transparent)]
    Metrics {
        /// Cause.
        source: MetricsError,
    },
    /// Signals can't be received.
    #[snafu(display("can't receive signals: {source}"), context(false))]
    Signal {
        /// Cause.
        source: std::io::Error,
    },
}

/// Runs an entry until it receives SIGTERM or SIGINT; SIGHUP reads the settings again.
///
/// # Errors
///
/// Fails if signals, metrics or an address can't be set up.
pub async fn run(settings: Settings) -> Result<(), RunError> {
    let signals = serve::listen_signals(&[SIGTERM, SIGINT, SIGHUP])?;
    let incarnation = clock::wall_now().0;
    log::info!(entry:% = settings.entry, data_centre:% = settings.data_centre, incarnation = incarnation; "starting");
    let metrics = Arc::new(NodeMetrics::new()?);
    let view = Arc::new(View::new(settings.clone(), Arc::clone(&metrics), incarnation));
    let scheduler_client = Arc::new(SchedulerClient::new(Arc::clone(&view), &settings.entry));

    let key_writer = Arc::new(StoreKeyWriter::new(Arc::clone(&view), &settings.entry));
    let tombstone_writer = Arc::new(TombstoneWriter::new(Arc::clone(&view), Arc::clone(&key_writer), &settings.entry));

    let mut peer_app = tide::with_state(Arc::clone(&view));
    peers::add_routes(&mut peer_app);
    key_writes::add_routes(&mut peer_app);
    tombstones::add_routes(&mut peer_app, &tombstone_writer);
    // A server listens until its handle is dropped.
    let peer_server = http_server::listen(settings.peers_listen, peer_app, Limits::new(PEER_BODY_BYTES)).await?;

    let mut ready_app = tide::with_state(Arc::clone(&view));
    ready_app.at(READINESS_PATH).get(answer_readiness);
    let ready_server = http_server::listen(settings.readiness, ready_app, Limits::new(0)).await?;

    let mut metrics_app = tide::with_state(Arc::clone(&metrics));
    metrics_app.at(METRICS_PATH).get(answer_metrics);
    let evacuations_view = Arc::clone(&view);
    metrics_app.at(EVACUATIONS_PATH).get(move |_| {
        let response = list_evacuations(&evacuations_view);
        async move { Ok(response) }
    });
    let unsettled_view = Arc::clone(&view);
    metrics_app.at(UNSETTLED_RUNS_PATH).get(move |_| {
        let response = list_unsettled_runs(&unsettled_view);
        async move { Ok(response) }
    });
    let metrics_server = http_server::listen(settings.metrics, metrics_app, Limits::new(0)).await?;

    let mut caller_app = tide::with_state(CallerApi {
        view: Arc::clone(&view),
        scheduler: Arc::clone(&scheduler_client),
        key_writer,
        tombstones: tombstone_writer,
        storing: Arc::new(ByteBudget::new(settings.connection_limits.request_bytes)),
    });
    callers::add_routes(&mut caller_app);
    let caller_server =
        http_server::listen_with(settings.callers, caller_app, caller_limits(&view), settings.connection_limits)
            .await?;
    let counter = Arc::clone(&metrics);
    task::spawn(closed_connections::watch(caller_server.clone(), move |reason, count| {
        counter.count_closed_connections(reason, count);
    }));

    task::spawn(members::run(Arc::clone(&view)));
    let election = task::spawn(election::run(Arc::clone(&view), scheduler_client));
    // The sender lives as long as the process, so `recv` doesn't fail.
    while let Ok(signal) = signals.recv().await {
        if signal != SIGHUP {
            break;
        }
        check_settings(&settings);
    }
    log::info!(requests = caller_server.requests(), connections = caller_server.connections(); "stopping");
    view.begin_shutdown();
    election.cancel().await;
    if let Some(term) = view.term() {
        election::end_and_release_term(&term, "the entry stops").await;
    }
    caller_server.start_shutdown();
    task::sleep(SHUTDOWN_DELAY).await;
    caller_server.finish_shutdown().await;
    drop((peer_server, ready_server, metrics_server));
    log::info!("stopped");
    Ok(())
}

/// Request limits for callers, from the latest known configuration.
fn caller_limits(view: &Arc<View>) -> http_server::LimitSource {
    let view = Arc::clone(view);
    Arc::new(move || match view.configuration().map(|c| c.limits) {
        Some(limits) => Limits {
            header_bytes: limits.header_bytes,
            body_bytes: limits.body_bytes,
            header_timeout: limits.header_timeout.to_duration(),
            idle_timeout: limits.idle_timeout.to_duration(),
            ..Limits::new(limits.body_bytes)
        },
        None => Limits::new(CALLER_BODY_BYTES),
    })
}

/// Reads the settings again and logs whether they have changed. Changes take effect at the next start, as addresses
/// can't change while the process listens on them.
fn check_settings(old: &Settings) {
    match Settings::load() {
        Ok(new) if new == *old => log::info!("settings read again: no change"),
        Ok(_) => log::warn!("the settings have changed; the changes take effect at the next start"),
        Err(findings) => log::error!(findings:% = findings; "the settings can't be read; the old ones stay in use"),
    }
}

async fn answer_metrics(req: tide::Request<Arc<NodeMetrics>>) -> tide::Result {
    Ok(Response::builder(StatusCode::Ok).content_type("text/plain; version=0.0.4").body(req.state().render()).build())
}

/// Evacuated data centres and what still runs there.
fn list_evacuations(view: &View) -> Response {
    answer_as_scheduler(view, |s| json!({ "evacuations": s.evacuations() }))
}

/// Runs whose start or stop is not settled.
fn list_unsettled_runs(view: &View) -> Response {
    answer_as_scheduler(view, |s| json!({ "unsettled_runs": s.unsettled_runs(view::now().mono) }))
}

/// Answers from the scheduler's state. An entry that does not schedule names the one that does.
fn answer_as_scheduler(view: &View, read: impl FnOnce(&Scheduler) -> Value) -> Response {
    let (status, body) = match view.term().filter(|t| t.is_loaded()) {
        Some(term) => (StatusCode::Ok, term.with(|s| read(s))),
        None => (StatusCode::ServiceUnavailable, json!({ "scheduler": view.scheduler().map(|o| o.entry) })),
    };
    Response::builder(status).content_type("application/json").body(body.to_string()).build()
}

async fn answer_readiness(req: tide::Request<Arc<View>>) -> tide::Result {
    let status = if req.state().is_ready() { StatusCode::Ok } else { StatusCode::ServiceUnavailable };
    Ok(Response::new(status))
}
