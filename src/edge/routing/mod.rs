//! Selection of the engine for a request, from what is known of all engines.
//!
//! Many prompts share a prefix, and there are few replicas. Prompts with the same
//! prefix go to the same engine until the wait there outweighs the cached prefix.

mod prediction;
mod queue;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use prediction::{EngineCandidate, EngineSlowdown, ModelSlowdown, best_candidate};
pub use queue::PrefillQueue;

use super::demand::{DemandMeter, ModelKey};
use super::desired::{DesiredState, RouteKind};
use super::fleet::Fleet;
use super::load_forecast::LoadForecast;
use super::origins::Allowed;
use super::placement::ModelTarget;
use super::request_headers::Prompt;
use super::settings::EngineSettings;
use super::upstream::Upstream;
use crate::clock::Moment;

/// Time after which a request looks again at an engine that takes up requests after its pause.
const REOPENING_STEP: Duration = Duration::from_millis(20);
/// Time by which a pause must exceed a load for the model to be loaded elsewhere.
const LOAD_MARGIN: Duration = Duration::from_millis(250);
/// Maximum number of engines with a rate that a request applies to.
const MAX_LIMITED_ENGINES: usize = 6;
/// Estimated time that a request occupies a slot of a plain service.
const PLAIN_SLOT_TIME: Duration = Duration::from_millis(50);
/// Estimated time that a stream occupies a slot.
const STREAM_SLOT_TIME: Duration = Duration::from_millis(2_000);

/// What routing decisions are based on.
#[derive(Clone, Copy, Debug)]
pub struct RoutingContext<'a> {
    /// Engines.
    pub fleet: &'a Fleet,
    /// Desired state.
    pub desired: &'a DesiredState,
    /// Measured slowdowns of models.
    pub meter: &'a DemandMeter,
    /// The leader's forecast of the service's loads from the weight store, if any.
    pub forecast: Option<&'a LoadForecast>,
    /// Settings of engines.
    pub engines: &'a EngineSettings,
    /// Failure domain of this daemon.
    pub domain: &'a str,
    /// Time of the decision.
    pub now: Moment,
}

/// A request to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest<'a> {
    /// Service that handles it.
    pub service: &'a Arc<str>,
    /// Kind of its route.
    pub kind: RouteKind,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Prompt; absent for plain services.
    pub prompt: Option<&'a Prompt>,
    /// Fingerprint of the request, to break ties.
    pub fingerprint: u64,
    /// Engines to use only when there is no other.
    pub avoid: &'a [Arc<str>],
    /// Engine that has named a rate, for which the request has a permit.
    pub permit: Option<&'a Arc<str>>,
    /// Software versions at which it may run.
    pub allowed: &'a Allowed,
}

impl RoutingRequest<'_> {
    /// Returns the engines that may get the request as far as their state and version go.
    fn usable_engines<'b>(&'b self, fleet: &'b Fleet) -> impl Iterator<Item = &'b Upstream> {
        let engines = fleet.usable_engines(self.service);
        engines.filter(|e| self.allowed.contains(&e.entry.software))
    }

    /// Returns the model or adapter that it needs, at the version at which it has to run.
    fn target(&self, prompt: &Prompt) -> ModelTarget {
        ModelTarget {
            software: self.allowed.only().cloned(),
            ..ModelTarget::of(self.service, prompt)
        }
    }

    /// Returns whether the request may be sent to an engine as far as its rate goes.
    fn may_use(&self, engine: &Upstream, fleet: &Fleet) -> bool {
        self.permit == Some(&engine.entry.id) || fleet.rates().rate(&engine.entry.id).is_none()
    }
}

/// The engine selected for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectedEngine {
    /// Id of the engine.
    pub engine: Arc<str>,
    /// Address of the engine.
    pub addr: SocketAddr,
    /// Version of the engine's software.
    pub software: Arc<str>,
    /// Prefill time that the request adds.
    pub prefill_time: Duration,
    /// Prompt tokens that the engine has not cached.
    pub uncached: u32,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Prefill time of the prompts queued before it.
    pub backlog: Duration,
    /// Predicted time to the first event.
    pub first_event: Duration,
    /// The same if the engine had the usual speed.
    pub usual: Duration,
}

/// The engine that first takes requests of this host again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PausedEngine {
    /// Id of the engine.
    pub engine: Arc<str>,
    /// Time until it takes requests again.
    pub ready_in: Duration,
    /// Time in which it works off one request, on average.
    pub request_time: Duration,
}

/// Result of selecting an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Selection {
    /// The engine to send the request to.
    Engine(SelectedEngine),
    /// No usable engine is known.
    NoEngine,
    /// No engine that takes requests holds the model or adapter; it has to be loaded.
    NotLoaded {
        /// Model or adapter to load.
        target: ModelTarget,
        /// Engines that hold it and want no requests of this host for longer than a load takes.
        paused: BTreeSet<Arc<str>>,
        /// Shortest time that a load takes.
        load_time: Duration,
        /// Time until the load has ended, if the leader forecasts it.
        ready_in: Option<Duration>,
    },
    /// The engines that could serve it want no requests of this host now.
    Paused(PausedEngine),
    /// The engines that could serve it have named a rate, and the request has no permit.
    Limited,
    /// The desired state does not name the model.
    UnknownModel,
}

