//! Stand-ins for the platform.

fn main() {}
