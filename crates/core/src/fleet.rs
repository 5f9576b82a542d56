//! VM records, drain permits and maintenance waves.
