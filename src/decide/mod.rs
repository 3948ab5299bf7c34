//! Decisions of routing, placement, pinning, unloading, admission and rate limits,
//! computed from their inputs and the current time.
//!
//! Nothing here reads a clock, does I/O or shares state between threads.

pub mod admission;
pub mod breaker;
pub mod eviction;
pub mod history;
pub mod permits;
pub mod pin_layout;
pub mod pinning;
pub mod placement;
pub mod placement_types;
pub mod rate_limits;
pub mod retry;
pub mod routing;
pub mod service_interval;
pub mod sleep;
pub mod start_window;
pub mod weight_store;
