//! Engines and plain upstreams: what is believed of each, and how old it is.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::call;
use super::kept::Kept;
use super::routing::{EnginePace, PrefillQueue};
use crate::clock::Moment;
use crate::decide::breaker::{Breaker, BreakerConfig};

/// Time after the store's return for which engines that it no longer lists are
/// still used; the platform promises their entries within about two seconds.
const STORE_RETURN_GRACE: Duration = Duration::from_millis(2_300);
/// Age at which the holder's word about an engine gives way to the engine's
/// own entry: several rounds of the holder's repetition.
const ANNOUNCEMENT_MAX_AGE: Duration = Duration::from_secs(5);
/// Time for which an engine that said it lacks a model is not asked again.
const MISSING_MAX_AGE: Duration = Duration::from_millis(400);
/// Age at which another daemon's word about its own load is void.
const PEER_LOAD_MAX_AGE: Duration = Duration::from_secs(2);

/// Time constant by which failures fade, s.
const FAILURE_DECAY_S: f64 = 5.0;

/// Models that an engine holds, with their adapters.
pub type LoadedModels = BTreeMap<Arc<str>, BTreeSet<Arc<str>>>;

/// Models of which an engine keeps copies that load fast.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WeightCopies {
    /// In host memory.
    pub memory: BTreeSet<Arc<str>>,
    /// On disk.
    pub disk: BTreeSet<Arc<str>>,
}

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EnginePhase {
    /// It does.
    Ready,
    /// It will be gone soon.
    #[strum(serialize = "leaving")]
    Draining,
}

/// An engine's entry in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineEntry {
    /// Id of the engine.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: EnginePhase,
    /// Number of this entry among those of its lifetime.
    pub sequence: u64,
    /// Its start, ms since the Unix epoch; 0 when unknown.
    pub incarnation: u64,
    /// Models that it holds.
    pub models: LoadedModels,
    /// Copies that it keeps.
    pub copies: WeightCopies,
}

/// The holder's word about what an engine holds.
#[derive(Clone, Debug, PartialEq)]
pub struct AnnouncedModels {
    /// Fencing number of the leadership.
    pub fence: u64,
    /// Number within the leadership.
    pub sequence: u64,
    /// Lifetime of the engine that it is about.
    pub incarnation: u64,
    /// What may be asked of the engine.
    pub models: LoadedModels,
    /// When it came.
    pub received_at: Moment,
}

/// What one daemon has in progress at an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Requests in progress.
    pub running: u32,
    /// Requests in progress by model or `model/adapter`.
    pub targets: HashMap<Arc<str>, u32>,
}

/// A request that was sent to an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SentPrompt {
    /// Id of the engine.
    pub engine: Arc<str>,
    /// Model or `model/adapter`.
    pub target: Arc<str>,
    /// Prompt work that it brings.
    pub work: Duration,
    /// Tokens that the engine has to read.
    pub uncached: u32,
    /// Keys of the prompt's chains.
    pub prefix_keys: Vec<u64>,
}

/// One engine or plain upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its newest entry.
    pub entry: EngineEntry,
    /// The holder's word, where there is one.
    pub announced: Option<AnnouncedModels>,
    /// What this daemon has in progress there.
    pub own_load: EngineLoad,
    /// What other daemons said that they have in progress there.
    pub peer_loads: HashMap<Arc<str>, (Moment, EngineLoad)>,
    /// Whether requests to it fail.
    pub breaker: Breaker,
    /// Failures lately: a sum that fades.
    failure_score: f64,
    /// When the sum was last changed.
    failed_at: Moment,
    /// How slow it is.
    pub pace: EnginePace,
    /// What it was said to hold but lacked, and when it said so.
    pub missing: HashMap<Arc<str>, Moment>,
    /// Prompt parts that it has read.
    pub kept: Kept,
    /// Prompts that it has still to read, of all daemons.
    pub queue: PrefillQueue,
    /// Another engine has taken its address.
    pub replaced: bool,
    /// Number of its newest entry when it took no connection; it counts as
    /// down until it has written another.
    pub down_sequence: Option<u64>,
}

impl Upstream {
    fn new(entry: EngineEntry, now: Moment) -> Self {
        Upstream {
            entry,
            announced: None,
            own_load: EngineLoad::default(),
            peer_loads: HashMap::new(),
            breaker: Breaker::new(BreakerConfig {
                failure_threshold: 3,
                first_pause: Duration::from_millis(700),
                max_pause: Duration::from_secs(4),
            }),
            failure_score: 0.0,
            failed_at: now,
            pace: EnginePace::default(),
            missing: HashMap::new(),
            kept: Kept::default(),
            queue: PrefillQueue::default(),
            replaced: false,
            down_sequence: None,
        }
    }

