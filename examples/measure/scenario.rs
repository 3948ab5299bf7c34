//! What a run puts the daemons through.

use std::time::Duration;

/// What a run puts the daemons through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// Rare arrivals only.
    Quiet,
    /// First requests for many sleeping models at all hosts at once.
    Opening,
    /// Twice the requests that the engines can serve.
    Overload,
    /// An opening before a store at a third of its speed.
    StoreSlow,
    /// An opening during which the owner of a pool is killed.
    HostLost,
    /// An opening during which an engine crashes and restarts.
    EngineLost,
    /// An opening while the table is down.
    TableDown,
    /// Streams of a loaded model.
    Warm,
}

/// Moment of the opening, or of the beginning of overload.
pub const OPENING: Duration = Duration::from_secs(5);
/// Slots of an engine in [`Scenario::Overload`], so that few clients fill it.
const OVERLOAD_SLOTS: u32 = 2;

impl Scenario {
    /// Slots of each engine, where they differ from the firm's own.
    pub fn slots(self) -> Option<u32> {
        (self == Scenario::Overload).then_some(OVERLOAD_SLOTS)
    }

    /// Time during which requests arrive.
    pub fn length(self) -> Duration {
        match self {
            Scenario::Overload => Duration::from_secs(17),
            _ => Duration::from_secs(25),
        }
    }
}
