//! HTTP for the processes: a client that keeps connections and a server that stops without cutting a request.

pub mod client;
pub mod server;
