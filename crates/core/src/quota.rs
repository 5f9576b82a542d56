//! Permits of teams, divided between entries.
