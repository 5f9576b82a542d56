//! Runs an entry until it is told to stop.

use std::sync::Arc;
use std::time::Duration;

use async_std::{channel, future, task};
use carawaybarrow_core::membership::MembersCommand;
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::{ResultExt, Snafu};

use crate::entry::{Addresses, Entry, Platform};
use crate::http_client::Client;
use crate::http_server::{self, Limits};
use crate::metrics::{Metrics, MetricsError};
use crate::peer;
use crate::settings::Settings;
use crate::store::HttpStore;
use crate::vm_list::HttpVmList;
use crate::worker::HttpWorkers;
use crate::{admin, explain, front, reports};

/// Time for the last calls to the store at a stop. During an outage of the store they are given up: the lease of
/// the roles lapses, and peers remove the member.
const FAREWELL_LIMIT: Duration = Duration::from_secs(2);

/// Exit code after a second signal, as shells report the signal SIGINT.
const FORCED_EXIT: i32 = 130;

/// An entry that can't start.
#[derive(Debug, Snafu)]
pub enum ServeError {
    /// Metrics can't be set up.
    #[snafu(transparent)]
    Metrics {
        /// Cause.
        source: MetricsError,
    },
    /// The address for callers can't be used.
    #[snafu(transparent)]
    Listen {
        /// Cause.
        source: http_server::ListenError,
    },
    /// The address for peers can't be used.
    #[snafu(transparent)]
    ListenPeers {
        /// Cause.
        source: peer::PeerListenError,
    },
    /// Signals can't be received.
    #[snafu(display("can't receive signals: {source}"))]
    Signal {
        /// Cause.
        source: std::io::Error,
    },
}

/// Runs an entry until a signal stops it.
///
/// # Errors
///
/// Fails if an address can't be used.
pub async fn serve(settings: Settings) -> Result<(), ServeError> {
    let signals = listen_signals(&[SIGTERM, SIGINT]).context(SignalSnafu)?;
    let metrics = Arc::new(Metrics::new()?);
    let (peer_address, peer_server) = peer::listen(settings.peers).await?;
    let callers = settings.callers;
    let entry = Entry::new(settings.clone(), connect_platform(&settings, &metrics), Arc::clone(&metrics));
    let mut app = tide::with_state(Arc::clone(&entry));
    front::add_routes(&mut app);
    admin::add_routes(&mut app);
    reports::add_routes(&mut app);
    explain::add_routes(&mut app);
    let http = http_server::listen(callers, app, Limits::new(settings.body_bytes)).await?;
    let peers = peer::serve(peer_server, Arc::clone(&entry));
    let addresses = Addresses { callers: http.address(), peers: peer_address };
    // Scripts wait for this line instead of guessing when the process is ready to be asked.
    println!("{}", json!({ "listening": addresses.callers, "peers": addresses.peers, "entry": settings.entry }));
    let started = task::spawn({
        let entry = Arc::clone(&entry);
        async move { entry.start(addresses).await }
    });
    // The sender lives as long as the process, so a missing signal can't end the wait.
    let _ = signals.recv().await;
    started.cancel().await;
    task::spawn(exit_on_second_signal(signals));
    stop(&entry, &http).await;
    let _ = peers.stop();
    Ok(())
}

/// Stops without cutting a request: the balancer is told first, and requests in progress are answered.
async fn stop(entry: &Arc<Entry>, http: &http_server::Handle) {
    entry.start_stop();
    http.start_shutdown();
    task::sleep(entry.settings.drain_delay.to_duration()).await;
    http.finish_shutdown().await;
    // Without an answer of the store the counts of the last minute are lost with the process.
    let _ = future::timeout(FAREWELL_LIMIT, entry.flush_urgent_lines()).await;
    let leave = MembersCommand::Leave { entry: entry.settings.entry.clone(), incarnation: entry.incarnation };
    let farewell = async {
        entry.give_up_shards().await;
        entry.give_up_permits().await;
        entry.change_members(leave).await
    };
    if !matches!(future::timeout(FAREWELL_LIMIT, farewell).await, Ok(Ok(_))) {
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

/// Receives signals.
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
