//! Decides whether a job is accepted.
