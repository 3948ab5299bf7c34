//! Works out the figures of a run from outcomes and journals.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use mastichinge::config::{Model, Name};
use mastichinge::fakes::engine::Journal;
use mastichinge::fakes::weights::LoadCounts;
use serde::Serialize;

use super::drive::{Driven, Outcome};
use super::env::Env;
use super::firm::{FirmPlan, INTERVAL, TOKENS};
use super::ideal::{Job, ideal};
use super::least::{Cold, Store, least};
use super::scenario::{OPENING, Scenario};

/// Percentiles of a distribution, ms.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    /// Values.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Largest.
    pub max: u64,
}

/// Figures of one run.
#[derive(Debug, Default, Serialize)]
pub struct Figures {
    /// Requests.
    pub requests: usize,
    /// Answered whole.
    pub served: usize,
    /// Refused, by error code.
    pub refused: BTreeMap<String, usize>,
    /// Refused, by model.
    pub starved: BTreeMap<Name, usize>,
    /// Neither.
    pub lost: usize,
    /// Answered with the text of another request.
    pub wrong: usize,
    /// Sent again by the caller because its host had died.
    pub resent: usize,
    /// Time to the first token of requests that found their model asleep; the
    /// whole deadline for those refused.
    pub cold: Spread,
    /// The least that the store's limits allow them.
    pub least: Spread,
    /// Accelerator seconds of engines that held weights without a request.
    pub idle: f64,
    /// Accelerator seconds of replicas without a request, by share of memory.
    pub unused: f64,
    /// Worth of all completions; in an overload, of the arrivals under it.
    pub worth: f64,
    /// Worth that an ideal order reaches, in an overload.
    pub ideal: Option<f64>,
    /// Loads of models from the store.
    pub models: StoreUse,
    /// Loads of adapters from the store.
    pub adapters: StoreUse,
    /// Bytes that a daemon sent to others, a second; none where its metrics
    /// do not count them.
    pub bytes: Option<f64>,
    /// Processor time of a daemon, cores.
    pub cores: f64,
    /// Loads that took more memory than their engine has.
    pub overcommits: usize,
    /// Models that were unloaded with streams in progress.
    pub cuts: Vec<Name>,
    /// Most replicas of a model above its limit at once.
    pub surplus: usize,
    /// All cold starts, ms.
    #[serde(skip)]
    pub colds: Vec<u64>,
    /// The least for each, ms.
    #[serde(skip)]
    pub leasts: Vec<u64>,
}

/// Use of the store by one kind of load.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct StoreUse {
    /// Begun.
    pub total: u64,
    /// Most at once.
    pub peak: u32,
    /// Begun beyond the limits.
    pub slowed: u64,
}

impl From<LoadCounts> for StoreUse {
    fn from(loads: LoadCounts) -> Self {
        StoreUse {
            total: loads.total,
            peak: loads.peak,
            slowed: loads.slowed,
        }
    }
}

/// A replica or stream in time.
struct Span {
    from: Instant,
    until: Instant,
}

impl Span {
    /// Time that none of `busy`, in order of start, covers, seconds.
    fn uncovered(&self, busy: &[Span]) -> f64 {
        let mut at = self.from;
        let mut free = Duration::ZERO;
        for span in busy {
            let from = span.from.clamp(self.from, self.until);
            free += from.saturating_duration_since(at);
            at = at.max(span.until.min(self.until));
        }
        free += self.until.saturating_duration_since(at);
        free.as_secs_f64()
    }
}

/// Works out the figures of a run.
pub fn work_out(env: &Env, plan: &FirmPlan, scenario: Scenario, driven: &Driven) -> Figures {
    let journals: Vec<Journal> = env.site.engines.iter().map(|e| e.journal()).collect();
    let mut figures = Figures {
        requests: driven.outcomes.len(),
        ..Figures::default()
    };
    count(&mut figures, plan, driven, scenario);
    cold_starts(&mut figures, plan, driven, &journals);
    idle(&mut figures, plan, driven, &journals);
    if scenario == Scenario::Overload {
        figures.ideal = Some(ideal_worth(plan, driven));
    }
    let (models, adapters) = env.site.weights.state.change(|s| (s.models, s.adapters));
    figures.models = models.into();
    figures.adapters = adapters.into();
    let time = (driven.end - driven.start).as_secs_f64();
    let daemons = driven.daemons.len().max(1) as f64;
    let bytes = driven.daemons.iter().map(|d| d.bytes).sum::<f64>();
    figures.bytes = (bytes > 0.0).then_some(bytes / time / daemons);
    figures.cores = driven.daemons.iter().map(|d| d.busy).sum::<f64>() / time / daemons;
    for journal in &journals {
        figures.overcommits += journal.overcommits.len();
        figures.cuts.extend(journal.interrupted.iter().cloned());
    }
    figures.surplus = surplus(plan, &journals);
    figures
}

