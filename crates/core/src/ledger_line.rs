//! Lines of the ledger, and the months they belong to.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::{OptionExt, Snafu};
use time::OffsetDateTime;

use crate::commit;
use crate::config::{Change, ChangeRecord};
use crate::ids::{ClassId, EntryId, Incarnation, JobId, KeyId, OperatorId, PoolId, QueueId, Revision, TeamId, VmId};
use crate::job::{MAX_INLINE_BYTES, Ran};
use crate::journal::{Record, Resolved, State, StateName};
use crate::units::WallTime;

/// Milliseconds of the span that one urgent line covers.
const MINUTE_MS: u64 = 60_000;

/// A text that isn't a month.
#[derive(Debug, Snafu)]
#[snafu(display("{text:?} is not a month such as 2026-04"))]
pub struct MonthError {
    text: String,
}

/// A calendar month in UTC.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Month {
    year: u16,
    month: u8,
}

/// Calendar form of a time; times after the year 9999 count as its last moment.
pub(crate) fn to_calendar(at: WallTime) -> OffsetDateTime {
    const LAST_MS: u64 = 253_402_300_799_999;
    let nanos = i128::from(at.0.min(LAST_MS)) * 1_000_000;
    OffsetDateTime::from_unix_timestamp_nanos(nanos).unwrap_or(OffsetDateTime::UNIX_EPOCH)
}

impl Month {
    /// Month of a time.
    #[must_use]
    pub fn of(at: WallTime) -> Self {
        let date = to_calendar(at);
        // The calendar's years run from 1970 to 9999 here.
        Self { year: date.year() as u16, month: date.month().into() }
    }
}

impl fmt::Display for Month {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04}-{:02}", self.year, self.month)
    }
}

impl FromStr for Month {
    type Err = MonthError;

    fn from_str(text: &str) -> Result<Self, MonthError> {
        let cx = MonthSnafu { text };
        let (year, month) = text.split_once('-').context(cx)?;
        let is_number = |t: &str, len| t.len() == len && t.bytes().all(|b| b.is_ascii_digit());
        if !is_number(year, 4) || !is_number(month, 2) {
            return cx.fail();
        }
        let (year, month) = (year.parse().ok().context(cx)?, month.parse().ok().context(cx)?);
        if !(1970..=9999).contains(&year) || !(1..=12).contains(&month) {
            return cx.fail();
        }
        Ok(Self { year, month })
    }
}

/// How jobs of a line ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobResult {
    /// Ran and gave an answer.
    Done,
    /// Can't run, or ran and failed.
    Failed,
    /// Cancelled by the caller.
    Cancelled,
    /// May have run.
    Unknown,
    /// Refused; nothing ran.
    Refused,
}

impl fmt::Display for JobResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
            Self::Unknown => "unknown",
            Self::Refused => "refused",
        })
    }
}

/// One durable job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobLine {
    /// Job.
    pub job: JobId,
    /// Team; absent on queues open to all.
    pub team: Option<TeamId>,
    /// Class.
    pub class: ClassId,
    /// Queue.
    pub queue: QueueId,
    /// When it was accepted.
    pub asked: WallTime,
    /// When its last attempt was claimed; absent if it never ran.
    pub started: Option<WallTime>,
    /// When it ended.
    pub ended: WallTime,
    /// VM of the last attempt.
    pub vm: Option<VmId>,
    /// How it ended.
    pub result: JobResult,
    /// Whether it ran.
    pub ran: Ran,
    /// Why it failed or is unknown.
    pub reason: Option<SmolStr>,
    /// Who resolved an unknown outcome.
    pub resolved: Option<Resolved>,
}

/// Urgent jobs of one entry that ended in the same minute in the same way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UrgentLine {
    /// Start of the minute.
    pub minute: WallTime,
    /// Entry that ran the jobs.
    pub entry: EntryId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Team; absent on queues open to all.
    pub team: Option<TeamId>,
    /// Class.
    pub class: ClassId,
    /// How they ended.
    pub result: JobResult,
    /// Number of jobs.
    pub count: u64,
    /// Sum of the times from request to start, in milliseconds.
    pub wait_ms: u64,
    /// Sum of the times from start to end, in milliseconds.
    pub run_ms: u64,
}

impl UrgentLine {
    /// Start of the minute of a time.
    #[must_use]
    pub const fn minute_of(at: WallTime) -> WallTime {
        WallTime(at.0 - at.0 % MINUTE_MS)
    }
}

/// What happened to a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainEvent {
    /// The VM got its drain permit.
    Granted,
    /// The VM returned.
    Returned,
    /// The VM failed.
    Failed,
}

