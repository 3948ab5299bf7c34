//! Command lines.
