//! Steps of a daemon.

use std::rc::Rc;
use std::time::Duration;

use mastichinge::outside::Verb;
use mastichinge::protocol::ownership::*;

use super::network::order_text;
use super::state::*;

impl Pool {
    /// Makes daemon `d`, whose claim is confirmed, read the pins.
    pub fn take_over(&self, state: &mut State, d: usize, clean: bool) {
        let mut known = Vec::new();
        let mut ledgers = Vec::new();
        state.daemons[d].time += 1;
        let learned_at = state.daemons[d].time * 2;
        for (item, spec) in state.pins.iter().zip(&self.specs) {
            let trusted = clean || self.fault == Fault::NoFence;
            let pins = item.value.inherit(trusted);
            let epoch = state.pool.value.epoch;
            let trusted_spec = EngineSpec {
                fenced: spec.fenced && self.fault != Fault::NoFence,
                ..*spec
            };
            ledgers.push(Rc::new(Ledger::new(trusted_spec, epoch, &pins)));
            known.push(Rc::new(KnownPins {
                version: item.version,
                pins,
                unconfirmed: None,
                learned_at,
                successor: None,
            }));
        }
        state.daemons[d].role = Role::Owner(Rc::new(OwnedPool {
            version: state.pool.version,
            record: state.pool.value.clone(),
            known,
            ledgers,
        }));
    }

    pub fn daemon_steps(&self, state: &State, d: usize, steps: &mut Steps) {
        match &state.daemons[d].role {
            Role::Idle => self.claim_steps(state, d, steps),
            Role::Claimed { clean } => {
                let mut next = state.clone();
                match state.pool.value.is_owned_by(&state.daemons[d].me) {
                    true => self.take_over(&mut next, d, *clean),
                    false => next.daemons[d].role = Role::Idle,
                }
                steps.push((format!("d{d} reads back"), next));
            }
            Role::Owner(owned) => {
                for e in 0..self.specs.len() {
                    self.order_steps(state, d, e, owned, steps);
                    self.pin_steps(state, d, e, owned, steps);
                    self.report_steps(state, d, e, owned, steps);
                }
                self.handover_steps(state, d, owned, steps);
            }
        }
    }

    pub fn claim_steps(&self, state: &State, d: usize, steps: &mut Steps) {
        if state.budget.claims == 0 {
            return;
        }
        let clean = inherits_clean(Some(&state.pool.value));
        let mut next = state.clone();
        next.budget.claims -= 1;
        next.pool.version += 1;
        next.pool.value = claim(Some(&state.pool.value), &state.daemons[d].me);
        if state.budget.lost_answers > 0 {
            let mut lost = next.clone();
            lost.budget.lost_answers -= 1;
            lost.daemons[d].role = Role::Claimed { clean };
            steps.push((format!("d{d} claims, answer lost"), lost));
        }
        self.take_over(&mut next, d, clean);
        steps.push((format!("d{d} claims"), next));
    }

    pub fn order_steps(
        &self,
        state: &State,
        d: usize,
        e: usize,
        owned: &OwnedPool,
        steps: &mut Steps,
    ) {
        if state.budget.orders == 0 {
            return;
        }
        let known = &owned.known[e];
        let loadable = match &known.unconfirmed {
            Some(unconfirmed) => known.pins.intersection(unconfirmed),
            None => known.pins.clone(),
        };
        let ledger = &owned.ledgers[e];
        let doubtful = self.models.iter().any(|m| ledger.in_doubt(m));
        let fenced = self.specs[e].fenced && self.fault != Fault::NoFence;
        if fenced && (doubtful || !ledger.is_ready()) {
            push_order(state, d, e, Ledger::fence, steps);
        }
        for model in &self.models {
            if !state.engines[e].loaded.contains(model) {
                push_order(state, d, e, |l| l.load(&loadable, model), steps);
            }
            if ledger.is_resident(model) {
                push_order(state, d, e, |l| l.unload(model), steps);
            }
        }
    }

