//! Computes the figures of a run from request outcomes and the journals of the fakes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use mastichinge::config::{Model, Name};
use mastichinge::fakes::engine::Journal;
use mastichinge::fakes::weights::LoadCounts;
use serde::Serialize;

use super::cold_start_bound::{ColdRequest, StoreParameters, least_waits};
use super::env::Env;
use super::firm::{ANSWER_TOKENS, FirmPlan, TOKEN_INTERVAL};
use super::load_driver::{RequestOutcome, RunResult};
use super::scenario::{OPENING, Scenario};
use super::worth_bound::{Job, max_worth};

/// Percentiles of a distribution, in ms, or in us on the warm path.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    /// Number of values.
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
    /// Requests answered completely.
    pub served: usize,
    /// Refused requests by error code.
    pub refused: BTreeMap<String, usize>,
    /// Refused requests by model.
    pub starved: BTreeMap<Name, usize>,
    /// Requests neither answered completely nor refused.
    pub lost: usize,
    /// Requests answered with an unexpected text.
    pub wrong: usize,
    /// Requests that the caller sent again because their host had failed.
    pub resent: usize,
    /// Time to the first token of requests whose model was not loaded; the
    /// whole deadline for requests that were not answered completely.
    pub cold: Spread,
    /// Lower bound on these times under the limits of the store.
    pub least: Spread,
    /// Accelerator seconds of engines with loaded weights and no request.
    pub idle: f64,
    /// Accelerator seconds of replicas without a request, weighted by their share of memory.
    pub unused: f64,
    /// Worth of all completions; in an overload, only of requests that arrived during it.
    pub worth: f64,
    /// Upper bound on that worth, in an overload.
    pub ideal: Option<f64>,
    /// Loads of models from the store.
    pub models: StoreUse,
    /// Loads of adapters from the store.
    pub adapters: StoreUse,
    /// Bytes per second that a daemon sent to other daemons; none if its
    /// metrics do not count them.
    pub bytes: Option<f64>,
    /// CPU time of a daemon, cores.
    pub cores: f64,
    /// Loads that exceeded the memory of their engine.
    pub overcommits: usize,
    /// Models that were unloaded while streams were in progress.
    pub cuts: Vec<Name>,
    /// Maximum number of concurrent replicas of a model above its limit.
    pub surplus: usize,
    /// All cold-start times.
    #[serde(skip)]
    pub cold_ms: Vec<u64>,
    /// Lower bound of each cold-start time.
    #[serde(skip)]
    pub least_ms: Vec<u64>,
}

/// Use of the weight store by one kind of load.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct StoreUse {
    /// Loads started.
    pub total: u64,
    /// Maximum number of concurrent loads.
    pub peak: u32,
    /// Loads started beyond the limits.
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

/// Time span of a replica or a stream.
struct Span {
    from: Instant,
    until: Instant,
}

impl Span {
    /// Returns the time that none of `busy`, in order of start, covers, in seconds.
    fn uncovered(&self, busy: &[Span]) -> f64 {
        let mut at = self.from;
        let mut uncovered = Duration::ZERO;
        for span in busy {
            let from = span.from.clamp(self.from, self.until);
            uncovered += from.saturating_duration_since(at);
            at = at.max(span.until.min(self.until));
        }
        uncovered += self.until.saturating_duration_since(at);
        uncovered.as_secs_f64()
    }
}

