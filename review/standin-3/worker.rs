//! Stand-in for a worker, as the pages describe it. It can crash, start again under its id, and carry out orders late.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Action, Request, Server};
use crate::json::{Json, n, obj, s};
use crate::record::Record;
use crate::store::{Store, reply};

/// Tickets of the advice service: worker, its birth, step, and the time until which it is valid.
pub type Tickets = Arc<Mutex<HashMap<String, (String, u64, String, Instant)>>>;

/// What happens to an order (path, body) that arrives.
pub enum Fate {
    Handle,
    /// No answer, and carried out after this time by whoever then runs under the id at the address.
    Late(Duration),
    /// The process dies on it before it has done anything.
    Crash,
}

pub type Plan = Box<dyn Fn(&str, &Json) -> Fate + Send + Sync>;

/// A run of a gang: its members by task, each with the checkpoint that it carries.
pub struct Gang {
    members: BTreeMap<String, (Arc<Worker>, String)>,
    size: usize,
    work_ms: u64,
    /// Time since which all members are present with one checkpoint, and the work that they had done by then, in ms.
    together: Option<(Instant, u64)>,
}

/// Gangs by step and run.
pub type Gangs = Arc<Mutex<HashMap<(String, u32), Gang>>>;

pub const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
const CHECKPOINT_MS: u64 = 1_000;

struct Run {
    number: u32,
    began: Instant,
    /// Checkpoint that it carries, or its last one.
    saved: String,
    /// Whether it belongs to a gang.
    in_gang: bool,
    ends_at: Option<Instant>,
    percent_100_at: Instant,
}

