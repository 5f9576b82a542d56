//! A term of the scheduler: its state, and until when it may act.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carawaybarrow_core::Map;
use carawaybarrow_core::sched::candidacy::{TermAnswer, TermState};
use carawaybarrow_core::sched::graph::JobKey;
use carawaybarrow_core::sched::progress::{JobRecord, Progress};
use carawaybarrow_core::sched::scheduler::Scheduler;
use carawaybarrow_core::sched::succession::{KnownSuccession, Succession};
use carawaybarrow_core::sched::tombstones::Tombstones;
use carawaybarrow_core::sched::vm_turns::StoredMoves;
use carawaybarrow_core::units::{Millis, MonoTime};
use carawaybarrow_platform::advice::AdviceClient;
use carawaybarrow_platform::store::{LeaseId, StoreRevision};
use carawaybarrow_platform::workers::WorkerClient;

use crate::node::notify::Notify;
use crate::node::records::{self, Owner};
use crate::node::view::{self, View};

/// Time since the last confirmed renewal of the lease after which the store counts as lost. Two renewals fit into it.
const STORE_CONTACT_LIMIT: Millis = Millis(1_000);

/// Time for a page of a list, in addition to its transfer.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum size of a page of a list in bytes, as the store's protocol specifies. The number of items of a page
/// is bounded too.
const PAGE_BYTES: u64 = 1 << 20;

/// Factor by which the transfer of a page may exceed its time on an idle link, as the link carries other traffic too.
const TRANSFER_FACTOR: u64 = 2;

/// Term of this entry as the scheduler.
#[derive(Debug)]
pub struct Term {
    /// Document under the scheduler's key.
    pub owner: Owner,
    /// Revision of the store at which the term began; also its fencing token.
    pub revision: StoreRevision,
    /// Lease of the scheduler's key.
    pub lease: LeaseId,
    /// The entry's view, with its store client and metrics.
    pub view: Arc<View>,
    /// Client of the workers.
    pub workers: WorkerClient,
    /// Client of the service that says which workers may run a step; `None` if the settings name none.
    pub(super) advice: Option<AdviceClient>,
    /// Time at which the term began.
    began: MonoTime,
    /// What earlier schedulers have ordered about VMs.
    pub earlier_vm_orders: EarlierVmOrders,
    /// Succession of this term, and the revision of its key.
    succession: Mutex<(KnownSuccession, StoreRevision)>,
    /// Last time in ms at which the store is known to have held this term.
    stored_at: AtomicU64,
    /// Last known revisions of the stored progress of jobs.
    pub progress_revisions: Mutex<Map<JobKey, StoreRevision>>,
    scheduler: Mutex<Scheduler>,
    loaded: AtomicBool,
    watch_start: AtomicU64,
    evacuations_start: AtomicU64,
    ended: AtomicBool,
    /// Time at which the last renewal of the lease was sent, in ms; 0 if it failed.
    renewed_at: AtomicU64,
    /// Time in ms at which the request for the lease, or the last renewal that succeeded, was sent.
    lease_began: AtomicU64,
    /// Whether the term was confirmed at the last check.
    was_confirmed: AtomicBool,
    write_notify: Notify,
    plan_notify: Notify,
    recovery_set_notify: Notify,
    previous_stopped_notify: Notify,
}

/// A lease of the store.
#[derive(Clone, Copy, Debug)]
pub struct GrantedLease {
    /// Id.
    pub id: LeaseId,
    /// Time at which the request for it was sent.
    pub requested: MonoTime,
}

/// What earlier schedulers have ordered about VMs.
#[derive(Clone, Debug)]
pub struct EarlierVmOrders {
    /// Whether the last one is known to give no more orders, so that this one may give any.
    pub may_order_at_once: bool,
    /// VMs that they may have moved, as stored when this term began.
    pub moves: StoredMoves,
}

/// State of a term when other entries were asked about it.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// Time of the questions.
    pub at: MonoTime,
    /// Age of the term.
    pub term_age: Millis,
    /// Time since the store was last known to hold the term.
    pub stored_age: Millis,
}

impl Term {
    /// Begins a term.
    #[must_use]
    pub fn new(
        owner: Owner,
        revision: StoreRevision,
        lease: GrantedLease,
        view: Arc<View>,
        scheduler: Scheduler,
        succession: Succession,
        earlier_vm_orders: EarlierVmOrders,
    ) -> Self {
        let workers = WorkerClient::new(&view.settings.entry);
        let advice = view.settings.advice.map(|address| AdviceClient::new(address, &view.settings.entry));
        Self {
            owner,
            revision,
            lease: lease.id,
            view,
            workers,
            advice,
            began: view::now().mono,
            earlier_vm_orders,
            succession: Mutex::new((KnownSuccession::new(succession), revision)),
            stored_at: AtomicU64::new(0),
            progress_revisions: Mutex::default(),
            scheduler: Mutex::new(scheduler),
            loaded: AtomicBool::new(false),
            watch_start: AtomicU64::new(0),
            evacuations_start: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            renewed_at: AtomicU64::new(view::now().mono.0),
            lease_began: AtomicU64::new(lease.requested.0),
            was_confirmed: AtomicBool::new(true),
            write_notify: Notify::new(),
            plan_notify: Notify::new(),
            recovery_set_notify: Notify::new(),
            previous_stopped_notify: Notify::new(),
        }
    }

