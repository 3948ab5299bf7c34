//! Transition functions of the core protocols, free of I/O.

pub mod ownership;