    pub fn pin_steps(
        &self,
        state: &State,
        d: usize,
        e: usize,
        owned: &OwnedPool,
        steps: &mut Steps,
    ) {
        let known = &owned.known[e];
        if known.unconfirmed.is_some() {
            self.read_back_step(state, d, e, owned, steps);
            return;
        }
        if let Some(seen) = &known.successor {
            let name = format!("d{d} adopts {seen} of e{e}");
            self.write_steps(state, d, e, known.pins.adopt(seen), &name, steps);
        }
        if state.budget.pin_writes == 0 {
            return;
        }
        for model in &self.models {
            if known.pins.pins.contains_key(model) {
                let release = PinRelease {
                    model,
                    restarted: known.successor.is_some(),
                    host_removed: false,
                    ledger: &owned.ledgers[e],
                };
                if release.allowed() || self.faulty_release(state, e, model) {
                    let name = format!("d{d} releases {model} on e{e}");
                    self.write_steps(state, d, e, known.pins.without_pin(model), &name, steps);
                }
                continue;
            }
            let request = PinRequest {
                model,
                engine: &engine_name(e),
                memory: 1,
                limit: self.limit,
            };
            if check_pin(&counted_pins(owned), &request, self.specs[e]).is_ok() {
                let name = format!("d{d} pins {model} on e{e}");
                let pins = known.pins.with_pin(model, 1, owned.record.epoch);
                self.write_steps(state, d, e, pins, &name, steps);
            }
        }
    }

    /// Returns whether the fault allows a release that the protocol forbids.
    pub fn faulty_release(&self, state: &State, e: usize, model: &str) -> bool {
        match self.fault {
            Fault::ExpiryReleases => true,
            Fault::NoFence => !state.engines[e].loaded.contains(model),
            _ => false,
        }
    }

    /// Adds a conditional write of the pins of one engine with each of its
    /// outcomes.
    pub fn write_steps(
        &self,
        state: &State,
        d: usize,
        e: usize,
        value: EnginePins,
        name: &str,
        steps: &mut Steps,
    ) {
        let mut next = state.clone();
        next.budget.pin_writes = next.budget.pin_writes.saturating_sub(1);
        let owned = owned_pool(&mut next, d);
        let write = DelayedWrite {
            pool: owned.version,
            engine: e,
            version: owned.known[e].version,
            value,
        };
        if state.budget.lost_answers > 0 {
            let mut lost = next.clone();
            lost.budget.lost_answers -= 1;
            if self.fault != Fault::WriteForgotten {
                let known = &mut owned_pool(&mut lost, d).known[e];
                Rc::make_mut(known).unconfirmed = Some(write.value.clone());
            }
            let mut delayed = lost.clone();
            if commit_write(&mut lost, &write) {
                steps.push((format!("{name}, answer lost"), lost));
            }
            if delayed.delayed.is_none() {
                delayed.delayed = Some(write.clone());
                steps.push((format!("{name}, write delayed"), delayed));
            }
        }
        match commit_write(&mut next, &write) {
            true => self.confirm_write(&mut next, d, &write),
            false => next.daemons[d].role = Role::Idle,
        }
        steps.push((name.to_owned(), next));
    }

    /// Applies a write that took effect to the state of its owner.
    pub fn confirm_write(&self, state: &mut State, d: usize, write: &DelayedWrite) {
        let version = state.pins[write.engine].version;
        state.daemons[d].time += 1;
        let learned_at = state.daemons[d].time * 2;
        let owned = owned_pool(state, d);
        let known = Rc::make_mut(&mut owned.known[write.engine]);
        known.version = version;
        known.unconfirmed = None;
        if known.pins.instance != write.value.instance {
            known.successor = None;
            known.learned_at = learned_at;
            let ledger = &mut owned.ledgers[write.engine];
            *ledger = Rc::new(ledger.renew(&write.value));
        }
        known.pins = write.value.clone();
    }

    /// Reads back a write without an answer and writes the found value again, so
    /// that the first write can no longer take effect.
    pub fn read_back_step(
        &self,
        state: &State,
        d: usize,
        e: usize,
        owned: &OwnedPool,
        steps: &mut Steps,
    ) {
        let mut next = state.clone();
        let item = &state.pins[e];
        let known = &owned.known[e];
        let wanted = known.unconfirmed.as_ref().filter(|u| **u == item.value);
        let write = DelayedWrite {
            pool: owned.version,
            engine: e,
            version: item.version,
            value: wanted.unwrap_or(&known.pins).clone(),
        };
        match commit_write(&mut next, &write) {
            true => self.confirm_write(&mut next, d, &write),
            false => next.daemons[d].role = Role::Idle,
        }
        steps.push((format!("d{d} reads back e{e}"), next));
    }

