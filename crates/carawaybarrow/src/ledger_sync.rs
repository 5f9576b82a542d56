//! The loop in which an entry writes ledger lines, and the lines of durable jobs.
//!
//! The owner of a job shard writes the lines of its jobs. A job is archived only after its line is stored. After a
//! crash between the two, the next owner may write the line again; the month report counts lines with the same key
//! once.

use std::collections::BTreeMap;
use std::sync::Arc;

use async_std::task;
use carawaybarrow_core::ids::{JobId, ShardId};
use carawaybarrow_core::journal::{
    End, JobCommand, JobShard, MAX_JOBS, MAX_SHARD_BYTES, Record, State, StateCounts, StateName,
};
use carawaybarrow_core::ledger::{Line, LineKey, Month};
use carawaybarrow_core::units::{Millis, WallTime};

use crate::entry::Entry;
use crate::ledger_changes::ChangeLineWriter;
use crate::ledger_segments::SegmentWriter;

/// Appends per second by all owners together; a part of the 50 writes per second for ledger, payloads and results, out
/// of the writes per second that the platform's store allows.
const APPENDS_PER_SECOND: u64 = 10;

/// Minimum delay between two rounds of appends.
const SHORTEST_ROUND: Millis = Millis(1_000);

/// Maximum number of lines per append. A line takes at most about 1.5 KB, so they fit an empty segment.
const MAX_BATCH_LINES: usize = 200;

/// Number of jobs above which jobs are archived before the retention of their answers has passed.
const CROWDED_JOBS: usize = MAX_JOBS / 2;

/// Number of bytes above which jobs are archived before the retention of their answers has passed.
const CROWDED_BYTES: usize = MAX_SHARD_BYTES / 2;

/// An ended job and its ledger line.
struct EndedJob {
    job: JobId,
    at: WallTime,
    line: Line,
}

/// Ended jobs and size of a shard.
struct ShardSummary {
    ended: Vec<EndedJob>,
    jobs: usize,
    bytes: usize,
}

impl ShardSummary {
    fn of(document: &JobShard) -> Self {
        let counts: StateCounts = document.counts();
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

fn describe_ended(record: &Record) -> Option<EndedJob> {
    let State::Ended { end, at, .. } = &record.state else { return None };
    if matches!(end, End::Unknown { .. }) {
        return None;
    }
    Some(EndedJob { job: record.spec.id.clone(), at: *at, line: Line::of_job(record)? })
}

impl Entry {
    /// Writes the lines of ended jobs and archives the jobs, for all shards that this entry owns.
    pub async fn maintain_ledger(self: Arc<Self>) {
        let round = Millis(u64::from(self.settings.job_shards) * 1_000 / APPENDS_PER_SECOND);
        let round = round.0.max(SHORTEST_ROUND.0);
        let (mut writer, mut change_writer) = (SegmentWriter::default(), ChangeLineWriter::default());
        while !self.is_stopping() {
            let owned = self.shards.owned();
            writer.retain(&owned);
            for shard in owned {
                self.write_job_lines(&mut writer, shard).await;
            }
            self.write_urgent_lines(&mut writer, false).await;
            if self.is_coordinator() {
                // After a failure the cursor keeps the lines for the next round, here or at another entry.
                let _ = change_writer.write(&self, &mut writer).await;
            }
            task::sleep(Millis(round).to_duration()).await;
        }
    }

    async fn write_job_lines(self: &Arc<Self>, writer: &mut SegmentWriter, shard: ShardId) {
        // The month report needs the index of a month without lines to tell it from a lost one.
        if writer.open_month(self, shard, Month::of(self.clock.wall())).await.is_err() {
            return;
        }
        let Some(mut summary) = self.shards.read(shard, ShardSummary::of) else { return };
        let mut months = BTreeMap::<Month, Vec<Line>>::new();
        for ended in summary.ended.iter().filter(|ended| !writer.is_written(shard, &ended.line.key())) {
            months.entry(Month::of(ended.line.at())).or_default().push(ended.line.clone());
        }
        for (month, lines) in months {
            // After a failure the jobs stay in the journal, so the next round finds them again.
            if writer.append_all(self, shard, month, &lines, MAX_BATCH_LINES).await.is_err() {
                return;
            }
        }
        let is_stored = |line: &Line| writer.is_written(shard, &line.key());
        let jobs = summary.find_archivable(is_stored, self.settings.answer_retention, self.clock.wall());
        let kept: Vec<LineKey> = summary.ended.iter().map(|ended| ended.line.key()).collect();
        writer.retain_written(shard, |key| kept.contains(key));
        if !jobs.is_empty() {
            let archive = JobCommand::Archive { jobs, at: self.clock.wall() };
            // Without an outcome, the next round archives the jobs again, which changes nothing.
            let _ = self.submit_as_owner(shard, vec![archive]).await;
        }
    }
}
