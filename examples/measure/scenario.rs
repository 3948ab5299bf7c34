//! Scenarios of load and faults.

use std::time::Duration;

/// A scenario of load and faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// Rare arrivals only.
    Quiet,
    /// First requests for many unloaded models at all hosts at once.
    Opening,
    /// Twice the request rate that the engines can serve.
    Overload,
    /// An opening with the weight store at a third of its speed.
    StoreSlow,
    /// An opening during which the owner of a pool is killed.
    HostLost,
    /// An opening during which an engine crashes and restarts.
    EngineLost,
    /// An opening while the table is down.
    TableDown,
    /// Streams from a loaded model.
    Warm,
}

/// Time from the start of the run to the opening or the overload.
pub const OPENING: Duration = Duration::from_secs(5);
/// Slots of an engine in [`Scenario::Overload`], low so that few clients saturate it.
const OVERLOAD_SLOTS: u32 = 2;

impl Scenario {
    /// Returns the slots of each engine if they differ from the firm's configuration.
    pub fn slots(self) -> Option<u32> {
        (self == Scenario::Overload).then_some(OVERLOAD_SLOTS)
    }

    /// Returns the time during which requests arrive.
    pub fn length(self) -> Duration {
        match self {
            Scenario::Overload => Duration::from_secs(17),
            _ => Duration::from_secs(25),
        }
    }
}
