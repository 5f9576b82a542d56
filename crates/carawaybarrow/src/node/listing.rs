//! Follows the jobs and the workers that the store holds, for the length of a term.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::Set;
use carawaybarrow_core::sched::directory::{Directory, WorkerChange};
use carawaybarrow_core::sched::graph::WorkerKey;
use carawaybarrow_core::sched::order::WorkerReport;
use carawaybarrow_core::sched::progress::JobRecord;
use carawaybarrow_core::units::{Millis, MonoTime};
use carawaybarrow_platform::store::{Change, ChangeOutcome, Item, StoreError, StoreRevision, WatchOutcome};
use carawaybarrow_platform::workers::{REPORT_PREFIX, parse_worker_report};

use crate::node::links;
use crate::node::records::{self, JOB_PREFIX, JobItem, ROSTER_KEY, SCHEDULER_KEY};
use crate::node::term::Term;
use crate::node::view;

/// Time for an answer of the store.
const STORE_LIMIT: Duration = Duration::from_millis(1_000);

/// Longest wait of a watch. Entries tell the scheduler of jobs, so a watch that hears nothing delays none.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Pause between watches, so that several changes share a call.
const WATCH_PAUSE: Duration = Duration::from_millis(300);

/// Longest wait of a watch of the workers' entries. It bounds the time for which a connection that fell silent hides
/// that a worker shuts down; the worker says so 2 s before it must get no more.
const WORKER_WAIT: Duration = Duration::from_millis(600);

/// Time for the answer beyond that wait.
const WORKER_LIMIT: Duration = Duration::from_millis(600);

/// Pause between watches of the workers' entries, so that many heartbeats share a call.
const WORKER_PAUSE: Duration = Duration::from_millis(250);

/// Time after which the scheduler is given all workers again although none has changed: it may have given up one
/// that is still listed.
const REFRESH_INTERVAL: Millis = Millis(1_000);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Follows the jobs.
pub async fn watch_jobs(term: Arc<Term>) {
    let mut after = term.watch_start();
    while !term.is_ended() {
        match term.view.store.watch(JOB_PREFIX, after, WATCH_WAIT, STORE_LIMIT).await {
            Ok(WatchOutcome::Events(items, as_of)) => {
                take_items(&term, items);
                after = as_of.max(after);
                task::sleep(WATCH_PAUSE).await;
            }
            Ok(WatchOutcome::HistoryGone) => {
                log::info!(after = after.0; "history of the jobs is gone, reading them anew");
                match term.view.store.list(JOB_PREFIX, term.list_limit()).await {
                    Ok((items, as_of)) => {
                        take_items(&term, items);
                        after = as_of;
                    }
                    Err(e) => pause(&e).await,
                }
            }
            Err(e) => pause(&e).await,
        }
    }
}

async fn pause(error: &StoreError) {
    log::info!(error:% = error; "no answer to a watch of the jobs");
    task::sleep(RETRY_PAUSE).await;
}

fn take_items(term: &Arc<Term>, items: Vec<Item>) {
    for item in items {
        let Some(value) = &item.value else { continue };
        match records::read_job_key(&item.key) {
            Some(JobItem::Cancel(job)) => term.cancel_job(&job),
            Some(JobItem::Record(job)) => match records::read::<JobRecord>(value) {
                Ok(record @ JobRecord::Accepted(_)) => term.add_job(&job, record, item.created.0),
                // Only this scheduler ends jobs.
                Ok(JobRecord::Ended { .. }) => {}
                Err(e) => log::error!(job:% = job, error:% = e; "the record of a job can't be read"),
            },
            None => log::warn!(key:% = item.key; "unknown key among the jobs"),
        }
    }
}

/// Follows the workers.
pub async fn follow_workers(term: Arc<Term>) {
    let mut directory = Directory::new(view::now().mono);
    let mut linked = Set::default();
    let mut roster_revision = None;
    let mut after = None;
    let mut refreshed = MonoTime(0);
    while !term.is_ended() {
        match read_entries(&term, &mut directory, after).await {
            Ok(as_of) => after = as_of,
            Err(e) => {
                log::info!(error:% = e; "no answer about the workers");
                task::sleep(RETRY_PAUSE).await;
            }
        }
        let now = view::now().mono;
        let left = directory.drop_missing(now);
        log_listings(&left);
        let is_changed = directory.take_changed();
        if is_changed || now.since(refreshed) >= REFRESH_INTERVAL {
            refreshed = now;
            let known: Vec<_> = term.with(|s| {
                s.set_workers(now, directory.reports());
                s.workers().map(|w| w.report.key.clone()).collect()
            });
            linked.retain(|key| known.contains(key));
            for key in known {
                if linked.insert(key.clone()) {
                    task::spawn(links::run(Arc::clone(&term), key));
                }
            }
        }
        if let Some(policy) = term.view.configuration().map(|c| Arc::clone(&c.policy)) {
            term.with(|s| s.set_policy(policy));
        }
        if term.with(|s| s.is_recovery_set_outdated()) {
            store_roster(&term, &mut roster_revision).await;
        }
        term.advance();
        task::sleep(WORKER_PAUSE).await;
    }
}

