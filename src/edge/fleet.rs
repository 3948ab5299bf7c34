//! Engines and plain upstreams: what is believed of each, and how old it is.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::prefix_cache::PrefixCache;
use super::request_headers;
use super::routing::{EnginePace, PrefillQueue};
use crate::clock::Moment;
use crate::decide::breaker::{Breaker, BreakerConfig};

/// Time after the store's return for which engines that it no longer lists are
/// still used; the platform promises their entries within about two seconds.
const RETURN_GRACE: Duration = Duration::from_millis(2_300);
/// Age at which the holder's word about an engine gives way to the engine's
/// own entry: several rounds of the holder's repetition.
const TOLD_AGE: Duration = Duration::from_secs(5);
/// Time for which an engine that said it lacks a model is not asked again.
const ABSENT_AGE: Duration = Duration::from_millis(400);
/// Age at which another daemon's word about its own load is void.
const LOAD_AGE: Duration = Duration::from_secs(2);

/// Time constant by which failures fade, s.
const TROUBLE_S: f64 = 5.0;

/// Models that an engine holds, with their adapters.
pub type Held = BTreeMap<Arc<str>, BTreeSet<Arc<str>>>;

/// Models of which an engine keeps copies that load fast.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Copies {
    /// In host memory.
    pub memory: BTreeSet<Arc<str>>,
    /// On disk.
    pub disk: BTreeSet<Arc<str>>,
}

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// It does.
    Ready,
    /// It will be gone soon.
    Leaving,
}

/// An engine's entry in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
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
    pub phase: Phase,
    /// Number of this entry among those of its lifetime.
    pub beat: u64,
    /// Its start, ms since the Unix epoch; 0 when unknown.
    pub born: u64,
    /// Models that it holds.
    pub held: Held,
    /// Copies that it keeps.
    pub copies: Copies,
}

/// The holder's word about what an engine holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// Fencing number of the leadership.
    pub fence: u64,
    /// Number within the leadership.
    pub turn: u64,
    /// Lifetime of the engine that it is about.
    pub born: u64,
    /// What may be asked of the engine.
    pub held: Held,
    /// When it came.
    pub at: Moment,
}

/// What one daemon has in progress at an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in progress.
    pub running: u32,
    /// Requests in progress by model or `model/adapter`.
    pub targets: HashMap<Arc<str>, u32>,
}

/// A request that was sent to an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sent {
    /// Id of the engine.
    pub engine: Arc<str>,
    /// Model or `model/adapter`.
    pub target: Arc<str>,
    /// Prompt work that it brings.
    pub work: Duration,
    /// Tokens that the engine has to read.
    pub fresh: u32,
    /// Keys of the prompt's chains.
    pub chains: Vec<u64>,
}

/// One engine or plain upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its newest entry.
    pub entry: Entry,
    /// The holder's word, where there is one.
    pub told: Option<Told>,
    /// What this daemon has in progress there.
    pub own: Load,
    /// What other daemons said that they have in progress there.
    pub others: HashMap<Arc<str>, (Moment, Load)>,
    /// Whether requests to it fail.
    pub breaker: Breaker,
    /// Failures lately: a sum that fades.
    trouble: f64,
    /// When the sum was last changed.
    troubled: Moment,
    /// How slow it is.
    pub pace: EnginePace,
    /// What it was said to hold but lacked, and when it said so.
    pub absent: HashMap<Arc<str>, Moment>,
    /// Prompt parts that it has read.
    pub prefix_cache: PrefixCache,
    /// Prompts that it has still to read, of all daemons.
    pub queue: PrefillQueue,
    /// Another engine has taken its address.
    pub replaced: bool,
    /// Number of its newest entry when it took no connection; it counts as
    /// down until it has written another.
    pub refused: Option<u64>,
}

impl Upstream {
    fn new(entry: Entry, now: Moment) -> Self {
        Upstream {
            entry,
            told: None,
            own: Load::default(),
            others: HashMap::new(),
            breaker: Breaker::new(BreakerConfig {
                failure_threshold: 3,
                first_pause: Duration::from_millis(700),
                max_pause: Duration::from_secs(4),
            }),
            trouble: 0.0,
            troubled: now,
            pace: EnginePace::default(),
            absent: HashMap::new(),
            prefix_cache: PrefixCache::default(),
            queue: PrefillQueue::default(),
            replaced: false,
            refused: None,
        }
    }

