//! Tests of the journal, stored as job shards: rules, a fault matrix over the lifecycle of a job, and the claim
//! protocol.

mod faults;
mod protocol;
mod rules;
mod simulation;
mod store;
