//! Begins a term: reads what earlier terms have stored, and stores the documents of the new one in a single change.

use std::net::SocketAddr;
use std::sync::Arc;

use carawaybarrow_core::sched::fence;
use carawaybarrow_core::sched::order::FencingToken;
use carawaybarrow_core::sched::scheduler::Scheduler;
use carawaybarrow_core::sched::succession::{Succession, UNLISTED_DELAY, Vacancy};
use carawaybarrow_core::sched::takeover::LastStop;
use carawaybarrow_core::sched::vm_turns::StoredMoves;
use carawaybarrow_core::units::{Millis, MonoTime};
use carawaybarrow_platform::store::{Change, ChangeOutcome, Item, LeaseId, StoreError, StoreRevision};
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::node::fencing::{EndedTerm, Fencing};
use crate::node::records::{
    self, LAST_SCHEDULER_KEY, LastScheduler, Owner, RELEASED_TERM_KEY, RELIEVED_TERM_KEY, SCHEDULER_KEY,
    SUCCESSION_KEY, TERM_COUNT_KEY, VM_MOVES_KEY,
};
use crate::node::term::{EarlierVmOrders, GrantedLease, Term};
use crate::node::view::{self, STORE_TIMEOUT, View};

/// Length of the scheduler's lease, unless the store grants only longer ones. A shorter lease would lapse in short
/// outages; a longer one would leave the pools without a scheduler for longer after a failure.
const TERM_LEASE: Millis = Millis(1_500);

/// Why a term could not begin.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StartError {
    /// The store gave no usable answer.
    #[snafu(transparent)]
    Store {
        /// Its error.
        source: StoreError,
    },
    /// A stored document can't be parsed.
    #[snafu(display("a stored document can't be parsed: {source}"), context(false))]
    Document {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The lease ended before the term began.
    #[snafu(display("the lease ended before the term began"))]
    LeaseEnded,
    /// No attempt has read the jobs.
    #[snafu(display("the jobs could not be read"))]
    NotLoaded,
}

/// What is known of the schedulers before a new term.
#[derive(Debug)]
pub struct Earlier {
    /// The scheduler of the last term; `None` for the first term.
    pub last: Option<LastScheduler>,
    /// What tells when it stops by itself, if its lease lapsed and those before it have stopped.
    pub last_stop: Option<LastStop>,
}

/// Outcome of an attempt to begin a term.
#[derive(Debug)]
pub enum Attempt {
    /// The term, and the schedulers before it.
    Begun(Box<Term>, Box<Earlier>),
    /// This entry may begin a term after this time.
    Waiting(Millis),
    /// Another entry was faster.
    Conflict,
}

/// Documents of earlier terms.
struct Stored {
    /// Number of terms that have begun.
    terms: u32,
    terms_revision: StoreRevision,
    /// Whether the scheduler's key is of an earlier incarnation of this entry.
    is_own_stale_key: bool,
    released: Option<u32>,
    relieved: Option<u32>,
    last: Option<LastScheduler>,
    succession: Option<Result<Succession, serde_json::Error>>,
    succession_revision: StoreRevision,
    /// `None`, after which any VM may have been moved, if there are none or they can't be read.
    vm_moves: Option<StoredMoves>,
    vm_moves_revision: StoreRevision,
}

impl Stored {
    /// Reads the documents. Returns `None` if another entry has begun a term.
    async fn read(view: &View) -> Result<Option<Self>, StartError> {
        let store = &view.store;
        let (terms, terms_revision) = split(store.get(TERM_COUNT_KEY, STORE_TIMEOUT).await?);
        // The caller begins a term only if there is no scheduler, or if the scheduler's key is of an earlier incarnation of
        // this entry. A known scheduler is therefore that incarnation.
        let is_own_stale_key = view.scheduler().is_some();
        let (owner, released, relieved, last, succession, vm_moves) = futures::try_join!(
            store.get(SCHEDULER_KEY, STORE_TIMEOUT),
            store.get(RELEASED_TERM_KEY, STORE_TIMEOUT),
            store.get(RELIEVED_TERM_KEY, STORE_TIMEOUT),
            store.get(LAST_SCHEDULER_KEY, STORE_TIMEOUT),
            store.get(SUCCESSION_KEY, STORE_TIMEOUT),
            store.get(VM_MOVES_KEY, STORE_TIMEOUT)
        )?;
        // The wait counts from a moment at which the last term of the count was over, so the key is read after the count.
        if owner.is_some_and(|item| item.value.is_some() && item.revision != view.scheduler_revision()) {
            return Ok(None);
        }
        let (succession, succession_revision) = split(succession);
        let (vm_moves, vm_moves_revision) = split(vm_moves);
        let report = |e: &serde_json::Error| {
            log::error!(error:% = e; "the stored moves of VMs can't be read; no VM is ordered at first");
        };
        Ok(Some(Self {
            terms: decode(terms)?.unwrap_or(0),
            terms_revision,
            is_own_stale_key,
            released: decode(split(released).0)?,
            relieved: decode(split(relieved).0)?,
            last: decode(split(last).0)?,
            succession: succession.map(|value| records::decode(&value)),
            succession_revision,
            vm_moves: decode(vm_moves).inspect_err(report).ok().flatten(),
            vm_moves_revision,
        }))
    }

