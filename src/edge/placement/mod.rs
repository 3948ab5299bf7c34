//! The holder's decisions: what each engine loads and unloads.
//!
//! Pattern: many rare models over few engines. A model that is asked for and
//! that nobody holds goes where it can be ready first at the least loss:
//! copies in an engine's memory or on its disk load in about a second, so idle
//! models make way and come back cheaply. Models under heavy work get further
//! replicas. Models without any copy are fetched ahead while the weight store
//! is idle.

mod adapters;
pub mod book;
mod plan;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::call::{self, Prompt};
use super::demand::{Demand, Which};
use super::desired::{Desired, Hosting};
use super::fleet::{Fleet, Upstream};
use super::orders::{Order, Outcome, Report, Verb};
use super::settings::{Engines, Placement as Weights, Settings};
use crate::clock::Moment;
use crate::decide::start_window::StartWindow;
use adapters::next_adapter;
use book::{Adapter, Book, LOOK_AGAIN, Replica, Stage, size};

/// Time from a model's withdrawal until its unload is ordered, so that
/// requests on their way arrive before; twice the way to any daemon and on.
const WITHDRAWN: Duration = Duration::from_millis(30);
/// Longest wait for the requests of a victim to end.
const VICTIM_WAIT: Duration = Duration::from_millis(2_500);
/// Orders that are tried while an accepted unload may still be under way,
/// before the engine is asked.
const FREEING_TRIES: u32 = 4;
/// Pause between two calls to an engine that is busy.
const RETRY: Duration = Duration::from_millis(120);
/// Pause after an engine refused an order for no reason of the protocol.
const REFUSED_PAUSE: Duration = Duration::from_millis(480);
/// Pause after an engine knew a higher fencing number, or was another one; the
/// row or the list of engines tells within that time.
const OUSTED_PAUSE: Duration = Duration::from_millis(960);
/// Time that an engine takes to unload a model that nobody uses.
const UNLOAD_TIME: Duration = Duration::from_millis(40);
/// Time over the expected one after which a load is looked at again.
const LOOK: Duration = Duration::from_millis(150);
/// Longest life of a task that has not begun to load.
const TASK_AGE: Duration = Duration::from_secs(8);

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

impl Target {
    /// What a prompt asks of a service.
    pub fn of(service: &Arc<str>, prompt: &Prompt) -> Self {
        Target {
            service: service.clone(),
            model: prompt.model.clone(),
            adapter: prompt.adapter.clone(),
        }
    }

    /// `model` or `model/adapter`.
    pub fn name(&self) -> Arc<str> {
        call::target(&self.model, self.adapter.as_deref())
    }
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
    windows: HashMap<Arc<str>, StartWindow>,
    /// Length of the ceiling's window, s.
    span: f64,
    /// Loads before the tenure.
    past: Past,
    /// Engines that hold each model or are about to, as of the last survey.
    holders: HashMap<Which, usize>,
    /// When models that nobody serves were last looked for.
    covered: Moment,
}

impl Placer {
    /// Decisions of a new tenure.
    pub fn new(authority: Authority, settings: &Settings, past: Past) -> Self {
        Placer {
            books: BTreeMap::new(),
            authority,
            engines: settings.engines,
            weights: settings.placement,
            windows: HashMap::new(),
            span: settings.bounds.ceiling_window_s,
            past,
            holders: HashMap::new(),
            covered: Moment::ZERO,
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
    pub fn answered(&mut self, order: &Order, outcome: Outcome, now: Moment) {
        let Some(book) = self.books.get_mut(&order.engine) else {
            return;
        };
        book.calling = false;
        match outcome {
            Outcome::Accepted | Outcome::Holds => {
                book.refusals = 0;
                if outcome == Outcome::Accepted || order.adapter.is_some() {
                    book.orders = book.orders.map(|n| n + 1);
                } else {
                    book.doubt = true;
                }
                let adapter_time = Duration::from_millis(self.engines.adapter_ms);
                carried_out(book, order, adapter_time, now);
            }
            Outcome::Unanswered => book.doubt = true,
            Outcome::Busy if book.freeing.is_some() && book.refusals < FREEING_TRIES => {
                book.refusals += 1;
                book.pause = now + UNLOAD_TIME;
            }
            Outcome::Busy => {
                book.doubt = true;
                book.pause = now + RETRY;
            }
            Outcome::Refused => {
                book.abandon();
                book.pause = now + REFUSED_PAUSE;
            }
            Outcome::Fenced | Outcome::Replaced => {
                book.abandon();
                book.pause = now + OUSTED_PAUSE;
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
    pub fn remote_starts(&self, now: Moment) -> Vec<(Arc<str>, Moment)> {
        let mut starts = Vec::new();
        for (service, window) in &self.windows {
            starts.extend(window.starts(now).map(|at| (service.clone(), at)));
        }
        if let Past::Known(past) = &self.past {
            let unseen = |s: &&(Arc<str>, Moment)| !self.windows.contains_key(&s.0);
            starts.extend(past.iter().filter(unseen).cloned());
        }
        starts
    }

    /// The window of a service's loads from the weight store.
    fn window(&mut self, service: &Arc<str>, hosting: &Hosting) -> &mut StartWindow {
        let rate = hosting.loads_per_s;
        let count = (rate * self.span).floor().max(1.0) as u32;
        let past = &self.past;
        let window = self
            .windows
            .entry(service.clone())
            .or_insert_with(|| match past {
                Past::None => StartWindow::from_starts(rate, count, &[]),
                Past::Known(starts) => {
                    let own = starts.iter().filter(|(s, _)| s == service);
                    let own: Vec<_> = own.map(|(_, at)| *at).collect();
                    StartWindow::from_starts(rate, count, &own)
                }
                Past::Until(moment) => StartWindow::new(rate, count, *moment),
            });
        window.set_limit(rate, count);
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
                    match book.freeing {
                        Some(_) => book.look_again(now),
                        None => book.abandon(),
                    }
                    return None;
                }
                let (model, remote, expected) = (task.model.clone(), task.remote, book.orders);
                if remote {
                    let window = self.window(service, hosting);
                    if !window.wait(now).is_zero() {
                        return None;
                    }
                    // An order without an answer counts as a load, too.
                    window.record_start(now);
                }
                let order = order(Verb::Load, &model, None, expected);
                self.books.get_mut(id)?.calling = true;
                return Some(Act::Order(order));
            }
            Stage::Loading { since } => {
                if now < *since + task.time + LOOK {
                    return None;
                }
                Act::Report(id.clone())
            }
        };
        book.calling = true;
        Some(act)
    }
}

/// Notes that an engine carries out an order.
fn carried_out(book: &mut Book, order: &Order, adapter_time: Duration, now: Moment) {
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
            let replica = Replica {
                ready: false,
                since: now,
                adapters: BTreeMap::new(),
            };
            book.replicas.insert(order.model.clone(), replica);
            book.freeing = None;
            if let Some(task) = &mut book.task {
                task.stage = Stage::Loading { since: now };
            }
        }
        Verb::Unload => {
            // While it is under way the engine takes no other order, so the
            // load needs no report before it.
            book.replicas.remove(&order.model);
            book.freeing = Some(order.model.clone());
            if book.withdrawn() == Some(&order.model) {
                book.advance(now);
            }
            book.pause = now + UNLOAD_TIME;
        }
    }
}
