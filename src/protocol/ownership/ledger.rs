//! Orders of one owner to one engine instance and the models they load there.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    EnginePins, EngineSpec, FencingToken, Grant, OrderDenied, OrderOutcome, Recorded,
    ResidentModels,
};
use crate::config::Name;
use crate::outside::Verb;

/// Order without an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingOrder {
    /// Model; empty for a fence.
    model: Name,
    /// What the order does.
    verb: Verb,
    /// Memory of the model, MB.
    memory: u64,
    /// Whether waiting for the answer has ended without one.
    lost: bool,
}

/// Orders of one owner to one engine instance, with the models that count as
/// loaded there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    spec: EngineSpec,
    epoch: u64,
    instance: Name,
    /// Sequence number of the last order.
    seq: u64,
    /// Token of the latest order that a fenced engine has confirmed.
    accepted: FencingToken,
    pending: BTreeMap<FencingToken, PendingOrder>,
    /// Models that count as loaded, apart from those of pending loads.
    loaded: ResidentModels,
    /// Models under whose pin an order that is no longer pending may still take
    /// effect.
    doubts: BTreeSet<Name>,
    /// Whether no more orders may be sent; see [`Ledger::is_closed`].
    closed: bool,
}

impl Ledger {
    /// Returns the ledger of an owner that has just read `pins` under `epoch`,
    /// where `pins` went through [`EnginePins::inherit`] or
    /// [`EnginePins::adopt`]. Every pinned model counts as loaded until an
    /// answer of the engine shows otherwise.
    pub fn new(spec: EngineSpec, epoch: u64, pins: &EnginePins) -> Ledger {
        let mut loaded = ResidentModels::new();
        let mut doubts = BTreeSet::new();
        for (model, pin) in &pins.pins {
            loaded.insert(model.clone(), pin.memory);
            if pin.doubt {
                doubts.insert(model.clone());
            }
        }
        Ledger {
            spec,
            epoch,
            instance: pins.instance.clone(),
            seq: 0,
            accepted: FencingToken::default(),
            pending: BTreeMap::new(),
            loaded,
            doubts,
            closed: false,
        }
    }

    /// Returns the ledger for a new instance after `pins` came from
    /// [`EnginePins::adopt`] and were committed. Nothing is loaded there, and
    /// answers to orders for the old instance are ignored.
    pub fn renew(&self, pins: &EnginePins) -> Ledger {
        Ledger {
            seq: self.seq,
            ..Ledger::for_adopted(self.spec, self.epoch, pins)
        }
    }

    /// Returns the ledger of an owner that has adopted the instance of `pins`
    /// itself: no order has been sent there, and nothing is loaded.
    pub fn for_adopted(spec: EngineSpec, epoch: u64, pins: &EnginePins) -> Ledger {
        Ledger {
            loaded: ResidentModels::new(),
            ..Ledger::new(spec, epoch, pins)
        }
    }

    /// Returns the instance that the orders address.
    pub fn instance(&self) -> &Name {
        &self.instance
    }

    /// Returns whether the engine is ready for loads and unloads: it ignores
    /// tokens, or it has accepted an order of this owner.
    pub fn is_ready(&self) -> bool {
        !self.spec.fenced || self.accepted > FencingToken::default()
    }

    /// Returns the memory that counts as used, MB: of models that are loaded,
    /// loading or in doubt.
    pub fn memory(&self) -> u64 {
        self.resident_models().values().sum()
    }

    fn resident_models(&self) -> ResidentModels {
        let mut resident = self.loaded.clone();
        for order in self.pending.values() {
            if order.verb == Verb::Load {
                resident.insert(order.model.clone(), order.memory);
            }
        }
        resident
    }

    /// Returns whether the model counts as loaded or loading.
    pub fn is_resident(&self, model: &str) -> bool {
        self.loaded.contains_key(model) || self.pending_for(model).next().is_some()
    }

    /// Returns whether the model is certainly not loaded and no order can
    /// still load it.
    pub fn is_unloaded(&self, model: &str) -> bool {
        self.is_ready() && !self.is_resident(model) && !self.doubts.contains(model)
    }

    /// Returns whether an order under the pin of `model` may take effect
    /// without an answer to this owner.
    pub fn in_doubt(&self, model: &str) -> bool {
        self.doubts.contains(model) || self.pending_for(model).any(|o| o.lost)
    }

    /// Returns whether the recorded instance has ended or the engine has
    /// accepted the token of a later owner. This owner then reads the records
    /// again and starts a new ledger.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Returns whether no order is in flight, so that a handover may be
    /// written.
    pub fn is_idle(&self) -> bool {
        self.pending.values().all(|o| o.lost)
    }

    /// Returns `pins` with the doubts of this ledger, as written at a handover.
    pub fn with_doubts(&self, pins: &EnginePins) -> EnginePins {
        let mut next = pins.clone();
        for (model, pin) in &mut next.pins {
            pin.doubt = self.in_doubt(model);
        }
        next
    }

    /// Grants a fence, which raises the engine's token and returns its resident
    /// models.
    pub fn fence(&mut self) -> Result<Grant<Recorded>, OrderDenied> {
        let order = PendingOrder {
            model: "".into(),
            verb: Verb::Fence,
            memory: 0,
            lost: false,
        };
        self.grant(order)
    }

