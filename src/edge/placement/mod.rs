//! The holder's decisions: what each engine loads and unloads.
//!
//! Pattern: many rare models over few engines. A model that is asked for and
//! that nobody holds goes where it can be ready first at the least loss:
//! copies in an engine's memory or on its disk load in about a second, so idle
//! models make way and come back cheaply. Models under heavy work get further
//! replicas. Models without any copy are fetched ahead while the weight store
//! is idle.

pub mod book;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::demand::{Demand, Which};
use super::desired::{Desired, Hosting};
use super::fleet::{Fleet, Upstream};
use super::orders::{Order, Outcome, Report, Verb};
use super::settings::{Engines, Placement as Weights, Settings};
use crate::clock::Moment;
use crate::decide::window::Window;
use book::{Adapter, Book, Replica, Stage, Task, size};

/// Time from a model's withdrawal until its unload is ordered, so that
/// requests on their way arrive before; twice the way to any daemon and on.
const WITHDRAWN: Duration = Duration::from_millis(30);
/// Longest wait for the requests of a victim to end.
const VICTIM_WAIT: Duration = Duration::from_millis(2_500);
/// Pause between two calls to an engine that is busy.
const RETRY: Duration = Duration::from_millis(120);
/// Pause between two reports of an engine.
const LOOK_AGAIN: Duration = Duration::from_millis(60);
/// Time over the expected one after which a load is looked at again.
const LOOK: Duration = Duration::from_millis(150);
/// Time for which a loaded model is not a victim.
const SETTLED: Duration = Duration::from_secs(2);
/// Weight of an engine's busy share when a place for a load is chosen, s.
const CROWD: f64 = 1.0;
/// Longest life of a task that has not begun to load.
const TASK_AGE: Duration = Duration::from_secs(8);
/// Adapters on their way to one engine at once.
const INCOMING: usize = 4;

/// Requests that wait for a model or an adapter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Want {
    /// Requests.
    pub waiting: u32,
    /// Most urgent rank among them.
    pub priority: u8,
    /// Engine that said it lacks the target.
    pub absent: Option<Arc<str>>,
}

/// What is wanted, of which service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Target {
    /// Service.
    pub service: Arc<str>,
    /// Model.
    pub model: Arc<str>,
    /// Adapter of it.
    pub adapter: Option<Arc<str>>,
}

/// What is known when decisions are made.
#[derive(Debug)]
pub struct Scene<'a> {
    /// Engines.
    pub fleet: &'a Fleet,
    /// Desired state.
    pub desired: &'a Desired,
    /// Waiting requests, over all daemons.
    pub wants: &'a BTreeMap<Target, Want>,
    /// Demand, over all daemons.
    pub demand: &'a HashMap<Which, Demand>,
    /// Moment.
    pub now: Moment,
}

/// A call to be made to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Give this order.
    Order(Order),
    /// Ask for the report of this engine.
    Report(Arc<str>),
}

/// Who gives the orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Authority {
    /// Host.
    pub host: Arc<str>,
    /// Fencing number.
    pub fence: u64,
}

/// What is known of the loads from the weight store before a tenure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Past {
    /// There was no tenure before.
    None,
    /// These, by service.
    Known(Vec<(Arc<str>, Moment)>),
    /// Nothing, but that there were none after this moment.
    Until(Moment),
}

/// State of the decisions during one tenure.
#[derive(Debug)]
pub struct Placer {
    /// Engines by id.
    pub books: BTreeMap<Arc<str>, Book>,
    authority: Authority,
    engines: Engines,
    weights: Weights,
    /// Loads from the weight store, by service.
    windows: HashMap<Arc<str>, Window>,
    /// Length of the ceiling's window, s.
    span: f64,
    /// Loads before the tenure.
    past: Past,
    /// Loads from the weight store in the window, by service.
    starts: Vec<(Arc<str>, Moment)>,
}

impl Placer {
    /// Decisions of a new tenure.
    pub fn new(authority: Authority, settings: &Settings, past: Past) -> Self {
        let starts = match &past {
            Past::Known(starts) => starts.clone(),
            Past::None | Past::Until(_) => Vec::new(),
        };
        Placer {
            books: BTreeMap::new(),
            authority,
            engines: settings.engines,
            weights: settings.placement,
            windows: HashMap::new(),
            span: settings.bounds.ceiling_window_s,
            past,
            starts,
        }
    }

