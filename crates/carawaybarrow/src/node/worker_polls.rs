//! Polls workers, which reads the lists of their runs and extends their leases, and ticks the scheduler.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::sched::graph::WorkerKey;
use carawaybarrow_core::sched::scheduler::Scheduler;
use carawaybarrow_platform::workers::PollOutcome;

use crate::node::term::Term;
use crate::node::view;

/// Time for the answer to a poll, beyond the time for which the poll lets the worker wait.
const POLL_TIMEOUT: Duration = Duration::from_millis(200);

/// Pause after a poll that got no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Pause after a failed poll of a worker that has ended, or an answer of another one at its address. It may start again
/// under its id.
const GONE_RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// Time between checks whether the ends of a worker are stored; the store answers in 4 ms.
const STORED_CHECK_INTERVAL: Duration = Duration::from_millis(12);

/// Checks after which the worker is polled again although its ends are not stored, so that its lease is extended.
const STORED_CHECKS: u32 = 25;

/// Time between ticks of the scheduler.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Polls one worker until the term ends or the scheduler drops the worker.
pub async fn run(term: Arc<Term>, worker: WorkerKey) {
    let mut is_lost = false;
    while !term.is_ended() {
        let sent = view::now().mono;
        let next = term.with(|s| {
            let poll = s.start_poll(sent, &worker)?;
            Some((poll, s.worker(&worker)?.report.address, s.token()))
        });
        let Some((poll, address, token)) = next else { return };
        let mut has_ends = false;
        match term.workers.poll(address, &worker, poll, token, POLL_TIMEOUT).await {
            Ok(PollOutcome::Lists(lists)) => {
                if is_lost {
                    is_lost = false;
                    log::info!(worker:% = worker; "worker regained");
                }
                has_ends = !lists.ended.is_empty();
                let is_first_answer = term.with(|s| {
                    let is_first_answer = s.worker(&worker).is_some_and(|w| !w.refuses_earlier_terms);
                    s.apply_lists(view::now(), &worker, sent, lists);
                    is_first_answer
                });
                if is_first_answer {
                    term.request_recovery_set();
                }
                if has_ends || is_first_answer {
                    term.request_plan();
                }
            }
            Ok(PollOutcome::Fenced) => return term.end("a worker has seen a higher token"),
            Ok(PollOutcome::OtherInstance) => {
                term.with(|s| s.drop_ended_worker(view::now().mono, &worker, sent));
                term.request_plan();
                task::sleep(GONE_RETRY_PAUSE).await;
            }
            Err(e) => {
                let is_gone = term.with(|s| {
                    s.record_lost_poll(&worker, e.is_refused());
                    s.worker(&worker).is_some_and(|w| w.is_gone)
                });
                if !is_lost {
                    is_lost = true;
                    log::warn!(worker:% = worker, error:% = e; "worker lost");
                }
                task::sleep(if is_gone { GONE_RETRY_PAUSE } else { RETRY_PAUSE }).await;
            }
        }
        for _ in 0..STORED_CHECKS {
            // A worker answers at once while it lists ends, so one that has to keep them is not polled at once.
            let must_keep_ends = |s: &Scheduler| {
                let keeps_stored = has_ends && !s.may_discard_ends();
                keeps_stored || s.worker(&worker).is_some_and(|w| w.has_unstored_ends())
            };
            if !term.with(|s| must_keep_ends(s)) {
                break;
            }
            task::sleep(STORED_CHECK_INTERVAL).await;
        }
    }
}

/// Ticks the scheduler at regular intervals until the term ends; each tick checks the runs.
pub async fn tick(term: Arc<Term>) {
    while !term.is_ended() {
        let is_superseded = term.with(|s| {
            s.tick(view::now());
            s.is_superseded()
        });
        if is_superseded {
            return term.end("a job names a later term");
        }
        term.request_plan();
        task::sleep(TICK_INTERVAL).await;
    }
}
