//! What an entry knows of the configuration and of the scheduler, and how old that knowledge is.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use carawaybarrow_core::sched::scheduler::Now;
use carawaybarrow_core::units::{Millis, MonoTime};
use carawaybarrow_platform::configuration::{self, Configuration};
use carawaybarrow_platform::settings::Settings;
use carawaybarrow_platform::store::{Change, ChangeOutcome, Item, StoreClient, StoreRevision};

use crate::clock;
use crate::node::meters::NodeMetrics;
use crate::node::records::{self, Member, Owner, SCHEDULER_KEY};
use crate::node::term::Term;

/// Time between probes of the store. A change of the configuration is in force after this and one answer.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for an answer to a probe; slow answers of a store under load take up to 0.5 s.
const PROBE_LIMIT: Duration = Duration::from_millis(1_500);

/// Part of the withdrawal limit for which a probe proves that the configuration is current, in percent. The rest
/// covers a request that was sent before the check and the rates of clocks.
const PROOF_PERCENT: u64 = 70;

/// Age of the proof from which on the balancer is asked to send callers elsewhere.
const READY_AGE: Millis = Millis(2_200);

#[derive(Debug, Default)]
struct Known {
    configuration: Option<Arc<Configuration>>,
    configuration_revision: StoreRevision,
    owner: Option<Owner>,
    owner_revision: StoreRevision,
    proved: Option<MonoTime>,
    is_store_lost: bool,
}

/// What an entry knows.
#[derive(Debug)]
pub struct View {
    /// Settings.
    pub settings: Settings,
    /// Client of the store.
    pub store: StoreClient,
    /// Instruments.
    pub metrics: Arc<NodeMetrics>,
    known: RwLock<Known>,
    term: Mutex<Option<Arc<Term>>>,
    /// Other entries; `None` until they were read once.
    others: Mutex<Option<Vec<Member>>>,
    stopping: AtomicBool,
}