    /// Number of the last term that has begun.
    const fn last_term(&self) -> Option<u32> {
        self.terms.checked_sub(1)
    }

    /// Whether the last scheduler recorded its release.
    fn is_released(&self) -> bool {
        self.released.is_some() && self.released == self.last_term()
    }

    /// The last scheduler, if it was this entry.
    fn own_last(&self, view: &View) -> Option<&LastScheduler> {
        self.last.as_ref().filter(|e| Some(e.owner.term) == self.last_term() && e.owner.entry == view.settings.entry)
    }

    /// Whether the last scheduler acts no more, as it has recorded its release or was this entry.
    fn has_last_stopped(&self, view: &View) -> bool {
        self.is_released() || self.own_last(view).is_some()
    }

    /// Whether no earlier scheduler acts any more. A release is recorded only once all earlier schedulers have stopped too.
    fn have_all_stopped(&self, view: &View, incarnation: u64) -> bool {
        let is_of_earlier_process = |e: &LastScheduler| e.have_earlier_stopped && e.owner.incarnation != incarnation;
        self.terms == 0 || self.is_released() || self.own_last(view).is_some_and(is_of_earlier_process)
    }

    /// Time without a scheduler after which this entry may begin a term. The last scheduler was of a version without succession
    /// if it stored none; the other entries then had to confirm its term.
    fn delay(&self, view: &View) -> Millis {
        match &self.succession {
            _ if self.has_last_stopped(view) => Millis(0),
            Some(Ok(s)) if Some(s.term) == self.last_term() => s.delay_of(&view.settings.peers),
            Some(Ok(_)) | None => Millis(0),
            Some(Err(e)) => {
                log::error!(error:% = e; "the succession can't be read; this entry counts as not listed");
                UNLISTED_DELAY
            }
        }
    }

    /// Begins to fence the last term once its successors had time to begin the next one. Returns the time after which this
    /// entry should try again.
    fn fence(&self, view: &Arc<View>, vacancy: &Vacancy, fencing: &Arc<Fencing>) -> Millis {
        let is_fenceable = |e: &LastScheduler| e.names_incarnations && Some(e.owner.term) == self.last_term();
        let Some(ended_by) = vacancy.since(self.terms).filter(|_| self.last.as_ref().is_some_and(is_fenceable)) else {
            return Millis(u64::MAX);
        };
        let others = view.other_entries().len();
        let remaining = fencing.delay(self.terms, others).saturating_sub(view::now().mono.since(ended_by));
        if remaining > Millis(0) {
            return remaining;
        }
        fencing.begin(view, EndedTerm { terms: self.terms, terms_revision: self.terms_revision, ended_by });
        fence::attempt_interval(others)
    }

    /// What tells when the last scheduler stops by itself; `None` if its lease may have ended for another reason than that it
    /// lapsed, as it may have been renewed just before. `lapsed_by` is a time at which the term was over.
    fn last_stop(&self, view: &View, lapsed_by: MonoTime) -> Option<LastStop> {
        if self.has_last_stopped(view) || self.is_own_stale_key || self.relieved == self.last_term() {
            return None;
        }
        let succession = self.succession.as_ref()?.as_ref().ok().filter(|s| Some(s.term) == self.last_term())?;
        let last = self.last.as_ref().filter(|e| Some(e.owner.term) == self.last_term() && e.have_earlier_stopped)?;
        LastStop::new(lapsed_by, last.lease?, succession)
    }
}

/// Value and revision of a key.
fn split(item: Option<Item>) -> (Option<Vec<u8>>, StoreRevision) {
    match item {
        Some(Item { value: Some(value), revision, .. }) => (Some(value), revision),
        _ => (None, StoreRevision::ABSENT),
    }
}

fn decode<T: DeserializeOwned>(value: Option<Vec<u8>>) -> Result<Option<T>, serde_json::Error> {
    value.map(|value| records::decode(&value)).transpose()
}

