//! Short-lived threads for jobs whose ends go to the control thread.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::thread;

use crossbeam::channel::Sender;

use super::Event;

/// Stack of a job's thread, bytes.
const STACK_BYTES: usize = 256 * 1024;

/// A job; its end is an event.
type Job = Box<dyn FnOnce() -> Event + Send>;

/// Starts jobs on threads of their own. A job that gets no thread now waits
/// for the next start: none is lost, since a lost order could never be settled.
pub(super) struct Workers {
    events: Sender<Event>,
    backlog: VecDeque<Job>,
}

impl Workers {
    /// Workers that report to `events`.
    pub fn new(events: Sender<Event>) -> Self {
        Workers {
            events,
            backlog: VecDeque::new(),
        }
    }

    /// Adds a job; [`Workers::start`] runs it.
    pub fn add(&mut self, job: impl FnOnce() -> Event + Send + 'static) {
        self.backlog.push_back(Box::new(job));
    }

    /// Starts all jobs for which there is a thread.
    pub fn start(&mut self) {
        while let Some(job) = self.backlog.pop_front() {
            if let Some(job) = self.launch(job) {
                self.backlog.push_front(job);
                return;
            }
        }
    }

    /// Starts a job; gives it back when the system refuses a thread.
    fn launch(&self, job: Job) -> Option<Job> {
        let slot = Arc::new(Mutex::new(Some(job)));
        let (job_slot, events) = (slot.clone(), self.events.clone());
        let run = move || {
            if let Some(job) = take_job(&job_slot) {
                let _ = events.send(job());
            }
        };
        let thread = thread::Builder::new().name("job".into());
        match thread.stack_size(STACK_BYTES).spawn(run) {
            Ok(_) => None,
            Err(e) => {
                log::error!("no thread for a job: {e}");
                take_job(&slot)
            }
        }
    }
}

fn take_job(slot: &Mutex<Option<Job>>) -> Option<Job> {
    slot.lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .take()
}
