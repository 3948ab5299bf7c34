//! Which model is loaded next, where, and what makes way for it.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::book::{Book, Stage, Task, size};
use super::{Placer, Scene};
use crate::edge::demand::Which;
use crate::edge::desired::Hosting;
use crate::edge::fleet::Upstream;

/// Time for which a loaded model is not a victim.
const SETTLED: Duration = Duration::from_secs(2);
/// Weight of an engine's busy share when a place for a load is chosen, s.
const CROWD: f64 = 1.0;
/// Part of the work at which a model is hot from which it is looked at.
const NOTABLE: f64 = 0.25;
/// Loss for each engine second a second by which the other replicas of a
/// victim would be over the work at which they are hot, s.
const OVERLOAD_LOSS: f64 = 20.0;
/// Models of one engine among which victims are sought; all sets of them are
/// looked at.
const OPTIONS: usize = 8;
/// Period at which models that nobody serves or keeps are looked for; nobody
/// waits for them.
const COVER_PERIOD: Duration = Duration::from_millis(200);

impl Placer {
    /// Plans loads: first what requests wait for, then further replicas of
    /// models under heavy work, then copies of models that have none.
    pub(super) fn plan(&mut self, scene: &Scene<'_>) {
        self.survey(scene);
        let mut needs = Vec::new();
        for (target, want) in scene.wants {
            if self.replicas(&Which::new(&target.service, &target.model)) == 0 {
                needs.push((want.priority, u32::MAX - want.waiting, target));
            }
        }
        needs.sort();
        for (_, _, target) in needs {
            let which = Which::new(&target.service, &target.model);
            self.load(scene, &which, Urgency::Waiting);
        }
        let mut hot: Vec<_> = scene.demand.iter().collect();
        hot.sort_by(|a, b| b.1.work.total_cmp(&a.1.work));
        for (which, demand) in hot {
            if demand.work < self.weights.hot_work * NOTABLE {
                break;
            }
            if self.pressure(scene, which) > self.weights.hot_work {
                self.load(scene, which, Urgency::Hot);
            }
        }
        if scene.now.saturating_sub(self.covered) >= COVER_PERIOD {
            self.covered = scene.now;
            let kept = self.kept(scene);
            self.fetch_ahead(scene, &kept);
            self.cover(scene, &kept);
        }
    }

    /// Counts who holds what.
    fn survey(&mut self, scene: &Scene<'_>) {
        let mut holders: HashMap<Which, usize> = HashMap::new();
        for (engine, book) in self.listed(scene) {
            let planned = book.task.iter().map(|t| &t.model);
            let new = planned.filter(|m| !book.replicas.contains_key(*m));
            for model in book.replicas.keys().chain(new) {
                if !book.will_hold(model) {
                    continue;
                }
                let which = Which::new(&engine.entry.service, model);
                *holders.entry(which).or_default() += 1;
            }
        }
        self.holders = holders;
    }

    /// Loads one model that no engine holds or keeps a copy of.
    fn fetch_ahead(&mut self, scene: &Scene<'_>, kept: &HashSet<Which>) {
        for service in scene.desired.services.values() {
            let Some(hosting) = &service.hosting else {
                continue;
            };
            let mut names: Vec<_> = hosting.models.keys().collect();
            names.sort();
            for name in names {
                let which = Which::new(&service.name, name);
                if !kept.contains(&which) {
                    self.load(scene, &which, Urgency::Ahead);
                }
            }
        }
    }

    /// Loads models that nobody serves where that makes less loss than their
    /// absence; the largest first, as they fit fewest engines.
    fn cover(&mut self, scene: &Scene<'_>, kept: &HashSet<Which>) {
        for service in scene.desired.services.values() {
            let Some(hosting) = &service.hosting else {
                continue;
            };
            let mut models: Vec<_> = hosting.models.iter().collect();
            models.sort_by(|a, b| b.1.memory_mb.total_cmp(&a.1.memory_mb).then(a.0.cmp(b.0)));
            for (name, _) in models {
                let which = Which::new(&service.name, name);
                if self.replicas(&which) == 0 && kept.contains(&which) {
                    self.load(scene, &which, Urgency::Cover);
                }
            }
        }
    }

