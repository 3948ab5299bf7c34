//! Quarantine of requests that crash engines.
//!
//! A daemon that loses an engine while the engine may be running a request reports a
//! crash for the request's fingerprint; all daemons share these reports. After two crashes the
//! request is held for a while. An engine crashes once in a lifetime, so that what several
//! daemons report of it counts once.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::upstream::Lifetime;
use crate::clock::Moment;

/// Number of crashes after which a request is held.
pub const CRASH_LIMIT: usize = 2;
/// Time for which a request is held after its last crash report.
pub const HOLD_TIME: Duration = Duration::from_secs(30);
/// Number of fingerprints above which expired ones are removed.
const PRUNE_THRESHOLD: usize = 4_096;

/// Returns the fingerprint of a request: a hash of path and body.
pub fn fingerprint(path: &str, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(path.as_bytes());
    hash.update(&[0]);
    hash.update(body);
    hash.digest()
}

#[derive(Clone, Debug)]
struct CrashRecord {
    crashed: BTreeSet<Lifetime>,
    last_crash: Moment,
}

/// Requests suspected of crashing engines, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: HashMap<u64, CrashRecord>,
}

impl Suspects {
    /// Records that an engine failed in this lifetime while it may have been running the
    /// request; returns whether that is new.
    pub fn record_crash(&mut self, fingerprint: u64, lifetime: &Lifetime, now: Moment) -> bool {
        if self.records.len() >= PRUNE_THRESHOLD {
            self.records
                .retain(|_, r| now.saturating_sub(r.last_crash) < HOLD_TIME);
        }
        let record = self
            .records
            .entry(fingerprint)
            .or_insert_with(|| CrashRecord {
                crashed: BTreeSet::new(),
                last_crash: now,
            });
        let new = record.crashed.insert(lifetime.clone());
        if new {
            record.last_crash = now;
        }
        new
    }

    /// Removes a request that completed.
    pub fn clear(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Returns the time left until the request is no longer held; `None` when it is not.
    pub fn hold_left(&self, fingerprint: u64, now: Moment) -> Option<Duration> {
        let record = self.records.get(&fingerprint)?;
        if record.crashed.len() < CRASH_LIMIT {
            return None;
        }
        HOLD_TIME.checked_sub(now.saturating_sub(record.last_crash))
    }

    /// Returns the number of crashes during one request.
    pub fn crash_count(&self, fingerprint: u64) -> usize {
        self.records
            .get(&fingerprint)
            .map_or(0, |r| r.crashed.len())
    }
}
