//! Steps of the network and the engines, and what fails.

use std::rc::Rc;

use mastichinge::protocol::ownership::*;

use super::state::*;

impl Pool {
    pub fn network(&self, state: &State, steps: &mut Steps) {
        for (i, order) in state.orders.iter().enumerate() {
            let mut next = state.clone();
            next.orders.remove(i);
            let end = self.execute(&mut next.engines[order.engine], order);
            if waits(state, order) {
                let order = order.clone();
                next.answers.push(Answer { order, end });
            }
            steps.push((format!("e{} gets {}", order.engine, show(order)), next));
        }
        for (i, answer) in state.answers.iter().enumerate() {
            let mut next = state.clone();
            next.answers.remove(i);
            settle(&mut next, &answer.order, answer.end.clone());
            steps.push((format!("answer to {}", show(&answer.order)), next));
        }
        if let Some(late) = &state.late {
            let mut next = state.clone();
            next.late = None;
            apply(&mut next, late);
            steps.push(("the late write lands".to_owned(), next));
        }
    }

    pub fn execute(&self, engine: &mut Engine, order: &Order) -> OrderOutcome {
        if order.instance != instance(engine.instance) {
            return OrderOutcome::Restarted;
        }
        let fenced = self.rooms[order.engine].fenced;
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

    pub fn faults(&self, state: &State, steps: &mut Steps) {
        if state.budget.timeouts > 0 {
            let answered = state.answers.iter().map(|a| &a.order);
            let sent = state.orders.iter().filter(|o| waits(state, o));
            for order in answered.chain(sent) {
                let mut next = state.clone();
                next.budget.timeouts -= 1;
                next.answers.retain(|a| a.order != *order);
                let end = match self.fault {
                    Fault::LostIsUnsent => OrderOutcome::Unsent,
                    _ => OrderOutcome::Lost,
                };
                settle(&mut next, order, end);
                steps.push((format!("no answer to {}", show(order)), next));
            }
        }
        if state.budget.restarts > 0 {
            for e in 0..self.rooms.len() {
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

pub fn show(order: &Order) -> String {
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

/// Whether the sender still waits for the answer.
pub fn waits(state: &State, order: &Order) -> bool {
    let daemon = &state.daemons[order.from];
    let Role::Holds(holding) = &daemon.role else {
        return false;
    };
    let same = holding.record.epoch == order.token.epoch();
    same && daemon.me.incarnation == order.incarnation
}

pub fn settle(state: &mut State, order: &Order, end: OrderOutcome) {
    if waits(state, order) {
        let ledger = &mut holding(state, order.from).ledgers[order.engine];
        Rc::make_mut(ledger).settle(order.token, end);
    }
}
