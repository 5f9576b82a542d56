//! HTTP client with persistent connections, and HTTP server with graceful shutdown.

pub mod client;
pub mod server;

mod message;
mod request;
