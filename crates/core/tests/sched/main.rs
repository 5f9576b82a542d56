//! Scheduling of job graphs against a model of workers.

mod capacity;
mod directory;
mod life;
mod model;
mod random;
mod takeover;
