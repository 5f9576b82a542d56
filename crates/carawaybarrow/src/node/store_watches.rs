//! Watches the jobs and the workers' reports in the store during a term, and stores the recovery set.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::sched::directory::{Directory, WorkerChange};
use carawaybarrow_core::sched::graph::WorkerKey;
use carawaybarrow_core::sched::order::WorkerReport;
use carawaybarrow_core::sched::progress::JobRecord;
use carawaybarrow_core::units::{Millis, MonoTime};
use carawaybarrow_platform::configuration::{EVACUATION_PREFIX, evacuated_data_centre};
use carawaybarrow_platform::store::{Change, ChangeOutcome, Item, StoreError, StoreRevision, WatchOutcome};
use carawaybarrow_platform::workers::{REPORT_PREFIX, parse_worker_report};

use crate::node::records::{self, JOB_PREFIX, JobItem, QUEUE_POOLS_KEY, RECOVERY_SET_KEY, SCHEDULER_KEY};
use crate::node::term::Term;
use crate::node::view;
use crate::node::worker_polls;

/// Time for an answer of the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum wait of a watch of the jobs. Entries notify the scheduler of new jobs, so a long wait delays no new job.
const JOB_WATCH_WAIT: Duration = Duration::from_secs(5);

/// Maximum wait of a watch of the evacuations. It bounds the time for which a stalled connection hides a request, which
/// must be in force within seconds.
const EVACUATION_WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// Pause between watches of the jobs, so that one call returns several changes.
const JOB_WATCH_PAUSE: Duration = Duration::from_millis(300);

/// Maximum wait of a watch of the workers' reports. It bounds the time for which a stalled connection hides that a
/// worker is shutting down; a worker reports this 2 s before it must receive no more tasks.
const WORKER_WATCH_WAIT: Duration = Duration::from_millis(600);

/// Time for the answer to a watch of the workers' reports, beyond its wait.
const WORKER_WATCH_TIMEOUT: Duration = Duration::from_millis(600);

/// Pause between watches of the workers' reports, so that one call returns many heartbeats.
const WORKER_WATCH_PAUSE: Duration = Duration::from_millis(250);

/// Time after which all workers are passed to the scheduler again although none has changed: it may have dropped one
/// that is still listed.
const REFRESH_INTERVAL: Millis = Millis(1_000);

/// Pause after a write of the recovery set, so that one write serves several new workers.
const RECOVERY_SET_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Applies changes of the jobs until the term ends.
pub async fn watch_jobs(term: Arc<Term>) {
    let mut after = term.watch_start();
    while !term.is_ended() {
        let sent = view::now().mono;
        match term.view.store.watch(JOB_PREFIX, after, JOB_WATCH_WAIT, STORE_TIMEOUT).await {
            Ok(WatchOutcome::Events(items, as_of)) => {
                apply_job_items(&term, items);
                term.with(|s| s.record_jobs_read(sent));
                after = as_of.max(after);
                task::sleep(JOB_WATCH_PAUSE).await;
            }
            Ok(WatchOutcome::HistoryGone) => {
                log::info!(after = after.0; "the store no longer has the history of the jobs; listing them again");
                match term.view.store.list(JOB_PREFIX, term.list_timeout()).await {
                    Ok((items, as_of)) => {
                        apply_job_items(&term, items);
                        term.with(|s| s.record_jobs_read(sent));
                        after = as_of;
                    }
                    Err(e) => pause_after(&e, "the jobs can't be read from the store").await,
                }
            }
            Err(e) => pause_after(&e, "the jobs can't be read from the store").await,
        }
    }
}

