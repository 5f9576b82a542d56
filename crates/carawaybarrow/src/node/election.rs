//! Acquires the scheduler's lease when no other entry holds it, renews it, and requests it from weaker entries.

use std::sync::Arc;
use std::time::Duration;

use async_std::{future, task};
use carawaybarrow_core::sched::candidacy::{self, HANDOVER_AGE, PROBE_INTERVAL, ReliefOutcome, TermState};
use carawaybarrow_core::sched::recovery::PREVIOUS_TERM_OVERRUN;
use carawaybarrow_core::sched::succession::Vacancy;
use carawaybarrow_core::units::{Millis, MonoTime};
use carawaybarrow_platform::store::{Change, ChangeOutcome};

use crate::node::fencing::Fencing;
use crate::node::peers::SchedulerClient;
use crate::node::records::{self, LAST_SCHEDULER_KEY, LastScheduler, RELEASED_TERM_KEY, SCHEDULER_KEY};
use crate::node::term::Term;
use crate::node::term_start::{self, Attempt, Earlier};
use crate::node::view::{self, STORE_TIMEOUT, View};
use crate::node::{job_loading, job_writer, store_watches, succession, vm_orders, worker_polls};

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

/// Pause before another attempt to read the store's revision.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Probes the store, begins a term when there is no scheduler, and requests a handover from a weaker scheduler. Runs
/// until the process stops.
pub async fn run(view: Arc<View>, scheduler: Arc<SchedulerClient>) {
    let incarnation = view.incarnation;
    let mut vacant_since = None;
    let mut vacancy = Vacancy::default();
    let fencing = Arc::new(Fencing::default());
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
            let last = view.latest_term();
            let is_fenced = last.is_some_and(|last| fencing.is_complete(last.saturating_add(1)));
            let is_waiting = !is_fenced && wait.is_some_and(|(term, until)| last == term && now < until);
            if view.takeover_delay().is_some_and(|delay| now.since(since) >= delay) && !is_waiting {
                match term_start::try_begin(&view, incarnation, &mut vacancy, &fencing).await {
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
        let interval = if is_watching { candidacy::watch_interval(view.other_entries().len()) } else { PROBE_INTERVAL };
        view.wait_for_probe(interval.to_duration()).await;
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
        if let Err(e) = job_loading::load_jobs(&term).await {
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
        lease: Some(term_start::lease_length(&term.view)),
        names_incarnations: true,
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
