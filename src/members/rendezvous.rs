//! Rendezvous hashing (Thaler and Ravishankar, 1998).

use sha2::{Digest, Sha256};

use crate::config::Name;

/// Sorts `hosts` by descending weight for `key`. The order of two hosts depends
/// only on `key` and their names, in every build.
pub fn rendezvous_order(key: &str, mut hosts: Vec<Name>) -> Vec<Name> {
    hosts.sort_by_cached_key(|host| std::cmp::Reverse(weight(key, host)));
    hosts
}

fn weight(key: &str, host: &str) -> [u8; 32] {
    let hash = Sha256::new_with_prefix(key);
    // The separator makes ("ab", "c") and ("a", "bc") hash differently.
    hash.chain_update([0]).chain_update(host).finalize().into()
}
