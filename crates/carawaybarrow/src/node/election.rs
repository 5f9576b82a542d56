//! Acquires the scheduler's lease when no other entry holds it, renews it, and requests it from weaker entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::{future, task};
use carawaybarrow_core::Map;
use carawaybarrow_core::sched::candidacy::{HANDOVER_AGE, ReliefOutcome, TermState};
use carawaybarrow_core::sched::graph::JobKey;
use carawaybarrow_core::sched::order::FencingToken;
use carawaybarrow_core::sched::progress::{JobRecord, Progress};
use carawaybarrow_core::sched::recovery::{PREVIOUS_TERM_OVERRUN, QueuePools};
use carawaybarrow_core::sched::scheduler::Scheduler;
use carawaybarrow_core::sched::succession::{Succession, UNLISTED_DELAY, Vacancy};
use carawaybarrow_core::sched::takeover::LastStop;
use carawaybarrow_core::sched::vm_turns::StoredMoves;
use carawaybarrow_core::units::{Millis, MonoTime};
use carawaybarrow_platform::configuration::{EVACUATION_PREFIX, evacuated_data_centre};
use carawaybarrow_platform::store::{Change, ChangeOutcome, Item, LeaseId, StoreError, StoreRevision};
use snafu::Snafu;

use crate::node::peers::SchedulerClient;
use crate::node::records::{
    self, JOB_PREFIX, JobItem, LAST_SCHEDULER_KEY, LastScheduler, Owner, PROGRESS_PREFIX, QUEUE_POOLS_KEY,
    RECOVERY_SET_KEY, RELEASED_TERM_KEY, RELIEVED_TERM_KEY, SCHEDULER_KEY, SUCCESSION_KEY, TERM_COUNT_KEY,
    VM_MOVES_KEY,
};
use crate::node::term::{EarlierVmOrders, GrantedLease, Term};
use crate::node::view::{self, PROBE_INTERVAL, View};
use crate::node::{job_writer, store_watches, succession, vm_orders, worker_polls};

/// Length of the scheduler's lease, unless the store grants only longer ones. A shorter lease would lapse in short
/// outages; a longer one would leave the pools without a scheduler for longer after a failure.
const TERM_LEASE: Millis = Millis(1_500);

/// Minimum time between probes of the store while the scheduler is lost and its lease may lapse.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// The same for each other entry. If all entries are equal, they make at most 333 probes a second together; 301 entries that
/// probed each 100 ms used up the calls that the store accepts.
const WATCH_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(3);

/// Time between renewals. The lease survives two renewals that fail quickly.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);

/// Pause after a failed renewal.
const RENEW_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Failed renewals in a row after which the scheduler asks another entry to take over.
const FAILURES_BEFORE_RELIEF: usize = 2;

/// Time since the last confirmation of a term after which its scheduler asks the other entries. Renewals that are
/// answered at once confirm it more often.
const CONFIRMATION_AGE: Millis = Millis(800);

/// Pause between checks whether the other entries must be asked.
const CONFIRMATION_PAUSE: Duration = Duration::from_millis(250);

/// Time for an answer of the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pause before another attempt to read the jobs.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Attempts to read the jobs at the start of a term, so that a short fault of the store doesn't end the term.
const LOAD_ATTEMPTS: usize = 20;

/// Why a term could not begin.
#[derive(Debug, Snafu)]
enum ElectionError {
    #[snafu(transparent)]
    Store { source: StoreError },
    #[snafu(display("a stored document can't be parsed: {source}"), context(false))]
    Document { source: serde_json::Error },
    #[snafu(display("the lease ended before the term began"))]
    LeaseEnded,
    #[snafu(display("the jobs could not be read"))]
    NotLoaded,
}

