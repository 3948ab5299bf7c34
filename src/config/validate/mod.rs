//! Validation of a whole configuration.

mod callers;
mod models;
mod upstreams;

use std::collections::BTreeMap;

use serde::Serialize;

use super::field_error::{FieldError, FieldErrors, child_pointer};
use super::rules::{COST_RULE, MAX_DEADLINE_MS, MAX_PRIORITY, is_cost};
use super::{Config, Name, Policy};

/// Maximum time that callers may cache an entry response, seconds.
const MAX_ENTRY_CACHE_S: u64 = 300;

const POSITIVE_RULE: &str = "must be above 0";
const PRIORITY_RULE: &str = "must be 0 to 9";
const DEADLINE_RULE: &str = "must be 1 to 3600000";
const FIXED_FIELD_RULE: &str = "cannot change; remove the object and add it in a later version";

/// Returns an error for each rule that `new` breaks, as a change of `old`.
pub fn violations(old: &Config, new: &Config) -> Vec<FieldError> {
    let mut validator = Validator {
        config: new,
        pool_memory: pool_memory(new),
        errors: FieldErrors::default(),
    };
    for (name, model) in &new.models {
        validator.check_model(name, model);
    }
    validator.check_warm_replicas();
    validator.check_engines(&new.engines);
    for (name, service) in &new.services {
        validator.check_service(name, service);
    }
    validator.check_callers(&new.callers, &new.operators);
    validator.check_policy(&new.policy);
    validator.check_fixed_fields(old, new);
    validator.errors.0
}

/// Memory of the engines of a pool, MB.
#[derive(Default)]
struct PoolMemory {
    largest: u64,
    total: u64,
}

fn pool_memory(config: &Config) -> BTreeMap<&Name, PoolMemory> {
    let mut pools: BTreeMap<&Name, PoolMemory> = BTreeMap::new();
    for engine in config.engines.values() {
        let memory = pools.entry(&engine.pool).or_default();
        memory.largest = memory.largest.max(engine.memory);
        memory.total = memory.total.saturating_add(engine.memory);
    }
    pools
}

struct Validator<'a> {
    config: &'a Config,
    pool_memory: BTreeMap<&'a Name, PoolMemory>,
    errors: FieldErrors,
}

impl Validator<'_> {
    fn check_field(
        &mut self,
        valid: bool,
        path: &str,
        field: &str,
        value: &impl Serialize,
        rule: &str,
    ) {
        if valid {
            return;
        }
        self.errors
            .check(false, &child_pointer(path, field), value, rule);
    }

    fn check_policy(&mut self, policy: &Policy) {
        let path = "/policy";
        let p = policy;
        self.check_field(
            is_cost(p.tail_weight),
            path,
            "tail_weight",
            &p.tail_weight,
            COST_RULE,
        );
        self.check_field(
            is_cost(p.idle_weight),
            path,
            "idle_weight",
            &p.idle_weight,
            COST_RULE,
        );
        let valid_rate = is_cost(p.store_rate) && p.store_rate > 0.0;
        self.check_field(
            valid_rate,
            path,
            "store_rate",
            &p.store_rate,
            "must be a finite number above 0",
        );
        self.check_field(
            p.store_parallel > 0,
            path,
            "store_parallel",
            &p.store_parallel,
            POSITIVE_RULE,
        );
        self.check_field(
            p.adapter_parallel > 0,
            path,
            "adapter_parallel",
            &p.adapter_parallel,
            POSITIVE_RULE,
        );
        self.check_field(p.queue > 0, path, "queue", &p.queue, POSITIVE_RULE);
        let valid = (1..=MAX_ENTRY_CACHE_S).contains(&p.entry_keep_s);
        self.check_field(
            valid,
            path,
            "entry_keep_s",
            &p.entry_keep_s,
            "must be 1 to 300",
        );
        self.check_field(
            p.keepalive_ms > 0,
            path,
            "keepalive_ms",
            &p.keepalive_ms,
            POSITIVE_RULE,
        );
    }

    /// Rejects a change of an object's pool or of a model's base, because pins and owners are
    /// stored by pool.
    fn check_fixed_fields(&mut self, old: &Config, new: &Config) {
        for (name, model) in &new.models {
            let Some(before) = old.models.get(name) else {
                continue;
            };
            let path = child_pointer("/models", name);
            self.check_field(
                before.pool == model.pool,
                &path,
                "pool",
                &model.pool,
                FIXED_FIELD_RULE,
            );
            self.check_field(
                before.base == model.base,
                &path,
                "base",
                &model.base,
                FIXED_FIELD_RULE,
            );
        }
        for (name, engine) in &new.engines {
            let Some(before) = old.engines.get(name) else {
                continue;
            };
            let unchanged = before.pool == engine.pool;
            self.check_field(
                unchanged,
                &child_pointer("/engines", name),
                "pool",
                &engine.pool,
                FIXED_FIELD_RULE,
            );
        }
    }

    fn check_deadline(&mut self, path: &str, deadline_ms: u64) {
        let valid = (1..=MAX_DEADLINE_MS).contains(&deadline_ms);
        self.check_field(valid, path, "deadline_ms", &deadline_ms, DEADLINE_RULE);
    }

    fn check_priority(&mut self, path: &str, priority: u8) {
        self.check_field(
            priority <= MAX_PRIORITY,
            path,
            "priority",
            &priority,
            PRIORITY_RULE,
        );
    }
}
