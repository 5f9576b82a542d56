//! Counts of urgent jobs, kept in memory until their minute has passed and then written to the ledger.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use carawaybarrow_core::admission;
use carawaybarrow_core::ids::{ClassId, TeamId};
use carawaybarrow_core::job::Refusal;
use carawaybarrow_core::keys::KeyHash;
use carawaybarrow_core::ledger::{JobResult, Line, Month, UrgentLine};
use carawaybarrow_core::units::{Millis, WallTime};

use crate::config_sync::ConfigSnapshot;
use crate::entry::Entry;
use crate::ledger_segments::SegmentWriter;
use crate::quota_sync::COORDINATOR_SHARD;
use crate::urgent::Answer;

/// Maximum number of counts in memory. This covers a store outage of 75 min with 50 combinations of team, class and
/// result per minute, and takes less than 2 MB.
const MAX_COUNTS: usize = 4096;

/// Class under which jobs are reported that exceed [`MAX_COUNTS`].
const OVERFLOW_CLASS: &str = "not-recorded";

/// Maximum number of lines per append.
const MAX_BATCH_LINES: usize = 200;

/// Period that one line covers.
const SPAN: Millis = Millis::from_secs(60);

/// Minute, team, class and result that are counted together.
type Key = (WallTime, Option<TeamId>, ClassId, JobResult);

/// Number of jobs, and the sums of their waiting and run times.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    count: u64,
    wait_ms: u64,
    run_ms: u64,
}

/// Counts of urgent jobs that are not yet in the ledger.
#[derive(Debug, Default)]
pub struct UrgentCounts {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    counts: BTreeMap<Key, Totals>,
    /// First minute that still accepts counts. Earlier ones are in the ledger, and a minute has only one line, even if
    /// the clock is set back.
    first_open: WallTime,
}

/// Result under which an answer is counted in the ledger.
#[must_use]
pub const fn job_result(answer: &Answer) -> JobResult {
    match answer {
        Answer::Done { .. } => JobResult::Done,
        Answer::Failed { .. } => JobResult::Failed,
        Answer::Unknown { .. } => JobResult::Unknown,
        Answer::Refused(_) => JobResult::Refused,
    }
}

impl UrgentCounts {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a job that ended at `at`. Returns `false` if the number of counts is at its limit, so that the job was
    /// counted without its team and class.
    pub fn add(
        &self,
        team: Option<&TeamId>,
        class: &ClassId,
        result: JobResult,
        wait: Millis,
        run: Millis,
        at: WallTime,
    ) -> bool {
        let mut inner = self.lock();
        let minute = UrgentLine::minute_of(at).max(inner.first_open);
        let counts = &mut inner.counts;
        let mut key = (minute, team.cloned(), class.clone(), result);
        let has_capacity = counts.len() < MAX_COUNTS || counts.contains_key(&key);
        if !has_capacity {
            let class = ClassId::new(OVERFLOW_CLASS).expect("the name has only letters and a hyphen");
            key = (minute, None, class, result);
        }
        let totals = counts.entry(key).or_default();
        totals.count += 1;
        totals.wait_ms += wait.0;
        totals.run_ms += run.0;
        has_capacity
    }

    /// Closes the minutes that have passed, or all minutes at a stop, and returns their counts. A later job is counted in
    /// a minute that is still open.
    fn close_passed_minutes(&self, now: WallTime, all: bool) -> Vec<(Key, Totals)> {
        let is_over = |key: &Key| all || now.since(key.0) >= SPAN;
        let mut inner = self.lock();
        let over: Vec<_> =
            inner.counts.iter().filter(|(key, _)| is_over(key)).map(|(key, totals)| (key.clone(), *totals)).collect();
        if let Some((last, _)) = over.last() {
            inner.first_open = inner.first_open.max(last.0 + SPAN);
        }
        over
    }

    fn remove(&self, keys: &[Key]) {
        self.lock().counts.retain(|key, _| !keys.contains(key));
    }
}

impl Entry {
    /// Counts an urgent job that was refused before it was queued, and a missed target if the refusal is an overload.
    pub fn count_refusal(&self, held: &ConfigSnapshot, queue: &str, key: Option<&KeyHash>, refusal: &Refusal) {
        let Some(queue) = queue.parse().ok().and_then(|id| held.config.queues.get(&id)) else { return };
        let Some(class) = held.config.classes.get(&queue.value.class) else { return };
        // Invalid or forbidden requests are not counted as work of a team.
        let is_faulty = matches!(refusal, Refusal::Invalid { .. } | Refusal::NotAllowed { .. });
        if is_faulty || admission::is_durable(&queue.value, &class.value) {
            return;
        }
        let team = key.and_then(|key| held.find_team(key));
        if matches!(refusal, Refusal::Overloaded { .. }) {
            let wall = self.clock.wall();
            self.dispatch().record_target(&queue.value.class, team, &queue.value.pool, false, wall);
        }
        self.count_urgent(team, &queue.value.class, JobResult::Refused, Millis(0), Millis(0));
    }

    /// Writes all counts at a planned stop, after the last job has ended. The entry may own no shard by then.
    pub async fn flush_urgent_lines(&self) {
        self.write_urgent_lines(&mut SegmentWriter::default(), true).await;
    }

    /// Counts an urgent job that ended now, and the drop of its team and class if the counts are at their limit.
    pub fn count_urgent(&self, team: Option<&TeamId>, class: &ClassId, result: JobResult, wait: Millis, run: Millis) {
        if !self.urgent_counts.add(team, class, result, wait, run, self.clock.wall()) {
            self.metrics.count_ledger_dropped();
        }
    }

    /// Writes the counts of minutes that have passed, or of all minutes, to the ledger of a shard that this entry owns.
    /// An entry without a shard writes only if `all` is set, to the coordinator's shard.
    pub async fn write_urgent_lines(&self, writer: &mut SegmentWriter, all: bool) {
        let shard = match self.shards.owned().first() {
            Some(shard) => *shard,
            // Any entry may append by compare-and-swap, and a stopping one has no later round.
            None if all => COORDINATOR_SHARD,
            None => return,
        };
        let mut months = BTreeMap::<Month, Vec<(Key, Line)>>::new();
        for (key, totals) in self.urgent_counts.close_passed_minutes(self.clock.wall(), all) {
            let (minute, team, class, result) = key.clone();
            let (entry, incarnation) = (self.settings.entry.clone(), self.incarnation);
            let Totals { count, wait_ms, run_ms } = totals;
            let line = UrgentLine { minute, entry, incarnation, team, class, result, count, wait_ms, run_ms };
            months.entry(Month::of(minute)).or_default().push((key, Line::Urgent(line)));
        }
        for (month, counted) in months {
            for batch in counted.chunks(MAX_BATCH_LINES) {
                let (keys, lines): (Vec<_>, Vec<_>) = batch.iter().cloned().unzip();
                // Counts whose minute has passed don't change any more, so a repeated line is the same.
                if writer.append_all(self, shard, month, &lines, MAX_BATCH_LINES).await.is_err() {
                    return;
                }
                self.urgent_counts.remove(&keys);
            }
        }
    }
}
