//! Queue of requests that wait for a slot of one model.

use std::collections::HashMap;

use crossbeam::channel::{Sender, bounded};

use crate::clock::Moment;
use crate::config::Name;
use crate::decide::admission::{AdmissionQueue, EnqueueResult, QueueRefusal, QueuedRequest};
use crate::error::Refusal;

use super::{RoutingRequest, SlotResult};

/// Requests that wait for a slot of one model.
pub(super) struct ModelQueue {
    queue: AdmissionQueue,
    entries: HashMap<Name, QueueEntry>,
}

/// A queued request and the sender for its result.
pub(super) struct QueueEntry {
    /// The request.
    pub request: RoutingRequest,
    /// Receives the result.
    pub sender: Sender<SlotResult>,
}

/// Result of a queued request; it is sent after the router's lock is released.
pub(super) struct Delivery {
    /// Receives the result.
    pub sender: Sender<SlotResult>,
    /// The result.
    pub result: SlotResult,
}

impl ModelQueue {
    /// Returns an empty queue of at most `max_waiting` requests.
    pub fn new(max_waiting: usize) -> Self {
        ModelQueue {
            queue: AdmissionQueue::new(max_waiting),
            entries: HashMap::new(),
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Queues a request. A request that it displaces is refused through
    /// `deliveries`.
    ///
    /// # Errors
    ///
    /// The refusal when the request is not queued.
    pub fn enqueue(
        &mut self,
        request: &RoutingRequest,
        now: Moment,
        deliveries: &mut Vec<Delivery>,
    ) -> Result<crossbeam::channel::Receiver<SlotResult>, Refusal> {
        let (sender, results) = bounded(1);
        let queued = QueuedRequest {
            id: request.id.clone(),
            caller: request.caller.clone(),
            priority: request.priority,
            deadline: request.deadline,
            worth: request.worth,
        };
        match self.queue.enqueue(queued, Moment::ZERO, now) {
            EnqueueResult::Refused(reason) => return Err(refusal(&request.model, reason)),
            EnqueueResult::Displaced {
                request: displaced,
                refusal: reason,
            } => {
                if let Some(entry) = self.entries.remove(&displaced.id) {
                    deliveries.push(Delivery {
                        sender: entry.sender,
                        result: Err(refusal(&request.model, reason)),
                    });
                }
            }
            EnqueueResult::Queued | EnqueueResult::Duplicate => {}
        }
        let request = request.clone();
        self.entries
            .insert(request.id.clone(), QueueEntry { request, sender });
        Ok(results)
    }

    /// Returns the request that is served next.
    pub fn head(&self, now: Moment) -> Option<&RoutingRequest> {
        let queued = self.queue.peek(now)?;
        self.entries.get(&queued.id).map(|entry| &entry.request)
    }

    /// Removes and returns the request that is served next.
    pub fn dequeue(&mut self, now: Moment) -> Option<QueueEntry> {
        let queued = self.queue.dequeue(now)?;
        self.entries.remove(&queued.id)
    }

    /// Removes a request.
    pub fn remove(&mut self, id: &Name) {
        self.queue.cancel(id);
        self.entries.remove(id);
    }

    /// Removes the requests whose deadline has passed. They get no result, because
    /// each request times out by itself.
    pub fn remove_expired(&mut self, now: Moment) {
        for queued in self.queue.remove_expired(now) {
            self.entries.remove(&queued.id);
        }
    }
}

fn refusal(model: &Name, refused: QueueRefusal) -> Refusal {
    let detail = format!("requests wait for {model}");
    Refusal::new(refused.kind, detail).retry_after(refused.retry_after)
}
