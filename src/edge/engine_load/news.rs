//! What daemons tell each other of the engines' load and speed.

use std::sync::Arc;
use std::time::Duration;

use super::pace::ratio_percent;
use super::{EngineNewsNote, EngineReport, FirstEvent};
use crate::clock::Moment;
use crate::edge::clock;
use crate::edge::state::{Edge, State};
use crate::edge::upstream::Lifetime;

/// Difference between an engine's slowness and what is known of it that other daemons are told
/// at once, percent of the usual time.
const TOLD_DIFFERENCE: f64 = 30.0;

/// What a daemon tells the others of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineNews {
    /// The engine.
    pub lifetime: Lifetime,
    /// Its report.
    pub report: EngineReport,
    /// When it made the report.
    pub reported_at: Moment,
    /// Time to a first event just measured, percent of that of an engine of usual speed.
    pub ratio_percent: Option<u32>,
}

impl Edge {
    /// Records the load that an engine reports, and tells the other daemons if its slowness is
    /// not as they know it.
    pub fn record_engine_report(&self, lifetime: &Lifetime, report: EngineReport) {
        let mut state = self.state.borrow_mut();
        let is_told = state.record_engine_report(lifetime, report, clock::now());
        drop(state);
        self.metrics.record_engine_statement("load", "kept");
        if is_told {
            self.send_wake.notify_one();
        }
    }
}

impl State {
    /// Records the load that an engine reports; returns whether that is news for other daemons.
    pub fn record_engine_report(
        &mut self,
        lifetime: &Lifetime,
        report: EngineReport,
        now: Moment,
    ) -> bool {
        let Lifetime {
            engine,
            incarnation,
        } = lifetime;
        let Some(upstream) = self.fleet.lifetime_mut(engine, *incarnation) else {
            return false;
        };
        let known = upstream.pace.expected_percent(now);
        upstream.pace.record_report(report, now);
        let Some(percent) = report.slowness_percent else {
            return false;
        };
        if (f64::from(percent) - known).abs() < TOLD_DIFFERENCE {
            return false;
        }
        self.engine_news.push(EngineNews {
            lifetime: lifetime.clone(),
            report,
            reported_at: now,
            ratio_percent: None,
        });
        true
    }

    /// Learns an engine's lasting speed from a first event, for all daemons; returns whether the
    /// engine reports its slowness.
    pub(in crate::edge) fn record_pace(
        &mut self,
        engine: &Arc<str>,
        event: FirstEvent,
        now: Moment,
    ) -> bool {
        let Some(upstream) = self.fleet.engines.get_mut(engine) else {
            return false;
        };
        let Some((report, reported_at)) = upstream.pace.report() else {
            return false;
        };
        if report.slowness_percent.is_none() {
            return false;
        }
        let Some(ratio_percent) = ratio_percent(event.usual, event.measured) else {
            return true;
        };
        let news = EngineNews {
            lifetime: Lifetime {
                engine: engine.clone(),
                incarnation: upstream.entry.incarnation,
            },
            report,
            reported_at,
            ratio_percent: Some(ratio_percent),
        };
        self.apply_news(&news, now);
        self.engine_news.push(news);
        true
    }

    /// Applies what a daemon tells of an engine.
    pub fn apply_news(&mut self, news: &EngineNews, now: Moment) {
        let Lifetime {
            engine,
            incarnation,
        } = &news.lifetime;
        let Some(upstream) = self.fleet.lifetime_mut(engine, *incarnation) else {
            return;
        };
        upstream.pace.record_report(news.report, news.reported_at);
        if let Some(percent) = news.ratio_percent {
            let ratio = f64::from(percent) / 100.0;
            upstream
                .pace
                .record_ratio(ratio, news.report.slowness_percent, now);
        }
    }
}

impl EngineNews {
    /// Returns the note for other daemons.
    pub fn note(&self, now: Moment) -> EngineNewsNote {
        EngineNewsNote {
            engine: self.lifetime.engine.to_string(),
            incarnation: self.lifetime.incarnation,
            running: self.report.running,
            waiting: self.report.waiting,
            slots: self.report.slots,
            slowness_percent: self.report.slowness_percent,
            age_ms: now.saturating_sub(self.reported_at).as_millis() as u64,
            ratio_percent: self.ratio_percent,
            sender: String::new(),
        }
    }

    /// Decodes a note.
    pub fn decode(note: &EngineNewsNote, now: Moment) -> Self {
        EngineNews {
            lifetime: Lifetime {
                engine: note.engine.as_str().into(),
                incarnation: note.incarnation,
            },
            report: EngineReport {
                running: note.running,
                waiting: note.waiting,
                slots: note.slots,
                slowness_percent: note.slowness_percent,
            },
            reported_at: now.saturating_sub(Duration::from_millis(note.age_ms)),
            ratio_percent: note.ratio_percent,
        }
    }
}