    /// Fencing number of the tenure.
    pub fn fence(&self) -> u64 {
        self.authority.fence
    }

    /// Takes in the engines as they are listed.
    pub fn observe(&mut self, scene: &Scene<'_>) {
        let now = scene.now;
        let hosts = |e: &&Upstream| e.usable() && scene.desired.hosting(&e.entry.service).is_some();
        let usable: Vec<_> = scene.fleet.engines.values().filter(hosts).collect();
        let listed = |id: &Arc<str>| usable.iter().any(|e| e.entry.id == *id);
        self.books.retain(|id, _| listed(id));
        for engine in usable {
            let entry = &engine.entry;
            let book = self
                .books
                .entry(entry.id.clone())
                .or_insert_with(|| Book::new(entry, now));
            if book.born != entry.born {
                *book = Book::new(entry, now);
            }
            book.note_use(engine, now);
            if !entry.copies.disk.is_empty() || !entry.copies.memory.is_empty() {
                book.copies = entry.copies.clone();
            }
        }
    }

    /// Takes in an engine's report; `None` when it could not be had.
    pub fn reported(&mut self, engine: &str, report: Option<&Report>, now: Moment) {
        let Some(book) = self.books.get_mut(engine) else {
            return;
        };
        book.calling = false;
        let Some(report) = report else {
            book.pause = now + RETRY;
            return;
        };
        if report.born != 0 && book.born != 0 && report.born != book.born {
            return;
        }
        if !book.report(report, now) || book.task.is_some() {
            // Reports lag, and what is under way takes its time.
            book.pause = book.pause.max(now + LOOK_AGAIN);
        }
    }

    /// Takes in what became of an order.
    pub fn answered(&mut self, scene: &Scene<'_>, order: &Order, outcome: Outcome) {
        let now = scene.now;
        let Some(book) = self.books.get_mut(&order.engine) else {
            return;
        };
        book.calling = false;
        match outcome {
            Outcome::Accepted | Outcome::Holds => {
                if outcome == Outcome::Accepted || order.adapter.is_some() {
                    book.orders = book.orders.map(|n| n + 1);
                } else {
                    book.doubt = true;
                }
                let adapter_time = Duration::from_millis(self.engines.adapter_ms);
                carried_out(book, order, scene, adapter_time);
            }
            Outcome::Unanswered => book.doubt = true,
            Outcome::Busy => {
                book.doubt = true;
                book.pause = now + RETRY;
            }
            Outcome::Refused => {
                book.abandon();
                book.pause = now + RETRY * 4;
            }
            Outcome::Fenced | Outcome::Replaced => {
                book.abandon();
                book.pause = now + RETRY * 8;
            }
        }
    }

    /// Decides what to call now.
    pub fn step(&mut self, scene: &Scene<'_>) -> Vec<Act> {
        self.observe(scene);
        self.doubt_absent(scene);
        self.give_up(scene);
        self.plan(scene);
        let mut acts = Vec::new();
        let ids: Vec<_> = self.books.keys().cloned().collect();
        for id in ids {
            if let Some(act) = self.next(&id, scene) {
                acts.push(act);
            }
        }
        acts
    }

    /// Loads from the weight store in the ceiling's window, by service.
    pub fn remote_starts(&self) -> Vec<(Arc<str>, Moment)> {
        self.starts.clone()
    }

    /// The window of a service's loads from the weight store.
    fn window(&mut self, service: &Arc<str>, hosting: &Hosting, now: Moment) -> &mut Window {
        let rate = hosting.loads_per_s;
        let count = (rate * self.span).floor().max(1.0) as u32;
        let past = &self.past;
        let window = self
            .windows
            .entry(service.clone())
            .or_insert_with(|| match past {
                Past::None => Window::after(rate, count, &[]),
                Past::Known(starts) => {
                    let own = starts.iter().filter(|(s, _)| s == service);
                    let own: Vec<_> = own.map(|(_, at)| *at).collect();
                    Window::after(rate, count, &own)
                }
                Past::Until(moment) => Window::new(rate, count, *moment),
            });
        window.set(rate, count);
        let span = Duration::from_secs_f64(self.span);
        self.starts.retain(|(_, at)| now.saturating_sub(*at) < span);
        window
    }

    /// Whether something is under way that should be looked at soon.
    pub fn busy(&self, now: Moment) -> bool {
        let young = |r: &Replica| r.adapters.values().any(|a| a.ready > now);
        self.books
            .values()
            .any(|b| b.task.is_some() || b.calling || b.replicas.values().any(young))
    }

