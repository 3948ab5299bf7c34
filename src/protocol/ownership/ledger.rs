//! Orders of one owner to one engine instance, and what they leave there.

use std::collections::{BTreeMap, BTreeSet};

use super::{Denied, EnginePins, Grant, Index, OrderEnd, Recorded, Room, Token};
use crate::config::Name;
use crate::outside::Verb;

/// An order without an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Open {
    /// Model; empty for a fence.
    model: Name,
    /// What the order does.
    verb: Verb,
    /// Memory of the model, MB.
    memory: u64,
    /// The answer will not come.
    lost: bool,
}

/// Orders of one owner to one engine instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    room: Room,
    epoch: u64,
    instance: Name,
    seq: u64,
    raised: Token,
    open: BTreeMap<Token, Open>,
    loaded: Index,
    doubts: BTreeSet<Name>,
    closed: bool,
}

impl Ledger {
    /// The ledger of an owner that has just read `pins` under `epoch`, where
    /// `pins` went through [`EnginePins::inherit`] or [`EnginePins::adopt`].
    /// Every pinned model counts as loaded until an answer says otherwise.
    pub fn new(room: Room, epoch: u64, pins: &EnginePins) -> Ledger {
        let mut loaded = Index::new();
        let mut doubts = BTreeSet::new();
        for (model, pin) in &pins.pins {
            loaded.insert(model.clone(), pin.memory);
            if pin.doubt {
                doubts.insert(model.clone());
            }
        }
        Ledger {
            room,
            epoch,
            instance: pins.instance.clone(),
            seq: 0,
            raised: Token::default(),
            open: BTreeMap::new(),
            loaded,
            doubts,
            closed: false,
        }
    }

    /// The ledger for a new instance after `pins` came from
    /// [`EnginePins::adopt`] and were committed. Nothing is loaded there, and
    /// answers to orders for the old instance find nothing to settle.
    pub fn renew(&self, pins: &EnginePins) -> Ledger {
        Ledger {
            seq: self.seq,
            ..Ledger::adopted(self.room, self.epoch, pins)
        }
    }

    /// The ledger of an owner that has adopted the instance of `pins` itself:
    /// nobody has sent an order there, and nothing is loaded.
    pub fn adopted(room: Room, epoch: u64, pins: &EnginePins) -> Ledger {
        Ledger {
            loaded: Index::new(),
            ..Ledger::new(room, epoch, pins)
        }
    }

    /// Instance that the orders are meant for.
    pub fn instance(&self) -> &Name {
        &self.instance
    }

    /// Whether the engine is ready for loads and unloads: it ignores tokens,
    /// or it has accepted an order of this owner.
    pub fn raised(&self) -> bool {
        !self.room.fenced || self.raised > Token::default()
    }

    /// Memory that counts as used, MB: loaded, loading and doubtful models.
    pub fn memory(&self) -> u64 {
        self.held().values().sum()
    }

    fn held(&self) -> Index {
        let mut held = self.loaded.clone();
        for open in self.open.values() {
            if open.verb == Verb::Load {
                held.insert(open.model.clone(), open.memory);
            }
        }
        held
    }

    /// Whether the model counts as loaded or loading.
    pub fn holds(&self, model: &str) -> bool {
        self.loaded.contains_key(model) || self.open_for(model).next().is_some()
    }

    /// Whether the model is surely not loaded and no order can load it.
    pub fn vacant(&self, model: &str) -> bool {
        self.raised() && !self.holds(model) && !self.doubts.contains(model)
    }

    /// Whether an order under the pin of `model` may take effect without this
    /// owner hearing of it.
    pub fn doubtful(&self, model: &str) -> bool {
        self.doubts.contains(model) || self.open_for(model).any(|o| o.lost)
    }

    /// Whether the recorded instance has ended or another owner's token was
    /// met: this owner reads the records again and starts a new ledger.
    pub fn closed(&self) -> bool {
        self.closed
    }

    /// Whether no order is in flight, so that a handover may be written.
    pub fn quiet(&self) -> bool {
        self.open.values().all(|o| o.lost)
    }

    /// `pins` with the doubts of this ledger, as written at a handover.
    pub fn with_doubts(&self, pins: &EnginePins) -> EnginePins {
        let mut next = pins.clone();
        for (model, pin) in &mut next.pins {
            pin.doubt = self.doubtful(model);
        }
        next
    }

    /// A grant to raise the token and learn the index.
    pub fn fence(&mut self) -> Result<Grant<Recorded>, Denied> {
        let order = Open {
            model: "".into(),
            verb: Verb::Fence,
            memory: 0,
            lost: false,
        };
        self.grant(order)
    }

    /// A grant to load a model under its recorded pin.
    pub fn load(&mut self, pins: &EnginePins, model: &Name) -> Result<Grant<Recorded>, Denied> {
        let Some(pin) = pins.pins.get(model) else {
            return Err(Denied::NoPin(model.clone()));
        };
        self.check(model)?;
        let mut others = self.held();
        others.remove(model);
        let used = others.values().sum();
        let left = self.room.memory.saturating_sub(used);
        if self.room.fenced && pin.memory > left {
            return Err(Denied::Memory {
                model: model.clone(),
                memory: pin.memory,
                left,
            });
        }
        self.grant(Open {
            model: model.clone(),
            verb: Verb::Load,
            memory: pin.memory,
            lost: false,
        })
    }

