//! What engines say of their load, and how fast each of them is: lastingly, and at the moment.
//!
//! Engines share machines with other work, so that one is slow for a short time. What it says
//! of that is passed on to all daemons, because one of them hears an engine too rarely.

mod news;
mod note;
mod occupancy;
mod pace;

pub use news::EngineNews;
pub use note::EngineNewsNote;
pub use occupancy::{QueueAhead, WaitingHere};
pub use pace::EnginePace;

use std::time::Duration;

/// Load of an engine by its own word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Requests of all daemons that it runs.
    pub running: u32,
    /// Requests of all daemons that wait there.
    pub waiting: u32,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Time that work takes there now, percent of the usual time; absent if it says nothing.
    pub slowness_percent: Option<u32>,
}

/// A measured time to a first event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FirstEvent {
    /// As predicted, with what was known of the engine's speed.
    pub predicted: Duration,
    /// As predicted for an engine of usual speed.
    pub usual: Duration,
    /// As measured.
    pub measured: Duration,
}
