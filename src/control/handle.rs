//! Handle through which traffic threads use the control thread.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam::channel::{Receiver, Sender, bounded};
use serde_json::{Value, json};

use crate::clock::Clock;
use crate::config::{Config, Name};
use crate::error::{Kind, Refusal};
use crate::operators::keys::hash_key;
use crate::router::{RoutingRequest, Slot};
use crate::suspects::{Fingerprint, InFlightRequests, RequestFingerprints, RunDecision, Suspects};

use super::event::WaitingRequest;
use super::{ControlView, Event};

/// `Retry-After` of refusals for which no better estimate is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that needs a replica.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Ticket id, unique across all hosts and restarts.
    pub id: Name,
    /// What the request needs of a replica.
    pub routing: RoutingRequest,
    /// Fingerprint, if the request is suspected of crashing engines.
    pub suspect: Option<Name>,
}

/// Handle of the control thread for traffic threads.
#[derive(Clone)]
pub struct ControlHandle {
    events: Sender<Event>,
    view: Arc<ArcSwap<ControlView>>,
    suspects: Arc<Mutex<Suspects>>,
    in_flight: InFlightRequests,
    clock: Clock,
}

/// Marks a request that an engine may be running; dropping it ends the mark.
pub struct InFlightGuard<'a> {
    control: &'a ControlHandle,
    fingerprint: Fingerprint,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        if self.control.in_flight.end(&self.fingerprint) {
            let _ = self
                .control
                .events
                .send(Event::InFlightEnded(self.fingerprint.clone()));
        }
    }
}

impl ControlHandle {
    /// Returns a handle that sends to the control thread over `events`.
    pub fn new(
        events: Sender<Event>,
        view: Arc<ArcSwap<ControlView>>,
        suspects: Arc<Mutex<Suspects>>,
        in_flight: InFlightRequests,
        clock: Clock,
    ) -> Self {
        ControlHandle {
            events,
            view,
            suspects,
            in_flight,
            clock,
        }
    }

    /// Returns how the next attempt of a request may run.
    pub fn decide(&self, fingerprints: &RequestFingerprints) -> RunDecision {
        self.lock_suspects().decide(fingerprints, self.clock.now())
    }

