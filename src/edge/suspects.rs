//! Requests that crash the engines that run them.
//!
//! Whoever's engine breaks off in the middle strikes the request's
//! fingerprint; strikes are shared by all daemons. After the second strike at
//! different engines the request is held for a while.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::clock::Moment;

/// Engines lost to a request before it is held.
pub const CRASH_LIMIT: usize = 2;
/// Time for which a request is held after its last strike.
pub const HOLD_TIME: Duration = Duration::from_secs(30);
/// Fingerprints remembered.
const MAX_RECORDS: usize = 4_096;

/// Fingerprint of a request: path and body.
pub fn fingerprint(path: &str, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(path.as_bytes());
    hash.update(&[0]);
    hash.update(body);
    hash.digest()
}

#[derive(Clone, Debug)]
struct Record {
    engines: BTreeSet<Arc<str>>,
    last: Moment,
}

/// Suspected requests.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: HashMap<u64, Record>,
}

impl Suspects {
    /// Notes that `engine` broke off while it ran the request; true when that
    /// was not known.
    pub fn record_crash(&mut self, fingerprint: u64, engine: &Arc<str>, now: Moment) -> bool {
        if self.records.len() >= MAX_RECORDS {
            self.records
                .retain(|_, r| now.saturating_sub(r.last) < HOLD_TIME);
        }
        let record = self.records.entry(fingerprint).or_insert_with(|| Record {
            engines: BTreeSet::new(),
            last: now,
        });
        let new = record.engines.insert(engine.clone());
        if new {
            record.last = now;
        }
        new
    }

    /// Forgets a request that ran to its end.
    pub fn clear(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Time for which the request is still held; `None` when it is not.
    pub fn held(&self, fingerprint: u64, now: Moment) -> Option<Duration> {
        let record = self.records.get(&fingerprint)?;
        if record.engines.len() < CRASH_LIMIT {
            return None;
        }
        HOLD_TIME.checked_sub(now.saturating_sub(record.last))
    }

    /// Strikes against one request.
    pub fn crash_count(&self, fingerprint: u64) -> usize {
        self.records
            .get(&fingerprint)
            .map_or(0, |r| r.engines.len())
    }
}
