//! The carawaybarrow process: sockets, timers and clients around the decisions of `carawaybarrow-core`.

pub mod clock;
pub mod http_client;
pub mod http_server;
pub mod settings;
pub mod store;
pub mod vm_list;
pub mod worker;
