//! Budget of retries.
