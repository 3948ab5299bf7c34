//! Forecasts of the loads from the weight store.

use std::collections::HashSet;

use super::store_speed::StoreSpeed;
use super::{ModelTarget, PlacementInput, Placer};
use crate::edge::load_forecast::LoadForecast;

impl Placer {
    /// Forecasts when the models that are loaded from the weight store will be ready, and
    /// those that are still missing after the planning.
    pub(super) fn forecast_loads(&mut self, input: &PlacementInput<'_>, missing: &[ModelTarget]) {
        self.forecasts.clear();
        for service in input.desired.services.values() {
            let Some(hosting) = &service.hosting else {
                continue;
            };
            let speed = self.speeds.get(&service.name);
            let mut running = Vec::new();
            let mut copied = HashSet::new();
            for (engine, view) in self.service_engines(input, &service.name) {
                copied.extend(view.copies.memory.iter().chain(&view.copies.disk));
                let Some(task) = view.task.as_ref().filter(|t| t.from_store) else {
                    continue;
                };
                let mut left = view.task_remaining(input.now);
                match view.loading() {
                    None => left += task.load_time,
                    Some(_) => {
                        let known = speed.and_then(|s| s.time_left(&engine.entry.id));
                        left = known.unwrap_or(left);
                    }
                }
                running.push((task.model.clone(), input.now + left));
            }
            let mut queued = Vec::new();
            for target in missing {
                let model = &target.model;
                let spec = hosting.models.get(model);
                let from_store = target.service == service.name && !copied.contains(model);
                let planned = running.iter().any(|(m, _)| m == model);
                if let Some(spec) = spec.filter(|_| from_store && !planned) {
                    queued.push((model.clone(), spec.store_load));
                }
            }
            let is_learnt = speed.is_some_and(StoreSpeed::is_learnt);
            if running.is_empty() && queued.is_empty() && !is_learnt {
                continue;
            }
            let parallel = speed.map_or(1, StoreSpeed::parallel) as u32;
            let forecast = LoadForecast::new(running, queued, parallel, input.now);
            self.forecasts.insert(service.name.clone(), forecast);
        }
    }
}
