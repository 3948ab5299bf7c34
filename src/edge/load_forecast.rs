//! When models that no engine holds will be ready, as the leader forecasts it from the loads
//! that the weight store still has to carry out.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;

/// Maximum number of models in a forecast, so that it fits into a heartbeat.
const MAX_MODELS: usize = 24;

/// Forecast of one service's loads from the weight store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadForecast {
    /// When each model that is loading or queued is expected to be ready.
    pub ready: BTreeMap<Arc<str>, Moment>,
    /// When a load of any other model can start.
    pub next_start: Moment,
    /// Models that are loading.
    pub loading: BTreeSet<Arc<str>>,
    /// Loads at once that the weight store serves at full speed, as far as known.
    pub parallel: u32,
}

impl LoadForecast {
    /// Forecasts the queued loads, given when the running ones end. `parallel` loads run at
    /// the same time; each queued one takes the given time, in this order.
    pub fn new(
        running: Vec<(Arc<str>, Moment)>,
        queued: Vec<(Arc<str>, Duration)>,
        parallel: u32,
        now: Moment,
    ) -> Self {
        let mut free_at: Vec<Moment> = running.iter().map(|(_, end)| *end).collect();
        while free_at.len() < parallel.max(1) as usize {
            free_at.push(now);
        }
        // With more loads than the store serves at full speed, those that end last decide
        // when the next can start.
        free_at.sort_unstable_by(|a, b| b.cmp(a));
        free_at.truncate(parallel.max(1) as usize);
        let mut forecast = LoadForecast {
            loading: running.iter().map(|(model, _)| model.clone()).collect(),
            ready: running.into_iter().collect(),
            next_start: now,
            parallel,
        };
        for (model, load_time) in queued {
            let Some(start) = free_at.pop() else {
                break;
            };
            let end = start.max(now) + load_time;
            if forecast.ready.len() < MAX_MODELS {
                forecast.ready.insert(model, end);
            }
            let index = free_at.partition_point(|at| *at > end);
            free_at.insert(index, end);
        }
        forecast.next_start = free_at.last().map_or(now, |at| now.max(*at));
        forecast
    }

    /// Returns the time until a model is ready whose load takes `load_time`.
    pub fn ready_in(&self, model: &str, load_time: Duration, now: Moment) -> Duration {
        match self.ready.get(model) {
            Some(ready) => ready.saturating_sub(now),
            None => self.next_start.saturating_sub(now) + load_time,
        }
    }
}
