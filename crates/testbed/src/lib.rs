//! Stand-ins for the platform, a caller and a load generator.
//!
//! Each stand-in runs as a process of its own or inside a test, on any free port of the loopback interface.

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
