//! Records of jobs, moves, drains and changes for the month report.
