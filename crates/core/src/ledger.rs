//! The ledger: what happened in each month, in append-only segments.
//!
//! The owner of a job shard appends [`Line`]s to a [`Segment`] of the line's month, and opens a segment in the
//! [`SegmentIndex`] before it writes it, so that a lost segment is noticed. A line may be appended twice, by an owner
//! and its successor; [`Line::key`] tells that both mean the same event.

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::commit::{self, DecodeError, Document, RecentChanges};
use crate::ids::ShardId;

pub use crate::ledger_line::{DrainEvent, JobLine, JobResult, Line, LineKey, Month, MonthError, OPEN_TEAM, UrgentLine};

/// Largest segment in the store, in bytes.
pub const MAX_SEGMENT_BYTES: usize = 512_000;

/// Bytes of a segment that are set aside for the ring of change ids and the place.
pub const SEGMENT_OVERHEAD_BYTES: usize = 20_000;

/// Where a segment belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Month of its lines.
    pub month: Month,
    /// Shard whose owner writes it.
    pub shard: ShardId,
    /// Number within month and shard, from 0.
    pub n: u32,
}

impl Place {
    /// Store key of the segment.
    #[must_use]
    pub fn key(&self) -> SmolStr {
        format_smolstr!("ledger/{}/{}/{}", self.month, self.shard, self.n)
    }

    /// Store key of the index of a month and shard.
    #[must_use]
    pub fn index_key(month: Month, shard: ShardId) -> SmolStr {
        format_smolstr!("ledger/{month}/{shard}/index")
    }
}

/// Lines to add to a segment, all or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Where the segment belongs.
    pub place: Place,
    /// Lines.
    pub lines: Vec<Line>,
}

/// What became of an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum AppendOutcome {
    /// The lines are in the segment.
    Appended,
    /// There were no lines to append.
    NothingToAppend,
    /// The segment has no room: open the next one.
    Full,
    /// The lines don't fit an empty segment: append them in parts.
    TooLarge,
    /// The stored segment belongs elsewhere.
    Misplaced {
        /// Where it belongs.
        place: Place,
    },
    /// A line belongs to another month.
    OtherMonth {
        /// Month of the line.
        month: Month,
    },
}

/// Lines of one month and shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    place: Option<Place>,
    lines: Vec<Line>,
    /// Bytes of the lines in the stored form.
    bytes: usize,
    recent: RecentChanges,
}

impl Segment {
    /// Where the segment belongs; `None` before the first append.
    #[must_use]
    pub const fn place(&self) -> Option<Place> {
        self.place
    }

    /// Lines in the order of their appends.
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

/// A change to the index of a month and shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum IndexCommand {
    /// Creates the index without segments, so that a month without lines differs from a lost index.
    Create,
    /// Opens a segment, which is the next one. It is written only afterwards.
    Open {
        /// Number of the segment.
        n: u32,
    },
}

/// What became of a change to the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum IndexOutcome {
    /// The index is new.
    Created,
    /// The segment may be written.
    Opened,
    /// The index or the segment was there already; a segment may be written.
    AlreadyThere,
    /// An earlier segment is not open.
    OutOfOrder {
        /// The next segment.
        next: u32,
    },
}

/// Which segments a month and shard has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentIndex {
    created: bool,
    segments: u32,
    recent: RecentChanges,
}

impl SegmentIndex {
    /// Number of open segments; they are numbered from 0.
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
