//! Orders to the engine.

use std::thread;

use super::{Inner, PAUSE};
use crate::fakes::server::Exchange;
use crate::outside::engine_http::OrderBody;
use crate::outside::{Order, Tier, Verb};

impl Inner {
    pub(super) fn order(&self, verb: Verb, exchange: Exchange) {
        let parameters = match exchange.json::<OrderBody>() {
            Ok(body) => body.parameters,
            Err(text) => return exchange.answer(400, &text),
        };
        let model = exchange.path.get(3).map_or("", String::as_str);
        let order = parameters.into_order(verb, model);
        let fenced = self.settings.fenced;
        let refusal = self.state.change(|s| s.admit(&order, fenced));
        if let Some(refusal) = refusal {
            return exchange.answer(409, &refusal);
        }
        let outcome = match verb {
            Verb::Load => self.load(&order, &exchange),
            Verb::Unload => self.unload(&order, &exchange),
            Verb::Fence => Ok(()),
        };
        let report = self.state.change(|s| s.now.clone());
        match outcome {
            Ok(()) => exchange.answer(200, &report),
            Err(text) => exchange.answer(400, &text),
        }
    }

    fn unload(&self, order: &Order, exchange: &Exchange) -> Result<(), &'static str> {
        let mut state = self.state.lock();
        if exchange.alive() {
            state.free(&order.model);
        }
        Ok(())
    }

    /// Loads a model, or waits for a load of it that is already running.
    fn load(&self, order: &Order, exchange: &Exchange) -> Result<(), &'static str> {
        let model = &*order.model;
        let mut state = self.state.lock();
        // A process that has died must not change the state of its successor.
        if !exchange.alive() {
            return Err("the process died");
        }
        if order.base.as_deref().is_some_and(|base| !state.ready(base)) {
            return Err("the base model is not loaded");
        }
        let present = state.resident(model).cloned();
        if present.as_ref().is_some_and(|p| p.version != order.version) {
            return Err("another version is loaded");
        }
        if present.is_none() {
            state.take(order, self.settings.memory);
        }
        let tier = state.tier(model);
        drop(state);
        let wanted = || exchange.alive() && self.state.change(|s| s.resident(model).is_some());
        if present.is_some() {
            while wanted() && !self.state.change(|s| s.ready(model)) {
                thread::sleep(PAUSE);
            }
        } else if self.fetch(order, tier, &wanted) {
            let mut state = self.state.lock();
            if exchange.alive() {
                state.loaded(model);
            }
        }
        let loaded = self.state.change(|s| s.ready(model));
        loaded.then_some(()).ok_or("unloaded while loading")
    }

    fn fetch(&self, order: &Order, tier: Tier, wanted: &dyn Fn() -> bool) -> bool {
        let adapter = order.base.is_some();
        let times = self.settings.times;
        let full = match tier {
            _ if adapter => times.adapter,
            Tier::Remote => times.remote,
            Tier::Disk => times.disk,
            Tier::Memory => times.memory,
        };
        let full = full.mul_f64(self.settings.scale);
        if tier == Tier::Remote {
            return self.settings.weights.load(adapter, full, wanted);
        }
        thread::sleep(full);
        wanted()
    }
}
