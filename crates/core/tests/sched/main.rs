//! Tests of the scheduler of job graphs against a simulation of workers and the store.

mod capacity;
mod directory;
mod division;
mod ends_across_terms;
mod ends_model;
mod ends_random;
mod evacuation;
mod hopeless;
mod last_stop;
mod lifecycle;
mod model;
mod model_worker;
mod moved_queues;
mod odd_entries;
mod overlap;
mod peaks;
mod random;
mod relief;
mod removed_queues;
mod reservations;
mod restarts;
mod succession;
mod takeover;
mod team_ceilings;
mod unstored_ends;
mod vm_turns;
