//! The control thread as traffic threads see it.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam::channel::{Receiver, Sender, bounded};
use serde_json::{Value, json};

use crate::clock::Clock;
use crate::config::{Config, Name};
use crate::error::{Kind, Refusal};
use crate::operators::keys::hash;
use crate::router::{Need, Slot};
use crate::suspects::{Fingerprint, InFlightRequests, RunPolicy, Suspects};

use super::event::Want;
use super::{Event, View};

/// Wait that a refusal names where nothing better is known.
const COME_BACK: Duration = Duration::from_secs(1);

/// A request that needs a replica.
#[derive(Clone, Debug)]
pub struct Wish {
    /// Ticket, unique over all hosts and restarts.
    pub id: Name,
    /// What it needs.
    pub need: Need,
    /// Fingerprint when the request is a suspect.
    pub suspect: Option<Name>,
}

/// The control thread as traffic threads see it.
#[derive(Clone)]
pub struct Desk {
    events: Sender<Event>,
    view: Arc<ArcSwap<View>>,
    suspects: Arc<Mutex<Suspects>>,
    flights: InFlightRequests,
    clock: Clock,
}

/// A request that an engine may be running; dropping it ends it.
pub struct Flight<'a> {
    desk: &'a Desk,
    print: Fingerprint,
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        if self.desk.flights.end(&self.print) {
            let _ = self.desk.events.send(Event::Landed(self.print.clone()));
        }
    }
}

impl Desk {
    /// A desk before the control thread that takes its events.
    pub fn new(
        events: Sender<Event>,
        view: Arc<ArcSwap<View>>,
        suspects: Arc<Mutex<Suspects>>,
        flights: InFlightRequests,
        clock: Clock,
    ) -> Self {
        Desk {
            events,
            view,
            suspects,
            flights,
            clock,
        }
    }

    /// How the next attempt of a request may run.
    pub fn attempt(&self, print: &Fingerprint) -> RunPolicy {
        self.lock().run_policy(print)
    }

    /// Begins to send a request to an engine.
    ///
    /// Its suspicion has to be looked at after this: a strike that comes later
    /// then waits for the end of the request.
    pub fn begin(&self, print: &Fingerprint) -> Flight<'_> {
        self.flights.begin(print);
        Flight {
            desk: self,
            print: print.clone(),
        }
    }

    /// Records, here and at all peers, that an engine instance died while it
    /// ran a request. The channel gets a word once no daemon runs the request
    /// any more, with all their strikes recorded here.
    pub fn strike(&self, print: &Fingerprint, model: &Name, instance: &Name) -> Receiver<()> {
        let now = self.clock.now();
        let strike = self.lock().report_crash(print, model, instance, now);
        let (settled, word) = bounded(1);
        let _ = self.events.send(Event::Struck { strike, settled });
        word
    }

    /// Takes back the strikes of a request that completed.
    pub fn clear(&self, print: &Fingerprint) {
        let strike = self.lock().release(print, self.clock.now());
        if let Some(strike) = strike {
            let _ = self.events.send(Event::Cleared(strike));
        }
    }

    /// Says that the trial of a suspect ended.
    pub fn trial_over(&self, ticket: &Name, model: &Name) {
        let _ = self.events.send(Event::TrialOver {
            ticket: ticket.clone(),
            model: model.clone(),
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Suspects> {
        self.suspects
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.view.load().config.clone()
    }

    /// The present view.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Whether a configuration is known.
    pub fn ready(&self) -> bool {
        self.view.load().version > 0
    }

    /// The caller to whom `key` belongs.
    pub fn caller(&self, key: &str) -> Option<Name> {
        let hash = hash(key);
        self.view.load().callers.get(hash.as_str()).cloned()
    }

    /// Waits for a replica until the deadline.
    ///
    /// # Errors
    ///
    /// The refusal of the pool's owner, or [`Kind::DeadlineExpired`].
    pub fn want(&self, wish: Wish) -> Result<Slot, Refusal> {
        let (reply, answers) = bounded(1);
        let deadline = self.clock.instant(wish.need.deadline);
        let detail = format!("{} was not loaded in time", wish.need.model);
        let id = wish.id.clone();
        let want = Want {
            id: wish.id,
            need: wish.need,
            suspect: wish.suspect,
            reply,
        };
        if self.events.send(Event::Want(want)).is_err() {
            return Err(Refusal::new(Kind::Draining, "the daemon stops").retry_after(COME_BACK));
        }
        if let Ok(answer) = answers.recv_deadline(deadline) {
            return answer;
        }
        let _ = self.events.send(Event::Cancel(id));
        Err(Refusal::new(Kind::DeadlineExpired, detail).retry_after(COME_BACK))
    }

    /// Runs `ask` on the control thread and waits for its answer.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when the control thread is gone or too slow.
    pub fn ask<T: Send + 'static>(
        &self,
        ask: impl FnOnce(&mut super::Control) -> T + Send + 'static,
    ) -> Result<T, Refusal> {
        /// Longest wait for the control thread.
        const PATIENCE: Duration = Duration::from_secs(5);
        let gone = |_| Refusal::new(Kind::Internal, "the control thread does not answer");
        let (reply, answers) = bounded(1);
        let call = Event::Call(Box::new(move |control| {
            let _ = reply.send(ask(control));
        }));
        if self.events.send(call).is_err() {
            return Err(gone(crossbeam::channel::RecvTimeoutError::Disconnected));
        }
        answers.recv_timeout(PATIENCE).map_err(gone)
    }

    /// Whether `host` runs under `incarnation`; `None` when that is not known:
    /// only a later incarnation shows that one has ended.
    pub fn runs(&self, host: &Name, incarnation: u64) -> Option<bool> {
        let known = *self.view.load().runs.get(host)?;
        match known.cmp(&incarnation) {
            std::cmp::Ordering::Less => None,
            std::cmp::Ordering::Equal => Some(true),
            std::cmp::Ordering::Greater => Some(false),
        }
    }

    /// Tells the control thread to leave.
    pub fn drain(&self) {
        let _ = self.events.send(Event::Drain);
    }

    /// Which hosts a caller should use, and for how long.
    ///
    /// # Errors
    ///
    /// [`Kind::NotReady`] when this daemon does not know it: it has no
    /// configuration, or was paused a moment ago.
    pub fn entry(&self, model: Option<&str>) -> Result<Value, Refusal> {
        let view = self.view.load();
        if view.entry.is_empty() || self.clock.now() > view.until {
            let refusal = Refusal::new(Kind::NotReady, "the hosts are not known now");
            return Err(refusal.retry_after(COME_BACK));
        }
        let hosts: Vec<Value> = view
            .entry
            .iter()
            .map(|e| json!({"host": e.host, "address": e.addr, "domain": e.domain}))
            .collect();
        Ok(json!({
            "model": model,
            "hosts": hosts,
            "keep_s": view.config.policy.entry_keep_s,
        }))
    }
}
