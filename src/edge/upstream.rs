//! One engine or plain upstream: its entry, and what this daemon knows of it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::engine_load::{EnginePace, WaitingHere};
use super::prefix_cache::PrefixCache;
use super::request_headers;
use super::routing::{EngineSlowdown, PrefillQueue};
use super::unreachable::{Cause, Unreachable};
use crate::clock::Moment;
use crate::decide::breaker::{Breaker, BreakerConfig};

/// Age at which the leader's announcement about an engine gives way to the engine's
/// own entry: several of the leader's announcement periods.
const ANNOUNCEMENT_MAX_AGE: Duration = Duration::from_secs(5);
/// Time for which an engine gets no requests for a model that it could not serve.
const MISSING_MAX_AGE: Duration = Duration::from_millis(400);
/// Age at which the load that another daemon reported is ignored.
const PEER_LOAD_MAX_AGE: Duration = Duration::from_secs(3);
/// Time constant of the exponential decay of the failure score, s.
const FAILURE_DECAY_S: f64 = 5.0;

/// Models that an engine has loaded, with their adapters.
pub type LoadedModels = BTreeMap<Arc<str>, BTreeSet<Arc<str>>>;

/// Models of which an engine caches the weights, so that they load fast.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WeightCopies {
    /// In host memory.
    pub memory: BTreeSet<Arc<str>>,
    /// On disk.
    pub disk: BTreeSet<Arc<str>>,
}

/// One lifetime of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lifetime {
    /// Id of the engine.
    pub engine: Arc<str>,
    /// Start time of the engine, ms since the Unix epoch; 0 when unknown.
    pub incarnation: u64,
}

/// Whether an engine accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EnginePhase {
    /// It accepts them.
    Ready,
    /// It is about to stop.
    #[strum(serialize = "leaving")]
    Draining,
}

/// An engine's entry in the platform's list of engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineEntry {
    /// Id of the engine.
    pub id: Arc<str>,
    /// Service to which it belongs.
    pub service: Arc<str>,
    /// Address.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Version of its software; equal texts are equal versions, and no order holds between them.
    pub software: Arc<str>,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub phase: EnginePhase,
    /// Sequence number of this entry among those since the engine's start.
    pub sequence: u64,
    /// Start time of the engine, ms since the Unix epoch; 0 when unknown.
    pub incarnation: u64,
    /// Models that it has loaded.
    pub models: LoadedModels,
    /// Copies of weights that it caches.
    pub copies: WeightCopies,
}

/// What the leader announced of the models on an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct AnnouncedModels {
    /// Fencing number of the leadership.
    pub fence: u64,
    /// Number of the announcement within the leadership.
    pub sequence: u64,
    /// Start time of the engine to which it applies.
    pub incarnation: u64,
    /// Models that may be requested from the engine.
    pub models: LoadedModels,
    /// When it was received.
    pub received_at: Moment,
}

/// Requests of one daemon in progress at an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Requests in progress.
    pub running: u32,
    /// Requests in progress by model or `model/adapter`.
    pub targets: HashMap<Arc<str>, u32>,
}

/// A prompt that was sent to an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SentPrompt {
    /// Id of the engine.
    pub engine: Arc<str>,
    /// Model or `model/adapter`.
    pub target: Arc<str>,
    /// Predicted time in which the engine reads the prompt.
    pub prefill_time: Duration,
    /// Tokens that are not in the engine's cache.
    pub uncached: u32,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Keys of the prompt's prefixes.
    pub prefix_keys: Vec<u64>,
}

/// One engine or plain upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its latest entry.
    pub entry: EngineEntry,
    /// The leader's latest announcement, if any.
    pub announced: Option<AnnouncedModels>,
    /// Requests of this daemon in progress there.
    pub own_load: EngineLoad,
    /// Requests that other daemons reported in progress there, with the time.
    pub peer_loads: HashMap<Arc<str>, (Moment, EngineLoad)>,
    /// Circuit breaker for requests to it.
    pub breaker: Breaker,
    /// Recent failures: a count with exponential decay.
    failure_score: f64,
    /// When the score was last changed.
    failed_at: Moment,
    /// Its speed, relative to predictions.
    pub slowdown: EngineSlowdown,
    /// Its speed, if it reports its slowness.
    pub pace: EnginePace,
    /// Targets that are listed as loaded but that it recently could not serve, with the
    /// time: it reported them missing or could not be reached.
    pub missing: HashMap<Arc<str>, Moment>,
    /// Prompt prefixes that it has read.
    pub prefix_cache: PrefixCache,
    /// Prompts of all daemons that it has yet to read.
    pub queue: PrefillQueue,
    /// Whether a newer engine has its address.
    pub replaced: bool,
    /// Whether it leaves, or may leave, by its own word.
    pub leaves: bool,
    /// Set when it could not be reached.
    pub unreachable: Option<Unreachable>,
}