impl View {
    /// An entry that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, metrics: Arc<NodeMetrics>) -> Self {
        let store = StoreClient::new(settings.store, &settings.entry);
        Self {
            settings,
            store,
            metrics,
            known: RwLock::default(),
            term: Mutex::default(),
            others: Mutex::default(),
            stopping: AtomicBool::new(false),
        }
    }

    fn known(&self) -> std::sync::RwLockReadGuard<'_, Known> {
        self.known.read().expect("no holder panics")
    }

    /// Configuration, if one is known.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.known().configuration.clone()
    }

    /// Configuration, if it is proved to be current. The age of the proof is returned with it.
    #[must_use]
    pub fn current(&self) -> Option<(Arc<Configuration>, Millis)> {
        let known = self.known();
        let age = clock::boot_now().since(known.proved?);
        let limit = self.settings.withdrawal_limit.0 * PROOF_PERCENT / 100;
        (age.0 < limit).then(|| known.configuration.clone().map(|c| (c, age))).flatten()
    }

    /// Who schedules, as far as is known.
    #[must_use]
    pub fn scheduler(&self) -> Option<Owner> {
        self.known().owner.clone()
    }

    /// Last change of the scheduler's key; absent if nobody schedules.
    #[must_use]
    pub fn scheduler_revision(&self) -> StoreRevision {
        self.known().owner_revision
    }

    /// Whether the balancer should send callers here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let age = self.known().proved.map(|at| clock::boot_now().since(at));
        !self.is_stopping() && age.is_some_and(|age| age < READY_AGE)
    }

    /// Whether the process is to end.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Begins the end of the process.
    pub fn start_stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Addresses of other entries; the one that schedules comes first.
    #[must_use]
    pub fn other_entries(&self) -> Vec<SocketAddr> {
        let members = self.others.lock().expect("no holder panics");
        let mut others: Vec<SocketAddr> = members.iter().flatten().map(|m| m.peers).collect();
        if let Some(scheduler) = self.scheduler().map(|o| o.peers).filter(|peers| *peers != self.settings.peers) {
            others.retain(|o| *o != scheduler);
            others.insert(0, scheduler);
        }
        others
    }

    /// Takes the records of other entries.
    pub fn set_other_entries(&self, others: Vec<Member>) {
        *self.others.lock().expect("no holder panics") = Some(others);
    }

    /// Time for which this entry leaves the scheduler's place to stronger ones; `None` while the others are unknown.
    #[must_use]
    pub fn stand_back(&self) -> Option<Millis> {
        let members = self.others.lock().expect("no holder panics");
        let strengths: Vec<_> = members.as_ref()?.iter().map(|m| m.strength).collect();
        Some(self.settings.strength.takeover_delay(&strengths))
    }

    /// Term of this entry, while it schedules.
    #[must_use]
    pub fn term(&self) -> Option<Arc<Term>> {
        self.term.lock().expect("no holder panics").clone()
    }

    /// Begins or ends a term of this entry.
    pub fn set_term(&self, term: Option<Arc<Term>>) {
        self.metrics.set_term(term.as_ref().map_or(0, |t| t.revision.0));
        *self.term.lock().expect("no holder panics") = term;
    }

    /// Asks the store whether the configuration and the scheduler are still those that are known. Returns whether
    /// the store answered.
    ///
    /// A condition that fails reports the present values, so one small call proves what is current.
    pub async fn probe(&self) -> bool {
        let expected = {
            let known = self.known();
            vec![
                (configuration::KEY.to_owned(), known.configuration_revision),
                (SCHEDULER_KEY.to_owned(), known.owner_revision),
            ]
        };
        let sent = clock::boot_now();
        let change = Change { expected, ..Change::default() };
        match self.store.change(&change, PROBE_LIMIT).await {
            Ok(ChangeOutcome::Done(_)) => self.note_proof(sent),
            Ok(ChangeOutcome::Conflict(items)) => {
                let has_owner = items.iter().any(|item| item.key == SCHEDULER_KEY);
                let is_read = items.into_iter().all(|item| self.take_item(item));
                if is_read {
                    self.note_proof(sent);
                }
                if !has_owner {
                    self.read_owner().await;
                }
            }
            Ok(ChangeOutcome::NoLease) => log::error!("the store answers a probe with a missing lease"),
            Err(e) => {
                let mut known = self.known.write().expect("no holder panics");
                if !known.is_store_lost {
                    known.is_store_lost = true;
                    log::warn!(error:% = e; "store lost");
                }
                return false;
            }
        }
        true
    }

    /// Reads who schedules: a conflict leaves out keys that do not exist.
    async fn read_owner(&self) {
        match self.store.get(SCHEDULER_KEY, PROBE_LIMIT).await {
            Ok(item) => {
                let absent = Item {
                    key: SCHEDULER_KEY.to_owned(),
                    value: None,
                    revision: StoreRevision::ABSENT,
                    created: StoreRevision::ABSENT,
                };
                self.take_owner(&item.unwrap_or(absent));
            }
            Err(e) => log::info!(error:% = e; "no answer about the scheduler"),
        }
    }

    fn note_proof(&self, sent: MonoTime) {
        let mut known = self.known.write().expect("no holder panics");
        known.proved = known.proved.max(Some(sent));
        let version = known.configuration.as_ref().map_or(0, |c| c.version);
        self.metrics.set_configuration(version, clock::boot_now().since(sent).0);
        if std::mem::take(&mut known.is_store_lost) {
            log::info!("store regained");
        }
    }

    /// Takes the present value of a key. Returns whether it could be read.
    fn take_item(&self, item: Item) -> bool {
        if item.key == SCHEDULER_KEY {
            self.take_owner(&item);
            return true;
        }
        let Some(value) = &item.value else { return true };
        match configuration::parse_configuration(value) {
            Ok(read) => {
                let mut known = self.known.write().expect("no holder panics");
                let old = known.configuration.as_ref().map_or(0, |c| c.version);
                if item.revision > known.configuration_revision {
                    log::info!(version = read.version, before = old, revision = item.revision.0, queues = read.queues.len(); "configuration in force");
                    known.configuration = Some(Arc::new(read));
                    known.configuration_revision = item.revision;
                }
                true
            }
            Err(findings) => {
                log::error!(revision = item.revision.0, findings:% = findings; "the configuration can't be read");
                false
            }
        }
    }

    /// Takes the present owner.
    pub fn take_owner(&self, item: &Item) {
        let owner = item.value.as_ref().and_then(|value| match records::read::<Owner>(value) {
            Ok(owner) => Some(owner),
            Err(e) => {
                log::error!(error:% = e; "the scheduler's record can't be read");
                None
            }
        });
        let mut known = self.known.write().expect("no holder panics");
        if owner != known.owner {
            match &owner {
                Some(owner) => {
                    log::info!(scheduler:% = owner.entry, term = owner.term, revision = item.revision.0; "scheduler known")
                }
                None => log::info!(revision = item.revision.0; "no scheduler"),
            }
        }
        known.owner = owner;
        known.owner_revision = item.revision;
    }
}

/// Present time.
#[must_use]
pub fn now() -> Now {
    Now { mono: clock::boot_now(), wall: clock::wall_now() }
}
