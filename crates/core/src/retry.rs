//! Decides whether a job is retried after a failed attempt.
//!
//! Each class has a retry budget in proportion to its recent first attempts, so that retries can't multiply the load of
//! an overloaded pool.

use rand::Rng;

use crate::deadline::Deadline;
use crate::ids::{ClassId, VmId};
use crate::job::Ran;
use crate::map::Map;
use crate::units::{Millis, MonoTime};

/// Number of first attempts that allow one retry (10 %).
pub const FIRST_ATTEMPTS_PER_RETRY: u64 = 10;

/// Retries that a class may make in the window in addition to the proportional ones, so that classes with few jobs can
/// retry at all.
pub const BASE_RETRIES: u64 = 3;

/// Maximum number of attempts of one job, the first one included.
pub const MAX_ATTEMPTS: usize = 4;

/// Upper bound of the delay before the first retry; it doubles with each further retry.
pub const INITIAL_BACKOFF: Millis = Millis(20);

/// Maximum delay before a retry.
pub const MAX_BACKOFF: Millis = Millis(1000);

/// Length of one bucket of the sliding window.
const BUCKET_SPAN: Millis = Millis::from_secs(10);

/// Number of buckets of the sliding window, which is thus 60 s long.
const BUCKETS: usize = 6;

/// Attempts in one bucket of the sliding window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Number of the bucket since the start of the process, from 1; 0 for one that was never used.
    number: u64,
    first_attempts: u64,
    retries: u64,
}

/// First attempts and retries of one class in the sliding window.
#[derive(Clone, Debug, Default)]
struct Budget {
    buckets: [Bucket; BUCKETS],
}

impl Budget {
    fn bucket(&mut self, now: MonoTime) -> &mut Bucket {
        let number = bucket_number(now);
        let bucket = &mut self.buckets[(number % BUCKETS as u64) as usize];
        if bucket.number != number {
            *bucket = Bucket { number, ..Bucket::default() };
        }
        bucket
    }

    fn allows_retry(&self, now: MonoTime) -> bool {
        let oldest = (bucket_number(now) + 1).saturating_sub(BUCKETS as u64);
        let recent = self.buckets.iter().filter(|b| b.number >= oldest);
        let (first_attempts, retries) = recent.fold((0, 0), |(f, r), b| (f + b.first_attempts, r + b.retries));
        retries < first_attempts / FIRST_ATTEMPTS_PER_RETRY + BASE_RETRIES
    }
}

const fn bucket_number(now: MonoTime) -> u64 {
    now.0 / BUCKET_SPAN.0 + 1
}

/// A job whose last attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedJob<'a> {
    /// Class, whose retry budget applies.
    pub class: &'a ClassId,
    /// Whether the job may be run again after an attempt that ran or may have run.
    pub idempotent: bool,
    /// Whether the last attempt ran.
    pub ran: Ran,
    /// Endpoints of all attempts so far; the next attempt must use another one.
    pub tried: &'a [VmId],
    /// Deadline of the job, the same for all attempts.
    pub deadline: Option<Deadline>,
    /// Estimated run time.
    pub run: Millis,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Retry at an endpoint that was not tried. The retry has been counted against the budget.
    Retry {
        /// Delay before the retry.
        after: Millis,
    },
    /// Don't retry, but report the failure.
    GiveUp(GiveUpReason),
}

/// Why a job is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The attempt may have run and the job is not idempotent.
    MayHaveRun,
    /// The job has had [`MAX_ATTEMPTS`] attempts.
    Attempts,
    /// After the delay the job could no longer meet its deadline.
    Deadline,
    /// The class has used up its retry budget.
    Budget,
}

/// Retry budgets of an entry by class.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    budgets: Map<ClassId, Budget>,
}

impl RetryBudgets {
    /// Creates budgets without any recorded attempt.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the first attempt of a job, which adds to the budget of its class.
    pub fn record_first_attempt(&mut self, class: &ClassId, now: MonoTime) {
        self.budget(class).bucket(now).first_attempts += 1;
    }

    /// Decides whether a job is retried, and counts the retry against the budget if so.
    pub fn decide(&mut self, job: &FailedJob<'_>, now: MonoTime, rng: &mut impl Rng) -> Decision {
        if job.ran != Ran::No && !job.idempotent {
            return Decision::GiveUp(GiveUpReason::MayHaveRun);
        }
        if job.tried.len() >= MAX_ATTEMPTS {
            return Decision::GiveUp(GiveUpReason::Attempts);
        }
        let after = draw_backoff(job.tried.len(), rng);
        if job.deadline.is_some_and(|d| now + after > d.latest_start(job.run)) {
            return Decision::GiveUp(GiveUpReason::Deadline);
        }
        let budget = self.budget(job.class);
        if !budget.allows_retry(now) {
            return Decision::GiveUp(GiveUpReason::Budget);
        }
        budget.bucket(now).retries += 1;
        Decision::Retry { after }
    }

    /// Drops the budgets of classes that are no longer configured.
    pub fn retain(&mut self, mut is_configured: impl FnMut(&ClassId) -> bool) {
        self.budgets.retain(|class, _| is_configured(class));
    }

    fn budget(&mut self, class: &ClassId) -> &mut Budget {
        if !self.budgets.contains_key(class) {
            self.budgets.insert(class.clone(), Budget::default());
        }
        self.budgets.get_mut(class).expect("the budget was added above")
    }
}

/// Delay before the retry after this many attempts: a random time in the upper half of an exponentially growing range,
/// so that jobs that failed together aren't retried together.
fn draw_backoff(attempts: usize, rng: &mut impl Rng) -> Millis {
    let doublings = attempts.saturating_sub(1).min(16) as u32;
    let longest = (INITIAL_BACKOFF.0 << doublings).min(MAX_BACKOFF.0);
    Millis(rng.random_range(longest / 2..=longest))
}
