//! An engine of the simulated world.

use std::collections::BTreeSet;

use mastichinge::config::Name;
use mastichinge::outside::{EngineError, Order, Report, Resident, Verb};

use super::{MODEL_MEMORY_MB, engine};

/// State of a simulated engine.
#[derive(Debug, Default)]
pub struct FakeEngine {
    name: Name,
    instance: u64,
    token: u64,
    pub loaded: BTreeSet<Name>,
    /// Requests of a host that is absent.
    pub running: u32,
    /// Unloads while it had requests.
    pub cuts: u32,
}

impl FakeEngine {
    /// Returns engine `e` at its first start.
    pub fn new(e: usize) -> Self {
        FakeEngine {
            name: engine(e),
            ..FakeEngine::default()
        }
    }

    /// Starts its next instance.
    pub fn restart(&mut self) {
        *self = FakeEngine {
            name: self.name.clone(),
            instance: self.instance + 1,
            ..FakeEngine::default()
        };
    }

    /// Returns the id of the present instance.
    pub fn instance_id(&self) -> Name {
        format!("{}-{}", self.name, self.instance).into()
    }

    /// Returns what it reports.
    pub fn report(&self) -> Report {
        let residents = self.loaded.iter().map(|m| Resident {
            model: m.clone(),
            version: "1".into(),
            ready: true,
            memory: MODEL_MEMORY_MB,
        });
        Report {
            instance: self.instance_id(),
            token: self.token,
            residents: residents.collect(),
            running: self.running,
            ..Report::default()
        }
    }

    /// Executes an order, or refuses it.
    pub fn execute(&mut self, order: &Order, fenced: bool) -> Result<Report, EngineError> {
        let current = self.report().instance;
        if order.instance != current {
            return Err(EngineError::Restarted { current });
        }
        if fenced && order.token < self.token {
            let current = self.token;
            return Err(EngineError::Fenced { current });
        }
        if fenced {
            self.token = order.token;
        }
        match order.verb {
            Verb::Load => {
                self.loaded.insert(order.model.clone());
            }
            Verb::Unload => {
                self.cuts += u32::from(self.running > 0);
                self.loaded.remove(&order.model);
            }
            Verb::Fence => {}
        }
        Ok(self.report())
    }
}
