//! Steps of the network and the engines, and their faults.

use std::rc::Rc;

use mastichinge::protocol::ownership::*;

use super::state::*;

impl Pool {
    pub fn network_steps(&self, state: &State, steps: &mut Steps) {
        for (i, order) in state.orders.iter().enumerate() {
            let mut next = state.clone();
            next.orders.remove(i);
            let outcome = self.execute(&mut next.engines[order.engine], order);
            if awaits_answer(state, order) {
                let order = order.clone();
                next.answers.push(Answer { order, outcome });
            }
            steps.push((
                format!("e{} gets {}", order.engine, order_text(order)),
                next,
            ));
        }
        for (i, answer) in state.answers.iter().enumerate() {
            let mut next = state.clone();
            next.answers.remove(i);
            settle(&mut next, &answer.order, answer.outcome.clone());
            steps.push((format!("answer to {}", order_text(&answer.order)), next));
        }
        if let Some(write) = &state.delayed {
            let mut next = state.clone();
            next.delayed = None;
            commit_write(&mut next, write);
            steps.push(("the delayed write takes effect".to_owned(), next));
        }
    }

    pub fn execute(&self, engine: &mut Engine, order: &Order) -> OrderOutcome {
        if order.instance != instance_name(engine.instance) {
            return OrderOutcome::Restarted;
        }
        let fenced = self.specs[order.engine].fenced;
        if fenced && order.token < engine.token {
            return OrderOutcome::Fenced {
                current: engine.token,
            };
        }
        if fenced {
            engine.token = order.token;
        }
        if order.load {
            engine.loaded.insert(order.model.clone());
        } else {
            engine.loaded.remove(&order.model);
        }
        let loaded = engine.loaded.iter();
        OrderOutcome::Done(loaded.map(|m| (m.clone(), 1)).collect::<ResidentModels>())
    }

    pub fn fault_steps(&self, state: &State, steps: &mut Steps) {
        if state.budget.timeouts > 0 {
            let answered = state.answers.iter().map(|a| &a.order);
            let sent = state.orders.iter().filter(|o| awaits_answer(state, o));
            for order in answered.chain(sent) {
                let mut next = state.clone();
                next.budget.timeouts -= 1;
                next.answers.retain(|a| a.order != *order);
                let outcome = match self.fault {
                    Fault::LostIsUnsent => OrderOutcome::Unsent,
                    _ => OrderOutcome::Lost,
                };
                settle(&mut next, order, outcome);
                steps.push((format!("no answer to {}", order_text(order)), next));
            }
        }
        if state.budget.restarts > 0 {
            for e in 0..self.specs.len() {
                let mut next = state.clone();
                next.budget.restarts -= 1;
                let engine = &mut next.engines[e];
                engine.instance += 1;
                engine.token = FencingToken::default();
                engine.loaded.clear();
                steps.push((format!("e{e} restarts"), next));
            }
        }
        if state.budget.crashes > 0 {
            for d in 0..state.daemons.len() {
                let mut next = state.clone();
                next.budget.crashes -= 1;
                let daemon = &mut next.daemons[d];
                daemon.me.incarnation += 1;
                daemon.role = Role::Idle;
                daemon.reports.clear();
                next.answers.retain(|a| a.order.from != d);
                steps.push((format!("d{d} restarts"), next));
            }
        }
    }
}

pub fn order_text(order: &Order) -> String {
    let verb = match (order.load, order.model.is_empty()) {
        (true, _) => "load",
        (false, false) => "unload",
        (false, true) => "fence",
    };
    let Order {
        model,
        engine,
        token,
        ..
    } = order;
    let seq = token.0 & 0xff_ffff;
    format!("{verb} {model} e{engine} {}.{seq}", token.epoch())
}

/// Returns whether the sender still waits for the answer.
pub fn awaits_answer(state: &State, order: &Order) -> bool {
    let daemon = &state.daemons[order.from];
    let Role::Owner(owned) = &daemon.role else {
        return false;
    };
    let same = owned.record.epoch == order.token.epoch();
    same && daemon.me.incarnation == order.incarnation
}

pub fn settle(state: &mut State, order: &Order, outcome: OrderOutcome) {
    if awaits_answer(state, order) {
        let ledger = &mut owned_pool(state, order.from).ledgers[order.engine];
        Rc::make_mut(ledger).settle(order.token, outcome);
    }
}
