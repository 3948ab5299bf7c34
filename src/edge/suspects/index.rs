//! The crashes of each feature that may be their cause.

use std::collections::{BTreeSet, HashMap};

use super::crash_set::{CrashSet, MAX_CRASHES};
use super::{Crash, CrashId, Feature};

/// Crashes that a feature may have caused.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpenCrashes {
    /// All of them.
    pub all: CrashSet,
    /// Those of [`Crash::strong_causes`] it is one.
    pub strong: CrashSet,
}

/// Open crashes by feature, kept up to date with each change of a crash.
#[derive(Debug, Default)]
pub struct Index {
    by_feature: HashMap<Feature, OpenCrashes>,
    /// Features with several open crashes: only they can be held.
    repeated: BTreeSet<Feature>,
    slots: Vec<Option<CrashId>>,
}

impl Index {
    /// Returns a slot for a crash.
    pub fn take_slot(&mut self, id: &CrashId) -> u8 {
        let free = self.slots.iter().position(Option::is_none);
        let slot = free.unwrap_or(self.slots.len());
        assert!(slot < MAX_CRASHES, "a crash is removed before one is added");
        if free.is_none() {
            self.slots.push(None);
        }
        self.slots[slot] = Some(id.clone());
        slot as u8
    }

    /// Frees the slot of a crash whose features have been removed.
    pub fn free_slot(&mut self, slot: u8) {
        self.slots[usize::from(slot)] = None;
    }

    /// Returns the id of the crash in a slot.
    pub fn id(&self, slot: u8) -> Option<&CrashId> {
        self.slots.get(usize::from(slot))?.as_ref()
    }

    /// Adds the open features of a crash.
    pub fn insert(&mut self, slot: u8, crash: &Crash) {
        for (feature, is_strong) in crash.causes() {
            let open = self.by_feature.entry(feature).or_default();
            open.all.insert(slot);
            if is_strong {
                open.strong.insert(slot);
            }
            if open.all.len() == 2 {
                self.repeated.insert(feature);
            }
        }
    }

    /// Removes the open features of a crash.
    pub fn remove(&mut self, slot: u8, crash: &Crash) {
        for (feature, _) in crash.causes() {
            let Some(open) = self.by_feature.get_mut(&feature) else {
                continue;
            };
            open.all.remove(slot);
            open.strong.remove(slot);
            match open.all.len() {
                0 => drop(self.by_feature.remove(&feature)),
                1 => drop(self.repeated.remove(&feature)),
                _ => {}
            }
        }
    }

    /// Returns the crashes that a feature may have caused.
    pub fn open(&self, feature: Feature) -> OpenCrashes {
        self.by_feature.get(&feature).copied().unwrap_or_default()
    }

    /// Returns the features that may have caused several crashes, in order.
    pub fn repeated(&self) -> impl Iterator<Item = (Feature, OpenCrashes)> {
        self.repeated.iter().map(|f| (*f, self.open(*f)))
    }
}
