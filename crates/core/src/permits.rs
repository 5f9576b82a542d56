//! Local use of the permits that an entry holds.
