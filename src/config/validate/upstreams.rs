//! Rules on engines and plain services.

use std::collections::{BTreeMap, BTreeSet};

use super::{Check, NOT_ZERO};
use crate::config::field_error::child_pointer;
use crate::config::rules::{ADDR_RULE, NAME_RULE, REDACTED_KEY, is_addr, is_name};
use crate::config::{Engine, Name, Service};

const HIDDEN_RULE: &str = "is the mark of a hidden key; give the key itself or leave it out";

impl Check<'_> {
    pub(super) fn engines(&mut self, engines: &BTreeMap<Name, Engine>) {
        let mut seen = BTreeSet::new();
        for (name, engine) in engines {
            let path = child_pointer("/engines", name);
            let e = engine;
            self.reasons.check(is_name(name), &path, name, NAME_RULE);
            self.that(is_addr(&e.addr), &path, "addr", &e.addr, ADDR_RULE);
            let fresh = seen.insert(&e.addr);
            self.that(
                fresh,
                &path,
                "addr",
                &e.addr,
                "must differ from other engines",
            );
            self.that(is_name(&e.pool), &path, "pool", &e.pool, NAME_RULE);
            self.that(is_name(&e.domain), &path, "domain", &e.domain, NAME_RULE);
            self.that(e.memory > 0, &path, "memory", &e.memory, NOT_ZERO);
            self.that(
                e.accelerators > 0,
                &path,
                "accelerators",
                &e.accelerators,
                NOT_ZERO,
            );
            self.that(e.slots > 0, &path, "slots", &e.slots, NOT_ZERO);
            self.that(*e.key != *REDACTED_KEY, &path, "key", &e.key, HIDDEN_RULE);
        }
    }

    pub(super) fn service(&mut self, name: &Name, service: &Service) {
        let path = child_pointer("/services", name);
        let s = service;
        self.reasons.check(is_name(name), &path, name, NAME_RULE);
        let reachable = !s.addrs.is_empty() && s.addrs.iter().all(|a| is_addr(a));
        self.that(
            reachable,
            &path,
            "addrs",
            &s.addrs,
            "must be one or more of ip:port",
        );
        self.that(is_name(&s.team), &path, "team", &s.team, NAME_RULE);
        let plain = |m: &str| !m.is_empty() && m.chars().all(|c| c.is_ascii_uppercase());
        for (i, route) in s.once.iter().enumerate() {
            let route_path = child_pointer(&child_pointer(&path, "once"), &i.to_string());
            let rule = "must be an HTTP method in capitals";
            self.that(
                plain(&route.method),
                &route_path,
                "method",
                &route.method,
                rule,
            );
            let rooted = route.path.starts_with('/');
            self.that(
                rooted,
                &route_path,
                "path",
                &route.path,
                "must start with /",
            );
        }
        self.deadline(&path, s.deadline_ms);
        let kept = s.keep_s.saturating_mul(1_000) >= s.deadline_ms;
        self.that(
            kept,
            &path,
            "keep_s",
            &s.keep_s,
            "must not be shorter than the deadline",
        );
        self.that(*s.key != *REDACTED_KEY, &path, "key", &s.key, HIDDEN_RULE);
    }
}