    /// Notes a prompt that it was sent, by this daemon under `serial`.
    pub fn note_sent(&mut self, sent: &Sent, serial: Option<u64>, now: Moment) {
        self.queue.push(serial, sent.work, now);
        self.prefix_cache
            .record(sent.chains.iter().copied(), sent.fresh);
    }

    /// Whether new work may go there.
    pub fn usable(&self) -> bool {
        self.entry.phase == Phase::Ready && !self.replaced && !self.down()
    }

    /// Failures lately; each fades within seconds.
    pub fn trouble(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.troubled).as_secs_f64();
        self.trouble * (-age / TROUBLE_S).exp()
    }

    /// Notes a failure, or a request that got no answer.
    pub fn note_trouble(&mut self, now: Moment) {
        self.trouble = self.trouble(now) + 1.0;
        self.troubled = now;
    }

    /// Whether it took no connection and has given no sign of life since.
    pub fn down(&self) -> bool {
        self.refused == Some(self.entry.beat)
    }

    /// What it holds, as far as is known: the holder's word while that is
    /// fresh, else its own entry.
    pub fn held(&self, now: Moment) -> &Held {
        match &self.told {
            Some(told) if now.saturating_sub(told.at) < TOLD_AGE => &told.held,
            _ => &self.entry.held,
        }
    }

    /// Whether it holds `model`, and the adapter if one is named.
    pub fn holds(&self, model: &str, adapter: Option<&str>, now: Moment) -> bool {
        let Some(adapters) = self.held(now).get(model) else {
            return false;
        };
        adapter.is_none_or(|a| adapters.contains(a))
    }

    /// Whether it said lately that it lacks `target`.
    pub fn lacks(&self, target: &str, now: Moment) -> bool {
        let said = self.absent.get(target);
        said.is_some_and(|at| now.saturating_sub(*at) < ABSENT_AGE)
    }

    /// Requests in progress there, of all daemons.
    pub fn running(&self, now: Moment) -> u32 {
        self.own.running + self.loads(now).map(|l| l.running).sum::<u32>()
    }

    /// Requests in progress there for a model with all its adapters, or for
    /// one `model/adapter`.
    pub fn using(&self, target: &str, now: Moment) -> u32 {
        let of = |load: &Load| -> u32 {
            let mut sum = 0;
            for (name, count) in &load.targets {
                let model = name.split('/').next().unwrap_or_default();
                if &**name == target || model == target {
                    sum += count;
                }
            }
            sum
        };
        of(&self.own) + self.loads(now).map(of).sum::<u32>()
    }

    fn loads(&self, now: Moment) -> impl Iterator<Item = &Load> {
        let fresh = move |at: Moment| now.saturating_sub(at) < LOAD_AGE;
        self.others
            .values()
            .filter(move |(at, _)| fresh(*at))
            .map(|(_, load)| load)
    }
}

/// A change in what is believed of an engine, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// First heard of.
    Appeared,
    /// Started again under its id.
    Reborn,
    /// Takes no new work.
    Leaving,
    /// Another engine has its address.
    Replaced,
    /// No longer listed.
    Gone,
}

/// All engines and plain upstreams by id.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Engines by id.
    pub engines: BTreeMap<Arc<str>, Upstream>,
    /// Engines at which other daemons have something in progress, by daemon.
    loaded: HashMap<Arc<str>, Vec<Arc<str>>>,
}

impl Fleet {
    /// Takes in a whole reading of the list at `now`. `unreadable` names
    /// entries that exist but say nothing; `back` is when the store last came
    /// back. Entries that lapsed while it was away are missed only after that.
    pub fn read(
        &mut self,
        entries: Vec<Entry>,
        unreadable: &BTreeSet<Arc<str>>,
        back: Option<Moment>,
        now: Moment,
    ) -> Vec<(Arc<str>, Change)> {
        let mut changes = Vec::new();
        let mut listed = BTreeSet::new();
        for entry in entries {
            listed.insert(entry.id.clone());
            if let Some(change) = self.merge(entry, now) {
                changes.push(change);
            }
        }
        let spared = back.is_some_and(|back| now.saturating_sub(back) < RETURN_GRACE);
        if !spared {
            self.engines.retain(|id, _| {
                let stays = listed.contains(id) || unreadable.contains(id);
                if !stays {
                    changes.push((id.clone(), Change::Gone));
                }
                stays
            });
        }
        self.settle_addresses(&mut changes);
        changes
    }

