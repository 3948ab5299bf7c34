//! Features of requests that broke off at this daemon when an engine ended.

use std::collections::HashMap;

use super::Feature;

/// Number of features from which all are forgotten.
const MAX_FEATURES: usize = 16_384;

/// The first crash at which each feature was seen, by the number of the crash. A crash keeps few
/// of its features; this tells which to prefer.
#[derive(Debug, Default)]
pub struct BrokenFeatures(HashMap<Feature, u64>);

impl BrokenFeatures {
    /// Records a feature at a crash; returns whether it was at another one before.
    pub fn record(&mut self, feature: Feature, crash: u64) -> bool {
        if self.0.len() >= MAX_FEATURES && !self.0.contains_key(&feature) {
            self.0.clear();
        }
        *self.0.entry(feature).or_insert(crash) != crash
    }

    /// Forgets a feature that an engine has answered.
    pub fn forget(&mut self, feature: Feature) {
        self.0.remove(&feature);
    }
}
