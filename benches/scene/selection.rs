//! The selection of an engine for a request, among engines that report their load.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::demand::DemandMeter;
use mastichinge::edge::desired::{DesiredState, RouteKind};
use mastichinge::edge::engine_load::EngineReport;
use mastichinge::edge::fleet::Fleet;
use mastichinge::edge::origins::Allowed;
use mastichinge::edge::request_headers::{Prompt, PromptPart};
use mastichinge::edge::routing::{RoutingContext, RoutingRequest, Selection, select_engine};
use mastichinge::edge::settings::EngineSettings;

use super::fleet::{SERVICE, desired, entry, load, model_name};

/// Engines that hold each model.
const REPLICAS: usize = 16;
/// Models on each engine.
const RESIDENTS: usize = 2;
/// Daemons with requests in progress.
const DAEMONS: usize = 70;
/// Engines at which each daemon has requests in progress.
const LOADS_PER_DAEMON: usize = 30;

/// What a daemon knows when it selects an engine.
pub struct SelectionScene {
    fleet: Fleet,
    desired: DesiredState,
    meter: DemandMeter,
    engines: EngineSettings,
    service: Arc<str>,
    prompt: Prompt,
    now: Moment,
}

impl SelectionScene {
    /// Creates a fleet of this many engines, all of which have just reported their load.
    pub fn new(engines: usize) -> Self {
        let now = Moment::from_secs(100);
        let models = (engines * RESIDENTS / REPLICAS).max(1);
        let mut fleet = Fleet::default();
        let entries = (0..engines).map(|i| entry(i, models)).collect();
        fleet.update_entries(entries, &BTreeSet::new(), None, now);
        for daemon in 0..DAEMONS {
            let loads = (0..LOADS_PER_DAEMON).map(|i| load((i * 7 + daemon) % engines, models));
            fleet.record_peer_load(&format!("edge-{daemon}").into(), loads.collect(), now);
        }
        for (index, engine) in fleet.engines.values_mut().enumerate() {
            for age in (0..10).rev() {
                let report = EngineReport {
                    running: 20,
                    slots: 64,
                    slowness_percent: Some(55 + (index as u32 + age) % 4 * 65),
                    ..EngineReport::default()
                };
                let at = now.saturating_sub(Duration::from_millis(700) * age);
                engine.pace.record_report(report, at);
            }
        }
        let part = |id, tokens| PromptPart { id, tokens };
        SelectionScene {
            fleet,
            desired: desired(models),
            meter: DemandMeter::default(),
            engines: EngineSettings::default(),
            service: SERVICE.into(),
            prompt: Prompt {
                model: model_name(0),
                input_tokens: 2_900,
                output_tokens: 100,
                parts: vec![part(1, 1_000), part(2, 1_000), part(3, 900)],
                ..Prompt::default()
            },
            now,
        }
    }

    /// Selects an engine.
    pub fn select(&self) -> Selection {
        let context = RoutingContext {
            fleet: &self.fleet,
            desired: &self.desired,
            meter: &self.meter,
            forecast: None,
            engines: &self.engines,
            domain: "north",
            now: self.now,
        };
        let request = RoutingRequest {
            service: &self.service,
            kind: RouteKind::Stream,
            priority: 1,
            prompt: Some(&self.prompt),
            fingerprint: 1,
            avoid: &[],
            permit: None,
            allowed: &Allowed::Any,
        };
        select_engine(&context, &request)
    }
}
