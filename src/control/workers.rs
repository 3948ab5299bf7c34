//! Short-lived threads for jobs that report their result to the control thread.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::thread;

use crossbeam::channel::Sender;

use super::Event;

/// Stack size of a job thread, bytes.
const STACK_BYTES: usize = 256 * 1024;

/// A job; its result is an event.
type Job = Box<dyn FnOnce() -> Event + Send>;

/// Runs each job on its own thread. A job for which no thread can be created
/// waits for the next start; no job is dropped, since the outcome of a dropped
/// order would stay unknown forever.
pub(super) struct Workers {
    events: Sender<Event>,
    backlog: VecDeque<Job>,
}

impl Workers {
    /// Returns workers that send the results of jobs to `events`.
    pub fn new(events: Sender<Event>) -> Self {
        Workers {
            events,
            backlog: VecDeque::new(),
        }
    }

    /// Queues a job; [`Workers::start_jobs`] runs it.
    pub fn add(&mut self, job: impl FnOnce() -> Event + Send + 'static) {
        self.backlog.push_back(Box::new(job));
    }

    /// Starts queued jobs until a thread cannot be created.
    pub fn start_jobs(&mut self) {
        while let Some(job) = self.backlog.pop_front() {
            if let Some(job) = self.spawn(job) {
                self.backlog.push_front(job);
                return;
            }
        }
    }

    /// Starts a job; returns it when the operating system cannot create a thread.
    fn spawn(&self, job: Job) -> Option<Job> {
        let job_cell = Arc::new(Mutex::new(Some(job)));
        let (thread_cell, events) = (job_cell.clone(), self.events.clone());
        let run = move || {
            if let Some(job) = take_job(&thread_cell) {
                let _ = events.send(job());
            }
        };
        let thread = thread::Builder::new().name("job".into());
        match thread.stack_size(STACK_BYTES).spawn(run) {
            Ok(_) => None,
            Err(e) => {
                log::error!("cannot start a job thread: {e}");
                take_job(&job_cell)
            }
        }
    }
}

fn take_job(job_cell: &Mutex<Option<Job>>) -> Option<Job> {
    job_cell
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .take()
}