struct Life {
    born: u64,
    began: Instant,
    token: u64,
    lease: u64,
    running: BTreeMap<String, Run>,
    finished: Vec<(u64, String, u32, &'static str, String)>,
    last_end: u64,
    /// Highest run of a task that was stopped or has ended here.
    over: HashMap<String, u32>,
}

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub machine: String,
    pub service: Mutex<String>,
    pub zone: String,
    pub cpu: u64,
    needs_ticket: AtomicBool,
    life: Mutex<Option<Life>>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    plan: Mutex<Option<Plan>>,
    store: Arc<Store>,
    record: Arc<Record>,
    tickets: Tickets,
    gangs: Gangs,
    seq: AtomicU64,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

const MAX_HOLD_MS: u64 = 6_000;
const STOP_MS: u64 = 50;

impl Worker {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str,
        address: SocketAddr,
        machine: &str,
        service: &str,
        zone: &str,
        cpu: u64,
        store: &Arc<Store>,
        record: &Arc<Record>,
        tickets: &Tickets,
        gangs: &Gangs,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            address,
            machine: machine.to_owned(),
            service: Mutex::new(service.to_owned()),
            zone: zone.to_owned(),
            cpu,
            needs_ticket: AtomicBool::new(false),
            life: Mutex::new(None),
            changed: Condvar::new(),
            server: Mutex::new(None),
            plan: Mutex::new(None),
            store: Arc::clone(store),
            record: Arc::clone(record),
            tickets: Arc::clone(tickets),
            gangs: Arc::clone(gangs),
            seq: AtomicU64::new(0),
        });
        worker.begin();
        let ticking = Arc::clone(&worker);
        thread::spawn(move || {
            let mut reported = Instant::now();
            loop {
                ticking.tick();
                if reported.elapsed() >= Duration::from_millis(1_000) {
                    reported = Instant::now();
                    ticking.report();
                }
                thread::sleep(Duration::from_millis(4));
            }
        });
        worker
    }

    pub fn require_tickets(&self) {
        self.needs_ticket.store(true, Ordering::SeqCst);
    }

    pub fn set_plan(&self, plan: Option<Plan>) {
        *self.plan.lock().unwrap() = plan;
    }

    /// Begins a life: it runs nothing, has seen no token and knows nothing of before.
    pub fn begin(self: &Arc<Self>) {
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
        let life = Life {
            born: unix_ms(),
            began: Instant::now(),
            token: 0,
            lease: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            last_end: 0,
            over: HashMap::new(),
        };
        *self.life.lock().unwrap() = Some(life);
        self.seq.store(0, Ordering::SeqCst);
        self.record.note(&format!("worker {} begins a life at {}", self.id, self.address));
        let serving = Arc::clone(self);
        *self.server.lock().unwrap() = Some(Server::start(self.address, Arc::new(move |req| serving.answer(req))));
        self.report();
    }

    /// The process dies: everything that runs ends, connections break.
    pub fn crash(&self) {
        if let Some(life) = self.life.lock().unwrap().take() {
            self.record.note(&format!("worker {} crashes", self.id));
            for (task, run) in &life.running {
                self.record.end(task, run.number, &self.id, "lost with its worker");
            }
        }
        self.changed.notify_all();
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
    }

    /// The worker loses its power: everything that runs ends, and it is silent. Its connections stay open until it begins
    /// another life.
    pub fn go_dark(&self) {
        if let Some(life) = self.life.lock().unwrap().take() {
            self.record.note(&format!("worker {} goes dark", self.id));
            for (task, run) in &life.running {
                self.record.end(task, run.number, &self.id, "lost with its worker");
            }
        }
        self.changed.notify_all();
    }

    /// The worker leaves for good, and its entry is removed.
    pub fn leave(&self) {
        self.crash();
        self.store.delete(&format!("servers/{}", self.id));
    }

    pub fn is_up(&self) -> bool {
        self.life.lock().unwrap().is_some()
    }

    pub fn used(&self) -> usize {
        self.life.lock().unwrap().as_ref().map_or(0, |l| l.running.len())
    }

    fn report(&self) {
        let life = self.life.lock().unwrap();
        let Some(life) = life.as_ref() else { return };
        let seq = self.seq.fetch_add(1, Ordering::SeqCst);
        let capacity = obj(&[("cpu", n(self.cpu)), ("mem-mb", n(131_072)), ("gpu", n(0))]);
        let value = obj(&[
            ("service", s(&self.service.lock().unwrap())),
            ("address", s(&self.address.to_string())),
            ("zone", s(&self.zone)),
            ("version", s("1")),
            ("slots", n(8)),
            ("state", s("ready")),
            ("cold-remaining-ms", n(0)),
            ("seq", n(seq)),
            ("machine", s(&self.machine)),
            ("capacity", capacity),
            ("labels", Json::Arr(vec![s("a"), s(&format!("rack-{}", self.machine))])),
            ("born", n(life.born)),
        ]);
        self.store.put(&format!("servers/{}", self.id), &value.write());
    }

    fn tick(&self) {
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else { return };
        let now = Instant::now();
        let clock = now.duration_since(life.began).as_millis() as u64;
        let mut ended: Vec<(String, u32, &'static str)> = Vec::new();
        for (task, run) in &life.running {
            if clock > life.lease {
                ended.push((task.clone(), run.number, "lapsed"));
            } else if !run.in_gang && run.ends_at.is_some_and(|at| at <= now) {
                ended.push((task.clone(), run.number, "done"));
            }
        }
        for (task, number, how) in ended {
            self.finish(life, &task, number, how);
        }
    }

    fn finish(&self, life: &mut Life, task: &str, number: u32, how: &'static str) {
        let saved = life.running.remove(task).map(|run| run.saved).unwrap_or_default();
        let over = life.over.entry(task.to_owned()).or_default();
        *over = (*over).max(number);
        life.last_end += 1;
        life.finished.push((life.last_end, task.to_owned(), number, how, saved));
        self.record.end(task, number, &self.id, how);
        self.changed.notify_all();
    }

    fn answer(self: &Arc<Self>, req: &Request) -> Action {
        if !self.is_up() {
            return Action::Silent;
        }
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        if req.header("x-expect-instance") != self.id {
            return reply(421, &Json::Null);
        }
        let fate = self.plan.lock().unwrap().as_ref().map_or(Fate::Handle, |plan| plan(&req.path, &body));
        match fate {
            Fate::Handle => self.handle(&req.path, &body),
            Fate::Late(delay) => {
                self.record.note(&format!("{} leaves {} {} unanswered", self.id, req.path, body.write()));
                let (worker, path) = (Arc::clone(self), req.path.clone());
                thread::spawn(move || {
                    thread::sleep(delay);
                    let answer = worker.handle(&path, &body);
                    let status = if let Action::Reply(status, _) = &answer { *status } else { 0 };
                    worker.record.note(&format!("{} carries out {path} {} late: {status}", worker.id, body.write()));
                });
                Action::Silent
            }
            Fate::Crash => {
                self.record.note(&format!("{} crashes on {} {}", self.id, req.path, body.write()));
                let worker = Arc::clone(self);
                thread::spawn(move || worker.crash());
                thread::sleep(Duration::from_millis(30));
                Action::Close
            }
        }
    }

    fn handle(self: &Arc<Self>, path: &str, body: &Json) -> Action {
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else { return Action::Silent };
        let clock = life.began.elapsed().as_millis() as u64;
        let token = body.get("fencing-token").num();
        let refuse = |reason: &str| reply(409, &obj(&[("clock-ms", n(clock)), ("reason", s(reason))]));
        if token < life.token {
            return refuse("fence");
        }
        life.token = token;
        let deadline = body.get("deadline-ms").num().min(clock + MAX_HOLD_MS);
        let task = body.get("task").text().to_owned();
        let number = body.get("run").num() as u32;
        let taken = || reply(200, &obj(&[("clock-ms", n(clock))]));
        match path {
            "/v1/run-start" => {
                if body.get("deadline-ms").num() <= clock {
                    return refuse("late");
                }
                if life.over.get(&task).is_some_and(|over| number <= *over) {
                    life.lease = life.lease.max(deadline);
                    return refuse("old");
                }
                if let Some(run) = life.running.get(&task) {
                    return if run.number == number { taken() } else { refuse("old") };
                }
                if self.needs_ticket.load(Ordering::SeqCst) {
                    let step = task.rsplit_once('.').map_or("", |(step, _)| step);
                    let tickets = self.tickets.lock().unwrap();
                    let is_valid = tickets.get(body.get("ticket").text()).is_some_and(|(id, born, of, until)| {
                        *id == self.id && *born == life.born && of == step && Instant::now() <= *until
                    });
                    if !is_valid {
                        self.record.count(&format!("{} rejects {task} run {number} for its ticket", self.id));
                        return refuse("ticket");
                    }
                }
                life.lease = life.lease.max(deadline);
                // The payload says how long the task works, in ms; "lasts" for one that lasts.
                // For a gang it is "gang SIZE MS".
                let words: Vec<&str> = body.get("spec").text().split(' ').collect();
                let now = Instant::now();
                let saved = body.get("checkpoint").text().to_owned();
                let in_gang = words[0] == "gang";
                let work = if in_gang { None } else { words[0].parse::<u64>().ok() };
                let ends_at = work.map(|ms| now + Duration::from_millis(ms));
                let percent_100_at = now + Duration::from_millis(300);
                let run = Run { number, began: now, saved: saved.clone(), in_gang, ends_at, percent_100_at };
                life.running.insert(task.clone(), run);
                self.record.start(&task, number, &self.id);
                if in_gang {
                    self.record.note(&format!("{task} run {number} carries the checkpoint {saved:?}"));
                    let size = words.get(1).and_then(|w| w.parse().ok()).unwrap_or(1);
                    let work_ms = words.get(2).and_then(|w| w.parse().ok()).unwrap_or(1_000);
                    let step = task.rsplit_once('.').map_or("", |(step, _)| step).to_owned();
                    drop(guard);
                    let mut gangs = self.gangs.lock().unwrap();
                    let new = || Gang { members: BTreeMap::new(), size, work_ms, together: None };
                    gangs.entry((step, number)).or_insert_with(new).members.insert(task, (Arc::clone(self), saved));
                }
                taken()
            }
            "/v1/run-stop" => {
                let over = life.over.entry(task.clone()).or_default();
                *over = (*over).max(number);
                if life.running.get(&task).is_some_and(|r| r.number == number) {
                    life.running.get_mut(&task).unwrap().ends_at = None;
                    drop(guard);
                    thread::sleep(Duration::from_millis(STOP_MS));
                    let mut guard = self.life.lock().unwrap();
                    let Some(life) = guard.as_mut() else { return Action::Silent };
                    if life.running.get(&task).is_some_and(|r| r.number == number) {
                        self.finish(life, &task, number, "stopped");
                    }
                }
                taken()
            }
            "/v1/pace" => taken(),
            "/v1/hold" => {
                let born = life.born;
                if !body.get("deadline-ms").is_null() {
                    life.lease = life.lease.max(deadline);
                }
                let seen = body.get("last-seen").num();
                life.finished.retain(|(end, ..)| *end > seen);
                let until = Instant::now() + Duration::from_millis(body.get("wait-ms").num().min(2_000));
                loop {
                    let Some(life) = guard.as_mut().filter(|l| l.born == born) else { return Action::Silent };
                    let left = until.saturating_duration_since(Instant::now());
                    if !life.finished.is_empty() || left.is_zero() {
                        let running = life.running.iter().map(|(task, run)| {
                            let percent =
                                if run.ends_at.is_none() && Instant::now() >= run.percent_100_at { 100 } else { 50 };
                            Json::Arr(vec![s(task), n(run.number.into()), s(&run.saved), n(percent)])
                        });
                        let finished = life.finished.iter().take(500).map(|(end, task, number, how, saved)| {
                            Json::Arr(vec![n(*end), s(task), n((*number).into()), s(how), s(saved)])
                        });
                        let lists = obj(&[
                            ("clock-ms", n(life.began.elapsed().as_millis() as u64)),
                            ("born", n(life.born)),
                            ("running", Json::Arr(running.collect())),
                            ("finished", Json::Arr(finished.collect())),
                        ]);
                        return reply(200, &lists);
                    }
                    guard = self.changed.wait_timeout(guard, left).unwrap().0;
                }
            }
            _ => reply(400, &Json::Null),
        }
    }

    pub fn born(&self) -> u64 {
        self.life.lock().unwrap().as_ref().map_or(0, |l| l.born)
    }
}

