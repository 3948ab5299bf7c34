//! State of one engine at the owner of its pool: pins, orders, reports and replicas.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::config::{self, Name};
use crate::outside::{EngineError, Report, Tier, Verb};
use crate::protocol::ownership::{
    EnginePins, EngineSpec, FencingToken, Grant, Ledger, OrderDenied, OrderOutcome, Recorded, Sent,
};

use super::replica::{Phase, Replica};

/// Poll period of an engine that has requests, changes its replicas or does not answer.
const BUSY_POLL_PERIOD: Duration = Duration::from_millis(200);
/// Poll period of any other engine.
const IDLE_POLL_PERIOD: Duration = Duration::from_secs(1);
/// Consecutive failed polls after which an engine counts as unreachable.
const FAILED_POLL_LIMIT: u32 = 2;
/// Pause in orders to an engine after an order failed.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(200);

/// State of one engine at the owner of its pool.
#[derive(Debug)]
pub struct OwnedEngine {
    /// Memory and fencing support of the engine.
    pub spec: EngineSpec,
    /// Pins recorded in the table.
    pub pins: EnginePins,
    /// Table version of the pin record; 0 when it does not exist.
    pub item_version: u64,
    /// Orders to the recorded instance; `None` until that instance has reported.
    pub ledger: Option<Ledger>,
    /// Last report.
    pub report: Report,
    /// Moment of the last report; `None` before the first.
    pub reported_at: Option<Moment>,
    /// Replicas by model.
    pub replicas: BTreeMap<Name, Replica>,
    /// Pin record that is being written; until the result is known, either record may be in the
    /// table.
    pub pending_pins: Option<EnginePins>,
    /// Whether a fence order is in flight.
    pub fence_sent: bool,
    /// Whether a fence order is needed because an order got no answer.
    pub fence_due: bool,
    /// Whether the platform lists the engine as leaving.
    pub listed_leaving: bool,
    /// Whether the engine is no longer configured.
    pub unconfigured: bool,
    /// Whether the platform has ever listed the engine.
    pub was_listed: bool,
    /// Whether the platform has removed the engine from its list and the engine does not answer.
    pub host_removed: bool,
    /// Moment before which no order is sent.
    pub paused_until: Moment,
    /// Whether the engine has reported the fencing token of a later owner.
    pub superseded: bool,
    epoch: u64,
    /// Moment at which the last order ended.
    order_ended: Moment,
    /// Moment at which the last accepted report was requested.
    requested_at: Option<Moment>,
    /// Moment by which the recorded instance was known; `None` until the step after its adoption.
    learned_at: Option<Moment>,
    /// Whether this owner adopted the recorded instance itself.
    self_adopted: bool,
    failed_polls: u32,
    last_poll: Option<Moment>,
}

impl OwnedEngine {
    /// Creates the state after a claim of the pool under `epoch`.
    pub fn new(
        engine: &config::Engine,
        epoch: u64,
        clean_handover: bool,
        pins: EnginePins,
        item_version: u64,
    ) -> Self {
        OwnedEngine {
            spec: EngineSpec {
                memory: engine.memory,
                fenced: engine.fenced,
            },
            pins: pins.inherit(clean_handover || engine.fenced),
            item_version,
            ledger: None,
            report: Report::default(),
            reported_at: None,
            replicas: BTreeMap::new(),
            pending_pins: None,
            fence_sent: false,
            fence_due: false,
            listed_leaving: false,
            unconfigured: false,
            was_listed: false,
            host_removed: false,
            paused_until: Moment::ZERO,
            superseded: false,
            epoch,
            order_ended: Moment::ZERO,
            requested_at: None,
            learned_at: None,
            self_adopted: false,
            failed_polls: 0,
            last_poll: None,
        }
    }

    /// Returns whether a poll is due at `now` and, if so, marks the engine as polled.
    pub fn take_due_poll(&mut self, now: Moment) -> bool {
        let changing = self.replicas.values().any(|r| !r.is_ready());
        let busy = self.report.running + self.report.waiting > 0;
        let period = match changing || busy || !self.is_reachable() || self.failed_polls > 0 {
            true => BUSY_POLL_PERIOD,
            false => IDLE_POLL_PERIOD,
        };
        let last = self.last_poll.unwrap_or_default();
        let due = self.last_poll.is_none() || now.saturating_sub(last) >= period;
        if due {
            self.last_poll = Some(now);
        }
        due
    }

    /// Returns whether a report requested after `moment` shows no request at the engine.
    pub fn was_idle_after(&self, moment: Moment) -> bool {
        let later = self
            .requested_at
            .is_some_and(|requested_at| requested_at > moment);
        later && self.report.running + self.report.waiting == 0
    }

    /// Makes the next poll due at once, after a request failed at the engine.
    pub fn poll_now(&mut self) {
        self.last_poll = None;
    }

    /// Returns whether the engine answers polls.
    pub fn is_reachable(&self) -> bool {
        self.reported_at.is_some() && self.failed_polls < FAILED_POLL_LIMIT
    }

    /// Returns whether the engine should get no new work.
    pub fn is_leaving(&self) -> bool {
        self.unconfigured || self.listed_leaving || self.report.leaving
    }

