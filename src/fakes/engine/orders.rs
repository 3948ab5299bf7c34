//! Execution of orders by the fake engine.

use std::thread;

use super::{Inner, POLL_INTERVAL};
use crate::fakes::server::Exchange;
use crate::outside::engine_http::OrderBody;
use crate::outside::{Order, Tier, Verb};

impl Inner {
    pub(super) fn execute_order(&self, verb: Verb, exchange: Exchange) {
        let parameters = match exchange.json::<OrderBody>() {
            Ok(body) => body.parameters,
            Err(text) => return exchange.respond_json(400, &text),
        };
        let model = exchange.path.get(3).map_or("", String::as_str);
        let order = parameters.into_order(verb, model);
        let fenced = self.settings.fenced;
        let refusal = self.state.change(|s| s.check_order(&order, fenced));
        if let Some(refusal) = refusal {
            return exchange.respond_json(409, &refusal);
        }
        let outcome = match verb {
            Verb::Load => self.load(&order, &exchange),
            Verb::Unload => self.unload(&order, &exchange),
            Verb::Fence => Ok(()),
        };
        let report = self.state.change(|s| s.current.clone());
        match outcome {
            Ok(()) => exchange.respond_json(200, &report),
            Err(text) => exchange.respond_json(400, &text),
        }
    }

    fn unload(&self, order: &Order, exchange: &Exchange) -> Result<(), &'static str> {
        let mut state = self.state.lock();
        if exchange.is_alive() {
            state.remove_model(&order.model);
        }
        Ok(())
    }

    /// Loads a model, or waits for a load of it that is already running.
    fn load(&self, order: &Order, exchange: &Exchange) -> Result<(), &'static str> {
        let model = &*order.model;
        let mut state = self.state.lock();
        // A crashed process must not change the state of the restarted one.
        if !exchange.is_alive() {
            return Err("the process died");
        }
        if order
            .base
            .as_deref()
            .is_some_and(|base| !state.is_ready(base))
        {
            return Err("the base model is not loaded");
        }
        let present = state.resident(model).cloned();
        if present.as_ref().is_some_and(|p| p.version != order.version) {
            return Err("another version is loaded");
        }
        if present.is_none() {
            state.reserve_memory(order, self.settings.memory);
        }
        let tier = state.tier(model);
        drop(state);
        let is_wanted =
            || exchange.is_alive() && self.state.change(|s| s.resident(model).is_some());
        if present.is_some() {
            while is_wanted() && !self.state.change(|s| s.is_ready(model)) {
                thread::sleep(POLL_INTERVAL);
            }
        } else if self.load_weights(order, tier, &is_wanted) {
            let mut state = self.state.lock();
            if exchange.is_alive() {
                state.finish_load(model);
            }
        }
        let loaded = self.state.change(|s| s.is_ready(model));
        loaded.then_some(()).ok_or("unloaded while loading")
    }

    fn load_weights(&self, order: &Order, tier: Tier, is_wanted: &dyn Fn() -> bool) -> bool {
        let is_adapter = order.base.is_some();
        let times = self.settings.load_times;
        let full_time = match tier {
            _ if is_adapter => times.adapter,
            Tier::Remote => times.remote,
            Tier::Disk => times.disk,
            Tier::Memory => times.memory,
        };
        let full_time = full_time.mul_f64(self.settings.time_scale);
        if tier == Tier::Remote {
            return self.settings.weights.load(is_adapter, full_time, is_wanted);
        }
        thread::sleep(full_time);
        is_wanted()
    }
}