    /// An engine that lacks what it was believed to hold has to report.
    fn doubt_absent(&mut self, scene: &Scene<'_>) {
        for (target, want) in scene.wants {
            let Some(id) = &want.absent else {
                continue;
            };
            let Some(book) = self.books.get_mut(id) else {
                continue;
            };
            if let Some(replica) = book.replicas.get_mut(&target.model)
                && let Some(adapter) = &target.adapter
                && replica
                    .adapters
                    .get(adapter)
                    .is_some_and(|a| scene.now.saturating_sub(a.ready) > Report::LAG * 2)
            {
                replica.adapters.remove(adapter);
            }
            book.doubt = true;
        }
    }

    /// Drops tasks that do not come to their load.
    fn give_up(&mut self, scene: &Scene<'_>) {
        for book in self.books.values_mut() {
            let Some(task) = &book.task else {
                continue;
            };
            let begun = matches!(task.stage, Stage::Loading { .. });
            if !begun && scene.now.saturating_sub(task.planned) > TASK_AGE {
                book.abandon();
            }
        }
    }

    /// The next call to one engine.
    fn next(&mut self, id: &Arc<str>, scene: &Scene<'_>) -> Option<Act> {
        let now = scene.now;
        let book = self.books.get_mut(id)?;
        if book.calling || now < book.pause {
            return None;
        }
        let engine = scene.fleet.engines.get(id)?;
        let service = &engine.entry.service;
        let hosting = scene.desired.hosting(service)?;
        if book.doubt {
            book.calling = true;
            return Some(Act::Report(id.clone()));
        }
        let authority = self.authority.clone();
        let order = |verb, model: &Arc<str>, adapter: Option<Arc<str>>, expected| Order {
            engine: id.clone(),
            verb,
            model: model.clone(),
            adapter,
            expected,
            holder: authority.host.clone(),
            fence: authority.fence,
        };
        if let Some((verb, model, adapter)) = next_adapter(book, engine, hosting, scene) {
            book.calling = true;
            return Some(Act::Order(order(verb, &model, Some(adapter), book.orders)));
        }
        let task = book.task.as_ref()?;
        let act = match &task.stage {
            Stage::Withdrawing { model, since } => {
                let waited = now.saturating_sub(*since);
                if waited < WITHDRAWN {
                    return None;
                }
                if engine.using(model, now) > 0 && waited < VICTIM_WAIT {
                    return None;
                }
                Act::Order(order(Verb::Unload, model, None, book.orders))
            }
            Stage::Ready => {
                let fits = book.taken(hosting) + size(hosting, &task.model, 0);
                if fits > hosting.memory_mb {
                    book.abandon();
                    return None;
                }
                let (model, remote, expected) = (task.model.clone(), task.remote, book.orders);
                if remote {
                    let window = self.window(service, hosting, now);
                    if !window.wait(now).is_zero() {
                        return None;
                    }
                    // An order without an answer counts as a load, too.
                    window.start(now);
                    self.starts.push((service.clone(), now));
                }
                let order = order(Verb::Load, &model, None, expected);
                self.books.get_mut(id)?.calling = true;
                return Some(Act::Order(order));
            }
            Stage::Unloading { .. } => Act::Report(id.clone()),
            Stage::Loading { since, expected } => {
                if now < *since + *expected + LOOK {
                    return None;
                }
                Act::Report(id.clone())
            }
        };
        book.calling = true;
        Some(act)
    }

    /// Plans loads: first what requests wait for, then further replicas of
    /// models under heavy work, then copies of models that have none.
    fn plan(&mut self, scene: &Scene<'_>) {
        let mut needs = Vec::new();
        for (target, want) in scene.wants {
            let nobody = !self.placed(scene, &target.service, &target.model);
            if nobody {
                needs.push((want.priority, u32::MAX - want.waiting, target.clone()));
            }
        }
        needs.sort();
        for (_, _, target) in needs {
            self.load(scene, &target.service, &target.model, Urgency::Waiting);
        }
        let mut hot: Vec<_> = scene.demand.iter().collect();
        hot.sort_by(|a, b| b.1.work.total_cmp(&a.1.work));
        for (which, demand) in hot {
            if demand.work < self.weights.hot_work / 4.0 {
                break;
            }
            if self.pressure(scene, which) > self.weights.hot_work {
                self.load(scene, &which.service, &which.model, Urgency::Hot);
            }
        }
        self.fetch_ahead(scene);
    }