fn count(figures: &mut Figures, plan: &FirmPlan, driven: &Driven, scenario: Scenario) {
    for outcome in &driven.outcomes {
        figures.resent += outcome.resent.min(1);
        let answer = &outcome.answer;
        if answer.complete {
            figures.served += 1;
            figures.wrong += usize::from(!outcome.right);
            if counts(outcome, scenario) {
                figures.worth += plan.models[&outcome.arrival.model].worth;
            }
        } else if answer.error_code.is_empty() {
            figures.lost += 1;
        } else {
            *figures
                .refused
                .entry(answer.error_code.clone())
                .or_default() += 1;
            let model = outcome.arrival.model.clone();
            *figures.starved.entry(model).or_default() += 1;
        }
    }
}

/// Whether the worth of an outcome counts: in an overload, what came under it.
fn counts(outcome: &Outcome, scenario: Scenario) -> bool {
    scenario != Scenario::Overload || outcome.arrival.at >= OPENING
}

/// Whether a replica of `model` is loaded at `at`.
fn loaded(journals: &[Journal], model: &str, at: Instant) -> bool {
    let mut stays = journals.iter().flat_map(|j| &j.residencies);
    stays.any(|s| {
        &*s.resident.model == model
            && s.ready_at.is_some_and(|r| r <= at)
            && s.released_at.is_none_or(|u| u > at)
    })
}

fn cold_starts(figures: &mut Figures, plan: &FirmPlan, driven: &Driven, journals: &[Journal]) {
    let mut colds = Vec::new();
    for outcome in &driven.outcomes {
        let arrival = &outcome.arrival;
        let asked = plan.asked(&arrival.model, arrival.host);
        if loaded(journals, &asked, outcome.sent) {
            continue;
        }
        let model = &plan.models[&arrival.model];
        let weights = model.base.as_ref().unwrap_or(&arrival.model);
        let base = plan.asked(weights, arrival.host);
        colds.push(Cold {
            at: (outcome.sent - driven.start).as_secs_f64(),
            weights: weights.to_string(),
            adapter: model.base.is_some(),
            base: loaded(journals, &base, outcome.sent),
        });
        // A refusal counts as if it had come at the deadline.
        let first = outcome.first.filter(|_| outcome.answer.complete);
        let wait = first.unwrap_or(arrival.deadline);
        figures.colds.push(wait.as_millis() as u64);
    }
    colds.sort_by(|a, b| a.at.total_cmp(&b.at));
    for wait in least(&colds, &store(plan)) {
        figures.leasts.push((wait * 1_000.0) as u64);
    }
    figures.cold = spread(&figures.colds);
    figures.least = spread(&figures.leasts);
}

/// Most replicas above its limit that any model had at once, loads included.
fn surplus(plan: &FirmPlan, journals: &[Journal]) -> usize {
    let mut most = 0;
    for (name, model) in &plan.config.models {
        let stays = journals.iter().flat_map(|j| &j.residencies);
        let own: Vec<_> = stays.filter(|s| s.resident.model == *name).collect();
        for stay in &own {
            let same = own.iter().filter(|o| {
                o.load_start <= stay.load_start
                    && o.released_at.is_none_or(|until| until > stay.load_start)
            });
            most = most.max(same.count().saturating_sub(model.limit as usize));
        }
    }
    most
}

fn store(plan: &FirmPlan) -> Store {
    let real = |time: Duration| time.as_secs_f64() * plan.scale;
    Store {
        rate: plan.store.models_per_s / plan.scale,
        parallel: plan.store.parallel_models as usize,
        load: real(plan.times.remote),
        cached: real(plan.times.memory),
        adapter: real(plan.times.adapter),
        first: INTERVAL.as_secs_f64(),
    }
}

