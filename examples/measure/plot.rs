//! Plots the distribution of cold starts.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use super::figures::Figures;

/// Size of the plot, pixels.
const SIZE: (u32, u32) = (800, 480);

/// Writes the share of cold starts that took at most a time, and the least
/// possible beside it.
pub fn cold_starts(path: &Path, figures: &Figures) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let most = figures.cold.max.max(figures.least.max).max(1) as f64;
    // Without a font backend no text can be drawn: the axes carry none.
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .build_cartesian_2d(0.0..most, 0.0..1.0)?;
    chart.draw_series(LineSeries::new(shares(&figures.colds), &RED))?;
    chart.draw_series(LineSeries::new(shares(&figures.leasts), &BLUE))?;
    root.present()?;
    Ok(())
}

fn shares(times: &[u64]) -> Vec<(f64, f64)> {
    let mut times = times.to_vec();
    times.sort_unstable();
    let count = times.len().max(1) as f64;
    let ranks = 1..=times.len();
    ranks
        .zip(times)
        .map(|(rank, time)| (time as f64, rank as f64 / count))
        .collect()
}
