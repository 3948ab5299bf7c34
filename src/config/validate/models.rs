//! Validation of models and adapters.

use std::collections::BTreeMap;

use super::{POSITIVE_RULE, Validator};
use crate::config::field_error::child_pointer;
use crate::config::rules::{
    COST_RULE, MODEL_NAME_RULE, NAME_RULE, is_cost, is_model_name, is_name,
};
use crate::config::{Model, Name};

/// Maximum load time of a model, ms.
const MAX_LOAD_MS: u64 = 3_600_000;
/// Maximum number of windows of one model.
const MAX_WINDOWS: usize = 64;

impl Validator<'_> {
    pub(super) fn check_model(&mut self, name: &Name, model: &Model) {
        let path = child_pointer("/models", name);
        let m = model;
        self.errors
            .check(is_model_name(name), &path, name, MODEL_NAME_RULE);
        self.check_field(
            is_model_name(&m.version),
            &path,
            "version",
            &m.version,
            MODEL_NAME_RULE,
        );
        self.check_field(is_name(&m.team), &path, "team", &m.team, NAME_RULE);
        self.check_field(m.memory > 0, &path, "memory", &m.memory, POSITIVE_RULE);
        self.check_field(
            m.warm <= m.limit,
            &path,
            "warm",
            &m.warm,
            "must not exceed `limit`",
        );
        let valid_time = (1..=MAX_LOAD_MS).contains(&m.load_ms);
        self.check_field(
            valid_time,
            &path,
            "load_ms",
            &m.load_ms,
            "must be 1 to 3600000",
        );
        self.check_deadline(&path, m.deadline_ms);
        self.check_field(is_cost(m.worth), &path, "worth", &m.worth, COST_RULE);
        self.check_priority(&path, m.priority);
        let within_limit = m.windows.len() <= MAX_WINDOWS;
        self.check_field(
            within_limit,
            &path,
            "windows",
            &m.windows,
            "must be at most 64 windows",
        );
        let ordered = m.windows.iter().all(|w| w.from < w.until);
        self.check_field(
            ordered,
            &path,
            "windows",
            &m.windows,
            "`from` must be before `until`",
        );
        self.check_pool(&path, name, model);
    }

    /// Checks that the pool has engines and that the model fits into one of them.
    fn check_pool(&mut self, path: &str, name: &Name, model: &Model) {
        let largest = self
            .pool_memory
            .get(&model.pool)
            .map(|memory| memory.largest);
        let has_engines = largest.is_some();
        self.check_field(
            has_engines,
            path,
            "pool",
            &model.pool,
            "must be a pool of some engine",
        );
        let base = match &model.base {
            Some(base) => self.check_base(path, name, model, base),
            None => 0,
        };
        let needed = model.memory.saturating_add(base);
        let fits = needed <= largest.unwrap_or(u64::MAX);
        let rule = "must fit, with its base, into an engine of the pool";
        self.check_field(fits, path, "memory", &model.memory, rule);
    }

    /// Checks the base of an adapter and returns its memory in MB; 0 if the base is
    /// not another model.
    fn check_base(&mut self, path: &str, name: &Name, model: &Model, base: &Name) -> u64 {
        let Some(found) = self.config.models.get(base).filter(|_| base != name) else {
            self.check_field(false, path, "base", base, "must be another model");
            return 0;
        };
        let is_base = found.base.is_none();
        let same_pool = found.pool == model.pool;
        let memory = found.memory;
        self.check_field(is_base, path, "base", base, "must not be an adapter itself");
        self.check_field(
            same_pool,
            path,
            "pool",
            &model.pool,
            "must be the pool of the base",
        );
        memory
    }

    /// Checks that the replicas kept loaded fit into the memory of their pool together.
    pub(super) fn check_warm_replicas(&mut self) {
        let mut warm_memory: BTreeMap<&Name, u64> = BTreeMap::new();
        for model in self.config.models.values() {
            let memory = model.memory.saturating_mul(model.warm.into());
            let sum = warm_memory.entry(&model.pool).or_default();
            *sum = sum.saturating_add(memory);
        }
        for (name, model) in &self.config.models {
            let Some(memory) = self.pool_memory.get(&model.pool) else {
                continue;
            };
            let fits = warm_memory
                .get(&model.pool)
                .is_none_or(|sum| *sum <= memory.total);
            let valid = fits || model.warm == 0;
            let rule = "replicas kept loaded must fit into the memory of the pool together";
            self.check_field(
                valid,
                &child_pointer("/models", name),
                "warm",
                &model.warm,
                rule,
            );
        }
    }
}
