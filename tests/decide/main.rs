//! Tests of routing, placement, sleep, permits, limits and admission.

mod admission;
mod limits;
mod permits;
mod placement;
mod routing;
mod sleep;

use std::time::Duration;

use mastichinge::clock::Moment;

/// Returns the time `n` seconds after the start.
fn secs(n: u64) -> Moment {
    Duration::from_secs(n)
}
