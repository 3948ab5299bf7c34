//! Calls that may not be repeated.
