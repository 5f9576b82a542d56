//! Tickets for queues whose policy allows only some workers to run a step.
//!
//! The advice service handles one call at a time for each calling machine, in turn. A second call would only wait in its
//! queue, which is bounded, and it may finish calls that their callers have abandoned. So one request is in flight at a time,
//! and the steps that need tickets take turns.

use std::fmt;

use smol_str::SmolStr;

use crate::answer_time::AnswerTime;
use crate::map::Map;
use crate::sched::graph::{JobKey, TaskName, WorkerKey};
use crate::sched::order::Order;
use crate::sched::policy::AdviceTimes;
use crate::sched::scheduler::Scheduler;
use crate::units::{Millis, MonoTime};

/// Time for the answer to a request, in addition to twice the time that it should take.
const ANSWER_MARGIN: Millis = Millis(1_000);

/// Number of requests in a row without an answer up to which the time for the next one doubles.
const MAX_DOUBLINGS: u32 = 5;

/// Minimum pause after a request without advice.
const MIN_PAUSE: Millis = Millis(500);

/// Time after which advice that is no longer used is forgotten. It may still be sent with a start that is repeated.
const RETENTION: Millis = Millis(10_000);

/// Part of the validity of advice for which it is used, in percent.
const USE_PERCENT: u64 = 70;

/// Maximum number of workers in a request that the advice service accepts.
const MAX_WORKERS_PER_REQUEST: usize = 100;

/// Name of a step: job, occurrence and step.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepName {
    /// Job of the step.
    pub job: JobKey,
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
}

impl From<&TaskName> for StepName {
    fn from(task: &TaskName) -> Self {
        Self { job: task.job.clone(), occurrence: task.occurrence, step: task.step }
    }
}

impl fmt::Display for StepName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Outcome of a request for advice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdviceOutcome {
    /// The workers that may run the step, each with its ticket. The others of the request may not.
    Allowed {
        /// Workers and tickets.
        tickets: Vec<(WorkerKey, SmolStr)>,
        /// Time for which the answer is valid.
        valid_for: Millis,
    },
    /// The service took no call, or was not reached.
    Refused,
    /// No answer came in time. The service may still handle the call.
    Unanswered,
}

/// What the advice service said about a step on a worker, which holds for the worker's present incarnation.
#[derive(Clone, Debug)]
enum Advised {
    Allowed {
        ticket: SmolStr,
        received: MonoTime,
        /// Time until which the ticket is used.
        until: MonoTime,
    },
    /// The step may not run there, which doesn't change.
    Denied,
}

impl Advised {
    /// Whether nothing has to be asked.
    fn is_valid(&self, now: MonoTime) -> bool {
        match self {
            Self::Allowed { until, .. } => now < *until,
            Self::Denied => true,
        }
    }

    /// Whether its ticket may still be sent.
    fn may_be_sent(&self, now: MonoTime) -> bool {
        match self {
            Self::Allowed { until, .. } => now < *until + RETENTION,
            Self::Denied => false,
        }
    }
}

/// Advice for a step.
#[derive(Clone, Debug, Default)]
struct StepAdvice {
    workers: Map<WorkerKey, Advised>,
    /// Time since which the step waits for its turn.
    waits_since: Option<MonoTime>,
    /// Workers that the last plan which had use for them lacked advice on, and the time of that plan.
    wanted: Vec<WorkerKey>,
    wanted_at: MonoTime,
    /// Time of the last plan in which tasks of the step waited.
    last_waited: MonoTime,
    times: AdviceTimes,
}

/// A request in flight.
#[derive(Clone, Debug)]
struct Request {
    step: StepName,
    workers: Vec<WorkerKey>,
    sent: MonoTime,
}

/// Advice for all steps.
#[derive(Clone, Debug)]
pub(super) struct Advice {
    steps: Map<StepName, StepAdvice>,
    in_flight: Option<Request>,
    answer_time: AnswerTime,
    /// Time before which no request is made.
    paused_until: MonoTime,
}

impl Default for Advice {
    fn default() -> Self {
        Self {
            steps: Map::default(),
            in_flight: None,
            answer_time: AnswerTime::new(ANSWER_MARGIN, MAX_DOUBLINGS),
            paused_until: MonoTime(0),
        }
    }
}

impl Advice {
    /// Ticket for a step on a worker; `None` if the step may not run there.
    pub(super) fn ticket(&self, step: &StepName, worker: &WorkerKey) -> Option<SmolStr> {
        match self.steps.get(step)?.workers.get(worker)? {
            Advised::Allowed { ticket, .. } => Some(ticket.clone()),
            Advised::Denied => None,
        }
    }

    /// Valid tickets for a step.
    pub(super) fn tickets(&self, now: MonoTime, step: &StepName) -> Map<WorkerKey, SmolStr> {
        let advised = self.steps.get(step).into_iter().flat_map(|known| &known.workers);
        let valid = advised.filter(|(_, advised)| advised.is_valid(now));
        let tickets = valid.filter_map(|(worker, advised)| match advised {
            Advised::Allowed { ticket, .. } => Some((worker.clone(), ticket.clone())),
            Advised::Denied => None,
        });
        tickets.collect()
    }

