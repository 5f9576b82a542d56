//! Budget for memory that is held for a while, shared between tasks.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Budget in bytes.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
}

impl ByteBudget {
    /// Creates a budget of which nothing is used.
    #[must_use]
    pub const fn new(limit: usize) -> Self {
        Self { limit, used: AtomicUsize::new(0) }
    }

    /// Reserves memory until the reservation is dropped; `None` if that would exceed the limit. A single reservation may be
    /// larger than the limit, as it would never be granted otherwise.
    #[must_use]
    pub fn try_reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let fits = |used: usize| (used == 0 || used.saturating_add(bytes) <= self.limit).then(|| used + bytes);
        self.used.fetch_update(Ordering::SeqCst, Ordering::SeqCst, fits).ok()?;
        Some(Reservation { budget: Arc::clone(self), bytes })
    }

    /// Number of reserved bytes.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::SeqCst)
    }
}

/// Part of a budget that is in use.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}
