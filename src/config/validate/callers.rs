//! Validation of callers and operators.

use std::collections::{BTreeMap, BTreeSet};

use super::{POSITIVE_RULE, Validator};
use crate::config::field_error::child_pointer;
use crate::config::rules::{ADMIN, HASH_RULE, NAME_RULE, is_cost, is_hash, is_name};
use crate::config::{Caller, Name, Operator};

impl Validator<'_> {
    pub(super) fn check_callers(
        &mut self,
        callers: &BTreeMap<Name, Caller>,
        operators: &BTreeMap<Name, Operator>,
    ) {
        let mut seen = BTreeSet::new();
        for (name, caller) in callers {
            let path = child_pointer("/callers", name);
            let c = caller;
            self.errors.check(is_name(name), &path, name, NAME_RULE);
            self.check_key_hash(&path, &c.key_sha256, &mut seen);
            self.check_field(is_name(&c.team), &path, "team", &c.team, NAME_RULE);
            self.check_priority(&path, c.priority);
            let valid_rate = is_cost(c.rate) && c.rate > 0.0;
            self.check_field(
                valid_rate,
                &path,
                "rate",
                &c.rate,
                "must be a finite number above 0",
            );
            self.check_field(c.streams > 0, &path, "streams", &c.streams, POSITIVE_RULE);
        }
        for (name, operator) in operators {
            let path = child_pointer("/operators", name);
            self.errors.check(is_name(name), &path, name, NAME_RULE);
            let unreserved = **name != *ADMIN;
            self.errors
                .check(unreserved, &path, name, "is the operator of the settings");
            self.check_key_hash(&path, &operator.key_sha256, &mut seen);
            let has_roles = !operator.roles.is_empty();
            self.check_field(
                has_roles,
                &path,
                "roles",
                &operator.roles,
                "must name a role",
            );
        }
    }

    fn check_key_hash<'b>(&mut self, path: &str, hash: &'b Name, seen: &mut BTreeSet<&'b Name>) {
        self.check_field(is_hash(hash), path, "key_sha256", hash, HASH_RULE);
        let unique = seen.insert(hash);
        self.check_field(
            unique,
            path,
            "key_sha256",
            hash,
            "must differ from all other keys",
        );
    }
}