/// Applies the operators' requests to evacuate data centres until the term ends.
pub async fn watch_evacuations(term: Arc<Term>) {
    let mut after = term.evacuations_start();
    while !term.is_ended() {
        match term.view.store.watch(EVACUATION_PREFIX, after, EVACUATION_WATCH_WAIT, STORE_TIMEOUT).await {
            Ok(WatchOutcome::Events(items, as_of)) if items.is_empty() => after = as_of.max(after),
            // The requests are few, so the whole list is as cheap as the changes, and gives the present state.
            Ok(_) => match term.view.store.list(EVACUATION_PREFIX, STORE_TIMEOUT).await {
                Ok((items, as_of)) => {
                    let data_centres = items.iter().filter_map(evacuated_data_centre).collect();
                    term.with(|s| s.set_evacuated(data_centres));
                    term.request_plan();
                    after = as_of;
                }
                Err(e) => pause_after(&e, "the evacuations can't be read from the store").await,
            },
            Err(e) => pause_after(&e, "the evacuations can't be watched").await,
        }
    }
}

/// Logs a failed read, and waits before the next one.
async fn pause_after(error: &StoreError, message: &str) {
    log::info!(error:% = error; "{message}");
    task::sleep(RETRY_PAUSE).await;
}

fn apply_job_items(term: &Arc<Term>, items: Vec<Item>) {
    for item in items {
        let Some(value) = &item.value else { continue };
        match records::parse_job_key(&item.key) {
            Some(JobItem::Cancel(job)) => term.cancel_job(&job),
            Some(JobItem::Tombstones) => term.add_stored_tombstones(&item.key, value),
            Some(JobItem::Record(job)) => match records::decode::<JobRecord>(value) {
                Ok(record @ JobRecord::Accepted(_)) => term.add_job(&job, record, item.created.0),
                // Only this scheduler ends jobs.
                Ok(JobRecord::Ended { .. }) => {}
                Err(e) => log::error!(job:% = job, error:% = e; "the record of a job can't be read"),
            },
            None => log::warn!(key:% = item.key; "the store returned a key without the prefix of jobs"),
        }
    }
}

/// Applies changes of the workers' reports until the term ends, and starts the polls of new workers.
pub async fn watch_workers(term: Arc<Term>) {
    let mut directory = Directory::new(view::now().mono);
    let mut after = None;
    let mut refreshed_at = MonoTime(0);
    while !term.is_ended() {
        match update_directory(&term, &mut directory, after).await {
            Ok(as_of) => after = as_of,
            Err(e) => {
                log::info!(error:% = e; "the workers' reports can't be read from the store");
                task::sleep(RETRY_PAUSE).await;
            }
        }
        let now = view::now().mono;
        let gone = directory.drop_missing(now);
        log_worker_changes(&gone);
        let is_changed = directory.take_changed();
        if is_changed || now.since(refreshed_at) >= REFRESH_INTERVAL {
            refreshed_at = now;
            let unpolled = term.with(|s| {
                s.set_workers(now, directory.reports());
                s.take_unpolled()
            });
            for key in unpolled {
                task::spawn(worker_polls::run(Arc::clone(&term), key));
            }
        }
        if let Some(policy) = term.view.configuration().map(|c| Arc::clone(&c.policy)) {
            term.with(|s| s.set_policy(policy));
        }
        term.request_recovery_set();
        term.request_plan();
        task::sleep(WORKER_WATCH_PAUSE).await;
    }
}

/// Applies the changes of the workers' reports after a revision, or lists all reports. Returns the revision for the
/// next call; `None` if the store no longer has the history since `after`.
async fn update_directory(
    term: &Arc<Term>,
    directory: &mut Directory,
    after: Option<StoreRevision>,
) -> Result<Option<StoreRevision>, StoreError> {
    let store = &term.view.store;
    let Some(after) = after else {
        let (items, as_of) = store.list(REPORT_PREFIX, term.list_timeout()).await?;
        let now = view::now().mono;
        directory.record_answer(now);
        log_worker_changes(&directory.replace(now, items.iter().filter_map(read_report).collect()));
        return Ok(Some(as_of));
    };
    match store.watch(REPORT_PREFIX, after, WORKER_WATCH_WAIT, WORKER_WATCH_TIMEOUT).await? {
        WatchOutcome::Events(items, as_of) => {
            let now = view::now().mono;
            directory.record_answer(now);
            for item in &items {
                let change = match read_report(item) {
                    Some(report) => directory.put(report),
                    None => directory.remove(now, &WorkerKey::new(item.key.trim_start_matches(REPORT_PREFIX))),
                };
                log_worker_changes(change.as_slice());
            }
            Ok(Some(as_of.max(after)))
        }
        WatchOutcome::HistoryGone => {
            log::info!(after = after.0; "the store no longer has the history of the workers' reports; listing them again");
            Ok(None)
        }
    }
}

