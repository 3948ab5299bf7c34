//! Rules on models and adapters.

use std::collections::BTreeMap;

use super::{Check, NOT_ZERO};
use crate::config::field_error::child_pointer;
use crate::config::rules::{COST_RULE, NAME_RULE, PATH_RULE, is_cost, is_name, is_path};
use crate::config::{Model, Name};

/// Longest load time that may be configured, ms.
const MAX_LOAD_MS: u64 = 3_600_000;
/// Most windows of one model.
const MAX_WINDOWS: usize = 64;

impl Check<'_> {
    pub(super) fn model(&mut self, name: &Name, model: &Model) {
        let path = child_pointer("/models", name);
        let m = model;
        self.reasons.check(is_path(name), &path, name, PATH_RULE);
        self.that(is_path(&m.version), &path, "version", &m.version, PATH_RULE);
        self.that(is_name(&m.team), &path, "team", &m.team, NAME_RULE);
        self.that(m.memory > 0, &path, "memory", &m.memory, NOT_ZERO);
        self.that(
            m.warm <= m.limit,
            &path,
            "warm",
            &m.warm,
            "must not exceed `limit`",
        );
        let loads = (1..=MAX_LOAD_MS).contains(&m.load_ms);
        self.that(loads, &path, "load_ms", &m.load_ms, "must be 1 to 3600000");
        self.deadline(&path, m.deadline_ms);
        self.that(is_cost(m.worth), &path, "worth", &m.worth, COST_RULE);
        self.priority(&path, m.priority);
        let few = m.windows.len() <= MAX_WINDOWS;
        self.that(
            few,
            &path,
            "windows",
            &m.windows,
            "must be at most 64 windows",
        );
        let ordered = m.windows.iter().all(|w| w.from < w.until);
        self.that(
            ordered,
            &path,
            "windows",
            &m.windows,
            "`from` must be before `until`",
        );
        self.place(&path, name, model);
    }

    /// The pool has engines, and the model fits into one of them.
    fn place(&mut self, path: &str, name: &Name, model: &Model) {
        let largest = self.pools.get(&model.pool).map(|room| room.largest);
        let served = largest.is_some();
        self.that(
            served,
            path,
            "pool",
            &model.pool,
            "must be a pool of some engine",
        );
        let base = match &model.base {
            Some(base) => self.base(path, name, model, base),
            None => 0,
        };
        let needed = model.memory.saturating_add(base);
        let fits = needed <= largest.unwrap_or(u64::MAX);
        let rule = "must fit, with its base, into an engine of the pool";
        self.that(fits, path, "memory", &model.memory, rule);
    }

    /// The memory of an adapter's base, after the rules on bases.
    fn base(&mut self, path: &str, name: &Name, model: &Model, base: &Name) -> u64 {
        let Some(found) = self.config.models.get(base).filter(|_| base != name) else {
            self.that(false, path, "base", base, "must be another model");
            return 0;
        };
        let plain = found.base.is_none();
        let together = found.pool == model.pool;
        let memory = found.memory;
        self.that(plain, path, "base", base, "must not be an adapter itself");
        self.that(
            together,
            path,
            "pool",
            &model.pool,
            "must be the pool of the base",
        );
        memory
    }

    /// Replicas that stay loaded fit into their pool.
    pub(super) fn warm(&mut self) {
        let mut held: BTreeMap<&Name, u64> = BTreeMap::new();
        for model in self.config.models.values() {
            let memory = model.memory.saturating_mul(model.warm.into());
            let sum = held.entry(&model.pool).or_default();
            *sum = sum.saturating_add(memory);
        }
        for (name, model) in &self.config.models {
            let Some(room) = self.pools.get(&model.pool) else {
                continue;
            };
            let fits = held.get(&model.pool).is_none_or(|sum| *sum <= room.total);
            let holds = fits || model.warm == 0;
            let rule = "replicas kept loaded must fit into the memory of the pool together";
            self.that(
                holds,
                &child_pointer("/models", name),
                "warm",
                &model.warm,
                rule,
            );
        }
    }
}
