//! Runs an entry process until a signal stops it.

use std::sync::Arc;
use std::time::Duration;

use async_std::{channel, future, task};
use carawaybarrow_core::membership::MembersCommand;
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::{ResultExt, Snafu};

use crate::closed_connections;
use crate::entry::{Addresses, Entry, Platform};
use crate::http_client::Client;
use crate::http_server::{self, Limits};
use crate::metrics::{Metrics, MetricsError};
use crate::peer;
use crate::settings::Settings;
use crate::store::HttpStore;
use crate::vm_list::HttpVmList;
use crate::worker::HttpWorkers;
use crate::{admin, caller_api, explain, reports};

/// Timeout of the last calls to the store at a stop, once for the ledger and once for the release of shards, permits
/// and membership. If the store doesn't answer in time, the lease of the shards lapses and peers remove the member.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Exit code after a second signal: the one that shells report for SIGINT.
const FORCED_EXIT: i32 = 130;

/// Errors at the start of an entry.
#[derive(Debug, Snafu)]
pub enum ServeError {
    /// Metrics can't be set up.
    #[snafu(transparent)]
    Metrics {
        /// Error of the exporter.
        source: MetricsError,
    },
    /// The address for callers can't be used.
    #[snafu(transparent)]
    Listen {
        /// Error of the HTTP server.
        source: http_server::ListenError,
    },
    /// The address for peers can't be used.
    #[snafu(transparent)]
    ListenPeers {
        /// Error of the server for peers.
        source: peer::PeerListenError,
    },
    /// Signals can't be received.
    #[snafu(display("can't receive signals: {source}"))]
    Signal {
        /// Error of the system call.
        source: std::io::Error,
    },
}

/// Runs an entry until a signal stops it.
///
/// # Errors
///
/// Fails if an address can't be used, or if metrics or signal handlers can't be set up.
pub async fn serve(settings: Settings) -> Result<(), ServeError> {
    let signals = listen_signals(&[SIGTERM, SIGINT]).context(SignalSnafu)?;
    let metrics = Arc::new(Metrics::new()?);
    let (peer_address, peer_server) = peer::listen(settings.peers).await?;
    let callers = settings.callers;
    let entry = Entry::new(settings.clone(), connect_platform(&settings, &metrics), Arc::clone(&metrics));
    let mut app = tide::with_state(Arc::clone(&entry));
    caller_api::add_routes(&mut app);
    admin::add_routes(&mut app);
    reports::add_routes(&mut app);
    explain::add_routes(&mut app);
    let limits = Limits::new(settings.body_bytes);
    let http = http_server::listen_with(callers, app, Arc::new(move || limits), settings.connection_limits()).await?;
    let counter = Arc::clone(&metrics);
    task::spawn(closed_connections::watch(http.clone(), move |reason, count| {
        counter.count_closed_connections(reason, count);
    }));
    let peers = peer::serve(peer_server, Arc::clone(&entry));
    let addresses = Addresses { callers: http.address(), peers: peer_address };
    // Scripts read this line to detect that the servers are listening, and to find their addresses.
    println!("{}", json!({ "listening": addresses.callers, "peers": addresses.peers, "entry": settings.entry }));
    let start_task = task::spawn({
        let entry = Arc::clone(&entry);
        async move { entry.start(addresses).await }
    });
    // The sender exists as long as the process, so only a signal ends the wait.
    let _ = signals.recv().await;
    start_task.cancel().await;
    task::spawn(exit_on_second_signal(signals));
    stop(&entry, &http).await;
    let _ = peers.stop();
    Ok(())
}

/// Stops gracefully: readiness fails first, so that the balancer sends no new requests, and requests in progress are
/// answered.
async fn stop(entry: &Arc<Entry>, http: &http_server::Handle) {
    entry.begin_shutdown();
    http.start_shutdown();
    task::sleep(entry.settings.drain_delay.to_duration()).await;
    http.finish_shutdown().await;
    // If the store doesn't answer, the counts that are not yet in the ledger are lost.
    let _ = future::timeout(LEAVE_TIMEOUT, entry.flush_urgent_lines()).await;
    let leave = MembersCommand::Leave { entry: entry.settings.entry.clone(), incarnation: entry.incarnation };
    let leave_cluster = async {
        entry.release_ownership().await;
        entry.return_all_permits().await;
        entry.change_members(leave).await
    };
    if !matches!(future::timeout(LEAVE_TIMEOUT, leave_cluster).await, Ok(Ok(_))) {
        log::warn!("left without telling the store");
    }
    log::info!("stopped");
}

fn connect_platform(settings: &Settings, metrics: &Arc<Metrics>) -> Platform {
    let name = settings.entry.as_str();
    Platform {
        store: Box::new(HttpStore::new(settings.store, Client::new(name), Arc::clone(metrics))),
        workers: Box::new(HttpWorkers::new(Client::new(name))),
        vm_list: Box::new(HttpVmList::new(settings.vm_list, Client::new(name))),
    }
}

/// Returns a channel that receives the signals of `which`, on a thread of its own.
///
/// # Errors
///
/// Fails if a handler can't be set.
pub fn listen_signals(which: &[i32]) -> Result<channel::Receiver<i32>, std::io::Error> {
    let mut signals = Signals::new(which)?;
    let (tx, rx) = channel::unbounded();
    std::thread::spawn(move || {
        for signal in signals.forever() {
            if tx.send_blocking(signal).is_err() {
                return;
            }
        }
    });
    Ok(rx)
}

async fn exit_on_second_signal(signals: channel::Receiver<i32>) {
    if signals.recv().await.is_ok() {
        log::warn!("second signal, stopping at once");
        std::process::exit(FORCED_EXIT);
    }
}
