//! Stores the progress of jobs and the final records of ended jobs, and deletes the records of jobs that ended long
//! ago.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_core::sched::graph::JobKey;
use carawaybarrow_core::sched::writes::JobWrite;
use carawaybarrow_core::units::Millis;
use carawaybarrow_platform::store::{Change, ChangeOutcome, Item, MAX_ROWS, StoreRevision};

use crate::node::records::{self, PROGRESS_PREFIX, SCHEDULER_KEY};
use crate::node::term::Term;
use crate::node::view;

/// Time for an answer of the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Number of concurrent writers. Each waits for the answer of the store, which takes 4 ms, or 0.3 s while the store is
/// slow; one change stores at most fifteen jobs, and a large fleet ends hundreds of jobs a second.
pub const WRITERS: usize = 16;

/// Rows of one change that are available to jobs. One row is the condition that the term has not ended.
const JOB_ROWS: usize = MAX_ROWS - 1;

/// Records are kept for this multiple of the retention that is guaranteed to callers, as clocks of entries may differ
/// and jump.
const RETENTION_FACTOR: u64 = 2;

/// Maximum number of records that one change deletes. Each may have a mark of cancellation, which takes a second row.
const EXPIRED_PER_CHANGE: usize = (MAX_ROWS - 1) / 2;

/// Time between deletions. At 15 records each, this keeps up with 30 jobs a second.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(500);

/// Stores changes of jobs until the term ends.
pub async fn run(term: Arc<Term>) {
    loop {
        term.wait_for_writes().await;
        while !term.is_ended() && term.with(|s| s.has_writes()) {
            if !store_batch(&term).await {
                task::sleep(RETRY_PAUSE).await;
            }
        }
        if term.is_ended() {
            // A notification wakes one writer, so each wakes the next when the term has ended.
            return term.wake_writer();
        }
    }
}

/// Deletes the records of jobs that ended long ago, and tombstones that need not be kept.
pub async fn expire_jobs(term: Arc<Term>) {
    let retention = Millis(term.view.settings.state_retention.0 * RETENTION_FACTOR);
    while !term.is_ended() {
        expire_tombstones(&term).await;
        let expired = term.with(|s| s.find_expired(view::now().wall, retention, EXPIRED_PER_CHANGE));
        if !expired.is_empty() {
            let mut change = Change { expected: vec![(SCHEDULER_KEY.to_owned(), term.revision)], ..Change::default() };
            for job in &expired {
                change.deletes.extend([records::job_key(job), records::cancel_key(job)]);
            }
            match term.view.store.change(&change, STORE_TIMEOUT).await {
                Ok(ChangeOutcome::Done(revision)) => {
                    log::info!(jobs = expired.len(), revision = revision.0; "records of ended jobs deleted");
                    term.with(|s| expired.iter().for_each(|job| s.forget_job(job)));
                }
                answer => {
                    log::info!(jobs = expired.len(), answer:? = answer; "records of ended jobs are not deleted yet")
                }
            }
        }
        task::sleep(EXPIRE_INTERVAL).await;
    }
}

async fn expire_tombstones(term: &Arc<Term>) {
    loop {
        let expired = term.with(|s| s.find_expired_tombstones(JOB_ROWS));
        if expired.is_empty() || term.is_ended() {
            return;
        }
        let change = Change {
            expected: vec![(SCHEDULER_KEY.to_owned(), term.revision)],
            deletes: expired.iter().map(|key| key.to_string()).collect(),
            ..Change::default()
        };
        let answer = term.view.store.change(&change, STORE_TIMEOUT).await;
        if !matches!(answer, Ok(ChangeOutcome::Done(_))) {
            return log::info!(documents = expired.len(), answer:? = answer; "tombstones are not deleted yet");
        }
        term.with(|s| expired.iter().for_each(|key| s.forget_tombstones(key)));
    }
}

