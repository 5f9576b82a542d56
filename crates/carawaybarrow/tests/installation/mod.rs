//! An installation of `carawaybarrow node` processes against stand-ins for the platform in the test's process.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

pub mod divisions;

use std::fs::{self, File};
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use carawaybarrow_net::server::Handle;
use carawaybarrow_standin::advice::AdviceService;
use carawaybarrow_standin::caller::{Answer, Caller, Job};
use carawaybarrow_standin::checker::ObservedJob;
use carawaybarrow_standin::proxy::caller_proxy::CallerProxy;
use carawaybarrow_standin::proxy::{PathState, Proxy};
use carawaybarrow_standin::settings::{
    CALLERS_PORT, PATH_VARIABLE, PEERS_PORT, behind_forwarder, entry_settings, in_data_centre, vm_api_settings,
    with_advice, write_advised_configuration, write_configuration,
};
use carawaybarrow_standin::store::{self, Store};
use carawaybarrow_standin::vms::VmApi;
use carawaybarrow_standin::workers::{self, Fleet};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Maximum time from the last fault until all accepted jobs are in a final state. It covers a takeover that waits for
/// the leases of workers to lapse, and the runs after it. The wait is up to 7.6 s: 2 s in which the former scheduler
/// may still extend leases, and the longest lease (4.5 s, and a margin of 1 s) on a worker's clock that runs 2 % slow.
const FINISH_LIMIT: Duration = Duration::from_secs(25);

/// Maximum time until another entry is the scheduler. It covers the lapse of the former scheduler's lease, the takeover
/// delay of a weaker entry or the minimum age of a term for a handover, and a margin for a busy machine.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(20);

/// Validity of the tickets of the advice service.
const TICKET_VALIDITY: Duration = Duration::from_secs(3);

/// Attempts of a caller to submit a job.
const ATTEMPTS: usize = 6;

/// Port on which an entry serves other entries behind its proxy.
const FORWARDED_PORT: u16 = 7_010;

/// Pool of all workers.
pub const POOL: &str = "pool";

/// API key of all callers.
pub const KEY: &str = "soak-key";

/// Size of an installation.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub entries: u8,
    pub workers: usize,
    /// Time that the VM API takes for a list; `None` for an installation without a VM API.
    pub vm_api_delay: Option<Duration>,
    /// Number of data centres, over which entries are spread in turn. With more than one, entries call each other through
    /// proxies, so that they can be cut off from each other.
    pub data_centres: u8,
    /// Number of entries that the first data centre has beyond those spread in turn.
    pub more_in_first: u8,
}

impl Size {
    pub const SMALL: Self = Self { entries: 3, workers: 6, vm_api_delay: None, data_centres: 1, more_in_first: 0 };

    /// Data centre of an entry.
    pub fn data_centre_of(&self, entry: usize) -> usize {
        entry.saturating_sub(self.more_in_first.into()) % usize::from(self.data_centres)
    }
}

/// An entry process. It is killed on drop.
pub struct Entry {
    /// Address for callers.
    pub address: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    /// Its path to the store.
    pub store_proxy: Proxy,
    /// Proxy through which other entries call it, if there is one.
    pub peer_proxy: Option<CallerProxy>,
    child: Option<Child>,
}

impl Entry {
    /// Starts the process.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_carawaybarrow"))
            .arg("node")
            .env(PATH_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle of the log file"))
            .stderr(log)
            .spawn()
            .expect("the binary starts");
        self.child = Some(child);
    }

    /// What its processes have logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).expect("the log is readable")
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let status = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        assert!(status.is_ok(), "the signal can be sent");
    }

    /// Id of the process, if it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process, if it runs.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // SIGKILL also ends a suspended process; an error means that it has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An installation whose connections, processes, store and workers can be made to fail.
pub struct Installation {
    pub store: Store,
    pub fleet: Fleet,
    pub worker_proxies: Vec<Proxy>,
    pub entries: Vec<Arc<Mutex<Entry>>>,
    /// Folder of the settings and logs.
    pub folder: PathBuf,
    pub size: Size,
    /// Servers of the stand-ins, which run until they are dropped.
    servers: Vec<Handle>,
}

