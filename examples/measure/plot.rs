//! Plots the distribution of cold starts.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use super::figures::Figures;

/// Size of the plot, pixels.
const SIZE_PX: (u32, u32) = (800, 480);

/// Writes the cumulative distribution of cold-start times and of their lower bounds.
pub fn plot_cold_starts(path: &Path, figures: &Figures) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let max_ms = figures.cold.max.max(figures.least.max).max(1) as f64;
    // The axes have no labels because text needs a font backend.
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .build_cartesian_2d(0.0..max_ms, 0.0..1.0)?;
    chart.draw_series(LineSeries::new(distribution(&figures.cold_ms), &RED))?;
    chart.draw_series(LineSeries::new(distribution(&figures.least_ms), &BLUE))?;
    root.present()?;
    Ok(())
}

fn distribution(times: &[u64]) -> Vec<(f64, f64)> {
    let mut times = times.to_vec();
    times.sort_unstable();
    let count = times.len().max(1) as f64;
    let ranks = 1..=times.len();
    ranks
        .zip(times)
        .map(|(rank, time)| (time as f64, rank as f64 / count))
        .collect()
}
