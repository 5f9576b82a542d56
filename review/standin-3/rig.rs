//! A small deployment on loopback addresses: the project's own nodes as processes, and stand-ins for the platform.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Action, Request, Server};
use crate::json::{Json, n, obj, s};
use crate::record::Record;
use crate::store::{Store, reply};
use crate::worker::{Gangs, Tickets, Worker, run_gangs};

pub const ZONE: &str = "zone-a";
pub const KEY: &str = "key-of-tenant";
pub const MIGRATE: Duration = Duration::from_millis(1_500);

/// What the platform's list of machines does with a call: `true` leaves it without an answer and without effect.
pub type CloudOutage = Box<dyn Fn(&Request) -> bool + Send + Sync>;

pub struct Rig {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub tickets: Tickets,
    pub gangs: Gangs,
    pub workers: Mutex<Vec<Arc<Worker>>>,
    folder: PathBuf,
    pub port: u16,
    next_worker: AtomicU64,
    outage: Mutex<Option<CloudOutage>>,
    moving: Mutex<HashMap<String, String>>,
    tokens: Mutex<HashMap<String, u64>>,
    pub valid_ms: u64,
}

/// Processes that were started.
static NODES: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and removes the temporary folder.
pub fn end_processes() {
    for child in NODES.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    let _ = fs::remove_dir_all(temporary_folder());
}

fn temporary_folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-3-{}", std::process::id()))
}

/// Whether the run includes the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn address(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 47, 3, host], port))
}

impl Rig {
    pub fn start(record_path: &Path, with_advice: bool, with_cloud: bool) -> Arc<Rig> {
        // Ports are the same for all machines; a range that is free on the first addresses is taken.
        let is_free =
            |port: u16| (1..6).all(|host| (0..16).all(|i| TcpListener::bind(address(host, port + i)).is_ok()));
        let first = 20_000 + (std::process::id() % 200) as u16 * 40;
        let port = (0..200).map(|i| 20_000 + (first - 20_000 + i * 40) % 8_000).find(|p| is_free(*p));
        let port = port.unwrap_or_else(|| cannot_run("no free ports"));
        let folder = temporary_folder();
        fs::create_dir_all(&folder).unwrap();
        let record = Arc::new(Record::new(record_path));
        let store = Store::start(address(200, port), 1_048_576);
        let rig = Arc::new(Rig {
            record,
            store,
            tickets: Tickets::default(),
            gangs: Gangs::default(),
            workers: Mutex::default(),
            folder,
            port,
            next_worker: AtomicU64::new(0),
            outage: Mutex::new(None),
            moving: Mutex::default(),
            tokens: Mutex::default(),
            valid_ms: 3_000,
        });
        let (gangs, notes) = (Arc::clone(&rig.gangs), Arc::clone(&rig.record));
        thread::spawn(move || run_gangs(&gangs, &notes));
        if with_advice {
            let tickets = Arc::clone(&rig.tickets);
            let (record, workers, valid) = (Arc::clone(&rig.record), Arc::downgrade(&rig), rig.valid_ms);
            let busy = Mutex::new(());
            let handler = move |req: &Request| {
                // One call of a machine at a time; there is one node, so one at a time.
                let _turn = busy.lock().unwrap();
                let Some(rig) = workers.upgrade() else { return Action::Close };
                let body = Json::parse(&req.body).unwrap_or(Json::Null);
                let asked: Vec<&str> = body.get("workers").rows().iter().map(Json::text).collect();
                thread::sleep(Duration::from_millis(20 + 2 * asked.len() as u64));
                let step = body.get("step").text();
                let until = Instant::now() + Duration::from_millis(valid);
                let mut allowed = Vec::new();
                for id in asked {
                    let known = rig.workers.lock().unwrap().iter().find(|w| w.id == id).cloned();
                    let Some(worker) = known.filter(|w| w.is_up()) else { continue };
                    let mut tickets = tickets.lock().unwrap();
                    let ticket = format!("t{:06x}", tickets.len() + 1);
                    tickets.insert(ticket.clone(), (id.to_owned(), worker.born(), step.to_owned(), until));
                    allowed.push(Json::Arr(vec![s(id), s(&ticket)]));
                }
                record.note(&format!("advice for {step}: {} workers", allowed.len()));
                reply(200, &obj(&[("allowed", Json::Arr(allowed)), ("valid-ms", n(valid))]))
            };
            std::mem::forget(Server::start(address(202, port), Arc::new(handler)));
        }
        if with_cloud {
            let serving = Arc::downgrade(&rig);
            let handler = move |req: &Request| serving.upgrade().map_or(Action::Close, |rig| rig.answer_cloud(req));
            std::mem::forget(Server::start(address(201, port), Arc::new(handler)));
        }
        rig
    }

    pub fn set_outage(&self, outage: Option<CloudOutage>) {
        *self.outage.lock().unwrap() = outage;
    }

