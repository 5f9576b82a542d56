//! Plans maintenance waves and moves.
