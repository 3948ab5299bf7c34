//! Generates request arrivals of one model.

use std::time::Duration;

use mastichinge::clock::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Length of a trace, days.
pub const DAYS: u64 = 14;
const DAY_SECONDS: f64 = 86_400.0;

/// Pattern of request arrivals.
#[derive(Clone, Copy, Debug, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ArrivalPattern {
    /// Exponential gaps with a mean of one minute.
    Steady,
    /// Exponential gaps with a mean of two hours.
    Hourly,
    /// Exponential gaps with a mean of one day.
    Rare,
    /// Bursts of about 20; gaps between them log-uniform, ten minutes to two days.
    Bursty,
    /// A burst of about 20 a day, at the same time within ten minutes.
    Daily,
}

impl ArrivalPattern {
    /// All patterns.
    pub const ALL: &[ArrivalPattern] = &[
        ArrivalPattern::Steady,
        ArrivalPattern::Hourly,
        ArrivalPattern::Rare,
        ArrivalPattern::Bursty,
        ArrivalPattern::Daily,
    ];
}

/// Returns the arrivals of one model in order.
pub fn generate_arrivals(pattern: ArrivalPattern, seed: u64) -> Vec<Moment> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = rng.random_range(0.0..3_600.0);
    let mut times_s = Vec::new();
    let mut day = 0.0;
    while at < DAYS as f64 * DAY_SECONDS {
        match pattern {
            ArrivalPattern::Steady | ArrivalPattern::Hourly | ArrivalPattern::Rare => {
                times_s.push(at)
            }
            ArrivalPattern::Bursty | ArrivalPattern::Daily => {
                at = add_burst(&mut rng, at, &mut times_s)
            }
        }
        at = match pattern {
            ArrivalPattern::Steady => at + exponential_gap(&mut rng, 60.0),
            ArrivalPattern::Hourly => at + exponential_gap(&mut rng, 7_200.0),
            ArrivalPattern::Rare => at + exponential_gap(&mut rng, DAY_SECONDS),
            ArrivalPattern::Bursty => at + 600.0 * 288.0_f64.powf(rng.random()),
            ArrivalPattern::Daily => {
                day += DAY_SECONDS;
                day + 3_600.0 + rng.random_range(-600.0..600.0)
            }
        };
    }
    times_s.into_iter().map(Duration::from_secs_f64).collect()
}

/// Draws an exponentially distributed gap, seconds.
fn exponential_gap(rng: &mut ChaCha8Rng, mean_s: f64) -> f64 {
    let unit: f64 = rng.random();
    -mean_s * (1.0 - unit).ln()
}

/// Adds a burst that starts at `at`; returns its end.
fn add_burst(rng: &mut ChaCha8Rng, mut at: f64, times_s: &mut Vec<f64>) -> f64 {
    for _ in 0..rng.random_range(10..30) {
        times_s.push(at);
        at += exponential_gap(rng, 5.0);
    }
    at
}
