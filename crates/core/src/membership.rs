//! Members and the freshness rule.
