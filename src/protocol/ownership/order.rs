//! Life cycle and outcomes of an order.

use std::collections::BTreeMap;

use super::{FencingToken, Ledger};
use crate::config::Name;
use crate::outside::{Report, Verb};

/// Loaded and loading models of an engine with their memory, MB.
pub type ResidentModels = BTreeMap<Name, u64>;

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderOutcome {
    /// The engine carried the order out and had these models afterwards.
    Done(ResidentModels),
    /// No byte was sent.
    Unsent,
    /// The engine refused the order because it has accepted a newer token.
    Fenced {
        /// Highest token that the engine has accepted.
        current: FencingToken,
    },
    /// The engine refused the order because it runs under another instance id.
    Restarted,
    /// Bytes were sent, and no answer that shows the result arrived.
    Lost,
}

impl OrderOutcome {
    /// Returns the outcome of an order that the engine answered with `report`.
    pub fn from_report(report: &Report) -> OrderOutcome {
        let residents = report.residents.iter();
        OrderOutcome::Done(residents.map(|r| (r.model.clone(), r.memory)).collect())
    }
}

/// Reason why an order may not be sent.
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
    /// The engine has too little memory left.
    #[error("model {model} needs {memory} MB and {left} MB are left")]
    Memory {
        /// Model.
        model: Name,
        /// Memory of the model, MB.
        memory: u64,
        /// Memory left, MB.
        left: u64,
    },
    /// The epoch has used up its sequence numbers; the owner must claim the
    /// pool again.
    #[error("epoch {0} has no more order numbers")]
    Exhausted(u64),
    /// The recorded instance has ended or the owner is superseded.
    #[error("the engine instance has ended or the owner is superseded")]
    Closed,
}

/// State of a grant whose order is recorded in the [`Ledger`] and not sent.
#[derive(Debug)]
pub struct Recorded;

/// State of a grant whose order was handed to a connection.
#[derive(Debug)]
pub struct Sent;

/// Permission to send one order once; counted in the [`Ledger`] from its
/// creation until it is settled.
#[derive(Debug)]
#[must_use]
pub struct Grant<S> {
    /// Fencing token of the order.
    pub token: FencingToken,
    /// What the order does.
    pub verb: Verb,
    /// Model; empty for a fence.
    pub model: Name,
    /// Instance that the order addresses.
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

    /// Marks the order as sent; it can no longer be cancelled.
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

    /// Withdraws the order before it is sent.
    pub fn cancel(self, ledger: &mut Ledger) {
        ledger.settle(self.token, OrderOutcome::Unsent);
    }
}

impl Grant<Sent> {
    /// Records the outcome of the order.
    pub fn settle(self, ledger: &mut Ledger, outcome: OrderOutcome) {
        let Grant { state: Sent, .. } = self;
        ledger.settle(self.token, outcome);
    }
}