impl Installation {
    /// Starts an installation. `seed` selects its IP addresses.
    pub async fn start(seed: u64, size: Size) -> Self {
        Self::start_first(seed, size, size.entries).await
    }

    /// Starts an installation without the processes of the entries from index `started` on.
    pub async fn start_first(seed: u64, size: Size, started: u8) -> Self {
        Self::start_with_limits(seed, size, started, "").await
    }

    /// Starts an installation with further settings of the VMs' limits.
    pub async fn start_with_limits(seed: u64, size: Size, started: u8, limits: &str) -> Self {
        let store = Store::default();
        let (address, handle) = store.serve().await.expect("a port for the store");
        let (fleet, handles) = Fleet::start(&store, POOL, size.workers).await.expect("ports for the workers");
        let mut servers = vec![handle];
        servers.extend(handles);
        let mut vm_api = None;
        if let Some(delay) = size.vm_api_delay {
            let (vm_api_address, handle) =
                VmApi::new(fleet.clone(), delay).serve().await.expect("a port for the VM API");
            servers.push(handle);
            vm_api = Some(vm_api_address);
        }
        let mut worker_proxies = Vec::new();
        for worker_index in 0..size.workers {
            let proxy = Proxy::start(fleet.address(worker_index)).await.expect("a port for a proxy");
            fleet.set_address(worker_index, proxy.address());
            worker_proxies.push(proxy);
        }
        write_configuration(&store, 1, POOL, &[KEY]);
        let folder = std::env::temp_dir().join(format!("carawaybarrow-soak-{}-{seed}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder for settings and logs");
        let mut entries = Vec::new();
        for entry_index in 0..size.entries {
            let store_proxy = Proxy::start(address).await.expect("a port for a proxy");
            // Each installation has its own addresses on the loopback interface.
            let process = std::process::id() % 200;
            let ip = IpAddr::from([127, 20 + u8::try_from(process).unwrap_or(0), (seed % 250) as u8, 10 + entry_index]);
            let settings = folder.join(format!("e{entry_index}.toml"));
            // The first entry is weaker, so it delays takeovers and hands over its terms.
            let cpu_share = if entry_index == 0 { 0.1 } else { 0.25 };
            let mut text = entry_settings(&format!("e{entry_index}"), ip, store_proxy.address(), cpu_share)
                .replace("[limits]\n", &format!("[limits]\n{limits}"));
            if let Some(address) = vm_api {
                text.push_str(&vm_api_settings(address));
            }
            let mut peer_proxy = None;
            if size.data_centres > 1 {
                let data_centre = char::from(b'a' + size.data_centre_of(entry_index.into()) as u8).to_string();
                let forwarded = SocketAddr::new(ip, FORWARDED_PORT);
                text = behind_forwarder(&in_data_centre(&text, &data_centre), forwarded);
                peer_proxy = Some(CallerProxy::start(SocketAddr::new(ip, PEERS_PORT), forwarded));
            }
            fs::write(&settings, text).expect("the settings can be written");
            let mut entry = Entry {
                address: SocketAddr::new(ip, CALLERS_PORT),
                settings,
                log: folder.join(format!("e{entry_index}.log")),
                store_proxy,
                peer_proxy,
                child: None,
            };
            if entry_index < started {
                entry.start();
            }
            entries.push(Arc::new(Mutex::new(entry)));
        }
        divisions::follow_processes(&entries);
        Self { store, fleet, worker_proxies, entries, folder, size, servers }
    }

    /// Starts an installation whose queue with a key needs advice, from a service with tickets that workers check.
    pub async fn start_advised(seed: u64, size: Size) -> Self {
        let mut installation = Self::start_first(seed, size, 0).await;
        let advice = AdviceService::new(Duration::from_millis(20), Duration::from_millis(2))
            .with_tickets(&installation.fleet, TICKET_VALIDITY);
        let (address, server) = advice.serve().await.expect("a port for the advice service");
        installation.servers.push(server);
        write_advised_configuration(&installation.store, 2, POOL, &[KEY], &advice);
        for entry in &installation.entries {
            let path = entry.lock().expect("the lock is not poisoned").settings.clone();
            let settings = fs::read_to_string(&path).expect("the settings are readable");
            fs::write(&path, with_advice(&settings, address)).expect("the settings can be written");
            restart(entry);
        }
        installation
    }

    /// Addresses of the entries for callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.lock().expect("the lock is not poisoned").address).collect()
    }