/// One line of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "snake_case")]
pub enum Line {
    /// A durable job.
    Job(JobLine),
    /// Urgent jobs of one minute.
    Urgent(UrgentLine),
    /// A VM changed pool.
    Move {
        /// When.
        at: WallTime,
        /// VM.
        vm: VmId,
        /// Pool before; absent for a new VM.
        from: Option<PoolId>,
        /// Pool after; absent for a VM that left.
        to: Option<PoolId>,
        /// Why.
        reason: SmolStr,
    },
    /// A VM drained or returned.
    Drain {
        /// When.
        at: WallTime,
        /// VM.
        vm: VmId,
        /// Its pool.
        pool: PoolId,
        /// What happened.
        event: DrainEvent,
        /// Why.
        reason: SmolStr,
    },
    /// A configuration change other than of a key.
    Change {
        /// When.
        at: WallTime,
        /// Revision that it made.
        revision: Revision,
        /// Who asked for it.
        by: OperatorId,
        /// The change as JSON, cut to 4 KB.
        change: String,
    },
    /// A key was given or withdrawn.
    Key {
        /// When.
        at: WallTime,
        /// Revision that it made.
        revision: Revision,
        /// Who asked for it.
        by: OperatorId,
        /// Key.
        key: KeyId,
        /// Team that got the key; absent if the key was withdrawn.
        given_to: Option<TeamId>,
    },
}

/// What a line is about: two lines of one key describe the same event.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LineKey {
    /// A job. The same request gets the same job id again after the retention, so the time belongs to the key.
    Job(JobId, WallTime),
    /// Urgent jobs.
    Urgent(WallTime, EntryId, Incarnation, Option<TeamId>, ClassId, JobResult),
    /// A revision of the configuration.
    Revision(Revision),
    /// An event of the fleet, by its whole content.
    Fleet(String),
}

impl Line {
    /// Line of a job; `None` if the job has not ended.
    #[must_use]
    pub fn of_job(record: &Record) -> Option<Self> {
        let State::Ended { end, at, claim, resolved } = &record.state else { return None };
        let result = match end.name() {
            StateName::Done => JobResult::Done,
            StateName::Failed => JobResult::Failed,
            StateName::Cancelled => JobResult::Cancelled,
            StateName::Unknown => JobResult::Unknown,
            StateName::Waiting | StateName::Claimed => return None,
        };
        let attempt = claim.as_ref().filter(|_| end.ran() != Ran::No);
        let spec = record.spec.clone();
        Some(Self::Job(JobLine {
            job: spec.id,
            team: spec.team,
            class: spec.class,
            queue: spec.queue,
            asked: spec.accepted_at,
            started: attempt.map(|c| c.at),
            ended: *at,
            vm: attempt.map(|c| c.vm.clone()),
            result,
            ran: end.ran(),
            reason: end.reason().cloned(),
            resolved: resolved.clone(),
        }))
    }

    /// Line of an accepted configuration change. The hash of a key is left out.
    #[must_use]
    pub fn of_change(record: &ChangeRecord) -> Self {
        let ChangeRecord { revision, by, at, change } = record.clone();
        match change {
            Change::GiveKey { id, value } => Self::Key { at, revision, by, key: id, given_to: Some(value.team) },
            Change::WithdrawKey { id } => Self::Key { at, revision, by, key: id, given_to: None },
            other => {
                let text = String::from_utf8_lossy(&commit::encode_json(&other)).into_owned();
                Self::Change { at, revision, by, change: cut_change(text) }
            }
        }
    }

    /// When the event happened; it decides the month of the line.
    #[must_use]
    pub const fn at(&self) -> WallTime {
        match self {
            Self::Job(job) => job.ended,
            Self::Urgent(urgent) => urgent.minute,
            Self::Move { at, .. } | Self::Drain { at, .. } | Self::Change { at, .. } | Self::Key { at, .. } => *at,
        }
    }

    /// What the line is about.
    #[must_use]
    pub fn key(&self) -> LineKey {
        match self {
            Self::Job(j) => LineKey::Job(j.job.clone(), j.asked),
            Self::Urgent(u) => {
                let (entry, team, class) = (u.entry.clone(), u.team.clone(), u.class.clone());
                LineKey::Urgent(u.minute, entry, u.incarnation, team, class, u.result)
            }
            Self::Change { revision, .. } | Self::Key { revision, .. } => LineKey::Revision(*revision),
            Self::Move { .. } | Self::Drain { .. } => LineKey::Fleet(self.to_json()),
        }
    }

    /// Stored form, which also orders contradictory lines.
    #[must_use]
    pub(crate) fn to_json(&self) -> String {
        String::from_utf8_lossy(&commit::encode_json(self)).into_owned()
    }
}

fn cut_change(mut text: String) -> String {
    if text.len() > MAX_INLINE_BYTES {
        text.truncate(text.floor_char_boundary(MAX_INLINE_BYTES));
        text.push_str(" (cut)");
    }
    text
}

impl fmt::Display for LineKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Job(job, asked) => write!(f, "job {job} asked at {}", asked.0),
            Self::Urgent(minute, entry, incarnation, team, class, result) => {
                let team = team.as_ref().map_or(OPEN_TEAM, TeamId::as_str);
                write!(f, "urgent jobs of {entry}/{incarnation} at {}: {team} {class} {result}", minute.0)
            }
            Self::Revision(revision) => write!(f, "revision {revision}"),
            Self::Fleet(text) => f.write_str(text),
        }
    }
}

/// Shown in place of a team for work on queues open to all; parentheses can't occur in a team's name.
pub const OPEN_TEAM: &str = "(open)";
