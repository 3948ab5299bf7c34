//! Points of a measurement and the line through them.

use std::hint::black_box;
use std::time::{Duration, Instant};

/// Batches of a timing; the fastest counts, as other work disturbs the rest.
const BATCHES: usize = 7;
/// Least duration of a batch.
const BATCH: Duration = Duration::from_millis(5);

/// A line by least squares.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// Growth for one more.
    pub slope: f64,
    /// Value at zero.
    pub base: f64,
    /// Coefficient of determination.
    pub fit: f64,
}

impl Line {
    /// Value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

#[derive(Clone, Copy, Debug)]
struct Point {
    x: f64,
    y: f64,
}

/// Measures `y` at each size, prints the points and the line through them.
pub fn series(
    name: &str,
    per: &str,
    unit: &str,
    sizes: &[usize],
    y: impl Fn(usize) -> f64,
) -> Line {
    let mut points = Vec::new();
    for size in sizes {
        points.push(Point {
            x: *size as f64,
            y: y(*size),
        });
    }
    let line = line(&points);
    print!("{name} [{unit}]:");
    for p in &points {
        print!(" {}: {:.4};", p.x, p.y);
    }
    println!(
        " slope {:.5} {unit}/{per}, at zero {:.3} {unit}, R2 {:.4}",
        line.slope, line.base, line.fit
    );
    line
}

/// Ordinary least squares.
fn line(points: &[Point]) -> Line {
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
    Line {
        slope,
        base: y - slope * x,
        fit: if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) },
    }
}

/// Time of one call, µs: that of the fastest of [`BATCHES`] batches.
pub fn micros<T>(mut call: impl FnMut() -> T) -> f64 {
    let start = Instant::now();
    black_box(call());
    let once = start.elapsed().max(Duration::from_nanos(20));
    let calls = (BATCH.as_nanos() / once.as_nanos()).clamp(1, 100_000) as u32;
    let mut least = f64::INFINITY;
    for _ in 0..BATCHES {
        let start = Instant::now();
        for _ in 0..calls {
            black_box(call());
        }
        let time = start.elapsed().as_secs_f64() * 1e6 / f64::from(calls);
        least = least.min(time);
    }
    least
}