    /// Index of the entry that schedules, according to the store.
    pub fn scheduler(&self) -> Option<usize> {
        let owner = self.store.read("scheduler/owner")?;
        owner["entry"].as_str()?.trim_start_matches('e').parse().ok()
    }

    /// Injects a fault of the store for a while, and returns its description.
    pub fn inject_store_fault(&self, fault: store::Fault, duration: Duration) -> String {
        self.store.set_fault(fault);
        let store = self.store.clone();
        task::spawn(async move {
            task::sleep(duration).await;
            store.set_fault(store::Fault::None);
        });
        format!("store: {fault:?} for {duration:?}")
    }

    /// Injects a fault of a worker for a while, and returns its description.
    pub fn inject_worker_fault(&self, index: usize, fault: workers::Fault, duration: Duration) -> String {
        self.fleet.set_fault(index, fault);
        let fleet = self.fleet.clone();
        task::spawn(async move {
            task::sleep(duration).await;
            fleet.set_fault(index, workers::Fault::None);
        });
        format!("w{index}: {fault:?} for {duration:?}")
    }

    /// Ends all faults that still last. Entries that are down are restarted by the task of their fault.
    pub fn end_faults(&self) {
        self.store.set_fault(store::Fault::None);
        self.store.delay_changes(None);
        self.worker_proxies.iter().for_each(|proxy| proxy.set_path_state(PathState::Open));
        for worker_index in 0..self.worker_proxies.len() {
            self.fleet.set_fault(worker_index, workers::Fault::None);
            self.fleet.set_reach(worker_index, workers::Reach::All);
        }
        for entry in &self.entries {
            let entry = entry.lock().expect("the lock is not poisoned");
            entry.store_proxy.set_path_state(PathState::Open);
            entry.peer_proxy.iter().for_each(CallerProxy::open);
            entry.signal("CONT");
        }
    }
}

/// Starts an entry's process again unless it has one.
pub fn restart(entry: &Mutex<Entry>) {
    let mut entry = entry.lock().expect("the lock is not poisoned");
    if entry.child.is_none() {
        entry.start();
    }
}

/// Submits a short job until it is accepted, which shows that the installation is in service.
pub async fn await_start(installation: &Installation, caller: &Caller) {
    let deadline = Instant::now() + TAKEOVER_LIMIT;
    let entries = installation.addresses();
    for number in 0.. {
        let job = Job { id: format!("{:016x}", u64::MAX - number), steps: vec![1], run_time_ms: Some(50) };
        if submit(caller, &entries, job, 0).await.is_accepted {
            return;
        }
        assert!(Instant::now() < deadline, "no entry accepts a job, see {}", installation.folder.display());
    }
}

/// Submits a job, with each further attempt at the next entry.
pub async fn submit(caller: &Caller, entries: &[SocketAddr], job: Job, first: usize) -> ObservedJob {
    submit_with_attempts(caller, entries, job, first, ATTEMPTS).await
}

async fn submit_with_attempts(
    caller: &Caller,
    entries: &[SocketAddr],
    job: Job,
    first: usize,
    attempts: usize,
) -> ObservedJob {
    let mut observed = ObservedJob { job, is_accepted: false, is_refused: true, cancelled: None, completed: None };
    for attempt in 0..attempts {
        match caller.submit(entries[(first + attempt) % entries.len()], &observed.job).await {
            Answer::Yes(_) => {
                observed.is_accepted = true;
                observed.is_refused = false;
                return observed;
            }
            Answer::Refused => {}
            _ => observed.is_refused = false,
        }
        task::sleep(Duration::from_millis(200)).await;
    }
    observed
}