/// Acquires the scheduler's lease and key, if this entry may begin the next term by now.
///
/// # Errors
///
/// Fails if the store gives no usable answer, and if a document that an earlier term stored can't be read.
pub async fn try_begin(
    view: &Arc<View>,
    incarnation: u64,
    vacancy: &mut Vacancy,
    fencing: &Arc<Fencing>,
) -> Result<Attempt, StartError> {
    let Some(stored) = Stored::read(view).await? else { return Ok(Attempt::Conflict) };
    let term = stored.terms;
    let mut last_stop = None;
    if let Some(last) = stored.last_term() {
        view.record_term(last);
        let remaining = vacancy.remaining(term, stored.delay(view), view::now().mono);
        if remaining > Millis(0) && !fencing.is_complete(term) {
            log::info!(term = last, remaining_ms = remaining.0; "there is no scheduler; its successors come first");
            return Ok(Attempt::Waiting(remaining.min(stored.fence(view, vacancy, fencing))));
        }
        last_stop = vacancy.since(term).and_then(|lapsed_by| stored.last_stop(view, lapsed_by));
    }
    let have_all_stopped = stored.have_all_stopped(view, incarnation);
    // If the last schedulers have stopped, it doesn't matter whether they would have.
    let is_last_heeding = |e: &LastScheduler| e.heeds_job_terms && Some(e.owner.term) == stored.last_term();
    let do_earlier_heed_terms = have_all_stopped || stored.last.as_ref().is_some_and(is_last_heeding);
    let owner = Owner {
        entry: view.settings.entry.clone(),
        peers: view.settings.peers,
        strength: view.settings.strength,
        incarnation,
        term,
    };
    let last_scheduler = LastScheduler {
        owner: owner.clone(),
        have_earlier_stopped: have_all_stopped,
        heeds_job_terms: do_earlier_heed_terms,
        lease: Some(lease_length(view)),
        names_incarnations: true,
    };
    let has_failed = |peers: &SocketAddr| stored.last.as_ref().is_some_and(|e| e.owner.peers == *peers);
    let succession = Succession::choose(term, &view.candidates().unwrap_or_default(), |peers| !has_failed(peers));
    let vm_moves = StoredMoves::for_next(stored.vm_moves.as_ref(), term);

    let requested = view::now().mono;
    let lease = view.store.grant_lease(lease_length(view).to_duration(), STORE_TIMEOUT).await?;
    let change = Change {
        expected: vec![
            (SCHEDULER_KEY.to_owned(), view.scheduler_revision()),
            (TERM_COUNT_KEY.to_owned(), stored.terms_revision),
            (SUCCESSION_KEY.to_owned(), stored.succession_revision),
            // The last scheduler may have stored further moves since.
            (VM_MOVES_KEY.to_owned(), stored.vm_moves_revision),
        ],
        puts: vec![
            (SCHEDULER_KEY.to_owned(), records::encode(&owner), Some(lease)),
            (TERM_COUNT_KEY.to_owned(), records::encode(&(term + 1)), None),
            (LAST_SCHEDULER_KEY.to_owned(), records::encode(&last_scheduler), None),
            (SUCCESSION_KEY.to_owned(), records::encode(&succession), None),
            (VM_MOVES_KEY.to_owned(), records::encode(&vm_moves), None),
        ],
        deletes: Vec::new(),
    };
    view.record_attempted_term(term);
    let Some(revision) = store_owner(view, &change, &owner, lease).await? else { return Ok(Attempt::Conflict) };
    view.apply_owner(&Item {
        key: SCHEDULER_KEY.to_owned(),
        value: Some(records::encode(&owner)),
        revision,
        created: revision,
    });
    let policy = view.configuration().map(|c| Arc::clone(&c.policy)).unwrap_or_default();
    let mut scheduler = Scheduler::new(FencingToken(revision.0), term, view.settings.bounds, policy);
    if do_earlier_heed_terms {
        scheduler.record_earlier_heed_terms();
    }
    // A scheduler that recorded its release, or an earlier incarnation of this entry, gives no more VM orders.
    let may_order_at_once = term == 0 || stored.is_own_stale_key || stored.is_released();
    let vm_orders = EarlierVmOrders { may_order_at_once, moves: vm_moves };
    let lease = GrantedLease { id: lease, requested };
    let begun = Term::new(owner, revision, lease, Arc::clone(view), scheduler, succession, vm_orders);
    // Not as of the change that began the term: the lease may lapse as early as if it had not been renewed since then.
    begun.record_stored(requested);
    if have_all_stopped {
        begun.record_previous_stopped();
    }
    Ok(Attempt::Begun(Box::new(begun), Box::new(Earlier { last: stored.last, last_stop })))
}

/// Makes the change that begins a term. Returns the revision of the scheduler's key; `None` if another entry was faster.
async fn store_owner(
    view: &View,
    change: &Change,
    owner: &Owner,
    lease: LeaseId,
) -> Result<Option<StoreRevision>, StartError> {
    match view.store.change(change, STORE_TIMEOUT).await {
        Ok(ChangeOutcome::Done(revision)) => Ok(Some(revision)),
        Ok(ChangeOutcome::Conflict(_)) => {
            end_unused_lease(view, lease).await;
            Ok(None)
        }
        Ok(ChangeOutcome::NoLease) => LeaseEndedSnafu.fail(),
        Err(e) => {
            // The change may have been applied although its answer was lost; the key shows whether it was.
            let item = view.store.get(SCHEDULER_KEY, STORE_TIMEOUT).await?;
            if let Some(item) = item.filter(|item| item.value.as_deref() == Some(&records::encode(owner))) {
                return Ok(Some(item.revision));
            }
            end_unused_lease(view, lease).await;
            Err(e.into())
        }
    }
}

/// Length of the lease of a term that this entry begins.
#[must_use]
pub fn lease_length(view: &View) -> Millis {
    TERM_LEASE.max(view.settings.min_store_lease)
}

async fn end_unused_lease(view: &View, lease: LeaseId) {
    if let Err(e) = view.store.end_lease(lease, STORE_TIMEOUT).await {
        log::info!(error:% = e; "an unused lease can't be ended and will lapse");
    }
}
