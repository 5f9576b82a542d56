//! Runs of which it is unknown whether they were started or stopped.
//!
//! A start without an answer may still be executed. That its worker refuses the same start later says nothing about the
//! first one, so the run may not be given up, and the worker may refuse each further repetition too. Such a run is stopped:
//! once the worker has accepted the stop, or its clock is past the deadlines of all starts, it starts the run no more, and
//! a list shows whether it has it.

use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use crate::sched::event::Event;
use crate::sched::graph::{TaskName, WorkerKey};
use crate::sched::job::{Phase, Run};
use crate::sched::scheduler::Scheduler;
use crate::sched::worker::LATE_CALL_LIMIT;
use crate::units::{Millis, MonoTime};

/// Time after the first order to start a run at which it is stopped, if the worker answers polls and has neither confirmed
/// nor refused the start. Late starts are executed earlier.
pub const START_LIMIT: Millis = Millis(2 * LATE_CALL_LIMIT.0);

/// Time after which operators are told of a run whose start or stop is not settled. An undisturbed stop takes
/// [`Bounds::stop_limit`], about 1 s.
///
/// [`Bounds::stop_limit`]: crate::sched::policy::Bounds::stop_limit
pub const REPORT_AFTER: Millis = Millis(3_000);

/// Margin after the deadline of a start, in ms on the worker's clock.
const DEADLINE_MARGIN: u64 = 300;

/// A run whose start or stop is not settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnsettledRun {
    /// Task.
    pub task: SmolStr,
    /// Number of the run.
    pub run: u32,
    /// Worker that has or may have it.
    pub worker: WorkerKey,
    /// Order that is repeated: `start` or `stop`.
    pub order: &'static str,
    /// Time in ms since which the outcome is unknown.
    pub since_ms: u64,
    /// Last answer to a start; `None` if no start was answered in this term.
    pub last_answer: Option<&'static str>,
}

impl Run {
    /// Whether its worker executes none of its starts any more, as a start is rejected after its deadline.
    #[must_use]
    pub const fn is_past_starts(&self, clock: u64) -> bool {
        self.start_deadline != 0 && clock > self.start_deadline + DEADLINE_MARGIN
    }

    /// Time since which it is unknown whether it was started or stopped; `None` if it is known.
    fn unsettled_since(&self) -> Option<MonoTime> {
        (self.phase != Phase::Running).then_some(self.unsettled_since)
    }
}

impl Scheduler {
    /// Why a start without an answer is not repeated but stopped; `None` if it may be repeated.
    pub(super) fn reason_to_give_up(&self, now: MonoTime, name: &TaskName, run: &Run) -> Option<&'static str> {
        let worker = self.workers.get(&run.worker)?;
        let job = self.jobs.get(&name.job)?;
        let step = self.step_of(name)?;
        let lacks_ticket =
            || self.policy.rules_of(&job.spec).needs_advice && self.ticket_of(name, run.number).is_none();
        let lacks_label = || step.required_label.as_ref().is_some_and(|label| !worker.has_label(label));
        Some(if worker.must_get_no_starts() {
            "start not confirmed before the worker is emptied"
        } else if worker.may_discard_stale(now) {
            "start not confirmed before the worker restarted"
        } else if lacks_ticket() {
            "start not confirmed, and there is no ticket for the worker"
        } else if lacks_label() || !worker.used.fits(&worker.report.capacity) {
            "start not confirmed, and the worker has changed its kind"
        } else if now.since(run.first_ordered) >= START_LIMIT {
            "start not confirmed in time"
        } else {
            return None;
        })
    }

    /// Tells operators once of a run that has not been settled for [`REPORT_AFTER`].
    pub(super) fn report_unsettled(&mut self, now: MonoTime, name: &TaskName, number: u32) {
        let Some(run) = self.run_mut(name, number) else { return };
        if !run.is_reported && run.unsettled_since().is_some_and(|since| now.since(since) >= REPORT_AFTER) {
            run.is_reported = true;
            let unsettled = describe(now, name, run);
            self.events.push(Event::RunUnsettled(unsettled));
        }
    }

    /// Runs that have not been settled for [`REPORT_AFTER`], by task.
    #[must_use]
    pub fn unsettled_runs(&self, now: MonoTime) -> Vec<UnsettledRun> {
        let names = self.workers.values().flat_map(|w| &w.runs);
        let runs = names.filter_map(|(name, number)| Some((name, self.run(name, *number)?)));
        let is_long = |run: &Run| run.unsettled_since().is_some_and(|since| now.since(since) >= REPORT_AFTER);
        let mut found: Vec<UnsettledRun> =
            runs.filter(|(_, run)| is_long(run)).map(|(name, run)| describe(now, name, run)).collect();
        found.sort_by(|a, b| (&a.task, a.run).cmp(&(&b.task, b.run)));
        found
    }
}

fn describe(now: MonoTime, name: &TaskName, run: &Run) -> UnsettledRun {
    UnsettledRun {
        task: format_smolstr!("{name}"),
        run: run.number,
        worker: run.worker.clone(),
        order: if run.phase == Phase::Stopping { "stop" } else { "start" },
        since_ms: now.since(run.unsettled_since).0,
        last_answer: run.last_answer.map(|answer| answer.label()),
    }
}