/// Probes the store, begins a term when there is no scheduler, and requests a handover from a weaker scheduler. Runs
/// until the process stops.
pub async fn run(view: Arc<View>, scheduler: Arc<SchedulerClient>) {
    let incarnation = view.incarnation;
    let mut vacant_since = None;
    let mut vacancy = Vacancy::default();
    // Latest known term when an attempt said how long this entry waits after it, and the end of the wait.
    let mut wait: Option<(Option<u32>, MonoTime)> = None;
    // Term of a weaker scheduler, and the time at which it was first observed.
    let mut weaker_since: Option<(u32, MonoTime)> = None;
    loop {
        let has_answer = view.probe().await;
        if view.is_stopping() {
            return;
        }
        let now = view::now().mono;
        let owner = view.scheduler();
        // A key of an earlier incarnation of this entry may be overwritten before its lease lapses, as that incarnation
        // has ended.
        let is_vacant = owner.as_ref().is_none_or(|o| o.entry == view.settings.entry && o.incarnation != incarnation);
        if has_answer && is_vacant && view.configuration().is_some() && view.term().is_none() {
            let since = *vacant_since.get_or_insert(now);
            let is_waiting = wait.is_some_and(|(term, until)| view.latest_term() == term && now < until);
            if view.takeover_delay().is_some_and(|delay| now.since(since) >= delay) && !is_waiting {
                match try_begin_term(&view, incarnation, &mut vacancy).await {
                    Ok(Attempt::Begun(term, earlier)) => run_term(*term, Arc::clone(&scheduler), *earlier),
                    Ok(Attempt::Waiting(remaining)) => wait = Some((view.latest_term(), view::now().mono + remaining)),
                    Ok(Attempt::Conflict) => {}
                    Err(e) => log::warn!(error:% = e; "can't begin a term"),
                }
            }
        } else {
            vacant_since = None;
        }
        let weaker = owner.filter(|o| has_answer && view.settings.strength.is_clearly_stronger_than(&o.strength));
        weaker_since =
            weaker.as_ref().map(|o| weaker_since.filter(|(term, _)| *term == o.term).unwrap_or((o.term, now)));
        let is_due = weaker_since.is_some_and(|(_, since)| now.since(since) >= HANDOVER_AGE);
        if let Some(owner) = weaker.filter(|_| is_due)
            && scheduler.request_handover(&owner).await
        {
            continue;
        }
        // The strongest entries, which take over first, probe more often while the scheduler's lease may lapse.
        let is_watching = scheduler.has_lost_scheduler() && view.takeover_delay() == Some(Millis(0));
        view.wait_for_probe(if is_watching { watch_interval(&view) } else { PROBE_INTERVAL }).await;
    }
}

/// Ends and releases the term of an entry that stops. The release is recorded, so the next scheduler may give VM orders
/// at once.
pub async fn end_and_release_term(term: &Arc<Term>, reason: &str) {
    term.end(reason);
    job_writer::flush(term).await;
    // The next scheduler may order VMs at once only if the earlier ones have stopped too.
    if term.with(|s| s.has_previous_stopped()) {
        record_release(term).await;
    }
    end_lease(term).await;
}

/// Ends the term of an entry that keeps running. The platform counts it as a holder that may still give VM orders, so
/// no release is recorded and the next scheduler waits before its first VM order.
pub async fn end_term(term: &Arc<Term>, reason: &str) {
    term.end(reason);
    job_writer::flush(term).await;
    end_lease(term).await;
}

