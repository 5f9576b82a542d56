//! Looks at workers: their lists, and the leases of what runs there.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::sched::graph::WorkerKey;
use carawaybarrow_platform::workers::PollOutcome;

use crate::node::term::Term;
use crate::node::view;

/// Time for an answer beyond the time that the worker was asked to wait.
const LOOK_LIMIT: Duration = Duration::from_millis(200);

/// Pause after a look that got no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time between checks whether ends are stored; the store answers in 4 ms.
const STORED_POLL: Duration = Duration::from_millis(12);

/// Checks after which the worker is looked at again although ends are not stored, so that its lease goes on.
const STORED_POLLS: u32 = 25;

/// Time between regular checks of runs.
const TICK: Duration = Duration::from_millis(100);

/// Looks at one worker until the term ends or the worker is of no interest.
pub async fn run(term: Arc<Term>, worker: WorkerKey) {
    let mut is_lost = false;
    while !term.is_ended() {
        let sent = view::now().mono;
        let asked = term.with(|s| {
            let look = s.start_poll(sent, &worker)?;
            Some((look, s.worker(&worker)?.report.address, s.token()))
        });
        let Some((look, address, token)) = asked else { return };
        match term.workers.poll(address, &worker, look, token, LOOK_LIMIT).await {
            Ok(PollOutcome::Lists(lists)) => {
                if is_lost {
                    is_lost = false;
                    log::info!(worker:% = worker; "worker regained");
                }
                let has_ends = !lists.ended.is_empty();
                let is_first = term.with(|s| {
                    let is_first = s.worker(&worker).is_some_and(|w| !w.is_fenced);
                    s.apply_lists(view::now(), &worker, sent, lists);
                    is_first
                });
                if has_ends || is_first {
                    term.advance();
                }
            }
            Ok(PollOutcome::Fenced) => return term.end("a worker has seen a higher token"),
            Ok(PollOutcome::OtherInstance) => {
                term.with(|s| s.handle_other_instance(view::now().mono, &worker));
                term.advance();
                task::sleep(RETRY_PAUSE).await;
            }
            Err(e) => {
                term.with(|s| s.record_lost_poll(&worker));
                if !is_lost {
                    is_lost = true;
                    log::warn!(worker:% = worker, error:% = e; "worker lost");
                }
                task::sleep(RETRY_PAUSE).await;
            }
        }
        for _ in 0..STORED_POLLS {
            if !term.with(|s| s.worker(&worker).is_some_and(|w| w.has_unstored_ends())) {
                break;
            }
            task::sleep(STORED_POLL).await;
        }
    }
}

/// Checks the runs regularly.
pub async fn tick(term: Arc<Term>) {
    while !term.is_ended() {
        term.with(|s| s.tick(view::now()));
        term.advance();
        task::sleep(TICK).await;
    }
}
