//! Transition functions of the core protocols, without I/O.

pub mod calls;
pub mod ownership;
pub mod versions;
