//! The state that a pool's owner publishes.

use std::time::Duration;

use crate::clock::Moment;
use crate::peer::wire::{Body, EngineState, PoolState};

use super::{Action, Context, Pool, Side};

/// Longest time between two states.
const REFRESH: Duration = Duration::from_millis(250);

impl Pool {
    /// Publishes the state when it changed or is due.
    pub(super) fn publish(&mut self, ctx: &Context<'_>, out: &mut Vec<Action>) {
        let due = self
            .published
            .is_none_or(|last| ctx.now.saturating_sub(last) >= REFRESH);
        if !self.dirty && !due {
            return;
        }
        self.seq += 1;
        self.dirty = false;
        self.published = Some(ctx.now);
        out.push(Action::Broadcast(Body::Pool(self.state(ctx.now))));
    }

    /// Publishes at the next step.
    pub fn republish(&mut self) {
        self.dirty = true;
    }

    fn state(&self, now: Moment) -> PoolState {
        let engines = self.sides.iter();
        PoolState {
            pool: self.name.to_string(),
            epoch: self.epoch,
            seq: self.seq,
            engines: engines
                .map(|(name, side)| engine_state(name, side, now))
                .collect(),
        }
    }
}

fn engine_state(name: &str, side: &Side, now: Moment) -> EngineState {
    let ready = side.replicas.iter().filter(|(_, r)| r.ready());
    let ready = match side.reachable() {
        true => ready.map(|(model, _)| model.to_string()).collect(),
        false => Vec::new(),
    };
    let age = side.heard.map_or(now, |heard| now.saturating_sub(heard));
    EngineState {
        engine: name.to_owned(),
        instance: side.report.instance.to_string(),
        ready,
        running: side.report.running,
        waiting: side.report.waiting,
        leaving: side.leaving(),
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    }
}
