//! What requests wait for.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::edge::demand::ModelKey;
use crate::edge::request_headers::{self, Prompt};
use crate::edge::upstream::Upstream;

/// Requests that wait for a model or an adapter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaitingRequests {
    /// Number of requests.
    pub count: u32,
    /// Most urgent priority among them; 0 is the highest.
    pub priority: u8,
    /// Engine that answered that it lacks the target.
    pub missing_at: Option<Arc<str>>,
    /// Engines that hold the target and want no requests of the hosts where it is waited for.
    pub paused: BTreeSet<Arc<str>>,
}

/// A model of a service, or an adapter of that model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ModelTarget {
    /// Service.
    pub service: Arc<str>,
    /// Model.
    pub model: Arc<str>,
    /// Adapter; absent for the model itself.
    pub adapter: Option<Arc<str>>,
    /// Software version of the engine that is to hold it; absent for any.
    pub software: Option<Arc<str>>,
}

impl ModelTarget {
    /// Returns the target of a prompt at a service.
    pub fn of(service: &Arc<str>, prompt: &Prompt) -> Self {
        ModelTarget {
            service: service.clone(),
            model: prompt.model.clone(),
            adapter: prompt.adapter.clone(),
            software: None,
        }
    }

    /// Returns a model on engines of any version.
    pub fn of_model(key: &ModelKey) -> Self {
        ModelTarget {
            service: key.service.clone(),
            model: key.model.clone(),
            adapter: None,
            software: None,
        }
    }

    /// Returns the model without its adapter, on engines of any version.
    pub fn key(&self) -> ModelKey {
        ModelKey::new(&self.service, &self.model)
    }

    /// Returns whether an engine is of the version that is to hold it.
    pub fn matches(&self, engine: &Upstream) -> bool {
        let software = self.software.as_ref();
        software.is_none_or(|s| *s == engine.entry.software)
    }

    /// Returns `model` or `model/adapter`.
    pub fn name(&self) -> Arc<str> {
        request_headers::target(&self.model, self.adapter.as_deref())
    }
}
