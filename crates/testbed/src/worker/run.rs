//! One run of a task.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use serde::Serialize;
use smol_str::SmolStr;

use crate::answer::{self, Payload};

/// Speed of a throttled task, as a fraction of full speed.
const THROTTLED_SPEED: f64 = 0.5;

/// State of a task as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task runs.
    Running,
    /// The task ended with an answer.
    Done,
    /// The task failed and has no answer.
    Failed,
    /// The task was stopped by a call or because its lease ended.
    Stopped,
}

/// Task that a caller requests the worker to start.
#[derive(Clone, Debug)]
pub struct TaskSpec {
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
    pub spec: TaskSpec,
    pub state: TaskState,
    /// Why the task failed or was stopped; empty otherwise.
    pub reason: &'static str,
    pub is_throttled: bool,
    /// Run time completed until `updated_at`, in ms at full speed.
    progress_ms: f64,
    updated_at: Instant,
    change_signal: Option<oneshot::Sender<()>>,
    end_signals: Vec<oneshot::Sender<()>>,
}

impl Run {
    pub const fn new(spec: TaskSpec, now: Instant) -> Self {
        Self {
            spec,
            state: TaskState::Running,
            reason: "",
            is_throttled: false,
            progress_ms: 0.0,
            updated_at: now,
            change_signal: None,
            end_signals: Vec::new(),
        }
    }

    const fn speed(&self) -> f64 {
        if self.is_throttled { THROTTLED_SPEED } else { 1.0 }
    }

    /// Updates and returns the run time completed so far, in ms at full speed.
    pub fn update_progress(&mut self, now: Instant) -> f64 {
        if self.state == TaskState::Running {
            let elapsed_ms = now.saturating_duration_since(self.updated_at).as_secs_f64() * 1000.0;
            self.progress_ms = elapsed_ms.mul_add(self.speed(), self.progress_ms);
        }
        self.updated_at = now;
        self.progress_ms
    }

    /// Time until the run ends by itself at its current speed; `None` if it never does.
    pub fn remaining_time(&mut self, now: Instant) -> Option<Duration> {
        if self.spec.parsed.never {
            return None;
        }
        let remaining_ms = self.spec.parsed.run_ms as f64 - self.update_progress(now);
        Some(Duration::from_secs_f64((remaining_ms / self.speed() / 1000.0).max(0.0)))
    }

    pub fn throttle(&mut self, now: Instant) {
        self.update_progress(now);
        self.is_throttled = true;
        self.change_signal = None;
    }

    pub fn end(&mut self, state: TaskState, reason: &'static str, now: Instant) {
        self.update_progress(now);
        self.state = state;
        self.reason = reason;
        self.change_signal = None;
        for tx in self.end_signals.drain(..) {
            // Sending fails if the caller no longer waits, which needs no handling.
            let _ = tx.send(());
        }
    }

    /// Returns a receiver that completes when the remaining time has changed or the run has ended.
    pub fn subscribe_to_change(&mut self) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        self.change_signal = Some(tx);
        rx
    }

    /// Returns a receiver that completes when the run ends, or is cancelled if a reboot loses the run.
    pub fn subscribe_to_end(&mut self) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        if self.state == TaskState::Running {
            self.end_signals.push(tx);
        } else {
            // Sending can't fail: the receiver still exists in this function.
            let _ = tx.send(());
        }
        rx
    }

    pub fn answer(&self) -> String {
        answer::derive_answer(&self.spec.payload, self.spec.parsed.answer_bytes)
    }
}
