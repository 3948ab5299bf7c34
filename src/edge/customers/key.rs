//! Digests of customers' keys.

use std::fmt;
use std::hash::{Hash, Hasher};

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Length of a digest, bytes.
const DIGEST_BYTES: usize = 32;

/// SHA-256 of a key. Two are compared in constant time, and its debug output shows nothing of it.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        KeyDigest(Sha256::digest(key).into())
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