    pub fn report_steps(
        &self,
        state: &State,
        d: usize,
        e: usize,
        owned: &OwnedPool,
        steps: &mut Steps,
    ) {
        let daemon = &state.daemons[d];
        let seen = instance_name(state.engines[e].instance);
        let recorded = &owned.known[e].pins.instance;
        let mut next = state.clone();
        let left = match seen == *recorded {
            true => &mut next.budget.stale_reports,
            false => &mut next.budget.new_reports,
        };
        if *left > 0 {
            *left -= 1;
            next.daemons[d].reports.push(Report {
                engine: e,
                instance: seen,
                requested_at: daemon.time * 2 + 1,
            });
            steps.push((format!("d{d} requests a report of e{e}"), next));
        }
        for (i, report) in daemon.reports.iter().enumerate() {
            if report.engine == e {
                self.receive_report(state, d, i, report, steps);
            }
        }
    }

    pub fn receive_report(
        &self,
        state: &State,
        d: usize,
        i: usize,
        report: &Report,
        steps: &mut Steps,
    ) {
        let e = report.engine;
        let mut next = state.clone();
        next.daemons[d].reports.remove(i);
        let owned = owned_pool(&mut next, d);
        let known = Rc::make_mut(&mut owned.known[e]);
        let requested_at = match self.fault {
            Fault::OldReport => Duration::MAX,
            _ => logical_time(report.requested_at),
        };
        if known.pins.proves_restart(
            logical_time(known.learned_at),
            &report.instance,
            requested_at,
        ) {
            known.successor = Some(report.instance.clone());
            if self.fault == Fault::NoAdoption {
                let pins = known.pins.adopt(&report.instance);
                owned.ledgers[e] = Rc::new(owned.ledgers[e].renew(&pins));
            }
        }
        steps.push((
            format!("d{d} receives a report of {} of e{e}", report.instance),
            next,
        ));
    }

    pub fn handover_steps(&self, state: &State, d: usize, owned: &OwnedPool, steps: &mut Steps) {
        let unconfirmed = owned.known.iter().any(|k| k.unconfirmed.is_some());
        let idle = owned.ledgers.iter().all(|l| l.is_idle());
        if unconfirmed || !idle || state.budget.claims == 0 {
            return;
        }
        let mut next = state.clone();
        next.daemons[d].role = Role::Idle;
        let name = format!("d{d} hands over");
        if state.pool.version != owned.version {
            steps.push((name, next));
            return;
        }
        next.pool.version += 1;
        next.pool.value = handover(&owned.record);
        for (e, known) in owned.known.iter().enumerate() {
            let kept = match self.fault {
                Fault::DoubtsDropped => known.pins.clone(),
                _ => owned.ledgers[e].with_doubts(&known.pins),
            };
            let item = Rc::make_mut(&mut next.pins[e]);
            item.version += 1;
            item.value = kept;
        }
        steps.push((name, next));
    }
}

pub fn push_order<F>(state: &State, d: usize, e: usize, grant: F, steps: &mut Steps)
where
    F: Fn(&mut Ledger) -> Result<Grant<Recorded>, OrderDenied>,
{
    let mut next = state.clone();
    let Ok(grant) = grant(Rc::make_mut(&mut owned_pool(&mut next, d).ledgers[e])) else {
        return;
    };
    let grant = grant.send();
    let order = Order {
        from: d,
        incarnation: state.daemons[d].me.incarnation,
        engine: e,
        token: grant.token,
        load: grant.verb == Verb::Load,
        model: grant.model.clone(),
        instance: grant.instance.clone(),
    };
    next.budget.orders -= 1;
    steps.push((format!("d{d} sends {}", order_text(&order)), {
        next.orders.push(order);
        next.orders.sort();
        next
    }));
}
