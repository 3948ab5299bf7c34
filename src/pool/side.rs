//! The owner's side of one engine: pins, orders, reports and replicas.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::config::{self, Name};
use crate::outside::{EngineError, Report, Tier, Verb};
use crate::protocol::ownership::{
    EnginePins, EngineSpec, FencingToken, Grant, Ledger, OrderDenied, OrderOutcome, Recorded, Sent,
};

use super::replica::{Phase, Replica};

/// Period at which an engine is polled that works, changes or does not answer.
const POLL_BUSY: Duration = Duration::from_millis(200);
/// Period at which any other engine is polled.
const POLL_IDLE: Duration = Duration::from_secs(1);
/// Failed polls after which an engine counts as unreachable.
const MISSES: u32 = 2;
/// Pause after an order that could not be sent.
const PAUSE: Duration = Duration::from_millis(200);

/// The owner's side of one engine.
#[derive(Debug)]
pub struct Side {
    /// What the engine has.
    pub room: EngineSpec,
    /// Pins as recorded in the table.
    pub pins: EnginePins,
    /// Version of the pin item; 0 when it is absent.
    pub item: u64,
    /// Orders to the recorded instance, once it was heard from.
    pub ledger: Option<Ledger>,
    /// Last report.
    pub report: Report,
    /// Moment of the last report; `None` before the first.
    pub heard: Option<Moment>,
    /// Replicas by model.
    pub replicas: BTreeMap<Name, Replica>,
    /// Pin record that is being written; until its end is known both records
    /// may stand in the table.
    pub pending: Option<EnginePins>,
    /// A fence is under way.
    pub fencing: bool,
    /// An unanswered order must be settled by a fence.
    pub refence: bool,
    /// The platform lists the engine as leaving.
    pub listed_leaving: bool,
    /// The engine is no longer configured.
    pub retired: bool,
    /// The platform has listed the engine.
    pub listed: bool,
    /// The platform no longer lists the engine, and it does not answer.
    pub gone: bool,
    /// No orders before this moment.
    pub paused: Moment,
    /// The engine has a token of a later owner.
    pub superseded: bool,
    epoch: u64,
    ordered: Moment,
    asked: Option<Moment>,
    /// When the recorded instance was learnt; `None` until the next step.
    known: Option<Moment>,
    /// This owner adopted the recorded instance itself.
    adopted: bool,
    misses: u32,
    polled: Option<Moment>,
}

impl Side {
    /// The side of an owner that has just claimed the pool under `epoch`.
    pub fn new(
        engine: &config::Engine,
        epoch: u64,
        clean: bool,
        pins: EnginePins,
        item: u64,
    ) -> Self {
        Side {
            room: EngineSpec {
                memory: engine.memory,
                fenced: engine.fenced,
            },
            pins: pins.inherit(clean || engine.fenced),
            item,
            ledger: None,
            report: Report::default(),
            heard: None,
            replicas: BTreeMap::new(),
            pending: None,
            fencing: false,
            refence: false,
            listed_leaving: false,
            retired: false,
            listed: false,
            gone: false,
            paused: Moment::ZERO,
            superseded: false,
            epoch,
            ordered: Moment::ZERO,
            asked: None,
            known: None,
            adopted: false,
            misses: 0,
            polled: None,
        }
    }

    /// Whether the engine is to be polled at `now`; it then counts as polled.
    pub fn poll_due(&mut self, now: Moment) -> bool {
        let moving = self.replicas.values().any(|r| !r.ready());
        let busy = self.report.running + self.report.waiting > 0;
        let period = match moving || busy || !self.reachable() || self.misses > 0 {
            true => POLL_BUSY,
            false => POLL_IDLE,
        };
        let last = self.polled.unwrap_or_default();
        let due = self.polled.is_none() || now.saturating_sub(last) >= period;
        if due {
            self.polled = Some(now);
        }
        due
    }

    /// Whether a report that was asked for after `moment` names no request.
    pub fn idle_after(&self, moment: Moment) -> bool {
        let later = self.asked.is_some_and(|asked| asked > moment);
        later && self.report.running + self.report.waiting == 0
    }

    /// Has the engine polled at once: a request failed there.
    pub fn suspect(&mut self) {
        self.polled = None;
    }

    /// Whether the engine answers.
    pub fn reachable(&self) -> bool {
        self.heard.is_some() && self.misses < MISSES
    }

    /// Whether the engine should get no new work.
    pub fn leaving(&self) -> bool {
        self.retired || self.listed_leaving || self.report.leaving
    }

