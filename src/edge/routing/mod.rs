//! Which engine a request goes to, from what is believed of them all.
//!
//! Pattern: shared prompts over few replicas. Prompts with the same start
//! gather at one engine until the wait there eats the gain.

mod model;
mod queue;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use model::{Candidate, EnginePace, Pace, choose};
pub use queue::Queue;

use super::call::Prompt;
use super::demand::{Meter, Which};
use super::desired::{Desired, Kind};
use super::fleet::{Fleet, Upstream};
use super::placement::Target;
use super::settings::Engines;
use crate::clock::Moment;

/// Time that a request holds a slot of a plain service.
const PLAIN_SERVICE: Duration = Duration::from_millis(50);
/// Time that a stream holds a slot.
const STREAM_SERVICE: Duration = Duration::from_millis(2_000);

/// What is known when a request is routed.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Engines.
    pub fleet: &'a Fleet,
    /// Desired state.
    pub desired: &'a Desired,
    /// Paces of models.
    pub meter: &'a Meter,
    /// What the settings say of engines.
    pub engines: &'a Engines,
    /// Failure domain of this daemon.
    pub domain: &'a str,
    /// Moment.
    pub now: Moment,
}

/// A request to be routed.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// Service that takes it.
    pub service: &'a Arc<str>,
    /// Kind of its route.
    pub kind: Kind,
    /// Prompt for a model.
    pub prompt: Option<&'a Prompt>,
    /// Fingerprint, to break ties.
    pub print: u64,
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
    pub fresh: u32,
    /// Prompt work ahead of it.
    pub ahead: Duration,
    /// Predicted time to the first event.
    pub first: Duration,
}

/// What can be done with a request now.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// Send it.
    Go(Choice),
    /// No engine that takes work is known.
    NoEngine,
    /// No engine holds this; it is to be loaded. `least` is the shortest time
    /// that a load takes.
    NotHeld {
        /// What is to be loaded.
        target: Target,
        /// Shortest time of a load.
        least: Duration,
    },
    /// The desired state does not name the model.
    Unknown,
}

/// Chooses an engine.
pub fn pick(view: &View<'_>, asked: &Asked<'_>) -> Pick {
    let now = view.now;
    let engines: Vec<_> = view.fleet.usable(asked.service).collect();
    if engines.is_empty() {
        return Pick::NoEngine;
    }
    let hosting = view.desired.hosting(asked.service);
    let (Some(prompt), Some(hosting)) = (asked.prompt, hosting) else {
        return match best(view, asked, &engines) {
            Some(choice) => Pick::Go(choice),
            None => Pick::NoEngine,
        };
    };
    let name = prompt.target();
    let adapter = prompt.adapter.as_deref();
    let holds = |e: &&Upstream| e.holds(&prompt.model, adapter, now) && !e.lacks(&name, now);
    let holders: Vec<_> = engines.iter().copied().filter(holds).collect();
    if let Some(choice) = best(view, asked, &holders) {
        return Pick::Go(choice);
    }
    let Some(model) = hosting.models.get(&prompt.model) else {
        return Pick::Unknown;
    };
    let mut least = model.load;
    for engine in &engines {
        let copies = &engine.entry.copies;
        if copies.disk.contains(&prompt.model) {
            least = least.min(model.disk);
        }
        if copies.memory.contains(&prompt.model) {
            least = least.min(model.warm);
        }
        if engine.holds(&prompt.model, None, now) {
            least = Duration::ZERO;
        }
    }
    Pick::NotHeld {
        target: Target::of(asked.service, prompt),
        least,
    }
}

fn best(view: &View<'_>, asked: &Asked<'_>, engines: &[&Upstream]) -> Option<Choice> {
    let now = view.now;
    let other = |e: &&&Upstream| !asked.avoid.contains(&e.entry.id);
    let sound = |e: &&&Upstream| other(e) && e.breaker.allows(now);
    let mut pool: Vec<_> = engines.iter().filter(sound).copied().collect();
    if pool.is_empty() {
        pool = engines.iter().filter(other).copied().collect();
    }
    if pool.is_empty() {
        pool = engines.to_vec();
    }
    let chains = asked.prompt.map(Prompt::chains).unwrap_or_default();
    // Until an engine has read the shared start, all daemons prefer the same.
    let gather = shared(&chains).unwrap_or(asked.print);
    let pace = asked.prompt.map_or(1.0, |p| {
        let which = Which::new(asked.service, &p.model);
        view.meter.pace(&which)
    });
    let hosting = view.desired.hosting(asked.service);
    let memory = hosting.map_or(0, |h| h.cache_tokens);
    let step = match asked.prompt {
        Some(_) => first_steps(view.engines),
        None => Duration::ZERO,
    };
    let mut reads = Vec::with_capacity(pool.len());
    let mut candidates = Vec::with_capacity(pool.len());
    for engine in &pool {
        let (mut work, mut fresh) = (Duration::ZERO, 0);
        if let Some(prompt) = asked.prompt {
            let kept = engine.kept.tokens(&chains, memory);
            fresh = prompt.input.saturating_sub(kept);
            work = reading(fresh, view.engines).mul_f64(pace);
        }
        let slower = engine.pace.factor(now);
        candidates.push(Candidate {
            running: engine.running(now),
            slots: engine.entry.slots,
            backlog: engine.queue.ahead(now).mul_f64(slower),
            prompt: (work + step).mul_f64(slower),
            service: match asked.kind {
                Kind::Stream => STREAM_SERVICE,
                Kind::Idempotent | Kind::Once => PLAIN_SERVICE,
            },
            near: &*engine.entry.domain == view.domain,
            trouble: engine.trouble(now),
            draw: xxh3_64_with_seed(engine.entry.id.as_bytes(), gather),
        });
        reads.push((work, fresh));
    }
    let at = choose(&candidates)?;
    let engine = pool[at];
    let (work, fresh) = reads[at];
    Some(Choice {
        engine: engine.entry.id.clone(),
        addr: engine.entry.addr,
        work,
        fresh,
        ahead: candidates[at].backlog,
        first: candidates[at].first(),
    })
}

/// Time in which an engine reads so many tokens of a prompt at the usual pace.
pub fn reading(tokens: u32, engines: &Engines) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / engines.prefill_per_ms / 1_000.0)
}

/// Steps until a first event beside the reading: half of the one under way, and
/// the one that makes it.
const STEPS: f64 = 1.5;

/// Time of the steps until a first event.
fn first_steps(engines: &Engines) -> Duration {
    Duration::from_secs_f64(engines.step_ms * STEPS / 1_000.0)
}

/// Key of the last chain that other requests share: all but the own part.
fn shared(chains: &[(u64, u32)]) -> Option<u64> {
    let at = chains.len().checked_sub(2)?;
    chains.get(at).map(|(key, _)| *key)
}
