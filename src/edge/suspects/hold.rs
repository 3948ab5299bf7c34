//! What the store keeps of a held feature.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Crash, CrashId, Evidence, Feature, HeldChange, Suspects};
use crate::clock::Moment;
use crate::edge::upstream::Lifetime;

/// Maximum number of crashes in a row; as many as it takes to hold a feature.
const MAX_ROW_CRASHES: usize = 6;

/// A held feature's row in the store, from which daemons that start know it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRecord {
    /// Crashes that it explains.
    pub crashes: Vec<CrashRecord>,
    /// Number of trials so far.
    #[serde(default)]
    pub trials: u32,
    /// Number of trials among them that were late.
    #[serde(default)]
    pub late: u32,
}

/// A crash as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Id of the engine.
    pub engine: Arc<str>,
    /// Start time of the engine, ms since the Unix epoch; 0 when unknown.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Whether the engine ended.
    pub ended: bool,
    /// Whether engines had answered requests with the feature before.
    #[serde(default)]
    pub known: bool,
}

impl Suspects {
    /// Returns what the store is to keep of a held feature.
    pub fn hold_record(&self, feature: Feature) -> HoldRecord {
        let mut crashes: Vec<_> = self.crashes_by(feature).collect();
        crashes.sort_by_key(|(id, crash)| (crash.at, *id));
        let record = |(id, crash): (&CrashId, &Crash)| CrashRecord {
            engine: id.lifetime.engine.clone(),
            incarnation: id.lifetime.incarnation,
            ended: id.ended,
            known: crash.features.get(&feature).is_some_and(|e| e.known),
        };
        HoldRecord {
            crashes: crashes
                .into_iter()
                .take(MAX_ROW_CRASHES)
                .map(record)
                .collect(),
            trials: self.trials.count(feature),
            late: self.trials.late_count(feature),
        }
    }

    /// Applies a row of the store.
    pub fn restore(&mut self, feature: Feature, record: &HoldRecord, now: Moment) -> HeldChange {
        let mut change = HeldChange::default();
        let is_held = self.held.contains(&feature);
        for crash in &record.crashes {
            let id = CrashId {
                lifetime: Lifetime {
                    engine: crash.engine.clone(),
                    incarnation: crash.incarnation,
                },
                ended: crash.ended,
            };
            let evidence = Evidence {
                begun: true,
                known: crash.known,
                ..Evidence::default()
            };
            let mut report = Crash::new(&id, now, now);
            report.add(feature, evidence);
            let more = self.merge(&id, &report, now);
            change.held.extend(more.held);
            change.released.extend(more.released);
        }
        self.trials.record(feature, record.trials, now);
        self.trials.record_late(feature, record.late);
        if !is_held {
            // It is not known when its crashes happened.
            self.trials.mark_old(feature);
        }
        change
    }
}
