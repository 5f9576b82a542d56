//! Takes the scheduler's lease when nobody holds it, keeps it, and hands it to stronger entries.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::Map;
use carawaybarrow_core::sched::candidacy::HANDOVER_AGE;
use carawaybarrow_core::sched::graph::JobKey;
use carawaybarrow_core::sched::order::FencingToken;
use carawaybarrow_core::sched::progress::{JobRecord, Progress};
use carawaybarrow_core::sched::scheduler::Scheduler;
use carawaybarrow_core::units::MonoTime;
use carawaybarrow_platform::store::{Change, ChangeOutcome, Item, LeaseId, StoreError, StoreRevision};
use snafu::Snafu;

use crate::node::peers::Peers;
use crate::node::records::{
    self, JOB_PREFIX, JobItem, Owner, PROGRESS_PREFIX, RELEASED_KEY, ROSTER_KEY, SCHEDULER_KEY, TERMS_KEY,
};
use crate::node::term::Term;
use crate::node::view::{self, View};
use crate::node::{links, listing, vm_orders, writer};

/// Length of the scheduler's lease; shorter ones end in short outages, longer ones keep the pools without a scheduler.
const TERM_LEASE: Duration = Duration::from_millis(1_500);

/// Time between renewals: two may fail before the lease ends.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);

/// Time for an answer of the store.
const STORE_LIMIT: Duration = Duration::from_millis(1_000);

/// Pause before an attempt is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Attempts to read the jobs at the start of a term, in which a fault of the store may pass.
const LOAD_ATTEMPTS: usize = 20;

/// Why a term could not begin.
#[derive(Debug, Snafu)]
enum ElectionError {
    #[snafu(transparent)]
    Store { source: StoreError },
    #[snafu(display("a document can't be read: {source}"), context(false))]
    Document { source: serde_json::Error },
    #[snafu(display("the lease ended before the term began"))]
    LeaseEnded,
    #[snafu(display("the jobs could not be read"))]
    NotLoaded,
}

/// Probes the store, and schedules while nobody else does.
pub async fn run(view: Arc<View>, peers: Arc<Peers>, incarnation: u64) {
    let mut free_since = None;
    // Term of a weaker scheduler, and the time since which it is known.
    let mut weak_since: Option<(u32, MonoTime)> = None;
    loop {
        let is_answered = view.probe().await;
        if view.is_stopping() {
            return;
        }
        let now = view::now().mono;
        let owner = view.scheduler();
        // The key of an earlier life of this entry needs no wait for its lease: that life has ended.
        let is_free = owner.as_ref().is_none_or(|o| o.entry == view.settings.entry && o.incarnation != incarnation);
        if is_answered && is_free && view.configuration().is_some() && view.term().is_none() {
            let since = *free_since.get_or_insert(now);
            if view.stand_back().is_some_and(|wait| now.since(since) >= wait) {
                match try_begin(&view, incarnation).await {
                    Ok(Some(term)) => begin(term),
                    Ok(None) => {}
                    Err(e) => log::warn!(error:% = e; "no term begun"),
                }
            }
        } else {
            free_since = None;
        }
        let weaker = owner.filter(|o| is_answered && view.settings.strength.is_clearly_stronger_than(&o.strength));
        weak_since = weaker.as_ref().map(|o| weak_since.filter(|(term, _)| *term == o.term).unwrap_or((o.term, now)));
        let is_due = weak_since.is_some_and(|(_, since)| now.since(since) >= HANDOVER_AGE);
        if let Some(owner) = weaker.filter(|_| is_due)
            && peers.ask_handover(&owner).await
        {
            continue;
        }
        task::sleep(view::PROBE_INTERVAL).await;
    }
}

/// Ends the term of an entry that stops. The next scheduler may order VMs at once, as nobody else does any more.
pub async fn finish_last(term: &Arc<Term>, reason: &str) {
    term.end(reason);
    writer::flush(term).await;
    note_released(term).await;
    release(term).await;
}