fn run_term(term: Term, scheduler: Arc<SchedulerClient>, earlier: Earlier) {
    let term = Arc::new(term);
    let successors = term.succession().successors().len();
    log::info!(term = term.owner.term, token = term.revision.0, successors = successors; "term begun");
    term.view.set_term(Some(Arc::clone(&term)));
    // Another entry may have announced a later term while the beginning of this one was being answered.
    if term.view.latest_term() > Some(term.owner.term) {
        return term.end("another entry has begun a later term");
    }
    let announcement = (Arc::clone(&scheduler), Arc::clone(&term));
    task::spawn(async move {
        announcement.0.announce_term(&announcement.1, earlier.last, earlier.last_stop).await;
    });
    task::spawn(confirm_by_others(Arc::clone(&term), Arc::clone(&scheduler)));
    task::spawn(succession::keep(Arc::clone(&term), Arc::clone(&scheduler)));
    task::spawn(renew(Arc::clone(&term), scheduler));
    task::spawn(async move {
        if let Err(e) = load_jobs(&term).await {
            log::error!(error:% = e; "the jobs can't be read; the term ends");
            term.end("the jobs could not be read");
            end_lease(&term).await;
            return;
        }
        task::spawn(Arc::clone(&term).run_planner());
        task::spawn(await_previous_stopped(Arc::clone(&term)));
        for _ in 0..job_writer::WRITERS {
            task::spawn(job_writer::run(Arc::clone(&term)));
        }
        task::spawn(job_writer::expire_jobs(Arc::clone(&term)));
        task::spawn(store_watches::watch_jobs(Arc::clone(&term)));
        task::spawn(store_watches::watch_workers(Arc::clone(&term)));
        task::spawn(store_watches::store_recovery_sets(Arc::clone(&term)));
        task::spawn(store_watches::watch_evacuations(Arc::clone(&term)));
        task::spawn(vm_orders::run(Arc::clone(&term)));
        task::spawn(worker_polls::tick(Arc::clone(&term)));
    });
}

/// Records in the store that the scheduler ended its term and gives no more VM orders.
async fn record_release(term: &Term) {
    let change = Change {
        expected: vec![(SCHEDULER_KEY.to_owned(), term.revision)],
        puts: vec![(RELEASED_TERM_KEY.to_owned(), records::encode(&term.owner.term), None)],
        deletes: Vec::new(),
    };
    match term.view.store.change(&change, STORE_TIMEOUT).await {
        Ok(ChangeOutcome::Done(_)) => log::info!(term = term.owner.term; "term released"),
        answer => {
            log::info!(term = term.owner.term, answer:? = answer; "the release of the term may not be stored; the next scheduler may delay its VM orders")
        }
    }
}

/// Ends the lease, so that another entry can take over at once.
async fn end_lease(term: &Term) {
    if let Err(e) = term.view.store.end_lease(term.lease, STORE_TIMEOUT).await {
        log::warn!(error:% = e; "the scheduler's lease can't be ended and will lapse");
    }
}

/// What is known of the schedulers before a new term.
struct Earlier {
    /// The scheduler of the last term; `None` for the first term.
    last: Option<LastScheduler>,
    /// What tells when it stops by itself, if its lease lapsed and those before it have stopped.
    last_stop: Option<LastStop>,
}

/// Outcome of an attempt to begin a term.
enum Attempt {
    /// The term, and the schedulers before it.
    Begun(Box<Term>, Box<Earlier>),
    /// This entry may begin a term after this time.
    Waiting(Millis),
    /// Another entry was faster.
    Conflict,
}

