//! Bounds on client connections.
