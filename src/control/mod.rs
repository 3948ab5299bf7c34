//! The control thread.
