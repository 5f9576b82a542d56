//! Evacuation of data centres: their workers get no new tasks, and lasting tasks move away as far as their steps allow
//! and other data centres have room.

use serde::Serialize;
use smol_str::SmolStr;

use crate::map::{Map, Set};
use crate::sched::advice::StepName;
use crate::sched::event::Event;
use crate::sched::graph::{PoolName, TaskName};
use crate::sched::plan::Slot;
use crate::sched::scheduler::Scheduler;
use crate::units::MonoTime;

/// Use of an evacuated data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Evacuation {
    /// Data centre.
    pub data_centre: SmolStr,
    /// Number of its workers.
    pub workers: usize,
    /// Number of runs that are or may be on them.
    pub runs: usize,
}

impl Scheduler {
    /// Replaces the set of evacuated data centres. It is in force for all later plans.
    pub fn set_evacuated(&mut self, data_centres: Set<SmolStr>) {
        for data_centre in data_centres.difference(&self.evacuated) {
            self.events.push(Event::EvacuationBegun { data_centre: data_centre.clone() });
        }
        for data_centre in self.evacuated.difference(&data_centres) {
            self.events.push(Event::EvacuationEnded { data_centre: data_centre.clone() });
        }
        for worker in self.workers.values_mut() {
            worker.is_evacuated = data_centres.contains(&worker.report.data_centre);
        }
        self.evacuated = data_centres;
    }

    /// Evacuated data centres and what still runs there, by name.
    #[must_use]
    pub fn evacuations(&self) -> Vec<Evacuation> {
        let count = |data_centre: &SmolStr| {
            let workers = self.workers.values().filter(|w| w.report.data_centre == *data_centre);
            let (workers, runs) = workers.fold((0, 0), |(n, runs), w| (n + 1, runs + w.runs.len()));
            Evacuation { data_centre: data_centre.clone(), workers, runs }
        };
        let mut evacuations: Vec<Evacuation> = self.evacuated.iter().map(count).collect();
        evacuations.sort_by(|a, b| a.data_centre.cmp(&b.data_centre));
        evacuations
    }

    /// Stops lasting tasks in evacuated data centres that may be interrupted and have room elsewhere. Other tasks end by
    /// themselves.
    pub(super) fn empty_evacuated(&mut self, now: MonoTime) {
        if self.evacuated.is_empty() {
            return;
        }
        let mut lasting: Vec<(TaskName, u32, PoolName)> = Vec::new();
        for worker in self.workers.values().filter(|w| w.is_evacuated && w.is_reachable(now)) {
            for (name, number) in &worker.runs {
                if self.step_of(name).is_some_and(|s| s.lasting) {
                    lasting.push((name.clone(), *number, worker.report.pool.clone()));
                }
            }
        }
        lasting.sort();
        let mut slots: Map<PoolName, Vec<Slot>> = Map::default();
        for (name, number, pool) in lasting {
            if !self.may_interrupt(now, &name) {
                continue;
            }
            let Some(step) = self.step_of(&name).cloned() else { continue };
            let free = slots.entry(pool).or_insert_with_key(|pool| self.collect_slots(now, pool));
            let counts = self.count_runs_by_worker(&name.job, name.occurrence as usize, name.step as usize);
            let step_name = StepName { job: name.job.clone(), occurrence: name.occurrence, step: name.step };
            let Some(job) = self.jobs.get(&name.job) else { continue };
            let claim = self.claim(now, &step_name, job, &step);
            if let Some(at) = self.choose_slot(free, &step, &name, &counts, &claim) {
                free[at].take(&step, &claim);
                self.order_stop(now, &name, number, "data centre is evacuated");
            }
        }
    }
}
