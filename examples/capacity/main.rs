//! Measures how the cost of the control plane grows with the deployment: size
//! of the messages between daemons, time of decisions and of configuration
//! changes, memory of the state. Fits a line to each and extrapolates to the
//! target size. Run with `cargo run --release --example capacity`.

mod costs;
mod memory;
mod messages;
mod projection;
mod rates;
#[path = "../../benches/scene/mod.rs"]
#[allow(dead_code)]
mod scene;
mod series;
mod state;
mod times;
mod totals;

fn main() {
    println!("seed {}", scene::SEED);
    let costs = costs::measure();
    println!();
    totals::print_totals(&costs);
}