    /// Notes a prompt that it was sent, by this daemon under `serial`.
    pub fn record_prompt(&mut self, sent: &SentPrompt, serial: Option<u64>, now: Moment) {
        self.queue.push(serial, sent.work, now);
        self.kept
            .note(sent.prefix_keys.iter().copied(), sent.uncached);
    }

    /// Whether new work may go there.
    pub fn is_usable(&self) -> bool {
        self.entry.phase == EnginePhase::Ready && !self.replaced && !self.is_down()
    }

    /// Failures lately; each fades within seconds.
    pub fn failure_score(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.failed_at).as_secs_f64();
        self.failure_score * (-age / FAILURE_DECAY_S).exp()
    }

    /// Notes a failure, or a request that got no answer.
    pub fn record_failure(&mut self, now: Moment) {
        self.failure_score = self.failure_score(now) + 1.0;
        self.failed_at = now;
    }

    /// Whether it took no connection and has given no sign of life since.
    pub fn is_down(&self) -> bool {
        self.down_sequence == Some(self.entry.sequence)
    }

    /// What it holds, as far as is known: the holder's word while that is
    /// fresh, else its own entry.
    pub fn loaded_models(&self, now: Moment) -> &LoadedModels {
        match &self.announced {
            Some(told) if now.saturating_sub(told.received_at) < ANNOUNCEMENT_MAX_AGE => {
                &told.models
            }
            _ => &self.entry.models,
        }
    }

    /// Whether it holds `model`, and the adapter if one is named.
    pub fn has_model(&self, model: &str, adapter: Option<&str>, now: Moment) -> bool {
        let Some(adapters) = self.loaded_models(now).get(model) else {
            return false;
        };
        adapter.is_none_or(|a| adapters.contains(a))
    }

    /// Whether it said lately that it lacks `target`.
    pub fn is_missing(&self, target: &str, now: Moment) -> bool {
        let said = self.missing.get(target);
        said.is_some_and(|at| now.saturating_sub(*at) < MISSING_MAX_AGE)
    }

    /// Requests in progress there, of all daemons.
    pub fn running(&self, now: Moment) -> u32 {
        self.own_load.running + self.current_peer_loads(now).map(|l| l.running).sum::<u32>()
    }

    /// Requests in progress there for a model with all its adapters, or for
    /// one `model/adapter`.
    pub fn requests_for(&self, target: &str, now: Moment) -> u32 {
        let of = |load: &EngineLoad| -> u32 {
            let mut sum = 0;
            for (name, count) in &load.targets {
                let model = name.split('/').next().unwrap_or_default();
                if &**name == target || model == target {
                    sum += count;
                }
            }
            sum
        };
        of(&self.own_load) + self.current_peer_loads(now).map(of).sum::<u32>()
    }

    fn current_peer_loads(&self, now: Moment) -> impl Iterator<Item = &EngineLoad> {
        let fresh = move |at: Moment| now.saturating_sub(at) < PEER_LOAD_MAX_AGE;
        self.peer_loads
            .values()
            .filter(move |(at, _)| fresh(*at))
            .map(|(_, load)| load)
    }
}

/// A change in what is believed of an engine, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EngineChange {
    /// First heard of.
    Appeared,
    /// Started again under its id.
    #[strum(serialize = "reborn")]
    Restarted,
    /// Takes no new work.
    #[strum(serialize = "leaving")]
    Draining,
    /// Another engine has its address.
    Replaced,
    /// No longer listed.
    #[strum(serialize = "gone")]
    Removed,
}

/// All engines and plain upstreams by id.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Engines by id.
    pub engines: BTreeMap<Arc<str>, Upstream>,
    /// Engines at which other daemons have something in progress, by daemon.
    peer_engines: HashMap<Arc<str>, Vec<Arc<str>>>,
}

impl Fleet {
    /// Takes in a whole reading of the list at `now`. `unreadable` names
    /// entries that exist but say nothing; `back` is when the store last came
    /// back. Entries that lapsed while it was away are missed only after that.
    pub fn update_entries(
        &mut self,
        entries: Vec<EngineEntry>,
        unreadable: &BTreeSet<Arc<str>>,
        back: Option<Moment>,
        now: Moment,
    ) -> Vec<(Arc<str>, EngineChange)> {
        let mut changes = Vec::new();
        let mut listed = BTreeSet::new();
        for entry in entries {
            listed.insert(entry.id.clone());
            if let Some(change) = self.merge_entry(entry, now) {
                changes.push(change);
            }
        }
        let spared = back.is_some_and(|back| now.saturating_sub(back) < STORE_RETURN_GRACE);
        if !spared {
            self.engines.retain(|id, _| {
                let stays = listed.contains(id) || unreadable.contains(id);
                if !stays {
                    changes.push((id.clone(), EngineChange::Removed));
                }
                stays
            });
        }
        self.mark_replaced(&mut changes);
        changes
    }