    /// Loads one model that no engine holds or keeps a copy of.
    fn fetch_ahead(&mut self, scene: &Scene<'_>) {
        for service in scene.desired.services.values() {
            let Some(hosting) = &service.hosting else {
                continue;
            };
            let mut names: Vec<_> = hosting.models.keys().collect();
            names.sort();
            for name in names {
                if !self.kept(scene, &service.name, name) {
                    self.load(scene, &service.name, name, Urgency::Ahead);
                }
            }
        }
    }

    /// Books of one service.
    fn of<'a>(
        &'a self,
        scene: &'a Scene<'_>,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a Arc<str>, &'a Book)> {
        let of = move |id: &Arc<str>| {
            let engine = scene.fleet.engines.get(id);
            engine.is_some_and(|e| &*e.entry.service == service)
        };
        self.books.iter().filter(move |(id, _)| of(id))
    }

    fn placed(&self, scene: &Scene<'_>, service: &str, model: &str) -> bool {
        self.of(scene, service).any(|(_, b)| b.will_hold(model))
    }

    fn replicas(&self, scene: &Scene<'_>, service: &str, model: &str) -> usize {
        let holds = |b: &Book| b.will_hold(model);
        self.of(scene, service).filter(|(_, b)| holds(b)).count()
    }

    fn kept(&self, scene: &Scene<'_>, service: &str, model: &str) -> bool {
        let mut books = self.of(scene, service);
        books.any(|(_, b)| {
            b.will_hold(model)
                || b.replicas.contains_key(model)
                || b.copies.memory.contains(model)
                || b.copies.disk.contains(model)
        })
    }

    /// Engine time for each second that all models ask of one engine.
    fn busy_share(&self, scene: &Scene<'_>, service: &Arc<str>, book: &Book) -> f64 {
        let mut share = 0.0;
        for model in book.replicas.keys() {
            let which = Which {
                service: service.clone(),
                model: model.clone(),
            };
            let Some(demand) = scene.demand.get(&which) else {
                continue;
            };
            let replicas = self.replicas(scene, service, model).max(1);
            share += demand.work / replicas as f64;
        }
        share
    }

    /// The least busy share among the engines that serve a model; zero when
    /// none does, or another is about to.
    fn pressure(&self, scene: &Scene<'_>, which: &Which) -> f64 {
        let mut least = f64::INFINITY;
        for (_, book) in self.of(scene, &which.service) {
            if !book.will_hold(&which.model) {
                continue;
            }
            if !book.serves(&which.model) {
                return 0.0;
            }
            least = least.min(self.busy_share(scene, &which.service, book));
        }
        match least.is_finite() {
            true => least,
            false => 0.0,
        }
    }

    /// Loads from the weight store that are planned or under way.
    fn remote(&self, scene: &Scene<'_>, service: &str) -> u32 {
        let remote = |b: &Book| b.task.as_ref().is_some_and(|t| t.remote);
        self.of(scene, service).filter(|(_, b)| remote(b)).count() as u32
    }

    /// Plans a load of `model` where it costs least.
    fn load(&mut self, scene: &Scene<'_>, service: &Arc<str>, model: &Arc<str>, how: Urgency) {
        let Some(hosting) = scene.desired.hosting(service) else {
            return;
        };
        let Some(spec) = hosting.models.get(model) else {
            return;
        };
        let parallel = self.engines.store_parallel;
        let room = self.remote(scene, service) < parallel;
        let mut best: Option<Place> = None;
        for (id, book) in self.of(scene, service) {
            if book.engaged || book.replicas.contains_key(model) {
                continue;
            }
            let Some(engine) = scene.fleet.engines.get(id) else {
                continue;
            };
            if !engine.breaker.allows(scene.now) {
                continue;
            }
            let (time, remote) = book.load_time(model, spec);
            if remote && !room {
                continue;
            }
            let free = hosting.memory_mb - book.taken(hosting);
            let Some((victims, loss)) =
                self.victims(scene, service, engine, book, spec.memory_mb - free, how)
            else {
                continue;
            };
            let crowd = self.busy_share(scene, service, book) * CROWD;
            let delay = book.task_left(scene.now).as_secs_f64();
            let cost = time.as_secs_f64() + delay + loss + crowd;
            if loss > self.most_loss(how) {
                continue;
            }
            if best.as_ref().is_none_or(|b| cost < b.cost) {
                let engine = id.clone();
                best = Some(Place {
                    cost,
                    engine,
                    victims,
                    remote,
                });
            }
        }
        let Some(Place {
            cost,
            engine: id,
            victims,
            remote,
        }) = best
        else {
            return;
        };
        let Some(book) = self.books.get_mut(&id) else {
            return;
        };
        if book.task.is_some() {
            // It is worth waiting for.
            return;
        }
        let how: &'static str = how.into();
        let victim_list = victims.join(",");
        log::info!(engine = &*id, model = &**model, how, cost, victims = victim_list.as_str(),
            remote; "load planned");
        book.task = Some(Task {
            model: model.clone(),
            victims,
            stage: Stage::Ready,
            remote,
            planned: scene.now,
        });
        book.advance(scene.now);
    }

    /// Models to unload for `missing` MB of room, and the loss; `None` when
    /// there is no way.
    fn victims(
        &self,
        scene: &Scene<'_>,
        service: &Arc<str>,
        engine: &Upstream,
        book: &Book,
        missing: f64,
        how: Urgency,
    ) -> Option<(Vec<Arc<str>>, f64)> {
        if missing <= 0.0 {
            return Some((Vec::new(), 0.0));
        }
        let hosting = scene.desired.hosting(service)?;
        let mut options = Vec::new();
        for (name, replica) in &book.replicas {
            let settled = scene.now.saturating_sub(replica.since) >= SETTLED;
            let wanted = scene.wants.keys().any(|t| t.model == *name);
            if !replica.ready || wanted || (!settled && how != Urgency::Waiting) {
                continue;
            }
            let running = engine.using(name, scene.now);
            let loss = self.loss(scene, service, name, book, running);
            options.push((loss, size(hosting, name, replica.adapters.len()), name));
        }
        // Few models fit an engine, so all sets are looked at.
        let mut best: Option<(f64, u32)> = None;
        let count = options.len().min(8);
        for set in 1u32..1 << count {
            let chosen = |i: &usize| set & (1 << i) != 0;
            let room: f64 = (0..count).filter(chosen).map(|i| options[i].1).sum();
            let loss: f64 = (0..count).filter(chosen).map(|i| options[i].0).sum();
            if room >= missing && best.is_none_or(|b| loss < b.0) {
                best = Some((loss, set));
            }
        }
        let (loss, set) = best?;
        let chosen = (0..count).filter(|i| set & (1 << i) != 0);
        Some((chosen.map(|i| options[i].2.clone()).collect(), loss))
    }

    /// Largest loss by unloading that a load may cause, seconds.
    fn most_loss(&self, how: Urgency) -> f64 {
        match how {
            Urgency::Waiting => f64::INFINITY,
            Urgency::Hot => self.weights.hot_loss,
            Urgency::Ahead => self.weights.ahead_loss,
        }
    }

    /// What unloading a model from an engine costs, seconds of waiting.
    fn loss(
        &self,
        scene: &Scene<'_>,
        service: &Arc<str>,
        model: &Arc<str>,
        book: &Book,
        running: u32,
    ) -> f64 {
        let which = Which {
            service: service.clone(),
            model: model.clone(),
        };
        let demand = scene.demand.get(&which).copied().unwrap_or_default();
        let others = self.replicas(scene, service, model).saturating_sub(1);
        let back = match scene
            .desired
            .hosting(service)
            .and_then(|h| h.models.get(model))
        {
            // Once held, a model is on the engine's disk.
            Some(spec) => book.load_time(model, spec).0.min(spec.disk).as_secs_f64(),
            None => 0.0,
        };
        let weights = &self.weights;
        let mut loss = weights.unload_loss + f64::from(running) * weights.running_loss;
        if others == 0 {
            // Each request that comes meets a load, and the next victim's.
            loss += demand.rate * back * weights.rate_loss;
        } else {
            let crowded = (demand.work / others as f64 - weights.hot_work).max(0.0);
            loss += demand.work + crowded * 20.0;
        }
        loss
    }
}