/// Selects an engine for a request.
pub fn select_engine(context: &RoutingContext<'_>, request: &RoutingRequest<'_>) -> Selection {
    let now = context.now;
    let engines: Vec<_> = request.usable_engines(context.fleet).collect();
    if engines.is_empty() {
        return Selection::NoEngine;
    }
    let hosting = context.desired.hosting(request.service);
    let (Some(prompt), Some(hosting)) = (request.prompt, hosting) else {
        return select_awake(context, request, &engines);
    };
    let name = prompt.target();
    let adapter = prompt.adapter.as_deref();
    let holds =
        |e: &&Upstream| e.has_model(&prompt.model, adapter, now) && !e.is_missing(&name, now);
    let holding: Vec<_> = engines.iter().copied().filter(holds).collect();
    let selection = select_awake(context, request, &holding);
    let pause_left = match &selection {
        Selection::NoEngine | Selection::Limited => None,
        Selection::Paused(paused) => Some(paused.ready_in),
        _ => return selection,
    };
    let Some(model) = hosting.models.get(&prompt.model) else {
        return Selection::UnknownModel;
    };
    let mut load_time = None;
    let fleet = context.fleet;
    let is_free = |e: &&&Upstream| fleet.is_open(e, now) && request.may_use(e, fleet);
    for engine in engines.iter().filter(is_free) {
        let copies = &engine.entry.copies;
        let time = if engine.has_model(&prompt.model, None, now) {
            Duration::ZERO
        } else if copies.memory.contains(&prompt.model) {
            model.memory_load
        } else if copies.disk.contains(&prompt.model) {
            model.disk_load
        } else {
            model.store_load
        };
        load_time = Some(load_time.map_or(time, |known: Duration| known.min(time)));
    }
    if let Some(pause_left) = pause_left
        && load_time.is_none_or(|time| pause_left <= time + LOAD_MARGIN)
    {
        return selection;
    }
    if selection == Selection::Limited && load_time.is_none() {
        return selection;
    }
    let load_time = load_time.unwrap_or(model.store_load);
    let forecast = context.forecast.filter(|_| load_time == model.store_load);
    Selection::NotLoaded {
        target: request.target(prompt),
        paused: holding.iter().map(|e| e.entry.id.clone()).collect(),
        load_time,
        ready_in: forecast.map(|f| f.ready_in(&prompt.model, load_time, now)),
    }
}

/// Returns the engines that could serve a request if it had a permit: they have named a rate.
/// Those with the fewest requests are the first of at most [`MAX_LIMITED_ENGINES`].
pub fn limited_engines(
    context: &RoutingContext<'_>,
    request: &RoutingRequest<'_>,
) -> Vec<Arc<str>> {
    let (fleet, now) = (context.fleet, context.now);
    if fleet.rates().is_empty() {
        return Vec::new();
    }
    let holds = |e: &Upstream| {
        request.prompt.is_none_or(|p| {
            let is_loaded = e.has_model(&p.model, p.adapter.as_deref(), now);
            is_loaded && !e.is_missing(&p.target(), now)
        })
    };
    let is_candidate = |e: &&Upstream| {
        let is_limited = fleet.rates().rate(&e.entry.id).is_some();
        is_limited && fleet.is_open(e, now) && e.breaker.allows(now) && holds(e)
    };
    let mut engines: Vec<_> = request.usable_engines(fleet).filter(is_candidate).collect();
    let is_avoided = |e: &Upstream| request.avoid.contains(&e.entry.id);
    if !engines.iter().all(|e| is_avoided(e)) {
        engines.retain(|e| !is_avoided(e));
    }
    engines.sort_by_key(|e| e.running(now));
    engines.truncate(MAX_LIMITED_ENGINES);
    engines.iter().map(|e| e.entry.id.clone()).collect()
}

/// Selects one of `engines` that takes requests of this host now.
fn select_awake(
    context: &RoutingContext<'_>,
    request: &RoutingRequest<'_>,
    engines: &[&Upstream],
) -> Selection {
    let (fleet, now) = (context.fleet, context.now);
    let awake = engines.iter().copied().filter(|e| fleet.is_open(e, now));
    let (awake, limited): (Vec<_>, Vec<_>) = awake.partition(|e| request.may_use(e, fleet));
    if let Some(choice) = best_engine(context, request, &awake) {
        return Selection::Engine(choice);
    }
    if !limited.is_empty() {
        return Selection::Limited;
    }
    let pause_left = |e: &Upstream| fleet.pause_left(e, now).unwrap_or(REOPENING_STEP);
    let paused = engines.iter().map(|e| (pause_left(e), e));
    let Some((ready_in, engine)) = paused.min_by_key(|(left, _)| *left) else {
        return Selection::NoEngine;
    };
    Selection::Paused(PausedEngine {
        engine: engine.entry.id.clone(),
        ready_in,
        request_time: slot_time(request.kind) / engine.entry.slots.max(1),
    })
}

