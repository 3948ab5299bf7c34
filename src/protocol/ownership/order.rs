//! Life cycle of an order and its ends.

use std::collections::BTreeMap;

use super::{FencingToken, Ledger};
use crate::config::Name;
use crate::outside::{Report, Verb};

/// Loaded or loading models of an engine with their memory, MB.
pub type ResidentModels = BTreeMap<Name, u64>;

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderOutcome {
    /// The engine carried it out; its index at that time.
    Done(ResidentModels),
    /// No byte was sent.
    Unsent,
    /// The engine refused it: it has a newer token.
    Fenced {
        /// Token that the engine has.
        current: FencingToken,
    },
    /// The engine refused it: it runs under another instance id.
    Restarted,
    /// Bytes were sent and no answer, or none that says what was done, came.
    Lost,
}

impl OrderOutcome {
    /// The end that belongs to an engine's answer.
    pub fn from_report(report: &Report) -> OrderOutcome {
        let residents = report.residents.iter();
        OrderOutcome::Done(residents.map(|r| (r.model.clone(), r.memory)).collect())
    }
}

/// Why an order may not be sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderDenied {
    /// No pin is recorded for the model.
    #[error("model {0} has no pin on the engine")]
    NoPin(Name),
    /// The engine has not accepted a fence of this owner.
    #[error("the engine has not accepted a fence of epoch {0}")]
    NotFenced(u64),
    /// An earlier order for the model waits for its answer.
    #[error("an order for model {0} is in flight")]
    InFlight(Name),
    /// The engine's memory does not suffice.
    #[error("model {model} needs {memory} MB and {left} MB are left")]
    Memory {
        /// Model.
        model: Name,
        /// What it needs, MB.
        memory: u64,
        /// What is left, MB.
        left: u64,
    },
    /// The epoch has used up its numbers; claim the pool anew.
    #[error("epoch {0} has no more order numbers")]
    Exhausted(u64),
    /// The recorded instance has ended or the owner is superseded.
    #[error("the engine takes no more orders of this ledger")]
    Closed,
}

/// A grant whose order has not been sent.
#[derive(Debug)]
pub struct Recorded;

/// A grant whose order was handed to a connection.
#[derive(Debug)]
pub struct Sent;

/// Permission to send one order once; counted in the [`Ledger`] from its
/// making until it is settled.
#[derive(Debug)]
#[must_use]
pub struct Grant<S> {
    /// Number of the order.
    pub token: FencingToken,
    /// What the order does.
    pub verb: Verb,
    /// Model; empty for a fence.
    pub model: Name,
    /// Instance that the order is meant for.
    pub instance: Name,
    state: S,
}

impl Grant<Recorded> {
    pub(super) fn new(token: FencingToken, verb: Verb, model: Name, instance: Name) -> Self {
        Grant {
            token,
            verb,
            model,
            instance,
            state: Recorded,
        }
    }

    /// The order goes out now; there is no way back.
    pub fn send(self) -> Grant<Sent> {
        let Grant {
            state: Recorded, ..
        } = self;
        Grant {
            token: self.token,
            verb: self.verb,
            model: self.model,
            instance: self.instance,
            state: Sent,
        }
    }

    /// The order is not sent after all.
    pub fn cancel(self, ledger: &mut Ledger) {
        ledger.settle(self.token, OrderOutcome::Unsent);
    }
}

impl Grant<Sent> {
    /// The order ended.
    pub fn settle(self, ledger: &mut Ledger, end: OrderOutcome) {
        let Grant { state: Sent, .. } = self;
        ledger.settle(self.token, end);
    }
}