    /// Returns whether load and unload orders may be sent now.
    pub fn accepts_orders(&self, now: Moment) -> bool {
        let ready = self.ledger.as_ref().is_some_and(Ledger::is_ready);
        ready && self.is_reachable() && now >= self.paused_until
    }

    /// Returns whether the reported instance must still be recorded in the table.
    pub fn needs_adoption(&self) -> bool {
        self.reported_at.is_some()
            && self.report.instance != self.pins.instance
            && !self.is_writing()
    }

    /// Returns whether a write of the pin record is in flight.
    pub fn is_writing(&self) -> bool {
        self.pending_pins.is_some()
    }

    /// Returns the pins that may be in the table: those recorded and those being written.
    pub fn possible_pins(&self) -> EnginePins {
        match &self.pending_pins {
            Some(pending_pins) => self.pins.union(pending_pins),
            None => self.pins.clone(),
        }
    }

    /// Returns the pins that are in the table whether or not the write in flight succeeds.
    pub fn certain_pins(&self) -> EnginePins {
        match &self.pending_pins {
            Some(pending_pins) => self.pins.intersection(pending_pins),
            None => self.pins.clone(),
        }
    }

    /// Returns whether a pin of `model` is in the table whether or not the write in flight
    /// succeeds.
    pub fn is_pinned(&self, model: &str) -> bool {
        let pending_pins = self.pending_pins.as_ref();
        let in_pending = pending_pins.is_none_or(|p| p.pins.contains_key(model));
        in_pending && self.pins.pins.contains_key(model)
    }

    /// Records that the instance in the table was known by `now`, unless this is recorded already.
    pub fn set_learned_at(&mut self, now: Moment) {
        self.learned_at.get_or_insert(now);
    }

    /// Returns whether the report may come from an instance older than the recorded one.
    fn is_outdated(&self, report: &Report, requested_at: Moment) -> bool {
        let none_recorded = self.pins.instance.is_empty();
        let learned_at = self.learned_at.unwrap_or(Moment::MAX);
        let differs = report.instance != self.pins.instance;
        differs
            && !none_recorded
            && !self
                .pins
                .proves_restart(learned_at, &report.instance, requested_at)
    }

    /// Returns the memory that is neither used nor reserved for a planned load, in MB.
    pub fn free_memory(&self) -> u64 {
        let Some(ledger) = &self.ledger else {
            return 0;
        };
        let planned: u64 = self
            .replicas
            .iter()
            .filter(|(model, r)| r.is_reserved() && !ledger.is_resident(model))
            .map(|(_, r)| r.memory)
            .sum();
        self.spec
            .memory
            .saturating_sub(self.used_memory() + planned)
    }

    /// Returns the used memory in MB. It is 0 for an engine that ignores fencing tokens: its pins
    /// are limited to its memory, so everything pinned there fits at the same time.
    fn used_memory(&self) -> u64 {
        match &self.ledger {
            Some(ledger) if self.spec.fenced => ledger.memory(),
            _ => 0,
        }
    }

    /// Returns the tier that the engine would load the weights of `model` from.
    pub fn tier(&self, model: &str) -> Tier {
        let cached = self.report.cached.iter().find(|(m, _)| &**m == model);
        cached.map_or(Tier::Remote, |(_, tier)| *tier)
    }

    /// Records a report requested at `requested_at` and returns whether the set of replicas may
    /// have changed.
    ///
    /// Answers to concurrent polls may arrive out of order; a report requested earlier than the
    /// last accepted one is ignored.
    pub fn record_report(&mut self, report: Report, requested_at: Moment, now: Moment) -> bool {
        if self.requested_at.is_some_and(|last| requested_at < last)
            || self.is_outdated(&report, requested_at)
        {
            return false;
        }
        self.requested_at = Some(requested_at);
        self.failed_polls = 0;
        self.reported_at = Some(now);
        let restarted = report.instance != self.report.instance;
        let behind = requested_at < self.order_ended || report.orders < self.report.orders;
        let stale = behind && !restarted;
        self.report = report;
        if self.report.instance != self.pins.instance {
            self.ledger = None;
            let had_replicas = !self.replicas.is_empty();
            self.replicas.clear();
            return had_replicas;
        }
        if self.ledger.is_none() {
            self.create_ledger();
        }
        if stale {
            return false;
        }
        self.sync_replicas(now)
    }

    /// Starts a new ledger after the reported instance has been written to the table.
    pub fn finish_adoption(&mut self) {
        self.self_adopted = true;
        self.learned_at = None;
        self.ledger = None;
        if self.report.instance == self.pins.instance {
            self.create_ledger();
        }
    }

    fn create_ledger(&mut self) {
        self.ledger = Some(match self.self_adopted {
            true => Ledger::for_adopted(self.spec, self.epoch, &self.pins),
            false => Ledger::new(self.spec, self.epoch, &self.pins),
        });
    }