/// Percentiles of times in ms.
pub fn spread(times: &[u64]) -> Spread {
    let mut histogram: Histogram<u64> = Histogram::new(3).expect("three digits are supported");
    for time in times {
        histogram.record(*time).expect("the histogram grows");
    }
    Spread {
        count: histogram.len(),
        p50: histogram.value_at_quantile(0.5),
        p99: histogram.value_at_quantile(0.99),
        max: histogram.max(),
    }
}

fn idle(figures: &mut Figures, plan: &FirmPlan, driven: &Driven, journals: &[Journal]) {
    for (engine, journal) in plan.config.engines.values().zip(journals) {
        let accelerators = f64::from(engine.accelerators);
        let mut busy = Vec::new();
        for served in &journal.streams {
            busy.push((served.model.as_str(), served.arrived_at, served.ended_at));
        }
        busy.sort_by_key(|b| b.1);
        let spans = |model: Option<&str>| -> Vec<Span> {
            let chosen = busy.iter().filter(|b| model.is_none_or(|m| m == b.0));
            chosen
                .map(|b| Span {
                    from: b.1,
                    until: b.2,
                })
                .collect()
        };
        let stays = stays(journal, driven);
        for (model, memory, stay) in &stays {
            let share = *memory as f64 / engine.memory as f64;
            figures.unused += accelerators * share * stay.uncovered(&spans(Some(model)));
        }
        let held = union(stays.into_iter().map(|s| s.2).collect());
        for span in held {
            figures.idle += accelerators * span.uncovered(&spans(None));
        }
    }
}

/// Model, memory and time of each replica, within the run.
fn stays(journal: &Journal, driven: &Driven) -> Vec<(Name, u64, Span)> {
    let mut stays = Vec::new();
    for stay in &journal.residencies {
        let Some(ready) = stay.ready_at else {
            continue;
        };
        let span = Span {
            from: ready.max(driven.start),
            until: stay.released_at.unwrap_or(driven.end).min(driven.end),
        };
        if span.from < span.until {
            stays.push((stay.resident.model.clone(), stay.resident.memory, span));
        }
    }
    stays
}

/// Merges spans that overlap.
fn union(mut spans: Vec<Span>) -> Vec<Span> {
    spans.sort_by_key(|s| s.from);
    let mut merged: Vec<Span> = Vec::new();
    for span in spans {
        match merged.last_mut() {
            Some(last) if span.from <= last.until => last.until = last.until.max(span.until),
            _ => merged.push(span),
        }
    }
    merged
}

/// The lesser of two bounds: each model within the slots of its replica
/// limit, and each pool within all its slots.
fn ideal_worth(plan: &FirmPlan, driven: &Driven) -> f64 {
    let mut by_model: BTreeMap<&Name, Vec<Job>> = BTreeMap::new();
    let mut by_pool: BTreeMap<&Name, Vec<Job>> = BTreeMap::new();
    for outcome in &driven.outcomes {
        if !counts(outcome, Scenario::Overload) {
            continue;
        }
        let model = &plan.models[&outcome.arrival.model];
        let job = job(outcome, model);
        by_model
            .entry(&outcome.arrival.model)
            .or_default()
            .push(job);
        by_pool.entry(&model.pool).or_default().push(job);
    }
    let slots = |pool: &Name| -> Vec<u32> {
        let engines = plan.config.engines.values().filter(|e| e.pool == *pool);
        engines.map(|e| e.slots).collect()
    };
    let mut models = 0.0;
    for (name, jobs) in &by_model {
        let model = &plan.models[*name];
        let replicas = slots(&model.pool).into_iter().take(model.limit as usize);
        models += ideal(jobs, replicas.sum());
    }
    let mut pools = 0.0;
    for (pool, jobs) in &by_pool {
        pools += ideal(jobs, slots(pool).into_iter().sum());
    }
    f64::min(models, pools)
}

fn job(outcome: &Outcome, model: &Model) -> Job {
    let unit = INTERVAL.as_secs_f64() * TOKENS as f64;
    let at = outcome.arrival.at.as_secs_f64();
    let last = at + outcome.arrival.deadline.as_secs_f64();
    Job {
        from: (at / unit) as u32,
        until: (last / unit) as u32,
        worth: model.worth,
    }
}
