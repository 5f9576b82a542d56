//! Follows the jobs and the workers that the store holds, for the length of a term.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::Set;
use carawaybarrow_core::sched::order::WorkerReport;
use carawaybarrow_core::sched::progress::JobRecord;
use carawaybarrow_core::units::Millis;
use carawaybarrow_platform::store::{Change, Changed, Item, StoreError, StoreRevision, Watched};
use carawaybarrow_platform::workers::{REPORT_PREFIX, read_report};

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

/// Time between readings of the workers' entries. A worker that shuts down says so 2 s before it must get no more.
const LIST_INTERVAL: Duration = Duration::from_millis(250);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Time after an outage in which a missing entry does not mean that its worker has left.
const RELIST_LIMIT: Millis = Millis(2_300);

/// Time without a list that counts as an outage.
const OUTAGE: Millis = Millis(1_800);

/// Follows the jobs.
pub async fn watch_jobs(term: Arc<Term>) {
    let mut after = term.watch_start();
    while !term.is_ended() {
        match term.view.store.watch(JOB_PREFIX, after, WATCH_WAIT, STORE_LIMIT).await {
            Ok(Watched::Events(items, as_of)) => {
                take_items(&term, items);
                after = as_of.max(after);
                task::sleep(WATCH_PAUSE).await;
            }
            Ok(Watched::HistoryGone) => {
                log::info!(after = after.0; "history of the jobs is gone, reading them anew");
                match term.view.store.list(JOB_PREFIX, STORE_LIMIT).await {
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
pub async fn list_workers(term: Arc<Term>) {
    let mut linked = Set::default();
    let mut roster_revision = None;
    let mut last = view::now().mono;
    let mut relist_until = last + RELIST_LIMIT;
    while !term.is_ended() {
        match term.view.store.list(REPORT_PREFIX, STORE_LIMIT).await {
            Ok((items, _)) => {
                let now = view::now().mono;
                if now.since(last) > OUTAGE {
                    relist_until = now + RELIST_LIMIT;
                }
                last = now;
                take_workers(&term, &items, now < relist_until);
                let known: Vec<_> = term.with(|s| s.workers().map(|w| w.report.key.clone()).collect());
                linked.retain(|key| known.contains(key));
                for key in known {
                    if linked.insert(key.clone()) {
                        task::spawn(links::run(Arc::clone(&term), key));
                    }
                }
            }
            Err(e) => log::info!(error:% = e; "no list of the workers"),
        }
        if let Some(policy) = term.view.configuration().map(|c| Arc::clone(&c.policy)) {
            term.with(|s| s.set_policy(policy));
        }
        if term.with(|s| s.is_roster_outdated()) {
            store_roster(&term, &mut roster_revision).await;
        }
        term.advance();
        task::sleep(LIST_INTERVAL).await;
    }
}

fn take_workers(term: &Arc<Term>, items: &[Item], keeps_missing: bool) {
    let mut reports: Vec<WorkerReport> = Vec::with_capacity(items.len());
    for item in items {
        let Some(value) = &item.value else { continue };
        match read_report(&item.key, value) {
            Ok(report) => reports.push(report),
            // Other writers leave entries there, which name no worker.
            Err(e) => log::debug!(key:% = item.key, error:% = e; "an entry names no worker"),
        }
    }
    term.with(|s| {
        let before: Vec<(WorkerReport, bool)> = s.workers().map(|w| (w.report.clone(), w.is_listed)).collect();
        for (old, was_listed) in &before {
            let new = reports.iter().find(|r| r.key == old.key);
            match new {
                None if *was_listed && keeps_missing => reports.push(old.clone()),
                None if *was_listed => log::info!(worker:% = old.key, pool:% = old.pool; "worker no longer listed"),
                Some(new) if new.draining && !old.draining => {
                    log::info!(worker:% = old.key, pool:% = old.pool; "worker drains")
                }
                _ => {}
            }
        }
        for new in reports.iter().filter(|r| !before.iter().any(|(old, _)| old.key == r.key)) {
            log::info!(worker:% = new.key, pool:% = new.pool, vm:? = new.vm, labels:? = new.labels; "worker listed");
        }
        s.set_workers(view::now().mono, reports);
    });
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
    let roster = term.with(|s| s.roster());
    let change = Change {
        expected: vec![(SCHEDULER_KEY.to_owned(), term.revision), (ROSTER_KEY.to_owned(), expected)],
        puts: vec![(ROSTER_KEY.to_owned(), records::write_roster(&roster), None)],
        deletes: Vec::new(),
    };
    match term.view.store.change(&change, STORE_LIMIT).await {
        Ok(Changed::Done(done)) => {
            *revision = Some(done);
            log::info!(workers = roster.len(), revision = done.0; "roster stored");
            term.with(|s| s.note_roster(&roster));
        }
        Ok(Changed::Conflict(_) | Changed::NoLease) => *revision = None,
        Err(e) => {
            log::info!(error:% = e; "the roster can't be stored");
            *revision = None;
        }
    }
}
