//! Rules that settings of the right types must keep.

use std::collections::BTreeSet;
use std::str::FromStr;

use log::LevelFilter;
use serde_json::Value;

use super::{Limits, Settings};
use crate::config::reason::{Reason, below};

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
pub fn broken(settings: &Settings, value: &Value) -> Vec<Reason> {
    let mut rules = Rules {
        value,
        reasons: Vec::new(),
    };
    rules.required();
    rules.names(settings);
    rules.peers(settings);
    rules.log(settings);
    rules.limits(&settings.limits);
    rules.reasons
}

struct Rules<'a> {
    value: &'a Value,
    reasons: Vec<Reason>,
}

impl Rules<'_> {
    fn refuse(&mut self, path: &str, allowed: &str) {
        let value = self.value.pointer(path).unwrap_or(&Value::Null);
        self.reasons.push(Reason::new(path, value, allowed));
    }

    fn required(&mut self) {
        for path in REQUIRED {
            if self.value.pointer(path).is_none() {
                self.refuse(path, "is required");
            }
        }
    }

    fn names(&mut self, settings: &Settings) {
        let names = [
            ("/firm", &settings.firm),
            ("/host", &settings.host),
            ("/domain", &settings.domain),
        ];
        for (path, name) in names {
            if name.is_empty() && self.value.pointer(path).is_some() {
                self.refuse(path, "must not be empty");
            }
        }
        if settings.peer_key.len() < PEER_KEY_BYTES && self.value.pointer("/peer_key").is_some() {
            self.refuse("/peer_key", "must have at least 16 bytes");
        }
    }

    fn peers(&mut self, settings: &Settings) {
        if self.value.pointer("/peers").is_none() {
            return;
        }
        let mut seen = BTreeSet::new();
        for (i, peer) in settings.peers.iter().enumerate() {
            let path = below("/peers", &i.to_string());
            if peer.host.is_empty() {
                self.refuse(&below(&path, "host"), "must not be empty");
            }
            if peer.addr.port() == 0 {
                self.refuse(&below(&path, "addr"), "must be ip:port with a port above 0");
            }
            if !seen.insert(&peer.host) {
                self.refuse(&below(&path, "host"), "must differ from the other peers");
            }
        }
        if !seen.contains(&settings.host) {
            self.refuse("/peers", "must contain this host as well");
        }
    }

    fn log(&mut self, settings: &Settings) {
        if LevelFilter::from_str(&settings.log.level).is_err() {
            let allowed = "must be `error`, `warn`, `info`, `debug` or `trace`";
            self.refuse("/log/level", allowed);
        }
    }

    fn limits(&mut self, limits: &Limits) {
        let limits = [
            ("/limits/connections", u64::from(limits.connections)),
            ("/limits/streams", u64::from(limits.streams)),
            ("/limits/head", limits.head),
            ("/limits/body", limits.body),
            ("/limits/receive_ms", limits.receive_ms),
            ("/limits/send_ms", limits.send_ms),
        ];
        for (path, limit) in limits {
            if limit == 0 {
                self.refuse(path, "must be above 0");
            }
        }
    }
}