    fn merge_entry(&mut self, entry: EngineEntry, now: Moment) -> Option<(Arc<str>, EngineChange)> {
        let id = entry.id.clone();
        let Some(known) = self.engines.get_mut(&id) else {
            self.engines.insert(id.clone(), Upstream::new(entry, now));
            return Some((id, EngineChange::Appeared));
        };
        if entry.incarnation > known.entry.incarnation {
            *known = Upstream::new(entry, now);
            return Some((id, EngineChange::Restarted));
        }
        let late =
            entry.incarnation < known.entry.incarnation || entry.sequence < known.entry.sequence;
        if late {
            return None;
        }
        let left = known.entry.phase == EnginePhase::Draining;
        let leaves = entry.phase == EnginePhase::Draining && !left;
        known.entry = entry;
        if left {
            // An engine that once said it leaves does not come back in the
            // same lifetime.
            known.entry.phase = EnginePhase::Draining;
        }
        leaves.then_some((id, EngineChange::Draining))
    }

    /// Of two engines with one address only the younger can be there.
    fn mark_replaced(&mut self, changes: &mut Vec<(Arc<str>, EngineChange)>) {
        let mut youngest: HashMap<SocketAddr, u64> = HashMap::new();
        for engine in self.engines.values() {
            let born = youngest.entry(engine.entry.addr).or_default();
            *born = engine.entry.incarnation.max(*born);
        }
        for (id, engine) in &mut self.engines {
            let replaced = engine.entry.incarnation < youngest[&engine.entry.addr];
            if replaced && !engine.replaced {
                changes.push((id.clone(), EngineChange::Replaced));
            }
            engine.replaced = replaced;
        }
    }

    /// Takes in the holder's word about an engine, unless newer word is known.
    pub fn record_announcement(&mut self, id: &str, told: AnnouncedModels) -> bool {
        let Some(engine) = self.engines.get_mut(id) else {
            return false;
        };
        if told.incarnation != engine.entry.incarnation {
            return false;
        }
        let newer = engine
            .announced
            .as_ref()
            .is_none_or(|t| (t.fence, t.sequence) <= (told.fence, told.sequence));
        if !newer {
            return false;
        }
        let changed = engine
            .announced
            .as_ref()
            .is_none_or(|t| t.models != told.models);
        if changed {
            // Fresh word that it holds a model ends the older "lacks".
            for (model, adapters) in &told.models {
                engine.missing.remove(model);
                for adapter in adapters {
                    engine.missing.remove(&call::target(model, Some(adapter)));
                }
            }
        }
        engine.announced = Some(told);
        changed
    }

    /// Takes in what another daemon has in progress at an engine.
    pub fn record_peer_load(
        &mut self,
        host: &Arc<str>,
        loads: Vec<(Arc<str>, EngineLoad)>,
        now: Moment,
    ) {
        let before = self.peer_engines.remove(host).unwrap_or_default();
        for id in before {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.peer_loads.remove(host);
            }
        }
        let mut at = Vec::with_capacity(loads.len());
        for (id, load) in loads {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.peer_loads.insert(host.clone(), (now, load));
                at.push(id);
            }
        }
        self.peer_engines.insert(host.clone(), at);
    }

    /// Takes in what another daemon has sent to an engine; its next word about
    /// its load counts it, too.
    pub fn record_peer_prompt(&mut self, host: &Arc<str>, sent: &SentPrompt, now: Moment) {
        let Some(engine) = self.engines.get_mut(&sent.engine) else {
            return;
        };
        engine.record_prompt(sent, None, now);
        if !engine.peer_loads.contains_key(host) {
            let at = self.peer_engines.entry(host.clone()).or_default();
            at.push(sent.engine.clone());
        }
        let (at, load) = engine.peer_loads.entry(host.clone()).or_default();
        *at = now;
        load.running += 1;
        *load.targets.entry(sent.target.clone()).or_default() += 1;
    }

    /// Engines of a service that take new work.
    pub fn usable_engines<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        let of = move |e: &&Upstream| &*e.entry.service == service && e.is_usable();
        self.engines.values().filter(of)
    }
}
