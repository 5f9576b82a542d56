//! An entry's view of the configuration, the scheduler and the other entries, and the proof that it is current.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use async_std::future;
use carawaybarrow_core::sched::candidacy::TermAnswer;
use carawaybarrow_core::sched::scheduler::Now;
use carawaybarrow_core::sched::succession::Candidate;
use carawaybarrow_core::sched::takeover::GivenConfirmations;
use carawaybarrow_core::units::{Millis, MonoTime};
use carawaybarrow_platform::configuration::{self, Configuration};
use carawaybarrow_platform::settings::Settings;
use carawaybarrow_platform::store::{Change, ChangeOutcome, Item, StoreClient, StoreError, StoreRevision};

use crate::clock;
use crate::node::metrics::NodeMetrics;
use crate::node::notify::Notify;
use crate::node::records::{self, Member, Owner, SCHEDULER_KEY};
use crate::node::term::Term;

/// Time for an answer of the store to a call that no caller waits for.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Age of the last proof up to which the store counts as reached: a probe and its answer.
const REACHED_AGE: Millis = Millis(700);

/// Time after an outage in which an entry can't tell whether a scheduler without the store is the only one that lost it.
const REGAINED_AGE: Millis = Millis(3_000);

/// Number of lists of the records in a row from which an entry may be missing and is kept.
const MAX_MISSED_LISTS: usize = 2;

/// Time for an answer to a probe; slow answers of a store under load take up to 0.5 s.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Part of [`Settings::withdrawal_limit`] (for withdrawn keys) for which a probe proves that the configuration is
/// current, in percent. The rest covers a request that was sent before the check, and differences in the rates of
/// clocks.
const PROOF_PERCENT: u64 = 70;

/// Age of the proof from which readiness checks fail, so that the load balancer sends callers to other entries.
const MAX_READY_AGE: Millis = Millis(2_200);

/// State of the store according to the latest probes.
#[derive(Debug, Default)]
struct ProbedState {
    configuration: Option<Arc<Configuration>>,
    configuration_revision: StoreRevision,
    owner: Option<Owner>,
    owner_revision: StoreRevision,
    /// Latest term that is known to have begun. It is kept when the term ends and when the store is lost.
    latest_term: Option<u32>,
    /// Whether the store has named a scheduler to this process.
    has_named_scheduler: bool,
    /// Time at which the latest successful probe was sent.
    proved_at: Option<MonoTime>,
    is_store_lost: bool,
    /// Whether the last probe got no answer. A store that refuses calls may still make a write.
    is_store_silent: bool,
    /// Time at which the store answered again after it was lost.
    regained_at: Option<MonoTime>,
}

impl ProbedState {
    fn is_current(&self) -> bool {
        let is_reached = self.proved_at.is_some_and(|at| clock::boot_now().since(at) <= REACHED_AGE);
        is_reached && !self.is_store_lost
    }
}

/// View of an entry, shared by its tasks.
#[derive(Debug)]
pub struct View {
    /// Settings of the entry.
    pub settings: Settings,
    /// Start of the process in Unix ms, which distinguishes the incarnations of an entry.
    pub incarnation: u64,
    /// Client of the store.
    pub store: StoreClient,
    /// Metrics of the entry.
    pub metrics: Arc<NodeMetrics>,
    probed: RwLock<ProbedState>,
    term: Mutex<Option<Arc<Term>>>,
    /// Other entries, each with the number of lists in a row that lack it; `None` until their records were read.
    others: Mutex<Option<Vec<(Member, usize)>>>,
    stopping: AtomicBool,
    /// Latest term that this entry has tried to begin. Unless a term from that one on is known, the store may still apply
    /// the change: its answer is not there yet, or was lost.
    attempted_term: Mutex<Option<u32>>,
    /// Last term of this entry that has ended, and whether all schedulers before it had stopped by then.
    ended_term: Mutex<Option<(u32, bool)>>,
    confirmations: Mutex<GivenConfirmations>,
    probe_request: Notify,
}

impl View {
    /// Creates a view in which nothing is known yet.
    #[must_use]
    pub fn new(settings: Settings, metrics: Arc<NodeMetrics>, incarnation: u64) -> Self {
        let store = StoreClient::new(settings.store, &settings.entry);
        Self {
            settings,
            incarnation,
            store,
            metrics,
            probed: RwLock::default(),
            term: Mutex::default(),
            others: Mutex::default(),
            stopping: AtomicBool::new(false),
            attempted_term: Mutex::default(),
            ended_term: Mutex::default(),
            confirmations: Mutex::new(GivenConfirmations::new(clock::boot_now())),
            probe_request: Notify::new(),
        }
    }