    /// Records that tasks of a step wait although they would fit on `workers`. Those without valid advice are asked about when
    /// it is the turn of the step.
    pub(super) fn want(&mut self, now: MonoTime, step: &StepName, workers: &[WorkerKey], times: AdviceTimes) {
        let known = self.steps.entry(step.clone()).or_default();
        known.last_waited = now;
        let is_unknown = |worker: &&WorkerKey| known.workers.get(*worker).is_none_or(|advised| !advised.is_valid(now));
        let wanted: Vec<WorkerKey> = workers.iter().filter(is_unknown).take(MAX_WORKERS_PER_REQUEST).cloned().collect();
        if wanted.is_empty() {
            return;
        }
        known.wanted = wanted;
        known.wanted_at = now;
        known.waits_since.get_or_insert(now);
        known.times = times;
    }

    /// Next request, for the step that has waited longest of those that the plan at `now` lacked advice for; `None` while another
    /// one is in flight.
    fn next_request(&mut self, now: MonoTime) -> Option<Order> {
        if self.in_flight.is_some() || now < self.paused_until {
            return None;
        }
        let is_needed = |known: &StepAdvice| {
            now < known.last_waited + RETENTION || known.workers.values().any(|advised| advised.may_be_sent(now))
        };
        self.steps.retain(|_, known| is_needed(known));
        let waiting = self.steps.iter_mut().filter(|(_, known)| known.wanted_at == now && !known.wanted.is_empty());
        let (step, known) = waiting.min_by(|(a, x), (b, y)| (x.waits_since, a).cmp(&(y.waits_since, b)))?;
        let workers = std::mem::take(&mut known.wanted);
        let time_limit = self.answer_time.limit(known.times.answer_time(workers.len()));
        self.in_flight = Some(Request { step: step.clone(), workers: workers.clone(), sent: now });
        Some(Order::RequestAdvice { step: step.clone(), workers, time_limit })
    }

    fn apply(&mut self, now: MonoTime, step: &StepName, outcome: AdviceOutcome) {
        let Some(request) = self.in_flight.take_if(|request| request.step == *step) else { return };
        if matches!(outcome, AdviceOutcome::Allowed { .. }) {
            self.answer_time.record_answer(now.since(request.sent));
        }
        // The job may have ended meanwhile.
        let known = self.steps.get_mut(step);
        match outcome {
            AdviceOutcome::Allowed { tickets, valid_for } => {
                let Some(known) = known else { return };
                known.waits_since = None;
                let until = now + Millis(valid_for.0 * USE_PERCENT / 100);
                let mut tickets: Map<WorkerKey, SmolStr> = tickets.into_iter().collect();
                for worker in request.workers {
                    let advised = match tickets.remove(&worker) {
                        Some(ticket) => Advised::Allowed { ticket, received: now, until },
                        None => Advised::Denied,
                    };
                    known.workers.insert(worker, advised);
                }
            }
            // A call that the service handles ends by then.
            AdviceOutcome::Refused => {
                let answer_time = known.map_or(Millis(0), |known| known.times.answer_time(request.workers.len()));
                self.paused_until = now + answer_time.max(MIN_PAUSE);
            }
            AdviceOutcome::Unanswered => {
                self.answer_time.record_unanswered();
                // The connection may have broken at once.
                self.paused_until = now + MIN_PAUSE;
                // The others come first.
                if let Some(known) = known {
                    known.waits_since = Some(now);
                }
            }
        }
    }

    /// Forgets what was said about a worker whose incarnation has ended, and what the request in flight will say.
    pub(super) fn forget_worker(&mut self, worker: &WorkerKey) {
        for known in self.steps.values_mut() {
            known.workers.remove(worker);
        }
        if let Some(request) = &mut self.in_flight {
            request.workers.retain(|asked| asked != worker);
        }
    }

    /// Forgets a ticket that a worker has rejected. One that was received after the start was ordered is kept.
    pub(super) fn forget_ticket(&mut self, step: &StepName, worker: &WorkerKey, ordered: MonoTime) {
        let Some(known) = self.steps.get_mut(step) else { return };
        if matches!(known.workers.get(worker), Some(Advised::Allowed { received, .. }) if *received <= ordered) {
            known.workers.remove(worker);
        }
    }

    /// Forgets the steps of a job.
    pub(super) fn forget(&mut self, job: &JobKey) {
        self.steps.retain(|step, _| step.job != *job);
    }
}

impl Scheduler {
    /// Requests the advice that the plan at `now` lacked, unless a request is in flight.
    pub(super) fn request_advice(&mut self, now: MonoTime) {
        self.orders.extend(self.advice.next_request(now));
    }

    /// Applies the outcome of the request for advice that is in flight.
    pub fn apply_advice(&mut self, now: MonoTime, step: &StepName, outcome: AdviceOutcome) {
        self.advice.apply(now, step, outcome);
    }
    /// Forgets the ticket of a start that a worker has rejected for it, so that the service is asked again.
    pub(super) fn drop_rejected_ticket(&mut self, worker: &WorkerKey, name: &TaskName, run: u32) {
        if let Some(ordered) = self.run(name, run).map(|run| run.last_ordered) {
            self.advice.forget_ticket(&StepName::from(name), worker, ordered);
        }
    }
}
