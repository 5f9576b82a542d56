//! Rows of the monthly report in its CSV and text formats.

use std::fmt::{self, Write};

use crate::ids::{OperatorId, PoolId, TeamId, VmId};
use crate::ledger::{JobLine, Line, OPEN_TEAM};
use crate::ledger_line::to_calendar;
use crate::report::{Gap, Sum, TotalKey};
use crate::units::WallTime;

/// Columns of the CSV format; the first one holds the type of the row.
pub(crate) const COLUMNS: [&str; 17] = [
    "row", "at", "job", "team", "class", "queue", "asked", "started", "vm", "result", "ran", "by", "reason", "count",
    "wait_ms", "run_ms", "detail",
];

pub(crate) type Row = [String; COLUMNS.len()];

/// Formats a time as RFC 3339 in UTC, with milliseconds.
fn format_time(at: WallTime) -> String {
    let t = to_calendar(at);
    let (month, day) = (u8::from(t.month()), t.day());
    let (h, m, s, ms) = (t.hour(), t.minute(), t.second(), t.millisecond());
    format!("{:04}-{month:02}-{day:02}T{h:02}:{m:02}:{s:02}.{ms:03}Z", t.year())
}

pub(crate) fn format_team(team: Option<&TeamId>) -> &str {
    team.map_or(OPEN_TEAM, TeamId::as_str)
}

pub(crate) fn write_sum(f: &mut String, team: &str, class: &str, result: &str, sum: Sum) -> fmt::Result {
    let Sum { count, wait_ms, run_ms } = sum;
    writeln!(f, "{team:24} {class:24} {result:10} {count:>12} {wait_ms:>16} {run_ms:>16}")
}

fn new_row(kind: &str, at: Option<WallTime>) -> Row {
    let mut row = Row::default();
    row[0] = kind.to_owned();
    row[1] = at.map_or_else(String::new, format_time);
    row
}

pub(crate) fn row_of_sum(kind: &str, sum: Sum) -> Row {
    let mut row = new_row(kind, None);
    set_sum(&mut row, sum);
    row
}

fn set_sum(row: &mut Row, sum: Sum) {
    row[13] = sum.count.to_string();
    row[14] = sum.wait_ms.to_string();
    row[15] = sum.run_ms.to_string();
}

pub(crate) fn row_of_gap(gap: &Gap) -> Row {
    let mut row = new_row("gap", None);
    row[16] = gap.to_string();
    row
}

pub(crate) fn row_of_total((team, class, result): &TotalKey, sum: Sum) -> Row {
    let mut row = row_of_sum("total", sum);
    row[3] = format_team(team.as_ref()).to_owned();
    row[4] = class.to_string();
    row[9] = result.to_string();
    row
}

pub(crate) fn row_of_line(line: &Line) -> Row {
    let at = Some(line.at());
    match line {
        Line::Job(job) => row_of_job(job),
        Line::Urgent(u) => {
            let mut row = new_row("urgent", at);
            row[3] = format_team(u.team.as_ref()).to_owned();
            row[4] = u.class.to_string();
            row[9] = u.result.to_string();
            row[16] = format!("entry {}/{}", u.entry, u.incarnation);
            set_sum(&mut row, Sum { count: u.count, wait_ms: u.wait_ms, run_ms: u.run_ms });
            row
        }
        Line::Move { vm, from, to, reason, .. } => {
            let pool = |p: &Option<PoolId>| p.as_ref().map_or("none".to_owned(), PoolId::to_string);
            row_of_vm("move", at, vm, format!("from {} to {}", pool(from), pool(to)), reason)
        }
        Line::Drain { vm, pool, event, reason, .. } => {
            let event = format!("{event:?}").to_lowercase();
            row_of_vm("drain", at, vm, format!("{event} in {pool}"), reason)
        }
        Line::Change { revision, by, change, .. } => {
            row_of_operator("change", at, by, format!("revision {revision}: {change}"))
        }
        Line::Key { revision, by, key, given_to, .. } => {
            let action = given_to.as_ref().map_or("withdrawn".to_owned(), |team| format!("given to {team}"));
            row_of_operator("key", at, by, format!("revision {revision}: {key} {action}"))
        }
    }
}

fn row_of_vm(kind: &str, at: Option<WallTime>, vm: &VmId, detail: String, reason: &str) -> Row {
    let mut row = new_row(kind, at);
    row[8] = vm.to_string();
    row[12] = reason.to_owned();
    row[16] = detail;
    row
}

fn row_of_operator(kind: &str, at: Option<WallTime>, by: &OperatorId, detail: String) -> Row {
    let mut row = new_row(kind, at);
    row[11] = by.to_string();
    row[16] = detail;
    row
}

fn row_of_job(job: &JobLine) -> Row {
    let mut row = new_row("job", Some(job.ended));
    row[2] = job.job.to_string();
    row[3] = format_team(job.team.as_ref()).to_owned();
    row[4] = job.class.to_string();
    row[5] = job.queue.to_string();
    row[6] = format_time(job.asked);
    row[7] = job.started.map_or_else(String::new, format_time);
    row[8] = job.vm.as_ref().map_or_else(String::new, VmId::to_string);
    row[9] = job.result.to_string();
    row[10] = job.ran.to_string();
    row[12] = job.reason.as_ref().map_or_else(String::new, ToString::to_string);
    if let Some(resolved) = &job.resolved {
        row[11] = resolved.by.to_string();
        row[16] = format!("resolved at {}", format_time(resolved.at));
    }
    set_sum(&mut row, Sum::of_job(job));
    row
}
