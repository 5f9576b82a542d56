//! The carawaybarrow command.

fn main() {}
