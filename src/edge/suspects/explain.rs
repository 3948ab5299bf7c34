//! Finds the features that explain the crashes.
//!
//! Requests come first, as the more specific explanation: a small set of them that covers their
//! crashes. A part is held only if crashes with it come from several requests of which none
//! explains them all.

use std::collections::{BTreeMap, BTreeSet};

use super::Feature;
use super::crash_set::{CrashSet, MAX_CRASHES};
use super::index::{Index, OpenCrashes};

/// Crashes from which a request is held that no engine had answered before.
const NEW_REQUEST_CRASHES: u32 = 2;
/// Crashes from which a request is held that engines had answered before.
const KNOWN_REQUEST_CRASHES: u32 = 3;
/// Crashes from which requests are held that were at exactly the same ones.
const TIED_REQUEST_CRASHES: u32 = 4;
/// Crashes from which a request is held even if others explain all of them.
const ANY_REQUEST_CRASHES: u32 = 6;
/// Maximum number of requests that are compared; those with most crashes.
const MAX_CANDIDATES: usize = 64;

/// A crash that a request shares with no other.
const WHOLE: u64 = 1 << 32;

/// Points of a crash for a part that is a strong cause of it.
const STRONG_POINTS: u32 = 5;
/// Points of a crash for any other part.
const WEAK_POINTS: u32 = 2;
/// Points from which a part is held: two crashes if it is new, else five.
const HELD_POINTS: u32 = 10;
/// Crashes of one request that count for a part: its caller may repeat it.
const CRASHES_PER_REQUEST: u32 = 2;
/// Crashes of a held request from which they do not count for its parts.
const CERTAIN_REQUEST_CRASHES: u32 = 4;
/// Different requests with a new part that must have been at crashes.
const NEW_PART_REQUESTS: u32 = 2;
/// Different requests with a part that engines had answered before.
const KNOWN_PART_REQUESTS: u32 = 3;

/// Requests that were at the same crashes.
struct Group {
    crashes: CrashSet,
    /// Crashes before which no engine had answered any of them.
    new: CrashSet,
    requests: Vec<Feature>,
}

impl Group {
    fn is_held(&self) -> bool {
        let count = self.crashes.len();
        let needed = match self.new.len() >= NEW_REQUEST_CRASHES {
            true => NEW_REQUEST_CRASHES,
            false => KNOWN_REQUEST_CRASHES,
        };
        count >= needed && (self.requests.len() == 1 || count >= TIED_REQUEST_CRASHES)
    }
}

/// Returns the features that are held.
pub fn held_features(index: &Index) -> BTreeSet<Feature> {
    let groups = request_groups(index);
    let often = |g: &&Group| g.crashes.len() >= ANY_REQUEST_CRASHES;
    let often = groups.iter().filter(often).flat_map(|g| g.requests.clone());
    let mut held: BTreeSet<_> = often.collect();
    let cover = cover(groups);
    let singled_out = cover.iter().filter(|g| g.is_held());
    held.extend(singled_out.flat_map(|g| g.requests.iter().copied()));
    hold_parts(index, &cover, &mut held);
    held
}

/// Returns the requests that were at several crashes, by their crashes.
fn request_groups(index: &Index) -> Vec<Group> {
    let mut by_crashes: BTreeMap<CrashSet, Group> = BTreeMap::new();
    for (feature, open) in index.repeated() {
        if !matches!(feature, Feature::Request(_)) {
            continue;
        }
        let group = by_crashes.entry(open.all).or_insert_with(|| Group {
            crashes: open.all,
            new: open.strong,
            requests: Vec::new(),
        });
        group.new = group.new.and(&open.strong);
        group.requests.push(feature);
    }
    // The order depends on features, not on slots, which differ between daemons.
    let mut groups: Vec<_> = by_crashes.into_values().collect();
    groups.sort_by_key(|g| (std::cmp::Reverse(g.crashes.len()), g.requests[0]));
    groups.truncate(MAX_CANDIDATES);
    groups
}

