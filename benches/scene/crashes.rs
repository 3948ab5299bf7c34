//! Crashes of engines with as many requests and parts as the decision has to bear.

use mastichinge::clock::Moment;
use mastichinge::edge::suspects::{CrashId, Feature, Suspects};
use mastichinge::edge::upstream::Lifetime;

/// Parts of a prompt.
const PARTS: u64 = 400;
/// Requests in progress at an engine that crashes.
const REQUESTS: u64 = 32;
/// Different requests that crash engines.
const BAD_REQUESTS: u64 = 12;

/// Returns the id of a crash.
pub fn crash_id(n: u64) -> CrashId {
    CrashId::end_of(&Lifetime {
        engine: format!("e{n}").as_str().into(),
        incarnation: 1_000,
    })
}

/// Returns the parts of a prompt, from a number on.
pub fn parts(first: u64) -> impl Iterator<Item = Feature> {
    (first..first + PARTS).map(Feature::Part)
}

/// Returns the features in progress at a crash: parts that all requests share, requests that
/// moved on from the crash before, and a bad one.
pub fn crash_features(n: u64) -> impl Iterator<Item = (Feature, bool)> {
    let first = 1_000 + n * REQUESTS / 2;
    let near = (first..first + REQUESTS).map(Feature::Request);
    let bad = Feature::Request(n % BAD_REQUESTS);
    parts(0).chain(near).chain([bad]).map(|f| (f, true))
}

/// Returns a request of each of 100 crashes.
pub fn requests(suspects: &Suspects, now: Moment) -> Vec<Feature> {
    let notes = suspects.crash_ids().filter_map(|id| suspects.note(id, now));
    let requests = notes.filter_map(|n| n.features.into_iter().rfind(|f| f.is_request));
    requests.map(|f| Feature::Request(f.id)).take(100).collect()
}
