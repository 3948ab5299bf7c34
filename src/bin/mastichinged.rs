//! The daemon of an entry host.

fn main() {}
