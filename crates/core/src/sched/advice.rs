//! Tickets for queues whose policy allows only some workers to run a step.

use std::fmt;

use smol_str::SmolStr;

use crate::map::Map;
use crate::sched::graph::{JobKey, WorkerKey};
use crate::sched::order::Order;
use crate::sched::scheduler::Scheduler;
use crate::units::{Millis, MonoTime};

/// Time after which a request for tickets without an answer is repeated.
const REQUEST_RETRY: Millis = Millis(1_000);

/// Part of the validity of tickets for which they are used, in percent; then new ones are requested.
const USE_PERCENT: u64 = 70;

/// Maximum number of workers in a request that the advice service accepts.
const MAX_WORKERS_PER_REQUEST: usize = 100;

/// Name of a step: job, occurrence and step.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StepName {
    /// Job of the step.
    pub job: JobKey,
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
}

impl fmt::Display for StepName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Answer of the advice service for a step.
#[derive(Clone, Debug, Default)]
pub(super) struct StepAdvice {
    /// Tickets of the workers that may run it.
    tickets: Map<WorkerKey, SmolStr>,
    /// Time until which the tickets are used.
    until: MonoTime,
    /// Time of the last request.
    requested: Option<MonoTime>,
}

impl StepAdvice {
    /// Ticket for a worker; `None` if the step may not run there.
    pub(super) fn ticket(&self, worker: &WorkerKey) -> Option<SmolStr> {
        self.tickets.get(worker).cloned()
    }
}

impl Scheduler {
    /// Tickets for a step. Requests them and returns none if they have expired or if none is for one of `workers`;
    /// no task of the step starts until they arrive.
    pub(super) fn find_tickets(
        &mut self,
        now: MonoTime,
        step: &StepName,
        workers: &[WorkerKey],
    ) -> Map<WorkerKey, SmolStr> {
        let known = self.advice.entry(step.clone()).or_default();
        if now < known.until && workers.iter().any(|w| known.tickets.contains_key(w)) {
            return known.tickets.clone();
        }
        if known.requested.is_none_or(|at| now.since(at) > REQUEST_RETRY) && !workers.is_empty() {
            known.requested = Some(now);
            let workers = workers.iter().take(MAX_WORKERS_PER_REQUEST).cloned().collect();
            self.orders.push(Order::RequestAdvice { step: step.clone(), workers });
        }
        Map::default()
    }

    /// Applies the answer to a request for tickets; `None` if there was no answer.
    pub fn apply_advice(
        &mut self,
        now: MonoTime,
        step: &StepName,
        answer: Option<(Vec<(WorkerKey, SmolStr)>, Millis)>,
    ) {
        let Some(known) = self.advice.get_mut(step) else { return };
        let Some((tickets, valid)) = answer else { return };
        known.tickets = tickets.into_iter().collect();
        known.until = now + Millis(valid.0 * USE_PERCENT / 100);
    }
}
