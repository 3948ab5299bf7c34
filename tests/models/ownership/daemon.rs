//! Steps of a daemon.

use std::rc::Rc;
use std::time::Duration;

use mastichinge::outside::Verb;
use mastichinge::protocol::ownership::*;

use super::network::show;
use super::state::*;

impl Pool {
    /// Daemon `d` has read back its claim and reads the pins.
    pub fn take(&self, state: &mut State, d: usize, clean: bool) {
        let mut known = Vec::new();
        let mut ledgers = Vec::new();
        state.daemons[d].time += 1;
        let since = state.daemons[d].time * 2;
        for (item, room) in state.pins.iter().zip(&self.rooms) {
            let trusted = clean || self.fault == Fault::NoFence;
            let pins = item.value.inherit(trusted);
            let epoch = state.pool.value.epoch;
            let trusting = EngineSpec {
                fenced: room.fenced && self.fault != Fault::NoFence,
                ..*room
            };
            ledgers.push(Rc::new(Ledger::new(trusting, epoch, &pins)));
            known.push(Rc::new(Known {
                version: item.version,
                pins,
                unsure: None,
                since,
                ended: None,
            }));
        }
        state.daemons[d].role = Role::Holds(Rc::new(Holding {
            version: state.pool.version,
            record: state.pool.value.clone(),
            known,
            ledgers,
        }));
    }

    pub fn daemon(&self, state: &State, d: usize, steps: &mut Steps) {
        match &state.daemons[d].role {
            Role::Idle => self.claims(state, d, steps),
            Role::Claimed { clean } => {
                let mut next = state.clone();
                match state.pool.value.is_owned_by(&state.daemons[d].me) {
                    true => self.take(&mut next, d, *clean),
                    false => next.daemons[d].role = Role::Idle,
                }
                steps.push((format!("d{d} reads back"), next));
            }
            Role::Holds(holding) => {
                for e in 0..self.rooms.len() {
                    self.orders(state, d, e, holding, steps);
                    self.writes(state, d, e, holding, steps);
                    self.reports(state, d, e, holding, steps);
                }
                self.hands_over(state, d, holding, steps);
            }
        }
    }

    pub fn claims(&self, state: &State, d: usize, steps: &mut Steps) {
        if state.budget.claims == 0 {
            return;
        }
        let clean = inherits_clean(Some(&state.pool.value));
        let mut next = state.clone();
        next.budget.claims -= 1;
        next.pool.version += 1;
        next.pool.value = claim(Some(&state.pool.value), &state.daemons[d].me);
        if state.budget.lost > 0 {
            let mut lost = next.clone();
            lost.budget.lost -= 1;
            lost.daemons[d].role = Role::Claimed { clean };
            steps.push((format!("d{d} claims, answer lost"), lost));
        }
        self.take(&mut next, d, clean);
        steps.push((format!("d{d} claims"), next));
    }

    pub fn orders(&self, state: &State, d: usize, e: usize, holding: &Holding, steps: &mut Steps) {
        if state.budget.orders == 0 {
            return;
        }
        let known = &holding.known[e];
        let loadable = match &known.unsure {
            Some(unsure) => known.pins.intersection(unsure),
            None => known.pins.clone(),
        };
        let ledger = &holding.ledgers[e];
        let doubtful = self.models.iter().any(|m| ledger.in_doubt(m));
        let fenced = self.rooms[e].fenced && self.fault != Fault::NoFence;
        if fenced && (doubtful || !ledger.is_ready()) {
            send(state, d, e, Ledger::fence, steps);
        }
        for model in &self.models {
            if !state.engines[e].loaded.contains(model) {
                send(state, d, e, |l| l.load(&loadable, model), steps);
            }
            if ledger.is_resident(model) {
                send(state, d, e, |l| l.unload(model), steps);
            }
        }
    }

    pub fn writes(&self, state: &State, d: usize, e: usize, holding: &Holding, steps: &mut Steps) {
        let known = &holding.known[e];
        if known.unsure.is_some() {
            self.settles(state, d, e, holding, steps);
            return;
        }
        if let Some(seen) = &known.ended {
            let name = format!("d{d} adopts {seen} of e{e}");
            self.write(state, d, e, known.pins.adopt(seen), &name, steps);
        }
        if state.budget.moves == 0 {
            return;
        }
        for model in &self.models {
            if known.pins.pins.contains_key(model) {
                let release = PinRelease {
                    model,
                    restarted: known.ended.is_some(),
                    host_removed: false,
                    ledger: &holding.ledgers[e],
                };
                if release.allowed() || self.trusts(state, e, model) {
                    let name = format!("d{d} releases {model} on e{e}");
                    self.write(state, d, e, known.pins.without_pin(model), &name, steps);
                }
                continue;
            }
            let ask = PinRequest {
                model,
                engine: &engine_name(e),
                memory: 1,
                limit: self.limit,
            };
            if check_pin(&counted(holding), &ask, self.rooms[e]).is_ok() {
                let name = format!("d{d} pins {model} on e{e}");
                let pins = known.pins.with_pin(model, 1, holding.record.epoch);
                self.write(state, d, e, pins, &name, steps);
            }
        }
    }

    /// A release that the protocol forbids.
    pub fn trusts(&self, state: &State, e: usize, model: &str) -> bool {
        match self.fault {
            Fault::LapseFrees => true,
            Fault::NoFence => !state.engines[e].loaded.contains(model),
            _ => false,
        }
    }

