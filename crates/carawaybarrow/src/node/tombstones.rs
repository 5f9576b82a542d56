//! Stores tombstones while callers wait. Those of a short interval share one write, which the scheduler makes for all
//! entries; an entry that gets no answer from it makes its own.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::{channel, task};
use carawaybarrow_core::sched::graph::JobKey;
use carawaybarrow_core::sched::tombstones::{JobOwner, MAX_TOMBSTONES, RETENTION, Tombstones};
use carawaybarrow_core::units::{Millis, MonoTime};
use http_types::Method;
use tide::{Request, Response, StatusCode};

use crate::http_client::{Call, Client};
use crate::node::key_writes::{CreateOutcome, StoreKeyWriter};
use crate::node::records;
use crate::node::view::{self, View};

/// Path on which entries send tombstones to the scheduler.
const PATH: &str = "/tombstones";

/// Time for the answer of the scheduler, which makes one write.
const SCHEDULER_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval between writes of the scheduler, for all entries.
const SCHEDULER_INTERVAL: Millis = Millis(10);

/// Interval between the calls of an entry to the scheduler, for each entry, so that all make at most 1,000 calls a second.
const CALL_INTERVAL: Millis = Millis(1);

/// Interval between the writes of an entry without a scheduler, for each entry, so that all make at most 100 writes a second.
const WRITE_INTERVAL: Millis = Millis(10);

/// Longest interval, since callers wait for 3 s.
const MAX_INTERVAL: Millis = Millis(1_000);

/// Maximum number of tombstones that wait for one write, about 0.3 MB.
const MAX_WAITING: usize = 10_000;

/// Tombstones that wait for the next call.
#[derive(Debug, Default)]
struct Batch {
    tombstones: Tombstones,
    waiting: Vec<channel::Sender<CreateOutcome>>,
    /// Whether a task will send the batch.
    is_scheduled: bool,
    /// Time before which it is not sent.
    due: MonoTime,
}

/// Number of tombstones that an entry has accepted lately.
#[derive(Debug, Default)]
struct Recent {
    accepted: VecDeque<(MonoTime, usize)>,
    count: usize,
}

impl Recent {
    /// Counts tombstones unless there were more than `limit` within [`RETENTION`]. Returns whether they were counted.
    fn try_add(&mut self, now: MonoTime, count: usize, limit: usize) -> bool {
        while self.accepted.front().is_some_and(|(at, _)| now.since(*at) >= RETENTION) {
            self.count -= self.accepted.pop_front().map_or(0, |(_, count)| count);
        }
        if self.count + count > limit {
            return false;
        }
        self.count += count;
        match self.accepted.back_mut() {
            Some((at, sum)) if now.since(*at) < SCHEDULER_INTERVAL => *sum += count,
            _ => self.accepted.push_back((now, count)),
        }
        true
    }
}

/// Stores tombstones.
#[derive(Debug)]
pub struct TombstoneWriter {
    view: Arc<View>,
    key_writer: Arc<StoreKeyWriter>,
    client: Client,
    batch: Mutex<Batch>,
    recent: Mutex<Recent>,
    /// Number of documents that this entry has written.
    written: AtomicU64,
}

impl TombstoneWriter {
    /// Creates a writer; `name` is sent in the headers of its calls to other entries.
    #[must_use]
    pub fn new(view: Arc<View>, key_writer: Arc<StoreKeyWriter>, name: &str) -> Self {
        Self {
            view,
            key_writer,
            client: Client::new(name),
            batch: Mutex::default(),
            recent: Mutex::default(),
            written: AtomicU64::new(0),
        }
    }

    /// Stores that an owner has cancelled an unknown job. Returns `NotCreated` at once if callers cancel more unknown jobs than
    /// can be kept.
    pub async fn add(self: &Arc<Self>, owner: JobOwner, job: &JobKey) -> CreateOutcome {
        let limit = MAX_TOMBSTONES / self.entries();
        if !self.recent.lock().expect("no holder panics").try_add(view::now().mono, 1, limit) {
            return CreateOutcome::NotCreated;
        }
        self.join(Tombstones::new(owner, job.clone())).await
    }

    /// Number of entries, with this one.
    fn entries(&self) -> usize {
        self.view.known_entries().map_or(0, |others| others.len()) + 1
    }

    /// Address of the scheduler, if it is another entry.
    fn other_scheduler(&self) -> Option<SocketAddr> {
        self.view.scheduler().map(|owner| owner.peers).filter(|peers| *peers != self.view.settings.peers)
    }