    /// Records a failed poll and returns whether the engine has become unreachable by it.
    pub fn record_failed_poll(&mut self) -> bool {
        self.failed_polls += 1;
        if self.failed_polls != FAILED_POLL_LIMIT {
            return false;
        }
        for replica in self.replicas.values_mut() {
            // The replica still occupies memory, so it is kept; it only gets no requests.
            log::debug!(
                "keeping a replica in phase {:?} of an unreachable engine",
                replica.phase
            );
        }
        true
    }

    /// Adds and removes replicas to match the last report and returns whether any changed.
    fn sync_replicas(&mut self, now: Moment) -> bool {
        let mut changed = false;
        for resident in &self.report.residents {
            if !resident.ready || self.replicas.contains_key(&resident.model) {
                continue;
            }
            let replica = Replica::resident(&resident.version, resident.memory, now);
            self.replicas.insert(resident.model.clone(), replica);
            changed = true;
        }
        let residents = &self.report.residents;
        self.replicas.retain(|model, replica| {
            let resident = residents.iter().any(|r| r.ready && r.model == *model);
            let keep = resident || replica.is_pending() || replica.phase == Phase::Unloading;
            changed |= !keep;
            keep
        });
        changed
    }

    /// Returns a grant to raise the fencing token if that is due.
    pub fn grant_fence(&mut self) -> Option<Grant<Recorded>> {
        let ledger = self.ledger.as_mut()?;
        let due = self.fence_due || !ledger.is_ready();
        if !due || self.fence_sent || !self.spec.fenced {
            return None;
        }
        let grant = ledger.fence().ok()?;
        self.fence_sent = true;
        self.fence_due = false;
        Some(grant)
    }

    /// Returns a grant to load `model`.
    ///
    /// # Errors
    ///
    /// Why the order may not be sent now.
    pub fn grant_load(&mut self, model: &Name) -> Result<Grant<Recorded>, OrderDenied> {
        let certain = self.certain_pins();
        let ledger = self.ledger.as_mut().ok_or(OrderDenied::Closed)?;
        if self
            .pending_pins
            .as_ref()
            .is_some_and(|p| !p.pins.contains_key(model))
        {
            return Err(OrderDenied::NoPin(model.clone()));
        }
        ledger.load(&certain, model)
    }

    /// Returns a grant to unload `model`.
    ///
    /// # Errors
    ///
    /// Why the order may not be sent now.
    pub fn grant_unload(&mut self, model: &Name) -> Result<Grant<Recorded>, OrderDenied> {
        let ledger = self.ledger.as_mut().ok_or(OrderDenied::Closed)?;
        ledger.unload(model)
    }

    /// Records the result of an order.
    pub fn finish_order(
        &mut self,
        grant: Grant<Sent>,
        result: Result<Report, EngineError>,
        now: Moment,
    ) {
        self.order_ended = now;
        if grant.verb == Verb::Fence {
            self.fence_sent = false;
        }
        let outcome = self.order_outcome(&result);
        let verb = grant.verb;
        let model = grant.model.clone();
        let same = self.ledger.as_ref().map(Ledger::instance) == Some(&grant.instance);
        if let Some(ledger) = self.ledger.as_mut().filter(|_| same) {
            grant.settle(ledger, outcome.clone());
        }
        if !matches!(outcome, OrderOutcome::Done(_)) {
            self.paused_until = now + ORDER_RETRY_DELAY;
        }
        if outcome == OrderOutcome::Lost {
            self.fence_due = true;
        }
        if let Ok(report) = result
            && report.instance == self.report.instance
        {
            self.record_report(report, now, now);
        }
        self.apply_outcome(verb, &model, &outcome, now);
    }

    /// Classifies the engine's answer to an order.
    fn order_outcome(&mut self, result: &Result<Report, EngineError>) -> OrderOutcome {
        match result {
            Ok(report) => OrderOutcome::from_report(report),
            Err(EngineError::Unreachable(_)) => OrderOutcome::Unsent,
            Err(EngineError::Fenced { current }) => {
                let current = FencingToken(*current);
                // A token of the same epoch belongs to a later order of this owner.
                self.superseded |= current.epoch() > self.epoch;
                OrderOutcome::Fenced { current }
            }
            Err(EngineError::Restarted { .. }) => OrderOutcome::Restarted,
            Err(
                EngineError::ConnectionLost(_)
                | EngineError::TimedOut(_)
                | EngineError::Status { .. },
            ) => OrderOutcome::Lost,
        }
    }

    /// Updates the replica that an order was for.
    fn apply_outcome(&mut self, verb: Verb, model: &Name, outcome: &OrderOutcome, now: Moment) {
        let Some(replica) = self.replicas.get_mut(model) else {
            return;
        };
        let residents = &self.report.residents;
        let resident = residents.iter().any(|r| r.ready && r.model == *model);
        match (verb, outcome) {
            (Verb::Load, OrderOutcome::Done(_)) if resident => {
                replica.idle_since = now;
                replica.set_phase(Phase::Ready, now);
            }
            (Verb::Unload, OrderOutcome::Unsent) => {
                replica.set_phase(Phase::Draining { seq: 0 }, now);
            }
            (Verb::Load | Verb::Unload, _) => {
                self.replicas.remove(model);
            }
            (Verb::Fence, _) => {}
        }
    }
}