    fn probed(&self) -> std::sync::RwLockReadGuard<'_, ProbedState> {
        self.probed.read().expect("no holder panics")
    }

    /// Latest known configuration, which may no longer be current.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.probed().configuration.clone()
    }

    /// Configuration and the age of the proof that it is current; `None` if there is no such proof.
    #[must_use]
    pub fn current_configuration(&self) -> Option<(Arc<Configuration>, Millis)> {
        let probed = self.probed();
        let age = clock::boot_now().since(probed.proved_at?);
        let limit = self.settings.withdrawal_limit.0 * PROOF_PERCENT / 100;
        (age.0 < limit).then(|| probed.configuration.clone().map(|c| (c, age))).flatten()
    }

    /// The entry that schedules, according to the latest probes; `None` if there is none.
    #[must_use]
    pub fn scheduler(&self) -> Option<Owner> {
        self.probed().owner.clone()
    }

    /// Records that a term has begun.
    pub fn record_term(&self, term: u32) {
        let mut probed = self.probed.write().expect("no holder panics");
        probed.latest_term = probed.latest_term.max(Some(term));
    }

    /// Records that this entry tries to begin a term.
    pub fn record_attempted_term(&self, term: u32) {
        *self.attempted_term.lock().expect("no holder panics") = Some(term);
    }

    /// Latest term that is known to have begun.
    #[must_use]
    pub fn latest_term(&self) -> Option<u32> {
        self.probed().latest_term
    }

    /// Records that a term of this entry has ended, and whether all schedulers before it had stopped.
    pub fn record_ended_term(&self, term: u32, have_earlier_stopped: bool) {
        *self.ended_term.lock().expect("no holder panics") = Some((term, have_earlier_stopped));
    }

    /// Whether a term of this entry has ended, and all schedulers before it had stopped by then.
    #[must_use]
    pub fn has_stopped_with_earlier(&self, term: u32) -> bool {
        *self.ended_term.lock().expect("no holder panics") == Some((term, true))
    }

    /// Answers a scheduler what this entry knows of its term.
    #[must_use]
    pub fn answer_about_term(&self, term: u32) -> TermAnswer {
        // Locked before the judgement, so that an entry that says for how long it has confirmed no term leaves none out.
        let mut confirmations = self.confirmations.lock().expect("no holder panics");
        let answer = self.judge_term(term);
        if matches!(answer, TermAnswer::Current { .. } | TermAnswer::StoreLost) {
            confirmations.record(clock::boot_now());
        }
        answer
    }

    /// Time for which this entry has confirmed no term.
    #[must_use]
    pub fn time_without_confirmation(&self) -> Millis {
        self.confirmations.lock().expect("no holder panics").quiet(clock::boot_now())
    }

    /// What this entry knows of a term.
    #[must_use]
    pub fn judge_term(&self, term: u32) -> TermAnswer {
        let attempted_term = *self.attempted_term.lock().expect("no holder panics");
        let probed = self.probed();
        if probed.latest_term > Some(term) {
            return TermAnswer::Over;
        }
        if probed.is_current() {
            let age = probed.proved_at.map(|at| clock::boot_now().since(at));
            return match age.filter(|_| probed.owner.as_ref().is_some_and(|o| o.term == term)) {
                Some(age) => TermAnswer::Current { age },
                None => TermAnswer::NotCurrent,
            };
        }
        // Before it was started again, the process may have begun a term, or tried to, unless the store has named a scheduler
        // since: the store applies an earlier attempt only while there is none.
        if attempted_term > probed.latest_term || !probed.has_named_scheduler {
            return TermAnswer::Unknown;
        }
        TermAnswer::StoreLost
    }

    /// Revision of the scheduler's key; [`StoreRevision::ABSENT`] if no entry schedules.
    #[must_use]
    pub fn scheduler_revision(&self) -> StoreRevision {
        self.probed().owner_revision
    }

    /// Whether the load balancer should send callers here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let age = self.probed().proved_at.map(|at| clock::boot_now().since(at));
        !self.is_stopping() && age.is_some_and(|age| age < MAX_READY_AGE)
    }

    /// Whether the process is shutting down.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Whether the last probe of the store got no answer.
    #[must_use]
    pub fn has_lost_store(&self) -> bool {
        self.probed().is_store_silent
    }

    /// Whether the store has just answered this entry, so that the known scheduler is the present one.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.probed().is_current()
    }

    /// Whether the store has just answered this entry, and was not lost for it shortly before.
    #[must_use]
    pub fn reaches_store(&self) -> bool {
        let regained_at = self.probed().regained_at;
        self.is_current() && regained_at.is_none_or(|at| clock::boot_now().since(at) >= REGAINED_AGE)
    }

    /// Lets the next probe of the store begin at once.
    pub fn request_probe(&self) {
        self.probe_request.notify();
    }

    /// Waits until the next probe is due after `interval`, or is requested.
    pub async fn wait_for_probe(&self, interval: Duration) {
        // A timeout means that the probe is due.
        let _ = future::timeout(interval, self.probe_request.wait()).await;
    }

    /// Addresses of the entries that are not clearly weaker than this one, the strongest first.
    #[must_use]
    pub fn strong_entries(&self) -> Vec<SocketAddr> {
        let members = self.others.lock().expect("no holder panics");
        let is_strong = |m: &&Member| !self.settings.strength.is_clearly_stronger_than(&m.strength);
        let mut strong: Vec<&Member> = members.iter().flatten().map(|(m, _)| m).filter(is_strong).collect();
        strong.sort_by_key(|m| std::cmp::Reverse((m.strength.cpu, m.strength.link_kbps)));
        strong.into_iter().map(|m| m.peers).collect()
    }

    /// Marks the process as shutting down.
    pub fn begin_shutdown(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// The other entries as candidates for a succession; `None` until their records were read.
    #[must_use]
    pub fn candidates(&self) -> Option<Vec<Candidate>> {
        let members = self.others.lock().expect("no holder panics");
        let candidate = |(m, _): &(Member, usize)| Candidate {
            peers: m.peers,
            strength: m.strength,
            data_centre: m.data_centre.clone(),
        };
        members.as_ref().map(|members| members.iter().map(candidate).collect())
    }

    /// Addresses of all other entries; `None` until their records were read.
    #[must_use]
    pub fn known_entries(&self) -> Option<Vec<SocketAddr>> {
        let members = self.others.lock().expect("no holder panics");
        members.as_ref().map(|members| members.iter().map(|(m, _)| m.peers).collect())
    }

    /// Addresses of other entries; the one that schedules comes first.
    #[must_use]
    pub fn other_entries(&self) -> Vec<SocketAddr> {
        let members = self.others.lock().expect("no holder panics");
        let mut others: Vec<SocketAddr> = members.iter().flatten().map(|(m, _)| m.peers).collect();
        if let Some(scheduler) = self.scheduler().map(|o| o.peers).filter(|peers| *peers != self.settings.peers) {
            others.retain(|o| *o != scheduler);
            others.insert(0, scheduler);
        }
        others
    }

    /// Applies the list of the records of other entries. One that is no longer listed is kept for a while: its lease may
    /// have lapsed in an outage of the store.
    pub fn set_other_entries(&self, listed: Vec<Member>) {
        let mut others = self.others.lock().expect("no holder panics");
        let mut kept = others.take().unwrap_or_default();
        kept.retain_mut(|(old, missed)| {
            *missed += 1;
            *missed <= MAX_MISSED_LISTS && listed.iter().all(|new| new.peers != old.peers)
        });
        kept.extend(listed.into_iter().map(|member| (member, 0)));
        *others = Some(kept);
    }

    /// Time for which this entry yields to stronger ones when there is no scheduler; `None` while the others are
    /// unknown.
    #[must_use]
    pub fn takeover_delay(&self) -> Option<Millis> {
        let members = self.others.lock().expect("no holder panics");
        let strengths: Vec<_> = members.as_ref()?.iter().map(|(m, _)| m.strength).collect();
        Some(self.settings.strength.takeover_delay(&strengths))
    }

    /// Term of this entry; `None` while it doesn't schedule.
    #[must_use]
    pub fn term(&self) -> Option<Arc<Term>> {
        self.term.lock().expect("no holder panics").clone()
    }

    /// Sets the term of this entry; `None` when it ends.
    pub fn set_term(&self, term: Option<Arc<Term>>) {
        self.metrics.set_token(term.as_ref().map_or(0, |t| t.revision.0));
        *self.term.lock().expect("no holder panics") = term;
    }

    /// Checks that the known configuration and scheduler are current, and updates them. Returns whether the store
    /// answered.
    ///
    /// The probe is a change that has only two conditions: the revisions of the configuration and of the scheduler's
    /// key. A failed condition reports the present values, so one small call proves what is current. The values are
    /// applied in the order of the answer, up to a configuration that can't be parsed: the values after it are not
    /// applied, and no proof is recorded. If the answer has no value for the scheduler's key, the key is read
    /// separately.
    pub async fn probe(&self) -> bool {
        let expected = {
            let probed = self.probed();
            vec![
                (configuration::KEY.to_owned(), probed.configuration_revision),
                (SCHEDULER_KEY.to_owned(), probed.owner_revision),
            ]
        };
        let sent = clock::boot_now();
        let change = Change { expected, ..Change::default() };
        match self.store.change(&change, PROBE_TIMEOUT).await {
            Ok(ChangeOutcome::Done(_)) => self.record_proof(sent),
            Ok(ChangeOutcome::Conflict(items)) => {
                let has_owner = items.iter().any(|item| item.key == SCHEDULER_KEY);
                let is_read = items.into_iter().all(|item| self.apply_item(item));
                // The proof also says which term is the present one.
                let is_owner_known = has_owner || self.read_owner().await;
                if is_read && is_owner_known {
                    self.record_proof(sent);
                }
            }
            Ok(ChangeOutcome::NoLease) => log::error!("the store reports a missing lease for a probe, which has none"),
            Err(e) => {
                let mut probed = self.probed.write().expect("no holder panics");
                probed.is_store_silent = !matches!(e, StoreError::Refused { .. });
                if !probed.is_store_lost {
                    probed.is_store_lost = true;
                    log::warn!(error:% = e; "store lost");
                }
                return false;
            }
        }
        true
    }

    /// Reads the scheduler's key, because a conflict leaves out keys that do not exist. Returns whether the store answered.
    async fn read_owner(&self) -> bool {
        match self.store.get(SCHEDULER_KEY, PROBE_TIMEOUT).await {
            Ok(item) => {
                let absent = Item {
                    key: SCHEDULER_KEY.to_owned(),
                    value: None,
                    revision: StoreRevision::ABSENT,
                    created: StoreRevision::ABSENT,
                };
                self.apply_owner(&item.unwrap_or(absent));
                true
            }
            Err(e) => {
                log::info!(error:% = e; "the scheduler's key can't be read from the store");
                false
            }
        }
    }

    /// Records a proof that the view was current when a probe was sent.
    fn record_proof(&self, sent: MonoTime) {
        let mut probed = self.probed.write().expect("no holder panics");
        probed.proved_at = probed.proved_at.max(Some(sent));
        let version = probed.configuration.as_ref().map_or(0, |c| c.version);
        self.metrics.set_configuration(version, clock::boot_now().since(sent).0);
        probed.is_store_silent = false;
        if std::mem::take(&mut probed.is_store_lost) {
            probed.regained_at = Some(clock::boot_now());
            log::info!("store regained");
        }
    }

    /// Applies the present value of a key. Returns false if it is a configuration that can't be parsed, which leaves the
    /// known one in force. A scheduler's record that can't be parsed counts as no scheduler.
    fn apply_item(&self, item: Item) -> bool {
        if item.key == SCHEDULER_KEY {
            self.apply_owner(&item);
            return true;
        }
        let Some(value) = &item.value else { return true };
        match configuration::parse_configuration(value) {
            Ok(read) => {
                let mut probed = self.probed.write().expect("no holder panics");
                let old = probed.configuration.as_ref().map_or(0, |c| c.version);
                if item.revision > probed.configuration_revision {
                    log::info!(
                        version = read.version, before = old, revision = item.revision.0, queues = read.queues.len();
                        "applied a newer configuration version"
                    );
                    probed.configuration = Some(Arc::new(read));
                    probed.configuration_revision = item.revision;
                }
                true
            }
            Err(findings) => {
                log::error!(revision = item.revision.0, findings:% = findings; "the configuration can't be read");
                false
            }
        }
    }

    /// Applies the present value of the scheduler's key.
    pub fn apply_owner(&self, item: &Item) {
        let owner = item.value.as_ref().and_then(|value| match records::decode::<Owner>(value) {
            Ok(owner) => Some(owner),
            Err(e) => {
                log::error!(error:% = e; "the scheduler's record can't be read");
                None
            }
        });
        let mut probed = self.probed.write().expect("no holder panics");
        if owner != probed.owner {
            match &owner {
                Some(owner) => {
                    log::info!(scheduler:% = owner.entry, term = owner.term, revision = item.revision.0; "scheduler known")
                }
                None => log::info!(revision = item.revision.0; "no scheduler is known"),
            }
        }
        probed.latest_term = probed.latest_term.max(owner.as_ref().map(|o| o.term));
        probed.has_named_scheduler |= owner.is_some();
        probed.owner = owner;
        probed.owner_revision = item.revision;
    }
}

/// Present time on the monotonic and the wall clock.
#[must_use]
pub fn now() -> Now {
    Now { mono: clock::boot_now(), wall: clock::wall_now() }
}
