//! Rules that settings of the right types must keep.

use std::collections::BTreeSet;
use std::str::FromStr;

use log::LevelFilter;
use serde_json::Value;

use super::{ClientLimits, Settings};
use crate::config::field_error::{FieldError, FieldErrors, child_pointer};
use crate::config::rules::{HASH_RULE, is_hash};

/// Least length of the key that daemons share, bytes.
const PEER_KEY_BYTES: usize = 16;

/// Fields that have no default.
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

/// Every rule that the settings break; `value` is the document they came from.
pub fn violations(settings: &Settings, value: &Value) -> Vec<FieldError> {
    let mut reasons = FieldErrors::default();
    for path in REQUIRED {
        let given = value.pointer(path).is_some();
        reasons.check(given, path, &Value::Null, "is required");
    }
    names(settings, &mut reasons);
    peers(settings, &mut reasons);
    log(settings, &mut reasons);
    limits(&settings.limits, &mut reasons);
    reasons.0.sort_by(|a, b| a.path.cmp(&b.path));
    reasons.0.dedup_by(|a, b| a.path == b.path);
    reasons.0
}

fn names(settings: &Settings, reasons: &mut FieldErrors) {
    let names = [
        ("/firm", &settings.firm),
        ("/host", &settings.host),
        ("/domain", &settings.domain),
    ];
    for (path, name) in names {
        reasons.check(!name.is_empty(), path, name, "must not be empty");
    }
    let key = &settings.peer_key;
    let long = key.len() >= PEER_KEY_BYTES;
    reasons.check(long, "/peer_key", key, "must have at least 16 bytes");
    let hash = &settings.admin_hash;
    let valid = hash.is_empty() || is_hash(hash);
    reasons.check(valid, "/admin_hash", hash, HASH_RULE);
}

fn peers(settings: &Settings, reasons: &mut FieldErrors) {
    let mut seen = BTreeSet::new();
    for (i, peer) in settings.peers.iter().enumerate() {
        let path = child_pointer("/peers", &i.to_string());
        let host = child_pointer(&path, "host");
        let addr = child_pointer(&path, "addr");
        let fresh = seen.insert(&peer.host);
        reasons.check(
            !peer.host.is_empty(),
            &host,
            &peer.host,
            "must not be empty",
        );
        reasons.check(fresh, &host, &peer.host, "must differ from the other peers");
        reasons.check(
            peer.addr.port() > 0,
            &addr,
            &peer.addr,
            "needs a port above 0",
        );
    }
    let own = seen.contains(&settings.host);
    reasons.check(
        own,
        "/peers",
        &settings.peers,
        "must contain this host as well",
    );
}

fn log(settings: &Settings, reasons: &mut FieldErrors) {
    let level = &settings.log.level;
    let known = LevelFilter::from_str(level).is_ok();
    let allowed = "must be `error`, `warn`, `info`, `debug` or `trace`";
    reasons.check(known, "/log/level", level, allowed);
}

fn limits(limits: &ClientLimits, reasons: &mut FieldErrors) {
    let limits = [
        ("/limits/connections", u64::from(limits.connections)),
        ("/limits/streams", u64::from(limits.streams)),
        ("/limits/head", limits.head),
        ("/limits/body", limits.body),
        ("/limits/receive_ms", limits.receive_ms),
        ("/limits/send_ms", limits.send_ms),
    ];
    for (path, limit) in limits {
        reasons.check(limit > 0, path, &limit, "must be above 0");
    }
}