/// Returns a small set of groups that covers all crashes of `groups`. Requests are left out, one
/// after the other, whose crashes others explain: first those that share theirs with most.
fn cover(mut groups: Vec<Group>) -> Vec<Group> {
    let mut sharing = [0_u32; MAX_CRASHES];
    for slot in groups.iter().flat_map(|g| g.crashes.iter()) {
        sharing[usize::from(slot)] += 1;
    }
    loop {
        let mut least: Option<(u64, usize)> = None;
        // Of those with fewest crashes, the last one is left out among equals.
        for (i, group) in groups.iter().enumerate().rev() {
            let at = |slot| sharing[usize::from(slot)];
            if group.crashes.iter().any(|slot| at(slot) < 2) {
                continue;
            }
            let share = group.crashes.iter().map(|s| WHOLE / u64::from(at(s))).sum();
            if least.is_none_or(|(known, _)| share < known) {
                least = Some((share, i));
            }
        }
        let Some((_, i)) = least else {
            return groups;
        };
        for slot in groups.remove(i).crashes.iter() {
            sharing[usize::from(slot)] -= 1;
        }
    }
}

/// What speaks against a part.
#[derive(Default)]
struct Points {
    all: u32,
    /// Of crashes of which it is a strong cause.
    strong: u32,
    requests: u32,
}

impl Points {
    fn add(&mut self, crashes: u32, strong: u32) {
        self.all += strong * STRONG_POINTS + (crashes - strong) * WEAK_POINTS;
        self.strong += strong * STRONG_POINTS;
    }

    fn is_held(&self) -> bool {
        let needed = match self.strong >= HELD_POINTS {
            true => NEW_PART_REQUESTS,
            false => KNOWN_PART_REQUESTS,
        };
        self.all >= HELD_POINTS && self.requests >= needed
    }
}

/// Returns what speaks against a part that was at these crashes, of which no request is the
/// certain cause. One that no request of the cover explains is of a request that was at no other.
fn points(open: &OpenCrashes, cover: &[Group]) -> Points {
    let mut points = Points::default();
    let mut rest = open.all;
    for group in cover {
        if rest.is_empty() {
            break;
        }
        let crashes = rest.and(&group.crashes);
        if crashes.is_empty() {
            continue;
        }
        rest = rest.minus(&crashes);
        let count = crashes.len().min(CRASHES_PER_REQUEST);
        points.add(count, crashes.and(&open.strong).len().min(count));
        points.requests += 1;
    }
    points.add(rest.len(), rest.and(&open.strong).len());
    points.requests += rest.len();
    points
}

/// Adds the parts that are held: again and again those with most points among the crashes that
/// no held part explains yet.
fn hold_parts(index: &Index, cover: &[Group], held: &mut BTreeSet<Feature>) {
    let is_part = |(f, _): &(Feature, _)| matches!(f, Feature::Part(_));
    let mut parts: Vec<_> = index.repeated().filter(is_part).collect();
    let is_certain = |g: &&Group| g.is_held() && g.crashes.len() >= CERTAIN_REQUEST_CRASHES;
    let certain = cover.iter().filter(is_certain).map(|g| g.crashes);
    set_aside(
        &mut parts,
        certain.fold(CrashSet::default(), |all, c| all.or(&c)),
    );
    loop {
        let against = parts
            .iter()
            .map(|(f, open)| (*f, open, points(open, cover)));
        let against: Vec<_> = against.filter(|(_, _, points)| points.is_held()).collect();
        let Some(most) = against.iter().map(|(_, _, points)| points.all).max() else {
            return;
        };
        let mut explained = CrashSet::default();
        for (feature, open, _) in against.iter().filter(|(_, _, p)| p.all == most) {
            held.insert(*feature);
            explained = explained.or(&open.all);
        }
        set_aside(&mut parts, explained);
    }
}

/// Removes crashes that are explained already.
fn set_aside(parts: &mut Vec<(Feature, OpenCrashes)>, explained: CrashSet) {
    for (_, open) in parts.iter_mut() {
        open.all = open.all.minus(&explained);
        open.strong = open.strong.minus(&explained);
    }
    parts.retain(|(_, open)| open.all.len() > 1);
}
