//! The engine for one request, from what is believed of them all.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Job;
use crate::clock::Moment;
use crate::edge::call::Prompt;
use crate::edge::desired::Kind as RouteKind;
use crate::edge::fleet::Upstream;
use crate::edge::placement::Target;
use crate::edge::select::{Candidate, choose};

/// Time that a request holds a slot of a plain service.
const PLAIN_SERVICE: Duration = Duration::from_millis(50);
/// Time that a stream holds a slot.
const STREAM_SERVICE: Duration = Duration::from_millis(2_000);

/// An engine for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Id of the engine.
    pub engine: Arc<str>,
    /// Its address.
    pub addr: SocketAddr,
    /// Prompt work that the request brings.
    pub prompt: Duration,
    /// Expected time to the first event.
    pub wait: Duration,
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

/// Chooses an engine; those in `avoid` only when there is no other.
pub fn pick(job: &Job, avoid: &[Arc<str>], now: Moment) -> Pick {
    let state = job.edge.state.borrow();
    let engines: Vec<_> = state.fleet.usable(&job.service).collect();
    if engines.is_empty() {
        return Pick::NoEngine;
    }
    let prompt = job.call.prompt.as_ref();
    let hosting = job.desired.hosting(&job.service);
    let (Some(prompt), Some(hosting)) = (prompt, hosting) else {
        return match best(job, &engines, avoid, None, now) {
            Some(choice) => Pick::Go(choice),
            None => Pick::NoEngine,
        };
    };
    let target = prompt.target();
    let adapter = prompt.adapter.as_deref();
    let holds = |e: &&Upstream| e.holds(&prompt.model, adapter, now) && !e.lacks(&target, now);
    let holders: Vec<_> = engines.iter().copied().filter(holds).collect();
    if let Some(choice) = best(job, &holders, avoid, Some(prompt), now) {
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
        target: Target {
            service: job.service.clone(),
            model: prompt.model.clone(),
            adapter: prompt.adapter.clone(),
        },
        least,
    }
}

fn best(
    job: &Job,
    engines: &[&Upstream],
    avoid: &[Arc<str>],
    prompt: Option<&Prompt>,
    now: Moment,
) -> Option<Choice> {
    let sound = |e: &&&Upstream| !avoid.contains(&e.entry.id) && e.breaker.allows(now);
    let other = |e: &&&Upstream| !avoid.contains(&e.entry.id);
    let mut pool: Vec<_> = engines.iter().filter(sound).copied().collect();
    if pool.is_empty() {
        pool = engines.iter().filter(other).copied().collect();
    }
    if pool.is_empty() {
        pool = engines.to_vec();
    }
    let chains = prompt.map(Prompt::chains).unwrap_or_default();
    let home = home(&pool, &chains);
    let settings = job.edge.settings();
    let prefill = settings.engines.prefill_per_ms;
    let mut candidates = Vec::with_capacity(pool.len());
    for engine in &pool {
        let mut work = Duration::ZERO;
        if let Some(prompt) = prompt {
            let mut kept = engine.kept.tokens(&chains, now);
            if kept == 0 && home == Some(&engine.entry.id) {
                kept = shared(&chains).map_or(0, |(_, tokens)| tokens);
            }
            let tokens = prompt.input.saturating_sub(kept);
            work = Duration::from_secs_f64(f64::from(tokens) / prefill / 1_000.0);
        }
        let draw = xxh3_64_with_seed(engine.entry.id.as_bytes(), job.print);
        candidates.push(Candidate {
            running: engine.running(now),
            slots: engine.entry.slots,
            backlog: engine.backlog(now),
            prompt: work,
            service: match job.route.kind {
                RouteKind::Stream => STREAM_SERVICE,
                RouteKind::Idempotent | RouteKind::Once => PLAIN_SERVICE,
            },
            near: engine.entry.domain == settings.domain,
            trouble: engine.trouble(now),
            draw,
        });
    }
    let at = choose(&candidates)?;
    let engine = pool[at];
    Some(Choice {
        engine: engine.entry.id.clone(),
        addr: engine.entry.addr,
        prompt: candidates[at].prompt,
        wait: candidates[at].wait(),
    })
}

/// The last chain that other requests share: all but the request's own part.
fn shared(chains: &[(u64, u32)]) -> Option<(u64, u32)> {
    let at = chains.len().checked_sub(2)?;
    chains.get(at).copied()
}

/// The engine on which all daemons gather prompts with the same shared parts,
/// by rendezvous hashing.
fn home<'a>(pool: &[&'a Upstream], chains: &[(u64, u32)]) -> Option<&'a Arc<str>> {
    let (key, _) = shared(chains)?;
    let score = |e: &&&Upstream| xxh3_64_with_seed(e.entry.id.as_bytes(), key);
    pool.iter().max_by_key(score).map(|e| &e.entry.id)
}
