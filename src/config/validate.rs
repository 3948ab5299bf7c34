//! Rules that a whole configuration must keep.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::reason::{Reason, Reasons, below};
use super::rules::{
    ADDR_RULE, ADMIN, COST_RULE, HASH_RULE, HIDDEN, MAX_DEADLINE_MS, MAX_PRIORITY, NAME_RULE,
    PATH_RULE, is_addr, is_cost, is_hash, is_name, is_path,
};
use super::{Caller, Config, Engine, Model, Name, Operator, Policy, Service};

/// Longest load time that may be configured, ms.
const MAX_LOAD_MS: u64 = 3_600_000;
/// Most windows of one model.
const MAX_WINDOWS: usize = 64;
/// Longest time that callers may keep an entry answer, seconds.
const MAX_ENTRY_KEEP_S: u64 = 300;

const NOT_ZERO: &str = "must be above 0";
const PRIORITY_RULE: &str = "must be 0 to 9";
const DEADLINE_RULE: &str = "must be 1 to 3600000";
const HIDDEN_RULE: &str = "is the mark of a hidden key; give the key itself or leave it out";
const MOVE_RULE: &str = "cannot change; remove the object and add it in a later version";

/// Every rule that `new` breaks, as a change of `old`.
pub fn broken(old: &Config, new: &Config) -> Vec<Reason> {
    let mut check = Check {
        config: new,
        pools: pools(new),
        reasons: Reasons::default(),
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
    reasons: Reasons,
}

impl Check<'_> {
    fn that(&mut self, holds: bool, path: &str, field: &str, value: &impl Serialize, rule: &str) {
        if holds {
            return;
        }
        self.reasons.check(false, &below(path, field), value, rule);
    }

    fn model(&mut self, name: &Name, model: &Model) {
        let path = below("/models", name);
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
    fn warm(&mut self) {
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
            self.that(holds, &below("/models", name), "warm", &model.warm, rule);
        }
    }

    fn engines(&mut self, engines: &BTreeMap<Name, Engine>) {
        let mut seen = BTreeSet::new();
        for (name, engine) in engines {
            let path = below("/engines", name);
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
            self.that(*e.key != *HIDDEN, &path, "key", &e.key, HIDDEN_RULE);
        }
    }

    fn service(&mut self, name: &Name, service: &Service) {
        let path = below("/services", name);
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
            let route_path = below(&below(&path, "once"), &i.to_string());
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
        self.that(*s.key != *HIDDEN, &path, "key", &s.key, HIDDEN_RULE);
    }

    fn callers(&mut self, callers: &BTreeMap<Name, Caller>, operators: &BTreeMap<Name, Operator>) {
        let mut seen = BTreeSet::new();
        for (name, caller) in callers {
            let path = below("/callers", name);
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
            let path = below("/operators", name);
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
            let path = below("/models", name);
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
                &below("/engines", name),
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
