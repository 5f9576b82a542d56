//! One run of a task.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use serde::Serialize;
use smol_str::SmolStr;

use crate::answer::{self, Payload};

/// Speed of a throttled task, as a part of the full speed.
const THROTTLED_SPEED: f64 = 0.5;

/// State of a task as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It runs.
    Running,
    /// It ended with an answer.
    Done,
    /// It ended without an answer.
    Failed,
    /// It was stopped, by a call or because its lease ended.
    Stopped,
}

/// What a caller asks the worker to start.
#[derive(Clone, Debug)]
pub struct NewTask {
    pub task: SmolStr,
    pub team: SmolStr,
    pub queue: SmolStr,
    pub lease: SmolStr,
    pub payload: Arc<str>,
    pub parsed: Payload,
}

/// A run with its progress.
#[derive(Debug)]
pub struct Run {
    pub new: NewTask,
    pub state: TaskState,
    /// Why it failed or was stopped.
    pub reason: &'static str,
    pub is_throttled: bool,
    /// Work done until `counted_at`, in ms at full speed.
    progress_ms: f64,
    counted_at: Instant,
    wake: Option<oneshot::Sender<()>>,
    ended: Vec<oneshot::Sender<()>>,
}

impl Run {
    pub const fn new(new: NewTask, now: Instant) -> Self {
        Self {
            new,
            state: TaskState::Running,
            reason: "",
            is_throttled: false,
            progress_ms: 0.0,
            counted_at: now,
            wake: None,
            ended: Vec::new(),
        }
    }

    const fn speed(&self) -> f64 {
        if self.is_throttled { THROTTLED_SPEED } else { 1.0 }
    }

    /// Counts the work done so far, in ms at full speed.
    pub fn count_progress(&mut self, now: Instant) -> f64 {
        if self.state == TaskState::Running {
            let passed = now.saturating_duration_since(self.counted_at).as_secs_f64() * 1000.0;
            self.progress_ms = passed.mul_add(self.speed(), self.progress_ms);
        }
        self.counted_at = now;
        self.progress_ms
    }

    /// Time until the run ends by itself; `None` if it never does.
    pub fn time_left(&mut self, now: Instant) -> Option<Duration> {
        if self.new.parsed.never {
            return None;
        }
        let left = self.new.parsed.run_ms as f64 - self.count_progress(now);
        Some(Duration::from_secs_f64((left / self.speed() / 1000.0).max(0.0)))
    }

    pub fn throttle(&mut self, now: Instant) {
        self.count_progress(now);
        self.is_throttled = true;
        self.wake = None;
    }

    pub fn end(&mut self, state: TaskState, reason: &'static str, now: Instant) {
        self.count_progress(now);
        self.state = state;
        self.reason = reason;
        self.wake = None;
        for tx in self.ended.drain(..) {
            // The caller may have gone away.
            let _ = tx.send(());
        }
    }

    /// A signal that comes when the time left has changed.
    pub fn wait_for_change(&mut self) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        self.wake = Some(tx);
        rx
    }

    /// A signal that comes at the end of the run; it is dropped if the run gets lost.
    pub fn wait_for_end(&mut self) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        if self.state == TaskState::Running {
            self.ended.push(tx);
        } else {
            // The receiver is still in this function.
            let _ = tx.send(());
        }
        rx
    }

    pub fn answer(&self) -> String {
        answer::derive_answer(&self.new.payload, self.new.parsed.answer_bytes)
    }
}