    /// Engines with their books.
    fn listed<'a>(
        &'a self,
        scene: &'a Scene<'_>,
    ) -> impl Iterator<Item = (&'a Upstream, &'a Book)> {
        let engines = &scene.fleet.engines;
        let with = |(id, book)| engines.get(id).map(|engine| (engine, book));
        self.books.iter().filter_map(with)
    }

    /// Those of one service.
    fn of<'a>(
        &'a self,
        scene: &'a Scene<'_>,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a Upstream, &'a Book)> {
        let listed = self.listed(scene);
        listed.filter(move |(engine, _)| &*engine.entry.service == service)
    }

    /// Engines that hold a model or are about to.
    fn replicas(&self, which: &Which) -> usize {
        self.holders.get(which).copied().unwrap_or(0)
    }

    /// Models that some engine holds or keeps a copy of.
    fn kept(&self, scene: &Scene<'_>) -> HashSet<Which> {
        let mut kept = HashSet::new();
        for (engine, book) in self.listed(scene) {
            let planned = book.task.iter().map(|t| &t.model);
            let copies = book.copies.memory.iter().chain(&book.copies.disk);
            for model in book.replicas.keys().chain(planned).chain(copies) {
                kept.insert(Which::new(&engine.entry.service, model));
            }
        }
        kept
    }

    /// Engine time for each second that all models ask of one engine.
    fn busy_share(&self, scene: &Scene<'_>, engine: &Upstream, book: &Book) -> f64 {
        let service = &engine.entry.service;
        let mut share = 0.0;
        for model in book.replicas.keys() {
            let which = Which::new(service, model);
            let Some(demand) = scene.demand.get(&which) else {
                continue;
            };
            let replicas = self.replicas(&which).max(1);
            share += demand.work / replicas as f64;
        }
        share * engine.pace.factor(scene.now)
    }

    /// The least busy share among the engines that serve a model; zero when
    /// none does, or another is about to.
    fn pressure(&self, scene: &Scene<'_>, which: &Which) -> f64 {
        let mut least = f64::INFINITY;
        for (engine, book) in self.of(scene, &which.service) {
            if !book.will_hold(&which.model) {
                continue;
            }
            if !book.serves(&which.model) {
                return 0.0;
            }
            least = least.min(self.busy_share(scene, engine, book));
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

    /// Plans a load of a model where it costs least.
    fn load(&mut self, scene: &Scene<'_>, which: &Which, how: Urgency) {
        let Which { service, model } = which;
        let Some(hosting) = scene.desired.hosting(service) else {
            return;
        };
        let Some(spec) = hosting.models.get(model) else {
            return;
        };
        let room = self.remote(scene, service) < self.engines.store_parallel;
        let most = self.most_loss(scene, which, how);
        let mut best: Option<Place> = None;
        for (engine, book) in self.of(scene, service) {
            if book.engaged || book.replicas.contains_key(model) {
                continue;
            }
            if !engine.breaker.allows(scene.now) {
                continue;
            }
            let (time, remote) = book.load_time(model, spec);
            if remote && !room {
                continue;
            }
            if how == Urgency::Cover && (remote || book.task.is_some()) {
                continue;
            }
            let missing = spec.memory_mb - (hosting.memory_mb - book.taken(hosting));
            let Some((victims, loss)) = self.victims(scene, hosting, engine, book, missing, how)
            else {
                continue;
            };
            if loss > most {
                continue;
            }
            let crowd = self.busy_share(scene, engine, book) * CROWD;
            let delay = book.task_left(scene.now).as_secs_f64();
            let cost = time.as_secs_f64() + delay + loss + crowd;
            if best.as_ref().is_none_or(|b| cost < b.cost) {
                best = Some(Place {
                    cost,
                    engine: engine.entry.id.clone(),
                    victims,
                    remote,
                    time,
                });
            }
        }
        let Some(Place {
            cost,
            engine: id,
            victims,
            remote,
            time,
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
            time,
            planned: scene.now,
        });
        book.advance(scene.now);
        self.survey(scene);
    }

    /// Models to unload for `missing` MB of room, and the loss; `None` when
    /// there is no way.
    fn victims(
        &self,
        scene: &Scene<'_>,
        hosting: &Hosting,
        engine: &Upstream,
        book: &Book,
        missing: f64,
        how: Urgency,
    ) -> Option<(Vec<Arc<str>>, f64)> {
        if missing <= 0.0 {
            return Some((Vec::new(), 0.0));
        }
        let mut options = Vec::new();
        for (name, replica) in &book.replicas {
            let settled = scene.now.saturating_sub(replica.since) >= SETTLED;
            let wanted = scene.wants.keys().any(|t| t.model == *name);
            if !replica.ready || wanted || (!settled && how != Urgency::Waiting) {
                continue;
            }
            let running = engine.using(name, scene.now);
            let which = Which::new(&engine.entry.service, name);
            let loss = self.loss(scene, &which, running);
            options.push((loss, size(hosting, name, replica.adapters.len()), name));
        }
        // Few models fit an engine, so all sets are looked at.
        let mut best: Option<(f64, u32)> = None;
        let count = options.len().min(OPTIONS);
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
    fn most_loss(&self, scene: &Scene<'_>, which: &Which, how: Urgency) -> f64 {
        match how {
            Urgency::Waiting => f64::INFINITY,
            Urgency::Cover => (self.absence(scene, which) - self.weights.unload_loss).max(0.0),
            Urgency::Hot => self.weights.hot_loss,
            Urgency::Ahead => self.weights.ahead_loss,
        }
    }

    /// What it costs that nobody serves a model, seconds of waiting: each
    /// request that comes meets a load, and the next victim's.
    fn absence(&self, scene: &Scene<'_>, which: &Which) -> f64 {
        let demand = scene.demand.get(which).copied().unwrap_or_default();
        let hosting = scene.desired.hosting(&which.service);
        let Some(spec) = hosting.and_then(|h| h.models.get(&which.model)) else {
            return 0.0;
        };
        let weights = &self.weights;
        let loose = (demand.rate - demand.tight).max(0.0);
        let rate = (demand.tight + loose * weights.loose_part).max(weights.least_rate);
        // Once held, a model is on an engine's disk.
        rate * spec.disk.as_secs_f64() * weights.rate_loss
    }

    /// What unloading a model from an engine costs, seconds of waiting.
    fn loss(&self, scene: &Scene<'_>, which: &Which, running: u32) -> f64 {
        let demand = scene.demand.get(which).copied().unwrap_or_default();
        let others = self.replicas(which).saturating_sub(1);
        let weights = &self.weights;
        let mut loss = weights.unload_loss + f64::from(running) * weights.running_loss;
        if others == 0 {
            loss += self.absence(scene, which);
        } else {
            let crowded = (demand.work / others as f64 - weights.hot_work).max(0.0);
            loss += demand.work + crowded * OVERLOAD_LOSS;
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
    /// How long the load should take.
    time: Duration,
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
    /// Nobody serves it, and nobody waits for it yet.
    Cover,
}
