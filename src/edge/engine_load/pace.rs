//! Decides how long work takes at an engine.

use std::time::Duration;

use super::EngineReport;
use crate::clock::Moment;

/// Average time for which an engine stays slow because of other work on its machine. A report
/// loses its weight with this time constant.
const SLOW_STRETCH: Duration = Duration::from_millis(600);
/// Age at which a report decides nothing any more: its weight is under 5 %.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_800);
/// Weight of one first event in the moving average of the lasting speed.
const LASTING_WEIGHT: f64 = 0.1;
/// Bounds of each factor by which work takes longer than usual.
const FACTOR_BOUNDS: (f64, f64) = (0.3, 6.0);
/// Minimum usual time of a first event that counts; shorter ones say little about the speed.
const MIN_USUAL: Duration = Duration::from_millis(15);

/// How fast an engine is that reports its slowness: lastingly, learnt from the first events of
/// all daemons, and at the moment, by its own word.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EnginePace {
    lasting: f64,
    /// Latest report with the time at which the engine made it.
    report: Option<(EngineReport, Moment)>,
}

impl Default for EnginePace {
    fn default() -> Self {
        EnginePace {
            lasting: 1.0,
            report: None,
        }
    }
}

impl EnginePace {
    /// Records a report that the engine made at the time `at`, unless a later one is known.
    pub fn record_report(&mut self, report: EngineReport, at: Moment) {
        if self.report.is_none_or(|(_, known)| known <= at) {
            self.report = Some((report, at));
        }
    }

    /// Returns the latest report with the time at which the engine made it.
    pub fn report(&self) -> Option<(EngineReport, Moment)> {
        self.report
    }

    /// Returns whether the engine reports its slowness; without that, nothing here decides.
    pub fn is_reported(&self) -> bool {
        let percent = self.report.and_then(|(r, _)| r.slowness_percent);
        percent.is_some()
    }

    /// Returns the ratio of the engine's lasting time for work to the usual one.
    pub fn lasting(&self) -> f64 {
        self.lasting
    }

    /// Returns the factor by which work takes longer now than it lastingly does there. An older
    /// report counts less, as the cause may be over.
    pub fn momentary(&self, now: Moment) -> f64 {
        let Some((report, at)) = self.report else {
            return 1.0;
        };
        let age = now.saturating_sub(at);
        let Some(percent) = report.slowness_percent.filter(|_| age < MAX_REPORT_AGE) else {
            return 1.0;
        };
        let factor = (f64::from(percent) / 100.0).clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
        let weight = (-age.as_secs_f64() / SLOW_STRETCH.as_secs_f64()).exp();
        1.0 + (factor - 1.0) * weight
    }

    /// Records a time to a first event at any daemon, relative to that of an engine of usual
    /// speed, and the engine's slowness then. A part that the slowness explains is not lasting.
    pub fn record_ratio(&mut self, ratio: f64, slowness_percent: Option<u32>) {
        let momentary = f64::from(slowness_percent.unwrap_or(100)) / 100.0;
        let (low, high) = FACTOR_BOUNDS;
        let lasting = (ratio / momentary.clamp(low, high)).clamp(low, high);
        self.lasting *= (lasting / self.lasting).powf(LASTING_WEIGHT);
    }

    /// Returns the time for `work`, given as the time at an engine of usual speed. A slow
    /// stretch lasts [`SLOW_STRETCH`] on average, so that long work is done mostly after it.
    pub fn time_for(&self, work: Duration, now: Moment) -> Duration {
        let work = work.mul_f64(self.lasting);
        let momentary = self.momentary(now);
        if momentary <= 1.0 {
            return work.mul_f64(momentary);
        }
        let lost = SLOW_STRETCH.mul_f64(1.0 - 1.0 / momentary);
        work.mul_f64(momentary).min(work + lost)
    }
}

/// Returns the ratio of a measured time to a first event to the usual one, percent; `None` if
/// the time is too short to tell.
pub(super) fn ratio_percent(usual: Duration, measured: Duration) -> Option<u32> {
    if usual < MIN_USUAL {
        return None;
    }
    let (low, high) = FACTOR_BOUNDS;
    let ratio = measured.as_secs_f64() / usual.as_secs_f64();
    Some((ratio.clamp(low, high * high) * 100.0) as u32)
}