    fn merge(&mut self, entry: Entry, now: Moment) -> Option<(Arc<str>, Change)> {
        let id = entry.id.clone();
        let Some(known) = self.engines.get_mut(&id) else {
            self.engines.insert(id.clone(), Upstream::new(entry, now));
            return Some((id, Change::Appeared));
        };
        if entry.born > known.entry.born {
            *known = Upstream::new(entry, now);
            return Some((id, Change::Reborn));
        }
        let late = entry.born < known.entry.born || entry.beat < known.entry.beat;
        if late {
            return None;
        }
        let left = known.entry.phase == Phase::Leaving;
        let leaves = entry.phase == Phase::Leaving && !left;
        known.entry = entry;
        if left {
            // An engine that once said it leaves does not come back in the
            // same lifetime.
            known.entry.phase = Phase::Leaving;
        }
        leaves.then_some((id, Change::Leaving))
    }

    /// Of two engines with one address only the younger can be there.
    fn settle_addresses(&mut self, changes: &mut Vec<(Arc<str>, Change)>) {
        let mut youngest: HashMap<SocketAddr, u64> = HashMap::new();
        for engine in self.engines.values() {
            let born = youngest.entry(engine.entry.addr).or_default();
            *born = engine.entry.born.max(*born);
        }
        for (id, engine) in &mut self.engines {
            let replaced = engine.entry.born < youngest[&engine.entry.addr];
            if replaced && !engine.replaced {
                changes.push((id.clone(), Change::Replaced));
            }
            engine.replaced = replaced;
        }
    }

    /// Takes in the holder's word about an engine, unless newer word is known.
    pub fn tell(&mut self, id: &str, told: Told) -> bool {
        let Some(engine) = self.engines.get_mut(id) else {
            return false;
        };
        if told.born != engine.entry.born {
            return false;
        }
        let newer = engine
            .told
            .as_ref()
            .is_none_or(|t| (t.fence, t.turn) <= (told.fence, told.turn));
        if !newer {
            return false;
        }
        let changed = engine.told.as_ref().is_none_or(|t| t.held != told.held);
        if changed {
            // Fresh word that it holds a model ends the older "lacks".
            for (model, adapters) in &told.held {
                engine.absent.remove(model);
                for adapter in adapters {
                    engine
                        .absent
                        .remove(&request_headers::target(model, Some(adapter)));
                }
            }
        }
        engine.told = Some(told);
        changed
    }

    /// Takes in what another daemon has in progress at an engine.
    pub fn other_load(&mut self, host: &Arc<str>, loads: Vec<(Arc<str>, Load)>, now: Moment) {
        let before = self.loaded.remove(host).unwrap_or_default();
        for id in before {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.others.remove(host);
            }
        }
        let mut at = Vec::with_capacity(loads.len());
        for (id, load) in loads {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.others.insert(host.clone(), (now, load));
                at.push(id);
            }
        }
        self.loaded.insert(host.clone(), at);
    }

    /// Takes in what another daemon has sent to an engine; its next word about
    /// its load counts it, too.
    pub fn other_sent(&mut self, host: &Arc<str>, sent: &Sent, now: Moment) {
        let Some(engine) = self.engines.get_mut(&sent.engine) else {
            return;
        };
        engine.note_sent(sent, None, now);
        if !engine.others.contains_key(host) {
            let at = self.loaded.entry(host.clone()).or_default();
            at.push(sent.engine.clone());
        }
        let (at, load) = engine.others.entry(host.clone()).or_default();
        *at = now;
        load.running += 1;
        *load.targets.entry(sent.target.clone()).or_default() += 1;
    }

    /// Engines of a service that take new work.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        let of = move |e: &&Upstream| &*e.entry.service == service && e.usable();
        self.engines.values().filter(of)
    }
}
