//! Runs an entry on the platform until it is told to stop.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_platform::callers::READINESS_PATH;
use carawaybarrow_platform::settings::Settings;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use snafu::Snafu;
use tide::{Response, StatusCode};

use crate::clock;
use crate::http_server::{self, Limits};
use crate::metrics::MetricsError;
use crate::node::callers::{self, Front};
use crate::node::meters::NodeMetrics;
use crate::node::peers::{self, Peers};
use crate::node::view::View;
use crate::node::writes::{self, Writes};
use crate::node::{election, members};
use crate::serve;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Longest body that other entries send: a job with its answer.
const PEER_BODY_BYTES: u64 = 1 << 20;

/// Longest body of a caller before a configuration says otherwise.
const CALLER_BODY_BYTES: u64 = 262_144;

/// Time between the first refusal of readiness and the end of listening: the balancer asks each second and takes two
/// refusals.
const DRAIN_DELAY: Duration = Duration::from_millis(2_600);

/// An entry that can't start.
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

/// Runs an entry.
///
/// # Errors
///
/// Fails if an address can't be used.
pub async fn run(settings: Settings) -> Result<(), RunError> {
    let signals = serve::listen_signals(&[SIGTERM, SIGINT, SIGHUP])?;
    let incarnation = clock::wall_now().0;
    log::info!(entry:% = settings.entry, data_centre:% = settings.data_centre, incarnation = incarnation; "starting");
    let metrics = Arc::new(NodeMetrics::new()?);
    let view = Arc::new(View::new(settings.clone(), Arc::clone(&metrics)));
    let peer_calls = Arc::new(Peers::new(Arc::clone(&view), &settings.entry));

    let writes = Arc::new(Writes::new(Arc::clone(&view), &settings.entry));

    let mut peer_app = tide::with_state(Arc::clone(&view));
    peers::add_routes(&mut peer_app);
    writes::add_routes(&mut peer_app);
    // A server listens as long as its handle lives.
    let peer_server = http_server::listen(settings.peers, peer_app, Limits::new(PEER_BODY_BYTES)).await?;

    let mut ready_app = tide::with_state(Arc::clone(&view));
    ready_app.at(READINESS_PATH).get(answer_ready);
    let ready_server = http_server::listen(settings.readiness, ready_app, Limits::new(0)).await?;

    let mut metrics_app = tide::with_state(Arc::clone(&metrics));
    metrics_app.at(METRICS_PATH).get(answer_metrics);
    let metrics_server = http_server::listen(settings.metrics, metrics_app, Limits::new(0)).await?;

    let mut app = tide::with_state(Front { view: Arc::clone(&view), peers: Arc::clone(&peer_calls), writes });
    callers::add_routes(&mut app);
    let http = http_server::listen_with(settings.callers, app, caller_limits(&view)).await?;

    task::spawn(members::run(Arc::clone(&view)));
    let election = task::spawn(election::run(Arc::clone(&view), peer_calls, incarnation));
    // The sender lives as long as the process, so a missing signal can't end the wait.
    while let Ok(signal) = signals.recv().await {
        if signal != SIGHUP {
            break;
        }
        reload(&settings);
    }
    log::info!(requests = http.requests(), connections = http.connections(); "stopping");
    view.start_stop();
    election.cancel().await;
    if let Some(term) = view.term() {
        election::finish_last(&term, "the entry stops").await;
    }
    http.start_shutdown();
    task::sleep(DRAIN_DELAY).await;
    http.finish_shutdown().await;
    drop((peer_server, ready_server, metrics_server));
    log::info!("stopped");
    Ok(())
}

/// Limits of the callers' port, as the configuration in force has them.
fn caller_limits(view: &Arc<View>) -> http_server::LimitSource {
    let view = Arc::clone(view);
    Arc::new(move || match view.configuration().map(|c| c.limits) {
        Some(limits) => Limits {
            body_bytes: limits.body_bytes,
            header_timeout: limits.header_timeout.to_duration(),
            idle_timeout: limits.idle_timeout.to_duration(),
        },
        None => Limits::new(CALLER_BODY_BYTES),
    })
}

/// Reads the settings again. Addresses can't change while the process listens on them.
fn reload(old: &Settings) {
    match Settings::load() {
        Ok(new) if new == *old => log::info!("settings read again: no change"),
        Ok(_) => log::warn!("settings have changed; they are used from the next start on"),
        Err(findings) => log::error!(findings:% = findings; "the settings can't be read, the old ones stay"),
    }
}

async fn answer_metrics(req: tide::Request<Arc<NodeMetrics>>) -> tide::Result {
    Ok(Response::builder(StatusCode::Ok).content_type("text/plain; version=0.0.4").body(req.state().render()).build())
}

async fn answer_ready(req: tide::Request<Arc<View>>) -> tide::Result {
    let status = if req.state().is_ready() { StatusCode::Ok } else { StatusCode::ServiceUnavailable };
    Ok(Response::new(status))
}
