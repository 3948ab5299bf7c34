//! Validation of engines and plain services.

use std::collections::{BTreeMap, BTreeSet};

use super::{POSITIVE_RULE, Validator};
use crate::config::field_error::child_pointer;
use crate::config::rules::{ADDR_RULE, NAME_RULE, REDACTED_KEY, is_addr, is_name};
use crate::config::{Engine, Name, Service};

const REDACTED_KEY_RULE: &str = "is the mark of a hidden key; give the key itself or leave it out";

impl Validator<'_> {
    pub(super) fn check_engines(&mut self, engines: &BTreeMap<Name, Engine>) {
        let mut seen = BTreeSet::new();
        for (name, engine) in engines {
            let path = child_pointer("/engines", name);
            let e = engine;
            self.errors.check(is_name(name), &path, name, NAME_RULE);
            self.check_field(is_addr(&e.addr), &path, "addr", &e.addr, ADDR_RULE);
            let unique = seen.insert(&e.addr);
            self.check_field(
                unique,
                &path,
                "addr",
                &e.addr,
                "must differ from other engines",
            );
            self.check_field(is_name(&e.pool), &path, "pool", &e.pool, NAME_RULE);
            self.check_field(is_name(&e.domain), &path, "domain", &e.domain, NAME_RULE);
            self.check_field(e.memory > 0, &path, "memory", &e.memory, POSITIVE_RULE);
            self.check_field(
                e.accelerators > 0,
                &path,
                "accelerators",
                &e.accelerators,
                POSITIVE_RULE,
            );
            self.check_field(e.slots > 0, &path, "slots", &e.slots, POSITIVE_RULE);
            self.check_field(
                *e.key != *REDACTED_KEY,
                &path,
                "key",
                &e.key,
                REDACTED_KEY_RULE,
            );
        }
    }

    pub(super) fn check_service(&mut self, name: &Name, service: &Service) {
        let path = child_pointer("/services", name);
        let s = service;
        self.errors.check(is_name(name), &path, name, NAME_RULE);
        let valid_addrs = !s.addrs.is_empty() && s.addrs.iter().all(|a| is_addr(a));
        self.check_field(
            valid_addrs,
            &path,
            "addrs",
            &s.addrs,
            "must be one or more of ip:port",
        );
        self.check_field(is_name(&s.team), &path, "team", &s.team, NAME_RULE);
        let is_method = |m: &str| !m.is_empty() && m.chars().all(|c| c.is_ascii_uppercase());
        for (i, route) in s.once.iter().enumerate() {
            let route_path = child_pointer(&child_pointer(&path, "once"), &i.to_string());
            let rule = "must be an HTTP method in capitals";
            self.check_field(
                is_method(&route.method),
                &route_path,
                "method",
                &route.method,
                rule,
            );
            let absolute = route.path.starts_with('/');
            self.check_field(
                absolute,
                &route_path,
                "path",
                &route.path,
                "must start with /",
            );
        }
        self.check_deadline(&path, s.deadline_ms);
        let long_enough = s.keep_s.saturating_mul(1_000) >= s.deadline_ms;
        self.check_field(
            long_enough,
            &path,
            "keep_s",
            &s.keep_s,
            "must not be shorter than the deadline",
        );
        self.check_field(
            *s.key != *REDACTED_KEY,
            &path,
            "key",
            &s.key,
            REDACTED_KEY_RULE,
        );
    }
}
