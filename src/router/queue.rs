//! Requests that wait for a slot, by model.

use std::collections::HashMap;

use crossbeam::channel::{Sender, bounded};

use crate::clock::Moment;
use crate::config::Name;
use crate::decide::admission::{AdmissionQueue, EnqueueResult, QueueRefusal, QueuedRequest};
use crate::error::Refusal;

use super::{Need, Outcome};

/// Requests that wait for a slot of one model.
pub(super) struct ModelQueue {
    queue: AdmissionQueue,
    waiters: HashMap<Name, Entry>,
}

/// A waiting request.
struct Entry {
    need: Need,
    sender: Sender<Outcome>,
}

/// A request that got its outcome; it is sent after the lock is released.
pub(super) struct Delivery {
    /// Takes the outcome.
    pub sender: Sender<Outcome>,
    /// The outcome.
    pub outcome: Outcome,
}

impl ModelQueue {
    /// An empty queue of at most `most` requests.
    pub fn new(most: usize) -> Self {
        ModelQueue {
            queue: AdmissionQueue::new(most),
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
        need: &Need,
        now: Moment,
        out: &mut Vec<Delivery>,
    ) -> Result<crossbeam::channel::Receiver<Outcome>, Refusal> {
        let (sender, outcomes) = bounded(1);
        let ticket = QueuedRequest {
            id: need.id.clone(),
            caller: need.caller.clone(),
            priority: need.priority,
            deadline: need.deadline,
            worth: need.worth,
        };
        match self.queue.enqueue(ticket, Moment::ZERO, now) {
            EnqueueResult::Refused(refused) => return Err(refusal(&need.model, refused)),
            EnqueueResult::Displaced {
                request,
                refusal: refused,
            } => {
                if let Some(entry) = self.waiters.remove(&request.id) {
                    out.push(Delivery {
                        sender: entry.sender,
                        outcome: Err(refusal(&need.model, refused)),
                    });
                }
            }
            EnqueueResult::Queued | EnqueueResult::Duplicate => {}
        }
        let need = need.clone();
        self.waiters.insert(need.id.clone(), Entry { need, sender });
        Ok(outcomes)
    }

    /// What the request that is served next needs.
    pub fn head(&self, now: Moment) -> Option<&Need> {
        let ticket = self.queue.peek(now)?;
        self.waiters.get(&ticket.id).map(|entry| &entry.need)
    }

    /// Takes the request that is served next.
    pub fn take(&mut self, now: Moment) -> Option<Sender<Outcome>> {
        let ticket = self.queue.dequeue(now)?;
        self.waiters.remove(&ticket.id).map(|entry| entry.sender)
    }

    /// Withdraws a request.
    pub fn withdraw(&mut self, id: &Name) {
        self.queue.cancel(id);
        self.waiters.remove(id);
    }

    /// Drops the requests whose deadline has passed; they time themselves out.
    pub fn expire(&mut self, now: Moment) {
        for ticket in self.queue.remove_expired(now) {
            self.waiters.remove(&ticket.id);
        }
    }
}

fn refusal(model: &Name, refused: QueueRefusal) -> Refusal {
    let detail = format!("requests wait for {model}");
    Refusal::new(refused.kind, detail).retry_after(refused.retry_after)
}
