//! Links between daemons.

pub mod wire;
