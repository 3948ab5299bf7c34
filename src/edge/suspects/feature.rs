//! What requests that crash engines may have in common.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Something by which requests are recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum Feature {
    /// Path and body, by their hash.
    Request(u64),
    /// A part of the prompt that other requests may share, by its id. The model, the route and
    /// the place of the part do not matter.
    Part(u64),
}

/// Text that names no feature.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not part-ID or request-HASH with a hexadecimal number")]
pub struct InvalidFeature(String);

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Feature::Request(hash) => write!(f, "request-{hash:x}"),
            Feature::Part(id) => write!(f, "part-{id:x}"),
        }
    }
}

impl From<Feature> for String {
    fn from(feature: Feature) -> Self {
        feature.to_string()
    }
}

impl TryFrom<String> for Feature {
    type Error = InvalidFeature;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl FromStr for Feature {
    type Err = InvalidFeature;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || InvalidFeature(text.to_owned());
        let (kind, number) = text.split_once('-').ok_or_else(invalid)?;
        let number = u64::from_str_radix(number, 16).map_err(|_| invalid())?;
        match kind {
            "request" => Ok(Feature::Request(number)),
            "part" => Ok(Feature::Part(number)),
            _ => Err(invalid()),
        }
    }
}

/// Returns the features of a request with these shared parts; its own comes last.
pub fn features(fingerprint: u64, shared_parts: impl Iterator<Item = u64>) -> Vec<Feature> {
    let mut features: Vec<_> = shared_parts.map(Feature::Part).collect();
    features.sort_unstable();
    features.dedup();
    features.push(Feature::Request(fingerprint));
    features
}

/// Returns the fingerprint of a request: a hash of path and body.
pub fn fingerprint(path: &str, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(path.as_bytes());
    hash.update(&[0]);
    hash.update(body);
    hash.digest()
}
