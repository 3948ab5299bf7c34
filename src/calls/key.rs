//! Keys of records and fingerprints of calls.

use sha2::{Digest, Sha256};

use crate::config::Name;

/// Number of groups that records are spread over, for the removal of old ones.
pub const SHARD_COUNT: u32 = 65_536;

/// Longest idempotency key, bytes.
const KEY_MAX: usize = 255;

/// An idempotency key that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the Idempotency-Key {0:?} is empty, longer than 255 bytes or not visible ASCII")]
pub struct InvalidKey(pub String);

/// Key of the record of a call: `call/<shard>/<key>`.
///
/// The caller is not part of it, so that the key in the hands of another
/// caller is recognised and refused.
pub fn record_key(key: &str) -> Result<Name, InvalidKey> {
    let visible = key.bytes().all(|b| b.is_ascii_graphic());
    if key.is_empty() || key.len() > KEY_MAX || !visible {
        return Err(InvalidKey(key.chars().take(KEY_MAX).collect()));
    }
    let hash = Sha256::digest(key.as_bytes());
    let number = u32::from(hash[0]) << 8 | u32::from(hash[1]);
    Ok(format!("{}{key}", shard_prefix(number)).into())
}

/// Prefix of the records of one shard.
pub fn shard_prefix(number: u32) -> String {
    format!("call/{:04x}/", number % SHARD_COUNT)
}

/// Hash of what a call asks for; a retry shows the same.
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
    fn keys_are_visible_ascii_and_parts_do_not_run_together() {
        assert!(record_key("b-1").unwrap().ends_with("/b-1"));
        assert!(record_key("").is_err());
        assert!(record_key("a b").is_err());
        assert_ne!(fingerprint("a", "bc", b""), fingerprint("ab", "c", b""));
    }
}
