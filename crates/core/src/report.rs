//! Monthly report: the ledger lines of all shards in one order, their totals, and what is missing.
//!
//! The report depends only on the stored segments, so every entry produces the same bytes.

use std::collections::BTreeMap;
use std::fmt::{self, Write};

use crate::commit::Document;
use crate::ids::{ClassId, ShardId, TeamId};
use crate::ledger::{JobLine, JobResult, Line, LineKey, Month, Segment, SegmentId, SegmentIndex, UrgentLine};
use crate::report_row::{COLUMNS, format_team, row_of_gap, row_of_line, row_of_sum, row_of_total, write_sum};

/// Result of reading a stored document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fetched {
    /// The stored bytes.
    Bytes(Vec<u8>),
    /// The store has no such key.
    Absent,
    /// The store did not respond.
    NotRead,
}

/// Documents that were read of one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardInput {
    /// Segment index of the month.
    pub index: Fetched,
    /// Segments of the month by number.
    pub segments: BTreeMap<u32, Fetched>,
}

/// Why a document is missing from the report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GapCause {
    /// The store has no such key.
    Absent,
    /// The store did not respond.
    NotRead,
    /// The bytes can't be decoded.
    Undecodable(String),
    /// The document is a segment of another place, which it names.
    Misplaced(SegmentId),
}

/// Something that is missing from the report or contradictory.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Gap {
    /// The index of a shard is missing, so the shard may have more segments than those that were read.
    Index {
        /// Shard of the index.
        shard: ShardId,
        /// Why the index is missing.
        cause: GapCause,
    },
    /// A segment is missing, so its lines are not in the report.
    Segment {
        /// Shard of the segment.
        shard: ShardId,
        /// Number of the segment.
        n: u32,
        /// Why the segment is missing.
        cause: GapCause,
    },
    /// Lines about the same event differ; the report contains the one whose JSON text sorts first.
    Conflict {
        /// Key that the lines share.
        key: LineKey,
    },
}

/// Number of jobs and the sums of their wait and run times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// Number of jobs.
    pub count: u64,
    /// Sum of the wait times in milliseconds: from acceptance to the last claim for a durable job, from request to
    /// start for an urgent one.
    pub wait_ms: u64,
    /// Sum of the run times in milliseconds: from the last claim to the end for a durable job, from start to end for an
    /// urgent one.
    pub run_ms: u64,
}

/// Team, class and result by which jobs are totalled.
pub type TotalKey = (Option<TeamId>, ClassId, JobResult);

/// Merged ledger lines of one month, with their totals and gaps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MonthReport {
    month: Month,
    lines: Vec<Line>,
    totals: BTreeMap<TotalKey, Sum>,
    gaps: Vec<Gap>,
}

impl Sum {
    fn add(&mut self, other: Self) {
        self.count = self.count.saturating_add(other.count);
        self.wait_ms = self.wait_ms.saturating_add(other.wait_ms);
        self.run_ms = self.run_ms.saturating_add(other.run_ms);
    }

    /// Sum and total to which a line contributes; `None` if it isn't about jobs.
    fn of_line(line: &Line) -> Option<(TotalKey, Self)> {
        match line {
            Line::Job(j) => Some(((j.team.clone(), j.class.clone(), j.result), Self::of_job(j))),
            Line::Urgent(u) => {
                let UrgentLine { count, wait_ms, run_ms, .. } = *u;
                Some(((u.team.clone(), u.class.clone(), u.result), Self { count, wait_ms, run_ms }))
            }
            Line::Move { .. } | Line::Drain { .. } | Line::Change { .. } | Line::Key { .. } => None,
        }
    }

    pub(crate) fn of_job(job: &JobLine) -> Self {
        // A job that never started has neither time.
        let (wait, run) = job.started.map_or((0, 0), |s| (s.since(job.asked).0, job.ended.since(s).0));
        Self { count: 1, wait_ms: wait, run_ms: run }
    }
}

fn decode<D: Document>(fetched: Option<&Fetched>) -> Result<D, GapCause> {
    match fetched {
        Some(Fetched::Bytes(bytes)) => D::decode(bytes).map_err(|e| GapCause::Undecodable(e.message)),
        Some(Fetched::Absent) => Err(GapCause::Absent),
        Some(Fetched::NotRead) | None => Err(GapCause::NotRead),
    }
}

fn decode_segment(fetched: Option<&Fetched>, place: SegmentId) -> Result<Segment, GapCause> {
    let segment: Segment = decode(fetched)?;
    match segment.id() {
        Some(other) if other != place => Err(GapCause::Misplaced(other)),
        _ => Ok(segment),
    }
}

/// Whether the second line resolves the unknown outcome in the first one.
fn resolves(first: &Line, second: &Line) -> bool {
    match (first, second) {
        (Line::Job(a), Line::Job(b)) => {
            a.result == JobResult::Unknown && a.resolved.is_none() && b.resolved.is_some() && a.ended == b.ended
        }
        _ => false,
    }
}

/// Lines by key, and gaps, while the shards are merged.
#[derive(Default)]
struct Merge {
    lines: BTreeMap<LineKey, Vec<Line>>,
    gaps: Vec<Gap>,
}

impl Merge {
    fn add_shard(&mut self, month: Month, shard: ShardId, input: Option<&ShardInput>) {
        let listed = match decode::<SegmentIndex>(input.map(|i| &i.index)) {
            Ok(index) => index.segments(),
            Err(cause) => {
                self.gaps.push(Gap::Index { shard, cause });
                0
            }
        };
        // Segments that were read are included even if the index doesn't list them.
        let read = input.and_then(|i| i.segments.iter().rev().find(|(_, f)| matches!(f, Fetched::Bytes(_))));
        let count = listed.max(read.map_or(0, |(n, _)| n.saturating_add(1)));
        for n in 0..count {
            let fetched = input.and_then(|i| i.segments.get(&n));
            match decode_segment(fetched, SegmentId { month, shard, n }) {
                Ok(segment) => segment.lines().iter().for_each(|l| self.add_line(l)),
                Err(cause) => self.gaps.push(Gap::Segment { shard, n, cause }),
            }
        }
    }

