//! HTTP towards operators.
