//! Run times learned from reports.
