//! The carawaybarrow process: sockets, timers and clients around the decisions of `carawaybarrow-core`.

pub mod admin;
pub mod cli;
pub mod clock;
pub mod config_sync;
pub mod dispatch;
pub mod durable;
pub mod entry;
pub mod fleet_sync;
pub mod front;
pub mod http_client;
pub mod http_server;
pub mod ledger_segments;
pub mod ledger_sync;
pub mod logging;
pub mod metrics;
pub mod peer;
pub mod quota_sync;
pub mod reports;
pub mod serve;
pub mod settings;
pub mod shards;
pub mod slots;
pub mod store;
pub mod urgent;
pub mod vm_list;
pub mod worker;
