//! Tombstones: the ids of jobs that callers cancelled while no such job was known.
//!
//! A write that creates a job and gets no answer may still take effect seconds later, whichever entry has sent it and whether
//! or not that entry still runs. So an entry stores a tombstone before it answers that there is no such job, and a job that
//! appears while its tombstone is kept is cancelled at once.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::map::Map;
use crate::sched::graph::{JobKey, JobSpec, QueueName, TeamName};
use crate::sched::scheduler::Scheduler;
use crate::units::{Millis, MonoTime};

/// Time for which a scheduler keeps a tombstone after it has learned of it. It covers the attempts of an entry to create a job
/// (3 s), the suspension of such an entry, and the time in which a write without an answer may still be executed ("seconds" in
/// the platform's specification).
pub const RETENTION: Millis = Millis(30_000);

/// Maximum number of tombstones that all entries together add within [`RETENTION`]. One takes about 30 bytes in the store and
/// 60 in the memory of the scheduler.
pub const MAX_TOMBSTONES: usize = 200_000;

/// Queue and team of a job. Only they may cancel it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct JobOwner {
    /// Queue.
    pub queue: QueueName,
    /// Team; `None` for a job that came without a key.
    pub team: Option<TeamName>,
}

impl From<&JobSpec> for JobOwner {
    fn from(spec: &JobSpec) -> Self {
        Self { queue: spec.queue.clone(), team: spec.team.clone() }
    }
}

/// A stored document with the tombstones of several callers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstones {
    rows: Vec<(JobOwner, Vec<JobKey>)>,
}

impl Tombstones {
    /// Creates a document with one tombstone.
    #[must_use]
    pub fn new(owner: JobOwner, job: JobKey) -> Self {
        Self { rows: vec![(owner, vec![job])] }
    }

    /// Adds the tombstones of another document.
    pub fn merge(&mut self, other: Self) {
        for (owner, jobs) in other.rows {
            match self.rows.iter_mut().find(|(known, _)| *known == owner) {
                Some((_, known)) => known.extend(jobs),
                None => self.rows.push((owner, jobs)),
            }
        }
    }

    /// Number of tombstones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.iter().map(|(_, jobs)| jobs.len()).sum()
    }

    /// Whether it has no tombstones.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A document that the scheduler keeps. Owners are numbered, as few of them have many jobs.
#[derive(Debug)]
struct KeptDocument {
    key: SmolStr,
    since: MonoTime,
    jobs: Vec<(usize, JobKey)>,
}

/// Tombstones that a scheduler keeps.
#[derive(Debug, Default)]
pub(super) struct KeptTombstones {
    /// Documents, oldest first.
    documents: VecDeque<KeptDocument>,
    /// Number of kept documents that name a job.
    counts: Map<(usize, JobKey), u32>,
    owners: Vec<JobOwner>,
    /// Time as of which the scheduler knows all stored jobs.
    jobs_read_at: MonoTime,
    /// Unknown jobs whose own mark of cancellation is stored, with the time at which the scheduler was notified of it.
    marked: Map<JobKey, MonoTime>,
}

impl KeptTombstones {
    fn number_of(&self, owner: &JobOwner) -> Option<usize> {
        self.owners.iter().position(|known| known == owner)
    }

    fn add(&mut self, now: MonoTime, key: &str, tombstones: &Tombstones) {
        let mut named = Vec::with_capacity(tombstones.len());
        for (owner, jobs) in &tombstones.rows {
            let number = self.number_of(owner).unwrap_or_else(|| {
                self.owners.push(owner.clone());
                self.owners.len() - 1
            });
            named.extend(jobs.iter().map(|job| (number, job.clone())));
        }
        for name in &named {
            *self.counts.entry(name.clone()).or_default() += 1;
        }
        self.documents.push_back(KeptDocument { key: key.into(), since: now, jobs: named });
    }

    /// Records that an unknown job is cancelled by a mark of its own.
    pub(super) fn add_marked(&mut self, now: MonoTime, job: &JobKey) {
        self.marked.retain(|_, since| now.since(*since) < RETENTION);
        self.marked.insert(job.clone(), now);
    }

    /// Whether a job that appears now was cancelled before.
    pub(super) fn cancel(&mut self, job: &JobKey, spec: &JobSpec) -> bool {
        let is_marked = self.marked.remove(job).is_some();
        is_marked || self.number_of(&spec.into()).is_some_and(|n| self.counts.contains_key(&(n, job.clone())))
    }

    fn forget(&mut self, key: &str) {
        let Some(at) = self.documents.iter().position(|document| document.key == key) else { return };
        let Some(document) = self.documents.remove(at) else { return };
        for name in document.jobs {
            if let Some(count) = self.counts.get_mut(&name) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&name);
                }
            }
        }
    }
}

impl Scheduler {
    /// Adds the tombstones of a stored document, and cancels the jobs that they name. `key` is the document's key in the store.
    pub fn add_tombstones(&mut self, now: MonoTime, key: &str, tombstones: &Tombstones) {
        if self.tombstones.documents.iter().any(|document| document.key == key) {
            return;
        }
        self.tombstones.add(now, key, tombstones);
        for (owner, jobs) in &tombstones.rows {
            for job in jobs {
                if self.jobs.get(job).is_some_and(|known| JobOwner::from(&known.spec) == *owner) {
                    self.cancel_job(job);
                }
            }
        }
    }

    /// Records that the scheduler knows all jobs that were stored at a time.
    pub fn record_jobs_read(&mut self, at: MonoTime) {
        self.tombstones.jobs_read_at = self.tombstones.jobs_read_at.max(at);
    }

    /// Keys of documents that need not be kept any more, at most `limit` of them. The last job that they may name has to be
    /// known by then, so they are kept for longer while the scheduler does not hear of new jobs.
    #[must_use]
    pub fn find_expired_tombstones(&self, limit: usize) -> Vec<SmolStr> {
        let read_at = self.tombstones.jobs_read_at;
        let expired =
            self.tombstones.documents.iter().take_while(|document| read_at.since(document.since) >= RETENTION);
        expired.take(limit).map(|document| document.key.clone()).collect()
    }

    /// Forgets the tombstones of a document that was deleted.
    pub fn forget_tombstones(&mut self, key: &str) {
        self.tombstones.forget(key);
    }
}
