//! Requests of this host that wait for a replica, and their assignment to the
//! owners of pools.

use std::time::Duration;

use crate::clock::Moment;
use crate::config::Name;
use crate::error::{Kind, Refusal};
use crate::peer::wire::{self, Body, ReplicaReply};
use crate::pool::ticket_queue::Ticket;

use super::event::WaitingRequest;
use super::{Control, Effect};

/// A waiting request of this host, its pool and the owner it was sent to.
pub(super) struct WaitingEntry {
    pool: Name,
    request: WaitingRequest,
    sent_to: Option<Name>,
}

impl WaitingEntry {
    /// Returns whether the request waits for a replica of `model`.
    pub(super) fn waits_for(&self, model: &Name) -> bool {
        self.request.routing.model == *model
    }
}

impl Control {
    /// Adds a request of this host and sends it to the owner of its pool.
    pub(super) fn add_waiting(&mut self, request: WaitingRequest, now: Moment) {
        let Some(model) = self.config.models.get(&request.routing.model) else {
            let detail = format!("no model {:?}", request.routing.model);
            let refusal = Refusal::new(Kind::UnknownModel, detail);
            self.effects.push(Effect::Reply {
                sender: request.sender,
                result: Err(refusal),
            });
            return;
        };
        let pool = model.pool.clone();
        let id = request.id.clone();
        let entry = WaitingEntry {
            pool: pool.clone(),
            request,
            sent_to: None,
        };
        self.waiting.insert(id, entry);
        self.send_waiting(&pool, now);
    }

    /// Cancels a request of this host.
    pub(super) fn cancel_waiting(&mut self, id: &Name) {
        let Some(entry) = self.waiting.remove(id) else {
            return;
        };
        let Some(host) = entry.sent_to else {
            return;
        };
        let ticket = id.to_string();
        self.send(&host, Body::Cancel(wire::Cancel { ticket }));
    }

    /// Sends the requests that wait for `pool` to its owner, except those it already
    /// has.
    pub(super) fn send_waiting(&mut self, pool: &Name, now: Moment) {
        let Some(owner) = self.pool_owner(pool) else {
            return;
        };
        if owner != self.identity.host && !self.members.is_linked(&owner) {
            return;
        }
        let mut requests = Vec::new();
        for (id, entry) in &mut self.waiting {
            if entry.pool != *pool || entry.sent_to.as_ref() == Some(&owner) {
                continue;
            }
            entry.sent_to = Some(owner.clone());
            let routing = &entry.request.routing;
            let left = routing.deadline.saturating_sub(now);
            requests.push(wire::ReplicaRequest {
                ticket: id.to_string(),
                model: routing.model.to_string(),
                remaining_ms: left.as_millis() as u64,
                priority: routing.priority.into(),
                suspect: entry
                    .request
                    .suspect
                    .as_deref()
                    .unwrap_or_default()
                    .to_owned(),
                avoid: routing.avoid.iter().map(|e| e.to_string()).collect(),
            });
        }
        for request in requests {
            self.send(&owner, Body::ReplicaRequest(request));
        }
    }

    /// Lets the requests that wait for a trial of a released fingerprint go on like any other.
    pub(super) fn free_waiting(&mut self, fingerprint: &str, now: Moment) {
        let mut freed = false;
        for entry in self.waiting.values_mut() {
            let suspect = entry.request.suspect.as_deref().unwrap_or_default();
            if suspect.split(' ').any(|name| name == fingerprint) {
                entry.request.suspect = None;
                // The owner replaces the ticket.
                entry.sent_to = None;
                freed = true;
            }
        }
        if freed {
            self.resend_waiting(now);
        }
    }

    /// Marks the requests that wait for `pool` as not sent.
    pub(super) fn mark_unsent(&mut self, pool: &Name) {
        for entry in self.waiting.values_mut() {
            if entry.pool == *pool {
                entry.sent_to = None;
            }
        }
    }

    /// Marks the requests that were sent to `host` as not sent.
    pub(super) fn mark_unsent_to(&mut self, host: &Name) {
        for entry in self.waiting.values_mut() {
            if entry.sent_to.as_ref() == Some(host) {
                entry.sent_to = None;
            }
        }
    }

    /// Sends all requests that no owner has.
    pub(super) fn resend_waiting(&mut self, now: Moment) {
        let mut pools: Vec<Name> = self
            .waiting
            .values()
            .map(|entry| entry.pool.clone())
            .collect();
        pools.sort();
        pools.dedup();
        for pool in pools {
            self.send_waiting(&pool, now);
        }
    }

    /// Handles, on a pool owner, a request of another daemon or of this one.
    pub(super) fn handle_replica_request(
        &mut self,
        from: &Name,
        request: &wire::ReplicaRequest,
        now: Moment,
    ) {
        let model = Name::from(request.model.as_str());
        let Some(pool) = self.config.models.get(&model).map(|m| m.pool.clone()) else {
            self.send_refusal(from, request, Kind::UnknownModel);
            return;
        };
        if self.pool_owner(&pool).as_ref() != Some(&self.identity.host) {
            // The sender learns of the current owner and sends the request there.
            return;
        }
        let ticket = Ticket {
            id: request.ticket.as_str().into(),
            host: from.clone(),
            model,
            deadline: now + Duration::from_millis(request.remaining_ms),
            priority: u8::try_from(request.priority).unwrap_or(u8::MAX),
            suspect: Some(Name::from(request.suspect.as_str())).filter(|s| !s.is_empty()),
            avoid: request.avoid.iter().map(|e| e.as_str().into()).collect(),
        };
        self.with_pool(&pool, now, |pool, ctx, out| pool.enqueue(ticket, ctx, out));
    }

    fn send_refusal(&mut self, to: &Name, request: &wire::ReplicaRequest, kind: Kind) {
        let reply = ReplicaReply {
            ticket: request.ticket.clone(),
            engine: String::new(),
            kind: kind.to_string(),
            retry_ms: 0,
        };
        self.send(to, Body::ReplicaReply(reply));
    }

    /// Cancels a ticket in the pools that this daemon owns.
    pub(super) fn handle_cancel(&mut self, ticket: &str) {
        for ownership in self.pools.values_mut() {
            if let super::PoolOwnership::Owned(pool) = ownership {
                pool.cancel(ticket);
            }
        }
    }

    /// Handles the owner's reply to a request of this host.
    pub(super) fn handle_replica_reply(&mut self, reply: &ReplicaReply) {
        let Some(entry) = self.waiting.remove(reply.ticket.as_str()) else {
            return;
        };
        let model = &entry.request.routing.model;
        let result = if reply.engine.is_empty() {
            Err(decode_refusal(reply, model))
        } else {
            let engine = Name::from(reply.engine.as_str());
            Ok(self
                .router
                .acquire_assigned(&engine, &entry.request.routing))
        };
        self.effects.push(Effect::Reply {
            sender: entry.request.sender,
            result,
        });
    }
}

fn decode_refusal(reply: &ReplicaReply, model: &str) -> Refusal {
    let kind = reply.kind.parse().unwrap_or(Kind::NoCapacity);
    let detail = format!("no replica of {model} can serve in time");
    let refusal = Refusal::new(kind, detail);
    match reply.retry_ms {
        0 => refusal,
        ms => refusal.retry_after(Duration::from_millis(ms)),
    }
}