/// Returns the estimated time that a request occupies a slot.
fn slot_time(kind: RouteKind) -> Duration {
    match kind {
        RouteKind::Stream => STREAM_SLOT_TIME,
        RouteKind::Idempotent | RouteKind::Once => PLAIN_SLOT_TIME,
    }
}

/// Returns the engine with the lowest cost. Engines to avoid, and engines whose circuit
/// breaker is open, count only when there are no others.
fn best_engine(
    context: &RoutingContext<'_>,
    request: &RoutingRequest<'_>,
    engines: &[&Upstream],
) -> Option<SelectedEngine> {
    let now = context.now;
    let not_avoided = |e: &&&Upstream| !request.avoid.contains(&e.entry.id);
    let healthy = |e: &&&Upstream| not_avoided(e) && e.breaker.allows(now);
    let mut eligible: Vec<_> = engines.iter().filter(healthy).copied().collect();
    if eligible.is_empty() {
        eligible = engines.iter().filter(not_avoided).copied().collect();
    }
    if eligible.is_empty() {
        eligible = engines.to_vec();
    }
    let prefix_keys = request.prompt.map(Prompt::prefix_keys).unwrap_or_default();
    // Until an engine has cached the shared prefix, all daemons prefer the same
    // engine.
    let tie_seed = shared_prefix_key(&prefix_keys).unwrap_or(request.fingerprint);
    let model_slowdown = request.prompt.map_or(1.0, |p| {
        let key = ModelKey::new(request.service, &p.model);
        context.meter.slowdown(&key)
    });
    let hosting = context.desired.hosting(request.service);
    let cache_tokens = hosting.map_or(0, |h| h.cache_tokens);
    let steps_time = match request.prompt {
        Some(_) => first_event_steps(context.engines),
        None => Duration::ZERO,
    };
    let mut prefills = Vec::with_capacity(eligible.len());
    let mut candidates = Vec::with_capacity(eligible.len());
    for engine in &eligible {
        let (mut prefill, mut uncached) = (Duration::ZERO, 0);
        if let Some(prompt) = request.prompt {
            let cached = engine
                .prefix_cache
                .cached_tokens(&prefix_keys, cache_tokens);
            uncached = prompt.input_tokens.saturating_sub(cached);
            prefill = prefill_time(uncached, context.engines).mul_f64(model_slowdown);
        }
        let (backlog, reading) = engine.reading_times(prefill + steps_time, request.priority, now);
        candidates.push(EngineCandidate {
            running: engine.running(now),
            slots: engine.entry.slots,
            passed: engine.passed_by(request.priority, now),
            backlog,
            prefill: reading,
            slot_time: slot_time(request.kind),
            same_domain: &*engine.entry.domain == context.domain,
            failures: engine.failure_score(now),
            tie_break: xxh3_64_with_seed(engine.entry.id.as_bytes(), tie_seed),
        });
        prefills.push((prefill, uncached));
    }
    let index = best_candidate(&candidates)?;
    let engine = eligible[index];
    let (prefill, uncached) = prefills[index];
    let usual = EngineCandidate {
        backlog: engine.usual_backlog(request.priority, now),
        prefill: prefill + steps_time,
        ..candidates[index]
    };
    Some(SelectedEngine {
        engine: engine.entry.id.clone(),
        addr: engine.entry.addr,
        software: engine.entry.software.clone(),
        prefill_time: prefill,
        uncached,
        priority: request.priority,
        backlog: candidates[index].backlog,
        first_event: candidates[index].first_event(),
        usual: usual.first_event(),
    })
}

/// Returns the time in which an engine reads so many prompt tokens at the usual
/// speed.
pub fn prefill_time(tokens: u32, engines: &EngineSettings) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / engines.prefill_per_ms / 1_000.0)
}

/// Batch steps until a first event in addition to the prefill: half of the current
/// step, and the step that produces the event.
const FIRST_EVENT_STEPS: f64 = 1.5;

/// Returns the time of the batch steps until a first event.
fn first_event_steps(engines: &EngineSettings) -> Duration {
    Duration::from_secs_f64(engines.step_ms * FIRST_EVENT_STEPS / 1_000.0)
}

/// Returns the key of the longest prefix that other requests can share: all but
/// the last part.
fn shared_prefix_key(prefix_keys: &[(u64, u32)]) -> Option<u64> {
    let index = prefix_keys.len().checked_sub(2)?;
    prefix_keys.get(index).map(|(key, _)| *key)
}
