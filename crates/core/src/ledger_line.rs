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

/// Time span that one urgent line covers, in milliseconds.
const MINUTE_MS: u64 = 60_000;

/// The text is not a month.
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

/// Converts a time to its calendar form; times after the year 9999 become the last millisecond of that year.
pub(crate) fn to_calendar(at: WallTime) -> OffsetDateTime {
    const LAST_MS: u64 = 253_402_300_799_999;
    let nanos = i128::from(at.0.min(LAST_MS)) * 1_000_000;
    OffsetDateTime::from_unix_timestamp_nanos(nanos).unwrap_or(OffsetDateTime::UNIX_EPOCH)
}

impl Month {
    /// The month that contains a time.
    #[must_use]
    pub fn of(at: WallTime) -> Self {
        let date = to_calendar(at);
        // The year is between 1970 and 9999, so it fits in a u16.
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

/// How the jobs of a line ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobResult {
    /// The job ran to completion.
    Done,
    /// The job ran and failed, too many workers were lost while they ran it, or an operator found that it failed or
    /// never started.
    Failed,
    /// The job was cancelled by its caller.
    Cancelled,
    /// The job may have run.
    Unknown,
    /// The job was refused and no part of it ran.
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

/// Line of one durable job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobLine {
    /// Id of the job.
    pub job: JobId,
    /// Team that submitted; absent on queues open to all.
    pub team: Option<TeamId>,
    /// Class of the work.
    pub class: ClassId,
    /// Queue that accepted the job.
    pub queue: QueueId,
    /// Time of acceptance.
    pub asked: WallTime,
    /// Time of the last claim; absent if the job didn't run or ended while it was waiting.
    pub started: Option<WallTime>,
    /// Time of the end.
    pub ended: WallTime,
    /// VM of the last claim; absent like `started`.
    pub vm: Option<VmId>,
    /// How the job ended.
    pub result: JobResult,
    /// Whether the job ran.
    pub ran: Ran,
    /// Why the job failed or its outcome is unknown.
    pub reason: Option<SmolStr>,
    /// Who resolved an unknown outcome; absent if nobody did.
    pub resolved: Option<Resolved>,
}

/// Line that sums up the urgent jobs of one entry, team and class that ended in the same minute in the same way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UrgentLine {
    /// Start of the minute in which the jobs ended.
    pub minute: WallTime,
    /// Entry that ran the jobs.
    pub entry: EntryId,
    /// Incarnation of that entry.
    pub incarnation: Incarnation,
    /// Team that submitted; absent on queues open to all.
    pub team: Option<TeamId>,
    /// Class of the work.
    pub class: ClassId,
    /// How the jobs ended.
    pub result: JobResult,
    /// Number of jobs.
    pub count: u64,
    /// Total time from request to start, in milliseconds.
    pub wait_ms: u64,
    /// Total time from start to end, in milliseconds.
    pub run_ms: u64,
}

impl UrgentLine {
    /// Rounds a time down to the start of its minute.
    #[must_use]
    pub const fn minute_of(at: WallTime) -> WallTime {
        WallTime(at.0 - at.0 % MINUTE_MS)
    }
}

/// Drain, return or failure of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainEvent {
    /// The VM was granted its drain permit.
    Granted,
    /// The VM returned to service.
    Returned,
    /// The VM failed.
    Failed,
}

/// One line of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "snake_case")]
pub enum Line {
    /// A durable job ended.
    Job(JobLine),
    /// Urgent jobs ended within one minute.
    Urgent(UrgentLine),
    /// A VM changed pool.
    Move {
        /// Time of the change.
        at: WallTime,
        /// Id of the VM.
        vm: VmId,
        /// Former pool; absent for a new VM.
        from: Option<PoolId>,
        /// New pool; absent for a VM that left the fleet.
        to: Option<PoolId>,
        /// Reason for the event.
        reason: SmolStr,
    },
    /// A VM was granted a drain, returned to service or failed.
    Drain {
        /// Time of the event.
        at: WallTime,
        /// Id of the VM.
        vm: VmId,
        /// Pool of the VM.
        pool: PoolId,
        /// Kind of event.
        event: DrainEvent,
        /// Reason for the event.
        reason: SmolStr,
    },
    /// The configuration changed, except for its keys.
    Change {
        /// Time of the change.
        at: WallTime,
        /// Configuration revision that the change created.
        revision: Revision,
        /// Operator who requested the change.
        by: OperatorId,
        /// The change as JSON, truncated to 4 KB.
        change: String,
    },
    /// A key was given or withdrawn.
    Key {
        /// Time of the change.
        at: WallTime,
        /// Configuration revision that the change created.
        revision: Revision,
        /// Operator who requested the change.
        by: OperatorId,
        /// Public id of the key.
        key: KeyId,
        /// Team that received the key; absent if the key was withdrawn.
        given_to: Option<TeamId>,
    },
}

/// Identity of the event that a line records: lines with the same key describe the same event.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LineKey {
    /// A job, by its id and time of acceptance. A request that is repeated after the tombstone retention gets the same
    /// job id again, so the id alone isn't unique.
    Job(JobId, WallTime),
    /// Urgent jobs, by the minute and what else their line groups by.
    Urgent(WallTime, EntryId, Incarnation, Option<TeamId>, ClassId, JobResult),
    /// A configuration change, by its revision.
    Revision(Revision),
    /// A fleet event, by the whole JSON form of its line.
    Fleet(String),
}

impl Line {
    /// Creates the line of a job; `None` if the job hasn't ended.
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

    /// Creates the line of an accepted configuration change. The hash of a key is left out.
    #[must_use]
    pub fn of_change(record: &ChangeRecord) -> Self {
        let ChangeRecord { revision, by, at, change } = record.clone();
        match change {
            Change::GiveKey { id, value } => Self::Key { at, revision, by, key: id, given_to: Some(value.team) },
            Change::WithdrawKey { id } => Self::Key { at, revision, by, key: id, given_to: None },
            other => {
                let text = String::from_utf8_lossy(&commit::encode_json(&other)).into_owned();
                Self::Change { at, revision, by, change: truncate_change(text) }
            }
        }
    }

    /// Time of the event, which decides the month of the line.
    #[must_use]
    pub const fn at(&self) -> WallTime {
        match self {
            Self::Job(job) => job.ended,
            Self::Urgent(urgent) => urgent.minute,
            Self::Move { at, .. } | Self::Drain { at, .. } | Self::Change { at, .. } | Self::Key { at, .. } => *at,
        }
    }

    /// Identity of the event that the line records.
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

    /// The stored form, which also orders contradictory lines of one key.
    #[must_use]
    pub(crate) fn to_json(&self) -> String {
        String::from_utf8_lossy(&commit::encode_json(self)).into_owned()
    }
}

fn truncate_change(mut text: String) -> String {
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

/// Text shown instead of a team for queues open to all; a team's name can't contain parentheses.
pub const OPEN_TEAM: &str = "(open)";