/// Where a load may go.
#[derive(Clone, Debug)]
struct Place {
    /// Time and loss, s.
    cost: f64,
    engine: Arc<str>,
    /// Models that make way.
    victims: Vec<Arc<str>>,
    /// The load comes from the weight store.
    remote: bool,
}

/// Why a load is planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Urgency {
    /// Requests wait for it.
    Waiting,
    /// Its replicas are under heavy work.
    Hot,
    /// Nobody has a copy.
    Ahead,
}

/// Notes that an engine carries out an order.
fn carried_out(book: &mut Book, order: &Order, scene: &Scene<'_>, adapter_time: Duration) {
    let now = scene.now;
    if let Some(name) = &order.adapter {
        let Some(replica) = book.replicas.get_mut(&order.model) else {
            return;
        };
        match order.verb {
            Verb::Load => {
                let ready = now + adapter_time;
                replica
                    .adapters
                    .insert(name.clone(), Adapter { ready, used: now });
            }
            Verb::Unload => {
                replica.adapters.remove(name);
            }
        }
        return;
    }
    match order.verb {
        Verb::Load => {
            let engine = scene.fleet.engines.get(&order.engine);
            let hosting = engine.and_then(|e| scene.desired.hosting(&e.entry.service));
            let spec = hosting.and_then(|h| h.models.get(&order.model));
            let expected = spec.map_or(Duration::ZERO, |s| book.load_time(&order.model, s).0);
            let replica = Replica {
                ready: false,
                since: now,
                adapters: BTreeMap::new(),
            };
            book.replicas.insert(order.model.clone(), replica);
            if let Some(task) = &mut book.task {
                task.stage = Stage::Loading {
                    since: now,
                    expected,
                };
            }
        }
        Verb::Unload => {
            if let Some(task) = &mut book.task {
                let model = order.model.clone();
                task.stage = Stage::Unloading { model };
            }
            book.pause = now + Duration::from_millis(40);
        }
    }
}

