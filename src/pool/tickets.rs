//! Queueing and answering of requests that wait for a replica.

use std::time::Duration;

use crate::clock::Moment;
use crate::config::{Config, Name};
use crate::decide::weight_store::{LoadWaiters, value_density};
use crate::error::Kind;
use crate::peer::wire::{Body, ReplicaReply};
use crate::suspects::{TrialCandidate, TrialRequest};

use super::replica::Replica;
use super::ticket_queue::Ticket;
use super::{Action, Context, Pool, refusal};

/// Time after the deadline of a suspect request for which its trial may continue.
const TRIAL_GRACE: Duration = Duration::from_secs(60);
/// Retry delay of a refusal when no better estimate is known.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Pool {
    /// Queues a request until a replica is ready, or refuses it.
    pub fn enqueue(&mut self, ticket: Ticket, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let Some(model) = ctx.config.models.get(&ticket.model) else {
            out.push(refusal(&ticket, Kind::UnknownModel, Duration::ZERO));
            return;
        };
        if model.limit == 0 {
            out.push(refusal(&ticket, Kind::NoCapacity, DEFAULT_RETRY_DELAY));
            return;
        }
        let time_left = ticket.deadline.saturating_sub(ctx.now);
        if let Some(time_to_ready) = self
            .time_to_ready(&ticket.model, ctx.now)
            .filter(|time| *time > time_left)
        {
            out.push(refusal(&ticket, Kind::DeadlineUnreachable, time_to_ready));
            return;
        }
        let limit = ctx.config.policy.queue as usize;
        if let Some(dropped) = self.tickets.insert(ticket, limit) {
            out.push(refusal(&dropped, Kind::QueueFull, DEFAULT_RETRY_DELAY));
        }
    }

    /// Removes a waiting request, or ends the trial of a suspect.
    pub fn cancel(&mut self, id: &str) {
        self.tickets.remove(id);
        self.trials.end(id);
    }

    /// Removes the requests and trials of a host whose link closed; the host sends its requests
    /// again.
    pub fn remove_host(&mut self, host: &str) {
        self.tickets.remove_host(host);
        self.trials.end_for_host(host);
    }

    /// Returns the expected time until a planned or loading replica of `model` is ready.
    fn time_to_ready(&self, model: &Name, now: Moment) -> Option<Duration> {
        let replicas = self.engines.values().filter_map(|s| s.replicas.get(model));
        replicas
            .filter(|r| r.is_pending() && self.load_times.contains_key(model))
            .map(|r| r.time_to_ready(now))
            .min()
    }

    /// Refuses requests whose deadline has passed.
    pub(super) fn expire_tickets(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        for ticket in self.tickets.remove_expired(ctx.now) {
            out.push(refusal(&ticket, Kind::DeadlineExpired, DEFAULT_RETRY_DELAY));
        }
    }

    /// Assigns waiting requests to engines with a ready replica of their model.
    pub(super) fn assign_tickets(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let mut assignments = Vec::new();
        let mut suspects = Vec::new();
        for (model, tickets) in self.tickets.by_model() {
            let ready = self.ready_engines(model);
            if ready.is_empty() {
                continue;
            }
            let slots = |engine: &Name| ctx.config.engines.get(engine).map_or(1, |e| e.slots);
            let mut assigned: Vec<u32> = ready
                .iter()
                .map(|e| self.running_requests(model, e))
                .collect();
            for ticket in tickets {
                if ticket.suspect.is_some() {
                    suspects.push((ticket.clone(), ready.clone()));
                    continue;
                }
                let least_loaded = (0..ready.len())
                    .filter(|i| !self.is_avoided(ticket, &ready[*i]))
                    .min_by_key(|i| assigned[*i] * 1_000 / slots(&ready[*i]).max(1));
                let Some(i) = least_loaded else {
                    continue;
                };
                assigned[i] += 1;
                assignments.push((ticket.id.clone(), ready[i].clone()));
            }
        }
        for (ticket, ready) in suspects {
            if let Some(engine) = self.start_trial(&ticket, &ready) {
                assignments.push((ticket.id, engine));
            }
        }
        for (id, engine) in assignments {
            let Some(ticket) = self.tickets.remove(&id) else {
                continue;
            };
            out.push(Action::Send {
                to: ticket.host,
                body: Body::ReplicaReply(ReplicaReply {
                    ticket: id.to_string(),
                    engine: engine.to_string(),
                    kind: String::new(),
                    retry_ms: 0,
                }),
            });
        }
    }

    /// Returns whether a request must avoid the present instance of an engine.
    pub(super) fn is_avoided(&self, ticket: &Ticket, engine: &Name) -> bool {
        let state = self.engines.get(engine);
        state.is_none_or(|s| ticket.avoid.contains(&s.report.instance))
    }

    /// Starts the trial of a suspect on an engine that has no other trial.
    fn start_trial(&mut self, ticket: &Ticket, ready: &[Name]) -> Option<Name> {
        let mut candidates = Vec::new();
        for engine in ready {
            if self.is_avoided(ticket, engine) {
                continue;
            }
            let report = &self.engines[engine].report;
            candidates.push(TrialCandidate {
                engine: engine.clone(),
                load: report.running + report.waiting,
            });
        }
        let request = TrialRequest {
            ticket: ticket.id.clone(),
            fingerprint: ticket.suspect.clone()?,
            host: ticket.host.clone(),
            deadline: ticket.deadline + TRIAL_GRACE,
        };
        let trial = self.trials.start(request, &candidates)?;
        Some(trial.engine.clone())
    }

    /// Returns the engines whose replica of `model` accepts requests.
    pub(super) fn ready_engines(&self, model: &Name) -> Vec<Name> {
        let mut ready = Vec::new();
        for (engine, state) in &self.engines {
            if !state.is_reachable() || state.is_leaving() {
                continue;
            }
            if state.replicas.get(model).is_some_and(Replica::is_ready) {
                ready.push(engine.clone());
            }
        }
        ready
    }

    /// Returns the value density of a load of `model`: the worth of the requests that wait for the
    /// model or its adapters, per second of slack until their earliest deadline.
    pub(super) fn value_density(&self, model: &Name, config: &Config, now: Moment) -> f64 {
        let worth = config.models.get(model).map_or(1.0, |m| m.worth);
        let mut waiters = LoadWaiters {
            count: 0,
            worth: 0.0,
            time_left: Duration::MAX,
            load_time: self.load_time(model, config),
        };
        for (name, tickets) in self.tickets.by_model() {
            if name != model && self.base_of(name, config) != Some(model) {
                continue;
            }
            for ticket in tickets {
                waiters.count += 1;
                waiters.worth += (f64::from(ticket.priority) + 1.0) * worth;
                waiters.time_left = waiters.time_left.min(ticket.deadline.saturating_sub(now));
            }
        }
        value_density(&waiters)
    }

    /// Returns the expected time of a load from the weight store: the last measured one, or the
    /// configured one.
    pub(super) fn load_time(&self, model: &Name, config: &Config) -> Duration {
        let configured_ms = config.models.get(model).map_or(0, |m| m.load_ms);
        let configured = Duration::from_millis(configured_ms);
        self.load_times.get(model).copied().unwrap_or(configured)
    }

    /// Returns the base model of an adapter, or `None` for a model.
    pub(super) fn base_of<'a>(&self, model: &str, config: &'a Config) -> Option<&'a Name> {
        config.models.get(model)?.base.as_ref()
    }
}