/// Stores the changes that no writer has taken, when this entry ends its term. If a write fails, the next scheduler
/// receives the ends of runs from the workers.
pub async fn flush(term: &Arc<Term>) {
    while term.with(|s| s.has_writes()) {
        if !store_batch(term).await {
            return;
        }
    }
}

/// Stores the changes of as many jobs as fit into one change. Returns whether the store confirmed them.
async fn store_batch(term: &Arc<Term>) -> bool {
    let (writes, has_more) = term.with(|s| (s.take_writes(view::now(), JOB_ROWS, max_rows), s.has_writes()));
    if writes.is_empty() {
        return true;
    }
    if has_more {
        term.wake_writer();
    }
    let change = build_change(term, &writes);
    let began = Instant::now();
    let answer = term.view.store.change(&change, STORE_TIMEOUT).await;
    term.view.metrics.record_store_write(matches!(answer, Ok(ChangeOutcome::Done(_))), began.elapsed());
    match answer {
        Ok(ChangeOutcome::Done(revision)) => {
            record_revisions(term, &writes, revision);
            term.with(|s| {
                for (job, version, _) in &writes {
                    s.confirm_write(job, *version);
                }
            });
            return true;
        }
        Ok(ChangeOutcome::Conflict(items)) => apply_conflict(term, &change, &items),
        Ok(ChangeOutcome::NoLease) => log::error!("the store reports a missing lease for a write that has none"),
        Err(e) => log::info!(jobs = writes.len(), error:% = e; "ends are not stored yet"),
    }
    // A write without an answer may still be applied. Its conditions keep it from undoing a later one.
    term.with(|s| {
        for (job, _, _) in &writes {
            s.retry_write(job);
        }
    });
    false
}

/// Maximum number of rows that the write of a job needs: a condition, a put, and for a job that has ended a deletion.
const fn max_rows(write: &JobWrite) -> usize {
    match write {
        JobWrite::Progress(_) => 2,
        JobWrite::Ended(_) => 3,
    }
}

fn build_change(term: &Term, writes: &[(JobKey, u64, JobWrite)]) -> Change {
    let revisions = term.progress_revisions.lock().expect("no holder panics");
    let mut change = Change { expected: vec![(SCHEDULER_KEY.to_owned(), term.revision)], ..Change::default() };
    for (job, _, write) in writes {
        let revision = revisions.get(job).copied().unwrap_or(StoreRevision::ABSENT);
        change.expected.push((records::progress_key(job), revision));
        match write {
            JobWrite::Progress(progress) => {
                change.puts.push((records::progress_key(job), records::encode(progress), None));
            }
            JobWrite::Ended(record) => {
                change.puts.push((records::job_key(job), records::encode(record), None));
                if revision != StoreRevision::ABSENT {
                    change.deletes.push(records::progress_key(job));
                }
            }
        }
    }
    change
}

fn record_revisions(term: &Term, writes: &[(JobKey, u64, JobWrite)], revision: StoreRevision) {
    let mut revisions = term.progress_revisions.lock().expect("no holder panics");
    for (job, _, write) in writes {
        match write {
            JobWrite::Progress(_) => revisions.insert(job.clone(), revision),
            JobWrite::Ended(_) => revisions.remove(job),
        };
    }
}

/// Applies the present revisions after a conflict: an earlier write without an answer was applied, or the term has
/// ended.
fn apply_conflict(term: &Term, change: &Change, items: &[Item]) {
    for (key, expected) in &change.expected {
        // A conflict leaves out keys that do not exist.
        let present = items.iter().find(|i| i.key == *key).map_or(StoreRevision::ABSENT, |i| i.revision);
        if present == *expected {
            continue;
        }
        if key == SCHEDULER_KEY {
            term.end("the scheduler's key is no longer this term's");
            return;
        }
        let Some(job) = key.strip_prefix(PROGRESS_PREFIX) else { continue };
        log::info!(job = job, expected = expected.0, revision = present.0; "stored progress of a job has another revision than expected");
        let mut revisions = term.progress_revisions.lock().expect("no holder panics");
        revisions.insert(JobKey::new(job), present);
    }
}
