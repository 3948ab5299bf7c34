//! The end of one engine, and what was in progress there.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Feature;
use crate::clock::Moment;
use crate::edge::upstream::Lifetime;

/// Maximum number of features of each kind of one crash, so that it fits one datagram.
const MAX_FEATURES: usize = 16;

/// What is known of a feature at a crash. Each flag is only ever set, so that reports merge to
/// the same state in any order and any number of times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Whether the answer to a request with it had just begun; else it may have been waiting.
    pub begun: bool,
    /// Whether an engine had answered a request with it before.
    pub known: bool,
    /// Whether an engine has answered a request with it since.
    pub cleared: bool,
    /// Whether a daemon saw a request with it break off at another crash before.
    pub repeated: bool,
}

impl Evidence {
    fn merge(&mut self, other: Evidence) -> bool {
        let before = *self;
        self.begun |= other.begun;
        self.known |= other.known;
        self.cleared |= other.cleared;
        self.repeated |= other.repeated;
        *self != before
    }
}

/// What the reports of one crash have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId {
    /// Lifetime of the engine.
    pub lifetime: Lifetime,
    /// Whether the engine ended. If not, it broke off single requests in this lifetime: only
    /// they may be the cause, not what others share with them.
    pub ended: bool,
}

impl CrashId {
    /// Returns the crash that ended a lifetime.
    pub fn end_of(lifetime: &Lifetime) -> Self {
        CrashId {
            lifetime: lifetime.clone(),
            ended: true,
        }
    }
}

/// The end of one lifetime of an engine, or what it broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// When it happened.
    pub at: Moment,
    /// When a request came that is held because of it, or it happened.
    pub seen_at: Moment,
    /// Features of the requests that were in progress.
    pub features: BTreeMap<Feature, Evidence>,
    /// Number that depends on its id.
    pub(super) seed: u64,
}

impl Crash {
    /// Creates a crash without features.
    pub fn new(id: &CrashId, at: Moment, seen_at: Moment) -> Self {
        Crash {
            at,
            seen_at,
            features: BTreeMap::new(),
            seed: xxh3_64_with_seed(id.lifetime.engine.as_bytes(), id.lifetime.incarnation),
        }
    }

    /// Creates a crash with those of many features that are most likely the cause.
    pub fn with_features(id: &CrashId, at: Moment, mut features: Vec<(Feature, Evidence)>) -> Self {
        let mut crash = Crash::new(id, at, at);
        features.sort_unstable_by_key(|(feature, _)| *feature);
        features.dedup_by(|(feature, evidence), (kept, known)| {
            let is_same = feature == kept;
            if is_same {
                known.merge(*evidence);
            }
            is_same
        });
        // All features of one kind come before those of the other.
        for alike in features.chunk_by_mut(|(one, _), (other, _)| same_kind(*one, *other)) {
            if alike.len() > MAX_FEATURES {
                alike.sort_by_cached_key(|(feature, evidence)| crash.innocence(*feature, evidence));
            }
            let likely = alike.iter().take(MAX_FEATURES);
            crash.features.extend(likely.copied());
        }
        crash
    }

    /// Adds what is known of a feature; returns whether that is news.
    pub fn add(&mut self, feature: Feature, evidence: Evidence) -> bool {
        if let Some(known) = self.features.get_mut(&feature) {
            return known.merge(evidence);
        }
        let is_alike = |f: &&Feature| same_kind(**f, feature);
        let count = self.features.keys().filter(is_alike).count();
        if count >= MAX_FEATURES && !self.make_room(feature, evidence) {
            return false;
        }
        self.features.insert(feature, evidence);
        true
    }

    /// Removes the feature of the same kind that is least likely the cause, if it is less likely
    /// than this one; returns whether it is.
    fn make_room(&mut self, feature: Feature, evidence: Evidence) -> bool {
        let least = self
            .features
            .iter()
            .filter(|(f, _)| same_kind(**f, feature))
            .map(|(f, e)| (self.innocence(*f, e), *f))
            .max();
        let Some((most, innocent)) = least else {
            return false;
        };
        if most <= self.innocence(feature, &evidence) {
            return false;
        }
        self.features.remove(&innocent);
        true
    }

    /// Returns how unlikely it is that a feature is the cause, compared with others of its kind.
    /// Among equals, each crash prefers others.
    fn innocence(&self, feature: Feature, evidence: &Evidence) -> (bool, bool, bool, bool, u64) {
        let (Feature::Request(number) | Feature::Part(number)) = feature;
        let rank = xxh3_64_with_seed(&number.to_be_bytes(), self.seed);
        // An engine may crash before the first byte of the answer to a request.
        let is_waiting = matches!(feature, Feature::Part(_)) && !evidence.begun;
        let Evidence {
            cleared,
            repeated,
            known,
            ..
        } = *evidence;
        (cleared, !repeated, is_waiting, known, rank)
    }

    /// Returns the features that may have caused the crash, each with whether it is a strong
    /// cause: one that no engine had answered before and, if it is a part, of a request whose
    /// answer had just begun, unless there is none. Engines crash on a part as they begin to
    /// answer, on a request at any time.
    pub fn causes(&self) -> impl Iterator<Item = (Feature, bool)> {
        let open = self.features.iter().filter(|(_, e)| !e.cleared);
        let is_part = |f: &Feature| matches!(f, Feature::Part(_));
        let has_begun = open.clone().any(|(f, e)| is_part(f) && e.begun);
        open.map(move |(f, e)| (*f, !e.known && (e.begun || !is_part(f) || !has_begun)))
    }
}

fn same_kind(one: Feature, other: Feature) -> bool {
    std::mem::discriminant(&one) == std::mem::discriminant(&other)
}
