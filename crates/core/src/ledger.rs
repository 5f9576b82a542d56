//! The ledger: append-only segments that record the events of each month.
//!
//! The owner of a job shard appends [`Line`]s to a [`Segment`] of the line's month. It opens a segment in the
//! [`SegmentIndex`] before it writes it, so that the loss of a segment is detected. A line may be appended twice, by an
//! owner and its successor; both copies have the same [`Line::key`].

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::commit::{self, DecodeError, Document, RecentChanges};
use crate::ids::ShardId;

pub use crate::ledger_line::{DrainEvent, JobLine, JobResult, Line, LineKey, Month, MonthError, OPEN_TEAM, UrgentLine};

/// Maximum size of a stored segment, in bytes.
pub const MAX_SEGMENT_BYTES: usize = 512_000;

/// Bytes of a segment that are reserved for the ring of change ids and the [`SegmentId`].
pub const SEGMENT_OVERHEAD_BYTES: usize = 20_000;

/// Identifies a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SegmentId {
    /// Month of the segment's lines.
    pub month: Month,
    /// Job shard whose owner writes the segment.
    pub shard: ShardId,
    /// Number of the segment within its month and shard, from 0.
    pub n: u32,
}

impl SegmentId {
    /// Store key of the segment.
    #[must_use]
    pub fn key(&self) -> SmolStr {
        format_smolstr!("ledger/{}/{}/{}", self.month, self.shard, self.n)
    }

    /// Store key of the segment index of a month and shard.
    #[must_use]
    pub fn index_key(month: Month, shard: ShardId) -> SmolStr {
        format_smolstr!("ledger/{month}/{shard}/index")
    }
}

/// Command that adds lines to a segment, all or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Segment to append to.
    pub place: SegmentId,
    /// Lines to add.
    pub lines: Vec<Line>,
}

/// Result of an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum AppendOutcome {
    /// The lines were added to the segment.
    Appended,
    /// The command had no lines.
    NothingToAppend,
    /// The segment has no room; the lines belong in the next one.
    Full,
    /// The lines don't fit in an empty segment and must be split.
    TooLarge,
    /// The stored document is another segment.
    Misplaced {
        /// Id of the stored segment.
        place: SegmentId,
    },
    /// A line belongs to another month than the segment.
    OtherMonth {
        /// Month of that line.
        month: Month,
    },
}

/// A segment of the lines of one month and shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    place: Option<SegmentId>,
    lines: Vec<Line>,
    /// Size of the lines in the stored form, in bytes.
    bytes: usize,
    recent: RecentChanges,
}

impl Segment {
    /// Id of the segment, stored as `place`; `None` before the first append.
    #[must_use]
    pub const fn id(&self) -> Option<SegmentId> {
        self.place
    }

    /// Lines in the order in which they were appended.
    #[must_use]
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }
}

impl Document for Segment {
    type Command = Append;
    type Outcome = AppendOutcome;

    fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        commit::decode_json("ledger segment", bytes)
    }

    fn encode(&self) -> Vec<u8> {
        commit::encode_json(self)
    }

    fn apply(&mut self, append: &Append) -> AppendOutcome {
        if append.lines.is_empty() {
            return AppendOutcome::NothingToAppend;
        }
        if let Some(place) = self.place.filter(|p| *p != append.place) {
            return AppendOutcome::Misplaced { place };
        }
        let mut months = append.lines.iter().map(|l| Month::of(l.at()));
        if let Some(month) = months.find(|m| *m != append.place.month) {
            return AppendOutcome::OtherMonth { month };
        }
        // Each line is followed by a comma.
        let bytes: usize = append.lines.iter().map(|l| l.to_json().len() + 1).sum();
        let room = MAX_SEGMENT_BYTES - SEGMENT_OVERHEAD_BYTES;
        match (bytes > room, self.bytes + bytes > room) {
            (true, _) => return AppendOutcome::TooLarge,
            (false, true) => return AppendOutcome::Full,
            (false, false) => {}
        }
        self.place = Some(append.place);
        self.bytes += bytes;
        self.lines.extend(append.lines.iter().cloned());
        AppendOutcome::Appended
    }

    fn is_change(outcome: &AppendOutcome) -> bool {
        *outcome == AppendOutcome::Appended
    }

    fn recent(&self) -> &RecentChanges {
        &self.recent
    }

    fn recent_mut(&mut self) -> &mut RecentChanges {
        &mut self.recent
    }
}

/// Command to the segment index of a month and shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum IndexCommand {
    /// Creates an index without segments, so that a month without lines can be told from a lost index.
    Create,
    /// Opens the next segment. The segment itself is written only afterwards.
    Open {
        /// Number of the segment.
        n: u32,
    },
}

/// Result of a command to the segment index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum IndexOutcome {
    /// The index was created.
    Created,
    /// The segment was opened and may be written.
    Opened,
    /// The index or the segment already existed; the segment may be written.
    AlreadyThere,
    /// The segment isn't the next one to open.
    OutOfOrder {
        /// Number of the next segment to open.
        next: u32,
    },
}

/// Records how many segments a month and shard has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentIndex {
    created: bool,
    segments: u32,
    recent: RecentChanges,
}

impl SegmentIndex {
    /// Number of opened segments; they are numbered from 0.
    #[must_use]
    pub const fn segments(&self) -> u32 {
        self.segments
    }
}

impl Document for SegmentIndex {
    type Command = IndexCommand;
    type Outcome = IndexOutcome;

    fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        commit::decode_json("ledger index", bytes)
    }

    fn encode(&self) -> Vec<u8> {
        commit::encode_json(self)
    }

    fn apply(&mut self, command: &IndexCommand) -> IndexOutcome {
        match *command {
            IndexCommand::Create if self.created => IndexOutcome::AlreadyThere,
            IndexCommand::Create => {
                self.created = true;
                IndexOutcome::Created
            }
            IndexCommand::Open { n } if n < self.segments => IndexOutcome::AlreadyThere,
            IndexCommand::Open { n } if n > self.segments => IndexOutcome::OutOfOrder { next: self.segments },
            IndexCommand::Open { .. } => {
                self.created = true;
                self.segments += 1;
                IndexOutcome::Opened
            }
        }
    }

    fn is_change(outcome: &IndexOutcome) -> bool {
        matches!(outcome, IndexOutcome::Created | IndexOutcome::Opened)
    }

    fn recent(&self) -> &RecentChanges {
        &self.recent
    }

    fn recent_mut(&mut self) -> &mut RecentChanges {
        &mut self.recent
    }
}
