//! The decisions: routing, placement, sleep, permits and admission.

mod admission;
mod limits;
mod permits;
mod placement;
mod routing;
mod sleep;

use std::time::Duration;

use mastichinge::clock::Moment;

/// The moment so many seconds after the start.
fn secs(n: u64) -> Moment {
    Duration::from_secs(n)
}