    pub fn add_worker(&self, service: &str, machine: &str, cpu: u64) -> Arc<Worker> {
        let number = self.next_worker.fetch_add(1, Ordering::SeqCst) + 1;
        let at = SocketAddr::from(([127, 47, 4, number as u8], self.port));
        let id = format!("i-{number:04x}");
        let worker =
            Worker::start(&id, at, machine, service, ZONE, cpu, &self.store, &self.record, &self.tickets, &self.gangs);
        self.workers.lock().unwrap().push(Arc::clone(&worker));
        worker
    }

    fn answer_cloud(self: &Arc<Self>, req: &Request) -> Action {
        if self.outage.lock().unwrap().as_ref().is_some_and(|outage| outage(req)) {
            return Action::Silent;
        }
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/v1/machines") => {
                let mut rows = BTreeMap::new();
                let moving = self.moving.lock().unwrap().clone();
                for worker in self.workers.lock().unwrap().iter() {
                    let state = if worker.is_up() { "up" } else { "down" };
                    if state == "down" && rows.contains_key(&worker.machine) {
                        continue;
                    }
                    let (state, pool) = match moving.get(&worker.machine) {
                        Some(pool) => ("moving", pool.clone()),
                        None => (state, worker.service.lock().unwrap().clone()),
                    };
                    let capacity = obj(&[("cpu", n(worker.cpu)), ("mem-mb", n(131_072)), ("gpu", n(0))]);
                    let row = obj(&[
                        ("machine", s(&worker.machine)),
                        ("pool", s(&pool)),
                        ("state", s(state)),
                        ("zone", s(ZONE)),
                        ("labels", Json::Arr(vec![s("a"), s(&format!("rack-{}", worker.machine))])),
                        ("capacity", capacity),
                        ("id", s(if state == "up" { &worker.id } else { "" })),
                    ]);
                    rows.insert(worker.machine.clone(), row);
                }
                let page = [("machines", Json::Arr(rows.into_values().collect())), ("next-token", Json::Null)];
                reply(200, &obj(&page))
            }
            ("POST", "/v1/machine-move") => {
                let (machine, pool) = (body.get("machine").text().to_owned(), body.get("pool").text().to_owned());
                let token: u64 = req.header("x-fencing-token").parse().unwrap_or(0);
                let refuse = |reason| reply(409, &obj(&[("reason", s(reason))]));
                let mut tokens = self.tokens.lock().unwrap();
                let seen = tokens.entry(machine.clone()).or_default();
                if token < *seen {
                    return refuse("fence");
                }
                *seen = token;
                drop(tokens);
                if self.moving.lock().unwrap().get(&machine) == Some(&pool) {
                    return reply(200, &Json::Null);
                }
                let worker = self.workers.lock().unwrap().iter().find(|w| w.machine == machine && w.is_up()).cloned();
                let Some(worker) = worker else { return refuse("busy") };
                if *worker.service.lock().unwrap() == pool {
                    return reply(200, &Json::Null);
                }
                self.record.note(&format!("platform moves {machine} ({}) to {pool}", worker.id));
                self.moving.lock().unwrap().insert(machine.clone(), pool.clone());
                worker.leave();
                let rig = Arc::clone(self);
                thread::spawn(move || {
                    thread::sleep(MIGRATE);
                    rig.add_worker(&pool, &machine, worker.cpu);
                    rig.moving.lock().unwrap().remove(&machine);
                });
                reply(200, &Json::Null)
            }
            _ => reply(400, &Json::Null),
        }
    }

    /// Starts a node with the command of the deploy file.
    pub fn start_node(&self, host: u8, with_advice: bool, with_cloud: bool) {
        let settings = self.folder.join(format!("boot-{host}.toml"));
        let ip = format!("127.47.3.{host}");
        let port = self.port;
        let advice = if with_advice { format!("advice = \"{}\"\n", address(202, port)) } else { String::new() };
        let cloud = if with_cloud {
            format!(
                "[cloud-api]\naddress = \"{}\"\nrate-per-s = 64.0\nduties = []\nduty-per-s = 64.0\n",
                address(201, port)
            )
        } else {
            String::new()
        };
        let text = format!(
            "node-name = \"edge-{ZONE}-{host}\"\nrole = \"entry\"\nmachine-class = \"edge\"\nserves = [\"edge\"]\nip = \"{ip}\"\n\
             zone = \"{ZONE}\"\nregion = \"region\"\ninternal-port-range = [{port},{last}]\nseeds = []\nbootstrap = true\n\
             fault-counted = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat-ms = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\",\"quota\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\n\
             control-mode = \"request\"\n{advice}[zones]\n{ZONE} = \"region\"\n\
             [listen]\nfrontend = \"{ip}:{front}\"\nreadiness = \"{ip}:{ready}\"\n\
             [limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n\
             [fault-tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed-lag-s = 3\naddr-reuse-s = 2\ncontact-ms = 3000\nack-timeout-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2000\n\
             grace-s = 6\nloss-slack-ms = 200\nconfig-apply-ms = 2000\nrollback-slack-ms = 250\nmax-stretch-ms = 5000\n\
             revoke-fail-closed = true\nrevoke-ms = 5000\nquota-window-s = 5\nquota-overage = 0.1\nquota-slack = 20\nrecovery-s = 12\n\
             max-hold-ms = 6000\nstop-timeout-ms = 900\ngang-timeout-ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n\
             finish_s = 14\nstatus_s = 120\nremote-factor = 2\ncheckpoint-interval-s = 1\nrestore-ms = 100\nnotice-ms = 4500\n\
             migrate-s = 1.5\nmaintenance-s = 2\nfencing-enforced = true\nlease-ms = 3000\nthaw-ms = 300\npacing-ms = 100\nimpact-ms = 4000\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites-per-s = 400\nreads-per-s = 2000\nhistory-s = 20\n\
             value-bytes = 1048576\nmin-ttl-ms = 1000\n{cloud}",
            last = port + 12,
            front = port + 13,
            ready = port + 14,
            store = address(200, port),
        );
        fs::write(&settings, text).unwrap();
        let program = std::env::var("CARAWAYBARROW").unwrap_or_else(|_| "target/release/carawaybarrow".to_owned());
        let log = match std::env::var("NODE_LOGS") {
            Ok(folder) => Stdio::from(fs::File::create(Path::new(&folder).join(format!("node-{host}.log"))).unwrap()),
            Err(_) => Stdio::null(),
        };
        let log_copy = match std::env::var("NODE_LOGS") {
            Ok(folder) => Stdio::from(
                fs::OpenOptions::new().append(true).open(Path::new(&folder).join(format!("node-{host}.log"))).unwrap(),
            ),
            Err(_) => Stdio::null(),
        };
        let child = Command::new(&program)
            .arg("node")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("CARAWAYBARROW_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(log_copy)
            .spawn();
        let child = child.unwrap_or_else(|e| cannot_run(&format!("{program} can't be started: {e}")));
        NODES.lock().unwrap().push(child);
        self.record.note(&format!("node {host} started"));
    }

    /// Waits until a node takes callers.
    pub fn await_ready(&self, host: u8) {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let ready = http::call(
                address(host, self.port + 14),
                "GET",
                "/v1/readyz",
                &[("Host", "ready.example")],
                "",
                Duration::from_secs(1),
            );
            if ready.is_some_and(|(status, _)| status == 200) {
                self.record.note(&format!("node {host} is ready"));
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        cannot_run("a node is not ready");
    }

    /// Calls a node as a client does, with the time that clients wait.
    pub fn call(&self, host: u8, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let headers =
            [("Host", "jobs.example"), ("Content-Type", "application/json"), ("X-Key", KEY), ("X-Deadline-Ms", "3000")];
        let answer = http::call(address(host, self.port + 13), method, path, &headers, body, Duration::from_secs(3));
        let shown = answer.as_ref().map_or("no answer".to_owned(), |(status, text)| format!("{status} {text}"));
        self.record.note(&format!("client: {method} {path} {} -> {shown}", &body[..body.len().min(200)]));
        answer
    }

    pub fn state(&self, host: u8, path: &str) -> String {
        let answer = self.call(host, "GET", path, "");
        match answer {
            Some((200, text)) => {
                Json::parse(text.as_bytes()).map_or(String::new(), |j| j.get("state").text().to_owned())
            }
            Some((status, _)) => status.to_string(),
            None => String::new(),
        }
    }

    /// The operator writes the configuration.
    pub fn configure(&self, version: u64, routes: &[Json], services: &[Json]) {
        let tenant = obj(&[
            ("name", s("tenant")),
            ("api-keys", Json::Arr(vec![s(KEY)])),
            ("weight", n(1_000)),
            ("ceiling", obj(&[])),
        ]);
        let config = obj(&[
            ("version", n(version)),
            ("routes", Json::Arr(routes.to_vec())),
            ("services", Json::Arr(services.to_vec())),
            ("tenants", Json::Arr(vec![tenant])),
            ("limits", obj(&[])),
        ]);
        self.store.put("op/config", &config.write());
        self.record.note(&format!("operator: configuration {version}"));
    }
}

pub fn route(name: &str, service: &str, advice: Option<Json>) -> Json {
    let mut rows = vec![
        ("name", s(name)),
        ("host", s("jobs.example")),
        ("kind", s("non_idempotent")),
        ("timeout-ms", n(3_000)),
        ("target-duration-ms", n(600)),
        ("priority", n(0)),
        ("service", s(service)),
        ("max-attempts", n(3)),
        ("stretch-factor", Json::Num(1.6)),
        ("public", Json::Bool(false)),
    ];
    let prefix = format!("/{name}/");
    rows.push(("prefix", s(&prefix)));
    if let Some(advice) = advice {
        rows.push(("advice", advice));
    }
    obj(&rows)
}

pub fn service(name: &str, standby: bool) -> Json {
    obj(&[("name", s(name)), ("admission-check", Json::Bool(false)), ("standby", Json::Bool(standby))])
}

pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case can't run: {why}");
    end_processes();
    std::process::exit(2)
}
