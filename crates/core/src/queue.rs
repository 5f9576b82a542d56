//! Order in which waiting jobs start.
