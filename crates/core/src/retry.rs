//! Decides whether a failed attempt is followed by another one.
//!
//! Each class has a budget of retries in proportion to its recent first attempts, so that retries can't multiply the
//! load of an overloaded pool.

use rand::Rng;

use crate::deadline::Deadline;
use crate::ids::{ClassId, VmId};
use crate::job::Ran;
use crate::map::Map;
use crate::units::{Millis, MonoTime};

/// First attempts that allow one retry (10 %).
pub const FIRST_ATTEMPTS_PER_RETRY: u64 = 10;

/// Retries that a class may make in the window without any first attempt, so that quiet classes can retry at all.
pub const CONSTANT_RETRIES: u64 = 3;

/// Most attempts of one job.
pub const MAX_ATTEMPTS: usize = 4;

/// Upper end of the delay before the first retry; it doubles with each further one.
pub const FIRST_BACKOFF: Millis = Millis(20);

/// Longest delay before a retry.
pub const MAX_BACKOFF: Millis = Millis(1000);

/// Span of one counter of the window.
const COUNTER_SPAN: Millis = Millis::from_secs(10);

/// Counters of the window, which is thus 60 s long.
const COUNTERS: usize = 6;

#[derive(Clone, Copy, Debug, Default)]
struct Counter {
    /// Number of the span since the start of the process, plus 1; 0 for a counter that was never used.
    span: u64,
    first_attempts: u64,
    retries: u64,
}

/// Recent first attempts and retries of one class.
#[derive(Clone, Debug, Default)]
struct Budget {
    counters: [Counter; COUNTERS],
}

impl Budget {
    fn counter(&mut self, now: MonoTime) -> &mut Counter {
        let span = find_span(now);
        let counter = &mut self.counters[(span % COUNTERS as u64) as usize];
        if counter.span != span {
            *counter = Counter { span, ..Counter::default() };
        }
        counter
    }

    fn has_retry(&self, now: MonoTime) -> bool {
        let oldest = (find_span(now) + 1).saturating_sub(COUNTERS as u64);
        let recent = self.counters.iter().filter(|c| c.span >= oldest);
        let (first_attempts, retries) = recent.fold((0, 0), |(f, r), c| (f + c.first_attempts, r + c.retries));
        retries < first_attempts / FIRST_ATTEMPTS_PER_RETRY + CONSTANT_RETRIES
    }
}

const fn find_span(now: MonoTime) -> u64 {
    now.0 / COUNTER_SPAN.0 + 1
}

/// A job whose last attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct Attempts<'a> {
    /// Class of the job.
    pub class: &'a ClassId,
    /// Whether the job may be run again after an attempt that may have started.
    pub idempotent: bool,
    /// Whether the last attempt ran.
    pub ran: Ran,
    /// Endpoints of all attempts; the next one must be none of them.
    pub tried: &'a [VmId],
    /// Deadline of the job, the same for all attempts.
    pub deadline: Option<Deadline>,
    /// Learned run time.
    pub run: Millis,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Try again after a delay, at an endpoint that was not tried. The retry is counted.
    Retry {
        /// Delay.
        after: Millis,
    },
    /// Report the failure.
    GiveUp(Reason),
}

/// Why a job is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The attempt may have run and the job is not idempotent.
    MayHaveRun,
    /// The job had its [`MAX_ATTEMPTS`].
    Attempts,
    /// The job would no longer meet its deadline.
    Deadline,
    /// The class has spent its budget.
    Budget,
}

/// Retry budgets of an entry by class.
#[derive(Clone, Debug, Default)]
pub struct Retries {
    budgets: Map<ClassId, Budget>,
}

impl Retries {
    /// Creates empty budgets.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts the first attempt of a job.
    pub fn count_first(&mut self, class: &ClassId, now: MonoTime) {
        self.budget(class).counter(now).first_attempts += 1;
    }

    /// Decides whether a job is tried again, and counts the retry if so.
    pub fn decide(&mut self, job: &Attempts<'_>, now: MonoTime, rng: &mut impl Rng) -> Decision {
        if job.ran != Ran::No && !job.idempotent {
            return Decision::GiveUp(Reason::MayHaveRun);
        }
        if job.tried.len() >= MAX_ATTEMPTS {
            return Decision::GiveUp(Reason::Attempts);
        }
        let after = draw_backoff(job.tried.len(), rng);
        if job.deadline.is_some_and(|d| now + after > d.latest_start(job.run)) {
            return Decision::GiveUp(Reason::Deadline);
        }
        let budget = self.budget(job.class);
        if !budget.has_retry(now) {
            return Decision::GiveUp(Reason::Budget);
        }
        budget.counter(now).retries += 1;
        Decision::Retry { after }
    }

    /// Forgets classes that are no longer configured.
    pub fn retain(&mut self, mut is_class: impl FnMut(&ClassId) -> bool) {
        self.budgets.retain(|class, _| is_class(class));
    }

    fn budget(&mut self, class: &ClassId) -> &mut Budget {
        if !self.budgets.contains_key(class) {
            self.budgets.insert(class.clone(), Budget::default());
        }
        self.budgets.get_mut(class).expect("the budget was added above")
    }
}

/// Delay before the retry after this many attempts: a random half of an exponentially growing span, so that jobs that
/// failed together don't return together.
fn draw_backoff(attempts: usize, rng: &mut impl Rng) -> Millis {
    let doublings = attempts.saturating_sub(1).min(16) as u32;
    let span = (FIRST_BACKOFF.0 << doublings).min(MAX_BACKOFF.0);
    Millis(rng.random_range(span / 2..=span))
}
