//! Fences the last term while this entry, which is no successor, waits to begin the next one.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use carawaybarrow_core::sched::fence::{self, FENCING_DELAY, Fence};
use carawaybarrow_core::sched::order::{FencingToken, WorkerReport};
use carawaybarrow_core::sched::scheduler::Poll;
use carawaybarrow_core::units::{Millis, MonoTime};
use carawaybarrow_platform::store::{Change, ChangeOutcome, Item, LeaseId, StoreRevision};
use carawaybarrow_platform::vms::VmClient;
use carawaybarrow_platform::workers::WorkerClient;
use futures::StreamExt;
use rand::Rng;

use crate::node::records::{self, FENCER_KEY, RECOVERY_SET_KEY, SCHEDULER_KEY, TERM_COUNT_KEY};
use crate::node::term_start::StartError;
use crate::node::view::{self, STORE_TIMEOUT, View};
use crate::node::vm_orders;

/// Length of the lease of the entry that fences. One entry does at a time, as it asks all workers.
const FENCER_LEASE: Millis = Millis(5_000);

/// Time for the answer of a worker.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Workers that are asked at the same time.
const ASKED_AT_ONCE: usize = 64;

/// Pause before the workers that gave no answer are asked again.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// A term that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedTerm {
    /// Number of terms that had begun.
    pub terms: u32,
    /// Revision of that number.
    pub terms_revision: StoreRevision,
    /// Time by which the last one had ended.
    pub ended_by: MonoTime,
}

/// The fencing of ended terms by this entry.
#[derive(Debug, Default)]
pub struct Fencing {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    is_running: bool,
    /// Number of terms that had begun, and the time without a scheduler after which this entry fences the last one.
    delay: Option<(u32, Millis)>,
    /// Number of terms that had begun when the last one was fenced.
    fenced: Option<u32>,
}

impl Fencing {
    /// Whether the last of a number of terms can't act any more.
    #[must_use]
    pub fn is_complete(&self, terms: u32) -> bool {
        self.state.lock().expect("no holder panics").fenced == Some(terms)
    }

    /// Time without a scheduler after which this entry fences the last of a number of terms.
    #[must_use]
    pub fn delay(&self, terms: u32, other_entries: usize) -> Millis {
        let mut state = self.state.lock().expect("no holder panics");
        let known = state.delay.filter(|(known, _)| *known == terms);
        let draw = || (terms, FENCING_DELAY + Millis(rand::rng().random_range(0..=fence::spread(other_entries).0)));
        state.delay.insert(known.unwrap_or_else(draw)).1
    }

    /// Begins to fence an ended term, unless that goes on already.
    pub fn begin(self: &Arc<Self>, view: &Arc<View>, ended: EndedTerm) {
        if std::mem::replace(&mut self.state.lock().expect("no holder panics").is_running, true) {
            return;
        }
        let (fencing, view) = (Arc::clone(self), Arc::clone(view));
        task::spawn(async move {
            let is_complete = fence_term(&view, ended).await.unwrap_or_else(|e| {
                log::info!(error:% = e; "the last term can't be fenced yet");
                false
            });
            let mut state = fencing.state.lock().expect("no holder panics");
            state.is_running = false;
            if is_complete {
                state.fenced = Some(ended.terms);
                view.request_probe();
            }
        });
    }
}

/// Fences an ended term. Returns whether its scheduler can't act any more; `false` if a later term has begun, another entry
/// fences, or the store is lost.
async fn fence_term(view: &Arc<View>, ended: EndedTerm) -> Result<bool, StartError> {
    let Some((lease, token)) = claim(view, ended).await? else { return Ok(false) };
    let outcome = fence_as(view, ended, lease, token).await;
    if let Err(e) = view.store.end_lease(lease, STORE_TIMEOUT).await {
        log::info!(error:% = e; "the lease of the entry that fences can't be ended and will lapse");
    }
    outcome
}

