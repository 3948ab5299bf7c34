//! Requests that wait for a replica, kept by the owner of their pool.

use std::collections::{BTreeMap, HashMap};

use crate::clock::Moment;
use crate::config::Name;

/// A waiting request of one entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Id, unique over all hosts and restarts.
    pub id: Name,
    /// Entry host that holds the caller's connection.
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

/// Order of tickets of one model: priority, deadline, id.
type Rank = (u8, Moment, Name);

/// Bounded queues of tickets by model.
#[derive(Debug, Default)]
pub struct Waiting {
    queues: BTreeMap<Name, BTreeMap<Rank, Ticket>>,
    ranks: HashMap<Name, (Name, Rank)>,
}

impl Waiting {
    /// Adds a ticket; a known id is replaced.
    ///
    /// When the queue holds `most` tickets the one that ranks last is
    /// returned: it may be the new one.
    pub fn add(&mut self, ticket: Ticket, most: usize) -> Option<Ticket> {
        self.remove(&ticket.id);
        let rank = (
            u8::MAX - ticket.priority,
            ticket.deadline,
            ticket.id.clone(),
        );
        let model = ticket.model.clone();
        self.ranks
            .insert(ticket.id.clone(), (model.clone(), rank.clone()));
        let queue = self.queues.entry(model).or_default();
        queue.insert(rank, ticket);
        if queue.len() <= most {
            return None;
        }
        let last = queue.last_key_value()?.1.id.clone();
        self.remove(&last)
    }

    /// Removes a ticket by its id.
    pub fn remove(&mut self, id: &str) -> Option<Ticket> {
        let (model, rank) = self.ranks.remove(id)?;
        let queue = self.queues.get_mut(&model)?;
        let ticket = queue.remove(&rank);
        if queue.is_empty() {
            self.queues.remove(&model);
        }
        ticket
    }

    /// Takes all tickets of a model, in order.
    pub fn take(&mut self, model: &str) -> Vec<Ticket> {
        let Some(queue) = self.queues.remove(model) else {
            return Vec::new();
        };
        let tickets: Vec<Ticket> = queue.into_values().collect();
        for ticket in &tickets {
            self.ranks.remove(&ticket.id);
        }
        tickets
    }

    /// Takes the tickets whose deadline has passed.
    pub fn expire(&mut self, now: Moment) -> Vec<Ticket> {
        let mut late = Vec::new();
        for queue in self.queues.values() {
            for ticket in queue.values() {
                if ticket.deadline <= now {
                    late.push(ticket.id.clone());
                }
            }
        }
        late.iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Takes the tickets of a host that is gone.
    pub fn forget(&mut self, host: &str) {
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

    /// Models with tickets and the tickets of each, in order.
    pub fn models(&self) -> impl Iterator<Item = (&Name, impl Iterator<Item = &Ticket>)> {
        self.queues.iter().map(|(model, q)| (model, q.values()))
    }

    /// Tickets of one model.
    pub fn count(&self, model: &str) -> usize {
        self.queues.get(model).map_or(0, BTreeMap::len)
    }

    /// All tickets.
    pub fn len(&self) -> usize {
        self.ranks.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
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
        let mut waiting = Waiting::default();
        waiting.add(ticket("late", 5, 9), 8);
        waiting.add(ticket("soon", 5, 3), 8);
        waiting.add(ticket("high", 7, 20), 8);
        let ids: Vec<Name> = waiting.take("m").into_iter().map(|t| t.id).collect();
        assert_eq!(
            ids,
            ["high".into(), "soon".into(), "late".into()] as [Name; 3]
        );
        assert!(waiting.is_empty());
    }

    #[test]
    fn a_full_queue_gives_up_the_last_in_order() {
        let mut waiting = Waiting::default();
        assert_eq!(waiting.add(ticket("a", 5, 1), 1), None);
        let out = waiting.add(ticket("b", 6, 1), 1).expect("one too many");
        assert_eq!(&*out.id, "a");
    }

    #[test]
    fn the_same_ticket_twice_waits_once() {
        let mut waiting = Waiting::default();
        waiting.add(ticket("a", 5, 1), 8);
        waiting.add(ticket("a", 5, 2), 8);
        assert_eq!(waiting.len(), 1);
        assert_eq!(waiting.expire(Moment::from_secs(2)).len(), 1);
        assert!(waiting.is_empty());
    }
}
