//! Logs and counts the connections of callers that the server has closed, by reason.

use std::time::Duration;

use async_std::task;

use crate::http_server::Handle;

/// Time between two log lines of the same reason.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Reports connections that were closed as long as the process runs: `record` gets the name of the reason and the number
/// of connections since the last report.
pub async fn watch(server: Handle, record: impl Fn(&'static str, u64)) {
    let mut known = server.closed();
    loop {
        task::sleep(LOG_INTERVAL).await;
        let now = server.closed();
        for ((reason, count), (_, before)) in now.iter().zip(&known) {
            if count > before {
                let (name, closed) = (reason.name(), count - before);
                log::warn!(reason = name, count = closed, connections = server.connections(), request_bytes = server.request_bytes(); "connections of callers closed");
                record(name, closed);
            }
        }
        known = now;
    }
}
