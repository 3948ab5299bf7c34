//! Rules on callers and operators.

use std::collections::{BTreeMap, BTreeSet};

use super::{Check, NOT_ZERO};
use crate::config::field_error::child_pointer;
use crate::config::rules::{ADMIN, HASH_RULE, NAME_RULE, is_cost, is_hash, is_name};
use crate::config::{Caller, Name, Operator};

impl Check<'_> {
    pub(super) fn callers(
        &mut self,
        callers: &BTreeMap<Name, Caller>,
        operators: &BTreeMap<Name, Operator>,
    ) {
        let mut seen = BTreeSet::new();
        for (name, caller) in callers {
            let path = child_pointer("/callers", name);
            let c = caller;
            self.reasons.check(is_name(name), &path, name, NAME_RULE);
            self.hash(&path, &c.key_sha256, &mut seen);
            self.that(is_name(&c.team), &path, "team", &c.team, NAME_RULE);
            self.priority(&path, c.priority);
            let rate = is_cost(c.rate) && c.rate > 0.0;
            self.that(
                rate,
                &path,
                "rate",
                &c.rate,
                "must be a finite number above 0",
            );
            self.that(c.streams > 0, &path, "streams", &c.streams, NOT_ZERO);
        }
        for (name, operator) in operators {
            let path = child_pointer("/operators", name);
            self.reasons.check(is_name(name), &path, name, NAME_RULE);
            let free = **name != *ADMIN;
            self.reasons
                .check(free, &path, name, "is the operator of the settings");
            self.hash(&path, &operator.key_sha256, &mut seen);
            let roles = !operator.roles.is_empty();
            self.that(roles, &path, "roles", &operator.roles, "must name a role");
        }
    }

    fn hash<'b>(&mut self, path: &str, hash: &'b Name, seen: &mut BTreeSet<&'b Name>) {
        self.that(is_hash(hash), path, "key_sha256", hash, HASH_RULE);
        let fresh = seen.insert(hash);
        self.that(
            fresh,
            path,
            "key_sha256",
            hash,
            "must differ from all other keys",
        );
    }
}