/// Ends the term of an entry that goes on. To the platform it is a holder of orders about VMs that may return, so the
/// next scheduler waits before its first one.
pub async fn finish(term: &Arc<Term>, reason: &str) {
    term.end(reason);
    writer::flush(term).await;
    release(term).await;
}

fn begin(term: Arc<Term>) {
    log::info!(term = term.owner.term, token = term.revision.0; "term begun");
    term.view.set_term(Some(Arc::clone(&term)));
    task::spawn(renew(Arc::clone(&term)));
    task::spawn(async move {
        if let Err(e) = load(&term).await {
            log::error!(error:% = e; "the term can't go on");
            term.end("the jobs could not be read");
            release(&term).await;
            return;
        }
        task::spawn(Arc::clone(&term).run_planner());
        for _ in 0..writer::WRITERS {
            task::spawn(writer::run(Arc::clone(&term)));
        }
        task::spawn(writer::expire_jobs(Arc::clone(&term)));
        task::spawn(listing::watch_jobs(Arc::clone(&term)));
        task::spawn(listing::follow_workers(Arc::clone(&term)));
        task::spawn(vm_orders::run(Arc::clone(&term)));
        task::spawn(links::tick(Arc::clone(&term)));
    });
}

/// Notes that the term ended by itself.
async fn note_released(term: &Term) {
    let change = Change {
        expected: vec![(SCHEDULER_KEY.to_owned(), term.revision)],
        puts: vec![(RELEASED_KEY.to_owned(), records::write(&term.owner.term), None)],
        deletes: Vec::new(),
    };
    match term.view.store.change(&change, STORE_LIMIT).await {
        Ok(ChangeOutcome::Done(_)) => log::info!(term = term.owner.term; "term released"),
        answer => {
            log::info!(term = term.owner.term, answer:? = answer; "the next scheduler is not told that the term was released")
        }
    }
}

/// Ends the lease, so that another entry may take over at once.
async fn release(term: &Term) {
    if let Err(e) = term.view.store.end_lease(term.lease, STORE_LIMIT).await {
        log::warn!(error:% = e; "the scheduler's lease was left to lapse");
    }
}

async fn try_begin(view: &Arc<View>, incarnation: u64) -> Result<Option<Arc<Term>>, ElectionError> {
    let store = &view.store;
    let terms = store.get(TERMS_KEY, STORE_LIMIT).await?;
    let (count, terms_revision) = match &terms {
        Some(Item { value: Some(value), revision, .. }) => (records::read::<u32>(value)?, *revision),
        _ => (0, StoreRevision::ABSENT),
    };
    let is_own_key = view.scheduler().is_some();
    let released = match store.get(RELEASED_KEY, STORE_LIMIT).await? {
        Some(Item { value: Some(value), .. }) => Some(records::read::<u32>(&value)?),
        _ => None,
    };
    // A scheduler that stopped by itself, or whose process has ended, gives no more orders about VMs.
    let may_order_at_once = count == 0 || is_own_key || released == Some(count - 1);
    let lease = store.grant_lease(TERM_LEASE.max(view.settings.min_store_lease.to_duration()), STORE_LIMIT).await?;
    let owner = Owner {
        entry: view.settings.entry.clone(),
        peers: view.settings.peers,
        strength: view.settings.strength,
        incarnation,
        term: count,
    };
    let change = Change {
        expected: vec![(SCHEDULER_KEY.to_owned(), view.scheduler_revision()), (TERMS_KEY.to_owned(), terms_revision)],
        puts: vec![
            (SCHEDULER_KEY.to_owned(), records::write(&owner), Some(lease)),
            (TERMS_KEY.to_owned(), records::write(&(count + 1)), None),
        ],
        deletes: Vec::new(),
    };
    let revision = match store.change(&change, STORE_LIMIT).await {
        Ok(ChangeOutcome::Done(revision)) => revision,
        Ok(ChangeOutcome::Conflict(_)) => {
            abandon(view, lease).await;
            return Ok(None);
        }
        Ok(ChangeOutcome::NoLease) => return LeaseEndedSnafu.fail(),
        Err(e) => {
            // A lost answer may hide a success; the key tells.
            let item = store.get(SCHEDULER_KEY, STORE_LIMIT).await?;
            match item {
                Some(item) if item.value.as_deref() == Some(&records::write(&owner)) => item.revision,
                _ => {
                    abandon(view, lease).await;
                    return Err(e.into());
                }
            }
        }
    };
    view.take_owner(&Item {
        key: SCHEDULER_KEY.to_owned(),
        value: Some(records::write(&owner)),
        revision,
        created: revision,
    });
    let policy = view.configuration().map(|c| Arc::clone(&c.policy)).unwrap_or_default();
    let scheduler = Scheduler::new(FencingToken(revision.0), count, view.settings.bounds, policy);
    Ok(Some(Arc::new(Term::new(owner, revision, lease, Arc::clone(view), scheduler, may_order_at_once))))
}