    /// Grants a load of a model under its recorded pin.
    pub fn load(
        &mut self,
        pins: &EnginePins,
        model: &Name,
    ) -> Result<Grant<Recorded>, OrderDenied> {
        let Some(pin) = pins.pins.get(model) else {
            return Err(OrderDenied::NoPin(model.clone()));
        };
        self.check_ready(model)?;
        let mut others = self.resident_models();
        others.remove(model);
        let used = others.values().sum();
        let left = self.spec.memory.saturating_sub(used);
        if self.spec.fenced && pin.memory > left {
            return Err(OrderDenied::Memory {
                model: model.clone(),
                memory: pin.memory,
                left,
            });
        }
        self.grant(PendingOrder {
            model: model.clone(),
            verb: Verb::Load,
            memory: pin.memory,
            lost: false,
        })
    }

    /// Grants an unload of a model.
    pub fn unload(&mut self, model: &Name) -> Result<Grant<Recorded>, OrderDenied> {
        self.check_ready(model)?;
        self.grant(PendingOrder {
            model: model.clone(),
            verb: Verb::Unload,
            memory: 0,
            lost: false,
        })
    }

    fn check_ready(&self, model: &Name) -> Result<(), OrderDenied> {
        if !self.is_ready() {
            return Err(OrderDenied::NotFenced(self.epoch));
        }
        if self.pending_for(model).any(|o| !o.lost) {
            return Err(OrderDenied::InFlight(model.clone()));
        }
        Ok(())
    }

    fn grant(&mut self, order: PendingOrder) -> Result<Grant<Recorded>, OrderDenied> {
        if self.closed {
            return Err(OrderDenied::Closed);
        }
        let Some(token) = FencingToken::new(self.epoch, self.seq + 1) else {
            return Err(OrderDenied::Exhausted(self.epoch));
        };
        self.seq += 1;
        let instance = self.instance.clone();
        let grant = Grant::new(token, order.verb, order.model.clone(), instance);
        self.pending.insert(token, order);
        Ok(grant)
    }

    /// Records the outcome of the order `token`; ignores orders that a later
    /// answer has already settled.
    pub fn settle(&mut self, token: FencingToken, outcome: OrderOutcome) {
        if !self.pending.contains_key(&token) {
            return;
        }
        match outcome {
            OrderOutcome::Unsent => {
                self.pending.remove(&token);
            }
            OrderOutcome::Fenced { current } => {
                self.pending.remove(&token);
                self.closed |= current.epoch() > self.epoch;
            }
            OrderOutcome::Restarted => {
                self.pending.remove(&token);
                self.closed = true;
            }
            OrderOutcome::Lost => self.record_lost(token),
            OrderOutcome::Done(models) if self.spec.fenced => self.record_fenced(token, models),
            OrderOutcome::Done(models) => self.record_done(token, &models),
        }
    }

    /// Settles all orders up to `token`: the engine refuses every earlier order
    /// from now on, and `models` includes all that earlier ones load.
    fn record_fenced(&mut self, token: FencingToken, models: ResidentModels) {
        self.accepted = token;
        self.pending.retain(|t, _| *t > token);
        self.loaded = models;
        self.doubts.clear();
    }

    fn record_done(&mut self, token: FencingToken, models: &ResidentModels) {
        let Some(order) = self.pending.remove(&token) else {
            return;
        };
        match models.get(&order.model) {
            Some(memory) => self.loaded.insert(order.model, *memory),
            None => self.loaded.remove(&order.model),
        };
    }

    fn record_lost(&mut self, token: FencingToken) {
        if self.spec.fenced {
            self.pending.entry(token).and_modify(|o| o.lost = true);
            return;
        }
        let Some(order) = self.pending.remove(&token) else {
            return;
        };
        if order.verb == Verb::Load {
            self.loaded.insert(order.model.clone(), order.memory);
        }
        self.doubts.insert(order.model);
    }

    fn pending_for<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a PendingOrder> {
        self.pending
            .values()
            .filter(move |o| o.model.as_ref() == model)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ledger(fenced: bool) -> (Ledger, EnginePins) {
        let spec = EngineSpec { memory: 10, fenced };
        let pins = EnginePins::default().adopt(&"i1".into());
        let ledger = Ledger::new(spec, 1, &pins);
        (
            ledger,
            pins.with_pin(&"a".into(), 6, 1).with_pin(&"b".into(), 6, 1),
        )
    }

    #[test]
    fn lost_load_uses_memory_until_a_later_order_is_answered() {
        let (mut ledger, pins) = ledger(true);
        assert_eq!(
            ledger.load(&pins, &"a".into()).unwrap_err(),
            OrderDenied::NotFenced(1)
        );
        let fence = ledger.fence().unwrap().send();
        fence.settle(&mut ledger, OrderOutcome::Done(ResidentModels::new()));
        let load = ledger.load(&pins, &"a".into()).unwrap().send();
        load.settle(&mut ledger, OrderOutcome::Lost);
        assert!(ledger.load(&pins, &"b".into()).is_err());
        let fence = ledger.fence().unwrap().send();
        fence.settle(&mut ledger, OrderOutcome::Done(ResidentModels::new()));
        assert!(ledger.is_unloaded("a"));
        assert!(ledger.load(&pins, &"b".into()).is_ok());
    }

    #[test]
    fn lost_load_stays_in_doubt_at_an_engine_that_ignores_tokens() {
        let (mut ledger, pins) = ledger(false);
        let load = ledger.load(&pins, &"a".into()).unwrap().send();
        load.settle(&mut ledger, OrderOutcome::Lost);
        let unload = ledger.unload(&"a".into()).unwrap().send();
        unload.settle(&mut ledger, OrderOutcome::Done(ResidentModels::new()));
        assert!(!ledger.is_unloaded("a"));
        assert!(ledger.with_doubts(&pins).pins["a"].doubt);
        assert!(ledger.is_unloaded("b"));
    }
}