impl Upstream {
    /// Creates an engine of which nothing but its entry is known.
    pub fn new(entry: EngineEntry, now: Moment) -> Self {
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
            slowdown: EngineSlowdown::default(),
            pace: EnginePace::default(),
            missing: HashMap::new(),
            prefix_cache: PrefixCache::default(),
            queue: PrefillQueue::default(),
            replaced: false,
            leaves: false,
            unreachable: None,
        }
    }

    /// Records a prompt that was sent to it; `serial` is the number of the request if
    /// this daemon sent it.
    pub fn record_prompt(&mut self, sent: &SentPrompt, serial: Option<u64>, now: Moment) {
        let time = match self.pace.is_reported() {
            true => sent.prefill_time.mul_f64(self.pace.lasting(now)),
            false => sent.prefill_time,
        };
        self.queue.push(serial, sent.priority, time, now);
        self.prefix_cache
            .record(sent.prefix_keys.iter().copied(), sent.uncached);
    }

    /// Replaces its entry by another one, unless that is outdated; returns what that changes.
    pub fn update_entry(&mut self, entry: EngineEntry, now: Moment) -> Option<EngineChange> {
        if entry.incarnation > self.entry.incarnation {
            *self = Upstream::new(entry, now);
            return Some(EngineChange::Restarted);
        }
        let outdated =
            entry.incarnation < self.entry.incarnation || entry.sequence < self.entry.sequence;
        if outdated {
            return None;
        }
        let was_draining = self.entry.phase == EnginePhase::Draining;
        let starts_draining = entry.phase == EnginePhase::Draining && !was_draining;
        let is_news = starts_draining && !self.leaves;
        self.entry = entry;
        if was_draining {
            // A draining engine becomes ready again only by a restart.
            self.entry.phase = EnginePhase::Draining;
        }
        is_news.then_some(EngineChange::Draining)
    }

    /// Returns whether it may get new requests.
    pub fn is_usable(&self) -> bool {
        let accepts = self.entry.phase == EnginePhase::Ready && !self.leaves;
        accepts && !self.replaced && !self.is_down()
    }

    /// Returns the time in which it reads, at its lasting speed, the prompts that wait there before
    /// one of this priority.
    fn queued_before(&self, priority: u8, now: Moment) -> Duration {
        let report = self.pace.report().filter(|_| self.pace.is_reported());
        match report {
            Some((report, at)) => {
                let here = WaitingHere::new(report.waiting, at, now);
                here.backlog(&self.queue.ahead(priority, at, now))
            }
            None => self.queue.backlog(now),
        }
    }

    /// Returns how many of the requests that wait for a slot there come after one of this priority.
    pub fn passed_by(&self, priority: u8, now: Moment) -> u32 {
        if !self.pace.is_reported() {
            return 0;
        }
        let waiting = self.running(now).saturating_sub(self.entry.slots);
        (f64::from(waiting) * self.queue.share_after(priority)) as u32
    }

    /// Returns the time until it has read the prompts that it reads before one of this priority,
    /// and the time that further `work` takes then, given as the time at an engine of usual speed.
    pub fn reading_times(&self, work: Duration, priority: u8, now: Moment) -> (Duration, Duration) {
        let queued = self.queued_before(priority, now);
        if !self.pace.is_reported() {
            let slowdown = self.slowdown.factor(now);
            return (queued.mul_f64(slowdown), work.mul_f64(slowdown));
        }
        let backlog = self.pace.delayed(queued, now);
        let work = work.mul_f64(self.pace.lasting(now));
        let total = self.pace.delayed(queued + work, now);
        (backlog, total.saturating_sub(backlog))
    }

    /// Returns the time in which an engine of usual speed reads the prompts that it reads before
    /// one of this priority.
    pub fn usual_backlog(&self, priority: u8, now: Moment) -> Duration {
        let queued = self.queued_before(priority, now);
        match self.pace.is_reported() {
            true => queued.div_f64(self.pace.lasting(now)),
            false => queued,
        }
    }

    /// Returns the ratio of its time for work to the usual one, without short stretches of
    /// slowness that it reports.
    pub fn lasting_slowdown(&self, now: Moment) -> f64 {
        match self.pace.is_reported() {
            true => self.pace.lasting(now),
            false => self.slowdown.factor(now),
        }
    }

    /// Returns the recent failures; each decays within seconds.
    pub fn failure_score(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.failed_at).as_secs_f64();
        self.failure_score * (-age / FAILURE_DECAY_S).exp()
    }

    /// Records a failure or a request without a response in time.
    pub fn record_failure(&mut self, now: Moment) {
        self.failure_score = self.failure_score(now) + 1.0;
        self.failed_at = now;
    }

    /// Returns whether it could not be reached, and has neither answered nor written an entry since.
    pub fn is_down(&self) -> bool {
        let unreachable = self.unreachable.as_ref();
        unreachable.is_some_and(|u| u.sequence == self.entry.sequence)
    }

    /// Records that it could not be reached; returns whether that is news.
    pub fn record_unreachable(&mut self, cause: Cause, hosts: usize, now: Moment) -> bool {
        if self.is_down() {
            return false;
        }
        let sequence = self.entry.sequence;
        self.unreachable = Some(Unreachable::new(sequence, cause, hosts, now));
        true
    }

    /// Records that it has answered. Returns for how long it could not be reached, if it counted as
    /// down; it then gets one request before all others.
    pub fn record_reached(&mut self, now: Moment) -> Option<Duration> {
        let was_down = self.is_down();
        let unreachable = self.unreachable.take()?;
        if !was_down {
            return None;
        }
        self.breaker.await_trial(now);
        Some(now.saturating_sub(unreachable.since))
    }

    /// Returns whether it is to be asked now whether it can be reached again.
    pub fn take_question(&mut self, now: Moment) -> bool {
        self.is_down()
            && self
                .unreachable
                .as_mut()
                .is_some_and(|u| u.take_question(now))
    }

    /// Returns the models that it has loaded: those of the leader's announcement
    /// while that is recent, else those of its own entry.
    pub fn loaded_models(&self, now: Moment) -> &LoadedModels {
        match &self.announced {
            Some(announcement)
                if now.saturating_sub(announcement.received_at) < ANNOUNCEMENT_MAX_AGE =>
            {
                &announcement.models
            }
            _ => &self.entry.models,
        }
    }

    /// Returns whether it has loaded `model`, and `adapter` if given.
    pub fn has_model(&self, model: &str, adapter: Option<&str>, now: Moment) -> bool {
        let Some(adapters) = self.loaded_models(now).get(model) else {
            return false;
        };
        adapter.is_none_or(|a| adapters.contains(a))
    }

    /// Returns whether it recently could not serve `target`.
    pub fn is_missing(&self, target: &str, now: Moment) -> bool {
        let missing_at = self.missing.get(target);
        missing_at.is_some_and(|at| now.saturating_sub(*at) < MISSING_MAX_AGE)
    }

    /// Returns the requests of all daemons in progress there.
    pub fn running(&self, now: Moment) -> u32 {
        self.own_load.running + self.current_peer_loads(now).map(|l| l.running).sum::<u32>()
    }

    /// Returns the requests in progress there for a model with all its adapters, or
    /// for one `model/adapter`.
    pub fn requests_for(&self, target: &str, now: Moment) -> u32 {
        let mut sum = 0;
        for (name, count) in self.requests(now) {
            if &**name == target || request_headers::split_target(name).0 == target {
                sum += count;
            }
        }
        sum
    }

    /// Returns the requests of all daemons in progress there, by `model` or
    /// `model/adapter`; a target may come several times.
    pub fn requests(&self, now: Moment) -> impl Iterator<Item = (&Arc<str>, u32)> {
        let loads = std::iter::once(&self.own_load).chain(self.current_peer_loads(now));
        loads.flat_map(|load| load.targets.iter().map(|(target, count)| (target, *count)))
    }

    fn current_peer_loads(&self, now: Moment) -> impl Iterator<Item = &EngineLoad> {
        let fresh = move |at: Moment| now.saturating_sub(at) < PEER_LOAD_MAX_AGE;
        self.peer_loads
            .values()
            .filter(move |(at, _)| fresh(*at))
            .map(|(_, load)| load)
    }
}

/// A change of an engine, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EngineChange {
    /// Listed for the first time.
    Appeared,
    /// Restarted under the same id.
    #[strum(serialize = "reborn")]
    Restarted,
    /// Accepts no new requests.
    #[strum(serialize = "leaving")]
    Draining,
    /// A newer engine has its address.
    Replaced,
    /// No longer listed.
    #[strum(serialize = "gone")]
    Removed,
}