/// Computes the figures of a run.
pub fn compute(env: &Env, plan: &FirmPlan, scenario: Scenario, result: &RunResult) -> Figures {
    let journals: Vec<Journal> = env.site.engines.iter().map(|e| e.journal()).collect();
    let mut figures = Figures {
        requests: result.outcomes.len(),
        ..Figures::default()
    };
    count_outcomes(&mut figures, plan, result, scenario);
    add_cold_starts(&mut figures, plan, result, &journals);
    add_idle_time(&mut figures, plan, result, &journals);
    if scenario == Scenario::Overload {
        figures.ideal = Some(ideal_worth(plan, result));
    }
    let (models, adapters) = env.site.weights.state.change(|s| (s.models, s.adapters));
    figures.models = models.into();
    figures.adapters = adapters.into();
    let duration = (result.end - result.start).as_secs_f64();
    let daemons = result.usage.len().max(1) as f64;
    let sent_bytes = result.usage.iter().map(|d| d.sent_bytes).sum::<f64>();
    figures.bytes = (sent_bytes > 0.0).then_some(sent_bytes / duration / daemons);
    figures.cores = result.usage.iter().map(|d| d.cpu_time).sum::<f64>() / duration / daemons;
    for journal in &journals {
        figures.overcommits += journal.overcommits.len();
        figures.cuts.extend(journal.interrupted.iter().cloned());
    }
    figures.surplus = max_surplus(plan, &journals);
    figures
}