/// Acquires the scheduler's lease and key, if this entry may begin the next term by now.
async fn try_begin_term(view: &Arc<View>, incarnation: u64, vacancy: &mut Vacancy) -> Result<Attempt, ElectionError> {
    let store = &view.store;
    let terms = store.get(TERM_COUNT_KEY, STORE_TIMEOUT).await?;
    let (count, terms_revision) = match &terms {
        Some(Item { value: Some(value), revision, .. }) => (records::decode::<u32>(value)?, *revision),
        _ => (0, StoreRevision::ABSENT),
    };
    // The caller begins a term only if there is no scheduler, or if the scheduler's key is of an earlier incarnation of
    // this entry. A known scheduler is therefore that incarnation.
    let is_own_stale_key = view.scheduler().is_some();
    let (owner, released, relieved, earlier, succession, vm_moves) = futures::try_join!(
        store.get(SCHEDULER_KEY, STORE_TIMEOUT),
        store.get(RELEASED_TERM_KEY, STORE_TIMEOUT),
        store.get(RELIEVED_TERM_KEY, STORE_TIMEOUT),
        store.get(LAST_SCHEDULER_KEY, STORE_TIMEOUT),
        store.get(SUCCESSION_KEY, STORE_TIMEOUT),
        store.get(VM_MOVES_KEY, STORE_TIMEOUT)
    )?;
    // The wait counts from a moment at which the last term of the count was over, so the key is read after the count.
    if owner.is_some_and(|item| item.value.is_some() && item.revision != view.scheduler_revision()) {
        return Ok(Attempt::Conflict);
    }
    let decode_term = |item: Option<Item>| match item {
        Some(Item { value: Some(value), .. }) => records::decode::<u32>(&value).map(Some),
        _ => Ok(None),
    };
    let (released, relieved) = (decode_term(released)?, decode_term(relieved)?);
    let earlier = match earlier {
        Some(Item { value: Some(value), .. }) => Some(records::decode::<LastScheduler>(&value)?),
        _ => None,
    };
    let (succession, succession_revision) = match succession {
        Some(Item { value: Some(value), revision, .. }) => (Some(records::decode::<Succession>(&value)), revision),
        _ => (None, StoreRevision::ABSENT),
    };
    let (vm_moves, vm_moves_revision) = match vm_moves {
        Some(Item { value: Some(value), revision, .. }) => (decode_vm_moves(&value), revision),
        _ => (None, StoreRevision::ABSENT),
    };
    // A scheduler that recorded its release, or an earlier incarnation of this entry, gives no more VM orders.
    let may_order_vms_at_once = count == 0 || is_own_stale_key || released == Some(count - 1);
    let mut have_all_stopped = count == 0;
    let mut last_stop = None;
    if let Some(last) = count.checked_sub(1) {
        view.record_term(last);
        // The last scheduler acts no more if it has recorded its release, or if it was this entry. It was of a version
        // without succession if it stored none; the other entries then had to confirm its term.
        let was_own = earlier.as_ref().is_some_and(|e| e.owner.term == last && e.owner.entry == view.settings.entry);
        let has_stopped = released == Some(last) || was_own;
        // A release is recorded only once all earlier schedulers have stopped too.
        have_all_stopped = released == Some(last)
            || (was_own
                && earlier.as_ref().is_some_and(|e| e.have_earlier_stopped && e.owner.incarnation != incarnation));
        let delay = match &succession {
            _ if has_stopped => Millis(0),
            Some(Ok(s)) if s.term == last => s.delay_of(&view.settings.peers),
            Some(Ok(_)) | None => Millis(0),
            Some(Err(e)) => {
                log::error!(error:% = e; "the succession can't be read; this entry counts as not listed");
                UNLISTED_DELAY
            }
        };
        let remaining = vacancy.remaining(count, delay, view::now().mono);
        if remaining > Millis(0) {
            log::info!(term = last, remaining_ms = remaining.0; "there is no scheduler; its successors come first");
            return Ok(Attempt::Waiting(remaining));
        }
        // If the key ended for another reason than that its lease lapsed, the lease may have been renewed just before.
        let has_lapsed = !has_stopped && !is_own_stale_key && relieved != Some(last);
        if let (true, Some(Ok(succession)), Some(earlier), Some(lapsed_by)) =
            (has_lapsed, &succession, &earlier, vacancy.since(count))
            && earlier.owner.term == last
            && earlier.have_earlier_stopped
            && succession.term == last
        {
            last_stop = earlier.lease.and_then(|lease| LastStop::new(lapsed_by, lease, succession));
        }
    }
    let lease_length = lease_length(view);
    let requested = view::now().mono;
    let lease = store.grant_lease(lease_length.to_duration(), STORE_TIMEOUT).await?;
    let owner = Owner {
        entry: view.settings.entry.clone(),
        peers: view.settings.peers,
        strength: view.settings.strength,
        incarnation,
        term: count,
    };
    let has_failed = |peers: &SocketAddr| earlier.as_ref().is_some_and(|e| e.owner.peers == *peers);
    let succession = Succession::choose(count, &view.candidates().unwrap_or_default(), |peers| !has_failed(peers));
    // If the last schedulers have stopped, it doesn't matter whether they would have.
    let is_last_heeding = |e: &LastScheduler| e.heeds_job_terms && e.owner.term.checked_add(1) == Some(count);
    let do_earlier_heed_terms = have_all_stopped || earlier.as_ref().is_some_and(is_last_heeding);
    let vm_moves = StoredMoves::for_next(vm_moves.as_ref(), count);
    let last_scheduler = LastScheduler {
        owner: owner.clone(),
        have_earlier_stopped: have_all_stopped,
        heeds_job_terms: do_earlier_heed_terms,
        lease: Some(lease_length),
    };
    let change = Change {
        expected: vec![
            (SCHEDULER_KEY.to_owned(), view.scheduler_revision()),
            (TERM_COUNT_KEY.to_owned(), terms_revision),
            (SUCCESSION_KEY.to_owned(), succession_revision),
            // The last scheduler may have stored further moves since.
            (VM_MOVES_KEY.to_owned(), vm_moves_revision),
        ],
        puts: vec![
            (SCHEDULER_KEY.to_owned(), records::encode(&owner), Some(lease)),
            (TERM_COUNT_KEY.to_owned(), records::encode(&(count + 1)), None),
            (LAST_SCHEDULER_KEY.to_owned(), records::encode(&last_scheduler), None),
            (SUCCESSION_KEY.to_owned(), records::encode(&succession), None),
            (VM_MOVES_KEY.to_owned(), records::encode(&vm_moves), None),
        ],
        deletes: Vec::new(),
    };
    view.record_attempted_term(count);
    let revision = match store.change(&change, STORE_TIMEOUT).await {
        Ok(ChangeOutcome::Done(revision)) => revision,
        Ok(ChangeOutcome::Conflict(_)) => {
            end_unused_lease(view, lease).await;
            return Ok(Attempt::Conflict);
        }
        Ok(ChangeOutcome::NoLease) => return LeaseEndedSnafu.fail(),
        Err(e) => {
            // The change may have been applied although its answer was lost; the key shows whether it was.
            let item = store.get(SCHEDULER_KEY, STORE_TIMEOUT).await?;
            match item {
                Some(item) if item.value.as_deref() == Some(&records::encode(&owner)) => item.revision,
                _ => {
                    end_unused_lease(view, lease).await;
                    return Err(e.into());
                }
            }
        }
    };
    view.apply_owner(&Item {
        key: SCHEDULER_KEY.to_owned(),
        value: Some(records::encode(&owner)),
        revision,
        created: revision,
    });
    let policy = view.configuration().map(|c| Arc::clone(&c.policy)).unwrap_or_default();
    let mut scheduler = Scheduler::new(FencingToken(revision.0), count, view.settings.bounds, policy);
    if do_earlier_heed_terms {
        scheduler.record_earlier_heed_terms();
    }
    let view = Arc::clone(view);
    let lease = GrantedLease { id: lease, requested };
    let vm_orders = EarlierVmOrders { may_order_at_once: may_order_vms_at_once, moves: vm_moves };
    let term = Term::new(owner, revision, lease, view, scheduler, succession, vm_orders);
    // Not as of the change that began the term: the lease may lapse as early as if it had not been renewed since then.
    term.record_stored(requested);
    if have_all_stopped {
        term.record_previous_stopped();
    }
    Ok(Attempt::Begun(Box::new(term), Box::new(Earlier { last: earlier, last_stop })))
}

