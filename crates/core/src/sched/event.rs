//! Events that the scheduler reports for the log.

use smol_str::SmolStr;

use crate::sched::advice::StepName;
use crate::sched::graph::{JobKey, TaskName, WorkerKey};
use crate::sched::order::EndKind;
use crate::sched::progress::JobState;
use crate::sched::unsettled::UnsettledRun;
use crate::units::Millis;

/// A change in the scheduler's state, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An operator evacuates a data centre.
    EvacuationBegun {
        /// Data centre.
        data_centre: SmolStr,
    },
    /// A data centre is no longer evacuated.
    EvacuationEnded {
        /// Data centre.
        data_centre: SmolStr,
    },
    /// A run ended.
    RunEnded {
        /// Task.
        task: TaskName,
        /// Number of the run.
        run: u32,
        /// Worker that had the run.
        worker: WorkerKey,
        /// How the run ended.
        kind: EndKind,
    },
    /// It has been unknown for long whether a run was started or stopped.
    RunUnsettled(UnsettledRun),
    /// A job reached a final state.
    JobEnded {
        /// Job.
        job: JobKey,
        /// Final state.
        state: JobState,
    },
    /// A worker lists a run that this term did not start; the scheduler adopts it.
    RunAdopted {
        /// Task.
        task: TaskName,
        /// Number of the run.
        run: u32,
        /// Worker.
        worker: WorkerKey,
    },
    /// The worker has restarted, was replaced, or its VM is gone, so its runs are lost.
    WorkerRestarted {
        /// Worker.
        worker: WorkerKey,
    },
    /// The lease of a silent worker has lapsed.
    WorkerLapsed {
        /// Worker.
        worker: WorkerKey,
        /// Number of runs that were lost.
        runs: usize,
    },
    /// A worker failed several tasks in a row and gets no new ones for a while. A stalled run counts as a failure and
    /// may also lead to this state, but without this event.
    WorkerQuarantined {
        /// Worker.
        worker: WorkerKey,
        /// Number of failures in a row.
        failures: u32,
    },
    /// Room is kept for a step that fits nowhere.
    RoomReserved {
        /// Step.
        step: StepName,
        /// Expected time until its first task starts.
        starts_in: Millis,
    },
    /// No room is kept for a step any more, as it has waited for as long as its objective allows for all its work.
    ReservationLapsed {
        /// Step.
        step: StepName,
    },
    /// All runs of earlier terms are known: every worker that may hold one has answered, or its lease has lapsed.
    Reconciled {
        /// Number of workers that did not answer before their leases lapsed.
        silent: usize,
    },
}