/// Reads what has changed since a revision, or all entries. Returns the revision to go on from; none if the history
/// is gone.
async fn read_entries(
    term: &Arc<Term>,
    directory: &mut Directory,
    after: Option<StoreRevision>,
) -> Result<Option<StoreRevision>, StoreError> {
    let store = &term.view.store;
    let Some(after) = after else {
        let (items, as_of) = store.list(REPORT_PREFIX, term.list_limit()).await?;
        let now = view::now().mono;
        directory.record_answer(now);
        log_listings(&directory.replace(now, items.iter().filter_map(read_entry).collect()));
        return Ok(Some(as_of));
    };
    match store.watch(REPORT_PREFIX, after, WORKER_WAIT, WORKER_LIMIT).await? {
        WatchOutcome::Events(items, as_of) => {
            let now = view::now().mono;
            directory.record_answer(now);
            for item in &items {
                let change = match read_entry(item) {
                    Some(report) => directory.put(report),
                    None => directory.remove(now, &WorkerKey::new(item.key.trim_start_matches(REPORT_PREFIX))),
                };
                log_listings(change.as_slice());
            }
            Ok(Some(as_of.max(after)))
        }
        WatchOutcome::HistoryGone => {
            log::info!(after = after.0; "history of the workers is gone, reading them anew");
            Ok(None)
        }
    }
}

/// Reads an entry; `None` if it is deleted or names no worker, as those of other writers do.
fn read_entry(item: &Item) -> Option<WorkerReport> {
    let value = item.value.as_ref()?;
    match parse_worker_report(&item.key, value) {
        Ok(report) => Some(report),
        Err(e) => {
            log::debug!(key:% = item.key, error:% = e; "an entry names no worker");
            None
        }
    }
}

fn log_listings(changes: &[WorkerChange]) {
    for change in changes {
        match change {
            WorkerChange::Added(new) => {
                log::info!(worker:% = new.key, pool:% = new.pool, vm:? = new.vm, labels:? = new.labels; "worker listed");
            }
            WorkerChange::Draining(new) => log::info!(worker:% = new.key, pool:% = new.pool; "worker drains"),
            WorkerChange::Gone(old) => log::info!(worker:% = old.key, pool:% = old.pool; "worker no longer listed"),
            WorkerChange::Missing(old) => {
                log::info!(worker:% = old.key, pool:% = old.pool; "entry of a worker is missing after an outage");
            }
        }
    }
}

/// Stores the roster: no run starts on a worker before a successor would know of it.
async fn store_roster(term: &Arc<Term>, revision: &mut Option<StoreRevision>) {
    if revision.is_none() {
        *revision = match term.view.store.get(ROSTER_KEY, STORE_LIMIT).await {
            Ok(item) => Some(item.map_or(StoreRevision::ABSENT, |i| i.revision)),
            Err(e) => {
                log::info!(error:% = e; "the roster can't be read");
                return;
            }
        };
    }
    let Some(expected) = *revision else { return };
    let roster = term.with(|s| s.prepare_recovery_set());
    let change = Change {
        expected: vec![(SCHEDULER_KEY.to_owned(), term.revision), (ROSTER_KEY.to_owned(), expected)],
        puts: vec![(ROSTER_KEY.to_owned(), records::write_roster(&roster), None)],
        deletes: Vec::new(),
    };
    match term.view.store.change(&change, STORE_LIMIT).await {
        Ok(ChangeOutcome::Done(done)) => {
            *revision = Some(done);
            log::info!(workers = roster.len(), revision = done.0; "roster stored");
            term.with(|s| s.record_recovery_set(&roster));
        }
        Ok(ChangeOutcome::Conflict(_) | ChangeOutcome::NoLease) => *revision = None,
        Err(e) => {
            log::info!(error:% = e; "the roster can't be stored");
            *revision = None;
        }
    }
}
