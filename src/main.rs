//! The `gentiansill` program.

fn main() {}