/// The next order for an adapter at one engine.
fn next_adapter(
    book: &Book,
    engine: &Upstream,
    hosting: &Hosting,
    scene: &Scene<'_>,
) -> Option<(Verb, Arc<str>, Arc<str>)> {
    let now = scene.now;
    for target in scene.wants.keys() {
        let Some(adapter) = &target.adapter else {
            continue;
        };
        if target.service != engine.entry.service || !book.serves(&target.model) {
            continue;
        }
        let replica = book.replicas.get(&target.model)?;
        if replica.adapters.contains_key(adapter) || !first_choice(scene, engine, target) {
            continue;
        }
        let incoming = |r: &Replica| r.adapters.values().filter(|a| a.ready > now).count();
        let incoming: usize = book.replicas.values().map(incoming).sum();
        if incoming >= INCOMING {
            return None;
        }
        let spec = hosting.models.get(&target.model)?;
        let full = book.adapters() >= hosting.adapter_slots as usize
            || book.taken(hosting) + spec.adapter_mb > hosting.memory_mb;
        if !full {
            return Some((Verb::Load, target.model.clone(), adapter.clone()));
        }
        let (model, name) = idle_adapter(book, engine, scene)?;
        return Some((Verb::Unload, model, name));
    }
    None
}

/// Whether this engine is the one that should get a wanted adapter: of those
/// that serve the model, the one with the least in progress.
fn first_choice(scene: &Scene<'_>, engine: &Upstream, target: &Target) -> bool {
    let now = scene.now;
    let serving = scene
        .fleet
        .usable(&target.service)
        .filter(|e| e.holds(&target.model, None, now) && e.breaker.allows(now));
    let best = serving.min_by_key(|e| (e.running(now) / 4, e.entry.id.clone()));
    best.is_none_or(|b| b.entry.id == engine.entry.id)
}

/// The adapter that was not asked for the longest, and that nobody uses.
fn idle_adapter(book: &Book, engine: &Upstream, scene: &Scene<'_>) -> Option<(Arc<str>, Arc<str>)> {
    let mut oldest: Option<(Moment, &Arc<str>, &Arc<str>)> = None;
    for (model, replica) in &book.replicas {
        for (name, adapter) in &replica.adapters {
            let target = format!("{model}/{name}");
            let wanted = scene
                .wants
                .keys()
                .any(|t| t.model == *model && t.adapter.as_ref() == Some(name));
            if wanted || adapter.ready > scene.now || engine.using(&target, scene.now) > 0 {
                continue;
            }
            if oldest.is_none_or(|o| adapter.used < o.0) {
                oldest = Some((adapter.used, model, name));
            }
        }
    }
    oldest.map(|(_, model, name)| (model.clone(), name.clone()))
}
