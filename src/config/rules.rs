//! Validation rules for single values of the configuration.

use std::net::SocketAddr;

/// Maximum priority.
pub const MAX_PRIORITY: u8 = 9;
/// Maximum deadline, ms.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Name of the operator whose key is in the settings.
pub const ADMIN: &str = "admin";
/// Team name that stands for all teams and the shared sections.
pub const ALL_TEAMS: &str = "*";
/// Replacement for the key of an engine or service in responses.
pub const REDACTED_KEY: &str = "(hidden)";

/// Rule that [`is_name`] checks.
pub const NAME_RULE: &str = "must have 1 to 128 of the characters A-Z a-z 0-9 . _ : @ -";
/// Rule that [`is_model_name`] checks.
pub const MODEL_NAME_RULE: &str = "must have 1 to 128 of the characters A-Z a-z 0-9 . _ : @ - /";
/// Rule that [`is_hash`] checks.
pub const HASH_RULE: &str = "must be a SHA-256 in 64 lower-case hex digits";
/// Rule that [`is_addr`] checks.
pub const ADDR_RULE: &str = "must be ip:port with a port above 0";
/// Rule that [`is_cost`] checks.
pub const COST_RULE: &str = "must be a finite number of at least 0";

const MAX_NAME_CHARS: usize = 128;

/// Returns whether `name` is a valid object name.
pub fn is_name(name: &str) -> bool {
    is_model_name(name) && !name.contains('/')
}

/// Returns whether `name` is a valid model name or version, which may contain slashes.
pub fn is_model_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._:@-/".contains(c);
    (1..=MAX_NAME_CHARS).contains(&name.len()) && name.chars().all(allowed)
}

/// Returns whether `hash` is a SHA-256 in lower-case hex.
pub fn is_hash(hash: &str) -> bool {
    let hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    hash.len() == 64 && hash.chars().all(hex)
}

/// Returns whether `addr` is an `ip:port` address with a port above 0.
pub fn is_addr(addr: &str) -> bool {
    addr.parse::<SocketAddr>().is_ok_and(|a| a.port() > 0)
}

/// Returns whether `cost` is finite and not negative, so that costs can be summed
/// and compared.
pub fn is_cost(cost: f64) -> bool {
    cost.is_finite() && cost >= 0.0
}
