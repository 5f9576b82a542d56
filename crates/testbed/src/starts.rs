//! Counts how often each marked job was started, from the start logs of all workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use smol_str::SmolStr;
use snafu::{ResultExt, Whatever};

use crate::client::Client;
use crate::worker::Start;

/// Number of starts by the mark of the payload; starts without a mark are left out.
pub type StartCounts = BTreeMap<SmolStr, u64>;

/// Reads the start logs of the workers; starts without a mark are left out.
///
/// # Errors
///
/// Fails if a worker doesn't send its log, since a count without its starts would be wrong.
pub async fn read_starts(workers: &[SocketAddr]) -> Result<Vec<Start>, Whatever> {
    let client = Client::new();
    let mut all = Vec::new();
    for &worker in workers {
        let reply =
            client.get(worker, "/control/starts").await.whatever_context("can't read the start log of a worker")?;
        let starts: Vec<Start> =
            reply.json().with_whatever_context(|_| format!("{worker} sent an invalid start log"))?;
        all.extend(starts.into_iter().filter(|s| !s.mark.is_empty()));
    }
    Ok(all)
}

/// Counts the starts on the workers by mark.
///
/// # Errors
///
/// Fails if a worker doesn't send its log, since a count without its starts would be wrong.
pub async fn count_starts(workers: &[SocketAddr]) -> Result<StartCounts, Whatever> {
    let mut counts = StartCounts::new();
    for start in read_starts(workers).await? {
        *counts.entry(start.mark).or_default() += 1;
    }
    Ok(counts)
}
