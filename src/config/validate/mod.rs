//! Rules that a whole configuration must keep.

mod callers;
mod models;
mod upstreams;

use std::collections::BTreeMap;

use serde::Serialize;

use super::field_error::{FieldError, FieldErrors, child_pointer};
use super::rules::{COST_RULE, MAX_DEADLINE_MS, MAX_PRIORITY, is_cost};
use super::{Config, Name, Policy};

/// Longest time that callers may keep an entry answer, seconds.
const MAX_ENTRY_KEEP_S: u64 = 300;

const NOT_ZERO: &str = "must be above 0";
const PRIORITY_RULE: &str = "must be 0 to 9";
const DEADLINE_RULE: &str = "must be 1 to 3600000";
const MOVE_RULE: &str = "cannot change; remove the object and add it in a later version";

/// Every rule that `new` breaks, as a change of `old`.
pub fn violations(old: &Config, new: &Config) -> Vec<FieldError> {
    let mut check = Check {
        config: new,
        pools: pools(new),
        reasons: FieldErrors::default(),
    };
    for (name, model) in &new.models {
        check.model(name, model);
    }
    check.warm();
    check.engines(&new.engines);
    for (name, service) in &new.services {
        check.service(name, service);
    }
    check.callers(&new.callers, &new.operators);
    check.policy(&new.policy);
    check.moves(old, new);
    check.reasons.0
}

/// Memory of a pool, MB.
#[derive(Default)]
struct Room {
    largest: u64,
    total: u64,
}

fn pools(config: &Config) -> BTreeMap<&Name, Room> {
    let mut pools: BTreeMap<&Name, Room> = BTreeMap::new();
    for engine in config.engines.values() {
        let room = pools.entry(&engine.pool).or_default();
        room.largest = room.largest.max(engine.memory);
        room.total = room.total.saturating_add(engine.memory);
    }
    pools
}

struct Check<'a> {
    config: &'a Config,
    pools: BTreeMap<&'a Name, Room>,
    reasons: FieldErrors,
}

impl Check<'_> {
    fn that(&mut self, holds: bool, path: &str, field: &str, value: &impl Serialize, rule: &str) {
        if holds {
            return;
        }
        self.reasons
            .check(false, &child_pointer(path, field), value, rule);
    }

    fn policy(&mut self, policy: &Policy) {
        let path = "/policy";
        let p = policy;
        self.that(
            is_cost(p.tail_weight),
            path,
            "tail_weight",
            &p.tail_weight,
            COST_RULE,
        );
        self.that(
            is_cost(p.idle_weight),
            path,
            "idle_weight",
            &p.idle_weight,
            COST_RULE,
        );
        let rate = is_cost(p.store_rate) && p.store_rate > 0.0;
        self.that(
            rate,
            path,
            "store_rate",
            &p.store_rate,
            "must be a finite number above 0",
        );
        self.that(
            p.store_parallel > 0,
            path,
            "store_parallel",
            &p.store_parallel,
            NOT_ZERO,
        );
        self.that(
            p.adapter_parallel > 0,
            path,
            "adapter_parallel",
            &p.adapter_parallel,
            NOT_ZERO,
        );
        self.that(p.queue > 0, path, "queue", &p.queue, NOT_ZERO);
        let kept = (1..=MAX_ENTRY_KEEP_S).contains(&p.entry_keep_s);
        self.that(
            kept,
            path,
            "entry_keep_s",
            &p.entry_keep_s,
            "must be 1 to 300",
        );
        self.that(
            p.keepalive_ms > 0,
            path,
            "keepalive_ms",
            &p.keepalive_ms,
            NOT_ZERO,
        );
    }

    /// Pins and owners are kept by pool, so an object cannot change its pool.
    fn moves(&mut self, old: &Config, new: &Config) {
        for (name, model) in &new.models {
            let Some(before) = old.models.get(name) else {
                continue;
            };
            let path = child_pointer("/models", name);
            self.that(
                before.pool == model.pool,
                &path,
                "pool",
                &model.pool,
                MOVE_RULE,
            );
            self.that(
                before.base == model.base,
                &path,
                "base",
                &model.base,
                MOVE_RULE,
            );
        }
        for (name, engine) in &new.engines {
            let Some(before) = old.engines.get(name) else {
                continue;
            };
            let kept = before.pool == engine.pool;
            self.that(
                kept,
                &child_pointer("/engines", name),
                "pool",
                &engine.pool,
                MOVE_RULE,
            );
        }
    }

    fn deadline(&mut self, path: &str, deadline_ms: u64) {
        let holds = (1..=MAX_DEADLINE_MS).contains(&deadline_ms);
        self.that(holds, path, "deadline_ms", &deadline_ms, DEADLINE_RULE);
    }

    fn priority(&mut self, path: &str, priority: u8) {
        self.that(
            priority <= MAX_PRIORITY,
            path,
            "priority",
            &priority,
            PRIORITY_RULE,
        );
    }
}
