//! What a scheduler learned, for the log.

use crate::sched::graph::{JobKey, TaskName, WorkerKey};
use crate::sched::order::EndKind;
use crate::sched::progress::JobState;

/// Something that changed what the scheduler believes, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A run ended.
    RunEnded {
        /// Task.
        task: TaskName,
        /// Number of the run.
        run: u32,
        /// Worker.
        worker: WorkerKey,
        /// How.
        kind: EndKind,
    },
    /// A job reached a final state.
    JobEnded {
        /// Job.
        job: JobKey,
        /// State.
        state: JobState,
    },
    /// A run of an earlier scheduler was found on a worker.
    RunAdopted {
        /// Task.
        task: TaskName,
        /// Number of the run.
        run: u32,
        /// Worker.
        worker: WorkerKey,
    },
    /// A worker lives anew: what it ran is gone.
    WorkerReborn {
        /// Worker.
        worker: WorkerKey,
    },
    /// All leases of a silent worker have ended.
    WorkerLapsed {
        /// Worker.
        worker: WorkerKey,
        /// Runs that were lost.
        runs: usize,
    },
    /// A worker failed several tasks in a row and gets no more for a while.
    WorkerQuarantined {
        /// Worker.
        worker: WorkerKey,
        /// Failures in a row.
        failures: u32,
    },
    /// Every worker that may hold runs of an earlier term has answered, or its leases have ended.
    Settled {
        /// Workers whose leases ended without an answer.
        silent: usize,
    },
}
