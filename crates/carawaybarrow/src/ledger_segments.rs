//! Appends to ledger segments in the store.

use std::collections::{BTreeMap, BTreeSet};

use carawaybarrow_core::commit::{Commit, DecodeError, Document, NotWritten, RecentChanges};
use carawaybarrow_core::ids::{ShardId, StoreVersion};
use carawaybarrow_core::ledger::{
    Append, AppendOutcome, IndexCommand, IndexOutcome, Line, LineKey, Month, Segment, SegmentId, SegmentIndex,
};

use crate::entry::Entry;
use crate::store::{self, CommitError, Committed};

/// Maximum number of store calls per commit. The next round repeats a failed one, so that an outage does not delay the
/// other shards.
const MAX_STORE_CALLS: u32 = 6;

/// Maximum number of segments that one append opens before it is left to the next round.
const MAX_OPENED: u32 = 2;

/// An append that creates its segment only if this entry opened the segment.
#[derive(Clone, Debug)]
struct GuardedAppend {
    append: Append,
    create: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum GuardedOutcome {
    Append(AppendOutcome),
    /// The segment isn't in the store although it may have been written before.
    Gone,
}

/// A segment that is not recreated after a loss, because the month report would then not detect the loss.
#[derive(Clone, Debug, Default)]
struct GuardedSegment(Segment);

impl Document for GuardedSegment {
    type Command = GuardedAppend;
    type Outcome = GuardedOutcome;

    fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        Segment::decode(bytes).map(Self)
    }

    fn encode(&self) -> Vec<u8> {
        self.0.encode()
    }

    fn apply(&mut self, command: &GuardedAppend) -> GuardedOutcome {
        if self.0.id().is_none() && !command.create {
            return GuardedOutcome::Gone;
        }
        GuardedOutcome::Append(self.0.apply(&command.append))
    }

    fn is_change(outcome: &GuardedOutcome) -> bool {
        matches!(outcome, GuardedOutcome::Append(outcome) if Segment::is_change(outcome))
    }

    fn recent(&self) -> &RecentChanges {
        self.0.recent()
    }

    fn recent_mut(&mut self) -> &mut RecentChanges {
        self.0.recent_mut()
    }
}

/// Position in the segments of a month and shard where lines are appended.
#[derive(Debug, Default)]
struct AppendPosition {
    /// Number of segments in the index; lines are appended to the last one.
    segments: u32,
    /// Whether this entry opened the last segment and no append to it has been confirmed yet.
    create: bool,
    /// The last segment as written by this entry.
    base: Option<(StoreVersion, GuardedSegment)>,
}

/// State of the ledger appends of this entry.
#[derive(Debug, Default)]
pub struct SegmentWriter {
    positions: BTreeMap<(ShardId, Month), AppendPosition>,
    written: BTreeMap<ShardId, BTreeSet<LineKey>>,
    /// Whether the last append was successful; the log gets a line only when this changes.
    is_storing: bool,
}

impl SegmentWriter {
    /// Drops the state of the shards that are not in `owned`.
    pub fn retain(&mut self, owned: &[ShardId]) {
        self.positions.retain(|(shard, _), _| owned.contains(shard));
        self.written.retain(|shard, _| owned.contains(shard));
    }

    /// Whether the line with this key is known to be stored.
    #[must_use]
    pub fn is_written(&self, shard: ShardId, key: &LineKey) -> bool {
        self.written.get(&shard).is_some_and(|keys| keys.contains(key))
    }

    /// Drops the keys of stored lines that `is_kept` doesn't keep, because they will not be queried again.
    pub fn retain_written(&mut self, shard: ShardId, is_kept: impl Fn(&LineKey) -> bool) {
        if let Some(keys) = self.written.get_mut(&shard) {
            keys.retain(|key| is_kept(key));
        }
    }