fn count_outcomes(figures: &mut Figures, plan: &FirmPlan, result: &RunResult, scenario: Scenario) {
    for outcome in &result.outcomes {
        figures.resent += outcome.resends.min(1);
        let answer = &outcome.reply;
        if answer.complete {
            figures.served += 1;
            figures.wrong += usize::from(!outcome.text_matches);
            if counts_worth(outcome, scenario) {
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

/// Returns whether the worth of an outcome counts; in an overload, only requests
/// that arrived during it count.
fn counts_worth(outcome: &RequestOutcome, scenario: Scenario) -> bool {
    scenario != Scenario::Overload || outcome.arrival.at >= OPENING
}

/// Returns whether a replica of `model` is loaded at `at`.
fn is_loaded(journals: &[Journal], model: &str, at: Instant) -> bool {
    let mut residencies = journals.iter().flat_map(|j| &j.residencies);
    residencies.any(|s| {
        &*s.resident.model == model
            && s.ready_at.is_some_and(|r| r <= at)
            && s.released_at.is_none_or(|u| u > at)
    })
}

fn add_cold_starts(
    figures: &mut Figures,
    plan: &FirmPlan,
    result: &RunResult,
    journals: &[Journal],
) {
    let mut requests = Vec::new();
    for outcome in &result.outcomes {
        let arrival = &outcome.arrival;
        let name = plan.requested_name(&arrival.model, arrival.host);
        if is_loaded(journals, &name, outcome.sent_at) {
            continue;
        }
        let model = &plan.models[&arrival.model];
        let weights = model.base.as_ref().unwrap_or(&arrival.model);
        let base_name = plan.requested_name(weights, arrival.host);
        requests.push(ColdRequest {
            arrival: (outcome.sent_at - result.start).as_secs_f64(),
            weights: weights.to_string(),
            is_adapter: model.base.is_some(),
            base_loaded: is_loaded(journals, &base_name, outcome.sent_at),
        });
        // An incomplete answer or a refusal counts with the whole deadline.
        let first = outcome.first_token.filter(|_| outcome.reply.complete);
        let wait = first.unwrap_or(arrival.deadline);
        figures.cold_ms.push(wait.as_millis() as u64);
    }
    requests.sort_by(|a, b| a.arrival.total_cmp(&b.arrival));
    for wait in least_waits(&requests, &store_parameters(plan)) {
        figures.least_ms.push((wait * 1_000.0) as u64);
    }
    figures.cold = percentiles(&figures.cold_ms);
    figures.least = percentiles(&figures.least_ms);
}

/// Returns the maximum number of concurrent replicas above the limit of any model,
/// including replicas that are loading.
fn max_surplus(plan: &FirmPlan, journals: &[Journal]) -> usize {
    let mut max_surplus = 0;
    for (name, model) in &plan.config.models {
        let residencies = journals.iter().flat_map(|j| &j.residencies);
        let replicas: Vec<_> = residencies.filter(|s| s.resident.model == *name).collect();
        for residency in &replicas {
            let concurrent = replicas.iter().filter(|o| {
                o.load_start <= residency.load_start
                    && o.released_at
                        .is_none_or(|until| until > residency.load_start)
            });
            max_surplus = max_surplus.max(concurrent.count().saturating_sub(model.limit as usize));
        }
    }
    max_surplus
}

fn store_parameters(plan: &FirmPlan) -> StoreParameters {
    let scaled = |time: Duration| time.as_secs_f64() * plan.scale;
    StoreParameters {
        rate: plan.store.models_per_s / plan.scale,
        parallel: plan.store.parallel_models as usize,
        load_time: scaled(plan.load_times.remote),
        cached_time: scaled(plan.load_times.memory),
        adapter_time: scaled(plan.load_times.adapter),
        token_time: TOKEN_INTERVAL.as_secs_f64(),
    }
}

/// Returns the percentiles of `times`.
pub fn percentiles(times: &[u64]) -> Spread {
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

fn add_idle_time(figures: &mut Figures, plan: &FirmPlan, result: &RunResult, journals: &[Journal]) {
    for (engine, journal) in plan.config.engines.values().zip(journals) {
        let accelerators = f64::from(engine.accelerators);
        let mut busy = Vec::new();
        for stream in &journal.streams {
            busy.push((stream.model.as_str(), stream.arrived_at, stream.ended_at));
        }
        busy.sort_by_key(|b| b.1);
        let busy_spans = |model: Option<&str>| -> Vec<Span> {
            let chosen = busy.iter().filter(|b| model.is_none_or(|m| m == b.0));
            chosen
                .map(|b| Span {
                    from: b.1,
                    until: b.2,
                })
                .collect()
        };
        let residencies = replica_spans(journal, result);
        for (model, memory, residency) in &residencies {
            let share = *memory as f64 / engine.memory as f64;
            figures.unused += accelerators * share * residency.uncovered(&busy_spans(Some(model)));
        }
        let occupied = merge_spans(residencies.into_iter().map(|s| s.2).collect());
        for span in occupied {
            figures.idle += accelerators * span.uncovered(&busy_spans(None));
        }
    }
}

/// Returns the model, memory and time span of each replica, limited to the run.
fn replica_spans(journal: &Journal, result: &RunResult) -> Vec<(Name, u64, Span)> {
    let mut residencies = Vec::new();
    for residency in &journal.residencies {
        let Some(ready) = residency.ready_at else {
            continue;
        };
        let span = Span {
            from: ready.max(result.start),
            until: residency.released_at.unwrap_or(result.end).min(result.end),
        };
        if span.from < span.until {
            residencies.push((
                residency.resident.model.clone(),
                residency.resident.memory,
                span,
            ));
        }
    }
    residencies
}

/// Merges overlapping spans.
fn merge_spans(mut spans: Vec<Span>) -> Vec<Span> {
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

/// Returns an upper bound on the worth, the smaller of two: each model within the slots that its replica
/// limit allows, and each pool within all its slots.
fn ideal_worth(plan: &FirmPlan, result: &RunResult) -> f64 {
    let mut by_model: BTreeMap<&Name, Vec<Job>> = BTreeMap::new();
    let mut by_pool: BTreeMap<&Name, Vec<Job>> = BTreeMap::new();
    for outcome in &result.outcomes {
        if !counts_worth(outcome, Scenario::Overload) {
            continue;
        }
        let model = &plan.models[&outcome.arrival.model];
        let job = to_job(outcome, model);
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
    let mut model_bound = 0.0;
    for (name, jobs) in &by_model {
        let model = &plan.models[*name];
        let replicas = slots(&model.pool).into_iter().take(model.limit as usize);
        model_bound += max_worth(jobs, replicas.sum());
    }
    let mut pool_bound = 0.0;
    for (pool, jobs) in &by_pool {
        pool_bound += max_worth(jobs, slots(pool).into_iter().sum());
    }
    f64::min(model_bound, pool_bound)
}

fn to_job(outcome: &RequestOutcome, model: &Model) -> Job {
    let service_time = TOKEN_INTERVAL.as_secs_f64() * ANSWER_TOKENS as f64;
    let at = outcome.arrival.at.as_secs_f64();
    let deadline = at + outcome.arrival.deadline.as_secs_f64();
    Job {
        release: (at / service_time) as u32,
        deadline: (deadline / service_time) as u32,
        worth: model.worth,
    }
}
