//! Decides how long work takes at an engine.

use std::time::Duration;

use super::EngineReport;
use crate::clock::Moment;

/// Time for which an engine stays slow because of other work on its machine. One that is seen to
/// be slow is in such a stretch at any point of it.
const SLOW_STRETCH: Duration = Duration::from_millis(600);
/// Number of reports, each of another stretch, of which the lower median is the usual slowness.
const SAMPLES: usize = 8;
/// Weight of one first event in the moving average of what reports do not explain.
const UNEXPLAINED_WEIGHT: f64 = 0.1;
/// Time constant by which that average decays to 1, s.
const UNEXPLAINED_DECAY_S: f64 = 15.0;
/// Bounds of each factor by which work takes longer than usual.
const FACTOR_BOUNDS: (f64, f64) = (0.3, 6.0);
/// Minimum usual time of a first event that counts; shorter ones say little about the speed.
const MIN_USUAL: Duration = Duration::from_millis(15);

/// How fast an engine is that reports its slowness: lastingly and at the moment, by its own word,
/// with a correction learnt from the first events of all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EnginePace {
    /// Latest report with the time at which the engine made it.
    report: Option<(EngineReport, Moment)>,
    /// Factors reported in the latest stretches, the oldest replaced first.
    samples: [f64; SAMPLES],
    /// Number of samples so far.
    sampled: usize,
    /// When the latest sample was reported.
    sampled_at: Moment,
    /// Logarithm of the factor that reports do not explain.
    unexplained: f64,
    /// When that was last changed.
    corrected_at: Moment,
}

impl EnginePace {
    /// Records a report that the engine made at the time `at`, unless a later one is known.
    pub fn record_report(&mut self, report: EngineReport, at: Moment) {
        if self.report.is_some_and(|(_, known)| known > at) {
            return;
        }
        self.report = Some((report, at));
        let Some(percent) = report.slowness_percent else {
            return;
        };
        if self.sampled == 0 || at.saturating_sub(self.sampled_at) >= SLOW_STRETCH {
            self.samples[self.sampled % SAMPLES] = bounded_factor(percent);
            self.sampled += 1;
            self.sampled_at = at;
        }
    }

    /// Returns the latest report with the time at which the engine made it.
    pub fn report(&self) -> Option<(EngineReport, Moment)> {
        self.report
    }

    /// Returns whether the engine reports its slowness; without that, nothing here decides.
    pub fn is_reported(&self) -> bool {
        self.sampled > 0
    }

    /// Returns the ratio of the engine's time for work to the usual one, without slow stretches.
    pub fn lasting(&self, now: Moment) -> f64 {
        self.reported_usual() * self.unexplained_log(now).exp()
    }

    /// Returns the factor that the engine reports outside of slow stretches.
    fn reported_usual(&self) -> f64 {
        let mut samples = self.samples;
        let samples = &mut samples[..self.sampled.min(SAMPLES)];
        samples.sort_by(f64::total_cmp);
        match samples.len().checked_sub(1) {
            Some(last) => samples[last / 2],
            None => 1.0,
        }
    }

    /// Returns the slowness in each of the latest stretches, relative to the usual one.
    pub fn stretches(&self) -> impl Iterator<Item = f64> {
        let usual = self.reported_usual();
        let samples = self.samples.into_iter().take(self.sampled);
        samples.map(move |factor| factor / usual)
    }

    fn unexplained_log(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.corrected_at).as_secs_f64();
        self.unexplained * (-age / UNEXPLAINED_DECAY_S).exp()
    }

    /// Returns the factor by which work takes longer now than it usually does there. An older
    /// report counts less, as the stretch may be over, and none counts after its length.
    pub fn momentary(&self, now: Moment) -> f64 {
        let Some((report, at)) = self.report else {
            return 1.0;
        };
        let age = now.saturating_sub(at);
        let Some(percent) = report.slowness_percent.filter(|_| age < SLOW_STRETCH) else {
            return 1.0;
        };
        let weight = 1.0 - age.as_secs_f64() / SLOW_STRETCH.as_secs_f64();
        1.0 + (bounded_factor(percent) / self.reported_usual() - 1.0) * weight
    }

    /// Returns the slowness that a report made now is expected to name, percent.
    pub fn expected_percent(&self, now: Moment) -> f64 {
        self.reported_usual() * self.momentary(now) * 100.0
    }

    /// Records a time to a first event at any daemon, relative to that of an engine of usual
    /// speed, and the engine's slowness then. What the slowness does not explain is learnt.
    pub fn record_ratio(&mut self, ratio: f64, slowness_percent: Option<u32>, now: Moment) {
        let reported = bounded_factor(slowness_percent.unwrap_or(100));
        let (low, high) = FACTOR_BOUNDS;
        let sample = (ratio / reported).clamp(low, high).ln();
        let known = self.unexplained_log(now);
        self.unexplained = known + (sample - known) * UNEXPLAINED_WEIGHT;
        self.corrected_at = now;
    }

    /// Returns the time for `work`, given as the time at an engine of usual speed. What is left
    /// of a slow stretch is half of its length on average, so that long work is done mostly after it.
    pub fn time_for(&self, work: Duration, now: Moment) -> Duration {
        self.delayed(work.mul_f64(self.lasting(now)), now)
    }

    /// Returns the time for work that lastingly takes `work` there.
    pub fn delayed(&self, work: Duration, now: Moment) -> Duration {
        let momentary = self.momentary(now);
        if momentary <= 1.0 {
            return work.mul_f64(momentary);
        }
        let lost = SLOW_STRETCH.mul_f64((1.0 - 1.0 / momentary) / 2.0);
        work.mul_f64(momentary).min(work + lost)
    }
}

/// Returns a reported slowness as a factor within the bounds.
fn bounded_factor(percent: u32) -> f64 {
    (f64::from(percent) / 100.0).clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1)
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