    /// Creates the index of a month if it is absent, and records the lines of its last segment as stored.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached.
    pub async fn open_month(&mut self, entry: &Entry, shard: ShardId, month: Month) -> Result<(), CommitError> {
        if self.positions.contains_key(&(shard, month)) {
            return Ok(());
        }
        let index = commit_index(entry, shard, month, IndexCommand::Create).await?.document;
        let mut position = AppendPosition { segments: index.segments(), create: false, base: None };
        if let Some(n) = index.segments().checked_sub(1) {
            let key = SegmentId { month, shard, n }.key();
            let unavailable = CommitError::NotWritten { reason: NotWritten::StoreUnavailable };
            let stored = entry.store.get(&key).await.map_err(|_unanswered| unavailable)?;
            if let Some((version, Ok(segment))) = stored.map(|s| (s.version, GuardedSegment::decode(&s.bytes))) {
                self.written.entry(shard).or_default().extend(segment.0.lines().iter().map(Line::key));
                position.base = Some((version, segment));
            }
        }
        self.positions.insert((shard, month), position);
        Ok(())
    }

    /// Appends lines of one month in batches, and records them as stored.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached; the lines may be stored nevertheless.
    pub async fn append_all(
        &mut self,
        entry: &Entry,
        shard: ShardId,
        month: Month,
        lines: &[Line],
        batch_lines: usize,
    ) -> Result<(), CommitError> {
        for batch in lines.chunks(batch_lines) {
            let stored = self.append(entry, shard, month, batch).await;
            if stored.is_ok() != self.is_storing {
                self.is_storing = stored.is_ok();
                log::info!(storing = stored.is_ok(); "appends to the ledger began to succeed or to fail");
            }
            match stored {
                Ok(()) => entry.metrics.count_ledger_lines(batch.len()),
                Err(e) => {
                    entry.metrics.count_ledger_failure();
                    return Err(e);
                }
            }
        }
        Ok(())
    }

    async fn append(&mut self, entry: &Entry, shard: ShardId, month: Month, lines: &[Line]) -> Result<(), CommitError> {
        self.open_month(entry, shard, month).await?;
        let Some(position) = self.positions.get_mut(&(shard, month)) else { return Err(CommitError::Unknown) };
        for _ in 0..=MAX_OPENED {
            if position.segments > 0 && position.append(entry, shard, month, lines).await? {
                self.written.entry(shard).or_default().extend(lines.iter().map(Line::key));
                return Ok(());
            }
            position.open_next(entry, shard, month).await?;
        }
        Err(CommitError::NotWritten { reason: NotWritten::TooManyConflicts })
    }
}

impl AppendPosition {
    /// Appends to the last segment; returns `false` if the segment takes no more lines.
    async fn append(
        &mut self,
        entry: &Entry,
        shard: ShardId,
        month: Month,
        lines: &[Line],
    ) -> Result<bool, CommitError> {
        let place = SegmentId { month, shard, n: self.segments - 1 };
        let append = Append { place, lines: lines.to_vec() };
        let command = GuardedAppend { append, create: self.create };
        let mut commit = Commit::new(entry.new_change_id(), vec![command]).with_attempts(MAX_STORE_CALLS);
        if let Some((version, document)) = &self.base {
            commit = commit.with_base(*version, document.clone());
        }
        let Committed { outcomes, version, document } =
            store::run_commit::<GuardedSegment>(&*entry.store, &place.key(), commit).await?;
        let is_stored = matches!(
            outcomes.first(),
            Some(GuardedOutcome::Append(AppendOutcome::Appended | AppendOutcome::NothingToAppend))
        );
        if is_stored {
            self.create = false;
            self.base = Some((version, document));
        } else {
            log::info!(segment:% = place.key(), outcome:? = outcomes; "ledger segment takes no more lines");
        }
        Ok(is_stored)
    }

    async fn open_next(&mut self, entry: &Entry, shard: ShardId, month: Month) -> Result<(), CommitError> {
        let n = self.segments;
        let committed = commit_index(entry, shard, month, IndexCommand::Open { n }).await?;
        // A segment that another entry opened may have been written, so its absence would be a loss.
        self.create = committed.outcomes.first() == Some(&IndexOutcome::Opened);
        self.segments = committed.document.segments();
        self.base = None;
        Ok(())
    }
}

async fn commit_index(
    entry: &Entry,
    shard: ShardId,
    month: Month,
    command: IndexCommand,
) -> Result<Committed<SegmentIndex>, CommitError> {
    let commit = Commit::new(entry.new_change_id(), vec![command]).with_attempts(MAX_STORE_CALLS);
    store::run_commit(&*entry.store, &SegmentId::index_key(month, shard), commit).await
}
