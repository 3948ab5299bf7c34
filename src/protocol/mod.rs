//! Transition functions of the core protocols, free of I/O.

pub mod calls;
pub mod ownership;
pub mod versions;