impl Worker {
    /// Ends a run of a gang here, if it is still there.
    fn end_member(&self, task: &str, number: u32, how: &'static str) {
        let mut guard = self.life.lock().unwrap();
        if let Some(life) = guard.as_mut().filter(|l| l.running.get(task).is_some_and(|r| r.number == number)) {
            self.finish(life, task, number, how);
        }
    }

    /// Time since which a run of a gang is here; `None` if it is not.
    fn member_since(&self, task: &str, number: u32) -> Option<Instant> {
        let guard = self.life.lock().unwrap();
        guard.as_ref()?.running.get(task).filter(|r| r.number == number).map(|r| r.began)
    }

    fn save(&self, task: &str, value: &str) {
        if let Some(run) = self.life.lock().unwrap().as_mut().and_then(|l| l.running.get_mut(task)) {
            run.saved = value.to_owned();
        }
    }
}

/// Lets gangs work: from the moment when all members of one run are present with one checkpoint, they work together, produce
/// a checkpoint with each second of work, and end `done` together. If a member ends, the others are `broken`. Members that
/// wait for the others for too long end `alone`.
pub fn run_gangs(gangs: &Gangs, record: &Record) {
    loop {
        let mut gangs_now = gangs.lock().unwrap();
        gangs_now.retain(|(step, number), gang| {
            let present: Vec<(String, Arc<Worker>, Instant)> = gang
                .members
                .iter()
                .filter_map(|(task, (worker, _))| {
                    Some((task.clone(), Arc::clone(worker), worker.member_since(task, *number)?))
                })
                .collect();
            let has_lost = present.len() < gang.members.len();
            match gang.together {
                Some(_) if has_lost => {
                    present.iter().for_each(|(task, worker, _)| worker.end_member(task, *number, "broken"));
                    return false;
                }
                Some((since, before)) => {
                    let done = before + since.elapsed().as_millis() as u64;
                    if done >= gang.work_ms {
                        present.iter().for_each(|(task, worker, _)| worker.end_member(task, *number, "done"));
                        return false;
                    }
                    let value = format!("{:08x}", done / CHECKPOINT_MS);
                    if done / CHECKPOINT_MS > before / CHECKPOINT_MS {
                        present.iter().for_each(|(task, worker, _)| worker.save(task, &value));
                    }
                }
                None => {
                    gang.members.retain(|task, _| present.iter().any(|(known, ..)| known == task));
                    let mut carried: Vec<&String> = gang.members.values().map(|(_, saved)| saved).collect();
                    carried.dedup();
                    if gang.members.len() == gang.size && carried.len() == 1 {
                        let before = u64::from_str_radix(carried[0], 16).unwrap_or(0) * CHECKPOINT_MS;
                        gang.together = Some((Instant::now(), before));
                        record.note(&format!("gang {step} run {number} works, from {before} ms on"));
                    }
                    for (task, worker, since) in present {
                        if gang.together.is_none() && since.elapsed() >= GANG_TIMEOUT {
                            worker.end_member(&task, *number, "alone");
                        }
                    }
                    if gang.members.is_empty() {
                        return false;
                    }
                }
            }
            true
        });
        drop(gangs_now);
        thread::sleep(Duration::from_millis(4));
    }
}
