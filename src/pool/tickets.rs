//! Answers to waiting requests.

use std::time::Duration;

use crate::clock::Moment;
use crate::config::{Config, Name};
use crate::decide::store::{Waiters, stake};
use crate::error::Kind;
use crate::peer::wire::{Body, Verdict};
use crate::suspects::{TrialCandidate, TrialRequest};

use super::replica::Replica;
use super::waiting::Ticket;
use super::{Action, Context, Pool, refusal};

/// Time after its deadline for which the trial of a suspect may go on.
const TRIAL_GRACE: Duration = Duration::from_secs(60);
/// Wait that a refusal names where nothing better is known.
const COME_BACK: Duration = Duration::from_secs(1);

impl Pool {
    /// Takes a request that waits for a replica.
    pub fn want(&mut self, ticket: Ticket, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let Some(model) = ctx.config.models.get(&ticket.model) else {
            out.push(refusal(&ticket, Kind::UnknownModel, Duration::ZERO));
            return;
        };
        if model.limit == 0 {
            out.push(refusal(&ticket, Kind::NoCapacity, COME_BACK));
            return;
        }
        let left = ticket.deadline.saturating_sub(ctx.now);
        if let Some(eta) = self.eta(&ticket.model, ctx.now).filter(|eta| *eta > left) {
            out.push(refusal(&ticket, Kind::DeadlineUnreachable, eta));
            return;
        }
        let most = ctx.config.policy.queue as usize;
        if let Some(last) = self.waiting.add(ticket, most) {
            out.push(refusal(&last, Kind::QueueFull, COME_BACK));
        }
    }

    /// Withdraws a waiting request, or ends the trial of a suspect.
    pub fn cancel(&mut self, id: &str) {
        self.waiting.remove(id);
        self.trials.end(id);
    }

    /// Forgets the requests of a host whose link is closed; it sends them again.
    pub fn forget(&mut self, host: &str) {
        self.waiting.forget(host);
        self.trials.end_for_host(host);
    }

    /// Time until a replica of `model` that is on its way takes work.
    fn eta(&self, model: &Name, now: Moment) -> Option<Duration> {
        let replicas = self.sides.values().filter_map(|s| s.replicas.get(model));
        replicas
            .filter(|r| r.coming() && self.took.contains_key(model))
            .map(|r| r.eta(now))
            .min()
    }

    /// Refuses what waited until its deadline.
    pub(super) fn expire(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        for ticket in self.waiting.expire(ctx.now) {
            out.push(refusal(&ticket, Kind::DeadlineExpired, COME_BACK));
        }
    }

    /// Answers every request whose model is ready.
    pub(super) fn answer(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let mut answers = Vec::new();
        let mut suspects = Vec::new();
        for (model, tickets) in self.waiting.models() {
            let ready = self.ready_at(model);
            if ready.is_empty() {
                continue;
            }
            let room = |engine: &Name| ctx.config.engines.get(engine).map_or(1, |e| e.slots);
            let mut given: Vec<u32> = ready.iter().map(|e| self.running(model, e)).collect();
            for ticket in tickets {
                if ticket.suspect.is_some() {
                    suspects.push((ticket.clone(), ready.clone()));
                    continue;
                }
                let least = (0..ready.len())
                    .filter(|i| !self.avoids(ticket, &ready[*i]))
                    .min_by_key(|i| given[*i] * 1_000 / room(&ready[*i]).max(1));
                let Some(i) = least else {
                    continue;
                };
                given[i] += 1;
                answers.push((ticket.id.clone(), ready[i].clone()));
            }
        }
        for (ticket, ready) in suspects {
            if let Some(engine) = self.try_apart(&ticket, &ready) {
                answers.push((ticket.id, engine));
            }
        }
        for (id, engine) in answers {
            let Some(ticket) = self.waiting.remove(&id) else {
                continue;
            };
            out.push(Action::Send {
                to: ticket.host,
                body: Body::Verdict(Verdict {
                    ticket: id.to_string(),
                    engine: engine.to_string(),
                    kind: String::new(),
                    retry_ms: 0,
                }),
            });
        }
    }

    /// Whether a request must not run on the present instance of an engine.
    pub(super) fn avoids(&self, ticket: &Ticket, engine: &Name) -> bool {
        let side = self.sides.get(engine);
        side.is_none_or(|s| ticket.avoid.contains(&s.report.instance))
    }

    /// Starts the trial of a suspect on an engine without another one.
    fn try_apart(&mut self, ticket: &Ticket, ready: &[Name]) -> Option<Name> {
        let mut candidates = Vec::new();
        for engine in ready {
            if self.avoids(ticket, engine) {
                continue;
            }
            let report = &self.sides[engine].report;
            candidates.push(TrialCandidate {
                engine: engine.clone(),
                load: report.running + report.waiting,
            });
        }
        let ask = TrialRequest {
            ticket: ticket.id.clone(),
            fingerprint: ticket.suspect.clone()?,
            host: ticket.host.clone(),
            deadline: ticket.deadline + TRIAL_GRACE,
        };
        let trial = self.trials.start(ask, &candidates)?;
        Some(trial.engine.clone())
    }

    /// Engines at which `model` takes work.
    pub(super) fn ready_at(&self, model: &Name) -> Vec<Name> {
        let mut ready = Vec::new();
        for (engine, side) in &self.sides {
            if !side.reachable() || side.leaving() {
                continue;
            }
            if side.replicas.get(model).is_some_and(Replica::ready) {
                ready.push(engine.clone());
            }
        }
        ready
    }

    /// Stake of a load of `model`.
    pub(super) fn stake(&self, model: &Name, config: &Config, now: Moment) -> f64 {
        let worth = config.models.get(model).map_or(1.0, |m| m.worth);
        let mut waiters = Waiters {
            count: 0,
            worth: 0.0,
            left: Duration::MAX,
            load: self.load_time(model, config),
        };
        for (name, tickets) in self.waiting.models() {
            if name != model && self.base_of(name, config) != Some(model) {
                continue;
            }
            for ticket in tickets {
                waiters.count += 1;
                waiters.worth += (f64::from(ticket.priority) + 1.0) * worth;
                waiters.left = waiters.left.min(ticket.deadline.saturating_sub(now));
            }
        }
        stake(&waiters)
    }

    /// Expected time of a load from the weight store.
    pub(super) fn load_time(&self, model: &Name, config: &Config) -> Duration {
        let told = config.models.get(model).map_or(0, |m| m.load_ms);
        let usual = Duration::from_millis(told);
        self.took.get(model).copied().unwrap_or(usual)
    }

    /// Base model of an adapter.
    pub(super) fn base_of<'a>(&self, model: &str, config: &'a Config) -> Option<&'a Name> {
        config.models.get(model)?.base.as_ref()
    }
}
