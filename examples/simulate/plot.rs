//! Plots the distribution of times to the first event.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

/// Size of the plot, pixels.
const SIZE_PX: (u32, u32) = (800, 480);
/// Upper end of the time axis, ms.
const MAX_TIME_MS: f64 = 4_000.0;

/// Writes the cumulative distribution of the times, ms, as SVG.
pub fn plot_first_events(path: &Path, times: &mut [u64]) -> Result<(), Box<dyn Error>> {
    times.sort_unstable();
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    // The axes have no labels because text needs a font backend.
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .build_cartesian_2d(0.0..MAX_TIME_MS, 0.0..1.0)?;
    let count = times.len().max(1) as f64;
    let share = |(rank, time): (usize, &u64)| (*time as f64, (rank + 1) as f64 / count);
    chart.draw_series(LineSeries::new(times.iter().enumerate().map(share), &BLUE))?;
    // The objectives of chat, drafts and urgent drafts, ms.
    for mark in [500.0, 800.0, 3_000.0] {
        let line = [(mark, 0.0), (mark, 1.0)];
        chart.draw_series(LineSeries::new(line, &BLACK))?;
    }
    root.present()?;
    Ok(())
}
