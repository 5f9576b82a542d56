//! Durable jobs and claims.