/// Stored moves of VMs; `None`, after which any VM may have been moved, if they can't be read.
fn decode_vm_moves(value: &[u8]) -> Option<StoredMoves> {
    records::decode(value)
        .inspect_err(|e| log::error!(error:% = e; "the stored moves of VMs can't be read; no VM is ordered at first"))
        .ok()
}

/// Time between probes while the scheduler is lost.
fn watch_interval(view: &View) -> Duration {
    let others = u32::try_from(view.other_entries().len()).unwrap_or(u32::MAX);
    (WATCH_INTERVAL_PER_ENTRY * others).clamp(WATCH_INTERVAL, PROBE_INTERVAL)
}

/// Length of the lease of a term that this entry begins.
fn lease_length(view: &View) -> Millis {
    TERM_LEASE.max(view.settings.min_store_lease)
}

async fn end_unused_lease(view: &View, lease: LeaseId) {
    if let Err(e) = view.store.end_lease(lease, STORE_TIMEOUT).await {
        log::info!(error:% = e; "an unused lease can't be ended and will lapse");
    }
}

async fn renew(term: Arc<Term>, scheduler: Arc<SchedulerClient>) {
    let mut failures: usize = 0;
    while !term.is_ended() {
        let sent = view::now().mono;
        match term.view.store.renew_lease(term.lease, STORE_TIMEOUT).await {
            Ok(true) => {
                failures = 0;
                term.record_renewal(sent);
            }
            Ok(false) => return term.end("the scheduler's lease has ended"),
            // The term goes on while the other entries confirm it.
            Err(e) => {
                term.record_failed_renewal();
                log::info!(error:% = e; "the scheduler's lease is not renewed");
                failures += 1;
                // Another entry that reaches the store can take over before the lease lapses.
                if failures >= FAILURES_BEFORE_RELIEF && !term.is_ended() {
                    match scheduler.request_relief(&term).await {
                        ReliefOutcome::Granted => return term.end("the store is lost and another entry takes over"),
                        ReliefOutcome::Deposed => return term.end("another entry knows that the term is over"),
                        ReliefOutcome::CutOff => return term.end("the store and the other entries are lost"),
                        ReliefOutcome::Unknown => {}
                    }
                }
                task::sleep(RENEW_RETRY_PAUSE).await;
                continue;
            }
        }
        task::sleep(RENEW_INTERVAL).await;
    }
}

