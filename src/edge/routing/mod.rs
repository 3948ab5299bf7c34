//! Which engine a request goes to, from what is believed of them all.
//!
//! Pattern: shared prompts over few replicas. Prompts with the same start
//! gather at one engine until the wait there eats the gain.

mod prediction;
mod queue;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use prediction::{Candidate, EnginePace, Pace, choose};
pub use queue::PrefillQueue;

use super::call::Prompt;
use super::demand::{DemandMeter, ModelKey};
use super::desired::{Desired, RouteKind};
use super::fleet::{Fleet, Upstream};
use super::placement::ModelTarget;
use super::settings::Engines;
use crate::clock::Moment;

/// Time that a request holds a slot of a plain service.
const PLAIN_SLOT_TIME: Duration = Duration::from_millis(50);
/// Time that a stream holds a slot.
const STREAM_SLOT_TIME: Duration = Duration::from_millis(2_000);

/// What is known when a request is routed.
#[derive(Clone, Copy, Debug)]
pub struct RoutingContext<'a> {
    /// Engines.
    pub fleet: &'a Fleet,
    /// Desired state.
    pub desired: &'a Desired,
    /// Paces of models.
    pub meter: &'a DemandMeter,
    /// What the settings say of engines.
    pub engines: &'a Engines,
    /// Failure domain of this daemon.
    pub domain: &'a str,
    /// Moment.
    pub now: Moment,
}

/// A request to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest<'a> {
    /// Service that takes it.
    pub service: &'a Arc<str>,
    /// Kind of its route.
    pub kind: RouteKind,
    /// Prompt for a model.
    pub prompt: Option<&'a Prompt>,
    /// Fingerprint, to break ties.
    pub fingerprint: u64,
    /// Engines to be asked only when there is no other.
    pub avoid: &'a [Arc<str>],
}

/// An engine for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Id of the engine.
    pub engine: Arc<str>,
    /// Its address.
    pub addr: SocketAddr,
    /// Prompt work that the request brings.
    pub work: Duration,
    /// Tokens that the engine has to read.
    pub uncached: u32,
    /// Prompt work ahead of it.
    pub backlog: Duration,
    /// Predicted time to the first event.
    pub first_event: Duration,
}

/// What can be done with a request now.
#[derive(Clone, Debug, PartialEq)]
pub enum Selection {
    /// Send it.
    Engine(Choice),
    /// No engine that takes work is known.
    NoEngine,
    /// No engine holds this; it is to be loaded. `least` is the shortest time
    /// that a load takes.
    NotLoaded {
        /// What is to be loaded.
        target: ModelTarget,
        /// Shortest time of a load.
        load_time: Duration,
    },
    /// The desired state does not name the model.
    UnknownModel,
}

/// Chooses an engine.
pub fn select_engine(context: &RoutingContext<'_>, request: &RoutingRequest<'_>) -> Selection {
    let now = context.now;
    let engines: Vec<_> = context.fleet.usable(request.service).collect();
    if engines.is_empty() {
        return Selection::NoEngine;
    }
    let hosting = context.desired.hosting(request.service);
    let (Some(prompt), Some(hosting)) = (request.prompt, hosting) else {
        return match best_engine(context, request, &engines) {
            Some(choice) => Selection::Engine(choice),
            None => Selection::NoEngine,
        };
    };
    let name = prompt.target();
    let adapter = prompt.adapter.as_deref();
    let holds = |e: &&Upstream| e.holds(&prompt.model, adapter, now) && !e.lacks(&name, now);
    let holders: Vec<_> = engines.iter().copied().filter(holds).collect();
    if let Some(choice) = best_engine(context, request, &holders) {
        return Selection::Engine(choice);
    }
    let Some(model) = hosting.models.get(&prompt.model) else {
        return Selection::UnknownModel;
    };
    let mut load_time = model.load;
    for engine in &engines {
        let copies = &engine.entry.copies;
        if copies.disk.contains(&prompt.model) {
            load_time = load_time.min(model.disk);
        }
        if copies.memory.contains(&prompt.model) {
            load_time = load_time.min(model.warm);
        }
        if engine.holds(&prompt.model, None, now) {
            load_time = Duration::ZERO;
        }
    }
    Selection::NotLoaded {
        target: ModelTarget::of(request.service, prompt),
        load_time,
    }
}

