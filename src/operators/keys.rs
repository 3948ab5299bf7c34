//! Operator keys and their permissions.

use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};

use crate::config::rules::{ADMIN, ALL_TEAMS};
use crate::config::{Config, Name, Role};
use crate::error::{Kind, Refusal};

/// Permissions of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Operator.
    pub who: Name,
    /// Roles.
    pub roles: Vec<Role>,
    /// Teams whose objects the operator may change; `*` for all.
    pub teams: Vec<Name>,
}

impl Grant {
    /// Returns a refusal if the operator lacks `role`.
    pub fn require(&self, role: Role) -> Result<(), Refusal> {
        if self.roles.contains(&role) {
            return Ok(());
        }
        let detail = format!("operator {} lacks the role {role}", self.who);
        Err(Refusal::new(Kind::Forbidden, detail))
    }
}

/// Returns the SHA-256 of a key as lower-case hex, as in the configuration.
pub fn hash_key(key: &str) -> String {
    hex(&Sha256::digest(key.as_bytes()))
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Returns the operator whose key is `key`; `admin_hash` is the key
/// hash of the operator `admin` from the settings.
///
/// Compares with every hash, each in constant time, against timing attacks.
pub fn find_operator(config: &Config, admin_hash: &str, key: &str) -> Option<Grant> {
    let hash = hash_key(key);
    let mut grant = None;
    if equal_hash(admin_hash, &hash) {
        grant = Some(Grant {
            who: ADMIN.into(),
            roles: vec![Role::Read, Role::Change, Role::Drain],
            teams: vec![ALL_TEAMS.into()],
        });
    }
    for (name, operator) in &config.operators {
        if equal_hash(&operator.key_sha256, &hash) {
            grant = Some(Grant {
                who: name.clone(),
                roles: operator.roles.clone(),
                teams: operator.teams.clone(),
            });
        }
    }
    grant
}

fn equal_hash(a: &str, b: &str) -> bool {
    let equal: Choice = a.as_bytes().ct_eq(b.as_bytes());
    equal.into()
}