/// Submits random jobs until `deadline`, and cancels a tenth of them and those of which it is unknown whether they were
/// accepted.
pub async fn send_jobs(
    entries: Vec<SocketAddr>,
    seed: u64,
    deadline: Instant,
    run_time_ms: Range<u64>,
) -> Vec<ObservedJob> {
    let mut rng = StdRng::seed_from_u64(seed);
    let caller = Arc::new(Caller::new(KEY));
    let mut sent = Vec::new();
    while Instant::now() < deadline {
        let steps = (0..rng.random_range(1..3)).map(|_| rng.random_range(1..6)).collect();
        let run_time_ms = Some(rng.random_range(run_time_ms.clone()));
        let job = Job { id: format!("{:016x}", rng.random::<u64>()), steps, run_time_ms };
        let (first, to_cancel) = (rng.random_range(0..entries.len()), rng.random_ratio(1, 10));
        let (caller, entries) = (Arc::clone(&caller), entries.clone());
        sent.push(task::spawn(async move {
            // Some callers give up after one attempt.
            let attempts = if job.id.ends_with(['0', '1', '2', '3', '4']) { 1 } else { ATTEMPTS };
            let mut observed = submit_with_attempts(&caller, &entries, job, first, attempts).await;
            let is_open = !observed.is_accepted && !observed.is_refused;
            if is_open || (observed.is_accepted && to_cancel) {
                if !is_open {
                    task::sleep(Duration::from_millis(150)).await;
                }
                let answer = caller.cancel(entries[(first + 1) % entries.len()], &observed.job).await;
                if matches!(answer, Answer::Yes(_)) || (is_open && answer == Answer::Unknown) {
                    observed.cancelled = Some(Instant::now());
                }
            }
            observed
        }));
        task::sleep(Duration::from_millis(rng.random_range(20..180))).await;
    }
    let mut observed = Vec::new();
    for job in sent {
        observed.push(job.await);
    }
    observed
}

/// Waits until each accepted job is in a final state. Returns a message for each job that is lost, failed or not final
/// after [`FINISH_LIMIT`].
pub async fn await_final_states(installation: &Installation, jobs: &mut [ObservedJob]) -> Vec<String> {
    let caller = Caller::new(KEY);
    let entries = installation.addresses();
    let deadline = Instant::now() + FINISH_LIMIT;
    let mut open: Vec<usize> = (0..jobs.len()).filter(|job_index| jobs[*job_index].is_accepted).collect();
    let mut violations = Vec::new();
    let mut last = String::new();
    while !open.is_empty() && Instant::now() < deadline {
        let mut remaining = Vec::new();
        for job_index in open {
            let observed = &mut jobs[job_index];
            let answer = caller.state(entries[job_index % entries.len()], &observed.job).await;
            match &answer {
                Answer::Yes(state) if state == "completed" => observed.completed = Some(Instant::now()),
                Answer::Yes(state) if state == "cancelled" && observed.cancelled.is_some() => {}
                // A cancellation that got no response may have been applied.
                Answer::Yes(state) if state == "cancelled" => observed.cancelled = Some(Instant::now()),
                Answer::Yes(state) if state == "failed" => {
                    violations.push(format!("{}: failed although no task reported a failure", observed.job.id))
                }
                Answer::Unknown => {
                    violations.push(format!("{}: accepted and then reported as unknown", observed.job.id))
                }
                _ => {
                    last = format!("{}: {answer:?}", observed.job.id);
                    remaining.push(job_index);
                }
            }
        }
        open = remaining;
        task::sleep(Duration::from_millis(100)).await;
    }
    if !open.is_empty() {
        violations.push(format!("{} accepted jobs are in no final state; the last one: {last}", open.len()));
    }
    violations
}

/// Waits until there is a scheduler. Returns its record in the store.
pub async fn await_any_scheduler(installation: &Installation) -> serde_json::Value {
    let deadline = Instant::now() + TAKEOVER_LIMIT;
    loop {
        if let Some(owner) = installation.store.read("scheduler/owner") {
            return owner;
        }
        assert!(Instant::now() < deadline, "no entry is the scheduler, see {}", installation.folder.display());
        task::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until an entry is the scheduler.
pub async fn await_scheduler(installation: &Installation, entry: &str) {
    let deadline = Instant::now() + TAKEOVER_LIMIT;
    let schedules = || installation.store.read("scheduler/owner").is_some_and(|owner| owner["entry"] == entry);
    while !schedules() {
        assert!(Instant::now() < deadline, "{entry} is not the scheduler, see {}", installation.folder.display());
        task::sleep(Duration::from_millis(50)).await;
    }
}