fn best_engine(
    context: &RoutingContext<'_>,
    request: &RoutingRequest<'_>,
    engines: &[&Upstream],
) -> Option<Choice> {
    let now = context.now;
    let other = |e: &&&Upstream| !request.avoid.contains(&e.entry.id);
    let sound = |e: &&&Upstream| other(e) && e.breaker.allows(now);
    let mut pool: Vec<_> = engines.iter().filter(sound).copied().collect();
    if pool.is_empty() {
        pool = engines.iter().filter(other).copied().collect();
    }
    if pool.is_empty() {
        pool = engines.to_vec();
    }
    let chains = request.prompt.map(Prompt::chains).unwrap_or_default();
    // Until an engine has read the shared start, all daemons prefer the same.
    let tie_seed = shared_prefix_key(&chains).unwrap_or(request.fingerprint);
    let pace = request.prompt.map_or(1.0, |p| {
        let which = ModelKey::new(request.service, &p.model);
        context.meter.pace(&which)
    });
    let hosting = context.desired.hosting(request.service);
    let memory = hosting.map_or(0, |h| h.cache_tokens);
    let step = match request.prompt {
        Some(_) => first_event_steps(context.engines),
        None => Duration::ZERO,
    };
    let mut reads = Vec::with_capacity(pool.len());
    let mut candidates = Vec::with_capacity(pool.len());
    for engine in &pool {
        let (mut work, mut uncached) = (Duration::ZERO, 0);
        if let Some(prompt) = request.prompt {
            let kept = engine.kept.tokens(&chains, memory);
            uncached = prompt.input.saturating_sub(kept);
            work = prefill_time(uncached, context.engines).mul_f64(pace);
        }
        let slower = engine.pace.factor(now);
        candidates.push(Candidate {
            running: engine.running(now),
            slots: engine.entry.slots,
            backlog: engine.queue.backlog(now).mul_f64(slower),
            prefill: (work + step).mul_f64(slower),
            slot_time: match request.kind {
                RouteKind::Stream => STREAM_SLOT_TIME,
                RouteKind::Idempotent | RouteKind::Once => PLAIN_SLOT_TIME,
            },
            same_domain: &*engine.entry.domain == context.domain,
            failures: engine.trouble(now),
            tie_break: xxh3_64_with_seed(engine.entry.id.as_bytes(), tie_seed),
        });
        reads.push((work, uncached));
    }
    let at = choose(&candidates)?;
    let engine = pool[at];
    let (work, uncached) = reads[at];
    Some(Choice {
        engine: engine.entry.id.clone(),
        addr: engine.entry.addr,
        work,
        uncached,
        backlog: candidates[at].backlog,
        first_event: candidates[at].first_event(),
    })
}

/// Time in which an engine reads so many tokens of a prompt at the usual pace.
pub fn prefill_time(tokens: u32, engines: &Engines) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / engines.prefill_per_ms / 1_000.0)
}

/// Steps until a first event beside the reading: half of the one under way, and
/// the one that makes it.
const FIRST_EVENT_STEPS: f64 = 1.5;

/// Time of the steps until a first event.
fn first_event_steps(engines: &Engines) -> Duration {
    Duration::from_secs_f64(engines.step_ms * FIRST_EVENT_STEPS / 1_000.0)
}

/// Key of the last chain that other requests share: all but the own part.
fn shared_prefix_key(chains: &[(u64, u32)]) -> Option<u64> {
    let at = chains.len().checked_sub(2)?;
    chains.get(at).map(|(key, _)| *key)
}