/// Claims the fencing, if there is no scheduler and no other entry fences. Returns a token that is higher than that of the
/// ended term and lower than that of each later one.
async fn claim(view: &View, ended: EndedTerm) -> Result<Option<(LeaseId, FencingToken)>, StartError> {
    // A read costs the store less than a lease that is not used.
    if view.store.get(FENCER_KEY, STORE_TIMEOUT).await?.is_some_and(|item| item.value.is_some()) {
        return Ok(None);
    }
    let length = FENCER_LEASE.max(view.settings.min_store_lease);
    let lease = view.store.grant_lease(length.to_duration(), STORE_TIMEOUT).await?;
    let change = Change {
        expected: vec![
            (SCHEDULER_KEY.to_owned(), StoreRevision::ABSENT),
            (TERM_COUNT_KEY.to_owned(), ended.terms_revision),
            (FENCER_KEY.to_owned(), StoreRevision::ABSENT),
        ],
        puts: vec![(FENCER_KEY.to_owned(), records::encode(&view.settings.entry), Some(lease))],
        deletes: Vec::new(),
    };
    match view.store.change(&change, STORE_TIMEOUT).await {
        Ok(ChangeOutcome::Done(revision)) => Ok(Some((lease, FencingToken(revision.0)))),
        outcome => {
            // The lease of a change that got no answer must not hold up other entries.
            if let Err(e) = view.store.end_lease(lease, STORE_TIMEOUT).await {
                log::info!(error:% = e; "an unused lease can't be ended and will lapse");
            }
            Ok(outcome.map(|_| None)?)
        }
    }
}

async fn fence_as(view: &Arc<View>, ended: EndedTerm, lease: LeaseId, token: FencingToken) -> Result<bool, StartError> {
    // The set can't change any more, as its scheduler stores it only while it has its key.
    let recovery_set = match view.store.get(RECOVERY_SET_KEY, STORE_TIMEOUT).await? {
        Some(Item { value: Some(value), .. }) => records::decode_recovery_set(&value)?,
        _ => Vec::new(),
    };
    let count = recovery_set.len();
    let Some(mut fence) = Fence::new(ended.ended_by, recovery_set) else {
        log::warn!(terms = ended.terms; "the last term can't be fenced, as a worker does not report its incarnation");
        return Ok(false);
    };
    let began = view::now().mono;
    let workers = WorkerClient::new(&view.settings.entry);
    let vms = view.settings.vm_list.map(|address| VmClient::new(address, &view.settings.entry));
    let mut list_time = vm_orders::new_list_time();
    loop {
        ask_workers(&workers, &mut fence, token).await;
        if fence.is_complete() {
            let took = view::now().mono.since(began);
            log::info!(terms = ended.terms, token = token.0, workers = count, took:% = took; "the last term is fenced");
            return Ok(true);
        }
        if let Some(vms) = &vms {
            let requested = view::now().mono;
            match vm_orders::list_vms(vms, &mut list_time).await {
                Ok(listed) => fence.apply_vm_list(requested, &listed),
                Err(e) => log::info!(error:% = e; "the list of VMs can't be read"),
            }
        }
        let is_over = view.is_stopping() || view.scheduler().is_some() || view.latest_term() >= Some(ended.terms);
        if is_over || !view.store.renew_lease(lease, STORE_TIMEOUT).await? {
            return Ok(false);
        }
        let silent = fence.outstanding().len();
        log::info!(terms = ended.terms, workers = count, silent = silent; "workers must still refuse the last term");
        task::sleep(ROUND_PAUSE).await;
    }
}

/// Asks the outstanding workers to refuse lower tokens. The poll extends no lease and discards no end.
async fn ask_workers(workers: &WorkerClient, fence: &mut Fence, token: FencingToken) {
    let poll = Poll { lease_until: None, durable_end: 0, wait: Millis(0) };
    let ask = async |report: WorkerReport| {
        let answer = workers.poll(report.address, &report.key, poll, token, ANSWER_TIMEOUT).await;
        answer.is_ok().then_some(report.key)
    };
    let asked = futures::stream::iter(fence.outstanding()).map(ask).buffer_unordered(ASKED_AT_ONCE);
    let answered: Vec<_> = asked.filter_map(async |worker| worker).collect().await;
    answered.iter().for_each(|worker| fence.record_answer(worker));
}