/// Parses a worker's report; `None` if it is deleted or not a report, as other writers may use the prefix too.
fn read_report(item: &Item) -> Option<WorkerReport> {
    let value = item.value.as_ref()?;
    match parse_worker_report(&item.key, value) {
        Ok(report) => Some(report),
        Err(e) => {
            log::debug!(key:% = item.key, error:% = e; "a value below the prefix of workers is not a worker's report");
            None
        }
    }
}

fn log_worker_changes(changes: &[WorkerChange]) {
    for change in changes {
        match change {
            WorkerChange::Added(new) => {
                log::info!(worker:% = new.key, pool:% = new.pool, vm:? = new.vm, labels:? = new.labels; "worker listed");
            }
            WorkerChange::Draining(new) => log::info!(worker:% = new.key, pool:% = new.pool; "worker is shutting down"),
            WorkerChange::Gone(old) => log::info!(worker:% = old.key, pool:% = old.pool; "worker no longer listed"),
            WorkerChange::Missing(old) => {
                log::info!(worker:% = old.key, pool:% = old.pool; "report of a worker is missing after an outage of the store");
            }
        }
    }
}

/// Stores the recovery set and the pools of queues when they are outdated, until the term ends. A run starts only on a
/// worker of the stored set, and in a stored pool of its queue, so that the next scheduler knows of it.
pub async fn store_recovery_sets(term: Arc<Term>) {
    let mut revision = None;
    loop {
        term.wait_for_recovery_set().await;
        if term.is_ended() {
            return;
        }
        if term.with(|s| s.is_recovery_set_outdated() || s.lacks_queue_pools()) {
            store_recovery_set(&term, &mut revision).await;
            term.request_plan();
            task::sleep(RECOVERY_SET_PAUSE).await;
        }
    }
}

async fn store_recovery_set(term: &Arc<Term>, revision: &mut Option<StoreRevision>) {
    if revision.is_none() {
        *revision = match term.view.store.get(RECOVERY_SET_KEY, STORE_TIMEOUT).await {
            Ok(item) => Some(item.map_or(StoreRevision::ABSENT, |i| i.revision)),
            Err(e) => {
                log::info!(error:% = e; "the recovery set can't be read");
                return;
            }
        };
    }
    let Some(expected) = *revision else { return };
    let (recovery_set, queue_pools) = term.with(|s| (s.prepare_recovery_set(), s.prepare_queue_pools()));
    let change = Change {
        expected: vec![(SCHEDULER_KEY.to_owned(), term.revision), (RECOVERY_SET_KEY.to_owned(), expected)],
        puts: vec![
            (RECOVERY_SET_KEY.to_owned(), records::encode_recovery_set(&recovery_set), None),
            (QUEUE_POOLS_KEY.to_owned(), records::encode(&queue_pools), None),
        ],
        deletes: Vec::new(),
    };
    match term.view.store.change(&change, STORE_TIMEOUT).await {
        Ok(ChangeOutcome::Done(done)) => {
            *revision = Some(done);
            log::info!(workers = recovery_set.len(), revision = done.0; "recovery set stored");
            term.with(|s| {
                s.record_recovery_set(&recovery_set);
                s.record_queue_pools(&queue_pools);
            });
        }
        Ok(ChangeOutcome::Conflict(_) | ChangeOutcome::NoLease) => *revision = None,
        Err(e) => {
            log::info!(error:% = e; "the recovery set can't be stored");
            *revision = None;
        }
    }
}