    /// Marks a request as in flight before it is sent to an engine.
    ///
    /// The caller must check [`ControlHandle::decide`] after this call: a crash
    /// report that arrives later is then acknowledged only once the request ends.
    pub fn begin_in_flight(&self, fingerprint: &Fingerprint) -> InFlightGuard<'_> {
        self.in_flight.begin(fingerprint);
        InFlightGuard {
            control: self,
            fingerprint: fingerprint.clone(),
        }
    }

    /// Records, here and at all peers, that an engine instance crashed while it
    /// ran a request, as a trial of `trial` if it was one. The returned channel receives a value once no daemon runs
    /// the request any more and all their crash reports are recorded here.
    pub fn report_crash(
        &self,
        fingerprints: &RequestFingerprints,
        model: &Name,
        instance: &Name,
        trial: Option<&Fingerprint>,
    ) -> Receiver<()> {
        let now = self.clock.now();
        let trial = trial.map(|fingerprint| &**fingerprint);
        let (messages, report) =
            self.lock_suspects()
                .report_request_crash(fingerprints, model, instance, trial, now);
        for message in messages {
            let _ = self.events.send(Event::CrashReportShared(message));
        }
        let (settled, settled_receiver) = bounded(1);
        let _ = self.events.send(Event::CrashReported { report, settled });
        settled_receiver
    }

    /// Records that a request was given up at an instance that did not answer it.
    pub fn record_abandoned(
        &self,
        fingerprints: &RequestFingerprints,
        model: &Name,
        instance: &Name,
    ) {
        let now = self.clock.now();
        self.lock_suspects()
            .record_abandoned(fingerprints, model, instance, now);
    }

    /// Records that an engine has answered a request, and clears its crash reports.
    pub fn record_answered(&self, fingerprints: &RequestFingerprints) {
        let now = self.clock.now();
        let releases = self.lock_suspects().record_answered(fingerprints, now);
        for release in releases {
            let _ = self.events.send(Event::CrashReportShared(release));
        }
    }

    /// Tells the control thread that the trial of a suspect ended.
    pub fn end_trial(&self, ticket: &Name, model: &Name) {
        let _ = self.events.send(Event::TrialEnded {
            ticket: ticket.clone(),
            model: model.clone(),
        });
    }

    fn lock_suspects(&self) -> std::sync::MutexGuard<'_, Suspects> {
        self.suspects
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.view.load().config.clone()
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<ControlView> {
        self.view.load_full()
    }

    /// Returns whether a configuration is known.
    pub fn ready(&self) -> bool {
        self.view.load().version > 0
    }

    /// Returns the caller to whom `key` belongs.
    pub fn caller(&self, key: &str) -> Option<Name> {
        let hash = hash_key(key);
        self.view.load().callers.get(hash.as_str()).cloned()
    }

    /// Waits until the deadline for a slot on a replica.
    ///
    /// # Errors
    ///
    /// The refusal of the pool's owner, [`Kind::Draining`] when the control thread
    /// has stopped, or [`Kind::DeadlineExpired`].
    pub fn request_slot(&self, request: SlotRequest) -> Result<Slot, Refusal> {
        let (sender, results) = bounded(1);
        let deadline = self.clock.instant(request.routing.deadline);
        let detail = format!("{} was not loaded in time", request.routing.model);
        let id = request.id.clone();
        let waiting = WaitingRequest {
            id: request.id,
            routing: request.routing,
            suspect: request.suspect,
            sender,
        };
        if self.events.send(Event::RequestSlot(waiting)).is_err() {
            return Err(Refusal::new(Kind::Draining, "the daemon stops").retry_after(RETRY_AFTER));
        }
        if let Ok(result) = results.recv_deadline(deadline) {
            return result;
        }
        let _ = self.events.send(Event::CancelRequest(id));
        Err(Refusal::new(Kind::DeadlineExpired, detail).retry_after(RETRY_AFTER))
    }

    /// Runs a function on the control thread and waits for its result.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when the control thread has stopped or does not answer
    /// within 5 s.
    pub fn call<T: Send + 'static>(
        &self,
        run: impl FnOnce(&mut super::Control) -> T + Send + 'static,
    ) -> Result<T, Refusal> {
        /// Maximum wait for the control thread.
        const CALL_TIMEOUT: Duration = Duration::from_secs(5);
        let unavailable = |_| Refusal::new(Kind::Internal, "the control thread does not answer");
        let (sender, results) = bounded(1);
        let call = Event::Call(Box::new(move |control| {
            let _ = sender.send(run(control));
        }));
        if self.events.send(call).is_err() {
            return Err(unavailable(
                crossbeam::channel::RecvTimeoutError::Disconnected,
            ));
        }
        results.recv_timeout(CALL_TIMEOUT).map_err(unavailable)
    }

    /// Returns whether `host` still runs as `incarnation`, or `None` when that is
    /// unknown: only a later incarnation proves that an earlier one has ended.
    pub fn is_running(&self, host: &Name, incarnation: u64) -> Option<bool> {
        let known = *self.view.load().incarnations.get(host)?;
        match known.cmp(&incarnation) {
            std::cmp::Ordering::Less => None,
            std::cmp::Ordering::Equal => Some(true),
            std::cmp::Ordering::Greater => Some(false),
        }
    }

    /// Starts draining this daemon.
    pub fn drain(&self) {
        let _ = self.events.send(Event::Drain);
    }

    /// Returns the hosts that a caller should use and for how long it may keep
    /// them.
    ///
    /// # Errors
    ///
    /// [`Kind::NotReady`] when this daemon has no configuration or was paused
    /// shortly before.
    pub fn entry_hosts(&self, model: Option<&str>) -> Result<Value, Refusal> {
        let view = self.view.load();
        if view.entry_hosts.is_empty() || self.clock.now() > view.entry_until {
            let refusal = Refusal::new(Kind::NotReady, "the hosts are not known now");
            return Err(refusal.retry_after(RETRY_AFTER));
        }
        let hosts: Vec<Value> = view
            .entry_hosts
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
