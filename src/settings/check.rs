//! Validation of settings whose fields have the right types.

use std::collections::BTreeSet;
use std::str::FromStr;

use log::LevelFilter;
use serde_json::Value;

use super::{ClientLimits, Settings};
use crate::config::field_error::{FieldError, FieldErrors, child_pointer};
use crate::config::rules::{HASH_RULE, is_hash};

/// Minimum length of the key that daemons share, bytes.
const MIN_PEER_KEY_BYTES: usize = 16;

/// Fields without a default.
const REQUIRED: [&str; 11] = [
    "/firm",
    "/host",
    "/domain",
    "/peer_key",
    "/peers",
    "/listen/callers",
    "/listen/operators",
    "/listen/peers",
    "/platform/table",
    "/platform/objects",
    "/platform/hosts",
];

/// Returns an error for each rule that `settings` break; `value` is their JSON
/// document.
pub fn violations(settings: &Settings, value: &Value) -> Vec<FieldError> {
    let mut errors = FieldErrors::default();
    for path in REQUIRED {
        let present = value.pointer(path).is_some();
        errors.check(present, path, &Value::Null, "is required");
    }
    check_names(settings, &mut errors);
    check_peers(settings, &mut errors);
    check_log(settings, &mut errors);
    check_limits(&settings.limits, &mut errors);
    errors.0.sort_by(|a, b| a.path.cmp(&b.path));
    errors.0.dedup_by(|a, b| a.path == b.path);
    errors.0
}

fn check_names(settings: &Settings, errors: &mut FieldErrors) {
    let names = [
        ("/firm", &settings.firm),
        ("/host", &settings.host),
        ("/domain", &settings.domain),
    ];
    for (path, name) in names {
        errors.check(!name.is_empty(), path, name, "must not be empty");
    }
    let key = &settings.peer_key;
    let long_enough = key.len() >= MIN_PEER_KEY_BYTES;
    errors.check(long_enough, "/peer_key", key, "must have at least 16 bytes");
    let hash = &settings.admin_hash;
    let valid = hash.is_empty() || is_hash(hash);
    errors.check(valid, "/admin_hash", hash, HASH_RULE);
}

fn check_peers(settings: &Settings, errors: &mut FieldErrors) {
    let mut seen = BTreeSet::new();
    for (i, peer) in settings.peers.iter().enumerate() {
        let path = child_pointer("/peers", &i.to_string());
        let host_path = child_pointer(&path, "host");
        let addr_path = child_pointer(&path, "addr");
        let unique = seen.insert(&peer.host);
        errors.check(
            !peer.host.is_empty(),
            &host_path,
            &peer.host,
            "must not be empty",
        );
        errors.check(
            unique,
            &host_path,
            &peer.host,
            "must differ from the other peers",
        );
        errors.check(
            peer.addr.port() > 0,
            &addr_path,
            &peer.addr,
            "needs a port above 0",
        );
    }
    let includes_self = seen.contains(&settings.host);
    errors.check(
        includes_self,
        "/peers",
        &settings.peers,
        "must contain this host as well",
    );
}

fn check_log(settings: &Settings, errors: &mut FieldErrors) {
    let level = &settings.log.level;
    let valid = LevelFilter::from_str(level).is_ok();
    let allowed = "must be `error`, `warn`, `info`, `debug` or `trace`";
    errors.check(valid, "/log/level", level, allowed);
}

fn check_limits(limits: &ClientLimits, errors: &mut FieldErrors) {
    let limits = [
        ("/limits/connections", u64::from(limits.connections)),
        ("/limits/streams", u64::from(limits.streams)),
        ("/limits/head", limits.head),
        ("/limits/body", limits.body),
        ("/limits/receive_ms", limits.receive_ms),
        ("/limits/send_ms", limits.send_ms),
    ];
    for (path, limit) in limits {
        errors.check(limit > 0, path, &limit, "must be above 0");
    }
}
