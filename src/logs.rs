//! Structured logs.