    /// A grant to unload a model.
    pub fn unload(&mut self, model: &Name) -> Result<Grant<Recorded>, Denied> {
        self.check(model)?;
        self.grant(Open {
            model: model.clone(),
            verb: Verb::Unload,
            memory: 0,
            lost: false,
        })
    }

    fn check(&self, model: &Name) -> Result<(), Denied> {
        if !self.raised() {
            return Err(Denied::NotFenced(self.epoch));
        }
        if self.open_for(model).any(|o| !o.lost) {
            return Err(Denied::InFlight(model.clone()));
        }
        Ok(())
    }

    fn grant(&mut self, order: Open) -> Result<Grant<Recorded>, Denied> {
        if self.closed {
            return Err(Denied::Closed);
        }
        let Some(token) = Token::new(self.epoch, self.seq + 1) else {
            return Err(Denied::Exhausted(self.epoch));
        };
        self.seq += 1;
        let instance = self.instance.clone();
        let grant = Grant::new(token, order.verb, order.model.clone(), instance);
        self.open.insert(token, order);
        Ok(grant)
    }

    /// Takes the end of the order `token`; an order that a later answer has
    /// settled is dropped.
    pub fn settle(&mut self, token: Token, end: OrderEnd) {
        if !self.open.contains_key(&token) {
            return;
        }
        match end {
            OrderEnd::Unsent => {
                self.open.remove(&token);
            }
            OrderEnd::Fenced { current } => {
                self.open.remove(&token);
                self.closed |= current.epoch() > self.epoch;
            }
            OrderEnd::Restarted => {
                self.open.remove(&token);
                self.closed = true;
            }
            OrderEnd::Lost => self.lose(token),
            OrderEnd::Done(index) if self.room.fenced => self.done_fenced(token, index),
            OrderEnd::Done(index) => self.done(token, &index),
        }
    }

    /// The engine refuses every earlier order from now on, and its index names
    /// all models that earlier ones load.
    fn done_fenced(&mut self, token: Token, index: Index) {
        self.raised = token;
        self.open.retain(|t, _| *t > token);
        self.loaded = index;
        self.doubts.clear();
    }

    fn done(&mut self, token: Token, index: &Index) {
        let Some(open) = self.open.remove(&token) else {
            return;
        };
        match index.get(&open.model) {
            Some(memory) => self.loaded.insert(open.model, *memory),
            None => self.loaded.remove(&open.model),
        };
    }

    fn lose(&mut self, token: Token) {
        if self.room.fenced {
            self.open.entry(token).and_modify(|o| o.lost = true);
            return;
        }
        let Some(open) = self.open.remove(&token) else {
            return;
        };
        if open.verb == Verb::Load {
            self.loaded.insert(open.model.clone(), open.memory);
        }
        self.doubts.insert(open.model);
    }

    fn open_for<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a Open> {
        self.open
            .values()
            .filter(move |o| o.model.as_ref() == model)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ledger(fenced: bool) -> (Ledger, EnginePins) {
        let room = Room { memory: 10, fenced };
        let pins = EnginePins::default().adopt(&"i1".into());
        let ledger = Ledger::new(room, 1, &pins);
        (ledger, pins.with(&"a".into(), 6, 1).with(&"b".into(), 6, 1))
    }

    #[test]
    fn a_lost_load_counts_until_a_later_order_is_answered() {
        let (mut ledger, pins) = ledger(true);
        assert_eq!(
            ledger.load(&pins, &"a".into()).unwrap_err(),
            Denied::NotFenced(1)
        );
        let fence = ledger.fence().unwrap().send();
        fence.settle(&mut ledger, OrderEnd::Done(Index::new()));
        let load = ledger.load(&pins, &"a".into()).unwrap().send();
        load.settle(&mut ledger, OrderEnd::Lost);
        assert!(ledger.load(&pins, &"b".into()).is_err());
        let fence = ledger.fence().unwrap().send();
        fence.settle(&mut ledger, OrderEnd::Done(Index::new()));
        assert!(ledger.vacant("a"));
        assert!(ledger.load(&pins, &"b".into()).is_ok());
    }

    #[test]
    fn an_engine_that_ignores_tokens_keeps_its_doubt() {
        let (mut ledger, pins) = ledger(false);
        let load = ledger.load(&pins, &"a".into()).unwrap().send();
        load.settle(&mut ledger, OrderEnd::Lost);
        let unload = ledger.unload(&"a".into()).unwrap().send();
        unload.settle(&mut ledger, OrderEnd::Done(Index::new()));
        assert!(!ledger.vacant("a"));
        assert!(ledger.with_doubts(&pins).pins["a"].doubt);
        assert!(ledger.vacant("b"));
    }
}
