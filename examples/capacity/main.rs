//! Measures how the cost of control grows with the deployment: bytes of the
//! messages between daemons, time of decisions and of configuration changes,
//! memory of the state; fits a line to each and works out the size to design
//! for. Run with `cargo run --release --example capacity`.

mod costs;
mod memory;
mod messages;
mod plan;
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
    totals::print(&costs);
}