    /// Whether loads and unloads may be ordered now.
    pub fn open(&self, now: Moment) -> bool {
        let raised = self.ledger.as_ref().is_some_and(Ledger::is_ready);
        raised && self.reachable() && now >= self.paused
    }

    /// Whether the report names an instance that is not the recorded one.
    pub fn must_adopt(&self) -> bool {
        self.heard.is_some() && self.report.instance != self.pins.instance && !self.writing()
    }

    /// Whether a write of the pin item is under way.
    pub fn writing(&self) -> bool {
        self.pending.is_some()
    }

    /// Pins that may stand in the table: those recorded and those being written.
    pub fn possible(&self) -> EnginePins {
        match &self.pending {
            Some(pending) => self.pins.union(pending),
            None => self.pins.clone(),
        }
    }

    /// Pins that surely stand in the table, whatever becomes of the write.
    pub fn loadable(&self) -> EnginePins {
        match &self.pending {
            Some(pending) => self.pins.intersection(pending),
            None => self.pins.clone(),
        }
    }

    /// Whether a pin of `model` surely stands in the table.
    pub fn pinned(&self, model: &str) -> bool {
        let pending = self.pending.as_ref();
        let stays = pending.is_none_or(|p| p.pins.contains_key(model));
        stays && self.pins.pins.contains_key(model)
    }

    /// Notes that the recorded instance was learnt before `now`.
    pub fn learnt(&mut self, now: Moment) {
        self.known.get_or_insert(now);
    }

    /// Whether the report may come from an instance before the recorded one.
    fn outdated(&self, report: &Report, asked: Moment) -> bool {
        let first = self.pins.instance.is_empty();
        let known = self.known.unwrap_or(Moment::MAX);
        let other = report.instance != self.pins.instance;
        other && !first && !self.pins.proves_restart(known, &report.instance, asked)
    }

    /// Memory that nothing holds and nothing is planned for, MB.
    pub fn free(&self) -> u64 {
        let Some(ledger) = &self.ledger else {
            return 0;
        };
        let planned: u64 = self
            .replicas
            .iter()
            .filter(|(model, r)| r.reserved() && !ledger.is_resident(model))
            .map(|(_, r)| r.memory)
            .sum();
        self.room.memory.saturating_sub(self.held() + planned)
    }

    /// Memory that counts as used, MB. Pins of an engine that ignores tokens
    /// fit together, so there only what is in use counts.
    fn held(&self) -> u64 {
        match &self.ledger {
            Some(ledger) if self.room.fenced => ledger.memory(),
            _ => 0,
        }
    }

    /// Where the weights of `model` are cached.
    pub fn tier(&self, model: &str) -> Tier {
        let cached = self.report.cached.iter().find(|(m, _)| &**m == model);
        cached.map_or(Tier::Remote, |(_, tier)| *tier)
    }

    /// Takes a report that was asked for at `asked`; answers whether the set
    /// of replicas may have changed.
    ///
    /// Answers of several polls may cross; an older one changes nothing.
    pub fn reported(&mut self, report: Report, asked: Moment, now: Moment) -> bool {
        if self.asked.is_some_and(|last| asked < last) || self.outdated(&report, asked) {
            return false;
        }
        self.asked = Some(asked);
        self.misses = 0;
        self.heard = Some(now);
        let restarted = report.instance != self.report.instance;
        let behind = asked < self.ordered || report.orders < self.report.orders;
        let stale = behind && !restarted;
        self.report = report;
        if self.report.instance != self.pins.instance {
            self.ledger = None;
            let had = !self.replicas.is_empty();
            self.replicas.clear();
            return had;
        }
        if self.ledger.is_none() {
            self.open_ledger();
        }
        if stale {
            return false;
        }
        self.sync(now)
    }

    /// Takes note of the instance that the pins are now recorded for.
    pub fn adopted(&mut self) {
        self.adopted = true;
        self.known = None;
        self.ledger = None;
        if self.report.instance == self.pins.instance {
            self.open_ledger();
        }
    }

    fn open_ledger(&mut self) {
        self.ledger = Some(match self.adopted {
            true => Ledger::for_adopted(self.room, self.epoch, &self.pins),
            false => Ledger::new(self.room, self.epoch, &self.pins),
        });
    }

    /// Takes note that a poll failed; answers whether the engine was just lost.
    pub fn missed(&mut self) -> bool {
        self.misses += 1;
        if self.misses != MISSES {
            return false;
        }
        for replica in self.replicas.values_mut() {
            // What is loaded stays counted; it just takes no work.
            log::debug!("unreachable engine keeps a replica in {:?}", replica.phase);
        }
        true
    }