    fn interval(&self, per_entry: Millis) -> Millis {
        MAX_INTERVAL.min(Millis(per_entry.0 * self.entries() as u64))
    }

    /// Adds tombstones to the next batch, and waits for its outcome.
    async fn join(self: &Arc<Self>, tombstones: Tombstones) -> CreateOutcome {
        let (sender, receiver) = channel::bounded(1);
        let is_first = {
            let mut batch = self.batch.lock().expect("no holder panics");
            if batch.tombstones.len() + tombstones.len() > MAX_WAITING {
                return CreateOutcome::NotCreated;
            }
            batch.tombstones.merge(tombstones);
            batch.waiting.push(sender);
            !std::mem::replace(&mut batch.is_scheduled, true)
        };
        if is_first {
            let writer = Arc::clone(self);
            task::spawn(async move { writer.send_batch().await });
        }
        // Without an outcome, the task that sends the batch has ended.
        receiver.recv().await.unwrap_or(CreateOutcome::Unknown)
    }

    /// Sends a batch once the interval since the last one is over.
    async fn send_batch(&self) {
        let due = self.batch.lock().expect("no holder panics").due;
        task::sleep(due.since(view::now().mono).to_duration()).await;
        let scheduler = self.other_scheduler();
        let interval = match scheduler {
            Some(_) => self.interval(CALL_INTERVAL),
            None => self.write_interval(),
        };
        let (tombstones, waiting) = {
            let mut batch = self.batch.lock().expect("no holder panics");
            batch.is_scheduled = false;
            batch.due = view::now().mono + interval;
            (std::mem::take(&mut batch.tombstones), std::mem::take(&mut batch.waiting))
        };
        let outcome = match scheduler {
            Some(scheduler) if self.send_to_scheduler(scheduler, &tombstones).await => CreateOutcome::Exists,
            Some(_) => {
                let due = view::now().mono + self.write_interval();
                self.batch.lock().expect("no holder panics").due = due;
                self.store(&tombstones).await
            }
            None => self.store(&tombstones).await,
        };
        for caller in waiting {
            // A caller that no longer waits needs no outcome.
            let _ = caller.try_send(outcome);
        }
    }

    fn write_interval(&self) -> Millis {
        if self.view.term().is_some() { SCHEDULER_INTERVAL } else { self.interval(WRITE_INTERVAL) }
    }

    /// Returns whether the scheduler has stored the tombstones.
    async fn send_to_scheduler(&self, scheduler: SocketAddr, tombstones: &Tombstones) -> bool {
        let call = Call::new(Method::Post, PATH).with_body(records::encode(tombstones));
        match self.client.call(scheduler, &call, SCHEDULER_TIMEOUT).await {
            Ok(reply) if reply.status == 200 => return true,
            Ok(reply) => log::info!(scheduler:% = scheduler, status = reply.status; "tombstones not stored"),
            Err(e) => log::info!(scheduler:% = scheduler, error:% = e; "tombstones not stored"),
        }
        false
    }

    async fn store(&self, tombstones: &Tombstones) -> CreateOutcome {
        let number = self.written.fetch_add(1, Ordering::Relaxed);
        let key = records::tombstones_key(&self.view.settings.entry, self.view.incarnation, number);
        let outcome = self.key_writer.create(key.clone(), records::encode(tombstones)).await;
        log::info!(key = key, jobs = tombstones.len(), outcome:? = outcome; "tombstones");
        if matches!(outcome, CreateOutcome::Created(_) | CreateOutcome::Exists)
            && let Some(term) = self.view.term().filter(|term| term.is_loaded())
        {
            term.add_tombstones(&key, tombstones);
        }
        outcome
    }
}

/// Adds the route on which other entries send tombstones to the scheduler.
pub fn add_routes(app: &mut tide::Server<Arc<View>>, writer: &Arc<TombstoneWriter>) {
    let writer = Arc::clone(writer);
    app.at(PATH).post(move |req| answer(req, Arc::clone(&writer)));
}

async fn answer(mut req: Request<Arc<View>>, writer: Arc<TombstoneWriter>) -> tide::Result {
    let tombstones: Tombstones = records::decode(&req.body_bytes().await?)?;
    if req.state().term().is_none() {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    }
    Ok(Response::new(match writer.join(tombstones).await {
        CreateOutcome::Created(_) | CreateOutcome::Exists => StatusCode::Ok,
        CreateOutcome::NotCreated => StatusCode::ServiceUnavailable,
        CreateOutcome::Unknown => StatusCode::GatewayTimeout,
    }))
}
