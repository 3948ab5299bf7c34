//! Queues of requests that wait for a replica, at the owner of their pool.

use std::collections::{BTreeMap, HashMap};

use crate::clock::Moment;
use crate::config::Name;

/// Waiting request of one entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Id, unique over all hosts and restarts.
    pub id: Name,
    /// Entry host that the caller is connected to.
    pub host: Name,
    /// Model or adapter.
    pub model: Name,
    /// Moment by which it must be answered.
    pub deadline: Moment,
    /// Priority; higher first.
    pub priority: u8,
    /// Fingerprint when the request is a suspect.
    pub suspect: Option<Name>,
    /// Engine instances that it must not run on.
    pub avoid: Vec<Name>,
}

/// Sort key of the tickets of one model: descending priority, deadline, id.
type QueueKey = (u8, Moment, Name);

/// Bounded priority queues of tickets, one for each model.
#[derive(Debug, Default)]
pub struct TicketQueue {
    queues: BTreeMap<Name, BTreeMap<QueueKey, Ticket>>,
    keys: HashMap<Name, (Name, QueueKey)>,
}

impl TicketQueue {
    /// Inserts a ticket, replacing one with the same id.
    ///
    /// When the model's queue exceeds `limit`, removes and returns the last ticket in order, which
    /// may be the new one.
    pub fn insert(&mut self, ticket: Ticket, limit: usize) -> Option<Ticket> {
        self.remove(&ticket.id);
        let key = (
            u8::MAX - ticket.priority,
            ticket.deadline,
            ticket.id.clone(),
        );
        let model = ticket.model.clone();
        self.keys
            .insert(ticket.id.clone(), (model.clone(), key.clone()));
        let queue = self.queues.entry(model).or_default();
        queue.insert(key, ticket);
        if queue.len() <= limit {
            return None;
        }
        let last = queue.last_key_value()?.1.id.clone();
        self.remove(&last)
    }

    /// Removes a ticket by its id.
    pub fn remove(&mut self, id: &str) -> Option<Ticket> {
        let (model, key) = self.keys.remove(id)?;
        let queue = self.queues.get_mut(&model)?;
        let ticket = queue.remove(&key);
        if queue.is_empty() {
            self.queues.remove(&model);
        }
        ticket
    }

    /// Removes and returns all tickets of a model, in order.
    pub fn take_model(&mut self, model: &str) -> Vec<Ticket> {
        let Some(queue) = self.queues.remove(model) else {
            return Vec::new();
        };
        let tickets: Vec<Ticket> = queue.into_values().collect();
        for ticket in &tickets {
            self.keys.remove(&ticket.id);
        }
        tickets
    }

    /// Removes and returns the tickets whose deadline has passed.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for queue in self.queues.values() {
            for ticket in queue.values() {
                if ticket.deadline <= now {
                    expired.push(ticket.id.clone());
                }
            }
        }
        expired.iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Removes the tickets of a host.
    pub fn remove_host(&mut self, host: &str) {
        let ids: Vec<Name> = self
            .queues
            .values()
            .flat_map(BTreeMap::values)
            .filter(|t| &*t.host == host)
            .map(|t| t.id.clone())
            .collect();
        for id in ids {
            self.remove(&id);
        }
    }

    /// Iterates over the models with tickets and the tickets of each, in order.
    pub fn by_model(&self) -> impl Iterator<Item = (&Name, impl Iterator<Item = &Ticket>)> {
        self.queues
            .iter()
            .map(|(model, queue)| (model, queue.values()))
    }

    /// Returns the number of tickets of one model.
    pub fn count_for(&self, model: &str) -> usize {
        self.queues.get(model).map_or(0, BTreeMap::len)
    }

    /// Returns the number of all tickets.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether there is no ticket.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ticket(id: &str, priority: u8, deadline: u64) -> Ticket {
        Ticket {
            id: id.into(),
            host: "h1".into(),
            model: "m".into(),
            deadline: Moment::from_secs(deadline),
            priority,
            suspect: None,
            avoid: Vec::new(),
        }
    }

    #[test]
    fn higher_priority_then_earlier_deadline_goes_first() {
        let mut queue = TicketQueue::default();
        queue.insert(ticket("late", 5, 9), 8);
        queue.insert(ticket("soon", 5, 3), 8);
        queue.insert(ticket("high", 7, 20), 8);
        let ids: Vec<Name> = queue.take_model("m").into_iter().map(|t| t.id).collect();
        assert_eq!(
            ids,
            ["high".into(), "soon".into(), "late".into()] as [Name; 3]
        );
        assert!(queue.is_empty());
    }

    #[test]
    fn full_queue_drops_the_last_ticket_in_order() {
        let mut queue = TicketQueue::default();
        assert_eq!(queue.insert(ticket("a", 5, 1), 1), None);
        let dropped = queue.insert(ticket("b", 6, 1), 1).expect("one too many");
        assert_eq!(&*dropped.id, "a");
    }

    #[test]
    fn ticket_with_a_known_id_replaces_the_old_one() {
        let mut queue = TicketQueue::default();
        queue.insert(ticket("a", 5, 1), 8);
        queue.insert(ticket("a", 5, 2), 8);
        assert_eq!(queue.len(), 1);
        assert_eq!(queue.remove_expired(Moment::from_secs(2)).len(), 1);
        assert!(queue.is_empty());
    }
}
