//! Quarantine of workers that fail more than their pool.
