//! Decisions: pure functions of state and `now`.

pub mod admission;
pub mod board;
pub mod breaker;
pub mod eviction;
pub mod history;
pub mod limits;
pub mod pace;
pub mod permits;
pub mod pinning;
pub mod placement;
pub mod retry;
pub mod rooms;
pub mod routing;
pub mod sleep;
pub mod store;
pub mod window;
