//! The rounds in which an entry writes ledger lines, and the lines of durable jobs.
//!
//! The owner of a job shard writes the lines of its jobs. A job is archived only after its line is stored. A crash between the two makes the next owner write the line again
//! at most; the month report counts lines of one key once.

use std::collections::BTreeMap;
use std::sync::Arc;

use async_std::task;
use carawaybarrow_core::ids::{JobId, ShardId};
use carawaybarrow_core::journal::{
    Counts, End, JobCommand, JobShard, MAX_JOBS, MAX_SHARD_BYTES, Record, State, StateName,
};
use carawaybarrow_core::ledger::{Line, LineKey, Month};
use carawaybarrow_core::units::{Millis, WallTime};

use crate::entry::Entry;
use crate::ledger_duty::DutyWriter;
use crate::ledger_segments::SegmentWriter;

/// Appends per second that all owners together make; a part of the store's budget of 50 writes a second for ledger,
/// payloads and results.
const APPENDS_PER_SECOND: u64 = 10;

/// Shortest pause between two appends to the same shard.
const SHORTEST_ROUND: Millis = Millis(1_000);

/// Lines of one append. A line takes at most about 1.5 KB, so they fit an empty segment.
const MAX_BATCH_LINES: usize = 200;

/// Number of jobs from which a shard is emptied before the answers' retention has passed.
const CROWDED_JOBS: usize = MAX_JOBS / 2;

/// Bytes from which a shard is emptied before the answers' retention has passed.
const CROWDED_BYTES: usize = MAX_SHARD_BYTES / 2;

/// An ended job that needs a line.
struct Ended {
    job: JobId,
    at: WallTime,
    line: Line,
}

/// What the ledger needs of a shard.
struct Seen {
    ended: Vec<Ended>,
    jobs: usize,
    bytes: usize,
}

impl Seen {
    fn of(document: &JobShard) -> Self {
        let counts: Counts = document.counts();
        // An unknown outcome may still be resolved, so it gets no line and stays in the journal.
        let unknown = counts.get(&StateName::Unknown).copied().unwrap_or(0);
        let jobs = counts.values().sum::<usize>() - unknown;
        let ended = document.ended().filter_map(describe_ended).collect();
        Self { ended, jobs, bytes: document.reserved_bytes() }
    }

    fn is_crowded(&self, archived: usize) -> bool {
        self.jobs.saturating_sub(archived) > CROWDED_JOBS || (self.bytes > CROWDED_BYTES && archived < self.jobs / 2)
    }

    /// Jobs to archive: those whose answers have been kept for `retention`, and the oldest ones of a crowded shard.
    fn find_archivable(&mut self, is_stored: impl Fn(&Line) -> bool, retention: Millis, now: WallTime) -> Vec<JobId> {
        self.ended.sort_by_key(|ended| ended.at);
        let mut jobs = Vec::new();
        for ended in self.ended.iter().filter(|ended| is_stored(&ended.line)) {
            if now.since(ended.at) >= retention || self.is_crowded(jobs.len()) {
                jobs.push(ended.job.clone());
            }
        }
        jobs
    }
}

fn describe_ended(record: &Record) -> Option<Ended> {
    let State::Ended { end, at, .. } = &record.state else { return None };
    if matches!(end, End::Unknown { .. }) {
        return None;
    }
    Some(Ended { job: record.spec.id.clone(), at: *at, line: Line::of_job(record)? })
}

impl Entry {
    /// Writes the lines of ended jobs and archives the jobs, for all shards that this entry owns.
    pub async fn keep_ledger(self: Arc<Self>) {
        let round = Millis(u64::from(self.settings.job_shards) * 1_000 / APPENDS_PER_SECOND);
        let round = round.0.max(SHORTEST_ROUND.0);
        let (mut writer, mut duty) = (SegmentWriter::default(), DutyWriter::default());
        while !self.is_stopping() {
            let owned = self.shards.owned();
            writer.retain(&owned);
            for shard in owned {
                self.write_job_lines(&mut writer, shard).await;
            }
            self.write_urgent_lines(&mut writer, false).await;
            if self.has_duty() {
                // Without success the cursor keeps the lines for the next round, here or at another entry.
                let _ = duty.write(&self, &mut writer).await;
            }
            task::sleep(Millis(round).to_duration()).await;
        }
    }

    async fn write_job_lines(self: &Arc<Self>, writer: &mut SegmentWriter, shard: ShardId) {
        // The index of the current month shows that a month without lines is complete.
        if writer.open_month(self, shard, Month::of(self.clock.wall())).await.is_err() {
            return;
        }
        let Some(mut seen) = self.shards.read(shard, Seen::of) else { return };
        let mut months = BTreeMap::<Month, Vec<Line>>::new();
        for ended in seen.ended.iter().filter(|ended| !writer.is_written(shard, &ended.line.key())) {
            months.entry(Month::of(ended.line.at())).or_default().push(ended.line.clone());
        }
        for (month, lines) in months {
            // Without success the jobs stay in the journal, so that the next round finds them again.
            if writer.append_all(self, shard, month, &lines, MAX_BATCH_LINES).await.is_err() {
                return;
            }
        }
        let is_stored = |line: &Line| writer.is_written(shard, &line.key());
        let jobs = seen.find_archivable(is_stored, self.settings.answer_retention, self.clock.wall());
        let kept: Vec<LineKey> = seen.ended.iter().map(|ended| ended.line.key()).collect();
        writer.retain_written(shard, |key| kept.contains(key));
        if !jobs.is_empty() {
            let archive = JobCommand::Archive { jobs, at: self.clock.wall() };
            // Without an outcome, the next round archives the jobs again, which changes nothing.
            let _ = self.submit_as_owner(shard, vec![archive]).await;
        }
    }
}
