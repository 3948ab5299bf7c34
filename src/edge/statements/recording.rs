//! What follows from a statement of an engine: log lines, news for the other daemons, and new
//! decisions.

use std::sync::Arc;

use super::{RateChange, RateStatement, Source};
use crate::edge::state::Edge;
use crate::edge::upstream::EngineChange;

impl Edge {
    /// Records that the engine that started at `incarnation` has said that it leaves, and
    /// tells the other daemons.
    pub fn record_leaving(&self, engine: &Arc<str>, incarnation: u64) {
        let mut state = self.state.borrow_mut();
        let source = Source::Response;
        if !state.fleet.record_leaving(engine, incarnation, source) {
            self.metrics.record_engine_statement("leaving", "known");
            return;
        }
        self.metrics.record_engine_statement("leaving", "kept");
        state.leaving_notes.push((engine.clone(), incarnation));
        drop(state);
        self.announce_leaving(engine, source.into());
        self.send_wake.notify_one();
    }

    /// Records what an engine has said of its rate to this daemon, and tells the other daemons.
    pub fn record_rate(&self, engine: &Arc<str>, statement: RateStatement) {
        let mut state = self.state.borrow_mut();
        let Some(change) = state.fleet.rates_mut().record(engine, statement) else {
            return;
        };
        state.rate_news.push(engine.clone());
        drop(state);
        self.metrics.record_engine_statement("rate", "kept");
        self.announce_rate(
            engine,
            change,
            statement.incarnation,
            Source::Response.into(),
        );
        self.send_wake.notify_one();
    }

    /// Logs that an engine's rate has changed, as `source` has said, and wakes the tasks that
    /// decide anew with it.
    pub fn announce_rate(&self, engine: &str, change: RateChange, life: u64, source: &str) {
        let before = change.before.map(|r| r.to_string()).unwrap_or_default();
        let rate = change.after.map(|r| r.to_string()).unwrap_or_default();
        log::info!(engine, rate = &*rate, before = &*before, source, life;
            "engine's rate changed");
        self.notify_waiting();
        self.order_wake.notify_one();
    }

    /// Logs that an engine leaves, and wakes the tasks that decide anew without it.
    pub fn announce_leaving(&self, engine: &str, source: &str) {
        let change: &'static str = EngineChange::Draining.into();
        let life = self.state.borrow().fleet.incarnation(engine);
        log::info!(engine, change, source, life; "engine changed");
        self.notify_waiting();
        self.order_wake.notify_one();
    }
}
