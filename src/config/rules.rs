//! Rules on single values of the configuration.

use std::net::SocketAddr;

/// Highest priority.
pub const MAX_PRIORITY: u8 = 9;
/// Longest deadline, ms.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Name of the operator whose key stands in the settings.
pub const ADMIN: &str = "admin";
/// Team that stands for all teams and for what they share.
pub const ALL_TEAMS: &str = "*";
/// What stands in answers in place of an engine's or service's key.
pub const REDACTED_KEY: &str = "(hidden)";

/// Rule of [`is_name`].
pub const NAME_RULE: &str = "must have 1 to 128 of the characters A-Z a-z 0-9 . _ : @ -";
/// Rule of [`is_path`].
pub const PATH_RULE: &str = "must have 1 to 128 of the characters A-Z a-z 0-9 . _ : @ - /";
/// Rule of [`is_hash`].
pub const HASH_RULE: &str = "must be a SHA-256 in 64 lower-case hex digits";
/// Rule of [`is_addr`].
pub const ADDR_RULE: &str = "must be ip:port with a port above 0";
/// Rule of [`is_cost`].
pub const COST_RULE: &str = "must be a finite number of at least 0";

const NAME_CHARS: usize = 128;

/// Whether `name` may name an object.
pub fn is_name(name: &str) -> bool {
    is_path(name) && !name.contains('/')
}

/// Whether `name` may name a model, which may have several parts.
pub fn is_path(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._:@-/".contains(c);
    (1..=NAME_CHARS).contains(&name.len()) && name.chars().all(allowed)
}

/// Whether `hash` is a SHA-256 in lower-case hex.
pub fn is_hash(hash: &str) -> bool {
    let hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    hash.len() == 64 && hash.chars().all(hex)
}

/// Whether `addr` is an address that can be connected to.
pub fn is_addr(addr: &str) -> bool {
    addr.parse::<SocketAddr>().is_ok_and(|a| a.port() > 0)
}

/// Whether `cost` can be summed and compared.
pub fn is_cost(cost: f64) -> bool {
    cost.is_finite() && cost >= 0.0
}