    /// A conditional write of the pins of one engine, with each of its ends.
    pub fn write(
        &self,
        state: &State,
        d: usize,
        e: usize,
        value: EnginePins,
        name: &str,
        steps: &mut Steps,
    ) {
        let mut next = state.clone();
        next.budget.moves = next.budget.moves.saturating_sub(1);
        let holding = holding(&mut next, d);
        let late = Late {
            pool: holding.version,
            engine: e,
            version: holding.known[e].version,
            value,
        };
        if state.budget.lost > 0 {
            let mut lost = next.clone();
            lost.budget.lost -= 1;
            if self.fault != Fault::WriteForgotten {
                let known = &mut self::holding(&mut lost, d).known[e];
                Rc::make_mut(known).unsure = Some(late.value.clone());
            }
            let mut delayed = lost.clone();
            if apply(&mut lost, &late) {
                steps.push((format!("{name}, answer lost"), lost));
            }
            if delayed.late.is_none() {
                delayed.late = Some(late.clone());
                steps.push((format!("{name}, still on its way"), delayed));
            }
        }
        match apply(&mut next, &late) {
            true => self.wrote(&mut next, d, &late),
            false => next.daemons[d].role = Role::Idle,
        }
        steps.push((name.to_owned(), next));
    }

    /// The owner knows that its write took effect.
    pub fn wrote(&self, state: &mut State, d: usize, late: &Late) {
        let version = state.pins[late.engine].version;
        state.daemons[d].time += 1;
        let since = state.daemons[d].time * 2;
        let holding = holding(state, d);
        let known = Rc::make_mut(&mut holding.known[late.engine]);
        known.version = version;
        known.unsure = None;
        if known.pins.instance != late.value.instance {
            known.ended = None;
            known.since = since;
            let ledger = &mut holding.ledgers[late.engine];
            *ledger = Rc::new(ledger.renew(&late.value));
        }
        known.pins = late.value.clone();
    }

    /// Reads back a write without an answer and writes what was found again, so
    /// that the write can no longer take effect late.
    pub fn settles(&self, state: &State, d: usize, e: usize, holding: &Holding, steps: &mut Steps) {
        let mut next = state.clone();
        let item = &state.pins[e];
        let known = &holding.known[e];
        let wanted = known.unsure.as_ref().filter(|u| **u == item.value);
        let late = Late {
            pool: holding.version,
            engine: e,
            version: item.version,
            value: wanted.unwrap_or(&known.pins).clone(),
        };
        match apply(&mut next, &late) {
            true => self.wrote(&mut next, d, &late),
            false => next.daemons[d].role = Role::Idle,
        }
        steps.push((format!("d{d} reads back e{e}"), next));
    }

    pub fn reports(&self, state: &State, d: usize, e: usize, holding: &Holding, steps: &mut Steps) {
        let daemon = &state.daemons[d];
        let seen = instance(state.engines[e].instance);
        let recorded = &holding.known[e].pins.instance;
        let mut next = state.clone();
        let left = match seen == *recorded {
            true => &mut next.budget.stale,
            false => &mut next.budget.asks,
        };
        if *left > 0 {
            *left -= 1;
            next.daemons[d].reports.push(Report {
                engine: e,
                instance: seen,
                asked: daemon.time * 2 + 1,
            });
            steps.push((format!("d{d} asks e{e}"), next));
        }
        for (i, report) in daemon.reports.iter().enumerate() {
            if report.engine == e {
                self.hears(state, d, i, report, steps);
            }
        }
    }

    pub fn hears(&self, state: &State, d: usize, i: usize, report: &Report, steps: &mut Steps) {
        let e = report.engine;
        let mut next = state.clone();
        next.daemons[d].reports.remove(i);
        let holding = holding(&mut next, d);
        let known = Rc::make_mut(&mut holding.known[e]);
        let asked = match self.fault {
            Fault::OldReport => Duration::MAX,
            _ => at(report.asked),
        };
        if known
            .pins
            .proves_restart(at(known.since), &report.instance, asked)
        {
            known.ended = Some(report.instance.clone());
            if self.fault == Fault::NoAdoption {
                let pins = known.pins.adopt(&report.instance);
                holding.ledgers[e] = Rc::new(holding.ledgers[e].renew(&pins));
            }
        }
        steps.push((format!("d{d} hears of {} of e{e}", report.instance), next));
    }

    pub fn hands_over(&self, state: &State, d: usize, holding: &Holding, steps: &mut Steps) {
        let unsure = holding.known.iter().any(|k| k.unsure.is_some());
        let quiet = holding.ledgers.iter().all(|l| l.is_idle());
        if unsure || !quiet || state.budget.claims == 0 {
            return;
        }
        let mut next = state.clone();
        next.daemons[d].role = Role::Idle;
        let name = format!("d{d} hands over");
        if state.pool.version != holding.version {
            steps.push((name, next));
            return;
        }
        next.pool.version += 1;
        next.pool.value = handover(&holding.record);
        for (e, known) in holding.known.iter().enumerate() {
            let kept = match self.fault {
                Fault::DoubtsDropped => known.pins.clone(),
                _ => holding.ledgers[e].with_doubts(&known.pins),
            };
            let item = Rc::make_mut(&mut next.pins[e]);
            item.version += 1;
            item.value = kept;
        }
        steps.push((name, next));
    }
}

pub fn send<F>(state: &State, d: usize, e: usize, grant: F, steps: &mut Steps)
where
    F: Fn(&mut Ledger) -> Result<Grant<Recorded>, mastichinge::protocol::ownership::OrderDenied>,
{
    let mut next = state.clone();
    let Ok(grant) = grant(Rc::make_mut(&mut holding(&mut next, d).ledgers[e])) else {
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
    steps.push((format!("d{d} sends {}", show(&order)), {
        next.orders.push(order);
        next.orders.sort();
        next
    }));
}
