//! How many loads from the weight store run at the same time, those of earlier leaders included.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::plan::LoadReason;
use super::store_speed::StoreSpeed;
use super::{PlacementInput, Placer};
use crate::clock::Moment;
use crate::edge::load_forecast::LoadForecast;

impl Placer {
    /// Goes on with what the leader before has forecast and learnt of the weight store.
    pub fn inherit(&mut self, forecasts: &BTreeMap<Arc<str>, LoadForecast>, now: Moment) {
        let usual = self.engines.store_parallel;
        for (service, forecast) in forecasts {
            let speed = StoreSpeed::inherited(usual, forecast.parallel, now);
            self.speeds.insert(service.clone(), speed);
            let loading = forecast.loading.iter();
            let ready = loading.filter_map(|m| Some((m.clone(), *forecast.ready.get(m)?)));
            self.inherited.insert(service.clone(), ready.collect());
        }
    }

    /// Updates what is known of the speed of the weight store.
    pub(super) fn update_speeds(&mut self, input: &PlacementInput<'_>) {
        for service in input
            .desired
            .services
            .values()
            .filter(|s| s.hosting.is_some())
        {
            let mut loads = BTreeMap::new();
            let mut unknown = 0;
            for (engine, view) in self.service_engines(input, &service.name) {
                match &view.task {
                    Some(task) if task.from_store && view.loading().is_some() => {
                        loads.insert(engine.entry.id.clone(), task.load_time);
                    }
                    _ if view.foreign_order => unknown += 1,
                    _ => {}
                }
            }
            let views = &self.views;
            let is_loaded = |engine: &str| views.get(engine).is_some_and(|v| v.task.is_none());
            let usual = self.engines.store_parallel;
            let speed = self.speeds.entry(service.name.clone());
            let speed = speed.or_insert_with(|| StoreSpeed::new(usual, input.now));
            speed.update(&loads, unknown, is_loaded, input.now);
        }
    }

    /// Returns how many loads from the weight store may be planned or in progress, so that none
    /// of them is slowed.
    pub(super) fn max_store_loads(
        &self,
        service: &str,
        load_time: Duration,
        reason: LoadReason,
    ) -> usize {
        let Some(speed) = self.speeds.get(service) else {
            return 1;
        };
        match reason {
            LoadReason::Prefetch | LoadReason::Spare => speed.parallel_ahead(load_time),
            LoadReason::Waiting | LoadReason::Hot | LoadReason::Unserved => speed.parallel(),
        }
    }

    /// Returns the number of loads from the weight store that are planned or in progress, with
    /// those that an earlier leader has ordered.
    pub(super) fn store_load_count(&self, input: &PlacementInput<'_>, service: &str) -> usize {
        let (mut own, mut foreign) = (0, 0);
        for (_, view) in self.service_engines(input, service) {
            own += usize::from(view.task.as_ref().is_some_and(|t| t.from_store));
            foreign += usize::from(view.foreign_order);
        }
        let inherited = self.inherited.get(service).into_iter().flatten();
        let inherited = inherited.filter(|(_, ready_at)| **ready_at > input.now);
        own + foreign.max(inherited.count())
    }

    /// Returns whether an earlier leader has ordered a load of a model from the weight store that
    /// is not over yet.
    pub(super) fn is_inherited(&self, service: &str, model: &str, now: Moment) -> bool {
        let loads = self.inherited.get(service);
        loads.is_some_and(|l| l.get(model).is_some_and(|ready_at| *ready_at > now))
    }
}
