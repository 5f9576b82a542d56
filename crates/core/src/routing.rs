//! Choice of the endpoint for a job.