/// Asks the other entries whether the term goes on while the store does not confirm it, until the term ends.
async fn confirm_by_others(term: Arc<Term>, scheduler: Arc<SchedulerClient>) {
    while !term.is_ended() {
        if term.confirmation_age() >= CONFIRMATION_AGE {
            if scheduler.ask_about_term(&term).await == TermState::Over {
                return term.end("another entry knows that the term is over");
            }
            term.log_confirmation();
        }
        task::sleep(CONFIRMATION_PAUSE).await;
    }
}

/// Records in the store that the schedulers before this one have stopped, for the next one: it need not wait if the process
/// of this one has been replaced. If the write fails, it waits as long as these may act.
async fn record_earlier_stopped(term: &Term) {
    if term.owner.term == 0 {
        return;
    }
    let last = LastScheduler {
        owner: term.owner.clone(),
        have_earlier_stopped: true,
        heeds_job_terms: true,
        lease: Some(lease_length(&term.view)),
    };
    let change = Change {
        expected: vec![(SCHEDULER_KEY.to_owned(), term.revision)],
        puts: vec![(LAST_SCHEDULER_KEY.to_owned(), records::encode(&last), None)],
        deletes: Vec::new(),
    };
    match term.view.store.change(&change, STORE_TIMEOUT).await {
        Ok(ChangeOutcome::Done(_)) => {}
        answer => {
            log::info!(term = term.owner.term, answer:? = answer; "the end of earlier schedulers may not be stored; the next scheduler may start tasks later")
        }
    }
}

/// Waits until earlier schedulers have stopped, and reads the revision of the store after that.
async fn await_previous_stopped(term: Arc<Term>) {
    // A timeout means that earlier schedulers have stopped by themselves.
    let _ = future::timeout(PREVIOUS_TERM_OVERRUN.to_duration(), term.wait_for_previous_stopped()).await;
    term.with(|s| s.record_no_earlier_starts(view::now().mono));
    record_earlier_stopped(&term).await;
    while !term.is_ended() {
        let stopped = view::now().mono;
        match term.view.store.list(RELEASED_TERM_KEY, STORE_TIMEOUT).await {
            Ok((_, as_of)) => {
                log::info!(term = term.owner.term, revision = as_of.0; "earlier schedulers have stopped");
                term.with(|s| s.record_previous_stopped(stopped, as_of.0));
                return term.request_plan();
            }
            Err(e) => log::info!(error:% = e; "the revision at which earlier schedulers have stopped is not known yet"),
        }
        task::sleep(RETRY_PAUSE).await;
    }
}

async fn load_jobs(term: &Arc<Term>) -> Result<(), ElectionError> {
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

async fn load_jobs_once(term: &Arc<Term>) -> Result<(), ElectionError> {
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
