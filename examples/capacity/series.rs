//! Measured points and the line fitted to them.

use std::hint::black_box;
use std::time::{Duration, Instant};

/// Batches per timing; only the fastest counts, as other load slows the rest.
const BATCH_COUNT: usize = 7;
/// Minimum duration of a batch.
const MIN_BATCH_TIME: Duration = Duration::from_millis(5);

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug)]
pub struct LinearFit {
    /// Growth per unit of size.
    pub slope: f64,
    /// Value at zero.
    pub intercept: f64,
    /// Coefficient of determination.
    pub r_squared: f64,
}

impl LinearFit {
    /// Returns the value of the line at `x`.
    pub fn value(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

#[derive(Clone, Copy, Debug)]
struct Point {
    x: f64,
    y: f64,
}

/// Measures `y` at each size, prints the points and the fitted line.
pub fn measure_series(
    name: &str,
    per: &str,
    unit: &str,
    sizes: &[usize],
    y: impl Fn(usize) -> f64,
) -> LinearFit {
    let mut points = Vec::new();
    for size in sizes {
        points.push(Point {
            x: *size as f64,
            y: y(*size),
        });
    }
    let line = fit_line(&points);
    print!("{name} [{unit}]:");
    for p in &points {
        print!(" {}: {:.4};", p.x, p.y);
    }
    println!(
        " slope {:.5} {unit}/{per}, at zero {:.3} {unit}, R2 {:.4}",
        line.slope, line.intercept, line.r_squared
    );
    line
}

/// Fits a line by ordinary least squares.
fn fit_line(points: &[Point]) -> LinearFit {
    let n = points.len() as f64;
    let x = points.iter().map(|p| p.x).sum::<f64>() / n;
    let y = points.iter().map(|p| p.y).sum::<f64>() / n;
    let mut xx = 0.0;
    let mut xy = 0.0;
    let mut yy = 0.0;
    for p in points {
        xx += (p.x - x).powi(2);
        xy += (p.x - x) * (p.y - y);
        yy += (p.y - y).powi(2);
    }
    let slope = xy / xx;
    LinearFit {
        slope,
        intercept: y - slope * x,
        r_squared: if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) },
    }
}

/// Returns the time of one call, µs, in the fastest of [`BATCH_COUNT`] batches.
pub fn time_us<T>(mut call: impl FnMut() -> T) -> f64 {
    let start = Instant::now();
    black_box(call());
    let once = start.elapsed().max(Duration::from_nanos(20));
    let calls = (MIN_BATCH_TIME.as_nanos() / once.as_nanos()).clamp(1, 100_000) as u32;
    let mut fastest = f64::INFINITY;
    for _ in 0..BATCH_COUNT {
        let start = Instant::now();
        for _ in 0..calls {
            black_box(call());
        }
        let time = start.elapsed().as_secs_f64() * 1e6 / f64::from(calls);
        fastest = fastest.min(time);
    }
    fastest
}
