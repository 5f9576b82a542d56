//! The month report: the lines of all shards in one order, totals, and what is missing.
//!
//! The report depends only on the stored segments, so every entry prints the same bytes.

use std::collections::BTreeMap;
use std::fmt::{self, Write};

use crate::commit::Document;
use crate::ids::{ClassId, ShardId, TeamId};
use crate::ledger::{JobLine, JobResult, Line, LineKey, Month, Segment, SegmentId, SegmentIndex, UrgentLine};
use crate::report_row::{COLUMNS, row_of_gap, row_of_line, row_of_sum, row_of_total, show_team, write_sum};

/// What a read of a stored document gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fetched {
    /// The stored bytes.
    Bytes(Vec<u8>),
    /// The store has no such key.
    Absent,
    /// The store did not answer.
    NotRead,
}

/// What was read of one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardInput {
    /// Index of the month.
    pub index: Fetched,
    /// Segments by number.
    pub segments: BTreeMap<u32, Fetched>,
}

/// Why a document is missing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The store has no such key.
    Absent,
    /// The store did not answer.
    NotRead,
    /// The bytes can't be decoded.
    Undecodable(String),
    /// The segment belongs elsewhere.
    Misplaced(SegmentId),
}

/// Something that the report lacks or can't settle.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Gap {
    /// Without its index, a shard may have more segments than those that were read.
    Index {
        /// Shard.
        shard: ShardId,
        /// Why.
        cause: Cause,
    },
    /// The lines of a segment are not in the report.
    Segment {
        /// Shard.
        shard: ShardId,
        /// Number.
        n: u32,
        /// Why.
        cause: Cause,
    },
    /// Two lines about the same event differ; the report counts the first one in order.
    Conflict {
        /// What both lines are about.
        key: LineKey,
    },
}

/// Number of jobs and their times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// Jobs.
    pub count: u64,
    /// Times from request to start, in milliseconds.
    pub wait_ms: u64,
    /// Times from start to end, in milliseconds.
    pub run_ms: u64,
}

/// Team, class and result of a total.
pub type TotalKey = (Option<TeamId>, ClassId, JobResult);

/// Report of one month.
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

fn decode<D: Document>(fetched: Option<&Fetched>) -> Result<D, Cause> {
    match fetched {
        Some(Fetched::Bytes(bytes)) => D::decode(bytes).map_err(|e| Cause::Undecodable(e.message)),
        Some(Fetched::Absent) => Err(Cause::Absent),
        Some(Fetched::NotRead) | None => Err(Cause::NotRead),
    }
}

fn decode_segment(fetched: Option<&Fetched>, place: SegmentId) -> Result<Segment, Cause> {
    let segment: Segment = decode(fetched)?;
    match segment.id() {
        Some(other) if other != place => Err(Cause::Misplaced(other)),
        _ => Ok(segment),
    }
}

/// Whether the second line settles the unknown outcome that the first one states.
fn settles(first: &Line, second: &Line) -> bool {
    match (first, second) {
        (Line::Job(a), Line::Job(b)) => {
            a.result == JobResult::Unknown && a.resolved.is_none() && b.resolved.is_some() && a.ended == b.ended
        }
        _ => false,
    }
}

#[derive(Default)]
struct Merge {
    lines: BTreeMap<LineKey, Vec<Line>>,
    gaps: Vec<Gap>,
}

impl Merge {
    fn take_shard(&mut self, month: Month, shard: ShardId, input: Option<&ShardInput>) {
        let listed = match decode::<SegmentIndex>(input.map(|i| &i.index)) {
            Ok(index) => index.segments(),
            Err(cause) => {
                self.gaps.push(Gap::Index { shard, cause });
                0
            }
        };
        // Segments that were read count even if the index doesn't list them.
        let read = input.and_then(|i| i.segments.iter().rev().find(|(_, f)| matches!(f, Fetched::Bytes(_))));
        let count = listed.max(read.map_or(0, |(n, _)| n.saturating_add(1)));
        for n in 0..count {
            let fetched = input.and_then(|i| i.segments.get(&n));
            match decode_segment(fetched, SegmentId { month, shard, n }) {
                Ok(segment) => segment.lines().iter().for_each(|l| self.take_line(l)),
                Err(cause) => self.gaps.push(Gap::Segment { shard, n, cause }),
            }
        }
    }

    fn take_line(&mut self, line: &Line) {
        let same = self.lines.entry(line.key()).or_default();
        if !same.contains(line) {
            same.push(line.clone());
        }
    }

    /// Keeps one line an event. The choice doesn't depend on the order in which the lines came.
    fn choose_lines(&mut self) -> Vec<Line> {
        let mut chosen = Vec::new();
        for (key, same) in std::mem::take(&mut self.lines) {
            let mut open: Vec<_> = same.iter().filter(|l| !same.iter().any(|other| settles(l, other))).collect();
            open.sort_by_cached_key(|l| l.to_json());
            if open.len() > 1 {
                self.gaps.push(Gap::Conflict { key });
            }
            chosen.extend(open.first().map(|l| (*l).clone()));
        }
        // Lines of the same time stay in the order of their keys.
        chosen.sort_by_key(Line::at);
        chosen
    }
}

impl MonthReport {
    /// Merges what was read of the shards `0..shards`. A shard without input counts as not read.
    #[must_use]
    pub fn new(month: Month, shards: u16, inputs: &BTreeMap<ShardId, ShardInput>) -> Self {
        let mut merge = Merge::default();
        for shard in (0..shards).map(ShardId) {
            merge.take_shard(month, shard, inputs.get(&shard));
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

    /// Lines in order of their time.
    #[must_use]
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    /// Totals of jobs.
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

    /// What is missing or contradictory; empty if the report is complete.
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
            csv.write_record(&row).expect("a vector takes each write, and all rows have the same length");
        }
        let bytes = csv.into_inner().expect("a vector takes each write");
        String::from_utf8(bytes).expect("the fields are text")
    }

    /// The report as text for printing.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        self.write_text(&mut text).expect("a string takes each write");
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
            write_sum(f, show_team(team.as_ref()), &class, &result, *sum)?;
        }
        write_sum(f, "all", "", "", self.total())?;
        writeln!(f, "\nLines ({})", self.lines.len())?;
        for line in &self.lines {
            let row = row_of_line(line);
            let fields: Vec<_> = COLUMNS.iter().zip(&row).skip(1).filter(|(_, v)| !v.is_empty()).collect();
            write!(f, "{:6}", row[0])?;
            // Line breaks in a reason would look like further lines.
            fields.iter().try_for_each(|(name, v)| write!(f, " {name}={}", v.escape_debug()))?;
            writeln!(f)?;
        }
        Ok(())
    }
}

impl fmt::Display for Cause {
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