    /// Brings the replicas in line with the report.
    fn sync(&mut self, now: Moment) -> bool {
        let mut changed = false;
        for resident in &self.report.residents {
            if !resident.ready || self.replicas.contains_key(&resident.model) {
                continue;
            }
            let replica = Replica::found(&resident.version, resident.memory, now);
            self.replicas.insert(resident.model.clone(), replica);
            changed = true;
        }
        let residents = &self.report.residents;
        self.replicas.retain(|model, replica| {
            let there = residents.iter().any(|r| r.ready && r.model == *model);
            let keep = there || replica.coming() || replica.phase == Phase::Unloading;
            changed |= !keep;
            keep
        });
        changed
    }

    /// A grant to raise the fencing token, where one is due.
    pub fn fence(&mut self) -> Option<Grant<Recorded>> {
        let ledger = self.ledger.as_mut()?;
        let due = self.refence || !ledger.is_ready();
        if !due || self.fencing || !self.room.fenced {
            return None;
        }
        let grant = ledger.fence().ok()?;
        self.fencing = true;
        self.refence = false;
        Some(grant)
    }

    /// A grant to load `model`.
    ///
    /// # Errors
    ///
    /// Why the order may not be sent now.
    pub fn load(&mut self, model: &Name) -> Result<Grant<Recorded>, OrderDenied> {
        let loadable = self.loadable();
        let ledger = self.ledger.as_mut().ok_or(OrderDenied::Closed)?;
        if self
            .pending
            .as_ref()
            .is_some_and(|p| !p.pins.contains_key(model))
        {
            return Err(OrderDenied::NoPin(model.clone()));
        }
        ledger.load(&loadable, model)
    }

    /// A grant to unload `model`.
    ///
    /// # Errors
    ///
    /// Why the order may not be sent now.
    pub fn unload(&mut self, model: &Name) -> Result<Grant<Recorded>, OrderDenied> {
        let ledger = self.ledger.as_mut().ok_or(OrderDenied::Closed)?;
        ledger.unload(model)
    }

    /// Takes the end of an order.
    pub fn ended(&mut self, grant: Grant<Sent>, result: Result<Report, EngineError>, now: Moment) {
        self.ordered = now;
        if grant.verb == Verb::Fence {
            self.fencing = false;
        }
        let end = self.end_of(&result);
        let verb = grant.verb;
        let model = grant.model.clone();
        let same = self.ledger.as_ref().map(Ledger::instance) == Some(&grant.instance);
        if let Some(ledger) = self.ledger.as_mut().filter(|_| same) {
            grant.settle(ledger, end.clone());
        }
        if !matches!(end, OrderOutcome::Done(_)) {
            self.paused = now + PAUSE;
        }
        if end == OrderOutcome::Lost {
            self.refence = true;
        }
        if let Ok(report) = result
            && report.instance == self.report.instance
        {
            self.reported(report, now, now);
        }
        self.settle_replica(verb, &model, &end, now);
    }

    /// What the engine's answer says about the order.
    fn end_of(&mut self, result: &Result<Report, EngineError>) -> OrderOutcome {
        match result {
            Ok(report) => OrderOutcome::from_report(report),
            Err(EngineError::Unreached(_)) => OrderOutcome::Unsent,
            Err(EngineError::Fenced { current }) => {
                let current = FencingToken(*current);
                // A token of this epoch is a later order of this owner.
                self.superseded |= current.epoch() > self.epoch;
                OrderOutcome::Fenced { current }
            }
            Err(EngineError::Restarted { .. }) => OrderOutcome::Restarted,
            Err(EngineError::Broken(_) | EngineError::Silent(_) | EngineError::Status { .. }) => {
                OrderOutcome::Lost
            }
        }
    }

    fn settle_replica(&mut self, verb: Verb, model: &Name, end: &OrderOutcome, now: Moment) {
        let Some(replica) = self.replicas.get_mut(model) else {
            return;
        };
        let residents = &self.report.residents;
        let there = residents.iter().any(|r| r.ready && r.model == *model);
        match (verb, end) {
            (Verb::Load, OrderOutcome::Done(_)) if there => {
                replica.idle = now;
                replica.enter(Phase::Ready, now);
            }
            (Verb::Unload, OrderOutcome::Unsent) => {
                replica.enter(Phase::Draining { seq: 0 }, now);
            }
            (Verb::Load | Verb::Unload, _) => {
                self.replicas.remove(model);
            }
            (Verb::Fence, _) => {}
        }
    }
}
