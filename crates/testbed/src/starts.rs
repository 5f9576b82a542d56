//! Counts how often each marked job was started, over the logs of all workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use smol_str::SmolStr;
use snafu::{ResultExt, Whatever};

use crate::client::Client;
use crate::worker::Start;

/// Starts by mark; starts without a mark are left out.
pub type Marks = BTreeMap<SmolStr, u64>;

/// Reads the logs of the workers; starts without a mark are left out.
///
/// # Errors
///
/// Fails if a worker doesn't answer, because its starts would be missing.
pub async fn read_starts(workers: &[SocketAddr]) -> Result<Vec<Start>, Whatever> {
    let client = Client::new();
    let mut all = Vec::new();
    for &worker in workers {
        let reply = client.get(worker, "/control/starts").await.whatever_context("no start log")?;
        let starts: Vec<Start> = reply.json().with_whatever_context(|_| format!("{worker} sent no start log"))?;
        all.extend(starts.into_iter().filter(|s| !s.mark.is_empty()));
    }
    Ok(all)
}

/// Counts the starts on the workers by mark.
///
/// # Errors
///
/// Fails if a worker doesn't answer, because its starts would be missing.
pub async fn count_starts(workers: &[SocketAddr]) -> Result<Marks, Whatever> {
    let mut marks = Marks::new();
    for start in read_starts(workers).await? {
        *marks.entry(start.mark).or_default() += 1;
    }
    Ok(marks)
}
