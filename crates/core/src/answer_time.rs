//! Time limits of calls to a service whose answers may be slow.

use crate::units::Millis;

/// Chooses the time limit of the next call from how the last ones ended, so that a service which takes longer than expected
/// is waited for instead of asked again.
#[derive(Clone, Debug)]
pub struct AnswerTime {
    margin: Millis,
    max_doublings: u32,
    /// Time that the last answer took.
    last: Millis,
    /// Calls in a row without an answer.
    unanswered: u32,
}

impl AnswerTime {
    /// Creates the state before the first call. A limit is `margin` longer than twice the time for an answer, and doubles with
    /// each call in a row without one, `max_doublings` times at most.
    #[must_use]
    pub const fn new(margin: Millis, max_doublings: u32) -> Self {
        Self { margin, max_doublings, last: Millis(0), unanswered: 0 }
    }

    /// Time limit of the next call, whose answer should take `expected`.
    #[must_use]
    pub fn limit(&self, expected: Millis) -> Millis {
        let answer = expected.0.max(self.last.0);
        Millis((answer * 2 + self.margin.0) << self.unanswered.min(self.max_doublings))
    }

    /// Records the time that an answer took.
    pub fn record_answer(&mut self, took: Millis) {
        self.last = took;
        self.unanswered = 0;
    }

    /// Records that a call got no answer in time.
    pub fn record_unanswered(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }
}
