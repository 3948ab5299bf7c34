//! Arrivals of one model.

use std::time::Duration;

use mastichinge::clock::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Length of a trace, days.
pub const DAYS: u64 = 14;
/// Seconds of a day.
const DAY: f64 = 86_400.0;

/// Pattern of arrivals.
#[derive(Clone, Copy, Debug, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Exponential gaps, one a minute.
    Steady,
    /// Exponential gaps, one in two hours.
    Hourly,
    /// Exponential gaps, one a day.
    Rare,
    /// Bursts of about 20; gaps between them log-uniform, ten minutes to two days.
    Bursty,
    /// A burst of about 20 a day, at the same time within ten minutes.
    Daily,
}

impl Kind {
    /// All kinds.
    pub const ALL: &[Kind] = &[
        Kind::Steady,
        Kind::Hourly,
        Kind::Rare,
        Kind::Bursty,
        Kind::Daily,
    ];
}

/// Arrivals of one model, in order.
pub fn arrivals(kind: Kind, seed: u64) -> Vec<Moment> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = rng.random_range(0.0..3_600.0);
    let mut all = Vec::new();
    let mut day = 0.0;
    while at < DAYS as f64 * DAY {
        match kind {
            Kind::Steady | Kind::Hourly | Kind::Rare => all.push(at),
            Kind::Bursty | Kind::Daily => at = burst(&mut rng, at, &mut all),
        }
        at = match kind {
            Kind::Steady => at + gap(&mut rng, 60.0),
            Kind::Hourly => at + gap(&mut rng, 7_200.0),
            Kind::Rare => at + gap(&mut rng, DAY),
            Kind::Bursty => at + 600.0 * 288.0_f64.powf(rng.random()),
            Kind::Daily => {
                day += DAY;
                day + 3_600.0 + rng.random_range(-600.0..600.0)
            }
        };
    }
    all.into_iter().map(Duration::from_secs_f64).collect()
}

/// An exponential gap, seconds.
fn gap(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    let unit: f64 = rng.random();
    -mean * (1.0 - unit).ln()
}

/// Adds a burst that starts at `at`; answers its end.
fn burst(rng: &mut ChaCha8Rng, mut at: f64, all: &mut Vec<f64>) -> f64 {
    for _ in 0..rng.random_range(10..30) {
        all.push(at);
        at += gap(rng, 5.0);
    }
    at
}
