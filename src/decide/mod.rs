//! Decisions: pure functions of state and `now`.
