//! Requests that wait for a slot, by model.

use std::collections::HashMap;

use crossbeam::channel::{Sender, bounded};

use crate::clock::Moment;
use crate::config::Name;
use crate::decide::admission::{Offer, Queue, Refused, Ticket};
use crate::error::Refusal;

use super::{RoutingRequest, SlotResult};

/// Requests that wait for a slot of one model.
pub(super) struct ModelQueue {
    queue: Queue,
    waiters: HashMap<Name, QueueEntry>,
}

/// A waiting request.
struct QueueEntry {
    request: RoutingRequest,
    sender: Sender<SlotResult>,
}

/// A request that got its outcome; it is sent after the lock is released.
pub(super) struct Delivery {
    /// Takes the outcome.
    pub sender: Sender<SlotResult>,
    /// The outcome.
    pub result: SlotResult,
}

impl ModelQueue {
    /// An empty queue of at most `max_waiting` requests.
    pub fn new(max_waiting: usize) -> Self {
        ModelQueue {
            queue: Queue::new(max_waiting),
            waiters: HashMap::new(),
        }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Puts a request into the queue.
    ///
    /// # Errors
    ///
    /// The refusal on arrival.
    pub fn offer(
        &mut self,
        request: &RoutingRequest,
        now: Moment,
        deliveries: &mut Vec<Delivery>,
    ) -> Result<crossbeam::channel::Receiver<SlotResult>, Refusal> {
        let (sender, results) = bounded(1);
        let ticket = Ticket {
            id: request.id.clone(),
            caller: request.caller.clone(),
            priority: request.priority,
            deadline: request.deadline,
            worth: request.worth,
        };
        match self.queue.offer(ticket, Moment::ZERO, now) {
            Offer::Refused(refused) => return Err(refusal(&request.model, refused)),
            Offer::Displaced { ticket, refused } => {
                if let Some(entry) = self.waiters.remove(&ticket.id) {
                    deliveries.push(Delivery {
                        sender: entry.sender,
                        result: Err(refusal(&request.model, refused)),
                    });
                }
            }
            Offer::Queued | Offer::Known => {}
        }
        let request = request.clone();
        self.waiters
            .insert(request.id.clone(), QueueEntry { request, sender });
        Ok(results)
    }

    /// What the request that is served next needs.
    pub fn head(&self, now: Moment) -> Option<&RoutingRequest> {
        let ticket = self.queue.peek(now)?;
        self.waiters.get(&ticket.id).map(|entry| &entry.request)
    }

    /// Takes the request that is served next.
    pub fn pop(&mut self, now: Moment) -> Option<Sender<SlotResult>> {
        let ticket = self.queue.take(now)?;
        self.waiters.remove(&ticket.id).map(|entry| entry.sender)
    }

    /// Withdraws a request.
    pub fn withdraw(&mut self, id: &Name) {
        self.queue.cancel(id);
        self.waiters.remove(id);
    }

    /// Drops the requests whose deadline has passed; they time themselves out.
    pub fn expire(&mut self, now: Moment) {
        for ticket in self.queue.expire(now) {
            self.waiters.remove(&ticket.id);
        }
    }
}

fn refusal(model: &Name, refused: Refused) -> Refusal {
    let detail = format!("requests wait for {model}");
    Refusal::new(refused.kind, detail).retry_after(refused.retry)
}
