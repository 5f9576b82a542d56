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
use crate::node::callers::{self, Front};
use crate::node::peers::{self, Peers};
use crate::node::view::View;
use crate::node::writes::{self, Writes};
use crate::node::{election, members, writer};
use crate::serve;

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
    let view = Arc::new(View::new(settings.clone()));
    let peer_calls = Arc::new(Peers::new(Arc::clone(&view), &settings.entry));

    let writes = Arc::new(Writes::new(Arc::clone(&view), &settings.entry));

    let mut peer_app = tide::with_state(Arc::clone(&view));
    peers::add_routes(&mut peer_app);
    writes::add_routes(&mut peer_app);
    // A server listens as long as its handle lives.
    let peer_server = http_server::listen(settings.peers, peer_app, Limits { body_bytes: PEER_BODY_BYTES }).await?;

    let mut ready_app = tide::with_state(Arc::clone(&view));
    ready_app.at(READINESS_PATH).get(answer_ready);
    let ready_server = http_server::listen(settings.readiness, ready_app, Limits { body_bytes: 0 }).await?;

    let mut app = tide::with_state(Front { view: Arc::clone(&view), peers: peer_calls, writes });
    callers::add_routes(&mut app);
    let http = http_server::listen(settings.callers, app, Limits { body_bytes: CALLER_BODY_BYTES }).await?;

    task::spawn(members::run(Arc::clone(&view)));
    let election = task::spawn(election::run(Arc::clone(&view), incarnation));
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
        term.end("the entry stops");
        writer::flush(&term).await;
        election::release(&term).await;
    }
    http.start_stop();
    task::sleep(DRAIN_DELAY).await;
    http.finish_stop().await;
    drop((peer_server, ready_server));
    log::info!("stopped");
    Ok(())
}

/// Reads the settings again. Addresses can't change while the process listens on them.
fn reload(old: &Settings) {
    match Settings::load() {
        Ok(new) if new == *old => log::info!("settings read again: no change"),
        Ok(_) => log::warn!("settings have changed; they are used from the next start on"),
        Err(findings) => log::error!(findings:% = findings; "the settings can't be read, the old ones stay"),
    }
}

async fn answer_ready(req: tide::Request<Arc<View>>) -> tide::Result {
    let status = if req.state().is_ready() { StatusCode::Ok } else { StatusCode::ServiceUnavailable };
    Ok(Response::new(status))
}
