//! Reads the stored jobs, their progress and what else a term needs before it starts tasks.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::Map;
use carawaybarrow_core::sched::graph::JobKey;
use carawaybarrow_core::sched::progress::{JobRecord, Progress};
use carawaybarrow_core::sched::recovery::QueuePools;
use carawaybarrow_platform::configuration::{EVACUATION_PREFIX, evacuated_data_centre};
use carawaybarrow_platform::store::Item;

use crate::node::records::{self, JOB_PREFIX, JobItem, PROGRESS_PREFIX, QUEUE_POOLS_KEY, RECOVERY_SET_KEY};
use crate::node::term::Term;
use crate::node::term_start::{NotLoadedSnafu, StartError};
use crate::node::view::{self, STORE_TIMEOUT};

/// Pause before another attempt to read the jobs.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Attempts to read the jobs at the start of a term, so that a short fault of the store doesn't end the term.
const LOAD_ATTEMPTS: usize = 20;

/// Reads the jobs, with further attempts after a fault.
///
/// # Errors
///
/// Fails if no attempt reads them, or if the term ends.
pub async fn load_jobs(term: &Arc<Term>) -> Result<(), StartError> {
    for _ in 0..LOAD_ATTEMPTS {
        match load_jobs_once(term).await {
            Ok(()) => return Ok(()),
            Err(e) => log::warn!(error:% = e; "the jobs can't be read yet"),
        }
        if term.is_ended() {
            break;
        }
        task::sleep(RETRY_PAUSE).await;
    }
    NotLoadedSnafu.fail()
}

async fn load_jobs_once(term: &Arc<Term>) -> Result<(), StartError> {
    let store = &term.view.store;
    // Progress is read before the jobs: only this term may write it now, and it writes none before the jobs are loaded.
    let (progress_items, _) = store.list(PROGRESS_PREFIX, term.list_timeout()).await?;
    let (recovery_set, queue_pools) =
        futures::try_join!(store.get(RECOVERY_SET_KEY, STORE_TIMEOUT), store.get(QUEUE_POOLS_KEY, STORE_TIMEOUT))?;
    let recovery_set = match recovery_set {
        Some(Item { value: Some(value), .. }) => records::decode_recovery_set(&value)?,
        _ => Vec::new(),
    };
    let queue_pools = match queue_pools {
        Some(Item { value: Some(value), .. }) => records::decode::<QueuePools>(&value)?,
        _ => QueuePools::default(),
    };
    let (evacuations, evacuations_as_of) = store.list(EVACUATION_PREFIX, STORE_TIMEOUT).await?;
    let (jobs, as_of) = store.list(JOB_PREFIX, term.list_timeout()).await?;
    let mut progress: Map<JobKey, Progress> = Map::default();
    {
        let mut revisions = term.progress_revisions.lock().expect("no holder panics");
        for item in progress_items {
            let Some(value) = &item.value else { continue };
            let job = JobKey::new(item.key.trim_start_matches(PROGRESS_PREFIX));
            progress.insert(job.clone(), records::decode(value)?);
            revisions.insert(job, item.revision);
        }
    }
    let now = view::now();
    let count = jobs.len();
    let workers = recovery_set.len();
    let mut cancelled = Vec::new();
    let mut accepted = Vec::new();
    for item in jobs {
        let Some(value) = &item.value else { continue };
        match records::parse_job_key(&item.key) {
            Some(JobItem::Cancel(job)) => cancelled.push(job),
            Some(JobItem::Tombstones) => term.add_stored_tombstones(&item.key, value),
            Some(JobItem::Record(job)) => match records::decode::<JobRecord>(value) {
                Ok(JobRecord::Accepted(spec)) => {
                    accepted.push((spec.accepted, job, spec, item.created.0));
                }
                Ok(JobRecord::Ended { state, at, .. }) => term.with(|s| s.add_ended(job, state, at)),
                Err(e) => {
                    log::error!(job:% = job, error:% = e; "the record of a job can't be read; the job is left out")
                }
            },
            None => log::warn!(key:% = item.key; "the store returned a key without the prefix of jobs"),
        }
    }
    accepted.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
    term.with(|s| {
        // Nothing starts before the evacuations are known.
        s.set_evacuated(evacuations.iter().filter_map(evacuated_data_centre).collect());
        for (_, job, spec, created) in accepted {
            let job_progress = progress.remove(&job).unwrap_or_default();
            s.add_job(now, job, spec, job_progress, created);
        }
        for job in &cancelled {
            s.cancel_job(job);
        }
        s.apply_queue_pools(queue_pools);
        s.apply_recovery_set(now.mono, recovery_set);
    });
    term.set_loaded(as_of, evacuations_as_of);
    log::info!(term = term.owner.term, items = count, workers = workers, revision = as_of.0; "jobs loaded");
    term.request_plan();
    Ok(())
}
