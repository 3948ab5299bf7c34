//! Choice of the engine that wakes a model.
//!
//! The cost of an engine is in weighted seconds of cold start; the lowest
//! wins:
//!
//! ```text
//! cost = worth * tail_weight * load time from the engine's cache tier
//!      + cost of the evictions that make room
//!      + SHARED * worth * tail_weight * remote load time
//!            for each replica in the same failure domain
//!      + BUSY * worth * tail_weight * remote load time * fill of its slots
//!      + UNPINNED * worth * tail_weight without a pin
//! ```
//!
//! An eviction costs what waking the evicted model again is expected to cost
//! (see [`super::sleep::wake_cost`]): probability of an arrival within the
//! horizon, times its load time, tail weight and worth.

use std::time::Duration;

use super::eviction::{eviction_cost, evictions, loads_base, memory};
pub use super::rooms::{Base, Idle, ModelId, Placing, Plan, Room, TierShares, Wanted, Weights};
use crate::config::Strategy;

/// Remote load times that a replica in the same failure domain weighs.
pub const SHARED: f64 = 0.2;
/// Remote load times that an engine whose slots are all taken weighs.
pub const BUSY: f64 = 0.1;
/// Seconds for the table write that a new pin needs.
pub const UNPINNED: f64 = 0.05;
/// Cost of a remaining MB of free memory, so that the tightest of equals wins.
pub const LOOSE: f64 = 1e-9;

/// Places `wanted`, or answers `None` when no room can hold it.
///
/// `taken` counts, by failure domain, the replicas that it has already.
pub fn place(wanted: &Wanted, rooms: &[Room], taken: &[u32], how: &Placing) -> Option<Plan> {
    let engine = match how.strategy {
        Strategy::FirstFit => first_fit(wanted, rooms, 0, how),
        Strategy::Solo => first_fit(wanted, rooms, how.start, how),
        Strategy::Adaptive | Strategy::KeepAlive | Strategy::Never => {
            cheapest(wanted, rooms, taken, how)
        }
    }?;
    let room = rooms.get(engine)?;
    Some(Plan {
        engine,
        evict: evictions(wanted, room)?,
        base: loads_base(wanted, room),
        load: load_time(wanted, room, how),
    })
}

/// Baseline: the first engine with free memory, else the first where
/// evictions make room, looking from `start` on.
fn first_fit(wanted: &Wanted, rooms: &[Room], start: usize, how: &Placing) -> Option<usize> {
    let mut fallback = None;
    for i in 0..rooms.len() {
        let at = (start + i) % rooms.len();
        let room = &rooms[at];
        if !usable(wanted, room, how) {
            continue;
        }
        if room.free >= memory(wanted, room) {
            return Some(at);
        }
        if fallback.is_none() && eviction_cost(wanted, room, f64::INFINITY).is_some() {
            fallback = Some(at);
        }
    }
    fallback
}

fn cheapest(wanted: &Wanted, rooms: &[Room], taken: &[u32], how: &Placing) -> Option<usize> {
    let weight = (how.tail_weight * wanted.worth).max(f64::MIN_POSITIVE);
    let mut best = None;
    let mut least = f64::INFINITY;
    for (i, room) in rooms.iter().enumerate() {
        if !usable(wanted, room, how) {
            continue;
        }
        let cost = weight * wait(wanted, room, taken, how) + LOOSE * room.free as f64;
        if cost >= least {
            continue;
        }
        let Some(evict) = eviction_cost(wanted, room, least - cost) else {
            continue;
        };
        if cost + evict < least {
            least = cost + evict;
            best = Some(i);
        }
    }
    best
}

fn usable(wanted: &Wanted, room: &Room, how: &Placing) -> bool {
    room.open
        && !room.held
        && (room.pinned || !how.pinned_only)
        && (wanted.base.is_none() || room.base != Base::Absent)
}

/// Cost of the room without evictions, seconds.
fn wait(wanted: &Wanted, room: &Room, taken: &[u32], how: &Placing) -> f64 {
    let shared = taken.get(usize::from(room.domain)).copied().unwrap_or(0);
    let fill = f64::from(room.load) / f64::from(room.slots.max(1));
    let remote = wanted.weights.load.as_secs_f64();
    let unpinned = if room.pinned { 0.0 } else { UNPINNED };
    load_time(wanted, room, how).as_secs_f64()
        + remote * (SHARED * f64::from(shared) + BUSY * fill.min(1.0))
        + unpinned
}

fn load_time(wanted: &Wanted, room: &Room, how: &Placing) -> Duration {
    let own = how.tiers.time(wanted.weights.load, room.tier);
    match (wanted.base, room.base) {
        (Some(base), Base::Pinned(tier)) => own + how.tiers.time(base.load, tier),
        _ => own,
    }
}
