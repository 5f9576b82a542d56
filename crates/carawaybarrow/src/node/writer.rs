//! Stores the ends of jobs.

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
const STORE_LIMIT: Duration = Duration::from_millis(1_000);

/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Writers that work at once. One waits for each answer of the store, which takes 4 ms and more, and stores the ends of
/// at most fifteen jobs with it.
pub const WRITERS: usize = 4;

/// Rows of one change that are left to jobs; one row is the condition that the term goes on.
const JOB_ROWS: usize = MAX_ROWS - 1;

/// Times the retention that callers are promised, for which records are kept: clocks of entries may differ and jump.
const RETENTION_FACTOR: u64 = 2;

/// Records deleted by one change; each may have a mark that cancels it.
const EXPIRED_PER_CHANGE: usize = (MAX_ROWS - 1) / 2;

/// Time between deletions. At 15 records each, this keeps up with 30 jobs a second.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(500);

/// Stores ends until the term is over.
pub async fn run(term: Arc<Term>) {
    loop {
        term.wait_for_writes().await;
        while !term.is_ended() && term.with(|s| s.has_writes()) {
            if !store_some(&term).await {
                task::sleep(RETRY_PAUSE).await;
            }
        }
        if term.is_ended() {
            // The signal of the end is for all writers.
            return term.wake_writer();
        }
    }
}

/// Deletes the records of jobs that ended long ago.
pub async fn expire_jobs(term: Arc<Term>) {
    let retention = Millis(term.view.settings.state_retention.0 * RETENTION_FACTOR);
    while !term.is_ended() {
        let expired = term.with(|s| s.find_expired(view::now().wall, retention, EXPIRED_PER_CHANGE));
        if !expired.is_empty() {
            let mut change = Change { expected: vec![(SCHEDULER_KEY.to_owned(), term.revision)], ..Change::default() };
            for job in &expired {
                change.deletes.extend([records::job_key(job), records::cancel_key(job)]);
            }
            match term.view.store.change(&change, STORE_LIMIT).await {
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

/// Stores what is left when a term ends by itself. What the store doesn't take the next scheduler learns from workers.
pub async fn flush(term: &Arc<Term>) {
    while term.with(|s| s.has_writes()) {
        if !store_some(term).await {
            return;
        }
    }
}

/// Stores the changes of some jobs. Returns whether the store took them.
async fn store_some(term: &Arc<Term>) -> bool {
    let (writes, has_more) = term.with(|s| (s.take_writes(view::now(), JOB_ROWS, rows_of), s.has_writes()));
    if writes.is_empty() {
        return true;
    }
    if has_more {
        term.wake_writer();
    }
    let change = build_change(term, &writes);
    let began = Instant::now();
    let answer = term.view.store.change(&change, STORE_LIMIT).await;
    term.view.metrics.record_store_write(matches!(answer, Ok(ChangeOutcome::Done(_))), began.elapsed());
    match answer {
        Ok(ChangeOutcome::Done(revision)) => {
            note_revisions(term, &writes, revision);
            term.with(|s| {
                for (job, version, _) in &writes {
                    s.confirm_write(job, *version);
                }
            });
            return true;
        }
        Ok(ChangeOutcome::Conflict(items)) => take_conflict(term, &change, &items),
        Ok(ChangeOutcome::NoLease) => log::error!("the store names a missing lease for a write without one"),
        Err(e) => log::info!(jobs = writes.len(), error:% = e; "ends are not stored yet"),
    }
    // A write without an answer may still be made. Its conditions keep it from undoing a later one.
    term.with(|s| {
        for (job, _, _) in &writes {
            s.retry_write(job);
        }
    });
    false
}

/// Rows that the write of a job needs at most: a condition, a put, and for a job that has ended a deletion.
const fn rows_of(write: &JobWrite) -> usize {
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
                change.puts.push((records::progress_key(job), records::write(progress), None));
            }
            JobWrite::Ended(record) => {
                change.puts.push((records::job_key(job), records::write(record), None));
                if revision != StoreRevision::ABSENT {
                    change.deletes.push(records::progress_key(job));
                }
            }
        }
    }
    change
}

fn note_revisions(term: &Term, writes: &[(JobKey, u64, JobWrite)], revision: StoreRevision) {
    let mut revisions = term.progress_revisions.lock().expect("no holder panics");
    for (job, _, write) in writes {
        match write {
            JobWrite::Progress(_) => revisions.insert(job.clone(), revision),
            JobWrite::Ended(_) => revisions.remove(job),
        };
    }
}

/// Learns the present revisions: an earlier write without an answer was made, or the term is over.
fn take_conflict(term: &Term, change: &Change, items: &[Item]) {
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
        log::info!(job = job, expected = expected.0, revision = present.0; "ends of a job have another revision");
        let mut revisions = term.progress_revisions.lock().expect("no holder panics");
        revisions.insert(JobKey::new(job), present);
    }
}
