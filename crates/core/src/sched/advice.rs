//! Queues whose policy allows only some workers to run a step.

use std::fmt;

use smol_str::SmolStr;

use crate::map::Map;
use crate::sched::graph::{JobKey, WorkerKey};
use crate::sched::order::Order;
use crate::sched::scheduler::Scheduler;
use crate::units::{Millis, MonoTime};

/// Time after which a question without an answer is asked again.
const ASK_AGAIN: Millis = Millis(1_000);

/// Part of the time that tickets hold after which they are asked for anew, in percent.
const RENEW_PERCENT: u64 = 70;

/// Most workers in one question, as the service accepts it.
const MAX_WORKERS: usize = 100;

/// A step of an occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StepName {
    /// Job.
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

/// What is known of a step.
#[derive(Clone, Debug, Default)]
pub(super) struct Advised {
    /// Tickets of the workers that may run it.
    tickets: Map<WorkerKey, SmolStr>,
    /// Time until which the tickets are used.
    until: MonoTime,
    asked: Option<MonoTime>,
}

impl Advised {
    /// Ticket for a worker.
    pub(super) fn ticket(&self, worker: &WorkerKey) -> Option<SmolStr> {
        self.tickets.get(worker).cloned()
    }
}

impl Scheduler {
    /// Tickets for a step. Without any that hold, the workers are asked for, and nothing starts meanwhile.
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
        if known.asked.is_none_or(|at| now.since(at) > ASK_AGAIN) && !workers.is_empty() {
            known.asked = Some(now);
            let workers = workers.iter().take(MAX_WORKERS).cloned().collect();
            self.orders.push(Order::Ask { step: step.clone(), workers });
        }
        Map::default()
    }

    /// Takes the answer to a question; `None` if there was none.
    pub fn take_advice(&mut self, now: MonoTime, step: &StepName, answer: Option<(Vec<(WorkerKey, SmolStr)>, Millis)>) {
        let Some(known) = self.advice.get_mut(step) else { return };
        let Some((tickets, valid)) = answer else { return };
        known.tickets = tickets.into_iter().collect();
        known.until = now + Millis(valid.0 * RENEW_PERCENT / 100);
    }
}
