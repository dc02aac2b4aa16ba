//! Measures one entry.

fn main() {}
