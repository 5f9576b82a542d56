//! Tests of the scheduler of job graphs against a simulation of workers and the store.

mod capacity;
mod directory;
mod lifecycle;
mod model;
mod random;
mod takeover;
