//! Tests of the job shard: rules, a fault matrix over the life of a job, and the claim protocol.

mod cell;
mod faults;
mod life;
mod protocol;
mod rules;
