//! Stand-ins for the platform services (store, VM list, workers), a calling client, a load generator and
//! measurements.
//!
//! Each stand-in runs as a process of its own or inside a test, by default on a free port of the loopback interface.

pub mod answer;
pub mod bench;
pub mod capacity;
pub mod client;
pub mod http;
pub mod load;
pub mod policy;
pub mod starts;
pub mod store;
pub mod submit;
pub mod vms;
pub mod worker;