async fn abandon(view: &View, lease: LeaseId) {
    if let Err(e) = view.store.end_lease(lease, STORE_LIMIT).await {
        log::info!(error:% = e; "an unused lease was left to lapse");
    }
}

async fn renew(term: Arc<Term>) {
    while !term.is_ended() {
        match term.view.store.renew_lease(term.lease, STORE_LIMIT).await {
            Ok(true) => {}
            Ok(false) => return term.end("the scheduler's lease has ended"),
            // Without the store nobody else can take over either, unless it serves others; then workers refuse.
            Err(e) => log::info!(error:% = e; "lease not renewed"),
        }
        task::sleep(RENEW_INTERVAL).await;
    }
}

async fn load(term: &Arc<Term>) -> Result<(), ElectionError> {
    for _ in 0..LOAD_ATTEMPTS {
        match load_once(term).await {
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

async fn load_once(term: &Arc<Term>) -> Result<(), ElectionError> {
    let store = &term.view.store;
    // The ends are read before the jobs: only this term may write them now, and it writes none before it is loaded.
    let (progress_items, _) = store.list(PROGRESS_PREFIX, term.list_limit()).await?;
    let roster = match store.get(ROSTER_KEY, STORE_LIMIT).await? {
        Some(Item { value: Some(value), .. }) => records::read_roster(&value)?,
        _ => Vec::new(),
    };
    let (jobs, as_of) = store.list(JOB_PREFIX, term.list_limit()).await?;
    let mut progress: Map<JobKey, Progress> = Map::default();
    {
        let mut revisions = term.progress_revisions.lock().expect("no holder panics");
        for item in progress_items {
            let Some(value) = &item.value else { continue };
            let job = JobKey::new(item.key.trim_start_matches(PROGRESS_PREFIX));
            progress.insert(job.clone(), records::read(value)?);
            revisions.insert(job, item.revision);
        }
    }
    let now = view::now();
    let count = jobs.len();
    let workers = roster.len();
    let mut cancelled = Vec::new();
    let mut accepted = Vec::new();
    for item in jobs {
        let Some(value) = &item.value else { continue };
        match records::read_job_key(&item.key) {
            Some(JobItem::Cancel(job)) => cancelled.push(job),
            Some(JobItem::Record(job)) => match records::read::<JobRecord>(value)? {
                JobRecord::Accepted(spec) => {
                    accepted.push((spec.accepted, job, spec, item.created < term.revision));
                }
                JobRecord::Ended { state, at, .. } => term.with(|s| s.add_ended(job, state, at)),
            },
            None => log::warn!(key:% = item.key; "unknown key among the jobs"),
        }
    }
    accepted.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
    term.with(|s| {
        for (_, job, spec, is_inherited) in accepted {
            let done = progress.remove(&job).unwrap_or_default();
            s.add_job(now, job, spec, done, is_inherited);
        }
        for job in &cancelled {
            s.cancel_job(job);
        }
        s.apply_recovery_set(now.mono, roster);
    });
    term.set_loaded(as_of);
    log::info!(term = term.owner.term, items = count, workers = workers, revision = as_of.0; "jobs loaded");
    term.advance();
    Ok(())
}
