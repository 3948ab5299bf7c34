//! Keys of records and fingerprints of calls.

use sha2::{Digest, Sha256};

use crate::config::Name;

/// Number of shards of the records; old records are removed shard by shard.
pub const SHARD_COUNT: u32 = 65_536;

/// Longest idempotency key, bytes.
const MAX_KEY_BYTES: usize = 255;

/// Error: the idempotency key is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the Idempotency-Key {0:?} is empty, longer than 255 bytes or not visible ASCII")]
pub struct InvalidKey(pub String);

/// Returns the key of the record of a call: `call/<shard>/<key>`.
///
/// The caller is not part of it, so that the use of the same key by another caller
/// is detected and refused.
pub fn record_key(key: &str) -> Result<Name, InvalidKey> {
    let is_visible = key.bytes().all(|b| b.is_ascii_graphic());
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !is_visible {
        return Err(InvalidKey(key.chars().take(MAX_KEY_BYTES).collect()));
    }
    let hash = Sha256::digest(key.as_bytes());
    let shard = u32::from(hash[0]) << 8 | u32::from(hash[1]);
    Ok(format!("{}{key}", shard_prefix(shard)).into())
}

/// Returns the key prefix of the records of a shard.
pub fn shard_prefix(shard: u32) -> String {
    format!("call/{:04x}/", shard % SHARD_COUNT)
}

/// Returns a hash of the method, path and body of a call, which shows whether a
/// request with a known key is a retry of the same call. The length of each part is
/// hashed too, so that bytes moved from one part to the next change the hash.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> Name {
    let mut hash = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let digits = hash.finalize();
    let hex: String = digits.iter().map(|b| format!("{b:02x}")).collect();
    hex.into()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keys_are_visible_ascii_and_fingerprints_separate_their_parts() {
        assert!(record_key("b-1").unwrap().ends_with("/b-1"));
        assert!(record_key("").is_err());
        assert!(record_key("a b").is_err());
        assert_ne!(fingerprint("a", "bc", b""), fingerprint("ab", "c", b""));
    }
}