    /// Calls `f` with the scheduler's state, which is locked meanwhile.
    pub fn with<T>(&self, f: impl FnOnce(&mut Scheduler) -> T) -> T {
        f(&mut self.scheduler.lock().expect("no holder panics"))
    }

    /// Time since the term began.
    #[must_use]
    pub fn age(&self) -> Millis {
        view::now().mono.since(self.began)
    }

    /// Time for one page of a list of the store, which depends on the bandwidth of the link.
    #[must_use]
    pub fn list_timeout(&self) -> Duration {
        LIST_TIMEOUT + self.view.settings.strength.transfer_time(PAGE_BYTES * TRANSFER_FACTOR).to_duration()
    }

    /// Whether the stored jobs are loaded and the term has not ended.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::SeqCst) && !self.is_ended()
    }

    /// Records that the stored jobs and the evacuations are loaded as of a revision each.
    pub fn set_loaded(&self, as_of: StoreRevision, evacuations_as_of: StoreRevision) {
        self.watch_start.store(as_of.0, Ordering::SeqCst);
        self.evacuations_start.store(evacuations_as_of.0, Ordering::SeqCst);
        self.loaded.store(true, Ordering::SeqCst);
    }

    /// Revision after which the watch of the jobs begins.
    #[must_use]
    pub fn watch_start(&self) -> StoreRevision {
        StoreRevision(self.watch_start.load(Ordering::SeqCst))
    }

    /// Revision after which the watch of the evacuations begins.
    #[must_use]
    pub fn evacuations_start(&self) -> StoreRevision {
        StoreRevision(self.evacuations_start.load(Ordering::SeqCst))
    }

    /// Records that the store confirmed a renewal of the lease that was sent at a time.
    pub fn record_renewal(&self, sent: MonoTime) {
        self.renewed_at.store(sent.0, Ordering::SeqCst);
        self.lease_began.fetch_max(sent.0, Ordering::SeqCst);
        self.record_stored(sent);
    }

    /// Records that the store held this term at a time.
    pub fn record_stored(&self, at: MonoTime) {
        self.stored_at.fetch_max(at.0, Ordering::SeqCst);
        self.with(|s| s.record_stored(at));
    }

    /// Time since the store is last known to have held this term.
    #[must_use]
    pub fn stored_age(&self) -> Millis {
        view::now().mono.since(MonoTime(self.stored_at.load(Ordering::SeqCst)))
    }

    /// Succession of this term.
    #[must_use]
    pub fn succession(&self) -> KnownSuccession {
        self.succession.lock().expect("no holder panics").0.clone()
    }

    /// Records that a write of a later succession is sent. Returns the revision that its key must still have.
    ///
    /// If it leaves out an entry, the next scheduler will not ask that one when it confirmed this term, so what others have
    /// confirmed since the last renewal no longer counts.
    pub fn record_succession_write(&self, succession: Succession) -> StoreRevision {
        let mut known = self.succession.lock().expect("no holder panics");
        if known.0.entries().iter().any(|entry| !succession.names(entry)) {
            let renewed = MonoTime(self.lease_began.load(Ordering::SeqCst));
            self.with(|s| s.withdraw_confirmations_after(renewed));
        }
        known.0.record_write(succession);
        known.1
    }

    /// State of the term for questions that are sent now.
    #[must_use]
    pub fn begin_asking(&self) -> Asked {
        Asked { at: view::now().mono, term_age: self.age(), stored_age: self.stored_age() }
    }

    /// Judges what other entries answered to questions that were sent at `asked`, and records it if it confirms the term.
    /// No write of another succession is sent meanwhile.
    pub fn apply_answers(&self, answers: &Map<SocketAddr, TermAnswer>, asked: Asked) -> TermState {
        let known = self.succession.lock().expect("no holder panics");
        let state = known.0.judge(answers, asked.term_age, asked.stored_age);
        let as_of = |age: Millis| MonoTime(asked.at.0.saturating_sub(age.0));
        match state {
            TermState::Proved(age) => self.record_stored(as_of(age)),
            TermState::Confirmed(age) => self.with(|s| s.confirm(as_of(age))),
            TermState::Over | TermState::Unconfirmed => {}
        }
        state
    }

    /// Records the succession that the store holds, and the revision of its key.
    pub fn record_stored_succession(&self, succession: Succession, revision: StoreRevision) {
        let mut known = self.succession.lock().expect("no holder panics");
        known.0.record_stored(succession);
        known.1 = revision;
    }

    /// Time since the term was last confirmed.
    #[must_use]
    pub fn confirmation_age(&self) -> Millis {
        view::now().mono.since(self.with(|s| s.confirmed_at()))
    }

    /// Logs when the term stops being confirmed, and when it is confirmed again.
    pub fn log_confirmation(&self) {
        let is_confirmed = self.is_confirmed();
        if self.was_confirmed.swap(is_confirmed, Ordering::SeqCst) == is_confirmed {
            return;
        }
        let age = self.confirmation_age().0;
        if is_confirmed {
            log::info!(term = self.owner.term, age_ms = age; "the term is confirmed again");
            self.request_plan();
        } else {
            log::warn!(term = self.owner.term, age_ms = age; "the term is not confirmed; no tasks start and no leases are extended");
        }
    }

    /// Whether the term goes on and was confirmed lately.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        !self.is_ended() && self.with(|s| s.is_confirmed(view::now().mono))
    }

    /// Records that a renewal of the lease failed.
    pub fn record_failed_renewal(&self) {
        self.renewed_at.store(0, Ordering::SeqCst);
    }

    /// Whether the store has answered recently, so that the recovery set can be kept up to date.
    #[must_use]
    pub fn reaches_store(&self) -> bool {
        view::now().mono.since(MonoTime(self.renewed_at.load(Ordering::SeqCst))) <= STORE_CONTACT_LIMIT
    }

    /// Whether the term has ended, so that this entry no longer schedules.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Ends the term, and wakes the planner and all writers so that they return.
    pub fn end(&self, reason: &str) {
        if !self.ended.swap(true, Ordering::SeqCst) {
            log::warn!(term = self.owner.term, token = self.revision.0, reason = reason; "term ended");
            self.view.record_ended_term(self.owner.term, self.with(|s| s.has_previous_stopped()));
            self.view.set_term(None);
        }
        self.write_notify.notify();
        self.plan_notify.notify();
        self.recovery_set_notify.notify();
    }

    /// Records that the previous scheduler has stopped.
    pub fn record_previous_stopped(&self) {
        self.previous_stopped_notify.notify();
    }

    /// Waits until the previous scheduler is known to have stopped.
    pub async fn wait_for_previous_stopped(&self) {
        // The first term has no previous scheduler.
        if self.owner.term > 0 {
            self.previous_stopped_notify.wait().await;
        }
    }

    /// Waits until there are changes to store, or the term ends.
    pub async fn wait_for_writes(&self) {
        self.write_notify.wait().await;
    }

    /// Requests that the recovery set is stored if it is outdated.
    pub fn request_recovery_set(&self) {
        self.recovery_set_notify.notify();
    }

    /// Waits until the recovery set may be outdated, or the term ends.
    pub async fn wait_for_recovery_set(&self) {
        self.recovery_set_notify.wait().await;
    }

    /// Wakes another writer, which stores changes or returns if the term has ended.
    pub fn wake_writer(&self) {
        self.write_notify.notify();
    }

    /// Adds a stored job. `created` is the revision at which it was created.
    pub fn add_job(self: &Arc<Self>, job: &JobKey, record: JobRecord, created: u64) {
        self.with(|s| match record {
            JobRecord::Accepted(spec) => {
                s.add_job(view::now(), job.clone(), spec, Progress::default(), created);
            }
            JobRecord::Ended { state, at, .. } => s.add_ended(job.clone(), state, at),
        });
        self.request_plan();
    }

    /// Cancels a job whose mark of cancellation is stored.
    pub fn cancel_job(self: &Arc<Self>, job: &JobKey) {
        self.with(|s| s.cancel_job(job));
        self.request_plan();
    }

    /// Adds stored tombstones; `key` is their key in the store.
    pub fn add_tombstones(&self, key: &str, tombstones: &Tombstones) {
        self.with(|s| s.add_tombstones(view::now().mono, key, tombstones));
        self.request_plan();
    }

    /// Adds the tombstones of a document of the store.
    pub fn add_stored_tombstones(&self, key: &str, value: &[u8]) {
        match records::decode(value) {
            Ok(tombstones) => self.add_tombstones(key, &tombstones),
            Err(e) => log::error!(key = key, error:% = e; "tombstones can't be read"),
        }
    }

    /// Waits until a plan is requested, or the term ends.
    pub async fn wait_for_plan(&self) {
        self.plan_notify.wait().await;
    }

    /// Requests a plan after a change of the scheduler's state.
    pub fn request_plan(&self) {
        self.plan_notify.notify();
    }
}
