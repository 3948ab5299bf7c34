//! Waiting requests of this host, and the owners that they are sent to.

use std::time::Duration;

use crate::clock::Moment;
use crate::config::Name;
use crate::error::{Kind, Refusal};
use crate::peer::wire::{self, Body, Verdict};
use crate::pool::waiting::Ticket;

use super::event::Want;
use super::{Act, Control};

/// A waiting request of this host.
pub(super) struct Local {
    pool: Name,
    want: Want,
    sent: Option<Name>,
}

impl Local {
    /// Whether it waits for a replica of `model`.
    pub(super) fn waits_for(&self, model: &Name) -> bool {
        self.want.need.model == *model
    }
}

impl Control {
    /// Takes a request of this host that waits for a replica.
    pub(super) fn want(&mut self, want: Want, now: Moment) {
        let Some(model) = self.config.models.get(&want.need.model) else {
            let detail = format!("no model {:?}", want.need.model);
            let refusal = Refusal::new(Kind::UnknownModel, detail);
            self.acts.push(Act::Reply {
                reply: want.reply,
                answer: Err(refusal),
            });
            return;
        };
        let pool = model.pool.clone();
        let id = want.id.clone();
        let local = Local {
            pool: pool.clone(),
            want,
            sent: None,
        };
        self.tickets.insert(id, local);
        self.send_tickets(&pool, now);
    }

    /// Withdraws a request of this host.
    pub(super) fn cancel(&mut self, id: &Name) {
        let Some(local) = self.tickets.remove(id) else {
            return;
        };
        let Some(host) = local.sent else {
            return;
        };
        let ticket = id.to_string();
        self.send(&host, Body::Cancel(wire::Cancel { ticket }));
    }

    /// Sends the requests that wait for `pool` to its owner, unless it has them.
    pub(super) fn send_tickets(&mut self, pool: &Name, now: Moment) {
        let Some(owner) = self.owner(pool) else {
            return;
        };
        if owner != self.me.host && !self.members.is_linked(&owner) {
            return;
        }
        let mut wants = Vec::new();
        for (id, local) in &mut self.tickets {
            if local.pool != *pool || local.sent.as_ref() == Some(&owner) {
                continue;
            }
            local.sent = Some(owner.clone());
            let need = &local.want.need;
            let left = need.deadline.saturating_sub(now);
            wants.push(wire::Want {
                ticket: id.to_string(),
                model: need.model.to_string(),
                left_ms: left.as_millis() as u64,
                priority: need.priority.into(),
                suspect: local.want.suspect.as_deref().unwrap_or_default().to_owned(),
                avoid: need.avoid.iter().map(|e| e.to_string()).collect(),
            });
        }
        for want in wants {
            self.send(&owner, Body::Want(want));
        }
    }

    /// Marks the requests that wait for `pool` as not sent.
    pub(super) fn unsend_tickets(&mut self, pool: &Name) {
        for local in self.tickets.values_mut() {
            if local.pool == *pool {
                local.sent = None;
            }
        }
    }

    /// Marks the requests that `host` had as not sent.
    pub(super) fn unsend_to(&mut self, host: &Name) {
        for local in self.tickets.values_mut() {
            if local.sent.as_ref() == Some(host) {
                local.sent = None;
            }
        }
    }

    /// Sends all requests again that no owner has.
    pub(super) fn resend_tickets(&mut self, now: Moment) {
        let mut pools: Vec<Name> = self.tickets.values().map(|l| l.pool.clone()).collect();
        pools.sort();
        pools.dedup();
        for pool in pools {
            self.send_tickets(&pool, now);
        }
    }

    /// Takes a request of another daemon, or of this one.
    pub(super) fn wanted(&mut self, from: &Name, want: &wire::Want, now: Moment) {
        let model = Name::from(want.model.as_str());
        let Some(pool) = self.config.models.get(&model).map(|m| m.pool.clone()) else {
            self.refuse(from, want, Kind::UnknownModel);
            return;
        };
        if self.owner(&pool).as_ref() != Some(&self.me.host) {
            // The sender learns of the present owner and sends it there.
            return;
        }
        let ticket = Ticket {
            id: want.ticket.as_str().into(),
            host: from.clone(),
            model,
            deadline: now + Duration::from_millis(want.left_ms),
            priority: u8::try_from(want.priority).unwrap_or(u8::MAX),
            suspect: Some(Name::from(want.suspect.as_str())).filter(|s| !s.is_empty()),
            avoid: want.avoid.iter().map(|e| e.as_str().into()).collect(),
        };
        self.with_pool(&pool, now, |pool, ctx, out| pool.want(ticket, ctx, out));
    }

    fn refuse(&mut self, to: &Name, want: &wire::Want, kind: Kind) {
        let verdict = Verdict {
            ticket: want.ticket.clone(),
            engine: String::new(),
            kind: kind.to_string(),
            retry_ms: 0,
        };
        self.send(to, Body::Verdict(verdict));
    }

    /// Takes the withdrawal of a request.
    pub(super) fn cancelled(&mut self, ticket: &str) {
        for seat in self.seats.values_mut() {
            if let super::Seat::Held(pool) = seat {
                pool.cancel(ticket);
            }
        }
    }

    /// Takes an owner's answer to a request of this host.
    pub(super) fn verdict(&mut self, verdict: &Verdict) {
        let Some(local) = self.tickets.remove(verdict.ticket.as_str()) else {
            return;
        };
        let model = &local.want.need.model;
        let answer = if verdict.engine.is_empty() {
            Err(refusal(verdict, model))
        } else {
            let engine = Name::from(verdict.engine.as_str());
            Ok(self.router.assigned(&engine, model))
        };
        self.acts.push(Act::Reply {
            reply: local.want.reply,
            answer,
        });
    }
}

fn refusal(verdict: &Verdict, model: &str) -> Refusal {
    let kind = verdict.kind.parse().unwrap_or(Kind::NoCapacity);
    let detail = format!("no replica of {model} can serve in time");
    let refusal = Refusal::new(kind, detail);
    match verdict.retry_ms {
        0 => refusal,
        ms => refusal.retry_after(Duration::from_millis(ms)),
    }
}