    fn add_line(&mut self, line: &Line) {
        let same = self.lines.entry(line.key()).or_default();
        if !same.contains(line) {
            same.push(line.clone());
        }
    }

    /// Keeps one line of each event. The choice doesn't depend on the order in which the lines were added.
    fn choose_lines(&mut self) -> Vec<Line> {
        let mut chosen = Vec::new();
        for (key, same) in std::mem::take(&mut self.lines) {
            let mut remaining: Vec<_> = same.iter().filter(|l| !same.iter().any(|other| resolves(l, other))).collect();
            remaining.sort_by_cached_key(|l| l.to_json());
            if remaining.len() > 1 {
                self.gaps.push(Gap::Conflict { key });
            }
            chosen.extend(remaining.first().map(|l| (*l).clone()));
        }
        // The sort is stable, so lines with the same time stay in the order of their keys.
        chosen.sort_by_key(Line::at);
        chosen
    }
}

impl MonthReport {
    /// Creates the report from the documents of the shards `0..shards`. A shard without input counts as not read.
    #[must_use]
    pub fn new(month: Month, shards: u16, inputs: &BTreeMap<ShardId, ShardInput>) -> Self {
        let mut merge = Merge::default();
        for shard in (0..shards).map(ShardId) {
            merge.add_shard(month, shard, inputs.get(&shard));
        }
        let lines = merge.choose_lines();
        let mut totals = BTreeMap::<TotalKey, Sum>::new();
        for (key, sum) in lines.iter().filter_map(Sum::of_line) {
            totals.entry(key).or_default().add(sum);
        }
        let mut gaps = merge.gaps;
        gaps.sort();
        Self { month, lines, totals, gaps }
    }

    /// Lines in the order of their times.
    #[must_use]
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    /// Totals of jobs by team, class and result.
    #[must_use]
    pub const fn totals(&self) -> &BTreeMap<TotalKey, Sum> {
        &self.totals
    }

    /// Total of all jobs.
    #[must_use]
    pub fn total(&self) -> Sum {
        let mut total = Sum::default();
        self.totals.values().for_each(|sum| total.add(*sum));
        total
    }

    /// What is missing or contradictory; empty if the report is complete and consistent.
    #[must_use]
    pub fn gaps(&self) -> &[Gap] {
        &self.gaps
    }

    /// The report as CSV: gaps first, then lines, then totals.
    #[must_use]
    pub fn to_csv(&self) -> String {
        let mut csv = csv::WriterBuilder::new().from_writer(Vec::new());
        let rows = std::iter::once(COLUMNS.map(str::to_owned))
            .chain(self.gaps.iter().map(row_of_gap))
            .chain(self.lines.iter().map(row_of_line))
            .chain(self.totals.iter().map(|(key, sum)| row_of_total(key, *sum)))
            .chain([row_of_sum("all", self.total())]);
        for row in rows {
            csv.write_record(&row).expect("writing to a vector can't fail, and all rows have the same length");
        }
        let bytes = csv.into_inner().expect("flushing to a vector can't fail");
        String::from_utf8(bytes).expect("all fields are UTF-8")
    }

    /// The report as plain text.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        self.write_text(&mut text).expect("writing to a string can't fail");
        text
    }

    fn write_text(&self, f: &mut String) -> fmt::Result {
        writeln!(f, "Month report {}\n", self.month)?;
        if self.gaps.is_empty() {
            writeln!(f, "Complete: every listed segment was read.\n")?;
        } else {
            writeln!(f, "NOT COMPLETE")?;
            self.gaps.iter().try_for_each(|gap| writeln!(f, "  {gap}"))?;
            writeln!(f)?;
        }
        writeln!(f, "Totals of jobs")?;
        writeln!(f, "{:24} {:24} {:10} {:>12} {:>16} {:>16}", "team", "class", "result", "jobs", "wait ms", "run ms")?;
        for ((team, class, result), sum) in &self.totals {
            let (class, result) = (class.to_string(), result.to_string());
            write_sum(f, format_team(team.as_ref()), &class, &result, *sum)?;
        }
        write_sum(f, "all", "", "", self.total())?;
        writeln!(f, "\nLines ({})", self.lines.len())?;
        for line in &self.lines {
            let row = row_of_line(line);
            let fields: Vec<_> = COLUMNS.iter().zip(&row).skip(1).filter(|(_, v)| !v.is_empty()).collect();
            write!(f, "{:6}", row[0])?;
            // A line break in a field, such as a reason, would look like the start of another line.
            fields.iter().try_for_each(|(name, v)| write!(f, " {name}={}", v.escape_debug()))?;
            writeln!(f)?;
        }
        Ok(())
    }
}

impl fmt::Display for GapCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => f.write_str("it is not in the store"),
            Self::NotRead => f.write_str("the store did not answer"),
            Self::Undecodable(message) => write!(f, "it can't be decoded: {message}"),
            Self::Misplaced(place) => write!(f, "it holds the segment {}", place.key()),
        }
    }
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Index { shard, cause } => {
                write!(f, "index of shard {shard}: {cause}; the shard may have further segments")
            }
            Self::Segment { shard, n, cause } => {
                write!(f, "segment {n} of shard {shard}: {cause}; its lines are missing")
            }
            Self::Conflict { key } => write!(f, "two lines differ: {key}"),
        }
    }
}
